//! Recorded answers, and which headers of an answer reach the caller.

use bytes::Bytes;
use compact_str::CompactString;
use http::{HeaderMap, HeaderName, HeaderValue, Response, StatusCode};
use mustardpin_world::{refusal::Outcome, request::Answer};

use crate::{header, scrub};

/// Removes what concerns the connection to the target only, and whatever the target may have put
/// into headers that belong to the system.
pub fn clean(headers: &mut HeaderMap) {
    scrub::remove_hop_by_hop(headers);
    scrub::remove_internal(headers);
}

/// An answer of a target, to be given again to a repeat of the request.
///
/// `headers` must have been cleaned.
pub fn record(status: StatusCode, headers: &HeaderMap, body: Vec<u8>) -> Answer {
    let headers = headers
        .iter()
        .map(|(name, value)| (CompactString::from(name.as_str()), value.as_bytes().to_vec()))
        .collect();
    Answer { status: status.as_u16(), headers, body }
}

/// The HTTP answer that gives a recorded answer again. Headers that cannot be sent are left out.
///
/// ```
/// use mustardpin_wire::{answer, header};
/// use mustardpin_world::request::Answer;
///
/// let recorded = Answer { status: 201, headers: vec![], body: b"slot 7".to_vec() };
/// let response = answer::replay(&recorded);
/// assert_eq!(response.status(), 201);
/// assert_eq!(response.headers()[header::OUTCOME], "run");
/// ```
pub fn replay(answer: &Answer) -> Response<Bytes> {
    let mut response = Response::new(Bytes::copy_from_slice(&answer.body));
    *response.status_mut() = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::OK);
    for (name, value) in &answer.headers {
        let name = HeaderName::from_bytes(name.as_bytes());
        let value = HeaderValue::from_bytes(value);
        if let (Ok(name), Ok(value)) = (name, value) {
            response.headers_mut().append(name, value);
        }
    }
    let outcome = crate::refusal::outcome_value(Outcome::Run);
    response.headers_mut().insert(header::OUTCOME, outcome);
    response
}
