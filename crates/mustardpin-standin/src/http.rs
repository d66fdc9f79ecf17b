//! HTTP for the stand-ins: a server, a client and bodies.

use std::{convert::Infallible, net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use derive_more::{Display, Error, From};
use futures::future::BoxFuture;
use http::{Request, Response, StatusCode, header};
use http_body_util::{BodyExt as _, Full, combinators::BoxBody};
use hyper::{body::Incoming, service::service_fn};
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::{TokioExecutor, TokioIo},
    server::conn::auto,
};
use serde::{Serialize, de::DeserializeOwned};
use tokio::net::{TcpListener, TcpStream};

/// The maximum size of a JSON body, in bytes.
const MAX_JSON_SIZE: usize = 64 << 20;

/// The time-out of a JSON [`call`], such as an announcement, up to the head of the response, and
/// again for its body.
pub const CALL_TIMEOUT: Duration = Duration::from_secs(5);

/// The server closes the connection instead of sending a response, or in the middle of one.
#[derive(Debug, Clone, Copy, Display, Error)]
#[display("the connection is closed on purpose")]
pub struct Aborted;

/// A response body that may end with [`Aborted`].
pub type Body = BoxBody<Bytes, Aborted>;

/// An HTTP client that reuses connections.
pub type Caller = Client<HttpConnector, Full<Bytes>>;

/// An error of a JSON [`call`].
#[derive(Debug, Display, Error, From)]
pub enum CallError {
    /// The request could not be built.
    #[display("the request is malformed")]
    Request(http::Error),
    /// The request failed before the head of a response arrived.
    #[display("no answer")]
    Client(hyper_util::client::legacy::Error),
    /// The response body was truncated.
    #[display("the answer broke off")]
    Body(hyper::Error),
    /// The request could not be serialized, or the response does not have the expected form.
    #[display("unexpected JSON")]
    Json(serde_json::Error),
    /// The status of the response is not a success.
    #[display("status {_0}")]
    #[from(skip)]
    Status(#[error(not(source))] StatusCode),
    /// No response, or not its complete body, within [`CALL_TIMEOUT`].
    #[display("no answer in time")]
    Timeout(tokio::time::error::Elapsed),
}

/// Handles the requests of a server. A trait object, so that one server serves every stand-in.
pub trait Handler: Send + Sync + 'static {
    /// Returns the response, or [`Aborted`] to close the connection without one.
    fn respond(
        self: Arc<Self>,
        request: Request<Incoming>,
    ) -> BoxFuture<'static, Result<Response<Body>, Aborted>>;
}

/// Accepts and serves connections until the process ends.
pub async fn serve(listener: TcpListener, handler: Arc<dyn Handler>) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => drop(tokio::spawn(serve_connection(stream, Arc::clone(&handler)))),
            Err(_) => tokio::time::sleep(Duration::from_millis(10)).await,
        }
    }
}

async fn serve_connection(stream: TcpStream, handler: Arc<dyn Handler>) {
    let _nodelay_result = stream.set_nodelay(true);
    let service = service_fn(move |request| Arc::clone(&handler).respond(request));
    let builder = auto::Builder::new(TokioExecutor::new());
    let _aborted_or_closed = builder.serve_connection(TokioIo::new(stream), service).await;
}

/// Creates a client for HTTP/1.1, or for HTTP/2 with prior knowledge.
pub fn caller(http2: bool) -> Caller {
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    connector.set_connect_timeout(Some(Duration::from_secs(1)));
    Client::builder(TokioExecutor::new()).http2_only(http2).build(connector)
}

/// Creates a body that holds these bytes.
///
/// ```
/// use http_body_util::BodyExt as _;
/// # tokio::runtime::Builder::new_current_thread().build().unwrap().block_on(async {
/// let body = mustardpin_standin::http::full("hello");
/// assert_eq!(body.collect().await.unwrap().to_bytes(), "hello");
/// # });
/// ```
pub fn full(bytes: impl Into<Bytes>) -> Body {
    Full::new(bytes.into()).map_err(|never: Infallible| match never {}).boxed()
}

/// Creates a response with a JSON body.
///
/// ```
/// use http::StatusCode;
/// let response = mustardpin_standin::http::json(StatusCode::OK, &[1, 2]);
/// assert_eq!(response.headers()["content-type"], "application/json");
/// ```
pub fn json(status: StatusCode, value: &impl Serialize) -> Response<Body> {
    match serde_json::to_vec(value) {
        Ok(bytes) => {
            let mut response = Response::new(full(bytes));
            *response.status_mut() = status;
            let json = header::HeaderValue::from_static("application/json");
            response.headers_mut().insert(header::CONTENT_TYPE, json);
            response
        }
        Err(error) => text(StatusCode::INTERNAL_SERVER_ERROR, error.to_string()),
    }
}

/// Creates a response with a text body.
///
/// ```
/// use http::StatusCode;
/// let response = mustardpin_standin::http::text(StatusCode::NOT_FOUND, "no such object");
/// assert_eq!(response.status(), 404);
/// ```
pub fn text(status: StatusCode, text: impl Into<Bytes>) -> Response<Body> {
    let mut response = Response::new(full(text));
    *response.status_mut() = status;
    response
}

/// Reads and parses a JSON body. The error is a response with status 400 or 413.
pub async fn read_json<T: DeserializeOwned>(body: Incoming) -> Result<T, Response<Body>> {
    let limited = http_body_util::Limited::new(body, MAX_JSON_SIZE);
    let bytes = match limited.collect().await {
        Ok(collected) => collected.to_bytes(),
        Err(error) => return Err(text(StatusCode::PAYLOAD_TOO_LARGE, error.to_string())),
    };
    serde_json::from_slice(&bytes).map_err(|error| text(StatusCode::BAD_REQUEST, error.to_string()))
}

/// Sends a request with a JSON body and parses the JSON body of the response. An empty response
/// body is read as `null`.
pub async fn call<T: DeserializeOwned>(
    caller: &Caller,
    method: &str,
    address: SocketAddr,
    path: &str,
    body: Option<&(impl Serialize + Sync)>,
) -> Result<T, CallError> {
    let bytes = match body {
        Some(body) => serde_json::to_vec(body)?,
        None => Vec::new(),
    };
    let request = Request::builder()
        .method(method)
        .uri(format!("http://{address}{path}"))
        .header(header::CONTENT_TYPE, "application/json")
        .body(Full::new(Bytes::from(bytes)))?;
    let response = tokio::time::timeout(CALL_TIMEOUT, caller.request(request)).await??;
    if !response.status().is_success() {
        return Err(CallError::Status(response.status()));
    }
    let bytes = tokio::time::timeout(CALL_TIMEOUT, response.collect()).await??.to_bytes();
    if bytes.is_empty() {
        return Ok(serde_json::from_slice(b"null")?);
    }
    Ok(serde_json::from_slice(&bytes)?)
}
