//! The traffic side: takes HTTP requests in, carries them to targets and peers, and whole answers
//! back.
//!
//! Requests in progress are rows of one table, `exchanges::Exchanges`. Tasks for connections put requests
//! into it and tell the control thread; the control thread's orders are carried out in batches by
//! `dispatch`; tasks for runs and for links to peers tell how attempts ended. An answer that needs
//! no decision goes to its caller at once, and the control thread learns of it afterwards.

mod body;
mod caller;
mod dispatch;
mod exchange;
mod exchanges;
mod http2;
mod intake;
mod link;
mod listener;
mod outbox;
mod response;
mod sender;
mod target;

use std::time::Duration;

use mustardpin_world::{
    command::TargetAddress,
    config::Callers,
    id::NodeId,
    message::Message,
    request::{Forward, Load, Run, Ticket, Verdict},
    store::Announcement,
};

pub use self::{
    dispatch::Dispatcher,
    exchanges::{Exchanges, Setup},
    link::{Credentials, discover},
    listener::{ListenerKind, Stage, serve},
};

/// The pause after a connection could not be accepted, mostly for want of file descriptors.
pub const ACCEPT_BACKOFF: Duration = Duration::from_millis(50);

/// What the control thread wants done.
#[derive(Debug, Clone, PartialEq)]
pub enum TrafficCommand {
    /// Send the request to the own target.
    Run(Run),
    /// Pass the request to a peer.
    Forward(Forward),
    /// CallerResponse the caller. No further order about the request follows.
    Finish {
        /// The request.
        ticket: Ticket,
        /// The final word.
        verdict: Verdict,
        /// The retries that are left, for a peer that passed the request on.
        retries: u32,
    },
    /// Stop the attempt in progress.
    Cancel(Ticket),
    /// Send a message to a peer.
    Send {
        /// Who gets it.
        to: NodeId,
        /// What it says.
        message: Message,
    },
    /// Keep a connection to this peer.
    Link(Announcement),
    /// Keep no connection to this peer any more.
    Unlink(NodeId),
    /// The own target is here, or nowhere.
    Target(Option<TargetAddress>),
    /// Say this on every answer to a peer.
    Publish {
        /// What to say.
        load: Load,
        /// Whether to tell peers at once.
        urgent: bool,
    },
    /// Callers may send this.
    Callers(Callers),
    /// Say whether the node is ready for callers.
    Ready(bool),
    /// Tell callers on idle connections to go elsewhere.
    CloseIdle,
    /// End the process once all connections have ended.
    Exit,
}

/// The traffic side as a whole, as the control thread sees it.
pub trait Traffic: Send {
    /// Carries orders out, in their order, without waiting.
    fn execute(&mut self, orders: Vec<TrafficCommand>);
}
