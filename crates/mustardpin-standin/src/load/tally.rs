//! The tables of the report: results by team, by route and by reason.

use std::{collections::BTreeMap, time::Duration};

use compact_str::CompactString;
use hdrhistogram::Histogram;

use crate::{control::Control, load::arguments::Arguments, target::response_body::BodyError};

/// The maximum latency that is recorded, in microseconds. Higher latencies count as this one.
const MAX_LATENCY_US: u64 = 600_000_000;

/// The outcome that a node sends for a request that did not run.
const NOT_RUN: &str = "not-run";

/// The index of a row in the table of teams.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TeamKey(pub usize);

/// The index of a row in the table of routes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RouteKey(pub usize);

/// How a request ended, as seen by its caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum End {
    /// The complete response to this request arrived.
    Complete,
    /// A response arrived whose HTTP message is complete but whose body is not valid.
    Invalid(BodyError),
    /// The request ran although its key had been withdrawn for longer than allowed.
    RanAfterWithdrawal,
    /// A node refused the request.
    Refused {
        /// The HTTP status code.
        status: u16,
        /// The reason in the node's response.
        reason: CompactString,
        /// Whether the request ran, according to the node's response.
        outcome: CompactString,
    },
    /// The response has a status other than 200 and is not a refusal by a node.
    Failed {
        /// The HTTP status code.
        status: u16,
    },
    /// The connection was closed before the complete response had arrived.
    CutOff,
    /// No node accepted a connection.
    NotConnected,
    /// No response arrived in time.
    TimedOut,
}

impl End {
    /// Whether the complete response arrived.
    ///
    /// ```
    /// use mustardpin_standin::load::tally::End;
    /// assert!(!End::CutOff.is_complete());
    /// ```
    pub fn is_complete(&self) -> bool {
        *self == End::Complete
    }

    /// Whether the request certainly did not run, so that a retry is safe.
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

/// The result of a request that has ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Sample {
    /// The team that sent it.
    pub team: TeamKey,
    /// The route that it was sent to.
    pub route: RouteKey,
    /// How its last attempt ended.
    pub end: End,
    /// The number of times it was sent.
    pub attempts: u32,
    /// The time from when it was due until it ended.
    pub latency: Duration,
    /// The idempotency key of a request that certainly did not run in any attempt.
    pub not_run: Option<CompactString>,
}

/// The events that the traffic tasks send to the tables.
#[derive(Debug)]
pub enum Event {
    /// A request has ended.
    Ended(Sample),
    /// A request was due but not sent, because too many were in flight.
    NotSent(TeamKey),
}

/// A row of the tables of teams and of routes.
#[derive(Debug, Clone)]
pub struct Row {
    /// The name of the team or route in the report.
    pub name: CompactString,
    /// The number of requests that were due.
    pub due: u64,
    /// The number of complete responses.
    pub complete: u64,
    /// The number of refusals by nodes.
    pub refused: u64,
    /// The number of requests with any other result, including those not sent.
    pub failed: u64,
    /// Latencies of complete responses, in microseconds.
    pub latencies: Histogram<u64>,
}

impl Row {
    fn new(name: CompactString) -> Row {
        // The constructor only fails for invalid bounds or more than 5 significant figures.
        let latencies = Histogram::new_with_bounds(1, MAX_LATENCY_US, 3).expect("valid bounds");
        Row { name, due: 0, complete: 0, refused: 0, failed: 0, latencies }
    }

    fn add(&mut self, sample: &Sample) {
        self.due += 1;
        match sample.end {
            End::Complete => {
                self.complete += 1;
                self.latencies.saturating_record(sample.latency.as_micros() as u64);
            }
            End::Refused { .. } => self.refused += 1,
            _ => self.failed += 1,
        }
    }

    /// Returns a quantile of the latencies of complete responses, in milliseconds.
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
    /// The number of times that requests were sent, including retries.
    pub attempts: u64,
    /// The number of requests that were due but not sent.
    pub not_sent: u64,
    /// The idempotency keys of requests that certainly did not run.
    pub not_run: Vec<CompactString>,
}

impl Tally {
    /// Creates empty tables for the teams and routes in the arguments.
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
            not_sent: 0,
            not_run: Vec::new(),
        }
    }

    /// Returns the number of failures of a kind.
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
            End::Complete => return,
            End::Refused { status, reason, outcome } => {
                let key = (*status, reason.clone(), outcome.clone());
                *self.refusals.entry(key).or_default() += 1;
                return;
            }
            End::Invalid(error) => compact_str::format_compact!("{INVALID_RESPONSE}: {error}"),
            End::RanAfterWithdrawal => RAN_AFTER_WITHDRAWAL.into(),
            End::Failed { status } => compact_str::format_compact!("status {status}"),
            End::CutOff => CUT_OFF.into(),
            End::NotConnected => "not connected".into(),
            End::TimedOut => "timed out".into(),
        };
        *self.failures.entry(kind).or_default() += 1;
    }
}

/// The kind of failure of a response whose body is not valid.
pub const INVALID_RESPONSE: &str = "broken answer";
/// The kind of failure of a request that ran with a withdrawn key.
pub const RAN_AFTER_WITHDRAWAL: &str = "ran on a withdrawn key";
/// The kind of failure of a request whose connection was closed early.
pub const CUT_OFF: &str = "cut off";

impl Control for Tally {
    type Event = Event;

    fn tick(&mut self, events: Vec<Event>) {
        for event in events {
            match event {
                Event::Ended(sample) => self.add(&sample),
                Event::NotSent(team) => {
                    self.not_sent += 1;
                    self.teams[team.0].due += 1;
                    self.teams[team.0].failed += 1;
                }
            }
        }
    }
}
