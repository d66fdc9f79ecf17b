//! Keeps the departures of this node's targets in the store.
//!
//! A departure binds every later process of this node, also if all nodes that have heard of it end at
//! once. So the target gets its acknowledgement only once the store has confirmed the row, and a
//! process that starts opens its target only once it has read the rows. Rows are written without
//! conditions and never change, so a write may be repeated and may take effect late.
//!
//! Peers help while the store doesn't reply to this node: they write the row on its behalf, and one
//! that was connected to the node's predecessor tells a new process what it knows.

mod sweep;

use std::collections::{BTreeMap, BTreeSet};

use compact_str::{CompactString, ToCompactString as _};
use rand::seq::IteratorRandom as _;
use smallvec::SmallVec;

use crate::{
    clock::Millis,
    command::Command,
    event::ReportTicket,
    id::{Epoch, NodeId, PeerKey, StoreVersion, TargetId},
    log::{Entry, Level},
    message::departure::Message,
    store::{Departure, Operation, Reply, Row, RowKey, Ticket, Value},
    system::target,
    table::{departure::MAX_DEPARTURES, pace::Source, peer::Link},
    world::{Tick, World},
};

/// How long a report waits for its departure to be written. Targets give up after a second.
const MAX_REPORT_WAIT: Millis = Millis(800);
/// An operation without a reply is repeated after this time, and after multiples of it once operations
/// have failed.
const HEDGE_DELAY: Millis = Millis(250);
/// The maximum number of operations for one purpose that await a reply.
const MAX_PENDING: usize = 3;
/// The backoff after a failed operation, doubled by each further failure; random jitter of up to the
/// same length is added.
const MIN_BACKOFF: Millis = Millis(100);
/// The maximum number of times that a delay is doubled.
const MAX_DOUBLINGS: u32 = 3;
/// How many peers are asked at once to write a row.
const ASKED_PEERS: usize = 2;
/// The maximum number of rows that this node writes on behalf of peers at the same time.
const MAX_REQUESTED: usize = 64;
/// How long a new process waits for the store before it relies on what a peer knows.
const MAX_READ_WAIT: Millis = Millis(500);

/// Operations for one purpose, repeated until one succeeds.
#[derive(Debug, Default)]
struct Attempts {
    pending: SmallVec<[Ticket; MAX_PENDING]>,
    next_at: Millis,
    failures: u32,
}

impl Attempts {
    fn is_due(&self, now: Millis) -> bool {
        self.pending.len() < MAX_PENDING && now >= self.next_at
    }

    fn record_sent(&mut self, ticket: Ticket, now: Millis) {
        self.pending.push(ticket);
        self.next_at = now + self.delay(HEDGE_DELAY);
    }

    /// Records that an operation failed, if it is one of these.
    fn record_failure(&mut self, ticket: Ticket, now: Millis, jitter: Millis) -> bool {
        let Some(index) = self.pending.iter().position(|&pending| pending == ticket) else {
            return false;
        };
        self.pending.remove(index);
        self.next_at = now + self.delay(MIN_BACKOFF) + jitter;
        self.failures += 1;
        true
    }

    /// A delay, doubled by each failure so far.
    fn delay(&self, first: Millis) -> Millis {
        Millis(first.0 << self.failures.min(MAX_DOUBLINGS))
    }
}

/// The writing of one departure's row.
#[derive(Debug)]
struct Write {
    attempts: Attempts,
    since: Millis,
    /// When peers are asked to write the row.
    ask_at: Millis,
    /// How often they were asked.
    asked: u32,
    /// The peer that has written it.
    by: Option<NodeId>,
}

/// A row that this node writes on behalf of a peer.
#[derive(Debug)]
struct Requested {
    ticket: Ticket,
    by: NodeId,
    process: TargetId,
}

/// A report that is answered once its departure has been written.
#[derive(Debug)]
struct Awaited {
    report: ReportTicket,
    process: TargetId,
    since: Millis,
}

/// State of the system between ticks.
#[derive(Debug, Default)]
pub(crate) struct State {
    started: Option<Millis>,
    /// A peer that was connected to this node's predecessor until that ended.
    remembered_by: Option<NodeId>,
    writes: BTreeMap<TargetId, Write>,
    /// Rows of forgotten departures, which the next write removes.
    forgotten: Vec<RowKey>,
    requested: Vec<Requested>,
    awaited: Vec<Awaited>,
    sweep: sweep::State,
}

pub(super) fn run(world: &mut World, tick: &mut Tick) {
    world.systems.departure.started.get_or_insert(tick.now);
    for index in 0..tick.inbox.store.len() {
        handle_reply(world, tick, index);
    }
    for (from, message) in std::mem::take(&mut tick.inbox.departures) {
        handle_message(world, tick, from, message);
    }
    complete_from_peer(world, tick);
    write(world, tick);
    answer(world, tick);
    sweep::run(world, tick);
}

