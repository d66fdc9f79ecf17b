//! Request bodies: how much of them is kept in memory, and what happens to a body that is still
//! being received when its request ends.

use std::{
    convert::Infallible,
    io::{ErrorKind, Read as _, Write as _},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Mutex, mpsc},
    thread,
    time::Duration,
};

use bytes::Bytes;
use futures::StreamExt as _;
use http_body::Frame;
use http_body_util::StreamBody;
use hyper::client::conn::http2;
use hyper_util::rt::{TokioExecutor, TokioIo};
use mustardpin_node::{Launch, launch::Limits, traffic::TrafficCommand};
use mustardpin_world::{
    Event,
    refusal::{Reason, Refusal},
    request::{RunEnd, Verdict},
};

use crate::fake::{
    Fleet, KEY, RawResponse, Script, Step, TrafficSide, call, read_response, run, text, wait_until,
};

const KEPT_BYTES: usize = 10_000;
const OK: &str = "HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nhello";

fn script() -> Script {
    Arc::new(|request| {
        let wait = if request.contains("/slow") { 1_000 } else { 0 };
        [vec![Step::Wait(Duration::from_millis(wait))], text(OK)].concat()
    })
}

/// Starts a fleet whose first node keeps at most `KEPT_BYTES` of bodies.
fn fleet() -> Fleet {
    Fleet::start_with(&[("slots", script()), ("ledger", script())], |launch| {
        let buffered_size = match &*launch.service {
            "slots" => KEPT_BYTES,
            _ => Limits::default().buffered_size,
        };
        Launch { limits: Limits { buffered_size, ..launch.limits }, ..launch }
    })
}

fn upload(fleet: &Fleet, node: usize, path: &str, size: usize) -> RawResponse {
    let key = format!("Bearer {KEY}");
    let headers = [("authorization", key.as_str()), ("idempotency-key", "one")];
    call(fleet.callers(node), &format!("POST {path}"), &headers, &"x".repeat(size))
}

fn upload_head(size: usize) -> String {
    format!(
        "POST /slots HTTP/1.1\r\nhost: fleet\r\nauthorization: Bearer {KEY}\r\n\
         idempotency-key: one\r\ncontent-length: {size}\r\n\r\n"
    )
}

/// Sends the head and a part of a body, until the node has accepted it: the body of the previous
/// request is released shortly after its response.
fn begin_upload(fleet: &Fleet) -> TcpStream {
    loop {
        let mut caller = TcpStream::connect(fleet.callers(0)).expect("the node listens");
        caller.write_all(upload_head(9_500).as_bytes()).expect("the node reads");
        caller.write_all(&[b'x'; 9_000]).expect("the node reads");
        caller.set_read_timeout(Some(Duration::from_millis(300))).expect("the timeout is not zero");
        if caller.read(&mut [0; 1]).is_err_and(|error| error.kind() == ErrorKind::WouldBlock) {
            return caller;
        }
    }
}

#[test]
fn a_caller_that_disconnects_within_a_body_releases_its_kept_bytes() {
    let fleet = fleet();
    for _ in 0..3 {
        let caller = begin_upload(&fleet);
        assert_eq!(upload(&fleet, 0, "/slots", 9_000).status(), 503);
        drop(caller);
        wait_until(|| upload(&fleet, 0, "/slots", 9_000).status() == 200);
    }
}

#[test]
fn bodies_of_requests_in_progress_count_as_kept() {
    let fleet = fleet();
    for entry in [0, 1] {
        let callers = fleet.callers(entry);
        fleet.targets[0].clear_seen();
        let (sender, receiver) = mpsc::channel();
        thread::spawn(move || {
            let key = format!("Bearer {KEY}");
            let headers = [("authorization", key.as_str()), ("idempotency-key", "one")];
            sender.send(call(callers, "POST /slots/slow", &headers, &"x".repeat(9_000)))
        });
        wait_until(|| !fleet.targets[0].seen().is_empty());
        let refused = upload(&fleet, entry, "/slots", 9_000);
        assert_eq!(refused.status(), 503, "through node {entry}: {refused:?}");
        assert!(refused.head().contains("mustardpin-outcome: not-run"), "{refused:?}");
        let response = receiver.recv().expect("the caller thread ends");
        assert_eq!(response.status(), 200, "through node {entry}: {response:?}");
        assert_eq!(fleet.targets[0].seen().len(), 1, "through node {entry}");
        wait_until(|| upload(&fleet, entry, "/slots", 9_000).status() == 200);
    }
}

