//! Requests in progress: the rows of `Exchanges`.

use std::sync::{Arc, Mutex, PoisonError};

use bytes::Bytes;
use compact_str::CompactString;
use mustardpin_world::{Millis, refusal::Refusal, request::Fingerprint};
use tokio::sync::oneshot;

use crate::traffic::{
    backlog::Holder, body::Body, budget::Reservation, link::OutgoingLink, response::CallerResponse,
    sender::Sender,
};

slotmap::new_key_type! {
    /// The key of a row in `Exchanges`.
    pub(super) struct ExchangeKey;
}

/// A request to be sent on, without tenant keys and connection-specific headers.
#[derive(Debug)]
pub(super) struct Outbound {
    /// The request id, as in log entries.
    pub(super) id: CompactString,
    /// The HTTP method.
    pub(super) method: CompactString,
    /// The request target: path and query.
    pub(super) target: CompactString,
    /// The headers as encoded lines. If a peer forwarded the request, they include the entry
    /// headers, which are added by the node that received the request from its caller.
    pub(super) header_lines: Bytes,
    /// The digest of the request.
    pub(super) fingerprint: Fingerprint,
    /// Whether a peer forwarded the request.
    pub(super) is_from_peer: bool,
    body: Mutex<Body>,
    #[allow(dead_code, reason = "dropped to release the memory of the body")]
    reservation: Reservation,
}

/// The request body for one attempt.
pub(super) enum Payload {
    /// The complete body, which can be sent again.
    Complete(Bytes),
    /// A body that can be sent only once.
    Stream(crate::traffic::body::Stream),
    /// The body was a stream that an earlier attempt has consumed.
    Consumed,
}

/// The parts of an outbound request other than its body.
pub(super) struct OutboundHead {
    pub(super) id: CompactString,
    pub(super) method: CompactString,
    pub(super) target: CompactString,
    pub(super) header_lines: Bytes,
    pub(super) fingerprint: Fingerprint,
    pub(super) is_from_peer: bool,
}

impl Outbound {
    /// A request whose body has this reservation.
    pub(super) fn new(head: OutboundHead, body: Body, reservation: Reservation) -> Outbound {
        let OutboundHead { id, method, target, header_lines, fingerprint, is_from_peer } = head;
        Outbound {
            id,
            method,
            target,
            header_lines,
            fingerprint,
            is_from_peer,
            body: Mutex::new(body),
            reservation,
        }
    }

    /// Returns the body for an attempt. A streamed body is returned only once.
    pub(super) fn payload(&self) -> Payload {
        let mut body = self.body.lock().unwrap_or_else(PoisonError::into_inner);
        match &*body {
            Body::Complete(bytes) => return Payload::Complete(bytes.clone()),
            Body::Empty => return Payload::Consumed,
            Body::Stream(_) => {}
        }
        match std::mem::replace(&mut *body, Body::Empty) {
            Body::Stream(stream) => Payload::Stream(stream),
            _ => Payload::Consumed,
        }
    }

    /// Keeps the streamed body of an attempt for the next one, if no piece of it was taken.
    pub(super) fn keep_unused(&self, stream: crate::traffic::body::Stream) {
        if !stream.is_started() {
            *self.body.lock().unwrap_or_else(PoisonError::into_inner) = Body::Stream(stream);
        }
    }
}

/// Where the response to a request is sent.
pub(super) enum ResponseRecipient {
    /// The connection task of a caller.
    Caller {
        /// Takes the response.
        response: oneshot::Sender<CallerResponse>,
        /// What counts the response until it is sent.
        holder: Holder,
    },
    /// A peer that forwarded the request.
    Peer {
        /// The connection over which the request arrived.
        sender: Arc<Sender>,
        /// The request's stream id on that connection.
        stream: u32,
    },
}

/// The attempt in progress on a request.
pub(super) enum Attempt {
    /// No attempt is in progress.
    None,
    /// A run on the local target. Dropping the sender stops it.
    Running(#[allow(dead_code, reason = "dropped to stop the run")] oneshot::Sender<()>),
    /// The request was forwarded to a peer.
    Forwarded {
        /// The connection to the peer.
        link: Arc<OutgoingLink>,
        /// The request's stream id on that connection.
        stream: u32,
    },
}

/// A request in progress.
pub(super) struct Exchange {
    /// The request as sent to the target or a peer.
    pub(super) request: Arc<Outbound>,
    /// Where the response is sent; `None` once sending has begun.
    pub(super) recipient: Option<ResponseRecipient>,
    /// The attempt in progress.
    pub(super) attempt: Attempt,
    /// A complete response that waits for the control thread's decision.
    pub(super) undecided: Option<CallerResponse>,
    /// When the caller's timeout ends, if the caller specified one.
    pub(super) expires: Option<Millis>,
}

/// The final response to a request.
pub(super) enum FinalResponse {
    /// A response from a target.
    Response(CallerResponse),
    /// A refusal generated by a node.
    Refusal(Refusal),
}
