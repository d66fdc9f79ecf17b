//! The platform's table in memory, over HTTP.

use std::{
    collections::BTreeMap,
    convert::Infallible,
    net::SocketAddr,
    sync::{Arc, Mutex},
};

use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::{BodyExt as _, Full};
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::TokioIo;
use mustardpin_wire::platform::{Acceptance, Changes, Row, Transaction};
use mustardpin_world::{config, platform::Announcement};
use tokio::{net::TcpListener, runtime::Runtime};

/// A platform that answers at once.
#[derive(Clone)]
pub struct Platform {
    pub address: SocketAddr,
    table: Arc<Mutex<Table>>,
}

#[derive(Default)]
struct Table {
    revision: u64,
    rows: BTreeMap<String, Row>,
}

impl Platform {
    /// Starts a platform with these rows of the configuration.
    pub fn start(runtime: &Runtime, rows: Vec<config::Row>) -> Platform {
        let listener = runtime.block_on(TcpListener::bind("127.0.0.1:0")).expect("a free port");
        let address = listener.local_addr().expect("a bound address");
        let platform = Platform { address, table: Arc::default() };
        platform.write(rows);
        let served = platform.clone();
        runtime.spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let platform = served.clone();
                let service = service_fn(move |request| platform.clone().answer(request));
                tokio::spawn(http1::Builder::new().serve_connection(TokioIo::new(stream), service));
            }
        });
        platform
    }

    /// Writes rows of the configuration, as an operator's change would.
    pub fn write(&self, rows: Vec<config::Row>) {
        let rows = rows
            .into_iter()
            .map(|row| mustardpin_world::platform::Row::Configuration(row.path(), Some(row)))
            .collect();
        self.transact(Transaction::new(Vec::new(), rows)).expect("no guards");
    }

    /// Writes a node's announcement.
    pub fn announce(&self, announcement: Announcement) {
        let row = mustardpin_world::platform::Row::Node(announcement.node, Some(announcement));
        self.transact(Transaction::new(Vec::new(), vec![row])).expect("no guards");
    }

    fn transact(&self, transaction: Transaction) -> Option<u64> {
        let mut table = self.table.lock().expect("no panic holds the lock");
        let holds = transaction.guards.iter().all(|guard| {
            table.rows.get(guard.path.as_str()).map_or(0, |row| row.revision) == guard.revision
        });
        if !holds {
            return None;
        }
        table.revision += 1;
        let revision = table.revision;
        for write in transaction.writes {
            let row = Row { path: write.path.clone(), revision, value: write.value };
            table.rows.insert(write.path.to_string(), row);
        }
        Some(revision)
    }

    fn changes(&self, after: u64) -> Changes {
        let table = self.table.lock().expect("no panic holds the lock");
        let mut rows: Vec<Row> =
            table.rows.values().filter(|row| row.revision > after).cloned().collect();
        rows.sort_by_key(|row| row.revision);
        Changes { upto: table.revision, rows }
    }

    async fn answer(self, request: Request<Incoming>) -> Result<Response<Full<Bytes>>, Infallible> {
        let query = request.uri().query().unwrap_or_default().to_owned();
        let body = request.into_body().collect().await.map(|body| body.to_bytes());
        let body = body.unwrap_or_default();
        if let Some(after) = query.strip_prefix("after=").and_then(|after| after.parse().ok()) {
            return Ok(json(StatusCode::OK, &self.changes(after)));
        }
        let Ok(transaction) = serde_json::from_slice(&body) else {
            return Ok(json(StatusCode::BAD_REQUEST, &()));
        };
        Ok(match self.transact(transaction) {
            Some(revision) => json(StatusCode::OK, &Acceptance { revision }),
            None => json(StatusCode::CONFLICT, &()),
        })
    }
}

fn json(status: StatusCode, value: &impl serde::Serialize) -> Response<Full<Bytes>> {
    let body = serde_json::to_vec(value).expect("the value becomes JSON");
    let mut response = Response::new(Full::from(body));
    *response.status_mut() = status;
    response
}
