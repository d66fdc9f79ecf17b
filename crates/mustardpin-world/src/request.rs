//! Requests as the control state sees them, and how they end.

use compact_str::CompactString;

use crate::{
    clock::Millis,
    config::Rank,
    id::{KeyDigest, NodeId, Revision, TargetId},
    notice::{Notice, Rate, RateLimit},
    refusal::{Outcome, Refusal},
};

/// The lowest HTTP status code of a server error.
pub const SERVER_ERROR: u16 = 500;

/// The digest of a request's method, path, query and body, and of the service behind the node that
/// accepted it: the same for a client retry. Of a body that is too large to be buffered, it covers
/// only the part that was received first. Forwarded with the request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct Fingerprint(pub u64);

/// A random token that a target sends with its own calls, to link them to the call it is running.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct CallToken(pub u128);

/// Identifies a request between the world and the traffic side, which chooses it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct Ticket(pub u64);

/// The sender of a request, and the data that identifies it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Origin {
    /// A caller with a tenant key, or without one.
    Caller {
        /// The digest of the key, if the request has one.
        key: Option<KeyDigest>,
    },
    /// The node's local target.
    Target {
        /// The token of the call that the target was running when it sent this one, if it was sent
        /// along.
        token: Option<CallToken>,
    },
    /// A peer that forwarded the request.
    Peer(Forwarded),
}

/// The position of a request in a chain of calls.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub enum Nesting {
    /// The root: a caller sent it.
    #[default]
    Root,
    /// Sent by a target while it ran a known request.
    Linked,
    /// Sent by a target without a call token, so the request that it was running is unknown.
    Unlinked,
}

impl Nesting {
    /// Whether a target sent the request while it ran another.
    ///
    /// ```
    /// use mustardpin_world::request::Nesting;
    /// assert!(Nesting::Unlinked.is_nested() && !Nesting::Root.is_nested());
    /// ```
    pub const fn is_nested(self) -> bool {
        !matches!(self, Nesting::Root)
    }
}

/// What a node sends along with a request that it forwards to a peer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Forwarded {
    /// The node that forwarded it.
    pub from: NodeId,
    /// The revision of the configuration that this node decided by.
    pub revision: Revision,
    /// The id of the tenant key, never the key itself; `None` on routes open to all.
    pub key_id: Option<CompactString>,
    /// The name of the team that it runs for.
    pub team: Option<CompactString>,
    /// The name of the route.
    pub route: CompactString,
    /// The name of the service.
    pub service: CompactString,
    /// Its importance: the order in which requests are refused.
    pub rank: Rank,
    /// Its position in a chain of calls.
    pub nesting: Nesting,
    /// Whether the request is idempotent: running it twice does no harm.
    pub repeatable: bool,
    /// The remaining time in which a response meets its latency objective.
    pub objective: Millis,
    /// The retries left to it and to all nested calls below it.
    pub retry_allowance: u32,
    /// How many calls are above it in its chain.
    pub depth: u16,
    /// How many times it has been forwarded.
    pub hops: u8,
}

/// A request that has arrived up to its body, which stays with the traffic side. A body that is
/// small enough to be buffered has arrived too.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Request {
    /// Identifies the request in commands and events.
    pub ticket: Ticket,
    /// The sender of the request.
    pub origin: Origin,
    /// Its id in log entries: the same on every node that handles it.
    pub id: CompactString,
    /// The host it is for, in lower case.
    pub host: CompactString,
    /// The HTTP method.
    pub method: CompactString,
    /// The path, without the query.
    pub path: CompactString,
    /// The digest of the request.
    pub fingerprint: Fingerprint,
    /// The time that the caller waits for a response, if the caller sent one.
    pub timeout: Option<Millis>,
}

/// How a run on this node's target ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RunEnd {
    /// The complete response arrived.
    Answered {
        /// The HTTP status code.
        status: u16,
        /// The target's load as the response reports it, if it does.
        report: Option<TargetLoad>,
    },
    /// The target refused the request and reports that it didn't run it.
    Declined,
    /// Another target than the expected one is at the address; the request did not run.
    Misdirected,
    /// No connection could be established; no byte was sent.
    NotSent,
    /// The connection broke, or the response was malformed.
    Broken,
    /// The run was cancelled: at its deadline, or because the caller disconnected.
    Cancelled,
}

