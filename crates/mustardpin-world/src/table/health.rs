//! The health of a target on the traffic path: failures, ejection and recovery.

use crate::clock::Millis;

/// The points of consecutive failures from which on a target is ejected.
const EJECTION_THRESHOLD: u32 = 6;
/// The points of a connection that could not be made: the target has probably stopped.
const UNREACHABLE_POINTS: u32 = 2;
/// The points of a truncated or malformed response: the target may still serve other requests.
const BROKEN_POINTS: u32 = 1;
/// The duration of an ejection at [`EJECTION_THRESHOLD`] points. Each further point doubles it.
const MIN_EJECTION: Millis = Millis(500);
/// The maximum duration of an ejection.
const MAX_EJECTION: Millis = Millis::from_secs(8);

/// Whether requests may be sent to a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum EjectionState {
    /// Requests may be sent, up to the target's limit.
    #[default]
    Open,
    /// One request may be sent, to test whether the target has recovered.
    Probe,
    /// No request may be sent.
    Ejected,
}

/// The recent failures of a target on the traffic path.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Health {
    /// The points of consecutive failures.
    pub failures: u32,
    /// No request is sent to the target before this time.
    pub ejected_until: Millis,
}

impl Health {
    /// Whether requests may be sent now, given the number of requests already in flight.
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
        if self.failures < EJECTION_THRESHOLD {
            return EjectionState::Open;
        }
        if now < self.ejected_until || in_flight > 0 {
            return EjectionState::Ejected;
        }
        EjectionState::Probe
    }

    /// Whether the target was ejected and has not responded since.
    pub fn is_ejected(&self) -> bool {
        self.failures >= EJECTION_THRESHOLD
    }

    /// Records a success, after which the target is open again.
    pub fn record_success(&mut self) {
        *self = Health::default();
    }

    /// Records that the target could not be reached. Enough consecutive failures eject it.
    pub fn record_unreachable(&mut self, now: Millis) {
        self.record_failure(now, UNREACHABLE_POINTS);
    }

    /// Records a truncated or malformed response of the target. Enough consecutive failures eject
    /// it.
    pub fn record_broken(&mut self, now: Millis) {
        self.record_failure(now, BROKEN_POINTS);
    }

    fn record_failure(&mut self, now: Millis, points: u32) {
        self.failures = self.failures.saturating_add(points);
        if self.failures < EJECTION_THRESHOLD || now < self.ejected_until {
            return;
        }
        let doublings = (self.failures - EJECTION_THRESHOLD).min(4);
        let duration = Millis(MIN_EJECTION.0 << doublings).min(MAX_EJECTION);
        self.ejected_until = now + duration;
    }
}
