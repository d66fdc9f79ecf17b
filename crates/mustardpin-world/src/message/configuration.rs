//! Messages that spread the configuration.

use crate::{config::Delta, id::Revision};

/// A message about the configuration.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Message {
    /// Asks for everything changed after a revision.
    Want {
        /// The sender's revision.
        after: Revision,
    },
    /// Everything changed between two revisions.
    Have(Delta),
}
