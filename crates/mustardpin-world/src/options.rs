//! What a node's settings decide about its systems. Fixed while the process runs.

use crate::clock::Millis;

/// Options of all systems.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Options {
    /// Options of the fleet system.
    pub fleet: Fleet,
    /// Options of the roster system.
    pub roster: Roster,
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
    /// Options of the quarantine system.
    pub quarantine: Quarantine,
    /// Options of the rating system.
    pub rate_limit: RateLimit,
    /// Options of the stop system.
    pub stop: Stop,
    /// Options of the target system.
    pub target: Target,
    /// Options of log lines.
    pub logging: Logging,
}

/// Options of the fleet system.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Fleet {
    /// The row of a node that cannot be reached for this long is removed.
    pub forget_after: Millis,
    /// A node that has just started counts as ready without connections to its peers after this
    /// time.
    pub meet_within: Millis,
}

impl Default for Fleet {
    fn default() -> Fleet {
        Fleet { forget_after: Millis::from_secs(15), meet_within: Millis(1_500) }
    }
}

/// Options of the roster system.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Roster {
    /// A difference between the roster and the nodes that are there must last this long before a
    /// node proposes a new roster.
    pub patience: Millis,
    /// Proposals of different nodes are spread over this time.
    pub spread: Millis,
}

impl Default for Roster {
    fn default() -> Roster {
        Roster { patience: Millis(1_000), spread: Millis(1_500) }
    }
}

/// Options of the freshness system.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Freshness {
    /// A node whose knowledge from the store is older than this is cut off.
    pub window: Millis,
    /// How long the store holds a question if nothing changes.
    pub watch: Millis,
    /// Whether a node that is cut off refuses keyed requests, unless operators allow a grace.
    pub strict: bool,
}

impl Freshness {
    /// The window that keeps a withdrawn key from working for longer than `bound`. The rest of the
    /// time is for a process that stalls between two looks at the clock.
    ///
    /// ```
    /// use mustardpin_world::{Millis, options::Freshness};
    /// assert_eq!(Freshness::window_within(Millis(5_000)), Millis(4_375));
    /// ```
    pub const fn window_within(bound: Millis) -> Millis {
        Millis(bound.0 - bound.0 / 8)
    }
}

impl Default for Freshness {
    fn default() -> Freshness {
        let window = Freshness::window_within(Millis::from_secs(3));
        Freshness { window, watch: Millis(1_000), strict: true }
    }
}

/// Options of the configuration system.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Configuration {
    /// An operator whose change has no known outcome after this time is told so.
    pub proposal_timeout: Millis,
    /// The time between two questions to the store about the outcome of a change.
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
    /// As many as the target says that it can run, less a part that keeps it below saturation.
    Slots,
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
    /// The part of the reported slots that is used, in hundredths, where the limit follows them.
    pub slots_percent: u32,
}

impl Default for Limit {
    fn default() -> Limit {
        Limit {
            algorithm: LimitAlgorithm::Adaptive,
            initial: 8,
            least: 2,
            most: 10_000,
            slots_percent: 95,
        }
    }
}

/// Options of the pressure system.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Pressure {
    /// Whether requests are refused early when services below refuse them.
    pub early_refusal: bool,
    /// The part of what a service can do that is shared out to all importances alike when it has
    /// too much to do, in hundredths. The rest goes to the most important requests first.
    pub floor_percent: u32,
    /// Whether work whose caller has gone or whose deadline has passed is cancelled.
    pub cancellation: bool,
}

impl Default for Pressure {
    fn default() -> Pressure {
        Pressure { early_refusal: true, floor_percent: 0, cancellation: true }
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
    /// The same for calls that targets make in the course of other requests, whose work is lost if
    /// they are refused.
    pub nested_wait: Millis,
    /// Whether requests that have waited for longer than that leave the queue unrun, so that their
    /// callers hear of it early.
    pub is_wait_strict: bool,
    /// Whether requests that cannot finish by their deadline leave the queue unrun.
    pub drop_late: bool,
}

impl Default for Queueing {
    fn default() -> Queueing {
        Queueing {
            discipline: Discipline::Fair,
            capacity: 1_024,
            wait: Millis(250),
            nested_wait: Millis(250),
            is_wait_strict: false,
            drop_late: true,
        }
    }
}

/// Who may repeat requests, and how often.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum RetryPolicy {
    /// One allowance for each root request, and a ratio of requests for each service.
    #[default]
    Chain,
    /// A ratio of requests for each service, by each node for itself.
    Ratio,
    /// Every repeat is let through; the system itself repeats nothing.
    Unbounded,
}