#[test]
fn a_body_without_room_is_refused_at_its_head_and_its_connection_stays_usable() {
    let fleet = fleet();
    let mut caller = TcpStream::connect(fleet.callers(0)).expect("the node listens");
    caller.write_all(upload_head(20_000).as_bytes()).expect("the node reads");
    let refused = read_response(&mut caller);
    assert_eq!(refused.status(), 503, "{refused:?}");
    assert!(refused.head().contains("mustardpin-reason: in_progress_limit"), "{refused:?}");
    caller.write_all(&[b'x'; 20_000]).expect("the node reads the rest");
    caller.write_all(upload_head(5).as_bytes()).expect("the node reads");
    caller.write_all(b"slot7").expect("the node reads");
    let response = read_response(&mut caller);
    assert_eq!((response.status(), response.body()), (200, "hello"), "{response:?}");
}

#[test]
fn a_request_that_ends_before_its_body_keeps_its_response_and_its_connection() {
    let target = crate::fake::Target::start(script());
    let side = TrafficSide::start(target.address, Limits::default());
    let mut caller = TcpStream::connect(side.callers).expect("the node listens");
    let size = 4_000_000;
    caller.write_all(upload_head(size).as_bytes()).expect("the node reads");
    let first = Limits::default().retry_body_size + 1;
    caller.write_all(&vec![b'x'; first]).expect("the node reads");
    let ticket = side.accept().ticket;
    let refusal = Refusal::not_run(Reason::QueueFull);
    side.finish(ticket, Verdict::Refuse(refusal));
    assert_eq!(read_response(&mut caller).status(), 503);
    caller.write_all(&vec![b'x'; size - first]).expect("the node reads the rest");
    caller.write_all(upload_head(5).as_bytes()).expect("the node reads");
    caller.write_all(b"slot7").expect("the node reads");
    let ticket = side.accept().ticket;
    side.finish(ticket, Verdict::Refuse(refusal));
    assert_eq!(read_response(&mut caller).status(), 503);
    caller.set_read_timeout(Some(Duration::from_millis(100))).expect("the timeout is not zero");
    assert!(caller.read(&mut [0; 1]).is_err(), "nothing follows the second response");
}

#[test]
fn a_refusal_that_closes_the_connection_arrives_while_the_body_is_being_sent() {
    let target = crate::fake::Target::start(script());
    let side = TrafficSide::start(target.address, Limits::default());
    let size = 1_000_000;
    let head = upload_head(size).replace("\r\n\r\n", "\r\nconnection: close\r\n\r\n");
    let mut caller = TcpStream::connect(side.callers).expect("the node listens");
    caller.write_all(head.as_bytes()).expect("the node reads");
    caller.write_all(&vec![b'x'; size / 2]).expect("the node reads");
    let ticket = side.accept().ticket;
    side.finish(ticket, Verdict::Refuse(Refusal::not_run(Reason::QueueFull)));
    thread::sleep(Duration::from_millis(100));
    caller.write_all(&vec![b'x'; size / 2]).expect("the node does not reset the connection");
    assert_eq!(read_response(&mut caller).status(), 503);
}

