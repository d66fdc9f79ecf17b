//! The HTTP interface of a target's stand-in.

use std::{sync::Arc, time::Duration};

use compact_str::{CompactString, ToCompactString as _};
use futures::future::BoxFuture;
use http::{HeaderMap, HeaderValue, Method, Request, Response, StatusCode, request::Parts};
use http_body_util::BodyExt as _;
use hyper::body::Incoming;
use tokio::sync::oneshot;

use crate::{
    control::Handle,
    http::{Aborted, Body, Caller, Handler, json, read_json, text},
    target::{
        arguments::Arguments,
        chain::{CALL_HEADER, Chain, Context, IDEMPOTENCY_HEADER, REQUEST_HEADER},
        response_body::{self, ResponseOptions, RunGuard},
        run::{Event, Header, Run, Stage},
    },
};

/// A request with this header makes the process exit.
const CRASH_HEADER: &str = "standin-crash";
/// The response header that states whether a declined request has run.
const OUTCOME_HEADER: &str = "target-outcome";
/// The delay from the end of the request until a run that is to crash makes the process exit.
const CRASH_DELAY: Duration = Duration::from_millis(5);
/// The exit code of a crash.
const CRASH_EXIT_CODE: i32 = 70;

/// Handles HTTP requests: runs them in slots and makes their downstream calls.
#[derive(Debug)]
pub struct Target {
    control: Handle<Event>,
    chain: Chain,
    crash_on: Option<CompactString>,
}

impl Target {
    /// Creates a handler from the arguments. `control` is the thread that owns the table of runs.
    pub fn new(control: Handle<Event>, caller: Caller, arguments: &Arguments) -> Target {
        Target {
            control,
            chain: Chain::new(caller, arguments),
            crash_on: arguments.crash_on.clone(),
        }
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
        let (parts, body) = request.into_parts();
        match (&parts.method, parts.uri.path()) {
            (&Method::GET, "/standin/ran") => {
                Ok(json(StatusCode::OK, &self.query_control(Event::Report).await?))
            }
            (&Method::POST, "/standin/mode") => Ok(match read_json(body).await {
                Ok(mode) => {
                    self.control.send(Event::SetMode(mode));
                    json(StatusCode::OK, &mode)
                }
                Err(response) => response,
            }),
            _ => self.run(parts, body).await,
        }
    }

    async fn run(&self, parts: Parts, body: Incoming) -> Result<Response<Body>, Aborted> {
        let Some(slot) = self.query_control(|reply| Event::Arrived(run_of(&parts), reply)).await?
        else {
            return Ok(declined_response());
        };
        let guard = RunGuard::new(self.control.clone(), slot.run);
        body.collect().await.map_err(|_| Aborted)?;
        self.crash_if_requested(&parts).await;
        tokio::time::sleep(slot.service_time).await;
        let context = context_of(&parts);
        if let Err(error) = self.chain.run(&context).await {
            return Ok(failed_response(&error.to_string(), guard));
        }
        Ok(response_body::respond(
            &context.request,
            ResponseOptions::from_query(parts.uri.query()),
            guard,
        ))
    }

    async fn crash_if_requested(&self, parts: &Parts) {
        let on_path =
            self.crash_on.as_ref().is_some_and(|text| parts.uri.path().contains(text.as_str()));
        if on_path || parts.headers.contains_key(CRASH_HEADER) {
            tokio::time::sleep(CRASH_DELAY).await;
            std::process::exit(CRASH_EXIT_CODE);
        }
    }
}

impl Handler for Target {
    fn respond(
        self: Arc<Self>,
        request: Request<Incoming>,
    ) -> BoxFuture<'static, Result<Response<Body>, Aborted>> {
        Box::pin(async move { self.handle(request).await })
    }
}

fn run_of(parts: &Parts) -> Run {
    let headers = parts.headers.iter().map(|(name, value)| Header {
        name: name.as_str().into(),
        value: String::from_utf8_lossy(value.as_bytes()).into_owned(),
    });
    Run {
        method: parts.method.as_str().into(),
        path: parts.uri.path().into(),
        idempotency_key: header_text(&parts.headers, IDEMPOTENCY_HEADER),
        headers: headers.collect(),
        stage: Stage::Running,
    }
}

fn context_of(parts: &Parts) -> Context {
    let idempotency_key = header_text(&parts.headers, IDEMPOTENCY_HEADER);
    let request = header_text(&parts.headers, REQUEST_HEADER)
        .or_else(|| idempotency_key.clone())
        .unwrap_or_else(|| parts.uri.path().to_compact_string());
    Context { request, idempotency_key, token: parts.headers.get(CALL_HEADER).cloned() }
}

fn header_text(headers: &HeaderMap, name: &str) -> Option<CompactString> {
    headers.get(name).and_then(|value| value.to_str().ok()).map(CompactString::from)
}

fn declined_response() -> Response<Body> {
    let mut response = text(StatusCode::SERVICE_UNAVAILABLE, "no slot is free");
    response.headers_mut().insert(OUTCOME_HEADER, HeaderValue::from_static("not-run"));
    response
}

/// Ends the run and returns the response for a failed call to a downstream service.
fn failed_response(problem: &str, guard: RunGuard) -> Response<Body> {
    guard.finish();
    text(StatusCode::BAD_GATEWAY, format!("a further service failed: {problem}"))
}
