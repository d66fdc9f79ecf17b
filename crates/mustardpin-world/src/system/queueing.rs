//! Queues calls until the local target has a free slot, and dispatches them.
//!
//! The more important calls go first. A call that a target makes in the course of another request
//! has that request's importance; if the target sends no call token, that request is unknown and
//! the call goes before all others, since refusing it wastes work of unknown importance. A call
//! that would have to wait too long is refused at once, while its entry node can still try another
//! target.

mod codel;
mod fair;
mod fifo;

use std::fmt::Debug;

use crate::{
    clock::Millis,
    command::Command,
    config::Rank,
    id::{CallKey, TeamKey},
    log::{Entry, Level},
    options::{self, Queueing},
    refusal::{Reason, Refusal},
    request::{Nesting, Run, Verdict},
    system::{clearance, finish, pacing, routing, shedding},
    table::{
        call::{Call, Stage},
        counter::Work,
        health::EjectionState,
        latency::Step,
    },
    world::{Tick, World},
};

/// A run that has not reached the target within this time after its dispatch must not start.
const START_TIMEOUT: Millis = Millis(500);
/// The time between two searches of the whole queue for calls to refuse.
const SWEEP_INTERVAL: Millis = Millis(50);
/// How long a caller should wait before it retries a refused request.
const RETRY_AFTER: Millis = Millis(500);
/// The maximum time that a call may wait for a token of the target's rate limit. After that, another
/// target is likely to run it sooner.
const MAX_TOKEN_WAIT: Millis = Millis(50);
/// The minimum capacity of the queue. A shorter queue is never too long, since estimates of the
/// wait are rough.
const MIN_CAPACITY: usize = 4;
/// The estimate of a run's minimum duration halves for each such interval without any run.
const ESTIMATE_HALF_LIFE: Millis = Millis(500);
/// A run is assumed to take at least the mean duration divided by this.
const MIN_RUN_DIVISOR: u64 = 2;

/// The priority of a call. The highest class goes first: calls made by targets for unknown
/// requests, then the more important calls, then calls made by targets.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Class {
    /// Whether a target made the call in the course of a request that is not known.
    is_unlinked: bool,
    rank: Rank,
    /// Whether a target made the call.
    is_nested: bool,
}

/// A call in the queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct QueueEntry {
    call: CallKey,
    team: Option<TeamKey>,
    /// The weight of the team in fair shares, at least 1.
    weight: u32,
    class: Class,
    /// When the call entered the queue.
    queued_at: Millis,
}

/// A call that leaves the queue, and what happens to it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Next {
    /// The call is dispatched to the target.
    Run(QueueEntry),
    /// The call is refused.
    Drop(QueueEntry),
}

/// A queueing discipline.
trait Discipline: Debug + Send {
    /// Adds a call to the queue.
    fn push(&mut self, entry: QueueEntry);

    /// Removes the call that is refused when the queue is too long.
    fn evict(&mut self) -> Option<QueueEntry>;

    /// Removes the next call.
    fn pop(&mut self, now: Millis) -> Option<Next>;

    /// Removes all calls for which `keep` returns false.
    fn retain(&mut self, keep: &mut dyn FnMut(&QueueEntry) -> bool);

    /// The number of calls in the queue.
    fn len(&self) -> usize;

    /// The number of calls that go before a call of this class that arrives now.
    fn ahead_of(&self, class: Class) -> usize;
}

/// State of the system between ticks.
#[derive(Debug)]
pub(crate) struct State {
    discipline: Box<dyn Discipline>,
    next_sweep: Millis,
    /// When a call was last dispatched to the target.
    last_run: Millis,
}

impl State {
    pub(crate) fn new(options: &Queueing) -> State {
        let discipline: Box<dyn Discipline> = match options.discipline {
            options::Discipline::Fair => Box::new(fair::Fair::default()),
            options::Discipline::Fifo => Box::new(fifo::Fifo::default()),
            options::Discipline::Codel => Box::new(codel::Codel::default()),
        };
        State { discipline, next_sweep: Millis::ZERO, last_run: Millis::ZERO }
    }
}

pub(super) fn run(world: &mut World, tick: &mut Tick) {
    for key in world.tables.calls.take(Stage::Queued) {
        let Some(call) = world.tables.calls.get(key) else { continue };
        let route = call.route;
        shedding::record_arrival(world, route);
        let Some(call) = world.tables.calls.get(key) else { continue };
        let entry = queue_entry(world, key, call);
        if would_wait_too_long(world, tick.now, call, entry) {
            refuse_excess(world, tick, key);
            continue;
        }
        world.systems.queueing.discipline.push(entry);
    }
    sweep(world, tick);
    dispatch_queued(world, tick);
    evict(world, tick);
    world.tables.target.queued = world.systems.queueing.discipline.len() as u32;
    wake_for_token(world, tick);
}

