//! A limit derived from measured latency and the number of requests in flight.
//!
//! While the limit is saturated, the algorithm lowers it for one round from time to time, as a
//! probe. The latency measured then is the latency without a queue inside the target, however slow
//! the target has become. Together with the latency just before the probe, Little's law gives the
//! number of requests that the target really works on. Between two probes the limit grows for as
//! long as latency stays near that of the last probe.

use crate::{
    clock::Millis,
    options::Limit,
    system::limit::{Algorithm, Sample, SampleEnd},
};

/// The limit during a probe, as a fraction of the limit before it.
const PROBE_FRACTION: f64 = 0.6;
/// The limit after a probe, as a multiple of the requests that the target works on.
const HEADROOM: f64 = 1.1;
/// Latency above this multiple of the last probe's stops the growth of the limit.
const GROWTH_LATENCY_RATIO: f64 = 1.4;
/// Latency above this multiple of the last probe's calls for a new probe at once.
const PROBE_LATENCY_RATIO: f64 = 2.0;
/// The relative growth of the limit in each round.
const GROWTH: f64 = 0.2;
/// The relative growth of the limit in each round until the first probe.
const START_GROWTH: f64 = 1.0;
/// The limit is multiplied by this when the target declines a request.
const DECLINED_FACTOR: f64 = 0.8;
/// The minimum number of samples of a round.
const MIN_ROUND_SAMPLES: u32 = 32;
/// The minimum duration of a round.
const MIN_ROUND: Millis = Millis(50);
/// The maximum duration of a round, however few samples there are.
const MAX_ROUND: Millis = Millis(1_000);
/// The maximum duration of a probe; shorter than a round, since a probe leaves a part of the target
/// unused.
const MAX_PROBE: Millis = Millis(500);
/// The minimum number of samples of a probe.
const MIN_PROBE_SAMPLES: u32 = 48;
/// The minimum time between two probes.
const MIN_PROBE_INTERVAL: Millis = Millis(500);
/// The minimum time between two probes while latency shows no sign of a queue, that is, while it
/// stays within [`PROBE_LATENCY_RATIO`].
const MIN_ROUTINE_PROBE_INTERVAL: Millis = Millis(2_000);
/// The time between two probes, as a multiple of the latency, after a probe that found no queue.
const PROBE_INTERVAL_LATENCIES: f64 = 40.0;
/// The same, after a probe that found a queue inside the target.
const QUEUE_PROBE_INTERVAL_LATENCIES: f64 = 8.0;
/// A probe has found a queue if it lowers latency below this fraction of the latency before it.
const QUEUE_LATENCY_RATIO: f64 = 0.85;
/// The maximum ratio of the latency during a probe to the latency before it. A higher one is noise.
const MAX_LATENCY_RATIO: f64 = 1.2;
/// The weight of a round whose latency is lower than that of the last probe.
const DECREASE_WEIGHT: f64 = 0.2;
/// The time until samples reflect a new limit, as a multiple of the latency.
const SETTLE_LATENCIES: f64 = 1.5;
/// The weight of a new sample in the mean latency, from which the time to settle is derived.
const LATENCY_WEIGHT: f64 = 0.05;

#[derive(Debug, Clone, Copy, PartialEq)]
enum Phase {
    /// Before the first probe, which follows the first sign of a queue inside the target.
    Start,
    /// Between two probes.
    Steady,
    /// During a probe.
    Probe {
        /// The limit before the probe.
        before: f64,
        /// The mean latency of the round before the probe, in milliseconds.
        latency: f64,
    },
}

#[derive(Debug, Clone, Copy, PartialEq, Default)]
struct Round {
    /// When the first sample was taken.
    started_at: Millis,
    samples: u32,
    /// Samples that were taken while as many requests ran as the limit allows.
    saturated: u32,
    /// The sum of the samples' latencies, in milliseconds.
    latency_sum: f64,
}

/// The state of the algorithm.
#[derive(Debug)]
pub(super) struct Adaptive {
    options: Limit,
    limit: f64,
    phase: Phase,
    round: Round,
    /// Samples before this time belong to an earlier limit.
    settled: Millis,
    /// The latency of the last probe, in milliseconds, lowered by later rounds with lower latency;
    /// zero before the first round.
    unloaded: f64,
    /// The smoothed latency of served runs, in milliseconds; zero before the first one.
    latency: f64,
    /// When the last probe began.
    probed_at: Millis,
    /// Whether the last probe found a queue inside the target.
    has_queue: bool,
}

impl Adaptive {
    /// The initial state, before the first sample.
    pub(super) fn new(options: Limit) -> Adaptive {
        let limit = f64::from(options.initial);
        Adaptive {
            options,
            limit,
            phase: Phase::Start,
            round: Round::default(),
            settled: Millis::ZERO,
            unloaded: 0.0,
            latency: 0.0,
            probed_at: Millis::ZERO,
            has_queue: false,
        }
    }

