//! The administration API that every node serves to operators.
//!
//! [`AdminService`] answers one request at a time out of what [`Control`] gives; [`crate::server`] puts it
//! on a listener. Paths and bodies are those of [`mustardpin_wire::admin`].

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

/// The largest body of a request, in bytes.
const BODY_SIZE_LIMIT: usize = 1 << 20;
/// How long a proposal may take; after that its outcome is unknown.
const PROPOSAL_TIMEOUT: Duration = Duration::from_secs(10);
/// How long a body may take to arrive.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// The node is stopping and answers no more.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Display, Error)]
#[display("the node is stopping")]
pub struct Stopping;

/// The outcome of a proposal.
pub type ProposalResult = Result<Revision, ChangeError>;

/// What the administration API needs from the control thread.
pub trait Control: Send + Sync + 'static {
    /// Proposes a change and waits for the answer.
    fn propose(&self, proposal: event::Proposal)
    -> BoxFuture<'_, Result<ProposalResult, Stopping>>;

    /// The state of the node.
    fn status(&self) -> BoxFuture<'_, Result<Status, Stopping>>;

    /// The configuration as the node knows it.
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

/// Answers requests of operators.
pub struct AdminService {
    credential: KeyDigest,
    control: Arc<dyn Control>,
}

impl AdminService {
    /// A service that answers those who show the credential with this digest.
    pub fn new(credential: KeyDigest, control: Arc<dyn Control>) -> AdminService {
        AdminService { credential, control }
    }

    /// Answers one request.
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
                let acceptance = self.propose(&read(body).await?).await?;
                Ok(json(StatusCode::OK, &acceptance))
            }
            _ => Err(Rejection::NotFound),
        }
    }

    /// Compares digests, in the same time wherever they differ.
    fn is_authorized(&self, headers: &HeaderMap) -> bool {
        let shown = headers
            .get(header::AUTHORIZATION)
            .and_then(|value| value.to_str().ok())
            .and_then(|value| value.strip_prefix("Bearer "));
        shown.is_some_and(|shown| KeyDigest::of(shown) == self.credential)
    }

    async fn propose(&self, bytes: &[u8]) -> Result<Acceptance, Rejection> {
        let proposal: Proposal = serde_json::from_slice(bytes).map_err(malformed)?;
        let proposal = event::Proposal::try_from(proposal)?;
        let answer = tokio::time::timeout(PROPOSAL_TIMEOUT, self.control.propose(proposal)).await;
        match answer {
            Ok(Ok(Ok(revision))) => Ok(Acceptance { revision: revision.0 }),
            Ok(Ok(Err(error))) => Err(error.into()),
            Ok(Err(Stopping)) | Err(_) => Err(Rejection::Unavailable),
        }
    }
}

async fn read<B>(body: B) -> Result<Bytes, Rejection>
where
    B: Body<Data = Bytes>,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    let collected = Limited::new(body, BODY_SIZE_LIMIT).collect();
    match tokio::time::timeout(BODY_TIMEOUT, collected).await {
        Ok(Ok(collected)) => Ok(collected.to_bytes()),
        Ok(Err(error)) if error.is::<LengthLimitError>() => Err(malformed(format_args!(
            "the body is larger than {BODY_SIZE_LIMIT} bytes; split the change"
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
