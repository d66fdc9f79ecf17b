//! Runs one request on the local target.

use std::{io, sync::Arc};

use bytes::Bytes;
use compact_str::{CompactString, ToCompactString as _, format_compact};
use derive_more::{Display, Error, From};
use mustardpin_http::{
    body::{Body as Decoder, Buffer, Piece as Decoded},
    framing::Framing,
    head::Response,
    write,
};
use mustardpin_wire::{dialect::ResponseKind, scrub};
use mustardpin_world::{
    Millis,
    request::{Run, RunEnd, TargetLoad},
};
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    select,
    sync::oneshot,
};

use crate::traffic::{
    body::{self, Body, Piece, Stream, Writer},
    exchange::{Outbound, Payload},
    exchanges::Exchanges,
    response::CallerResponse,
    target::{
        Endpoint,
        connection::Connection,
        reception::Reception,
        request::{BodyFraming, encode},
        sending::Sending,
    },
};

/// The number of bytes reserved for each read.
const READ_BYTES: usize = 8 * 1024;
/// The maximum size of a response head in bytes.
const MAX_HEAD_BYTES: usize = 64 * 1024;
/// Responses up to this size in bytes are sent on only when complete, so that a truncated one can
/// be replaced by that of a retry. Larger responses are streamed.
const MAX_BUFFERED_BYTES: usize = 256 * 1024;

/// The maximum size in bytes of a body that is discarded to keep its connection.
const MAX_SKIPPED_BYTES: usize = 16 * 1024;

/// If a reused connection ends within this time after an exchange began, it is assumed that the
/// target had closed the connection before and has not read the request.
const STALE_CONNECTION_WINDOW: Millis = Millis(10);

/// Why there is no complete response.
#[derive(Debug)]
#[derive(Display, Error, From)]
enum Failure {
    /// The connection failed.
    #[display("the connection failed")]
    Io(io::Error),
    /// The response is malformed.
    #[display("the response is malformed")]
    Malformed(mustardpin_http::Error),
    /// The dialect rejected the response.
    #[display("{_0}")]
    #[from(skip)]
    Unusable(#[error(not(source))] &'static str),
    /// The caller disconnected, or its request body was truncated.
    #[display("the caller disconnected, or its request body was truncated")]
    #[from(skip)]
    Abandoned,
}

/// The text of a failure and of its cause.
fn causes(failure: &Failure) -> CompactString {
    match std::error::Error::source(failure) {
        Some(source) => format_compact!("{failure}: {source}"),
        None => failure.to_compact_string(),
    }
}

/// The result of a run.
struct Outcome {
    end: RunEnd,
    response: Option<CallerResponse>,
}

impl From<RunEnd> for Outcome {
    fn from(end: RunEnd) -> Outcome {
        Outcome { end, response: None }
    }
}

/// Runs a request and reports the result to `Exchanges`. The run is cancelled when the sender of
/// `stop` is dropped.
pub(in crate::traffic) async fn run(
    exchanges: Arc<Exchanges>,
    run: Run,
    request: Arc<Outbound>,
    mut stop: oneshot::Receiver<()>,
) {
    let ticket = run.ticket;
    let outcome = select! {
        biased;
        outcome = attempt(&exchanges, &run, &request) => outcome,
        _ = &mut stop => RunEnd::Cancelled.into(),
    };
    exchanges.run_ended(ticket, outcome.end, outcome.response);
}

async fn attempt(exchanges: &Arc<Exchanges>, run: &Run, request: &Outbound) -> Outcome {
    let Some(endpoint) = exchanges.target.endpoint() else { return RunEnd::NotSent.into() };
    let (complete_body, mut streamed) = match request.payload() {
        Payload::Complete(bytes) => (bytes, None),
        Payload::Stream(streamed) => (Bytes::new(), Some(streamed)),
        Payload::Consumed => return RunEnd::Broken.into(),
    };
    let outcome = send(exchanges, run, request, &endpoint, &complete_body, &mut streamed).await;
    if let Some(stream) = streamed {
        request.keep_unused(stream);
    }
    outcome
}

/// Sends a request over an idle connection, or over a new one if there is none.
async fn send(
    exchanges: &Arc<Exchanges>,
    run: &Run,
    request: &Outbound,
    endpoint: &Endpoint,
    complete_body: &[u8],
    streamed: &mut Option<Stream>,
) -> Outcome {
    let kind = match &streamed {
        None => BodyFraming::Complete(complete_body),
        Some(streamed) => streamed.length.map_or(BodyFraming::Chunked, BodyFraming::Length),
    };
    let out = encode(exchanges, run, request, endpoint, kind);
    while exchanges.clock.now() < run.start_by
        && let Some(connection) =
            exchanges.target.take_idle(endpoint.generation, run.repeatable, &request.id)
    {
        let mut exchange = TargetExchange::new(exchanges, run, request, connection);
        let end = exchange.perform(&out, streamed).await;
        match end {
            Err(_) if exchange.was_stale() && is_complete(streamed) => {}
            end => return exchange.finish(end),
        }
    }
    if exchanges.clock.now() >= run.start_by {
        return RunEnd::NotSent.into();
    }
    let Ok(connection) = Connection::open(endpoint).await else { return RunEnd::NotSent.into() };
    let mut exchange = TargetExchange::new(exchanges, run, request, connection);
    let end = exchange.perform(&out, streamed).await;
    exchange.finish(end)
}

/// Whether a request with this body can be sent from the start.
fn is_complete(streamed: &Option<Stream>) -> bool {
    streamed.as_ref().is_none_or(|streamed| !streamed.is_started())
}

/// The parts of a response head that are sent on or reported.
struct Head {
    status: u16,
    header_lines: Bytes,
    load: Option<TargetLoad>,
}

/// A request and its response on one connection.
struct TargetExchange<'a> {
    exchanges: &'a Arc<Exchanges>,
    run: &'a Run,
    request: &'a Outbound,
    connection: Connection,
    begun: Millis,
    /// The number of bytes of the encoded request that were written.
    written: usize,
    reception: Reception<'a>,
    /// The end of the body, if it was read together with the last piece.
    body_end: Option<Piece>,
    is_reusable: bool,
}

