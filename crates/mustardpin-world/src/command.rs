//! Commands: what a world wants executed outside it.

use crate::{
    clock::Millis,
    config::{self, ChangeError},
    event::{ProposalTicket, ReportTicket},
    id::{NodeId, Revision},
    log::Entry,
    message::Message,
    request::{Forward, Load, Run, Ticket, Verdict},
    store::{self, Announcement},
};

/// The address and id of this node's target.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TargetAddress {
    /// The address that it listens on, as `IP:port`.
    pub address: compact_str::CompactString,
    /// Its instance id; empty if it has none.
    pub instance: compact_str::CompactString,
}

/// An action for the code around the world to execute.
#[derive(Debug, Clone, PartialEq)]
pub enum Command {
    /// Send the request to this node's target.
    Run(Run),
    /// Forward the request to a peer.
    Forward(Forward),
    /// Respond to the caller; the request is over. Not issued for a response with a final status,
    /// which the traffic side passes on by itself.
    Finish {
        /// The ticket of the request.
        ticket: Ticket,
        /// The final result, which decides the response.
        verdict: Verdict,
        /// The unused retries, returned to the peer that forwarded the request.
        retries: u32,
    },
    /// Cancel the run or the forwarded request. Its end is reported as an event.
    Cancel(Ticket),
    /// Send a message to a peer. Delivery isn't guaranteed.
    Send {
        /// The peer that receives it.
        to: NodeId,
        /// The message.
        message: Message,
    },
    /// Connect to this peer, and reconnect whenever the connection ends.
    OpenLink(Announcement),
    /// Close the connection to this peer, once no request is in progress over it, and stop
    /// reconnecting.
    CloseLink(NodeId),
    /// Send an operation to the store. Its reply follows as an event with the same ticket.
    Store(store::Ticket, store::Operation),
    /// Reply to an operator's proposal with the revision it was given, or why it was rejected.
    ReplyToProposal(ProposalTicket, Result<Revision, ChangeError>),
    /// Answer a report of a departure.
    AnswerReport {
        /// The report.
        report: ReportTicket,
        /// Whether the departure is in the store. If not, it holds only as long as this process or a
        /// peer that has heard of it.
        is_recorded: bool,
    },
    /// Use this address for this node's target from now on; `None` if there is no target.
    Target(Option<TargetAddress>),
    /// Report this load of this node's target with every response to a peer from now on.
    Publish {
        /// The load to report.
        load: Load,
        /// Whether to send it to all peers at once as well.
        urgent: bool,
    },
    /// Apply these limits to callers' requests from now on.
    CallerLimits(config::CallerLimits),
    /// Report from now on whether the node is ready for callers.
    Ready(bool),
    /// Write a log entry.
    Log(Entry),
    /// Start draining: close callers' connections once they are idle, so that callers connect to
    /// other nodes.
    CloseIdle,
    /// Exit: the node has drained, or the time for that is over.
    Exit {
        /// Connections that are still open at this point in time are aborted.
        by: Millis,
    },
    /// Run the next tick at this point in time at the latest.
    Wake(Millis),
}
