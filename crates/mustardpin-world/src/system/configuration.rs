//! Applies what the platform and peers say of the configuration.
//!
//! A node only ever moves to a higher revision. The tables of teams, routes and tenant keys are
//! derived from the records.

use crate::{
    command::{Change, Command},
    config::{Record, Row},
    id::Revision,
    platform,
    table::Tables,
    world::{Tick, World},
};

pub(super) fn run(world: &mut World, tick: &mut Tick) {
    let mut upto = world.tables.configuration.revision;
    for (_, reply) in &tick.inbox.platform {
        let platform::Reply::Changes { upto: revision, rows } = reply else { continue };
        for versioned in rows {
            let platform::Row::Configuration(path, row) = &versioned.row else { continue };
            let record =
                Record { path: path.clone(), revision: versioned.revision, row: row.clone() };
            apply(&mut world.tables, record);
        }
        upto = upto.max(*revision);
    }
    advance(world, tick, upto);
}

fn advance(world: &mut World, tick: &mut Tick, upto: Revision) {
    let configuration = &mut world.tables.configuration;
    if upto <= configuration.revision {
        return;
    }
    configuration.revision = upto;
    tick.commands.push(Command::Log(Change::Configuration(upto)));
}

/// Takes a record in, unless the node has a later one of the same path.
fn apply(tables: &mut Tables, record: Record) {
    let known = tables.configuration.records.get(&record.path);
    if known.is_some_and(|known| known.revision >= record.revision) {
        return;
    }
    match &record.row {
        Some(Row::Fleet(fleet)) => tables.configuration.fleet = fleet.clone(),
        Some(Row::Team(team)) => {
            tables.teams.put(team.clone());
        }
        Some(Row::Route(route)) => {
            tables.routes.put(route.clone());
        }
        Some(Row::Key(key)) => {
            tables.tenants.put(key.clone());
        }
        Some(Row::Exception(_)) => {}
        None => remove(tables, &record),
    }
    tables.configuration.records.insert(record.path.clone(), record);
}

fn remove(tables: &mut Tables, record: &Record) {
    use crate::config::Kind;

    let name = record.path.name.as_str();
    match record.path.kind {
        Kind::Fleet => tables.configuration.fleet = Default::default(),
        Kind::Team => tables.teams.remove(name),
        Kind::Route => tables.routes.remove(name),
        Kind::Key => tables.tenants.remove(name),
        Kind::Exception => {}
    }
}
