//! The own target: the one behind this node.

use crate::{clock::Millis, event::TargetReport, id::CallKey, table::health::Health};

/// What the node knows of its target.
#[derive(Debug, Default)]
pub struct Target {
    /// Whether it has announced itself and is connected.
    pub present: bool,
    /// What it last said of itself. The load is a hint: it may lag or mislead.
    pub report: TargetReport,
    /// When it said so.
    pub reported_at: Millis,
    /// Until when it is slower than usual after its start.
    pub cold_until: Millis,
    /// Requests running on it, by this node's own count.
    pub running: u32,
    /// Requests waiting for it.
    pub queued: u32,
    /// How many requests may run on it at once.
    pub limit: u32,
    /// The limit apart from a probe that lowers it for a short time.
    pub sustained_limit: u32,
    /// How long a run takes, as measured.
    pub latency: Millis,
    /// The call that is tried alone, since it may crash the target.
    pub trial: Option<CallKey>,
    /// How it does on the traffic path.
    pub health: Health,
}

impl Target {
    /// Whether it takes new requests, as far as it says.
    pub fn is_open(&self) -> bool {
        self.present && !self.report.draining
    }
}
