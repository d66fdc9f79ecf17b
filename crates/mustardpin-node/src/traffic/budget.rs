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

    /// By how many bytes the reservations exceed the limit.
    pub(super) fn excess(&self) -> usize {
        self.reserved.load(Ordering::Relaxed).saturating_sub(self.limit)
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

    /// Reserves this many bytes, even beyond the limit: they are in memory already.
    pub(super) fn set(&mut self, count: usize) {
        match count.checked_sub(self.count) {
            Some(more) => self.budget.reserved.fetch_add(more, Ordering::Relaxed),
            None => self.budget.reserved.fetch_sub(self.count - count, Ordering::Relaxed),
        };
        self.count = count;
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.budget.reserved.fetch_sub(self.count, Ordering::Relaxed);
    }
}
