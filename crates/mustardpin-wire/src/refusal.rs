//! Refusals as HTTP responses.

use bytes::Bytes;
use mustardpin_http::write;
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

/// Writes the headers of a refusal to `out` and returns its body.
///
/// ```
/// use mustardpin_wire::refusal;
/// use mustardpin_world::refusal::{Reason, Refusal};
///
/// let mut out = Vec::new();
/// refusal::write(&Refusal::not_run(Reason::NoTarget), &mut out);
/// assert!(out.starts_with(b"mustardpin-outcome: not-run\r\n"));
/// ```
pub fn write(refusal: &refusal::Refusal, out: &mut Vec<u8>) -> Bytes {
    let (reason, outcome) = (refusal.reason.to_string(), refusal.outcome.to_string());
    write::header(out, header::OUTCOME, outcome.as_bytes());
    write::header(out, header::REASON, reason.as_bytes());
    write::header(out, "content-type", header::PROBLEM_JSON.as_bytes());
    if let Some(wait) = refusal.retry_after {
        write::numeric_header(out, "retry-after", seconds_rounded_up(wait));
    }
    let status = refusal.status();
    let title = title(status);
    let problem = Problem { title, status, outcome: &outcome, reason: &reason };
    // Can't fail: a struct of strings and a number always serializes to JSON.
    serde_json::to_vec(&problem).unwrap_or_default().into()
}

/// Rounds up, so that the caller doesn't retry too early.
fn seconds_rounded_up(wait: Millis) -> u64 {
    wait.0.div_ceil(1_000)
}

fn title(status: u16) -> &'static str {
    let status = http::StatusCode::from_u16(status).ok();
    status.and_then(|status| status.canonical_reason()).unwrap_or("Refused")
}
