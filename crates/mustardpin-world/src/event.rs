//! What a world is told.

use compact_str::CompactString;

use crate::{
    clock::Millis,
    config,
    id::{NodeId, Revision},
    message::Message,
    refusal::Reason,
    request::{ForwardEnd, Load, Request, RunEnd, Ticket},
    store::{self, Announcement},
};

/// What the own target says of itself. The load is a hint: it may lag or mislead.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct TargetReport {
    /// Where it listens, as `IP:port`.
    pub address: CompactString,
    /// Its id, if it has one.
    pub instance: CompactString,
    /// When its process started, by its own clock; zero if it does not say.
    pub started: Millis,
    /// Grows with each report of one process; zero if it does not count.
    pub sequence: u64,
    /// How many requests it can run at once, by its own account.
    pub slots: Option<u32>,
    /// Whether it says it is healthy.
    pub healthy: bool,
    /// Whether it is draining and wants no new requests.
    pub draining: bool,
    /// For how much longer it is slower than usual after its start.
    pub warm_up: Millis,
    /// Requests it says it is running.
    pub running: Option<u32>,
}

/// What an operator asks of the node's administration API.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Proposal {
    /// Chosen by the operator's command; the same for a change that is sent again.
    pub id: CompactString,
    /// The revision the operator has seen.
    pub expected: Revision,
    /// Rows to write.
    pub rows: Vec<config::Row>,
    /// Rows to remove.
    pub removals: Vec<config::Path>,
}

/// Matches a proposal with its reply.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct ProposalTicket(pub u64);

/// Something that happened outside the world.
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// A request arrived.
    Arrived(Request),
    /// A request was refused before the world could be told of it.
    Refused(Reason),
    /// The caller of a request has gone, or its answer was broken off.
    CallerGone(Ticket),
    /// The own target ended a run.
    RunEnded(Ticket, RunEnd),
    /// A peer ended a request that was passed to it.
    ForwardEnded {
        /// The request.
        ticket: Ticket,
        /// How it ended.
        end: ForwardEnd,
        /// The retries that were left of those lent with it.
        retries: u32,
    },
    /// A peer said how much its target has to do.
    Load {
        /// Which peer.
        from: NodeId,
        /// What it said.
        load: Load,
    },
    /// A message from a peer.
    Peer {
        /// Who sent it.
        from: NodeId,
        /// What it says.
        message: Message,
    },
    /// A peer has said who it is: it has connected to this node, or was found at an address.
    PeerSeen(Announcement),
    /// A connection to a peer is there.
    LinkUp {
        /// Who is at the other end.
        peer: Announcement,
        /// The revision of its configuration.
        revision: Revision,
    },
    /// A connection to a peer has stopped answering, or answers again.
    LinkSilent {
        /// Which peer.
        peer: NodeId,
        /// Whether it has stopped.
        silent: bool,
    },
    /// The connection to a peer has ended, or could not be made.
    LinkDown {
        /// Which peer.
        peer: NodeId,
        /// Whether the place where it was says that it is not there.
        refused: bool,
    },
    /// The store replied.
    Store(store::Ticket, store::Reply),
    /// The own target announced itself or reported.
    Target(TargetReport),
    /// The own target has said that it takes no requests any more.
    TargetGone {
        /// The id of the target that said so.
        instance: CompactString,
    },
    /// The connection to the own target was lost, or it stopped announcing itself.
    TargetLost,
    /// An operator proposed a change.
    Proposed(ProposalTicket, Proposal),
    /// The settings have changed; the options that may change while the node runs.
    Reloaded(crate::Options),
    /// A lag probe of the traffic side, which was due at this time.
    LagProbe(Millis),
    /// The process was asked to stop.
    Stop,
}
