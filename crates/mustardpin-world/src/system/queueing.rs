//! Holds calls until the own target has room, and sends them there.

use std::collections::VecDeque;

use crate::{
    clock::Millis,
    command::Command,
    id::CallKey,
    refusal::{Reason, Refusal},
    request::{Run, Verdict},
    system::{finish, permission, recording},
    table::{call::Stage, counter::Work},
    world::{Tick, World},
};

/// A run that has not reached the target within this time of the decision must not start.
const START_WITHIN: Millis = Millis(500);

/// What the system remembers from tick to tick.
#[derive(Debug, Default)]
pub(crate) struct State {
    queue: VecDeque<CallKey>,
}

pub(super) fn run(world: &mut World, tick: &mut Tick) {
    for call in world.tables.calls.take(Stage::Queued) {
        if world.systems.queueing.queue.len() >= world.options.queueing.capacity {
            let refusal = Refusal::not_run(Reason::QueueFull);
            finish::run(world, tick, call, Verdict::Refuse(refusal));
            continue;
        }
        world.systems.queueing.queue.push_back(call);
    }
    while world.tables.target.running < world.options.queueing.initial_limit {
        let Some(call) = world.systems.queueing.queue.pop_front() else { break };
        dispatch(world, tick, call);
    }
    world.tables.target.queued = world.systems.queueing.queue.len() as u32;
}

/// Sends a call to the own target, unless its time is up or it may no longer run.
fn dispatch(world: &mut World, tick: &mut Tick, key: CallKey) {
    let tables = &mut world.tables;
    let Some(call) = tables.calls.get(key).filter(|call| call.stage == Stage::Queued) else {
        return;
    };
    if call.deadline <= tick.now {
        let refusal = Refusal::not_run(Reason::DeadlineBeforeRun);
        return finish::run(world, tick, key, Verdict::Refuse(refusal));
    }
    if let Err(reason) = permission::check(tables, call.route, call.tenant) {
        return finish::run(world, tick, key, Verdict::Refuse(Refusal::not_run(reason)));
    }
    match recording::start(world, tick, key) {
        Ok(()) => {}
        Err(recording::Hold::Record) => {
            return world.tables.calls.advance(key, Stage::Recording, tick.now);
        }
        Err(recording::Hold::Refuse(refusal)) => {
            return finish::run(world, tick, key, Verdict::Refuse(refusal));
        }
    }
    let tables = &mut world.tables;
    let Some(call) = tables.calls.get(key) else { return };
    let record = tables.routes.get(call.route).is_some_and(|route| !route.repeatable);
    tick.commands.push(Command::Run(Run {
        call: key,
        token: call.token,
        start_by: tick.now + START_WITHIN,
        deadline: call.deadline,
        record,
    }));
    tables.target.running += 1;
    tables.counters.work(Work::Run);
    tables.calls.advance(key, Stage::Running, tick.now);
}
