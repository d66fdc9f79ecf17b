//! An HTTP/2 connection of a caller, served by hyper.

use std::{
    io::Cursor,
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    task::{Context, Poll},
    time::Duration,
};

use bytes::{Bytes, BytesMut};
use derive_more::{Display, Error};
use http::{HeaderMap, HeaderName, HeaderValue, Method, Response, StatusCode, header};
use http_body::{Body as _, Frame};
use http_body_util::BodyExt as _;
use hyper::{body::Incoming, server::conn::http2, service::service_fn};
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use mustardpin_http::head;
use mustardpin_wire::dialect::Port;
use mustardpin_world::{
    refusal::{Reason, Refusal},
    request::Ticket,
};
use tokio::{
    io::{AsyncReadExt as _, join},
    net::TcpStream,
    select,
    sync::{Notify, watch},
    time,
};

use crate::traffic::{
    backlog::Holder,
    body::{self, Body, Piece, Stream, Writer},
    budget::Reservation,
    connections::{Activity, Place},
    exchanges::Exchanges,
    intake,
    listener::{ListenerKind, Stage},
    response::CallerResponse,
};

/// The flow control window of one request in bytes.
const STREAM_WINDOW_BYTES: u32 = 64 * 1024;
/// The maximum number of requests in progress on one connection.
const MAX_STREAMS: u32 = 1_024;
/// The maximum number of bytes of one response buffered for a slow reader.
const SEND_BUFFER_BYTES: usize = 64 * 1024;
/// The interval between keep-alive pings.
const PING_INTERVAL: Duration = Duration::from_secs(20);

/// The response was truncated.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Display, Error)]
#[display("the response was truncated")]
struct Truncated;

/// Serves a connection whose first bytes have been read into `buffer`.
pub(super) async fn serve(
    exchanges: Arc<Exchanges>,
    kind: ListenerKind,
    stream: TcpStream,
    buffer: BytesMut,
    mut stage: watch::Receiver<Stage>,
    place: Place,
) {
    let (reader, writer) = stream.into_split();
    let io = TokioIo::new(join(Cursor::new(buffer).chain(reader), writer));
    let header_size = exchanges.caller_limits().header_size;
    let drain_idle_timeout = exchanges.limits.drain_idle_timeout;
    let first_response = Arc::new(Notify::new());
    let place = Arc::new(place);
    let streams = Arc::new(AtomicUsize::new(0));
    let account = exchanges.backlog.open();
    // A response waits only for its caller here, as there is no order between those of a connection.
    account.set_blocked(true);
    let service = service_fn(|request| {
        let holder = account.holder();
        let (exchanges, first_response) = (Arc::clone(&exchanges), Arc::clone(&first_response));
        let in_use = InUse::begin(&place, &streams);
        async move {
            let response = respond(exchanges, kind, request, holder).await;
            first_response.notify_one();
            drop(in_use);
            response
        }
    });
    let connection = http2::Builder::new(TokioExecutor::new())
        .timer(TokioTimer::new())
        .initial_stream_window_size(STREAM_WINDOW_BYTES)
        .max_concurrent_streams(MAX_STREAMS)
        .max_header_list_size(header_size)
        .max_send_buf_size(SEND_BUFFER_BYTES)
        .keep_alive_interval(PING_INTERVAL)
        .serve_connection(io, service);
    let driven = async {
        let mut connection = std::pin::pin!(connection);
        let is_draining = select! {
            // An error needs no handling: `DisconnectGuard` reports the connection's requests.
            _ = connection.as_mut() => return,
            _ = stage.wait_for(|stage| *stage != Stage::Serving) => true,
            () = make_room(&place) => false,
        };
        if is_draining {
            // The first request of a connection that was made while the node drains is on its way.
            // Clients may give up a request that they have just sent when they are told to leave.
            select! {
                _ = connection.as_mut() => return,
                () = first_response.notified() => {}
                () = time::sleep(drain_idle_timeout) => {}
            }
        }
        connection.as_mut().graceful_shutdown();
        let _ = connection.await;
    };
    select! {
        () = driven => {}
        () = account.evicted() => exchanges.log_slow_caller(&account),
    }
}

