//! Peers that do not reply: asked through others, then suspected, then dead, then forgotten.

use super::{Message, PeerState, exchange, set_state};
use crate::{
    id::{NodeId, PeerKey},
    table::peer::Peer,
    world::{Tick, World},
};

/// How many peers are asked to try a peer that did not reply.
const HELPERS: usize = 3;

pub(super) fn run(world: &mut World, tick: &mut Tick) {
    for node in std::mem::take(&mut tick.inbox.undelivered) {
        let Some(key) = world.tables.peers.by_node(node) else { continue };
        let open = &world.systems.membership.exchanges.open;
        let numbers: Vec<u64> = open
            .iter()
            .filter(|(_, exchange)| exchange.peer == key)
            .map(|(&number, _)| number)
            .collect();
        for number in numbers {
            ask_others(world, tick, number);
        }
    }
    run_exchanges(world, tick);
    run_suspicions(world, tick);
}

/// Starts an exchange with a node that did not reply to the sender.
pub(super) fn relay(world: &mut World, tick: &mut Tick, from: NodeId, number: u64, node: NodeId) {
    if let Some(peer) = world.tables.peers.by_node(node) {
        exchange::ask(world, tick, peer, Some((from, number)));
    }
}

/// Follows up exchanges without a reply.
fn run_exchanges(world: &mut World, tick: &mut Tick) {
    let options = &world.options.membership;
    let (reply, probe) = (options.reply_timeout, options.reply_timeout + options.probe_timeout);
    let mut late = Vec::new();
    let mut failed = Vec::new();
    for (&number, exchange) in &world.systems.membership.exchanges.open {
        if tick.now >= exchange.sent + probe {
            failed.push(number);
        } else if tick.now >= exchange.sent + reply && !exchange.is_indirect {
            late.push(number);
        } else {
            let wait = if exchange.is_indirect { probe } else { reply };
            tick.wake(exchange.sent + wait);
        }
    }
    for number in late {
        ask_others(world, tick, number);
    }
    for number in failed {
        let Some(exchange) = world.systems.membership.exchanges.open.remove(&number) else {
            continue;
        };
        if exchange.on_behalf_of.is_none() {
            doubt(world, tick, exchange.peer);
        }
    }
}

/// Asks a few peers to try the peer of an exchange.
fn ask_others(world: &mut World, tick: &mut Tick, number: u64) {
    let options = &world.options.membership;
    let wait = options.reply_timeout + options.probe_timeout;
    let Some(exchange) = world.systems.membership.exchanges.open.get_mut(&number) else { return };
    if exchange.is_indirect || exchange.on_behalf_of.is_some() {
        return;
    }
    exchange.is_indirect = true;
    tick.wake(exchange.sent + wait);
    let key = exchange.peer;
    let Some(peer) = world.tables.peers.get_mut(key) else { return };
    peer.introduced = false;
    let (node, state) = (peer.announcement.node, peer.state);
    if state == PeerState::Dead {
        return;
    }
    let fits = |peer: &Peer| peer.state == PeerState::Alive && peer.announcement.node != node;
    for helper in world.sample(HELPERS, fits) {
        world.send(tick, helper, Message::Probe { number, node });
    }
}

/// A peer has replied neither to this node nor to others.
fn doubt(world: &mut World, tick: &mut Tick, key: PeerKey) {
    let Some(peer) = world.tables.peers.get(key) else { return };
    match peer.state {
        PeerState::Alive => set_state(world, tick, key, PeerState::Suspect),
        PeerState::Leaving => set_state(world, tick, key, PeerState::Dead),
        PeerState::Suspect | PeerState::Dead => {}
    }
}

/// Declares peers dead that have not refuted a suspicion, and forgets those long dead.
fn run_suspicions(world: &mut World, tick: &mut Tick) {
    let options = &world.options.membership;
    let (suspicion, retention) = (options.suspicion, options.retention);
    let mut dead = Vec::new();
    let mut gone = Vec::new();
    for (key, peer) in world.tables.peers.iter() {
        match peer.state {
            PeerState::Suspect if tick.now - peer.since >= suspicion => dead.push(key),
            PeerState::Suspect => tick.wake(peer.since + suspicion),
            PeerState::Dead if tick.now - peer.since >= retention => gone.push(key),
            _ => {}
        }
    }
    for key in dead {
        set_state(world, tick, key, PeerState::Dead);
    }
    for key in gone {
        world.tables.peers.remove(key);
    }
}
