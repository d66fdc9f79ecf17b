//! The platform's store, asked on behalf of the world.

use mustardpin_world::store::{Operation, Ticket};

/// Asks the store.
pub trait Store: Send {
    /// Asks without waiting. The reply comes as an event, also if there is no answer in time.
    fn submit(&mut self, ticket: Ticket, operation: Operation);
}