async fn respond(
    exchanges: Arc<Exchanges>,
    kind: ListenerKind,
    request: http::Request<Incoming>,
    holder: Holder,
) -> Result<Response<HyperBody>, Truncated> {
    let (parts, incoming) = request.into_parts();
    let head = head_of(&parts);
    let has_body = parts.method != Method::HEAD;
    let hyper_response = |response| hyper_response(response, has_body);
    let port = if kind == ListenerKind::Local { Port::Local } else { Port::Callers };
    let mut reservation = exchanges.body_budget.reservation();
    let read = read_body(&exchanges, port, &head, incoming, &mut reservation).await;
    let (body, upload) = match read {
        Ok(read) => read,
        Err(reason) => return Ok(hyper_response(intake::refuse(&exchanges, reason, None))),
    };
    match intake::open(&exchanges, port, &head, body, reservation, holder) {
        Err(caller_response) => Ok(hyper_response(*caller_response)),
        Ok(opened) => {
            let mut guard = DisconnectGuard { exchanges, ticket: Some(opened.ticket) };
            let mut response = opened.response;
            if let Some(mut upload) = upload {
                select! {
                    end = &mut upload => if let Err(reason) = end {
                        let refusal = Refusal::unknown(reason);
                        let response = intake::refusal_response(&guard.exchanges, refusal, None);
                        return Ok(hyper_response(response));
                    },
                    received = &mut response => {
                        let caller_response = received.map_err(|_| Truncated)?;
                        guard.ticket = None;
                        tokio::spawn(upload);
                        return Ok(hyper_response(caller_response));
                    }
                }
            }
            let caller_response = response.await.map_err(|_| Truncated)?;
            guard.ticket = None;
            Ok(hyper_response(caller_response))
        }
    }
}

/// Marks a connection as busy while it has requests in progress.
struct InUse {
    place: Arc<Place>,
    streams: Arc<AtomicUsize>,
}

impl InUse {
    fn begin(place: &Arc<Place>, streams: &Arc<AtomicUsize>) -> InUse {
        if streams.fetch_add(1, Ordering::Relaxed) == 0 {
            place.set_activity(Activity::Busy);
        }
        InUse { place: Arc::clone(place), streams: Arc::clone(streams) }
    }
}

impl Drop for InUse {
    fn drop(&mut self) {
        if self.streams.fetch_sub(1, Ordering::Relaxed) == 1 {
            self.place.set_activity(Activity::Idle);
        }
    }
}

/// Returns once the connection is idle and should make room for another.
async fn make_room(place: &Place) {
    loop {
        place.evicted().await;
        if place.is_evicted() {
            return;
        }
    }
}

/// Reports that the caller has disconnected if the request is dropped before its response is ready.
struct DisconnectGuard {
    exchanges: Arc<Exchanges>,
    ticket: Option<Ticket>,
}

impl Drop for DisconnectGuard {
    fn drop(&mut self) {
        if let Some(ticket) = self.ticket {
            self.exchanges.caller_gone(ticket);
        }
    }
}

fn head_of(parts: &http::request::Parts) -> head::Request {
    let authority = parts.uri.authority().map(|authority| ("host", authority.as_str().as_bytes()));
    let pairs = parts.headers.iter().map(|(name, value)| (name.as_str(), value.as_bytes()));
    let has_host = parts.headers.contains_key(header::HOST);
    let headers = pairs.chain(authority.filter(|_| !has_host)).collect();
    let target = parts.uri.path_and_query().map_or("/", |target| target.as_str());
    head::Request::new(parts.method.as_str(), target, headers)
}

/// Streams the rest of a request body. Fails if the body is too large.
type Upload = Pin<Box<dyn Future<Output = Result<(), Reason>> + Send>>;

/// Reads a body until it is complete, or streams it if it is too large to buffer.
async fn read_body(
    exchanges: &Arc<Exchanges>,
    port: Port,
    head: &head::Request,
    mut incoming: Incoming,
    reservation: &mut Reservation,
) -> Result<(Body, Option<Upload>), Reason> {
    let limit = exchanges.caller_limits().body_size;
    let length = incoming.size_hint().exact();
    if incoming.size_hint().lower() > limit {
        return Err(Reason::BodyTooLarge);
    }
    let mut buffered = BytesMut::new();
    let mut trailers = Bytes::new();
    while buffered.len() <= exchanges.limits.retry_body_size {
        let frame = time::timeout(exchanges.limits.body_timeout, incoming.frame()).await;
        match frame.map_err(|_| Reason::BodyTimeout)? {
            None => return Ok((Body::complete(buffered.freeze(), trailers), None)),
            Some(Err(_)) => return Err(Reason::RequestMalformed),
            Some(Ok(frame)) => match frame.into_data() {
                Ok(data) if !reservation.grow_to(buffered.len() + data.len()) => {
                    return Err(Reason::InProgressLimit);
                }
                Ok(data) => buffered.extend_from_slice(&data),
                Err(frame) => trailers = trailer_lines(exchanges, port, head, &frame),
            },
        }
    }
    let (writer, streamed) = body::channel(length);
    let forwarder =
        BodyForwarder { exchanges: Arc::clone(exchanges), port, head: head.clone(), writer, limit };
    let received_bytes = buffered.len() as u64;
    let upload: Upload = Box::pin(forwarder.run(incoming, received_bytes));
    Ok((Body::Stream(streamed.with_first(buffered.freeze())), Some(upload)))
}

