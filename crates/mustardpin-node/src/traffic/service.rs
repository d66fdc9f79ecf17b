//! Turns an HTTP request into one that the world knows of, and waits for its answer.

use std::sync::Arc;

use bytes::Bytes;
use http::{Method, Response, StatusCode};
use hyper::body::Incoming;
use mustardpin_wire::{
    header,
    request::{self, Port},
    target::ANNOUNCE_PATH,
};
use mustardpin_world::{
    Event,
    refusal::{Reason, Refusal},
    request::{Origin, Request},
};
use tokio::sync::{mpsc, oneshot};

use crate::traffic::{
    answer::{Body, Broken},
    context::Context,
    courier::{Courier, Orders, refuse},
    outbound::Outbound,
    payload::{Intake, Payload},
    watch::Watch,
};

/// Answers a request.
pub(super) async fn answer(
    context: Arc<Context>,
    port: Port,
    request: http::Request<Incoming>,
) -> Result<Response<Body>, Broken> {
    if port == Port::Local && is_announcement(&request) {
        return Ok(announce(&context, request).await);
    }
    match hand_over(&context, port, request).await {
        Ok(answer) => answer.await.map_err(|_| Broken),
        Err(reason) => {
            context.count_refusal(reason);
            Ok(refuse(&context, port, Refusal::not_run(reason)))
        }
    }
}

/// Hands a request to a courier and tells the world of it.
async fn hand_over(
    context: &Arc<Context>,
    port: Port,
    request: http::Request<Incoming>,
) -> Result<oneshot::Receiver<Response<Body>>, Reason> {
    let permit =
        Arc::clone(&context.requests).try_acquire_owned().map_err(|_| Reason::InProgressLimit)?;
    let (parts, body) = request.into_parts();
    let intake = Intake {
        limits: &context.limits,
        kept_bytes: &context.kept_bytes,
        whole: parts.headers.contains_key(header::IDEMPOTENCY_KEY),
    };
    let payload = Payload::read(body, intake).await?;
    let whole = payload.whole();
    let incoming = request::Incoming {
        ticket: context.next_ticket(),
        port,
        parts: &parts,
        body: whole.as_deref(),
    };
    let request: Request = incoming.try_into().map_err(|error: request::Error| error.reason())?;
    let retries = match &request.origin {
        Origin::Peer(forwarded) => Some(forwarded.retry_allowance),
        Origin::Caller { .. } | Origin::Target { .. } => None,
    };
    let secret = request::secret(&parts.headers).map_err(|error| error.reason())?;

    let (sender, orders) = mpsc::unbounded_channel();
    let (caller, answer) = oneshot::channel();
    let courier = Courier {
        context: Arc::clone(context),
        watch: Watch::new(Arc::clone(context), orders, caller, retries),
        outbound: Outbound::new(parts, payload, secret),
        port,
    };
    tokio::spawn(async move {
        courier.run().await;
        drop(permit);
    });
    let exchange = Orders { sender, control: context.control.clone() };
    context.control.arrived(request, Box::new(exchange));
    Ok(answer)
}

fn is_announcement(request: &http::Request<Incoming>) -> bool {
    request.method() == Method::POST && request.uri().path() == ANNOUNCE_PATH
}

/// Takes an announcement of the own target.
async fn announce(context: &Context, request: http::Request<Incoming>) -> Response<Body> {
    match context.announcements.read(request.into_body()).await {
        Ok((address, announcement)) => {
            context.target.set_address(address);
            context.control.event(Event::Target(announcement.into()));
            status(StatusCode::NO_CONTENT, Bytes::new())
        }
        Err(error) => status(StatusCode::UNPROCESSABLE_ENTITY, error.to_string().into()),
    }
}

fn status(status: StatusCode, body: Bytes) -> Response<Body> {
    let mut response = Response::new(Body::from(body));
    *response.status_mut() = status;
    response
}
