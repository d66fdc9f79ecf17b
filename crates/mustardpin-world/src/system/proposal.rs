//! Takes operators' changes to the store and answers once their outcome is known.
//!
//! Each attempt first reads the store: that shows whether the change stands already, what came
//! in between, and what it refers to. Only then one transaction, guarded by the head, writes it
//! whole. A lost answer is settled by reading again: the change's id stands in the head or not.

use std::collections::VecDeque;

use crate::{
    clock::Millis,
    command::Command,
    config::{ChangeError, Record},
    event::{Proposal, ProposalTicket},
    id::{Revision, StoreVersion},
    store::{Area, Operation, Refused, Reply, RowKey, Ticket, Value},
    system::validation,
    world::{Tick, World},
};

/// How many ids of changes the head row keeps.
const RECENT: usize = 64;

/// What a proposal waits for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Wait {
    /// The time of the next attempt.
    Until(Millis),
    /// The store's rows.
    Read(Ticket),
    /// The store's answer to the transaction.
    Write(Ticket),
}

/// A change whose outcome is not known.
#[derive(Debug)]
struct Open {
    ticket: ProposalTicket,
    proposal: Proposal,
    since: Millis,
    wait: Wait,
}

/// What the system remembers from tick to tick.
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
            Some(answer) => tick.commands.push(Command::ReplyToProposal(open.ticket, answer)),
            None => world.systems.proposal.open.push_back(open),
        }
    }
}

/// Takes a proposal as far as it goes. Returns the answer for the operator once it is known.
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
            Reply::Changes { .. } => return attempt(world, tick, open),
            _ => pause(world, tick, open),
        },
        Wait::Write(ticket) => match reply_to(tick, ticket)? {
            Reply::Written { version } => {
                let revision = Revision(version.0);
                accept(world, &open.proposal, revision);
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
    replies.filter(|(asked, _)| *asked == ticket).map(|(_, reply)| reply).next()
}

fn pause(world: &World, tick: &mut Tick, open: &mut Open) {
    let at = tick.now + world.options.configuration.settle_period;
    open.wait = Wait::Until(at);
    tick.wake(at);
}

/// Checks a proposal against what the store has just said, and writes it if it stands up.
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
    let surplus = recent.len().saturating_sub(RECENT);
    recent.drain(..surplus);
    let written = proposal
        .rows
        .iter()
        .map(|row| (RowKey::Configuration(row.path()), Value::Configuration(row.clone())));
    let puts = written.chain([(RowKey::Head, Value::Head(recent))]).collect();
    let removals = proposal.removals.iter().cloned().map(RowKey::Configuration).collect();
    Operation::Write { expected: vec![(RowKey::Head, configuration.head)], puts, removals }
}

/// Puts an accepted change in force here at once.
fn accept(world: &mut World, proposal: &Proposal, revision: Revision) {
    let written = proposal.rows.iter().map(|row| (row.path(), Some(row.clone())));
    let removed = proposal.removals.iter().map(|path| (path.clone(), None));
    for (path, row) in written.chain(removed) {
        world.tables.apply_record(Record { path, revision, row });
    }
    let configuration = &mut world.tables.configuration;
    if StoreVersion(revision.0) > configuration.head {
        configuration.head = StoreVersion(revision.0);
        configuration.recent.push(proposal.id.clone());
    }
    configuration.revision = configuration.revision.max(revision);
}

/// The revision that a change was given: that of its records, unless later ones replaced them all.
fn revision_of(world: &World, proposal: &Proposal) -> Revision {
    let configuration = &world.tables.configuration;
    if configuration.recent.last() == Some(&proposal.id) {
        return Revision(configuration.head.0);
    }
    let written = proposal.rows.iter().map(|row| row.path());
    let paths = written.chain(proposal.removals.iter().cloned());
    let revisions = paths.filter_map(|path| configuration.records.get(&path));
    revisions.map(|record| record.revision).min().unwrap_or(Revision(configuration.head.0))
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
