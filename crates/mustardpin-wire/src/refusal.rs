//! Refusals as HTTP answers.

use bytes::Bytes;
use http::{HeaderValue, Response, StatusCode, header as standard};
use mustardpin_world::{Millis, refusal};
use serde::Serialize;

use crate::header;

/// The body of a refusal, as `application/problem+json`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize)]
struct Problem<'a> {
    title: &'a str,
    status: u16,
    outcome: &'a str,
    reason: &'a str,
}

/// The HTTP answer of a refusal.
///
/// ```
/// use mustardpin_wire::{header, refusal};
/// use mustardpin_world::refusal::{Reason, Refusal};
///
/// let response = refusal::response(Refusal::not_run(Reason::NoTarget));
/// assert_eq!(response.status(), 503);
/// assert_eq!(response.headers()[header::OUTCOME], "not-run");
/// assert_eq!(response.headers()[header::REASON], "no_target");
/// ```
pub fn response(refusal: refusal::Refusal) -> Response<Bytes> {
    let status =
        StatusCode::from_u16(refusal.reason.status()).unwrap_or(StatusCode::SERVICE_UNAVAILABLE);
    let reason = refusal.reason.to_string();
    let problem = Problem {
        title: status.canonical_reason().unwrap_or("Refused"),
        status: status.as_u16(),
        outcome: outcome_name(refusal.outcome),
        reason: &reason,
    };
    // A struct of texts and a number always becomes JSON.
    let body = serde_json::to_vec(&problem).unwrap_or_default();
    let mut response = Response::new(Bytes::from(body));
    *response.status_mut() = status;
    let headers = response.headers_mut();
    headers.insert(standard::CONTENT_TYPE, HeaderValue::from_static(header::PROBLEM_JSON));
    headers.insert(header::OUTCOME, outcome_value(refusal.outcome));
    if let Ok(reason) = HeaderValue::from_str(&reason) {
        headers.insert(header::REASON, reason);
    }
    if let Some(wait) = refusal.retry_after {
        headers.insert(standard::RETRY_AFTER, HeaderValue::from(whole_seconds(wait)));
    }
    response
}

/// The value of the outcome header.
pub fn outcome_value(outcome: refusal::Outcome) -> HeaderValue {
    HeaderValue::from_static(outcome_name(outcome))
}

/// The outcome that a header names.
///
/// ```
/// use http::HeaderValue;
/// use mustardpin_wire::refusal::outcome;
/// use mustardpin_world::refusal::Outcome;
/// assert_eq!(outcome(&HeaderValue::from_static("not-run")), Some(Outcome::NotRun));
/// ```
pub fn outcome(value: &HeaderValue) -> Option<refusal::Outcome> {
    match value.as_bytes() {
        b"not-run" => Some(refusal::Outcome::NotRun),
        b"unknown" => Some(refusal::Outcome::Unknown),
        b"run" => Some(refusal::Outcome::Run),
        _ => None,
    }
}

fn outcome_name(outcome: refusal::Outcome) -> &'static str {
    match outcome {
        refusal::Outcome::NotRun => "not-run",
        refusal::Outcome::Unknown => "unknown",
        refusal::Outcome::Run => "run",
    }
}

/// Rounded up, so that the caller never comes back too early.
fn whole_seconds(wait: Millis) -> u64 {
    wait.0.div_ceil(1_000)
}
