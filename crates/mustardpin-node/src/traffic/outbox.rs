//! Queues events for the control thread and sends them in batches.
//!
//! Tasks that are ready in the same iteration of the event loop add their events before the sending
//! task runs: the first event wakes it, so it is scheduled after the others.

use std::sync::{Mutex, PoisonError};

use mustardpin_world::{Event, log::Entry};
use tokio::sync::Notify;

use crate::control::Handle;

/// The number of queued events at which they are sent immediately, without waiting for the end of
/// the event loop's iteration.
const MAX_BATCH: usize = 128;

/// The queue of events for the control thread.
pub(super) struct Outbox {
    control: Handle,
    events: Mutex<Vec<Event>>,
    added: Notify,
}

impl Outbox {
    /// Creates an empty outbox.
    pub(super) fn new(control: Handle) -> Outbox {
        Outbox { control, events: Mutex::default(), added: Notify::new() }
    }

    /// Queues an event.
    pub(super) fn push(&self, event: Event) {
        let mut events = self.events.lock().unwrap_or_else(PoisonError::into_inner);
        events.push(event);
        let count = events.len();
        if count >= MAX_BATCH {
            // Sent under the lock: another thread's later event must not overtake these.
            self.control.events(std::mem::take(&mut *events));
            return;
        }
        drop(events);
        if count == 1 {
            self.added.notify_one();
        }
    }

    /// Writes a log entry.
    pub(super) fn log(&self, entry: Entry) {
        self.control.write_log(entry);
    }

    /// Sends queued events until the runtime ends.
    pub(super) async fn send_batches(&self) {
        loop {
            self.added.notified().await;
            let mut events = self.events.lock().unwrap_or_else(PoisonError::into_inner);
            if !events.is_empty() {
                self.control.events(std::mem::take(&mut *events));
            }
        }
    }
}