/// Records that a process beside this node is leaving.
pub(super) fn record(world: &mut World, tick: &mut Tick, process: TargetId) {
    let Some(forgotten) = world.tables.departures.insert(process) else { return };
    let entry = Entry::new(Level::Warn, "departure_forgotten")
        .with("process", forgotten.to_compact_string())
        .with("limit", MAX_DEPARTURES);
    tick.log(entry);
    let node = world.identity.name().clone();
    let key = RowKey::Departure(Departure { node, process: forgotten });
    world.systems.departure.forgotten.push(key);
}

/// Answers a report once the departure of this process has been written, or has not been for too long.
pub(super) fn answer_once_written(
    world: &mut World,
    now: Millis,
    report: ReportTicket,
    process: TargetId,
) {
    let awaited = Awaited { report, process, since: now };
    world.systems.departure.awaited.push(awaited);
}

/// The operation that writes the row of a departure and removes others.
fn write_operation(node: &CompactString, process: TargetId, removals: Vec<RowKey>) -> Operation {
    let departure = Departure { node: node.clone(), process };
    let puts = vec![(RowKey::Departure(departure.clone()), Value::Departure(departure))];
    Operation::Write { expected: Vec::new(), puts, removals }
}

fn epoch(world: &World) -> Epoch {
    world.systems.restore.epoch()
}

fn handle_reply(world: &mut World, tick: &mut Tick, index: usize) {
    let (ticket, reply) = &tick.inbox.store[index];
    let ticket = *ticket;
    let state = &mut world.systems.departure;
    if let Some(index) = state.requested.iter().position(|requested| requested.ticket == ticket) {
        let Requested { by, process, .. } = state.requested.swap_remove(index);
        if let Reply::Written { version } = reply {
            world.send_to(tick, by, Message::Written { process, epoch: version.epoch });
        }
        return;
    }
    let is_of = |write: &Write| write.attempts.pending.contains(&ticket);
    let write = state.writes.iter().find(|(_, write)| is_of(write));
    let Some(process) = write.map(|(&process, _)| process) else { return };
    match reply {
        Reply::Written { version } => {
            world.tables.departures.set_written(process, Some(version.epoch));
        }
        _ => {
            let jitter = world.jitter(MIN_BACKOFF);
            let Some(write) = world.systems.departure.writes.get_mut(&process) else { return };
            write.attempts.record_failure(ticket, tick.now, jitter);
            write.ask_at = write.ask_at.min(tick.now.max(write.since + HEDGE_DELAY));
        }
    }
}

fn handle_message(world: &mut World, tick: &mut Tick, from: NodeId, message: Message) {
    match message {
        Message::Write(process) => write_for(world, tick, from, process),
        Message::Written { process, epoch } => {
            world.tables.departures.set_written(process, Some(epoch));
            if let Some(write) = world.systems.departure.writes.get_mut(&process) {
                write.by = Some(from);
            }
        }
        Message::Remembered { departed } => {
            world.systems.departure.remembered_by = Some(from);
            for process in departed {
                record(world, tick, process);
            }
            close_departed(world, tick, Source::Peer(from));
        }
    }
}

/// Writes a row on behalf of a peer.
fn write_for(world: &mut World, tick: &mut Tick, by: NodeId, process: TargetId) {
    let peer = world.tables.peers.by_node(by).and_then(|peer| world.tables.peers.get(peer));
    let Some(name) = peer.map(|peer| peer.announcement.name.clone()) else { return };
    if world.systems.departure.requested.len() >= MAX_REQUESTED {
        return;
    }
    let operation = write_operation(&name, process, Vec::new());
    let ticket = world.call_store(tick, operation);
    world.systems.departure.requested.push(Requested { ticket, by, process });
}

/// Applies rows of the store's fleet area. `whole_at` is the version of a complete read.
pub(super) fn apply_rows(
    world: &mut World,
    tick: &mut Tick,
    whole_at: Option<StoreVersion>,
    rows: &[Row],
) {
    if whole_at.is_some() {
        drop_absent(world, rows);
    }
    for row in rows {
        let RowKey::Departure(departure) = &row.key else { continue };
        // The key tells everything, so what another program has made of the value does not matter.
        let epoch = row.value.is_some().then_some(row.version.epoch);
        if departure.node == *world.identity.name() {
            if epoch.is_some() {
                record(world, tick, departure.process);
            }
            world.tables.departures.set_written(departure.process, epoch);
        } else if epoch.is_some() {
            world.tables.departures.insert_other(departure.clone());
        } else {
            world.tables.departures.remove_other(departure);
        }
    }
    match whole_at {
        Some(_) => complete(world, tick, Source::Store),
        None => close_departed(world, tick, Source::Store),
    }
}

/// Handles the rows that are missing from a complete read. The store may have lost them, so they are
/// written again.
fn drop_absent(world: &mut World, rows: &[Row]) {
    let found: BTreeSet<&Departure> = rows
        .iter()
        .filter_map(|row| match &row.key {
            RowKey::Departure(departure) => Some(departure),
            _ => None,
        })
        .collect();
    let departures = &mut world.tables.departures;
    let absent: Vec<Departure> =
        departures.others().iter().filter(|other| !found.contains(other)).cloned().collect();
    for departure in absent {
        departures.remove_other(&departure);
    }
    let node = world.identity.name();
    let own: Vec<TargetId> = departures.processes().collect();
    for process in own {
        if !found.contains(&Departure { node: node.clone(), process }) {
            departures.set_written(process, None);
        }
    }
}

