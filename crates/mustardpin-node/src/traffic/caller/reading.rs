//! Reads the requests of a connection.

use bytes::{Bytes, BytesMut};
use mustardpin_http::{
    Error,
    body::{Body as Decoder, Buffer, Piece as Decoded},
    framing::Framing,
    head::Request,
};
use mustardpin_wire::dialect::{Departure, Report};
use mustardpin_world::{
    Event,
    log::{Entry, Level},
    refusal::{Reason, Refusal},
};
use tokio::{
    sync::{mpsc, oneshot},
    time::Instant,
};

use crate::traffic::{
    body::{self, Body, Piece, Writer},
    budget::Reservation,
    caller::{Connection, ResponseOptions, ResponseSlot, writing::Writing},
    exchanges::Exchanges,
    intake::{self, Opened},
    listener::ListenerKind,
    response::CallerResponse,
};

/// From this status on, the response to a report says that it is invalid.
const CLIENT_ERROR: u16 = 400;

/// A request whose body is being buffered.
struct BufferedRequest {
    head: Request,
    decoder: Decoder,
    buffered: Buffer,
    /// The length of the body in bytes, if it was declared.
    length: Option<u64>,
    /// The trailers as encoded lines.
    trailers: Bytes,
    reservation: Reservation,
    /// The number of body bytes received. Also counts bytes that are streamed later.
    received_bytes: u64,
    /// Whether the caller waits for `100 Continue` before it sends the body.
    awaits_continue: bool,
}

/// A request whose body is streamed.
struct StreamedRequest {
    head: Request,
    decoder: Decoder,
    trailers: Bytes,
    writer: Writer,
    pending: Option<Piece>,
    received_bytes: u64,
}

/// A body whose request has ended. The rest of it is discarded, so that the connection can be used
/// for the next request.
struct DiscardedBody {
    decoder: Decoder,
    received_bytes: u64,
}

/// How much of the next request has been received.
#[derive(Default)]
enum State {
    /// Its head is incomplete.
    #[default]
    Head,
    /// Its body is buffered until it is complete.
    Body(Box<BufferedRequest>),
    /// It is in progress, and its body is streamed.
    Streaming(Box<StreamedRequest>),
    /// It has ended, and the rest of its body is discarded.
    Discarding(DiscardedBody),
}

/// The reading side of a connection.
#[derive(Default)]
pub(super) struct Reading {
    state: State,
    /// When the first bytes of an incomplete head were received.
    since: Option<Instant>,
    /// When bytes were last received while a body is being read; `None` outside a body.
    last_received: Option<Instant>,
}

impl Reading {
    /// Parses the buffered bytes. Returns true if a request has ended, so that the next can be
    /// parsed.
    pub(super) fn take(&mut self, connection: &mut Connection, buffer: &mut BytesMut) -> bool {
        match std::mem::take(&mut self.state) {
            State::Head => self.take_head(connection, buffer),
            State::Body(incoming) => self.take_body(connection, buffer, *incoming),
            State::Streaming(request) => self.stream_body(connection, buffer, *request),
            State::Discarding(body) => self.discard_body(connection, buffer, body),
        }
    }

    fn take_head(&mut self, connection: &mut Connection, buffer: &mut BytesMut) -> bool {
        let limit = connection.exchanges.caller_limits().header_size as usize;
        let head = match Request::take(buffer, limit) {
            Ok(Some(head)) => head,
            Ok(None) => {
                self.since = match buffer.is_empty() {
                    true => None,
                    false => self.since.or_else(|| Some(Instant::now())),
                };
                return false;
            }
            Err(error) => return refuse(connection, None, reason_of(error)),
        };
        self.since = None;
        if connection.admission.is_err() {
            return refuse(connection, Some(&head), Reason::ConnectionLimit);
        }
        let framing = match Framing::of_request(&head.headers) {
            Ok(framing) => framing,
            Err(error) => return refuse(connection, Some(&head), reason_of(error)),
        };
        let limit = connection.exchanges.caller_limits().body_size;
        if matches!(framing, Framing::Length(length) if length > limit) {
            return refuse(connection, Some(&head), Reason::BodyTooLarge);
        }
        let length = match framing {
            Framing::Length(length) => Some(length),
            _ => None,
        };
        let decoder = Decoder::from(framing);
        if decoder.is_complete() {
            let reservation = connection.exchanges.body_budget.reservation();
            accept(connection, head, Body::Complete(Bytes::new()), reservation);
            return true;
        }
        self.last_received = Some(Instant::now());
        // A body that is too large to buffer is streamed once this many bytes were received.
        let max_buffered = connection.exchanges.limits.retry_body_size as u64;
        let mut reservation = connection.exchanges.body_budget.reservation();
        let awaits_continue = head.headers.has_token("expect", "100-continue") && buffer.is_empty();
        if !reservation.grow_to(length.unwrap_or(0).min(max_buffered) as usize) {
            if awaits_continue {
                // The caller may send another request in place of the body.
                return refuse(connection, Some(&head), Reason::InProgressLimit);
            }
            let body = DiscardedBody { decoder, received_bytes: 0 };
            return self.refuse_body(connection, buffer, &head, body);
        }
        let incoming = BufferedRequest {
            head,
            decoder,
            buffered: Buffer::default(),
            length,
            trailers: Bytes::new(),
            reservation,
            received_bytes: 0,
            awaits_continue,
        };
        self.take_body(connection, buffer, incoming)
    }

