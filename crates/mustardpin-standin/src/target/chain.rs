//! Calls to downstream services, through the target's node.

use std::net::SocketAddr;

use bytes::Bytes;
use compact_str::{CompactString, format_compact};
use derive_more::{Display, Error, From};
use futures::future::try_join_all;
use http::{HeaderValue, Request, StatusCode};
use http_body_util::{BodyExt as _, Full};

use crate::{
    http::Caller,
    target::{
        arguments::{Arguments, Call},
        response_body::{self, BodyError},
    },
};

/// The header with the name that the response body repeats.
pub const REQUEST_HEADER: &str = "standin-request";
/// The header with the token that links a call to the run that makes it.
pub const CALL_HEADER: &str = "mustardpin-call";
/// The header that identifies a non-repeatable request.
pub const IDEMPOTENCY_HEADER: &str = "idempotency-key";

/// An error of a call to a downstream service.
#[derive(Debug, Display, Error, From)]
pub enum Error {
    /// The request could not be built.
    #[display("malformed call")]
    Request(http::Error),
    /// The request failed before the head of a response arrived.
    #[display("no answer")]
    Client(hyper_util::client::legacy::Error),
    /// The response body was truncated.
    #[display("the answer broke off")]
    Body(hyper::Error),
    /// The response body is not valid.
    #[display("wrong answer: {_0}")]
    InvalidBody(BodyError),
    /// The status of the response is not 200.
    #[display("status {_0}")]
    #[from(skip)]
    Status(#[error(not(source))] StatusCode),
}

/// Values of the running request from which its calls are made.
#[derive(Debug, Clone)]
pub struct Context {
    /// The name of the running request.
    pub request: CompactString,
    /// Its idempotency key.
    pub idempotency_key: Option<CompactString>,
    /// Its call token, which the node sent with it.
    pub token: Option<HeaderValue>,
}

/// Makes the downstream calls of a target.
#[derive(Debug)]
pub struct Chain {
    caller: Caller,
    node: SocketAddr,
    calls: Vec<Call>,
    fan_out: bool,
    retries: u32,
}

impl Chain {
    /// Creates the calls that the arguments name.
    pub fn new(caller: Caller, arguments: &Arguments) -> Chain {
        Chain {
            caller,
            node: arguments.node,
            calls: arguments.calls.clone(),
            fan_out: arguments.fan_out,
            retries: arguments.retries,
        }
    }

    /// Makes all calls of one run. Returns the error of the first that fails.
    pub async fn run(&self, context: &Context) -> Result<(), Error> {
        let calls = self.calls.iter().enumerate();
        if self.fan_out {
            try_join_all(calls.map(|(index, call)| self.call(context, index, call))).await?;
            return Ok(());
        }
        for (index, call) in calls {
            self.call(context, index, call).await?;
        }
        Ok(())
    }

    async fn call(&self, context: &Context, index: usize, call: &Call) -> Result<(), Error> {
        let mut attempt = 0;
        loop {
            match self.attempt(context, index, call).await {
                Err(_) if attempt < self.retries => attempt += 1,
                result => return result,
            }
        }
    }

    async fn attempt(&self, context: &Context, index: usize, call: &Call) -> Result<(), Error> {
        let name = format_compact!("{}.{index}", context.request);
        let mut builder = Request::builder()
            .method(call.method.as_str())
            .uri(format!("http://{}{}", self.node, call.path))
            .header(REQUEST_HEADER, name.as_str());
        if let Some(token) = &context.token {
            builder = builder.header(CALL_HEADER, token);
        }
        if let Some(key) = &context.idempotency_key {
            builder = builder.header(IDEMPOTENCY_HEADER, format!("{key}.{index}"));
        }
        let request = builder.body(Full::<Bytes>::default())?;
        let response = self.caller.request(request).await?;
        let status = response.status();
        let body = response.collect().await?.to_bytes();
        if status != StatusCode::OK {
            return Err(Error::Status(status));
        }
        Ok(response_body::check(&body, &name)?)
    }
}
