//! Estimates from the store's monotonic clock when the store sent a reply.
//!
//! The store's clock and this node's run at the same rate but have different origins. The store
//! reads its clock after the node sent the query, so that reading is no earlier than the sending.
//! One such pair gives each later reading of the store's clock an earliest time on this node's
//! clock. The reply to a query that the store held for seconds then counts nearly as of the time
//! at which the store sent it.

use crate::clock::Millis;

/// Maximum drift between two monotonic clocks: one part in this many.
const DRIFT_DIVISOR: u64 = 2_000;

/// Readings of both clocks: the store's showed `store` no earlier than this node's showed `local`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct ClockSample {
    local: Millis,
    store: Millis,
}

impl ClockSample {
    /// The earliest time on this node's clock at which the store's clock can have shown `store`.
    fn earliest(self, store: Millis) -> Millis {
        let elapsed = store - self.store;
        self.local + elapsed - Millis(elapsed.0 / DRIFT_DIVISOR)
    }
}

/// Relation of the store's clock to this node's.
#[derive(Debug, Default)]
pub(super) struct StoreClock {
    /// The sample that gives the latest estimates; `None` before the first reply with a clock.
    best: Option<ClockSample>,
}

impl StoreClock {
    /// The time as of which a reply counts, between the sending of its query and now.
    pub(super) fn as_of(&mut self, clock: Option<Millis>, sent: Millis, now: Millis) -> Millis {
        let Some(store) = clock else { return sent };
        let sample = ClockSample { local: sent, store };
        let Some(best) = self.best else {
            self.best = Some(sample);
            return sent;
        };
        let earliest = best.earliest(store);
        // A clock that went back or ran ahead of this node's is a different clock than before.
        if store < best.store || earliest > now {
            self.best = Some(sample);
            return sent;
        }
        if earliest <= sent {
            self.best = Some(sample);
            return sent;
        }
        earliest
    }
}
