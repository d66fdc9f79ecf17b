//! Keeps the node's own row in the store, by which others find it.
//!
//! The row is written when the node starts, and again when someone removed it. A node whose target
//! has gone removes it as it leaves; one that will be started again in its place leaves it there.

use crate::{
    clock::Millis,
    log::{Entry, Level},
    store::{Operation, Reply, RowKey, Ticket, Value},
    world::{Tick, World},
};

/// The time before a write that failed is tried again, and the same again by chance.
const RETRY: Millis = Millis(400);

/// What the system remembers from tick to tick.
#[derive(Debug, Default)]
pub(crate) struct State {
    asked: Option<Asked>,
    next_try: Millis,
}

/// A write that has not been answered.
#[derive(Debug, Clone, Copy)]
struct Asked {
    ticket: Ticket,
    /// Whether the row is there after it.
    is_wanted: bool,
}

pub(super) fn run(world: &mut World, tick: &mut Tick) {
    read_store(world, tick);
    if world.systems.fleet.read.is_none() || world.systems.registration.asked.is_some() {
        return;
    }
    let own = world.identity.node();
    let is_there = world.systems.fleet.own;
    let is_wanted = !world.tables.leaving || world.tables.target.is_open();
    let is_right = match is_there {
        Some((node, _)) => is_wanted && node == own,
        None => !is_wanted,
    };
    // A leaving node whose row is that of an earlier process need not put it right.
    if is_right || (is_wanted && world.tables.leaving) {
        return;
    }
    if tick.now < world.systems.registration.next_try {
        return tick.wake(world.systems.registration.next_try);
    }
    let key = RowKey::Node(world.identity.name().clone());
    let version = is_there.map(|(_, version)| version).unwrap_or_default();
    let expected = vec![(key.clone(), version)];
    let operation = if is_wanted {
        let value = Value::Node(world.identity.announcement.clone());
        Operation::Write { expected, puts: vec![(key, value)], removals: Vec::new() }
    } else {
        Operation::Write { expected, puts: Vec::new(), removals: vec![key] }
    };
    tick.log(Entry::new(Level::Info, "registering").with("present", is_wanted));
    let ticket = world.call_store(tick, operation);
    world.systems.registration.asked = Some(Asked { ticket, is_wanted });
}

fn read_store(world: &mut World, tick: &Tick) {
    let Some(asked) = world.systems.registration.asked else { return };
    for index in 0..tick.inbox.store.len() {
        let (ticket, reply) = &tick.inbox.store[index];
        if *ticket != asked.ticket {
            continue;
        }
        world.systems.registration.asked = None;
        match reply {
            Reply::Written { version } => {
                let own = asked.is_wanted.then_some((world.identity.node(), *version));
                world.systems.fleet.own = own;
            }
            _ => {
                // A row that is not as expected comes as a change; one that was written after all
                // too.
                let pause = RETRY + world.jitter(RETRY);
                world.systems.registration.next_try = tick.now + pause;
            }
        }
    }
}
