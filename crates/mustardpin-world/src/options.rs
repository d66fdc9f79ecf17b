//! Options of the systems, from the node's settings. A reload of the settings replaces them.

use crate::clock::Millis;

/// The options of all systems.
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
    /// Options of the shedding system.
    pub shedding: Shedding,
    /// Options of the queueing system.
    pub queueing: Queueing,
    /// Options of the retry system.
    pub retry: Retry,
    /// Options of the routing system.
    pub routing: Routing,
    /// Options of the quarantine system.
    pub quarantine: Quarantine,
    /// Options of the rate limit system.
    pub rate_limit: RateLimit,
    /// Options of the stop system.
    pub stop: Stop,
    /// Options of the target system.
    pub target: Target,
    /// Options of log entries.
    pub logging: Logging,
}

/// Options of the fleet system.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Fleet {
    /// The time after which the row of an unreachable node is removed from the store.
    pub forget_after: Millis,
    /// The time after its start at which a node counts as ready even without connections to its
    /// peers.
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
    /// How long the roster must differ from the nodes with rows in the store before a node proposes
    /// a new roster.
    pub patience: Millis,
    /// The maximum jitter added to that time, so that nodes don't propose at once.
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
    /// The maximum age of a node's knowledge from the store. With older knowledge it is cut off.
    pub window: Millis,
    /// The maximum time for which the store holds a long poll for the configuration if nothing
    /// changes.
    pub watch: Millis,
    /// Whether a node that is cut off refuses keyed requests, except for the grace time that
    /// operators allow.
    pub strict: bool,
}

impl Freshness {
    /// The window with which a withdrawn key stops working within `bound`. An eighth of the bound
    /// is left for a process that stalls between two reads of the clock.
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
    /// The time after which a proposed change without a known outcome is reported as such.
    pub proposal_timeout: Millis,
    /// The interval between reads of the store for the outcome of a change.
    pub settle_period: Millis,
}

impl Default for Configuration {
    fn default() -> Configuration {
        Configuration { proposal_timeout: Millis::from_secs(5), settle_period: Millis(250) }
    }
}

/// How the limit of requests that run on this node's target at once is determined.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum LimitAlgorithm {
    /// Adapted to the measured latency and the number of requests in flight.
    #[default]
    Adaptive,
    /// The number of slots that the target reports, less a part that keeps it below saturation.
    Slots,
    /// A constant limit.
    Fixed(u32),
    /// No limit.
    Unlimited,
}

/// Options of the limit system.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Limit {
    /// How the limit is determined.
    pub algorithm: LimitAlgorithm,
    /// The limit of a newly started target. A report of fewer slots lowers it.
    pub initial: u32,
    /// The lower bound of the limit.
    pub least: u32,
    /// The upper bound of the limit.
    pub most: u32,
    /// The percentage of the reported slots that is used, with [`LimitAlgorithm::Slots`].
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

/// Options of the shedding system.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Shedding {
    /// Whether root requests are refused early when a service that they lead to is overloaded.
    pub early_refusal: bool,
    /// The percentage of the admitted work that is divided among all importances in proportion to
    /// their demand. The rest goes to the most important requests first.
    pub floor_percent: u32,
    /// Whether a request is cancelled when its caller disconnects or its deadline passes.
    pub cancellation: bool,
}

impl Default for Shedding {
    fn default() -> Shedding {
        Shedding { early_refusal: true, floor_percent: 0, cancellation: true }
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
    /// In the order of arrival; drops requests while the time in the queue stays high (CoDel).
    Codel,
}

/// Options of the queueing system.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Queueing {
    /// The order of the queue.
    pub discipline: Discipline,
    /// The maximum number of requests that wait for the target.
    pub capacity: usize,
    /// The maximum time in the queue: no more requests may wait than the target runs in this time.
    pub wait: Millis,
    /// The same for nested calls. If one is refused, the work done for the request that made it is
    /// lost.
    pub nested_wait: Millis,
    /// Whether requests that have waited longer than `wait` or `nested_wait` are refused before
    /// they run, so that their callers get an early response.
    pub is_wait_strict: bool,
    /// Whether queued requests that can't finish by their deadline are refused before they run.
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

/// Who may retry requests, and how often.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum RetryPolicy {
    /// A retry allowance for each root request, and a ratio of retries to requests for each
    /// service.
    #[default]
    Chain,
    /// A ratio of retries to requests for each service, applied by each node for itself.
    Ratio,
    /// Every client retry is admitted; the system itself reroutes only requests that no target has
    /// received.
    Unbounded,
}

