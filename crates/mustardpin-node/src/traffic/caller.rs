//! An HTTP/1.1 connection of a caller or of the local target, with pipelined requests.
//!
//! Requests are inserted into `Exchanges` as soon as they are received; responses are sent in the
//! order of their requests. The connection is read while responses are pending, so that a
//! disconnect is noticed.

mod reading;
mod writing;

use std::{collections::VecDeque, io, pin::pin, sync::Arc, time::Duration};

use bytes::BytesMut;
use mustardpin_http::head::Request;
use mustardpin_wire::dialect::Port;
use mustardpin_world::{Millis, request::Ticket};
use socket2::SockRef;
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _, Interest},
    net::{
        TcpStream,
        tcp::{ReadHalf, WriteHalf},
    },
    select,
    sync::{oneshot, watch},
    time::{self, Instant},
};

use crate::traffic::{
    backlog::Account,
    caller::{reading::Reading, writing::Writing},
    connections::{Activity, Place},
    exchanges::Exchanges,
    http2,
    listener::{Admission, ListenerKind, Stage},
    response::CallerResponse,
};

/// The number of bytes reserved for each read.
const READ_BYTES: usize = 4 * 1024;
/// The maximum number of pipelined requests in progress on a connection. More are read once some
/// have ended.
const MAX_PIPELINED_REQUESTS: usize = 64;
/// While the responses that a caller has not read are as large as this in bytes, no more of its requests
/// are read.
const MAX_UNREAD_BYTES: usize = 256 * 1024;
/// The maximum number of unparsed bytes; reading stops at this size.
const MAX_BUFFERED_BYTES: usize = 1024 * 1024;
/// Like `MAX_BUFFERED_BYTES`, within a body. A piece of a streamed body has at most this size.
const MAX_BUFFERED_BODY_BYTES: usize = 32 * 1024;
/// How long to wait for a caller to close the connection after its request was not read in full.
const UNREAD_REQUEST_LINGER: Duration = Duration::from_millis(1_000);
/// How long a connection without a place may take to send the request that is refused.
const TURN_AWAY_TIMEOUT: Duration = Duration::from_millis(1_000);
/// The first bytes of an HTTP/2 connection.
const HTTP2_PREFACE: &[u8] = b"PRI ";

/// A request whose response has not begun to be sent.
enum ResponseSlot {
    /// The request is in progress. A report of a departure has no ticket.
    Open {
        ticket: Option<Ticket>,
        response: oneshot::Receiver<CallerResponse>,
        options: ResponseOptions,
    },
    /// The response is ready.
    Ready(CallerResponse, ResponseOptions),
}

impl ResponseSlot {
    fn options(&self) -> ResponseOptions {
        match self {
            ResponseSlot::Open { options, .. } | ResponseSlot::Ready(_, options) => *options,
        }
    }
}

/// How a response is sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct ResponseOptions {
    /// Whether the connection stays open after the response.
    is_persistent: bool,
    /// Whether the caller accepts chunked transfer coding.
    accepts_chunked: bool,
    /// Whether the response may have a body. One to a HEAD request ends with its head, whatever length
    /// that states.
    has_body: bool,
}

impl ResponseOptions {
    /// How the response to a request is sent.
    fn of(head: &Request) -> ResponseOptions {
        ResponseOptions {
            is_persistent: head.is_persistent(),
            accepts_chunked: head.is_version_11,
            has_body: head.method() != "HEAD",
        }
    }
}

/// The state of a connection, shared by its reader and its writer.
struct Connection {
    exchanges: Arc<Exchanges>,
    kind: ListenerKind,
    stage: watch::Receiver<Stage>,
    slots: VecDeque<ResponseSlot>,
    /// Whether the request that was read last closes the connection.
    is_last: bool,
    /// Whether no more requests are read.
    is_closing: bool,
    /// Whether the caller may still be sending a request that is not read.
    has_unread_request: bool,
    /// When the last response was started, or the connection was made.
    idle_since: Instant,
    /// When the connection was made.
    made_at: Instant,
    /// The connection's place, if it has one. Otherwise its first request is refused.
    admission: Admission,
    activity: Activity,
    /// The responses that the caller has not read.
    account: Account,
}

