//! Messages that move rate tokens from keepers to the nodes where requests arrive.

use compact_str::CompactString;

use crate::{clock::Millis, id::StoreVersion};

/// One of the parts into which a team's rate is split. Each has its own keeper.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct Shard(pub u8);

/// Tokens that a node would like to have.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LeaseRequest {
    /// The team's name.
    pub team: CompactString,
    /// Which part of the team's rate.
    pub shard: Shard,
    /// How many tokens the sender could use.
    pub wanted: u32,
}

/// A keeper's answer to a draw, in the same place of its list.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LeaseGrant {
    /// How many tokens.
    pub tokens: u32,
    /// If fewer than wanted: when the next token is due, from now.
    pub next_in: Millis,
}

/// A message about rate tokens.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Message {
    /// Asks a keeper for tokens.
    Request {
        /// Matches the grants. Chosen by the sender.
        number: u64,
        /// What is asked for.
        requests: Vec<LeaseRequest>,
    },
    /// A keeper's reply. The tokens have left its buckets; if this message is lost, so are they.
    Grant {
        /// The number of the draws.
        number: u64,
        /// What is granted.
        grants: Vec<LeaseGrant>,
    },
    /// A keeper that lost a shard in a new roster passes its bucket on.
    Handover {
        /// The version of the roster in which the receiver keeps the shard.
        roster: StoreVersion,
        /// The team's name.
        team: CompactString,
        /// Which part of the team's rate.
        shard: Shard,
        /// What was left in the bucket, in millionths of a token.
        level: u64,
    },
}
