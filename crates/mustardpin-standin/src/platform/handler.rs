//! The HTTP interface of the platform's stand-in.

use std::{sync::Arc, time::Duration};

use futures::future::BoxFuture;
use http::{Method, Request, Response, StatusCode};
use hyper::body::Incoming;
use mustardpin_platform::store::call::{self, Query, Transaction};
use tokio::sync::oneshot;

use crate::{
    control::Handle,
    http::{Aborted, Body, Handler, json, read_json, text},
    platform::table::{Answer, Behaviour, Event, HistoryDropped},
};

/// Handles HTTP requests by queries to the control thread.
#[derive(Debug)]
pub struct Platform {
    control: Handle<Event>,
}

impl Platform {
    /// Creates a handler that queries the control thread through this handle.
    pub fn new(control: Handle<Event>) -> Platform {
        Platform { control }
    }

    async fn query_control<T>(
        &self,
        event: impl FnOnce(oneshot::Sender<T>) -> Event,
    ) -> Result<T, Aborted> {
        let (sender, receiver) = oneshot::channel();
        self.control.send(event(sender));
        receiver.await.map_err(|_| Aborted)
    }

    async fn handle(&self, request: Request<Incoming>) -> Result<Response<Body>, Aborted> {
        if request.uri().path().starts_with("/standin/") {
            return self.handle_standin(request).await;
        }
        let mode = self.query_control(Event::GetMode).await?;
        match mode.mode {
            Behaviour::Down => return Err(Aborted),
            Behaviour::Silent => std::future::pending().await,
            Behaviour::Error => return Ok(text(StatusCode::SERVICE_UNAVAILABLE, "out of order")),
            Behaviour::Busy => return Ok(text(StatusCode::TOO_MANY_REQUESTS, "too many calls")),
            Behaviour::Slow => tokio::time::sleep(Duration::from_millis(mode.delay_ms)).await,
            Behaviour::Up | Behaviour::LoseAnswer => {}
        }
        let is_write = request.method() != Method::GET;
        let response = self.handle_operation(request).await?;
        if is_write && mode.mode == Behaviour::LoseAnswer {
            return Err(Aborted);
        }
        Ok(response)
    }

    async fn handle_operation(
        &self,
        request: Request<Incoming>,
    ) -> Result<Response<Body>, Aborted> {
        let (parts, body) = request.into_parts();
        let query = Query::parse(parts.uri.query().unwrap_or_default());
        match (parts.method, parts.uri.path()) {
            (Method::GET, call::GET_PATH) => {
                let rows = self.query_control(|reply| Event::Get(query, reply)).await?;
                Ok(with_epoch(&rows, json(StatusCode::OK, &rows.outcome)))
            }
            (Method::GET, call::FEED_PATH) => self.feed(query).await,
            (Method::POST, call::TRANSACT_PATH) => {
                let transaction = match read_json::<Transaction>(body).await {
                    Ok(transaction) => transaction,
                    Err(response) => return Ok(response),
                };
                let result =
                    self.query_control(|reply| Event::Transact(transaction, reply)).await?;
                let response = match &result.outcome {
                    Ok(written) => json(StatusCode::OK, written),
                    Err(rows) => json(StatusCode::PRECONDITION_FAILED, rows),
                };
                Ok(with_epoch(&result, response))
            }
            _ => Ok(text(StatusCode::NOT_FOUND, "no such operation")),
        }
    }

    /// Long poll: waits for changes for at most the wait of the query. Without any, replies with
    /// the newest version and no rows.
    async fn feed(&self, query: Query) -> Result<Response<Body>, Aborted> {
        let wait = Duration::from_millis(query.wait_ms);
        let changes = self.query_control(|reply| Event::Feed(query, reply));
        match tokio::time::timeout(wait, changes).await {
            Ok(changes) => {
                let changes = changes?;
                let response = match &changes.outcome {
                    Ok(rows) => json(StatusCode::OK, rows),
                    Err(HistoryDropped) => text(StatusCode::GONE, "the history is gone"),
                };
                Ok(with_epoch(&changes, response))
            }
            Err(_) => {
                let newest = self.query_control(Event::Newest).await?;
                Ok(with_epoch(&newest, json(StatusCode::OK, &newest.outcome)))
            }
        }
    }

    async fn handle_standin(&self, request: Request<Incoming>) -> Result<Response<Body>, Aborted> {
        let (parts, body) = request.into_parts();
        match (parts.method, parts.uri.path()) {
            (Method::POST, "/standin/mode") => {
                let mode = match read_json(body).await {
                    Ok(mode) => mode,
                    Err(response) => return Ok(response),
                };
                self.query_control(|reply| Event::SetMode(mode, reply)).await?;
                Ok(json(StatusCode::OK, &mode))
            }
            (Method::POST, "/standin/compact") => {
                self.query_control(Event::Compact).await?;
                Ok(text(StatusCode::OK, ""))
            }
            (Method::POST, "/standin/copy") => {
                self.query_control(Event::Copy).await?;
                Ok(text(StatusCode::OK, ""))
            }
            (Method::POST, "/standin/restore") => {
                self.query_control(Event::Restore).await?;
                Ok(text(StatusCode::OK, ""))
            }
            (Method::GET, "/standin/counts") => {
                Ok(json(StatusCode::OK, &self.query_control(Event::Counts).await?))
            }
            _ => Ok(text(StatusCode::NOT_FOUND, "no such operation")),
        }
    }
}

impl Handler for Platform {
    fn respond(
        self: Arc<Self>,
        request: Request<Incoming>,
    ) -> BoxFuture<'static, Result<Response<Body>, Aborted>> {
        Box::pin(async move { self.handle(request).await })
    }
}

/// Adds the header with the epoch in which an operation was executed.
fn with_epoch<T>(answer: &Answer<T>, mut response: Response<Body>) -> Response<Body> {
    response.headers_mut().insert(call::EPOCH_HEADER, answer.epoch.into());
    response
}

/// Returns the value of a parameter in the query part of a URI.
///
/// ```
/// use mustardpin_standin::platform::handler::query_parameter;
/// assert_eq!(query_parameter(Some("bytes=3&pace-ms=5"), "pace-ms"), Some("5"));
/// ```
pub fn query_parameter<'a>(query: Option<&'a str>, name: &str) -> Option<&'a str> {
    let pairs = query?.split('&').filter_map(|pair| pair.split_once('='));
    pairs.filter(|(key, _)| *key == name).map(|(_, value)| value).next()
}
