//! Targets that state a rate limit get no more requests than that, whatever happens to the nodes.

use mustardpin_virtual::Site;
use mustardpin_world::{
    Millis, Options,
    config::CutOffPolicy,
    options::{Limit, LimitAlgorithm},
};

use crate::scenario::{self, Scenario, for_seeds};

/// How long after the first statement the limit must hold.
const NOTICE_PERIOD: Millis = Millis::from_secs(3);
/// The length of the spans in which requests are counted.
const WINDOW: Millis = Millis::from_secs(4);
/// The requests in a span that are allowed for each one that the limit allows.
const TOLERANCE: f64 = 1.5;
/// The requests in a span that are allowed in addition.
const SLACK: f64 = 5.0;

/// The limits are well below the 20 requests per second that each target gets otherwise.
const RATE: f64 = 6.0;

/// A fleet under steady load whose targets have much room.
fn start(seed: u64) -> Scenario {
    let mut scenario = Scenario::start(seed, CutOffPolicy::Refuse);
    scenario.load_for(Millis::from_secs(2));
    scenario
}

/// The times at which a target got requests, from `since` on.
fn runs(scenario: &Scenario, site: Site, since: Millis) -> Vec<Millis> {
    let records = scenario.fleet.ran.iter();
    records
        .filter(|record| record.site == site && record.at >= since)
        .map(|record| record.at)
        .collect()
}

/// The most requests that a target got in any span, from `since` on.
fn most(scenario: &Scenario, site: Site, since: Millis) -> usize {
    let runs = runs(scenario, site, since);
    let count = |from: Millis| runs.iter().filter(|&&at| at >= from && at < from + WINDOW).count();
    runs.iter().map(|&from| count(from)).max().unwrap_or(0)
}

/// Fails if a target got more requests than its limit allows, from `since` on.
fn assert_kept(scenario: &Scenario, site: Site, rate: f64, since: Millis, case: &str) {
    let allowed = TOLERANCE * rate * WINDOW.0 as f64 / 1_000.0 + SLACK;
    let most = most(scenario, site, since) as f64;
    assert!(most <= allowed, "{case}: {most} requests in {WINDOW}, allowed {allowed}");
}

/// Guards against a target in need that gets requests by its slots, whatever rate it states.
#[test]
fn a_target_gets_no_more_requests_than_the_rate_that_it_states() {
    for_seeds(|seed| {
        let mut scenario = start(seed);
        let sites = [Site(0), Site(4), Site(5)];
        for site in sites {
            scenario.fleet.target(site).state_rate_limit(Some(RATE));
        }
        let since = scenario.fleet.now;
        scenario.load_for(Millis::from_secs(12));
        for site in sites {
            assert_kept(&scenario, site, RATE, since + NOTICE_PERIOD, &format!("seed {seed}"));
        }
    });
}

/// Guards against a limit that is forgotten when the node that keeps it is restarted, as a supervisor
/// does it or after a crash, while the target runs on.
#[test]
fn the_rate_holds_while_the_node_beside_the_target_is_restarted() {
    for_seeds(|seed| {
        // The first response after a restart comes late, and many requests may run until then.
        let limit = Limit { algorithm: LimitAlgorithm::Slots, ..Limit::default() };
        let options = Options { limit, ..Options::default() };
        let cut_off = CutOffPolicy::Refuse;
        let mut scenario = Scenario::start_with_options(seed, cut_off, Vec::new(), options);
        let site = Site(seed as usize % 9);
        let target = scenario.fleet.target(site);
        target.state_rate_limit(Some(RATE));
        (target.service.slots, target.slowdown) = (200, 100.0);
        let since = scenario.fleet.now;
        scenario.load_for(Millis::from_secs(4));
        for away in [Millis(0), Millis(200), Millis::from_secs(2)] {
            scenario.fleet.kill(site);
            scenario.load_excluding(Some(site), away);
            scenario.fleet.restart_node(site);
            for _ in 0..20 {
                burst(&mut scenario, site);
                scenario.load_for(Millis(100));
            }
            scenario.load_for(Millis::from_secs(4));
        }
        assert_kept(&scenario, site, RATE, since + NOTICE_PERIOD, &format!("seed {seed}"));
    });
}

/// Sends many requests at once through nodes other than this one.
fn burst(scenario: &mut Scenario, except: Site) {
    for site in scenario.fleet.sites().filter(|&site| site != except) {
        for _ in 0..20 {
            scenario.send(site);
        }
    }
}

/// Guards against requests that pile up at a paused node and reach the target all at once.
#[test]
fn the_rate_holds_after_the_node_beside_the_target_was_paused() {
    for_seeds(|seed| {
        let mut scenario = start(seed);
        let site = Site(seed as usize % 9);
        scenario.fleet.target(site).state_rate_limit(Some(RATE));
        let since = scenario.fleet.now;
        scenario.load_for(Millis::from_secs(4));
        scenario.fleet.freeze(site);
        scenario.load_for(Millis::from_secs(3));
        scenario.fleet.resume(site);
        scenario.load_for(Millis::from_secs(6));
        assert_kept(&scenario, site, RATE, since + NOTICE_PERIOD, &format!("seed {seed}"));
    });
}

/// Guards against a bucket that goes on by an earlier, higher rate, and against a statement in a
/// response that was sent before the last one.
#[test]
fn a_rate_that_is_lowered_holds_at_once_and_one_that_is_raised_is_used() {
    for_seeds(|seed| {
        let mut scenario = start(seed);
        let site = Site(seed as usize % 9);
        let mut served = Vec::new();
        for rate in [12.0, 2.5, 12.0] {
            scenario.fleet.target(site).state_rate_limit(Some(rate));
            scenario.load_for(Millis::from_secs(2));
            let since = scenario.fleet.now;
            scenario.load_for(Millis::from_secs(8));
            assert_kept(&scenario, site, rate, since, &format!("seed {seed}, rate {rate}"));
            served.push(runs(&scenario, site, since).len() as f64 / (8.0 * rate));
        }
        assert!(served.iter().all(|&share| share >= 0.5), "seed {seed}: {served:?} of the rates");
    });
}

