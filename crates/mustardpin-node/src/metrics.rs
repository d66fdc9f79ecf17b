//! Counters, gauges and histograms, served as text to metrics collectors.
//!
//! There is no state besides the world's own counters: each collection reads the tables between two
//! ticks.

use std::{fmt, sync::Arc};

use bytes::Bytes;
use futures::future::BoxFuture;
use http::{Method, Request, Response, StatusCode, header};
use http_body_util::Full;
use hyper::body::Incoming;
use mustardpin_world::{
    Millis, World,
    notice::Rate,
    refusal::Reason,
    table::{
        counter::{Retry, Work},
        latency::{End, Histogram, Source, Step},
        peer::Peer,
    },
};
use prometheus_client::{
    collector::Collector,
    encoding::{DescriptorEncoder, EncodeMetric as _, MetricEncoder, NoLabelSet, text},
    metrics::{MetricType, counter::ConstCounter, gauge::ConstGauge},
    registry::Registry,
};

use crate::{clock::Clock, control::Handle, server::Service};

/// The media type of the response.
const MEDIA_TYPE: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";
const PREFIX: &str = "mustardpin";
const MILLIS_IN_SECOND: f64 = 1_000.0;

/// Serves the metrics of a node.
pub struct MetricsService {
    control: Handle,
    clock: Arc<dyn Clock>,
}

impl MetricsService {
    /// Creates a service for the node of this control thread.
    pub fn new(control: Handle, clock: Arc<dyn Clock>) -> MetricsService {
        MetricsService { control, clock }
    }

    async fn text(&self) -> Option<String> {
        let clock = Arc::clone(&self.clock);
        let read = move |world: &World| Snapshot::of(world, clock.now());
        let snapshot = self.control.report(read).await.ok()?;
        encode(snapshot).ok()
    }
}

impl Service for MetricsService {
    fn respond(
        self: Arc<Self>,
        request: Request<Incoming>,
    ) -> BoxFuture<'static, Response<Full<Bytes>>> {
        Box::pin(async move {
            let mut response = Response::new(Full::new(Bytes::new()));
            if request.method() != Method::GET {
                *response.status_mut() = StatusCode::METHOD_NOT_ALLOWED;
                return response;
            }
            let Some(text) = self.text().await else {
                *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
                return response;
            };
            let media_type = header::HeaderValue::from_static(MEDIA_TYPE);
            response.headers_mut().insert(header::CONTENT_TYPE, media_type);
            *response.body_mut() = Full::new(text.into());
            response
        })
    }
}

/// Encodes a snapshot as text.
///
/// # Errors
///
/// If the encoder fails, which does not occur for the names of these metrics.
///
/// ```
/// use mustardpin_node::metrics::{Snapshot, encode};
/// assert!(encode(Snapshot::default())?.ends_with("# EOF\n"));
/// # Ok::<(), std::fmt::Error>(())
/// ```
pub fn encode(snapshot: Snapshot) -> Result<String, fmt::Error> {
    let mut registry = Registry::with_prefix(PREFIX);
    registry.register_collector(Box::new(snapshot));
    let mut text = String::new();
    text::encode(&mut text, &registry)?;
    Ok(text)
}

