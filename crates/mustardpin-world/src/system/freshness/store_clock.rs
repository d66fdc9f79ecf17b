//! Works out when the store answered, from its steady clock.
//!
//! The store's clock and this node's run at the same pace, but show different times. An answer that
//! shows a time of the store came after its question was sent; so that time of the store lies no
//! earlier than the sending. Once one such pair is known, any later time of the store has an
//! earliest point on this node's clock. A question that the store holds for seconds then counts
//! nearly as of its answer.

use crate::clock::Millis;

/// How much two steady clocks may drift apart, as one part in so many.
const DRIFT: u64 = 2_000;

/// A point on both clocks: the store showed `store` no earlier than this node showed `own`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Pair {
    own: Millis,
    store: Millis,
}

impl Pair {
    /// The earliest point on this node's clock at which the store can have shown a time.
    fn earliest(self, store: Millis) -> Millis {
        let elapsed = store - self.store;
        self.own + elapsed - Millis(elapsed.0 / DRIFT)
    }
}

/// What is known of the store's clock.
#[derive(Debug, Default)]
pub(super) struct Pace {
    best: Option<Pair>,
}

impl Pace {
    /// The point as of which an answer counts: between the sending of the question and now.
    pub(super) fn answered(&mut self, clock: Option<Millis>, sent: Millis, now: Millis) -> Millis {
        let Some(store) = clock else { return sent };
        let this = Pair { own: sent, store };
        let Some(best) = self.best else {
            self.best = Some(this);
            return sent;
        };
        let earliest = best.earliest(store);
        // A clock that went back, or ran ahead of this one, is another one than before.
        if store < best.store || earliest > now {
            self.best = Some(this);
            return sent;
        }
        if earliest <= sent {
            self.best = Some(this);
            return sent;
        }
        earliest
    }
}
