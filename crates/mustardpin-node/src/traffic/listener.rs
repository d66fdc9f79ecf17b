//! Takes connections in, and lets them end when the node leaves.

use std::{
    sync::{
        Arc,
        atomic::{AtomicU8, Ordering},
    },
    time::Duration,
};

use futures::FutureExt as _;
use http::{HeaderValue, Version, header};
use hyper::service::service_fn;
use hyper_util::{
    rt::{TokioExecutor, TokioIo, TokioTimer},
    server::conn::auto,
};
use mustardpin_wire::request::Port;
use mustardpin_world::request::Pressure;
use tokio::{
    net::{TcpListener, TcpStream},
    select,
    sync::{Semaphore, watch},
    time,
};
use tokio_util::task::TaskTracker;

use crate::{
    launch::Limits,
    traffic::{
        ACCEPT_PAUSE, Traffic,
        context::Context,
        peers::{CONNECTION_WINDOW, MAX_STREAMS, STREAM_WINDOW},
        service,
    },
};

/// The smallest buffer that the HTTP/1.1 server takes, in bytes.
const MIN_BUFFER_BYTES: usize = 8 * 1024;
/// Bytes of one answer that wait for a slow reader.
const SEND_BUFFER_BYTES: usize = 64 * 1024;
const PING_INTERVAL: Duration = Duration::from_secs(20);

/// How far the process has come on its way out.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Stage {
    /// It is not leaving.
    #[default]
    Serving,
    /// It is leaving and finishes what it has.
    Leaving,
    /// It has finished everything.
    Exiting,
}

/// Moves the traffic side from stage to stage, by order of the control thread.
pub struct Stages {
    context: Arc<Context>,
    stage: watch::Sender<Stage>,
}

impl Stages {
    /// The first stage.
    pub fn new(context: Arc<Context>) -> Stages {
        Stages { context, stage: watch::Sender::new(Stage::Serving) }
    }

    /// Tells of each change of stage.
    pub fn subscribe(&self) -> watch::Receiver<Stage> {
        self.stage.subscribe()
    }

    fn advance(&self, to: Stage) {
        self.stage.send_if_modified(|stage| {
            let is_later = (*stage as u8) < to as u8;
            if is_later {
                *stage = to;
            }
            is_later
        });
    }
}

impl Traffic for Stages {
    fn publish(&mut self, pressure: Pressure) {
        self.context.publish(pressure);
    }

    fn close_idle(&mut self) {
        self.advance(Stage::Leaving);
    }

    fn exit(&mut self) {
        self.advance(Stage::Exiting);
    }
}

/// Who connects to a listener.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Side {
    /// Callers.
    Callers,
    /// The node's own target.
    Local,
    /// Peers, which have to show the fleet's credential.
    Peers,
}

/// Takes connections in until the runtime ends or the node has left.
///
/// Then the port is closed, and those who had connected by that time are still served: a connection
/// left in the listener's queue would break with its request on the way.
pub async fn serve(
    listener: TcpListener,
    side: Side,
    context: Arc<Context>,
    mut stage: watch::Receiver<Stage>,
    connections: TaskTracker,
) {
    let door = Door {
        side,
        permits: Arc::new(Semaphore::new(context.limits.connections)),
        context,
        stage: stage.clone(),
        connections,
    };
    loop {
        let accepted = select! {
            accepted = listener.accept() => accepted,
            _ = stage.wait_for(|stage| *stage == Stage::Exiting) => break,
        };
        match accepted {
            Ok((stream, _)) => door.open(stream),
            Err(_) => time::sleep(ACCEPT_PAUSE).await,
        }
    }
    while let Some(Ok((stream, _))) = listener.accept().now_or_never() {
        door.open(stream);
    }
}

/// What new connections of a listener have in common.
struct Door {
    side: Side,
    permits: Arc<Semaphore>,
    context: Arc<Context>,
    stage: watch::Receiver<Stage>,
    connections: TaskTracker,
}