    /// Sets the limit. The next round begins once the samples reflect it.
    fn set_limit(&mut self, limit: f64, now: Millis) {
        self.limit = limit.clamp(f64::from(self.options.least), f64::from(self.options.most));
        self.settled = now + Millis((self.latency * SETTLE_LATENCIES).ceil() as u64);
        self.round = Round::default();
    }

    fn end_round(&mut self, now: Millis) {
        let round = std::mem::take(&mut self.round);
        let latency = (round.latency_sum / f64::from(round.samples)).max(1.0);
        if let Phase::Probe { before, latency: loaded } = self.phase {
            return self.end_probe(now, before, loaded, latency);
        }
        if self.unloaded == 0.0 {
            self.unloaded = latency;
        }
        self.unloaded += (latency - self.unloaded).min(0.0) * DECREASE_WEIGHT;
        let saturated = round.saturated * 2 >= round.samples;
        if !saturated {
            return;
        }
        if self.is_probe_due(now, latency) {
            self.phase = Phase::Probe { before: self.limit, latency };
            self.probed_at = now;
            return self.set_limit(self.limit * PROBE_FRACTION, now);
        }
        if latency > self.unloaded * GROWTH_LATENCY_RATIO {
            return;
        }
        let growth = if self.phase == Phase::Start { START_GROWTH } else { GROWTH };
        self.set_limit((self.limit * (1.0 + growth)).max(self.limit + 1.0), now);
    }

    fn is_probe_due(&self, now: Millis, latency: f64) -> bool {
        let since = now - self.probed_at;
        if self.phase == Phase::Start || latency > self.unloaded * PROBE_LATENCY_RATIO {
            return latency > self.unloaded * GROWTH_LATENCY_RATIO && since >= MIN_PROBE_INTERVAL;
        }
        let latencies = match self.has_queue {
            true => QUEUE_PROBE_INTERVAL_LATENCIES,
            false => PROBE_INTERVAL_LATENCIES,
        };
        since >= Millis((latency * latencies) as u64).max(MIN_ROUTINE_PROBE_INTERVAL)
    }

    /// Sets the limit from the latencies before and during a probe. The ratio is clamped: a probe
    /// cannot lower latency by more than it lowers the limit, so the rest has another cause.
    fn end_probe(&mut self, now: Millis, before: f64, loaded: f64, unloaded: f64) {
        self.phase = Phase::Steady;
        self.unloaded = unloaded;
        let ratio = (unloaded / loaded).clamp(PROBE_FRACTION, MAX_LATENCY_RATIO);
        self.has_queue = ratio < QUEUE_LATENCY_RATIO;
        self.set_limit(before * ratio * HEADROOM, now);
    }
}

impl Algorithm for Adaptive {
    fn limit(&self) -> u32 {
        self.limit.ceil() as u32
    }

    fn sustained(&self) -> u32 {
        match self.phase {
            Phase::Probe { before, .. } => before as u32,
            Phase::Start | Phase::Steady => self.limit(),
        }
    }

    fn observe(&mut self, sample: Sample) {
        if sample.end == SampleEnd::Declined && sample.now >= self.settled {
            return self.set_limit(self.limit * DECLINED_FACTOR, sample.now);
        }
        if sample.end != SampleEnd::Served {
            return;
        }
        let latency = sample.latency.0 as f64;
        let weight = if self.latency == 0.0 { 1.0 } else { LATENCY_WEIGHT };
        self.latency += (latency - self.latency) * weight;
        if sample.now < self.settled || sample.in_flight > self.limit() {
            return;
        }
        if self.round.samples == 0 {
            self.round.started_at = sample.now;
        }
        self.round.samples += 1;
        self.round.latency_sum += latency;
        self.round.saturated += u32::from(sample.in_flight >= self.limit());
        let (samples, max_duration) = match self.phase {
            Phase::Probe { .. } => (MIN_PROBE_SAMPLES.max(self.limit()), MAX_PROBE),
            _ => (MIN_ROUND_SAMPLES.max(self.limit()), MAX_ROUND),
        };
        let duration = sample.now - self.round.started_at;
        let is_complete = self.round.samples >= samples && duration >= MIN_ROUND;
        if is_complete || duration >= max_duration {
            self.end_round(sample.now);
        }
    }

    fn restart(&mut self, slots: Option<u32>) {
        let mut options = self.options.clone();
        let reported = slots.unwrap_or(u32::MAX).max(options.least);
        options.initial = options.initial.min(reported);
        let kept = std::mem::replace(&mut self.options, options.clone());
        *self = Adaptive { options: kept, ..Adaptive::new(options) };
    }
}