    /// Buffers the body until it is complete, or streams it if it is too large to buffer.
    fn take_body(
        &mut self,
        connection: &mut Connection,
        buffer: &mut BytesMut,
        mut incoming: BufferedRequest,
    ) -> bool {
        let exchanges = &connection.exchanges;
        loop {
            match incoming.decoder.take(buffer) {
                Ok(Decoded::Data(bytes)) => {
                    incoming.received_bytes += bytes.len() as u64;
                    if incoming.received_bytes > exchanges.caller_limits().body_size {
                        return refuse(connection, Some(&incoming.head), Reason::BodyTooLarge);
                    }
                    incoming.buffered.push(bytes);
                    if !incoming.reservation.grow_to(incoming.buffered.len()) {
                        let BufferedRequest { head, decoder, received_bytes, .. } = incoming;
                        let body = DiscardedBody { decoder, received_bytes };
                        return self.refuse_body(connection, buffer, &head, body);
                    }
                    if incoming.buffered.len() > exchanges.limits.retry_body_size {
                        return self.begin_streaming(connection, buffer, incoming);
                    }
                }
                Ok(Decoded::Trailers(trailers)) => {
                    incoming.trailers =
                        intake::trailers(exchanges, connection.port(), &incoming.head, &trailers);
                }
                Ok(Decoded::End) => {
                    self.last_received = None;
                    let body = Body::complete(incoming.buffered.into(), incoming.trailers);
                    accept(connection, incoming.head, body, incoming.reservation);
                    return true;
                }
                Ok(Decoded::Pending) => {
                    self.state = State::Body(Box::new(incoming));
                    return false;
                }
                Err(error) => {
                    return refuse(connection, Some(&incoming.head), reason_of(error));
                }
            }
        }
    }

    /// Starts streaming a body that is too large to buffer, and inserts its request into
    /// `Exchanges`.
    fn begin_streaming(
        &mut self,
        connection: &mut Connection,
        buffer: &mut BytesMut,
        incoming: BufferedRequest,
    ) -> bool {
        let (writer, streamed) = body::channel(incoming.length);
        let BufferedRequest {
            head, decoder, buffered, trailers, reservation, received_bytes, ..
        } = incoming;
        let body = Body::Stream(streamed.with_first(buffered.into()));
        accept(connection, head.clone(), body, reservation);
        let request =
            StreamedRequest { head, decoder, trailers, writer, pending: None, received_bytes };
        self.stream_body(connection, buffer, request)
    }

    /// Streams the received part of a body, as far as its channel has capacity.
    fn stream_body(
        &mut self,
        connection: &mut Connection,
        buffer: &mut BytesMut,
        mut request: StreamedRequest,
    ) -> bool {
        let limit = connection.exchanges.caller_limits().body_size;
        loop {
            if let Some(piece) = request.pending.take() {
                let is_end = matches!(piece, Piece::End(_));
                match request.writer.try_send(piece) {
                    Ok(()) if is_end => {
                        self.last_received = None;
                        return true;
                    }
                    Ok(()) => {}
                    Err(mpsc::error::TrySendError::Full(piece)) => {
                        request.pending = Some(piece);
                        self.state = State::Streaming(Box::new(request));
                        return false;
                    }
                    Err(mpsc::error::TrySendError::Closed(_)) => {
                        let StreamedRequest { decoder, received_bytes, .. } = request;
                        let body = DiscardedBody { decoder, received_bytes };
                        return self.discard_body(connection, buffer, body);
                    }
                }
            }
            match request.decoder.take(buffer) {
                Ok(Decoded::Data(bytes)) => {
                    request.received_bytes += bytes.len() as u64;
                    if request.received_bytes > limit {
                        return cancel_with(connection, &request.head, Reason::BodyTooLarge);
                    }
                    request.pending = Some(Piece::Data(bytes));
                }
                Ok(Decoded::Trailers(trailers)) => {
                    let exchanges = &connection.exchanges;
                    request.trailers =
                        intake::trailers(exchanges, connection.port(), &request.head, &trailers);
                }
                Ok(Decoded::End) => {
                    request.pending = Some(Piece::End(std::mem::take(&mut request.trailers)));
                }
                Ok(Decoded::Pending) => {
                    self.state = State::Streaming(Box::new(request));
                    return false;
                }
                Err(_) => {
                    connection.is_closing = true;
                    return false;
                }
            }
        }
    }

