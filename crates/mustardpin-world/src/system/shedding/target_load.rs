//! The demand on the local target, as a multiple of its capacity.
//!
//! It compares the slot time of the arriving calls with the target's limit. It also counts the
//! queued calls, which show when runs take longer than before.

use crate::{
    clock::Millis,
    id::RouteKey,
    system::shedding::route_cost,
    world::{Tick, World},
};

/// The time between two updates of the demand.
const UPDATE_INTERVAL: Millis = Millis(50);
/// The weight of the last interval in the smoothed demand.
const SMOOTHING_WEIGHT: f64 = 0.25;
/// How many slots a queued call adds to the demand. Calls that arrive at a rate of one per slot
/// time add one slot.
const QUEUED_WEIGHT: f64 = 0.5;

/// The fraction of the limit from which on the target counts as full.
const FULL_FRACTION: f64 = 0.8;

/// State of the demand measurement between ticks.
#[derive(Debug, Default)]
pub(super) struct State {
    next_update: Millis,
    last_update: Millis,
    /// The slot time, in milliseconds, of the calls that arrived since the last update.
    work: f64,
    /// The smoothed demand, as a multiple of the target's capacity.
    demand: f64,
}

impl State {
    /// The demand, in thousandths of the target's capacity.
    pub(super) fn demand(&self) -> u32 {
        (self.demand * 1_000.0) as u32
    }
}

/// Counts a call that arrived for the local target.
pub(super) fn record_arrival(world: &mut World, route: Option<RouteKey>) {
    let slot_time = route.and_then(|route| route_cost::slot_time(world, route));
    let slot_time = slot_time.unwrap_or(world.tables.target.latency);
    world.systems.shedding.target_load.work += slot_time.0 as f64;
}

pub(super) fn run(world: &mut World, tick: &mut Tick) {
    let state = &mut world.systems.shedding.target_load;
    if tick.now < state.next_update {
        return tick.wake(state.next_update);
    }
    let target = &world.tables.target;
    let elapsed = (tick.now - state.last_update).0.max(1) as f64;
    let requested = state.work / elapsed + f64::from(target.queued) * QUEUED_WEIGHT;
    let limit = f64::from(target.throughput_limit.max(1));
    let has_room = target.queued == 0 && f64::from(target.running) < limit * FULL_FRACTION;
    // While the target has free slots it keeps up with the demand, whatever its runs took before.
    let demand = (requested / limit).min(if has_room { 1.0 } else { f64::INFINITY });
    state.demand += (demand - state.demand) * SMOOTHING_WEIGHT;
    state.work = 0.0;
    state.last_update = tick.now;
    state.next_update = tick.now + UPDATE_INTERVAL;
    if state.demand > 0.01 {
        tick.wake(state.next_update);
    }
}
