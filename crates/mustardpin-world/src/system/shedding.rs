//! Refuses requests at the top of call chains when services below have too much to do.
//!
//! A call that is refused deep in a chain wastes all the work above it, so it is better to refuse
//! the request at its root. Three parts see to that: [`route_cost`] learns what a run of each route
//! costs here and which calls it makes, and tells peers; [`target_load`] says how much is asked of the
//! own target, and [`node_lag`] how far the node itself is behind; [`admission`] works out which
//! share of the requests at this node to let through.

mod admission;
mod node_lag;
mod route_cost;
mod target_load;

use crate::{
    clock::Millis,
    command::Command,
    id::{CallKey, RouteKey},
    refusal::Refusal,
    request::Load,
    table::health::EjectionState,
    world::{Tick, World},
};

/// What the system remembers from tick to tick.
#[derive(Debug, Default)]
pub(crate) struct State {
    published: Load,
    /// What all peers were last told at once, and when.
    told: Load,
    told_at: Millis,
    admission: admission::State,
    target_load: target_load::State,
    route_cost: route_cost::State,
    node_lag: node_lag::State,
}

/// The shortest time between two tellings of a load to all peers at once.
const URGENT_PERIOD: Millis = Millis(200);
/// From this demand on, in thousandths, all peers are told when it changes: they hold requests back
/// by it, and a peer that sends none hears nothing with the answers.
const URGENT_DEMAND: u32 = 850;
/// The least change of demand, in thousandths, that all peers are told of.
const URGENT_CHANGE: u32 = 50;

/// Counts what has ended, and brings costs, demand and shares up to date.
pub(super) fn observe(world: &mut World, tick: &mut Tick) {
    route_cost::run(world, tick);
    target_load::run(world, tick);
    node_lag::run(world, tick);
    admission::run(world, tick);
}

/// The own target has called a route.
pub(super) fn record_call(world: &mut World, route: Option<RouteKey>) {
    route_cost::record_call(world, route);
}

/// A call has come for the own target.
pub(super) fn record_arrival(world: &mut World, route: Option<RouteKey>) {
    target_load::record_arrival(world, route);
}

/// Lets a call through, or says why not.
pub(super) fn admit(world: &mut World, key: CallKey) -> Result<(), Refusal> {
    admission::admit(world, key)
}

/// How much is asked of the own target and of the node itself, whichever is more, in thousandths of
/// what they can do.
fn demand(world: &World) -> u32 {
    let state = &world.systems.shedding;
    state.target_load.demand().max(state.node_lag.demand())
}

/// Tells peers how much the own target has to do, when that has changed.
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
        limit: target.limit,
        demand: demand(world),
        revision: tables.configuration.revision,
    };
    let state = &mut world.systems.shedding;
    let has_changed = load.open != state.told.open || load.limit != state.told.limit;
    let urgent = has_changed || is_pressing(state.told, load);
    if urgent && !has_changed && tick.now < state.told_at + URGENT_PERIOD {
        return tick.wake(state.told_at + URGENT_PERIOD);
    }
    if !urgent && !is_news(state.published, load) {
        return;
    }
    if urgent {
        state.told = load;
        state.told_at = tick.now;
    }
    state.published = load;
    tick.commands.push(Command::Publish { load, urgent });
}

fn is_pressing(told: Load, load: Load) -> bool {
    load.demand.max(told.demand) >= URGENT_DEMAND
        && load.demand.abs_diff(told.demand) >= URGENT_CHANGE
}

fn is_news(old: Load, new: Load) -> bool {
    /// Loads that differ by less than this part of the limit count as the same.
    const GRAIN: u32 = 32;

    let grain = new.limit / GRAIN;
    let present = |load: Load| load.running + load.queued;
    present(old).abs_diff(present(new)) > grain
        || old.revision != new.revision
        || old.demand.abs_diff(new.demand) > 1_000 / GRAIN
}
