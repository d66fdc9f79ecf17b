//! Finds peers, through the platform's rows and through gossip.

use crate::{
    platform,
    table::peer::Peer,
    world::{Tick, World},
};

pub(super) fn run(world: &mut World, tick: &mut Tick) {
    for (_, reply) in &tick.inbox.platform {
        let platform::Reply::Changes { rows, .. } = reply else { continue };
        for versioned in rows {
            let platform::Row::Node(node, announcement) = &versioned.row else { continue };
            if *node == world.identity.node() {
                continue;
            }
            match announcement {
                Some(announcement) => {
                    world.tables.peers.insert(Peer::new(announcement.clone(), tick.now));
                }
                None => {
                    if let Some(peer) = world.tables.peers.by_node(*node) {
                        world.tables.peers.remove(peer);
                    }
                }
            }
        }
    }
}
