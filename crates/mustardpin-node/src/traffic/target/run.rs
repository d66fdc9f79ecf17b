//! One run of a request on the own target.

use std::{io, sync::Arc};

use bytes::{Bytes, BytesMut};
use derive_more::{Display, Error, From};
use mustardpin_http::{
    body::{Body as Decoder, Piece as Decoded},
    framing::Framing,
    head::Response,
    write,
};
use mustardpin_wire::{
    dialect::{DeliveryHeaders, EntryHeaders, ResponseKind},
    scrub,
};
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
    answer::Answer,
    board::Board,
    body::{self, Body, Piece, Stream, Writer},
    exchange::{Outbound, Payload},
    target::{Place, connection::Connection},
};

/// How much is read at once, in bytes.
const READ_BYTES: usize = 8 * 1024;
/// The largest head of an answer, in bytes.
const MAX_HEAD_BYTES: usize = 64 * 1024;
/// Answers up to this size go on once they are whole, so that one that breaks can be replaced by
/// another. Larger ones go on as they come.
const HELD_BYTES: usize = 256 * 1024;

/// A connection that had been idle and ends this soon after a request was written to it had been
/// closed by the target before, which then has not read the request.
const STALE_WITHIN: Millis = Millis(10);

/// Why there is no whole answer.
#[derive(Debug)]
#[derive(Display, Error, From)]
enum Failure {
    /// The connection broke.
    #[display("the connection broke")]
    Io(io::Error),
    /// The answer is malformed.
    #[display("the answer is malformed")]
    Malformed(mustardpin_http::Error),
    /// The answer cannot be passed on.
    #[display("{_0}")]
    #[from(skip)]
    Unusable(#[error(not(source))] &'static str),
    /// Nobody waits for the answer any more.
    #[display("nobody waits for the answer any more")]
    #[from(skip)]
    Abandoned,
}

/// How a run ended.
struct Outcome {
    end: RunEnd,
    answer: Option<Answer>,
}

impl From<RunEnd> for Outcome {
    fn from(end: RunEnd) -> Outcome {
        Outcome { end, answer: None }
    }
}

/// Runs a request, and tells the board how it ended. The run stops when `stop` does.
pub(in crate::traffic) async fn run(
    board: Arc<Board>,
    run: Run,
    request: Arc<Outbound>,
    mut stop: oneshot::Receiver<()>,
) {
    let ticket = run.ticket;
    let outcome = select! {
        biased;
        outcome = attempt(&board, &run, &request) => outcome,
        _ = &mut stop => RunEnd::Cancelled.into(),
    };
    board.run_ended(ticket, outcome.end, outcome.answer);
}

async fn attempt(board: &Arc<Board>, run: &Run, request: &Outbound) -> Outcome {
    let Some(place) = board.target.place() else { return RunEnd::NotSent.into() };
    let (whole, mut rest) = match request.payload() {
        Payload::Whole(bytes) => (bytes, None),
        Payload::Stream(rest) => (Bytes::new(), Some(rest)),
        Payload::Gone => return RunEnd::Broken.into(),
    };
    let kind = match &rest {
        None => Kind::Whole(&whole),
        Some(rest) => rest.length.map_or(Kind::Chunks, Kind::Length),
    };
    let out = encode(board, run, request, &place, kind);
    while board.clock.now() < run.start_by
        && let Some(connection) = board.target.take_idle(place.generation, run.repeatable)
    {
        let mut exchange = Exchange::new(board, run, request, connection);
        let end = exchange.carry(&out, &mut rest).await;
        match end {
            Err(_) if exchange.was_stale() => {}
            end => return exchange.conclude(end),
        }
    }
    if board.clock.now() >= run.start_by {
        return RunEnd::NotSent.into();
    }
    let Ok(connection) = Connection::open(&place).await else { return RunEnd::NotSent.into() };
    let mut exchange = Exchange::new(board, run, request, connection);
    let end = exchange.carry(&out, &mut rest).await;
    exchange.conclude(end)
}

/// How the body of a request goes to the target.
#[derive(Clone, Copy)]
enum Kind<'a> {
    /// With the head.
    Whole(&'a [u8]),
    /// In pieces, so many bytes together.
    Length(u64),
    /// In chunks.
    Chunks,
}

/// The request as it goes to the target; without its body if that is still coming.
fn encode(board: &Board, run: &Run, request: &Outbound, place: &Place, body: Kind<'_>) -> Vec<u8> {
    let mut out = Vec::with_capacity(512 + request.fields.len());
    write::request_line(&mut out, &request.method, &request.target);
    out.extend_from_slice(&request.fields);
    if !request.is_from_peer {
        let entry = EntryHeaders { caller_service: &board.service, team: run.team.as_deref() };
        board.dialect.write_entry_headers(entry, &mut out);
    }
    let left = run.deadline - board.clock.now();
    let delivery = DeliveryHeaders { instance: &place.instance, token: run.token, left };
    board.dialect.write_delivery_headers(delivery, &mut out);
    match body {
        Kind::Chunks => write::field(&mut out, "transfer-encoding", b"chunked"),
        Kind::Length(length) => write::number(&mut out, "content-length", length),
        Kind::Whole([]) if matches!(&*request.method, "GET" | "HEAD" | "DELETE") => {}
        Kind::Whole(bytes) => write::number(&mut out, "content-length", bytes.len() as u64),
    }
    out.extend_from_slice(b"\r\n");
    if let Kind::Whole(bytes) = body {
        out.extend_from_slice(bytes);
    }
    out
}

/// The head of an answer that means something to the caller.
struct Head {
    status: u16,
    fields: Bytes,
    load: Option<TargetLoad>,
}

/// A request on its way over one connection.
struct Exchange<'a> {
    board: &'a Arc<Board>,
    run: &'a Run,
    request: &'a Outbound,
    connection: Connection,
    begun: Millis,
    /// How many bytes of the request the connection has taken.
    written: usize,
    /// Whether anything has come back.
    has_read: bool,
    may_keep: bool,
}

