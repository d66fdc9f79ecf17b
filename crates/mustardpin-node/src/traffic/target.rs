//! The client to the own target: HTTP/1.1, one request at a time on each connection.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use http::{Request, Response, StatusCode, Version, header};
use http_body::Body as _;
use hyper::{body::Incoming, client::conn::http1};
use hyper_util::rt::TokioIo;
use mustardpin_world::Millis;
use tokio::{net::TcpStream, task::AbortHandle};

use crate::{
    clock::Clock,
    traffic::{
        gate::{Gate, Gated},
        payload::Outgoing,
    },
};

/// Idle connections to the target at most.
const MAX_IDLE: usize = 512;
/// A connection that has been idle for this long is not used again.
const MAX_IDLE_AGE: Duration = Duration::from_secs(10);

/// Why there is no answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Failure {
    /// No byte of the request was written.
    NotSent,
    /// The target may have seen the request.
    Broken,
}

/// The client to the own target.
pub(super) struct Target {
    clock: Arc<dyn Clock>,
    state: Mutex<State>,
}

#[derive(Default)]
struct State {
    address: Option<SocketAddr>,
    idle: Vec<Connection>,
}

struct Connection {
    address: SocketAddr,
    sender: http1::SendRequest<Outgoing>,
    gate: Arc<Gate>,
    task: AbortHandle,
    idle_since: Instant,
}

impl Drop for Connection {
    /// Closes the connection at once, so that the target notices.
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// The head of an answer, and the connection that its body comes over.
///
/// Dropped before [`Reply::finish`], it closes the connection.
pub(super) struct Reply {
    pub(super) response: Response<Incoming>,
    connection: Connection,
}

impl Target {
    /// A client that knows no target yet.
    pub(super) fn new(clock: Arc<dyn Clock>) -> Target {
        Target { clock, state: Mutex::default() }
    }

    /// Sends requests to this address from now on.
    pub(super) fn set_address(&self, address: SocketAddr) {
        let mut state = self.state();
        if state.address != Some(address) {
            *state = State { address: Some(address), idle: Vec::new() };
        }
    }

    /// Sends no more requests until there is an address again.
    pub(super) fn forget(&self) {
        *self.state() = State::default();
    }

    /// Sends a request, unless its first byte cannot be written by `start_by`.
    ///
    /// `request` makes the request, and makes it again if it could not be sent over a connection
    /// that had been idle.
    pub(super) async fn send(
        &self,
        mut request: impl FnMut() -> Option<Request<Outgoing>>,
        start_by: Millis,
    ) -> Result<Reply, Failure> {
        while let Some(connection) = self.take_idle() {
            let Some(request) = request() else { return Err(Failure::Broken) };
            match exchange(connection, request, start_by).await {
                Err(Failure::NotSent) => {}
                result => return result,
            }
        }
        let connection = self.connect().await.ok_or(Failure::NotSent)?;
        let Some(request) = request() else { return Err(Failure::Broken) };
        exchange(connection, request, start_by).await
    }

    /// Takes back a connection whose answer has come to its end.
    pub(super) fn finish(&self, reply: Reply) {
        let mut connection = reply.connection;
        connection.idle_since = Instant::now();
        let mut state = self.state();
        if state.address == Some(connection.address) && state.idle.len() < MAX_IDLE {
            state.idle.push(connection);
        }
    }

    fn take_idle(&self) -> Option<Connection> {
        let mut state = self.state();
        while let Some(connection) = state.idle.pop() {
            let young = connection.idle_since.elapsed() < MAX_IDLE_AGE;
            if young && connection.sender.is_ready() && !connection.sender.is_closed() {
                return Some(connection);
            }
        }
        None
    }

    async fn connect(&self) -> Option<Connection> {
        let address = self.state().address?;
        let stream = TcpStream::connect(address).await.ok()?;
        stream.set_nodelay(true).ok()?;
        let gate = Arc::new(Gate::new(Arc::clone(&self.clock)));
        let io = TokioIo::new(Gated::new(stream, Arc::clone(&gate)));
        let (sender, connection) = http1::handshake(io).await.ok()?;
        let task = tokio::spawn(async move {
            // Its failures reach the request that is under way.
            let _ = connection.await;
        });
        let (task, idle_since) = (task.abort_handle(), Instant::now());
        Some(Connection { address, sender, gate, task, idle_since })
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

async fn exchange(
    mut connection: Connection,
    request: Request<Outgoing>,
    start_by: Millis,
) -> Result<Reply, Failure> {
    connection.gate.open(start_by);
    match connection.sender.try_send_request(request).await {
        Ok(response) if is_framed(&response) => Ok(Reply { response, connection }),
        Ok(_) => Err(Failure::Broken),
        Err(_) if connection.gate.is_written() => Err(Failure::Broken),
        Err(_) => Err(Failure::NotSent),
    }
}

/// Whether the end of an answer can be told from a broken connection.
fn is_framed(response: &Response<Incoming>) -> bool {
    let headers = response.headers();
    response.status() != StatusCode::SWITCHING_PROTOCOLS
        && (response.body().is_end_stream()
            || response.version() == Version::HTTP_2
            || headers.contains_key(header::CONTENT_LENGTH)
            || headers.contains_key(header::TRANSFER_ENCODING))
}
