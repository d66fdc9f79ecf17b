//! The requests of a connection as they are read.

use bytes::{Bytes, BytesMut};
use mustardpin_http::{
    Error,
    body::{Body as Decoder, Piece as Decoded},
    framing::Framing,
    head::Request,
};
use mustardpin_world::refusal::{Reason, Refusal};
use tokio::{sync::mpsc, time::Instant};

use crate::traffic::{
    body::{self, Body, Piece, Writer},
    caller::{Connection, Terms, Turn, writing::Writing},
    intake,
    listener::ListenerKind,
    response::CallerResponse,
};

/// A request whose body is being read.
struct Incoming {
    head: Request,
    decoder: Decoder,
    kept: Vec<Bytes>,
    size: usize,
    /// How long the body is, if that was said.
    length: Option<u64>,
    /// The fields that follow the body, as lines.
    trailers: Bytes,
    /// How many bytes of the node's room for bodies it has.
    room: usize,
    /// How many bytes have come, also of a body that goes on as it comes.
    read: u64,
}

/// A body that goes on as it comes.
struct Feeding {
    head: Request,
    decoder: Decoder,
    trailers: Bytes,
    writer: Writer,
    pending: Option<Piece>,
    read: u64,
}

/// How far the next request has come.
#[derive(Default)]
enum State {
    /// Its head has not come in full.
    #[default]
    Head,
    /// Its body is kept until it is whole.
    Body(Box<Incoming>),
    /// It is on the board, and its body goes on as it comes.
    Feeding(Box<Feeding>),
}

/// The requests of a connection as they are read.
#[derive(Default)]
pub(super) struct Reading {
    state: State,
    /// Since when the next request has been coming.
    since: Option<Instant>,
    /// When something last came.
    heard: Option<Instant>,
}

impl Reading {
    /// Takes what has been read. Returns whether that ended a request, so that the next may follow.
    pub(super) fn take(
        &mut self,
        connection: &mut Connection,
        buffer: &mut BytesMut,
        writing: &mut Writing,
    ) -> bool {
        match std::mem::take(&mut self.state) {
            State::Head => self.take_head(connection, buffer, writing),
            State::Body(incoming) => self.take_body(connection, buffer, *incoming),
            State::Feeding(feeding) => self.feed(connection, buffer, *feeding),
        }
    }

    fn take_head(
        &mut self,
        connection: &mut Connection,
        buffer: &mut BytesMut,
        writing: &mut Writing,
    ) -> bool {
        let limit = connection.board.callers().header_size as usize;
        let head = match Request::take(buffer, limit) {
            Ok(Some(head)) => head,
            Ok(None) => {
                self.since = match buffer.is_empty() {
                    true => None,
                    false => self.since.or_else(|| Some(Instant::now())),
                };
                return false;
            }
            Err(error) => return refuse(connection, reason_of(error)),
        };
        self.since = None;
        let framing = match Framing::of_request(&head.headers) {
            Ok(framing) => framing,
            Err(error) => return refuse(connection, reason_of(error)),
        };
        let limit = connection.board.callers().body_size;
        if matches!(framing, Framing::Length(length) if length > limit) {
            return refuse(connection, Reason::BodyTooLarge);
        }
        let length = match framing {
            Framing::Length(length) => Some(length),
            _ => None,
        };
        let decoder = Decoder::from(framing);
        if decoder.is_complete() {
            enter(connection, head, Body::Whole(Bytes::new()));
            return true;
        }
        if head.headers.has_token("expect", "100-continue") && buffer.is_empty() {
            writing.invite();
        }
        let incoming = Incoming {
            head,
            decoder,
            kept: Vec::new(),
            size: 0,
            length,
            trailers: Bytes::new(),
            room: 0,
            read: 0,
        };
        self.heard = Some(Instant::now());
        self.take_body(connection, buffer, incoming)
    }

