//! The interface to the HTTP headers that callers and targets use.
//!
//! A dialect knows the names of the headers, and reads and writes their values. It makes no
//! decisions: the world decides what a request may do and when it is refused.

use bytes::Bytes;
use compact_str::CompactString;
use derive_more::{Display, Error};
use mustardpin_http::head::{Request, Response};
use mustardpin_world::{
    Event, Millis,
    notice::Notice,
    refusal::{Reason, Refusal},
    request::{CallToken, Origin, TargetLoad},
};

use crate::scrub::Secret;

/// The listener that a request arrived at.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Port {
    /// The listener for callers.
    Callers,
    /// The listener for the node's local target. Callers may use it too.
    Local,
}

/// Why the head of a request is rejected.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Display, Error)]
#[display("{problem}")]
pub struct RequestError {
    /// The reason of the refusal.
    pub reason: Reason,
    /// What is wrong with the request.
    pub problem: CompactString,
}

impl RequestError {
    /// The error for a malformed request.
    ///
    /// ```
    /// use mustardpin_wire::dialect::RequestError;
    /// assert_eq!(RequestError::malformed("no host").to_string(), "no host");
    /// ```
    pub fn malformed(problem: impl Into<CompactString>) -> RequestError {
        RequestError { reason: Reason::RequestMalformed, problem: problem.into() }
    }
}

/// The values that a dialect reads from a request's head.
#[derive(Debug, Clone)]
pub struct ParsedRequest {
    /// The sender of the request.
    pub origin: Origin,
    /// The request's id, if its sender chose one.
    pub id: Option<CompactString>,
    /// The host that the request is for, in lower case, without a port; empty if it has none.
    pub host: CompactString,
    /// The time that the sender waits for the complete response, if it sent one.
    pub timeout: Option<Millis>,
    /// The secret of the caller's key, which must not be forwarded.
    pub secret: Secret,
}

/// The values that the node which accepted a request from its sender adds for the target.
#[derive(Debug, Clone, Copy)]
pub struct EntryHeaders<'a> {
    /// The service of the node's target.
    pub caller_service: &'a str,
    /// The team that the request runs for.
    pub team: Option<&'a str>,
}

/// The values that the target's own node adds when it sends a request to the target.
#[derive(Debug, Clone, Copy)]
pub struct DeliveryHeaders<'a> {
    /// The instance id of the expected target; empty if it has none.
    pub instance: &'a str,
    /// The token that links the target's own calls to the request.
    pub token: CallToken,
    /// The time until the request's deadline.
    pub left: Millis,
}

/// What a target's response means.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ResponseKind {
    /// The target's response to the request.
    Valid {
        /// The target's load, if the response reports it.
        load: Option<TargetLoad>,
    },
    /// The target did not run the request.
    Declined,
    /// Another target than the expected one is at the address, and did not run the request.
    Misdirected,
    /// The response can't be forwarded as a response to this request, for the reason given.
    Unusable(&'static str),
}

/// A process that reports that it leaves: it takes no more requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Departure {
    /// The instance id of the target.
    pub instance: CompactString,
    /// When the process started, by its own clock; `None` if not reported.
    pub started: Option<Millis>,
}

/// A target's report of its own state, and the response to it.
#[derive(Debug, Clone, PartialEq)]
pub struct Report {
    /// The event for the world; `None` if the report is invalid, or reports nothing but a departure.
    pub event: Option<Event>,
    /// The departure that is reported, if any. The response is sent only once it has been recorded.
    pub departure: Option<Departure>,
    /// The HTTP status code of the response.
    pub status: u16,
    /// The body of the response.
    pub body: Bytes,
}

/// Reads and writes the HTTP headers that callers and targets use.
pub trait Dialect: Send + Sync {
    /// Reads a request's head.
    ///
    /// # Errors
    ///
    /// If the head is malformed, or the sender may not use one of its headers.
    fn read_request(&self, port: Port, head: &Request) -> Result<ParsedRequest, RequestError>;

    /// Whether a header of a caller's request is forwarded to the target. Hop-by-hop headers and
    /// `Content-Length` are never forwarded, and not passed to this function.
    fn forwards_request_header(&self, request: &ParsedRequest, name: &str, value: &[u8]) -> bool;

    /// Writes the headers that the node which accepted the request from its sender adds.
    fn write_entry_headers(&self, entry: EntryHeaders<'_>, out: &mut Vec<u8>);

    /// Writes the headers that the target's own node adds.
    fn write_delivery_headers(&self, delivery: DeliveryHeaders<'_>, out: &mut Vec<u8>);

    /// Reads the head of a target's response to the request with this id.
    fn read_response(&self, id: &str, head: &Response) -> ResponseKind;

    /// Reads what the head of a target's response to the request with this id states about the
    /// target. Nothing, if the response belongs to another request or comes from another target.
    fn read_notice(&self, id: &str, head: &Response) -> Notice;

    /// Whether the connection may be used again after this response of a target. It may not if a late
    /// copy of the response could be taken for a refusal of the next request.
    fn allows_reuse(&self, head: &Response) -> bool;

    /// Whether a header of a target's response is forwarded to the caller.
    fn forwards_response_header(&self, name: &str) -> bool;

    /// Writes the headers of a refusal and returns its body. `left` is the remaining time that the
    /// caller waits, if it sent a timeout.
    fn write_refusal(&self, refusal: &Refusal, left: Option<Millis>, out: &mut Vec<u8>) -> Bytes;

    /// Reads a report of the local target; `None` if the request is not a report.
    fn read_report(&self, head: &Request, body: &[u8]) -> Option<Report>;

    /// Whether a request is a readiness check of the node.
    fn is_readiness_check(&self, head: &Request) -> bool;
}
