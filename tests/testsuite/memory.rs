//! The memory of a node while others send bytes without end, or do not read what it has for them.

use std::{
    fs,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::{Duration, Instant},
};

use futures::future::join_all;
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::{TcpListener, TcpSocket, TcpStream},
    task::JoinHandle,
    time,
};

use crate::{
    fleet::{Fleet, SlotPlan, scratch_directory, slot, start_node},
    played::{self, SLOTS, read_head},
    port::free_address,
};

/// The memory of the smallest instance on which a node runs.
const MAX_MEMORY_BYTES: usize = 160 * 1_000 * 1_000;
/// The time for which bytes are sent, which is also the timeout of the requests.
const TROUBLE: Duration = Duration::from_secs(3);
/// The limits of the users' deployment.
const LIMITS: &str = "limits:\n  traffic-threads: 1\n  replay-size: 256KiB\n  kept-size: 24MiB\n\
                      limit:\n  algorithm: slots\n";

fn limited(plan: SlotPlan) -> SlotPlan {
    SlotPlan { settings: LIMITS.to_owned(), ..plan }
}

/// Starts two nodes, of which the first has a target that the test plays, and issues a key.
async fn start<F: Future<Output = ()> + Send + 'static>(
    serve: impl Fn(TcpStream) -> F + Send + 'static,
) -> (Fleet, String) {
    let plans = [limited(slot("north", "search")), limited(slot("south", "ledger"))];
    let (fleet, key) = played::start(&plans, serve).await;
    fleet.wait_for(0, "the target is there", |status| status.target.limit >= SLOTS / 2).await;
    (fleet, key)
}

/// Sends the same bytes until the connection ends, at most 400 times a second.
async fn send_without_end(mut stream: TcpStream, start: &str, repeated: &str) {
    let repeated = repeated.repeat(4_096 / repeated.len());
    let mut bytes = start.as_bytes();
    while stream.write_all(bytes).await.is_ok() {
        bytes = repeated.as_bytes();
        time::sleep(Duration::from_micros(2_500)).await;
    }
}

fn assert_memory(fleet: &mut Fleet) {
    let peaks: Vec<usize> = fleet.slots.iter().map(|slot| slot.node.peak_memory()).collect();
    for slot in &mut fleet.slots {
        assert!(!slot.node.has_ended(), "a node has ended");
    }
    println!("peak memory in bytes: {peaks:?}");
    assert!(peaks.iter().all(|peak| *peak < MAX_MEMORY_BYTES), "peak memory in bytes: {peaks:?}");
}

fn request(line: &str, key: &str, rest: &str) -> String {
    format!(
        "{line} HTTP/1.1\r\nhost: fleet\r\nauthorization: Bearer {key}\r\n\
         request-timeout-ms: {}\r\n{rest}\r\n",
        TROUBLE.as_millis()
    )
}

async fn serve_without_end(mut stream: TcpStream) {
    let path = read_head(&mut stream).await;
    let ok = "HTTP/1.1 200 OK\r\n";
    let chunked = format!("{ok}transfer-encoding: chunked\r\n\r\n");
    let line = format!("x-line: {}\r\n", "x".repeat(100));
    let extension = format!("1;{}\r\nx\r\n", "x".repeat(100));
    match path.trim_start_matches("/slots/") {
        "interim" => send_without_end(stream, "", "HTTP/1.1 103 Hints\r\nx: y\r\n\r\n").await,
        "head" => send_without_end(stream, ok, &line).await,
        "header" => send_without_end(stream, &format!("{ok}x-header: "), "x").await,
        "chunks" => send_without_end(stream, &chunked, "1\r\nx\r\n").await,
        "extensions" => send_without_end(stream, &chunked, &extension).await,
        "trailers" => send_without_end(stream, &format!("{chunked}1\r\nx\r\n0\r\n"), &line).await,
        "body" => send_without_end(stream, &format!("{ok}\r\n"), "x").await,
        path => panic!("an unknown path: {path:?}"),
    }
}

