//! Messages that a caller gets on one connection: each begins where the one before ends, whatever the
//! methods, bodies and refusals of the requests. They are read by a parser of another project.

use std::{
    io::{Read as _, Write as _},
    net::{SocketAddr, TcpStream},
    sync::Arc,
    thread,
    time::Duration,
};

use rand::{RngExt as _, SeedableRng as _};
use rand_pcg::Pcg64Mcg;
use socket2::SockRef;

use crate::fake::{Fleet, KEY, Script, http2, text};

/// How many connections the random test opens.
const CONNECTIONS: u64 = 40;
/// A response of this size is streamed, and does not fit into the buffers of a connection.
const LARGE_BYTES: usize = 8_000_000;
/// A response of this size is passed on as a whole, but not written together with others.
const MEDIUM_BYTES: usize = 100_000;

/// A message as the parser reads it.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Message {
    status: u16,
    body: Vec<u8>,
}

/// Reads the messages of a connection.
struct Reader {
    stream: TcpStream,
    bytes: Vec<u8>,
}

impl Reader {
    fn new(stream: TcpStream) -> Reader {
        stream.set_read_timeout(Some(Duration::from_secs(10))).expect("not zero");
        Reader { stream, bytes: Vec::new() }
    }

    fn fill(&mut self) {
        let mut buffer = [0; 64 * 1024];
        let count = self.stream.read(&mut buffer).expect("more bytes");
        assert!(count > 0, "the connection ends after {:?}", String::from_utf8_lossy(&self.bytes));
        self.bytes.extend_from_slice(&buffer[..count]);
    }

    fn take(&mut self, count: usize) -> Vec<u8> {
        while self.bytes.len() < count {
            self.fill();
        }
        self.bytes.drain(..count).collect()
    }

    /// Reads the next message. `method` is that of the request that it responds to.
    fn next(&mut self, method: &str) -> Message {
        loop {
            let mut headers = [httparse::EMPTY_HEADER; 64];
            let mut head = httparse::Response::new(&mut headers);
            let parsed = head.parse(&self.bytes).unwrap_or_else(|error| {
                let start = &self.bytes[..self.bytes.len().min(200)];
                panic!("{error}: {:?}", String::from_utf8_lossy(start))
            });
            let httparse::Status::Complete(length) = parsed else {
                self.fill();
                continue;
            };
            let status = head.code.expect("a status");
            let value = |name: &str| {
                let header = head.headers.iter().find(|one| one.name.eq_ignore_ascii_case(name));
                header.map(|header| String::from_utf8_lossy(header.value).into_owned())
            };
            let size = value("content-length").map(|size| size.parse().expect("a length"));
            let is_chunked = value("transfer-encoding").is_some();
            self.take(length);
            let is_empty = method == "HEAD" || matches!(status, 100..200 | 204 | 304);
            let body = match (is_empty, size) {
                (true, _) => Vec::new(),
                (false, Some(size)) => self.take(size),
                (false, None) if is_chunked => self.chunks(),
                (false, None) => panic!("a body without a length"),
            };
            return Message { status, body };
        }
    }

    fn chunks(&mut self) -> Vec<u8> {
        let mut body = Vec::new();
        loop {
            let parsed = httparse::parse_chunk_size(&self.bytes).expect("a chunk size");
            let httparse::Status::Complete((start, size)) = parsed else {
                self.fill();
                continue;
            };
            self.take(start);
            body.extend(self.take(size as usize));
            self.take(2);
            if size == 0 {
                return body;
            }
        }
    }
}

/// The length of the body that a path gets, unless it gets itself.
fn length(path: &str) -> Option<usize> {
    match path {
        path if path.contains("large") => Some(LARGE_BYTES),
        path if path.contains("medium") => Some(MEDIUM_BYTES),
        _ => None,
    }
}

/// Responds with the path, to HEAD with the length of it, and to some paths with a larger body. Closes the
/// connection after a response to `early`.
fn script() -> Script {
    Arc::new(|request| {
        let mut line = request.split(' ');
        let (method, path) = (line.next().unwrap_or_default(), line.next().unwrap_or_default());
        let body = length(path).map_or_else(|| path.to_owned(), |length| "x".repeat(length));
        let closes = if path.ends_with("early") { "connection: close\r\n" } else { "" };
        let head = format!("HTTP/1.1 200 OK\r\n{closes}content-length: {}\r\n\r\n", body.len());
        text(&match method {
            "HEAD" => head,
            _ => head + &body,
        })
    })
}

fn head(method: &str, path: &str, more: &str) -> String {
    format!("{method} {path} HTTP/1.1\r\nhost: fleet\r\nauthorization: Bearer {KEY}\r\n{more}\r\n")
}

fn connect(callers: SocketAddr) -> (TcpStream, Reader) {
    let stream = TcpStream::connect(callers).expect("the node listens");
    let reader = Reader::new(stream.try_clone().expect("a second handle"));
    (stream, reader)
}