/// Guards against requests that are refused or wait for a target with a limit while its siblings have
/// room.
#[test]
fn what_exceeds_the_rate_goes_to_the_siblings_at_once() {
    const MAX_ADDED: Millis = Millis(100);

    for_seeds(|seed| {
        let mut scenario = start(seed);
        for site in 0..6 {
            scenario.fleet.target(Site(site)).state_rate_limit(Some(RATE));
        }
        scenario.load_for(Millis::from_secs(1));
        let since = scenario.fleet.now;
        scenario.load_for(Millis::from_secs(10));
        assert_eq!(scenario::unserved(&scenario.fleet, since), [""; 0], "seed {seed}");
        let received = scenario.fleet.received.iter().filter(|received| received.sent >= since);
        let mut times: Vec<_> = received.map(|received| received.at - received.sent).collect();
        times.sort_unstable();
        let late = times[times.len() * 99 / 100];
        assert!(late <= MAX_ADDED, "seed {seed}: 99% of requests within {late}");
    });
}

/// Guards against rates of which little is used when all targets of a service have one.
#[test]
fn the_rates_are_used_when_all_targets_have_one() {
    for_seeds(|seed| {
        let mut scenario = start(seed);
        for site in scenario.fleet.sites() {
            scenario.fleet.target(site).state_rate_limit(Some(10.0));
        }
        scenario.load_for(Millis::from_secs(3));
        let since = scenario.fleet.now;
        scenario.load_for(Millis::from_secs(10));
        let mut total = 0;
        for site in scenario.fleet.sites() {
            assert_kept(&scenario, site, 10.0, since, &format!("seed {seed}"));
            total += runs(&scenario, site, since).len();
        }
        assert!(total >= 9 * 100 * 8 / 10, "seed {seed}: {total} requests run of 900");
        let outcomes = scenario::unserved(&scenario.fleet, since);
        let is_refusal = |outcome: &String| outcome.ends_with("(not-run)");
        assert!(outcomes.iter().all(is_refusal), "seed {seed}: {outcomes:?}");
    });
}

/// Guards against a target that states a rate of zero, or a very low one, and is never asked again
/// whether that has changed.
#[test]
fn a_target_whose_rate_is_nearly_zero_is_used_again_when_its_limit_ends() {
    for rate in [0.0, 0.1, 1.0] {
        for_seeds(|seed| {
            let case = format!("seed {seed}, rate {rate}");
            let mut scenario = start(seed);
            let site = Site(seed as usize % 9);
            scenario.fleet.target(site).state_rate_limit(Some(rate));
            let since = scenario.fleet.now;
            scenario.load_for(Millis::from_secs(13));
            assert_kept(&scenario, site, rate, since + NOTICE_PERIOD, &case);
            scenario.fleet.target(site).state_rate_limit(None);
            scenario.load_for(Millis::from_secs(8));
            let now = scenario.fleet.now;
            let last = runs(&scenario, site, now - Millis::from_secs(2)).len();
            assert!(last >= 20, "{case}: {last} requests in the last 2 s, 40 without a limit");
        });
    }
}

/// Guards against a target that gets everything at once that went to its siblings while it had a
/// limit.
#[test]
fn requests_return_gradually_when_the_limit_ends() {
    for_seeds(|seed| {
        let mut scenario = start(seed);
        let site = Site(seed as usize % 9);
        scenario.fleet.target(site).state_rate_limit(Some(3.0));
        scenario.load_for(Millis::from_secs(6));
        scenario.fleet.target(site).state_rate_limit(None);
        let end = scenario.fleet.now;
        burst(&mut scenario, site);
        scenario.load_for(Millis::from_secs(4));
        let first = runs(&scenario, site, end);
        let first = first.iter().filter(|&&at| at < end + Millis(500)).count();
        assert!(first <= 8, "seed {seed}: {first} requests in the first 500 ms");
    });
}

/// Guards against an earlier process's limit that is applied to the next one behind the same node.
#[test]
fn a_limit_ends_with_the_process_of_the_target() {
    for_seeds(|seed| {
        let mut scenario = start(seed);
        let site = Site(seed as usize % 9);
        scenario.fleet.target(site).state_rate_limit(Some(0.0));
        scenario.load_for(Millis::from_secs(4));
        scenario.fleet.restart(site);
        scenario.load_for(Millis::from_secs(4));
        let since = scenario.fleet.now - Millis::from_secs(2);
        let last = runs(&scenario, site, since).len();
        assert!(last >= 20, "seed {seed}: {last} requests in the last 2 s, 40 without a limit");
    });
}

/// Guards against a node that ticks without a pause while its target has a rate limit and nothing to
/// do, or can't be reached.
#[test]
fn a_node_beside_an_idle_target_with_a_rate_limit_sleeps() {
    const MAX_TICKS: usize = 400;

    let mut scenario = start(0);
    scenario.fleet.target(Site(0)).state_rate_limit(Some(RATE));
    scenario.load_for(Millis::from_secs(2));
    let before = scenario.fleet.ticks(Site(0));
    scenario.fleet.run_for(Millis::from_secs(4));
    let ticks = scenario.fleet.ticks(Site(0)) - before;
    assert!(ticks <= MAX_TICKS, "{ticks} ticks in 4 s");
}
