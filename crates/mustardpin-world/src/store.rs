//! Operations on the platform's store, and their replies.
//!
//! The store keeps rows in two areas: the configuration, and the rows by which nodes find each other
//! and remember which targets have left. Every row has the version at which it was last written.

use compact_str::CompactString;

use crate::{
    config,
    id::{Epoch, NodeId, StoreVersion, TargetId},
};

/// Matches an operation with its reply.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct Ticket(pub u64);

/// A node's announcement of itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Announcement {
    /// The node's id, which is new with each start of its process.
    pub node: NodeId,
    /// The node's name. A restarted process keeps it.
    pub name: CompactString,
    /// The name of its data centre.
    pub data_centre: CompactString,
    /// The service its target belongs to.
    pub service: CompactString,
    /// The address at which peers reach it, as `IP:port`.
    pub address: CompactString,
}

/// A member of the roster.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Member {
    /// The node name, as in [`Announcement::name`].
    pub name: CompactString,
    /// The name of its data centre.
    pub data_centre: CompactString,
}

/// The nodes between which the shards of teams' rates are distributed.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Roster {
    /// The members, ordered by data centre and then by name.
    pub members: Vec<Member>,
    /// The latest epoch before which no node used a roster any more when it was proposed.
    pub epoch: Epoch,
    /// The version of the roster that it replaced; zero if it is the first one.
    pub previous: StoreVersion,
    /// The members of the earlier rosters that nodes may still have used when it was written; `None`
    /// if they are not known.
    pub former: Option<Vec<Vec<Member>>>,
}

/// A process of a target that has left, or is leaving. Its row is written once and never changes.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Departure {
    /// The name of the node beside the target.
    pub node: CompactString,
    /// The process of the target.
    pub process: TargetId,
}

/// The last accepted changes of the configuration. Every change writes them.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Head {
    /// The ids of the changes, newest last.
    pub recent: Vec<CompactString>,
    /// The epoch of the newest one.
    pub epoch: Epoch,
}

/// A part of the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Area {
    /// The configuration that operators agree on.
    Configuration,
    /// The announcements of nodes, the roster, and the departures of targets.
    Fleet,
}

/// Identifies a row.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum RowKey {
    /// The announcement of the node with this name.
    Node(CompactString),
    /// The roster.
    Roster,
    /// A departure.
    Departure(Departure),
    /// A row of the configuration.
    Configuration(config::Path),
    /// The ids of the last accepted changes. Every change writes this row, so concurrent changes
    /// conflict on it.
    Head,
}

/// The content of a row.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Value {
    /// A node's announcement.
    Node(Announcement),
    /// The roster.
    Roster(Roster),
    /// A departure.
    Departure(Departure),
    /// A row of the configuration.
    Configuration(config::Row),
    /// The last accepted changes of the configuration.
    Head(Head),
    /// Content that cannot be decoded, since another program wrote it. Nodes never write it.
    Unreadable,
}

/// A row of the store, or its removal.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Row {
    /// Identifies the row.
    pub key: RowKey,
    /// The version of the transaction that wrote or removed it.
    pub version: StoreVersion,
    /// Its content, or `None` if it was removed.
    pub value: Option<Value>,
}

/// Changes of one area.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Changes {
    /// The rows that changed.
    Rows(Vec<Row>),
    /// The whole configuration, where the platform's operators keep it as one document.
    Document(config::Update),
}

/// An operation that the world sends to the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Operation {
    /// Reads all rows of an area.
    Read(Area),
    /// Long poll: returns the rows of an area that change after a version, as soon as there are
    /// any.
    Watch {
        /// The area to watch.
        area: Area,
        /// The store version up to which the node knows the area.
        after: StoreVersion,
        /// How long the store holds the request if nothing changes.
        wait: crate::Millis,
    },
    /// Writes and removes rows in one transaction, if no row that it depends on has changed.
    Write {
        /// The rows that it depends on with their expected versions; number zero means that the
        /// row must not exist.
        expected: Vec<(RowKey, StoreVersion)>,
        /// The rows to write.
        puts: Vec<(RowKey, Value)>,
        /// The rows to remove.
        removals: Vec<RowKey>,
    },
}

/// The store's reply to an operation.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Reply {
    /// Changes of an area, in reply to a read or a watch.
    Changes {
        /// The area that was read.
        area: Area,
        /// Whether the changes hold the complete area, so that a row missing in them doesn't exist.
        whole: bool,
        /// The store version as of which the changes are complete.
        up_to: StoreVersion,
        /// The time on the store's own monotonic clock when it replied, if it sends it.
        clock: Option<crate::Millis>,
        /// The changes.
        changes: Changes,
    },
    /// The store doesn't have the history that the watch needs, or was restored since the version
    /// from which it watches: the area must be read again.
    HistoryGone,
    /// The write took effect.
    Written {
        /// The version of the rows written.
        version: StoreVersion,
    },
    /// A row that the write depended on had changed, or the store was restored since the row was
    /// read; nothing was written.
    Conflict,
    /// The store refused the operation; nothing was done.
    Refused(Refused),
    /// No reply came, or it couldn't be parsed: a write may have taken effect, or still may.
    Lost,
}

impl Reply {
    /// The version of the store that the reply reports, if any.
    pub fn version(&self) -> Option<StoreVersion> {
        match self {
            Reply::Changes { up_to: version, .. } | Reply::Written { version } => Some(*version),
            Reply::HistoryGone | Reply::Conflict | Reply::Refused(_) | Reply::Lost => None,
        }
    }
}

/// Why the store refused an operation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Refused {
    /// The store receives too many operations.
    Busy,
    /// The store is out of service.
    Unavailable,
    /// The node isn't allowed to execute the operation.
    Forbidden,
}