    /// Keeps the body until it is whole, or passes it on as it comes if it is too large to keep.
    fn take_body(
        &mut self,
        connection: &mut Connection,
        buffer: &mut BytesMut,
        mut incoming: Incoming,
    ) -> bool {
        let board = &connection.board;
        loop {
            match incoming.decoder.take(buffer) {
                Ok(Decoded::Data(bytes)) => {
                    incoming.read += bytes.len() as u64;
                    if incoming.read > board.callers().body_size {
                        board.release_bytes(incoming.room);
                        return refuse(connection, Reason::BodyTooLarge);
                    }
                    if !board.keep_bytes(bytes.len()) {
                        board.release_bytes(incoming.room);
                        return refuse(connection, Reason::InProgressLimit);
                    }
                    incoming.room += bytes.len();
                    incoming.size += bytes.len();
                    incoming.kept.push(bytes);
                    if incoming.size > board.limits.replay_size {
                        return self.begin_feeding(connection, buffer, incoming);
                    }
                }
                Ok(Decoded::Trailers(trailers)) => {
                    incoming.trailers =
                        intake::trailers(board, connection.port(), &incoming.head, &trailers);
                }
                Ok(Decoded::End) => {
                    board.release_bytes(incoming.room);
                    self.heard = None;
                    let body = Body::there(join(incoming.kept), incoming.trailers);
                    enter(connection, incoming.head, body);
                    return true;
                }
                Ok(Decoded::Pending) => {
                    self.state = State::Body(Box::new(incoming));
                    return false;
                }
                Err(error) => {
                    board.release_bytes(incoming.room);
                    return refuse(connection, reason_of(error));
                }
            }
        }
    }

    /// Puts a request on the board whose body is too large to be kept.
    fn begin_feeding(
        &mut self,
        connection: &mut Connection,
        buffer: &mut BytesMut,
        incoming: Incoming,
    ) -> bool {
        let (writer, rest) = body::channel(incoming.length);
        connection.board.release_bytes(incoming.room);
        let Incoming { head, decoder, kept, trailers, read, .. } = incoming;
        enter(connection, head.clone(), Body::Stream(rest.after(join(kept))));
        let feeding = Feeding { head, decoder, trailers, writer, pending: None, read };
        self.feed(connection, buffer, feeding)
    }

    /// Passes on what has come of a body, as far as there is room.
    fn feed(
        &mut self,
        connection: &mut Connection,
        buffer: &mut BytesMut,
        mut feeding: Feeding,
    ) -> bool {
        let limit = connection.board.callers().body_size;
        loop {
            if let Some(piece) = feeding.pending.take() {
                let is_end = matches!(piece, Piece::End(_));
                match feeding.writer.try_send(piece) {
                    Ok(()) if is_end => {
                        self.heard = None;
                        return true;
                    }
                    Ok(()) => {}
                    Err(mpsc::error::TrySendError::Full(piece)) => {
                        feeding.pending = Some(piece);
                        self.state = State::Feeding(Box::new(feeding));
                        return false;
                    }
                    // The request is over; what is left of its body would be read for nothing.
                    Err(mpsc::error::TrySendError::Closed(_)) => {
                        connection.is_closing = true;
                        return false;
                    }
                }
            }
            match feeding.decoder.take(buffer) {
                Ok(Decoded::Data(bytes)) => {
                    feeding.read += bytes.len() as u64;
                    if feeding.read > limit {
                        return break_off(connection, Reason::BodyTooLarge);
                    }
                    feeding.pending = Some(Piece::Data(bytes));
                }
                Ok(Decoded::Trailers(trailers)) => {
                    let board = &connection.board;
                    feeding.trailers =
                        intake::trailers(board, connection.port(), &feeding.head, &trailers);
                }
                Ok(Decoded::End) => {
                    feeding.pending = Some(Piece::End(std::mem::take(&mut feeding.trailers)));
                }
                Ok(Decoded::Pending) => {
                    self.state = State::Feeding(Box::new(feeding));
                    return false;
                }
                Err(_) => {
                    connection.is_closing = true;
                    return false;
                }
            }
        }
    }

    /// Something has come.
    pub(super) fn heard(&mut self) {
        if self.heard.is_some() {
            self.heard = Some(Instant::now());
        }
    }

    /// Since when the connection has been awaited to go on with a request.
    pub(super) fn since(&self) -> Option<Instant> {
        match self.state {
            State::Head => self.since,
            State::Body(_) => self.heard,
            State::Feeding(ref feeding) if feeding.pending.is_some() => None,
            State::Feeding(_) => self.heard,
        }
    }