/// The load that a target reports with a response. A hint: it may be wrong.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct TargetLoad {
    /// Requests running.
    pub running: u32,
    /// Requests waiting inside the target.
    pub waiting: u32,
    /// How many requests it can run at once.
    pub slots: u32,
}

/// How a request that was forwarded to a peer ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ForwardEnd {
    /// The complete response of a target arrived.
    Answered {
        /// The HTTP status code.
        status: u16,
    },
    /// The peer refused the request.
    Refused(Refusal),
    /// No connection could be established; no byte was sent.
    NotSent,
    /// The connection broke, or the response was malformed.
    Broken,
    /// The request was cancelled: at its deadline, or because the caller disconnected.
    Cancelled,
}

/// What a node knows of the rate limit of its target.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum TargetRate {
    /// Nothing: the target has not responded since the node started.
    #[default]
    Unknown,
    /// The target takes requests without a rate limit.
    Unlimited,
    /// The target takes this rate, of the requests of all nodes together.
    Limited(Rate),
}

/// The load of a node's target, as the node reports it to its peers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Load {
    /// Whether the target takes new requests.
    pub open: bool,
    /// Requests running on the target.
    pub running: u32,
    /// Requests waiting in the node's queue.
    pub queued: u32,
    /// How many requests the target may run at once, on average if it has a rate limit.
    pub limit: u32,
    /// The demand on the target, in thousandths of its capacity.
    pub demand: u32,
    /// The revision of the node's configuration.
    pub revision: Revision,
    /// The process of the target.
    pub target: TargetId,
    /// Whether the target has stated that it is leaving.
    pub leaving: bool,
    /// The rate limit of the target.
    pub rate: TargetRate,
}

impl Load {
    /// Applies what a response of the target states about it.
    ///
    /// ```
    /// use mustardpin_world::{notice::{Notice, RateLimit}, request::Load};
    ///
    /// let mut load = Load { open: true, ..Load::default() };
    /// load.apply(Notice { leaving: true, rate_limit: RateLimit::Absent });
    /// assert!(load.leaving && !load.open);
    /// ```
    pub fn apply(&mut self, notice: Notice) {
        if notice.leaving {
            self.leaving = true;
            self.open = false;
        }
        if let RateLimit::Stated(rate) = notice.rate_limit {
            self.rate = TargetRate::Limited(rate);
        }
    }
}

/// The arguments of [`crate::Command::Run`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Run {
    /// The ticket of the request.
    pub ticket: Ticket,
    /// The name of the team that it runs for, if this node accepted it from the caller.
    pub team: Option<CompactString>,
    /// Sent to the target, which sends it with its own calls.
    pub token: CallToken,
    /// No byte may be sent to the target after this point.
    pub start_by: Millis,
    /// The run is cancelled at this point.
    pub deadline: Millis,
    /// Whether the request may be sent again over another connection, if the target had already
    /// closed the one that was used.
    pub repeatable: bool,
}

/// The arguments of [`crate::Command::Forward`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Forward {
    /// The ticket of the request.
    pub ticket: Ticket,
    /// The peer that receives it.
    pub to: NodeId,
    /// The data sent along with it.
    pub forwarded: Forwarded,
    /// The time that the peer has to respond.
    pub timeout: Millis,
    /// The request is cancelled at this point.
    pub deadline: Millis,
}

/// The final result of a request, which decides the response to its caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// Pass the target's response to the caller.
    Pass,
    /// Respond with a refusal in place of the target.
    Refuse(Refusal),
}

impl Verdict {
    /// Whether the request has run, according to the verdict.
    ///
    /// ```
    /// use mustardpin_world::{refusal::{Outcome, Reason, Refusal}, request::Verdict};
    /// let verdict = Verdict::Refuse(Refusal::not_run(Reason::NoTarget));
    /// assert_eq!(verdict.outcome(), Outcome::NotRun);
    /// ```
    pub fn outcome(&self) -> Outcome {
        match self {
            Verdict::Pass => Outcome::Run,
            Verdict::Refuse(refusal) => refusal.outcome,
        }
    }
}

/// Whether the traffic side passes a complete response with this status to the caller without
/// asking the world. The world may retry a request that ended with a server error.
///
/// ```
/// use mustardpin_world::request::is_final_status;
/// assert!(is_final_status(200) && is_final_status(404) && !is_final_status(500));
/// ```
pub const fn is_final_status(status: u16) -> bool {
    status < SERVER_ERROR
}
