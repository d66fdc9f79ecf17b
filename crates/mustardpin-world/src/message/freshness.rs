//! Messages about the age of a node's data from the store.

use crate::{
    clock::Millis,
    id::{Revision, StoreVersion},
};

/// A message about the age of data from the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Message {
    /// Asks for the age of the receiver's data.
    Query {
        /// Number chosen by the sender, to match the reply to the query.
        number: u64,
    },
    /// Reports the age of the sender's data.
    Reply {
        /// The number of the query.
        number: u64,
        /// Age of the sender's configuration.
        age: Millis,
        /// Revision of the sender's configuration.
        revision: Revision,
        /// Age of the sender's rows of nodes and roster.
        fleet_age: Millis,
        /// Version of the sender's roster.
        roster: StoreVersion,
    },
}
