//! Messages that move rate tokens from shard owners to the nodes where requests arrive.

use compact_str::CompactString;

use crate::{clock::Millis, id::StoreVersion};

/// Number of a shard, one of the parts into which a team's rate is split. Each has one owner.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct Shard(pub u8);

/// A request for tokens of one shard.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LeaseRequest {
    /// The team's name.
    pub team: CompactString,
    /// The shard of the team's rate.
    pub shard: Shard,
    /// Number of tokens that the sender could use.
    pub wanted: u32,
}

/// A shard owner's reply to one lease request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LeaseGrant {
    /// Number of granted tokens.
    pub tokens: u32,
    /// If fewer than wanted: time until the next token is available.
    pub next_in: Millis,
}

/// A message about rate tokens.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Message {
    /// Requests tokens from a shard owner.
    Request {
        /// Number chosen by the sender, to match the grants to the requests.
        number: u64,
        /// One request for each shard.
        requests: Vec<LeaseRequest>,
    },
    /// A shard owner's reply. The tokens have left its buckets, and are lost if this message is.
    Grant {
        /// The number of the message with the requests.
        number: u64,
        /// One grant for each request, in the same order.
        grants: Vec<LeaseGrant>,
    },
    /// A node that lost a shard in a new roster passes its bucket to the new owner.
    Handover {
        /// The version of the roster by which the receiver owns the shard.
        roster: StoreVersion,
        /// The team's name.
        team: CompactString,
        /// The shard of the team's rate.
        shard: Shard,
        /// Level of the bucket, in millionths of a token.
        level: u64,
    },
}
