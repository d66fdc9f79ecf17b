//! Latencies of requests and of internal steps, as histograms with fixed buckets.

use derive_more::Display;

use crate::clock::Millis;

/// The inclusive upper bounds of the buckets. One more bucket counts longer durations.
pub const BOUNDS: [Millis; 14] = [
    Millis(1),
    Millis(2),
    Millis(5),
    Millis(10),
    Millis(20),
    Millis(50),
    Millis(100),
    Millis(200),
    Millis(500),
    Millis(1_000),
    Millis(2_000),
    Millis(5_000),
    Millis(10_000),
    Millis(30_000),
];

/// A histogram of durations.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Histogram {
    counts: [u64; BOUNDS.len() + 1],
    /// The sum of all durations.
    pub sum: Millis,
}

impl Histogram {
    /// Counts a duration.
    ///
    /// ```
    /// use mustardpin_world::{Millis, table::latency::{BOUNDS, Histogram}};
    ///
    /// let mut histogram = Histogram::default();
    /// histogram.observe(Millis(4));
    /// assert_eq!(histogram.buckets().nth(2), Some((Some(BOUNDS[2]), 1)));
    /// ```
    pub fn observe(&mut self, duration: Millis) {
        let bucket = BOUNDS.partition_point(|bound| *bound < duration);
        self.counts[bucket] += 1;
        self.sum = self.sum + duration;
    }

    /// The upper bound of each bucket and its count. The last bucket has no bound.
    pub fn buckets(&self) -> impl Iterator<Item = (Option<Millis>, u64)> {
        let bounds = BOUNDS.iter().copied().map(Some).chain([None]);
        bounds.zip(self.counts)
    }

    /// The number of durations counted.
    pub fn count(&self) -> u64 {
        self.counts.iter().sum()
    }
}

/// Where a request came from.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Display)]
pub enum Source {
    /// A caller.
    #[display("caller")]
    Caller,
    /// The local target, in the course of another request.
    #[display("target")]
    Target,
    /// A peer that forwarded it.
    #[display("peer")]
    Peer,
}

/// How a request ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Display)]
pub enum End {
    /// A target responded without a server error.
    #[display("served")]
    Served,
    /// A target responded with a server error, or there is no complete response although the
    /// request may have run.
    #[display("failed")]
    Failed,
    /// The request was refused and did not run.
    #[display("refused")]
    Refused,
}

/// A step whose latency is measured apart from that of whole requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Display)]
pub enum Step {
    /// Waiting in the queue of the local target.
    #[display("queue")]
    Queue,
    /// A run on the local target.
    #[display("run")]
    Run,
    /// A reply of the store, without the time for which the store held a long poll.
    #[display("store")]
    Store,
}

impl Source {
    /// Every source.
    pub const ALL: [Source; 3] = [Source::Caller, Source::Target, Source::Peer];
}

impl End {
    /// Every end.
    pub const ALL: [End; 3] = [End::Served, End::Failed, End::Refused];
}

impl Step {
    /// Every step.
    pub const ALL: [Step; 3] = [Step::Queue, Step::Run, Step::Store];
}

/// The latencies since the process started.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Latencies {
    requests: [[Histogram; End::ALL.len()]; Source::ALL.len()],
    steps: [Histogram; Step::ALL.len()],
}

impl Latencies {
    /// Records the latency of a request that has ended.
    pub fn record_request(&mut self, source: Source, end: End, latency: Millis) {
        self.requests[source as usize][end as usize].observe(latency);
    }

    /// Records the latency of a step that has ended.
    pub fn record_step(&mut self, step: Step, latency: Millis) {
        self.steps[step as usize].observe(latency);
    }

    /// The latencies of the requests with this source and end.
    pub fn of_requests(&self, source: Source, end: End) -> &Histogram {
        &self.requests[source as usize][end as usize]
    }

    /// The latencies of a step.
    pub fn of_step(&self, step: Step) -> &Histogram {
        &self.steps[step as usize]
    }
}
