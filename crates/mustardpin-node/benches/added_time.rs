//! The time that a node adds to a call.
//!
//! Everything runs in this process on the loopback interface. Calls start at a fixed rate, whether
//! earlier ones have ended or not. Direct calls and calls through nodes alternate many times, so
//! that other load on the machine affects all of them alike. A run takes about half a minute.

#[path = "../tests/testsuite/fake/caller.rs"]
#[allow(dead_code, reason = "the tests use more of it")]
mod caller;
#[path = "../tests/testsuite/fake/fleet.rs"]
#[allow(dead_code, reason = "the tests use more of it")]
mod fleet;
#[path = "../tests/testsuite/fake/platform.rs"]
#[allow(dead_code, reason = "the tests use more of it")]
mod platform;
#[path = "../tests/testsuite/fake/target.rs"]
#[allow(dead_code, reason = "the tests use more of it")]
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
use tokio::{net::TcpStream, runtime::Runtime, time};

use crate::{
    fleet::{Fleet, KEY},
    platform::Platform,
    target::{Script, text},
};

/// The duration of one measurement in a round.
const MEASUREMENT_DURATION: Duration = Duration::from_millis(300);
/// The number of rounds, each with one measurement of every path.
const ROUNDS: usize = 15;
/// The number of calls per second.
const CALL_RATE: u32 = 1_000;
/// The maximum time that a histogram can record, in microseconds.
const MAX_MICROS: u64 = 60_000_000;

fn main() {
    let script: Script = Arc::new(|_| text("HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nhello"));
    let fleet = Fleet::start(&[("slots", Arc::clone(&script)), ("ledger", script)]);
    let runtime = Runtime::new().expect("the runtime starts");
    let mut paths = [
        ("direct", fleet.targets[0].address, histogram()),
        ("one node", fleet.callers(0), histogram()),
        ("two nodes", fleet.callers(1), histogram()),
    ];
    for _ in 0..ROUNDS {
        for (_, address, times) in &mut paths {
            *times += runtime.block_on(measure(*address));
        }
    }
    for (path, _, times) in &paths {
        print(&format!("call, {CALL_RATE}/s, {path}"), times);
    }
}

fn histogram() -> Histogram<u64> {
    Histogram::new_with_max(MAX_MICROS, 3).expect("three significant digits are valid")
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

/// Starts calls at a fixed rate and records how long each took, in microseconds.
async fn call_at_rate<F>(rate: u32, mut start_call: impl FnMut() -> F) -> Histogram<u64>
where
    F: Future<Output = Option<Duration>> + Send + 'static,
{
    let (sender, receiver) = mpsc::channel();
    let mut ticks = time::interval(Duration::from_millis(1));
    let start = Instant::now();
    let mut started = 0;
    while start.elapsed() < MEASUREMENT_DURATION {
        ticks.tick().await;
        let due = (start.elapsed().as_secs_f64() * f64::from(rate)) as u64;
        while started < due {
            started += 1;
            let (sender, future) = (sender.clone(), start_call());
            tokio::spawn(async move { sender.send(future.await) });
        }
    }
    drop(sender);
    time::sleep(Duration::from_millis(200)).await;
    let mut histogram =
        Histogram::new_with_max(MAX_MICROS, 3).expect("three significant digits are valid");
    for took in receiver.try_iter().flatten() {
        histogram.saturating_record(took.as_micros() as u64);
    }
    histogram
}

type Pool = Arc<Mutex<VecDeque<http1::SendRequest<Empty<Bytes>>>>>;

/// Measures calls over persistent connections.
async fn measure(address: SocketAddr) -> Histogram<u64> {
    let pool = Pool::default();
    call_at_rate(CALL_RATE, || {
        let pool = Arc::clone(&pool);
        async move {
            let idle = pool.lock().expect("the lock is not poisoned").pop_back();
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
            let is_ok = response.status() == 200;
            response.into_body().collect().await.ok()?;
            let took = start.elapsed();
            pool.lock().expect("the lock is not poisoned").push_back(sender);
            is_ok.then_some(took)
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
