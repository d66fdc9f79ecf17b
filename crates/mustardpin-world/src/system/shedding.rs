//! Refuses requests at the root of call chains when services below them are overloaded.
//!
//! A call that is refused deep in a chain wastes all the work above it, so it is better to refuse
//! the request at its root. [`route_cost`] learns what a run of each route costs here and which
//! calls it makes, and sends that to peers. [`target_load`] measures the demand on the local
//! target, and [`node_lag`] how far the node itself lags. From these, [`admission`] computes the
//! fraction of the root requests at this node to admit.

mod admission;
mod node_lag;
mod route_cost;
mod target_load;

use crate::{
    clock::Millis,
    command::Command,
    id::{CallKey, RouteKey},
    refusal::Refusal,
    request::{Load, TargetRate},
    system::pacing,
    table::health::EjectionState,
    world::{Tick, World},
};

/// State of the system between ticks.
#[derive(Debug, Default)]
pub(crate) struct State {
    /// The load that is attached to responses to peers.
    published: Load,
    /// The load that was last sent to all peers at once.
    broadcast: Load,
    broadcast_at: Millis,
    admission: admission::State,
    target_load: target_load::State,
    route_cost: route_cost::State,
    node_lag: node_lag::State,
}

/// The minimum time between two broadcasts of a changed demand to all peers.
const MIN_BROADCAST_INTERVAL: Millis = Millis(200);
/// From this demand on, in thousandths of capacity, changes are broadcast to all peers: peers shed
/// requests according to the demand, and a peer that sends this node no requests gets no load with
/// the responses.
const BROADCAST_DEMAND: u32 = 850;
/// The minimum change of demand, in thousandths, that is broadcast.
const MIN_BROADCAST_CHANGE: u32 = 50;

/// Updates route costs, demand and the admitted fractions from the events of this tick.
pub(super) fn observe(world: &mut World, tick: &mut Tick) {
    route_cost::run(world, tick);
    target_load::run(world, tick);
    node_lag::run(world, tick);
    admission::run(world, tick);
}

/// Counts a call that the local target made to a route.
pub(super) fn record_call(world: &mut World, route: Option<RouteKey>) {
    route_cost::record_call(world, route);
}

/// Counts a call that arrived for the local target.
pub(super) fn record_arrival(world: &mut World, route: Option<RouteKey>) {
    target_load::record_arrival(world, route);
}

/// Admits a call, or returns the refusal to send to its caller.
pub(super) fn admit(world: &mut World, key: CallKey) -> Result<(), Refusal> {
    admission::admit(world, key)
}

/// The demand on the local target or on the node itself, whichever is higher, in thousandths of
/// capacity.
fn demand(world: &World) -> u32 {
    let state = &world.systems.shedding;
    state.target_load.demand().max(state.node_lag.demand())
}

/// Publishes the load of the local target to peers when it has changed significantly.
pub(super) fn publish(world: &mut World, tick: &mut Tick) {
    let (target, tables) = (&world.tables.target, &world.tables);
    let is_ejected = target.health.ejection_state(tick.now, 0) == EjectionState::Ejected;
    if is_ejected {
        tick.wake(target.health.ejected_until);
    }
    let load = Load {
        open: target.is_open() && !tables.leaving && !is_ejected,
        running: target.running,
        queued: target.queued,
        limit: target.usable_limit(),
        demand: demand(world),
        revision: tables.configuration.revision,
        target: target.process,
        leaving: target.is_leaving,
        rate: pacing::target_rate(world),
    };
    let is_paced = target.pace.is_some();
    let state = &mut world.systems.shedding;
    let has_changed = has_changed(state.broadcast, load, is_paced);
    let mut urgent = has_changed
        || is_demand_change_urgent(state.broadcast, load)
        || (is_paced && is_pace_change_urgent(state.broadcast, load));
    if urgent && !has_changed && tick.now < state.broadcast_at + MIN_BROADCAST_INTERVAL {
        tick.wake(state.broadcast_at + MIN_BROADCAST_INTERVAL);
        if !is_paced {
            return;
        }
        urgent = false;
    }
    if !urgent && !is_significant_change(state.published, load) {
        return;
    }
    if urgent {
        state.broadcast = load;
        state.broadcast_at = tick.now;
    }
    state.published = load;
    tick.commands.push(Command::Publish { load, urgent });
}

/// Whether peers have to hear of a load at once. The limit of a target with a rate limit changes with
/// each run.
fn has_changed(old: Load, new: Load, is_paced: bool) -> bool {
    let is_limited = |load: Load| matches!(load.rate, TargetRate::Limited(_));
    old.open != new.open
        || old.leaving != new.leaving
        || old.target != new.target
        || is_limited(old) != is_limited(new)
        || (old.limit != new.limit && !is_paced)
}

fn is_pace_change_urgent(old: Load, new: Load) -> bool {
    /// Limits count as the same if they differ by at most the limit divided by this.
    const CHANGE_DIVISOR: u32 = 4;

    let is_rate_change = match (old.rate, new.rate) {
        (TargetRate::Limited(old), TargetRate::Limited(new)) => pacing::is_notable_change(old, new),
        _ => false,
    };
    is_rate_change || old.limit.abs_diff(new.limit) > old.limit / CHANGE_DIVISOR
}

fn is_demand_change_urgent(broadcast: Load, load: Load) -> bool {
    load.demand.max(broadcast.demand) >= BROADCAST_DEMAND
        && load.demand.abs_diff(broadcast.demand) >= MIN_BROADCAST_CHANGE
}

fn is_significant_change(old: Load, new: Load) -> bool {
    /// Loads count as the same if they differ by at most the limit divided by this and their
    /// demands by at most the capacity divided by this.
    const CHANGE_DIVISOR: u32 = 32;

    let min_change = new.limit / CHANGE_DIVISOR;
    let pending = |load: Load| load.running + load.queued;
    pending(old).abs_diff(pending(new)) > min_change
        || old.limit != new.limit
        || old.revision != new.revision
        || old.demand.abs_diff(new.demand) > 1_000 / CHANGE_DIVISOR
}
