//! How far the node itself is behind with its work.
//!
//! The traffic side sends lag probes that are due at fixed times. How late one is taken in shows
//! what waits on all threads before it, whatever it is that takes the processor's time. A node that
//! falls behind works on requests whose callers have gone, so it lets fewer requests in, and tells
//! its peers that more is asked of it than it can do.

use crate::{
    clock::Millis,
    log::{Entry, Level},
    world::{Tick, World},
};

/// A node that is this far behind lets fewer requests in.
const BEHIND: Millis = Millis(100);
/// A node that is no further behind than this lets more in.
const IN_TIME: Millis = Millis(40);
/// What the share is multiplied by with each late lag probe.
const FALL: f64 = 0.85;
/// What the share grows by with each lag probe in time.
const RISE: f64 = 0.03;
/// The share never falls below this.
const LEAST_SHARE: f64 = 0.1;
/// The demand that peers are told of at most, in thousandths of what the node can do.
const MOST_DEMAND: u64 = 2_000;
/// What the node can do, in the same unit.
const WHOLE: u64 = 1_000;

/// What the node_lag remembers from tick to tick.
#[derive(Debug)]
pub(super) struct State {
    lag: Millis,
    /// The share of requests at the top of call chains that is let in.
    pub(super) admitted: f64,
}

impl Default for State {
    fn default() -> State {
        State { lag: Millis::ZERO, admitted: 1.0 }
    }
}

impl State {
    /// The demand for the node's own work, in thousandths of what it can do; zero if it keeps up.
    pub(super) fn demand(&self) -> u32 {
        if self.admitted >= 1.0 || self.lag < BEHIND {
            return 0;
        }
        (self.lag.0 * WHOLE / BEHIND.0).min(MOST_DEMAND) as u32
    }
}

pub(super) fn run(world: &mut World, tick: &mut Tick) {
    for due in std::mem::take(&mut tick.inbox.lag_probes) {
        let lag = tick.now - due;
        let state = &mut world.systems.shedding.node_lag;
        let before = state.admitted;
        state.lag = lag;
        if lag >= BEHIND {
            state.admitted = (state.admitted * FALL).max(LEAST_SHARE);
        } else if lag <= IN_TIME {
            state.admitted = (state.admitted + RISE).min(1.0);
        }
        let is_change = (before < 1.0) != (state.admitted < 1.0);
        if is_change {
            let is_behind = state.admitted < 1.0;
            let entry = Entry::new(Level::Warn, "behind").with("on", is_behind).with("lag", lag);
            tick.log(entry);
        }
    }
}
