//! Messages of the quarantine system.

use crate::request::Fingerprint;

/// A message of the quarantine system.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Message {
    /// A target crashed while these requests were running on it.
    Crashed {
        /// Random id of the crash, by which receivers count a repeated message once.
        crash: u64,
        /// Fingerprints of the requests.
        requests: Vec<Fingerprint>,
        /// The one of them that ran as a trial, with no other suspect beside it, if one did.
        tried: Option<Fingerprint>,
    },
    /// A suspected request has run to its end without a crash.
    Cleared(Fingerprint),
}
