//! Reports of departures that wait until the control thread has recorded them.

use std::{
    collections::HashMap,
    sync::{Mutex, MutexGuard, PoisonError},
};

use bytes::Bytes;
use mustardpin_world::event::ReportTicket;
use tokio::sync::oneshot;

use crate::traffic::response::CallerResponse;

/// The response to a report of a departure that could not be recorded.
const NOT_RECORDED: &[u8] =
    b"the departure cannot be recorded now, report it again; the target gets no new requests\n";

/// The reports that wait for an answer.
#[derive(Default)]
pub(super) struct Reports {
    table: Mutex<Table>,
}

#[derive(Default)]
struct Table {
    last: ReportTicket,
    waiting: HashMap<ReportTicket, Waiting>,
}

/// A report that waits for an answer.
struct Waiting {
    sender: oneshot::Sender<CallerResponse>,
    /// The response once the departure has been recorded.
    response: CallerResponse,
}

impl Reports {
    /// Adds a report. Returns its ticket, and the receiver of the response.
    pub(super) fn insert(
        &self,
        response: CallerResponse,
    ) -> (ReportTicket, oneshot::Receiver<CallerResponse>) {
        let (sender, receiver) = oneshot::channel();
        let mut table = self.table();
        table.last.0 += 1;
        let ticket = table.last;
        table.waiting.insert(ticket, Waiting { sender, response });
        (ticket, receiver)
    }

    /// Responds to a report.
    pub(super) fn answer(&self, report: ReportTicket, is_recorded: bool) {
        let Some(Waiting { sender, response }) = self.table().waiting.remove(&report) else {
            return;
        };
        let response = match is_recorded {
            true => response,
            false => CallerResponse::plain(503, Bytes::from_static(NOT_RECORDED)),
        };
        // Fails if the target has closed the connection in the meantime.
        let _ = sender.send(response);
    }

    fn table(&self) -> MutexGuard<'_, Table> {
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
