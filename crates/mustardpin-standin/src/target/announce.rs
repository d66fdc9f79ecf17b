//! Tells the node that its target is there.

use std::{net::SocketAddr, time::Duration};

use compact_str::CompactString;
use serde::{Deserialize, Serialize};
use tokio::sync::oneshot;

use crate::{
    control::Handle,
    http::{self, Caller},
    target::{arguments::Arguments, run::Event},
};

/// What a target says of itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Announcement {
    /// Where it listens.
    pub address: SocketAddr,
    /// The service it belongs to.
    pub service: CompactString,
    /// Requests it runs at once.
    pub slots: u32,
    /// Whether it is healthy.
    pub healthy: bool,
    /// Whether it wants no new requests.
    pub draining: bool,
    /// Requests it is running.
    pub running: u32,
}

/// Announces the target again and again.
#[derive(Debug)]
pub struct Announcer {
    control: Handle<Event>,
    caller: Caller,
    node: SocketAddr,
    period: Duration,
}

impl Announcer {
    /// An announcer to the node in the arguments.
    pub fn new(control: Handle<Event>, caller: Caller, arguments: &Arguments) -> Announcer {
        Announcer { control, caller, node: arguments.node, period: arguments.announce_period }
    }

    /// Announces the target until the process stops.
    pub async fn run(&self) {
        loop {
            self.announce().await;
            tokio::time::sleep(self.period).await;
        }
    }

    /// Announces the target once. A node that is away is told the next time.
    pub async fn announce(&self) {
        let (sender, receiver) = oneshot::channel();
        self.control.send(Event::Announcement(sender));
        let Ok(announcement) = receiver.await else { return };
        let path = "/target/announce";
        let _away: Result<serde::de::IgnoredAny, _> =
            http::call(&self.caller, "POST", self.node, path, Some(&announcement)).await;
    }
}
