//! What a world wants done.

use crate::{
    clock::Millis,
    config::{self, ChangeError},
    event::ProposalTicket,
    id::{NodeId, Revision},
    log::Entry,
    message::Message,
    request::{Forward, Load, Run, Ticket, Verdict},
    store::{self, Announcement},
};

/// Where the own target is.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TargetAddress {
    /// Where it listens, as `IP:port`.
    pub address: compact_str::CompactString,
    /// Its id, if it has one.
    pub instance: compact_str::CompactString,
}

/// Something to be done outside the world.
#[derive(Debug, Clone, PartialEq)]
pub enum Command {
    /// Send the request to the own target.
    Run(Run),
    /// Pass the request to a peer.
    Forward(Forward),
    /// Answer the caller. The request is over. Not sent for an answer that the traffic side passed
    /// on unasked.
    Finish {
        /// The request.
        ticket: Ticket,
        /// The final word.
        verdict: Verdict,
        /// The retries that are left, for the peer that passed the request on.
        retries: u32,
    },
    /// Stop the run or the forwarded request. Its end follows as an event.
    Cancel(Ticket),
    /// Send a message to a peer. It may get lost.
    Send {
        /// Who gets it.
        to: NodeId,
        /// What it says.
        message: Message,
    },
    /// Keep a connection to this peer from now on.
    OpenLink(Announcement),
    /// Keep no connection to this peer any more.
    CloseLink(NodeId),
    /// Ask the store. A reply follows as an event.
    Store(store::Ticket, store::Operation),
    /// Answer an operator's proposal with the revision it was given, or why it was not accepted.
    ReplyToProposal(ProposalTicket, Result<Revision, ChangeError>),
    /// From now on the own target is here, or nowhere.
    Target(Option<TargetAddress>),
    /// From now on, say this of the own target on every answer to a peer.
    Publish {
        /// What to say.
        load: Load,
        /// Whether to tell peers at once.
        urgent: bool,
    },
    /// From now on, callers may send this.
    CallerLimits(config::CallerLimits),
    /// From now on, say whether the node is ready for callers.
    Ready(bool),
    /// Write a log line.
    Log(Entry),
    /// Tell callers on idle connections to go elsewhere.
    CloseIdle,
    /// The node has finished everything and may exit.
    Exit,
    /// Tick again at this point at the latest.
    Wake(Millis),
}
