//! The local target: the one behind this node.

use compact_str::CompactString;

use crate::{
    clock::Millis,
    event::TargetReport,
    id::{CallKey, TargetId},
    notice::Rate,
    table::{health::Health, pace::Pace},
};

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
    /// Identifies its process.
    pub process: TargetId,
    /// When its process was first heard of.
    pub since: Millis,
    /// Whether it has deregistered or stated that it is leaving. Holds for the life of its process,
    /// whatever its later reports say.
    pub is_leaving: bool,
    /// Whether this node knows the departures that its predecessors have acknowledged. Until then, the
    /// process may be one of those that are leaving.
    pub are_departures_known: bool,
    /// Its rate limit, while it has one.
    pub pace: Option<Pace>,
    /// When the last request was sent that it answered without stating a rate limit; zero if there
    /// is none.
    pub unlimited_as_of: Millis,
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
    /// How many requests run at once on average if the target gets all that it may: the sustained
    /// limit, or fewer with a rate limit.
    pub throughput_limit: u32,
    /// The measured duration of a served run, smoothed.
    pub latency: Millis,
    /// The call that runs as a trial, since it may crash the target: no other suspect that needs a
    /// trial runs beside it.
    pub trial: Option<CallKey>,
    /// The target's failures on the traffic path.
    pub health: Health,
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
    /// The rate limit that the target states now, if it does.
    pub fn stated_rate(&self) -> Option<Rate> {
        self.pace.filter(|pace| pace.lifted_at.is_none()).map(|pace| pace.rate)
    }

    /// How many requests may run at once, on average if the target has a rate limit.
    pub fn usable_limit(&self) -> u32 {
        self.limit.min(self.throughput_limit)
    }

    /// Whether the target accepts new requests, according to its reports and its responses.
    pub fn is_open(&self) -> bool {
        // A process without an identity has no departure that could be recognised.
        let is_known = self.are_departures_known || self.process == TargetId::default();
        self.present && is_known && !self.report.draining && !self.is_leaving
    }
}
