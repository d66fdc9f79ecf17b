//! A limit found from measured latency and the number of requests in flight.
//!
//! While the limit holds requests back, the algorithm lowers it for one round from time to time.
//! The latency seen then is the latency without a queue inside the target, however slow the target
//! has become. With the latency seen just before, Little's law gives the number of requests that
//! the target really works on. Between two such probes the limit grows for as long as latency
//! stays near that of the last probe.

use crate::{
    clock::Millis,
    options::Limit,
    system::limit::{Algorithm, Sample, SampleEnd},
};

/// The limit during a probe, as a share of the limit before it.
const PROBE_SHARE: f64 = 0.6;
/// The limit after a probe, as a multiple of the requests that the target works on.
const HEADROOM: f64 = 1.1;
/// Latency above this multiple of the last probe's stops the growth of the limit.
const GROW_BELOW: f64 = 1.4;
/// Latency above this multiple of the last probe's calls for a new probe at once.
const PROBE_ABOVE: f64 = 2.0;
/// Growth for each round.
const GROWTH: f64 = 0.2;
/// Growth for each round until the first probe.
const START_GROWTH: f64 = 1.0;
/// What the limit is multiplied by when the target declines requests.
const DECLINED_FACTOR: f64 = 0.8;
/// Samples of a round.
const SAMPLES: u32 = 32;
/// The shortest round.
const SHORTEST_ROUND: Millis = Millis(50);
/// The longest round, however few samples there are.
const LONGEST_ROUND: Millis = Millis(1_000);
/// The longest round of a probe, and its samples: a probe leaves a part of the target unused.
const LONGEST_PROBE: Millis = Millis(500);
const PROBE_SAMPLES: u32 = 48;
/// The shortest time between two probes.
const SHORTEST_PERIOD: Millis = Millis(500);
/// The shortest time between two probes without a sign of a queue.
const PROBE_PERIOD: Millis = Millis(2_000);
/// The time between two probes, as a multiple of the latency, once a probe has found no queue.
const PROBE_PERIOD_LATENCIES: f64 = 40.0;
/// The same, for as long as probes find a queue inside the target.
const QUEUE_PERIOD_LATENCIES: f64 = 8.0;
/// A probe that lowers latency below this share has found a queue.
const QUEUE_BELOW: f64 = 0.85;
/// Latency during a probe above this multiple of that before it is noise.
const MOST_RATIO: f64 = 1.2;
/// The weight of a round with less latency than the last probe.
const FALL_WEIGHT: f64 = 0.2;
/// The time until samples belong to a new limit, as a multiple of the latency.
const SETTLE_LATENCIES: f64 = 1.5;
/// The weight of a new sample in the mean latency that rounds are measured by.
const LATENCY_WEIGHT: f64 = 0.05;

#[derive(Debug, Clone, Copy, PartialEq)]
enum Phase {
    /// Until the first sign of a queue inside the target.
    Start,
    Cruise,
    /// `before` and `latency` are the limit and the latency of the round before.
    Probe {
        before: f64,
        latency: f64,
    },
}

#[derive(Debug, Clone, Copy, PartialEq, Default)]
struct Round {
    begun: Millis,
    samples: u32,
    /// Samples that ended while the limit held requests back.
    held: u32,
    latency_sum: f64,
}

/// The state of the algorithm.
#[derive(Debug)]
pub(super) struct Adaptive {
    options: Limit,
    limit: f64,
    phase: Phase,
    round: Round,
    /// Samples before this point belong to an earlier limit.
    settled: Millis,
    /// The latency of the last probe; zero before the first round.
    unloaded: f64,
    latency: f64,
    probed: Millis,
    /// Whether the last probe found a queue inside the target.
    has_queue: bool,
}

impl Adaptive {
    /// An algorithm for a target of which nothing is known.
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
            probed: Millis::ZERO,
            has_queue: false,
        }
    }

    /// Sets the limit. The next round begins once the samples belong to it.
    fn set(&mut self, limit: f64, now: Millis) {
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
        self.unloaded += (latency - self.unloaded).min(0.0) * FALL_WEIGHT;
        let held = round.held * 2 >= round.samples;
        if !held {
            return;
        }
        if self.is_probe_due(now, latency) {
            self.phase = Phase::Probe { before: self.limit, latency };
            self.probed = now;
            return self.set(self.limit * PROBE_SHARE, now);
        }
        if latency > self.unloaded * GROW_BELOW {
            return;
        }
        let growth = if self.phase == Phase::Start { START_GROWTH } else { GROWTH };
        self.set((self.limit * (1.0 + growth)).max(self.limit + 1.0), now);
    }

    fn is_probe_due(&self, now: Millis, latency: f64) -> bool {
        let since = now - self.probed;
        if self.phase == Phase::Start || latency > self.unloaded * PROBE_ABOVE {
            return latency > self.unloaded * GROW_BELOW && since >= SHORTEST_PERIOD;
        }
        let latencies = match self.has_queue {
            true => QUEUE_PERIOD_LATENCIES,
            false => PROBE_PERIOD_LATENCIES,
        };
        since >= Millis((latency * latencies) as u64).max(PROBE_PERIOD)
    }

    /// A probe cannot lower latency by more than it lowers the limit; the rest has another cause.
    fn end_probe(&mut self, now: Millis, before: f64, loaded: f64, unloaded: f64) {
        self.phase = Phase::Cruise;
        self.unloaded = unloaded;
        let ratio = (unloaded / loaded).clamp(PROBE_SHARE, MOST_RATIO);
        self.has_queue = ratio < QUEUE_BELOW;
        self.set(before * ratio * HEADROOM, now);
    }
}

impl Algorithm for Adaptive {
    fn limit(&self) -> u32 {
        self.limit.ceil() as u32
    }

    fn sustained(&self) -> u32 {
        match self.phase {
            Phase::Probe { before, .. } => before as u32,
            Phase::Start | Phase::Cruise => self.limit(),
        }
    }

    fn observe(&mut self, sample: Sample) {
        if sample.end == SampleEnd::Declined && sample.now >= self.settled {
            return self.set(self.limit * DECLINED_FACTOR, sample.now);
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
            self.round.begun = sample.now;
        }
        self.round.samples += 1;
        self.round.latency_sum += latency;
        self.round.held += u32::from(sample.in_flight >= self.limit());
        let (samples, longest) = match self.phase {
            Phase::Probe { .. } => (PROBE_SAMPLES.max(self.limit()), LONGEST_PROBE),
            _ => (SAMPLES.max(self.limit()), LONGEST_ROUND),
        };
        let length = sample.now - self.round.begun;
        let enough = self.round.samples >= samples && length >= SHORTEST_ROUND;
        if enough || length >= longest {
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
