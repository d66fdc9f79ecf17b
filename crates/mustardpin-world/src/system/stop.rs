//! Publishes the node's readiness, and drains the node before it exits, so that no request is
//! aborted.

use crate::{
    clock::Millis,
    command::Command,
    log::{Entry, Level},
    refusal::{Reason, Refusal},
    request::{Origin, Verdict},
    system::{finish, fleet},
    table::call::Stage,
    world::{Tick, World},
};

/// Requests that still wait this long before the end of the grace time are refused, so that their
/// callers get a response.
const REFUSE_BEFORE_END: Millis = Millis(500);

/// How long a caller should wait before it retries a request that a draining node refused.
const RETRY_AFTER: Millis = Millis(300);

/// State of the system between ticks.
#[derive(Debug, Default)]
pub(crate) struct State {
    started: Option<Millis>,
    leaving_since: Millis,
    ready: Option<bool>,
}

pub(super) fn run(world: &mut World, tick: &mut Tick) {
    if world.systems.stop.started.is_none() {
        world.systems.stop.started = Some(tick.now);
        let announcement = &world.identity.announcement;
        let entry = Entry::new(Level::Info, "started")
            .with("node", announcement.node)
            .with("name", announcement.name.clone())
            .with("data_centre", announcement.data_centre.clone())
            .with("service", announcement.service.clone())
            .with("address", announcement.address.clone());
        tick.log(entry);
    }
    if tick.inbox.stop && !world.tables.leaving {
        world.tables.leaving = true;
        world.systems.stop.leaving_since = tick.now;
        let calls = world.tables.calls.len();
        tick.log(Entry::new(Level::Info, "leaving").with("calls", calls));
        tick.commands.push(Command::CloseIdle);
    }
}

/// Refuses a new request that a draining node might not finish before it exits. Callers have had
/// the time to use other nodes by the end of [`crate::options::Stop::stay`]; calls of the target
/// are accepted for as long as it runs a request.
pub(super) fn check(world: &World, now: Millis, origin: &Origin) -> Result<(), Refusal> {
    let tables = &world.tables;
    if !tables.leaving {
        return Ok(());
    }
    let options = &world.options.stop;
    let since = world.systems.stop.leaving_since;
    let is_nested = matches!(origin, Origin::Target { .. }) && tables.target.running > 0;
    let refuses_from = match is_nested {
        true => since + options.grace - REFUSE_BEFORE_END,
        false => since + options.stay,
    };
    match now < refuses_from {
        true => Ok(()),
        false => Err(Refusal::not_run(Reason::Leaving).after(RETRY_AFTER)),
    }
}

/// Publishes whether the node is ready, if that has changed.
pub(super) fn update_readiness(world: &mut World, tick: &mut Tick) {
    let started = world.systems.stop.started.unwrap_or(tick.now);
    let tables = &world.tables;
    let has_tried_peers =
        tick.now - started >= world.options.fleet.meet_within || fleet::all_peers_tried(world);
    let has_configuration = tables.configuration.revision.0 > 0;
    let ready = has_configuration && has_tried_peers && tables.freshness.fresh && !tables.leaving;
    if !has_tried_peers {
        tick.wake(started + world.options.fleet.meet_within);
    }
    if world.systems.stop.ready == Some(ready) {
        return;
    }
    world.systems.stop.ready = Some(ready);
    let entry = Entry::new(Level::Info, "ready")
        .with("ready", ready)
        .with("leaving", tables.leaving)
        .with("revision", tables.configuration.revision.0)
        .with("configuration_age", tables.freshness.age)
        .with("has_met_peers", has_tried_peers);
    tick.log(entry);
    tick.commands.push(Command::Ready(ready));
}

/// Exits once a draining node has waited for peers and callers to notice and has finished all
/// calls, or once its grace time ends.
pub(super) fn drain(world: &mut World, tick: &mut Tick) {
    update_readiness(world, tick);
    if !world.tables.leaving {
        return;
    }
    let options = &world.options.stop;
    let since = world.systems.stop.leaving_since;
    let (earliest, end) = (since + options.stay, since + options.grace);
    if tick.now < earliest {
        return tick.wake(earliest);
    }
    let refuse_from = end - REFUSE_BEFORE_END;
    if tick.now >= refuse_from {
        refuse_waiting(world, tick);
    }
    if world.tables.calls.is_empty() || tick.now >= end {
        log_exit(world, tick);
        return tick.commands.push(Command::Exit);
    }
    tick.wake(if tick.now < refuse_from { refuse_from } else { end });
}

/// Logs that the node exits, and each call that it aborts.
fn log_exit(world: &World, tick: &mut Tick) {
    let since_leaving = tick.now - world.systems.stop.leaving_since;
    for (_, call) in world.tables.calls.iter() {
        let entry = Entry::new(Level::Warn, "aborted")
            .on(&call.id)
            .with("stage", call.stage.name())
            .with("held", tick.now - call.arrived)
            .with("left", call.deadline - tick.now)
            .with("since_leaving", since_leaving);
        tick.log(entry);
    }
    let entry = Entry::new(Level::Info, "stopped")
        .with("calls", world.tables.calls.len())
        .with("since_leaving", since_leaving);
    tick.log(entry);
}

/// Refuses calls that have been sent neither to the target nor to a peer.
fn refuse_waiting(world: &mut World, tick: &mut Tick) {
    let is_waiting = |stage| !matches!(stage, Stage::Running | Stage::Forwarded);
    let calls = world.tables.calls.iter();
    let waiting: Vec<_> =
        calls.filter(|(_, call)| is_waiting(call.stage)).map(|(key, _)| key).collect();
    for key in waiting {
        let refusal = Refusal::not_run(Reason::Leaving).after(RETRY_AFTER);
        finish::run(world, tick, key, Verdict::Refuse(refusal));
    }
}