/// Guards against a refusal of a HEAD request whose body is taken for the next response.
#[test]
fn a_refused_head_request_has_no_body() {
    let fleet = Fleet::start(&[("slots", script()), ("ledger", script())]);
    let no_key = |path: &str| format!("HEAD {path} HTTP/1.1\r\nhost: fleet\r\n\r\n");
    let forged = "mustardpin-call: 00000000000000000000000000000000\r\n";
    for entry in [0, 1] {
        let (mut stream, mut reader) = connect(fleet.callers(entry));
        let refused = [
            (no_key("/slots/1"), 401),
            (no_key("/ledger/1"), 401),
            (head("HEAD", "/slots/1", forged), 403),
            (head("HEAD", "/slots/1", "request-timeout-ms: soon\r\n"), 400),
        ];
        for (refused, status) in refused {
            stream.write_all(refused.as_bytes()).expect("the node reads");
            stream.write_all(head("GET", "/slots/2", "").as_bytes()).expect("the node reads");
            assert_eq!(reader.next("HEAD").status, status, "{refused}");
            let next = reader.next("GET");
            assert_eq!((next.status, next.body), (200, b"/slots/2".to_vec()), "after {refused}");
        }
    }
}

/// Guards against the same over HTTP/2, where the body would follow a response that has none.
#[test]
fn a_refused_head_request_has_no_body_over_http2() {
    let fleet = Fleet::start(&[("slots", script())]);
    let callers = fleet.callers(0);
    fleet.runtime.block_on(async {
        let mut caller = http2(callers).await;
        for (path, key, status) in [("/slots/1", true, 200), ("/slots/1", false, 401)] {
            let (found, length, body) = caller.head(path, key).await.expect("a response");
            assert_eq!((found, body), (status, 0), "{path}");
            assert!(length > 0, "{path}: the length that a GET would get");
        }
    });
}

/// Guards against an interim response inside the body of a response that the caller still reads.
#[test]
fn an_interim_response_comes_between_responses() {
    let fleet = Fleet::start(&[("slots", script()), ("ledger", script())]);
    for path in ["/slots/large", "/ledger/large"] {
        let (mut stream, mut reader) = connect(fleet.callers(0));
        let expects = "expect: 100-continue\r\ncontent-length: 5\r\n";
        let requests = head("GET", path, "") + &head("POST", "/slots/2", expects);
        stream.write_all(requests.as_bytes()).expect("the node reads");
        // The first response does not fit into the buffers, so it is still being sent.
        thread::sleep(Duration::from_millis(300));
        let first = reader.next("GET");
        assert_eq!((first.status, first.body.len()), (200, LARGE_BYTES), "{path}");
        assert_eq!(reader.next("POST").status, 100, "{path}");
        stream.write_all(b"slot7").expect("the node reads");
        let second = reader.next("POST");
        assert_eq!((second.status, second.body), (200, b"/slots/2".to_vec()), "{path}");
    }
}

/// Guards against an interim response that comes after the body was sent without waiting for it.
#[test]
fn a_body_that_does_not_wait_gets_no_interim_response() {
    let fleet = Fleet::start(&[("slots", script())]);
    let (mut stream, mut reader) = connect(fleet.callers(0));
    let expects = "expect: 100-continue\r\ncontent-length: 5\r\n";
    let requests = head("GET", "/slots/large", "") + &head("POST", "/slots/2", expects);
    stream.write_all(requests.as_bytes()).expect("the node reads");
    thread::sleep(Duration::from_millis(200));
    stream.write_all(b"slot7").expect("the node reads");
    thread::sleep(Duration::from_millis(200));
    assert_eq!(reader.next("GET").status, 200);
    let second = reader.next("POST");
    assert_eq!((second.status, second.body), (200, b"/slots/2".to_vec()));
}

/// Guards against an early response that leaves the rest of the request's body unread: the connection
/// then never gets the response to its next request, and what was read of the body stays in memory.
#[test]
fn an_early_response_leaves_its_connection_usable() {
    let fleet = Fleet::start(&[("slots", script()), ("ledger", script())]);
    let length = format!("content-length: {LARGE_BYTES}\r\n");
    for path in ["/slots/early", "/ledger/early", "/slots/large-early", "/ledger/large-early"] {
        let (mut stream, mut reader) = connect(fleet.callers(0));
        stream.set_write_timeout(Some(Duration::from_secs(3))).expect("not zero");
        // Neither body fits into the buffers: a large response waits until the caller has sent its own.
        SockRef::from(&stream).set_recv_buffer_size(256 * 1024).expect("a size");
        SockRef::from(&stream).set_send_buffer_size(64 * 1024).expect("a size");
        stream.write_all(head("POST", path, &length).as_bytes()).expect("the node reads");
        for _ in 0..LARGE_BYTES / 8_000 {
            stream.write_all(&[b'x'; 8_000]).unwrap_or_else(|error| panic!("{path}: {error}"));
        }
        stream.write_all(head("GET", "/slots/2", "").as_bytes()).expect("the node reads");
        assert_eq!(reader.next("POST").status, 200, "{path}");
        let next = reader.next("GET");
        assert_eq!((next.status, next.body), (200, b"/slots/2".to_vec()), "{path}");
    }
}

