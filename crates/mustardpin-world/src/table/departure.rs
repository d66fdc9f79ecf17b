//! The processes that have left or announced that they are leaving.
//!
//! A departure holds for the life of a process. It may be heard of before the first report of the
//! process, or while another one reports itself, so it is kept apart from the local target.

use std::collections::VecDeque;

use crate::id::TargetId;

/// The maximum number of departures. Beyond it, the oldest is forgotten.
const MAX_DEPARTURES: usize = 64;

/// The departures of processes that are or were behind this node.
#[derive(Debug, Default)]
pub struct Departures {
    processes: VecDeque<TargetId>,
}

impl Departures {
    /// Records that a process is leaving. A process without an identity can't be recognised again,
    /// so it is not recorded.
    ///
    /// ```
    /// use mustardpin_world::{Millis, id::TargetId, table::departure::Departures};
    ///
    /// let mut departures = Departures::default();
    /// departures.insert(TargetId::of("ledger-1", Millis(1)));
    /// assert!(departures.contains(TargetId::of("ledger-1", Millis(1))));
    /// assert!(!departures.contains(TargetId::of("ledger-1", Millis(2))), "it has started again");
    /// ```
    pub fn insert(&mut self, process: TargetId) {
        if process == TargetId::default() || self.contains(process) {
            return;
        }
        if self.processes.len() == MAX_DEPARTURES {
            self.processes.pop_front();
        }
        self.processes.push_back(process);
    }

    /// Whether a process is known to be leaving.
    pub fn contains(&self, process: TargetId) -> bool {
        self.processes.contains(&process)
    }
}