/// The metrics of a node at one moment.
#[derive(Debug, Clone, Default)]
pub struct Snapshot {
    refusals: Vec<(String, u64)>,
    retries: Vec<(String, u64)>,
    work: Vec<(String, u64)>,
    gauges: Vec<(&'static str, &'static str, f64)>,
    requests: Vec<([(&'static str, String); 2], Histogram)>,
    steps: Vec<(String, Histogram)>,
}

impl Snapshot {
    /// Reads the metrics from the world's tables.
    pub fn of(world: &World, now: Millis) -> Snapshot {
        let tables = world.tables();
        let (counters, latencies) = (&tables.counters, &tables.latencies);
        let refusal = |reason: &Reason| (reason.to_string(), counters.refusals(*reason));
        let retry = |retry: &Retry| (retry.to_string(), counters.retries(*retry));
        let work = |work: &Work| (work.to_string(), counters.work_done(*work));
        let step = |step: &Step| (step.to_string(), *latencies.of_step(*step));
        let ends =
            Source::ALL.iter().flat_map(|source| End::ALL.iter().map(move |end| (source, end)));
        let request = |(source, end): (&Source, &End)| {
            let labels = [("source", source.to_string()), ("end", end.to_string())];
            (labels, *latencies.of_requests(*source, *end))
        };
        Snapshot {
            refusals: Reason::ALL.iter().map(refusal).collect(),
            retries: Retry::ALL.iter().map(retry).collect(),
            work: Work::ALL.iter().map(work).collect(),
            gauges: gauges(world, now),
            requests: ends.map(request).collect(),
            steps: Step::ALL.iter().map(step).collect(),
        }
    }
}

fn gauges(world: &World, now: Millis) -> Vec<(&'static str, &'static str, f64)> {
    let tables = world.tables();
    let target = &tables.target;
    let rate_limit = target.stated_rate().map(Rate::per_second);
    let open_peers = tables.peers.iter().filter(|(_, peer)| Peer::is_open(peer)).count();
    let age = tables.freshness.configuration_age(now).min(now);
    vec![
        ("calls", "Requests in progress", tables.calls.len() as f64),
        ("target_open", "Whether the own target takes requests", flag(target.is_open())),
        ("target_running", "Requests running on the own target", target.running.into()),
        ("target_queued", "Requests waiting for the own target", target.queued.into()),
        ("target_limit", "Requests that may run on the own target at once", target.limit.into()),
        (
            "target_rate_limited",
            "Whether the own target states a rate limit",
            flag(rate_limit.is_some()),
        ),
        (
            "target_rate_limit",
            "Requests per second that the own target takes; 0 without a rate limit",
            rate_limit.unwrap_or_default(),
        ),
        ("target_leaving", "Whether the own target states that it leaves", flag(target.is_leaving)),
        ("peers", "Peers that the node knows", tables.peers.len() as f64),
        ("peers_open", "Peers that take requests", open_peers as f64),
        ("leaving", "Whether the node is leaving", flag(tables.leaving)),
        (
            "configuration_revision",
            "The configuration in force",
            tables.configuration.revision.0 as f64,
        ),
        ("configuration_age_seconds", "The age of the node's knowledge of it", seconds(age)),
        (
            "cut_off",
            "Whether the node may not judge keys any more",
            flag(tables.freshness.is_cut_off),
        ),
        ("suspects", "Requests that may crash targets", tables.suspects.len() as f64),
    ]
}

fn flag(value: bool) -> f64 {
    if value { 1.0 } else { 0.0 }
}

fn seconds(length: Millis) -> f64 {
    length.0 as f64 / MILLIS_IN_SECOND
}

impl Collector for Snapshot {
    fn encode(&self, mut encoder: DescriptorEncoder<'_>) -> Result<(), fmt::Error> {
        encode_counters(&mut encoder, "refusals", "Requests refused", "reason", &self.refusals)?;
        encode_counters(&mut encoder, "retries", "Requests tried again", "cause", &self.retries)?;
        encode_counters(&mut encoder, "work", "Work done", "kind", &self.work)?;
        for (name, help, value) in &self.gauges {
            let gauge = ConstGauge::new(*value);
            gauge.encode(encoder.encode_descriptor(name, help, None, MetricType::Gauge)?)?;
        }
        let help = "How long requests took";
        let mut metric = describe_histogram(&mut encoder, "request_duration_seconds", help)?;
        for (labels, histogram) in &self.requests {
            let labels = labels.as_slice();
            encode_histogram(metric.encode_family(&labels)?, histogram)?;
        }
        let help = "How long steps took";
        let mut metric = describe_histogram(&mut encoder, "step_duration_seconds", help)?;
        for (step, histogram) in &self.steps {
            encode_histogram(metric.encode_family(&[("step", step.as_str())])?, histogram)?;
        }
        Ok(())
    }
}

fn encode_counters(
    encoder: &mut DescriptorEncoder<'_>,
    name: &str,
    help: &str,
    label: &str,
    counts: &[(String, u64)],
) -> Result<(), fmt::Error> {
    let mut metric = encoder.encode_descriptor(name, help, None, MetricType::Counter)?;
    for (value, count) in counts {
        let counter = ConstCounter::new(*count);
        counter.encode(metric.encode_family(&[(label, value.as_str())])?)?;
    }
    Ok(())
}

fn describe_histogram<'a>(
    encoder: &'a mut DescriptorEncoder<'_>,
    name: &'a str,
    help: &str,
) -> Result<MetricEncoder<'a>, fmt::Error> {
    encoder.encode_descriptor(name, help, None, MetricType::Histogram)
}

fn encode_histogram(
    mut metric: MetricEncoder<'_>,
    histogram: &Histogram,
) -> Result<(), fmt::Error> {
    let upper_seconds = |bound: Option<Millis>| bound.map_or(f64::MAX, seconds);
    let buckets: Vec<(f64, u64)> =
        histogram.buckets().map(|(upper, count)| (upper_seconds(upper), count)).collect();
    let (sum, count) = (seconds(histogram.sum), histogram.count());
    metric.encode_histogram::<NoLabelSet>(sum, count, &buckets, None)
}
