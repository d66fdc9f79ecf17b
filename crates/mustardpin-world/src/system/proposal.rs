//! Writes operators' changes to the store and replies once their outcome is known.
//!
//! Each attempt first reads the store, to find whether the change is already written, which other
//! changes were written meanwhile and what the change refers to. Then a single transaction writes
//! the whole change, on condition that the head row has not changed. If the reply is lost, another
//! read shows the outcome: the head row holds the change's id or not.

use std::collections::VecDeque;

use crate::{
    clock::Millis,
    command::Command,
    config::{ChangeError, Record},
    event::{Proposal, ProposalTicket},
    id::{Revision, StoreVersion},
    store::{Area, Head, Operation, Refused, Reply, RowKey, Ticket, Value},
    system::{configuration, validation},
    world::{Tick, World},
};

/// The maximum number of change ids in the head row.
const MAX_RECENT_CHANGES: usize = 64;

/// What an open proposal waits for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Wait {
    /// The time of the next attempt.
    Until(Millis),
    /// The store's reply to the read.
    Read(Ticket),
    /// The store's reply to the transaction.
    Write(Ticket),
}

/// A proposal whose outcome is not known yet.
#[derive(Debug)]
struct Open {
    ticket: ProposalTicket,
    proposal: Proposal,
    since: Millis,
    wait: Wait,
}

/// State of the system between ticks.
#[derive(Debug, Default)]
pub(crate) struct State {
    open: VecDeque<Open>,
}

pub(super) fn run(world: &mut World, tick: &mut Tick) {
    for (ticket, proposal) in std::mem::take(&mut tick.inbox.proposals) {
        let wait = Wait::Until(tick.now);
        world.systems.proposal.open.push_back(Open { ticket, proposal, since: tick.now, wait });
    }
    for _ in 0..world.systems.proposal.open.len() {
        let Some(mut open) = world.systems.proposal.open.pop_front() else { break };
        match advance(world, tick, &mut open) {
            Some(outcome) => tick.commands.push(Command::ReplyToProposal(open.ticket, outcome)),
            None => world.systems.proposal.open.push_back(open),
        }
    }
}

/// Advances a proposal as far as possible in this tick. Returns the outcome once it is known.
fn advance(
    world: &mut World,
    tick: &mut Tick,
    open: &mut Open,
) -> Option<Result<Revision, ChangeError>> {
    let timeout = world.options.configuration.proposal_timeout;
    if tick.now - open.since >= timeout {
        return Some(Err(ChangeError::StoreUnavailable));
    }
    tick.wake(open.since + timeout);
    match open.wait {
        Wait::Until(at) if tick.now < at => tick.wake(at),
        Wait::Until(_) => open.wait = Wait::Read(read(world, tick)),
        Wait::Read(ticket) => match reply_to(tick, ticket)? {
            // What a restore of the store has lost is written again before any new change.
            Reply::Changes { .. } if configuration::is_incomplete(world) => {
                schedule_retry(world, tick, open);
            }
            Reply::Changes { .. } => return attempt(world, tick, open),
            _ => schedule_retry(world, tick, open),
        },
        Wait::Write(ticket) => match reply_to(tick, ticket)? {
            Reply::Written { version } => {
                let (version, revision) = (*version, Revision::from(*version));
                apply(world, &open.proposal, version);
                return Some(Ok(revision));
            }
            Reply::Refused(Refused::Forbidden) => return Some(Err(ChangeError::ReadOnly)),
            _ => open.wait = Wait::Read(read(world, tick)),
        },
    }
    None
}

fn read(world: &mut World, tick: &mut Tick) -> Ticket {
    world.call_store(tick, Operation::Read(Area::Configuration))
}

fn reply_to(tick: &Tick, ticket: Ticket) -> Option<&Reply> {
    let replies = tick.inbox.store.iter();
    replies.filter(|(request, _)| *request == ticket).map(|(_, reply)| reply).next()
}

fn schedule_retry(world: &World, tick: &mut Tick, open: &mut Open) {
    let at = tick.now + world.options.configuration.settle_period;
    open.wait = Wait::Until(at);
    tick.wake(at);
}

/// Validates a proposal against the configuration that was just read, and writes it if it is valid.
fn attempt(
    world: &mut World,
    tick: &mut Tick,
    open: &mut Open,
) -> Option<Result<Revision, ChangeError>> {
    let configuration = &world.tables.configuration;
    let proposal = &open.proposal;
    if configuration.recent.contains(&proposal.id) {
        return Some(Ok(revision_of(world, proposal)));
    }
    if proposal.expected != configuration.revision {
        return Some(Err(conflict(world, proposal.expected)));
    }
    if let Err(error) = validation::check(&world.tables, proposal) {
        return Some(Err(error));
    }
    let operation = transaction(world, proposal);
    open.wait = Wait::Write(world.call_store(tick, operation));
    None
}

fn transaction(world: &World, proposal: &Proposal) -> Operation {
    let configuration = &world.tables.configuration;
    let mut recent = configuration.recent.clone();
    recent.push(proposal.id.clone());
    let surplus = recent.len().saturating_sub(MAX_RECENT_CHANGES);
    recent.drain(..surplus);
    let head = Head { recent, epoch: world.systems.restore.epoch() };
    let written = proposal
        .rows
        .iter()
        .map(|row| (RowKey::Configuration(row.path()), Value::Configuration(row.clone())));
    let puts = written.chain([(RowKey::Head, Value::Head(head))]).collect();
    let removals = proposal.removals.iter().cloned().map(RowKey::Configuration).collect();
    Operation::Write { expected: vec![(RowKey::Head, configuration.head)], puts, removals }
}

/// Applies a written change on this node without waiting for the store to send it.
fn apply(world: &mut World, proposal: &Proposal, version: StoreVersion) {
    let revision = Revision::from(version);
    let written = proposal.rows.iter().map(|row| (row.path(), Some(row.clone())));
    let removed = proposal.removals.iter().map(|path| (path.clone(), None));
    for (path, row) in written.chain(removed) {
        world.tables.apply_record(Record { path, revision, row });
    }
    let configuration = &mut world.tables.configuration;
    if version > configuration.head {
        configuration.head = version;
        configuration.recent.push(proposal.id.clone());
    }
    configuration.revision = configuration.revision.max(revision);
}

/// The revision at which a change was written: that of its records, unless later changes replaced
/// them all.
fn revision_of(world: &World, proposal: &Proposal) -> Revision {
    let configuration = &world.tables.configuration;
    if configuration.recent.last() == Some(&proposal.id) {
        return Revision::from(configuration.head);
    }
    let written = proposal.rows.iter().map(|row| row.path());
    let paths = written.chain(proposal.removals.iter().cloned());
    let revisions = paths.filter_map(|path| configuration.records.get(&path));
    revisions.map(|record| record.revision).min().unwrap_or(Revision::from(configuration.head))
}

fn conflict(world: &World, expected: Revision) -> ChangeError {
    let configuration = &world.tables.configuration;
    let changed = configuration.records.values().filter(|record| record.revision > expected);
    ChangeError::Conflict {
        expected,
        actual: configuration.revision,
        changed: changed.map(|record| record.path.clone()).collect(),
    }
}
