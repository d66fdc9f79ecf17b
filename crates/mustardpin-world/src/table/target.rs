//! The local target: the one behind this node.

use compact_str::CompactString;

use crate::{clock::Millis, event::TargetReport, id::CallKey, notice::Rate, table::health::Health};

/// The state of the local target, as this node knows it.
#[derive(Debug, Default)]
pub struct Target {
    /// Whether the target has announced itself and is connected.
    pub present: bool,
    /// The target's last report. The load in it is a hint: it may lag or mislead.
    pub report: TargetReport,
    /// The last report that was ignored since, as it seemed older than `report`.
    pub ignored: Option<Ignored>,
    /// When the last report arrived.
    pub reported_at: Millis,
    /// When its process was first heard of.
    pub since: Millis,
    /// Whether one of its responses stated that it is leaving. Holds for the life of its process,
    /// whatever its later reports say.
    pub says_leaving: bool,
    /// The rate limit that its responses state, while they do.
    pub rate_limit: Option<StatedRate>,
    /// Until this time, the target is slower than usual after its start.
    pub cold_until: Millis,
    /// The number of requests running on the target, as counted by this node.
    pub running: u32,
    /// The number of requests waiting in the queue for the target.
    pub queued: u32,
    /// How many requests may run on the target at once.
    pub limit: u32,
    /// The limit without the temporary reduction during a probe.
    pub sustained_limit: u32,
    /// The measured duration of a served run, smoothed.
    pub latency: Millis,
    /// The call that runs as a trial, since it may crash the target: no other suspect that needs a
    /// trial runs beside it.
    pub trial: Option<CallKey>,
    /// The target's failures on the traffic path.
    pub health: Health,
}

/// A rate limit, and when it was last stated.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StatedRate {
    /// The requests per second that the target takes from all nodes together.
    pub rate: Rate,
    /// When a response last stated it.
    pub at: Millis,
}

/// A report that was ignored, and the process that sent it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Ignored {
    /// When the process started, by its own clock.
    pub started: Millis,
    /// The instance id of the process.
    pub instance: CompactString,
    /// The number of the report.
    pub sequence: u64,
    /// Since when the process has been sending such reports in ascending order.
    pub first_at: Millis,
    /// When the report arrived.
    pub last_at: Millis,
}

impl Target {
    /// Whether the target accepts new requests, according to its last report.
    pub fn is_open(&self) -> bool {
        self.present && !self.report.draining
    }
}