impl Door {
    /// Serves a connection in a task of its own. One connection too many is closed at once.
    fn open(&self, stream: TcpStream) {
        let Ok(permit) = Arc::clone(&self.permits).try_acquire_owned() else { return };
        let (context, stage, side) = (Arc::clone(&self.context), self.stage.clone(), self.side);
        self.connections.spawn(async move {
            if let Some((stream, port)) = admit(stream, side, &context).await {
                carry(stream, port, context, stage).await;
            }
            drop(permit);
        });
    }
}

/// Finds out who has connected; `None` if the connection has to be closed.
async fn admit(mut stream: TcpStream, side: Side, context: &Context) -> Option<(TcpStream, Port)> {
    stream.set_nodelay(true).ok()?;
    let port = match side {
        Side::Callers => Port::Callers,
        Side::Local => Port::Local,
        Side::Peers => Port::Peers(context.identity.accept(&mut stream).await.ok()?),
    };
    Some((stream, port))
}

/// Answers the requests of one connection until it ends.
async fn carry(
    stream: TcpStream,
    port: Port,
    context: Arc<Context>,
    stage: watch::Receiver<Stage>,
) {
    let limits = context.limits;
    let protocol = Arc::new(Protocol::default());
    let service = {
        let (protocol, stage) = (Arc::clone(&protocol), stage.clone());
        service_fn(move |request| {
            protocol.note(request.version());
            let (is_http2, stage) = (protocol.is_http2(), stage.clone());
            let answer = service::answer(Arc::clone(&context), port, request);
            async move {
                let mut answer = answer.await?;
                if !is_http2 && *stage.borrow() != Stage::Serving {
                    let close = HeaderValue::from_static("close");
                    answer.headers_mut().insert(header::CONNECTION, close);
                }
                Ok::<_, super::answer::Broken>(answer)
            }
        })
    };
    let builder = builder(&limits);
    let connection = builder.serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    select! {
        // Why a connection broke is of no interest: its requests have been told.
        _ = connection.as_mut() => return,
        () = protocol.stays_unknown(limits.header_timeout) => return,
        () = leaves(stage, &protocol, limits.close_linger) => {}
    }
    connection.as_mut().graceful_shutdown();
    let _ = connection.await;
}

fn builder(limits: &Limits) -> auto::Builder<TokioExecutor> {
    let mut builder = auto::Builder::new(TokioExecutor::new());
    builder
        .http1()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.idle_timeout)
        .max_buf_size(limits.header_size.max(MIN_BUFFER_BYTES));
    builder
        .http2()
        .timer(TokioTimer::new())
        .initial_stream_window_size(STREAM_WINDOW)
        .initial_connection_window_size(CONNECTION_WINDOW)
        .max_concurrent_streams(MAX_STREAMS)
        .max_header_list_size(u32::try_from(limits.header_size).unwrap_or(u32::MAX))
        .max_send_buf_size(SEND_BUFFER_BYTES)
        .keep_alive_interval(PING_INTERVAL);
    builder
}

/// Returns when a connection should end because the node is leaving.
///
/// HTTP/2 tells its callers without a race. On HTTP/1.1 an idle connection is closed only after it
/// has been kept for a while, so that a request that is on its way is still answered, and told to
/// close the connection.
async fn leaves(mut stage: watch::Receiver<Stage>, protocol: &Protocol, linger: Duration) {
    if stage.wait_for(|stage| *stage != Stage::Serving).await.is_err() {
        return;
    }
    if !protocol.is_http2() {
        time::sleep(linger).await;
    }
}

/// The protocol of a connection, once its first request has come.
#[derive(Default)]
struct Protocol(AtomicU8);

impl Protocol {
    const UNKNOWN: u8 = 0;
    const HTTP1: u8 = 1;
    const HTTP2: u8 = 2;

    fn note(&self, version: Version) {
        let protocol = if version == Version::HTTP_2 { Self::HTTP2 } else { Self::HTTP1 };
        self.0.store(protocol, Ordering::Relaxed);
    }

    fn is_http2(&self) -> bool {
        self.0.load(Ordering::Relaxed) == Self::HTTP2
    }

    /// Returns after this time, unless a request has come by then.
    async fn stays_unknown(&self, timeout: Duration) {
        time::sleep(timeout).await;
        if self.0.load(Ordering::Relaxed) != Self::UNKNOWN {
            std::future::pending::<()>().await;
        }
    }
}
