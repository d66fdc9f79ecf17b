//! The platform's stand-in over HTTP.

use std::{sync::Arc, time::Duration};

use compact_str::CompactString;
use futures::future::BoxFuture;
use http::{Method, Request, Response, StatusCode};
use http_body_util::BodyExt as _;
use hyper::body::Incoming;
use tokio::sync::oneshot;

use crate::{
    control::Handle,
    http::{Body, Cut, Front, full, json, read_json, text},
    platform::table::{Behaviour, Event, Transaction},
};

/// Answers HTTP requests from the tables.
#[derive(Debug)]
pub struct Platform {
    control: Handle<Event>,
}

impl Platform {
    /// A front of the tables behind the handle.
    pub fn new(control: Handle<Event>) -> Platform {
        Platform { control }
    }

    async fn ask<T>(&self, event: impl FnOnce(oneshot::Sender<T>) -> Event) -> Result<T, Cut> {
        let (sender, receiver) = oneshot::channel();
        self.control.send(event(sender));
        receiver.await.map_err(|_| Cut)
    }

    async fn handle(&self, request: Request<Incoming>) -> Result<Response<Body>, Cut> {
        if request.uri().path().starts_with("/standin/") {
            return self.handle_standin(request).await;
        }
        let mode = self.ask(Event::GetMode).await?;
        match mode.mode {
            Behaviour::Down => return Err(Cut),
            Behaviour::Error => return Ok(text(StatusCode::SERVICE_UNAVAILABLE, "out of order")),
            Behaviour::Slow => tokio::time::sleep(Duration::from_millis(mode.delay_ms)).await,
            Behaviour::Up | Behaviour::LoseAnswer => {}
        }
        let writes = request.method() != Method::GET;
        let response = self.handle_operation(request).await?;
        if writes && mode.mode == Behaviour::LoseAnswer {
            return Err(Cut);
        }
        Ok(response)
    }

    async fn handle_operation(&self, request: Request<Incoming>) -> Result<Response<Body>, Cut> {
        let (parts, body) = request.into_parts();
        match (parts.method, parts.uri.path()) {
            (Method::GET, "/table/changes") => {
                let after = query(parts.uri.query(), "after").and_then(|text| text.parse().ok());
                let Some(after) = after else {
                    return Ok(text(StatusCode::BAD_REQUEST, "after=REVISION is missing"));
                };
                let changes = self.ask(|reply| Event::Changes(after, reply)).await?;
                Ok(json(StatusCode::OK, &changes))
            }
            (Method::POST, "/table/transact") => {
                let transaction = match read_json::<Transaction>(body).await {
                    Ok(transaction) => transaction,
                    Err(response) => return Ok(response),
                };
                let result = self.ask(|reply| Event::Transact(transaction, reply)).await?;
                Ok(match result {
                    Ok(revision) => json(StatusCode::OK, &revision),
                    Err(revision) => json(StatusCode::CONFLICT, &revision),
                })
            }
            (method, path) => match path.strip_prefix("/objects/") {
                Some(name) => self.handle_object(method, name.into(), body).await,
                None => Ok(text(StatusCode::NOT_FOUND, "no such operation")),
            },
        }
    }

    async fn handle_object(
        &self,
        method: Method,
        name: CompactString,
        body: Incoming,
    ) -> Result<Response<Body>, Cut> {
        if method == Method::PUT {
            let bytes = body.collect().await.map_err(|_| Cut)?.to_bytes();
            self.ask(|reply| Event::PutObject(name, bytes, reply)).await?;
            return Ok(text(StatusCode::OK, ""));
        }
        match self.ask(|reply| Event::GetObject(name, reply)).await? {
            Some(bytes) => Ok(Response::new(full(bytes))),
            None => Ok(text(StatusCode::NOT_FOUND, "no such object")),
        }
    }

    async fn handle_standin(&self, request: Request<Incoming>) -> Result<Response<Body>, Cut> {
        let (parts, body) = request.into_parts();
        match (parts.method, parts.uri.path()) {
            (Method::POST, "/standin/mode") => {
                let mode = match read_json(body).await {
                    Ok(mode) => mode,
                    Err(response) => return Ok(response),
                };
                self.ask(|reply| Event::SetMode(mode, reply)).await?;
                Ok(json(StatusCode::OK, &mode))
            }
            (Method::GET, "/standin/counts") => {
                Ok(json(StatusCode::OK, &self.ask(Event::Counts).await?))
            }
            _ => Ok(text(StatusCode::NOT_FOUND, "no such operation")),
        }
    }
}

impl Front for Platform {
    fn answer(
        self: Arc<Self>,
        request: Request<Incoming>,
    ) -> BoxFuture<'static, Result<Response<Body>, Cut>> {
        Box::pin(async move { self.handle(request).await })
    }
}

/// The value of a query parameter.
///
/// ```
/// use mustardpin_standin::platform::front::query;
/// assert_eq!(query(Some("bytes=3&pace-ms=5"), "pace-ms"), Some("5"));
/// ```
pub fn query<'a>(query: Option<&'a str>, name: &str) -> Option<&'a str> {
    let pairs = query?.split('&').filter_map(|pair| pair.split_once('='));
    pairs.filter(|(key, _)| *key == name).map(|(_, value)| value).next()
}
