//! Calls: requests that this node has accepted and not yet responded to.

use std::{
    cmp::Reverse,
    collections::{BinaryHeap, HashMap},
};

use compact_str::CompactString;
use rapidhash::fast::RandomState;
use slotmap::SlotMap;
use smallvec::SmallVec;

use crate::{
    clock::Millis,
    config::Rank,
    id::{CallKey, NodeId, PeerKey, Revision, RouteKey, ServiceKey, TeamKey, TenantKey},
    request::{CallToken, Fingerprint, Nesting, Ticket},
};

/// The stage of a call. Each stage has a work list, which one system processes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Stage {
    /// Waits for a token of its team's rate.
    RateLimit,
    /// Waits for the choice of a target.
    Routing,
    /// Waits for the quarantine's check against requests that crash targets.
    Screening,
    /// Waits in the queue of this node's target.
    Queued,
    /// Runs on this node's target.
    Running,
    /// Has been forwarded to a peer.
    Forwarded,
}

const STAGE_COUNT: usize = 6;

impl Stage {
    /// The stage's name in log entries.
    ///
    /// ```
    /// assert_eq!(mustardpin_world::table::call::Stage::Queued.name(), "queued");
    /// ```
    pub const fn name(self) -> &'static str {
        match self {
            Stage::RateLimit => "rating",
            Stage::Routing => "routing",
            Stage::Screening => "screening",
            Stage::Queued => "queued",
            Stage::Running => "running",
            Stage::Forwarded => "forwarded",
        }
    }
}

/// A call's links to its nested calls, and its attempts so far.
#[derive(Debug, Clone, Default)]
pub struct Lineage {
    /// Nested calls in progress that this node's target made while it ran this one.
    pub children: SmallVec<[CallKey; 2]>,
    /// The hashes of all nested calls that this node's target made while it ran this one, to
    /// recognise retries.
    pub nested: SmallVec<[u64; 2]>,
    /// Retries lent to the peer that the call is forwarded to.
    pub lent: u32,
    /// Whether a target may have received the call in an attempt that failed.
    pub may_have_run: bool,
    /// How many attempts may have reached a target.
    pub sent_attempts: u32,
    /// How often it was rerouted for free because no target had received it.
    pub reroutes: u32,
    /// Whether this node's target was tried and failed, or stopped taking requests.
    pub local_tried: bool,
    /// Whether the target responded with a server error.
    pub failed: bool,
}

/// A request that this node has accepted.
#[derive(Debug, Clone)]
pub struct Call {
    /// Identifies the request in commands and events.
    pub ticket: Ticket,
    /// The id of the request in log entries.
    pub id: CompactString,
    /// Whether ordinary decisions on it are logged.
    pub is_logged: bool,
    /// The peer that forwarded it, if one did.
    pub from: Option<NodeId>,
    /// The call that this node's target made it for, if there is one and it is known.
    pub parent: Option<CallKey>,
    /// Its position in a chain of calls.
    pub nesting: Nesting,
    /// The tenant key that it came with, if this node accepted it from the caller.
    pub tenant: Option<TenantKey>,
    /// The id of the tenant key, if a peer forwarded the call, or the one that it was made for.
    pub key_id: Option<CompactString>,
    /// The revision of the configuration by which the peer that forwarded it has checked it.
    pub revision: Revision,
    /// The revision by which this node has found the route.
    pub routed_by: Revision,
    /// The host that it is for, in lower case.
    pub host: CompactString,
    /// The HTTP method.
    pub method: CompactString,
    /// The path, without the query.
    pub path: CompactString,
    /// The team that it runs for.
    pub team: Option<TeamKey>,
    /// Its route; `None` if a peer forwarded it by a configuration that this node does not have.
    pub route: Option<RouteKey>,
    /// The service whose targets can run it.
    pub service: ServiceKey,
    /// Its importance: the order in which requests are refused.
    pub rank: Rank,
    /// Whether the request is idempotent: running it twice does no harm.
    pub repeatable: bool,
    /// The digest of the request.
    pub fingerprint: Fingerprint,
    /// When it arrived.
    pub arrived: Millis,
    /// The point in time until which a response meets its latency objective.
    pub objective: Millis,
    /// The point in time by which the response must be complete.
    pub deadline: Millis,
    /// The retries left to it and to all nested calls below it.
    pub retry_allowance: u32,
    /// How many calls are above it in its chain.
    pub depth: u16,
    /// How many times it has been forwarded.
    pub hops: u8,
    /// Its current stage.
    pub stage: Stage,
    /// When it entered this stage.
    pub since: Millis,
    /// The token that links the target's own calls to this one.
    pub token: CallToken,
    /// The peer that it is forwarded to, while it is.
    pub peer: Option<PeerKey>,
    /// Peers at which it failed or was refused.
    pub tried: SmallVec<[PeerKey; 4]>,
    /// Whether its caller no longer waits: the caller disconnected, or the parent call ended.
    pub abandoned: bool,
    /// Whether the target's response states a rate limit.
    pub states_rate_limit: bool,
    /// Whether an attempt is being cancelled.
    pub cancelling: bool,
    /// Its links to its nested calls, and its attempts so far.
    pub lineage: Lineage,
}

