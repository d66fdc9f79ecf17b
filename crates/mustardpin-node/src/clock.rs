//! The clock that the control thread and the traffic threads share.

use std::time::Duration;

use mustardpin_world::Millis;
use rustix::time::{ClockId, clock_gettime};

/// Tells the time.
pub trait Clock: Send + Sync {
    /// The time since the process started, on a clock that never goes back and that goes on while
    /// the process is frozen or the machine is suspended.
    fn now(&self) -> Millis;
}

/// The machine's clock since it was booted, which counts the time that it was suspended.
#[derive(Debug, Clone, Copy)]
pub struct BootClock {
    start: Duration,
}

impl BootClock {
    /// A clock that shows zero now.
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
        // A u64 of milliseconds lasts longer than any process.
        Millis(since_boot().saturating_sub(self.start).as_millis() as u64)
    }
}

fn since_boot() -> Duration {
    let now = clock_gettime(ClockId::Boottime);
    Duration::new(now.tv_sec.unsigned_abs(), u32::try_from(now.tv_nsec).unwrap_or_default())
}
