//! Sends a request with its retries and checks the response.

use std::{
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::{Duration, Instant},
};

use bytes::Bytes;
use compact_str::{CompactString, format_compact};
use http::{HeaderMap, Request, Response, StatusCode, header};
use http_body_util::{BodyExt as _, Full};
use hyper::body::Incoming;

use crate::{
    control::Handle,
    http::{Caller, caller},
    load::{
        arguments::{Arguments, Route, Team},
        tally::{End, Event, RouteKey, Sample, TeamKey},
    },
    target::{chain, response_body},
};

/// How long after its deadline each attempt of a request times out.
const TIMEOUT_SLACK: Duration = Duration::from_secs(1);

/// How long requests with a withdrawn key may still run.
const MAX_WITHDRAWAL_DELAY: Duration = Duration::from_secs(3);

/// One request of the load.
#[derive(Debug, Clone, Copy)]
pub struct Job {
    /// The team that sends it.
    pub team: TeamKey,
    /// The route that it is sent to.
    pub route: RouteKey,
    /// Its number among the team's requests, from 1.
    pub number: u64,
    /// When it was due. Latency is measured from here, so that delays of the sender count.
    pub due: Instant,
}

/// Sends requests to the entry nodes, round-robin.
#[derive(Debug)]
pub struct Sender {
    arguments: Arc<Arguments>,
    control: Handle<Event>,
    caller: Caller,
    next_entry: AtomicUsize,
}

impl Sender {
    /// Creates a sender to the entry nodes in the arguments.
    pub fn new(arguments: Arc<Arguments>, control: Handle<Event>) -> Sender {
        let caller = caller(arguments.http2);
        Sender { arguments, control, caller, next_entry: AtomicUsize::new(0) }
    }

    /// Sends a request until its response is complete, no retry is left or a retry could run it a
    /// second time. Then sends a sample to the control thread.
    pub async fn run(&self, job: Job) {
        let team = &self.arguments.teams[job.team.0];
        let is_open = self.arguments.routes[job.route.0].open;
        let withdrawn = self.withdrawn_for(team);
        let mut attempts = 0;
        let end = loop {
            attempts += 1;
            let end = self.attempt(job).await;
            // A request on a non-repeatable route must not be retried if it may have run.
            let may_retry = !self.arguments.routes[job.route.0].once || end.is_not_run();
            if end.is_complete() || !may_retry || attempts > self.arguments.retries {
                break end;
            }
        };
        let end = match end {
            End::Complete
                if !is_open && withdrawn.is_some_and(|age| age > MAX_WITHDRAWAL_DELAY) =>
            {
                End::RanAfterWithdrawal
            }
            end => end,
        };
        let is_once = self.arguments.routes[job.route.0].once;
        let sample = Sample {
            team: job.team,
            route: job.route,
            attempts,
            latency: job.due.elapsed(),
            not_run: (is_once && end.is_not_run()).then(|| self.name(job)),
            end,
        };
        self.control.send(Event::Ended(sample));
    }

    /// Returns how long ago the team's key was withdrawn.
    fn withdrawn_for(&self, team: &Team) -> Option<Duration> {
        let metadata = std::fs::metadata(team.withdrawal_file.as_ref()?).ok()?;
        metadata.modified().ok()?.elapsed().ok()
    }

    /// Sends a request once, to the next entry node that accepts a connection.
    async fn attempt(&self, job: Job) -> End {
        let entries = &self.arguments.entries;
        for _ in 0..entries.len() {
            let index = self.next_entry.fetch_add(1, Ordering::Relaxed) % entries.len();
            let Ok(request) = self.request(job, index) else { return End::NotConnected };
            let limit = self.arguments.deadline + TIMEOUT_SLACK;
            let exchange = tokio::time::timeout(limit, self.exchange(job, request)).await;
            match exchange {
                Ok(End::NotConnected) => continue,
                Ok(end) => return end,
                Err(_) => return End::TimedOut,
            }
        }
        End::NotConnected
    }

    async fn exchange(&self, job: Job, request: Request<Full<Bytes>>) -> End {
        match self.caller.request(request).await {
            Ok(response) => self.classify(job, response).await,
            Err(error) if error.is_connect() => End::NotConnected,
            Err(_) => End::CutOff,
        }
    }

    async fn classify(&self, job: Job, response: Response<Incoming>) -> End {
        let (parts, body) = response.into_parts();
        let Ok(body) = body.collect().await else { return End::CutOff };
        if parts.status == StatusCode::OK {
            return match response_body::check(&body.to_bytes(), &self.name(job)) {
                Ok(()) => End::Complete,
                Err(error) => End::Invalid(error),
            };
        }
        let status = parts.status.as_u16();
        match header_text(&parts.headers, "mustardpin-reason") {
            Some(reason) => {
                let outcome = header_text(&parts.headers, "mustardpin-outcome").unwrap_or_default();
                End::Refused { status, reason, outcome }
            }
            None => End::Failed { status },
        }
    }

    fn request(&self, job: Job, entry: usize) -> http::Result<Request<Full<Bytes>>> {
        let team = &self.arguments.teams[job.team.0];
        let Route { method, path, once, .. } = &self.arguments.routes[job.route.0];
        let entry = self.arguments.entries[entry];
        let name = self.name(job);
        let mut builder = Request::builder()
            .method(method.as_str())
            .uri(format!("http://{entry}{path}"))
            .header("request-timeout-ms", self.arguments.deadline.as_millis().to_string())
            .header(chain::REQUEST_HEADER, name.as_str());
        if let Some(key) = &team.key {
            builder = builder.header(header::AUTHORIZATION, format!("Bearer {key}"));
        }
        if *once {
            builder = builder.header(chain::IDEMPOTENCY_HEADER, name.as_str());
        }
        builder.body(Full::default())
    }

    fn name(&self, job: Job) -> CompactString {
        let team = &self.arguments.teams[job.team.0].name;
        format_compact!("{team}-{}-{}", self.arguments.seed, job.number)
    }
}

fn header_text(headers: &HeaderMap, name: &str) -> Option<CompactString> {
    headers.get(name).and_then(|value| value.to_str().ok()).map(CompactString::from)
}
