//! Queueing in the order of arrival, with drops while the queueing delay stays high (CoDel).

use std::collections::VecDeque;

use crate::{
    clock::Millis,
    system::queueing::{Class, Discipline, Next, QueueEntry},
};

/// The queueing delay up to which no call is dropped.
const TARGET_DELAY: Millis = Millis(20);
/// How long the delay must stay above [`TARGET_DELAY`] before the first drop.
const INTERVAL: Millis = Millis(100);

/// A queue that drops more and more often while its delay stays high.
#[derive(Debug, Default)]
pub(super) struct Codel {
    queue: VecDeque<QueueEntry>,
    /// When the first drop is due, while the delay is above the target delay.
    first_drop: Option<Millis>,
    is_dropping: bool,
    next_drop: Millis,
    /// Drops since dropping began.
    drops: u32,
}

impl Codel {
    /// Whether the delay has stayed above the target delay for the whole interval.
    fn is_delayed(&mut self, entry: &QueueEntry, now: Millis) -> bool {
        if now - entry.queued_at < TARGET_DELAY {
            self.first_drop = None;
            return false;
        }
        let due = *self.first_drop.get_or_insert(now + INTERVAL);
        now >= due
    }

    /// Schedules the next drop; the time until it shrinks with the square root of the drops so far.
    fn schedule_drop(&mut self, from: Millis) {
        let delay = INTERVAL.0 as f64 / f64::from(self.drops.max(1)).sqrt();
        self.next_drop = from + Millis(delay as u64);
    }
}

impl Discipline for Codel {
    fn push(&mut self, entry: QueueEntry) {
        self.queue.push_back(entry);
    }

    fn evict(&mut self) -> Option<QueueEntry> {
        self.queue.pop_back()
    }

    fn pop(&mut self, now: Millis) -> Option<Next> {
        let entry = self.queue.pop_front()?;
        if !self.is_delayed(&entry, now) {
            self.is_dropping = false;
            return Some(Next::Run(entry));
        }
        if !self.is_dropping {
            self.is_dropping = true;
            self.drops = 1;
            self.schedule_drop(now);
            return Some(Next::Drop(entry));
        }
        if now < self.next_drop {
            return Some(Next::Run(entry));
        }
        self.drops += 1;
        self.schedule_drop(self.next_drop);
        Some(Next::Drop(entry))
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