/// Serves a connection until it ends.
pub(super) async fn serve(
    exchanges: Arc<Exchanges>,
    kind: ListenerKind,
    mut stream: TcpStream,
    stage: watch::Receiver<Stage>,
    admission: Admission,
) {
    if stream.set_nodelay(true).is_err() {
        return;
    }
    let mut connection = Connection {
        account: exchanges.backlog.open(),
        exchanges,
        kind,
        stage,
        slots: VecDeque::new(),
        is_last: false,
        is_closing: false,
        has_unread_request: false,
        idle_since: Instant::now(),
        made_at: Instant::now(),
        admission,
        activity: Activity::Idle,
    };
    let mut buffer = BytesMut::new();
    let protocol = connection.process(&mut stream, &mut buffer).await;
    for slot in connection.slots {
        if let ResponseSlot::Open { ticket: Some(ticket), .. } = slot {
            connection.exchanges.caller_gone(ticket);
        }
    }
    if connection.has_unread_request && protocol.is_ok() {
        // Closing a socket with unread data resets the connection, and the caller could lose the
        // response.
        let _ = time::timeout(UNREAD_REQUEST_LINGER, discard_input(&mut stream)).await;
    }
    if let (Ok(Protocol::Http2), Ok(place)) = (protocol, connection.admission) {
        let (exchanges, stage) = (connection.exchanges, connection.stage);
        http2::serve(exchanges, connection.kind, stream, buffer, stage, place).await;
    }
}

/// Discards input until the caller has closed its side too.
async fn discard_input(stream: &mut TcpStream) -> io::Result<()> {
    stream.shutdown().await?;
    let mut bytes = [0; READ_BYTES];
    while stream.read(&mut bytes).await? > 0 {}
    Ok(())
}

/// The protocol that was detected on a connection.
enum Protocol {
    Http1,
    Http2,
}

impl Connection {
    /// Processes requests and responses until the connection ends.
    async fn process(
        &mut self,
        stream: &mut TcpStream,
        buffer: &mut BytesMut,
    ) -> io::Result<Protocol> {
        let (mut reader, mut writer) = stream.split();
        let mut reading = Reading::default();
        let mut writing = Writing::default();
        let mut is_first = true;
        loop {
            if is_first && buffer.starts_with(HTTP2_PREFACE) && self.kind == ListenerKind::Callers {
                return Ok(Protocol::Http2);
            }
            is_first &= buffer.is_empty();
            while self.may_take(&reading) {
                let has_ended = reading.take(self, buffer);
                // While the node drains, the next request of a connection is its last.
                self.is_closing |= has_ended && (self.is_last || self.is_draining());
                if !has_ended {
                    break;
                }
            }
            let was_full = !self.may_take(&reading);
            self.start_ready_responses(&mut writing);
            reading.send_continue(self, &mut writing);
            let is_written = writing.write(&mut writer)?;
            self.account.set_blocked(writing.is_blocked());
            if is_written && self.can_close(&writing) {
                self.has_unread_request |= reading.is_in_body();
                if writing.must_reset() {
                    // With zero linger time, dropping the socket resets the connection.
                    SockRef::from(writer.as_ref()).set_linger(Some(Duration::ZERO))?;
                    self.has_unread_request = false;
                }
                return Ok(Protocol::Http1);
            }
            // The buffer may hold more requests, or the next response may be ready.
            if (was_full && self.may_take(&reading)) || self.has_ready_response(&writing) {
                continue;
            }
            self.update_activity(buffer, &reading, &writing);
            self.wait(&mut reader, &mut writer, buffer, &mut reading, &mut writing).await?;
        }
    }

    /// Whether more may be taken from the buffer: the next request, or more of a body.
    fn may_take(&self, reading: &Reading) -> bool {
        // Without chunked transfer coding, a response may end with the connection. The next request
        // could then not be answered.
        let may_end = self.slots.back().is_some_and(|slot| !slot.options().accepts_chunked);
        // A caller that sends further requests but reads slowly has to read first.
        let is_slow = self.account.bytes() >= MAX_UNREAD_BYTES;
        !self.is_closing
            && self.slots.len() < MAX_PIPELINED_REQUESTS
            && (reading.is_in_body() || !(may_end || is_slow))
    }

