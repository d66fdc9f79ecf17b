//! The tables of the report: what came back, by team, by route and by reason.

use std::{collections::BTreeMap, time::Duration};

use compact_str::CompactString;
use hdrhistogram::Histogram;

use crate::{control::Control, load::arguments::Arguments, target::response_body::Flaw};

/// The longest latency that is told apart, in microseconds.
const LONGEST_LATENCY: u64 = 600_000_000;

/// What a node says of a request that did not run.
const NOT_RUN: &str = "not-run";

/// Names a row of the table of teams.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TeamKey(pub usize);

/// Names a row of the table of routes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RouteKey(pub usize);

/// How a request ended for its caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum End {
    /// The whole answer to this request came.
    Whole,
    /// An answer came that looks complete and is not the right one.
    Flawed(Flaw),
    /// The request ran although its key had been withdrawn for too long.
    RanAfterWithdrawal,
    /// A node refused it.
    Refused {
        /// The HTTP status code.
        status: u16,
        /// The reason the node gave.
        reason: CompactString,
        /// Whether it ran, as the node says.
        outcome: CompactString,
    },
    /// The target answered with a failure.
    Failed {
        /// The HTTP status code.
        status: u16,
    },
    /// The connection broke before the whole answer had come.
    CutOff,
    /// No node accepted a connection.
    NotConnected,
    /// No answer came in time.
    TimedOut,
}

impl End {
    /// Whether the whole answer came.
    ///
    /// ```
    /// use mustardpin_standin::load::tally::End;
    /// assert!(!End::CutOff.is_whole());
    /// ```
    pub fn is_whole(&self) -> bool {
        *self == End::Whole
    }

    /// Whether the request surely did not run, so that sending it again is safe.
    ///
    /// ```
    /// use mustardpin_standin::load::tally::End;
    /// assert!(End::NotConnected.is_not_run());
    /// assert!(!End::TimedOut.is_not_run());
    /// ```
    pub fn is_not_run(&self) -> bool {
        match self {
            End::Refused { outcome, .. } => outcome == NOT_RUN,
            End::NotConnected => true,
            _ => false,
        }
    }
}

/// A request that has ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Sample {
    /// Who sent it.
    pub team: TeamKey,
    /// What it asked.
    pub route: RouteKey,
    /// How it ended.
    pub end: End,
    /// How often it was sent.
    pub attempts: u32,
    /// The time from when it was due to its end.
    pub latency: Duration,
    /// The idempotency key of a request that surely did not run in any attempt.
    pub not_run: Option<CompactString>,
}

/// What the traffic side tells the tables.
#[derive(Debug)]
pub enum Event {
    /// A request has ended.
    Answered(Sample),
    /// A request was not sent since too many were on their way.
    Unsent(TeamKey),
}

/// A row of the tables of teams and of routes.
#[derive(Debug, Clone)]
pub struct Row {
    /// Its name in the report.
    pub name: CompactString,
    /// Requests that were due.
    pub due: u64,
    /// Whole answers.
    pub whole: u64,
    /// Refusals by nodes.
    pub refused: u64,
    /// Everything else that is not a whole answer.
    pub failed: u64,
    /// Latencies of whole answers, in microseconds.
    pub latencies: Histogram<u64>,
}

impl Row {
    fn new(name: CompactString) -> Row {
        // The bounds and the three significant figures are those that the constructor accepts.
        let latencies = Histogram::new_with_bounds(1, LONGEST_LATENCY, 3).expect("valid bounds");
        Row { name, due: 0, whole: 0, refused: 0, failed: 0, latencies }
    }

    fn add(&mut self, sample: &Sample) {
        self.due += 1;
        match sample.end {
            End::Whole => {
                self.whole += 1;
                self.latencies.saturating_record(sample.latency.as_micros() as u64);
            }
            End::Refused { .. } => self.refused += 1,
            _ => self.failed += 1,
        }
    }

