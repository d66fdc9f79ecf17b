//! Who is there: found, missed, removed from the epoch, and back again.

use mustardpin_virtual::{Fleet, Service, Site};
use mustardpin_world::{Millis, Options};

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

/// The number of members in the epoch of each node that is there.
fn members(fleet: &Fleet) -> Vec<usize> {
    let nodes = fleet.sites().map(|site| fleet.world_at(site));
    nodes.map(|world| world.tables().epoch.current.members.len()).collect()
}

#[test]
fn a_killed_node_leaves_the_epoch_of_all_others() {
    let mut fleet = fleet(1);
    assert_eq!(members(&fleet), [9; 9]);
    fleet.kill(Site(4));
    fleet.run_for(Millis::from_secs(12));
    assert_eq!(members(&fleet), [8, 8, 8, 8, 9, 8, 8, 8, 8]);
    fleet.restart(Site(4));
    fleet.run_for(Millis::from_secs(6));
    assert_eq!(members(&fleet), [9; 9]);
}
