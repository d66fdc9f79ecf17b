//! What a world wants done.

use compact_str::CompactString;
use derive_more::Display;

use crate::{
    clock::Millis,
    config::ChangeError,
    event::ProposalTicket,
    id::{CallKey, NodeId, Revision},
    message::Message,
    platform,
    refusal::Refusal,
    request::{Forward, Pressure, Run, Ticket, Verdict},
};

/// A change of state worth a log line.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub enum Change {
    /// The configuration moved to a later revision.
    #[display("configuration is at revision {_0}")]
    Configuration(Revision),
    /// The epoch moved on.
    #[display("epoch {number} with {members} nodes")]
    Epoch {
        /// Its number.
        number: u64,
        /// How many nodes it has.
        members: usize,
    },
    /// The node became fresh or stopped being fresh.
    #[display("knowledge is {}", if *_0 { "fresh" } else { "out of date: cut off" })]
    Fresh(bool),
    /// The platform became reachable or stopped being reachable.
    #[display("the platform is {}", if *_0 { "reachable" } else { "unreachable" })]
    Platform(bool),
    /// A peer's state changed.
    #[display("node {node} in {data_centre} is {state}")]
    Peer {
        /// Which peer.
        node: NodeId,
        /// Its data centre.
        data_centre: CompactString,
        /// Its state.
        state: &'static str,
    },
    /// The own target's state changed.
    #[display("the target is {_0}")]
    Target(&'static str),
    /// A fingerprint was put into quarantine.
    #[display("requests with fingerprint {_0:016x} are quarantined")]
    Quarantined(u64),
    /// The node is leaving.
    #[display("leaving: finishing {_0} calls")]
    Leaving(usize),
}

/// Something to be done outside the world.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Command {
    /// A request was taken in: from now on the call names it.
    Accepted(Ticket, CallKey),
    /// A request was refused before it became a call.
    Reject(Ticket, Refusal),
    /// Send the call to the own target.
    Run(Run),
    /// Pass the call to a peer.
    Forward(Forward),
    /// Say on the answer to the peer that passed the call on how many of its retries are left.
    /// The last word before the answer's head counts. Comes before the call's
    /// [`Command::Finish`], and whenever the number changes; at first all retries are left that
    /// came with the call.
    ReturnRetries {
        /// The call.
        call: CallKey,
        /// How many are left.
        retries: u32,
    },
    /// Answer the caller. The call is over and its key is free.
    Finish(CallKey, Verdict),
    /// Stop the run or the forwarded call. Its end follows as an event.
    Cancel(CallKey),
    /// Send a message to a peer. It may get lost.
    Send {
        /// Who gets it.
        to: NodeId,
        /// Where, as `IP:port`.
        address: CompactString,
        /// What it says.
        message: Message,
    },
    /// Ask the platform. A reply follows as an event.
    Platform(platform::Ticket, platform::Operation),
    /// Answer an operator's proposal with the revision it was given, or why it was not accepted.
    Answer(ProposalTicket, Result<Revision, ChangeError>),
    /// From now on, say this of the own target on every answer to a peer.
    Publish(Pressure),
    /// Write a log line.
    Log(Change),
    /// Tell callers on idle connections to go elsewhere.
    CloseIdle,
    /// The node has finished everything and may exit.
    Exit,
    /// Tick again at this point at the latest.
    Wake(Millis),
}
