//! The interface to the platform's store.

use mustardpin_world::store::{Operation, Ticket};

/// A client of the platform's store.
pub trait Store: Send {
    /// Submits an operation without waiting. The control thread receives the reply as an event,
    /// also if the store does not reply in time.
    fn submit(&mut self, ticket: Ticket, operation: Operation);
}
