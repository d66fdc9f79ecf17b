//! Ends calls whose run or forwarded request has ended, or tries them elsewhere.

use crate::{
    id::CallKey,
    refusal::{Outcome, Reason, Refusal},
    request::{ForwardEnd, RunEnd, Verdict},
    system::{finish, placement, recording},
    world::{Tick, World},
};

pub(super) fn run(world: &mut World, tick: &mut Tick) {
    for call in std::mem::take(&mut tick.inbox.callers_gone) {
        if world.options.pressure.cancellation {
            finish::abandon(world, tick, call);
        }
    }
    for (call, end) in std::mem::take(&mut tick.inbox.runs_ended) {
        run_ended(world, tick, call, end);
    }
    for (call, end, pressure) in std::mem::take(&mut tick.inbox.forwards_ended) {
        if let Some(peer) = world.tables.calls.get(call).and_then(|call| call.peer)
            && let Some(peer) = world.tables.peers.get_mut(peer)
        {
            peer.pressure = pressure.or(peer.pressure);
            peer.pressure_as_of = tick.now;
        }
        forward_ended(world, tick, call, end);
    }
}

fn run_ended(world: &mut World, tick: &mut Tick, key: CallKey, end: RunEnd) {
    recording::run_ended(world, tick, key, &end);
    let verdict = match end {
        RunEnd::Answered { .. } => Verdict::Pass,
        RunEnd::Declined | RunEnd::NotSent => {
            Verdict::Refuse(Refusal::not_run(Reason::TargetFailed))
        }
        RunEnd::Broken => Verdict::Refuse(Refusal::unknown(Reason::TargetFailed)),
        RunEnd::Cancelled => Verdict::Refuse(cancelled(world, key)),
    };
    finish::run(world, tick, key, verdict);
}

fn forward_ended(world: &mut World, tick: &mut Tick, key: CallKey, end: ForwardEnd) {
    if placement::run_again(world, tick, key, &end) {
        return;
    }
    let verdict = match end {
        ForwardEnd::Answered { .. } => Verdict::Pass,
        ForwardEnd::Refused(refusal) => Verdict::Refuse(refusal),
        ForwardEnd::NotSent => Verdict::Refuse(Refusal::not_run(Reason::PeerFailed)),
        ForwardEnd::Broken => Verdict::Refuse(Refusal::unknown(Reason::PeerFailed)),
        ForwardEnd::Cancelled => Verdict::Refuse(cancelled(world, key)),
    };
    finish::run(world, tick, key, verdict);
}

fn cancelled(world: &World, key: CallKey) -> Refusal {
    let abandoned = world.tables.calls.get(key).is_some_and(|call| call.abandoned);
    let reason = if abandoned { Reason::CallerGone } else { Reason::DeadlineDuringRun };
    Refusal { reason, outcome: Outcome::Unknown, retry_after: None }
}
