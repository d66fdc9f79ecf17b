//! Tries failed calls elsewhere, within what the root request may still repeat.
//!
//! A root request starts with an allowance of repeats. Each call holds a part of it: it lends half
//! to the node or the nested call that it goes to, and what is left there comes back with the
//! answer. First attempts of nested calls are free; each repeat of one costs one, whoever makes it.

mod chain;
mod ratio;
mod unbounded;

use std::fmt::Debug;

use crate::{
    clock::Millis,
    command::Command,
    id::CallKey,
    options::{self, RetryPolicy},
    refusal::{Outcome, Reason},
    request::{ForwardEnd, Request, RunEnd},
    system::{finish, screening},
    table::{
        call::{Call, Stage},
        counter::Retry,
    },
    world::{Tick, World},
};

/// How many places may turn a call away before it has reached any target.
const MOST_REROUTES: usize = 3;
/// The first server error among HTTP status codes.
const SERVER_ERROR: u16 = 500;

/// What a repeat is paid from.
#[derive(Debug)]
struct Budget<'a> {
    /// What is left to the call or, for a nested call, to the call that makes it.
    allowance: &'a mut u32,
    /// What successes on the route have earned.
    tokens: &'a mut f64,
}

/// Who may repeat.
trait Policy: Debug + Send {
    /// Pays for a repeat that the system makes, or refuses it.
    fn repeat(&self, budget: Budget<'_>) -> bool;

    /// Pays for a nested call that the target's code makes again, or refuses it.
    fn nested(&self, budget: Budget<'_>) -> bool;

    /// How often a caller may send a root request again, given the fleet's allowance; `None` if
    /// resends are not looked at.
    fn resends(&self, allowance: u32) -> Option<u32>;
}

/// What the system remembers from tick to tick.
#[derive(Debug)]
pub(crate) struct State {
    policy: Box<dyn Policy>,
    /// Calls whose allowance has changed since peers were last told.
    changed: Vec<CallKey>,
}

impl State {
    pub(crate) fn new(options: &options::Retry) -> State {
        let policy: Box<dyn Policy> = match options.policy {
            RetryPolicy::Chain => Box::new(chain::Chain),
            RetryPolicy::Ratio => Box::new(ratio::Ratio),
            RetryPolicy::Unbounded => Box::new(unbounded::Unbounded),
        };
        State { policy, changed: Vec::new() }
    }

    /// How often a caller may send a root request again.
    pub(super) fn resends(&self, allowance: u32) -> Option<u32> {
        self.policy.resends(allowance)
    }
}

pub(super) fn run(world: &mut World, tick: &mut Tick) {
    for (key, retries) in std::mem::take(&mut tick.inbox.retries_returned) {
        let Some(call) = world.tables.calls.get_mut(key) else { continue };
        call.retry_allowance += retries.min(call.lineage.lent);
        call.lineage.lent = 0;
        world.systems.retry.changed.push(key);
    }
    for (key, end) in std::mem::take(&mut tick.inbox.runs_ended) {
        if let RunEnd::Answered { status, .. } = end {
            settle(world, key, status);
        }
        let cause = world.tables.calls.get(key).and_then(|call| run_cause(world, call, &end));
        // What may have crashed a target is not repeated.
        let cause = cause.filter(|_| !screening::is_suspect(world, tick.now, key));
        if !cause.is_some_and(|cause| again(world, tick.now, key, cause)) {
            tick.inbox.runs_ended.push((key, end));
        }
    }
    for (key, end, pressure) in std::mem::take(&mut tick.inbox.forwards_ended) {
        if let ForwardEnd::Answered { status } = end {
            settle(world, key, status);
        }
        let cause = world.tables.calls.get(key).and_then(|call| forward_cause(world, call, &end));
        if !cause.is_some_and(|cause| again(world, tick.now, key, cause)) {
            tick.inbox.forwards_ended.push((key, end, pressure));
        }
    }
}

/// Why a call may be tried elsewhere, and what that costs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Cause {
    retry: Retry,
    price: Price,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Price {
    /// No target and no queue has seen the call.
    Free,
    /// One repeat.
    One,
    /// All that the call has left: whatever broke the run may break the next one.
    All,
}

fn run_cause(world: &World, call: &Call, end: &RunEnd) -> Option<Cause> {
    // The record of the run decides on a non-repeatable call.
    if call.record.is_some() {
        return None;
    }
    match end {
        RunEnd::NotSent => Some(Cause { retry: Retry::NotSent, price: Price::Free }),
        RunEnd::Declined => Some(Cause { retry: Retry::Declined, price: Price::One }),
        RunEnd::Broken if is_repeatable(world, call) => {
            Some(Cause { retry: Retry::Broken, price: Price::All })
        }
        _ => None,
    }
}

/// A peer that refused because its target failed has itself tried what could be tried.
fn forward_cause(world: &World, call: &Call, end: &ForwardEnd) -> Option<Cause> {
    // Only its home may run a non-repeatable call: see the placement system.
    if !is_repeatable(world, call) {
        return None;
    }
    match end {
        ForwardEnd::NotSent => Some(Cause { retry: Retry::NotSent, price: Price::Free }),
        ForwardEnd::Broken if is_repeatable(world, call) => {
            Some(Cause { retry: Retry::Broken, price: Price::All })
        }
        ForwardEnd::Refused(refusal) if refusal.outcome == Outcome::NotRun => {
            match refusal.reason {
                Reason::Leaving | Reason::Starting | Reason::CutOff | Reason::NoTarget => {
                    Some(Cause { retry: Retry::Refused, price: Price::Free })
                }
                Reason::QueueFull => Some(Cause { retry: Retry::Refused, price: Price::One }),
                _ => None,
            }
        }
        _ => None,
    }
}

fn is_repeatable(world: &World, call: &Call) -> bool {
    world.tables.routes.get(call.route).is_some_and(|route| route.repeatable)
}

/// Sends a call back to routing. Returns false if it may not be tried again.
fn again(world: &mut World, now: Millis, key: CallKey, cause: Cause) -> bool {
    let tables = &mut world.tables;
    let Some(call) = tables.calls.get_mut(key) else { return false };
    if call.abandoned || call.deadline <= now {
        return false;
    }
    let paid = match cause.price {
        Price::Free => call.tried.len() < MOST_REROUTES,
        Price::One | Price::All => {
            let Some(row) = tables.demand.row(call.route) else { return false };
            let allowance = &mut call.retry_allowance;
            let budget = Budget { allowance, tokens: &mut row.retry_tokens };
            world.systems.retry.policy.repeat(budget)
        }
    };
    if !paid {
        return false;
    }
    world.systems.retry.changed.push(key);
    if cause.price == Price::All {
        call.retry_allowance = 0;
    }
    call.lineage.may_have_run |= cause.retry == Retry::Broken;
    let stage = call.stage;
    match (stage, call.peer.take()) {
        (Stage::Forwarded, Some(peer)) => call.tried.push(peer),
        _ => call.lineage.own_tried = true,
    }
    let peer = call.tried.last().copied().filter(|_| stage == Stage::Forwarded);
    finish::release(tables, stage, peer);
    tables.counters.retry(cause.retry);
    tables.calls.advance(key, Stage::Routing, now);
    true
}

/// Takes the status of a target's answer in.
fn settle(world: &mut World, key: CallKey, status: u16) {
    let Some(call) = world.tables.calls.get_mut(key) else { return };
    call.lineage.failed = status >= SERVER_ERROR;
    if call.lineage.failed {
        return;
    }
    let options = &world.options.retry;
    let Some(row) = world.tables.demand.row(call.route) else { return };
    let earned = f64::from(options.ratio_percent) / 100.0;
    row.retry_tokens = (row.retry_tokens + earned).min(f64::from(options.ratio_burst));
}

/// Takes from a call what it lends to the node that it is passed to.
pub(super) fn lend(world: &mut World, key: CallKey) -> u32 {
    let Some(call) = world.tables.calls.get_mut(key) else { return 0 };
    let kept = call.retry_allowance / 2;
    let lent = call.retry_allowance - kept;
    call.retry_allowance = kept;
    world.systems.retry.changed.push(key);
    lent
}

/// A call has got retries back.
pub(super) fn returned(world: &mut World, key: CallKey) {
    world.systems.retry.changed.push(key);
}

/// Tells the traffic side what calls of peers have left at present, for the heads of answers that
/// may go out before the calls are over.
pub(super) fn report(world: &mut World, tick: &mut Tick) {
    let mut changed = std::mem::take(&mut world.systems.retry.changed);
    changed.sort_unstable();
    changed.dedup();
    for key in changed {
        let Some(call) = world.tables.calls.get(key) else { continue };
        if call.from.is_some() {
            tick.commands.push(Command::ReturnRetries { call: key, retries: call.retry_allowance });
        }
    }
}

/// What identifies a nested call among those of its parent.
fn identity(request: &Request) -> u64 {
    let fingerprint = request.fingerprint.0.to_string();
    crate::home::hash_of(&[&request.method, &request.path, &fingerprint])
}

/// Lends a part of its parent's allowance to a nested call. A repeat is paid for first.
pub(super) fn adopt(world: &mut World, parent: CallKey, request: &Request) -> Result<u32, Reason> {
    let identity = identity(request);
    let tables = &mut world.tables;
    let route = tables.routes.resolve(&request.method, &request.path);
    let row = route.and_then(|route| tables.demand.row(route)).ok_or(Reason::RouteUnknown)?;
    let call = tables.calls.get_mut(parent).ok_or(Reason::CallTokenInvalid)?;
    if call.lineage.nested.contains(&identity) {
        let allowance = &mut call.retry_allowance;
        let budget = Budget { allowance, tokens: &mut row.retry_tokens };
        if !world.systems.retry.policy.nested(budget) {
            return Err(Reason::RetryAllowance);
        }
        tables.counters.retry(Retry::Nested);
    } else {
        call.lineage.nested.push(identity);
    }
    Ok(lend(world, parent))
}
