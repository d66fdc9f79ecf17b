//! Messages about departures of the targets beside the sender or the receiver.

use crate::id::{Epoch, TargetId};

/// A message about departures.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Message {
    /// Asks the receiver to write the departure of a process beside the sender to the store, which
    /// does not reply to the sender.
    Write(TargetId),
    /// Reports that this departure of a process beside the receiver is in the store.
    Written {
        /// The process.
        process: TargetId,
        /// The epoch in which the store confirmed the row.
        epoch: Epoch,
    },
    /// Reports that the sender was connected to the receiver's predecessor, an earlier process of the
    /// same node, until that ended.
    Remembered {
        /// The processes of its target that the sender knows to have left.
        departed: Vec<TargetId>,
    },
}
