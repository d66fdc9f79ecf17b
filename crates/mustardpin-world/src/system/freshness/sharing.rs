//! Lets the nodes of a large fleet share their long polls for the configuration.
//!
//! The store holds the polls of a large fleet for longer, so that its replies to the whole fleet do
//! not grow with it. Nodes take the age of their data from peers that had a reply more recently,
//! and query the store themselves only if no peer refreshes their data.

use crate::{
    clock::Millis,
    store::Area,
    table::peer::Link,
    world::{Tick, World},
};

/// The time between two replies of the store to the fleet as a whole, if nothing changes. The long
/// polls of a large fleet are held for longer, and its nodes refresh each other's data.
const REPLY_INTERVAL: Millis = Millis(100);
/// Nodes rely on each other once that makes their long polls this many times as long.
const MIN_WAIT_FACTOR: u64 = 2;
/// The longest time for which the store holds a long poll for the configuration of a large fleet.
const MAX_WAIT: Millis = Millis(20_000);
/// The reply delay, without the time for which the store holds the query, up to which a node relies
/// on its peers for recent data.
const MAX_REPLY_DELAY: Millis = Millis(200);
/// The time between two updates of whether the nodes of the fleet rely on each other.
const UPDATE_INTERVAL: Millis = Millis(500);
/// The least age, as a percentage of the window, at which a node asks the store itself though it
/// relies on its peers.
const DIRECT_QUERY_PERCENT: u64 = 35;
/// The range, as a percentage of the window, of the random addition to that age, so that few nodes
/// ask and the others learn from them.
const DIRECT_QUERY_JITTER_PERCENT: u64 = 25;
/// The least pause of a large fleet's node after a change of the configuration.
const CONFIGURATION_PAUSE: Millis = Millis(350);
/// The least pause of a large fleet's node after a change of the rows of nodes. New nodes connect
/// to their peers by themselves, so their rows are not urgent.
const FLEET_PAUSE: Millis = Millis(2_500);
/// The time after its start in which a node follows the rows of nodes without a pause. Nodes that
/// started together know only old rows of each other, by which neither can connect.
const START_PERIOD: Millis = Millis(10_000);

/// State of sharing between ticks.
#[derive(Debug, Default)]
pub(super) struct State {
    /// Time of the first tick.
    started: Option<Millis>,
    /// How long the store may hold a query for the configuration; `None` if the fleet is small or
    /// the store slow, so that this node relies on its own queries.
    wait: Option<Millis>,
    /// When `wait` is next updated.
    next_update: Millis,
    /// The age of the data at which the node queries the store though it relies on its peers.
    direct_query_age: Millis,
}

/// Updates whether the nodes of the fleet rely on each other for recent data.
pub(super) fn run(world: &mut World, now: Millis) {
    let state = &mut world.systems.freshness.sharing;
    state.started.get_or_insert(now);
    if now < state.next_update {
        return;
    }
    state.next_update = now + UPDATE_INTERVAL;
    let peers = world.tables.peers.iter().filter(|(_, peer)| peer.link == Link::Up).count();
    let wait = Millis(REPLY_INTERVAL.0 * (peers as u64 + 1)).min(MAX_WAIT);
    let is_long = wait.0 >= world.options.freshness.watch.0 * MIN_WAIT_FACTOR;
    let is_shared = is_long && world.systems.freshness.reply_delay <= MAX_REPLY_DELAY;
    world.systems.freshness.sharing.wait = is_shared.then_some(wait);
}

/// Whether this node relies on its peers for recent data.
pub(super) fn is_active(world: &World) -> bool {
    world.systems.freshness.sharing.wait.is_some()
}

/// How long the store may hold the next query for the configuration; `None` if this node relies on
/// its own queries.
pub(super) fn wait(world: &mut World) -> Option<Millis> {
    let wait = world.systems.freshness.sharing.wait?;
    // Nodes that started together would otherwise query together.
    Some(Millis(wait.0 / 2) + world.jitter(Millis(wait.0 / 2)))
}

/// Handles a reply of the store. Returns how long to wait before the next query of the area, so
/// that changes in quick succession are answered together.
pub(super) fn handle_reply(world: &mut World, now: Millis, area: Area, is_empty: bool) -> Millis {
    if !is_active(world) {
        return Millis::ZERO;
    }
    let window = world.options.freshness.window.0;
    let jitter = world.jitter(Millis(window * DIRECT_QUERY_JITTER_PERCENT / 100));
    let state = &mut world.systems.freshness.sharing;
    state.direct_query_age = Millis(window * DIRECT_QUERY_PERCENT / 100) + jitter;
    let is_starting = state.started.is_none_or(|started| now - started < START_PERIOD);
    let pause = match area {
        _ if is_empty => return Millis::ZERO,
        Area::Configuration => CONFIGURATION_PAUSE,
        Area::Fleet if is_starting => return Millis::ZERO,
        Area::Fleet => FLEET_PAUSE,
    };
    pause + world.jitter(pause)
}

/// Whether the node must query the store for the configuration, since its peers do not refresh its
/// data.
pub(super) fn needs_direct_query(world: &World, tick: &mut Tick) -> bool {
    is_active(world) && is_too_old(world, tick, world.tables.freshness.configuration_age(tick.now))
}

/// Whether a node that has read the configuration at a later version than the rows of nodes must
/// query the rows at once.
pub(super) fn needs_catch_up(world: &World, tick: &mut Tick) -> bool {
    !is_active(world) || is_too_old(world, tick, world.tables.freshness.fleet_age(tick.now))
}

/// Whether data of this age must be refreshed from the store. If not, wakes the node when it must.
fn is_too_old(world: &World, tick: &mut Tick, age: Millis) -> bool {
    let max_age = world.systems.freshness.sharing.direct_query_age;
    if age < max_age {
        tick.wake(tick.now + (max_age - age));
    }
    age >= max_age
}
