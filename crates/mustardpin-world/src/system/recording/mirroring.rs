//! Keeps copies of records: the mirror's part, and the end of runs.

use crate::{
    clock::Millis,
    id::{NodeId, RecordKey},
    message::record::{self, Entry, Message, Name, Reply},
    refusal::{Reason, Refusal},
    request::Verdict,
    system::{
        finish,
        recording::{admission, turn::pair},
    },
    table::{
        call::Stage,
        record::{Record, State as RecordState},
    },
    world::{Tick, World},
};

/// The record that an entry describes; `None` if it withdraws one.
fn record_of(entry: Entry, now: Millis) -> Option<Record> {
    let state = match entry.state {
        record::State::Started => RecordState::Started,
        record::State::Ended(answer) => RecordState::Ended(answer),
        record::State::Withdrawn => return None,
    };
    Some(Record {
        name: entry.name,
        fingerprint: entry.fingerprint,
        runner: entry.runner,
        serial: entry.serial,
        state,
        since: now - entry.age,
        call: None,
        mirrored: 0,
        settled: Default::default(),
    })
}

/// Takes in what another node knows of a request. What says more wins.
pub(super) fn merge(world: &mut World, now: Millis, entry: Entry) {
    let own = world.identity.node();
    let records = &mut world.tables.records;
    let known = records.by_name(entry.name).and_then(|key| Some((key, records.get(key)?)));
    let Some((key, known)) = known else {
        if let Some(record) = record_of(entry, now) {
            records.insert(record);
        }
        return;
    };
    let has_answer = matches!(known.state, RecordState::Ended(Some(_)));
    let ended = matches!(known.state, RecordState::Ended(_));
    let same_run = known.runner == entry.runner && known.serial == entry.serial;
    let says_more = match entry.state {
        record::State::Withdrawn => same_run && !ended,
        _ if known.runner == own && known.state != RecordState::Reserved => false,
        _ if known.runner == entry.runner && known.serial < entry.serial => true,
        _ if known.runner == entry.runner && known.serial > entry.serial => false,
        record::State::Started => known.state == RecordState::Reserved,
        record::State::Ended(Some(_)) => !has_answer,
        record::State::Ended(None) => !ended,
    };
    if !says_more {
        return;
    }
    match record_of(entry, now) {
        Some(record) => {
            records.insert(record);
        }
        None => {
            records.remove(key);
        }
    }
}

/// A home asks this node to keep a record before a run.
pub(super) fn mirror(world: &mut World, tick: &mut Tick, from: NodeId, epoch: u64, entry: Entry) {
    let turn = &mut world.systems.recording.turn;
    turn.note(epoch, tick.now);
    let limit = world.options.recording.record_limit;
    let own = world.identity.node();
    let (name, serial) = (entry.name, entry.serial);
    if epoch != turn.epoch.number || turn.mirror(name.hash()) != Some(own) {
        return;
    }
    let records = &mut world.tables.records;
    let known = records.by_name(name).and_then(|key| records.get(key));
    let reply = match known {
        Some(known) if known.runner != from || known.state != RecordState::Started => {
            Reply::Known(known.entry(tick.now))
        }
        Some(known) if known.serial > serial => return,
        None if records.len() >= 2 * limit => return,
        _ => {
            if let Some(record) = record_of(entry, tick.now) {
                records.insert(record);
            }
            Reply::Kept
        }
    };
    world.send_to(tick, from, Message::Mirrored { epoch, name, serial, reply });
}

/// The mirror has replied: the call goes on, or is answered from the mirror's record.
pub(super) fn mirrored(
    world: &mut World,
    tick: &mut Tick,
    epoch: u64,
    (name, serial): (Name, u64),
    reply: Reply,
) {
    let own = world.identity.node();
    let records = &mut world.tables.records;
    let Some(key) = records.by_name(name) else { return };
    let Some(record) = records.get_mut(key) else { return };
    let waits = record.state == RecordState::Reserved
        && record.runner == own
        && record.serial == serial
        && epoch == world.systems.recording.turn.epoch.number;
    let Some(call) = record.call.filter(|_| waits && record.mirrored != epoch) else { return };
    match reply {
        Reply::Kept => {
            record.mirrored = epoch;
            world.systems.recording.mirroring.retain(|&waiting| waiting != key);
            world.tables.calls.advance(call, Stage::Queued, tick.now);
        }
        Reply::Known(entry) => {
            records.remove(key);
            merge(world, tick.now, entry);
            admission::repeat(world, tick, call, name);
        }
    }
}

