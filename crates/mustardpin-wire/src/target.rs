//! What a target says of itself to the node in its slot.
//!
//! About once a second a target sends `POST /target/announce` to the node's local listener. It
//! declines a request that it did not run with status 503 and the header `Target-Outcome: not-run`.

use compact_str::CompactString;
use derive_more::{Display, Error, From};
use mustardpin_world::event::TargetReport;
use serde::{Deserialize, Serialize};

/// Where a target announces itself.
pub const ANNOUNCE_PATH: &str = "/target/announce";
/// The value of the header `Target-Outcome` by which a target declines a request.
pub const NOT_RUN: &str = "not-run";

/// Why an announcement was not accepted.
#[derive(Debug)]
#[derive(Display, Error, From)]
pub enum Error {
    /// The body has the wrong shape.
    #[display("the announcement has the wrong shape: {_0}")]
    Json(serde_json::Error),
    /// The address is not of the form `IP:port`.
    #[display("the address {_0:?} is not of the form IP:port")]
    #[from(skip)]
    Address(#[error(not(source))] CompactString),
    /// The target belongs to another service.
    #[display("the node serves targets of {expected:?}, not of {actual:?}")]
    Service {
        /// The node's service.
        expected: CompactString,
        /// The target's.
        actual: CompactString,
    },
}

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

/// Reads the announcement of a target of this service.
///
/// # Errors
///
/// If it cannot be read, or comes from a target of another service.
pub fn read(service: &str, body: &[u8]) -> Result<TargetReport, Error> {
    let announcement: Announcement = serde_json::from_slice(body)?;
    if announcement.service != service {
        return Err(Error::Service { expected: service.into(), actual: announcement.service });
    }
    if announcement.address.parse::<std::net::SocketAddr>().is_err() {
        return Err(Error::Address(announcement.address));
    }
    Ok(announcement.into())
}

impl From<Announcement> for TargetReport {
    fn from(announcement: Announcement) -> TargetReport {
        TargetReport {
            address: announcement.address,
            slots: announcement.slots,
            healthy: announcement.healthy,
            draining: announcement.draining,
            running: announcement.running,
            ..TargetReport::default()
        }
    }
}
