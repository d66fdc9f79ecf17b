//! Messages of the quarantine.

use mustardpin_world::{
    Millis,
    message::quarantine::{self, Mark},
};
use serde::{Deserialize, Serialize};

use crate::peer::Error;

/// A message of the quarantine.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[allow(missing_docs, reason = "mirrors mustardpin_world::message::quarantine::Message")]
pub enum Message {
    Suspected(Vec<u64>),
    Cleared(u64),
    Quarantined { mark: u64, left_ms: u64 },
}

impl From<quarantine::Message> for Message {
    fn from(message: quarantine::Message) -> Message {
        match message {
            quarantine::Message::Suspected(marks) => {
                Message::Suspected(marks.into_iter().map(|mark| mark.0).collect())
            }
            quarantine::Message::Cleared(mark) => Message::Cleared(mark.0),
            quarantine::Message::Quarantined { mark, left } => {
                Message::Quarantined { mark: mark.0, left_ms: left.0 }
            }
        }
    }
}

impl TryFrom<Message> for quarantine::Message {
    type Error = Error;

    fn try_from(message: Message) -> Result<quarantine::Message, Error> {
        Ok(match message {
            Message::Suspected(marks) => {
                quarantine::Message::Suspected(marks.into_iter().map(Mark).collect())
            }
            Message::Cleared(mark) => quarantine::Message::Cleared(Mark(mark)),
            Message::Quarantined { mark, left_ms } => {
                quarantine::Message::Quarantined { mark: Mark(mark), left: Millis(left_ms) }
            }
        })
    }
}
