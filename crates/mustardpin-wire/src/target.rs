//! Reports of a target to its own node.
//!
//! About once a second a target sends `POST /target/announce` to the node's local listener. To
//! decline a request that it did not run, it responds with status 503 and the header
//! `Target-Outcome: not-run`.
//!
//! A target in need states in its responses how many requests per second it takes from all nodes
//! together, with the header `Target-Rate-Limit`, for as long as the limit holds. One that leaves
//! says so with `Target-Leaving: 1`.

use compact_str::CompactString;
use derive_more::{Display, Error, From};
use mustardpin_world::event::TargetReport;
use serde::{Deserialize, Serialize};

/// The path to which a target posts its announcements.
pub const ANNOUNCE_PATH: &str = "/target/announce";
/// The value of the header `Target-Outcome` by which a target declines a request.
pub const NOT_RUN: &str = "not-run";

/// Why an announcement was not accepted.
#[derive(Debug)]
#[derive(Display, Error, From)]
pub enum Error {
    /// The body is not JSON, or doesn't have the fields of an announcement.
    #[display("the announcement has the wrong shape: {_0}")]
    Json(serde_json::Error),
    /// The address is not of the form `IP:port`.
    #[display("the address {_0:?} is not of the form IP:port")]
    #[from(skip)]
    Address(#[error(not(source))] CompactString),
    /// The target belongs to another service.
    #[display("the node serves targets of {expected:?}, not of {actual:?}")]
    Service {
        /// The service of the node.
        expected: CompactString,
        /// The service of the target.
        actual: CompactString,
    },
}

/// A target's announcement of itself.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Announcement {
    /// The address at which the target accepts requests, as `IP:port`.
    pub address: CompactString,
    /// The service that the target belongs to.
    pub service: CompactString,
    /// How many requests the target can run at once, if it reports that.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub slots: Option<u32>,
    /// Whether the target is healthy.
    pub healthy: bool,
    /// Whether the target is draining and accepts no new requests.
    #[serde(default)]
    pub draining: bool,
    /// How many requests the target is running, if it reports that.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub running: Option<u32>,
}

/// Reads the announcement of a target of this service.
///
/// # Errors
///
/// If the announcement is malformed, or comes from a target of another service.
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
