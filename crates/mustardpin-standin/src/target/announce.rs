//! Announces the target to its node.

use std::{net::SocketAddr, time::Duration};

use compact_str::CompactString;
use serde::{Deserialize, Serialize};
use tokio::sync::oneshot;

use crate::{
    control::Handle,
    http::{self, Caller},
    target::{arguments::Arguments, run::Event},
};

/// The body of an announcement: the address and state of the target.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Announcement {
    /// The address on which the target listens.
    pub address: SocketAddr,
    /// The service that the target belongs to.
    pub service: CompactString,
    /// The number of requests that it can run at once.
    pub slots: u32,
    /// Whether it reports itself as healthy.
    pub healthy: bool,
    /// Whether it declines new requests.
    pub draining: bool,
    /// The number of requests that it is running.
    pub running: u32,
}

/// Announces the target to its node at a fixed interval.
#[derive(Debug)]
pub struct Announcer {
    control: Handle<Event>,
    caller: Caller,
    node: SocketAddr,
    interval: Duration,
}

impl Announcer {
    /// Creates an announcer to the node in the arguments.
    pub fn new(control: Handle<Event>, caller: Caller, arguments: &Arguments) -> Announcer {
        Announcer { control, caller, node: arguments.node, interval: arguments.announce_interval }
    }

    /// Announces the target at each interval and does not return.
    pub async fn run(&self) {
        loop {
            self.announce().await;
            tokio::time::sleep(self.interval).await;
        }
    }

    /// Announces the target once. Errors are ignored: the next announcement is the retry.
    pub async fn announce(&self) {
        let (sender, receiver) = oneshot::channel();
        self.control.send(Event::Announcement(sender));
        let Ok(announcement) = receiver.await else { return };
        let path = "/target/announce";
        let _result: Result<serde::de::IgnoredAny, _> =
            http::call(&self.caller, "POST", self.node, path, Some(&announcement)).await;
    }
}
