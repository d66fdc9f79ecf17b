//! A caller's connection that speaks HTTP/2, which hyper serves.

use std::{
    io::Cursor,
    pin::Pin,
    sync::Arc,
    task::{Context, Poll},
    time::Duration,
};

use bytes::{Bytes, BytesMut};
use derive_more::{Display, Error};
use http::{HeaderMap, HeaderName, HeaderValue, Response, StatusCode, header};
use http_body::{Body as _, Frame};
use http_body_util::BodyExt as _;
use hyper::{body::Incoming, server::conn::http2, service::service_fn};
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use mustardpin_http::head;
use mustardpin_wire::dialect::Port;
use mustardpin_world::{refusal::Reason, request::Ticket};
use tokio::{
    io::{AsyncReadExt as _, join},
    net::TcpStream,
    select,
    sync::watch,
    time,
};

use crate::traffic::{
    body::{self, Body, Piece, Stream, Writer},
    exchanges::Exchanges,
    intake,
    listener::{ListenerKind, Stage},
    response::CallerResponse,
};

/// Bytes of one request that a caller may send ahead.
const STREAM_WINDOW: u32 = 64 * 1024;
/// Requests in progress on one connection.
const MAX_STREAMS: u32 = 1_024;
/// Bytes of one answer that wait for a slow reader.
const SEND_BUFFER_BYTES: usize = 64 * 1024;
/// The time between two signs of life that are asked for.
const PING_INTERVAL: Duration = Duration::from_secs(20);

/// The answer ended before it was whole.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Display, Error)]
#[display("the answer ended before it was whole")]
struct Broken;

/// Serves a connection whose first bytes have been read.
pub(super) async fn serve(
    board: Arc<Exchanges>,
    door: ListenerKind,
    stream: TcpStream,
    buffer: BytesMut,
    mut stage: watch::Receiver<Stage>,
) {
    let (reader, writer) = stream.into_split();
    let io = TokioIo::new(join(Cursor::new(buffer).chain(reader), writer));
    let header_size = board.callers().header_size;
    let service = service_fn(move |request| answer(Arc::clone(&board), door, request));
    let connection = http2::Builder::new(TokioExecutor::new())
        .timer(TokioTimer::new())
        .initial_stream_window_size(STREAM_WINDOW)
        .max_concurrent_streams(MAX_STREAMS)
        .max_header_list_size(header_size)
        .max_send_buf_size(SEND_BUFFER_BYTES)
        .keep_alive_interval(PING_INTERVAL)
        .serve_connection(io, service);
    let mut connection = std::pin::pin!(connection);
    select! {
        // Why a connection broke is of no interest: its requests have been told.
        _ = connection.as_mut() => return,
        _ = stage.wait_for(|stage| *stage != Stage::Serving) => {}
    }
    connection.as_mut().graceful_shutdown();
    let _ = connection.await;
}

async fn answer(
    board: Arc<Exchanges>,
    door: ListenerKind,
    request: http::Request<Incoming>,
) -> Result<Response<Outgoing>, Broken> {
    let (parts, incoming) = request.into_parts();
    let head = head_of(&parts);
    let port = if door == ListenerKind::Local { Port::Local } else { Port::Callers };
    let body = match read(&board, port, &head, incoming).await {
        Ok(body) => body,
        Err(reason) => return Ok(response(intake::refusal(&board, reason, None))),
    };
    match intake::open(&board, port, &head, body) {
        Err(answer) => Ok(response(*answer)),
        Ok(opened) => {
            let mut guard = Guard { board, ticket: Some(opened.ticket) };
            let answer = opened.answer.await.map_err(|_| Broken)?;
            guard.ticket = None;
            Ok(response(answer))
        }
    }
}

/// Reports that the caller has gone if it does so before the answer is there.
struct Guard {
    board: Arc<Exchanges>,
    ticket: Option<Ticket>,
}

impl Drop for Guard {
    fn drop(&mut self) {
        if let Some(ticket) = self.ticket {
            self.board.caller_gone(ticket);
        }
    }
}

fn head_of(parts: &http::request::Parts) -> head::Request {
    let authority = parts.uri.authority().map(|authority| ("host", authority.as_str().as_bytes()));
    let fields = parts.headers.iter().map(|(name, value)| (name.as_str(), value.as_bytes()));
    let has_host = parts.headers.contains_key(header::HOST);
    let headers = fields.chain(authority.filter(|_| !has_host)).collect();
    let target = parts.uri.path_and_query().map_or("/", |target| target.as_str());
    head::Request::new(parts.method.as_str(), target, headers)
}