/// Relies on a peer that knew this node's predecessor, if the store doesn't reply.
fn complete_from_peer(world: &mut World, tick: &mut Tick) {
    let state = &world.systems.departure;
    let Some(peer) = state.remembered_by else { return };
    if world.tables.departures.is_complete {
        return;
    }
    let rely_at = state.started.unwrap_or(tick.now) + MAX_READ_WAIT;
    if tick.now < rely_at {
        return tick.wake(rely_at);
    }
    complete(world, tick, Source::Peer(peer));
}

fn complete(world: &mut World, tick: &mut Tick, source: Source) {
    close_departed(world, tick, source);
    if std::mem::replace(&mut world.tables.departures.is_complete, true) {
        return;
    }
    world.tables.target.are_departures_known = true;
    let started = world.systems.departure.started.unwrap_or(tick.now);
    let entry = Entry::new(Level::Info, "departures_known")
        .with("count", world.tables.departures.len())
        .with("took", tick.now - started);
    tick.log(source.log(entry, "from"));
}

/// Closes the target if its process is known to be leaving.
fn close_departed(world: &mut World, tick: &mut Tick, source: Source) {
    if world.tables.departures.contains(world.tables.target.process) {
        target::mark_leaving(world, tick, None, source);
    }
}

/// Writes the rows of departures that the store may not have.
fn write(world: &mut World, tick: &mut Tick) {
    let epoch = epoch(world);
    let unwritten: SmallVec<[TargetId; 2]> = world.tables.departures.unwritten(epoch).collect();
    let writes = &mut world.systems.departure.writes;
    if unwritten.is_empty() && writes.is_empty() {
        return;
    }
    let is_over = |process: &TargetId, _: &mut Write| !unwritten.contains(process);
    for (process, write) in writes.extract_if(.., is_over) {
        let entry = Entry::new(Level::Info, "departure_written")
            .with("process", process.to_compact_string())
            .with("took", tick.now - write.since)
            .with("failures", write.attempts.failures);
        tick.log(match write.by {
            Some(peer) => entry.with("by", peer),
            None => entry,
        });
    }
    for process in unwritten {
        write_row(world, tick, process);
    }
}

fn write_row(world: &mut World, tick: &mut Tick, process: TargetId) {
    let now = tick.now;
    let write = world.systems.departure.writes.entry(process).or_insert_with(|| Write {
        attempts: Attempts::default(),
        since: now,
        ask_at: now + HEDGE_DELAY,
        asked: 0,
        by: None,
    });
    let is_due = write.attempts.is_due(now);
    let asks = now >= write.ask_at;
    if asks {
        write.ask_at = now + Millis(HEDGE_DELAY.0 << (write.asked + 1).min(MAX_DOUBLINGS + 1));
        write.asked += 1;
    }
    if is_due {
        let removals = std::mem::take(&mut world.systems.departure.forgotten);
        let operation = write_operation(world.identity.name(), process, removals);
        let ticket = world.call_store(tick, operation);
        if let Some(write) = world.systems.departure.writes.get_mut(&process) {
            write.attempts.record_sent(ticket, now);
        }
    }
    if asks {
        ask_peers(world, tick, process);
    }
    let Some(write) = world.systems.departure.writes.get(&process) else { return };
    tick.wake(write.ask_at);
    if write.attempts.pending.len() < MAX_PENDING {
        tick.wake(write.attempts.next_at);
    }
}

/// Asks some connected peers to write a row.
fn ask_peers(world: &mut World, tick: &mut Tick, process: TargetId) {
    let up = world.tables.peers.iter().filter(|(_, peer)| peer.link == Link::Up);
    let up = up.map(|(key, _)| key);
    let asked: Vec<PeerKey> = up.sample(&mut world.rng, ASKED_PEERS);
    for peer in asked {
        world.send(tick, peer, Message::Write(process));
    }
}

/// Answers the reports whose departures have been written, and those that have waited for too long.
fn answer(world: &mut World, tick: &mut Tick) {
    let epoch = epoch(world);
    for awaited in std::mem::take(&mut world.systems.departure.awaited) {
        let is_recorded = world.tables.departures.is_written(awaited.process, epoch);
        let until = awaited.since + MAX_REPORT_WAIT;
        let is_identified = awaited.process != TargetId::default();
        if !is_recorded && is_identified && tick.now < until {
            tick.wake(until);
            world.systems.departure.awaited.push(awaited);
            continue;
        }
        if !is_recorded {
            let entry = Entry::new(Level::Warn, "departure_unconfirmed")
                .with("process", awaited.process.to_compact_string())
                .with("waited", tick.now - awaited.since);
            tick.log(entry);
        }
        let report = awaited.report;
        tick.commands.push(Command::AnswerReport { report, is_recorded });
    }
}
