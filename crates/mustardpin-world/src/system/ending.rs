//! Ends calls whose run or forwarded request has ended.

use crate::{
    clock::Millis,
    id::CallKey,
    log::{Entry, Level},
    refusal::{Outcome, Reason, Refusal},
    request::{ForwardEnd, RunEnd, Ticket, Verdict, is_final_status},
    system::finish,
    table::counter::Work,
    world::{Tick, World},
};

/// How long a caller should wait before it retries a request that neither a target nor a peer has
/// run.
const RETRY_AFTER_DECLINED: Millis = Millis(300);

pub(super) fn run(world: &mut World, tick: &mut Tick) {
    abandon_known(world, tick);
    for _ in 0..tick.inbox.unusable_responses {
        world.tables.counters.count_work(Work::Unusable);
    }
    for (ticket, end) in std::mem::take(&mut tick.inbox.runs_ended) {
        run_ended(world, tick, ticket, end);
    }
    for (ticket, end, _) in std::mem::take(&mut tick.inbox.forwards_ended) {
        forward_ended(world, tick, ticket, end);
    }
}

/// Abandons the calls whose callers have disconnected. Keeps the tickets that are not known: their
/// requests may have arrived in this tick.
pub(super) fn abandon_known(world: &mut World, tick: &mut Tick) {
    let mut unknown = Vec::new();
    for ticket in std::mem::take(&mut tick.inbox.callers_gone) {
        match world.tables.calls.by_ticket(ticket) {
            Some(call) if world.options.shedding.cancellation => {
                finish::abandon(world, tick, call);
            }
            Some(_) => {}
            None => unknown.push(ticket),
        }
    }
    tick.inbox.callers_gone = unknown;
}

fn run_ended(world: &mut World, tick: &mut Tick, ticket: Ticket, end: RunEnd) {
    let Some(key) = world.tables.calls.by_ticket(ticket) else { return };
    let refusal = match end {
        RunEnd::Answered { status, .. } => return handle_response(world, tick, key, status),
        RunEnd::Declined | RunEnd::Misdirected | RunEnd::NotSent => {
            Refusal::not_run(Reason::TargetFailed).after(RETRY_AFTER_DECLINED)
        }
        RunEnd::Broken => Refusal::unknown(Reason::TargetFailed),
        RunEnd::Cancelled => cancellation(world, tick.now, key),
    };
    finish::run(world, tick, key, Verdict::Refuse(refusal));
}

fn forward_ended(world: &mut World, tick: &mut Tick, ticket: Ticket, end: ForwardEnd) {
    let Some(key) = world.tables.calls.by_ticket(ticket) else { return };
    let refusal = match end {
        ForwardEnd::Answered { status } => return handle_response(world, tick, key, status),
        ForwardEnd::Refused(refusal) => refusal,
        ForwardEnd::NotSent => Refusal::not_run(Reason::PeerFailed).after(RETRY_AFTER_DECLINED),
        ForwardEnd::Broken => Refusal::unknown(Reason::PeerFailed),
        ForwardEnd::Cancelled => cancellation(world, tick.now, key),
    };
    finish::run(world, tick, key, Verdict::Refuse(refusal));
}

fn handle_response(world: &mut World, tick: &mut Tick, key: CallKey, status: u16) {
    let Some(call) = world.tables.calls.get(key) else { return };
    let is_late = tick.now > call.objective && call.from.is_none();
    if call.is_logged || is_late || !is_final_status(status) {
        let level = if is_final_status(status) { Level::Info } else { Level::Warn };
        let peer = call.peer.and_then(|peer| world.tables.peers.get(peer));
        let entry = Entry::new(level, "answered")
            .on(&call.id)
            .with("status", u32::from(status))
            .with("took", tick.now - call.arrived)
            .with("since_sent", tick.now - call.since)
            .with("late", is_late);
        tick.log(match peer {
            Some(peer) => entry.with("peer", peer.announcement.name.clone()),
            None => entry,
        });
    }
    if is_final_status(status) {
        finish::complete(world, tick, key);
    } else {
        finish::run(world, tick, key, Verdict::Pass);
    }
}

fn cancellation(world: &World, now: Millis, key: CallKey) -> Refusal {
    let call = world.tables.calls.get(key);
    let reason = match call {
        Some(call) if call.abandoned => Reason::CallerGone,
        Some(call) if now < call.deadline => Reason::Leaving,
        _ => Reason::DeadlineDuringRun,
    };
    Refusal { reason, outcome: Outcome::Unknown, retry_after: None }
}