/// Schedules a tick for when the first call in the queue gets its token.
fn wake_for_token(world: &World, tick: &mut Tick) {
    let target = &world.tables.target;
    if target.queued == 0 || target.running >= target.limit {
        return;
    }
    if let Some(pace) = target.pace.filter(|pace| !pace.has_token(tick.now)) {
        tick.wake(tick.now + pace.wait(tick.now, 0).max(Millis(1)));
    }
}

/// Empties the queue. Returns the calls that were in it.
pub(super) fn take_all(world: &mut World) -> Vec<CallKey> {
    let mut taken = Vec::new();
    world.systems.queueing.discipline.retain(&mut |entry| {
        taken.push(entry.call);
        false
    });
    world.tables.target.queued = 0;
    taken
}

fn queue_entry(world: &World, key: CallKey, call: &Call) -> QueueEntry {
    let weight =
        call.team.and_then(|team| world.tables.teams.get(team)).map_or(1, |row| row.weight);
    QueueEntry {
        call: key,
        team: call.team,
        weight: weight.max(1),
        class: Class {
            is_unlinked: call.nesting == Nesting::Unlinked,
            rank: call.rank,
            is_nested: call.nesting.is_nested(),
        },
        queued_at: call.since,
    }
}

/// Whether a call would have to wait too long behind those that go before it.
fn would_wait_too_long(world: &World, now: Millis, call: &Call, entry: QueueEntry) -> bool {
    if has_free_slot(world, now) {
        return false;
    }
    let target = &world.tables.target;
    let options = &world.options.queueing;
    let ahead = world.systems.queueing.discipline.ahead_of(entry.class);
    if target.pace.is_some_and(|pace| pace.wait(now, ahead) > MAX_TOKEN_WAIT) {
        return true;
    }
    if ahead < MIN_CAPACITY && target.is_open() {
        return false;
    }
    let limit = u64::from(target.throughput_limit.max(1));
    let wait = Millis((ahead as u64).saturating_mul(target.latency.0) / limit);
    wait > max_wait(options, call) || now + wait + min_run_time(world, now) > call.deadline
}

/// Refuses calls that are too late for their deadline or, if the options say so, have waited too
/// long. Removes calls that have ended, for example because their caller has disconnected.
fn sweep(world: &mut World, tick: &mut Tick) {
    if world.systems.queueing.discipline.len() == 0 {
        return;
    }
    if tick.now >= world.systems.queueing.next_sweep {
        world.systems.queueing.next_sweep = tick.now + SWEEP_INTERVAL;
        let run_time = min_run_time(world, tick.now);
        let (calls, options) = (&world.tables.calls, &world.options.queueing);
        let mut late = Vec::new();
        world.systems.queueing.discipline.retain(&mut |entry| {
            let Some(call) = calls.get(entry.call) else { return false };
            let is_late = call.deadline <= tick.now + run_time
                || (options.is_wait_strict && tick.now - entry.queued_at > max_wait(options, call));
            if is_late {
                late.push(entry.call);
            }
            !is_late
        });
        for call in late {
            refuse(world, tick, call, Reason::DeadlineBeforeRun);
        }
    }
    tick.wake(world.systems.queueing.next_sweep);
}

/// The maximum time that a call may wait in the queue.
fn max_wait(options: &Queueing, call: &Call) -> Millis {
    if call.nesting.is_nested() { options.nested_wait } else { options.wait }
}

/// Dispatches calls to the target for as long as it has free slots.
fn dispatch_queued(world: &mut World, tick: &mut Tick) {
    while has_free_slot(world, tick.now) {
        match world.systems.queueing.discipline.pop(tick.now) {
            Some(Next::Run(entry)) => dispatch(world, tick, entry),
            Some(Next::Drop(entry)) => refuse(world, tick, entry.call, Reason::QueueFull),
            None => return,
        }
    }
}

fn has_free_slot(world: &World, now: Millis) -> bool {
    let target = &world.tables.target;
    if !target.present || target.pace.is_some_and(|pace| !pace.has_token(now)) {
        return false;
    }
    match target.health.ejection_state(now, target.running) {
        EjectionState::Open => target.running < target.limit,
        EjectionState::Probe => target.running == 0,
        EjectionState::Ejected => false,
    }
}

