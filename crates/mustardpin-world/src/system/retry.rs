//! Retries failed calls on another node or target, within the root request's retry allowance.
//!
//! A root request starts with an allowance of retries. Each call has a part of it: it lends half to
//! the node or the nested call that it goes to, and the unused rest returns with the response.
//! First attempts of nested calls are free; each retry of one costs one, whether the node or the
//! target's code makes it. In addition, requests for a service earn retry tokens, and each retry
//! that the node makes for the service spends one.

mod chain;
mod ratio;
mod unbounded;

use std::fmt::Debug;

use crate::{
    hash,
    id::{CallKey, ServiceKey},
    log::{Entry, Level},
    options::{self, RetryPolicy},
    refusal::{Outcome, Reason},
    request::{ForwardEnd, Request, RunEnd, SERVER_ERROR},
    system::{finish, quarantine, routing},
    table::{
        call::{Call, Stage},
        counter::Retry,
    },
    world::{Tick, World},
};

/// How often a call may be rerouted for free because no target has received it.
const MAX_REROUTES: u32 = 3;

/// The fraction of the fleet's retry budget that pays for the retries themselves. The rest is for
/// the calls that a retry makes again to the services below.
const OWN_SHARE: f64 = 0.3;

/// The budget that a retry is paid from.
#[derive(Debug)]
struct Budget<'a> {
    /// Remaining retry allowance of the call or, for a nested call, of its parent.
    allowance: &'a mut u32,
    /// Retry tokens that requests for the service have earned.
    tokens: &'a mut f64,
}

