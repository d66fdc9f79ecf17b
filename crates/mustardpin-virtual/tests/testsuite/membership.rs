//! Who is there: found, missed, forgotten, and back again.

use mustardpin_virtual::{Fleet, Service, Site};
use mustardpin_world::{Millis, Options, table::peer::Peer};

/// The longest time until a node that nobody reaches is forgotten.
const FORGOTTEN_AFTER: Millis = Millis::from_secs(21);

/// A fleet of three nodes in each of three data centres, as it stands after ten seconds.
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

/// The number of peers that each node knows, and of those that it reaches.
fn peers(fleet: &Fleet) -> Vec<(usize, usize)> {
    let worlds = fleet.sites().map(|site| fleet.world_at(site));
    let peers = worlds.map(|world| &world.tables().peers);
    let reached = |(_, peer): &(_, &Peer)| peer.is_open();
    peers.map(|peers| (peers.len(), peers.iter().filter(reached).count())).collect()
}

#[test]
fn a_killed_node_is_forgotten_by_all_others_and_found_again() {
    let mut fleet = fleet(1);
    assert_eq!(peers(&fleet), [(8, 8); 9]);
    fleet.kill(Site(4));
    fleet.run_for(Millis::from_secs(1));
    let others = |fleet: &Fleet| {
        let mut others = peers(fleet);
        others.remove(4);
        others
    };
    assert_eq!(others(&fleet), [(8, 7); 8], "it may come back soon");
    fleet.run_for(FORGOTTEN_AFTER);
    assert_eq!(others(&fleet), [(7, 7); 8]);
    fleet.restart(Site(4));
    fleet.run_for(Millis::from_secs(2));
    assert_eq!(peers(&fleet), [(8, 8); 9]);
}

#[test]
fn a_node_that_starts_again_is_found_at_once() {
    let mut fleet = fleet(2);
    fleet.restart(Site(4));
    fleet.run_for(Millis(1_500));
    assert_eq!(peers(&fleet), [(8, 8); 9]);
}

/// A node that starts while the platform is down finds the others through one of them.
#[test]
fn a_node_that_starts_without_the_platform_finds_the_others_through_one_of_them() {
    let mut fleet = fleet(3);
    fleet.platform.mode = mustardpin_virtual::PlatformMode::Down;
    fleet.restart(Site(4));
    fleet.introduce(Site(4), Site(7));
    fleet.run_for(Millis::from_secs(2));
    assert_eq!(peers(&fleet), [(8, 8); 9]);
}
