//! Ends calls whose time is up.

use crate::{
    command::Command,
    refusal::{Reason, Refusal},
    request::Verdict,
    system::finish,
    table::{call::Stage, counter::Work},
    world::{Tick, World},
};

/// When callers should send again what found no place in time.
const RETRY_AFTER: crate::Millis = crate::Millis(500);

pub(super) fn run(world: &mut World, tick: &mut Tick) {
    for key in world.tables.calls.take_due(tick.now) {
        let Some(call) = world.tables.calls.get_mut(key) else { continue };
        match call.stage {
            // The end of the attempt follows, and says what is known of it.
            Stage::Running | Stage::Forwarded => {
                if !call.cancelling {
                    call.cancelling = true;
                    world.tables.counters.count_work(Work::Cancelled);
                    tick.commands.push(Command::Cancel(call.ticket));
                }
            }
            _ => {
                let refusal = Refusal::not_run(Reason::DeadlineBeforeRun).after(RETRY_AFTER);
                finish::run(world, tick, key, Verdict::Refuse(refusal));
            }
        }
    }
    if let Some(deadline) = world.tables.calls.next_deadline() {
        tick.wake(deadline);
    }
}