/// Decides which retries by nodes, targets and callers are allowed.
trait Policy: Debug + Send {
    /// Pays for a retry that the node makes. Returns false if the budget doesn't allow it.
    fn allow_retry(&self, budget: Budget<'_>) -> bool;

    /// Pays for a nested call that the target's code retries. Returns false if the budget doesn't
    /// allow it.
    fn allow_nested_retry(&self, budget: Budget<'_>) -> bool;

    /// How often a caller may retry a root request that has this allowance; `None` if client
    /// retries are not limited.
    fn max_resends(&self, allowance: u32) -> Option<u32>;
}

/// State of the system between ticks.
#[derive(Debug)]
pub(crate) struct State {
    policy: Box<dyn Policy>,
}

impl State {
    pub(crate) fn new(options: &options::Retry) -> State {
        let policy: Box<dyn Policy> = match options.policy {
            RetryPolicy::Chain => Box::new(chain::Chain),
            RetryPolicy::Ratio => Box::new(ratio::Ratio),
            RetryPolicy::Unbounded => Box::new(unbounded::Unbounded),
        };
        State { policy }
    }

    /// How often a caller may retry a root request that has this allowance; see [`Policy`].
    pub(super) fn max_resends(&self, allowance: u32) -> Option<u32> {
        self.policy.max_resends(allowance)
    }
}

pub(super) fn run(world: &mut World, tick: &mut Tick) {
    for (ticket, end) in std::mem::take(&mut tick.inbox.runs_ended) {
        let Some(key) = world.tables.calls.by_ticket(ticket) else { continue };
        let Some(call) = world.tables.calls.get_mut(key) else { continue };
        call.lineage.sent_attempts += u32::from(!matches!(end, RunEnd::NotSent));
        if let RunEnd::Answered { status, .. } = end {
            call.lineage.failed = status >= SERVER_ERROR;
        }
        let cause = run_cause(world, key, end);
        let call = world.tables.calls.get(key);
        let fingerprint = call.map(|call| call.fingerprint).unwrap_or_default();
        let cause = cause.filter(|_| !quarantine::needs_trial(world, tick.now, fingerprint));
        if !cause.is_some_and(|cause| retry_elsewhere(world, tick, key, cause)) {
            tick.inbox.runs_ended.push((ticket, end));
        }
    }
    for (ticket, end, retries) in std::mem::take(&mut tick.inbox.forwards_ended) {
        let Some(key) = world.tables.calls.by_ticket(ticket) else { continue };
        let Some(call) = world.tables.calls.get_mut(key) else { continue };
        call.retry_allowance += retries.min(call.lineage.lent);
        call.lineage.lent = 0;
        if let ForwardEnd::Answered { status } = end {
            call.lineage.failed = status >= SERVER_ERROR;
        }
        call.lineage.sent_attempts += u32::from(may_have_arrived(end));
        let cause = forward_cause(world, key, end);
        if !cause.is_some_and(|cause| retry_elsewhere(world, tick, key, cause)) {
            tick.inbox.forwards_ended.push((ticket, end, retries));
        }
    }
}

fn may_have_arrived(end: ForwardEnd) -> bool {
    match end {
        ForwardEnd::Answered { .. } | ForwardEnd::Broken | ForwardEnd::Cancelled => true,
        ForwardEnd::Refused(refusal) => {
            refusal.outcome != Outcome::NotRun || refusal.reason == Reason::TargetFailed
        }
        ForwardEnd::NotSent => false,
    }
}

/// Why a call may be retried, and what that costs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Cause {
    retry: Retry,
    cost: Cost,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Cost {
    /// Costs nothing, since no target has received the call.
    Free,
    /// Costs one retry.
    One,
}

impl Cause {
    fn free(retry: Retry) -> Option<Cause> {
        Some(Cause { retry, cost: Cost::Free })
    }

    fn paid(retry: Retry) -> Option<Cause> {
        Some(Cause { retry, cost: Cost::One })
    }
}

fn run_cause(world: &World, key: CallKey, end: RunEnd) -> Option<Cause> {
    let call = world.tables.calls.get(key)?;
    match end {
        RunEnd::NotSent => Cause::free(Retry::NotSent),
        // The node that forwarded the call retries it.
        _ if call.from.is_some() => None,
        RunEnd::Declined | RunEnd::Misdirected => Cause::paid(Retry::Declined),
        RunEnd::Broken if call.repeatable => Cause::paid(Retry::Broken),
        RunEnd::Answered { status, .. } => failed_cause(call, status),
        _ => None,
    }
}

fn forward_cause(world: &World, key: CallKey, end: ForwardEnd) -> Option<Cause> {
    let call = world.tables.calls.get(key)?;
    match end {
        ForwardEnd::NotSent => Cause::free(Retry::NotSent),
        ForwardEnd::Broken if call.repeatable => Cause::paid(Retry::Broken),
        ForwardEnd::Answered { status } => failed_cause(call, status),
        ForwardEnd::Refused(refusal) => refused_cause(call, refusal.outcome, refusal.reason),
        _ => None,
    }
}

/// A failed nested call fails its parent request, so it is worth a retry. Callers of root requests
/// decide for themselves.
fn failed_cause(call: &Call, status: u16) -> Option<Cause> {
    let is_retryable = call.nesting.is_nested() && call.repeatable && call.from.is_none();
    if status >= SERVER_ERROR && is_retryable { Cause::paid(Retry::Failed) } else { None }
}

fn refused_cause(call: &Call, outcome: Outcome, reason: Reason) -> Option<Cause> {
    match (outcome, reason) {
        (Outcome::NotRun, Reason::TargetFailed) => Cause::paid(Retry::Declined),
        (
            Outcome::NotRun,
            Reason::Leaving
            | Reason::Starting
            | Reason::CutOff
            | Reason::NoTarget
            | Reason::QueueFull
            | Reason::TargetRateLimit
            | Reason::InProgressLimit
            | Reason::ConfigurationChanged,
        ) => Cause::free(Retry::Refused),
        (_, Reason::TargetFailed | Reason::Leaving) if call.repeatable => {
            Cause::paid(Retry::Broken)
        }
        _ => None,
    }
}

/// Moves a call back to routing. Returns false if it may not be retried or has no other
/// destination.
fn retry_elsewhere(world: &mut World, tick: &mut Tick, key: CallKey, cause: Cause) -> bool {
    let Some(call) = world.tables.calls.get_mut(key) else { return false };
    if call.abandoned || call.cancelling || call.deadline <= tick.now {
        return false;
    }
    let (stage, peer) = (call.stage, call.peer);
    match (stage, peer) {
        (Stage::Forwarded, Some(peer)) => call.tried.push(peer),
        _ => call.lineage.local_tried = true,
    }
    if !routing::has_destination(world, tick.now, key) || !pay(world, key, cause.cost) {
        return false;
    }
    let tables = &mut world.tables;
    let Some(call) = tables.calls.get_mut(key) else { return false };
    call.peer = None;
    call.lineage.may_have_run |= matches!(cause.retry, Retry::Broken | Retry::Failed);
    if call.is_logged || cause.cost == Cost::One {
        let entry = Entry::new(Level::Info, "tried_again")
            .on(&call.id)
            .with("cause", cause.retry.to_string())
            .with("allowance", call.retry_allowance)
            .with("left", call.deadline - tick.now);
        tick.log(entry);
    }
    finish::release(tables, stage, peer);
    tables.counters.count_retry(cause.retry);
    tables.calls.advance(key, Stage::Routing, tick.now);
    true
}

/// Pays for the retry of a call. Returns false if the budget or the free reroutes are used up.
fn pay(world: &mut World, key: CallKey, cost: Cost) -> bool {
    let tables = &mut world.tables;
    let Some(call) = tables.calls.get_mut(key) else { return false };
    match cost {
        Cost::Free => {
            call.lineage.reroutes += 1;
            call.lineage.reroutes <= MAX_REROUTES
        }
        Cost::One => {
            let Some(service) = tables.services.get_mut(call.service) else { return false };
            let allowance = &mut call.retry_allowance;
            let budget = Budget { allowance, tokens: &mut service.retry_tokens };
            world.systems.retry.policy.allow_retry(budget)
        }
    }
}

/// Adds the fraction of a retry token that the first attempt of a request for a service earns.
pub(super) fn earn(world: &mut World, key: CallKey) {
    let Some(call) = world.tables.calls.get(key) else { return };
    if call.from.is_some() {
        return;
    }
    let nodes = world.tables.peers.len() + 1;
    let (ratio, burst) = token_parameters(&world.options.retry, nodes);
    let Some(service) = world.tables.services.get_mut(call.service) else { return };
    service.retry_tokens = (service.retry_tokens + ratio).min(burst);
}

/// Retry tokens that each request earns at this node, and the maximum that a service may have here.
fn token_parameters(options: &options::Retry, nodes: usize) -> (f64, f64) {
    let Some(fleet) = options.fleet else {
        return (f64::from(options.ratio_percent) / 100.0, f64::from(options.ratio_burst));
    };
    let ratio = f64::from(fleet.permille) / 1_000.0 * OWN_SHARE;
    let burst = f64::from(fleet.slack) * OWN_SHARE / nodes as f64;
    (ratio, burst.max(1.0))
}

/// Takes from a call the part of its allowance that it lends to the node it is forwarded to.
pub(super) fn lend(world: &mut World, key: CallKey) -> u32 {
    let Some(call) = world.tables.calls.get_mut(key) else { return 0 };
    let kept = call.retry_allowance / 2;
    let lent = call.retry_allowance - kept;
    call.retry_allowance = kept;
    lent
}

/// Hash that identifies a nested call among those of its parent.
fn identity(request: &Request) -> u64 {
    hash::of(&[&request.method, &request.path, &request.fingerprint.0.to_string()])
}

/// Lends a part of its parent's allowance to a nested call. A retry of one is paid for first.
pub(super) fn lend_to_nested(
    world: &mut World,
    parent: CallKey,
    service: ServiceKey,
    request: &Request,
) -> Result<u32, Reason> {
    let identity = identity(request);
    let tables = &mut world.tables;
    let service = tables.services.get_mut(service).ok_or(Reason::NoTarget)?;
    let call = tables.calls.get_mut(parent).ok_or(Reason::CallTokenInvalid)?;
    if call.lineage.nested.contains(&identity) {
        let allowance = &mut call.retry_allowance;
        let budget = Budget { allowance, tokens: &mut service.retry_tokens };
        if !world.systems.retry.policy.allow_nested_retry(budget) {
            return Err(Reason::RetryAllowance);
        }
        tables.counters.count_retry(Retry::Nested);
    } else {
        call.lineage.nested.push(identity);
    }
    Ok(lend(world, parent))
}
