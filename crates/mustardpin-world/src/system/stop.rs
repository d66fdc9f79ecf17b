//! Publishes the node's readiness, and drains the node before it exits, so that every request gets a
//! response.

use crate::{
    clock::Millis,
    command::Command,
    log::{Entry, Level},
    options,
    refusal::{Reason, Refusal},
    request::{Origin, Verdict},
    system::{finish, fleet},
    table::call::Stage,
    world::{Tick, World},
};

/// From this long before requests in progress are cancelled, no request is accepted, and those that
/// wait are refused.
const REFUSE_BEFORE_CANCEL: Millis = Millis(500);
/// The process exits this long before the end of the grace time, when a supervisor may kill it.
/// Connections get at least half as long to end.
const MAX_EXIT_MARGIN: Millis = Millis(200);
/// Connections get at most this fraction of the grace time to end.
const CLOSING_DIVISOR: u64 = 6;
/// How long a caller should wait before it retries a request that a draining node refused.
const RETRY_AFTER: Millis = Millis(300);

/// State of the system between ticks.
#[derive(Debug, Default)]
pub(crate) struct State {
    started: Option<Millis>,
    leaving_since: Millis,
    /// The schedule of the drain; `None` before the node drains. A reload does not change it, since
    /// the supervisor's grace time has begun.
    schedule: Option<Schedule>,
    ready: Option<bool>,
    /// Whether the node was told to exit.
    exiting: bool,
}

/// What a draining node does from which point in time on.
#[derive(Debug, Clone, Copy)]
struct Schedule {
    /// It refuses callers' requests, and exits once no request is in progress.
    refuse_callers: Millis,
    /// It refuses all new requests and those that wait.
    refuse_all: Millis,
    /// It cancels the requests in progress, so that their callers get a response.
    cancel: Millis,
    /// It exits.
    exit: Millis,
}

impl Schedule {
    fn new(since: Millis, options: &options::Stop) -> Schedule {
        let closing = options.closing.min(Millis(options.grace.0 / CLOSING_DIVISOR));
        let end = since + options.grace;
        let cancel = end - closing;
        let refuse_all = (cancel - REFUSE_BEFORE_CANCEL).max(since);
        Schedule {
            refuse_callers: (since + options.stay).min(refuse_all),
            refuse_all,
            cancel,
            exit: end - MAX_EXIT_MARGIN.min(Millis(closing.0 * 2 / 3)),
        }
    }

    /// The first point in time after `now` at which the node does something else.
    fn next(self, now: Millis) -> Millis {
        let times = [self.refuse_callers, self.refuse_all, self.cancel, self.exit];
        times.into_iter().find(|&time| time > now).unwrap_or(Millis::MAX)
    }
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
        let schedule = Schedule::new(tick.now, &world.options.stop);
        world.systems.stop.leaving_since = tick.now;
        world.systems.stop.schedule = Some(schedule);
        let calls = world.tables.calls.len();
        tick.log(Entry::new(Level::Info, "leaving").with("calls", calls));
        tick.commands.push(Command::CloseIdle);
    }
}

/// Refuses a new request that a draining node might not finish before it exits. Callers have had
/// the time to use other nodes by the end of [`options::Stop::stay`]; calls of the target are
/// accepted for as long as it runs a request.
pub(super) fn check(world: &World, now: Millis, origin: &Origin) -> Result<(), Refusal> {
    let Some(schedule) = world.systems.stop.schedule else { return Ok(()) };
    let is_nested = matches!(origin, Origin::Target { .. }) && world.tables.target.running > 0;
    let refuses_from = if is_nested { schedule.refuse_all } else { schedule.refuse_callers };
    match now < refuses_from {
        true => Ok(()),
        false => Err(leaving()),
    }
}

/// Refuses a new request without a call token that a draining node might have to cancel. It may
/// be a caller's, since not every dialect can tell the target's calls from those.
pub(super) fn check_unlinked(
    world: &World,
    now: Millis,
    origin: &Origin,
    deadline: Millis,
) -> Result<(), Refusal> {
    let Some(schedule) = world.systems.stop.schedule else { return Ok(()) };
    let is_unlinked = matches!(origin, Origin::Target { token: None });
    match is_unlinked && now >= schedule.refuse_callers && deadline > schedule.cancel {
        true => Err(leaving()),
        false => Ok(()),
    }
}

fn leaving() -> Refusal {
    Refusal::not_run(Reason::Leaving).after(RETRY_AFTER)
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
/// calls. Calls that its grace time does not suffice for are refused or cancelled before it ends.
pub(super) fn drain(world: &mut World, tick: &mut Tick) {
    update_readiness(world, tick);
    let Some(schedule) = world.systems.stop.schedule else { return };
    if world.systems.stop.exiting {
        return;
    }
    if tick.now >= schedule.refuse_all {
        refuse_waiting(world, tick);
    }
    if tick.now >= schedule.cancel {
        cancel_all(world, tick);
    }
    let is_drained = tick.now >= schedule.refuse_callers && world.tables.calls.is_empty();
    if is_drained || tick.now >= schedule.exit {
        world.systems.stop.exiting = true;
        log_exit(world, tick);
        return tick.commands.push(Command::Exit { by: schedule.exit });
    }
    tick.wake(schedule.next(tick.now));
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
        finish::run(world, tick, key, Verdict::Refuse(leaving()));
    }
}

/// Cancels the attempts of all calls.
fn cancel_all(world: &mut World, tick: &mut Tick) {
    let calls: Vec<_> = world.tables.calls.iter().map(|(key, _)| key).collect();
    for key in calls {
        finish::cancel(world, tick, key);
    }
}
