//! Malformed input gets a refusal or a closed connection, and does not crash the node.

use std::{
    cell::RefCell,
    io::{self, Write as _},
    net::{SocketAddr, TcpStream},
    sync::{Arc, mpsc},
    thread,
    time::Duration,
};

use mustardpin_node::{Launch, launch::Limits};
use mustardpin_wire::frame::{self, Head, Hello, PROTOCOL_VERSION};
use mustardpin_world::id::{KeyDigest, NodeId};

use crate::fake::{End, Fleet, KEY, Script, Step, call, exchange, get, read_all, text, wait_until};

const OK: &str = "HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nhello";

fn fleet(limits: Limits) -> Fleet {
    let script: Script = Arc::new(|request| {
        let wait = if request.contains("/slow") { 1_000 } else { 0 };
        [vec![Step::Wait(Duration::from_millis(wait))], text(OK)].concat()
    });
    Fleet::start_with(&[("slots", script)], |launch| Launch { limits, ..launch })
}

fn summary(name: &str, response: &crate::fake::RawResponse) -> String {
    let reason = response
        .head()
        .lines()
        .find_map(|line| line.strip_prefix("mustardpin-reason: ").map(str::to_owned));
    let end = if response.end == End::LeftOpen { " and left open" } else { "" };
    format!("{name}: {} {}{end}", response.status(), reason.unwrap_or_default())
}

