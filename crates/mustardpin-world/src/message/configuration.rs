//! Messages that spread the configuration.

use crate::{config::Row, id::Revision};

/// A message about the configuration.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Message {
    /// Asks for the configuration if the receiver's is later.
    Want {
        /// The sender's revision.
        after: Revision,
    },
    /// The whole configuration as of a revision.
    Have {
        /// The revision.
        revision: Revision,
        /// Every row.
        rows: Vec<Row>,
    },
}
