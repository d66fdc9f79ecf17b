//! How nodes find their peers, notice that one has failed, forget it, and find it again.

use mustardpin_virtual::{Fleet, Service, Site};
use mustardpin_world::{
    Millis, Options,
    store::{RowKey, Value},
    table::peer::Peer,
};

/// The maximum time until peers forget a node that none of them reaches.
const MAX_FORGET_DELAY: Millis = Millis::from_secs(21);

/// A fleet of three nodes in each of three data centres, after ten seconds.
fn fleet(seed: u64) -> Fleet {
    let mut fleet = Fleet::new(seed, Options::default());
    for data_centre in ["north", "south", "west"] {
        for _ in 0..3 {
            fleet.add(data_centre, Service::leaf("search", 4, 5.0));
        }
    }
    fleet.run_for(Millis::from_secs(10));
    fleet
}

/// For each node, the number of peers that it knows and the number that it has a link to.
fn peers(fleet: &Fleet) -> Vec<(usize, usize)> {
    let worlds = fleet.sites().map(|site| fleet.world_at(site));
    let peers = worlds.map(|world| &world.tables().peers);
    let reached = |(_, peer): &(_, &Peer)| peer.is_open();
    peers.map(|peers| (peers.len(), peers.iter().filter(reached).count())).collect()
}

#[test]
fn a_killed_node_is_forgotten_by_its_peers_and_found_after_a_restart() {
    let mut fleet = fleet(1);
    assert_eq!(peers(&fleet), [(8, 8); 9]);
    fleet.kill(Site(4));
    fleet.run_for(Millis::from_secs(1));
    let others = |fleet: &Fleet| {
        let mut others = peers(fleet);
        others.remove(4);
        others
    };
    assert_eq!(others(&fleet), [(8, 7); 8], "a failed peer may restart soon");
    fleet.run_for(MAX_FORGET_DELAY);
    assert_eq!(others(&fleet), [(7, 7); 8]);
    fleet.restart(Site(4));
    fleet.run_for(Millis::from_secs(2));
    assert_eq!(peers(&fleet), [(8, 8); 9]);
}

#[test]
fn a_restarted_node_is_found_within_1500_ms() {
    let mut fleet = fleet(2);
    fleet.restart(Site(4));
    fleet.run_for(Millis(1_500));
    assert_eq!(peers(&fleet), [(8, 8); 9]);
}

/// The restarted node knows only the address of one peer, which is in its settings.
#[test]
fn a_node_that_starts_without_the_platform_finds_its_peers_through_one_of_them() {
    let mut fleet = fleet(3);
    fleet.platform.mode = mustardpin_virtual::PlatformMode::Down;
    fleet.restart(Site(4));
    fleet.introduce(Site(4), Site(7));
    fleet.run_for(Millis::from_secs(2));
    assert_eq!(peers(&fleet), [(8, 8); 9]);
}

/// Guards against nodes that drop a peer, or never write their own row or the roster again, after
/// another program has overwritten the row with content that cannot be decoded.
#[test]
fn rows_that_another_program_spoilt_are_written_again() {
    for compacted in [false, true] {
        let mut fleet = fleet(4);
        let row = |site| RowKey::Node(fleet.world_at(site).identity().name().clone());
        let keys = [row(Site(0)), row(Site(4)), RowKey::Roster];
        let spoilt = keys.iter().map(|key| (key.clone(), Value::Unreadable)).collect();
        fleet.platform.put(spoilt);
        if compacted {
            fleet.platform.compact();
        }
        let writes = fleet.platform.writes;
        fleet.run_for(Millis::from_secs(8));
        for key in &keys {
            let value = fleet.platform.value(key);
            assert!(matches!(value, Some(Value::Node(_) | Value::Roster(_))), "{key:?}: {value:?}");
        }
        assert_eq!(peers(&fleet), [(8, 8); 9], "compacted: {compacted}");
        assert!(fleet.platform.writes - writes <= 12, "{} writes", fleet.platform.writes - writes);
        let forgotten = fleet.log.iter().filter(|(_, _, entry)| entry.event == "peer_forgotten");
        assert_eq!(forgotten.count(), 0, "compacted: {compacted}");
        fleet.restart(Site(4));
        fleet.run_for(Millis::from_secs(2));
        assert_eq!(peers(&fleet), [(8, 8); 9], "compacted: {compacted}");
    }
}