    /// A quantile of the latencies of whole answers, in milliseconds.
    pub fn latency_ms(&self, quantile: f64) -> f64 {
        self.latencies.value_at_quantile(quantile) as f64 / 1_000.0
    }
}

/// The tables of the report.
#[derive(Debug, Clone)]
pub struct Tally {
    /// One row for each team.
    pub teams: Vec<Row>,
    /// One row for each route.
    pub routes: Vec<Row>,
    /// Refusals by status, reason and outcome.
    pub refusals: BTreeMap<(u16, CompactString, CompactString), u64>,
    /// Failures other than refusals, by kind.
    pub failures: BTreeMap<CompactString, u64>,
    /// Requests sent, with those sent again.
    pub attempts: u64,
    /// Requests that were due and not sent.
    pub unsent: u64,
    /// The idempotency keys of requests that surely did not run.
    pub not_run: Vec<CompactString>,
}

impl Tally {
    /// Empty tables for the teams and routes in the arguments.
    ///
    /// ```
    /// use mustardpin_standin::load::{arguments::Arguments, tally::Tally};
    /// assert_eq!(Tally::new(&Arguments::default()).attempts, 0);
    /// ```
    pub fn new(arguments: &Arguments) -> Tally {
        let route_name = |method: &str, path: &str| {
            let path = path.split('?').next().unwrap_or(path);
            compact_str::format_compact!("{method} {path}")
        };
        Tally {
            teams: arguments.teams.iter().map(|team| Row::new(team.name.clone())).collect(),
            routes: arguments
                .routes
                .iter()
                .map(|route| Row::new(route_name(&route.method, &route.path)))
                .collect(),
            refusals: BTreeMap::new(),
            failures: BTreeMap::new(),
            attempts: 0,
            unsent: 0,
            not_run: Vec::new(),
        }
    }

    /// How often something failed in this way.
    ///
    /// ```
    /// use mustardpin_standin::load::{arguments::Arguments, tally::Tally};
    /// assert_eq!(Tally::new(&Arguments::default()).failures_of("cut off"), 0);
    /// ```
    pub fn failures_of(&self, kind: &str) -> u64 {
        self.failures.get(kind).copied().unwrap_or(0)
    }

    fn add(&mut self, sample: &Sample) {
        self.attempts += u64::from(sample.attempts);
        self.not_run.extend(sample.not_run.clone());
        self.teams[sample.team.0].add(sample);
        self.routes[sample.route.0].add(sample);
        let kind: CompactString = match &sample.end {
            End::Whole => return,
            End::Refused { status, reason, outcome } => {
                let key = (*status, reason.clone(), outcome.clone());
                *self.refusals.entry(key).or_default() += 1;
                return;
            }
            End::Flawed(flaw) => compact_str::format_compact!("{FLAWED}: {flaw}"),
            End::RanAfterWithdrawal => RAN_AFTER_WITHDRAWAL.into(),
            End::Failed { status } => compact_str::format_compact!("status {status}"),
            End::CutOff => CUT_OFF.into(),
            End::NotConnected => "not connected".into(),
            End::TimedOut => "timed out".into(),
        };
        *self.failures.entry(kind).or_default() += 1;
    }
}

/// The kind of failure of an answer that is not the right one.
pub const FLAWED: &str = "broken answer";
/// The kind of failure of a request that ran on a withdrawn key.
pub const RAN_AFTER_WITHDRAWAL: &str = "ran on a withdrawn key";
/// The kind of failure of a request whose connection broke.
pub const CUT_OFF: &str = "cut off";

impl Control for Tally {
    type Event = Event;

    fn tick(&mut self, events: Vec<Event>) {
        for event in events {
            match event {
                Event::Answered(sample) => self.add(&sample),
                Event::Unsent(team) => {
                    self.unsent += 1;
                    self.teams[team.0].due += 1;
                    self.teams[team.0].failed += 1;
                }
            }
        }
    }
}
