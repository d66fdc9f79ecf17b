//! Messages of the quarantine system.

use crate::request::Fingerprint;

/// A message of the quarantine system.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Message {
    /// These requests were running as a target crashed.
    Crashed {
        /// Names the crash, so that news of it that comes twice counts once.
        crash: u64,
        /// The requests.
        requests: Vec<Fingerprint>,
        /// The one among them that was tried alone, if there was one.
        tried: Option<Fingerprint>,
    },
    /// This request, suspected before, has run to its end.
    Cleared(Fingerprint),
}