/// A runner tells how a run has ended.
pub(super) fn settle(world: &mut World, tick: &mut Tick, from: NodeId, entry: Entry) {
    let (name, serial) = (entry.name, entry.serial);
    let withdrawn = entry.state == record::State::Withdrawn;
    merge(world, tick.now, entry);
    if !withdrawn {
        world.send_to(tick, from, Message::Settled { name, serial });
    }
}

/// The receiver of a settled record has it.
pub(super) fn settled(world: &mut World, from: NodeId, (name, serial): (Name, u64)) {
    let records = &mut world.tables.records;
    let Some(key) = records.by_name(name) else { return };
    let Some(record) = records.get_mut(key) else { return };
    if record.serial == serial && !record.settled.contains(&from) {
        record.settled.push(from);
    }
    let Some(record) = world.tables.records.get(key) else { return };
    if receivers(world, record).next().is_none() {
        world.systems.recording.settling.retain(|&settling| settling != key);
    }
}

/// The nodes that keep a record beside this one and have not acknowledged its end.
fn receivers<'a>(world: &World, record: &'a Record) -> impl Iterator<Item = NodeId> + use<'a> {
    let own = world.identity.node();
    let pair = pair(&world.systems.recording.turn.epoch, record.name.hash());
    pair.into_iter().flatten().filter(move |&node| node != own && !record.settled.contains(&node))
}

/// Tells the home and the mirror how a run has ended, until they acknowledge it.
pub(super) fn spread(world: &mut World, tick: &mut Tick, key: RecordKey) -> bool {
    let Some(record) = world.tables.records.get(key) else { return false };
    let entry = record.entry(tick.now);
    let receivers: Vec<NodeId> = receivers(world, record).collect();
    for &to in &receivers {
        world.send_to(tick, to, Message::Settle(entry.clone()));
    }
    !receivers.is_empty()
}

/// Tells the mirror that a record is withdrawn. Says it once: a later record of the same runner
/// replaces one that was not withdrawn.
pub(super) fn withdraw(world: &mut World, tick: &mut Tick, record: &Record) {
    let entry = Entry { state: record::State::Withdrawn, ..record.entry(tick.now) };
    let receivers: Vec<NodeId> = receivers(world, record).collect();
    for to in receivers {
        world.send_to(tick, to, Message::Settle(entry.clone()));
    }
}

/// Asks the mirror to keep a reserved record.
pub(super) fn ask_mirror(world: &mut World, tick: &mut Tick, key: RecordKey) {
    let Some(record) = world.tables.records.get(key) else { return };
    let turn = &world.systems.recording.turn;
    let epoch = turn.epoch.number;
    let entry = record.entry(tick.now);
    if let Some(to) = turn.mirror(record.name.hash()) {
        world.send_to(tick, to, Message::Mirror { epoch, entry });
    }
}

/// Sends again what has not been acknowledged, and gives up on mirrors that do not reply.
pub(super) fn resend(world: &mut World, tick: &mut Tick) {
    let retention = world.tables.configuration.fleet.record_retention;
    let period = world.options.recording.resend_period;
    for key in std::mem::take(&mut world.systems.recording.settling) {
        let Some(since) = world.tables.records.get(key).map(|record| record.since) else {
            continue;
        };
        if tick.now < since + period || tick.now < since + retention && spread(world, tick, key) {
            world.systems.recording.settling.push(key);
        }
    }
    for key in std::mem::take(&mut world.systems.recording.mirroring) {
        let Some(record) = world.tables.records.get(key) else { continue };
        let Some(call) = record.call.filter(|_| record.state == RecordState::Reserved) else {
            continue;
        };
        if tick.now >= record.since + world.options.recording.mirror_timeout {
            let refusal = Refusal::not_run(Reason::MirrorUnavailable)
                .after(world.options.recording.mirror_timeout);
            finish::run(world, tick, call, Verdict::Refuse(refusal));
            continue;
        }
        if tick.now >= record.since + period {
            ask_mirror(world, tick, key);
        }
        world.systems.recording.mirroring.push(key);
    }
}
