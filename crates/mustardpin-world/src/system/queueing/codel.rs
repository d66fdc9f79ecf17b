//! In the order of arrival; drops requests while the time in the queue stays high (CoDel).

use std::collections::VecDeque;

use crate::{
    clock::Millis,
    system::queueing::{Class, Discipline, Entry, Next},
};

/// The time in the queue that is always accepted.
const TARGET: Millis = Millis(20);
/// How long the time in the queue must stay above the target before the first drop.
const INTERVAL: Millis = Millis(100);

/// A queue that drops more and more often while its delay stays high.
#[derive(Debug, Default)]
pub(super) struct Codel {
    queue: VecDeque<Entry>,
    /// When the first drop is due, once the delay is above the target.
    first_above: Option<Millis>,
    dropping: bool,
    next_drop: Millis,
    drops: u32,
}

impl Codel {
    /// Whether the delay has stayed above the target for the whole interval.
    fn is_delayed(&mut self, entry: &Entry, now: Millis) -> bool {
        if now - entry.queued < TARGET {
            self.first_above = None;
            return false;
        }
        let due = *self.first_above.get_or_insert(now + INTERVAL);
        now >= due
    }

    fn schedule_drop(&mut self, from: Millis) {
        let pause = INTERVAL.0 as f64 / f64::from(self.drops.max(1)).sqrt();
        self.next_drop = from + Millis(pause as u64);
    }
}

impl Discipline for Codel {
    fn push(&mut self, entry: Entry) {
        self.queue.push_back(entry);
    }

    fn evict(&mut self) -> Option<Entry> {
        self.queue.pop_back()
    }

    fn pop(&mut self, now: Millis) -> Option<Next> {
        let entry = self.queue.pop_front()?;
        if !self.is_delayed(&entry, now) {
            self.dropping = false;
            return Some(Next::Run(entry));
        }
        if !self.dropping {
            self.dropping = true;
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