/// Guards against a refusal that is ready but is not sent once the response before it has been.
#[test]
fn a_refusal_follows_a_response_that_is_sent_as_a_whole() {
    let fleet = Fleet::start(&[("slots", script()), ("ledger", script())]);
    let forged = "mustardpin-call: 00000000000000000000000000000000\r\n";
    for path in ["/slots/medium", "/ledger/medium"] {
        let (mut stream, mut reader) = connect(fleet.callers(0));
        let requests = head("GET", path, "") + &head("GET", "/slots/2", forged);
        stream.write_all(requests.as_bytes()).expect("the node reads");
        let first = reader.next("GET");
        assert_eq!((first.status, first.body.len()), (200, MEDIUM_BYTES), "{path}");
        assert_eq!(reader.next("GET").status, 403, "{path}");
    }
}

/// Guards against any order of methods, uploads, refusals, interim, early and large responses in which a
/// message begins inside another one, or a caller gets the response to another request.
#[test]
fn every_message_begins_where_the_one_before_ends() {
    let fleet = Fleet::start(&[("slots", script()), ("ledger", script())]);
    for seed in 0..CONNECTIONS {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let (mut stream, mut reader) = connect(fleet.callers(rng.random_range(0..2)));
        let mut sent = Vec::new();
        let mut bytes = String::new();
        // What is sent, and for how long the caller then pauses.
        let mut parts = Vec::new();
        for number in 0..rng.random_range(2..20) {
            let method = ["GET", "HEAD", "POST", "OPTIONS"][rng.random_range(0..4)];
            let service = ["slots", "ledger"][rng.random_range(0..2)];
            let kind = match rng.random_range(0..10) {
                0 => "large",
                1 | 2 => "medium",
                _ => "small",
            };
            let mut path = format!("/{service}/{kind}/{number}");
            let body = match method {
                "POST" => "y".repeat([0, 10, 5_000, 400_000][rng.random_range(0..4)]),
                _ => String::new(),
            };
            if method == "POST" && rng.random_bool(0.2) {
                path.push_str("-early");
            }
            let mut more = match rng.random_bool(0.3) {
                true => format!("transfer-encoding: chunked\r\nidempotency-key: {number}\r\n"),
                false => format!("content-length: {}\r\n", body.len()),
            };
            let is_chunked = more.starts_with("transfer");
            let is_refused = rng.random_bool(0.3);
            if is_refused {
                more.push_str("mustardpin-call: 00000000000000000000000000000000\r\n");
            }
            let expects = method == "POST" && rng.random_bool(0.3);
            if expects {
                more.push_str("expect: 100-continue\r\n");
            }
            bytes.push_str(&head(method, &path, &more));
            if expects && rng.random_bool(0.5) {
                parts.push((std::mem::take(&mut bytes), Duration::from_millis(20)));
            }
            match (is_chunked, body.is_empty()) {
                (true, true) => bytes.push_str("0\r\n\r\n"),
                (true, false) => {
                    bytes.push_str(&format!("{:x}\r\n{body}\r\n0\r\n\r\n", body.len()));
                }
                (false, _) => bytes.push_str(&body),
            }
            sent.push((method, path, is_refused, expects));
        }
        parts.push((bytes, Duration::ZERO));
        let writer = thread::spawn(move || {
            for (bytes, pause) in parts {
                stream.write_all(bytes.as_bytes())?;
                thread::sleep(pause);
            }
            std::io::Result::Ok(())
        });
        for (method, path, is_refused, expects) in sent {
            if rng.random_bool(0.2) {
                thread::sleep(Duration::from_millis(rng.random_range(0..40)));
            }
            let mut message = reader.next(method);
            if message.status == 100 && expects {
                message = reader.next(method);
            }
            assert_eq!(message.status, if is_refused { 403 } else { 200 }, "seed {seed}: {path}");
            let expected = match method {
                "HEAD" => 0,
                _ => length(&path).unwrap_or(path.len()),
            };
            if !is_refused {
                assert_eq!(message.body.len(), expected, "seed {seed}: {method} {path}");
                let has_path = length(&path).is_none() && !message.body.is_empty();
                assert!(!has_path || message.body == path.as_bytes(), "seed {seed}: {path}");
            }
        }
        writer.join().expect("the writer ends").expect("the node reads everything");
    }
}
