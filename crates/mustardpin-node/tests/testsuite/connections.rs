//! Callers that keep connections open do not keep others out.

use std::{
    io::{Read as _, Write as _},
    net::{Ipv4Addr, SocketAddr, SocketAddrV4, TcpStream},
    sync::Arc,
    thread,
    time::Duration,
};

use mustardpin_node::{Launch, launch::Limits};
use socket2::{Domain, Socket, Type};

use crate::fake::{Fleet, KEY, Script, Step, http2, read_response, text, wait_until};

/// The limit of connections on each port.
const LIMIT: usize = 32;

/// Returns an address that is not the target's.
fn caller(number: u8) -> Ipv4Addr {
    Ipv4Addr::new(127, 0, 1, number)
}

/// A target that waits as many milliseconds as the path says after `wait/`.
fn script() -> Script {
    Arc::new(|request| {
        let wait = request.split_once("wait/").map(|(_, rest)| rest.split([' ', '/']).next());
        let wait = wait.flatten().and_then(|wait| wait.parse().ok()).unwrap_or(0);
        let response = text("HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nhello");
        [vec![Step::Wait(Duration::from_millis(wait))], response].concat()
    })
}

fn start() -> Fleet {
    Fleet::start_with(&[("slots", script())], |launch| Launch {
        limits: Limits { connections: LIMIT, ..launch.limits },
        ..launch
    })
}

/// Connects from an address of this machine.
fn connect(from: Ipv4Addr, to: SocketAddr) -> TcpStream {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
    socket.bind(&SocketAddrV4::new(from, 0).into()).expect("a free port");
    socket.connect(&to.into()).expect("the node listens");
    socket.into()
}

fn send(stream: &mut TcpStream, path: &str) {
    let request =
        format!("GET {path} HTTP/1.1\r\nhost: fleet\r\nauthorization: Bearer {KEY}\r\n\r\n");
    // The node may have closed the connection.
    let _ = stream.write_all(request.as_bytes());
}

/// Sends a request and returns the status of its response; zero if there is none.
fn status(stream: &mut TcpStream, path: &str) -> u16 {
    send(stream, path);
    read_response(stream).status()
}

/// Opens a connection on which the body of a request does not arrive. Returns once the node has read
/// the head of the request, or refused it.
fn begin_upload(to: SocketAddr) -> TcpStream {
    let mut stream = connect(caller(1), to);
    let request = format!(
        "POST /slots HTTP/1.1\r\nhost: fleet\r\nauthorization: Bearer {KEY}\r\n\
         expect: 100-continue\r\ncontent-length: 5\r\n\r\n"
    );
    stream.write_all(request.as_bytes()).expect("the node reads");
    let mut line = [0; "HTTP/1.1 100".len()];
    stream.read_exact(&mut line).expect("a status line");
    assert!([&b"HTTP/1.1 100"[..], b"HTTP/1.1 503"].contains(&&line[..]));
    stream
}

/// Whether the node has closed a connection.
fn is_closed(stream: &mut TcpStream) -> bool {
    stream.set_read_timeout(Some(Duration::from_millis(300))).expect("not zero");
    matches!(stream.read(&mut [0]), Ok(0))
}

/// Guards against a healthy node that closes new connections without a word while callers keep
/// thousands of idle ones.
#[test]
fn new_connections_are_served_while_others_are_idle() {
    let fleet = start();
    let mut kept = Vec::new();
    for number in 0..10 * LIMIT {
        let mut stream = connect(caller(1), fleet.callers(0));
        assert_eq!(status(&mut stream, "/slots"), 200, "connection {number}");
        kept.push(stream);
    }
    let last = kept.len() - LIMIT / 2;
    let served = kept[last..].iter_mut().filter_map(|stream| {
        let status = status(stream, "/slots");
        (status != 200).then_some(status)
    });
    assert_eq!(served.collect::<Vec<_>>(), [0; 0], "the connections used last stay open");
    assert!(is_closed(&mut kept[0]), "the connection that was idle for longest is closed");
}

/// Guards against room that is made by closing a connection with a request in progress or partly
/// received.
#[test]
fn no_connection_with_a_request_is_closed_to_make_room() {
    let fleet = start();
    let callers = fleet.callers(0);
    let mut busy: Vec<_> = (0..2).map(|_| connect(caller(1), callers)).collect();
    let mut received: Vec<_> = (0..4).map(|_| connect(caller(1), callers)).collect();
    for stream in &mut busy {
        send(stream, "/slots/wait/1200");
    }
    for stream in &mut received {
        let head = format!("GET /slots HTTP/1.1\r\nhost: fleet\r\nauthorization: Bearer {KEY}");
        stream.write_all(head.as_bytes()).expect("the node reads");
    }
    wait_until(|| fleet.targets[0].seen().len() == busy.len());
    thread::sleep(Duration::from_millis(300));
    let kept: Vec<_> = (0..3 * LIMIT).map(|_| connect(caller(1), callers)).collect();
    for stream in &mut received {
        stream.write_all(b"\r\n\r\n").expect("the connection is open");
        assert_eq!(read_response(stream).status(), 200);
    }
    for stream in &mut busy {
        assert_eq!(read_response(stream).status(), 200);
    }
    drop(kept);
}

