//! The size of control messages on the network.

use mustardpin_wire::frame::{self, Head};
use mustardpin_world::message::Message;

/// Bytes of each message beside its frame: a TCP/IP header with options, and the one that
/// acknowledges it (2 × 52).
const OVERHEAD: usize = 104;

/// What a message takes on the network, in bytes.
pub(crate) fn of(message: &Message) -> u64 {
    let mut frame = Vec::new();
    let written = frame::encode(&mut frame, &Head::Message(message.clone().into()), &[]);
    // A message that no frame holds is not sent at all.
    if written.is_ok() { (OVERHEAD + frame.len()) as u64 } else { 0 }
}
