//! What callers and targets say in HTTP fields, as the rest of the node knows it.
//!
//! A dialect names fields and reads and writes their values. It decides nothing: what a request may
//! do, and what a refusal means, is the world's.

use bytes::Bytes;
use compact_str::CompactString;
use derive_more::{Display, Error};
use mustardpin_http::head::{Request, Response};
use mustardpin_world::{
    Event, Millis,
    refusal::{Reason, Refusal},
    request::{CallToken, Origin, TargetLoad},
};

use crate::scrub::Secret;

/// Where a request came in.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Port {
    /// The port for callers.
    Callers,
    /// The port for the node's own target. Callers may use it too.
    Local,
}

/// Why a request cannot be read.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Display, Error)]
#[display("{problem}")]
pub struct RequestError {
    /// The reason under which it is refused.
    pub reason: Reason,
    /// What is wrong with it.
    pub problem: CompactString,
}

impl RequestError {
    /// A malformed request.
    ///
    /// ```
    /// use mustardpin_wire::dialect::RequestError;
    /// assert_eq!(RequestError::malformed("no host").to_string(), "no host");
    /// ```
    pub fn malformed(problem: impl Into<CompactString>) -> RequestError {
        RequestError { reason: Reason::RequestMalformed, problem: problem.into() }
    }
}

/// What a request's head says.
#[derive(Debug, Clone)]
pub struct ParsedRequest {
    /// Who sent it.
    pub origin: Origin,
    /// Its id, if its sender chose one.
    pub id: Option<CompactString>,
    /// The host it is for, in lower case, without a port.
    pub host: CompactString,
    /// How long its sender waits.
    pub timeout: Option<Millis>,
    /// The key it came with, which must not go on.
    pub secret: Secret,
}

/// What the node where a request began says of it to the target.
#[derive(Debug, Clone, Copy)]
pub struct EntryHeaders<'a> {
    /// The service of the node's target.
    pub caller_service: &'a str,
    /// The team that it runs for.
    pub team: Option<&'a str>,
}

/// What the node next to a target says with a request.
#[derive(Debug, Clone, Copy)]
pub struct DeliveryHeaders<'a> {
    /// The target that is meant, if it has an id.
    pub instance: &'a str,
    /// Links the target's own calls to the request.
    pub token: CallToken,
    /// The time that is left to the request.
    pub left: Millis,
}

/// What a target's answer means.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ResponseKind {
    /// It is the target's answer to the request.
    Valid {
        /// What it says of the target's load.
        load: Option<TargetLoad>,
    },
    /// The target did not run the request.
    Declined,
    /// Another target than the one that was meant is there, and did not run the request.
    Misdirected,
    /// It cannot be passed on as an answer to this request.
    Unusable(&'static str),
}

/// What a target said of itself, and what it is answered.
#[derive(Debug, Clone, PartialEq)]
pub struct Report {
    /// What it said; `None` if it says nothing that can be used.
    pub event: Option<Event>,
    /// The status of the answer.
    pub status: u16,
    /// The body of the answer.
    pub body: Bytes,
}

/// Reads and writes what callers and targets say in HTTP fields.
pub trait Dialect: Send + Sync {
    /// Reads a request's head.
    ///
    /// # Errors
    ///
    /// If it cannot be read.
    fn read_request(&self, port: Port, head: &Request) -> Result<ParsedRequest, RequestError>;

    /// Whether a field of a caller's request goes on to the target. Fields that concern one
    /// connection, and the length of the body, are not asked for.
    fn forwards_request_header(&self, request: &ParsedRequest, name: &str, value: &[u8]) -> bool;

    /// Writes the fields that the node where the request began adds.
    fn write_entry_headers(&self, entry: EntryHeaders<'_>, fields: &mut Vec<u8>);

    /// Writes the fields that the node next to the target adds.
    fn write_delivery_headers(&self, delivery: DeliveryHeaders<'_>, fields: &mut Vec<u8>);

    /// Reads the head of a target's answer to the request with this id.
    fn read_response(&self, id: &str, head: &Response) -> ResponseKind;

    /// Whether a field of a target's answer goes on to the caller.
    fn forwards_response_header(&self, name: &str) -> bool;

    /// Writes the fields of a refusal and returns its body. `left` is the time that the caller
    /// still waits, if it has said so.
    fn write_refusal(&self, refusal: &Refusal, left: Option<Millis>, fields: &mut Vec<u8>)
    -> Bytes;

    /// Reads a report of the own target; `None` if the request is not one.
    fn read_report(&self, head: &Request, body: &[u8]) -> Option<Report>;

    /// Whether a request asks if the node is ready.
    fn is_readiness_check(&self, head: &Request) -> bool;
}
