//! Holds calls until the own target has room, and sends them there.
//!
//! The more important calls go first. A call that a target makes in the course of another request
//! has that request's importance; where the target does not say which one it is, the call goes
//! before all others, since refusing it wastes work of unknown importance. A call that would have
//! to wait too long is refused at once, while its entry node can still try another place.

mod codel;
mod fair;
mod fifo;

use std::fmt::Debug;

use crate::{
    clock::Millis,
    command::Command,
    config::Rank,
    id::{CallKey, TeamKey},
    log::{self, Level},
    options::{self, Queueing},
    refusal::{Reason, Refusal},
    request::{Nesting, Run, Verdict},
    system::{finish, permission, shedding},
    table::{
        call::{Call, Stage},
        counter::Work,
        health::EjectionState,
        latency::Step,
    },
    world::{Tick, World},
};

/// A run that has not reached the target within this time of the decision must not start.
const START_WITHIN: Millis = Millis(500);
/// The time between two searches of the whole queue for calls whose time is up.
const SWEEP_PERIOD: Millis = Millis(50);
/// How long a caller should wait before it sends a refused request again.
const RETRY_AFTER: Millis = Millis(500);
/// A queue this long is never too long: estimates of the wait are rough.
const LEAST_CAPACITY: usize = 4;
/// The estimate of a run's length halves for each such time without any run.
const ESTIMATE_HALF_LIFE: Millis = Millis(500);
/// A run surely takes the mean length divided by this.
const CERTAIN_PART: u64 = 2;

/// What decides which call goes first: calls made by targets for requests that are not known, then
/// the more important, then calls made by targets.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Class {
    is_unlinked: bool,
    rank: Rank,
    is_nested: bool,
}

/// A call in the queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Entry {
    call: CallKey,
    team: Option<TeamKey>,
    weight: u32,
    class: Class,
    queued: Millis,
}

/// What leaves the queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Next {
    Run(Entry),
    Drop(Entry),
}

/// The order of a queue.
trait Discipline: Debug + Send {
    /// Adds a call to the queue.
    fn push(&mut self, entry: Entry);

    /// Takes the call out that is refused when the queue is too long.
    fn evict(&mut self) -> Option<Entry>;

    /// Takes the next call out.
    fn pop(&mut self, now: Millis) -> Option<Next>;

    /// Takes out all calls for which `keep` is false.
    fn retain(&mut self, keep: &mut dyn FnMut(&Entry) -> bool);

    /// How many calls are in the queue.
    fn len(&self) -> usize;

    /// How many calls go before one of this class that comes now.
    fn ahead_of(&self, class: Class) -> usize;
}

/// What the system remembers from tick to tick.
#[derive(Debug)]
pub(crate) struct State {
    discipline: Box<dyn Discipline>,
    next_sweep: Millis,
    /// When the target last began a run.
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
        let entry = entry(world, key, call);
        if waits_too_long(world, tick.now, call, entry) {
            refuse(world, tick, key, Reason::QueueFull);
            continue;
        }
        world.systems.queueing.discipline.push(entry);
    }
    sweep(world, tick);
    fill(world, tick);
    evict(world, tick);
    world.tables.target.queued = world.systems.queueing.discipline.len() as u32;
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

fn entry(world: &World, key: CallKey, call: &Call) -> Entry {
    let weight =
        call.team.and_then(|team| world.tables.teams.get(team)).map_or(1, |row| row.weight);
    Entry {
        call: key,
        team: call.team,
        weight: weight.max(1),
        class: Class {
            is_unlinked: call.nesting == Nesting::Unlinked,
            rank: call.rank,
            is_nested: call.nesting.is_nested(),
        },
        queued: call.since,
    }
}

/// Whether a call would have to wait too long behind those that go before it.
fn waits_too_long(world: &World, now: Millis, call: &Call, entry: Entry) -> bool {
    if has_room(world, now) {
        return false;
    }
    let target = &world.tables.target;
    let ahead = world.systems.queueing.discipline.ahead_of(entry.class);
    if ahead < LEAST_CAPACITY && target.is_open() {
        return false;
    }
    let limit = u64::from(target.sustained_limit.max(1));
    let wait = Millis((ahead as u64).saturating_mul(target.latency.0) / limit);
    let options = &world.options.queueing;
    wait > longest_wait(options, call) || now + wait + least_time(world, now) > call.deadline
}