#[test]
fn malformed_requests_are_refused_and_the_node_keeps_serving() {
    let limits = Limits {
        body_size: 100_000,
        header_timeout: Duration::from_millis(300),
        body_timeout: Duration::from_millis(300),
        ..Limits::default()
    };
    let fleet = fleet(limits);
    let callers = fleet.callers(0);
    let key = format!("Bearer {KEY}");
    let authorized = ("authorization", key.as_str());
    let named = ("request-id", "one");
    let head = format!("POST /slots HTTP/1.1\r\nhost: fleet\r\nauthorization: {key}\r\n");
    let chunk = format!("4000\r\n{}\r\n", "x".repeat(0x4000));
    let cases = [
        ("no HTTP", exchange(callers, b"what is this?\r\n\r\n")),
        ("unknown version", exchange(callers, b"GET / HTTP/9.9\r\n\r\n")),
        ("broken HTTP/2", exchange(callers, b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\nwhat is this?")),
        (
            "two lengths",
            exchange(
                callers,
                format!("{head}content-length: 1\r\ncontent-length: 2\r\n\r\nab").as_bytes(),
            ),
        ),
        (
            "length and chunks",
            exchange(
                callers,
                format!(
                    "{head}connection: close\r\ncontent-length: 3\r\n\
                     transfer-encoding: chunked\r\n\r\n4\r\nslot\r\n0\r\n\r\n"
                )
                .as_bytes(),
            ),
        ),
        ("large header", call(callers, "GET /slots", &[("x-large", &"x".repeat(40_000))], "")),
        (
            "no path",
            exchange(callers, b"OPTIONS * HTTP/1.1\r\nhost: fleet\r\nconnection: close\r\n\r\n"),
        ),
        (
            "connect",
            exchange(
                callers,
                b"CONNECT fleet:80 HTTP/1.1\r\nhost: fleet\r\nconnection: close\r\n\r\n",
            ),
        ),
        ("large body", call(callers, "POST /slots", &[authorized], &"x".repeat(100_001))),
        (
            "large body in chunks",
            exchange(
                callers,
                format!(
                    "{head}idempotency-key: one\r\ntransfer-encoding: chunked\r\n\r\n{}",
                    chunk.repeat(7)
                )
                .as_bytes(),
            ),
        ),
        ("slow header", exchange(callers, head.as_bytes())),
        ("slow body", exchange(callers, format!("{head}content-length: 5\r\n\r\nhe").as_bytes())),
        (
            "long request id",
            call(callers, "GET /slots", &[authorized, ("request-id", &"x".repeat(257))], ""),
        ),
        ("two request ids", call(callers, "GET /slots", &[authorized, named, named], "")),
        (
            "negative timeout",
            call(callers, "GET /slots", &[authorized, ("request-timeout-ms", "-1")], ""),
        ),
        (
            "foreign call token",
            call(callers, "GET /slots", &[authorized, ("mustardpin-call", "x")], ""),
        ),
        ("unknown route", call(callers, "GET relative", &[authorized], "")),
        ("good", get(callers, "/slots")),
    ];
    let lines: Vec<_> = cases.iter().map(|(name, response)| summary(name, response)).collect();
    insta::assert_snapshot!(lines.join("\n"));
    let seen = fleet.targets[0].seen();
    // With two lengths the end of the body is ambiguous, so the request must not reach the target.
    assert_eq!(seen.len(), 1);
    assert_eq!(seen[0].matches("HTTP/1.1").count(), 1, "{seen:?}");
}

#[test]
fn connections_and_requests_beyond_the_limits_are_refused() {
    let limits = Limits { connections: 3, requests: 1, ..Limits::default() };
    let fleet = fleet(limits);
    let callers = fleet.callers(0);
    let (sender, receiver) = mpsc::channel();
    thread::spawn(move || {
        // A request by which the fleet became ready may still be in progress, so 503 is retried.
        let mut response = get(callers, "/slow");
        while response.status() == 503 {
            response = get(callers, "/slow");
        }
        sender.send(response)
    });
    wait_until(|| !fleet.targets[0].seen().is_empty());
    assert_eq!(summary("", &get(callers, "/slots")), ": 503 in_progress_limit");
    assert_eq!(receiver.recv().expect("the caller thread ends").status(), 200);

    let idle: Vec<_> = (0..3).map(|_| kept_connection(callers)).collect();
    assert_eq!(get(callers, "/slots").status(), 200, "an idle connection makes room");
    drop(idle);
    // Heads that are partly received keep their places for a second.
    let busy = RefCell::new(Vec::new());
    wait_until(|| {
        let mut connection = TcpStream::connect(callers).expect("the node listens");
        connection.write_all(b"GET /slow HTTP/1.1\r\nhost: f").expect("the node reads");
        busy.borrow_mut().push(connection);
        summary("", &get(callers, "/slots")) == ": 503 connection_limit"
    });
    drop(busy);
    wait_until(|| get(callers, "/slots").status() == 200);
}

/// Connects until the node keeps the connection. The place of one that has ended becomes free shortly
/// after its caller has seen the end.
fn kept_connection(address: SocketAddr) -> TcpStream {
    for _ in 0..50 {
        let connection = TcpStream::connect(address).expect("the node listens");
        connection.set_read_timeout(Some(Duration::from_millis(100))).expect("a valid timeout");
        let end = connection.peek(&mut [0]);
        if end.is_err_and(|error| error.kind() == io::ErrorKind::WouldBlock) {
            return connection;
        }
    }
    panic!("the node should keep a connection");
}

#[test]
fn buffered_bodies_never_exceed_their_limit() {
    let limits = Limits { buffered_size: 10_000, ..Limits::default() };
    let fleet = fleet(limits);
    let callers = fleet.callers(0);
    let key = format!("Bearer {KEY}");
    let send = |size| call(callers, "POST /slots", &[("authorization", &key)], &"x".repeat(size));
    assert_eq!(summary("", &send(20_000)), ": 503 in_progress_limit");
    for _ in 0..5 {
        // The previous request's body is freed shortly after its response.
        wait_until(|| send(9_000).status() == 200);
    }
}

/// Sends bytes to a port for peers. Returns how the connection ended, and whether the node sent
/// anything on it.
fn probe(address: SocketAddr, bytes: &[u8]) -> String {
    let mut stream = TcpStream::connect(address).expect("the node listens");
    let _ = stream.write_all(bytes);
    let response = read_all(stream);
    let end = if response.end == End::LeftOpen { "left open" } else { "closed" };
    let response_state =
        if response.text.is_empty() { "without an answer" } else { "after an answer" };
    format!("{end} {response_state}")
}

#[test]
fn ports_for_peers_close_connections_without_the_credential() {
    let fleet = fleet(Limits::default());
    let node = fleet.nodes[0].announcement().node;
    let hello = |credential, to: NodeId| {
        let announcement = mustardpin_world::store::Announcement {
            node: NodeId(9),
            name: "node-9".into(),
            ..fleet.nodes[0].announcement().clone()
        };
        let hello = Hello {
            version: PROTOCOL_VERSION,
            credential: KeyDigest::of(credential).0,
            announcement: announcement.into(),
            to: to.0,
            revision: 1,
            sent_ms: 0,
        };
        let mut frame = Vec::new();
        frame::encode(&mut frame, &Head::Hello(hello), &[]).expect("the frame is small");
        frame
    };
    let request = "GET /slots HTTP/1.1\r\nhost: fleet\r\nmustardpin-route: slots\r\n\r\n";
    let cases: [(&str, Vec<u8>); 7] = [
        ("HTTP", request.as_bytes().to_vec()),
        ("garbage", vec![0xa5; 5_000]),
        ("too little", b"mpin".to_vec()),
        ("another credential", hello("guess", node)),
        ("another node", hello("fleet", NodeId(5))),
        ("large frame", [hello("fleet", node), vec![0xff; 100]].concat()),
        ("garbage frame", [hello("fleet", node), vec![0, 0, 0, 4, 99, 9, 9, 9]].concat()),
    ];
    let peers = fleet.nodes[0].addresses().peers;
    let reports = cases.map(|(name, bytes)| format!("{name}: {}", probe(peers, &bytes)));
    let lines = reports.to_vec();
    insta::assert_snapshot!(lines.join("\n"));
    assert_eq!(get(fleet.callers(0), "/slots").status(), 200);
}

/// Guards against a name that begins with an LF and ends the head, so that what follows is taken for
/// another request or for no body.
#[test]
fn no_request_begins_inside_the_head_of_another() {
    let fleet = fleet(Limits::default());
    let head = format!("host: fleet\r\nauthorization: Bearer {KEY}\r\n");
    let requests = [
        format!("GET /one HTTP/1.1\r\n{head}\nGET /inside HTTP/1.1\r\n{head}\r\n"),
        format!("POST /two HTTP/1.1\r\n{head}\nx: 1\r\ncontent-length: 5\r\n\r\nhello"),
        format!("GET /three HTTP/1.1\r\n{head}x: 1\ny: 2\r\n\r\n"),
    ];
    let statuses = requests.map(|request| {
        let mut stream = TcpStream::connect(fleet.callers(0)).expect("the node listens");
        stream.write_all(request.as_bytes()).expect("the node reads");
        read_all(stream).status()
    });
    assert_eq!((statuses, fleet.targets[0].seen()), ([400, 400, 400], Vec::new()));
}
