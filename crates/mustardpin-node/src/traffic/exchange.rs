//! Requests in progress, as rows of the board.

use std::sync::{Arc, Mutex, PoisonError};

use bytes::Bytes;
use compact_str::CompactString;
use mustardpin_world::{Millis, refusal::Refusal, request::Fingerprint};
use tokio::sync::oneshot;

use crate::traffic::{body::Body, link::Outgoing, response::CallerResponse, sender::Sender};

slotmap::new_key_type! {
    /// Names a row of the table of exchanges.
    pub(super) struct ExchangeKey;
}

/// A request as it goes on: without keys, and without what belongs to the connection it came over.
#[derive(Debug)]
pub(super) struct Outbound {
    /// Its id, as in logs.
    pub(super) id: CompactString,
    /// The HTTP method.
    pub(super) method: CompactString,
    /// Path and query.
    pub(super) target: CompactString,
    /// The fields, as lines. The fields that the node where the request began adds are among them
    /// if a peer passed the request on.
    pub(super) fields: Bytes,
    /// The digest of the request.
    pub(super) fingerprint: Fingerprint,
    /// Whether a peer passed the request on.
    pub(super) is_from_peer: bool,
    body: Mutex<Body>,
}

/// The body of a request for one attempt.
pub(super) enum Payload {
    /// The whole body, which may be sent again.
    Whole(Bytes),
    /// A body that can be sent once.
    Stream(crate::traffic::body::Stream),
    /// The body was sent before, and is not there any more.
    Gone,
}

/// What goes on of a request beside its body.
pub(super) struct OutboundHead {
    pub(super) id: CompactString,
    pub(super) method: CompactString,
    pub(super) target: CompactString,
    pub(super) fields: Bytes,
    pub(super) fingerprint: Fingerprint,
    pub(super) is_from_peer: bool,
}

impl Outbound {
    pub(super) fn new(head: OutboundHead, body: Body) -> Outbound {
        let OutboundHead { id, method, target, fields, fingerprint, is_from_peer } = head;
        Outbound { id, method, target, fields, fingerprint, is_from_peer, body: Mutex::new(body) }
    }

    /// The body for an attempt.
    pub(super) fn payload(&self) -> Payload {
        let mut body = self.body.lock().unwrap_or_else(PoisonError::into_inner);
        match &*body {
            Body::Whole(bytes) => return Payload::Whole(bytes.clone()),
            Body::Empty => return Payload::Gone,
            Body::Stream(_) => {}
        }
        match std::mem::replace(&mut *body, Body::Empty) {
            Body::Stream(stream) => Payload::Stream(stream),
            _ => Payload::Gone,
        }
    }
}

/// Who waits for the answer.
pub(super) enum ResponseRecipient {
    /// A caller's connection.
    Caller(oneshot::Sender<CallerResponse>),
    /// A peer that passed the request on.
    Peer {
        /// The connection that it came over.
        sender: Arc<Sender>,
        /// Its name on that connection.
        stream: u32,
    },
}

/// The attempt in progress.
pub(super) enum Attempt {
    /// There is none.
    None,
    /// A run on the own target. Dropping the sender stops it.
    Running(#[allow(dead_code, reason = "its end is what counts")] oneshot::Sender<()>),
    /// A peer has the request.
    Forwarded {
        /// The connection to the peer.
        link: Arc<Outgoing>,
        /// Its name on that connection.
        stream: u32,
    },
}

/// A request in progress.
pub(super) struct Exchange {
    /// The request.
    pub(super) request: Arc<Outbound>,
    /// Who waits for the answer; `None` once it has begun.
    pub(super) answer_to: Option<ResponseRecipient>,
    /// The attempt in progress.
    pub(super) attempt: Attempt,
    /// A whole answer that waits for the control thread's word.
    pub(super) held: Option<CallerResponse>,
    /// Until when the caller waits, if it has said so.
    pub(super) expires: Option<Millis>,
}

/// The final word on a request, for whoever waits for it.
pub(super) enum FinalResponse {
    /// A target's answer.
    Response(CallerResponse),
    /// The system's own.
    Refusal(Refusal),
}
