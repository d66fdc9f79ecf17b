//! Messages that spread the epoch.

use compact_str::CompactString;

use crate::id::{NodeId, Revision};

/// A node that holds shares and homes in an epoch.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Member {
    /// Who.
    pub node: NodeId,
    /// Its data centre's name.
    pub data_centre: CompactString,
    /// The service its target belongs to.
    pub service: CompactString,
}

/// Who holds shares and homes, as agreed through the platform.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Epoch {
    /// Grows by one with each epoch.
    pub number: u64,
    /// The platform's revision of this epoch.
    pub revision: Revision,
    /// The members, ordered by node.
    pub members: Vec<Member>,
}

/// A message about the epoch.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Message {
    /// Asks for the epoch, if the receiver has a later one.
    Want {
        /// The sender's epoch.
        number: u64,
    },
    /// The sender's epoch.
    Have(Epoch),
}
