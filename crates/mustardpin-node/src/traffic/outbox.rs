//! Events on their way to the control thread, handed over in batches.
//!
//! The tasks that are ready in one turn of the event loop add their events first; the task that
//! hands them over was woken by the first of them and runs after the others.

use std::sync::{Mutex, PoisonError};

use mustardpin_world::Event;
use tokio::sync::Notify;

use crate::control::Handle;

/// So many events are handed over at once, without waiting for the end of the turn.
const MAX_BATCH: usize = 128;

/// Events on their way to the control thread.
pub(super) struct Outbox {
    control: Handle,
    events: Mutex<Vec<Event>>,
    added: Notify,
}

impl Outbox {
    /// An empty outbox.
    pub(super) fn new(control: Handle) -> Outbox {
        Outbox { control, events: Mutex::default(), added: Notify::new() }
    }

    /// Adds an event.
    pub(super) fn push(&self, event: Event) {
        let mut events = self.events.lock().unwrap_or_else(PoisonError::into_inner);
        events.push(event);
        let count = events.len();
        if count >= MAX_BATCH {
            let batch = std::mem::take(&mut *events);
            drop(events);
            return self.control.events(batch);
        }
        drop(events);
        if count == 1 {
            self.added.notify_one();
        }
    }

    /// Hands events over until the runtime ends.
    pub(super) async fn hand_over(&self) {
        loop {
            self.added.notified().await;
            let mut events = self.events.lock().unwrap_or_else(PoisonError::into_inner);
            let batch = std::mem::take(&mut *events);
            drop(events);
            if !batch.is_empty() {
                self.control.events(batch);
            }
        }
    }
}
