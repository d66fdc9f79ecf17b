//! Messages of the records of non-repeatable requests.

use mustardpin_world::message::record;
use serde::{Deserialize, Serialize};

use crate::peer::Error;

/// A message of the records of non-repeatable requests.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum Message {}

impl From<record::Message> for Message {
    fn from(message: record::Message) -> Message {
        match message {}
    }
}

impl TryFrom<Message> for record::Message {
    type Error = Error;

    fn try_from(message: Message) -> Result<record::Message, Error> {
        match message {}
    }
}
