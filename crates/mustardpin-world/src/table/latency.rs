//! How long things took: histograms with fixed buckets.

use derive_more::Display;

use crate::clock::Millis;

/// The upper bounds of the buckets, in milliseconds. One more bucket takes what is longer.
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

/// Lengths of time, counted in buckets.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Histogram {
    counts: [u64; BOUNDS.len() + 1],
    /// All lengths together.
    pub sum: Millis,
}

impl Histogram {
    /// Counts a length.
    ///
    /// ```
    /// use mustardpin_world::{Millis, table::latency::{BOUNDS, Histogram}};
    ///
    /// let mut histogram = Histogram::default();
    /// histogram.observe(Millis(4));
    /// assert_eq!(histogram.buckets().nth(2), Some((Some(BOUNDS[2]), 1)));
    /// ```
    pub fn observe(&mut self, length: Millis) {
        let bucket = BOUNDS.partition_point(|bound| *bound < length);
        self.counts[bucket] += 1;
        self.sum = self.sum + length;
    }

    /// The upper bound of each bucket, the last one without any, and the lengths counted in it.
    pub fn buckets(&self) -> impl Iterator<Item = (Option<Millis>, u64)> {
        let bounds = BOUNDS.iter().copied().map(Some).chain([None]);
        bounds.zip(self.counts)
    }

    /// How many lengths were counted.
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
    /// The own target, in the course of another request.
    #[display("target")]
    Target,
    /// A peer that passed it on.
    #[display("peer")]
    Peer,
}

/// How a request ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Display)]
pub enum End {
    /// With the answer of a target that is no server error.
    #[display("served")]
    Served,
    /// With a server error of a target, or without a whole answer after it may have run.
    #[display("failed")]
    Failed,
    /// Without having run.
    #[display("refused")]
    Refused,
}

/// What takes time beside requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Display)]
pub enum Step {
    /// Waiting for the own target.
    #[display("queue")]
    Queue,
    /// A run on the own target.
    #[display("run")]
    Run,
    /// An answer of the store, without the time that the store held the question.
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

/// How long things took since the process started.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Latencies {
    requests: [[Histogram; End::ALL.len()]; Source::ALL.len()],
    steps: [Histogram; Step::ALL.len()],
}

impl Latencies {
    /// A request has ended.
    pub fn record_request(&mut self, source: Source, end: End, took: Millis) {
        self.requests[source as usize][end as usize].observe(took);
    }

    /// A step has ended.
    pub fn record_step(&mut self, step: Step, took: Millis) {
        self.steps[step as usize].observe(took);
    }

    /// How long requests took.
    pub fn of_requests(&self, source: Source, end: End) -> &Histogram {
        &self.requests[source as usize][end as usize]
    }

    /// How long a step took.
    pub fn of_step(&self, step: Step) -> &Histogram {
        &self.steps[step as usize]
    }
}
