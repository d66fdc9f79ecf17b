//! Ends a call: counts the verdict, frees the slot of the call and responds to the caller.

use crate::{
    command::Command,
    id::{CallKey, PeerKey},
    log::{Entry, Level},
    refusal::{Outcome, Refusal},
    request::Verdict,
    system::{pacing, resend},
    table::{
        Tables,
        call::{Call, Stage},
        counter::Work,
        latency::{End, Source},
    },
    world::{Tick, World},
};

/// Ends a call and sends the verdict to the traffic side, which responds to the caller.
pub(super) fn run(world: &mut World, tick: &mut Tick, key: CallKey, verdict: Verdict) {
    let Some(call) = close(world, key) else { return };
    let verdict = correct_outcome(&call, verdict);
    match &verdict {
        Verdict::Pass => world.tables.counters.count_work(Work::Answered),
        Verdict::Refuse(refusal) => {
            world.tables.counters.count_refusal(refusal.reason);
            tick.log(refused_entry(world, tick, &call, *refusal));
        }
    }
    record_end(world, tick, key, &call, verdict);
    let (ticket, retries) = (call.ticket, call.retry_allowance);
    tick.commands.push(Command::Finish { ticket, verdict, retries });
}

/// Ends a call whose complete response has already been sent to the caller.
pub(super) fn complete(world: &mut World, tick: &mut Tick, key: CallKey) {
    let Some(call) = close(world, key) else { return };
    world.tables.counters.count_work(Work::Answered);
    record_end(world, tick, key, &call, Verdict::Pass);
}

fn close(world: &mut World, key: CallKey) -> Option<Call> {
    let call = world.tables.calls.remove(key)?;
    release(&mut world.tables, call.stage, call.peer);
    Some(call)
}

fn record_end(world: &mut World, tick: &mut Tick, key: CallKey, call: &Call, verdict: Verdict) {
    let duration = tick.now - call.arrived;
    world.tables.latencies.record_request(source_of(call), end_of(call, verdict), duration);
    if let Some(parent) = call.parent.and_then(|parent| world.tables.calls.get_mut(parent)) {
        parent.retry_allowance += call.retry_allowance;
        parent.lineage.children.retain(|child| *child != key);
    }
    resend::record_outcome(world, tick.now, call, &verdict);
    cancel_children(world, tick, call);
}

fn source_of(call: &Call) -> Source {
    match call.from {
        Some(_) => Source::Peer,
        None if call.nesting.is_nested() => Source::Target,
        None => Source::Caller,
    }
}

fn end_of(call: &Call, verdict: Verdict) -> End {
    match verdict {
        Verdict::Pass if call.lineage.failed => End::Failed,
        Verdict::Pass => End::Served,
        Verdict::Refuse(refusal) if refusal.outcome == Outcome::NotRun => End::Refused,
        Verdict::Refuse(_) => End::Failed,
    }
}

/// Changes the outcome of a refusal from not-run to unknown if a target may have run the call.
fn correct_outcome(call: &Call, verdict: Verdict) -> Verdict {
    let Verdict::Refuse(refusal) = verdict else { return verdict };
    if refusal.outcome != Outcome::NotRun || !call.lineage.may_have_run {
        return verdict;
    }
    Verdict::Refuse(Refusal { outcome: Outcome::Unknown, ..refusal })
}

fn refused_entry(world: &World, tick: &Tick, call: &Call, refusal: Refusal) -> Entry {
    let tables = &world.tables;
    let target = &tables.target;
    let service = tables.services.get(call.service);
    let peer = call.peer.and_then(|peer| tables.peers.get(peer));
    let entry = Entry::new(Level::Warn, "refused")
        .on(&call.id)
        .with("reason", refusal.reason.to_string())
        .with("outcome", refusal.outcome.to_string())
        .with("stage", call.stage.name())
        .with("service", service.map(|service| service.name.clone()).unwrap_or_default())
        .with("rank", call.rank.to_string())
        .with("held", tick.now - call.arrived)
        .with("left", call.deadline - tick.now)
        .with("running", target.running)
        .with("queued", target.queued)
        .with("limit", target.limit)
        .with("revision", tables.configuration.revision.0)
        .with("configuration_age", tables.freshness.age);
    let entry = pacing::with_rate(entry, &target.pace, tick.now);
    match peer {
        Some(peer) => entry.with("peer", peer.announcement.name.clone()),
        None => entry,
    }
}

/// Frees the slot that a call held at the local target or at a peer.
pub(super) fn release(tables: &mut Tables, stage: Stage, peer: Option<PeerKey>) {
    match stage {
        Stage::Running => tables.target.running = tables.target.running.saturating_sub(1),
        Stage::Forwarded => {
            if let Some(peer) = peer.and_then(|peer| tables.peers.get_mut(peer)) {
                peer.in_flight = peer.in_flight.saturating_sub(1);
            }
        }
        _ => {}
    }
}

/// Cancels the nested calls of a call that has ended.
fn cancel_children(world: &mut World, tick: &mut Tick, call: &Call) {
    if !world.options.shedding.cancellation {
        return;
    }
    for &child in &call.lineage.children {
        abandon(world, tick, child);
    }
}

/// Cancels a call whose caller no longer waits: a running attempt is cancelled, a waiting call is
/// refused. A non-repeatable run on the local target continues, since half of its work may be worse
/// than all of it.
pub(super) fn abandon(world: &mut World, tick: &mut Tick, key: CallKey) {
    let Some(call) = world.tables.calls.get_mut(key) else { return };
    if call.abandoned {
        return;
    }
    call.abandoned = true;
    if matches!(call.stage, Stage::Running | Stage::Forwarded) {
        let entry = Entry::new(Level::Info, "caller_gone")
            .on(&call.id)
            .with("stage", call.stage.name())
            .with("held", tick.now - call.arrived)
            .with("since_sent", tick.now - call.since)
            .with("left", call.deadline - tick.now)
            .with("runs_on", call.stage == Stage::Running && !call.repeatable);
        tick.log(entry);
    }
    match call.stage {
        Stage::Running if !call.repeatable => {}
        Stage::Running | Stage::Forwarded => cancel(world, tick, key),
        _ => {
            let refusal = Refusal::not_run(crate::refusal::Reason::CallerGone);
            run(world, tick, key, Verdict::Refuse(refusal));
        }
    }
}

/// Cancels the attempt of a call, unless that has been done. The event that ends the attempt follows
/// and determines the outcome.
pub(super) fn cancel(world: &mut World, tick: &mut Tick, key: CallKey) {
    let Some(call) = world.tables.calls.get_mut(key) else { return };
    if call.cancelling || !matches!(call.stage, Stage::Running | Stage::Forwarded) {
        return;
    }
    call.cancelling = true;
    world.tables.counters.count_work(Work::Cancelled);
    tick.commands.push(Command::Cancel(call.ticket));
}
