//! The first bytes of every connection between nodes, on the control port and the traffic port.
//!
//! The side that connects sends one [`Greeting`]. The other answers with the byte [`ACCEPTED`], or
//! closes the connection if the digest is not that of its own credential or if it is not the node
//! that is wanted.

use derive_more::{Display, Error};
use mustardpin_world::id::{KeyDigest, NodeId};

const MAGIC: [u8; 8] = *b"mpin\0\0\0\x01";

/// Stands for whichever node is at the address. No node draws this id.
const ANY: NodeId = NodeId(0);

/// The length of a greeting, in bytes.
pub const GREETING_BYTES: usize = 56;
/// The answer to a greeting that was accepted.
pub const ACCEPTED: u8 = 0x06;

/// Who connects, and the digest of the fleet's credential.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Greeting {
    /// The node that connects.
    pub from: NodeId,
    /// The node that is wanted; `None` for whichever is at the address.
    pub to: Option<NodeId>,
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
        bytes[8..16].copy_from_slice(&greeting.from.0.to_be_bytes());
        bytes[16..24].copy_from_slice(&greeting.to.unwrap_or(ANY).0.to_be_bytes());
        bytes[24..].copy_from_slice(&greeting.credential.0);
        bytes
    }
}

impl TryFrom<[u8; GREETING_BYTES]> for Greeting {
    type Error = NoGreeting;

    fn try_from(bytes: [u8; GREETING_BYTES]) -> Result<Greeting, NoGreeting> {
        if bytes[..8] != MAGIC {
            return Err(NoGreeting);
        }
        let mut credential = [0; 32];
        credential.copy_from_slice(&bytes[24..]);
        let to = node(&bytes[16..24]);
        Ok(Greeting {
            from: node(&bytes[8..16]),
            to: (to != ANY).then_some(to),
            credential: KeyDigest(credential),
        })
    }
}

/// The node whose id is in these eight bytes.
fn node(bytes: &[u8]) -> NodeId {
    NodeId(bytes.iter().fold(0, |id, &byte| id << 8 | u64::from(byte)))
}
