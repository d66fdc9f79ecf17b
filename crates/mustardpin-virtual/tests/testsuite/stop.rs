//! What callers get from a node from its stop signal to its exit, whatever else happens then.

use std::collections::BTreeSet;

use mustardpin_virtual::{Fleet, PlatformMode, Request, Service, Site};
use mustardpin_world::{
    Event, Millis, Options,
    config::{Route, Row},
    options::{Queueing, Stop},
    refusal::{Outcome, Reason},
    request::Verdict,
};

use crate::support::{key, put, route, seeds, team};

const STAY: Millis = Millis(1_000);
const GRACE: Millis = Millis(4_000);
const CLOSING: Millis = Millis(500);
/// When load begins before the stop signal.
const LOAD_BEFORE: Millis = Millis(1_500);
/// The time between two requests to a node.
const REQUEST_INTERVAL: Millis = Millis(20);
/// The node that is stopped. Its service is `search`, as that of the two nodes after it.
const STOPPED: Site = Site(0);

/// What happens besides the stop signal of one node. It is called after each interval of load with
/// the time since the stop signal; before the stop signal, with `None`.
type Disturb = fn(&mut Fleet, Option<Millis>);

fn is_first(since: Option<Millis>) -> bool {
    since.is_some_and(|since| since < REQUEST_INTERVAL)
}

const CASES: &[(&str, Disturb)] = &[
    ("nothing else", |_, _| {}),
    ("its target is slow", |fleet, _| fleet.target(STOPPED).slowdown = 40.0),
    ("its target does not respond", |fleet, _| fleet.target(STOPPED).slowdown = 1e6),
    ("no target responds", |fleet, since| {
        if since.is_none() {
            fleet.sites().for_each(|site| fleet.target(site).slowdown = 1e6);
        }
    }),
    ("its target leaves", |fleet, since| {
        fleet.target(STOPPED).slowdown = 20.0;
        fleet.target(STOPPED).draining |= is_first(since);
    }),
    ("its target crashes", |fleet, since| {
        if is_first(since) {
            fleet.crash_target(STOPPED);
        }
    }),
    ("its peers of the service are stopped", |fleet, since| {
        if is_first(since) {
            fleet.stop(Site(1));
            fleet.stop(Site(2));
        }
    }),
    ("all nodes are stopped", |fleet, since| {
        if is_first(since) {
            fleet.sites().filter(|&site| site != STOPPED).for_each(|site| fleet.stop(site));
        }
    }),
    ("the store is away", |fleet, since| {
        if since.is_none() {
            fleet.platform.mode = PlatformMode::Down;
        }
    }),
    ("it is signalled again and again", |fleet, since| {
        if since.is_some() {
            fleet.stop(STOPPED);
        }
    }),
    ("its settings are reloaded again and again", |fleet, since| {
        if since.is_some() {
            let wait = Millis(fleet.now.0 % 400 + 100);
            let queueing = Queueing { wait, ..options().queueing };
            fleet.inject(STOPPED, Event::Reloaded(Options { queueing, ..options() }));
        }
    }),
    ("its settings are reloaded with a longer drain", |fleet, since| {
        fleet.target(STOPPED).slowdown = 40.0;
        if since.is_some_and(|since| since >= Millis(STAY.0 / 2)) {
            let stop =
                Stop { stay: Millis(2 * GRACE.0), grace: Millis(3 * GRACE.0), closing: CLOSING };
            fleet.inject(STOPPED, Event::Reloaded(Options { stop, ..options() }));
        }
    }),
    ("its settings are reloaded with a shorter drain", |fleet, since| {
        fleet.target(STOPPED).slowdown = 40.0;
        if since.is_some_and(|since| since >= Millis(STAY.0 / 2)) {
            let stop = Stop { stay: Millis(0), grace: Millis(100), closing: CLOSING };
            fleet.inject(STOPPED, Event::Reloaded(Options { stop, ..options() }));
        }
    }),
    ("the configuration changes", |fleet, since| {
        if since.is_some() {
            let rate = 1_000 + fleet.now.0 as u32 % 7;
            put(fleet, vec![team("garage", rate, 1_000)]);
        }
    }),
    ("requests wait in queues", |fleet, _| {
        fleet.sites().for_each(|site| fleet.target(site).slowdown = 60.0);
    }),
    ("requests wait for their rate limit", |fleet, since| {
        if since.is_none() {
            put(fleet, vec![team("garage", 50, 10)]);
        }
    }),
    ("it is paused", |fleet, since| match since {
        Some(since) if since >= Millis(700) => fleet.resume(STOPPED),
        Some(since) if since >= Millis(200) => fleet.freeze(STOPPED),
        _ => {}
    }),
];

fn options() -> Options {
    Options { stop: Stop { stay: STAY, grace: GRACE, closing: CLOSING }, ..Options::default() }
}

