//! Watches the store for changes, and keeps the age of the node's knowledge.
//!
//! Knowledge counts as of the point at which the question was sent, or, where the store tells how
//! its steady clock stands, as of the point at which it must have answered: see [`store_clock`].

mod relay;
mod store_clock;

use smallvec::SmallVec;

use crate::{
    clock::Millis,
    id::StoreVersion,
    log::{Entry, Level},
    store::{Area, Operation, Refused, Reply, Ticket},
    table::latency::Step,
    world::{Tick, World},
};

/// How long the store holds a question for rows of nodes, which change seldom. A reply about
/// the configuration shows by the store's version whether there were any.
const FLEET_WATCH: Millis = Millis(20_000);
/// The pause after a question that was lost, and the same again by chance.
const LOST_PAUSE: Millis = Millis(60);
/// The pause after a question that was refused, and the same again by chance.
const REFUSED_PAUSE: Millis = Millis(250);
/// The longest pause between two questions, beside what is added by chance.
const LONGEST_PAUSE: Millis = Millis(400);

/// A question whose answer is overdue by this long is asked again.
const OVERDUE: Millis = Millis(500);
/// What is left of the window for the answer to a question that the store held, beside the time
/// that answers take.
const SPARE: Millis = Millis(100);

/// Questions of one kind without a reply at most.
const MOST_ASKED: usize = 3;

/// A question without a reply.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Asked {
    ticket: Ticket,
    sent: Millis,
    /// When it is asked again.
    overdue: Millis,
}

/// The watch over one area.
#[derive(Debug, Default)]
struct Watch {
    asked: SmallVec<[Asked; MOST_ASKED]>,
    next: Millis,
    failures: u32,
}

/// What the system remembers from tick to tick.
#[derive(Debug, Default)]
pub(crate) struct State {
    configuration: Watch,
    fleet: Watch,
    /// A question whether rows of nodes have changed, asked apart from the watch.
    catch_up: Watch,
    /// How long the last answer was under way, at most.
    delay: Millis,
    /// Whether something has been written since the rows of nodes were read.
    is_behind: bool,
    is_connected: Option<bool>,
    pace: store_clock::Pace,
    relay: relay::State,
}

pub(super) fn run(world: &mut World, tick: &mut Tick) {
    for index in 0..tick.inbox.store.len() {
        let ticket = tick.inbox.store[index].0;
        let state = &mut world.systems.freshness;
        let watches = [&mut state.configuration, &mut state.fleet, &mut state.catch_up];
        let mut asked = None;
        for (place, watch) in watches.into_iter().enumerate() {
            if let Some(index) = watch.asked.iter().position(|asked| asked.ticket == ticket) {
                asked = Some((place, watch.asked.remove(index).sent));
            }
        }
        let Some((place, sent)) = asked else { continue };
        let area = if place == 0 { Area::Configuration } else { Area::Fleet };
        replied(world, tick, index, area, place, sent);
    }
    relay::run(world, tick);
    ask(world, tick);
    judge(world, tick);
}

fn replied(
    world: &mut World,
    tick: &mut Tick,
    index: usize,
    area: Area,
    place: usize,
    sent: Millis,
) {
    let pause = match &tick.inbox.store[index].1 {
        Reply::Changes { up_to, clock, .. } => {
            let (up_to, clock) = (*up_to, *clock);
            let as_of = world.systems.freshness.pace.answered(clock, sent, tick.now);
            world.systems.freshness.delay = tick.now - as_of;
            world.tables.latencies.step(Step::Store, tick.now - as_of);
            learned(world, tick, area, up_to, as_of);
            let state = &mut world.systems.freshness;
            let watch = watch_at(state, place);
            watch.failures = 0;
            return;
        }
        Reply::Forgotten => {
            match area {
                Area::Configuration => world.tables.configuration.read = None,
                Area::Fleet => world.systems.fleet.read = None,
            }
            let entry = Entry::new(Level::Info, "store_history_gone");
            tick.log(entry.with("area", area_name(area)));
            Millis::ZERO
        }
        Reply::Refused(refused) => {
            let busy = *refused == Refused::Busy;
            let entry = Entry::new(Level::Warn, "store_refused");
            tick.log(entry.with("area", area_name(area)).with("busy", busy));
            REFUSED_PAUSE
        }
        Reply::Lost | Reply::Written { .. } | Reply::Conflict => LOST_PAUSE,
    };
    let jitter = world.jitter(pause);
    let watch = watch_at(&mut world.systems.freshness, place);
    let longer = Millis(pause.0 << watch.failures.min(4)).min(LONGEST_PAUSE);
    watch.failures += 1;
    watch.next = tick.now + longer + jitter;
}

fn watch_at(state: &mut State, place: usize) -> &mut Watch {
    match place {
        0 => &mut state.configuration,
        1 => &mut state.fleet,
        _ => &mut state.catch_up,
    }
}