/// The trailers of a request that are forwarded, as encoded lines.
fn trailer_lines(
    exchanges: &Exchanges,
    port: Port,
    head: &head::Request,
    frame: &Frame<Bytes>,
) -> Bytes {
    let pairs = frame.trailers_ref().into_iter().flatten();
    let pairs = pairs.map(|(name, value)| (name.as_str(), value.as_bytes()));
    intake::trailers(exchanges, port, head, &pairs.collect())
}

/// Streams a request body.
struct BodyForwarder {
    exchanges: Arc<Exchanges>,
    port: Port,
    head: head::Request,
    writer: Writer,
    limit: u64,
}

impl BodyForwarder {
    /// Sends the body's pieces. Returning before the end truncates the body.
    async fn run(self, mut incoming: Incoming, mut received_bytes: u64) -> Result<(), Reason> {
        let timeout = self.exchanges.limits.body_timeout;
        let mut trailers = Bytes::new();
        loop {
            let frame = match time::timeout(timeout, incoming.frame()).await {
                Ok(None) => break,
                Ok(Some(Ok(frame))) => frame,
                Err(_) | Ok(Some(Err(_))) => return Ok(()),
            };
            match frame.into_data() {
                Ok(data) => {
                    received_bytes += data.len() as u64;
                    if received_bytes > self.limit {
                        return Err(Reason::BodyTooLarge);
                    }
                    if self.writer.send(Piece::Data(data)).await.is_err() {
                        return Ok(());
                    }
                }
                Err(frame) => {
                    trailers = trailer_lines(&self.exchanges, self.port, &self.head, &frame)
                }
            }
        }
        // Fails if the request has finished, which has been reported already.
        let _ = self.writer.send(Piece::End(trailers)).await;
        Ok(())
    }
}

/// The response in the form that hyper requires. One to a HEAD request has no body.
fn hyper_response(caller_response: CallerResponse, has_body: bool) -> Response<HyperBody> {
    let length = match &caller_response.body {
        Body::Complete(bytes) => Some(bytes.len()),
        Body::Stream(_) | Body::Empty => None,
    };
    let body = if has_body { HyperBody::new(caller_response.body) } else { HyperBody::Ended };
    let mut response = Response::new(body);
    *response.status_mut() =
        StatusCode::from_u16(caller_response.status).unwrap_or(StatusCode::BAD_GATEWAY);
    append(response.headers_mut(), &caller_response.header_lines);
    if let Some(length) = length.filter(|_| !has_body) {
        response.headers_mut().insert(header::CONTENT_LENGTH, length.into());
    }
    response
}

/// Appends headers that are encoded as lines.
fn append(headers: &mut HeaderMap, lines: &[u8]) {
    for line in lines.split(|&byte| byte == b'\n') {
        let Some(colon) = line.iter().position(|&byte| byte == b':') else { continue };
        let (name, value) = (&line[..colon], line[colon + 1..].trim_ascii());
        let name = HeaderName::from_bytes(name);
        if let (Ok(name), Ok(value)) = (name, HeaderValue::from_bytes(value)) {
            headers.append(name, value);
        }
    }
}

/// The body of a response in the form that hyper requires.
enum HyperBody {
    Full(Option<Bytes>),
    Streaming(NextPiece),
    Ended,
}

/// The next piece of a body, as a future that is kept between polls.
type NextPiece = Pin<Box<dyn Future<Output = (Option<Piece>, Stream)> + Send>>;

impl HyperBody {
    fn new(body: Body) -> HyperBody {
        match body {
            Body::Empty => HyperBody::Ended,
            Body::Complete(bytes) => HyperBody::Full((!bytes.is_empty()).then_some(bytes)),
            Body::Stream(streamed) => HyperBody::Streaming(read_next(streamed)),
        }
    }
}

fn read_next(mut streamed: Stream) -> NextPiece {
    Box::pin(async move {
        let piece = streamed.next().await;
        (piece, streamed)
    })
}

impl http_body::Body for HyperBody {
    type Data = Bytes;
    type Error = Truncated;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Truncated>>> {
        let (piece, streamed) = match &mut *self {
            HyperBody::Full(bytes) => return Poll::Ready(bytes.take().map(Frame::data).map(Ok)),
            HyperBody::Ended => return Poll::Ready(None),
            HyperBody::Streaming(next_piece) => std::task::ready!(next_piece.as_mut().poll(cx)),
        };
        Poll::Ready(match piece {
            Some(Piece::Data(bytes)) => {
                *self = HyperBody::Streaming(read_next(streamed));
                Some(Ok(Frame::data(bytes)))
            }
            Some(Piece::End(trailers)) => {
                *self = HyperBody::Ended;
                let mut trailer_map = HeaderMap::new();
                append(&mut trailer_map, &trailers);
                (!trailer_map.is_empty()).then(|| Ok(Frame::trailers(trailer_map)))
            }
            None => {
                *self = HyperBody::Ended;
                Some(Err(Truncated))
            }
        })
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, HyperBody::Full(None) | HyperBody::Ended)
    }
}