/// Refuses calls that wait too long, and forgets those whose caller has gone.
fn sweep(world: &mut World, tick: &mut Tick) {
    if world.systems.queueing.discipline.len() == 0 {
        return;
    }
    if tick.now >= world.systems.queueing.next_sweep {
        world.systems.queueing.next_sweep = tick.now + SWEEP_PERIOD;
        let least = least_time(world, tick.now);
        let (calls, options) = (&world.tables.calls, &world.options.queueing);
        let mut late = Vec::new();
        world.systems.queueing.discipline.retain(&mut |entry| {
            let Some(call) = calls.get(entry.call) else { return false };
            let is_late = call.deadline <= tick.now + least
                || (options.is_wait_strict
                    && tick.now - entry.queued > longest_wait(options, call));
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

/// How long a call may wait at most.
fn longest_wait(options: &Queueing, call: &Call) -> Millis {
    if call.nesting.is_nested() { options.nested_wait } else { options.wait }
}

/// Sends calls to the target for as long as it has room.
fn fill(world: &mut World, tick: &mut Tick) {
    while has_room(world, tick.now) {
        match world.systems.queueing.discipline.pop(tick.now) {
            Some(Next::Run(entry)) => dispatch(world, tick, entry),
            Some(Next::Drop(entry)) => refuse(world, tick, entry.call, Reason::QueueFull),
            None => return,
        }
    }
}

fn has_room(world: &World, now: Millis) -> bool {
    let target = &world.tables.target;
    if !target.present {
        return false;
    }
    match target.health.ejection_state(now, target.running) {
        EjectionState::Open => target.running < target.limit,
        EjectionState::Probe => target.running == 0,
        EjectionState::Ejected => false,
    }
}

/// Refuses what would have to wait too long.
fn evict(world: &mut World, tick: &mut Tick) {
    let capacity = capacity(world);
    while world.systems.queueing.discipline.len() > capacity {
        let Some(entry) = world.systems.queueing.discipline.evict() else { return };
        refuse(world, tick, entry.call, Reason::QueueFull);
    }
}

/// How many calls may wait: as many as the target runs in the time that is set for waiting.
fn capacity(world: &World) -> usize {
    let target = &world.tables.target;
    let options = &world.options.queueing;
    if !target.is_open() && !target.present {
        return 0;
    }
    let limit = u64::from(target.sustained_limit.max(1));
    let wait = options.wait.max(options.nested_wait);
    let capacity = limit.saturating_mul(wait.0) / target.latency.0.max(1);
    (capacity as usize).max(LEAST_CAPACITY).min(options.capacity)
}

fn refuse(world: &mut World, tick: &mut Tick, key: CallKey, reason: Reason) {
    let refusal = Refusal::not_run(reason).after(RETRY_AFTER);
    finish::run(world, tick, key, Verdict::Refuse(refusal));
}

/// Sends a call to the own target, unless its time is up or it may no longer run.
fn dispatch(world: &mut World, tick: &mut Tick, entry: Entry) {
    let key = entry.call;
    let calls = &world.tables.calls;
    let Some(call) = calls.get(key).filter(|call| call.stage == Stage::Queued) else { return };
    if call.deadline <= tick.now + least_time(world, tick.now) {
        return refuse(world, tick, key, Reason::DeadlineBeforeRun);
    }
    if let Err(reason) = permission::check_again(&world.tables, call) {
        return finish::run(world, tick, key, Verdict::Refuse(Refusal::not_run(reason)));
    }
    if call.is_logged {
        let target = &world.tables.target;
        let log_entry = log::Entry::new(Level::Info, "run")
            .on(&call.id)
            .with("instance", target.report.instance.clone())
            .with("waited", tick.now - entry.queued)
            .with("running", target.running)
            .with("limit", target.limit)
            .with("left", call.deadline - tick.now);
        tick.log(log_entry);
    }
    let team = call.team.filter(|_| call.from.is_none());
    let team = team.and_then(|team| world.tables.teams.get(team));
    tick.commands.push(Command::Run(Run {
        ticket: call.ticket,
        team: team.map(|team| team.name.clone()),
        token: call.token,
        start_by: (tick.now + START_WITHIN).min(call.deadline),
        deadline: call.deadline,
        repeatable: call.repeatable,
    }));
    world.systems.queueing.last_run = tick.now;
    world.tables.latencies.record_step(Step::Queue, tick.now - entry.queued);
    let tables = &mut world.tables;
    tables.target.running += 1;
    tables.counters.work(Work::Run);
    tables.calls.advance(key, Stage::Running, tick.now);
}

/// The time that a run surely needs. The estimate falls while nothing runs, so that a wrong one
/// does not keep everything out.
fn least_time(world: &World, now: Millis) -> Millis {
    if !world.options.queueing.drop_late {
        return Millis::ZERO;
    }
    let idle = (now - world.systems.queueing.last_run).0 / ESTIMATE_HALF_LIFE.0;
    Millis((world.tables.target.latency.0 / CERTAIN_PART) >> idle.min(63))
}
