//! The rate limit of the log: a token bucket of which a part is reserved for entries that are not
//! about a request.

use std::time::Instant;

/// The capacity of the bucket, as seconds of its rate.
const CAPACITY_SECONDS: f64 = 2.0;
/// The fraction of the bucket that is reserved for entries that are not about a request.
const RESERVED_FRACTION: f64 = 0.2;

/// The token bucket. One token is one line.
#[derive(Debug)]
pub(super) struct Budget {
    lines_per_second: f64,
    tokens: f64,
    refilled_at: Instant,
}

impl Budget {
    /// Creates a full bucket.
    pub(super) fn new(lines_per_second: u32, now: Instant) -> Budget {
        let lines_per_second = f64::from(lines_per_second);
        Budget { lines_per_second, tokens: lines_per_second * CAPACITY_SECONDS, refilled_at: now }
    }

    /// Changes the rate.
    pub(super) fn set_rate(&mut self, lines_per_second: u32) {
        self.lines_per_second = f64::from(lines_per_second);
    }

    /// Takes the token of one line. Returns false if there is none left.
    pub(super) fn take(&mut self, now: Instant, is_about_request: bool) -> bool {
        let capacity = self.lines_per_second * CAPACITY_SECONDS;
        let refill = now.duration_since(self.refilled_at).as_secs_f64() * self.lines_per_second;
        self.tokens = (self.tokens + refill).min(capacity);
        self.refilled_at = now;
        let reserved = if is_about_request { capacity * RESERVED_FRACTION } else { 0.0 };
        if self.tokens < reserved + 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}