/// Reads a body until it is whole, or passes it on as it comes if it is too large to keep.
async fn read(
    board: &Arc<Exchanges>,
    port: Port,
    head: &head::Request,
    mut incoming: Incoming,
) -> Result<Body, Reason> {
    let limit = board.callers().body_size;
    let length = incoming.size_hint().exact();
    if incoming.size_hint().lower() > limit {
        return Err(Reason::BodyTooLarge);
    }
    let mut kept = BytesMut::new();
    let mut trailers = Bytes::new();
    while kept.len() <= board.limits.replay_size {
        let frame = time::timeout(board.limits.body_timeout, incoming.frame()).await;
        match frame.map_err(|_| Reason::BodyTimeout)? {
            None => return Ok(Body::there(kept.freeze(), trailers)),
            Some(Err(_)) => return Err(Reason::RequestMalformed),
            Some(Ok(frame)) => match frame.into_data() {
                Ok(data) => kept.extend_from_slice(&data),
                Err(frame) => trailers = lines_of(board, port, head, &frame),
            },
        }
    }
    let (writer, rest) = body::channel(length);
    let feeding = Feeding { board: Arc::clone(board), port, head: head.clone(), writer, limit };
    let read = kept.len() as u64;
    tokio::spawn(feeding.run(incoming, read));
    Ok(Body::Stream(rest.after(kept.freeze())))
}

/// The trailers of a request that go on, as lines.
fn lines_of(board: &Exchanges, port: Port, head: &head::Request, frame: &Frame<Bytes>) -> Bytes {
    let fields = frame.trailers_ref().into_iter().flatten();
    let fields = fields.map(|(name, value)| (name.as_str(), value.as_bytes()));
    intake::trailers(board, port, head, &fields.collect())
}

/// A body that goes on as it comes.
struct Feeding {
    board: Arc<Exchanges>,
    port: Port,
    head: head::Request,
    writer: Writer,
    limit: u64,
}

impl Feeding {
    /// Passes the body on. Returning early breaks it.
    async fn run(self, mut incoming: Incoming, mut read: u64) {
        let mut trailers = Bytes::new();
        while let Some(frame) = incoming.frame().await {
            let Ok(frame) = frame else { return };
            match frame.into_data() {
                Ok(data) => {
                    read += data.len() as u64;
                    let is_sent = self.writer.send(Piece::Data(data)).await.is_ok();
                    if read > self.limit || !is_sent {
                        return;
                    }
                }
                Err(frame) => trailers = lines_of(&self.board, self.port, &self.head, &frame),
            }
        }
        // Whoever does not wait any more has been told.
        let _ = self.writer.send(Piece::End(trailers)).await;
    }
}

fn response(answer: CallerResponse) -> Response<Outgoing> {
    let mut response = Response::new(Outgoing::new(answer.body));
    *response.status_mut() = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::BAD_GATEWAY);
    append(response.headers_mut(), &answer.fields);
    response
}

/// Appends fields that stand as lines.
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

/// The body of an answer as hyper takes it.
enum Outgoing {
    Whole(Option<Bytes>),
    Coming(Coming),
    Ended,
}

/// The next piece of a body, as a future that is kept between two polls.
type Coming = Pin<Box<dyn Future<Output = (Option<Piece>, Stream)> + Send>>;

impl Outgoing {
    fn new(body: Body) -> Outgoing {
        match body {
            Body::Empty => Outgoing::Ended,
            Body::Whole(bytes) => Outgoing::Whole((!bytes.is_empty()).then_some(bytes)),
            Body::Stream(rest) => Outgoing::Coming(next(rest)),
        }
    }
}

fn next(mut rest: Stream) -> Coming {
    Box::pin(async move {
        let piece = rest.next().await;
        (piece, rest)
    })
}

impl http_body::Body for Outgoing {
    type Data = Bytes;
    type Error = Broken;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Broken>>> {
        let (piece, rest) = match &mut *self {
            Outgoing::Whole(bytes) => return Poll::Ready(bytes.take().map(Frame::data).map(Ok)),
            Outgoing::Ended => return Poll::Ready(None),
            Outgoing::Coming(coming) => std::task::ready!(coming.as_mut().poll(cx)),
        };
        Poll::Ready(match piece {
            Some(Piece::Data(bytes)) => {
                *self = Outgoing::Coming(next(rest));
                Some(Ok(Frame::data(bytes)))
            }
            Some(Piece::End(trailers)) => {
                *self = Outgoing::Ended;
                let mut fields = HeaderMap::new();
                append(&mut fields, &trailers);
                (!fields.is_empty()).then(|| Ok(Frame::trailers(fields)))
            }
            None => {
                *self = Outgoing::Ended;
                Some(Err(Broken))
            }
        })
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Outgoing::Whole(None) | Outgoing::Ended)
    }
}
