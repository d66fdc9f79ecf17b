//! Opens a record for a call before it runs, and closes it when the run has ended.

use crate::{
    id::{CallKey, RecordKey},
    message::record::Name,
    refusal::{Outcome, Reason, Refusal},
    request::{RunEnd, Verdict},
    system::{
        finish,
        placement::{self, RETRY_AFTER_MOVE},
        recording::{
            mirroring,
            turn::{Coverage, coverage},
        },
    },
    table::{
        call::{Call, Stage},
        peer,
        record::{Record, State as RecordState},
    },
    world::{Tick, World},
};

/// Why a call may not start on the target now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(in crate::system) enum Hold {
    /// Its record has to be mirrored again.
    Record,
    /// It is refused.
    Refuse(Refusal),
}

/// Opens a record for a call, answers it from the record of an earlier one, or refuses it.
pub(super) fn admit(world: &mut World, tick: &mut Tick, key: CallKey) {
    let Some(name) = placement::name(&world.tables, key) else {
        return world.tables.calls.advance(key, Stage::Queued, tick.now);
    };
    let hash = name.hash();
    let own = world.identity.node();
    if !world.tables.freshness.fresh {
        return refuse(world, tick, key, Refusal::not_run(Reason::CutOff));
    }
    if world.systems.recording.turn.home(hash) != Some(own) {
        let refusal = Refusal::not_run(Reason::WrongHome).after(RETRY_AFTER_MOVE);
        return refuse(world, tick, key, refusal);
    }
    if reserved_by(world, name) == Some(key) {
        return mirror_first(world, tick, key, name);
    }
    if world.tables.records.by_name(name).is_some() {
        return repeat(world, tick, key, name);
    }
    let refusal = match coverage(world, tick.now, hash) {
        Coverage::Known if world.tables.records.len() < world.options.recording.record_limit => {
            reserve(world, tick, key, name);
            return mirror_first(world, tick, key, name);
        }
        Coverage::Known => Refusal::not_run(Reason::RecordsFull),
        Coverage::Moving => Refusal::not_run(Reason::HomeMoving).after(RETRY_AFTER_MOVE),
        Coverage::Lost => Refusal::unknown(Reason::OutcomeUnknown),
    };
    refuse(world, tick, key, refusal);
}

fn refuse(world: &mut World, tick: &mut Tick, key: CallKey, refusal: Refusal) {
    finish::run(world, tick, key, Verdict::Refuse(refusal));
}

/// The call that has reserved a record and not started yet.
fn reserved_by(world: &World, name: Name) -> Option<CallKey> {
    let record = world.tables.records.get(world.tables.records.by_name(name)?)?;
    record.call.filter(|_| record.state == RecordState::Reserved)
}

fn reserve(world: &mut World, tick: &mut Tick, key: CallKey, name: Name) {
    let state = &mut world.systems.recording;
    let Some(call) = world.tables.calls.get_mut(key) else { return };
    state.last_serial += 1;
    let record = Record {
        name,
        fingerprint: call.fingerprint,
        runner: world.identity.announcement.node,
        serial: state.last_serial,
        state: RecordState::Reserved,
        since: tick.now,
        call: Some(key),
        mirrored: 0,
        settled: Default::default(),
    };
    call.record = Some(world.tables.records.insert(record));
}

/// Has the mirror keep the record; the call waits. Without a mirror it goes on at once.
fn mirror_first(world: &mut World, tick: &mut Tick, key: CallKey, name: Name) {
    let Some(record) = world.tables.records.by_name(name) else { return };
    if world.systems.recording.turn.mirror(name.hash()).is_none() {
        return world.tables.calls.advance(key, Stage::Queued, tick.now);
    }
    world.tables.records.set_state(record, RecordState::Reserved, tick.now);
    world.systems.recording.mirroring.push(record);
    mirroring::ask_mirror(world, tick, record);
}

