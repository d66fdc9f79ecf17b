//! Applies what the store and peers say of the configuration.
//!
//! A node only ever moves to a higher revision. Peers help a node that has just started while the
//! store is away, and one that the store does not answer while it answers others.

use crate::{
    clock::Millis,
    command::Command,
    config::{Record, Update},
    id::{NodeId, Revision},
    log::{Entry, Level},
    message::configuration::Message,
    store::{Area, Changes, Reply, Row, RowKey, Value},
    system::LinkChange,
    table::peer::Link,
    world::{Tick, World},
};

/// The shortest time between two requests to peers for the configuration.
const WANT_PERIOD: Millis = Millis(200);
/// A node asks peers for a later configuration once its own news is older than this.
const OLD_NEWS: Millis = Millis(1_800);

/// What the system remembers from tick to tick.
#[derive(Debug, Default)]
pub(crate) struct State {
    next_want: Millis,
}

pub(super) fn run(world: &mut World, tick: &mut Tick) {
    let before = world.tables.configuration.revision;
    for index in 0..tick.inbox.store.len() {
        read_store(world, &tick.inbox.store[index].1);
    }
    let from_store = world.tables.configuration.revision;
    for (from, message) in std::mem::take(&mut tick.inbox.configuration) {
        match message {
            Message::Want { after } => give(world, tick, from, after),
            Message::Have { revision, rows } => {
                world.tables.apply(Update::Whole { revision, rows });
            }
        }
    }
    want(world, tick);
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

/// Gives a peer the configuration, if it has an earlier one.
fn give(world: &mut World, tick: &mut Tick, to: NodeId, after: Revision) {
    let configuration = &world.tables.configuration;
    if after >= configuration.revision {
        return;
    }
    let (revision, rows) = (configuration.revision, configuration.rows().cloned().collect());
    world.send_to(tick, to, Message::Have { revision, rows });
}

/// Asks a peer that has a later configuration for it, where the store has not said so itself.
fn want(world: &mut World, tick: &mut Tick) {
    let own = world.tables.configuration.revision;
    let is_linked = tick.inbox.links.iter().any(|link| matches!(link, LinkChange::Up { .. }));
    let is_old = world.tables.freshness.configuration_age(tick.now) >= OLD_NEWS;
    if (!is_old && own.0 > 0 && !is_linked) || tick.now < world.systems.configuration.next_want {
        return;
    }
    let peers = world.tables.peers.iter();
    let latest = peers
        .filter(|(_, peer)| peer.link == Link::Up && peer.revision > own)
        .max_by_key(|(_, peer)| peer.revision);
    let Some((peer, _)) = latest else { return };
    world.systems.configuration.next_want = tick.now + WANT_PERIOD;
    tick.wake(tick.now + WANT_PERIOD);
    world.send(tick, peer, Message::Want { after: own });
}

fn read_store(world: &mut World, r: &Reply) {
    let Reply::Changes { area: Area::Configuration, whole, up_to, changes, .. } = r else { return };
    match changes {
        Changes::Document(update) => world.tables.apply(update.clone()),
        Changes::Rows(rows) => {
            // A whole reading that was overtaken by changes says nothing of what is not in it.
            let is_latest = world.tables.configuration.read.is_none_or(|read| read <= *up_to);
            if *whole && is_latest {
                drop_absent(world, rows, Revision(up_to.0));
            }
            for row in rows {
                take_row(world, row);
            }
        }
    }
}

fn take_row(world: &mut World, row: &Row) {
    let revision = Revision(row.version.0);
    match (&row.key, &row.value) {
        (RowKey::Configuration(path), value) => {
            let row = match value {
                Some(Value::Configuration(row)) => Some(row.clone()),
                _ => None,
            };
            world.tables.apply_record(Record { path: path.clone(), revision, row });
        }
        (RowKey::Head, Some(Value::Head(recent))) => {
            let configuration = &mut world.tables.configuration;
            if row.version > configuration.head {
                configuration.head = row.version;
                configuration.recent.clone_from(recent);
                configuration.revision = configuration.revision.max(revision);
            }
        }
        _ => {}
    }
}

/// Withdraws the rows that a whole reading does not have.
fn drop_absent(world: &mut World, rows: &[Row], revision: Revision) {
    let records = world.tables.configuration.records.values();
    let absent: Vec<Record> = records
        .filter(|record| record.row.is_some())
        .filter(|record| {
            !rows.iter().any(|row| row.key == RowKey::Configuration(record.path.clone()))
        })
        .map(|record| Record { path: record.path.clone(), revision, row: None })
        .collect();
    for record in absent {
        world.tables.apply_record(record);
    }
}
