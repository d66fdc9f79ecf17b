//! Lets a non-repeatable request run at most once.
//!
//! The home of a request in the present epoch is the only node that runs it. It reserves a record,
//! has the mirror keep a copy, and only then lets the run begin. Any run thus needs both nodes in
//! the same epoch, so either of them can tell the next epoch's home what may have run.

mod admission;
mod handover;
mod mirroring;
mod turn;

use std::collections::{BTreeMap, BTreeSet};

pub(super) use self::admission::{Hold, release, run_ended, start};
use self::{handover::Outbox, turn::Turn};
use crate::{
    clock::Millis,
    id::{NodeId, RecordKey},
    message::{epoch::Epoch, record},
    table::{call::Stage, record::State as RecordState},
    world::{Tick, World},
};

/// The time between two searches for records whose retention has passed.
const SWEEP_PERIOD: Millis = Millis(1_000);

/// What the system remembers from tick to tick beside the records.
#[derive(Debug, Default)]
pub(crate) struct State {
    turn: Turn,
    /// Epochs known, with the members of the own service alone.
    epochs: BTreeMap<u64, Epoch>,
    /// The epochs in which this node knew all earlier runs that it had to know.
    settled: BTreeSet<u64>,
    /// Members of earlier epochs whose records have not come, and since when.
    missing_since: BTreeMap<NodeId, Millis>,
    /// Since when nobody can tell who the members of an earlier epoch were.
    unknown_since: Option<Millis>,
    outboxes: Vec<Outbox>,
    last_serial: u64,
    /// Reserved records that wait for the mirror.
    mirroring: Vec<RecordKey>,
    /// Ended records that the home or the mirror has not acknowledged.
    settling: Vec<RecordKey>,
    next_resend: Millis,
    next_want: Millis,
    next_sweep: Millis,
}

pub(super) fn run(world: &mut World, tick: &mut Tick) {
    for (from, message) in std::mem::take(&mut tick.inbox.records) {
        receive(world, tick, from, message);
    }
    turn::run(world, tick);
    for call in world.tables.calls.take(Stage::Recording) {
        admission::admit(world, tick, call);
    }
    resend(world, tick);
    sweep(world, tick);
}

fn receive(world: &mut World, tick: &mut Tick, from: NodeId, message: record::Message) {
    match message {
        record::Message::Mirror { epoch, entry } => {
            mirroring::mirror(world, tick, from, epoch, entry);
        }
        record::Message::Mirrored { epoch, name, serial, reply } => {
            mirroring::mirrored(world, tick, epoch, (name, serial), reply);
        }
        record::Message::Settle(entry) => mirroring::settle(world, tick, from, entry),
        record::Message::Settled { name, serial } => {
            mirroring::settled(world, from, (name, serial));
        }
        record::Message::Handover(batch) => handover::receive(world, tick, from, batch),
        record::Message::HandedOver { epoch, number, want_full } => {
            handover::acknowledged(world, tick, from, (epoch, number), want_full);
        }
        record::Message::WantMembers { epoch } => turn::tell_members(world, tick, from, epoch),
        record::Message::Members { epoch, members } => turn::learn_members(world, epoch, members),
    }
}

fn resend(world: &mut World, tick: &mut Tick) {
    let state = &world.systems.recording;
    let idle = state.mirroring.is_empty()
        && state.settling.is_empty()
        && state.outboxes.iter().all(Outbox::is_done);
    if idle {
        return;
    }
    if tick.now >= state.next_resend {
        world.systems.recording.next_resend = tick.now + world.options.recording.resend_period;
        mirroring::resend(world, tick);
        handover::resend(world, tick);
    }
    tick.wake(world.systems.recording.next_resend);
}

/// Forgets records whose retention has passed, and answers that take too much room.
fn sweep(world: &mut World, tick: &mut Tick) {
    world.tables.records.trim_answers(world.options.recording.answer_bytes_limit);
    if tick.now < world.systems.recording.next_sweep {
        return;
    }
    world.systems.recording.next_sweep = tick.now + SWEEP_PERIOD;
    let retention = world.tables.configuration.fleet.record_retention;
    let calls = &world.tables.calls;
    world.tables.records.retain(|record| {
        record.state == RecordState::Reserved
            || record.call.is_some_and(|call| calls.get(call).is_some())
            || tick.now < record.since + retention
    });
}

/// Whether a node that leaves has nothing more to hand over.
pub(crate) fn handed_over(world: &World) -> bool {
    let state = &world.systems.recording;
    let node = world.identity.node();
    !state.turn.has(node) && state.settling.is_empty() && state.outboxes.iter().all(Outbox::is_done)
}
