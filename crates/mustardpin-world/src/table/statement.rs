//! What the targets of peers last stated about themselves.
//!
//! The node beside a target enforces what the target states. Its peers remember it, so that it holds
//! on after that node has been restarted.

use std::collections::BTreeMap;

use compact_str::CompactString;

use crate::{
    clock::Millis,
    id::TargetId,
    notice::Rate,
    request::{Load, TargetRate},
};

/// The maximum number of statements. Beyond it, the oldest is forgotten.
const MAX_STATEMENTS: usize = 1_024;

/// What a target stated about itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Statement {
    /// The process of the target.
    pub target: TargetId,
    /// Whether the target is leaving.
    pub leaving: bool,
    /// The rate limit of the target, if it has one.
    pub rate: Option<Rate>,
    /// When this node last heard of it.
    pub as_of: Millis,
}

/// The statements, by the name of the node beside the target. A restarted node keeps its name.
#[derive(Debug, Default)]
pub struct Statements {
    by_node: BTreeMap<CompactString, Statement>,
}

impl Statements {
    /// Records what the load of a node says of its target.
    pub fn record(&mut self, node: &CompactString, load: &Load, now: Millis) {
        if load.target == TargetId::default() {
            return;
        }
        let known = self.by_node.get(node).filter(|known| known.target == load.target);
        let rate = match load.rate {
            TargetRate::Limited(rate) => Some(rate),
            TargetRate::Unlimited => None,
            TargetRate::Unknown => known.and_then(|known| known.rate),
        };
        let leaving = load.leaving || known.is_some_and(|known| known.leaving);
        if !leaving && rate.is_none() {
            self.by_node.remove(node);
            return;
        }
        let as_of = match (load.rate, known) {
            (TargetRate::Unknown, Some(known)) if !load.leaving => known.as_of,
            _ => now,
        };
        let statement = Statement { target: load.target, leaving, rate, as_of };
        self.by_node.insert(node.clone(), statement);
        if self.by_node.len() > MAX_STATEMENTS {
            let oldest = self.by_node.iter().min_by_key(|(_, statement)| statement.as_of);
            if let Some(oldest) = oldest.map(|(node, _)| node.clone()) {
                self.by_node.remove(&oldest);
            }
        }
    }

    /// What the target beside the node of this name last stated.
    pub fn get(&self, node: &str) -> Option<&Statement> {
        self.by_node.get(node)
    }

    /// Whether a process of the target beside the node of this name has stated that it is leaving.
    pub fn is_leaving(&self, node: &str, target: TargetId) -> bool {
        self.get(node).is_some_and(|known| known.leaving && known.target == target)
    }
}
