//! Responses that wait for callers which do not read.

use std::{
    io::{ErrorKind, Read as _, Write as _},
    net::{SocketAddr, TcpStream},
    sync::Arc,
    thread,
    time::Duration,
};

use mustardpin_node::{Launch, launch::Limits};
use socket2::{Domain, Socket, Type};

use crate::fake::{Fleet, KEY, Script, get, http2, text, wait_until};

const RESPONSE_BYTES: usize = 250_000;
/// So many responses fit into no buffers of a connection.
const PIPELINED: usize = 24;

fn script() -> Script {
    Arc::new(|request| {
        let length = if request.contains("/large") { RESPONSE_BYTES } else { 5 };
        let body = "x".repeat(length);
        text(&format!("HTTP/1.1 200 OK\r\ncontent-length: {length}\r\n\r\n{body}"))
    })
}

fn request(path: &str) -> String {
    format!("GET {path} HTTP/1.1\r\nhost: fleet\r\nauthorization: Bearer {KEY}\r\n\r\n")
}

/// Connects with a small receive buffer.
fn connect(callers: SocketAddr) -> TcpStream {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
    socket.set_recv_buffer_size(4_096).expect("a size");
    socket.connect(&callers.into()).expect("the node listens");
    socket.into()
}

/// Starts a fleet whose first node has little room for responses.
fn fleet_with_little_room() -> Fleet {
    Fleet::start_with(&[("slots", script()), ("ledger", script())], |launch| {
        let buffered_size = match &*launch.service {
            "slots" => 1_000_000,
            _ => launch.limits.buffered_size,
        };
        Launch { limits: Limits { buffered_size, ..launch.limits }, ..launch }
    })
}

/// Guards against a node that runs out of memory for responses of peers that slow callers do not read,
/// and against taking this out on the other callers.
#[test]
fn callers_that_do_not_read_lose_their_connection_when_room_runs_out() {
    const SLOW_CALLERS: usize = 6;
    let fleet = fleet_with_little_room();
    let slow: Vec<TcpStream> = (0..SLOW_CALLERS).map(|_| connect(fleet.callers(0))).collect();
    for mut caller in &slow {
        let requests = request("/ledger/large").repeat(PIPELINED);
        caller.write_all(requests.as_bytes()).expect("the node reads");
    }
    for _ in 0..50 {
        let response = get(fleet.callers(0), "/ledger");
        assert_eq!((response.status(), response.body()), (200, "xxxxx"));
        thread::sleep(Duration::from_millis(10));
    }
    let is_closed = |mut caller: &TcpStream| {
        caller.set_nonblocking(true).expect("a mode");
        let mut bytes = vec![0; 1 << 20];
        let end = std::iter::repeat_with(|| caller.read(&mut bytes)).find(|read| {
            // More may be on its way, or the connection has ended.
            !matches!(read, Ok(1..))
        });
        matches!(end, Some(Err(error)) if error.kind() == ErrorKind::ConnectionReset)
    };
    let closed = slow.iter().filter(|caller| is_closed(caller)).count();
    assert!(closed > 0, "no slow caller was closed");
}

/// Guards against the same with a caller that sends many requests over one HTTP/2 connection.
#[test]
fn an_http2_caller_that_does_not_read_loses_its_connection() {
    let fleet = fleet_with_little_room();
    let callers = fleet.callers(0);
    fleet.runtime.block_on(async {
        let mut slow = http2(callers).await;
        let mut unread = Vec::new();
        let mut polite = http2(callers).await;
        for _ in 0..PIPELINED {
            unread.push(slow.get("/ledger/large").await);
            let (status, body, _) = polite.collect("/ledger").await.expect("a response");
            assert_eq!((status, &*body), (200, b"xxxxx".as_slice()));
        }
        assert!(unread[0].is_ok() && slow.get("/ledger").await.is_err(), "the connection is open");
    });
}

/// Guards against a node that goes on reading the requests of a caller which reads no responses.
#[test]
fn no_more_requests_are_read_while_responses_are_unread() {
    // Fewer than the node reads ahead of a caller whose responses take no room.
    const MOST_READ: usize = 56;
    let fleet = Fleet::start(&[("slots", script()), ("ledger", script())]);
    for (target, path) in [(0, "/slots/large"), (1, "/ledger/large")] {
        let mut caller = connect(fleet.callers(0));
        let seen = || fleet.targets[target].seen().len();
        let mut sent = 0;
        while seen() == sent && sent < MOST_READ {
            caller.write_all(request(path).as_bytes()).expect("the node reads");
            sent += 1;
            thread::sleep(Duration::from_millis(30));
        }
        assert!(sent < MOST_READ, "{path}: all {sent} requests were read");
        let stopped_at = seen();
        caller.set_read_timeout(Some(Duration::from_secs(5))).expect("not zero");
        thread::spawn(move || {
            let mut bytes = vec![0; 1 << 16];
            while let Ok(1..) = caller.read(&mut bytes) {}
        });
        wait_until(|| seen() == sent);
        assert!(stopped_at < sent, "{path}");
    }
}
