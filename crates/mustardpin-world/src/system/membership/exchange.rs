//! Exchanges: a question that carries news, and a reply that carries news back.

use std::collections::BTreeMap;

use rand::RngExt as _;

use super::{Message, PeerState, own_update, update, update_of};
use crate::{
    clock::Millis,
    id::{NodeId, PeerKey},
    message::membership::{Digest, Page},
    system::freshness,
    table::peer::Peer,
    world::{Tick, World},
};

/// One exchange in this many goes to another data centre.
const REMOTE_SHARE: u32 = 4;
/// One exchange in this many goes to a peer that counts as dead, which may have come back.
const DEAD_SHARE: u32 = 4;
/// Peers in one page of the list.
const PAGE: usize = 32;
/// A node that has not had the list from the platform by then asks a peer for it.
const LIST_AFTER: Millis = Millis(1_000);
/// A node asks a data centre for news older than this while the platform gives none.
const ASK_AGE: Millis = Millis(700);
/// A node asks a data centre for news older than this while the platform gives news.
const IDLE_ASK_AGE: Millis = Millis::from_secs(3);
/// The time between two questions to a data centre that does not reply.
const ASK_PERIOD: Millis = Millis(600);

/// An exchange that this node has started.
#[derive(Debug)]
pub(super) struct Exchange {
    pub(super) peer: PeerKey,
    pub(super) sent: Millis,
    /// Whether others have been asked to try.
    pub(super) is_indirect: bool,
    /// The node, and its number, on whose behalf this one asks.
    pub(super) on_behalf_of: Option<(NodeId, u64)>,
}

/// The list of peers as it comes from a peer.
#[derive(Debug, Default, PartialEq, Eq)]
enum Listing {
    /// Not asked for, as the platform may give it.
    #[default]
    Waiting,
    /// Goes on after a node.
    After(NodeId),
    /// Whole.
    Done,
}

/// The exchanges this node has started.
#[derive(Debug, Default)]
pub(super) struct Exchanges {
    pub(super) open: BTreeMap<u64, Exchange>,
    last_number: u64,
    next: Millis,
    started: Option<Millis>,
    listing: Listing,
}

/// Drops open exchanges if this process did not run for a while: it can't blame its peers.
pub(super) fn forgive_after_pause(world: &mut World, tick: &Tick) {
    let options = &world.options.membership;
    let state = &mut world.systems.membership;
    if tick.now - state.last_tick > options.gossip_period + options.reply_timeout {
        state.exchanges.open.clear();
    }
}

/// Starts the exchanges that are due.
pub(super) fn run(world: &mut World, tick: &mut Tick) {
    let exchanges = &mut world.systems.membership.exchanges;
    let started = *exchanges.started.get_or_insert(tick.now);
    if exchanges.listing == Listing::Waiting {
        if world.tables.configuration.polled.0 > 0 {
            exchanges.listing = Listing::Done;
        } else if tick.now >= started + LIST_AFTER {
            exchanges.listing = Listing::After(NodeId(0));
        }
    }
    refresh_ages(world, tick);
    let next = world.systems.membership.exchanges.next;
    if tick.now < next {
        return tick.wake(next);
    }
    let period = world.options.membership.gossip_period;
    let next = tick.now + Millis(period.0 * 9 / 10) + world.jitter(Millis(period.0 / 5));
    world.systems.membership.exchanges.next = next;
    tick.wake(next);
    if let Some(peer) = choose(world) {
        ask(world, tick, peer, None);
    }
}

/// Asks a peer, on behalf of another node if `on_behalf_of` is given.
pub(super) fn ask(
    world: &mut World,
    tick: &mut Tick,
    key: PeerKey,
    on_behalf_of: Option<(NodeId, u64)>,
) {
    let digest = digest(world, tick.now);
    let mut updates = update::take(world);
    let Some(peer) = world.tables.peers.get(key) else { return };
    add_doubt(&mut updates, peer);
    let introduction = (!peer.introduced).then(|| world.identity.announcement.clone());
    let exchanges = &mut world.systems.membership.exchanges;
    exchanges.last_number += 1;
    let number = exchanges.last_number;
    let exchange = Exchange { peer: key, sent: tick.now, is_indirect: false, on_behalf_of };
    exchanges.open.insert(number, exchange);
    let page_after = match exchanges.listing {
        Listing::After(node) => Some(node),
        _ => None,
    };
    world.send(tick, key, Message::Ask { number, introduction, digest, updates, page_after });
}

/// Replies to a peer's question.
pub(super) fn reply(
    world: &mut World,
    tick: &mut Tick,
    from: NodeId,
    number: u64,
    page_after: Option<NodeId>,
) {
    let Some(key) = world.tables.peers.by_node(from) else { return };
    let digest = digest(world, tick.now);
    let mut updates = update::take(world);
    if let Some(peer) = world.tables.peers.get(key) {
        add_doubt(&mut updates, peer);
    }
    let page = page_after.map(|after| page(world, after));
    world.send(tick, key, Message::Reply { number, digest, updates, page });
}