    /// Whether the connection can be closed.
    fn can_close(&self, writing: &Writing) -> bool {
        writing.is_truncated() || (self.is_closing && self.slots.is_empty() && writing.is_idle())
    }

    /// Whether the next response is ready and can be started.
    fn has_ready_response(&self, writing: &Writing) -> bool {
        writing.may_start() && matches!(self.slots.front(), Some(ResponseSlot::Ready(..)))
    }

    /// Starts writing the responses that are ready, in the order of their requests.
    fn start_ready_responses(&mut self, writing: &mut Writing) {
        while writing.may_start() {
            let slot = self.slots.front_mut();
            let response = match slot {
                None => return,
                Some(ResponseSlot::Ready(..)) => None,
                Some(ResponseSlot::Open { response, .. }) => match response.try_recv() {
                    Ok(response) => Some(response),
                    Err(oneshot::error::TryRecvError::Empty) => return,
                    // The request was dropped without a response. The connection is closed, so
                    // that the caller notices.
                    Err(oneshot::error::TryRecvError::Closed) => return self.truncate(writing),
                },
            };
            match (self.slots.pop_front(), response) {
                (Some(ResponseSlot::Ready(response, options)), _) => {
                    self.start_response(writing, response, options)
                }
                (Some(ResponseSlot::Open { options, .. }), Some(response)) => {
                    self.start_response(writing, response, options);
                }
                _ => return,
            }
        }
    }

    fn start_response(
        &mut self,
        writing: &mut Writing,
        response: CallerResponse,
        options: ResponseOptions,
    ) {
        // Requests behind this one that have been accepted get their responses first.
        let drains = self.is_draining() && self.slots.is_empty();
        let closes = !options.is_persistent || drains;
        let closes = writing.start_response(response, options, closes);
        self.idle_since = Instant::now();
        if closes {
            // Pipelined requests after this one are treated as not read.
            self.is_closing = true;
            self.has_unread_request |= options.is_persistent;
            self.cancel_pending();
        }
    }

    /// Whether the node closes its callers' connections while it drains.
    fn is_draining(&self) -> bool {
        *self.stage.borrow() != Stage::Serving
    }

    /// Cancels the requests behind a response that closes the connection, since their responses
    /// cannot be sent.
    fn cancel_pending(&mut self) {
        for slot in self.slots.drain(..) {
            if let ResponseSlot::Open { ticket: Some(ticket), .. } = slot {
                self.exchanges.caller_gone(ticket);
            }
        }
    }

    fn truncate(&mut self, writing: &mut Writing) {
        self.is_closing = true;
        self.cancel_pending();
        writing.truncate();
    }

    /// Tells the table of connections whether this one may be closed to make room.
    fn update_activity(&mut self, buffer: &BytesMut, reading: &Reading, writing: &Writing) {
        let activity = if !self.slots.is_empty() || !writing.is_idle() || reading.is_in_body() {
            Activity::Busy
        } else if buffer.is_empty() {
            Activity::Idle
        } else {
            Activity::Receiving
        };
        if activity != self.activity
            && let Ok(place) = &self.admission
        {
            self.activity = activity;
            place.set_activity(activity);
        }
    }