/// Guards against a node that runs out of memory, and takes the requests of its other callers with
/// it, because a target sends a response without end.
#[tokio::test(flavor = "multi_thread")]
async fn responses_without_end() {
    const CALLERS: usize = 20;
    /// Some requests are refused, since the node learns how long others take.
    const MIN_SERVED: usize = 100;
    let served = Arc::new(AtomicUsize::new(0));
    let count = Arc::clone(&served);
    let (mut fleet, key) = start(move |stream| {
        let count = Arc::clone(&count);
        async move {
            count.fetch_add(1, Ordering::Relaxed);
            serve_without_end(stream).await;
        }
    })
    .await;
    let addresses = [fleet.slots[0].callers, fleet.slots[1].callers];
    // Those of the second group are given up at once, after which the target is ejected.
    for forms in [&["interim", "chunks", "extensions", "body"][..], &["head", "header", "trailers"]]
    {
        let calls = forms.iter().flat_map(|form| {
            let request = request(&format!("GET /slots/{form}"), &key, "");
            addresses.map(|address| call_often(address, request.clone(), CALLERS))
        });
        join_all(calls).await;
        assert!(served.load(Ordering::Relaxed) >= MIN_SERVED, "{served:?}");
    }
    assert_memory(&mut fleet);
}

/// Sends the request on many connections at once, and reads all responses.
async fn call_often(address: SocketAddr, request: String, count: usize) {
    let calls = (0..count).map(|_| async {
        let mut stream = TcpStream::connect(address).await.expect("the node listens");
        stream.write_all(request.as_bytes()).await.expect("the node reads");
        let mut bytes = [0; 4_096];
        let read = async { while let Ok(1..) = stream.read(&mut bytes).await {} };
        let _timeout = time::timeout(2 * TROUBLE, read).await;
    });
    join_all(calls).await;
}

/// Guards against a node that runs out of memory because callers send requests without end.
#[tokio::test(flavor = "multi_thread")]
async fn requests_without_end() {
    const CALLERS: usize = 20;
    let (mut fleet, key) = start(|mut stream| async move {
        let _path = read_head(&mut stream).await;
        let mut bytes = [0; 4_096];
        while let Ok(1..) = stream.read(&mut bytes).await {}
    })
    .await;
    let addresses = [fleet.slots[0].callers, fleet.slots[1].callers];
    let chunked = request("GET /slots", &key, "transfer-encoding: chunked\r\n");
    let trailers = format!("{chunked}1\r\nx\r\n0\r\n");
    let head = chunked.trim_end().to_owned() + "\r\n";
    let line = format!("x-line: {}\r\n", "x".repeat(100));
    let extension = format!("1;{}\r\nx\r\n", "x".repeat(100));
    let forms = [
        ("", "\r\n"),
        (&head, &line),
        (&chunked, "1\r\nx\r\n"),
        (&chunked, &extension),
        (&trailers, &line),
    ];
    let callers = forms.into_iter().flat_map(|(start, repeated)| {
        let senders = (0..CALLERS).map(move |number| async move {
            let stream = TcpStream::connect(addresses[number % 2]).await;
            let send = send_without_end(stream.expect("the node listens"), start, repeated);
            let _timeout = time::timeout(TROUBLE, send).await;
        });
        senders.collect::<Vec<_>>()
    });
    join_all(callers).await;
    assert_memory(&mut fleet);
}

/// Guards against a node that runs out of memory for uploads of which the target reads nothing.
#[tokio::test(flavor = "multi_thread")]
async fn uploads_that_are_not_read() {
    const UPLOADS: usize = 60;
    const UPLOAD_BYTES: usize = 8_000_000;
    let (mut fleet, key) = start(|mut stream| async move {
        let _path = read_head(&mut stream).await;
        time::sleep(4 * TROUBLE).await;
    })
    .await;
    let addresses = [fleet.slots[0].callers, fleet.slots[1].callers];
    let head = request("GET /slots", &key, &format!("content-length: {UPLOAD_BYTES}\r\n"));
    let uploads: Vec<JoinHandle<()>> = (0..UPLOADS)
        .map(|number| {
            let (address, head) = (addresses[number % 2], head.clone());
            tokio::spawn(async move {
                let mut stream = TcpStream::connect(address).await.expect("the node listens");
                stream.write_all(head.as_bytes()).await.expect("the node reads");
                let body = vec![b'x'; UPLOAD_BYTES];
                let _timeout = time::timeout(TROUBLE, stream.write_all(&body)).await;
            })
        })
        .collect();
    join_all(uploads).await;
    assert_memory(&mut fleet);
}