impl<'a> TargetExchange<'a> {
    fn new(
        exchanges: &'a Arc<Exchanges>,
        run: &'a Run,
        request: &'a Outbound,
        connection: Connection,
    ) -> TargetExchange<'a> {
        let begun = exchanges.clock.now();
        let reception = Reception::new(exchanges, &request.id);
        TargetExchange {
            exchanges,
            run,
            request,
            connection,
            begun,
            written: 0,
            reception,
            body_end: None,
            is_reusable: false,
        }
    }

    /// Whether the target had closed the connection before the request arrived. If that is
    /// uncertain, it is assumed only for requests that may be sent again.
    fn was_stale(&self) -> bool {
        let ended_early = self.exchanges.clock.now() - self.begun <= STALE_CONNECTION_WINDOW;
        self.written == 0 || (self.run.repeatable && self.reception.count == 0 && ended_early)
    }

    /// Ends the exchange. Keeps the connection if it can be reused.
    fn finish(mut self, end: Result<Outcome, Failure>) -> Outcome {
        self.reception.is_done = matches!(end, Ok(_) | Err(Failure::Abandoned));
        match end {
            Ok(outcome) => {
                if self.is_reusable {
                    self.exchanges.target.release(self.connection);
                }
                outcome
            }
            Err(failure) => {
                self.reception.cause = Some(causes(&failure));
                let was_sent = self.written > 0;
                if was_sent { RunEnd::Broken.into() } else { RunEnd::NotSent.into() }
            }
        }
    }

    /// Sends the request and reads the response.
    async fn perform(
        &mut self,
        out: &[u8],
        streamed: &mut Option<Stream>,
    ) -> Result<Outcome, Failure> {
        let is_chunked = streamed.as_ref().is_some_and(|streamed| streamed.length.is_none());
        let is_done = streamed.is_none();
        let mut sending = Sending::new(is_chunked, is_done);
        loop {
            let head = Response::take(&mut self.connection.buffer, MAX_HEAD_BYTES)?;
            if let Some(head) = head {
                if (100..200).contains(&head.status) && head.status != 101 {
                    continue;
                }
                let is_sent = self.written >= out.len() && sending.is_done();
                // Without a recipient, the rest of the body is discarded. The caller might read no
                // response before it has sent it.
                streamed.take_if(|streamed| streamed.is_started());
                return self.receive_response(head, is_sent).await;
            }
            self.advance(out, streamed, &mut sending).await?;
        }
    }

    /// Reads more of the response or sends more of the request, whichever is possible first.
    async fn advance(
        &mut self,
        out: &[u8],
        streamed: &mut Option<Stream>,
        sending: &mut Sending,
    ) -> Result<(), Failure> {
        let Connection { stream, buffer, .. } = &mut self.connection;
        buffer.reserve(READ_BYTES);
        let (mut reader, mut writer) = stream.split();
        let is_head_sent = self.written >= out.len();
        let unsent = match is_head_sent {
            true => &sending.chunk[sending.sent..],
            false => &out[self.written..],
        };
        let has_unsent = !unsent.is_empty();
        select! {
            biased;
            count = writer.write(unsent), if has_unsent => match is_head_sent {
                true => sending.sent += count?,
                false => self.written += count?,
            },
            count = reader.read_buf(buffer) => {
                let count = count?;
                if count == 0 {
                    return Err(io::Error::from(io::ErrorKind::UnexpectedEof).into());
                }
                self.reception.count += count;
            }
            piece = next_piece(streamed), if !has_unsent && !sending.is_done => {
                sending.load(piece.ok_or(Failure::Abandoned)?);
            }
        }
        Ok(())
    }

    /// Processes a response whose head has been received.
    async fn receive_response(
        &mut self,
        head: Response,
        is_sent: bool,
    ) -> Result<Outcome, Failure> {
        let response_kind = self.exchanges.dialect.read_response(&self.request.id, &head);
        let notice = self.exchanges.dialect.read_notice(&self.request.id, &head);
        let from = self.connection.generation;
        self.exchanges.record_notice(self.run.ticket, from, notice);
        let framing = Framing::of_response(&self.request.method, head.status, &head.headers)?;
        self.connection.apply_keep_alive(&head.headers);
        let is_reusable = is_sent
            && head.is_persistent()
            && framing != Framing::UntilClose
            && self.exchanges.dialect.allows_reuse(&head);
        let load = match response_kind {
            ResponseKind::Unusable(error) => return Err(Failure::Unusable(error)),
            ResponseKind::Declined => {
                self.is_reusable = is_reusable
                    && self.skip_body(framing).await
                    && self.connection.record_declined(&self.request.id);
                return Ok(RunEnd::Declined.into());
            }
            ResponseKind::Misdirected => return Ok(RunEnd::Misdirected.into()),
            ResponseKind::Valid { load } => load,
        };
        let mut header_lines = Vec::with_capacity(256);
        let dialect = &self.exchanges.dialect;
        scrub::copy_headers(
            &head.headers,
            |name, _| dialect.forwards_response_header(name),
            &mut header_lines,
        );
        if framing == Framing::Empty
            && let Some(length) = head.headers.get("content-length")
        {
            write::header(&mut header_lines, "content-length", length);
        }
        let head = Head { status: head.status, header_lines: header_lines.into(), load };
        let outcome = self.receive_body(head, framing).await?;
        // Bytes after the end of a response belong to no request.
        self.is_reusable = is_reusable && self.connection.buffer.is_empty();
        Ok(outcome)
    }

    /// Discards the body of a response that is fully described by its head. Returns whether the
    /// connection can be reused, which it cannot if the body is too large.
    async fn skip_body(&mut self, framing: Framing) -> bool {
        let mut decoder = Decoder::from(framing);
        let mut skipped = 0;
        loop {
            match self.next_body_piece(&mut decoder).await {
                Ok(Piece::Data(bytes)) if skipped + bytes.len() <= MAX_SKIPPED_BYTES => {
                    skipped += bytes.len();
                }
                Ok(Piece::Data(_)) => return false,
                Ok(Piece::End(_)) => return self.connection.buffer.is_empty(),
                Err(_) => return false,
            }
        }
    }

    /// Reads the body of a response, and streams it if it is large.
    async fn receive_body(&mut self, head: Head, framing: Framing) -> Result<Outcome, Failure> {
        let Head { status, header_lines, load } = head;
        let end = RunEnd::Answered { status, report: load };
        if framing == Framing::Empty {
            let response = CallerResponse { status, header_lines, body: Body::Empty };
            return Ok(Outcome { end, response: Some(response) });
        }
        let mut decoder = Decoder::from(framing);
        let is_large =
            matches!(framing, Framing::Length(length) if length > MAX_BUFFERED_BYTES as u64);
        let mut buffered = match framing {
            Framing::Length(length) if !is_large => Buffer::with_length(length as usize),
            _ => Buffer::default(),
        };
        let mut reservation = self.exchanges.response_budget.reservation();
        while !is_large
            && buffered.len() <= MAX_BUFFERED_BYTES
            && reservation.grow_to(buffered.capacity())
        {
            match self.next_body_piece(&mut decoder).await? {
                Piece::Data(bytes) => buffered.push(bytes),
                Piece::End(trailers) => {
                    let body = Body::complete(buffered.into(), trailers);
                    let response = CallerResponse { status, header_lines, body };
                    return Ok(Outcome { end, response: Some(response) });
                }
            }
        }
        let length = match framing {
            Framing::Length(length) => Some(length),
            _ => None,
        };
        let (writer, streamed) = body::channel(length);
        let response = CallerResponse { status, header_lines, body: Body::Stream(streamed) };
        self.exchanges.stream_response(self.run.ticket, response);
        self.stream_body(&writer, buffered.into(), &mut decoder).await?;
        Ok(Outcome { end, response: None })
    }

    async fn stream_body(
        &mut self,
        writer: &Writer,
        buffered: Bytes,
        decoder: &mut Decoder,
    ) -> Result<(), Failure> {
        let abandoned = |_| Failure::Abandoned;
        if !buffered.is_empty() {
            writer.send(Piece::Data(buffered)).await.map_err(abandoned)?;
        }
        loop {
            let piece = self.next_body_piece(decoder).await?;
            let is_end = matches!(piece, Piece::End(_));
            writer.send(piece).await.map_err(abandoned)?;
            if is_end {
                return Ok(());
            }
        }
    }

    /// Reads the next piece of the body. Small chunks that have arrived together are joined.
    async fn next_body_piece(&mut self, decoder: &mut Decoder) -> Result<Piece, Failure> {
        if let Some(end) = self.body_end.take() {
            return Ok(end);
        }
        let dialect = &self.exchanges.dialect;
        let Connection { stream, buffer, .. } = &mut self.connection;
        let mut joined = Buffer::default();
        let end = loop {
            match decoder.take(buffer)? {
                Decoded::Data(bytes) => {
                    joined.push(bytes);
                    if buffer.is_empty() || joined.len() >= READ_BYTES {
                        return Ok(Piece::Data(joined.into()));
                    }
                }
                Decoded::Pending if !joined.is_empty() => return Ok(Piece::Data(joined.into())),
                Decoded::Trailers(trailers) => {
                    let mut lines = Vec::new();
                    scrub::copy_headers(
                        &trailers,
                        |name, _| dialect.forwards_response_header(name),
                        &mut lines,
                    );
                    break Piece::End(lines.into());
                }
                Decoded::End => break Piece::End(Bytes::new()),
                Decoded::Pending => {
                    buffer.reserve(READ_BYTES);
                    let count = stream.read_buf(buffer).await?;
                    if count == 0 {
                        decoder.end_of_stream()?;
                        break Piece::End(Bytes::new());
                    }
                    self.reception.count += count;
                }
            }
        };
        if joined.is_empty() {
            return Ok(end);
        }
        self.body_end = Some(end);
        Ok(Piece::Data(joined.into()))
    }
}

async fn next_piece(streamed: &mut Option<Stream>) -> Option<Piece> {
    match streamed {
        Some(streamed) => streamed.next().await,
        None => None,
    }
}
