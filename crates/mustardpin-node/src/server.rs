//! Serves the administration API and the metrics over HTTP, each on a listener of its own.

use std::{convert::Infallible, sync::Arc, time::Duration};

use bytes::Bytes;
use futures::future::BoxFuture;
use http::{Request, Response};
use http_body_util::Full;
use hyper::{body::Incoming, service::service_fn};
use hyper_util::{
    rt::{TokioExecutor, TokioIo, TokioTimer},
    server::conn::auto,
};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::Semaphore,
};

/// The delay before accepting again after `accept` failed.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(50);

/// Responds to HTTP requests.
pub trait Service: Send + Sync + 'static {
    /// Responds to one request.
    fn respond(
        self: Arc<Self>,
        request: Request<Incoming>,
    ) -> BoxFuture<'static, Response<Full<Bytes>>>;
}

/// The resource limits of a service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// The maximum number of connections at once.
    pub connections: usize,
    /// The maximum size of a request's headers, in bytes.
    pub header_size: usize,
    /// The timeout for receiving a request's headers.
    pub header_timeout: Duration,
    /// The time after which a connection is closed.
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

/// Accepts and serves connections until the task is dropped.
///
/// ```
/// use std::sync::Arc;
///
/// use mustardpin_node::{admin::{AdminService, Control}, server::{Limits, serve}};
/// use mustardpin_world::id::KeyDigest;
///
/// async fn start(control: Arc<dyn Control>) -> std::io::Result<()> {
///     let listener = tokio::net::TcpListener::bind("127.0.0.1:7004").await?;
///     let service = AdminService::new(KeyDigest::of("an-operator-credential"), control);
///     serve(listener, Arc::new(service), Limits::default()).await;
///     Ok(())
/// }
/// ```
pub async fn serve<S: Service>(listener: TcpListener, service: Arc<S>, limits: Limits) {
    let permits = Arc::new(Semaphore::new(limits.connections));
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_BACKOFF).await;
            continue;
        };
        // Connections above the limit are closed immediately.
        let Ok(permit) = Arc::clone(&permits).try_acquire_owned() else { continue };
        let service = Arc::clone(&service);
        tokio::spawn(async move {
            let connection = serve_connection(stream, service, limits);
            let _result = tokio::time::timeout(limits.connection_timeout, connection).await;
            drop(permit);
        });
    }
}

async fn serve_connection<S: Service>(stream: TcpStream, service: Arc<S>, limits: Limits) {
    let service = service_fn(move |request| {
        let service = Arc::clone(&service);
        async move { Ok::<_, Infallible>(service.respond(request).await) }
    });
    let mut builder = auto::Builder::new(TokioExecutor::new());
    builder
        .http1()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.header_timeout)
        .max_buf_size(limits.header_size);
    builder.http2().max_header_list_size(limits.header_size as u32);
    let _client_error = builder.serve_connection(TokioIo::new(stream), service).await;
}
