//! A fake target: slots, service time, calls of its own, crashes.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use mustardpin_world::{
    Millis,
    event::TargetReport,
    id::NodeId,
    request::{CallToken, Fingerprint, Ticket},
};
use rand::RngExt as _;
use rand_pcg::Pcg64Mcg;

/// How the targets of a service behave.
#[derive(Debug, Clone, PartialEq)]
pub struct Service {
    /// Its name.
    pub name: String,
    /// Requests each target runs at once; others wait inside the target.
    pub slots: usize,
    /// Mean service time in milliseconds, exponentially distributed.
    pub mean_ms: f64,
    /// Paths it calls, one after another, in the course of each request.
    pub calls: Vec<String>,
    /// How often it sends a failed call again.
    pub resends: u32,
    /// Whether it makes its calls all at once.
    pub parallel: bool,
    /// Whether it stops work that is cancelled.
    pub cancellable: bool,
    /// For this long after its start it is slower by [`COLD_FACTOR`].
    pub cold_start: Millis,
    /// What it reports of its slots and load.
    pub reports: Reports,
}

/// How much slower a cold target is.
pub const COLD_FACTOR: f64 = 4.0;

/// What a target reports of its slots and load.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Reports {
    /// The truth, at once.
    #[default]
    Prompt,
    /// What was true this long ago.
    Late(Millis),
    /// Far too few slots or far too many, and any load and health.
    False,
}

impl Service {
    /// A service that calls no others.
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

/// A request that a target began to run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RunRecord {
    /// When it began.
    pub at: Millis,
    /// The node in front of the target.
    pub node: NodeId,
    /// The path.
    pub path: String,
    /// The digest of the request.
    pub fingerprint: Fingerprint,
    /// The key id its caller sent, as the test knows it.
    pub key_id: Option<String>,
    /// The number of the root request.
    pub root: u64,
}

/// A fake target behind one node.
#[derive(Debug)]
pub struct Target {
    /// How it behaves.
    pub service: Service,
    /// Factor on the service time.
    pub slowdown: f64,
    /// It answers every request with this status instead of calling others.
    pub failure_status: Option<u16>,
    /// It crashes when it begins to run one of these.
    pub poison: BTreeSet<Fingerprint>,
    /// Whether its process is there.
    pub up: bool,
    /// Whether it reports that it is draining.
    pub draining: bool,
    /// When its process started.
    pub started: Millis,
    /// How often it crashed.
    pub crashes: u32,
    /// Reports that it has made.
    pub(crate) reports: u64,
    past: VecDeque<(Millis, TargetReport)>,
    pub(crate) waiting: VecDeque<Ticket>,
    pub(crate) busy: BTreeSet<Ticket>,
    pub(crate) progress: BTreeMap<Ticket, Progress>,
}

/// How far a target is with a request.
#[derive(Debug, Clone)]
pub(crate) struct Progress {
    /// Calls that were served.
    pub(crate) next_call: usize,
    /// Calls without an answer yet.
    pub(crate) open: usize,
    pub(crate) resends: u32,
    pub(crate) run: u64,
    pub(crate) token: CallToken,
}

impl Target {
    /// A target that is up and idle.
    pub fn new(service: Service) -> Target {
        Target {
            service,
            slowdown: 1.0,
            failure_status: None,
            poison: BTreeSet::new(),
            up: true,
            draining: false,
            started: Millis::ZERO,
            crashes: 0,
            reports: 0,
            past: VecDeque::new(),
            waiting: VecDeque::new(),
            busy: BTreeSet::new(),
            progress: BTreeMap::new(),
        }
    }

    /// What it reports in place of the truth.
    pub(crate) fn say(
        &mut self,
        now: Millis,
        truth: TargetReport,
        rng: &mut Pcg64Mcg,
    ) -> TargetReport {
        match self.service.reports {
            Reports::Prompt => truth,
            Reports::Late(lag) => {
                self.past.push_back((now, truth.clone()));
                while self.past.get(1).is_some_and(|(at, _)| *at + lag <= now) {
                    self.past.pop_front();
                }
                let past = self.past.front().map(|(_, report)| report.clone()).unwrap_or_default();
                let TargetReport { slots, running, healthy, draining, .. } = past;
                TargetReport { slots, running, healthy, draining, ..truth }
            }
            Reports::False => {
                let slots = Some(if rng.random() { 1 } else { 1_000 });
                let running = Some(rng.random_range(0..=1_000));
                TargetReport { slots, running, healthy: rng.random(), ..truth }
            }
        }
    }

    /// Draws a service time.
    pub(crate) fn draw(&self, now: Millis, rng: &mut Pcg64Mcg) -> Millis {
        let uniform: f64 = rng.random_range(f64::EPSILON..1.0);
        let cold = if now < self.started + self.service.cold_start { COLD_FACTOR } else { 1.0 };
        Millis((-uniform.ln() * self.service.mean_ms * self.slowdown * cold).round() as u64)
    }

    /// Forgets all work, as a process that ends does. Returns what it was at.
    pub(crate) fn drop_work(&mut self) -> Vec<Ticket> {
        self.waiting.clear();
        self.busy.clear();
        std::mem::take(&mut self.progress).into_keys().collect()
    }

    /// Drops one request, if the target stops cancelled work.
    pub(crate) fn cancel(&mut self, ticket: Ticket) {
        if !self.service.cancellable {
            return;
        }
        self.waiting.retain(|&waiting| waiting != ticket);
        self.busy.remove(&ticket);
        self.progress.remove(&ticket);
    }
}
