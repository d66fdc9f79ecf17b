//! Messages of the rate shares.

use compact_str::CompactString;
use mustardpin_world::{
    Millis,
    message::share::{self, Shard},
};
use serde::{Deserialize, Serialize};

use crate::peer::Error;

/// A message of the rate shares.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[allow(missing_docs, reason = "mirrors mustardpin_world::message::share::Message")]
pub enum Message {
    Draw { draw: u64, team: CompactString, shard: u8, wanted: u32 },
    Grant { draw: u64, tokens: u32, next_in_ms: u64 },
    Handover { epoch: u64, team: CompactString, shard: u8, level: u64 },
}

impl From<share::Message> for Message {
    fn from(message: share::Message) -> Message {
        match message {
            share::Message::Draw { draw, team, shard, wanted } => {
                Message::Draw { draw, team, shard: shard.0, wanted }
            }
            share::Message::Grant { draw, tokens, next_in } => {
                Message::Grant { draw, tokens, next_in_ms: next_in.0 }
            }
            share::Message::Handover { epoch, team, shard, level } => {
                Message::Handover { epoch, team, shard: shard.0, level }
            }
        }
    }
}

impl TryFrom<Message> for share::Message {
    type Error = Error;

    fn try_from(message: Message) -> Result<share::Message, Error> {
        Ok(match message {
            Message::Draw { draw, team, shard, wanted } => {
                share::Message::Draw { draw, team, shard: Shard(shard), wanted }
            }
            Message::Grant { draw, tokens, next_in_ms } => {
                share::Message::Grant { draw, tokens, next_in: Millis(next_in_ms) }
            }
            Message::Handover { epoch, team, shard, level } => {
                share::Message::Handover { epoch, team, shard: Shard(shard), level }
            }
        })
    }
}
