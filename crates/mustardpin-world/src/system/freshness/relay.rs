//! Asks peers how old their knowledge from the store is, while the store does not answer this node.
//!
//! A peer's answer counts as of the point at which it was asked, less the age that the peer tells:
//! no later than the peer's own knowledge. It counts only if the node has the configuration that
//! the peer speaks of.

use rand::RngExt as _;

use crate::{
    clock::Millis,
    id::{NodeId, PeerKey},
    message::freshness::Message,
    table::peer::Link,
    world::{Tick, World},
};

/// A node asks a peer once its own knowledge is older than this.
const OLD: Millis = Millis(1_800);
/// The time between two questions, each to another peer.
const ASK_PERIOD: Millis = Millis(300);

/// What the relay remembers from tick to tick.
#[derive(Debug, Default)]
pub(super) struct State {
    next: Millis,
    last_number: u64,
    /// The last question, and when it was sent.
    asked: Option<(u64, Millis)>,
}

pub(super) fn run(world: &mut World, tick: &mut Tick) {
    for (from, message) in std::mem::take(&mut tick.inbox.freshness) {
        match message {
            Message::Query { number } => tell(world, tick, from, number),
            Message::Reply { .. } => told(world, from, message),
        }
    }
    ask(world, tick);
}

fn tell(world: &mut World, tick: &mut Tick, to: NodeId, number: u64) {
    let tables = &world.tables;
    let message = Message::Reply {
        number,
        age: tables.freshness.configuration_age(tick.now),
        revision: tables.configuration.revision,
        fleet_age: tables.freshness.fleet_age(tick.now),
        roster: tables.roster.version,
    };
    world.send_to(tick, to, message);
}

fn told(world: &mut World, from: NodeId, message: Message) {
    let Message::Reply { number, age, revision, fleet_age, roster } = message else { return };
    let Some((_, sent)) = world.systems.freshness.relay.asked.filter(|asked| asked.0 == number)
    else {
        return;
    };
    let tables = &mut world.tables;
    if let Some(peer) = tables.peers.by_node(from).and_then(|peer| tables.peers.get_mut(peer)) {
        // The configuration is asked for if it is later than the own one.
        peer.revision = peer.revision.max(revision);
    }
    let freshness = &mut tables.freshness;
    if tables.configuration.revision >= revision && age < sent {
        freshness.configuration_as_of = freshness.configuration_as_of.max(Some(sent - age));
    }
    if tables.roster.version >= roster && fleet_age < sent {
        freshness.fleet_as_of = freshness.fleet_as_of.max(Some(sent - fleet_age));
    }
}

fn ask(world: &mut World, tick: &mut Tick) {
    let freshness = &world.tables.freshness;
    let age = freshness.configuration_age(tick.now).max(freshness.fleet_age(tick.now));
    if age < OLD {
        return tick.wake(tick.now + (OLD - age));
    }
    if tick.now < world.systems.freshness.relay.next {
        return tick.wake(world.systems.freshness.relay.next);
    }
    let peers = world.tables.peers.iter().filter(|(_, peer)| peer.link == Link::Up);
    let peers: Vec<PeerKey> = peers.map(|(key, _)| key).collect();
    if peers.is_empty() {
        return;
    }
    let peer = peers[world.rng.random_range(0..peers.len())];
    let relay = &mut world.systems.freshness.relay;
    relay.last_number += 1;
    relay.asked = Some((relay.last_number, tick.now));
    relay.next = tick.now + ASK_PERIOD;
    tick.wake(relay.next);
    let number = relay.last_number;
    world.send(tick, peer, Message::Query { number });
}
