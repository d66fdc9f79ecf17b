//! Callers that disconnect in the tick of another event of their request.

use mustardpin_world::{
    Event, Millis, Options,
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
