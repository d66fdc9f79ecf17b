//! How many requests may run on the own target at once.
//!
//! The limit follows from what this node measures itself. The target's report of its slots only
//! lowers the limit that a target starts with, since reports lag and mislead.

mod adaptive;
mod fixed;

use std::fmt::Debug;

use crate::{
    clock::Millis,
    options::{Limit, LimitAlgorithm},
    request::RunEnd,
    world::{Tick, World},
};

/// The first server error among HTTP status codes.
const SERVER_ERROR: u16 = 500;

/// What one ended run says of the target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Sample {
    now: Millis,
    latency: Millis,
    end: SampleEnd,
    /// Requests that were running when this one ended.
    in_flight: u32,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum SampleEnd {
    Served,
    Failed,
    /// The target said that it has too much to do.
    Declined,
}

/// Finds the limit.
trait Algorithm: Debug + Send {
    /// The limit now.
    fn limit(&self) -> u32;

    /// How long a run takes, as measured.
    fn latency(&self) -> Millis {
        Millis::ZERO
    }

    /// Takes a sample in.
    fn observe(&mut self, _sample: Sample) {}

    /// The target is a new one; it may have said how many slots it has.
    fn restart(&mut self, _slots: Option<u32>) {}
}

/// What the system remembers from tick to tick.
#[derive(Debug)]
pub(crate) struct State {
    algorithm: Box<dyn Algorithm>,
    present: bool,
}

impl State {
    pub(crate) fn new(options: &Limit) -> State {
        let algorithm: Box<dyn Algorithm> = match options.algorithm {
            LimitAlgorithm::Adaptive => Box::new(adaptive::Adaptive::new(options.clone())),
            LimitAlgorithm::Fixed(limit) => Box::new(fixed::Fixed(limit)),
            LimitAlgorithm::Unlimited => Box::new(fixed::Fixed(u32::MAX)),
        };
        State { algorithm, present: false }
    }
}

pub(super) fn run(world: &mut World, tick: &mut Tick) {
    let state = &mut world.systems.limit;
    let target = &mut world.tables.target;
    let present = target.present && !tick.inbox.target_lost;
    if present && !state.present {
        state.algorithm.restart(target.report.slots);
    }
    state.present = present;
    for (call, end) in &tick.inbox.runs_ended {
        let Some(call) = world.tables.calls.get(*call) else { continue };
        let end = match end {
            RunEnd::Answered { status, .. } if *status < SERVER_ERROR => SampleEnd::Served,
            RunEnd::Declined => SampleEnd::Declined,
            _ => SampleEnd::Failed,
        };
        let latency = tick.now - call.since;
        state.algorithm.observe(Sample { now: tick.now, latency, end, in_flight: target.running });
    }
    target.limit = state.algorithm.limit();
    target.latency = state.algorithm.latency();
}
