//! The type of all points in time and lengths of time: whole milliseconds.

use std::ops::{Add, Sub};

use derive_more::Display;

/// A point in time or a length of time, in milliseconds.
///
/// Points count from the start of the process on a monotonic clock, so they mean nothing to
/// another process; lengths may be sent to one.
///
/// ```
/// use mustardpin_world::Millis;
///
/// let start = Millis(40);
/// assert_eq!(start + Millis::from_secs(2), Millis(2_040));
/// assert_eq!(start - Millis(50), Millis(0));
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Display)]
#[display("{_0} ms")]
pub struct Millis(pub u64);

impl Millis {
    /// The length zero.
    pub const ZERO: Millis = Millis(0);
    /// Later than every real point in time.
    pub const MAX: Millis = Millis(u64::MAX);

    /// A length of whole seconds.
    ///
    /// ```
    /// assert_eq!(mustardpin_world::Millis::from_secs(3).0, 3_000);
    /// ```
    pub const fn from_secs(seconds: u64) -> Millis {
        Millis(seconds * 1_000)
    }
}

impl Add for Millis {
    type Output = Millis;

    /// Saturates at [`Millis::MAX`].
    fn add(self, other: Millis) -> Millis {
        Millis(self.0.saturating_add(other.0))
    }
}

impl Sub for Millis {
    type Output = Millis;

    /// Saturates at zero.
    fn sub(self, other: Millis) -> Millis {
        Millis(self.0.saturating_sub(other.0))
    }
}
