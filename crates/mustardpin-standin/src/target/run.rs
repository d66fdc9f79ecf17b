//! The table of runs: requests that a target is running or has run.

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
        arguments::{AnnouncementOverrides, Arguments, Distribution},
    },
};

/// The factor on service times during the cold start.
const COLD_START_FACTOR: u32 = 4;

/// The maximum exponential service time, as a multiple of the mean.
const MAX_EXPONENTIAL_FACTOR: f64 = 10.0;

/// The maximum number of runs in the table. Later requests are declined and counted as such.
const MAX_RUNS: usize = 200_000;

/// The index of a row in the table of runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RunKey(u32);

/// The state of a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Stage {
    /// It occupies a slot.
    Running,
    /// Its complete response was sent.
    Ended,
    /// Its caller disconnected before the response was sent.
    Cancelled,
}

/// A request header as the target received it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Header {
    /// The header's name, in lower case.
    pub name: CompactString,
    /// The header's value, with replacement characters for bytes that are not UTF-8.
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
    /// The idempotency key, if the request has one.
    pub idempotency_key: Option<CompactString>,
    /// All headers of the request.
    pub headers: Vec<Header>,
    /// The state of the run.
    pub stage: Stage,
}

/// The response to `GET /standin/ran`, for tests.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Report {
    /// Every request that the target ran, in the order of arrival.
    pub ran: Vec<Run>,
    /// The number of requests that it declined.
    pub declined: u64,
    /// The number of runs whose caller disconnected before the end.
    pub cancelled: u64,
    /// The maximum number of requests that it ran at once.
    pub most_running: u32,
}

/// The body of `POST /standin/mode`. Fields that are left out change nothing.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields, default)]
pub struct Mode {
    /// The mean service time of a run, in milliseconds.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub service_time_ms: Option<u64>,
    /// The number of requests that the target can run at once.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub slots: Option<u32>,
    /// Whether the target declines every request and announces so.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub draining: Option<bool>,
    /// The health that the target announces.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub healthy: Option<bool>,
}

/// The slot that an admitted request occupies.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Slot {
    /// The key of the run.
    pub run: RunKey,
    /// How long the run takes, without its downstream calls.
    pub service_time: Duration,
}

/// Events and queries from the HTTP handler and the announcer.
#[derive(Debug)]
pub enum Event {
    /// A request has arrived. The reply is its slot, or `None` if it is declined.
    Arrived(Run, oneshot::Sender<Option<Slot>>),
    /// The complete response of a run was sent.
    Ended(RunKey),
    /// The caller of a run disconnected.
    Cancelled(RunKey),
    /// Queries what the target ran.
    Report(oneshot::Sender<Report>),
    /// Queries the contents of the next announcement.
    Announcement(oneshot::Sender<Announcement>),
    /// Changes slots, service time, draining or health.
    SetMode(Mode),
    /// Declines every request from now on, and replies once no request is running.
    Drain(oneshot::Sender<()>),
}

/// The state of a target: the table of runs and the values it announces.
#[derive(Debug)]
pub struct TargetState {
    announcement: Announcement,
    overrides: AnnouncementOverrides,
    slots: u32,
    service_time: Duration,
    distribution: Distribution,
    cold_until: Instant,
    rng: Pcg64Mcg,
    runs: Vec<Run>,
    running: u32,
    report: Report,
    drain_replies: Vec<oneshot::Sender<()>>,
}

impl TargetState {
    /// Creates the state of a target that has run no request.
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
            overrides: arguments.overrides,
            slots: arguments.slots,
            service_time: arguments.service_time,
            distribution: arguments.distribution,
            cold_until: Instant::now() + arguments.cold_start,
            rng: Pcg64Mcg::seed_from_u64(arguments.seed),
            runs: Vec::new(),
            running: 0,
            report: Report::default(),
            drain_replies: Vec::new(),
        }
    }

    fn handle(&mut self, event: Event) {
        // A reply is dropped if its request has ended in the meantime.
        match event {
            Event::Arrived(run, reply) => self.arrive(run, reply),
            Event::Ended(run) => self.end_run(run, Stage::Ended),
            Event::Cancelled(run) => {
                self.report.cancelled += 1;
                self.end_run(run, Stage::Cancelled);
            }
            Event::Report(reply) => {
                let report = Report { ran: self.runs.clone(), ..self.report.clone() };
                let _receiver_dropped = reply.send(report);
            }
            Event::Announcement(reply) => {
                let _receiver_dropped = reply.send(self.announcement());
            }
            Event::SetMode(mode) => self.set_mode(mode),
            Event::Drain(reply) => {
                self.announcement.draining = true;
                self.drain_replies.push(reply);
            }
        }
    }

    fn arrive(&mut self, run: Run, reply: oneshot::Sender<Option<Slot>>) {
        let slot = self.admit(run);
        if let Err(Some(slot)) = reply.send(slot) {
            self.report.cancelled += 1;
            self.end_run(slot.run, Stage::Cancelled);
        }
    }

    fn admit(&mut self, run: Run) -> Option<Slot> {
        let is_full = self.running >= self.slots || self.runs.len() >= MAX_RUNS;
        if is_full || self.announcement.draining {
            self.report.declined += 1;
            return None;
        }
        let key = RunKey(self.runs.len() as u32);
        self.runs.push(run);
        self.running += 1;
        self.report.most_running = self.report.most_running.max(self.running);
        Some(Slot { run: key, service_time: self.sample_service_time() })
    }

    fn end_run(&mut self, run: RunKey, stage: Stage) {
        self.runs[run.0 as usize].stage = stage;
        self.running -= 1;
    }

    fn sample_service_time(&mut self) -> Duration {
        let is_cold = Instant::now() < self.cold_until;
        let mean = if is_cold { self.service_time * COLD_START_FACTOR } else { self.service_time };
        let uniform: f64 = self.rng.random();
        match self.distribution {
            Distribution::Constant => mean,
            Distribution::Uniform => mean.mul_f64(0.5 + uniform),
            Distribution::Exponential => {
                mean.mul_f64((-(1.0 - uniform).ln()).min(MAX_EXPONENTIAL_FACTOR))
            }
        }
    }

    fn announcement(&self) -> Announcement {
        Announcement {
            running: self.overrides.running.unwrap_or(self.running),
            slots: self.overrides.slots.unwrap_or(self.slots),
            healthy: self.overrides.healthy.unwrap_or(self.announcement.healthy),
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
            for reply in self.drain_replies.drain(..) {
                let _receiver_dropped = reply.send(());
            }
        }
    }
}
