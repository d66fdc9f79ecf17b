//! The own target: the one behind this node.

use crate::{
    clock::Millis, config::Importance, event::TargetReport, id::CallKey, table::health::Health,
};

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
    /// The suspect that runs alone on it, or waits until it can.
    pub trial: Option<CallKey>,
    /// How many requests may run on it at once.
    pub limit: u32,
    /// The limit apart from a probe that lowers it for a short time.
    pub sustained_limit: u32,
    /// How long a run takes, as measured.
    pub latency: Millis,
    /// Requests below this importance find no place in the queue at present.
    pub least_importance: Importance,
    /// How it does on the traffic path.
    pub health: Health,
}
