//! Operations on the platform's table, and their replies.

use compact_str::CompactString;

use crate::{
    config,
    id::{NodeId, Revision},
    message::epoch::Epoch,
};

/// What an operation's reply is matched by.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct Ticket(pub u64);

/// A node's announcement of itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Announcement {
    /// Who.
    pub node: NodeId,
    /// Its data centre's name.
    pub data_centre: CompactString,
    /// The service its target belongs to.
    pub service: CompactString,
    /// Where peers reach it for control, as `IP:port`.
    pub control_address: CompactString,
    /// Where peers reach it for forwarded requests, as `IP:port`.
    pub traffic_address: CompactString,
}

/// A row of the platform's table, as the world sees it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Row {
    /// A row of the configuration, or its removal.
    Configuration(config::Path, Option<config::Row>),
    /// The last accepted change of the configuration: the ids of recent changes, newest last.
    Head(Vec<CompactString>),
    /// The epoch.
    Epoch(Epoch),
    /// A node's announcement, or its removal.
    Node(NodeId, Option<Announcement>),
}

/// Names a row of the platform's table on which a transaction may depend.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Guard {
    /// The head of the configuration.
    Head,
    /// The epoch.
    Epoch,
}

/// What the world asks of the platform.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Operation {
    /// All rows changed after a revision.
    Changes {
        /// The last revision the node has.
        after: Revision,
    },
    /// Writes all rows, if each guard row is still at its revision (zero: does not exist).
    Transact {
        /// What must still hold.
        guards: Vec<(Guard, Revision)>,
        /// What to write.
        rows: Vec<Row>,
    },
}

/// A row with the revision that last changed it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Versioned {
    /// The revision.
    pub revision: Revision,
    /// The row.
    pub row: Row,
}

/// What the platform answered.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Reply {
    /// All rows changed after the revision asked for, in the order of revisions.
    Changes {
        /// The revision of the whole table.
        upto: Revision,
        /// The rows.
        rows: Vec<Versioned>,
    },
    /// The transaction took effect.
    Accepted {
        /// The revision it was given.
        revision: Revision,
    },
    /// A guard did not hold; nothing was written.
    Conflict,
    /// No answer, or an error: a transaction may have taken effect or not.
    Failed,
}
