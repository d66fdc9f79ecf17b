//! Targets that state in their responses that they are leaving, or that deregister, get no new
//! requests.

use std::collections::BTreeSet;

use mustardpin_virtual::{Fleet, Request, RunRecord, Service, Site};
use mustardpin_world::{Millis, Options, config::Row};

use crate::{
    scenario::{self, for_seeds},
    support::{key, put, route, team},
};

/// The maximum time from the first response that states it until the target gets no new requests.
const MAX_DELAY: Millis = Millis::from_secs(2);
/// The time between two requests to one front node.
const REQUEST_INTERVAL: Millis = Millis(20);
/// The nodes that requests enter by, whose targets serve none of them.
const FRONTS: usize = 3;
/// The nodes whose targets serve the requests.
const BACKS: usize = 4;

/// A fleet of front nodes and nodes with targets, under steady load.
struct Scenario {
    fleet: Fleet,
    sent: u64,
}

impl Scenario {
    fn load_for(&mut self, length: Millis) {
        let end = self.fleet.now + length;
        while self.fleet.now < end {
            for front in 0..FRONTS {
                self.sent += 1;
                let request = Request::get("/search/slots", "garage-1.secret");
                let request = Request { fingerprint: self.sent, ..request };
                self.fleet.send(Site(front), request);
            }
            self.fleet.run_until(end.min(self.fleet.now + REQUEST_INTERVAL));
        }
    }
}

/// A fleet with one target that leaves, while its reports say that it is ready.
fn start(seed: u64) -> (Scenario, Site, Millis) {
    let mut fleet = Fleet::new(seed, Options::default());
    for (service, count) in [("front", FRONTS), ("search", BACKS)] {
        for index in 0..count {
            let data_centre = ["north", "south"][index % 2];
            fleet.add(data_centre, Service::leaf(service, 8, 5.0));
        }
    }
    put(
        &mut fleet,
        vec![team("garage", 10_000, 10_000), key("garage"), Row::Route(route("search"))],
    );
    fleet.run_for(Millis::from_secs(8));
    let mut scenario = Scenario { fleet, sent: 0 };
    scenario.load_for(Millis::from_secs(2));
    let site = Site(FRONTS + seed as usize % BACKS);
    scenario.fleet.target(site).notice.leaving = true;
    let since = scenario.fleet.now;
    (scenario, site, since)
}

/// A fleet with one target that deregisters while its last report is late.
fn start_deregistration(seed: u64, late: Millis) -> (Scenario, Site, Millis) {
    let (mut scenario, site, since) = start(seed);
    scenario.fleet.target(site).notice.leaving = false;
    scenario.fleet.deregister_target(site, late);
    (scenario, site, since)
}

/// How many requests a target got from a time on.
fn runs(scenario: &Scenario, site: Site, since: Millis) -> usize {
    let records = scenario.fleet.ran.iter();
    records.filter(|record| record.site == site && record.at >= since).count()
}

/// Guards against requests that reach a target that has said that it leaves, because its reports
/// still say that it is ready.
#[test]
fn a_target_that_says_it_is_leaving_gets_no_new_requests_whatever_it_reports() {
    for_seeds(|seed| {
        let (mut scenario, site, since) = start(seed);
        scenario.load_for(Millis::from_secs(8));
        assert_eq!(runs(&scenario, site, since + MAX_DELAY), 0, "seed {seed}");
        assert_eq!(scenario::unserved(&scenario.fleet, since), [""; 0], "seed {seed}");
    });
}

/// Guards against a restarted node that knows nothing of the departure and gets requests for its
/// target again from nodes that have passed such a response on.
#[test]
fn a_departure_is_remembered_while_the_node_beside_the_target_is_restarted() {
    for_seeds(|seed| {
        let (mut scenario, site, since) = start(seed);
        scenario.load_for(Millis::from_secs(3));
        for _ in 0..3 {
            scenario.fleet.kill(site);
            scenario.load_for(Millis(300));
            scenario.fleet.restart_node(site);
            scenario.load_for(Millis::from_secs(3));
        }
        assert_eq!(runs(&scenario, site, since + MAX_DELAY), 0, "seed {seed}");
    });
}

