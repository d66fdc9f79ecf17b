//! A request as decisions see it, and how it ended.

use std::sync::Arc;

use compact_str::CompactString;

use crate::{
    clock::Millis,
    config::Importance,
    id::{CallKey, KeyDigest, NodeId},
    refusal::{Outcome, Refusal},
};

/// The digest of a request's method, path, query and body: the same for a resent request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct Fingerprint(pub u64);

/// A random token that links a target's own calls to the call it is running.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct CallToken(pub u128);

/// Matches an arrived request with the command that answers it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct Ticket(pub u64);

/// Who sent a request, and what came with it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Origin {
    /// A caller with a tenant key, or without one.
    Caller {
        /// The public part of the key and the digest of the whole key.
        key: Option<(CompactString, KeyDigest)>,
    },
    /// The node's own target, in the course of a call that this node issued the token for.
    Target {
        /// The token.
        token: CallToken,
    },
    /// A peer that passed the request on.
    Peer(Forwarded),
}

/// What travels with a request that one node passes to another.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Forwarded {
    /// The node that passed it on.
    pub from: NodeId,
    /// The id of the tenant key, never the key; `None` on routes open to all.
    pub key_id: Option<CompactString>,
    /// The name of the route.
    pub route: CompactString,
    /// How much it matters.
    pub importance: Importance,
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
    /// The HTTP method.
    pub method: CompactString,
    /// The path, without the query.
    pub path: CompactString,
    /// The idempotency key, if it came with one.
    pub idempotency_key: Option<CompactString>,
    /// The digest of the request. Covers the body only where the route is non-repeatable.
    pub fingerprint: Fingerprint,
    /// The time the caller is willing to wait.
    pub timeout: Option<Millis>,
}

/// An answer kept for repeats of the same request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Answer {
    /// The HTTP status code.
    pub status: u16,
    /// The headers worth repeating.
    pub headers: Vec<(CompactString, Vec<u8>)>,
    /// The whole body.
    pub body: Vec<u8>,
}

/// How the own target ended a run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RunEnd {
    /// The whole answer has come.
    Answered {
        /// The HTTP status code.
        status: u16,
        /// The answer, where the route is non-repeatable and it was small enough.
        answer: Option<Arc<Answer>>,
    },
    /// The target refused by itself and says that it did not run the request.
    Declined,
    /// The connection could not be made; no byte was sent.
    NotSent,
    /// The connection broke, or the answer was malformed.
    Broken,
    /// The run was cancelled: by deadline, or because the caller has gone.
    Cancelled,
}

/// How a peer ended a request passed to it.
#[derive(Debug, Clone, PartialEq, Eq)]
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

/// What a peer's answer says about the service behind it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Pressure {
    /// Requests below this importance are refused at present.
    pub least_importance: Importance,
    /// Requests running on the target.
    pub running: u32,
    /// Requests waiting in the queue.
    pub queued: u32,
    /// How many requests the target may run at once.
    pub limit: u32,
}

/// What [`crate::Command::Run`] tells the traffic side.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Run {
    /// The call.
    pub call: CallKey,
    /// Goes to the target, for the calls it makes in turn.
    pub token: CallToken,
    /// No byte may be sent to the target after this point.
    pub start_by: Millis,
    /// The run is cancelled at this point.
    pub deadline: Millis,
    /// Whether the whole answer has to come back with the end of the run.
    pub record: bool,
}

/// What [`crate::Command::Forward`] tells the traffic side.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Forward {
    /// The call.
    pub call: CallKey,
    /// The node that gets it.
    pub to: NodeId,
    /// Where it gets it, as `IP:port`.
    pub address: CompactString,
    /// What travels with it.
    pub forwarded: Forwarded,
    /// The call is cancelled at this point.
    pub deadline: Millis,
    /// Whether the body may have to be sent a second time.
    pub repeatable: bool,
}

/// The final word on a call, for its caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Verdict {
    /// The answer the target is giving goes to the caller.
    Pass,
    /// The system answers in place of the target.
    Refuse(Refusal),
    /// The recorded answer of an earlier run of the same request.
    Replay(Arc<Answer>),
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
            Verdict::Pass | Verdict::Replay(_) => Outcome::Run,
            Verdict::Refuse(refusal) => refusal.outcome,
        }
    }
}
