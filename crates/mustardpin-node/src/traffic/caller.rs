//! A connection of a caller or of the own target: HTTP/1.1, with requests that may come before the
//! answers to earlier ones.
//!
//! Requests go on the board as soon as they have come; answers go back in the order of requests.
//! While answers are awaited the connection is read on, so that its end is noticed.

mod reading;
mod writing;

use std::{collections::VecDeque, io, pin::pin, sync::Arc, time::Duration};

use bytes::BytesMut;
use mustardpin_wire::dialect::Port;
use mustardpin_world::{Millis, request::Ticket};
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::{
        TcpStream,
        tcp::{ReadHalf, WriteHalf},
    },
    select,
    sync::{oneshot, watch},
    time::{self, Instant},
};

use crate::traffic::{
    caller::{reading::Reading, writing::Writing},
    exchanges::Exchanges,
    http2,
    listener::{ListenerKind, Stage},
    response::CallerResponse,
};

/// How much is read at once, in bytes.
const READ_BYTES: usize = 4 * 1024;
/// Requests of one connection that may be in progress at once. More are read once some have ended.
const MAX_PIPELINED: usize = 64;
/// A connection with so many bytes that have not become requests is read no further.
const MAX_BUFFERED: usize = 1024 * 1024;
/// How long a caller whose request was not read to its end may take to close its side.
const CUT_SHORT_LINGER: Duration = Duration::from_millis(1_000);
/// The first bytes of a connection that speaks HTTP/2.
const HTTP2_PREFACE: &[u8] = b"PRI ";

/// A request whose answer has not begun to go back.
enum Turn {
    /// It is on the board.
    Open { ticket: Ticket, answer: oneshot::Receiver<CallerResponse>, terms: Terms },
    /// Its answer is there.
    Answered(CallerResponse, Terms),
}

/// How an answer goes back.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Terms {
    /// Whether the connection is used for further requests.
    is_persistent: bool,
    /// Whether the answer may come in chunks.
    takes_chunks: bool,
}

/// What all parts of a connection share.
struct Connection {
    board: Arc<Exchanges>,
    door: ListenerKind,
    stage: watch::Receiver<Stage>,
    turns: VecDeque<Turn>,
    /// Whether the request that was read last is the last one.
    is_last: bool,
    /// Whether nothing more is read.
    is_closing: bool,
    /// Whether the caller may still be sending what nobody reads.
    is_cut_short: bool,
    /// When the last request was answered, or the connection made.
    idle_since: Instant,
}

/// Serves a connection until it ends.
pub(super) async fn serve(
    board: Arc<Exchanges>,
    door: ListenerKind,
    mut stream: TcpStream,
    stage: watch::Receiver<Stage>,
) {
    if stream.set_nodelay(true).is_err() {
        return;
    }
    let mut connection = Connection {
        board,
        door,
        stage,
        turns: VecDeque::new(),
        is_last: false,
        is_closing: false,
        is_cut_short: false,
        idle_since: Instant::now(),
    };
    let mut buffer = BytesMut::new();
    let preface = connection.carry(&mut stream, &mut buffer).await;
    for turn in connection.turns {
        if let Turn::Open { ticket, .. } = turn {
            connection.board.caller_gone(ticket);
        }
    }
    if connection.is_cut_short && preface.is_ok() {
        // Closing with something unread would take the answer away from the caller.
        let _ = time::timeout(CUT_SHORT_LINGER, read_over(&mut stream)).await;
    }
    if let Ok(Protocol::Http2) = preface {
        let (board, stage) = (connection.board, connection.stage);
        http2::serve(board, connection.door, stream, buffer, stage).await;
    }
}

/// Reads what still comes, until the caller has closed its side too.
async fn read_over(stream: &mut TcpStream) -> io::Result<()> {
    stream.shutdown().await?;
    let mut bytes = [0; READ_BYTES];
    while stream.read(&mut bytes).await? > 0 {}
    Ok(())
}

/// What a connection turned out to speak.
enum Protocol {
    Http1,
    Http2,
}

impl Connection {
    /// Carries requests and answers until the connection is over.
    async fn carry(
        &mut self,
        stream: &mut TcpStream,
        buffer: &mut BytesMut,
    ) -> io::Result<Protocol> {
        let (mut reader, mut writer) = stream.split();
        let mut reading = Reading::default();
        let mut writing = Writing::default();
        let mut is_first = true;
        loop {
            if is_first && buffer.starts_with(HTTP2_PREFACE) && self.door == ListenerKind::Callers {
                return Ok(Protocol::Http2);
            }
            is_first &= buffer.is_empty();
            while !self.is_closing && self.turns.len() < MAX_PIPELINED {
                let has_ended = reading.take(self, buffer, &mut writing);
                self.is_closing |= has_ended && self.is_last;
                if !has_ended {
                    break;
                }
            }
            self.start_answers(&mut writing);
            if writing.write(&mut writer)? && self.is_over(&writing) {
                return Ok(Protocol::Http1);
            }
            self.wait(&mut reader, &mut writer, buffer, &mut reading, &mut writing).await?;
        }
    }

