//! How many requests may run on the local target at once.
//!
//! By default the limit follows from what this node measures itself. The target's report of its
//! slots only lowers the initial limit of a target, since reports lag and mislead. Where targets
//! are known to report their slots correctly, the limit can follow those.

mod adaptive;
mod fixed;
mod slots;

use std::fmt::Debug;

use crate::{
    clock::Millis,
    options::{Limit, LimitAlgorithm},
    request::{RunEnd, SERVER_ERROR},
    table::latency::Step,
    world::{Tick, World},
};

/// The weight of a new sample in the mean latency.
const LATENCY_WEIGHT: f64 = 0.05;

/// The measurement of one run that ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Sample {
    /// When the run ended.
    now: Millis,
    latency: Millis,
    end: SampleEnd,
    /// Requests that were running when this one ended.
    in_flight: u32,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum SampleEnd {
    /// The target responded without a server error.
    Served,
    /// The run ended in any other way: with a server error, without a response, or cancelled.
    Failed,
    /// The target declined the request because it is overloaded.
    Declined,
}

/// An algorithm that determines the limit.
trait Algorithm: Debug + Send {
    /// The current limit.
    fn limit(&self) -> u32;

    /// The limit without the temporary reduction during a probe.
    fn sustained(&self) -> u32 {
        self.limit()
    }

    /// Updates the limit with a sample.
    fn observe(&mut self, _sample: Sample) {}

    /// Starts over for a new process of the target, with its slots if it reported them.
    fn restart(&mut self, _slots: Option<u32>) {}

    /// Takes over a changed number of slots that the target reported.
    fn resize(&mut self, _slots: u32) {}
}

/// State of the system between ticks.
#[derive(Debug)]
pub(crate) struct State {
    algorithm: Box<dyn Algorithm>,
    /// The start time of the target's process that the limit belongs to, and its reported slots.
    target: Option<(Millis, Option<u32>)>,
    /// The smoothed latency of served runs, in milliseconds; zero before the first one.
    latency: f64,
}

impl State {
    pub(crate) fn new(options: &Limit) -> State {
        let algorithm: Box<dyn Algorithm> = match options.algorithm {
            LimitAlgorithm::Adaptive => Box::new(adaptive::Adaptive::new(options.clone())),
            LimitAlgorithm::Slots => Box::new(slots::Slots::new(options.clone())),
            LimitAlgorithm::Fixed(limit) => Box::new(fixed::Fixed(limit)),
            LimitAlgorithm::Unlimited => Box::new(fixed::Fixed(u32::MAX)),
        };
        State { algorithm, target: None, latency: 0.0 }
    }
}

pub(super) fn run(world: &mut World, tick: &mut Tick) {
    follow_target(world);
    let state = &mut world.systems.limit;
    let target = &mut world.tables.target;
    for (ticket, end) in &tick.inbox.runs_ended {
        let call = world.tables.calls.by_ticket(*ticket);
        let Some(call) = call.and_then(|call| world.tables.calls.get(call)) else { continue };
        let end = match end {
            RunEnd::Answered { status, .. } if *status < SERVER_ERROR => SampleEnd::Served,
            RunEnd::Declined => SampleEnd::Declined,
            _ => SampleEnd::Failed,
        };
        let latency = tick.now - call.since;
        world.tables.latencies.record_step(Step::Run, latency);
        if end == SampleEnd::Served {
            let weight = if state.latency == 0.0 { 1.0 } else { LATENCY_WEIGHT };
            state.latency += (latency.0 as f64 - state.latency) * weight;
        }
        state.algorithm.observe(Sample { now: tick.now, latency, end, in_flight: target.running });
    }
    target.limit = state.algorithm.limit();
    target.sustained_limit = state.algorithm.sustained();
    target.latency = Millis(state.latency as u64);
}

/// Restarts the algorithm when the target is another process, and passes on its reported slots.
fn follow_target(world: &mut World) {
    let state = &mut world.systems.limit;
    let target = &world.tables.target;
    if !target.present {
        state.target = None;
        return;
    }
    let (started, slots) = (target.report.started, target.report.slots);
    match (state.target, slots) {
        (Some((known, _)), _) if known != started => state.algorithm.restart(slots),
        (None, _) => state.algorithm.restart(slots),
        (Some((_, known)), Some(slots)) if known != Some(slots) => state.algorithm.resize(slots),
        _ => {}
    }
    state.target = Some((started, slots));
}