    /// Refuses a request for whose body there is no room, and discards the body.
    fn refuse_body(
        &mut self,
        connection: &mut Connection,
        buffer: &mut BytesMut,
        head: &Request,
        body: DiscardedBody,
    ) -> bool {
        let options = ResponseOptions::of(head);
        if !options.is_persistent {
            return refuse(connection, Some(head), Reason::InProgressLimit);
        }
        let response = intake::refuse(&connection.exchanges, Reason::InProgressLimit, None);
        connection.slots.push_back(ResponseSlot::Ready(response, options));
        self.discard_body(connection, buffer, body)
    }

    /// Discards the received part of a body whose request has ended.
    fn discard_body(
        &mut self,
        connection: &mut Connection,
        buffer: &mut BytesMut,
        mut body: DiscardedBody,
    ) -> bool {
        let limit = connection.exchanges.caller_limits().body_size;
        loop {
            match body.decoder.take(buffer) {
                Ok(Decoded::Data(bytes)) if body.received_bytes + bytes.len() as u64 <= limit => {
                    body.received_bytes += bytes.len() as u64;
                }
                Ok(Decoded::Trailers(_)) => {}
                Ok(Decoded::End) => {
                    self.last_received = None;
                    return true;
                }
                Ok(Decoded::Pending) => {
                    self.state = State::Discarding(body);
                    return false;
                }
                Ok(Decoded::Data(_)) | Err(_) => {
                    connection.is_closing = true;
                    connection.has_unread_request = true;
                    return false;
                }
            }
        }
    }

    /// Records that bytes were received.
    pub(super) fn record_received(&mut self) {
        if self.last_received.is_some() {
            self.last_received = Some(Instant::now());
        }
        if let State::Body(incoming) = &mut self.state {
            incoming.awaits_continue = false;
        }
    }

    /// Sends `100 Continue` to a caller that waits for it, once the responses before it were sent:
    /// it would lie inside one of them, or be taken for the response to another request.
    pub(super) fn send_continue(&mut self, connection: &Connection, writing: &mut Writing) {
        let is_due = connection.slots.is_empty() && writing.is_idle() && !connection.is_closing;
        if let State::Body(incoming) = &mut self.state
            && incoming.awaits_continue
            && is_due
        {
            incoming.awaits_continue = false;
            self.last_received = Some(Instant::now());
            writing.send_continue();
        }
    }

    /// Since when the connection has been waiting for the caller to send more of a request.
    pub(super) fn since(&self) -> Option<Instant> {
        match self.state {
            State::Head => self.since,
            State::Body(ref incoming) if incoming.awaits_continue => None,
            State::Body(_) => self.last_received,
            State::Streaming(ref request) if request.pending.is_some() => None,
            State::Streaming(_) | State::Discarding(_) => self.last_received,
        }
    }

    /// Whether a body is being read.
    pub(super) fn is_in_body(&self) -> bool {
        !matches!(self.state, State::Head)
    }

    /// Whether a piece of a body waits for channel capacity.
    pub(super) fn awaits_capacity(&self) -> bool {
        matches!(&self.state, State::Streaming(request) if request.pending.is_some())
    }

    /// Returns once there is capacity for a piece of a body.
    pub(super) async fn advance(&mut self) {
        if let State::Streaming(request) = &self.state {
            // Fails if the request has finished, which the next call of `stream_body` detects.
            let _ = request.writer.reserve().await;
        }
    }

    /// Handles a timeout while a request is being received.
    pub(super) fn time_out(&mut self, connection: &mut Connection) {
        match std::mem::take(&mut self.state) {
            State::Head => {
                self.since = None;
                refuse(connection, None, Reason::BodyTimeout);
            }
            State::Body(incoming) => {
                self.last_received = None;
                refuse(connection, Some(&incoming.head), Reason::BodyTimeout);
            }
            // Dropping the writer truncates the body, which aborts the request.
            State::Streaming(_) | State::Discarding(_) => self.last_received = None,
        }
    }
}

fn reason_of(error: Error) -> Reason {
    match error {
        Error::HeadTooLarge => Reason::HeadTooLarge,
        _ => Reason::RequestMalformed,
    }
}

