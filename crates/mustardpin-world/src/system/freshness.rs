//! Watches the store for changes and tracks the age of the node's data from it.
//!
//! Data counts as of the time at which the query was sent or, if the reply carries the store's
//! monotonic clock, as of the earliest time at which the store can have replied: see
//! [`store_clock`].

mod confirmation;
mod relay;
mod sharing;
mod store_clock;

use smallvec::SmallVec;

use crate::{
    clock::Millis,
    id::StoreVersion,
    log::{Entry, Level},
    store::{Area, Changes, Operation, Refused, Reply, Ticket},
    table::latency::Step,
    world::{Tick, World},
};

/// Maximum wait of the long poll for rows of nodes, which change seldom. The store version in a
/// reply about the configuration also shows whether they may have changed.
const FLEET_LONG_POLL_WAIT: Millis = Millis(20_000);
/// Backoff after a query without a usable reply; random jitter of up to the same length is added.
const LOST_BACKOFF: Millis = Millis(60);
/// Backoff after a refused query; random jitter of up to the same length is added.
const REFUSED_BACKOFF: Millis = Millis(250);
/// Maximum backoff between two queries, without jitter.
const MAX_BACKOFF: Millis = Millis(400);

/// A query is sent again if it has no reply this long after the end of its wait at the store.
const REPLY_TIMEOUT: Millis = Millis(500);
/// Part of the freshness window that a long poll leaves for its reply, in addition to the measured
/// reply delay.
const REPLY_MARGIN: Millis = Millis(100);

/// Maximum number of pending queries of one watch.
const MAX_PENDING_QUERIES: usize = 3;

/// A query to the store that has no reply yet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Query {
    ticket: Ticket,
    sent: Millis,
    /// When the query is sent again.
    retry_at: Millis,
}

/// State of the queries for one area.
#[derive(Debug, Default)]
struct Watch {
    pending: SmallVec<[Query; MAX_PENDING_QUERIES]>,
    next_query: Millis,
    failures: u32,
}

/// State of the system between ticks.
#[derive(Debug, Default)]
pub(crate) struct State {
    configuration: Watch,
    fleet: Watch,
    /// Immediate queries for changed rows of nodes, sent beside the long poll of `fleet`.
    catch_up: Watch,
    /// Upper bound of the time that the last reply took to arrive.
    reply_delay: Millis,
    /// Whether the store has reached a later version than the one up to which the rows of nodes
    /// were read.
    fleet_is_behind: bool,
    /// Whether the configuration was fresh in the last tick; `None` before the first one.
    was_fresh: Option<bool>,
    store_clock: store_clock::StoreClock,
    relay: relay::State,
    confirmation: confirmation::State,
    sharing: sharing::State,
}

pub(super) fn run(world: &mut World, tick: &mut Tick) {
    for index in 0..tick.inbox.store.len() {
        let ticket = tick.inbox.store[index].0;
        let state = &mut world.systems.freshness;
        let watches = [&mut state.configuration, &mut state.fleet, &mut state.catch_up];
        let mut found = None;
        for (watch_index, watch) in watches.into_iter().enumerate() {
            if let Some(index) = watch.pending.iter().position(|query| query.ticket == ticket) {
                found = Some((watch_index, watch.pending.remove(index).sent));
            }
        }
        let Some((watch_index, sent)) = found else { continue };
        let area = if watch_index == 0 { Area::Configuration } else { Area::Fleet };
        handle_reply(world, tick, index, area, watch_index, sent);
    }
    sharing::run(world, tick.now);
    relay::run(world, tick);
    confirmation::run(world, tick);
    send_due_queries(world, tick);
    update_freshness(world, tick);
}

/// Has everything read again at once, since the store was restored.
pub(super) fn handle_restore(world: &mut World, tick: &mut Tick) {
    world.tables.configuration.read = None;
    world.systems.fleet.read_up_to = None;
    let state = &mut world.systems.freshness;
    state.fleet_is_behind = false;
    for watch in [&mut state.configuration, &mut state.fleet, &mut state.catch_up] {
        watch.next_query = tick.now;
        // A long poll that was sent before a restore may never have a reply.
        for query in &mut watch.pending {
            query.retry_at = tick.now;
        }
    }
    confirmation::begin(world, tick);
}

