//! Messages of the screening system.

use crate::clock::Millis;

/// The digest of a route and a request's fingerprint: the same for every copy of the request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct Mark(pub u64);

/// A message of the screening system.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Message {
    /// These requests were in flight as a target crashed.
    Suspected(Vec<Mark>),
    /// This request has run alone on a target without a crash.
    Cleared(Mark),
    /// This request was alone in flight as a target crashed.
    Quarantined {
        /// Which request.
        mark: Mark,
        /// How long it stays in quarantine.
        left: Millis,
    },
}
