//! How a target does on the traffic path: failures, ejection and its return.

use crate::clock::Millis;

/// Points of failures in a row after which a target is ejected.
const EJECT_AFTER: u32 = 6;
/// What a connection that could not be made counts: the target is likely to be gone.
const UNREACHABLE_POINTS: u32 = 2;
/// What an answer that broke off counts: the target may still serve other requests.
const BROKEN_POINTS: u32 = 1;
/// How long the first ejection lasts. Each later one lasts twice as long as the one before.
const FIRST_EJECTION: Millis = Millis(500);
/// The longest ejection.
const LONGEST_EJECTION: Millis = Millis::from_secs(8);

/// Whether requests may be sent to a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum EjectionState {
    /// As many as it has room for.
    #[default]
    Open,
    /// One, to see whether it has recovered.
    Probe,
    /// None.
    Ejected,
}

/// What was seen of a target on the traffic path.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Health {
    /// Points of failures in a row.
    pub failures: u32,
    /// No request goes there before this point.
    pub ejected_until: Millis,
}

impl Health {
    /// Whether requests may be sent now, given how many are on their way already.
    ///
    /// ```
    /// use mustardpin_world::{Millis, table::health::{Health, EjectionState}};
    ///
    /// let mut health = Health::default();
    /// for _ in 0..3 {
    ///     health.record_unreachable(Millis(0));
    /// }
    /// assert_eq!(health.ejection_state(Millis(10), 0), EjectionState::Ejected);
    /// assert_eq!(health.ejection_state(Millis(500), 0), EjectionState::Probe);
    /// assert_eq!(health.ejection_state(Millis(500), 1), EjectionState::Ejected);
    /// health.record_success();
    /// assert_eq!(health.ejection_state(Millis(500), 1), EjectionState::Open);
    /// ```
    pub fn ejection_state(&self, now: Millis, in_flight: u32) -> EjectionState {
        if self.failures < EJECT_AFTER {
            return EjectionState::Open;
        }
        if now < self.ejected_until || in_flight > 0 {
            return EjectionState::Ejected;
        }
        EjectionState::Probe
    }

    /// Whether the target was ejected and has not answered since.
    pub fn is_ejected(&self) -> bool {
        self.failures >= EJECT_AFTER
    }

    /// Takes a success in: the target is open again.
    pub fn record_success(&mut self) {
        *self = Health::default();
    }

    /// The target could not be reached. Enough failures in a row eject it.
    pub fn record_unreachable(&mut self, now: Millis) {
        self.fail(now, UNREACHABLE_POINTS);
    }

    /// An answer of the target broke off. Enough failures in a row eject it.
    pub fn record_broken(&mut self, now: Millis) {
        self.fail(now, BROKEN_POINTS);
    }

    fn fail(&mut self, now: Millis, points: u32) {
        self.failures = self.failures.saturating_add(points);
        if self.failures < EJECT_AFTER || now < self.ejected_until {
            return;
        }
        let doublings = (self.failures - EJECT_AFTER).min(4);
        let length = Millis(FIRST_EJECTION.0 << doublings).min(LONGEST_EJECTION);
        self.ejected_until = now + length;
    }
}
