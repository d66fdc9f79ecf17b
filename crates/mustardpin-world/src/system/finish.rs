//! Ends a call: counts the verdict, frees what the call held and answers the caller.

use crate::{
    command::Command,
    id::CallKey,
    request::Verdict,
    system::recording,
    table::{call::Stage, counter::Work},
    world::{Tick, World},
};

pub(super) fn run(world: &mut World, tick: &mut Tick, key: CallKey, verdict: Verdict) {
    let tables = &mut world.tables;
    let Some(call) = tables.calls.remove(key) else { return };
    match call.stage {
        Stage::Running => tables.target.running = tables.target.running.saturating_sub(1),
        Stage::Forwarded => {
            if let Some(peer) = call.peer.and_then(|peer| tables.peers.get_mut(peer)) {
                peer.in_flight = peer.in_flight.saturating_sub(1);
            }
        }
        _ => {}
    }
    match &verdict {
        Verdict::Pass => tables.counters.work(Work::Answered),
        Verdict::Replay(_) => tables.counters.work(Work::Replayed),
        Verdict::Refuse(refusal) => tables.counters.refuse(refusal.reason),
    }
    recording::release(world, tick, key, &call);
    tick.commands.push(Command::Finish(key, verdict));
}
