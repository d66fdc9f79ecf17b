//! Control messages between nodes, carried by tarpc.
//!
//! Each family of messages mirrors the world's module of the same name in a file of its own.

pub mod configuration;
pub mod epoch;
pub mod handshake;
pub mod membership;
pub mod quarantine;
pub mod record;
pub mod share;

use derive_more::{Display, Error, From};
use mustardpin_world::{id::NodeId, message, platform};
use serde::{Deserialize, Serialize};

use crate::config;

pub use self::service::{Control, ControlClient};

/// The largest control frame, in bytes.
pub const MAX_FRAME_BYTES: usize = 1024 * 1024;

/// Why a message could not be read.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error, From)]
pub enum Error {
    /// A row of the configuration could not be read.
    #[display("a row of the configuration could not be read")]
    Config(config::Error),
}

#[allow(missing_docs, reason = "the macro writes items without comments")]
mod service {
    use super::{Announcement, Message};

    /// What a node offers its peers.
    #[tarpc::service]
    pub trait Control {
        /// Takes messages in. The sender is the one that the handshake named.
        async fn deliver(messages: Vec<Message>);
        /// Who the node is, for those that know only its address.
        async fn announcement() -> Announcement;
    }
}

/// A message between two nodes.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[allow(missing_docs, reason = "mirrors mustardpin_world::message::Message")]
pub enum Message {
    Membership(membership::Message),
    Configuration(configuration::Message),
    Epoch(epoch::Message),
    Share(share::Message),
    Record(record::Message),
    Quarantine(quarantine::Message),
}

#[allow(unreachable_code, reason = "some families have no messages yet")]
impl From<message::Message> for Message {
    fn from(message: message::Message) -> Message {
        match message {
            message::Message::Membership(message) => Message::Membership(message.into()),
            message::Message::Configuration(message) => Message::Configuration(message.into()),
            message::Message::Epoch(message) => Message::Epoch(message.into()),
            message::Message::Share(message) => Message::Share(message.into()),
            message::Message::Record(message) => Message::Record(message.into()),
            message::Message::Quarantine(message) => Message::Quarantine(message.into()),
        }
    }
}

#[allow(unreachable_code, reason = "some families have no messages yet")]
impl TryFrom<Message> for message::Message {
    type Error = Error;

    fn try_from(message: Message) -> Result<message::Message, Error> {
        Ok(match message {
            Message::Membership(message) => message::Message::Membership(message.try_into()?),
            Message::Configuration(message) => message::Message::Configuration(message.try_into()?),
            Message::Epoch(message) => message::Message::Epoch(message.try_into()?),
            Message::Share(message) => message::Message::Share(message.try_into()?),
            Message::Record(message) => message::Message::Record(message.try_into()?),
            Message::Quarantine(message) => message::Message::Quarantine(message.try_into()?),
        })
    }
}

/// A node's announcement of itself.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[allow(missing_docs, reason = "mirrors mustardpin_world::platform::Announcement")]
pub struct Announcement {
    pub node: u64,
    pub row: crate::platform::Announcement,
}

impl From<platform::Announcement> for Announcement {
    fn from(announcement: platform::Announcement) -> Announcement {
        Announcement { node: announcement.node.0, row: announcement.into() }
    }
}

impl From<Announcement> for platform::Announcement {
    fn from(announcement: Announcement) -> platform::Announcement {
        announcement.row.of(NodeId(announcement.node))
    }
}
