//! The administration API on a listener.

use std::{convert::Infallible, sync::Arc, time::Duration};

use hyper::service::service_fn;
use hyper_util::{
    rt::{TokioExecutor, TokioIo, TokioTimer},
    server::conn::auto,
};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::Semaphore,
};

use crate::admin::Desk;

/// How long to wait after a connection could not be accepted.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// What the administration API may use.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Connections at once.
    pub connections: usize,
    /// The size of a request's headers, in bytes.
    pub header_size: usize,
    /// How long the headers of a request may take.
    pub header_timeout: Duration,
    /// How long a connection may stay open.
    pub connection_timeout: Duration,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits {
            connections: 64,
            header_size: 16 * 1024,
            header_timeout: Duration::from_secs(5),
            connection_timeout: Duration::from_secs(60),
        }
    }
}

/// Serves operators until the task is dropped.
pub async fn serve(listener: TcpListener, desk: Arc<Desk>, limits: Limits) {
    let permits = Arc::new(Semaphore::new(limits.connections));
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        // Above the limit, a connection is closed at once.
        let Ok(permit) = Arc::clone(&permits).try_acquire_owned() else { continue };
        let desk = Arc::clone(&desk);
        tokio::spawn(async move {
            let connection = serve_connection(stream, desk, limits);
            let _ended = tokio::time::timeout(limits.connection_timeout, connection).await;
            drop(permit);
        });
    }
}

async fn serve_connection(stream: TcpStream, desk: Arc<Desk>, limits: Limits) {
    let service = service_fn(move |request| {
        let desk = Arc::clone(&desk);
        async move { Ok::<_, Infallible>(desk.answer(request).await) }
    });
    let mut builder = auto::Builder::new(TokioExecutor::new());
    builder
        .http1()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.header_timeout)
        .max_buf_size(limits.header_size);
    builder.http2().max_header_list_size(limits.header_size as u32);
    let _broken_by_the_operator = builder.serve_connection(TokioIo::new(stream), service).await;
}
