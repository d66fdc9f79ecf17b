//! The systems, and the order in which they run each tick.

mod completion;
mod configuration;
mod drain;
mod ejection;
mod epoch;
mod finish;
mod freshness;
mod intake;
mod limit;
mod membership;
mod permission;
mod placement;
mod pressure;
mod proposal;
mod queueing;
mod rating;
pub(crate) mod recording;
mod registration;
mod resend;
mod retry;
mod routing;
mod screening;
mod validation;

use crate::{
    event::{Event, Proposal, ProposalTicket, TargetReport},
    id::{CallKey, NodeId},
    message::{self, Message},
    options::Options,
    platform,
    refusal::Reason,
    request::{ForwardEnd, Pressure, Request, RunEnd},
    world::{Tick, World},
};

/// What the systems remember from tick to tick beside the tables.
#[derive(Debug)]
pub(crate) struct State {
    pub(crate) last_ticket: platform::Ticket,
    pub(crate) configuration: configuration::State,
    pub(crate) drain: drain::State,
    pub(crate) epoch: epoch::State,
    pub(crate) freshness: freshness::State,
    pub(crate) limit: limit::State,
    pub(crate) membership: membership::State,
    pub(crate) pressure: pressure::State,
    pub(crate) proposal: proposal::State,
    pub(crate) queueing: queueing::State,
    pub(crate) rating: rating::State,
    pub(crate) recording: recording::State,
    pub(crate) registration: registration::State,
    pub(crate) retry: retry::State,
    pub(crate) screening: screening::State,
}

impl State {
    /// The state before the first tick, with the policies that the options choose.
    pub(crate) fn new(options: &Options) -> State {
        State {
            last_ticket: platform::Ticket::default(),
            configuration: configuration::State::default(),
            drain: drain::State::default(),
            epoch: epoch::State::default(),
            freshness: freshness::State::default(),
            limit: limit::State::new(&options.limit),
            membership: membership::State::default(),
            pressure: pressure::State::default(),
            proposal: proposal::State::default(),
            queueing: queueing::State::new(&options.queueing),
            rating: rating::State::default(),
            recording: recording::State::default(),
            registration: registration::State::default(),
            retry: retry::State::new(&options.retry),
            screening: screening::State::default(),
        }
    }
}

/// The events of one tick, sorted by the system that reads them.
#[derive(Debug, Default)]
pub(crate) struct Inbox {
    pub(crate) arrived: Vec<Request>,
    pub(crate) refused: Vec<Reason>,
    pub(crate) callers_gone: Vec<CallKey>,
    pub(crate) runs_ended: Vec<(CallKey, RunEnd)>,
    pub(crate) forwards_ended: Vec<(CallKey, ForwardEnd, Option<Pressure>)>,
    pub(crate) membership: Vec<(NodeId, message::membership::Message)>,
    pub(crate) configuration: Vec<(NodeId, message::configuration::Message)>,
    pub(crate) epoch: Vec<(NodeId, message::epoch::Message)>,
    pub(crate) share: Vec<(NodeId, message::share::Message)>,
    pub(crate) records: Vec<(NodeId, message::record::Message)>,
    pub(crate) quarantine: Vec<(NodeId, message::quarantine::Message)>,
    pub(crate) retries_returned: Vec<(CallKey, u32)>,
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
                Event::Refused(reason) => inbox.refused.push(reason),
                Event::CallerGone(call) => inbox.callers_gone.push(call),
                Event::RunEnded(call, end) => inbox.runs_ended.push((call, end)),
                Event::ForwardEnded { call, end, pressure } => {
                    inbox.forwards_ended.push((call, end, pressure));
                }
                Event::Peer { from, message } => inbox.sort_message(from, message),
                Event::RetriesReturned { call, retries } => {
                    inbox.retries_returned.push((call, retries));
                }
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

    fn sort_message(&mut self, from: NodeId, message: Message) {
        match message {
            Message::Membership(message) => self.membership.push((from, message)),
            Message::Configuration(message) => self.configuration.push((from, message)),
            Message::Epoch(message) => self.epoch.push((from, message)),
            Message::Share(message) => self.share.push((from, message)),
            Message::Record(message) => self.records.push((from, message)),
            Message::Quarantine(message) => self.quarantine.push((from, message)),
        }
    }
}

/// Runs every system once. Knowledge comes first, then what has ended, then what has arrived.
pub(crate) fn run(world: &mut World, tick: &mut Tick) {
    drain::run(world, tick);
    configuration::run(world, tick);
    membership::run(world, tick);
    epoch::run(world, tick);
    freshness::run(world, tick);
    proposal::run(world, tick);
    registration::run(world, tick);
    limit::run(world, tick);
    ejection::run(world, tick);
    pressure::run(world, tick);
    screening::observe(world, tick);
    retry::run(world, tick);
    completion::run(world, tick);
    intake::run(world, tick);
    rating::run(world, tick);
    routing::run(world, tick);
    screening::run(world, tick);
    recording::run(world, tick);
    queueing::run(world, tick);
    pressure::publish(world, tick);
    retry::report(world, tick);
    drain::leave(world, tick);
}
