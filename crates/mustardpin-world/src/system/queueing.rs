//! Holds calls until the own target has room, and sends them there.

mod codel;
mod fair;
mod fifo;

use std::fmt::Debug;

use crate::{
    clock::Millis,
    command::Command,
    config::Importance,
    id::{CallKey, TeamKey},
    options::{self, Queueing},
    refusal::{Reason, Refusal},
    request::{Run, Verdict},
    system::{finish, permission, recording},
    table::{
        call::{Call, Stage},
        counter::Work,
        health::Standing,
    },
    world::{Tick, World},
};

/// A run that has not reached the target within this time of the decision must not start.
const START_WITHIN: Millis = Millis(500);
/// The time between two searches of the whole queue for calls whose time is up.
const SWEEP_PERIOD: Millis = Millis(100);
/// How long after a refusal of an importance peers are told that it is refused.
const REFUSED_FOR: Millis = Millis(300);
/// How long a caller should wait before it sends a refused request again.
const RETRY_AFTER: Millis = Millis(1_000);
/// The queue has room for at least this many calls.
const LEAST_CAPACITY: u64 = 8;
/// The estimate of a run's length halves for each such time without any run.
const ESTIMATE_HALF_LIFE: Millis = Millis(500);

/// A call in the queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Entry {
    call: CallKey,
    team: Option<TeamKey>,
    weight: u32,
    importance: Importance,
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
}

/// What the system remembers from tick to tick.
#[derive(Debug)]
pub(crate) struct State {
    discipline: Box<dyn Discipline>,
    next_sweep: Millis,
    /// When the target last began a run.
    last_run: Millis,
    /// When calls of each importance were last refused, and when they last ran.
    refused: [Option<Millis>; Importance::ALL.len()],
    ran: [Option<Millis>; Importance::ALL.len()],
}

impl State {
    pub(crate) fn new(options: &Queueing) -> State {
        let discipline: Box<dyn Discipline> = match options.discipline {
            options::Discipline::Fair => Box::new(fair::Fair::default()),
            options::Discipline::Fifo => Box::new(fifo::Fifo::default()),
            options::Discipline::Codel => Box::new(codel::Codel::default()),
        };
        State {
            discipline,
            next_sweep: Millis::ZERO,
            last_run: Millis::ZERO,
            refused: Default::default(),
            ran: Default::default(),
        }
    }
}

pub(super) fn run(world: &mut World, tick: &mut Tick) {
    for key in world.tables.calls.take(Stage::Queued) {
        let Some(call) = world.tables.calls.get(key) else { continue };
        if call.isolated {
            // Waits outside the queue until the target is idle.
            world.tables.calls.keep(key);
            continue;
        }
        let entry = entry(world, key, call);
        world.systems.queueing.discipline.push(entry);
    }
    sweep(world, tick);
    fill(world, tick);
    evict(world, tick);
    judge(world, tick);
}

/// Empties the queue. Returns the calls that were in it.
pub(super) fn take_all(world: &mut World) -> Vec<CallKey> {
    let mut taken = Vec::new();
    world.systems.queueing.discipline.retain(&mut |entry| {
        taken.push(entry.call);
        false
    });
    taken
}

fn entry(world: &World, key: CallKey, call: &Call) -> Entry {
    let weight =
        call.team.and_then(|team| world.tables.teams.get(team)).map_or(1, |row| row.weight);
    Entry {
        call: key,
        team: call.team,
        weight: weight.max(1),
        importance: call.importance,
        queued: call.since,
    }
}

/// Refuses calls whose time is up, and forgets those whose caller has gone.
fn sweep(world: &mut World, tick: &mut Tick) {
    if world.systems.queueing.discipline.len() == 0 {
        return;
    }
    if tick.now >= world.systems.queueing.next_sweep {
        world.systems.queueing.next_sweep = tick.now + SWEEP_PERIOD;
        let calls = &world.tables.calls;
        let mut late = Vec::new();
        world.systems.queueing.discipline.retain(&mut |entry| {
            let Some(call) = calls.get(entry.call) else { return false };
            if call.deadline <= tick.now {
                late.push(entry.call);
            }
            call.deadline > tick.now
        });
        for call in late {
            refuse(world, tick, call, Reason::DeadlineBeforeRun);
        }
    }
    tick.wake(world.systems.queueing.next_sweep);
}

/// Sends calls to the target for as long as it has room.
fn fill(world: &mut World, tick: &mut Tick) {
    if let Some(trial) = world.tables.target.trial {
        return try_alone(world, tick, trial);
    }
    while has_room(world, tick.now) {
        match world.systems.queueing.discipline.pop(tick.now) {
            Some(Next::Run(entry)) => dispatch(world, tick, entry),
            Some(Next::Drop(entry)) => {
                refuse_entry(world, tick, entry, Reason::QueueFull);
            }
            None => return,
        }
    }
}