/// Three nodes in front of `search`, which calls `ledger`, and two in front of `ledger`.
fn start(seed: u64, options: Options) -> Fleet {
    let mut fleet = Fleet::new(seed, options);
    for data_centre in ["north", "south", "west"] {
        let calls = vec!["/ledger".to_owned()];
        fleet.add(data_centre, Service { calls, ..Service::leaf("search", 8, 10.0) });
    }
    for data_centre in ["north", "south"] {
        fleet.add(data_centre, Service::leaf("ledger", 16, 5.0));
    }
    let book = Route::new("book", "/book", "search", Millis::from_secs(5));
    let rows = vec![team("garage", 1_000, 1_000), key("garage"), Row::Route(book)];
    put(&mut fleet, rows);
    put(&mut fleet, vec![Row::Route(route("search")), Row::Route(route("ledger"))]);
    fleet.run_for(Millis::from_secs(6));
    fleet
}

/// A root request to the stopped node.
struct Sent {
    root: u64,
    at: Millis,
}

/// What broke the contract, by the part that it broke.
#[derive(Default)]
struct Violations {
    unanswered: Vec<String>,
    late: Vec<String>,
    end: Vec<String>,
}

fn run(name: &str, disturb: Disturb, seed: u64) -> Violations {
    let mut fleet = start(seed, options());
    let mut sent = Vec::new();
    let mut send = |fleet: &mut Fleet, number: u64| {
        for site in fleet.sites().collect::<Vec<_>>() {
            if fleet.has_exited(site) {
                continue;
            }
            let path = ["/search", "/book", "/ledger"][number as usize % 3];
            let name = format!("{number} {}", site.0);
            let request = Request::post(path, "garage-1.secret", &name);
            let (root, at) = (fleet.send(site, request), fleet.now);
            if site == STOPPED {
                sent.push(Sent { root, at });
            }
        }
    };
    let mut number = 0;
    let stopped = fleet.now + LOAD_BEFORE;
    while fleet.now < stopped {
        send(&mut fleet, number);
        disturb(&mut fleet, None);
        fleet.run_for(REQUEST_INTERVAL);
        number += 1;
    }
    fleet.stop(STOPPED);
    let mut ended = None;
    while fleet.now < stopped + GRACE + Millis::from_secs(2) {
        if fleet.has_exited(STOPPED) {
            ended = ended.or(Some(fleet.now - stopped));
        } else {
            send(&mut fleet, number);
        }
        let since = fleet.now - stopped;
        disturb(&mut fleet, Some(since));
        fleet.run_for(REQUEST_INTERVAL);
        number += 1;
    }
    fleet.run_for(Millis::from_secs(12));
    let mut violations = Violations::default();
    let case = format!("{name}, seed {seed}");
    match ended {
        Some(ended) if ended <= GRACE => {}
        _ => violations.end.push(format!("{case}: exited after {ended:?}")),
    }
    let exit =
        fleet.log.iter().find(|(_, site, entry)| *site == STOPPED && entry.event == "stopped");
    let exit = exit.map(|(at, ..)| *at);
    let begun: BTreeSet<u64> = fleet.ran.iter().map(|record| record.root).collect();
    for Sent { root, at } in sent {
        let received = fleet.response_to(root);
        let verdict = received.and_then(|received| received.verdict);
        let has_begun = begun.contains(&root);
        let case = format!("{case}: sent at {} of the stop, begun {has_begun}: {verdict:?}", {
            at.0 as i64 - stopped.0 as i64
        });
        let is_answered = match verdict {
            // Before the exit, it is a server error of the target.
            None => received.is_some_and(|received| Some(received.at) < exit),
            Some(Verdict::Pass) => true,
            Some(Verdict::Refuse(refusal)) => refusal.outcome != Outcome::NotRun || !has_begun,
        };
        if !is_answered {
            violations.unanswered.push(case.clone());
        }
        let is_leaving = matches!(verdict, Some(Verdict::Refuse(refusal))
            if refusal.reason == Reason::Leaving && refusal.retry_after.is_some());
        if at >= stopped + STAY + REQUEST_INTERVAL && (has_begun || !is_leaving) {
            violations.late.push(case);
        }
    }
    violations
}

/// Runs all cases, and reports the number of violations of each and the first of them.
fn check(select: fn(Violations) -> Vec<String>) {
    let mut failures = Vec::new();
    for (name, disturb) in CASES {
        let found: Vec<_> = seeds(3).flat_map(|seed| select(run(name, *disturb, seed))).collect();
        if let Some(first) = found.first() {
            failures.push(format!("{} times; {first}", found.len()));
        }
    }
    assert!(failures.is_empty(), "{failures:#?}");
}

/// A request that a node has accepted gets a response before the node exits.
#[test]
fn every_accepted_request_gets_a_response() {
    check(|violations| violations.unanswered);
}

#[test]
fn new_requests_after_the_stay_are_refused() {
    check(|violations| violations.late);
}

#[test]
fn the_node_exits_within_the_grace() {
    check(|violations| violations.end);
}

/// A supervisor waits no longer because the node is to serve for longer.
#[test]
fn the_node_exits_within_a_grace_that_is_shorter_than_the_stay() {
    let stop = Stop { stay: GRACE, grace: STAY, closing: CLOSING };
    let mut fleet = start(0, Options { stop, ..options() });
    fleet.stop(STOPPED);
    fleet.run_for(STAY);
    assert!(fleet.has_exited(STOPPED));
}
