//! Events: what happens outside a world and is passed to its next tick.

use compact_str::CompactString;

use crate::{
    clock::Millis,
    config,
    id::{NodeId, Revision},
    message::Message,
    notice::Notice,
    refusal::Reason,
    request::{ForwardEnd, Load, Request, RunEnd, Ticket},
    store::{self, Announcement},
};

/// A report of this node's target about itself. Its load is a hint: it may be out of date or wrong.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct TargetReport {
    /// The address that it listens on, as `IP:port`.
    pub address: CompactString,
    /// Its instance id; empty if it has none.
    pub instance: CompactString,
    /// When its process started, by its own clock; zero if not reported.
    pub started: Millis,
    /// Grows with each report of one process; zero if reports aren't numbered.
    pub sequence: u64,
    /// How many requests it reports that it can run at once.
    pub slots: Option<u32>,
    /// Whether it reports itself as healthy.
    pub healthy: bool,
    /// Whether it is draining and takes no new requests.
    pub draining: bool,
    /// The remaining warm-up time, in which it is slower than usual after its start.
    pub warm_up: Millis,
    /// How many requests it reports that it is running.
    pub running: Option<u32>,
}

/// A change of the configuration that an operator proposes through the administration API.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Proposal {
    /// The change id. Chosen by the operator's command and kept when it retries the change.
    pub id: CompactString,
    /// The revision that the change is based on.
    pub expected: Revision,
    /// Rows to write.
    pub rows: Vec<config::Row>,
    /// The paths of the rows to remove.
    pub removals: Vec<config::Path>,
}

/// Matches a proposal with its reply.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct ProposalTicket(pub u64);

/// Matches a report of a departure with its answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct ReportTicket(pub u64);

/// Something that happened outside the world.
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// A request arrived.
    Arrived(Request),
    /// The traffic side refused a request by itself, without passing it to the world.
    Refused(Reason),
    /// The caller of a request disconnected, or the response to it was aborted.
    CallerGone(Ticket),
    /// A run on this node's target ended.
    RunEnded(Ticket, RunEnd),
    /// A response could not be used. One of this node's target began, and was malformed or
    /// truncated, belonged to another request, or was cancelled before its end. One that a peer
    /// passed on was malformed.
    ResponseUnusable,
    /// A request that was forwarded to a peer ended.
    ForwardEnded {
        /// The ticket of the request.
        ticket: Ticket,
        /// How the request ended.
        end: ForwardEnd,
        /// How many of the retries lent with it are unused.
        retries: u32,
    },
    /// A peer reported the load of its target.
    Load {
        /// The peer that reported it.
        from: NodeId,
        /// The reported load.
        load: Load,
    },
    /// A message from a peer.
    Peer {
        /// The peer that sent it.
        from: NodeId,
        /// The message.
        message: Message,
    },
    /// A peer announced itself: it connected to this node, or replied at an address that was tried.
    PeerSeen(Announcement),
    /// A connection to a peer was established.
    LinkUp {
        /// The announcement of the peer at the other end.
        peer: Announcement,
        /// The revision of the peer's configuration.
        revision: Revision,
    },
    /// A peer stopped replying to pings on an open connection, or replies again.
    LinkSilent {
        /// The peer's id.
        peer: NodeId,
        /// Whether it stopped replying.
        silent: bool,
    },
    /// The connection to a peer ended, or couldn't be established.
    LinkDown {
        /// The peer's id.
        peer: NodeId,
        /// Whether the connection was refused, or another node accepted it: the peer no longer
        /// runs at its address.
        refused: bool,
    },
    /// The store replied to the operation with this ticket.
    Store(store::Ticket, store::Reply),
    /// This node's target announced itself or sent a report.
    Target(TargetReport),
    /// A target reported that it is leaving, or deregistered: it takes no more requests for the life
    /// of its process.
    TargetLeft {
        /// The instance id of the target that reported it.
        instance: CompactString,
        /// When its process started, by its own clock; `None` if not reported.
        started: Option<Millis>,
        /// The report that [`crate::Command::AnswerReport`] answers, if its sender waits.
        report: Option<ReportTicket>,
    },
    /// A response of this node's target states something about the target. Precedes the end of the
    /// run, and the response itself where that is sent on as it arrives.
    TargetNotice {
        /// The request that it is a response to.
        ticket: Ticket,
        /// The instance id of the target that sent it.
        instance: CompactString,
        /// What the response states.
        notice: Notice,
    },
    /// The connection to this node's target was lost, or the target stopped announcing itself.
    TargetLost,
    /// An operator proposed a change.
    Proposed(ProposalTicket, Proposal),
    /// The settings were reloaded. These options replace the current ones.
    Reloaded(crate::Options),
    /// A lag probe of the traffic side, with the time at which it was due.
    LagProbe(Millis),
    /// The process was asked to stop.
    Stop,
}
