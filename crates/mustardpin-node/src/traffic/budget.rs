//! The limit on the memory for bodies that are kept.

use std::sync::{
    Arc,
    atomic::{AtomicUsize, Ordering},
};

/// The limit on the bytes of all bodies of one kind that are kept at once.
#[derive(Debug)]
pub(super) struct Budget {
    limit: usize,
    reserved: AtomicUsize,
}

impl Budget {
    /// A budget of this many bytes.
    pub(super) fn new(limit: usize) -> Arc<Budget> {
        Arc::new(Budget { limit, reserved: AtomicUsize::new(0) })
    }

    /// An empty reservation.
    pub(super) fn reservation(self: &Arc<Budget>) -> Reservation {
        Reservation { budget: Arc::clone(self), count: 0 }
    }

    fn reserve(&self, count: usize) -> bool {
        let previous = self.reserved.fetch_add(count, Ordering::Relaxed);
        let is_within_limit = previous.saturating_add(count) <= self.limit;
        if !is_within_limit {
            self.reserved.fetch_sub(count, Ordering::Relaxed);
        }
        is_within_limit
    }
}

/// The bytes of a budget that one body uses. Dropping it releases them.
#[derive(Debug)]
pub(super) struct Reservation {
    budget: Arc<Budget>,
    count: usize,
}

impl Reservation {
    /// Reserves bytes until `count` are reserved. Returns false, and reserves none, if the budget
    /// has too few left.
    pub(super) fn grow_to(&mut self, count: usize) -> bool {
        let missing = count.saturating_sub(self.count);
        let has_room = missing == 0 || self.budget.reserve(missing);
        if has_room {
            self.count += missing;
        }
        has_room
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.budget.reserved.fetch_sub(self.count, Ordering::Relaxed);
    }
}
