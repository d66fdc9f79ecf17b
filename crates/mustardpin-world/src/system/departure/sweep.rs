//! Removes the departures of nodes that are gone for good.
//!
//! A node compares all departures with the nodes that it knows from time to time. It removes those of
//! nodes that it did not know twice in a row; until then, a late report may still reach a node of that
//! name.

use std::collections::BTreeSet;

use crate::{
    clock::Millis,
    log::{Entry, Level},
    store::{Departure, Operation, RowKey},
    world::{Tick, World},
};

/// The time between two comparisons.
const INTERVAL: Millis = Millis::from_secs(3_600);
/// The maximum number of rows that are removed at once. The store limits the size of a transaction.
const MAX_REMOVALS: usize = 50;

/// State of the sweep between ticks.
#[derive(Debug, Default)]
pub(super) struct State {
    next_at: Option<Millis>,
    /// The departures of nodes that were not known at the last comparison.
    orphans: BTreeSet<Departure>,
}

pub(super) fn run(world: &mut World, tick: &mut Tick) {
    // Nodes compare at different times, so that one of them removes a row.
    let offset = Millis(world.identity.node().0 % INTERVAL.0);
    let first_at = tick.now + INTERVAL + offset;
    let next_at = *world.systems.departure.sweep.next_at.get_or_insert(first_at);
    if tick.now < next_at {
        return tick.wake(next_at);
    }
    world.systems.departure.sweep.next_at = Some(tick.now + INTERVAL);
    tick.wake(tick.now + INTERVAL);
    if world.tables.freshness.fleet_fresh {
        remove_orphans(world, tick);
    }
}

fn remove_orphans(world: &mut World, tick: &mut Tick) {
    let peers = &world.tables.peers;
    let is_orphan = |departure: &&Departure| peers.by_name(&departure.node).is_none();
    let orphans: BTreeSet<Departure> =
        world.tables.departures.others().iter().filter(is_orphan).cloned().collect();
    let state = &mut world.systems.departure.sweep;
    let before = std::mem::replace(&mut state.orphans, orphans);
    let removed = state.orphans.intersection(&before).take(MAX_REMOVALS).cloned();
    let removals: Vec<RowKey> = removed.map(RowKey::Departure).collect();
    if removals.is_empty() {
        return;
    }
    tick.log(Entry::new(Level::Info, "departures_removed").with("count", removals.len()));
    // What a lost write has not removed, the next comparison shows again.
    let operation = Operation::Write { expected: Vec::new(), puts: Vec::new(), removals };
    world.call_store(tick, operation);
}
