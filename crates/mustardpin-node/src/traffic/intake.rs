//! Takes a request in whose head has come: reads what decisions need, and puts it on the board.

use std::sync::Arc;

use bytes::Bytes;
use compact_str::CompactString;
use mustardpin_http::{Headers, head};
use mustardpin_wire::{
    dialect::{ParsedRequest, Port},
    fingerprint, scrub,
};
use mustardpin_world::{
    Event, Millis,
    refusal::{Reason, Refusal},
    request::{Request, Ticket},
};
use tokio::sync::oneshot;

use crate::traffic::{
    answer::Answer,
    board::Board,
    body::Body,
    exchange::{AnswerTo, Attempt, Exchange, Outbound, OutboundHead},
};

/// When callers should send again what a node has no room for.
const RETRY_AFTER: Millis = Millis(300);

/// A request that was put on the board.
pub(super) struct Opened {
    /// Its name on the board.
    pub(super) ticket: Ticket,
    /// Where its answer comes.
    pub(super) answer: oneshot::Receiver<Answer>,
}

/// Puts a caller's request on the board, or says what to answer instead.
pub(super) fn open(
    board: &Arc<Board>,
    port: Port,
    head: &head::Request,
    body: Body,
) -> Result<Opened, Box<Answer>> {
    let parsed = board.dialect.read_request(port, head);
    let parsed = parsed.map_err(|error| Box::new(refusal(board, error.reason, None)))?;
    let expires = parsed.timeout.map(|timeout| board.clock.now() + timeout);
    let (caller, answer) = oneshot::channel();
    let outbound = outbound(board, head, &parsed, body);
    let (id, fingerprint) = (outbound.id.clone(), outbound.fingerprint);
    let exchange = Exchange {
        request: Arc::new(outbound),
        answer_to: Some(AnswerTo::Caller(caller)),
        attempt: Attempt::None,
        held: None,
        expires,
    };
    let path = head.target().split('?').next().unwrap_or_default();
    let request = |ticket| Request {
        ticket,
        origin: parsed.origin,
        id,
        host: parsed.host,
        method: head.method().into(),
        path: path.into(),
        fingerprint,
        timeout: parsed.timeout,
    };
    match board.open(exchange, request) {
        Some(ticket) => Ok(Opened { ticket, answer }),
        None => Err(Box::new(refusal(board, Reason::InProgressLimit, parsed.timeout))),
    }
}

/// The trailers of a request that go on, as lines.
pub(super) fn trailers(
    board: &Board,
    port: Port,
    head: &head::Request,
    trailers: &Headers,
) -> Bytes {
    // A request whose head cannot be read goes nowhere.
    let Ok(parsed) = board.dialect.read_request(port, head) else { return Bytes::new() };
    let mut lines = Vec::new();
    scrub::copy_headers(
        trailers,
        |name, value| board.dialect.forwards_request_header(&parsed, name, value),
        &mut lines,
    );
    lines.into()
}

/// The request as it goes on.
fn outbound(board: &Board, head: &head::Request, parsed: &ParsedRequest, body: Body) -> Outbound {
    let mut fields = Vec::with_capacity(256);
    let passes =
        |name: &str, value: &[u8]| board.dialect.forwards_request_header(parsed, name, value);
    scrub::copy_headers(&head.headers, passes, &mut fields);
    let begin = match &body {
        Body::Whole(bytes) => bytes,
        Body::Stream(rest) => rest.first(),
        Body::Empty => &[],
    };
    let fingerprint = fingerprint::of(&board.service, head.method(), head.target(), begin);
    let head = OutboundHead {
        id: parsed.id.clone().unwrap_or_else(random_id),
        method: head.method().into(),
        target: head.target().into(),
        fields: fields.into(),
        fingerprint,
        is_from_peer: false,
    };
    Outbound::new(head, body)
}

fn random_id() -> CompactString {
    compact_str::format_compact!("{:016x}", rand::random::<u64>())
}

/// The answer of a refusal that the world has no part in.
pub(super) fn refusal(board: &Board, reason: Reason, left: Option<Millis>) -> Answer {
    let refusal = match reason {
        Reason::InProgressLimit => Refusal::not_run(reason).after(RETRY_AFTER),
        _ => Refusal::not_run(reason),
    };
    answer(board, refusal, left)
}

/// The answer of a refusal, which is counted.
pub(super) fn answer(board: &Board, refusal: Refusal, left: Option<Millis>) -> Answer {
    board.outbox.push(Event::Refused(refusal.reason));
    Answer::refusal(&*board.dialect, &refusal, left)
}
