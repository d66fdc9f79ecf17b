//! Targets and nodes that leave: no new work after a few seconds, and no request cut off.

use std::{collections::BTreeSet, fmt::Write as _};

use mustardpin_virtual::Site;
use mustardpin_world::{Millis, config::CutOffPolicy};

use crate::scenario::{Scenario, for_seeds};

/// The time after which a leaving target gets no new work.
const NO_NEW_WORK: Millis = Millis::from_secs(3);
/// The longest time that a planned stop may take, with all requests answered.
const STOP_LIMIT: Millis = Millis::from_secs(12);
/// Slows targets down so that a request takes 100 ms on average and targets are half busy.
const BUSY: f64 = 20.0;
/// Slows a target down so that requests are still running when its node could leave.
const VERY_SLOW: f64 = 160.0;
/// Slows targets down so that they get more than twice what they can run.
const OVERLOADED: f64 = 100.0;

/// A fleet under steady load whose targets are half busy.
fn busy(seed: u64) -> Scenario {
    let mut scenario = Scenario::start(seed, CutOffPolicy::Refuse);
    for site in scenario.fleet.sites() {
        scenario.fleet.target(site).slowdown = BUSY;
    }
    scenario.load_for(Millis::from_secs(2));
    scenario
}

/// Callers that got no answer, whose connection broke, or who were told that a request has not run
/// that a target had begun.
fn wronged(scenario: &Scenario) -> Vec<String> {
    let ran: BTreeSet<u64> = scenario.fleet.ran.iter().map(|ran| ran.root).collect();
    let answers = (0..scenario.sent()).map(|root| (root, scenario.fleet.response_to(root)));
    let wrong = answers.filter_map(|(root, answer)| match answer {
        None => Some(format!("{root}: no answer")),
        Some(received) if received.verdict.is_none() => Some(format!("{root}: broken")),
        Some(received) if received.is_not_run() && ran.contains(&root) => {
            Some(format!("{root}: ran, though called not run"))
        }
        Some(_) => None,
    });
    wrong.collect()
}

/// Requests that a node's target began after a point.
fn runs_at(scenario: &Scenario, site: Site, since: Millis) -> usize {
    let node = scenario.fleet.world_at(site).identity().node();
    scenario.fleet.ran.iter().filter(|ran| ran.node == node && ran.at > since).count()
}

/// Stops a node under load and waits until it has gone. Returns how long that took.
///
/// Callers go on to use the node while it tells its peers, and are elsewhere after that, since a
/// leaving node closes its connections.
fn stop(scenario: &mut Scenario, site: Site) -> Millis {
    let start = scenario.fleet.now;
    scenario.fleet.stop(site);
    while !scenario.fleet.has_exited(site) && scenario.fleet.now < start + STOP_LIMIT {
        let left_out = Some(site).filter(|_| scenario.fleet.now >= start + NO_NEW_WORK);
        scenario.load_without(left_out, Millis(50));
    }
    scenario.fleet.now - start
}

#[test]
fn a_leaving_target_gets_no_new_work_after_three_seconds() {
    type Leave = fn(&mut Scenario, Site);
    let ways: [(&str, Leave); 2] = [
        ("its node is stopped", |scenario, site| scenario.fleet.stop(site)),
        ("it reports that it is draining", |scenario, site| {
            scenario.fleet.target(site).draining = true;
        }),
    ];
    for (name, leave) in ways {
        for_seeds(|seed| {
            let mut scenario = busy(seed);
            let site = Site(seed as usize % 9);
            // Calls that hold on keep the node there for longer than the time allowed.
            scenario.fleet.target(site).slowdown = VERY_SLOW;
            scenario.load_for(Millis(500));
            let start = scenario.fleet.now;
            assert!(runs_at(&scenario, site, Millis(0)) > 20, "{name}: the target was in use");
            leave(&mut scenario, site);
            scenario.load_for(Millis::from_secs(8));
            let late = runs_at(&scenario, site, start + NO_NEW_WORK);
            assert_eq!(late, 0, "{name}, seed {seed}: runs after 3 s");
            scenario.fleet.run_for(Millis::from_secs(12));
            assert_eq!(wronged(&scenario), [""; 0], "{name}, seed {seed}");
        });
    }
}

/// A node whose target is slow stays until the last request has its answer.
#[test]
fn a_planned_stop_cuts_off_no_request() {
    for_seeds(|seed| {
        let mut scenario = busy(seed);
        let site = Site((seed as usize + 4) % 9);
        scenario.fleet.target(site).slowdown = VERY_SLOW;
        scenario.load_for(Millis::from_secs(1));
        let took = stop(&mut scenario, site);
        assert!(scenario.fleet.has_exited(site), "seed {seed}: still there after {took}");
        scenario.fleet.run_for(Millis::from_secs(12));
        assert_eq!(wronged(&scenario), [""; 0], "seed {seed}");
    });
}

/// Every node is stopped and replaced, one after another, while callers go on.
#[test]
fn a_rolling_replacement_under_load_loses_nothing() {
    let mut report = String::new();
    for_seeds(|seed| {
        let mut scenario = busy(seed);
        let start = scenario.fleet.now;
        for site in scenario.fleet.sites() {
            let took = stop(&mut scenario, site);
            assert!(scenario.fleet.has_exited(site), "seed {seed}: still there after {took}");
            scenario.fleet.restart(site);
            scenario.load_for(Millis::from_secs(2));
        }
        scenario.fleet.run_for(Millis::from_secs(12));
        assert_eq!(wronged(&scenario), [""; 0], "seed {seed}");
        if seed < REPORTED_SEEDS {
            let end = scenario.fleet.now;
            writeln!(report, "seed {seed}").unwrap();
            for data_centre in crate::scenario::DATA_CENTRES {
                let outcomes = scenario.outcomes(data_centre, start, end);
                writeln!(report, "  {data_centre}: {outcomes}").unwrap();
            }
        }
    });
    insta::assert_snapshot!(report);
}

/// Seeds whose outcomes are in the snapshot.
const REPORTED_SEEDS: u64 = 3;

/// A node is stopped while all targets get more than they can run.
#[test]
fn a_stop_under_overload_cuts_off_no_request() {
    for_seeds(|seed| {
        let mut scenario = busy(seed);
        for site in scenario.fleet.sites() {
            scenario.fleet.target(site).slowdown = OVERLOADED;
        }
        scenario.load_for(Millis::from_secs(3));
        let site = Site(seed as usize % 9);
        let start = scenario.fleet.now;
        let took = stop(&mut scenario, site);
        assert!(scenario.fleet.has_exited(site), "seed {seed}: still there after {took}");
        let late = runs_at(&scenario, site, start + NO_NEW_WORK);
        assert_eq!(late, 0, "seed {seed}: runs after 3 s");
        scenario.fleet.run_for(Millis::from_secs(12));
        assert_eq!(wronged(&scenario), [""; 0], "seed {seed}");
    });
}
