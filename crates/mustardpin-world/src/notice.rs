//! What a target states about itself with each of its responses, besides its load.

use derive_more::Display;

/// A number of requests per second, in thousandths.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Display)]
#[display("{}.{:03}", _0 / Rate::MILLIS_PER_UNIT, _0 % Rate::MILLIS_PER_UNIT)]
pub struct Rate(pub u64);

impl Rate {
    const MILLIS_PER_UNIT: u64 = 1_000;
    /// The highest rate. Higher ones count as this one.
    pub const MAX: Rate = Rate(1_000_000_000 * Rate::MILLIS_PER_UNIT);

    /// The rate of this many requests per second, which may have a fraction; `None` if that is
    /// negative or not a finite number.
    ///
    /// ```
    /// use mustardpin_world::notice::Rate;
    ///
    /// assert_eq!(Rate::of(2.5), Some(Rate(2_500)));
    /// assert_eq!(Rate::of(f64::MAX), Some(Rate::MAX));
    /// assert_eq!(Rate::of(-1.0), None);
    /// assert_eq!(Rate::of(f64::NAN), None);
    /// ```
    pub fn of(per_second: f64) -> Option<Rate> {
        if !per_second.is_finite() || per_second < 0.0 {
            return None;
        }
        Some(Rate((per_second * Rate::MILLIS_PER_UNIT as f64) as u64).min(Rate::MAX))
    }

    /// Requests per second.
    ///
    /// ```
    /// assert_eq!(mustardpin_world::notice::Rate(2_500).per_second(), 2.5);
    /// ```
    pub fn per_second(self) -> f64 {
        self.0 as f64 / Rate::MILLIS_PER_UNIT as f64
    }
}

/// The rate limit that a response of a target states.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum RateLimit {
    /// None: the target takes requests without a rate limit.
    #[default]
    Absent,
    /// One that can't be read. An earlier one stays in force.
    Unreadable,
    /// This rate, of the requests of all nodes together.
    Stated(Rate),
}

/// What a response of a target states about the target.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Notice {
    /// Whether the target is leaving and takes no new requests.
    pub leaving: bool,
    /// The rate limit of the target.
    pub rate_limit: RateLimit,
}
