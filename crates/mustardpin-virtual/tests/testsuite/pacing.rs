//! Targets that state a rate limit get no more requests than that, whatever happens to the nodes.

use mustardpin_virtual::Site;
use mustardpin_world::{Millis, config::CutOffPolicy};

use crate::scenario::{Scenario, for_seeds};

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
