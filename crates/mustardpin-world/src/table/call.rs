//! Calls: requests this node has taken in and not yet answered.

use std::collections::HashMap;

use compact_str::CompactString;
use rapidhash::fast::RandomState;
use slotmap::SlotMap;
use smallvec::SmallVec;

use crate::{
    clock::Millis,
    config::Importance,
    id::{CallKey, NodeId, PeerKey, RecordKey, RouteKey, TeamKey, TenantKey},
    request::{CallToken, Fingerprint, Ticket},
};

/// How far a call has come. Each stage is the work list of one system.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Stage {
    /// Waits for a token of its team's rate.
    Rating,
    /// Waits for a place to run.
    Routing,
    /// Waits for the check against requests that crash targets.
    Screening,
    /// Waits for the record of a non-repeatable request.
    Recording,
    /// Waits in the queue of the own target.
    Queued,
    /// Runs on the own target.
    Running,
    /// Was passed to a peer.
    Forwarded,
}

const STAGES: usize = 7;

/// What links a call to the calls around it, and what it has cost so far.
#[derive(Debug, Clone, Default)]
pub struct Lineage {
    /// Calls that the own target made in the course of this one and that are in progress.
    pub children: SmallVec<[CallKey; 4]>,
    /// The identities of all calls that the own target made in the course of this one.
    pub nested: SmallVec<[u64; 4]>,
    /// Retries lent to the peer that has the call.
    pub lent: u32,
    /// Whether a target may have seen the call in an attempt that failed.
    pub may_have_run: bool,
    /// Whether the own target was tried and failed.
    pub own_tried: bool,
    /// Whether the target answered with a server error.
    pub failed: bool,
    /// Whether a call below it was refused because of load.
    pub shed_below: bool,
}

/// A request this node has taken in.
#[derive(Debug, Clone)]
pub struct Call {
    /// What the answer is matched by.
    pub ticket: Ticket,
    /// The peer that passed it on, if one did.
    pub from: Option<NodeId>,
    /// The call on the own target that caused it, if one did.
    pub parent: Option<CallKey>,
    /// The tenant key it came with; `None` on routes open to all.
    pub tenant: Option<TenantKey>,
    /// The team it runs for.
    pub team: Option<TeamKey>,
    /// Its route.
    pub route: RouteKey,
    /// How much it matters.
    pub importance: Importance,
    /// Its idempotency key.
    pub idempotency_key: Option<CompactString>,
    /// The digest of the request.
    pub fingerprint: Fingerprint,
    /// When it arrived.
    pub arrived: Millis,
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
    /// The record that it runs under, if its route is non-repeatable.
    pub record: Option<RecordKey>,
    /// Whether it must run alone on the target.
    pub isolated: bool,
    /// What links it to the calls around it.
    pub lineage: Lineage,
}

/// The table of calls.
#[derive(Debug, Default)]
pub struct Calls {
    rows: SlotMap<CallKey, Call>,
    by_token: HashMap<CallToken, CallKey, RandomState>,
    work: [Vec<CallKey>; STAGES],
}

impl Calls {
    /// Adds a call and puts it on the work list of its stage.
    pub fn insert(&mut self, call: Call) -> CallKey {
        let (stage, token) = (call.stage, call.token);
        let key = self.rows.insert(call);
        self.by_token.insert(token, key);
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

    /// Removes a call that is over.
    pub fn remove(&mut self, key: CallKey) -> Option<Call> {
        let call = self.rows.remove(key)?;
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
