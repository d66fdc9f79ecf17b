//! How many requests may run on the own target at once.
//!
//! By default the limit follows from what this node measures itself. The target's report of its
//! slots only lowers the limit that a target starts with, since reports lag and mislead. Where
//! targets are known to tell their slots truly, the limit can follow those.

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

    /// The limit apart from a probe that lowers it for a short time.
    fn sustained(&self) -> u32 {
        self.limit()
    }

    /// Takes a sample in.
    fn observe(&mut self, _sample: Sample) {}

    /// The target is a new one; it may have said how many slots it has.
    fn restart(&mut self, _slots: Option<u32>) {}

    /// The target says that it has another number of slots.
    fn resize(&mut self, _slots: u32) {}
}

/// What the system remembers from tick to tick.
#[derive(Debug)]
pub(crate) struct State {
    algorithm: Box<dyn Algorithm>,
    /// The process of the target that the limit belongs to, and its slots.
    target: Option<(Millis, Option<u32>)>,
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

/// Begins anew when the target is another process, and follows the slots that it tells.
fn follow_target(world: &mut World) {
    let state = &mut world.systems.limit;
    let target = &world.tables.target;
    if !target.present {
        state.target = None;
        return;
    }
    let (born, slots) = (target.report.born, target.report.slots);
    match (state.target, slots) {
        (Some((known, _)), _) if known != born => state.algorithm.restart(slots),
        (None, _) => state.algorithm.restart(slots),
        (Some((_, known)), Some(slots)) if known != Some(slots) => state.algorithm.resize(slots),
        _ => {}
    }
    state.target = Some((born, slots));
}
