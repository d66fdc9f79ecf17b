//! The platform's table service over HTTP/1.1.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use derive_more::{Display, Error, From};
use http::{Method, Request, StatusCode, header};
use http_body_util::{BodyExt as _, Full, Limited};
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::TokioExecutor,
};
use mustardpin_wire::platform::{Acceptance, CHANGES_PATH, Changes, TRANSACT_PATH, Transaction};
use mustardpin_world::{
    Event,
    platform::{Operation, Reply, Ticket},
};
use tokio::runtime;

use crate::{
    control::Handle,
    platform::{MAX_ANSWER_BYTES, Store},
};

/// Why the platform gave no answer that can be used.
#[derive(Debug)]
#[derive(Display, Error, From)]
enum Error {
    /// The request could not be built.
    #[display("cannot build the request")]
    Request(http::Error),
    /// The platform could not be reached, or the connection broke.
    #[display("cannot reach the platform")]
    Connection(hyper_util::client::legacy::Error),
    /// The answer broke off or is too large.
    #[display("the answer broke off or is too large")]
    Body(Box<dyn std::error::Error + Send + Sync>),
    /// The answer has the wrong shape.
    #[display("the answer has the wrong shape")]
    Json(serde_json::Error),
    /// A row of the answer cannot be read.
    #[display("a row of the answer cannot be read")]
    Row(mustardpin_wire::platform::Error),
    /// The platform answered with an error.
    #[display("the platform answered {_0}")]
    Status(#[error(not(source))] StatusCode),
    /// The platform did not answer in time.
    #[display("the platform did not answer in time")]
    Timeout(tokio::time::error::Elapsed),
}

/// Asks the platform over HTTP, one task for each operation.
pub struct Http {
    address: SocketAddr,
    timeout: Duration,
    client: Client<HttpConnector, Full<Bytes>>,
    runtime: runtime::Handle,
    control: Handle,
}

impl Http {
    /// A client that waits for at most `timeout` for each answer.
    pub fn new(
        address: SocketAddr,
        timeout: Duration,
        runtime: runtime::Handle,
        control: Handle,
    ) -> Http {
        let client = Client::builder(TokioExecutor::new())
            // The world decides what is asked again.
            .retry_canceled_requests(false)
            .build(HttpConnector::new());
        Http { address, timeout, client, runtime, control }
    }
}

impl Store for Http {
    fn ask(&mut self, ticket: Ticket, operation: Operation) {
        let (client, address) = (self.client.clone(), self.address);
        let (control, timeout) = (self.control.clone(), self.timeout);
        self.runtime.spawn(async move {
            let asked = tokio::time::timeout(timeout, ask(&client, address, operation)).await;
            let reply = asked.map_err(Error::from).flatten().unwrap_or(Reply::Failed);
            control.event(Event::Platform(ticket, reply));
        });
    }
}

async fn ask(
    client: &Client<HttpConnector, Full<Bytes>>,
    address: SocketAddr,
    operation: Operation,
) -> Result<Reply, Error> {
    match operation {
        Operation::Changes { after } => {
            let uri = format!("http://{address}{CHANGES_PATH}?after={after}");
            let request = Request::get(uri).body(Full::default())?;
            let body = fetch(client, request).await?;
            Ok(serde_json::from_slice::<Changes>(&body)?.try_into()?)
        }
        Operation::Transact { guards, rows } => {
            let body = serde_json::to_vec(&Transaction::new(guards, rows))?;
            let request = Request::builder()
                .method(Method::POST)
                .uri(format!("http://{address}{TRANSACT_PATH}"))
                .header(header::CONTENT_TYPE, "application/json")
                .body(Full::from(body))?;
            match fetch(client, request).await {
                Err(Error::Status(StatusCode::CONFLICT)) => Ok(Reply::Conflict),
                body => Ok(serde_json::from_slice::<Acceptance>(&body?)?.into()),
            }
        }
    }
}

async fn fetch(
    client: &Client<HttpConnector, Full<Bytes>>,
    request: Request<Full<Bytes>>,
) -> Result<Bytes, Error> {
    let response = client.request(request).await?;
    if response.status() != StatusCode::OK {
        return Err(Error::Status(response.status()));
    }
    let body = Limited::new(response.into_body(), MAX_ANSWER_BYTES).collect().await?;
    Ok(body.to_bytes())
}
