//! The platform's table service, asked on behalf of the world.

mod http;

use mustardpin_world::platform::{Operation, Ticket};

pub use self::http::Http;

/// The largest answer of the platform, in bytes.
pub const MAX_ANSWER_BYTES: usize = 64 * 1024 * 1024;

/// Asks the platform.
pub trait Store: Send {
    /// Asks without waiting. The reply comes as an event.
    fn ask(&mut self, ticket: Ticket, operation: Operation);
}
