//! How much is asked of the own target, as a multiple of what it can do.
//!
//! The requests that run and wait, and those that found no place, counted for as long as they would
//! have run, against the limit.

use crate::{
    clock::Millis,
    id::RouteKey,
    world::{Tick, World},
};

/// The time between two looks.
const PERIOD: Millis = Millis(50);
/// The weight of the last period.
const WEIGHT: f64 = 0.25;

/// What the gauge remembers from tick to tick.
#[derive(Debug, Default)]
pub(super) struct State {
    next: Millis,
    last: Millis,
    /// The time for which requests held places since the last look, in request-milliseconds.
    held: f64,
    /// When the present number of requests was last added.
    counted: Millis,
    /// What requests that found no place would have held, in request-milliseconds.
    turned_away: f64,
    demand: f64,
}

impl State {
    /// The demand, in thousandths of what the target can do.
    pub(super) fn demand(&self) -> u32 {
        (self.demand * 1_000.0) as u32
    }
}

/// The own target's queue had no place for a call.
pub(super) fn turned_away(world: &mut World, route: Option<RouteKey>) {
    let route = route.and_then(|route| world.tables.routes.get(route));
    let hold = route.and_then(|route| world.tables.demand.hold(&route.config.name));
    let hold = hold.unwrap_or(world.tables.target.latency);
    world.systems.pressure.gauge.turned_away += hold.0 as f64;
}

pub(super) fn run(world: &mut World, tick: &mut Tick) {
    let target = &world.tables.target;
    let state = &mut world.systems.pressure.gauge;
    let present = f64::from(target.running + target.queued);
    state.held += present * (tick.now - state.counted).0 as f64;
    state.counted = tick.now;
    if tick.now < state.next {
        return tick.wake(state.next);
    }
    let elapsed = (tick.now - state.last).0.max(1) as f64;
    let asked = (state.held + state.turned_away) / elapsed;
    let demand = asked / f64::from(target.limit.max(1));
    state.demand += (demand - state.demand) * WEIGHT;
    state.held = 0.0;
    state.turned_away = 0.0;
    state.last = tick.now;
    state.next = tick.now + PERIOD;
    if state.demand > 0.01 {
        tick.wake(state.next);
    }
}