/// Runs a suspect once the target is idle. Nothing else begins before it has ended.
fn try_alone(world: &mut World, tick: &mut Tick, trial: CallKey) {
    let Some(call) = world.tables.calls.get(trial) else { return };
    if call.stage == Stage::Queued && world.tables.target.running == 0 {
        let entry = entry(world, trial, call);
        return dispatch(world, tick, entry);
    }
    tick.wake(call.deadline);
}

fn has_room(world: &World, now: Millis) -> bool {
    let target = &world.tables.target;
    match target.health.standing(now, target.running) {
        Standing::Open => target.running < target.limit,
        Standing::Probe => target.running == 0,
        Standing::Ejected => false,
    }
}

/// Refuses what the queue has no room for.
fn evict(world: &mut World, tick: &mut Tick) {
    while world.systems.queueing.discipline.len() > capacity(world) {
        let Some(entry) = world.systems.queueing.discipline.evict() else { return };
        refuse_entry(world, tick, entry, Reason::QueueFull);
    }
}

/// How many calls may wait: as many as the target runs in the time that is set for waiting.
fn capacity(world: &World) -> usize {
    let target = &world.tables.target;
    let options = &world.options.queueing;
    let limit = u64::from(target.sustained_limit.max(1));
    let capacity = limit.saturating_mul(options.wait.0) / target.latency.0.max(1);
    capacity.max(LEAST_CAPACITY).min(options.capacity as u64) as usize
}

fn refuse_entry(world: &mut World, tick: &mut Tick, entry: Entry, reason: Reason) {
    if world.tables.calls.get(entry.call).is_none() {
        return;
    }
    world.systems.queueing.refused[entry.importance as usize] = Some(tick.now);
    refuse(world, tick, entry.call, reason);
}

fn refuse(world: &mut World, tick: &mut Tick, call: CallKey, reason: Reason) {
    let refusal = Refusal::not_run(reason).after(RETRY_AFTER);
    finish::run(world, tick, call, Verdict::Refuse(refusal));
}

/// Finds the least importance that still gets through, for peers.
fn judge(world: &mut World, tick: &mut Tick) {
    let state = &world.systems.queueing;
    let recent = |at: Option<Millis>| at.is_some_and(|at| tick.now - at < REFUSED_FOR);
    let mut least = Importance::Low;
    for (&importance, &above) in Importance::ALL.iter().zip(&Importance::ALL[1..]) {
        let index = importance as usize;
        if recent(state.refused[index]) && !recent(state.ran[index]) {
            least = above;
        }
    }
    world.tables.target.least_importance = least;
    world.tables.target.queued = state.discipline.len() as u32;
    if least > Importance::Low {
        tick.wake(tick.now + REFUSED_FOR);
    }
}

/// Sends a call to the own target, unless its time is up or it may no longer run.
fn dispatch(world: &mut World, tick: &mut Tick, entry: Entry) {
    let key = entry.call;
    let calls = &world.tables.calls;
    let Some(call) = calls.get(key).filter(|call| call.stage == Stage::Queued) else { return };
    if call.deadline <= tick.now + least_time(world, tick.now) {
        return refuse_entry(world, tick, entry, Reason::DeadlineBeforeRun);
    }
    if let Err(reason) = permission::check(&world.tables, call.route, call.tenant) {
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
    let Some(call) = world.tables.calls.get(key) else { return };
    let record = world.tables.routes.get(call.route).is_some_and(|route| !route.repeatable);
    tick.commands.push(Command::Run(Run {
        call: key,
        token: call.token,
        start_by: tick.now + START_WITHIN,
        deadline: call.deadline,
        record,
    }));
    let state = &mut world.systems.queueing;
    state.last_run = tick.now;
    state.ran[entry.importance as usize] = Some(tick.now);
    let tables = &mut world.tables;
    tables.target.running += 1;
    tables.counters.work(Work::Run);
    tables.calls.advance(key, Stage::Running, tick.now);
}

/// The time that a run surely needs. The estimate falls while nothing runs, so that a wrong one
/// does not keep everything out.
fn least_time(world: &World, now: Millis) -> Millis {
    const CERTAIN_PART: u64 = 2;

    if !world.options.queueing.drop_late {
        return Millis::ZERO;
    }
    let idle = (now - world.systems.queueing.last_run).0 / ESTIMATE_HALF_LIFE.0;
    Millis((world.tables.target.latency.0 / CERTAIN_PART) >> idle.min(63))
}
