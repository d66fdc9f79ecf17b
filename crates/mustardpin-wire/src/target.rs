//! What a target says of itself to the node in its slot.
//!
//! About once a second a target sends `POST /target/announce` to the node's local listener. It
//! declines a request that it did not run with status 503 and the header `Target-Outcome: not-run`.

use compact_str::CompactString;
use http::{HeaderMap, StatusCode};
use mustardpin_world::event::TargetReport;
use serde::{Deserialize, Serialize};

use crate::header;

/// Where a target announces itself.
pub const ANNOUNCE_PATH: &str = "/target/announce";
/// The value of the header `Target-Outcome` by which a target declines a request.
pub const NOT_RUN: &str = "not-run";

/// A target's announcement of itself.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Announcement {
    /// Where it takes requests, as `IP:port`.
    pub address: CompactString,
    /// The service it belongs to.
    pub service: CompactString,
    /// How many requests it can run at once, by its own account.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub slots: Option<u32>,
    /// Whether it says it is healthy.
    pub healthy: bool,
    /// Whether it is draining and wants no new requests.
    #[serde(default)]
    pub draining: bool,
    /// Requests it says it is running.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub running: Option<u32>,
}

impl From<Announcement> for TargetReport {
    fn from(announcement: Announcement) -> TargetReport {
        TargetReport {
            slots: announcement.slots,
            healthy: announcement.healthy,
            draining: announcement.draining,
            running: announcement.running,
        }
    }
}

/// Whether a target's answer says that it did not run the request.
///
/// ```
/// use http::{HeaderMap, HeaderValue, StatusCode};
/// use mustardpin_wire::{header, target};
///
/// let mut headers = HeaderMap::new();
/// headers.insert(header::TARGET_OUTCOME, HeaderValue::from_static(target::NOT_RUN));
/// assert!(target::declines(StatusCode::SERVICE_UNAVAILABLE, &headers));
/// assert!(!target::declines(StatusCode::OK, &headers));
/// ```
pub fn declines(status: StatusCode, headers: &HeaderMap) -> bool {
    status == StatusCode::SERVICE_UNAVAILABLE
        && headers.get(header::TARGET_OUTCOME).is_some_and(|value| value == NOT_RUN)
}