impl<'a> Exchange<'a> {
    fn new(
        board: &'a Arc<Board>,
        run: &'a Run,
        request: &'a Outbound,
        connection: Connection,
    ) -> Exchange<'a> {
        let begun = board.clock.now();
        Exchange {
            board,
            run,
            request,
            connection,
            begun,
            written: 0,
            has_read: false,
            may_keep: false,
        }
    }

    /// Whether the target had closed the connection before the request came. Where that is not
    /// certain, only requests count that may be sent again.
    fn was_stale(&self) -> bool {
        let is_quick = self.board.clock.now() - self.begun <= STALE_WITHIN;
        self.written == 0 || (self.run.repeatable && !self.has_read && is_quick)
    }

    /// Ends the exchange. The connection is kept if it can be used again.
    fn conclude(self, end: Result<Outcome, Failure>) -> Outcome {
        match end {
            Ok(outcome) => {
                if self.may_keep {
                    self.board.target.keep(self.connection);
                }
                outcome
            }
            Err(_) if self.written == 0 => RunEnd::NotSent.into(),
            Err(_) => RunEnd::Broken.into(),
        }
    }

    /// Sends the request and reads the answer.
    async fn carry(&mut self, out: &[u8], rest: &mut Option<Stream>) -> Result<Outcome, Failure> {
        let in_chunks = rest.as_ref().is_some_and(|rest| rest.length.is_none());
        let is_done = rest.is_none();
        let mut sending = Sending { chunk: Vec::new(), sent: 0, in_chunks, is_done };
        loop {
            let head = Response::take(&mut self.connection.buffer, MAX_HEAD_BYTES)?;
            if let Some(head) = head {
                if (100..200).contains(&head.status) && head.status != 101 {
                    continue;
                }
                let is_sent = self.written >= out.len() && sending.is_done();
                return self.answer(head, is_sent).await;
            }
            self.advance(out, rest, &mut sending).await?;
        }
    }

    /// Reads more of the answer or sends more of the request, whichever is possible first.
    async fn advance(
        &mut self,
        out: &[u8],
        rest: &mut Option<Stream>,
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
                if count? == 0 {
                    return Err(io::Error::from(io::ErrorKind::UnexpectedEof).into());
                }
                self.has_read = true;
            }
            piece = next_piece(rest), if !has_unsent && !sending.is_done => {
                sending.load(piece.ok_or(Failure::Abandoned)?);
            }
        }
        Ok(())
    }

    /// Takes an answer in whose head has come.
    async fn answer(&mut self, head: Response, is_sent: bool) -> Result<Outcome, Failure> {
        let meaning = self.board.dialect.read_response(&self.request.id, &head);
        let framing = Framing::of_response(&self.request.method, head.status, &head.headers)?;
        self.connection.note_keep_alive(&head.headers);
        let may_keep = is_sent && head.is_persistent() && framing != Framing::UntilClose;
        let load = match meaning {
            ResponseKind::Unusable(problem) => return Err(Failure::Unusable(problem)),
            ResponseKind::Declined => {
                self.may_keep = may_keep && self.skip_body(framing).await;
                return Ok(RunEnd::Declined.into());
            }
            ResponseKind::Misdirected => return Ok(RunEnd::Misdirected.into()),
            ResponseKind::Valid { load } => load,
        };
        let mut fields = Vec::with_capacity(256);
        let dialect = &self.board.dialect;
        scrub::copy_headers(
            &head.headers,
            |name, _| dialect.forwards_response_header(name),
            &mut fields,
        );
        if framing == Framing::Empty
            && let Some(length) = head.headers.get("content-length")
        {
            write::field(&mut fields, "content-length", length);
        }
        let head = Head { status: head.status, fields: fields.into(), load };
        let outcome = self.body(head, framing).await?;
        // Bytes after the end of an answer belong to no request.
        self.may_keep = may_keep && self.connection.buffer.is_empty();
        Ok(outcome)
    }

    /// Reads over the body of an answer that says all in its head. Returns whether the connection
    /// can be used again.
    async fn skip_body(&mut self, framing: Framing) -> bool {
        let mut decoder = Decoder::from(framing);
        loop {
            match self.piece(&mut decoder).await {
                Ok(Piece::Data(_)) => {}
                Ok(Piece::End(_)) => return self.connection.buffer.is_empty(),
                Err(_) => return false,
            }
        }
    }

    /// Reads the body of an answer, and passes it on as it comes if it is large.
    async fn body(&mut self, head: Head, framing: Framing) -> Result<Outcome, Failure> {
        let Head { status, fields, load } = head;
        let end = RunEnd::Answered { status, report: load };
        if framing == Framing::Empty {
            let answer = Answer { status, fields, body: Body::Empty };
            return Ok(Outcome { end, answer: Some(answer) });
        }
        let mut decoder = Decoder::from(framing);
        let mut held = Held::default();
        let is_large = matches!(framing, Framing::Length(length) if length > HELD_BYTES as u64);
        while !is_large && held.size <= HELD_BYTES {
            match self.piece(&mut decoder).await? {
                Piece::Data(bytes) => held.push(bytes),
                Piece::End(trailers) => {
                    let body = Body::there(held.join(), trailers);
                    let answer = Answer { status, fields, body };
                    return Ok(Outcome { end, answer: Some(answer) });
                }
            }
        }
        let length = match framing {
            Framing::Length(length) => Some(length),
            _ => None,
        };
        let (writer, rest) = body::channel(length);
        let answer = Answer { status, fields, body: Body::Stream(rest) };
        self.board.pass_on(self.run.ticket, answer);
        self.pass_on(&writer, held, &mut decoder).await?;
        Ok(Outcome { end, answer: None })
    }

    async fn pass_on(
        &mut self,
        writer: &Writer,
        held: Held,
        decoder: &mut Decoder,
    ) -> Result<(), Failure> {
        let abandoned = |_| Failure::Abandoned;
        for bytes in held.pieces {
            writer.send(Piece::Data(bytes)).await.map_err(abandoned)?;
        }
        loop {
            let piece = self.piece(decoder).await?;
            let is_end = matches!(piece, Piece::End(_));
            writer.send(piece).await.map_err(abandoned)?;
            if is_end {
                return Ok(());
            }
        }
    }

    /// The next piece of the body.
    async fn piece(&mut self, decoder: &mut Decoder) -> Result<Piece, Failure> {
        let dialect = &self.board.dialect;
        let Connection { stream, buffer, .. } = &mut self.connection;
        loop {
            match decoder.take(buffer)? {
                Decoded::Data(bytes) => return Ok(Piece::Data(bytes)),
                Decoded::Trailers(trailers) => {
                    let mut lines = Vec::new();
                    scrub::copy_headers(
                        &trailers,
                        |name, _| dialect.forwards_response_header(name),
                        &mut lines,
                    );
                    return Ok(Piece::End(lines.into()));
                }
                Decoded::End => return Ok(Piece::End(Bytes::new())),
                Decoded::Pending => {}
            }
            buffer.reserve(READ_BYTES);
            if stream.read_buf(buffer).await? == 0 {
                decoder.end_of_stream()?;
                return Ok(Piece::End(Bytes::new()));
            }
        }
    }
}

