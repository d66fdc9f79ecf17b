//! Messages by which nodes learn of peers while they have not read the store.

use crate::store::Announcement;

/// A message about nodes of the fleet.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Message {
    /// Announcements of the peers that the sender is connected to.
    Known(Vec<Announcement>),
}
