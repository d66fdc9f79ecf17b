//! The systems, and the order in which they run each tick.

mod adoption;
mod completion;
mod configuration;
mod drain;
mod finish;
mod freshness;
mod intake;
mod membership;
mod permission;
mod placement;
mod queueing;
mod rating;
pub(crate) mod recording;
mod routing;
mod screening;
mod sending;

use crate::{
    event::{Event, Proposal, ProposalTicket, TargetReport},
    id::{CallKey, NodeId},
    message::Message,
    platform,
    request::{ForwardEnd, Pressure, Request, RunEnd},
    world::{Tick, World},
};

/// What the systems remember from tick to tick beside the tables.
#[derive(Debug, Default)]
pub(crate) struct State {
    pub(crate) last_ticket: platform::Ticket,
    pub(crate) freshness: freshness::State,
    pub(crate) queueing: queueing::State,
    pub(crate) recording: recording::State,
}

/// The events of one tick, sorted by the system that reads them.
#[derive(Debug, Default)]
pub(crate) struct Inbox {
    pub(crate) arrived: Vec<Request>,
    pub(crate) callers_gone: Vec<CallKey>,
    pub(crate) runs_ended: Vec<(CallKey, RunEnd)>,
    pub(crate) forwards_ended: Vec<(CallKey, ForwardEnd, Option<Pressure>)>,
    pub(crate) messages: Vec<(NodeId, Message)>,
    pub(crate) undelivered: Vec<NodeId>,
    pub(crate) platform: Vec<(platform::Ticket, platform::Reply)>,
    pub(crate) reports: Vec<TargetReport>,
    pub(crate) target_lost: bool,
    pub(crate) proposals: Vec<(ProposalTicket, Proposal)>,
    pub(crate) seeds: Vec<platform::Announcement>,
    pub(crate) stop: bool,
}

impl Inbox {
    /// Sorts events; those of one kind stay in order.
    pub(crate) fn sort(events: Vec<Event>) -> Inbox {
        let mut inbox = Inbox::default();
        for event in events {
            match event {
                Event::Arrived(request) => inbox.arrived.push(request),
                Event::CallerGone(call) => inbox.callers_gone.push(call),
                Event::RunEnded(call, end) => inbox.runs_ended.push((call, end)),
                Event::ForwardEnded { call, end, pressure } => {
                    inbox.forwards_ended.push((call, end, pressure));
                }
                Event::Peer { from, message } => inbox.messages.push((from, message)),
                Event::Undelivered { to } => inbox.undelivered.push(to),
                Event::Platform(ticket, reply) => inbox.platform.push((ticket, reply)),
                Event::Target(report) => inbox.reports.push(report),
                Event::TargetLost => inbox.target_lost = true,
                Event::Proposed(ticket, proposal) => inbox.proposals.push((ticket, proposal)),
                Event::SeedFound(announcement) => inbox.seeds.push(announcement),
                Event::Stop => inbox.stop = true,
            }
        }
        inbox
    }
}

/// Runs every system once. Knowledge comes first, then what has ended, then what has arrived.
pub(crate) fn run(world: &mut World, tick: &mut Tick) {
    configuration::run(world, tick);
    membership::run(world, tick);
    adoption::run(world, tick);
    freshness::run(world, tick);
    completion::run(world, tick);
    intake::run(world, tick);
    rating::run(world, tick);
    routing::run(world, tick);
    screening::run(world, tick);
    recording::run(world, tick);
    queueing::run(world, tick);
    drain::run(world, tick);
}