/// The part of a request's body that is being sent, if the body is still coming.
struct Sending {
    chunk: Vec<u8>,
    sent: usize,
    in_chunks: bool,
    is_done: bool,
}

impl Sending {
    fn load(&mut self, piece: Piece) {
        self.chunk.clear();
        self.sent = 0;
        match piece {
            Piece::Data(bytes) if !self.in_chunks => self.chunk.extend_from_slice(&bytes),
            Piece::Data(bytes) => {
                write::chunk_size(&mut self.chunk, bytes.len());
                self.chunk.extend_from_slice(&bytes);
                self.chunk.extend_from_slice(b"\r\n");
            }
            Piece::End(trailers) => {
                if self.in_chunks {
                    write::last_chunk(&mut self.chunk, &trailers);
                }
                self.is_done = true;
            }
        }
    }

    fn is_done(&self) -> bool {
        self.is_done && self.sent >= self.chunk.len()
    }
}

async fn next_piece(rest: &mut Option<Stream>) -> Option<Piece> {
    match rest {
        Some(rest) => rest.next().await,
        None => None,
    }
}

/// Pieces of a body that are kept until it is whole.
#[derive(Default)]
struct Held {
    pieces: Vec<Bytes>,
    size: usize,
}

impl Held {
    fn push(&mut self, bytes: Bytes) {
        self.size += bytes.len();
        self.pieces.push(bytes);
    }

    fn join(mut self) -> Bytes {
        if self.pieces.len() == 1 {
            return self.pieces.pop().unwrap_or_default();
        }
        let mut joined = BytesMut::with_capacity(self.size);
        for piece in &self.pieces {
            joined.extend_from_slice(piece);
        }
        joined.freeze()
    }
}