fn area_name(area: Area) -> &'static str {
    match area {
        Area::Configuration => "configuration",
        Area::Fleet => "fleet",
    }
}

/// The store has answered a question about an area up to a version.
fn learned(world: &mut World, tick: &Tick, area: Area, up_to: StoreVersion, as_of: Millis) {
    let freshness = &mut world.tables.freshness;
    match area {
        Area::Configuration => {
            let read = &mut world.tables.configuration.read;
            *read = (*read).max(Some(up_to));
            freshness.configuration_as_of = freshness.configuration_as_of.max(Some(as_of));
            if world.systems.fleet.read.is_some_and(|read| read >= up_to) {
                // Nothing has been written since the rows of nodes were read.
                freshness.fleet_as_of = freshness.fleet_as_of.max(Some(as_of));
            } else if world.systems.fleet.read.is_some() {
                world.systems.freshness.catch_up.next = tick.now;
                world.systems.freshness.catch_up.failures = 0;
                world.systems.freshness.is_behind = true;
            }
        }
        Area::Fleet => {
            let read = &mut world.systems.fleet.read;
            *read = (*read).max(Some(up_to));
            freshness.fleet_as_of = freshness.fleet_as_of.max(Some(as_of));
            world.systems.freshness.is_behind = false;
        }
    }
}

/// Keeps one question of each kind under way.
fn ask(world: &mut World, tick: &mut Tick) {
    let wait = longest_wait(world);
    if is_due(&world.systems.freshness.configuration, tick) {
        let (operation, wait) = match world.tables.configuration.read {
            None => (Operation::Read(Area::Configuration), Millis::ZERO),
            Some(after) => (Operation::Watch { area: Area::Configuration, after, wait }, wait),
        };
        let asked = question(world, tick, operation, wait);
        world.systems.freshness.configuration.asked.push(asked);
    }
    if is_due(&world.systems.freshness.fleet, tick) {
        let (operation, wait) = match world.systems.fleet.read {
            None => (Operation::Read(Area::Fleet), Millis::ZERO),
            Some(after) => {
                (Operation::Watch { area: Area::Fleet, after, wait: FLEET_WATCH }, FLEET_WATCH)
            }
        };
        let asked = question(world, tick, operation, wait);
        world.systems.freshness.fleet.asked.push(asked);
    }
    let Some(after) = world.systems.fleet.read else { return };
    if world.systems.freshness.is_behind && is_due(&world.systems.freshness.catch_up, tick) {
        let operation = Operation::Watch { area: Area::Fleet, after, wait: Millis::ZERO };
        let asked = question(world, tick, operation, Millis::ZERO);
        world.systems.freshness.catch_up.asked.push(asked);
    }
}

fn question(world: &mut World, tick: &mut Tick, operation: Operation, wait: Millis) -> Asked {
    let ticket = world.ask_store(tick, operation);
    Asked { ticket, sent: tick.now, overdue: tick.now + wait + OVERDUE }
}

/// How long the store may hold a question for the configuration: the answer must come before the
/// last one is too old, though it is as slow as the last one, and so is the question.
fn longest_wait(world: &World) -> Millis {
    let options = &world.options.freshness;
    let delay = world.systems.freshness.delay;
    options.watch.min(options.window - SPARE - Millis(delay.0 * 3))
}

/// Whether a question may be sent: there is none, or its answer is overdue.
fn is_due(watch: &Watch, tick: &mut Tick) -> bool {
    if let Some(last) = watch.asked.last() {
        if watch.asked.len() == MOST_ASKED {
            return false;
        }
        if tick.now < last.overdue {
            tick.wake(last.overdue);
            return false;
        }
    }
    if tick.now < watch.next {
        tick.wake(watch.next);
        return false;
    }
    true
}

fn judge(world: &mut World, tick: &mut Tick) {
    let window = world.options.freshness.window;
    let freshness = &mut world.tables.freshness;
    let age = freshness.configuration_age(tick.now);
    freshness.age = age;
    let fresh = age < window;
    freshness.is_cut_off = !fresh && world.options.freshness.strict;
    freshness.fleet_fresh = freshness.fleet_age(tick.now) < window;
    if fresh {
        tick.wake(tick.now + (window - age));
    }
    if fresh == freshness.fresh && world.systems.freshness.is_connected.is_some() {
        return;
    }
    freshness.fresh = fresh;
    let before = world.systems.freshness.is_connected.replace(fresh);
    if before == Some(fresh) || (before.is_none() && !fresh) {
        return;
    }
    let event = if fresh { "store_regained" } else { "store_lost" };
    let level = if fresh { Level::Info } else { Level::Warn };
    let revision = world.tables.configuration.revision.0;
    tick.log(Entry::new(level, event).with("configuration_age", age).with("revision", revision));
}