/// Handles the first reply of the store since the process started.
pub(super) fn handle_first_epoch(world: &mut World, now: Millis) {
    confirmation::begin_at_start(world, now);
}

/// Whether the store may have an earlier configuration than the fleet.
pub(super) fn needs_confirmation(world: &World) -> bool {
    confirmation::is_pending(world)
}

fn handle_reply(
    world: &mut World,
    tick: &mut Tick,
    index: usize,
    area: Area,
    watch_index: usize,
    sent: Millis,
) {
    let base_backoff = match &tick.inbox.store[index].1 {
        Reply::Changes { up_to, clock, changes, .. } => {
            let (up_to, clock) = (*up_to, *clock);
            let is_empty = matches!(changes, Changes::Rows(rows) if rows.is_empty());
            let as_of = world.systems.freshness.store_clock.as_of(clock, sent, tick.now);
            world.systems.freshness.reply_delay = tick.now - as_of;
            world.tables.latencies.record_step(Step::Store, tick.now - as_of);
            record_update(world, tick, area, up_to, as_of);
            let pause = sharing::handle_reply(world, tick.now, area, is_empty);
            let state = &mut world.systems.freshness;
            let watch = watch_at(state, watch_index);
            watch.failures = 0;
            watch.next_query = tick.now + pause;
            return;
        }
        Reply::HistoryGone => {
            match area {
                Area::Configuration => world.tables.configuration.read = None,
                Area::Fleet => world.systems.fleet.read_up_to = None,
            }
            let entry = Entry::new(Level::Info, "store_history_gone");
            tick.log(entry.with("area", area_name(area)));
            Millis::ZERO
        }
        Reply::Refused(refused) => {
            let busy = *refused == Refused::Busy;
            let entry = Entry::new(Level::Warn, "store_refused");
            tick.log(entry.with("area", area_name(area)).with("busy", busy));
            REFUSED_BACKOFF
        }
        Reply::Lost | Reply::Written { .. } | Reply::Conflict => LOST_BACKOFF,
    };
    let jitter = world.jitter(base_backoff);
    let watch = watch_at(&mut world.systems.freshness, watch_index);
    let backoff = Millis(base_backoff.0 << watch.failures.min(4)).min(MAX_BACKOFF);
    watch.failures += 1;
    watch.next_query = tick.now + backoff + jitter;
}

fn watch_at(state: &mut State, watch_index: usize) -> &mut Watch {
    match watch_index {
        0 => &mut state.configuration,
        1 => &mut state.fleet,
        _ => &mut state.catch_up,
    }
}

fn area_name(area: Area) -> &'static str {
    match area {
        Area::Configuration => "configuration",
        Area::Fleet => "fleet",
    }
}

/// Records that the node has an area's data up to a store version, as of a point in time.
fn record_update(world: &mut World, tick: &Tick, area: Area, up_to: StoreVersion, as_of: Millis) {
    match area {
        Area::Configuration => {
            let read = &mut world.tables.configuration.read;
            *read = (*read).max(Some(up_to));
            confirmation::confirm(world, as_of);
            let freshness = &mut world.tables.freshness;
            if world.systems.fleet.read_up_to.is_some_and(|read| read >= up_to) {
                // The rows of nodes were read up to this version, so they are current too.
                freshness.fleet_as_of = freshness.fleet_as_of.max(Some(as_of));
            } else if world.systems.fleet.read_up_to.is_some() {
                world.systems.freshness.catch_up.next_query = tick.now;
                world.systems.freshness.catch_up.failures = 0;
                world.systems.freshness.fleet_is_behind = true;
            }
        }
        Area::Fleet => {
            let read = &mut world.systems.fleet.read_up_to;
            *read = (*read).max(Some(up_to));
            let freshness = &mut world.tables.freshness;
            freshness.fleet_as_of = freshness.fleet_as_of.max(Some(as_of));
            world.systems.freshness.fleet_is_behind = false;
        }
    }
}

