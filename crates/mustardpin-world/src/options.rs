//! What a node's settings decide about its systems. Fixed while the process runs.

use crate::clock::Millis;

/// Options of all systems.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Options {
    /// Options of the membership system.
    pub membership: Membership,
    /// Options of the epoch system.
    pub epoch: Epoch,
    /// Options of the configuration system.
    pub configuration: Configuration,
    /// Options of the freshness system.
    pub freshness: Freshness,
    /// Options of the limit system.
    pub limit: Limit,
    /// Options of the pressure system.
    pub pressure: Pressure,
    /// Options of the queueing system.
    pub queueing: Queueing,
    /// Options of the retry system.
    pub retry: Retry,
    /// Options of the routing system.
    pub routing: Routing,
    /// Options of the recording system.
    pub recording: Recording,
    /// Options of the screening system.
    pub screening: Screening,
    /// Options of the rating system.
    pub rating: Rating,
}

/// Options of the membership system.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Membership {
    /// The time between two exchanges with a random peer.
    pub gossip_period: Millis,
    /// A peer that has not replied within this time is asked through others.
    pub reply_timeout: Millis,
    /// A peer that others can't reach either within this time is suspected.
    pub probe_timeout: Millis,
    /// A suspected peer that has not refuted within this time counts as dead.
    pub suspicion: Millis,
    /// A dead peer is forgotten after this time.
    pub retention: Millis,
    /// A leaving node stays at least this long, so that peers know before it goes.
    pub leave_time: Millis,
}

impl Default for Membership {
    fn default() -> Membership {
        Membership {
            gossip_period: Millis(500),
            reply_timeout: Millis(300),
            probe_timeout: Millis(500),
            suspicion: Millis::from_secs(2),
            retention: Millis::from_secs(7_200),
            leave_time: Millis::from_secs(3),
        }
    }
}

/// Options of the epoch system.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Epoch {
    /// A difference between epoch and peers must last this long before a node proposes.
    pub patience: Millis,
    /// Proposals of different nodes are spread over this time for each member.
    pub spread_per_member: Millis,
    /// The shortest time between two epochs.
    pub interval: Millis,
    /// Added to the interval for each member, since an epoch's row grows with it.
    pub interval_per_member: Millis,
}

impl Default for Epoch {
    fn default() -> Epoch {
        Epoch {
            patience: Millis(500),
            spread_per_member: Millis(20),
            interval: Millis(1_000),
            interval_per_member: Millis(5),
        }
    }
}

/// Options of the freshness system.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Freshness {
    /// A node whose knowledge is older than this is cut off.
    pub window: Millis,
    /// A node asks the platform for news once its knowledge is older than this, and up to half as
    /// much again by chance.
    pub poll_age: Millis,
}

impl Default for Freshness {
    fn default() -> Freshness {
        Freshness { window: Millis(2_500), poll_age: Millis(1_000) }
    }
}

/// Options of the configuration system.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Configuration {
    /// An operator whose change has no known outcome after this time is told so.
    pub proposal_timeout: Millis,
    /// The time between two questions to the platform about the outcome of a change.
    pub settle_period: Millis,
}

impl Default for Configuration {
    fn default() -> Configuration {
        Configuration { proposal_timeout: Millis::from_secs(5), settle_period: Millis(250) }
    }
}

/// How many requests may run on the own target at once.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum LimitAlgorithm {
    /// Found from measured latency and the number of requests in flight.
    #[default]
    Adaptive,
    /// The same at all times.
    Fixed(u32),
    /// As many as come.
    Unlimited,
}

/// Options of the limit system.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Limit {
    /// How the limit is found.
    pub algorithm: LimitAlgorithm,
    /// The limit of a target that has just come. A report of fewer slots lowers it.
    pub initial: u32,
    /// The limit never falls below this.
    pub least: u32,
    /// The limit never grows above this.
    pub most: u32,
}

impl Default for Limit {
    fn default() -> Limit {
        Limit { algorithm: LimitAlgorithm::Adaptive, initial: 8, least: 2, most: 10_000 }
    }
}

/// Options of the pressure system.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Pressure {
    /// Whether requests are refused early when services below refuse them.
    pub early_refusal: bool,
    /// Whether work whose caller has gone or whose deadline has passed is cancelled.
    pub cancellation: bool,
}

impl Default for Pressure {
    fn default() -> Pressure {
        Pressure { early_refusal: true, cancellation: true }
    }
}

/// Which request leaves the queue next, and which is refused when the queue is full.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Discipline {
    /// By importance, then by weighted fair shares between teams.
    #[default]
    Fair,
    /// In the order of arrival.
    Fifo,
    /// In the order of arrival; drops requests while the time in the queue stays high.
    Codel,
}

/// Options of the queueing system.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Queueing {
    /// The order of the queue.
    pub discipline: Discipline,
    /// Requests that may wait for the target at most.
    pub capacity: usize,
    /// No more requests may wait than the target runs in this time.
    pub wait: Millis,
    /// Whether requests that cannot finish by their deadline leave the queue unrun.
    pub drop_late: bool,
}

impl Default for Queueing {
    fn default() -> Queueing {
        Queueing {
            discipline: Discipline::Fair,
            capacity: 1_024,
            wait: Millis(250),
            drop_late: true,
        }
    }
}

/// Who may repeat requests, and how often.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum RetryPolicy {
    /// One allowance for each root request, and a ratio of successes for each route.
    #[default]
    Chain,
    /// A ratio of successes for each route, by each node for itself.
    Ratio,
    /// Every repeat is let through; the system itself repeats nothing.
    Unbounded,
}

/// Options of the retry system.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Retry {
    /// Who may repeat requests.
    pub policy: RetryPolicy,
    /// Repeats for each hundred successes on a route.
    pub ratio_percent: u32,
    /// Repeats that a route may save up.
    pub ratio_burst: u32,
    /// How long a failed root request is remembered, to recognise when it is sent again.
    pub resend_window: Millis,
    /// Resent root requests for each hundred that were not resent, by team.
    pub resend_percent: u32,
    /// Resent root requests that a team may save up at each node.
    pub resend_burst: u32,
}

impl Default for Retry {
    fn default() -> Retry {
        Retry {
            policy: RetryPolicy::Chain,
            ratio_percent: 10,
            ratio_burst: 10,
            resend_window: Millis::from_secs(30),
            resend_percent: 10,
            resend_burst: 10,
        }
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

/// Options of the screening system.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Screening {
    /// How long a request is a suspect that was in flight at a crash.
    pub suspicion: Millis,
    /// How long a request stays in quarantine that was alone in flight at a crash.
    pub quarantine: Millis,
    /// Suspects that the node keeps at most.
    pub limit: usize,
}

impl Default for Screening {
    fn default() -> Screening {
        Screening {
            suspicion: Millis::from_secs(60),
            quarantine: Millis::from_secs(600),
            limit: 4_096,
        }
    }
}
