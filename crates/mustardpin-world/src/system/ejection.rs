//! Outlier ejection: sends no requests to targets that fail, and detects when they have recovered.

use crate::{
    refusal::Reason,
    request::{ForwardEnd, RunEnd},
    system::TargetChange,
    world::{Tick, World},
};

pub(super) fn run(world: &mut World, tick: &mut Tick) {
    let tables = &mut world.tables;
    for (_, end) in &tick.inbox.runs_ended {
        match end {
            RunEnd::Answered { .. } | RunEnd::Declined => tables.target.health.record_success(),
            RunEnd::NotSent | RunEnd::Misdirected => {
                tables.target.health.record_unreachable(tick.now)
            }
            RunEnd::Broken => tables.target.health.record_broken(tick.now),
            RunEnd::Cancelled => {}
        }
    }
    for (ticket, end, _) in &tick.inbox.forwards_ended {
        let call = tables.calls.by_ticket(*ticket).and_then(|call| tables.calls.get(call));
        let Some(peer) = call.and_then(|call| call.peer) else { continue };
        let Some(peer) = tables.peers.get_mut(peer) else { continue };
        match end {
            ForwardEnd::NotSent => peer.health.record_unreachable(tick.now),
            ForwardEnd::Broken => peer.health.record_broken(tick.now),
            ForwardEnd::Refused(refusal) => match refusal.reason {
                Reason::NoTarget | Reason::Leaving => peer.health.record_unreachable(tick.now),
                Reason::TargetFailed => peer.health.record_broken(tick.now),
                _ => peer.health.record_success(),
            },
            ForwardEnd::Answered { .. } => peer.health.record_success(),
            ForwardEnd::Cancelled => {}
        }
    }
    if tick.inbox.target.iter().any(|change| matches!(change, TargetChange::Lost)) {
        tables.target.health.record_success();
    }
}