/// Ends an exchange.
pub(super) fn replied(
    world: &mut World,
    tick: &mut Tick,
    from: NodeId,
    number: u64,
    digest: Digest,
    page: Option<Page>,
) {
    let Some(exchange) = world.systems.membership.exchanges.open.remove(&number) else { return };
    let Some(peer) = world.tables.peers.get_mut(exchange.peer) else { return };
    if peer.announcement.node != from {
        return;
    }
    peer.introduced = true;
    let data_centre = peer.announcement.data_centre.clone();
    freshness::claim(world, exchange.sent, data_centre, digest);
    if let Some((node, number)) = exchange.on_behalf_of {
        world.send_to(tick, node, Message::Probed { number });
    }
    let Some(page) = page else { return };
    super::merge(world, tick, page.updates);
    match page.next {
        Some(node) => {
            world.systems.membership.exchanges.listing = Listing::After(node);
            ask(world, tick, exchange.peer, None);
        }
        None => world.systems.membership.exchanges.listing = Listing::Done,
    }
}

/// A peer in doubt has replied to another node.
pub(super) fn probed(world: &mut World, number: u64) {
    world.systems.membership.exchanges.open.remove(&number);
}

/// What the node knows, and how old that is.
fn digest(world: &World, now: Millis) -> Digest {
    let window = world.options.freshness.window;
    let platform_age = world.tables.freshness.platform_age(now);
    let data_centres = world.tables.data_centres.iter();
    let mut ages: Vec<_> = data_centres
        .map(|(_, row)| (row.name.clone(), row.as_of.map_or(Millis::MAX, |as_of| now - as_of)))
        .filter(|(name, age)| *age < window && name != world.identity.data_centre())
        .collect();
    ages.push((world.identity.data_centre().clone(), own_age(world, now)));
    Digest {
        revision: world.tables.configuration.revision,
        epoch: world.tables.epoch.current.number,
        platform_age: Some(platform_age).filter(|&age| age < window),
        ages,
    }
}

/// The age of what this node has from its own data centre: from its other nodes, if there are any.
fn own_age(world: &World, now: Millis) -> Millis {
    let own = world.identity.data_centre();
    if !freshness::required(world).contains(own) {
        return Millis::ZERO;
    }
    world.tables.data_centres.age(own, now)
}

/// Tells a peer that it is in doubt, so that it can refute.
fn add_doubt(updates: &mut Vec<super::Update>, peer: &Peer) {
    let is_doubted = matches!(peer.state, PeerState::Suspect | PeerState::Dead);
    if is_doubted && !updates.iter().any(|update| update.node == peer.announcement.node) {
        updates.push(update_of(peer, false));
    }
}

/// A page of the list, this node included.
fn page(world: &World, after: NodeId) -> Page {
    let peers = world.tables.peers.iter();
    let mut updates: Vec<_> = peers
        .filter(|(_, peer)| peer.announcement.node > after && peer.state != PeerState::Dead)
        .map(|(_, peer)| update_of(peer, true))
        .collect();
    let rest = updates.len();
    updates.truncate(PAGE);
    let next = updates.last().map(|update| update.node).filter(|_| rest > PAGE);
    updates.push(own_update(world));
    Page { updates, next }
}

/// A random peer: mostly of the own data centre, now and then of another, or one that was dead.
fn choose(world: &mut World) -> Option<PeerKey> {
    let own = world.identity.data_centre().clone();
    let is_dead = |peer: &Peer| peer.state == PeerState::Dead;
    let is_near = |peer: &Peer| peer.announcement.data_centre == own;
    if world.rng.random_ratio(1, DEAD_SHARE)
        && let Some(peer) = world.sample(1, is_dead).pop()
    {
        return Some(peer);
    }
    let wants_near = !world.rng.random_ratio(1, REMOTE_SHARE);
    let fits = |peer: &Peer| !is_dead(peer) && is_near(peer) == wants_near;
    let peer = world.sample(1, fits).pop();
    let peer = peer.or_else(|| world.sample(1, |peer| !is_dead(peer)).pop());
    peer.or_else(|| world.sample(1, is_dead).pop())
}

/// Asks each data centre whose news grow old: soon while the platform gives none, else now and then.
fn refresh_ages(world: &mut World, tick: &mut Tick) {
    let options = &world.options.freshness;
    let longest_poll_age = options.poll_age + Millis(options.poll_age.0 / 2);
    let platform_age = world.tables.freshness.platform_age(tick.now);
    let is_needed = platform_age > longest_poll_age;
    let ask_age = if is_needed { ASK_AGE } else { IDLE_ASK_AGE };
    for name in freshness::required(world).to_vec() {
        let key = world.tables.data_centres.intern(&name, tick.now);
        let Some(row) = world.tables.data_centres.get(key) else { continue };
        let due = row.next_ask.max(row.as_of.unwrap_or(row.since) + ask_age);
        if tick.now < due {
            tick.wake(due);
            continue;
        }
        let next_ask = tick.now + ASK_PERIOD + world.jitter(ASK_PERIOD);
        if let Some(row) = world.tables.data_centres.get_mut(key) {
            row.next_ask = next_ask;
        }
        tick.wake(next_ask);
        let fits = |peer: &Peer| peer.announcement.data_centre == name;
        let alive = |peer: &Peer| fits(peer) && peer.state != PeerState::Dead;
        let peer = world.sample(1, alive).pop().or_else(|| world.sample(1, fits).pop());
        if let Some(peer) = peer {
            ask(world, tick, peer, None);
        }
    }
}
