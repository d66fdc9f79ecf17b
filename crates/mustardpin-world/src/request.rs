//! A request as decisions see it, and how it ended.

use compact_str::CompactString;

use crate::{
    clock::Millis,
    config::Rank,
    id::{KeyDigest, NodeId, Revision},
    refusal::{Outcome, Refusal},
};

/// The first server error among HTTP status codes.
pub const SERVER_ERROR: u16 = 500;

/// The digest of a request's method, path, query and body, and of where it began: the same for a
/// request that is sent again. Travels with the request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct Fingerprint(pub u64);

/// A random token that links a target's own calls to the call it is running.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct CallToken(pub u128);

/// Names a request between the world and the traffic side. Chosen by the traffic side.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct Ticket(pub u64);

/// Who sent a request, and what came with it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Origin {
    /// A caller with a tenant key, or without one.
    Caller {
        /// The digest of the key.
        key: Option<KeyDigest>,
    },
    /// The node's own target.
    Target {
        /// The token of the call in the course of which it calls, if it says so.
        token: Option<CallToken>,
    },
    /// A peer that passed the request on.
    Peer(Forwarded),
}

/// Where in a chain of calls a request stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub enum Nesting {
    /// At the top: a caller sent it.
    #[default]
    Root,
    /// A target made it in the course of a request that the system knows.
    Linked,
    /// A target made it in the course of some request: it did not say which.
    Unlinked,
}

impl Nesting {
    /// Whether a target made the request in the course of another.
    ///
    /// ```
    /// use mustardpin_world::request::Nesting;
    /// assert!(Nesting::Unlinked.is_nested() && !Nesting::Root.is_nested());
    /// ```
    pub const fn is_nested(self) -> bool {
        !matches!(self, Nesting::Root)
    }
}

/// What travels with a request that one node passes to another.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Forwarded {
    /// The node that passed it on.
    pub from: NodeId,
    /// The revision of the configuration by which that node decided.
    pub revision: Revision,
    /// The id of the tenant key, never the key; `None` on routes open to all.
    pub key_id: Option<CompactString>,
    /// The name of the team it runs for.
    pub team: Option<CompactString>,
    /// The name of the route.
    pub route: CompactString,
    /// The name of the service.
    pub service: CompactString,
    /// How much it matters.
    pub rank: Rank,
    /// Where in a chain of calls it stands.
    pub nesting: Nesting,
    /// Whether running it twice does no harm.
    pub repeatable: bool,
    /// How long its answer is worth most, from now.
    pub objective: Millis,
    /// The retries left to it and everything below it.
    pub retry_allowance: u32,
    /// How many calls stand above it in its chain.
    pub depth: u16,
    /// How many nodes have passed it on already.
    pub hops: u8,
}

/// A request that has arrived in full up to its body.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Request {
    /// What the answer is matched by.
    pub ticket: Ticket,
    /// Who sent it.
    pub origin: Origin,
    /// Its id, as in logs: the same on every node that handles it.
    pub id: CompactString,
    /// The host it is for, in lower case.
    pub host: CompactString,
    /// The HTTP method.
    pub method: CompactString,
    /// The path, without the query.
    pub path: CompactString,
    /// The digest of the request.
    pub fingerprint: Fingerprint,
    /// The time the caller is willing to wait.
    pub timeout: Option<Millis>,
}

/// How the own target ended a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RunEnd {
    /// The whole answer has come.
    Answered {
        /// The HTTP status code.
        status: u16,
        /// What the answer says of the target's load.
        report: Option<TargetLoad>,
    },
    /// The target refused by itself and says that it did not run the request.
    Declined,
    /// Another target than the one expected is at the address; the request did not run.
    Misdirected,
    /// The connection could not be made; no byte was sent.
    NotSent,
    /// The connection broke, or the answer was malformed.
    Broken,
    /// The run was cancelled: by deadline, or because the caller has gone.
    Cancelled,
}

/// What a target says of its load with an answer. A hint: it may mislead.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct TargetLoad {
    /// Requests running.
    pub running: u32,
    /// Requests waiting inside the target.
    pub waiting: u32,
    /// Requests it runs at once.
    pub slots: u32,
}

/// How a peer ended a request passed to it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ForwardEnd {
    /// The whole answer has come from a target.
    Answered {
        /// The HTTP status code.
        status: u16,
    },
    /// The peer refused.
    Refused(Refusal),
    /// No connection could be made; no byte was sent.
    NotSent,
    /// The connection broke.
    Broken,
    /// The call was cancelled: by deadline, or because the caller has gone.
    Cancelled,
}

/// What a node tells its peers of the target behind it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Load {
    /// Whether it takes new requests.
    pub open: bool,
    /// Requests running on the target.
    pub running: u32,
    /// Requests waiting in the queue.
    pub queued: u32,
    /// How many requests the target may run at once.
    pub limit: u32,
    /// What is asked of the target, in thousandths of what it can do.
    pub demand: u32,
    /// The revision of the node's configuration.
    pub revision: Revision,
}

/// What [`crate::Command::Run`] tells the traffic side.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Run {
    /// The request.
    pub ticket: Ticket,
    /// The name of the team it runs for, if this node took it from its caller.
    pub team: Option<CompactString>,
    /// Goes to the target, for the calls it makes in turn.
    pub token: CallToken,
    /// No byte may be sent to the target after this point.
    pub start_by: Millis,
    /// The run is cancelled at this point.
    pub deadline: Millis,
    /// Whether the request may be sent again over another connection, if the one that was used
    /// turns out to have been closed by the target meanwhile.
    pub repeatable: bool,
}

/// What [`crate::Command::Forward`] tells the traffic side.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Forward {
    /// The request.
    pub ticket: Ticket,
    /// The node that gets it.
    pub to: NodeId,
    /// What travels with it.
    pub forwarded: Forwarded,
    /// The time that the peer has for it.
    pub timeout: Millis,
    /// The request is cancelled at this point.
    pub deadline: Millis,
}

/// The final word on a request, for its caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// The answer of the target goes to the caller.
    Pass,
    /// The system answers in place of the target.
    Refuse(Refusal),
}

impl Verdict {
    /// Whether the request has run, as far as the verdict says.
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

/// Whether the traffic side passes a whole answer with this status to the caller without asking
/// the world. The world may want to repeat a request that ended with a server error.
///
/// ```
/// use mustardpin_world::request::is_final_status;
/// assert!(is_final_status(200) && is_final_status(404) && !is_final_status(500));
/// ```
pub const fn is_final_status(status: u16) -> bool {
    status < SERVER_ERROR
}
