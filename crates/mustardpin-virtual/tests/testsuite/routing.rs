//! How a node chooses the node that runs a request: its own data centre first, other data centres
//! before a refusal, and no ejected node.

use mustardpin_virtual::{Fleet, Request, Service, Site};
use mustardpin_world::{Millis, Options, config::Row, table::counter::Retry};

use crate::support;

const KEY: &str = "garage-1.secret";

/// An entry node in the south, then `nodes` nodes of the service in the south, then as many in the
/// north.
fn fleet(seed: u64, service: &Service, nodes: usize) -> Fleet {
    let mut fleet = Fleet::new(seed, Options::default());
    fleet.add("south", Service::leaf("entry", 8, 1.0));
    for data_centre in ["south", "north"] {
        for _ in 0..nodes {
            fleet.add(data_centre, service.clone());
        }
    }
    let rows = vec![
        support::team("garage", 100_000, 100_000),
        support::key("garage"),
        Row::Route(support::route("entry")),
        Row::Route(support::route("search")),
    ];
    support::put(&mut fleet, rows);
    fleet.run_for(Millis::from_secs(3));
    fleet
}

/// Sends `rate` requests a second for a time. Returns their root requests.
fn send(fleet: &mut Fleet, rate: u64, length: Millis) -> Vec<u64> {
    let mut roots = Vec::new();
    for now in 0..length.0 {
        for _ in (now * rate / 1_000)..((now + 1) * rate / 1_000) {
            let fingerprint = fleet.now.0 * 1_000 + roots.len() as u64;
            let request = Request { fingerprint, ..Request::get("/search", KEY) };
            roots.push(fleet.send(Site(0), request));
        }
        fleet.run_for(Millis(1));
    }
    roots
}

fn refused(fleet: &Fleet, roots: &[u64]) -> usize {
    let is_complete =
        |root: &u64| fleet.response_to(*root).is_some_and(|response| response.is_complete());
    roots.iter().filter(|root| !is_complete(root)).count()
}

fn runs_in(fleet: &Fleet, sites: std::ops::Range<usize>, from: Millis) -> usize {
    let nodes: Vec<_> = sites.map(|site| fleet.world_at(Site(site)).identity().node()).collect();
    fleet.ran.iter().filter(|record| record.at >= from && nodes.contains(&record.node)).count()
}

#[test]
fn requests_stay_in_the_local_data_centre_while_it_has_capacity() {
    for seed in support::seeds(3) {
        // Two local targets run 400 requests a second.
        let mut fleet = fleet(seed, &Service::leaf("search", 10, 50.0), 2);
        send(&mut fleet, 200, Millis::from_secs(5));
        let from = fleet.now;
        let roots = send(&mut fleet, 200, Millis::from_secs(5));
        fleet.run_for(Millis::from_secs(1));
        assert_eq!(refused(&fleet, &roots), 0, "seed {seed}");
        let remote = runs_in(&fleet, 3..5, from);
        assert!(
            remote * 20 <= roots.len(),
            "seed {seed}: {remote} of {} ran in the north",
            roots.len()
        );
    }
}

#[test]
fn requests_go_to_another_data_centre_before_they_are_refused() {
    for seed in support::seeds(3) {
        // Two local targets run 400 requests a second, all four 800.
        let mut fleet = fleet(seed, &Service::leaf("search", 10, 50.0), 2);
        send(&mut fleet, 550, Millis::from_secs(5));
        let roots = send(&mut fleet, 550, Millis::from_secs(5));
        fleet.run_for(Millis::from_secs(1));
        let refused = refused(&fleet, &roots);
        assert!(refused * 100 <= roots.len(), "seed {seed}: {refused} of {}", roots.len());
    }
}

#[test]
fn a_killed_node_is_ejected_and_used_again_after_its_restart() {
    for seed in support::seeds(3) {
        let mut fleet = fleet(seed, &Service::leaf("search", 10, 20.0), 2);
        send(&mut fleet, 100, Millis::from_secs(3));
        fleet.kill(Site(1));
        let roots = send(&mut fleet, 100, Millis::from_secs(10));
        fleet.run_for(Millis::from_secs(1));
        assert_eq!(refused(&fleet, &roots), 0, "seed {seed}: requests were lost");
        let not_sent = fleet
            .world_at(Site(0))
            .tables()
            .counters
            .retries(mustardpin_world::table::counter::Retry::NotSent);
        assert!(not_sent <= 12, "seed {seed}: {not_sent} requests were sent to a dead node");
        fleet.restart(Site(1));
        send(&mut fleet, 100, Millis::from_secs(12));
        let from = fleet.now;
        send(&mut fleet, 100, Millis::from_secs(3));
        let returned = runs_in(&fleet, 1..2, from);
        assert!(returned >= 60, "seed {seed}: {returned} of 300 ran on the restarted node");
    }
}

#[test]
fn an_ejected_node_is_probed_and_gets_requests_again() {
    for seed in support::seeds(3) {
        let mut fleet = Fleet::new(seed, Options::default());
        fleet.add("south", Service::leaf("entry", 8, 1.0));
        fleet.add("north", Service::leaf("search", 10, 20.0));
        let rows = vec![
            support::team("garage", 100_000, 100_000),
            support::key("garage"),
            Row::Route(support::route("search")),
        ];
        support::put(&mut fleet, rows);
        fleet.run_for(Millis::from_secs(3));
        fleet.network.cut("north", "south");
        let during_cut = send(&mut fleet, 100, Millis(1_500));
        assert_eq!(
            refused(&fleet, &during_cut),
            during_cut.len(),
            "seed {seed}: a request passed the cut"
        );
        let not_sent = fleet.world_at(Site(0)).tables().counters.retries(Retry::NotSent);
        assert!(not_sent <= 8, "seed {seed}: {not_sent} requests were sent into the cut");
        fleet.network.heal();
        // The maximum ejection after so short a cut, and the time that gossip takes.
        send(&mut fleet, 100, Millis::from_secs(4));
        let after_heal = send(&mut fleet, 100, Millis::from_secs(1));
        fleet.run_for(Millis::from_secs(1));
        assert_eq!(refused(&fleet, &after_heal), 0, "seed {seed}");
    }
}

#[test]
fn nested_calls_are_cancelled_when_the_caller_disconnects() {
    let mut fleet = Fleet::new(1, Options::default());
    let mut front = Service::leaf("front", 8, 1.0);
    front.calls = vec!["/back".to_owned()];
    let front = fleet.add("north", front);
    let back = fleet.add("south", Service::leaf("back", 8, 4_000.0));
    let rows = vec![
        support::team("garage", 100, 100),
        support::key("garage"),
        Row::Route(support::route("front")),
        Row::Route(support::route("back")),
    ];
    support::put(&mut fleet, rows);
    fleet.run_for(Millis::from_secs(3));
    let roots: Vec<u64> = (0..4)
        .map(|number| {
            let request = Request { fingerprint: number, ..Request::get("/front", KEY) };
            fleet.send(front, request)
        })
        .collect();
    fleet.run_for(Millis(100));
    assert!(fleet.world_at(back).tables().target.running > 0);
    for root in roots {
        fleet.disconnect_caller(root);
    }
    fleet.run_for(Millis(100));
    assert_eq!(fleet.world_at(back).tables().target.running, 0);
    assert_eq!(fleet.world_at(front).tables().calls.len(), 0);
}
