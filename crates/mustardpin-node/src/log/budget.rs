//! How many lines may be written: a token bucket, of which the last part is kept for lines that are
//! not about a request.

use std::time::Instant;

/// A bucket holds the lines of so many seconds.
const SECONDS: f64 = 2.0;
/// The part of the bucket that lines about requests leave to the others.
const KEPT: f64 = 0.2;

/// The lines that may be written.
#[derive(Debug)]
pub(super) struct Budget {
    per_second: f64,
    lines: f64,
    as_of: Instant,
}

impl Budget {
    /// A full budget of so many lines a second.
    pub(super) fn new(per_second: u32, now: Instant) -> Budget {
        let per_second = f64::from(per_second);
        Budget { per_second, lines: per_second * SECONDS, as_of: now }
    }

    /// From now on there are so many lines a second.
    pub(super) fn refill_at(&mut self, per_second: u32) {
        self.per_second = f64::from(per_second);
    }

    /// Takes a line. Returns false if there is none left.
    pub(super) fn take(&mut self, now: Instant, is_of_request: bool) -> bool {
        let capacity = self.per_second * SECONDS;
        let gained = now.duration_since(self.as_of).as_secs_f64() * self.per_second;
        self.lines = (self.lines + gained).min(capacity);
        self.as_of = now;
        let kept = if is_of_request { capacity * KEPT } else { 0.0 };
        if self.lines < kept + 1.0 {
            return false;
        }
        self.lines -= 1.0;
        true
    }
}