/// What the whole fleet together may repeat.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FleetRetries {
    /// Repeats for each thousand requests for a service.
    pub permille: u32,
    /// Repeats beyond those, in any short time.
    pub slack: u32,
}

/// Options of the retry system.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Retry {
    /// Who may repeat requests.
    pub policy: RetryPolicy,
    /// Repeats for each hundred requests for a service.
    pub ratio_percent: u32,
    /// Repeats that a service may save up.
    pub ratio_burst: u32,
    /// What the whole fleet together may repeat. If it is given, each node takes its part of it in
    /// place of the ratio and the burst.
    pub fleet: Option<FleetRetries>,
    /// Whether callers that send failed requests again are held to a budget of their own.
    pub limit_resends: bool,
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
            fleet: None,
            limit_resends: true,
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
    /// How much worse a target of the own data centre may be than one of another before the other
    /// is preferred, in hundredths of the time that a run takes.
    pub local_preference: u32,
    /// A peer has this much less time for a request than its entry node, so that its answer comes
    /// before the entry node gives up.
    pub margin: Millis,
}

impl Default for Routing {
    fn default() -> Routing {
        Routing {
            max_hops: 3,
            default_timeout: Millis::from_secs(30),
            local_preference: 100,
            margin: Millis(10),
        }
    }
}

/// How a team's rate is shared between nodes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum RateLimitPolicy {
    /// Keepers hold parts of the rate; nodes draw from them what their requests need.
    #[default]
    Sharded,
    /// Each member of the roster has the same part of the rate. A baseline for measurements.
    Even,
}

/// Options of the rating system.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RateLimit {
    /// How a team's rate is shared between nodes.
    pub policy: RateLimitPolicy,
    /// A team's rate is split into at most this many shards.
    pub max_shards: u8,
    /// Tokens are drawn ahead for the demand of this length of time.
    pub horizon: Millis,
    /// A request waits this long for the next token of its team before it is refused.
    pub patience: Millis,
    /// A keeper that has not replied to a draw within this time counts as unreachable.
    pub reply_within: Millis,
}

impl Default for RateLimit {
    fn default() -> RateLimit {
        RateLimit {
            policy: RateLimitPolicy::Sharded,
            max_shards: crate::table::rate_limit::MAX_SHARDS,
            horizon: Millis(250),
            patience: Millis(100),
            reply_within: Millis(200),
        }
    }
}

/// Options of the quarantine system.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Quarantine {
    /// A request that was running at this many crashes is refused.
    pub crashes: u32,
    /// How long a request is remembered that was running at a crash.
    pub memory: Millis,
    /// Requests that the node remembers at most.
    pub limit: usize,
}

impl Default for Quarantine {
    fn default() -> Quarantine {
        Quarantine { crashes: 2, memory: Millis::from_secs(600), limit: 4_096 }
    }
}

/// Options of the stop system.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Stop {
    /// A leaving node stays at least this long, so that peers and callers know before it goes.
    pub stay: Millis,
    /// A leaving node is gone after this time, with whatever it still has.
    pub grace: Millis,
}

impl Default for Stop {
    fn default() -> Stop {
        Stop { stay: Millis::from_secs(3), grace: Millis::from_secs(30) }
    }
}

/// Options of the target system.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Target {
    /// A target that has not reported for this long is lost.
    pub lost_after: Millis,
}

impl Default for Target {
    fn default() -> Target {
        Target { lost_after: Millis::from_secs(3) }
    }
}

/// Options of log lines.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Logging {
    /// Ordinary decisions are written for one request in so many; zero writes none.
    pub one_in: u32,
}

impl Default for Logging {
    fn default() -> Logging {
        Logging { one_in: 64 }
    }
}
