//! Queueing in the order of arrival.

use std::collections::VecDeque;

use crate::{
    clock::Millis,
    system::queueing::{Class, Discipline, Next, QueueEntry},
};

/// A plain queue. When it is too long, the latest call is refused.
#[derive(Debug, Default)]
pub(super) struct Fifo {
    queue: VecDeque<QueueEntry>,
}

impl Discipline for Fifo {
    fn push(&mut self, entry: QueueEntry) {
        self.queue.push_back(entry);
    }

    fn evict(&mut self) -> Option<QueueEntry> {
        self.queue.pop_back()
    }

    fn pop(&mut self, _now: Millis) -> Option<Next> {
        self.queue.pop_front().map(Next::Run)
    }

    fn retain(&mut self, keep: &mut dyn FnMut(&QueueEntry) -> bool) {
        self.queue.retain(keep);
    }

    fn len(&self) -> usize {
        self.queue.len()
    }

    fn ahead_of(&self, _class: Class) -> usize {
        self.queue.len()
    }
}
