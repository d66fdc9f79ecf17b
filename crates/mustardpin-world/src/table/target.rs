//! The own target: the one behind this node.

use crate::event::TargetReport;

/// What the node knows of its target.
#[derive(Debug, Default)]
pub struct Target {
    /// Whether it has announced itself and is connected.
    pub present: bool,
    /// What it last said of itself. A hint: it may lag or mislead.
    pub report: TargetReport,
    /// Requests running on it, by this node's own count.
    pub running: u32,
    /// Requests waiting for it.
    pub queued: u32,
}
