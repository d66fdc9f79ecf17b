//! Asks peers for the age of their data from the store while the store doesn't reply to this node.
//!
//! A peer's reply counts as of the time at which the query was sent, less the age in the reply: no
//! later than the peer's own data. It counts only if this node has the configuration or roster to
//! which that age applies.

use rand::RngExt as _;

use crate::{
    clock::Millis,
    id::{NodeId, PeerKey},
    message::freshness::Message,
    system::freshness::{confirmation, sharing},
    table::peer::Link,
    world::{Tick, World},
};

/// Age of the node's own data from which it queries peers.
const MIN_QUERY_AGE: Millis = Millis(1_800);
/// Interval between two queries, each to a random peer.
const QUERY_INTERVAL: Millis = Millis(300);
/// Like `MIN_QUERY_AGE`, in a fleet whose nodes rely on each other for recent data.
const SHARED_MIN_QUERY_AGE: Millis = Millis(1_200);
/// Like `QUERY_INTERVAL`, in a fleet whose nodes rely on each other for recent data.
const SHARED_QUERY_INTERVAL: Millis = Millis(200);

/// State of the relay between ticks.
#[derive(Debug, Default)]
pub(super) struct State {
    next_query: Millis,
    /// Number of the last query, of this system or of `confirmation`.
    pub(super) last_number: u64,
    /// Number of the last query, and when it was sent.
    pending: Option<(u64, Millis)>,
}

pub(super) fn run(world: &mut World, tick: &mut Tick) {
    for (from, message) in std::mem::take(&mut tick.inbox.freshness) {
        match message {
            Message::Query { number } => send_reply(world, tick, from, number),
            Message::Reply { .. } => handle_reply(world, from, message),
        }
    }
    send_query(world, tick);
}

fn send_reply(world: &mut World, tick: &mut Tick, to: NodeId, number: u64) {
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

fn handle_reply(world: &mut World, from: NodeId, message: Message) {
    let Message::Reply { number, age, revision, fleet_age, roster } = message else { return };
    confirmation::record_reply(world, from, number);
    let tables = &mut world.tables;
    if let Some(peer) = tables.peers.by_node(from).and_then(|peer| tables.peers.get_mut(peer)) {
        // A revision later than this node's makes it request the configuration from the peer.
        peer.revision = peer.revision.max(revision);
    }
    let Some((_, sent)) =
        world.systems.freshness.relay.pending.filter(|pending| pending.0 == number)
    else {
        return;
    };
    let tables = &mut world.tables;
    let freshness = &mut tables.freshness;
    if tables.configuration.revision >= revision && age < sent {
        freshness.configuration_as_of = freshness.configuration_as_of.max(Some(sent - age));
    }
    if tables.roster.version >= roster && fleet_age < sent {
        freshness.fleet_as_of = freshness.fleet_as_of.max(Some(sent - fleet_age));
    }
}

fn send_query(world: &mut World, tick: &mut Tick) {
    let freshness = &world.tables.freshness;
    let age = freshness.configuration_age(tick.now).max(freshness.fleet_age(tick.now));
    let (min_age, interval) = match sharing::is_active(world) {
        true => (SHARED_MIN_QUERY_AGE, SHARED_QUERY_INTERVAL),
        false => (MIN_QUERY_AGE, QUERY_INTERVAL),
    };
    if age < min_age {
        return tick.wake(tick.now + (min_age - age));
    }
    if tick.now < world.systems.freshness.relay.next_query {
        return tick.wake(world.systems.freshness.relay.next_query);
    }
    let peers = world.tables.peers.iter().filter(|(_, peer)| peer.link == Link::Up);
    let peers: Vec<PeerKey> = peers.map(|(key, _)| key).collect();
    if peers.is_empty() {
        return;
    }
    let peer = peers[world.rng.random_range(0..peers.len())];
    let relay = &mut world.systems.freshness.relay;
    relay.last_number += 1;
    relay.pending = Some((relay.last_number, tick.now));
    relay.next_query = tick.now + interval;
    tick.wake(relay.next_query);
    let number = relay.last_number;
    world.send(tick, peer, Message::Query { number });
}
