//! Announcements of the own target.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use compact_str::CompactString;
use derive_more::{Display, Error, From};
use http_body_util::{BodyExt as _, Limited};
use hyper::body::Incoming;
use mustardpin_wire::target::Announcement;
use tokio::{sync::Notify, time};

/// The largest announcement, in bytes.
const MAX_ANNOUNCEMENT_BYTES: usize = 4 * 1024;

/// Why an announcement was not accepted.
#[derive(Debug)]
#[derive(Display, Error, From)]
pub(super) enum Error {
    /// The body broke off or is too large.
    #[display("the announcement broke off or is too large")]
    Body(Box<dyn std::error::Error + Send + Sync>),
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

/// Where announcements come in.
pub(super) struct Announcements {
    service: CompactString,
    heard: Notify,
}

impl Announcements {
    /// Takes announcements from targets of this service only.
    pub(super) fn new(service: CompactString) -> Announcements {
        Announcements { service, heard: Notify::new() }
    }

    /// Reads an announcement.
    pub(super) async fn read(&self, body: Incoming) -> Result<(SocketAddr, Announcement), Error> {
        let body: Bytes = Limited::new(body, MAX_ANNOUNCEMENT_BYTES).collect().await?.to_bytes();
        let announcement: Announcement = serde_json::from_slice(&body)?;
        if announcement.service != self.service {
            return Err(Error::Service {
                expected: self.service.clone(),
                actual: announcement.service,
            });
        }
        let address = announcement
            .address
            .parse()
            .map_err(|_| Error::Address(announcement.address.clone()))?;
        self.heard.notify_one();
        Ok((address, announcement))
    }

    /// Waits for a first announcement, and then until none has come for `timeout`.
    pub(super) async fn lost(&self, timeout: Duration) {
        self.heard.notified().await;
        while time::timeout(timeout, self.heard.notified()).await.is_ok() {}
    }
}