/// Refuses a request, whose head is known unless it is malformed. No more requests are read after it.
fn refuse(connection: &mut Connection, head: Option<&Request>, reason: Reason) -> bool {
    let response = intake::refuse(&connection.exchanges, reason, None);
    refuse_with(connection, head, response)
}

fn refuse_with(
    connection: &mut Connection,
    head: Option<&Request>,
    response: CallerResponse,
) -> bool {
    let options = ResponseOptions {
        is_persistent: false,
        accepts_chunked: true,
        has_body: head.is_none_or(|head| ResponseOptions::of(head).has_body),
    };
    connection.is_closing = true;
    connection.has_unread_request = true;
    connection.slots.push_back(ResponseSlot::Ready(response, options));
    false
}

/// Cancels the request whose body is being streamed and sends a refusal. A target may have received
/// a part of the request.
fn cancel_with(connection: &mut Connection, head: &Request, reason: Reason) -> bool {
    if let Some(ResponseSlot::Open { ticket: Some(ticket), .. }) = connection.slots.pop_back() {
        connection.exchanges.caller_gone(ticket);
    }
    let response = intake::refusal_response(&connection.exchanges, Refusal::unknown(reason), None);
    refuse_with(connection, Some(head), response)
}

/// Accepts a request that has been read.
fn accept(connection: &mut Connection, head: Request, body: Body, reservation: Reservation) {
    let options = ResponseOptions::of(&head);
    connection.is_last |= !options.is_persistent;
    let slot = match local_response(connection, &head, &body) {
        Some(LocalResponse::Ready(response)) => ResponseSlot::Ready(response, options),
        Some(LocalResponse::Pending(response)) => {
            ResponseSlot::Open { ticket: None, response, options }
        }
        None => match open(connection, &head, body, reservation) {
            Ok(Opened { ticket, response }) => {
                ResponseSlot::Open { ticket: Some(ticket), response, options }
            }
            Err(response) => ResponseSlot::Ready(*response, options),
        },
    };
    connection.slots.push_back(slot);
}

fn open(
    connection: &Connection,
    head: &Request,
    body: Body,
    reservation: Reservation,
) -> Result<Opened, Box<CallerResponse>> {
    let holder = connection.account.holder();
    intake::open(&connection.exchanges, connection.port(), head, body, reservation, holder)
}

/// The response to a request for the node itself.
enum LocalResponse {
    Ready(CallerResponse),
    /// It follows once the departure that the request reports has been recorded.
    Pending(oneshot::Receiver<CallerResponse>),
}

/// The response to a request for the node itself: a readiness check or a report.
fn local_response(connection: &Connection, head: &Request, body: &Body) -> Option<LocalResponse> {
    let exchanges = &connection.exchanges;
    match connection.kind {
        ListenerKind::Callers | ListenerKind::Peers => None,
        ListenerKind::Readiness => {
            let is_known = exchanges.dialect.is_readiness_check(head);
            let status = match (is_known, exchanges.is_ready()) {
                (false, _) => 404,
                (true, true) => 200,
                (true, false) => 503,
            };
            Some(LocalResponse::Ready(CallerResponse::plain(status, Bytes::new())))
        }
        ListenerKind::Local | ListenerKind::Reports => {
            let bytes = match body {
                Body::Complete(bytes) => bytes.clone(),
                Body::Empty | Body::Stream(_) => Bytes::new(),
            };
            match exchanges.dialect.read_report(head, &bytes) {
                Some(report) => Some(accept_report(exchanges, report)),
                None if connection.kind == ListenerKind::Reports => {
                    Some(LocalResponse::Ready(CallerResponse::plain(404, Bytes::new())))
                }
                None => None,
            }
        }
    }
}

/// Passes a report to the control thread.
fn accept_report(exchanges: &Exchanges, report: Report) -> LocalResponse {
    if let Some(event) = report.event {
        exchanges.outbox.push(event);
    }
    if report.status >= CLIENT_ERROR {
        let entry = Entry::new(Level::Warn, "report_rejected")
            .with("status", u32::from(report.status))
            .with("cause", String::from_utf8_lossy(&report.body).into_owned());
        exchanges.outbox.log(entry);
    }
    let response = CallerResponse::plain(report.status, report.body);
    let Some(Departure { instance, started }) = report.departure else {
        return LocalResponse::Ready(response);
    };
    let (ticket, receiver) = exchanges.reports.insert(response);
    exchanges.outbox.push(Event::TargetLeft { instance, started, report: Some(ticket) });
    LocalResponse::Pending(receiver)
}
