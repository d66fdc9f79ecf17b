//! The time that a node adds to a call, and the time of one decision of the control thread.
//!
//! Everything runs in this process on the loopback interface. Calls start at a fixed rate, whether
//! earlier ones have ended or not; direct calls and calls through nodes take turns. A run takes
//! about half a minute.

#[path = "../tests/testsuite/fake/caller.rs"]
#[allow(dead_code, reason = "the tests need more of it")]
mod caller;
#[path = "../tests/testsuite/fake/fleet.rs"]
#[allow(dead_code, reason = "the tests need more of it")]
mod fleet;
#[path = "../tests/testsuite/fake/platform.rs"]
#[allow(dead_code, reason = "the tests need more of it")]
mod platform;
#[path = "../tests/testsuite/fake/target.rs"]
#[allow(dead_code, reason = "the tests need more of it")]
mod target;

use std::{
    collections::VecDeque,
    net::SocketAddr,
    sync::{Arc, Mutex, mpsc},
    time::{Duration, Instant},
};

use bytes::Bytes;
use hdrhistogram::Histogram;
use http::Request;
use http_body_util::{BodyExt as _, Empty};
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use mustardpin_node::{
    control::Handle,
    exchange::{Exchange, Order},
};
use mustardpin_world::{
    id::KeyDigest,
    request::{Fingerprint, Origin, Ticket},
};
use tokio::{net::TcpStream, runtime::Runtime, sync::oneshot, time};

use crate::{
    fleet::{Fleet, KEY},
    platform::Platform,
    target::{Script, text},
};

/// How long one measurement lasts.
const LENGTH: Duration = Duration::from_secs(2);
/// How often the measurements take turns.
const ROUNDS: usize = 3;
/// Calls a second.
const CALL_RATE: u32 = 1_000;
/// Decisions a second.
const DECISION_RATES: [u32; 2] = [2_000, 10_000];

fn main() {
    let script: Script = Arc::new(|_| text("HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nhello"));
    let fleet = Fleet::start(&[("slots", Arc::clone(&script)), ("ledger", script)]);
    let runtime = Runtime::new().expect("threads");
    for rate in DECISION_RATES {
        for round in 1..=ROUNDS {
            let control = fleet.nodes[0].control();
            let histogram = runtime.block_on(decisions(control.clone(), rate));
            print(&format!("decision, {rate}/s, round {round}"), &histogram);
        }
    }
    let ways = [
        ("direct", fleet.targets[0].address),
        ("one node", fleet.callers(0)),
        ("two nodes", fleet.callers(1)),
    ];
    for round in 1..=ROUNDS {
        for (way, address) in ways {
            let histogram = runtime.block_on(calls(address));
            print(&format!("call, {CALL_RATE}/s, {way}, round {round}"), &histogram);
        }
    }
}

fn print(name: &str, histogram: &Histogram<u64>) {
    println!(
        "{name}: {} ended, p50 {} us, p99 {} us, max {} us",
        histogram.len(),
        histogram.value_at_quantile(0.5),
        histogram.value_at_quantile(0.99),
        histogram.max(),
    );
}

/// Starts `one` at a fixed rate and collects how long each took, in microseconds.
async fn at_rate<F>(rate: u32, mut one: impl FnMut() -> F) -> Histogram<u64>
where
    F: Future<Output = Option<Duration>> + Send + 'static,
{
    let (sender, receiver) = mpsc::channel();
    let mut ticks = time::interval(Duration::from_millis(1));
    let start = Instant::now();
    let mut started = 0;
    while start.elapsed() < LENGTH {
        ticks.tick().await;
        let due = (start.elapsed().as_secs_f64() * f64::from(rate)) as u64;
        while started < due {
            started += 1;
            let (sender, future) = (sender.clone(), one());
            tokio::spawn(async move { sender.send(future.await) });
        }
    }
    drop(sender);
    time::sleep(Duration::from_millis(200)).await;
    let mut histogram = Histogram::new(3).expect("three digits are possible");
    for took in receiver.try_iter().flatten() {
        histogram.saturating_record(took.as_micros() as u64);
    }
    histogram
}

/// An exchange that hands on the first order that ends a request.
struct First(Option<oneshot::Sender<()>>);

impl Exchange for First {
    fn order(&mut self, _: Order) {
        if let Some(sender) = self.0.take() {
            let _ = sender.send(());
        }
    }
}

/// Decisions that refuse a request, from a task to the control thread and back.
async fn decisions(control: Handle, rate: u32) -> Histogram<u64> {
    at_rate(rate, || {
        let control = control.clone();
        async move {
            let request = mustardpin_world::request::Request {
                ticket: Ticket(u64::MAX - rand::random::<u32>() as u64),
                origin: Origin::Caller {
                    key: Some(("garage-1".into(), KeyDigest::of("garage-1.wrong"))),
                },
                method: "GET".into(),
                path: "/slots".into(),
                idempotency_key: None,
                fingerprint: Fingerprint(1),
                timeout: None,
            };
            let (sender, receiver) = oneshot::channel();
            let start = Instant::now();
            control.arrived(request, Box::new(First(Some(sender))));
            receiver.await.ok().map(|()| start.elapsed())
        }
    })
    .await
}

type Pool = Arc<Mutex<VecDeque<http1::SendRequest<Empty<Bytes>>>>>;

/// Calls over connections that are kept.
async fn calls(address: SocketAddr) -> Histogram<u64> {
    let pool = Pool::default();
    at_rate(CALL_RATE, || {
        let pool = Arc::clone(&pool);
        async move {
            let idle = pool.lock().expect("no panic holds the lock").pop_back();
            let mut sender = match idle {
                Some(sender) => sender,
                None => connect(address).await?,
            };
            sender.ready().await.ok()?;
            let start = Instant::now();
            let request = Request::get("/slots")
                .header("host", "fleet")
                .header("authorization", format!("Bearer {KEY}"))
                .body(Empty::new())
                .ok()?;
            let response = sender.send_request(request).await.ok()?;
            let is_whole = response.status() == 200;
            response.into_body().collect().await.ok()?;
            let took = start.elapsed();
            pool.lock().expect("no panic holds the lock").push_back(sender);
            is_whole.then_some(took)
        }
    })
    .await
}

async fn connect(address: SocketAddr) -> Option<http1::SendRequest<Empty<Bytes>>> {
    let stream = TcpStream::connect(address).await.ok()?;
    stream.set_nodelay(true).ok()?;
    let (sender, connection) = http1::handshake(TokioIo::new(stream)).await.ok()?;
    tokio::spawn(connection);
    Some(sender)
}
