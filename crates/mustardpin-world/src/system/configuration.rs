//! Applies the configuration that the store and peers send.
//!
//! A node only ever moves to a higher revision. Peers send the configuration to a node that starts
//! while the store is unavailable, or that can't reach the store while others can.

mod rewrite;

use crate::{
    clock::Millis,
    command::Command,
    config::{Record, Update},
    id::{Epoch, NodeId, Revision, StoreVersion},
    log::{Entry, Level},
    message::configuration::Message,
    store::{Area, Changes, Reply, Row, RowKey, Value},
    system::{LinkChange, freshness},
    table::peer::Link,
    world::{Tick, World},
};

/// The minimum time between two requests to peers for the configuration.
const MIN_REQUEST_INTERVAL: Millis = Millis(200);
/// A node requests a later configuration from peers once the store has not confirmed its own for
/// this long.
const STALE_AFTER: Millis = Millis(1_800);

/// State that the system keeps between ticks.
#[derive(Debug, Default)]
pub(crate) struct State {
    /// The earliest time of the next request to a peer.
    next_at: Millis,
    rewrite: rewrite::State,
}

pub(super) fn run(world: &mut World, tick: &mut Tick) {
    let before = world.tables.configuration.revision;
    for index in 0..tick.inbox.store.len() {
        apply_reply(world, &tick.inbox.store[index].1);
    }
    let from_store = world.tables.configuration.revision;
    for (from, message) in std::mem::take(&mut tick.inbox.configuration) {
        match message {
            Message::Want { after } => send_if_later(world, tick, from, after),
            Message::Have { revision, rows } => {
                world.tables.apply(Update::Whole { revision, rows });
            }
        }
    }
    request_from_peer(world, tick);
    rewrite::run(world, tick);
    let configuration = &world.tables.configuration;
    if configuration.revision == before {
        return;
    }
    if let Some(callers) = configuration.fleet.callers {
        tick.commands.push(Command::CallerLimits(callers));
    }
    let entry = Entry::new(Level::Info, "configuration")
        .with("revision", configuration.revision.0)
        .with("before", before.0)
        .with("rows", configuration.rows().count())
        .with("from", if configuration.revision == from_store { "store" } else { "peer" });
    tick.log(entry);
}

/// Whether the store lacks changes that this node has.
pub(super) fn is_incomplete(world: &World) -> bool {
    world.systems.configuration.rewrite.is_needed()
}

/// Sends the configuration to a peer that has an earlier revision.
fn send_if_later(world: &mut World, tick: &mut Tick, to: NodeId, after: Revision) {
    let configuration = &world.tables.configuration;
    if after >= configuration.revision {
        return;
    }
    let (revision, rows) = (configuration.revision, configuration.rows().cloned().collect());
    world.send_to(tick, to, Message::Have { revision, rows });
}

/// Requests a later configuration from the peer with the latest revision, if this node has none,
/// the store has not confirmed its own recently, or a peer has just connected. A restored store may
/// never send the later one.
fn request_from_peer(world: &mut World, tick: &mut Tick) {
    let own = world.tables.configuration.revision;
    let is_linked = tick.inbox.links.iter().any(|link| matches!(link, LinkChange::Up { .. }));
    let is_stale = world.tables.freshness.configuration_age(tick.now) >= STALE_AFTER
        || freshness::needs_confirmation(world);
    if (!is_stale && own.0 > 0 && !is_linked) || tick.now < world.systems.configuration.next_at {
        return;
    }
    let peers = world.tables.peers.iter();
    let latest = peers
        .filter(|(_, peer)| peer.link == Link::Up && peer.revision > own)
        .max_by_key(|(_, peer)| peer.revision);
    let Some((peer, _)) = latest else { return };
    world.systems.configuration.next_at = tick.now + MIN_REQUEST_INTERVAL;
    tick.wake(tick.now + MIN_REQUEST_INTERVAL);
    world.send(tick, peer, Message::Want { after: own });
}

fn apply_reply(world: &mut World, reply: &Reply) {
    let Reply::Changes { area: Area::Configuration, whole, up_to, changes, .. } = reply else {
        return;
    };
    match changes {
        Changes::Document(update) => world.tables.apply(update.clone()),
        Changes::Rows(rows) => {
            // A complete read that is older than changes already applied doesn't show which rows
            // are absent now.
            let is_latest = world.tables.configuration.read.is_none_or(|read| read <= *up_to);
            let written_in = epoch_of_last_change(rows, up_to.epoch);
            if *whole && is_latest {
                rewrite::compare(world, rows, *up_to, written_in);
                let version = StoreVersion::new(written_in, up_to.number);
                remove_absent(world, rows, Revision::from(version));
            } else if !*whole {
                rewrite::handle_changes(world, rows);
            }
            for row in rows {
                apply_row(world, row, written_in);
            }
        }
    }
}

/// The epoch of the last change among rows that the store sent in an epoch. Until the first change
/// after a restore, all rows belong to an earlier epoch, and later rows of that epoch may be lost.
fn epoch_of_last_change(rows: &[Row], epoch: Epoch) -> Epoch {
    let head = rows.iter().find_map(|row| match &row.value {
        Some(Value::Head(head)) => Some(head.epoch),
        _ => None,
    });
    head.map_or(epoch, |head| head.min(epoch))
}

fn apply_row(world: &mut World, row: &Row, written_in: Epoch) {
    let revision = Revision::from(StoreVersion::new(written_in, row.version.number));
    match (&row.key, &row.value) {
        (RowKey::Configuration(path), _) if world.systems.configuration.rewrite.is_lost(path) => {}
        // What was in force stays.
        (RowKey::Configuration(_), Some(Value::Unreadable)) => {}
        (RowKey::Configuration(path), value) => {
            let row = match value {
                Some(Value::Configuration(row)) => Some(row.clone()),
                _ => None,
            };
            world.tables.apply_record(Record { path: path.clone(), revision, row });
        }
        (RowKey::Head, Some(Value::Head(head))) => {
            let configuration = &mut world.tables.configuration;
            if row.version > configuration.head {
                configuration.head = row.version;
                let before = std::mem::replace(&mut configuration.recent, head.recent.clone());
                if written_in < row.version.epoch {
                    // The restored row lacks the latest changes, which are written again.
                    let lost = before.into_iter().filter(|id| !head.recent.contains(id));
                    configuration.recent.extend(lost);
                }
                configuration.revision = configuration.revision.max(revision);
            }
        }
        // The next change depends on this version and writes the row again.
        (RowKey::Head, Some(Value::Unreadable)) => {
            let configuration = &mut world.tables.configuration;
            configuration.head = configuration.head.max(row.version);
            configuration.revision = configuration.revision.max(revision);
        }
        _ => {}
    }
}

/// Removes the rows that are missing from a complete read.
fn remove_absent(world: &mut World, rows: &[Row], revision: Revision) {
    let records = world.tables.configuration.records.values();
    let rewrite = &world.systems.configuration.rewrite;
    let absent: Vec<Record> = records
        .filter(|record| record.row.is_some() && !rewrite.is_lost(&record.path))
        .filter(|record| {
            !rows.iter().any(|row| row.key == RowKey::Configuration(record.path.clone()))
        })
        .map(|record| Record { path: record.path.clone(), revision, row: None })
        .collect();
    for record in absent {
        world.tables.apply_record(record);
    }
}
