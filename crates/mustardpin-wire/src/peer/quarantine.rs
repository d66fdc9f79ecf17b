//! Messages of the quarantine.

use mustardpin_world::message::quarantine;
use serde::{Deserialize, Serialize};

use crate::peer::Error;

/// A message of the quarantine.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum Message {}

impl From<quarantine::Message> for Message {
    fn from(message: quarantine::Message) -> Message {
        match message {}
    }
}

impl TryFrom<Message> for quarantine::Message {
    type Error = Error;

    fn try_from(message: Message) -> Result<quarantine::Message, Error> {
        match message {}
    }
}
