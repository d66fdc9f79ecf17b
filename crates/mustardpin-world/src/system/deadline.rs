//! Ends calls whose deadline has passed.

use crate::{
    refusal::{Reason, Refusal},
    request::Verdict,
    system::finish,
    table::call::Stage,
    world::{Tick, World},
};

/// How long a caller should wait before it retries a request that did not start to run before its
/// deadline.
const RETRY_AFTER: crate::Millis = crate::Millis(500);

pub(super) fn run(world: &mut World, tick: &mut Tick) {
    for key in world.tables.calls.take_due(tick.now) {
        let Some(call) = world.tables.calls.get(key) else { continue };
        match call.stage {
            Stage::Running | Stage::Forwarded => finish::cancel(world, tick, key),
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
