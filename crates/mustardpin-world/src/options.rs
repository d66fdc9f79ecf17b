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
    /// Options of the rating system.
    pub rating: Rating,
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

/// How a team's rate is shared between nodes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Sharing {
    /// Keepers hold parts of the rate; nodes draw from them what their requests need.
    #[default]
    Keepers,
    /// Each node of the epoch has the same part of the rate. A baseline for measurements.
    Even,
}

/// Options of the rating system.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Rating {
    /// How a team's rate is shared between nodes.
    pub sharing: Sharing,
    /// A team's rate is split into at most this many shards.
    pub max_shards: u8,
    /// Tokens are drawn ahead for the demand of this length of time.
    pub horizon: Millis,
    /// A request waits this long for the next token of its team before it is refused.
    pub patience: Millis,
    /// A keeper that has not replied to a draw within this time counts as unreachable.
    pub reply_within: Millis,
}

impl Default for Rating {
    fn default() -> Rating {
        Rating {
            sharing: Sharing::Keepers,
            max_shards: crate::table::share::MAX_SHARDS,
            horizon: Millis(250),
            patience: Millis(100),
            reply_within: Millis(200),
        }
    }
}
