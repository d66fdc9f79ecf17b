//! Prints a fleet's control traffic, in messages between nodes and operations of the platform.
//!
//! `cargo run --release -p mustardpin-virtual --example control_traffic [NODES...]`; the nodes are
//! in eight data centres. Each figure is of one run in virtual time with seed 1.

use std::env;

use mustardpin_virtual::{Fleet, Service, Site};
use mustardpin_world::{
    Millis, Options, config,
    event::Proposal,
    store::{Head, RowKey, Value},
    table::peer::Peer,
};

const DATA_CENTRE_COUNT: usize = 8;
/// Virtual time for all nodes to find each other after they started at the same time.
const START_PHASE: Millis = Millis::from_secs(30);
/// Virtual time that each phase is measured for.
const PHASE: Millis = Millis::from_secs(10);
/// The maximum virtual time of a phase that waits for a change to reach all nodes.
const MAX_PHASE: Millis = Millis::from_secs(30);
/// The interval between two checks of all nodes.
const CHECK_INTERVAL: Millis = Millis(20);

fn main() {
    let sizes: Vec<usize> = env::args().skip(1).filter_map(|size| size.parse().ok()).collect();
    println!(
        "| nodes | phase | messages per node and s | bytes per node and s | reads/s | writes/s | ms until everywhere |"
    );
    println!("|---|---|---|---|---|---|---|");
    for nodes in if sizes.is_empty() { vec![24, 96, 300, 690] } else { sizes } {
        measure(nodes);
    }
}

fn measure(nodes: usize) {
    let mut fleet = Fleet::new(1, Options::default());
    put_rows(&mut fleet);
    for index in 0..nodes {
        let data_centre = format!("dc-{}", index % DATA_CENTRE_COUNT);
        fleet.add(&data_centre, Service::leaf("search", 4, 5.0));
    }
    phase(&mut fleet, "all started at once", START_PHASE, |_| true);
    phase(&mut fleet, "at rest", PHASE, |_| true);
    let expected = fleet.world_at(Site(0)).tables().configuration.revision;
    let rows = vec![team("changed")];
    let proposal = Proposal { id: "change".into(), expected, rows, removals: Vec::new() };
    fleet.propose(Site(0), 1, proposal);
    phase(&mut fleet, "one change", PHASE, |fleet| {
        fleet.sites().all(|site| fleet.world_at(site).tables().teams.by_name("changed").is_some())
    });
    let killed = Site(nodes / 2);
    let node = fleet.world_at(killed).identity().node();
    let is_known = move |fleet: &Fleet, node| {
        let mut others = fleet.sites().filter(|&site| site != killed);
        others.any(|site| fleet.world_at(site).tables().peers.by_node(node).is_some())
    };
    fleet.kill(killed);
    phase(&mut fleet, "one node dead", PHASE, |fleet| !is_known(fleet, node));
    fleet.restart(killed);
    let node = fleet.world_at(killed).identity().node();
    phase(&mut fleet, "one node replaced", PHASE, |fleet| {
        let mut others = fleet.sites().filter(|&site| site != killed);
        others.all(|site| {
            let peers = &fleet.world_at(site).tables().peers;
            peers.by_node(node).and_then(|peer| peers.get(peer)).is_some_and(Peer::is_open)
        })
    });
}

fn team(name: &str) -> config::Row {
    let importance = config::Importance::default();
    let name = name.into();
    config::Row::Team(config::Team { name, rate: 100, burst: 100, weight: 1, importance })
}

fn put_rows(fleet: &mut Fleet) {
    fleet.platform.put_configuration(vec![team("first")]);
    fleet.platform.put(vec![(RowKey::Head, Value::Head(Head::default()))]);
}

/// Runs a phase and prints its row.
fn phase(fleet: &mut Fleet, name: &str, length: Millis, is_done: impl Fn(&Fleet) -> bool) {
    let (start, messages, bytes) = (fleet.now, fleet.messages, fleet.message_bytes);
    let (reads, writes) = (fleet.platform.reads, fleet.platform.writes);
    let mut done_after = is_done(fleet).then_some(Millis::ZERO);
    while fleet.now < start + length || (done_after.is_none() && fleet.now < start + MAX_PHASE) {
        fleet.run_for(CHECK_INTERVAL);
        if done_after.is_none() && is_done(fleet) {
            done_after = Some(fleet.now - start);
        }
    }
    let nodes = fleet.sites().count() as f64;
    let seconds = (fleet.now - start).0 as f64 / 1_000.0;
    let done_after = done_after.map_or("never".to_owned(), |done_after| done_after.0.to_string());
    println!(
        "| {nodes} | {name} | {:.1} | {:.0} | {:.1} | {:.1} | {done_after} |",
        (fleet.messages - messages) as f64 / nodes / seconds,
        (fleet.message_bytes - bytes) as f64 / nodes / seconds,
        (fleet.platform.reads - reads) as f64 / seconds,
        (fleet.platform.writes - writes) as f64 / seconds,
    );
}
