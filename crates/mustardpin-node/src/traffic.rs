//! The traffic side: accepts HTTP requests, sends them to the local target or to peers, and returns
//! the responses.
//!
//! Requests in progress are rows of one table, `exchanges::Exchanges`. Connection tasks insert
//! requests and send an event to the control thread; `dispatch` executes the control thread's
//! commands in batches; run tasks and peer link tasks report how attempts ended. A response that
//! needs no decision goes to its caller at once, and the control thread is notified afterwards.

mod backlog;
mod body;
mod budget;
mod caller;
mod connections;
mod dispatch;
mod exchange;
mod exchanges;
mod http2;
mod intake;
mod link;
mod listener;
mod outbox;
mod reports;
mod response;
mod sender;
mod target;

use std::time::Duration;

use mustardpin_world::{
    Millis,
    command::TargetAddress,
    config::CallerLimits,
    event::ReportTicket,
    id::NodeId,
    message::Message,
    request::{Forward, Load, Run, Ticket, Verdict},
    store::Announcement,
};

pub use self::{
    dispatch::Dispatcher,
    exchanges::{Exchanges, Setup},
    link::{Credentials, discover, idle_ping_timeout},
    listener::{ListenerKind, Stage, serve},
};

/// The delay before accepting again after `accept` failed, mostly because file descriptors ran out.
pub const ACCEPT_BACKOFF: Duration = Duration::from_millis(50);

/// A command of the control thread to the traffic side.
#[derive(Debug, Clone, PartialEq)]
pub enum TrafficCommand {
    /// Send the request to the local target.
    Run(Run),
    /// Forward the request to a peer.
    Forward(Forward),
    /// Send the final response to the caller. No further command about the request follows.
    Finish {
        /// The request to finish.
        ticket: Ticket,
        /// Whether to return the target's response or a refusal.
        verdict: Verdict,
        /// The number of retries left, reported to the peer that forwarded the request.
        retries: u32,
    },
    /// Stop the request's attempt in progress.
    Cancel(Ticket),
    /// Send a message to a peer.
    Send {
        /// The peer that receives the message.
        to: NodeId,
        /// The message to send.
        message: Message,
    },
    /// Maintain a connection to this peer.
    OpenLink(Announcement),
    /// Close the connection to this peer, once no request is in progress over it, and stop
    /// reconnecting.
    CloseLink(NodeId),
    /// Answer a report of a departure.
    AnswerReport {
        /// The report to answer.
        report: ReportTicket,
        /// Whether the departure has been recorded.
        is_recorded: bool,
    },
    /// Set the address of the local target; `None` if there is no target.
    Target(Option<TargetAddress>),
    /// Set the load that is reported with every response to a peer.
    Publish {
        /// The load to report.
        load: Load,
        /// Whether to send it to all connected peers immediately.
        urgent: bool,
    },
    /// Set the limits that apply to callers' requests.
    CallerLimits(CallerLimits),
    /// Set whether readiness checks succeed.
    Ready(bool),
    /// Begin draining: close callers' connections as they become idle.
    CloseIdle,
    /// Exit the process once all connections have ended.
    Exit {
        /// Connections that are still open at this point in time are aborted.
        by: Millis,
    },
}

/// The interface of the traffic side to the control thread.
pub trait Traffic: Send {
    /// Executes commands in order, without blocking.
    fn execute(&mut self, commands: Vec<TrafficCommand>);
}
