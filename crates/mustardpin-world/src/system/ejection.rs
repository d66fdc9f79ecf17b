//! Keeps away from targets that fail, and finds out when they have recovered.

use crate::{
    refusal::Reason,
    request::{ForwardEnd, RunEnd},
    world::{Tick, World},
};

pub(super) fn run(world: &mut World, tick: &mut Tick) {
    let tables = &mut world.tables;
    for (_, end) in &tick.inbox.runs_ended {
        match end {
            RunEnd::Answered { .. } | RunEnd::Declined => tables.target.health.succeed(),
            RunEnd::NotSent | RunEnd::Broken => tables.target.health.fail(tick.now),
            RunEnd::Cancelled => {}
        }
    }
    for (call, end, _) in &tick.inbox.forwards_ended {
        let Some(peer) = tables.calls.get(*call).and_then(|call| call.peer) else { continue };
        let Some(peer) = tables.peers.get_mut(peer) else { continue };
        match end {
            ForwardEnd::NotSent | ForwardEnd::Broken => peer.health.fail(tick.now),
            ForwardEnd::Refused(refusal) => match refusal.reason {
                Reason::TargetFailed
                | Reason::NoTarget
                | Reason::Leaving
                | Reason::Starting
                | Reason::CutOff => {
                    peer.health.fail(tick.now);
                }
                _ => peer.health.succeed(),
            },
            ForwardEnd::Answered { .. } => peer.health.succeed(),
            ForwardEnd::Cancelled => {}
        }
    }
    if tick.inbox.target_lost {
        tables.target.health.succeed();
    }
}
