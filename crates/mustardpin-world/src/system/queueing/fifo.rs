//! In the order of arrival.

use std::collections::VecDeque;

use crate::{
    clock::Millis,
    system::queueing::{Class, Discipline, Entry, Next},
};

/// A plain queue. The last to come is refused.
#[derive(Debug, Default)]
pub(super) struct Fifo {
    queue: VecDeque<Entry>,
}

impl Discipline for Fifo {
    fn push(&mut self, entry: Entry) {
        self.queue.push_back(entry);
    }

    fn evict(&mut self) -> Option<Entry> {
        self.queue.pop_back()
    }

    fn pop(&mut self, _now: Millis) -> Option<Next> {
        self.queue.pop_front().map(Next::Run)
    }

    fn retain(&mut self, keep: &mut dyn FnMut(&Entry) -> bool) {
        self.queue.retain(keep);
    }

    fn len(&self) -> usize {
        self.queue.len()
    }

    fn ahead_of(&self, _class: Class) -> usize {
        self.queue.len()
    }
}
