//! The systems and the order in which they run in each tick.

mod clearance;
mod configuration;
mod deadline;
mod departure;
mod ejection;
mod ending;
mod finish;
mod fleet;
mod freshness;
mod intake;
mod limit;
mod pacing;
mod permission;
mod proposal;
mod quarantine;
mod queueing;
mod rate_limit;
mod registration;
mod resend;
mod restore;
mod retry;
mod roster;
mod routing;
mod shedding;
mod stop;
mod target;
mod validation;

use compact_str::CompactString;

use crate::{
    clock::Millis,
    event::{Event, Proposal, ProposalTicket, ReportTicket, TargetReport},
    id::{NodeId, Revision},
    message::{self, Message},
    notice::Notice,
    options::Options,
    refusal::Reason,
    request::{ForwardEnd, Load, Request, RunEnd, Ticket},
    store::{self, Announcement},
    world::{Tick, World},
};

/// State that the systems keep between ticks besides the tables.
#[derive(Debug)]
pub(crate) struct State {
    pub(crate) last_ticket: store::Ticket,
    pub(crate) configuration: configuration::State,
    pub(crate) departure: departure::State,
    pub(crate) fleet: fleet::State,
    pub(crate) freshness: freshness::State,
    pub(crate) limit: limit::State,
    pub(crate) shedding: shedding::State,
    pub(crate) pacing: pacing::State,
    pub(crate) proposal: proposal::State,
    pub(crate) quarantine: quarantine::State,
    pub(crate) queueing: queueing::State,
    pub(crate) rate_limit: rate_limit::State,
    pub(crate) registration: registration::State,
    pub(crate) restore: restore::State,
    pub(crate) retry: retry::State,
    pub(crate) roster: roster::State,
    pub(crate) stop: stop::State,
}

impl State {
    /// Creates the state before the first tick, with the policies that the options select.
    pub(crate) fn new(options: &Options) -> State {
        State {
            last_ticket: store::Ticket::default(),
            configuration: configuration::State::default(),
            departure: departure::State::default(),
            fleet: fleet::State::default(),
            freshness: freshness::State::default(),
            limit: limit::State::new(&options.limit),
            shedding: shedding::State::default(),
            pacing: pacing::State::default(),
            proposal: proposal::State::default(),
            quarantine: quarantine::State::default(),
            queueing: queueing::State::new(&options.queueing),
            rate_limit: rate_limit::State::default(),
            registration: registration::State::default(),
            restore: restore::State::default(),
            retry: retry::State::new(&options.retry),
            roster: roster::State::default(),
            stop: stop::State::default(),
        }
    }
}

/// A change of the connection to a peer.
#[derive(Debug)]
pub(crate) enum LinkChange {
    Seen(Announcement),
    Up { peer: Announcement, revision: Revision },
    Silent { peer: NodeId, silent: bool },
    Down { peer: NodeId, refused: bool },
}

/// A change of the local target's registration, a notice of it, or its loss.
#[derive(Debug)]
pub(crate) enum TargetChange {
    Reported(TargetReport),
    Left { instance: CompactString, started: Option<Millis>, report: Option<ReportTicket> },
    Noticed { ticket: Ticket, instance: CompactString, notice: Notice },
    Lost,
}

/// The events of one tick, grouped by the system that handles them.
#[derive(Debug, Default)]
pub(crate) struct Inbox {
    pub(crate) arrived: Vec<Request>,
    pub(crate) refused: Vec<Reason>,
    pub(crate) callers_gone: Vec<Ticket>,
    pub(crate) runs_ended: Vec<(Ticket, RunEnd)>,
    /// The number of responses of the local target that could not be used.
    pub(crate) unusable_responses: usize,
    pub(crate) forwards_ended: Vec<(Ticket, ForwardEnd, u32)>,
    pub(crate) loads: Vec<(NodeId, Load)>,
    pub(crate) links: Vec<LinkChange>,
    pub(crate) fleet: Vec<(NodeId, message::fleet::Message)>,
    pub(crate) configuration: Vec<(NodeId, message::configuration::Message)>,
    pub(crate) freshness: Vec<(NodeId, message::freshness::Message)>,
    pub(crate) rate_limits: Vec<(NodeId, message::rate_limit::Message)>,
    pub(crate) shedding: Vec<(NodeId, message::shedding::Message)>,
    pub(crate) quarantine: Vec<(NodeId, message::quarantine::Message)>,
    pub(crate) target_messages: Vec<(NodeId, message::target::Message)>,
    pub(crate) departures: Vec<(NodeId, message::departure::Message)>,
    pub(crate) store: Vec<(store::Ticket, store::Reply)>,
    pub(crate) target: Vec<TargetChange>,
    pub(crate) proposals: Vec<(ProposalTicket, Proposal)>,
    pub(crate) options: Option<Options>,
    pub(crate) lag_probes: Vec<Millis>,
    pub(crate) stop: bool,
}