/// Refuses calls until the queue is no longer than its capacity.
fn evict(world: &mut World, tick: &mut Tick) {
    let capacity = capacity(world);
    while world.systems.queueing.discipline.len() > capacity {
        let Some(entry) = world.systems.queueing.discipline.evict() else { return };
        refuse_excess(world, tick, entry.call);
    }
}

/// How many calls may wait: as many as the target runs in the maximum wait that the options set.
fn capacity(world: &World) -> usize {
    let target = &world.tables.target;
    let options = &world.options.queueing;
    if !target.is_open() && !target.present {
        return 0;
    }
    let limit = u64::from(target.throughput_limit.max(1));
    let wait = options.wait.max(options.nested_wait);
    let capacity = limit.saturating_mul(wait.0) / target.latency.0.max(1);
    (capacity as usize).max(MIN_CAPACITY).min(options.capacity)
}

/// Refuses a call that the target has no room for. A caller's call that exceeds the target's rate
/// limit goes to another target if there is one.
fn refuse_excess(world: &mut World, tick: &mut Tick, key: CallKey) {
    let target = &world.tables.target;
    let is_rate_limited =
        target.running < target.limit && target.pace.is_some_and(|pace| !pace.has_token(tick.now));
    if !is_rate_limited {
        return refuse(world, tick, key, Reason::QueueFull);
    }
    let Some(call) = world.tables.calls.get_mut(key) else { return };
    call.lineage.local_tried = true;
    if call.from.is_none() && routing::has_destination(world, tick.now, key) {
        world.tables.calls.advance(key, Stage::Routing, tick.now);
        return tick.wake(tick.now);
    }
    refuse(world, tick, key, Reason::TargetRateLimit);
}

fn refuse(world: &mut World, tick: &mut Tick, key: CallKey, reason: Reason) {
    let refusal = Refusal::not_run(reason).after(RETRY_AFTER);
    finish::run(world, tick, key, Verdict::Refuse(refusal));
}

/// Sends a call to the local target, unless it is too late for its deadline or no longer permitted.
fn dispatch(world: &mut World, tick: &mut Tick, entry: QueueEntry) {
    let key = entry.call;
    let calls = &world.tables.calls;
    let Some(call) = calls.get(key).filter(|call| call.stage == Stage::Queued) else { return };
    if call.deadline <= tick.now + min_run_time(world, tick.now) {
        return refuse(world, tick, key, Reason::DeadlineBeforeRun);
    }
    if !clearance::check(world, tick, key) {
        return;
    }
    let Some(call) = world.tables.calls.get(key) else { return };
    if call.is_logged {
        let target = &world.tables.target;
        let log_entry = Entry::new(Level::Info, "run")
            .on(&call.id)
            .with("instance", target.report.instance.clone())
            .with("waited", tick.now - entry.queued_at)
            .with("running", target.running)
            .with("limit", target.limit)
            .with("left", call.deadline - tick.now);
        tick.log(pacing::with_rate(log_entry, &target.pace, tick.now));
    }
    let team = call.team.filter(|_| call.from.is_none());
    let team = team.and_then(|team| world.tables.teams.get(team));
    tick.commands.push(Command::Run(Run {
        ticket: call.ticket,
        team: team.map(|team| team.name.clone()),
        token: call.token,
        start_by: (tick.now + START_TIMEOUT).min(call.deadline),
        deadline: call.deadline,
        repeatable: call.repeatable,
    }));
    world.systems.queueing.last_run = tick.now;
    world.tables.latencies.record_step(Step::Queue, tick.now - entry.queued_at);
    let tables = &mut world.tables;
    if let Some(pace) = &mut tables.target.pace {
        pace.take(tick.now);
    }
    tables.target.running += 1;
    tables.counters.count_work(Work::Run);
    tables.calls.advance(key, Stage::Running, tick.now);
}

/// The estimated minimum duration of a run. It decays while nothing is dispatched, so that a wrong
/// estimate does not lead to the refusal of all calls.
fn min_run_time(world: &World, now: Millis) -> Millis {
    if !world.options.queueing.drop_late {
        return Millis::ZERO;
    }
    let idle = (now - world.systems.queueing.last_run).0 / ESTIMATE_HALF_LIFE.0;
    Millis((world.tables.target.latency.0 / MIN_RUN_DIVISOR) >> idle.min(63))
}
