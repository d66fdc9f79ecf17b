//! Messages that spread the configuration.

use mustardpin_world::{id::Revision, message::configuration};
use serde::{Deserialize, Serialize};

use crate::{config::Delta, peer::Error};

/// A message about the configuration.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[allow(missing_docs, reason = "mirrors mustardpin_world::message::configuration::Message")]
pub enum Message {
    Want { after: u64 },
    Have(Delta),
}

impl From<configuration::Message> for Message {
    fn from(message: configuration::Message) -> Message {
        match message {
            configuration::Message::Want { after } => Message::Want { after: after.0 },
            configuration::Message::Have(delta) => Message::Have(delta.into()),
        }
    }
}

impl TryFrom<Message> for configuration::Message {
    type Error = Error;

    fn try_from(message: Message) -> Result<configuration::Message, Error> {
        Ok(match message {
            Message::Want { after } => configuration::Message::Want { after: Revision(after) },
            Message::Have(delta) => configuration::Message::Have(delta.try_into()?),
        })
    }
}
