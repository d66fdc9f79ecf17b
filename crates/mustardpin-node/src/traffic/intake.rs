//! Accepts a request whose head has been received: parses it and inserts it into `Exchanges`.

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
    backlog::Holder,
    body::Body,
    budget::Reservation,
    exchange::{Attempt, Exchange, Outbound, OutboundHead, ResponseRecipient},
    exchanges::Exchanges,
    response::CallerResponse,
};

/// How long callers should wait before they retry a request that was refused because the node had
/// no room for it: the limit of requests in progress or of buffered bodies was reached.
const RETRY_AFTER: Millis = Millis(300);

/// A request that was inserted into `Exchanges`.
pub(super) struct Opened {
    /// The ticket that identifies the request.
    pub(super) ticket: Ticket,
    /// Receives the response.
    pub(super) response: oneshot::Receiver<CallerResponse>,
}

/// Inserts a caller's request into `Exchanges`. Its body keeps the reservation until the request is
/// removed, and its response is added to what `holder` counts. Returns the response to send if the
/// request is refused.
pub(super) fn open(
    exchanges: &Arc<Exchanges>,
    port: Port,
    head: &head::Request,
    body: Body,
    reservation: Reservation,
    holder: Holder,
) -> Result<Opened, Box<CallerResponse>> {
    let parsed = exchanges.dialect.read_request(port, head);
    let parsed = parsed.map_err(|error| Box::new(refuse(exchanges, error.reason, None)))?;
    let expires = parsed.timeout.map(|timeout| exchanges.clock.now() + timeout);
    let (sender, response) = oneshot::channel();
    let outbound = outbound_head(exchanges, head, &parsed, &body);
    let (id, fingerprint) = (outbound.id.clone(), outbound.fingerprint);
    let exchange = Exchange {
        request: Arc::new(Outbound::new(outbound, body, reservation)),
        recipient: Some(ResponseRecipient::Caller { response: sender, holder }),
        attempt: Attempt::None,
        undecided: None,
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
    match exchanges.open(exchange, request) {
        Some(ticket) => Ok(Opened { ticket, response }),
        None => Err(Box::new(refuse(exchanges, Reason::InProgressLimit, parsed.timeout))),
    }
}

/// The trailers of a request that are forwarded, as encoded lines.
pub(super) fn trailers(
    exchanges: &Exchanges,
    port: Port,
    head: &head::Request,
    trailers: &Headers,
) -> Bytes {
    // A request whose head cannot be parsed is not forwarded.
    let Ok(parsed) = exchanges.dialect.read_request(port, head) else { return Bytes::new() };
    let mut trailer_lines = Vec::new();
    scrub::copy_headers(
        trailers,
        |name, value| exchanges.dialect.forwards_request_header(&parsed, name, value),
        &mut trailer_lines,
    );
    trailer_lines.into()
}

/// The head of the request to be sent on.
fn outbound_head(
    exchanges: &Exchanges,
    head: &head::Request,
    parsed: &ParsedRequest,
    body: &Body,
) -> OutboundHead {
    let mut header_lines = Vec::with_capacity(256);
    let is_forwarded =
        |name: &str, value: &[u8]| exchanges.dialect.forwards_request_header(parsed, name, value);
    scrub::copy_headers(&head.headers, is_forwarded, &mut header_lines);
    let prefix = match body {
        Body::Complete(bytes) => bytes,
        Body::Stream(streamed) => streamed.first(),
        Body::Empty => &[],
    };
    let fingerprint = fingerprint::of(&exchanges.service, head.method(), head.target(), prefix);
    OutboundHead {
        id: parsed.id.clone().unwrap_or_else(random_id),
        method: head.method().into(),
        target: head.target().into(),
        header_lines: header_lines.into(),
        fingerprint,
        is_from_peer: false,
    }
}

fn random_id() -> CompactString {
    compact_str::format_compact!("{:016x}", rand::random::<u64>())
}

/// The response for a request that is refused before it reaches the control thread.
pub(super) fn refuse(
    exchanges: &Exchanges,
    reason: Reason,
    left: Option<Millis>,
) -> CallerResponse {
    let refusal = match reason {
        Reason::InProgressLimit | Reason::ConnectionLimit => {
            Refusal::not_run(reason).after(RETRY_AFTER)
        }
        _ => Refusal::not_run(reason),
    };
    refusal_response(exchanges, refusal, left)
}

/// Counts a refusal and returns its response.
pub(super) fn refusal_response(
    exchanges: &Exchanges,
    refusal: Refusal,
    left: Option<Millis>,
) -> CallerResponse {
    exchanges.outbox.push(Event::Refused(refusal.reason));
    CallerResponse::refusal(&*exchanges.dialect, &refusal, left)
}
