//! Decides when the store alone can confirm the configuration.
//!
//! A restored store may hold an earlier configuration than the fleet, and a process that starts then
//! reads that one. So after its start and after each restore, a node first learns from its peers
//! whether there is a later revision. Until then, the store's replies don't renew the age of its
//! configuration, and it requests a later one from the peer that has it.

use rand::seq::IteratorRandom as _;
use smallvec::SmallVec;

use crate::{
    clock::Millis,
    id::NodeId,
    log::{Entry, Level},
    message::freshness::Message,
    system::fleet,
    table::peer::Link,
    world::{Tick, World},
};

/// Maximum number of peers whose replies are awaited.
const MAX_ASKED: usize = 16;
/// How long replies are awaited if at least half of the peers have replied. If fewer have, this
/// node may be cut off, and waits for as long as a starting node waits for its peers.
const REPLY_PERIOD: Millis = Millis(500);

/// A peer whose revision is awaited.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Awaited {
    peer: NodeId,
    /// Whether it was sent a query. If not, it reports its revision when it connects.
    is_asked: bool,
}

/// State of the confirmation between ticks.
#[derive(Debug, Default)]
pub(super) struct State {
    /// Since when peers have to confirm the configuration; `None` while the store alone can.
    since: Option<Millis>,
    /// The number of the query to the peers.
    number: u64,
    awaited: SmallVec<[Awaited; MAX_ASKED]>,
    /// How many peers were awaited at first.
    asked: usize,
    /// The latest time as of which the store replied meanwhile.
    confirmed: Option<Millis>,
}

/// Whether a later revision than the store's may exist, so that peers have to be heard.
pub(super) fn is_pending(world: &World) -> bool {
    world.systems.freshness.confirmation.since.is_some()
}

/// Begins the confirmation for a process that has just started. Its peers report their revisions when
/// they connect.
pub(super) fn begin_at_start(world: &mut World, now: Millis) {
    world.systems.freshness.confirmation = State { since: Some(now), ..State::default() };
}

/// Begins the confirmation after a restore, and asks peers for their revisions.
pub(super) fn begin(world: &mut World, tick: &mut Tick) {
    let peers = world.tables.peers.iter().filter(|(_, peer)| peer.link != Link::Refused);
    let asked = peers
        .map(|(key, peer)| (key, peer.announcement.node, peer.link == Link::Up))
        .sample(&mut world.rng, MAX_ASKED);
    let relay = &mut world.systems.freshness.relay;
    relay.last_number += 1;
    let number = relay.last_number;
    let awaited = asked.iter().map(|&(_, peer, is_asked)| Awaited { peer, is_asked }).collect();
    world.systems.freshness.confirmation =
        State { since: Some(tick.now), number, awaited, asked: asked.len(), confirmed: None };
    for (key, ..) in asked.into_iter().filter(|(.., is_asked)| *is_asked) {
        world.send(tick, key, Message::Query { number });
    }
}

/// Records a peer's reply to a freshness query.
pub(super) fn record_reply(world: &mut World, from: NodeId, number: u64) {
    let state = &mut world.systems.freshness.confirmation;
    if number >= state.number {
        state.awaited.retain(|awaited| awaited.peer != from);
    }
}

/// Records that the store confirmed the configuration as of a point in time.
pub(super) fn confirm(world: &mut World, as_of: Millis) {
    let state = &mut world.systems.freshness.confirmation;
    let confirmed = match state.since {
        Some(_) => &mut state.confirmed,
        None => &mut world.tables.freshness.configuration_as_of,
    };
    *confirmed = (*confirmed).max(Some(as_of));
}

/// Ends the confirmation once enough peers have reported their revisions and none has a later one.
pub(super) fn run(world: &mut World, tick: &mut Tick) {
    let Some(since) = world.systems.freshness.confirmation.since else { return };
    let peers = &world.tables.peers;
    world.systems.freshness.confirmation.awaited.retain(|awaited| {
        let peer = peers.by_node(awaited.peer).and_then(|peer| peers.get(peer));
        peer.is_some_and(|peer| awaited.is_asked || peer.link != Link::Up)
    });
    let state = &world.systems.freshness.confirmation;
    let meet_within = world.options.fleet.meet_within;
    let reply_period = match state.awaited.len() * 2 <= state.asked {
        true => REPLY_PERIOD.min(meet_within),
        false => meet_within,
    };
    let elapsed = tick.now - since;
    let has_heard = state.awaited.is_empty() || elapsed >= reply_period;
    let has_tried = fleet::all_peers_tried(world) || elapsed >= meet_within;
    let own = world.tables.configuration.revision;
    let is_later = |peer: &crate::table::peer::Peer| peer.link == Link::Up && peer.revision > own;
    if !has_heard || !has_tried || peers.iter().any(|(_, peer)| is_later(peer)) {
        if elapsed < reply_period {
            tick.wake(since + reply_period);
        } else if elapsed < meet_within {
            tick.wake(since + meet_within);
        }
        return;
    }
    let entry = Entry::new(Level::Info, "configuration_confirmed")
        .with("revision", own.0)
        .with("lasted", elapsed)
        .with("asked", state.asked)
        .with("unheard", state.awaited.len());
    tick.log(entry);
    let confirmed = std::mem::take(&mut world.systems.freshness.confirmation).confirmed;
    let as_of = &mut world.tables.freshness.configuration_as_of;
    *as_of = (*as_of).max(confirmed);
}
