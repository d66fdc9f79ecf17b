//! Computes the size of control messages on the network.

use mustardpin_wire::frame::{self, Head};
use mustardpin_world::message::Message;

/// Bytes per message in addition to its frame: a TCP/IP header with options, and the header of the
/// segment that acknowledges it (2 × 52).
const TCP_OVERHEAD_BYTES: usize = 104;

/// Returns the bytes that a message takes on the network.
pub(crate) fn network_bytes(message: &Message) -> u64 {
    let mut frame = Vec::new();
    let result = frame::encode(&mut frame, &Head::Message(message.clone().into()), &[]);
    // A message that doesn't fit into a frame is not sent.
    if result.is_ok() { (TCP_OVERHEAD_BYTES + frame.len()) as u64 } else { 0 }
}
