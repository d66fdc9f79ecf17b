//! Applies what the platform and peers say of the configuration, and passes it on.
//!
//! A node only ever moves to a higher revision, and only by a delta that starts at its own revision
//! or before it.

use crate::{
    clock::Millis,
    command::{Change, Command},
    config::{Delta, Record},
    id::{NodeId, Revision},
    message::configuration::Message,
    platform::{Reply, Row},
    table::peer,
    world::{Tick, World},
};

/// How many peers a node tells of a change it has just learned of.
const FAN_OUT: usize = 4;
/// Records in one message, except where a single revision has more.
const PAGE: usize = 256;
/// Changes of more records than this are left to the regular exchanges.
const PUSHED_RECORDS: usize = 16;
/// The shortest time between two requests for the same news.
const WANT_PERIOD: Millis = Millis(200);

/// What the system remembers from tick to tick.
#[derive(Debug, Default)]
pub(crate) struct State {
    next_want: Millis,
}

pub(super) fn run(world: &mut World, tick: &mut Tick) {
    let before = world.tables.configuration.revision;
    read_platform(world, tick);
    for (from, message) in std::mem::take(&mut tick.inbox.configuration) {
        match message {
            Message::Want { after } => {
                if after < world.tables.configuration.revision {
                    let delta = world.tables.configuration.delta(after, PAGE);
                    world.send_to(tick, from, Message::Have(delta));
                }
            }
            Message::Have(delta) => receive(world, tick, from, delta),
        }
    }
    spread(world, tick, before);
}

/// Asks a peer for what the node lacks, if the peer is at a later revision.
pub(super) fn notice(world: &mut World, tick: &mut Tick, from: NodeId, revision: Revision) {
    let after = world.tables.configuration.revision;
    if revision <= after || tick.now < world.systems.configuration.next_want {
        return;
    }
    world.systems.configuration.next_want = tick.now + WANT_PERIOD;
    world.send_to(tick, from, Message::Want { after });
}

/// Logs a move to a later revision and tells a few peers of it.
pub(super) fn spread(world: &mut World, tick: &mut Tick, before: Revision) {
    let configuration = &world.tables.configuration;
    if configuration.revision == before {
        return;
    }
    tick.commands.push(Command::Log(Change::Configuration(configuration.revision)));
    let delta = configuration.delta(before, PAGE);
    if delta.records.len() > PUSHED_RECORDS {
        return;
    }
    for peer in world.sample(FAN_OUT, |peer| peer.state == peer::State::Alive) {
        world.send(tick, peer, Message::Have(delta.clone()));
    }
}

fn read_platform(world: &mut World, tick: &Tick) {
    let tables = &mut world.tables;
    for (_, reply) in &tick.inbox.platform {
        let Reply::Changes { upto, rows } = reply else { continue };
        for versioned in rows {
            let revision = versioned.revision;
            match &versioned.row {
                Row::Configuration(path, row) => {
                    let record = Record { path: path.clone(), revision, row: row.clone() };
                    tables.apply_record(record);
                }
                Row::Head(recent) if revision > tables.configuration.head => {
                    tables.configuration.head = revision;
                    tables.configuration.recent = recent.clone();
                }
                _ => continue,
            }
            let configuration = &mut tables.configuration;
            configuration.revision = configuration.revision.max(revision);
        }
        tables.configuration.polled = tables.configuration.polled.max(*upto);
    }
}

fn receive(world: &mut World, tick: &mut Tick, from: NodeId, delta: Delta) {
    let after = world.tables.configuration.revision;
    let is_page = delta.records.len() >= PAGE;
    if delta.after > after {
        return notice(world, tick, from, delta.upto);
    }
    if world.tables.apply_delta(delta) && is_page {
        let after = world.tables.configuration.revision;
        world.send_to(tick, from, Message::Want { after });
    }
}