    /// Whether a body is being read.
    pub(super) fn is_in_body(&self) -> bool {
        !matches!(self.state, State::Head)
    }

    /// Whether a piece of a body waits for room.
    pub(super) fn awaits_room(&self) -> bool {
        matches!(&self.state, State::Feeding(feeding) if feeding.pending.is_some())
    }

    /// Returns once there is room for a piece of a body.
    pub(super) async fn advance(&mut self) {
        if let State::Feeding(feeding) = &self.state {
            // Fails if the request is over, which the next look finds out.
            let _ = feeding.writer.reserve().await;
        }
    }

    /// A request has taken too long to come.
    pub(super) fn time_out(&mut self, connection: &mut Connection) {
        match std::mem::take(&mut self.state) {
            State::Head => {
                self.since = None;
                refuse(connection, Reason::BodyTimeout);
            }
            State::Body(incoming) => {
                connection.board.release_bytes(incoming.room);
                self.heard = None;
                refuse(connection, Reason::BodyTimeout);
            }
            // Dropping the writer breaks the request off.
            State::Feeding(_) => self.heard = None,
        }
    }
}

fn reason_of(error: Error) -> Reason {
    match error {
        Error::HeadTooLarge => Reason::HeadTooLarge,
        _ => Reason::RequestMalformed,
    }
}

/// Answers with a refusal, after which nothing more is read.
fn refuse(connection: &mut Connection, reason: Reason) -> bool {
    let answer = intake::refusal(&connection.board, reason, None);
    refuse_with(connection, answer)
}

fn refuse_with(connection: &mut Connection, answer: CallerResponse) -> bool {
    let terms = Terms { is_persistent: false, takes_chunks: true };
    connection.is_closing = true;
    connection.is_cut_short = true;
    connection.turns.push_back(Turn::Answered(answer, terms));
    false
}

/// Answers the request whose body was being passed on with a refusal, and gives it up. A target may
/// have seen a part of it.
fn break_off(connection: &mut Connection, reason: Reason) -> bool {
    if let Some(Turn::Open { ticket, .. }) = connection.turns.pop_back() {
        connection.board.caller_gone(ticket);
    }
    let answer = intake::answer(&connection.board, Refusal::unknown(reason), None);
    refuse_with(connection, answer)
}

/// Takes a request in.
fn enter(connection: &mut Connection, head: Request, body: Body) {
    let is_persistent = head.is_persistent();
    let terms = Terms { is_persistent, takes_chunks: head.is_version_11 };
    connection.is_last |= !is_persistent;
    let turn = match answer_here(connection, &head, &body) {
        Some(answer) => Turn::Answered(answer, terms),
        None => match intake::open(&connection.board, connection.port(), &head, body) {
            Ok(opened) => Turn::Open { ticket: opened.ticket, answer: opened.answer, terms },
            Err(answer) => Turn::Answered(*answer, terms),
        },
    };
    connection.turns.push_back(turn);
}

/// Answers requests that are for the node itself.
fn answer_here(connection: &Connection, head: &Request, body: &Body) -> Option<CallerResponse> {
    let board = &connection.board;
    match connection.door {
        ListenerKind::Callers | ListenerKind::Peers => None,
        ListenerKind::Readiness => {
            let is_known = board.dialect.is_readiness_check(head);
            let status = match (is_known, board.is_ready()) {
                (false, _) => 404,
                (true, true) => 200,
                (true, false) => 503,
            };
            Some(CallerResponse::plain(status, Bytes::new()))
        }
        ListenerKind::Local | ListenerKind::Reports => {
            let bytes = match body {
                Body::Whole(bytes) => bytes.clone(),
                Body::Empty | Body::Stream(_) => Bytes::new(),
            };
            let report = board.dialect.read_report(head, &bytes);
            match report {
                Some(report) => {
                    if let Some(event) = report.event {
                        board.outbox.push(event);
                    }
                    Some(CallerResponse::plain(report.status, report.body))
                }
                None if connection.door == ListenerKind::Reports => {
                    Some(CallerResponse::plain(404, Bytes::new()))
                }
                None => None,
            }
        }
    }
}

fn join(mut pieces: Vec<Bytes>) -> Bytes {
    if pieces.len() == 1 {
        return pieces.pop().unwrap_or_default();
    }
    pieces.concat().into()
}
