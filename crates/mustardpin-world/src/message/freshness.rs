//! Messages that tell how old a node's knowledge from the store is.

use crate::{
    clock::Millis,
    id::{Revision, StoreVersion},
};

/// A message about the age of knowledge.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Message {
    /// Asks how old the receiver's knowledge is.
    Query {
        /// Matches the answer. Chosen by the sender.
        number: u64,
    },
    /// How old the sender's knowledge is.
    Reply {
        /// The number of the question.
        number: u64,
        /// The age of its knowledge of the configuration.
        age: Millis,
        /// The configuration that it has.
        revision: Revision,
        /// The age of its knowledge of the rows by which nodes find each other.
        fleet_age: Millis,
        /// The roster that it has.
        roster: StoreVersion,
    },
}
