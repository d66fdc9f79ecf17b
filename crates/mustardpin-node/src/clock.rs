//! The clock that the control thread and the traffic threads share.

use std::time::Duration;

use mustardpin_world::Millis;
use rustix::time::{ClockId, clock_gettime};

/// A source of the current time.
pub trait Clock: Send + Sync {
    /// Returns the time since the process started. The clock never goes back, and advances while
    /// the process is frozen or the machine is suspended.
    fn now(&self) -> Millis;
}

/// The machine's clock since boot (`CLOCK_BOOTTIME`), which includes time in suspension.
#[derive(Debug, Clone, Copy)]
pub struct BootClock {
    start: Duration,
}

impl BootClock {
    /// Creates a clock that starts at zero.
    ///
    /// ```
    /// use mustardpin_node::clock::{BootClock, Clock as _};
    /// use mustardpin_world::Millis;
    /// assert!(BootClock::start().now() < Millis::from_secs(60));
    /// ```
    pub fn start() -> BootClock {
        BootClock { start: since_boot() }
    }
}

impl Clock for BootClock {
    fn now(&self) -> Millis {
        // A u64 holds the milliseconds of any process's lifetime.
        Millis(since_boot().saturating_sub(self.start).as_millis() as u64)
    }
}

fn since_boot() -> Duration {
    let now = clock_gettime(ClockId::Boottime);
    Duration::new(now.tv_sec.unsigned_abs(), u32::try_from(now.tv_nsec).unwrap_or_default())
}