/// Guards against a node that runs out of memory for complete responses that wait for callers which
/// do not read.
#[tokio::test(flavor = "multi_thread")]
async fn responses_that_are_not_read() {
    const CALLERS: usize = 160;
    const PIPELINED: usize = 16;
    const RESPONSE_BYTES: usize = 250_000;
    let (mut fleet, key) = start(|mut stream| async move {
        let body = "x".repeat(RESPONSE_BYTES);
        let response = format!("HTTP/1.1 200 OK\r\ncontent-length: {RESPONSE_BYTES}\r\n\r\n{body}");
        while !read_head(&mut stream).await.is_empty() {
            if stream.write_all(response.as_bytes()).await.is_err() {
                return;
            }
        }
    })
    .await;
    let addresses = [fleet.slots[0].callers, fleet.slots[1].callers];
    let requests = request("GET /slots", &key, "").repeat(PIPELINED);
    let callers = (0..CALLERS).map(|number| {
        let (address, requests) = (addresses[number % 2], requests.clone());
        async move {
            let socket = TcpSocket::new_v4().expect("a socket");
            socket.set_recv_buffer_size(4_096).expect("the size is valid");
            let mut stream = socket.connect(address).await.expect("the node listens");
            stream.write_all(requests.as_bytes()).await.expect("the node reads");
            time::sleep(TROUBLE).await;
        }
    });
    join_all(callers).await;
    assert_memory(&mut fleet);
}

/// Guards against a node that runs out of memory because the store sends a response without end.
#[tokio::test(flavor = "multi_thread")]
async fn store_without_end() {
    let chunked = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
    let large_chunk = format!("400\r\n{}\r\n", " ".repeat(1_024));
    join_all([
        start_with_store(chunked, "1\r\n \r\n"),
        start_with_store(chunked, &large_chunk),
        start_with_store("HTTP/1.1 200 OK\r\n", "x-line: y\r\n"),
        start_with_store("", "HTTP/1.1 103 Hints\r\n\r\n"),
    ])
    .await;
}

/// Starts a node whose store sends the same bytes until the connection ends.
async fn start_with_store(start: &str, repeated: &str) {
    const TIMEOUT: Duration = Duration::from_secs(8);
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let store = listener.local_addr().expect("a bound address");
    let (first, repeated) = (start.to_owned(), repeated.repeat(65_536 / repeated.len()));
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let (first, repeated) = (first.clone(), repeated.clone());
            tokio::spawn(async move {
                let _path = read_head(&mut stream).await;
                let mut bytes = first.as_bytes();
                while stream.write_all(bytes).await.is_ok() {
                    bytes = repeated.as_bytes();
                }
            });
        }
    });
    let directory = scratch_directory();
    let [callers, local, peers] = std::array::from_fn(|_| free_address());
    let settings = directory.join("node.yaml");
    let yaml = format!(
        "name: north-1\ndata-centre: north\nservice: search\naddresses:\n  \
         callers: {callers}\n  local: {local}\n  peers: {peers}\n\
         fleet-credential: test-fleet-credential\n\
         platform:\n  address: {store}\n  timeout: {}s\n",
        TIMEOUT.as_secs()
    );
    fs::write(&settings, yaml).expect("the scratch directory can be written");
    let mut node = start_node(&settings, &directory, "node");
    let begun = Instant::now();
    while begun.elapsed() < TIMEOUT {
        assert!(!node.has_ended(), "{start:?}: the node has ended");
        time::sleep(Duration::from_millis(50)).await;
    }
    let peak = node.peak_memory();
    println!("{start:?}: peak memory {peak} bytes");
    assert!(peak < MAX_MEMORY_BYTES, "{start:?}: peak memory {peak} bytes");
    let _removed = fs::remove_dir_all(&directory);
}
