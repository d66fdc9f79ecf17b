//! Messages that spread who is there, while the store does not say.

use crate::store::Announcement;

/// A message about other nodes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Message {
    /// Nodes that the sender is in contact with.
    Known(Vec<Announcement>),
}