/// A target that closes an idle connection when it has read a part of the next request on it.
fn target_that_closes_idle_connections() -> (SocketAddr, Arc<Mutex<Vec<usize>>>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("a bound address");
    let bodies: Arc<Mutex<Vec<usize>>> = Arc::default();
    let seen = Arc::clone(&bodies);
    thread::spawn(move || {
        for (number, mut stream) in listener.incoming().flatten().enumerate() {
            let seen = Arc::clone(&seen);
            thread::spawn(move || {
                let mut bytes = [0; 4096];
                if number == 0 {
                    let mut first = Vec::new();
                    while !first.ends_with(b"slot7") {
                        let count = stream.read(&mut bytes).unwrap_or_default();
                        first.extend_from_slice(&bytes[..count]);
                    }
                    let _ = stream.write_all(OK.as_bytes());
                    let _ = stream.read(&mut bytes);
                    return;
                }
                stream.set_read_timeout(Some(Duration::from_millis(500))).expect("not zero");
                let mut size = 0;
                while let Ok(count @ 1..) = stream.read(&mut bytes) {
                    size += count;
                }
                seen.lock().expect("the lock is not poisoned").push(size);
            });
        }
    });
    (address, bodies)
}

#[test]
fn a_streamed_body_is_never_sent_again_with_a_part_missing() {
    let (target, bodies) = target_that_closes_idle_connections();
    let side = TrafficSide::start(target, Limits::default());
    let mut first = TcpStream::connect(side.callers).expect("the node listens");
    first.write_all((upload_head(5) + "slot7").as_bytes()).expect("the node reads");
    let ticket = side.accept().ticket;
    side.dispatch(TrafficCommand::Run(run(ticket)));
    assert_eq!(read_response(&mut first).status(), 200);
    side.event();
    let mut caller = TcpStream::connect(side.callers).expect("the node listens");
    let size = 400_000;
    caller.write_all(upload_head(size).as_bytes()).expect("the node reads");
    caller.write_all(&vec![b'x'; size]).expect("the node reads");
    let ticket = side.accept().ticket;
    side.dispatch(TrafficCommand::Run(run(ticket)));
    assert_eq!(side.event(), Event::RunEnded(ticket, RunEnd::Broken));
    thread::sleep(Duration::from_millis(600));
    // If the connection ends before the first piece is taken, the whole body may be sent again.
    let bodies = bodies.lock().expect("the lock is not poisoned");
    assert!(bodies.iter().all(|&received| received > size), "{bodies:?}");
}

/// A body sent over HTTP/2, one piece for each wait, and never ended.
async fn upload_http2(callers: SocketAddr, pieces: Vec<(Duration, usize)>) -> u16 {
    let stream = tokio::net::TcpStream::connect(callers).await.expect("the node listens");
    let handshake = http2::handshake(TokioExecutor::new(), TokioIo::new(stream));
    let (mut sender, connection) = handshake.await.expect("the node speaks HTTP/2");
    tokio::spawn(connection);
    let body = futures::stream::iter(pieces).then(|(wait, size)| async move {
        tokio::time::sleep(wait).await;
        Ok::<_, Infallible>(Frame::data(Bytes::from(vec![b'x'; size])))
    });
    let body = body.chain(futures::stream::pending());
    let request = http::Request::post("http://fleet/slots")
        .header("authorization", format!("Bearer {KEY}"))
        .header("idempotency-key", "one")
        .body(StreamBody::new(Box::pin(body)))
        .expect("the request is well formed");
    let response = sender.send_request(request).await.expect("a response");
    response.status().as_u16()
}

#[test]
fn streamed_bodies_of_http2_callers_have_a_size_and_a_timeout() {
    let limits = Limits {
        body_size: 200_000,
        body_timeout: Duration::from_millis(300),
        ..Limits::default()
    };
    let fleet = Fleet::start_with(&[("slots", script())], |launch| Launch { limits, ..launch });
    let callers = fleet.callers(0);
    let soon = Duration::ZERO;
    let too_large = upload_http2(callers, vec![(soon, 100_000), (soon, 100_000), (soon, 1_000)]);
    assert_eq!(fleet.runtime.block_on(too_large), 413);
    let too_slow = upload_http2(callers, vec![(soon, 100_000)]);
    // The target may have got a part of it.
    assert_eq!(fleet.runtime.block_on(too_slow), 502);
}
