//! Calls: requests this node has taken in and not yet answered.

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
    id::{CallKey, NodeId, PeerKey, RouteKey, ServiceKey, TeamKey, TenantKey},
    request::{CallToken, Fingerprint, Nesting, Ticket},
};

/// How far a call has come. Each stage is the work list of one system.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Stage {
    /// Waits for a token of its team's rate.
    RateLimit,
    /// Waits for a place to run.
    Routing,
    /// Waits for the check against requests that crash targets.
    Screening,
    /// Waits in the queue of the own target.
    Queued,
    /// Runs on the own target.
    Running,
    /// Was passed to a peer.
    Forwarded,
}

const STAGES: usize = 6;

impl Stage {
    /// The stage's name, as in logs.
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

/// What links a call to the calls around it, and what it has cost so far.
#[derive(Debug, Clone, Default)]
pub struct Lineage {
    /// Calls that the own target made in the course of this one and that are in progress.
    pub children: SmallVec<[CallKey; 2]>,
    /// The identities of all calls that the own target made in the course of this one.
    pub nested: SmallVec<[u64; 2]>,
    /// Retries lent to the peer that has the call.
    pub lent: u32,
    /// Whether a target may have seen the call in an attempt that failed.
    pub may_have_run: bool,
    /// How many attempts have been made that may have reached a target.
    pub arrivals: u32,
    /// How often it was turned away before it reached any target.
    pub reroutes: u32,
    /// Whether the own target was tried and failed.
    pub own_tried: bool,
    /// Whether the target answered with a server error.
    pub failed: bool,
}

/// A request this node has taken in.
#[derive(Debug, Clone)]
pub struct Call {
    /// What the answer is matched by.
    pub ticket: Ticket,
    /// The id of the request, as in logs.
    pub id: CompactString,
    /// Whether ordinary decisions about it are logged.
    pub is_logged: bool,
    /// The peer that passed it on, if one did.
    pub from: Option<NodeId>,
    /// The call on the own target that caused it, if one did and is known.
    pub parent: Option<CallKey>,
    /// Where in a chain of calls it stands.
    pub nesting: Nesting,
    /// The tenant key it came with, if this node took it from its caller.
    pub tenant: Option<TenantKey>,
    /// The id of the tenant key, if a peer passed the call on.
    pub key_id: Option<CompactString>,
    /// The team it runs for.
    pub team: Option<TeamKey>,
    /// Its route; `None` if a peer passed it on by a configuration that this node does not have.
    pub route: Option<RouteKey>,
    /// The service that has to run it.
    pub service: ServiceKey,
    /// How much it matters.
    pub rank: Rank,
    /// Whether running it twice does no harm.
    pub repeatable: bool,
    /// The digest of the request.
    pub fingerprint: Fingerprint,
    /// When it arrived.
    pub arrived: Millis,
    /// Until when its answer is worth most.
    pub objective: Millis,
    /// When it must have been answered.
    pub deadline: Millis,
    /// The retries left to it and everything below it.
    pub retry_allowance: u32,
    /// How many calls stand above it in its chain.
    pub depth: u16,
    /// How many nodes have passed it on.
    pub hops: u8,
    /// How far it has come.
    pub stage: Stage,
    /// Since when it has been in this stage.
    pub since: Millis,
    /// Links the target's own calls to this one.
    pub token: CallToken,
    /// The peer that has it, while it is forwarded.
    pub peer: Option<PeerKey>,
    /// Peers that have failed it or refused it.
    pub tried: SmallVec<[PeerKey; 4]>,
    /// Whether the caller has gone.
    pub abandoned: bool,
    /// Whether an attempt is being cancelled.
    pub cancelling: bool,
    /// What links it to the calls around it.
    pub lineage: Lineage,
}

impl Call {
    /// Whether this node took the call from its caller, in no other call's course.
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
    work: [Vec<CallKey>; STAGES],
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

    /// The call that the traffic side knows by this ticket.
    pub fn by_ticket(&self, ticket: Ticket) -> Option<CallKey> {
        self.by_ticket.get(&ticket).copied()
    }

    /// The call in progress for which the token was issued.
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

    /// Takes the work list of a stage. Calls that have left the stage in the meantime are not in it.
    pub fn take(&mut self, stage: Stage) -> Vec<CallKey> {
        let mut work = std::mem::take(&mut self.work[stage as usize]);
        work.retain(|&key| self.rows.get(key).is_some_and(|call| call.stage == stage));
        work
    }

    /// Puts a call back on the work list of the stage it is in.
    pub fn keep(&mut self, key: CallKey) {
        if let Some(call) = self.rows.get(key) {
            self.work[call.stage as usize].push(key);
        }
    }

    /// Takes the calls whose deadline has passed by this point.
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

    /// When the next call's deadline passes.
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