/// Answers a call from the record of an earlier one.
pub(super) fn repeat(world: &mut World, tick: &mut Tick, key: CallKey, name: Name) {
    let records = &world.tables.records;
    let record = records.by_name(name).and_then(|key| records.get(key));
    let (Some(record), Some(call)) = (record, world.tables.calls.get(key)) else {
        return refuse(world, tick, key, Refusal::unknown(Reason::OutcomeUnknown));
    };
    let verdict = if record.fingerprint != call.fingerprint {
        Verdict::Refuse(Refusal::not_run(Reason::IdempotencyKeyReused))
    } else {
        match &record.state {
            RecordState::Ended(Some(answer)) => Verdict::Replay(answer.clone()),
            RecordState::Ended(None) => Verdict::Refuse(Refusal {
                reason: Reason::AnswerNotRecorded,
                outcome: Outcome::Run,
                retry_after: None,
            }),
            _ if is_running(world, record) => {
                Verdict::Refuse(Refusal::unknown(Reason::InProgress).after(RETRY_AFTER_MOVE))
            }
            _ => Verdict::Refuse(Refusal::unknown(Reason::OutcomeUnknown)),
        }
    };
    finish::run(world, tick, key, verdict);
}

/// Whether the run of a record may still end with an answer.
fn is_running(world: &World, record: &Record) -> bool {
    let tables = &world.tables;
    if record.runner == world.identity.node() {
        return record.call.is_some_and(|call| tables.calls.get(call).is_some());
    }
    let peer = tables.peers.by_node(record.runner).and_then(|peer| tables.peers.get(peer));
    peer.is_some_and(|peer| peer.state != peer::State::Dead)
}

/// Asked right before a call goes to the target: from now on it may have run.
pub(in crate::system) fn start(
    world: &mut World,
    tick: &mut Tick,
    key: CallKey,
) -> Result<(), Hold> {
    let Some(name) = placement::name(&world.tables, key) else { return Ok(()) };
    let tables = &mut world.tables;
    let Some(record_key) = tables.calls.get(key).and_then(|call| call.record) else {
        return Err(Hold::Record);
    };
    let record = tables
        .records
        .get(record_key)
        .filter(|record| record.call == Some(key) && record.state == RecordState::Reserved);
    let Some(record) = record else {
        return Err(Hold::Refuse(Refusal::unknown(Reason::OutcomeUnknown)));
    };
    let turn = &world.systems.recording.turn;
    if !tables.freshness.fresh {
        return Err(Hold::Refuse(Refusal::not_run(Reason::CutOff)));
    }
    if turn.home(name.hash()) != Some(world.identity.announcement.node) {
        let refusal = Refusal::not_run(Reason::HomeMoving).after(RETRY_AFTER_MOVE);
        return Err(Hold::Refuse(refusal));
    }
    if record.mirrored != turn.epoch.number && turn.mirror(name.hash()).is_some() {
        return Err(Hold::Record);
    }
    tables.records.set_state(record_key, RecordState::Started, tick.now);
    Ok(())
}

/// A run has ended: keeps the answer, or withdraws the record if no byte was sent.
pub(in crate::system) fn run_ended(world: &mut World, tick: &mut Tick, key: CallKey, end: &RunEnd) {
    let Some(record_key) = record_of(world, key) else { return };
    let tables = &mut world.tables;
    if let Some(record) = tables.records.get_mut(record_key) {
        record.call = None;
    }
    match end {
        RunEnd::Answered { answer, .. } => {
            let limit = world.options.recording.answer_bytes_limit;
            tables.records.set_state(record_key, RecordState::Ended(answer.clone()), tick.now);
            tables.records.trim_answers(limit);
            if mirroring::spread(world, tick, record_key) {
                world.systems.recording.settling.push(record_key);
            }
        }
        RunEnd::Declined | RunEnd::NotSent => withdraw(world, tick, record_key),
        RunEnd::Broken | RunEnd::Cancelled => {}
    }
}

/// The record that a call runs under, if it is still the call's own.
fn record_of(world: &World, key: CallKey) -> Option<RecordKey> {
    let record = world.tables.calls.get(key)?.record?;
    let own = world.tables.records.get(record)?.call == Some(key);
    own.then_some(record)
}

fn withdraw(world: &mut World, tick: &mut Tick, key: RecordKey) {
    let Some(record) = world.tables.records.remove(key) else { return };
    mirroring::withdraw(world, tick, &record);
}

/// A call is over: a record under which nothing was sent is withdrawn.
pub(in crate::system) fn release(world: &mut World, tick: &mut Tick, key: CallKey, call: &Call) {
    let Some(record_key) = call.record else { return };
    let Some(record) = world.tables.records.get_mut(record_key) else { return };
    if record.call != Some(key) {
        return;
    }
    record.call = None;
    if record.state == RecordState::Reserved {
        withdraw(world, tick, record_key);
    }
}