/// Sends the queries that are due, so that each watch has one in flight.
fn send_due_queries(world: &mut World, tick: &mut Tick) {
    let is_urgent = sharing::needs_direct_query(world, tick);
    if is_due(&world.systems.freshness.configuration, tick, is_urgent) {
        let wait = if is_urgent { Millis::ZERO } else { configuration_wait(world) };
        let (operation, wait) = match world.tables.configuration.read {
            None => (Operation::Read(Area::Configuration), Millis::ZERO),
            Some(after) => (Operation::Watch { area: Area::Configuration, after, wait }, wait),
        };
        let query = send_query(world, tick, operation, wait);
        world.systems.freshness.configuration.pending.push(query);
    }
    if is_due(&world.systems.freshness.fleet, tick, false) {
        let (operation, wait) = match world.systems.fleet.read_up_to {
            None => (Operation::Read(Area::Fleet), Millis::ZERO),
            Some(after) => (
                Operation::Watch { area: Area::Fleet, after, wait: FLEET_LONG_POLL_WAIT },
                FLEET_LONG_POLL_WAIT,
            ),
        };
        let query = send_query(world, tick, operation, wait);
        world.systems.freshness.fleet.pending.push(query);
    }
    let Some(after) = world.systems.fleet.read_up_to else { return };
    let is_behind = world.systems.freshness.fleet_is_behind;
    if is_behind
        && sharing::needs_catch_up(world, tick)
        && is_due(&world.systems.freshness.catch_up, tick, false)
    {
        let operation = Operation::Watch { area: Area::Fleet, after, wait: Millis::ZERO };
        let query = send_query(world, tick, operation, Millis::ZERO);
        world.systems.freshness.catch_up.pending.push(query);
    }
}

fn send_query(world: &mut World, tick: &mut Tick, operation: Operation, wait: Millis) -> Query {
    let ticket = world.call_store(tick, operation);
    Query { ticket, sent: tick.now, retry_at: tick.now + wait + REPLY_TIMEOUT }
}

/// Maximum wait of the long poll for the configuration: its reply must arrive before the data of
/// the last one leaves the freshness window, even if query and reply each take as long as the last
/// reply.
fn max_wait(world: &World) -> Millis {
    let options = &world.options.freshness;
    let delay = world.systems.freshness.reply_delay;
    options.watch.min(options.window - REPLY_MARGIN - Millis(delay.0 * 3))
}

/// How long the store may hold the next query for the configuration.
fn configuration_wait(world: &mut World) -> Millis {
    sharing::wait(world).unwrap_or_else(|| max_wait(world))
}

/// Whether a query may be sent: none is pending, or the last one is overdue.
fn is_due(watch: &Watch, tick: &mut Tick, is_urgent: bool) -> bool {
    if let Some(last) = watch.pending.last() {
        if watch.pending.len() == MAX_PENDING_QUERIES {
            return false;
        }
        let retry_at = if is_urgent { last.sent + REPLY_TIMEOUT } else { last.retry_at };
        if tick.now < retry_at {
            tick.wake(retry_at);
            return false;
        }
    }
    if tick.now < watch.next_query {
        tick.wake(watch.next_query);
        return false;
    }
    true
}

fn update_freshness(world: &mut World, tick: &mut Tick) {
    let window = world.options.freshness.window;
    let freshness = &mut world.tables.freshness;
    let age = freshness.configuration_age(tick.now);
    freshness.age = age;
    let fresh = age < window;
    freshness.is_cut_off = !fresh && world.options.freshness.strict;
    freshness.fleet_fresh = freshness.fleet_age(tick.now) < window;
    if fresh {
        tick.wake(tick.now + (window - age));
    }
    if fresh == freshness.fresh && world.systems.freshness.was_fresh.is_some() {
        return;
    }
    freshness.fresh = fresh;
    let before = world.systems.freshness.was_fresh.replace(fresh);
    if before == Some(fresh) || (before.is_none() && !fresh) {
        return;
    }
    let event = if fresh { "store_regained" } else { "store_lost" };
    let level = if fresh { Level::Info } else { Level::Warn };
    let revision = world.tables.configuration.revision.0;
    tick.log(Entry::new(level, event).with("configuration_age", age).with("revision", revision));
}
