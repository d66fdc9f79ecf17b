//! Messages that spread the configuration.

use crate::{config::Row, id::Revision};

/// A message of the configuration system.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Message {
    /// Asks for the configuration if the receiver has a later revision.
    Want {
        /// The revision that the sender has.
        after: Revision,
    },
    /// The complete configuration at a revision.
    Have {
        /// Revision of the rows.
        revision: Revision,
        /// Every row of the configuration.
        rows: Vec<Row>,
    },
}