impl Inbox {
    /// Groups events by kind. Events of one kind keep their order.
    pub(crate) fn sort(events: Vec<Event>) -> Inbox {
        let mut inbox = Inbox::default();
        for event in events {
            match event {
                Event::Arrived(request) => inbox.arrived.push(request),
                Event::Refused(reason) => inbox.refused.push(reason),
                Event::LagProbe(due) => inbox.lag_probes.push(due),
                Event::CallerGone(ticket) => inbox.callers_gone.push(ticket),
                Event::RunEnded(ticket, end) => inbox.runs_ended.push((ticket, end)),
                Event::ResponseUnusable => inbox.unusable_responses += 1,
                Event::ForwardEnded { ticket, end, retries } => {
                    inbox.forwards_ended.push((ticket, end, retries));
                }
                Event::Load { from, load } => inbox.loads.push((from, load)),
                Event::Peer { from, message } => inbox.sort_message(from, message),
                Event::PeerSeen(peer) => inbox.links.push(LinkChange::Seen(peer)),
                Event::LinkUp { peer, revision } => {
                    inbox.links.push(LinkChange::Up { peer, revision });
                }
                Event::LinkSilent { peer, silent } => {
                    inbox.links.push(LinkChange::Silent { peer, silent });
                }
                Event::LinkDown { peer, refused } => {
                    inbox.links.push(LinkChange::Down { peer, refused });
                }
                Event::Store(ticket, reply) => inbox.store.push((ticket, reply)),
                Event::Target(report) => inbox.target.push(TargetChange::Reported(report)),
                Event::TargetLeft { instance, started, report } => {
                    inbox.target.push(TargetChange::Left { instance, started, report });
                }
                Event::TargetNotice { ticket, instance, notice } => {
                    inbox.target.push(TargetChange::Noticed { ticket, instance, notice });
                }
                Event::TargetLost => inbox.target.push(TargetChange::Lost),
                Event::Proposed(ticket, proposal) => inbox.proposals.push((ticket, proposal)),
                Event::Reloaded(options) => inbox.options = Some(options),
                Event::Stop => inbox.stop = true,
            }
        }
        inbox
    }

    fn sort_message(&mut self, from: NodeId, message: Message) {
        match message {
            Message::Fleet(message) => self.fleet.push((from, message)),
            Message::Configuration(message) => self.configuration.push((from, message)),
            Message::Freshness(message) => self.freshness.push((from, message)),
            Message::RateLimit(message) => self.rate_limits.push((from, message)),
            Message::Shedding(message) => self.shedding.push((from, message)),
            Message::Quarantine(message) => self.quarantine.push((from, message)),
            Message::Target(message) => self.target_messages.push((from, message)),
            Message::Departure(message) => self.departures.push((from, message)),
        }
    }
}

/// Applies reloaded options. All systems keep their state, except the concurrency limit if its
/// options changed.
fn reload(world: &mut World, options: Options) {
    if options.limit != world.options.limit {
        world.systems.limit = limit::State::new(&options.limit);
    }
    world.options = options;
}

/// Runs every system once: first those that update the node's knowledge, then those that handle
/// ended calls, then those that handle new requests.
pub(crate) fn run(world: &mut World, tick: &mut Tick) {
    if let Some(options) = tick.inbox.options.take() {
        reload(world, options);
    }
    stop::run(world, tick);
    target::run(world, tick);
    restore::run(world, tick);
    fleet::run(world, tick);
    departure::run(world, tick);
    freshness::run(world, tick);
    configuration::run(world, tick);
    roster::run(world, tick);
    proposal::run(world, tick);
    registration::run(world, tick);
    limit::run(world, tick);
    pacing::run(world, tick);
    ejection::run(world, tick);
    shedding::observe(world, tick);
    quarantine::observe(world, tick);
    retry::run(world, tick);
    ending::run(world, tick);
    deadline::run(world, tick);
    intake::run(world, tick);
    rate_limit::run(world, tick);
    routing::run(world, tick);
    quarantine::run(world, tick);
    queueing::run(world, tick);
    shedding::publish(world, tick);
    stop::drain(world, tick);
}
