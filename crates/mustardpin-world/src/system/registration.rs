//! Maintains this node's row in the store, by which other nodes find it.
//!
//! The row is written when the node starts, and again when another node removed it. A draining node
//! removes its row if its target is gone or draining too; otherwise the node is expected to restart
//! under the same node name and leaves the row in place.

use crate::{
    clock::Millis,
    log::{Entry, Level},
    store::{Operation, Reply, RowKey, Ticket, Value},
    world::{Tick, World},
};

/// Backoff before the retry of a failed write; random jitter of up to the same length is added.
const RETRY_BACKOFF: Millis = Millis(400);

/// State of the system between ticks.
#[derive(Debug, Default)]
pub(crate) struct State {
    pending: Option<PendingWrite>,
    retry_at: Millis,
}

/// A write that has no reply yet.
#[derive(Debug, Clone, Copy)]
struct PendingWrite {
    ticket: Ticket,
    /// Whether the operation writes the row rather than removes it.
    is_wanted: bool,
}

pub(super) fn run(world: &mut World, tick: &mut Tick) {
    handle_replies(world, tick);
    if world.systems.fleet.read_up_to.is_none() || world.systems.registration.pending.is_some() {
        return;
    }
    let own = world.identity.node();
    let stored_row = world.systems.fleet.own_row;
    let is_wanted = !world.tables.leaving || world.tables.target.is_open();
    let is_correct = match stored_row {
        Some((node, _)) => is_wanted && node == own,
        None => !is_wanted,
    };
    // A draining node need not replace the row of an earlier process or add a missing one.
    if is_correct || (is_wanted && world.tables.leaving) {
        return;
    }
    if tick.now < world.systems.registration.retry_at {
        return tick.wake(world.systems.registration.retry_at);
    }
    let key = RowKey::Node(world.identity.name().clone());
    let version = stored_row.map(|(_, version)| version).unwrap_or_default();
    let expected = vec![(key.clone(), version)];
    let operation = if is_wanted {
        let value = Value::Node(world.identity.announcement.clone());
        Operation::Write { expected, puts: vec![(key, value)], removals: Vec::new() }
    } else {
        Operation::Write { expected, puts: Vec::new(), removals: vec![key] }
    };
    tick.log(Entry::new(Level::Info, "registering").with("present", is_wanted));
    let ticket = world.call_store(tick, operation);
    world.systems.registration.pending = Some(PendingWrite { ticket, is_wanted });
}

fn handle_replies(world: &mut World, tick: &Tick) {
    let Some(pending) = world.systems.registration.pending else { return };
    for index in 0..tick.inbox.store.len() {
        let (ticket, reply) = &tick.inbox.store[index];
        if *ticket != pending.ticket {
            continue;
        }
        world.systems.registration.pending = None;
        match reply {
            Reply::Written { version } => {
                let own = pending.is_wanted.then_some((world.identity.node(), *version));
                world.systems.fleet.own_row = own;
            }
            _ => {
                // A row in an unexpected state arrives as a change, and so does a write that took
                // effect although its reply was lost.
                let backoff = RETRY_BACKOFF + world.jitter(RETRY_BACKOFF);
                world.systems.registration.retry_at = tick.now + backoff;
            }
        }
    }
}
