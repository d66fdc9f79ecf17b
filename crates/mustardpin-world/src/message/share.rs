//! Messages that move rate tokens from keepers to the nodes where requests arrive.

use compact_str::CompactString;

use crate::clock::Millis;

/// One of the parts into which a team's rate is split. Each has its own keeper.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct Shard(pub u8);

/// A message about rate tokens.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Message {
    /// Asks a keeper for tokens.
    Draw {
        /// Matches the grant. Chosen by the sender.
        draw: u64,
        /// The team's name.
        team: CompactString,
        /// Which part of the team's rate.
        shard: Shard,
        /// How many tokens the sender could use.
        wanted: u32,
    },
    /// A keeper's reply. The tokens have left its bucket; if this message is lost, so are they.
    Grant {
        /// The draw it answers.
        draw: u64,
        /// How many tokens.
        tokens: u32,
        /// If fewer than wanted: when the next token is due, from now.
        next_in: Millis,
    },
    /// A keeper that lost a shard in a new epoch passes its bucket on.
    Handover {
        /// The epoch in which the receiver keeps the shard. The sender kept it in the one before.
        epoch: u64,
        /// The team's name.
        team: CompactString,
        /// Which part of the team's rate.
        shard: Shard,
        /// What was left in the bucket, in millionths of a token.
        level: u64,
    },
}
