//! What is received of a response.

use compact_str::CompactString;
use mustardpin_world::{
    Event, Millis,
    log::{Entry, Level},
};

use crate::traffic::exchanges::Exchanges;

/// What has been received of a response. Reports one that began and could not be used.
pub(super) struct Reception<'a> {
    exchanges: &'a Exchanges,
    id: &'a CompactString,
    begun: Millis,
    /// The number of bytes received.
    pub(super) count: usize,
    /// Why the response cannot be used; `None` if it was cancelled.
    pub(super) cause: Option<CompactString>,
    /// Whether there is nothing to report.
    pub(super) is_done: bool,
}

impl<'a> Reception<'a> {
    /// Starts before the first byte of the response to the request with this id.
    pub(super) fn new(exchanges: &'a Exchanges, id: &'a CompactString) -> Reception<'a> {
        let begun = exchanges.clock.now();
        Reception { exchanges, id, begun, count: 0, cause: None, is_done: false }
    }
}

impl Drop for Reception<'_> {
    fn drop(&mut self) {
        if self.is_done || self.count == 0 {
            return;
        }
        let entry = Entry::new(Level::Warn, "response_unusable")
            .on(self.id)
            .with("received", self.count)
            .with("took", self.exchanges.clock.now() - self.begun)
            .with("cause", self.cause.take().unwrap_or_else(|| "cancelled".into()));
        self.exchanges.outbox.log(entry);
        self.exchanges.outbox.push(Event::ResponseUnusable);
    }
}
