//! What a node's settings decide about its systems. Fixed while the process runs.

use crate::clock::Millis;

/// Options of all systems.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Options {
    /// Options of the membership system.
    pub membership: Membership,
    /// Options of the freshness system.
    pub freshness: Freshness,
    /// Options of the queueing system.
    pub queueing: Queueing,
    /// Options of the routing system.
    pub routing: Routing,
    /// Options of the recording system.
    pub recording: Recording,
}

/// Options of the membership system.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Membership {
    /// The time between two exchanges with a random peer.
    pub gossip_period: Millis,
}

impl Default for Membership {
    fn default() -> Membership {
        Membership { gossip_period: Millis(500) }
    }
}

/// Options of the freshness system.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Freshness {
    /// A node whose knowledge is older than this is cut off.
    pub window: Millis,
    /// A node asks the platform for news once its knowledge is older than this.
    pub poll_age: Millis,
}

impl Default for Freshness {
    fn default() -> Freshness {
        Freshness { window: Millis(2_500), poll_age: Millis(1_000) }
    }
}

/// Options of the queueing system.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Queueing {
    /// Requests that may wait for the target.
    pub capacity: usize,
    /// Requests that may run on the target before its own limit is known.
    pub initial_limit: u32,
}

impl Default for Queueing {
    fn default() -> Queueing {
        Queueing { capacity: 256, initial_limit: 32 }
    }
}

/// Options of the routing system.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Routing {
    /// How many times a request may pass from node to node.
    pub max_hops: u8,
    /// The time limit of a request on a route without one.
    pub default_timeout: Millis,
}

impl Default for Routing {
    fn default() -> Routing {
        Routing { max_hops: 3, default_timeout: Millis::from_secs(30) }
    }
}

/// Options of the recording system.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Recording {
    /// A request whose record is not mirrored within this time is refused.
    pub mirror_timeout: Millis,
    /// The time between two sendings of a message that has not been acknowledged.
    pub resend_period: Millis,
    /// Records that the node keeps at most.
    pub record_limit: usize,
    /// Bytes of recorded answers that the node keeps at most.
    pub answer_bytes_limit: usize,
    /// Records in one handover message.
    pub batch_records: usize,
    /// Bytes of recorded answers in one handover message; a single answer may exceed it.
    pub batch_bytes: usize,
    /// After this time in an epoch, records that nobody has handed over count as lost.
    pub handover_timeout: Millis,
    /// A node that has fallen behind the others for this long gives up its present epoch.
    pub catch_up_after: Millis,
}

impl Default for Recording {
    fn default() -> Recording {
        Recording {
            mirror_timeout: Millis(500),
            resend_period: Millis(100),
            record_limit: 100_000,
            answer_bytes_limit: 32 << 20,
            batch_records: 64,
            batch_bytes: 48 << 10,
            handover_timeout: Millis::from_secs(5),
            catch_up_after: Millis::from_secs(1),
        }
    }
}
