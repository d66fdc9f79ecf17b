//! The retries of a root request stay bounded over a whole chain of services, however deep and
//! wide.

use mustardpin_virtual::{Fleet, Request, Service, Site};
use mustardpin_world::{
    Millis, Options,
    config::{Fleet as Defaults, Row},
    options::{Retry, RetryPolicy},
};

use crate::support;

/// The number of services in the chain.
const DEPTH: usize = 17;
/// Depths at which a service makes two different calls to the next service.
const FAN_OUT_DEPTHS: [usize; 2] = [4, 9];
/// First attempts at the deepest service for each root request: each depth with two calls doubles
/// them.
const FIRST_ATTEMPTS: usize = 4;
/// How often each target and each caller resends a failed request.
const RESENDS: u32 = 5;

fn allowance() -> usize {
    Defaults::default().retry_allowance as usize
}

/// A retry budget from successes so large that only the allowance bounds retries.
fn options(policy: RetryPolicy) -> Options {
    let retry = Retry {
        policy,
        ratio_percent: 100_000,
        ratio_burst: 1_000,
        resend_burst: 1_000,
        ..Retry::default()
    };
    Options { retry, ..Options::default() }
}

fn chain(seed: u64, options: Options) -> Fleet {
    let mut fleet = Fleet::new(seed, options);
    let mut rows = vec![support::team("garage", 10_000, 10_000), support::key("garage")];
    for depth in 0..DEPTH {
        let mut service = Service::leaf(&format!("level-{depth:02}"), 64, 2.0);
        service.resends = RESENDS;
        service.parallel = true;
        if depth + 1 < DEPTH {
            let next = format!("/level-{:02}", depth + 1);
            service.calls.push(format!("{next}/one"));
            if FAN_OUT_DEPTHS.contains(&depth) {
                service.calls.push(format!("{next}/two"));
            }
        }
        rows.push(Row::Route(support::route(&service.name)));
        fleet.add("north", service);
    }
    support::put(&mut fleet, rows);
    fleet.run_for(Millis::from_secs(3));
    fleet
}

/// Sends requests that succeed and so fill the retry budget, then lets the deepest service fail.
/// Returns the maximum number of attempts there for one root request.
fn max_attempts(seed: u64, policy: RetryPolicy) -> usize {
    const SERVED: u64 = 50;
    const FAILED: u64 = 20;

    let mut fleet = chain(seed, options(policy));
    let entry = Site(0);
    let send = |fleet: &mut Fleet, number: u64| {
        let request = Request {
            fingerprint: number,
            resends: RESENDS,
            ..Request::get("/level-00", "garage-1.secret")
        };
        let root = fleet.send(entry, request);
        fleet.run_for(Millis(100));
        root
    };
    for number in 0..SERVED {
        send(&mut fleet, number);
    }
    fleet.run_for(Millis::from_secs(1));
    let complete = fleet.received.iter().filter(|received| received.is_complete()).count();
    assert_eq!(
        complete as u64, SERVED,
        "seed {seed}: a request failed before the deepest service did"
    );
    fleet.target(Site(DEPTH - 1)).failure_status = Some(500);
    let roots: Vec<u64> = (0..FAILED).map(|number| send(&mut fleet, SERVED + number)).collect();
    fleet.run_for(Millis::from_secs(20));
    let deepest = format!("/level-{:02}", DEPTH - 1);
    let attempts = |root: u64| {
        fleet
            .ran
            .iter()
            .filter(|record| record.root == root && record.path.starts_with(&deepest))
            .count()
    };
    roots.into_iter().map(attempts).max().unwrap_or(0)
}

/// The maximum number of attempts at the deepest service. Each retry in the chain takes one from
/// the allowance and causes at most as many first attempts below it as the root request does. A
/// client retry gets no allowance of its own, and there are at most as many client retries as the
/// allowance.
fn bound() -> usize {
    FIRST_ATTEMPTS * (1 + allowance() + allowance())
}

#[test]
fn attempts_at_the_deepest_service_stay_bounded_when_every_level_fails() {
    for seed in support::seeds(3) {
        let attempts = max_attempts(seed, RetryPolicy::Chain);
        assert!(attempts >= FIRST_ATTEMPTS, "seed {seed}: {attempts} attempts");
        assert!(attempts <= bound(), "seed {seed}: {attempts} attempts, bound {}", bound());
    }
}

#[test]
fn a_nested_call_is_retried_as_often_as_the_allowance_permits() {
    let mut fleet = Fleet::new(1, options(RetryPolicy::Chain));
    let mut front = Service::leaf("front", 8, 2.0);
    front.calls = vec!["/back".to_owned()];
    front.resends = RESENDS;
    let front = fleet.add("north", front);
    let back = fleet.add("north", Service::leaf("back", 8, 2.0));
    let rows = vec![
        support::team("garage", 100, 100),
        support::key("garage"),
        Row::Route(support::route("front")),
        Row::Route(support::route("back")),
    ];
    support::put(&mut fleet, rows);
    fleet.run_for(Millis::from_secs(3));
    fleet.send(front, Request::get("/front", "garage-1.secret"));
    fleet.run_for(Millis::from_secs(1));
    fleet.target(back).failure_status = Some(500);
    let request = Request { fingerprint: 7, ..Request::get("/front", "garage-1.secret") };
    let root = fleet.send(front, request);
    fleet.run_for(Millis::from_secs(2));
    let attempts =
        fleet.ran.iter().filter(|record| record.root == root && record.path == "/back").count();
    assert_eq!(attempts, 1 + allowance(), "a response returns the retries that were not used");
}

#[test]
fn local_retry_budgets_alone_do_not_bound_the_chain() {
    let attempts = max_attempts(1, RetryPolicy::Ratio);
    assert!(attempts > bound(), "{attempts} attempts");
}
