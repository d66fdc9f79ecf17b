//! The first bytes of every connection between nodes, on the control port and the traffic port.
//!
//! The side that connects sends one [`Greeting`]; the other closes the connection unless the
//! digest is that of its own credential.

use derive_more::{Display, Error};
use mustardpin_world::id::{KeyDigest, NodeId};

const MAGIC: [u8; 8] = *b"mpin\0\0\0\x01";

/// The length of a greeting, in bytes.
pub const GREETING_BYTES: usize = 48;

/// Who connects, and the digest of the fleet's credential.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Greeting {
    /// The node that connects.
    pub node: NodeId,
    /// The digest of the fleet's credential. Compared in constant time.
    pub credential: KeyDigest,
}

/// The bytes are no greeting of this protocol and version.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Error)]
#[display("the bytes are no greeting of this protocol and version")]
pub struct NoGreeting;

impl From<Greeting> for [u8; GREETING_BYTES] {
    fn from(greeting: Greeting) -> [u8; GREETING_BYTES] {
        let mut bytes = [0; GREETING_BYTES];
        bytes[..8].copy_from_slice(&MAGIC);
        bytes[8..16].copy_from_slice(&greeting.node.0.to_be_bytes());
        bytes[16..].copy_from_slice(&greeting.credential.0);
        bytes
    }
}

impl TryFrom<[u8; GREETING_BYTES]> for Greeting {
    type Error = NoGreeting;

    fn try_from(bytes: [u8; GREETING_BYTES]) -> Result<Greeting, NoGreeting> {
        if bytes[..8] != MAGIC {
            return Err(NoGreeting);
        }
        let mut node = [0; 8];
        node.copy_from_slice(&bytes[8..16]);
        let mut credential = [0; 32];
        credential.copy_from_slice(&bytes[16..]);
        Ok(Greeting { node: NodeId(u64::from_be_bytes(node)), credential: KeyDigest(credential) })
    }
}
