//! The handshake at the start of every connection between nodes.

use std::{io, time::Duration};

use derive_more::{Display, Error, From};
use mustardpin_wire::peer::handshake::{ACCEPTED, GREETING_BYTES, Greeting, NoGreeting};
use mustardpin_world::id::{KeyDigest, NodeId};
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::TcpStream,
    time,
};

/// How long a handshake may take, with making the connection.
const TIMEOUT: Duration = Duration::from_secs(1);

/// Why a connection between nodes was not made.
#[derive(Debug)]
#[derive(Display, Error, From)]
pub enum Error {
    /// The connection could not be made, or broke.
    #[display("the connection could not be made, or broke")]
    Io(io::Error),
    /// The other side took too long.
    #[display("the other side took too long")]
    Timeout(time::error::Elapsed),
    /// The other side sent something else.
    #[display("the other side speaks another protocol")]
    Protocol(NoGreeting),
    /// The other side does not have the fleet's credential.
    #[display("the other side does not have the fleet's credential")]
    Credential,
    /// The other side wants another node.
    #[display("the other side wants another node")]
    Destination,
}

/// Who this node is, towards other nodes.
#[derive(Debug, Clone, Copy)]
pub struct Identity {
    /// This node.
    pub node: NodeId,
    /// The digest of the fleet's credential.
    pub credential: KeyDigest,
}

impl Identity {
    /// Connects to a node. Without `to`, whichever node is at the address will do.
    ///
    /// # Errors
    ///
    /// If the node cannot be reached within a second, or does not accept the connection.
    pub async fn connect(self, address: &str, to: Option<NodeId>) -> Result<TcpStream, Error> {
        time::timeout(TIMEOUT, self.greet(address, to)).await?
    }

    /// Lets a node in that has connected, and returns which it is.
    ///
    /// # Errors
    ///
    /// If it does not show the fleet's credential within a second.
    pub async fn accept(self, stream: &mut TcpStream) -> Result<NodeId, Error> {
        time::timeout(TIMEOUT, self.admit(stream)).await?
    }

    async fn greet(self, address: &str, to: Option<NodeId>) -> Result<TcpStream, Error> {
        let mut stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        let greeting = Greeting { from: self.node, to, credential: self.credential };
        stream.write_all(&<[u8; GREETING_BYTES]>::from(greeting)).await?;
        if stream.read_u8().await? != ACCEPTED {
            return Err(Error::Protocol(NoGreeting));
        }
        Ok(stream)
    }

    async fn admit(self, stream: &mut TcpStream) -> Result<NodeId, Error> {
        stream.set_nodelay(true)?;
        let mut bytes = [0; GREETING_BYTES];
        stream.read_exact(&mut bytes).await?;
        let greeting = Greeting::try_from(bytes)?;
        if greeting.credential != self.credential {
            return Err(Error::Credential);
        }
        if greeting.to.is_some_and(|to| to != self.node) {
            return Err(Error::Destination);
        }
        stream.write_u8(ACCEPTED).await?;
        Ok(greeting.from)
    }
}