/// Guards against a node without room that resets connections, and leaves callers to guess why.
#[test]
fn callers_that_find_no_room_get_a_response_that_says_so() {
    let fleet = start();
    let callers = fleet.callers(0);
    let busy: Vec<_> = (0..LIMIT).map(|_| begin_upload(callers)).collect();
    let mut stream = connect(caller(1), callers);
    send(&mut stream, "/slots");
    let response = read_response(&mut stream);
    assert_eq!(response.status(), 503, "{}", response.text);
    for part in
        ["mustardpin-outcome: not-run", "mustardpin-reason: connection_limit", "retry-after"]
    {
        assert!(response.text.contains(part), "{}", response.text);
    }
    drop(busy);
}

/// Guards against callers that push out the calls of the node's own target.
#[test]
fn the_local_target_finds_room_while_callers_take_all_of_theirs() {
    let fleet = start();
    let callers = fleet.callers(0);
    let busy: Vec<_> = (0..2 * LIMIT).map(|_| begin_upload(callers)).collect();
    let mut stream = connect(Ipv4Addr::LOCALHOST, callers);
    assert_eq!(status(&mut stream, "/open"), 200);
    drop(busy);
}

/// Guards against connections that are still closing and take the places of the target's calls.
#[test]
fn the_local_target_finds_room_while_connections_of_callers_close() {
    let fleet = start();
    let callers = fleet.callers(0);
    let slow: Vec<_> = (0..LIMIT)
        .map(|_| {
            let mut stream = connect(caller(1), callers);
            let _ = stream.write_all(b"GET /slots HTTP/1.1\r\nhost:");
            stream
        })
        .collect();
    thread::sleep(Duration::from_millis(1_200));
    // Each makes the node refuse an overdue head, and wait for its caller to close.
    let new: Vec<_> = (0..2 * LIMIT).map(|_| connect(caller(1), callers)).collect();
    let mut stream = connect(Ipv4Addr::LOCALHOST, callers);
    assert_eq!(status(&mut stream, "/open"), 200);
    drop((slow, new));
}

/// Guards against one caller with many connections that pushes out those of others.
#[test]
fn the_caller_with_the_most_connections_makes_room() {
    let fleet = start();
    let callers = fleet.callers(0);
    let mut few: Vec<_> = (0..4).map(|_| connect(caller(1), callers)).collect();
    for stream in &mut few {
        assert_eq!(status(stream, "/slots"), 200);
    }
    let mut many = Vec::new();
    for _ in 0..3 * LIMIT {
        let mut stream = connect(caller(2), callers);
        assert_eq!(status(&mut stream, "/slots"), 200);
        many.push(stream);
    }
    for stream in &mut few {
        assert_eq!(status(stream, "/slots"), 200);
    }
}

/// Guards against senders of heads that never end, which hold all places.
#[test]
fn overdue_heads_make_room_first() {
    let fleet = start();
    let callers = fleet.callers(0);
    let mut used = connect(caller(1), callers);
    assert_eq!(status(&mut used, "/slots"), 200);
    let slow: Vec<_> = (0..LIMIT - 6)
        .map(|_| {
            let mut stream = connect(caller(1), callers);
            stream.write_all(b"GET /slots HTTP/1.1\r\nhost:").expect("the node reads");
            stream
        })
        .collect();
    thread::sleep(Duration::from_millis(1_200));
    let mut new: Vec<_> = (0..8).map(|_| connect(caller(1), callers)).collect();
    for stream in &mut new {
        assert_eq!(status(stream, "/slots"), 200);
    }
    assert_eq!(status(&mut used, "/slots"), 200);
    drop(slow);
}

/// Guards against idle HTTP/2 connections that hold all places, and against such a connection that is
/// closed with a request in progress.
#[test]
fn idle_http2_connections_make_room_and_those_in_use_do_not() {
    let fleet = start();
    let callers = fleet.callers(0);
    let in_use = fleet.runtime.spawn(async move {
        let mut caller = http2(callers).await;
        caller.get("/slots/wait/1000").await.map(|response| response.status().as_u16()).ok()
    });
    wait_until(|| !fleet.targets[0].seen().is_empty());
    let idle: Vec<_> = (0..2 * LIMIT).map(|_| fleet.runtime.block_on(http2(callers))).collect();
    let mut stream = connect(caller(1), callers);
    assert_eq!(status(&mut stream, "/slots"), 200);
    assert_eq!(fleet.runtime.block_on(in_use).expect("no panic"), Some(200));
    drop(idle);
}