/// The retry budget of the whole fleet together.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FleetRetries {
    /// Retries for each thousand requests for a service.
    pub permille: u32,
    /// Retries allowed beyond that ratio in any short time.
    pub slack: u32,
}

/// Options of the retry system.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Retry {
    /// Who may retry requests, and how often.
    pub policy: RetryPolicy,
    /// Retries for each hundred requests for a service.
    pub ratio_percent: u32,
    /// The maximum number of unused retries that a service accumulates.
    pub ratio_burst: u32,
    /// The retry budget of the whole fleet together. If given, each node uses its part of it in
    /// place of the ratio and the burst.
    pub fleet: Option<FleetRetries>,
    /// Whether client retries of failed requests are limited by a budget of their own.
    pub limit_resends: bool,
    /// How long a failed root request is remembered, to recognise client retries of it.
    pub resend_window: Millis,
    /// Client retries for each hundred root requests that aren't retries, by team.
    pub resend_percent: u32,
    /// The maximum number of unused client retries that a team accumulates at each node.
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
    /// The maximum number of times that a request is forwarded from node to node.
    pub max_hops: u8,
    /// The time limit of a request whose sender states none. The timeout of its route may lower it.
    pub default_timeout: Millis,
    /// How much more a target in the local data centre may cost than one in another before the
    /// other is preferred, in hundredths of a run's time.
    pub local_preference: u32,
    /// How much earlier a request's deadline is at a peer than at its entry node, so that the
    /// peer's response arrives before the entry node's deadline.
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

/// How a team's rate is divided between nodes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum RateLimitPolicy {
    /// Shard owners hold parts of the rate; nodes lease the tokens that their requests need from
    /// them.
    #[default]
    Sharded,
    /// Each member of the roster has the same part of the rate. A baseline for measurements.
    Even,
}

/// Options of the rate limit system.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RateLimit {
    /// How a team's rate is divided between nodes.
    pub policy: RateLimitPolicy,
    /// The maximum number of shards that a team's rate is split into.
    pub max_shards: u8,
    /// Tokens are leased ahead for the demand of this length of time.
    pub horizon: Millis,
    /// The time-out of a request that waits for a token of its team; then it is refused.
    pub patience: Millis,
    /// A shard owner that hasn't replied to a lease request within this time counts as unreachable.
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
    /// The number of crashes during which a request must have been running to be refused.
    pub crashes: u32,
    /// How long a request that was running at a crash is remembered.
    pub memory: Millis,
    /// The maximum number of requests that the node remembers.
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
    /// The minimum time that a node drains, so that peers and callers learn of it before it exits.
    /// Callers' requests that arrive later are refused.
    pub stay: Millis,
    /// The time within which the process of a draining node has ended, even with requests in
    /// progress.
    pub grace: Millis,
    /// The last part of the grace time, in which connections end. Requests in progress are
    /// cancelled before it.
    pub closing: Millis,
}

impl Default for Stop {
    fn default() -> Stop {
        Stop {
            stay: Millis::from_secs(3),
            grace: Millis::from_secs(30),
            closing: Millis::from_secs(5),
        }
    }
}

/// Options of the target system.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Target {
    /// The time without a report after which the target counts as lost.
    pub lost_after: Millis,
}

impl Default for Target {
    fn default() -> Target {
        Target { lost_after: Millis::from_secs(3) }
    }
}

/// Options of log entries.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Logging {
    /// Ordinary decisions are logged for one request in this many; zero logs none.
    pub one_in: u32,
}

impl Default for Logging {
    fn default() -> Logging {
        Logging { one_in: 64 }
    }
}
