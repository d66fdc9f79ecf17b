//! The pace of a target: a token bucket for the requests per second that it takes.

use crate::{clock::Millis, id::NodeId, log::Entry, notice::Rate};

/// The bucket holds what the rate yields in this time, and one token at least.
const BURST_INTERVAL: Millis = Millis(250);
/// The lower bound of the rate, in requests per second. A target that gets no request cannot state
/// that its limit has changed.
const MIN_RATE: f64 = 0.5;
/// The rate doubles in each such interval after the limit has ended, so that the target does not get
/// all the requests at once that went elsewhere.
const DOUBLING_INTERVAL: Millis = Millis(500);
/// The lower bound of the rate after the limit has ended, in requests per second.
const MIN_RISING_RATE: f64 = 4.0;
/// The upper bound of the time that the rate rises for.
const MAX_RISE: Millis = Millis::from_secs(10);
/// A longer wait for a token counts as this one.
const MAX_WAIT: Millis = Millis::from_secs(3_600);
/// Tokens are added in fractions, whose sum may fall short of a whole token by rounding.
const ROUNDING: f64 = 1e-9;

/// Who told this node what its target has stated.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Source {
    /// The target, in a response or a report.
    Target,
    /// A peer that remembered it while this node was restarted.
    Peer(NodeId),
    /// The store, where a predecessor of this node has written it.
    Store,
}

impl Source {
    /// Adds the source to a log entry as a field with this name.
    pub fn log(self, entry: Entry, field: &'static str) -> Entry {
        match self {
            Source::Target => entry.with(field, "target"),
            Source::Peer(node) => entry.with(field, node),
            Source::Store => entry.with(field, "store"),
        }
    }
}

/// The rate limit of a target, and the tokens for requests that may be sent to it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Pace {
    /// The requests per second that the target takes from all nodes together, as last stated.
    pub rate: Rate,
    /// When the target last stated it.
    pub stated_at: Millis,
    /// Who told this node.
    pub source: Source,
    /// When the target stopped stating it.
    pub lifted_at: Option<Millis>,
    /// The tokens at `as_of`.
    level: f64,
    as_of: Millis,
}

impl Pace {
    /// The pace of a target that has just stated a rate limit. There are no tokens yet, since the
    /// target has got requests without a limit.
    ///
    /// ```
    /// use mustardpin_world::{Millis, notice::Rate, table::pace::{Pace, Source}};
    ///
    /// let mut pace = Pace::new(Rate(10_000), Millis(0), Source::Target, Millis(0));
    /// assert!(!pace.has_token(Millis(99)));
    /// assert!(pace.has_token(Millis(100)));
    /// pace.take(Millis(100));
    /// assert_eq!(pace.wait(Millis(100), 0), Millis(100));
    /// ```
    pub fn new(rate: Rate, stated_at: Millis, source: Source, now: Millis) -> Pace {
        Pace { rate, stated_at, source, lifted_at: None, level: 0.0, as_of: now }
    }

    /// Applies a rate limit that was stated later than the known one.
    pub fn restate(&mut self, rate: Rate, stated_at: Millis, source: Source, now: Millis) {
        self.refill(now);
        (self.rate, self.stated_at, self.source) = (rate, stated_at, source);
        self.lifted_at = None;
        self.level = self.level.min(self.capacity(now));
    }

    /// Ends the limit: from now on the rate rises.
    pub fn lift(&mut self, now: Millis) {
        self.refill(now);
        self.lifted_at = self.lifted_at.or(Some(now));
    }

    /// Whether the rate has risen for so long that it limits nothing any more.
    pub fn has_ended(&self, now: Millis) -> bool {
        self.lifted_at.is_some_and(|lifted_at| now - lifted_at >= MAX_RISE)
    }

    /// The requests per second that may be sent now.
    pub fn per_second(&self, now: Millis) -> f64 {
        let rate = self.rate.per_second().max(MIN_RATE);
        let Some(lifted_at) = self.lifted_at else { return rate };
        let risen = (now - lifted_at).min(MAX_RISE);
        rate.max(MIN_RISING_RATE) * (risen.0 as f64 / DOUBLING_INTERVAL.0 as f64).exp2()
    }

    /// Whether a request may be sent now.
    pub fn has_token(&self, now: Millis) -> bool {
        self.tokens(now) >= 1.0 - ROUNDING
    }

    /// Whether there are as many tokens as the bucket holds.
    pub fn is_full(&self, now: Millis) -> bool {
        self.tokens(now) >= self.capacity(now) - ROUNDING
    }

    /// Takes the token of a request that is sent.
    pub fn take(&mut self, now: Millis) {
        self.refill(now);
        self.level -= 1.0;
    }

    /// How long a request waits for its token behind others.
    pub fn wait(&self, now: Millis, ahead: usize) -> Millis {
        let missing = ahead as f64 + 1.0 - self.tokens(now);
        self.time_to_refill(missing - ROUNDING, now)
    }

    /// How long it takes until the bucket is full.
    pub fn time_to_full(&self, now: Millis) -> Millis {
        self.time_to_refill(self.capacity(now) - self.tokens(now) - ROUNDING, now)
    }

    fn time_to_refill(&self, tokens: f64, now: Millis) -> Millis {
        if tokens <= 0.0 {
            return Millis::ZERO;
        }
        Millis((tokens / self.per_second(now) * 1_000.0).ceil() as u64).min(MAX_WAIT)
    }

    fn capacity(&self, now: Millis) -> f64 {
        (self.per_second(now) * BURST_INTERVAL.0 as f64 / 1_000.0).max(1.0)
    }

    fn tokens(&self, now: Millis) -> f64 {
        let elapsed = (now - self.as_of).0 as f64 / 1_000.0;
        (self.level + elapsed * self.per_second(now)).min(self.capacity(now))
    }

    fn refill(&mut self, now: Millis) {
        self.level = self.tokens(now);
        self.as_of = now;
    }
}
