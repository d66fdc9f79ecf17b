//! Messages of the rate shares.

use mustardpin_world::message::share;
use serde::{Deserialize, Serialize};

use crate::peer::Error;

/// A message of the rate shares.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum Message {}

impl From<share::Message> for Message {
    fn from(message: share::Message) -> Message {
        match message {}
    }
}

impl TryFrom<Message> for share::Message {
    type Error = Error;

    fn try_from(message: Message) -> Result<share::Message, Error> {
        match message {}
    }
}
