//! How far the node itself lags behind with its work.
//!
//! The traffic side sends lag probes that are due at fixed times. The delay until a probe is
//! processed covers the work queued before it on all threads, whatever uses the processor. A node
//! that lags works on requests whose callers have gone, so it admits fewer requests, and reports a
//! demand above its capacity to its peers.

use crate::{
    clock::Millis,
    log::{Entry, Level},
    world::{Tick, World},
};

/// From this lag on, the node admits fewer requests.
const HIGH_LAG: Millis = Millis(100);
/// Up to this lag, the node admits more requests again.
const LOW_LAG: Millis = Millis(40);
/// The admitted fraction is multiplied by this for each late lag probe.
const DECREASE_FACTOR: f64 = 0.85;
/// The admitted fraction grows by this for each lag probe in time.
const INCREASE_STEP: f64 = 0.03;
/// The lower bound of the admitted fraction.
const MIN_ADMITTED: f64 = 0.1;
/// The highest demand that is reported to peers, in thousandths of the node's capacity.
const MAX_DEMAND: u64 = 2_000;
/// The node's capacity, in the same unit.
const CAPACITY: u64 = 1_000;

/// State of the lag measurement between ticks.
#[derive(Debug)]
pub(super) struct State {
    /// The lag that the last probe measured.
    lag: Millis,
    /// The fraction of root requests that is admitted, from [`MIN_ADMITTED`] to 1.
    pub(super) admitted: f64,
}

impl Default for State {
    fn default() -> State {
        State { lag: Millis::ZERO, admitted: 1.0 }
    }
}

impl State {
    /// The demand on the node itself, in thousandths of its capacity; zero if it does not lag.
    pub(super) fn demand(&self) -> u32 {
        if self.admitted >= 1.0 || self.lag < HIGH_LAG {
            return 0;
        }
        (self.lag.0 * CAPACITY / HIGH_LAG.0).min(MAX_DEMAND) as u32
    }
}

pub(super) fn run(world: &mut World, tick: &mut Tick) {
    for due in std::mem::take(&mut tick.inbox.lag_probes) {
        let lag = tick.now - due;
        let state = &mut world.systems.shedding.node_lag;
        let before = state.admitted;
        state.lag = lag;
        if lag >= HIGH_LAG {
            state.admitted = (state.admitted * DECREASE_FACTOR).max(MIN_ADMITTED);
        } else if lag <= LOW_LAG {
            state.admitted = (state.admitted + INCREASE_STEP).min(1.0);
        }
        let is_change = (before < 1.0) != (state.admitted < 1.0);
        if is_change {
            let is_lagging = state.admitted < 1.0;
            let entry = Entry::new(Level::Warn, "behind").with("on", is_lagging).with("lag", lag);
            tick.log(entry);
        }
    }
}
