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

impl Epoch {
    /// Whether a node is a member.
    ///
    /// ```
    /// use mustardpin_world::{id::NodeId, message::epoch::Epoch};
    /// assert!(!Epoch::default().contains(NodeId(1)));
    /// ```
    pub fn contains(&self, node: NodeId) -> bool {
        self.members.binary_search_by_key(&node, |member| member.node).is_ok()
    }
}

/// What one epoch changed in the epoch before it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Step {
    /// The number of the epoch it leads to. It starts from the one before.
    pub number: u64,
    /// The platform's revision of the epoch it leads to.
    pub revision: Revision,
    /// Members that are no longer there.
    pub removed: Vec<NodeId>,
    /// Members that are new.
    pub added: Vec<Member>,
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
    /// The steps that lead to the sender's epoch, in order.
    Steps(Vec<Step>),
}