    /// Whether nothing is left to be done.
    fn is_over(&self, writing: &Writing) -> bool {
        writing.is_broken() || (self.is_closing && self.turns.is_empty() && writing.is_idle())
    }

    /// Moves answers that are there to the writer, as far as they are next.
    fn start_answers(&mut self, writing: &mut Writing) {
        while writing.is_idle() {
            let turn = self.turns.front_mut();
            let answer = match turn {
                None => return,
                Some(Turn::Answered(..)) => None,
                Some(Turn::Open { answer, .. }) => match answer.try_recv() {
                    Ok(answer) => Some(answer),
                    Err(oneshot::error::TryRecvError::Empty) => return,
                    // The request has been dropped without a word; its caller must see that.
                    Err(oneshot::error::TryRecvError::Closed) => return self.break_off(writing),
                },
            };
            match (self.turns.pop_front(), answer) {
                (Some(Turn::Answered(answer, terms)), _) => self.start(writing, answer, terms),
                (Some(Turn::Open { terms, .. }), Some(answer)) => {
                    self.start(writing, answer, terms);
                }
                _ => return,
            }
        }
    }

    fn start(&mut self, writing: &mut Writing, answer: CallerResponse, terms: Terms) {
        let is_serving = *self.stage.borrow() == Stage::Serving;
        let closes = !terms.is_persistent || !is_serving;
        let closes = writing.start(answer, terms.takes_chunks, closes);
        self.idle_since = Instant::now();
        if closes {
            // Requests behind this one count as not read.
            self.is_closing = true;
            self.abandon();
        }
    }

    /// Nobody waits any more for requests behind an answer that closes the connection.
    fn abandon(&mut self) {
        for turn in self.turns.drain(..) {
            if let Turn::Open { ticket, .. } = turn {
                self.board.caller_gone(ticket);
            }
        }
    }

    fn break_off(&mut self, writing: &mut Writing) {
        self.is_closing = true;
        self.abandon();
        writing.break_off();
    }

    /// Waits until something can go on.
    async fn wait(
        &mut self,
        reader: &mut ReadHalf<'_>,
        writer: &mut WriteHalf<'_>,
        buffer: &mut BytesMut,
        reading: &mut Reading,
        writing: &mut Writing,
    ) -> io::Result<()> {
        let limit = pin!(time::sleep_until(self.limit(reading, writing)));
        let reads = buffer.len() < MAX_BUFFERED;
        if reads {
            buffer.reserve(READ_BYTES);
        }
        let is_leaving = *self.stage.borrow() != Stage::Serving;
        let answer = match self.turns.front_mut() {
            Some(Turn::Open { answer, .. }) if writing.is_idle() => Some(answer),
            _ => None,
        };
        select! {
            read = reader.read_buf(buffer), if reads => {
                if read? == 0 {
                    // Answers that nobody reads are of no use.
                    return Err(io::ErrorKind::UnexpectedEof.into());
                }
                reading.heard();
            }
            answer = received(answer) => {
                if let Some(Turn::Open { terms, .. }) = self.turns.pop_front() {
                    match answer {
                        Some(answer) => self.start(writing, answer, terms),
                        None => self.break_off(writing),
                    }
                }
            }
            ready = writer.writable(), if writing.is_blocked() => ready?,
            () = writing.advance(), if writing.awaits_piece() => {}
            () = reading.advance(), if reading.awaits_room() => {}
            _ = self.stage.changed(), if !is_leaving => {}
            () = limit => self.time_out(reading),
        }
        Ok(())
    }

    /// When the connection has taken too long for what it is at.
    fn limit(&self, reading: &Reading, writing: &Writing) -> Instant {
        let callers = self.board.callers();
        let far = Instant::now() + Duration::from_secs(3_600);
        if let Some(since) = reading.since() {
            let limit = match reading.is_in_body() {
                true => self.board.limits.body_timeout,
                false => duration(callers.header_timeout),
            };
            return since + limit;
        }
        if !self.turns.is_empty() || !writing.is_idle() {
            return far;
        }
        let is_leaving = *self.stage.borrow() != Stage::Serving;
        let linger = match is_leaving {
            true => self.board.limits.close_linger,
            false => duration(callers.idle_timeout),
        };
        self.idle_since + linger
    }

    /// The connection has taken too long.
    fn time_out(&mut self, reading: &mut Reading) {
        self.is_closing = true;
        if reading.since().is_some() {
            reading.time_out(self);
        }
    }

    /// The port that requests of this connection come in at.
    fn port(&self) -> Port {
        match self.door {
            ListenerKind::Local => Port::Local,
            _ => Port::Callers,
        }
    }
}

async fn received(
    answer: Option<&mut oneshot::Receiver<CallerResponse>>,
) -> Option<CallerResponse> {
    match answer {
        Some(answer) => answer.await.ok(),
        None => std::future::pending().await,
    }
}

fn duration(length: Millis) -> Duration {
    Duration::from_millis(length.0)
}
