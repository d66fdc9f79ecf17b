//! How much longer than usual a frame was on its way.
//!
//! A peer's clock can't be compared with this node's, but the difference between the two is constant,
//! so a frame for which it is larger than for others was held up: by a cut, a pause of either node,
//! or a queue.

use mustardpin_world::Millis;

/// The least difference of the last period or two is that of a frame which was not held up. Clocks
/// drift apart too little in that time to matter.
const PERIOD: Millis = Millis::from_secs(30);

/// Measures the frames of one connection.
pub(super) struct Transit {
    since: Millis,
    /// The least difference between this node's clock and the peer's, in milliseconds, of this
    /// period and the one before.
    least: i64,
    least_before: i64,
}

impl Transit {
    /// Starts with a frame that is taken for one that was not held up.
    pub(super) fn new(sent: Millis, received: Millis) -> Transit {
        let difference = difference(sent, received);
        Transit { since: received, least: difference, least_before: difference }
    }

    /// How much longer than usual a frame was on its way.
    pub(super) fn delay(&mut self, sent: Millis, received: Millis) -> Millis {
        let difference = difference(sent, received);
        let elapsed = received - self.since;
        if elapsed >= Millis(PERIOD.0 * 2) {
            *self = Transit::new(sent, received);
        } else if elapsed >= PERIOD {
            let least_before = self.least;
            *self = Transit { since: received, least: difference, least_before };
        }
        self.least = self.least.min(difference);
        let usual = self.least.min(self.least_before);
        Millis(difference.saturating_sub(usual).max(0) as u64)
    }
}

/// The difference between the clocks, whose zero points are unrelated.
fn difference(sent: Millis, received: Millis) -> i64 {
    received.0.wrapping_sub(sent.0) as i64
}