/// Guards against a departure that only the node beside the target knows of when that is killed at
/// once.
#[test]
fn a_node_that_passed_the_response_on_knows_of_the_departure() {
    for_seeds(|seed| {
        let (mut scenario, site, since) = start(seed);
        let front = loop {
            scenario.load_for(Millis(1));
            let is_run =
                |root| {
                    scenario.fleet.ran.iter().any(|record| {
                        record.site == site && record.at >= since && record.root == root
                    })
                };
            if let Some(received) = scenario.fleet.received.iter().find(|one| is_run(one.root)) {
                break received.site;
            }
        };
        scenario.fleet.kill(site);
        scenario.load_for(Millis(300));
        scenario.fleet.restart_node(site);
        let from = scenario.fleet.now;
        scenario.load_for(Millis::from_secs(5));
        let received = scenario.fleet.received.iter();
        let roots: BTreeSet<u64> = received
            .filter(|received| received.site == front)
            .map(|received| received.root)
            .collect();
        let from_front = |record: &&RunRecord| record.site == site && roots.contains(&record.root);
        let records = scenario.fleet.ran.iter().filter(from_front);
        assert_eq!(records.filter(|record| record.at >= from).count(), 0, "seed {seed}");
        assert_eq!(runs(&scenario, site, from + MAX_DELAY), 0, "seed {seed}");
    });
}

/// Guards against the same while the store is away and nodes can't read it.
#[test]
fn a_departure_holds_while_the_store_is_away() {
    for_seeds(|seed| {
        let (mut scenario, site, since) = start(seed);
        for data_centre in ["north", "south"] {
            scenario.fleet.network.cut_platform(data_centre);
        }
        scenario.load_for(Millis::from_secs(2));
        scenario.fleet.restart_node(site);
        scenario.load_for(Millis::from_secs(3));
        scenario.fleet.network.heal();
        scenario.load_for(Millis::from_secs(8));
        assert_eq!(runs(&scenario, site, since + MAX_DELAY), 0, "seed {seed}");
    });
}

/// Guards against a target that starts again behind the same node and never gets requests.
#[test]
fn a_departure_ends_with_the_process_of_the_target() {
    for_seeds(|seed| {
        let (mut scenario, site, _) = start(seed);
        scenario.load_for(Millis::from_secs(3));
        scenario.fleet.restart(site);
        scenario.load_for(Millis::from_secs(4));
        let since = scenario.fleet.now - Millis::from_secs(2);
        assert!(runs(&scenario, site, since) >= 20, "seed {seed}: 75 without a departure");
    });
}

/// Guards against a report that was sent before a deregistration, arrives after it and brings the
/// target back.
#[test]
fn a_late_report_does_not_bring_a_target_back_that_has_deregistered() {
    for_seeds(|seed| {
        for late in [0, 1, 500, 3_500, 14_000].map(Millis) {
            let (mut scenario, site, since) = start_deregistration(seed, late);
            scenario.load_for(late + Millis::from_secs(4));
            assert_eq!(
                runs(&scenario, site, since + MAX_DELAY),
                0,
                "seed {seed}, late by {late:?}"
            );
            assert_eq!(scenario::unserved(&scenario.fleet, since), [""; 0], "seed {seed}");
        }
    });
}

/// Guards against a restarted node that knows nothing of a deregistration when a late report arrives.
#[test]
fn a_deregistration_is_remembered_while_the_node_beside_the_target_is_restarted() {
    for_seeds(|seed| {
        for late in [100, 350, 3_500].map(Millis) {
            let (mut scenario, site, since) = start_deregistration(seed, late);
            scenario.load_for(Millis(50));
            scenario.fleet.restart_node(site);
            scenario.load_for(late + Millis::from_secs(4));
            assert_eq!(
                runs(&scenario, site, since + MAX_DELAY),
                0,
                "seed {seed}, late by {late:?}"
            );
        }
    });
}

/// Guards against a deregistration that a restarted node hears before the first report of the target,
/// acknowledges and forgets.
#[test]
fn a_deregistration_before_the_first_report_is_remembered() {
    for_seeds(|seed| {
        let (mut scenario, site, _) = start(seed);
        scenario.fleet.target(site).notice.leaving = false;
        scenario.fleet.target(site).has_deregistered = true;
        scenario.fleet.restart_node(site);
        scenario.load_for(Millis(50));
        let since = scenario.fleet.now;
        scenario.fleet.deregister_target(site, Millis(2_500));
        scenario.load_for(Millis::from_secs(7));
        assert_eq!(runs(&scenario, site, since + MAX_DELAY), 0, "seed {seed}");
    });
}

/// Guards against a target that starts again under the same instance id and never gets requests, as an
/// earlier process of it has deregistered, or does so late.
#[test]
fn a_deregistration_ends_with_the_process_of_the_target() {
    for_seeds(|seed| {
        let (mut scenario, site, _) = start_deregistration(seed, Millis(5_000));
        let instance = scenario.fleet.world_at(site).identity().name().clone();
        let started = Some(scenario.fleet.target(site).started);
        scenario.load_for(Millis::from_secs(3));
        scenario.fleet.restart(site);
        scenario.load_for(Millis::from_secs(1));
        scenario.fleet.report_departure(site, instance, started);
        scenario.load_for(Millis::from_secs(3));
        let since = scenario.fleet.now - Millis::from_secs(2);
        assert!(runs(&scenario, site, since) >= 20, "seed {seed}: 75 without a departure");
    });
}
