//! What a world is told.

use compact_str::CompactString;

use crate::{
    config,
    id::{CallKey, NodeId, Revision},
    message::Message,
    platform,
    refusal::Reason,
    request::{ForwardEnd, Pressure, Request, RunEnd},
};

/// What the own target says of itself. A hint: it may lag or mislead.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct TargetReport {
    /// How many requests it can run at once, by its own account.
    pub slots: Option<u32>,
    /// Whether it says it is healthy.
    pub healthy: bool,
    /// Whether it is draining and wants no new requests.
    pub draining: bool,
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
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// A request arrived.
    Arrived(Request),
    /// A request was refused before the world could be told of it.
    Refused(Reason),
    /// The caller of a call has gone, or its answer was broken off.
    CallerGone(CallKey),
    /// The own target ended a run.
    RunEnded(CallKey, RunEnd),
    /// A peer ended a call that was passed to it.
    ForwardEnded {
        /// The call.
        call: CallKey,
        /// How it ended.
        end: ForwardEnd,
        /// What the peer's answer said of its service.
        pressure: Option<Pressure>,
    },
    /// A peer gave back retries that were lent with a call. Comes before the call's end.
    RetriesReturned {
        /// The call.
        call: CallKey,
        /// How many were left.
        retries: u32,
    },
    /// A message from a peer.
    Peer {
        /// Who sent it.
        from: NodeId,
        /// What it says.
        message: Message,
    },
    /// A message could not be delivered to a peer.
    Undelivered {
        /// Who did not get it.
        to: NodeId,
    },
    /// The platform replied.
    Platform(platform::Ticket, platform::Reply),
    /// The own target announced itself or reported.
    Target(TargetReport),
    /// The connection to the own target was lost, or it stopped announcing itself.
    TargetLost,
    /// An operator proposed a change.
    Proposed(ProposalTicket, Proposal),
    /// A seed address from the settings answered.
    SeedFound(platform::Announcement),
    /// The process was asked to stop.
    Stop,
}
