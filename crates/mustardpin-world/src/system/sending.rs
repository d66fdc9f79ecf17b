//! Sends messages to peers.

use crate::{
    command::Command,
    id::NodeId,
    message::Message,
    table::counter::Work,
    world::{Tick, World},
};

/// Sends a message to a peer, if its address is known.
pub(super) fn send(world: &mut World, tick: &mut Tick, to: NodeId, message: impl Into<Message>) {
    let tables = &mut world.tables;
    let Some(peer) = tables.peers.by_node(to).and_then(|peer| tables.peers.get(peer)) else {
        return;
    };
    let address = peer.announcement.control_address.clone();
    tables.counters.work(Work::Messages);
    tick.commands.push(Command::Send { to, address, message: message.into() });
}
