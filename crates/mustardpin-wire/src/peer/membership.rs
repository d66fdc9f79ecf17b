//! Messages of the membership system.

use mustardpin_world::message::membership;
use serde::{Deserialize, Serialize};

use crate::peer::Error;

/// A message of the membership system.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum Message {}

impl From<membership::Message> for Message {
    fn from(message: membership::Message) -> Message {
        match message {}
    }
}

impl TryFrom<Message> for membership::Message {
    type Error = Error;

    fn try_from(message: Message) -> Result<membership::Message, Error> {
        match message {}
    }
}