impl Call {
    /// Whether this node accepted the call from a caller that isn't a target: the call isn't nested
    /// and no peer forwarded it.
    pub fn is_root(&self) -> bool {
        self.from.is_none() && self.nesting == Nesting::Root
    }
}

/// The table of calls.
#[derive(Debug, Default)]
pub struct Calls {
    rows: SlotMap<CallKey, Call>,
    by_ticket: HashMap<Ticket, CallKey, RandomState>,
    by_token: HashMap<CallToken, CallKey, RandomState>,
    deadlines: BinaryHeap<Reverse<(Millis, CallKey)>>,
    work: [Vec<CallKey>; STAGE_COUNT],
}

impl Calls {
    /// Adds a call and puts it on the work list of its stage.
    pub fn insert(&mut self, call: Call) -> CallKey {
        let (stage, token, ticket, deadline) = (call.stage, call.token, call.ticket, call.deadline);
        let key = self.rows.insert(call);
        self.by_ticket.insert(ticket, key);
        self.by_token.insert(token, key);
        self.deadlines.push(Reverse((deadline, key)));
        self.work[stage as usize].push(key);
        key
    }

    /// The call with this key, unless it is over.
    pub fn get(&self, key: CallKey) -> Option<&Call> {
        self.rows.get(key)
    }

    /// The call with this key, unless it is over.
    pub fn get_mut(&mut self, key: CallKey) -> Option<&mut Call> {
        self.rows.get_mut(key)
    }

    /// The call with this ticket of the traffic side.
    pub fn by_ticket(&self, ticket: Ticket) -> Option<CallKey> {
        self.by_ticket.get(&ticket).copied()
    }

    /// The call in progress that the token was issued for.
    pub fn by_token(&self, token: CallToken) -> Option<CallKey> {
        self.by_token.get(&token).copied()
    }

    /// Moves a call to another stage and puts it on that stage's work list.
    pub fn advance(&mut self, key: CallKey, stage: Stage, now: Millis) {
        let Some(call) = self.rows.get_mut(key) else { return };
        call.stage = stage;
        call.since = now;
        self.work[stage as usize].push(key);
    }

    /// Takes the work list of a stage, without the calls that have left the stage in the meantime.
    pub fn take(&mut self, stage: Stage) -> Vec<CallKey> {
        let mut work = std::mem::take(&mut self.work[stage as usize]);
        work.retain(|&key| self.rows.get(key).is_some_and(|call| call.stage == stage));
        work
    }

    /// Puts a call back on the work list of the stage it is in.
    pub fn requeue(&mut self, key: CallKey) {
        if let Some(call) = self.rows.get(key) {
            self.work[call.stage as usize].push(key);
        }
    }

    /// Takes the calls whose deadline is at or before `now`.
    pub fn take_due(&mut self, now: Millis) -> Vec<CallKey> {
        let mut due = Vec::new();
        while let Some(&Reverse((deadline, key))) = self.deadlines.peek() {
            if !self.rows.contains_key(key) {
                self.deadlines.pop();
                continue;
            }
            if deadline > now {
                break;
            }
            self.deadlines.pop();
            due.push(key);
        }
        due
    }

    /// The earliest deadline; it may be that of a call that is over.
    pub fn next_deadline(&self) -> Option<Millis> {
        self.deadlines.peek().map(|Reverse((deadline, _))| *deadline)
    }

    /// Removes a call that is over.
    pub fn remove(&mut self, key: CallKey) -> Option<Call> {
        let call = self.rows.remove(key)?;
        self.by_ticket.remove(&call.ticket);
        self.by_token.remove(&call.token);
        Some(call)
    }

    /// All calls.
    pub fn iter(&self) -> impl Iterator<Item = (CallKey, &Call)> {
        self.rows.iter()
    }

    /// How many calls there are.
    pub fn len(&self) -> usize {
        self.rows.len()
    }

    /// Whether there are no calls.
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }
}
