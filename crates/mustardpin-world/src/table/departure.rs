//! The processes that have left or announced that they are leaving.
//!
//! A departure holds for the life of a process. It may be heard of before the first report of the
//! process, or while another one reports itself, so it is kept apart from the local target.

use std::collections::{BTreeSet, VecDeque};

use compact_str::CompactString;

use crate::{
    id::{Epoch, TargetId},
    store::Departure,
};

/// The maximum number of departures beside one node. Beyond it, the oldest is forgotten.
pub const MAX_DEPARTURES: usize = 64;

/// A process that is or was behind this node.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Own {
    process: TargetId,
    /// The latest epoch in which the store confirmed the row; `None` if it has not yet.
    written_in: Option<Epoch>,
}

/// The departures that this node knows.
#[derive(Debug, Default)]
pub struct Departures {
    /// The processes that are or were behind this node, the oldest departure first.
    own: VecDeque<Own>,
    /// Those behind other nodes, as the store has them.
    others: BTreeSet<Departure>,
    /// Whether this node knows the departures that its predecessors, earlier processes of the same
    /// node, have acknowledged.
    pub is_complete: bool,
}

impl Departures {
    /// Records that a process behind this node is leaving. Returns the process that is forgotten to
    /// make room for it. A process without an identity can't be recognised again, so it is not
    /// recorded.
    ///
    /// ```
    /// use mustardpin_world::{Millis, id::TargetId, table::departure::Departures};
    ///
    /// let mut departures = Departures::default();
    /// departures.insert(TargetId::of("ledger-1", Millis(1)));
    /// assert!(departures.contains(TargetId::of("ledger-1", Millis(1))));
    /// assert!(!departures.contains(TargetId::of("ledger-1", Millis(2))), "it has started again");
    /// ```
    pub fn insert(&mut self, process: TargetId) -> Option<TargetId> {
        if process == TargetId::default() || self.contains(process) {
            return None;
        }
        let forgotten = match self.own.len() < MAX_DEPARTURES {
            true => None,
            false => self.own.pop_front(),
        };
        self.own.push_back(Own { process, written_in: None });
        forgotten.map(|own| own.process)
    }

    /// How many processes behind this node are known to be leaving.
    pub fn len(&self) -> usize {
        self.own.len()
    }

    /// Whether no process behind this node is known to be leaving.
    pub fn is_empty(&self) -> bool {
        self.own.is_empty()
    }

    /// The processes behind this node that are known to be leaving, the oldest departure first.
    pub fn processes(&self) -> impl Iterator<Item = TargetId> {
        self.own.iter().map(|own| own.process)
    }

    /// Whether a process behind this node is known to be leaving.
    pub fn contains(&self, process: TargetId) -> bool {
        self.own.iter().any(|own| own.process == process)
    }

    /// Records in which epoch the store confirmed the row of a departure; `None` if the store has
    /// lost it.
    pub fn set_written(&mut self, process: TargetId, epoch: Option<Epoch>) {
        if let Some(own) = self.own.iter_mut().find(|own| own.process == process) {
            own.written_in = epoch;
        }
    }

    /// Whether the store has confirmed the row of a departure in this epoch or a later one.
    pub fn is_written(&self, process: TargetId, epoch: Epoch) -> bool {
        let own = self.own.iter().find(|own| own.process == process);
        own.is_some_and(|own| own.written_in >= Some(epoch))
    }

    /// The departures whose rows the store may not have in this epoch.
    ///
    /// ```
    /// use mustardpin_world::{
    ///     Millis,
    ///     id::{Epoch, TargetId},
    ///     table::departure::Departures,
    /// };
    ///
    /// let mut departures = Departures::default();
    /// let process = TargetId::of("ledger-1", Millis(1));
    /// departures.insert(process);
    /// departures.set_written(process, Some(Epoch(0)));
    /// assert!(departures.unwritten(Epoch(0)).next().is_none());
    /// assert!(departures.unwritten(Epoch(1)).eq([process]), "the restored store may lack it");
    /// ```
    pub fn unwritten(&self, epoch: Epoch) -> impl Iterator<Item = TargetId> {
        let unwritten = self.own.iter().filter(move |own| own.written_in < Some(epoch));
        unwritten.map(|own| own.process)
    }

    /// Records that the store has the row of a departure behind another node.
    pub fn insert_other(&mut self, departure: Departure) {
        self.others.insert(departure);
    }

    /// Records that the store no longer has the row of a departure behind another node.
    pub fn remove_other(&mut self, departure: &Departure) {
        self.others.remove(departure);
    }

    /// The departures behind other nodes.
    pub fn others(&self) -> &BTreeSet<Departure> {
        &self.others
    }

    /// The processes behind another node that are known to be leaving.
    pub fn behind(&self, node: &CompactString) -> impl Iterator<Item = TargetId> {
        let first = Departure { node: node.clone(), process: TargetId(0) };
        let last = Departure { node: node.clone(), process: TargetId(u64::MAX) };
        self.others.range(first..=last).map(|departure| departure.process)
    }
}
