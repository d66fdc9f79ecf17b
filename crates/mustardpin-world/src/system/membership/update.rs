//! Changes on their way: each travels on a bounded number of messages.

use crate::{message::membership::Update, world::World};

/// Updates in one message.
const PER_MESSAGE: usize = 4;

/// An update that is being passed on.
#[derive(Debug)]
struct Spreading {
    update: Update,
    /// Messages that will still carry it.
    left: u32,
}

/// Updates that are being passed on.
#[derive(Debug, Default)]
pub(super) struct Updates {
    rows: Vec<Spreading>,
}

/// Passes an update on with the next messages, in place of an earlier one on the same node.
pub(super) fn spread(world: &mut World, update: Update) {
    let nodes = world.tables.peers.len() as u32 + 2;
    let left = 2 * (u32::BITS - nodes.leading_zeros()) + 2;
    let rows = &mut world.systems.membership.updates.rows;
    rows.retain(|spreading| spreading.update.node != update.node);
    rows.push(Spreading { update, left });
}

/// The updates for the next message: those that few messages have carried come first.
pub(super) fn take(world: &mut World) -> Vec<Update> {
    let rows = &mut world.systems.membership.updates.rows;
    rows.sort_by_key(|spreading| std::cmp::Reverse(spreading.left));
    let mut updates = Vec::new();
    for spreading in rows.iter_mut().take(PER_MESSAGE) {
        spreading.left -= 1;
        updates.push(spreading.update.clone());
    }
    rows.retain(|spreading| spreading.left > 0);
    updates
}
