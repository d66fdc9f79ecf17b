//! The clock that the control thread and the traffic threads share.

use std::time::Instant;

use mustardpin_world::Millis;

/// Tells the time.
pub trait Clock: Send + Sync {
    /// The time since the process started, on a clock that never goes back and that goes on while
    /// the process is frozen.
    fn now(&self) -> Millis;
}

/// The machine's monotonic clock.
#[derive(Debug, Clone, Copy)]
pub struct Monotonic {
    start: Instant,
}

impl Monotonic {
    /// A clock that shows zero now.
    ///
    /// ```
    /// use mustardpin_node::clock::{Clock as _, Monotonic};
    /// use mustardpin_world::Millis;
    /// assert!(Monotonic::start().now() < Millis::from_secs(60));
    /// ```
    pub fn start() -> Monotonic {
        Monotonic { start: Instant::now() }
    }
}

impl Clock for Monotonic {
    fn now(&self) -> Millis {
        // A u64 of milliseconds lasts longer than any process.
        Millis(self.start.elapsed().as_millis() as u64)
    }
}
