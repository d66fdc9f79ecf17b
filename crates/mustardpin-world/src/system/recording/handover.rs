//! Hands records over to their new homes and mirrors as the epoch changes.

use std::collections::VecDeque;

use crate::{
    clock::Millis,
    id::{NodeId, RecordKey},
    message::record::{Batch, Gap, Message},
    system::recording::{
        mirroring::merge,
        turn::{Handed, Turn, has_hash},
    },
    table::record::{Record, State as RecordState},
    world::{Tick, World},
};

/// The records on their way to one node.
#[derive(Debug)]
pub(super) struct Outbox {
    to: NodeId,
    full: bool,
    gaps: Vec<Gap>,
    waiting: VecDeque<RecordKey>,
    /// The batch that has not been acknowledged.
    sent: Option<Batch>,
    /// When it was last sent.
    sent_at: Millis,
    number: u32,
}

impl Outbox {
    /// Whether everything has been acknowledged.
    pub(super) fn is_done(&self) -> bool {
        self.sent.is_none()
    }
}

/// Opens an outbox for each member of the epoch that has just begun. What a receiver should have
/// from the epoch before is left out, if this node had handed over everything to it then.
pub(super) fn begin(world: &mut World, tick: &mut Tick) {
    let own = world.identity.node();
    let state = &mut world.systems.recording;
    let last = std::mem::take(&mut state.outboxes);
    let turn = &state.turn;
    let members = turn.epoch.members.iter().map(|member| member.node);
    let receivers: Vec<(NodeId, bool)> = members
        .filter(|&node| node != own)
        .map(|node| (node, last.iter().any(|outbox| outbox.to == node && outbox.is_done())))
        .collect();
    for (to, up_to_date) in receivers {
        let outbox = open(world, tick, to, !up_to_date, 0);
        world.systems.recording.outboxes.push(outbox);
    }
}

fn open(world: &mut World, tick: &mut Tick, to: NodeId, full: bool, number: u32) -> Outbox {
    let turn = &world.systems.recording.turn;
    let records = world.tables.records.iter();
    let waiting: VecDeque<RecordKey> =
        records.filter(|(_, record)| moves(turn, record, to, full)).map(|(key, _)| key).collect();
    let gaps = turn.losses.iter().map(|loss| loss.to_gap(tick.now)).collect();
    let mut outbox = Outbox { to, full, gaps, waiting, sent: None, sent_at: Millis::ZERO, number };
    send_next(world, tick, &mut outbox);
    outbox
}

/// Whether a node needs a record in this epoch and did not in the one before.
fn moves(turn: &Turn, record: &Record, to: NodeId, full: bool) -> bool {
    let hash = record.name.hash();
    record.state != RecordState::Reserved
        && has_hash(&turn.epoch, to, hash)
        && (full || !has_hash(&turn.from, to, hash))
}

fn send_next(world: &mut World, tick: &mut Tick, outbox: &mut Outbox) {
    let options = &world.options.recording;
    let mut entries = Vec::new();
    let mut bytes = 0;
    while entries.len() < options.batch_records && bytes < options.batch_bytes {
        let Some(key) = outbox.waiting.pop_front() else { break };
        let Some(record) = world.tables.records.get(key) else { continue };
        bytes += record.answer_bytes();
        entries.push(record.entry(tick.now));
    }
    let last = outbox.waiting.is_empty();
    let state = &world.systems.recording;
    let turn = &state.turn;
    let batch = Batch {
        epoch: turn.epoch.number,
        number: outbox.number,
        from: turn.from.number,
        settled: state.settled.iter().copied().collect(),
        full: outbox.full,
        complete: last.then(|| outbox.gaps.clone()),
        entries,
    };
    outbox.sent = Some(batch.clone());
    outbox.sent_at = tick.now;
    world.send_to(tick, outbox.to, Message::Handover(batch));
}

/// Takes in a batch that another node handed over.
pub(super) fn receive(world: &mut World, tick: &mut Tick, from: NodeId, batch: Batch) {
    let now = tick.now;
    let turn = &mut world.systems.recording.turn;
    if batch.epoch > turn.epoch.number {
        turn.note(batch.epoch, now);
        return;
    }
    if batch.epoch < turn.epoch.number {
        // This node may have handed over already, so the sender must keep its records.
        return;
    }
    let want_full = !batch.full && batch.from != turn.from.number;
    if let Some(gaps) = batch.complete {
        let handed = Handed { from: batch.from, settled: batch.settled, full: batch.full };
        turn.complete(from, handed, gaps, now);
    }
    for entry in batch.entries {
        merge(world, now, entry);
    }
    let reply = Message::HandedOver { epoch: batch.epoch, number: batch.number, want_full };
    world.send_to(tick, from, reply);
}

/// A receiver has a batch: sends it the next one.
pub(super) fn acknowledged(
    world: &mut World,
    tick: &mut Tick,
    from: NodeId,
    (epoch, number): (u64, u32),
    want_full: bool,
) {
    let state = &mut world.systems.recording;
    if epoch != state.turn.epoch.number {
        return;
    }
    let Some(index) = state.outboxes.iter().position(|outbox| outbox.to == from) else { return };
    let mut outbox = state.outboxes.swap_remove(index);
    if outbox.sent.as_ref().is_some_and(|batch| batch.number == number) {
        outbox.sent = None;
        outbox.number += 1;
        if want_full && !outbox.full {
            outbox = open(world, tick, from, true, outbox.number);
        } else if !outbox.waiting.is_empty() {
            send_next(world, tick, &mut outbox);
        }
    }
    world.systems.recording.outboxes.push(outbox);
    forget_moved(world);
}

/// Drops the records that others keep now.
fn forget_moved(world: &mut World) {
    let state = &world.systems.recording;
    if !state.outboxes.iter().all(Outbox::is_done) || !state.settling.is_empty() {
        return;
    }
    let own = world.identity.node();
    let turn = &state.turn;
    let calls = &world.tables.calls;
    world.tables.records.retain(|record| {
        record.call.is_some_and(|call| calls.get(call).is_some())
            || has_hash(&turn.epoch, own, record.name.hash())
    });
}

/// Sends batches again that have not been acknowledged.
pub(super) fn resend(world: &mut World, tick: &mut Tick) {
    let period = world.options.recording.resend_period;
    let mut outboxes = std::mem::take(&mut world.systems.recording.outboxes);
    for outbox in &mut outboxes {
        let Some(batch) = &outbox.sent else { continue };
        if tick.now < outbox.sent_at + period {
            continue;
        }
        outbox.sent_at = tick.now;
        world.send_to(tick, outbox.to, Message::Handover(batch.clone()));
    }
    world.systems.recording.outboxes = outboxes;
}
