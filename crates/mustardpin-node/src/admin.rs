//! The administration API that every node serves to operators.
//!
//! [`AdminService`] responds to requests with data from [`Control`]; [`crate::server`] serves it on
//! a listener. Paths and bodies are those of [`mustardpin_wire::admin`].

mod bridge;

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use derive_more::{Display, Error};
use futures::future::BoxFuture;
use http::{HeaderMap, Method, Request, Response, StatusCode, header};
use http_body::Body;
use http_body_util::{BodyExt as _, Full, LengthLimitError, Limited};
use hyper::body::Incoming;
use mustardpin_wire::admin::{
    Acceptance, CHANGES_PATH, CONFIGURATION_PATH, Configuration, Proposal, Rejection, STATUS_PATH,
    status::Status,
};
use mustardpin_world::{
    config::ChangeError,
    event,
    id::{KeyDigest, Revision},
};
use serde::Serialize;

use crate::server::Service;

pub use self::bridge::Bridge;

/// The maximum size of a request's body, in bytes.
const MAX_BODY_BYTES: usize = 1 << 20;
/// The timeout of a proposal; after it the outcome is unknown.
const PROPOSAL_TIMEOUT: Duration = Duration::from_secs(10);
/// The timeout for receiving a request's body.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// The node is stopping, and its control thread no longer responds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Display, Error)]
#[display("the node is stopping")]
pub struct Stopping;

/// The outcome of a proposal: the new revision, or why the change was not made.
pub type ProposalResult = Result<Revision, ChangeError>;

/// The operations of the control thread that the administration API uses.
pub trait Control: Send + Sync + 'static {
    /// Proposes a change and waits for the outcome.
    fn propose(&self, proposal: event::Proposal)
    -> BoxFuture<'_, Result<ProposalResult, Stopping>>;

    /// Returns the state of the node.
    fn status(&self) -> BoxFuture<'_, Result<Status, Stopping>>;

    /// Returns the configuration that the node has.
    fn configuration(&self) -> BoxFuture<'_, Result<Configuration, Stopping>>;
}

impl Service for AdminService {
    fn respond(
        self: Arc<Self>,
        request: Request<Incoming>,
    ) -> BoxFuture<'static, Response<Full<Bytes>>> {
        Box::pin(async move { AdminService::respond(&self, request).await })
    }
}

/// Responds to requests of operators.
pub struct AdminService {
    credential: KeyDigest,
    control: Arc<dyn Control>,
}

impl AdminService {
    /// Creates a service that accepts requests with the credential of this digest.
    pub fn new(credential: KeyDigest, control: Arc<dyn Control>) -> AdminService {
        AdminService { credential, control }
    }

    /// Responds to one request.
    pub async fn respond<B>(&self, request: Request<B>) -> Response<Full<Bytes>>
    where
        B: Body<Data = Bytes>,
        B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
    {
        match self.handle(request).await {
            Ok(response) => response,
            Err(rejection) => json(rejection.status(), &rejection),
        }
    }

    async fn handle<B>(&self, request: Request<B>) -> Result<Response<Full<Bytes>>, Rejection>
    where
        B: Body<Data = Bytes>,
        B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
    {
        if !self.is_authorized(request.headers()) {
            return Err(Rejection::Unauthorized);
        }
        let (parts, body) = request.into_parts();
        match (parts.method, parts.uri.path()) {
            (Method::GET, STATUS_PATH) => {
                let status = self.control.status().await.map_err(unavailable)?;
                Ok(json(StatusCode::OK, &status))
            }
            (Method::GET, CONFIGURATION_PATH) => {
                let configuration = self.control.configuration().await.map_err(unavailable)?;
                Ok(json(StatusCode::OK, &configuration))
            }
            (Method::POST, CHANGES_PATH) => {
                let acceptance = self.propose(&read_body(body).await?).await?;
                Ok(json(StatusCode::OK, &acceptance))
            }
            _ => Err(Rejection::NotFound),
        }
    }

    /// Compares digests, in a time that does not depend on where they differ.
    fn is_authorized(&self, headers: &HeaderMap) -> bool {
        let credential = headers
            .get(header::AUTHORIZATION)
            .and_then(|value| value.to_str().ok())
            .and_then(|value| value.strip_prefix("Bearer "));
        credential.is_some_and(|credential| KeyDigest::of(credential) == self.credential)
    }

    async fn propose(&self, bytes: &[u8]) -> Result<Acceptance, Rejection> {
        let proposal: Proposal = serde_json::from_slice(bytes).map_err(malformed)?;
        let proposal = event::Proposal::try_from(proposal)?;
        let outcome = tokio::time::timeout(PROPOSAL_TIMEOUT, self.control.propose(proposal)).await;
        match outcome {
            Ok(Ok(Ok(revision))) => Ok(Acceptance { revision: revision.0 }),
            Ok(Ok(Err(error))) => Err(error.into()),
            Ok(Err(Stopping)) | Err(_) => Err(Rejection::Unavailable),
        }
    }
}

async fn read_body<B>(body: B) -> Result<Bytes, Rejection>
where
    B: Body<Data = Bytes>,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    let collected = Limited::new(body, MAX_BODY_BYTES).collect();
    match tokio::time::timeout(BODY_TIMEOUT, collected).await {
        Ok(Ok(collected)) => Ok(collected.to_bytes()),
        Ok(Err(error)) if error.is::<LengthLimitError>() => Err(malformed(format_args!(
            "the body is larger than {MAX_BODY_BYTES} bytes; split the change"
        ))),
        Ok(Err(_)) | Err(_) => Err(malformed("the body broke off; send it again")),
    }
}

fn malformed(problem: impl ToString) -> Rejection {
    Rejection::Malformed { problem: problem.to_string().into() }
}

fn unavailable(_: Stopping) -> Rejection {
    Rejection::Unavailable
}

fn json(status: StatusCode, value: &impl Serialize) -> Response<Full<Bytes>> {
    // Serialising the API's own types into memory does not fail; an empty body would show it.
    let bytes = serde_json::to_vec(value).unwrap_or_default();
    let mut response = Response::new(Full::new(Bytes::from(bytes)));
    *response.status_mut() = status;
    let media_type = header::HeaderValue::from_static("application/json");
    response.headers_mut().insert(header::CONTENT_TYPE, media_type);
    response
}
