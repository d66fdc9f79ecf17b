//! How much is asked of the own target, as a multiple of what it can do.
//!
//! The work of the calls that come for it, counted by how long runs of their routes hold a place,
//! against its limit; and what waits for it, which shows when runs take longer than they did.

use crate::{
    clock::Millis,
    id::RouteKey,
    system::shedding::route_cost,
    world::{Tick, World},
};

/// The time between two looks.
const PERIOD: Millis = Millis(50);
/// The weight of the last period.
const WEIGHT: f64 = 0.25;
/// What a call in the queue counts, as a part of one that came in the last run's time.
const QUEUED_WEIGHT: f64 = 0.5;

/// The part of the limit from which on the target counts as full.
const FULL: f64 = 0.8;

/// What the target_load remembers from tick to tick.
#[derive(Debug, Default)]
pub(super) struct State {
    next: Millis,
    last: Millis,
    /// The work that came since the last look, in request-milliseconds.
    work: f64,
    demand: f64,
}

impl State {
    /// The demand, in thousandths of what the target can do.
    pub(super) fn demand(&self) -> u32 {
        (self.demand * 1_000.0) as u32
    }
}

/// A call has come for the own target.
pub(super) fn record_arrival(world: &mut World, route: Option<RouteKey>) {
    let slot_time = route.and_then(|route| route_cost::slot_time(world, route));
    let slot_time = slot_time.unwrap_or(world.tables.target.latency);
    world.systems.shedding.target_load.work += slot_time.0 as f64;
}

pub(super) fn run(world: &mut World, tick: &mut Tick) {
    let state = &mut world.systems.shedding.target_load;
    if tick.now < state.next {
        return tick.wake(state.next);
    }
    let target = &world.tables.target;
    let elapsed = (tick.now - state.last).0.max(1) as f64;
    let asked = state.work / elapsed + f64::from(target.queued) * QUEUED_WEIGHT;
    let limit = f64::from(target.sustained_limit.max(1));
    let has_room = target.queued == 0 && f64::from(target.running) < limit * FULL;
    // While there is room it can do what is asked of it, whatever its runs took before.
    let demand = (asked / limit).min(if has_room { 1.0 } else { f64::INFINITY });
    state.demand += (demand - state.demand) * WEIGHT;
    state.work = 0.0;
    state.last = tick.now;
    state.next = tick.now + PERIOD;
    if state.demand > 0.01 {
        tick.wake(state.next);
    }
}
