//! Complete responses that their callers have not read yet.
//!
//! Their memory has a limit for all connections together. When it is exceeded, the connection that
//! holds the most, among those whose caller does not read, is told to close.

use std::sync::{
    Arc, Mutex, MutexGuard, PoisonError,
    atomic::{AtomicBool, AtomicUsize, Ordering},
};

use bytes::Bytes;
use slotmap::SlotMap;
use tokio::sync::Notify;

use crate::traffic::{
    body::Body,
    budget::{Budget, Reservation},
    response::CallerResponse,
};

slotmap::new_key_type! {
    /// Identifies a row of the table of connections.
    struct AccountKey;
}

/// What one connection holds.
#[derive(Debug, Default)]
struct Row {
    bytes: AtomicUsize,
    /// Whether the caller reads nothing, so that the connection cannot send.
    is_blocked: AtomicBool,
    is_evicted: AtomicBool,
    evict: Notify,
}

/// The table of connections with the responses that they hold.
#[derive(Debug)]
pub(super) struct Backlog {
    budget: Arc<Budget>,
    rows: Mutex<SlotMap<AccountKey, Arc<Row>>>,
}

impl Backlog {
    /// An empty table. Its responses count against this budget.
    pub(super) fn new(budget: Arc<Budget>) -> Arc<Backlog> {
        Arc::new(Backlog { budget, rows: Mutex::default() })
    }

    /// Adds a connection.
    pub(super) fn open(self: &Arc<Backlog>) -> Account {
        let row = Arc::new(Row::default());
        let key = self.rows().insert(Arc::clone(&row));
        Account { holder: Holder { backlog: Arc::clone(self), row }, key }
    }

    /// Tells connections to close until the others are within the budget, or no other caller is slow.
    fn make_room(&self) {
        let rows = self.rows();
        let is_evicted = |row: &Row| row.is_evicted.load(Ordering::Relaxed);
        let bytes = |row: &Row| row.bytes.load(Ordering::Relaxed);
        let freed = rows.values().filter(|row| is_evicted(row)).map(|row| bytes(row)).sum();
        let mut excess = self.budget.excess().saturating_sub(freed);
        while excess > 0 {
            let slow = rows.values().filter(|row| {
                !is_evicted(row) && row.is_blocked.load(Ordering::Relaxed) && bytes(row) > 0
            });
            let Some(row) = slow.max_by_key(|row| bytes(row)) else { return };
            row.is_evicted.store(true, Ordering::Relaxed);
            row.evict.notify_one();
            excess = excess.saturating_sub(bytes(row));
        }
    }

    fn rows(&self) -> MutexGuard<'_, SlotMap<AccountKey, Arc<Row>>> {
        self.rows.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// The row of a connection, which is removed with it.
#[derive(Debug)]
pub(super) struct Account {
    holder: Holder,
    key: AccountKey,
}

impl Account {
    /// Adds responses to this row.
    pub(super) fn holder(&self) -> Holder {
        self.holder.clone()
    }

    /// How many bytes of responses the connection holds.
    pub(super) fn bytes(&self) -> usize {
        self.holder.row.bytes.load(Ordering::Relaxed)
    }

    /// Records whether the connection cannot send because its caller does not read.
    pub(super) fn set_blocked(&self, is_blocked: bool) {
        self.holder.row.is_blocked.store(is_blocked, Ordering::Relaxed);
    }

    /// Returns once the connection was told to close, since its caller reads too slowly.
    pub(super) async fn evicted(&self) {
        self.holder.row.evict.notified().await;
    }
}

impl Drop for Account {
    fn drop(&mut self) {
        self.holder.backlog.rows().remove(self.key);
    }
}

/// Adds responses to what a connection holds.
#[derive(Debug, Clone)]
pub(super) struct Holder {
    backlog: Arc<Backlog>,
    row: Arc<Row>,
}

impl Holder {
    /// Counts the body of a response, unless it is streamed, until the last part of it is dropped.
    pub(super) fn keep(&self, response: CallerResponse) -> CallerResponse {
        let body = match response.body {
            Body::Complete(bytes) if !bytes.is_empty() => {
                let mut reservation = self.backlog.budget.reservation();
                reservation.set(bytes.len());
                self.row.bytes.fetch_add(bytes.len(), Ordering::Relaxed);
                let held = Held { bytes, row: Arc::clone(&self.row), reservation };
                if self.backlog.budget.excess() > 0 {
                    self.backlog.make_room();
                }
                Body::Complete(Bytes::from_owner(held))
            }
            body => body,
        };
        CallerResponse { body, ..response }
    }
}

/// The body of a response that a connection holds.
#[derive(Debug)]
struct Held {
    bytes: Bytes,
    row: Arc<Row>,
    #[allow(dead_code, reason = "dropped to release the memory of the body")]
    reservation: Reservation,
}

impl AsRef<[u8]> for Held {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl Drop for Held {
    fn drop(&mut self) {
        self.row.bytes.fetch_sub(self.bytes.len(), Ordering::Relaxed);
    }
}
