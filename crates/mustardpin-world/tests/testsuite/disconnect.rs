//! Callers that disconnect in the tick of another event of their request.

use mustardpin_world::{
    Command, Event, Millis, Options,
    refusal::{Reason, Refusal},
    request::{ForwardEnd, Origin, RunEnd, Ticket},
};

use crate::node::{Node, describe, request};

/// Guards against a request that runs for nobody, since the disconnect of its caller was handled
/// before its arrival in the same tick and forgotten.
#[test]
fn a_disconnect_in_the_tick_of_another_event_is_not_lost() {
    let gone = Event::CallerGone(Ticket(2));
    let arrived = || Event::Arrived(request(2, Origin::Caller { key: None }, None));
    let refused = Refusal::not_run(Reason::QueueFull);
    let forward_ended = |end| Event::ForwardEnded { ticket: Ticket(2), end, retries: 0 };
    let events: [(&str, bool, Vec<Event>); 9] = [
        ("arrival", false, vec![arrived(), gone.clone()]),
        ("arrival and stop", false, vec![arrived(), gone.clone(), Event::Stop]),
        ("arrival after stop", false, vec![Event::Stop, arrived(), gone.clone()]),
        (
            "arrival, reload",
            false,
            vec![arrived(), Event::Reloaded(Options::default()), gone.clone()],
        ),
        ("broken run", true, vec![Event::RunEnded(Ticket(2), RunEnd::Broken), gone.clone()]),
        ("unsent run", true, vec![gone.clone(), Event::RunEnded(Ticket(2), RunEnd::NotSent)]),
        ("refused forward", true, vec![forward_ended(ForwardEnd::Refused(refused)), gone.clone()]),
        ("unsent forward", true, vec![gone.clone(), forward_ended(ForwardEnd::NotSent)]),
        ("lost target", true, vec![Event::TargetLost, gone.clone()]),
    ];
    let mut report = String::new();
    for is_forwarded in [false, true] {
        for (name, has_arrived, events) in &events {
            let mut node = Node::start(Options::default());
            if is_forwarded {
                node.connect(2);
                node.tick(vec![Event::TargetLost]);
            }
            if *has_arrived {
                node.tick(vec![arrived()]);
            }
            let at_once = describe(&node.tick(events.clone()));
            node.now = node.now + Millis(5);
            let next = describe(&node.tick(Vec::new()));
            let case = if is_forwarded { "forwarded" } else { "local" };
            report.push_str(&format!("{case}, {name}: {at_once}, then {next}\n"));
        }
    }
    insta::assert_snapshot!(report, @r"
    local, arrival: refuse 2: caller_gone, not-run, then nothing
    local, arrival and stop: refuse 2: caller_gone, not-run, then nothing
    local, arrival after stop: refuse 2: caller_gone, not-run, then nothing
    local, arrival, reload: refuse 2: caller_gone, not-run, then nothing
    local, broken run: refuse 2: target_failed, unknown, then nothing
    local, unsent run: refuse 2: target_failed, not-run, then nothing
    local, refused forward: refuse 2: queue_full, not-run, then nothing
    local, unsent forward: refuse 2: peer_failed, not-run, then nothing
    local, lost target: nothing, then nothing
    forwarded, arrival: refuse 2: caller_gone, not-run, then nothing
    forwarded, arrival and stop: refuse 2: caller_gone, not-run, then nothing
    forwarded, arrival after stop: refuse 2: caller_gone, not-run, then nothing
    forwarded, arrival, reload: refuse 2: caller_gone, not-run, then nothing
    forwarded, broken run: cancel 2; refuse 2: target_failed, unknown, then nothing
    forwarded, unsent run: cancel 2; refuse 2: target_failed, not-run, then nothing
    forwarded, refused forward: cancel 2; refuse 2: queue_full, not-run, then nothing
    forwarded, unsent forward: cancel 2; refuse 2: peer_failed, not-run, then nothing
    forwarded, lost target: cancel 2, then nothing
    ");
}

/// Guards against a nested call that runs on for nobody: it arrives in the tick in which the caller
/// of its parent leaves, or in which the parent's run ends.
#[test]
fn a_nested_call_ends_with_its_parent_whatever_comes_in_one_tick() {
    let gone = |ticket| Event::CallerGone(Ticket(ticket));
    let cancelled = || Event::RunEnded(Ticket(2), RunEnd::Cancelled);
    let answered = || Event::RunEnded(Ticket(2), RunEnd::Answered { status: 200, report: None });
    type Events = fn(Event) -> Vec<Event>;
    let cases: [(&str, Events); 5] = [
        ("caller of the parent leaves", |nested| vec![nested, Event::CallerGone(Ticket(2))]),
        ("the same, other order", |nested| vec![Event::CallerGone(Ticket(2)), nested]),
        ("parent ends", |nested| {
            let end = RunEnd::Answered { status: 200, report: None };
            vec![nested, Event::RunEnded(Ticket(2), end)]
        }),
        ("parent breaks", |nested| vec![nested, Event::RunEnded(Ticket(2), RunEnd::Broken)]),
        ("target lost", |nested| vec![nested, Event::TargetLost]),
    ];
    let mut report = String::new();
    for repeatable in [false, true] {
        for (name, events) in &cases {
            let mut node = Node::start(Options::default());
            node.set_repeatable(repeatable);
            let commands = node.send(2, Origin::Caller { key: None }, None);
            let token = commands.iter().find_map(|command| match command {
                Command::Run(run) => Some(run.token),
                _ => None,
            });
            assert!(token.is_some(), "{name}: the parent runs");
            node.connect(2);
            let nested = Event::Arrived(request(3, Origin::Target { token }, None));
            let mut ticks = vec![node.tick(events(nested))];
            for events in [vec![cancelled()], vec![gone(3)], vec![answered()]] {
                node.now = node.now + Millis(5);
                ticks.push(node.tick(events));
            }
            let ticks: Vec<String> = ticks.iter().map(|commands| describe(commands)).collect();
            let case = if repeatable { "repeatable" } else { "at most once" };
            report.push_str(&format!("{case}, {name}: {}\n", ticks.join(", then ")));
        }
    }
    insta::assert_snapshot!(report, @r"
    at most once, caller of the parent leaves: run 3, then refuse 2: caller_gone, unknown, then nothing, then nothing
    at most once, the same, other order: run 3, then refuse 2: caller_gone, unknown, then nothing, then nothing
    at most once, parent ends: refuse 3: call_token_invalid, not-run, then nothing, then nothing, then nothing
    at most once, parent breaks: refuse 2: target_failed, unknown; refuse 3: call_token_invalid, not-run, then nothing, then nothing, then nothing
    at most once, target lost: forward 3, then cancel 3; refuse 2: leaving, unknown, then nothing, then nothing
    repeatable, caller of the parent leaves: cancel 2; refuse 3: caller_gone, not-run, then refuse 2: caller_gone, unknown, then nothing, then nothing
    repeatable, the same, other order: cancel 2; refuse 3: caller_gone, not-run, then refuse 2: caller_gone, unknown, then nothing, then nothing
    repeatable, parent ends: refuse 3: call_token_invalid, not-run, then nothing, then nothing, then nothing
    repeatable, parent breaks: refuse 2: target_failed, unknown; refuse 3: call_token_invalid, not-run, then nothing, then nothing, then nothing
    repeatable, target lost: forward 3, then cancel 3; refuse 2: leaving, unknown, then nothing, then nothing
    ");
}

/// Guards against a queued request that runs for a caller that has left, since a slot becomes free in
/// the tick of the disconnect.
#[test]
fn a_queued_request_does_not_run_once_its_caller_has_left() {
    let mut report = String::new();
    let ended = || Event::RunEnded(Ticket(1), RunEnd::Answered { status: 200, report: None });
    type Events = fn(Event) -> Vec<Event>;
    let cases: [(&str, Events); 4] = [
        ("alone", |gone| vec![gone]),
        ("before a slot is free", |gone| vec![gone, Event::RunEnded(Ticket(1), RunEnd::NotSent)]),
        ("after a slot is free", |gone| vec![Event::RunEnded(Ticket(1), RunEnd::NotSent), gone]),
        ("target lost", |gone| vec![Event::TargetLost, gone]),
    ];
    for (name, events) in cases {
        let mut node = Node::start(Options::default());
        let arrivals = (1..=10)
            .map(|ticket| Event::Arrived(request(ticket, Origin::Caller { key: None }, None)));
        let commands = node.tick(arrivals.collect());
        let starts: Vec<u64> = commands
            .iter()
            .filter_map(|command| match command {
                Command::Run(run) => Some(run.ticket.0),
                Command::Finish { ticket, .. } => Some(ticket.0),
                _ => None,
            })
            .collect();
        let queued = (1..=10).find(|ticket| !starts.contains(ticket));
        let queued = queued.expect("a request waits for a slot");
        let at_once = describe(&node.tick(events(Event::CallerGone(Ticket(queued)))));
        node.now = node.now + Millis(5);
        let next = describe(&node.tick(vec![ended()]));
        report.push_str(&format!("{queued} queued, {name}: {at_once}, then {next}\n"));
    }
    insta::assert_snapshot!(report, @r"
    9 queued, alone: refuse 9: caller_gone, not-run, then run 10
    9 queued, before a slot is free: refuse 9: caller_gone, not-run; refuse 1: target_failed, not-run; run 10, then nothing
    9 queued, after a slot is free: refuse 9: caller_gone, not-run; refuse 1: target_failed, not-run; run 10, then nothing
    9 queued, target lost: refuse 9: caller_gone, not-run; refuse 10: no_target, not-run, then nothing
    ");
}