    /// Waits until the connection can make progress.
    async fn wait(
        &mut self,
        reader: &mut ReadHalf<'_>,
        writer: &mut WriteHalf<'_>,
        buffer: &mut BytesMut,
        reading: &mut Reading,
        writing: &mut Writing,
    ) -> io::Result<()> {
        let deadline = pin!(time::sleep_until(self.deadline(reading, writing)));
        let max_buffered = match reading.is_in_body() {
            true => MAX_BUFFERED_BODY_BYTES,
            false => MAX_BUFFERED_BYTES,
        };
        let may_read = buffer.len() < max_buffered;
        if may_read {
            buffer.reserve(READ_BYTES);
        }
        let is_draining = self.is_draining();
        let admission = &self.admission;
        let response = match self.slots.front_mut() {
            Some(ResponseSlot::Open { response, .. }) if writing.may_start() => Some(response),
            _ => None,
        };
        select! {
            read = receive(reader, buffer, may_read) => {
                if read? == 0 {
                    // A caller that closes its side, even if only half, counts as disconnected:
                    // pending responses are dropped.
                    return Err(io::ErrorKind::UnexpectedEof.into());
                }
                reading.record_received();
            }
            response = receive_response(response) => {
                if let Some(ResponseSlot::Open { options, .. }) = self.slots.pop_front() {
                    match response {
                        Some(response) => self.start_response(writing, response, options),
                        None => self.truncate(writing),
                    }
                }
            }
            ready = writer.writable(), if writing.is_blocked() => ready?,
            () = writing.advance(), if writing.awaits_piece() => {}
            () = reading.advance(), if reading.awaits_capacity() => {}
            _ = self.stage.changed(), if !is_draining => {}
            () = evicted(admission) => self.make_room(reading),
            () = self.account.evicted() => self.close_slow(writing),
            () = deadline => self.time_out(reading),
        }
        Ok(())
    }

    /// When the connection's current timeout expires.
    fn deadline(&self, reading: &Reading, writing: &Writing) -> Instant {
        let callers = self.exchanges.caller_limits();
        let far_future = Instant::now() + Duration::from_secs(3_600);
        if let Some(since) = reading.since() {
            let timeout = match reading.is_in_body() {
                true => self.exchanges.limits.body_timeout,
                false => duration(callers.header_timeout),
            };
            return since + timeout;
        }
        if !self.slots.is_empty() || !writing.is_idle() {
            return far_future;
        }
        if self.admission.is_err() {
            return self.made_at + TURN_AWAY_TIMEOUT;
        }
        let max_idle_time = match self.is_draining() {
            true => self.exchanges.limits.drain_idle_timeout,
            false => duration(callers.idle_timeout),
        };
        self.idle_since + max_idle_time
    }

    /// Closes the connection if no request has arrived since it was told to.
    fn make_room(&mut self, reading: &mut Reading) {
        if self.admission.as_ref().is_ok_and(Place::is_evicted) {
            self.time_out(reading);
        }
    }

    /// Closes the connection of a caller that reads too slowly.
    fn close_slow(&mut self, writing: &mut Writing) {
        self.exchanges.log_slow_caller(&self.account);
        self.truncate(writing);
        writing.discard();
    }

    /// Handles an expired timeout of the connection.
    fn time_out(&mut self, reading: &mut Reading) {
        self.is_closing = true;
        if reading.since().is_some() {
            reading.time_out(self);
        }
    }

    /// The port that is passed to the dialect with requests of this connection.
    fn port(&self) -> Port {
        match self.kind {
            ListenerKind::Local => Port::Local,
            _ => Port::Callers,
        }
    }
}

/// Returns once a connection should make room for another.
async fn evicted(admission: &Admission) {
    match admission {
        Ok(place) => place.evicted().await,
        Err(_) => std::future::pending().await,
    }
}

/// Reads bytes into a buffer; if none may be read, waits until the caller has closed its side.
/// Returns the number of bytes, which is zero at the end of the connection.
async fn receive(
    reader: &mut ReadHalf<'_>,
    buffer: &mut BytesMut,
    may_read: bool,
) -> io::Result<usize> {
    if may_read {
        return reader.read_buf(buffer).await;
    }
    // The end of the connection may lie behind data that has not been read, so a read would not
    // tell. This interest becomes ready with the end, and with urgent data, which callers don't send.
    match reader.ready(Interest::PRIORITY).await?.is_read_closed() {
        true => Ok(0),
        false => std::future::pending().await,
    }
}

async fn receive_response(
    response: Option<&mut oneshot::Receiver<CallerResponse>>,
) -> Option<CallerResponse> {
    match response {
        Some(response) => response.await.ok(),
        None => std::future::pending().await,
    }
}

fn duration(length: Millis) -> Duration {
    Duration::from_millis(length.0)
}
