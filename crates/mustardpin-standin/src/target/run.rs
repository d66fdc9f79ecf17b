//! The table of runs: what a target is running and what it ran.

use std::time::{Duration, Instant};

use compact_str::CompactString;
use rand::{RngExt as _, SeedableRng as _};
use rand_pcg::Pcg64Mcg;
use serde::{Deserialize, Serialize};
use tokio::sync::oneshot;

use crate::{
    control::Control,
    target::{
        announce::Announcement,
        arguments::{Arguments, Distribution, Misleading},
    },
};

/// How much longer runs take while the target is cold.
const COLD_FACTOR: u32 = 4;

/// The longest exponential service time, as a multiple of the mean.
const LONGEST_FACTOR: f64 = 10.0;

/// Runs that are remembered; later ones are only counted.
const CAPACITY: usize = 200_000;

/// Names a row of the table of runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RunKey(u32);

/// How far a run has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Stage {
    /// It has a slot.
    Running,
    /// Its whole answer was sent.
    Ended,
    /// Its caller went away before the answer was sent.
    Cancelled,
}

/// A header as the target saw it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Header {
    /// Its name, in lower case.
    pub name: CompactString,
    /// Its value, with other characters in place of what is not text.
    pub value: String,
}

/// A request that the target ran.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Run {
    /// The HTTP method.
    pub method: CompactString,
    /// The path, without the query.
    pub path: CompactString,
    /// The idempotency key, if it came with one.
    pub idempotency_key: Option<CompactString>,
    /// All headers.
    pub headers: Vec<Header>,
    /// How far it has come.
    pub stage: Stage,
}

/// What the target ran, for tests.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Report {
    /// Every request it ran, in the order of arrival.
    pub ran: Vec<Run>,
    /// Requests it declined.
    pub declined: u64,
    /// Runs cancelled.
    pub cancelled: u64,
    /// The most requests it ran at once.
    pub most_running: u32,
}

/// Changes of behaviour at run time. What is left out stays.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields, default)]
pub struct Mode {
    /// Mean time of a run, in milliseconds.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub service_time_ms: Option<u64>,
    /// Requests it runs at once.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub slots: Option<u32>,
    /// Whether it declines everything and says so.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub draining: Option<bool>,
    /// The health it reports.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub healthy: Option<bool>,
}

/// A slot for a request, and how long the run takes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Slot {
    /// The run.
    pub run: RunKey,
    /// How long it takes.
    pub service_time: Duration,
}

/// What the traffic side tells the table.
#[derive(Debug)]
pub enum Event {
    /// A request wants a slot.
    Arrived(Run, oneshot::Sender<Option<Slot>>),
    /// The whole answer of a run was sent.
    Ended(RunKey),
    /// The caller of a run went away.
    Cancelled(RunKey),
    /// Asks what the target ran.
    Report(oneshot::Sender<Report>),
    /// Asks what the target says of itself.
    Announcement(oneshot::Sender<Announcement>),
    /// Changes the behaviour.
    SetMode(Mode),
    /// Declines everything from now on, and replies once nothing runs.
    Drain(oneshot::Sender<()>),
}

/// Everything a target keeps.
#[derive(Debug)]
pub struct TargetState {
    announcement: Announcement,
    misleading: Misleading,
    slots: u32,
    service_time: Duration,
    distribution: Distribution,
    cold_until: Instant,
    rng: Pcg64Mcg,
    runs: Vec<Run>,
    running: u32,
    report: Report,
    idle: Vec<oneshot::Sender<()>>,
}

impl TargetState {
    /// A target that runs nothing yet.
    pub fn new(arguments: &Arguments) -> TargetState {
        TargetState {
            announcement: Announcement {
                address: arguments.address,
                service: arguments.service.clone(),
                slots: arguments.slots,
                healthy: true,
                draining: false,
                running: 0,
            },
            misleading: arguments.misleading,
            slots: arguments.slots,
            service_time: arguments.service_time,
            distribution: arguments.distribution,
            cold_until: Instant::now() + arguments.cold_start,
            rng: Pcg64Mcg::seed_from_u64(arguments.seed),
            runs: Vec::new(),
            running: 0,
            report: Report::default(),
            idle: Vec::new(),
        }
    }

    fn handle(&mut self, event: Event) {
        // A reply that nobody waits for any more is dropped.
        match event {
            Event::Arrived(run, reply) => self.arrive(run, reply),
            Event::Ended(run) => self.leave(run, Stage::Ended),
            Event::Cancelled(run) => {
                self.report.cancelled += 1;
                self.leave(run, Stage::Cancelled);
            }
            Event::Report(reply) => {
                let report = Report { ran: self.runs.clone(), ..self.report.clone() };
                let _gone = reply.send(report);
            }
            Event::Announcement(reply) => {
                let _gone = reply.send(self.announcement());
            }
            Event::SetMode(mode) => self.set_mode(mode),
            Event::Drain(reply) => {
                self.announcement.draining = true;
                self.idle.push(reply);
            }
        }
    }

    fn arrive(&mut self, run: Run, reply: oneshot::Sender<Option<Slot>>) {
        let slot = self.admit(run);
        if let Err(Some(slot)) = reply.send(slot) {
            self.report.cancelled += 1;
            self.leave(slot.run, Stage::Cancelled);
        }
    }

    fn admit(&mut self, run: Run) -> Option<Slot> {
        let full = self.running >= self.slots || self.runs.len() >= CAPACITY;
        if full || self.announcement.draining {
            self.report.declined += 1;
            return None;
        }
        let key = RunKey(self.runs.len() as u32);
        self.runs.push(run);
        self.running += 1;
        self.report.most_running = self.report.most_running.max(self.running);
        Some(Slot { run: key, service_time: self.draw_service_time() })
    }

    fn leave(&mut self, run: RunKey, stage: Stage) {
        self.runs[run.0 as usize].stage = stage;
        self.running -= 1;
    }

    fn draw_service_time(&mut self) -> Duration {
        let cold = Instant::now() < self.cold_until;
        let mean = if cold { self.service_time * COLD_FACTOR } else { self.service_time };
        let uniform: f64 = self.rng.random();
        match self.distribution {
            Distribution::Constant => mean,
            Distribution::Uniform => mean.mul_f64(0.5 + uniform),
            Distribution::Exponential => mean.mul_f64((-(1.0 - uniform).ln()).min(LONGEST_FACTOR)),
        }
    }

    fn announcement(&self) -> Announcement {
        Announcement {
            running: self.misleading.running.unwrap_or(self.running),
            slots: self.misleading.slots.unwrap_or(self.slots),
            healthy: self.misleading.healthy.unwrap_or(self.announcement.healthy),
            ..self.announcement.clone()
        }
    }

    fn set_mode(&mut self, mode: Mode) {
        if let Some(millis) = mode.service_time_ms {
            self.service_time = Duration::from_millis(millis);
        }
        self.slots = mode.slots.unwrap_or(self.slots);
        self.announcement.draining = mode.draining.unwrap_or(self.announcement.draining);
        self.announcement.healthy = mode.healthy.unwrap_or(self.announcement.healthy);
    }
}

impl Control for TargetState {
    type Event = Event;

    fn tick(&mut self, events: Vec<Event>) {
        for event in events {
            self.handle(event);
        }
        if self.running == 0 {
            for reply in self.idle.drain(..) {
                let _gone = reply.send(());
            }
        }
    }
}
