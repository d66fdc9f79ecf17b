//! Messages that spread who is there, and how old the senders' knowledge is.

use compact_str::CompactString;

use crate::{
    clock::Millis,
    id::{NodeId, Revision},
    platform::Announcement,
    table::peer::State,
};

/// What one node believes of another.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Update {
    /// Which node.
    pub node: NodeId,
    /// Grows when the node refutes a suspicion. Of two updates, the higher incarnation wins.
    pub incarnation: u32,
    /// Its state. Within an incarnation, the later state wins.
    pub state: State,
    /// Where it is, for receivers that do not know it yet.
    pub announcement: Option<Announcement>,
}

/// What the sender knows, and how old it is.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Digest {
    /// The revision of its configuration.
    pub revision: Revision,
    /// The number of its epoch.
    pub epoch: u64,
    /// How old its knowledge from the platform is, if it has any that is worth passing on.
    pub platform_age: Option<Millis>,
    /// How old its knowledge from data centres is, where it is worth passing on.
    pub ages: Vec<(CompactString, Millis)>,
}

/// A part of the sender's list of peers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Page {
    /// The peers, in the order of their ids.
    pub updates: Vec<Update>,
    /// Where the next page starts, unless this is the last one.
    pub next: Option<NodeId>,
}

/// A message of the membership system.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Message {
    /// Starts an exchange. The receiver replies at once.
    Ask {
        /// Comes back with the reply.
        number: u64,
        /// Who asks, for receivers that may not know.
        introduction: Option<Announcement>,
        /// What the sender knows.
        digest: Digest,
        /// Recent changes.
        updates: Vec<Update>,
        /// Asks for a page of the list that starts after this node.
        page_after: Option<NodeId>,
    },
    /// Ends an exchange.
    Reply {
        /// The number of the question.
        number: u64,
        /// What the sender knows.
        digest: Digest,
        /// Recent changes.
        updates: Vec<Update>,
        /// The page asked for.
        page: Option<Page>,
    },
    /// Asks the receiver to start an exchange with a node that did not reply to the sender.
    Probe {
        /// Comes back once the node has replied.
        number: u64,
        /// The node in doubt.
        node: NodeId,
    },
    /// The node in doubt has replied.
    Probed {
        /// The number of the question.
        number: u64,
    },
    /// Changes that can't wait for the next exchange.
    Push(Vec<Update>),
}
