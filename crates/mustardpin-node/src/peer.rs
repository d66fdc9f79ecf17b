//! Control messages between nodes.

mod handshake;
mod seed;
mod server;
mod tarpc;

use mustardpin_world::{id::NodeId, message::Message};

pub use self::{
    handshake::{Error, Identity},
    seed::find,
    server::serve,
    tarpc::Tarpc,
};

/// Sends messages to peers.
pub trait Link: Send {
    /// Sends a message without waiting. It may get lost; a failure that is noticed comes as an
    /// event.
    fn send(&mut self, to: NodeId, address: &str, message: Message);
}
