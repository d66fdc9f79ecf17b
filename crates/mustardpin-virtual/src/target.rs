//! A fake target with slots, a service time, calls to other services and crashes.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use mustardpin_world::{
    Millis,
    event::TargetReport,
    id::NodeId,
    notice::{Notice, Rate, RateLimit},
    request::{CallToken, Fingerprint, Ticket},
};
use rand::RngExt as _;
use rand_pcg::Pcg64Mcg;

use crate::fleet::Site;

/// How the targets of a service behave.
#[derive(Debug, Clone, PartialEq)]
pub struct Service {
    /// The name of the service.
    pub name: String,
    /// Requests that each target runs at the same time; others queue inside the target.
    pub slots: usize,
    /// Mean of the exponentially distributed service time, in milliseconds.
    pub mean_ms: f64,
    /// Paths that a target calls for each request it runs, in this order unless `parallel`.
    pub calls: Vec<String>,
    /// How many failed calls a target sends again per request.
    pub resends: u32,
    /// Whether a target makes its calls concurrently.
    pub parallel: bool,
    /// Whether a target stops running a request that is cancelled.
    pub cancellable: bool,
    /// How long after its start a target is slower by [`COLD_START_FACTOR`].
    pub cold_start: Millis,
    /// How accurately a target reports its slots and load.
    pub reports: Reports,
}

/// Factor on the service time of a cold target.
pub const COLD_START_FACTOR: f64 = 4.0;

/// How accurately a target reports its slots and load.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Reports {
    /// Reports the current state.
    #[default]
    Prompt,
    /// Reports the state of this long ago.
    Late(Millis),
    /// Reports far too few or far too many slots, and a random load and health.
    False,
}

impl Service {
    /// Returns a service that calls no others.
    pub fn leaf(name: &str, slots: usize, mean_ms: f64) -> Service {
        Service {
            name: name.to_owned(),
            slots,
            mean_ms,
            calls: Vec::new(),
            resends: 0,
            parallel: false,
            cancellable: true,
            cold_start: Millis::ZERO,
            reports: Reports::Prompt,
        }
    }
}

/// A record that a target started to run a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RunRecord {
    /// When the run started.
    pub at: Millis,
    /// The node in front of the target.
    pub node: NodeId,
    /// The site of that node.
    pub site: Site,
    /// The path of the request.
    pub path: String,
    /// The digest of the request.
    pub fingerprint: Fingerprint,
    /// The id of the key that the caller of the root request sent.
    pub key_id: Option<String>,
    /// The team that the target was told.
    pub team: Option<String>,
    /// The number of the root request.
    pub root: u64,
}

/// A fake target behind one node.
#[derive(Debug)]
pub struct Target {
    /// The service it belongs to, which decides how it behaves.
    pub service: Service,
    /// Factor on the service time.
    pub slowdown: f64,
    /// If set, every request ends with this status instead of calls to other services.
    pub failure_status: Option<u16>,
    /// Fingerprints of requests that crash the target when it starts to run them.
    pub poison: BTreeSet<Fingerprint>,
    /// Whether its process is running.
    pub up: bool,
    /// Whether it reports that it is draining.
    pub draining: bool,
    /// Whether it has deregistered, so that it sends no more reports.
    pub has_deregistered: bool,
    /// What its responses state about it.
    pub notice: Notice,
    /// When its process started.
    pub started: Millis,
    /// How many times it crashed.
    pub crashes: u32,
    /// The sequence number of its last report.
    pub(crate) report_sequence: u64,
    report_history: VecDeque<(Millis, TargetReport)>,
    pub(crate) queued: VecDeque<Ticket>,
    pub(crate) busy: BTreeSet<Ticket>,
    pub(crate) progress: BTreeMap<Ticket, Progress>,
}

/// The progress of a request that a target runs.
#[derive(Debug, Clone)]
pub(crate) struct Progress {
    /// The number of calls that succeeded.
    pub(crate) next_call: usize,
    /// Calls that are waiting for a response.
    pub(crate) open: usize,
    /// Failed calls that may still be sent again.
    pub(crate) resends: u32,
    pub(crate) run: u64,
    pub(crate) token: CallToken,
}

impl Target {
    /// Returns a target that is up and idle.
    pub fn new(service: Service) -> Target {
        Target {
            service,
            slowdown: 1.0,
            failure_status: None,
            poison: BTreeSet::new(),
            up: true,
            draining: false,
            has_deregistered: false,
            notice: Notice::default(),
            started: Millis::ZERO,
            crashes: 0,
            report_sequence: 0,
            report_history: VecDeque::new(),
            queued: VecDeque::new(),
            busy: BTreeSet::new(),
            progress: BTreeMap::new(),
        }
    }

    /// Sets the rate limit that its responses state, in requests per second; `None` for none.
    pub fn state_rate_limit(&mut self, per_second: Option<f64>) {
        let rate = per_second.map(|per_second| Rate::of(per_second).expect("a valid rate"));
        self.notice.rate_limit = rate.map_or(RateLimit::Absent, RateLimit::Stated);
    }

    /// Returns the report that the target sends, given its actual state.
    pub(crate) fn distort_report(
        &mut self,
        now: Millis,
        actual: TargetReport,
        rng: &mut Pcg64Mcg,
    ) -> TargetReport {
        match self.service.reports {
            Reports::Prompt => actual,
            Reports::Late(lag) => {
                self.report_history.push_back((now, actual.clone()));
                while self.report_history.get(1).is_some_and(|(at, _)| *at + lag <= now) {
                    self.report_history.pop_front();
                }
                let past = self
                    .report_history
                    .front()
                    .map(|(_, report)| report.clone())
                    .unwrap_or_default();
                let TargetReport { slots, running, healthy, draining, .. } = past;
                TargetReport { slots, running, healthy, draining, ..actual }
            }
            Reports::False => {
                let slots = Some(if rng.random() { 1 } else { 1_000 });
                let running = Some(rng.random_range(0..=1_000));
                TargetReport { slots, running, healthy: rng.random(), ..actual }
            }
        }
    }

    /// Draws a service time from its distribution.
    pub(crate) fn sample_service_time(&self, now: Millis, rng: &mut Pcg64Mcg) -> Millis {
        let uniform: f64 = rng.random_range(f64::EPSILON..1.0);
        let cold =
            if now < self.started + self.service.cold_start { COLD_START_FACTOR } else { 1.0 };
        Millis((-uniform.ln() * self.service.mean_ms * self.slowdown * cold).round() as u64)
    }

    /// Drops all work, as a process that ends does. Returns the requests that it had.
    pub(crate) fn drop_work(&mut self) -> Vec<Ticket> {
        self.queued.clear();
        self.busy.clear();
        std::mem::take(&mut self.progress).into_keys().collect()
    }

    /// Drops one request, if the target stops cancelled work.
    pub(crate) fn cancel(&mut self, ticket: Ticket) {
        if !self.service.cancellable {
            return;
        }
        self.queued.retain(|&queued| queued != ticket);
        self.busy.remove(&ticket);
        self.progress.remove(&ticket);
    }
}
