//! Callers that leave, at each stage of a request and of the connection that it came over.

use std::{
    io::{Read as _, Write as _},
    net::{Shutdown, SocketAddr, TcpStream},
    sync::Arc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use http::Request;
use http_body::Frame;
use http_body_util::StreamBody;
use hyper::client::conn::http2;
use hyper_util::rt::{TokioExecutor, TokioIo};
use mustardpin_node::{launch::Limits, traffic::TrafficCommand};
use mustardpin_world::{
    Event,
    request::{Ticket, Verdict},
};
use socket2::SockRef;
use tokio::runtime::Runtime;

use crate::fake::{Target, TrafficSide, run, text};

/// The maximum time until the node knows that a caller has left.
const MAX_NOTICE_TIME: Duration = Duration::from_millis(500);
const GET: &str = "GET /slots HTTP/1.1\r\nhost: fleet\r\n\r\n";
/// More than the node keeps of a body, and than the sockets hold.
const LARGE_BYTES: usize = 32 * 1024 * 1024;

/// How a caller leaves.
#[derive(Debug, Clone, Copy)]
enum Leaving {
    Close,
    Reset,
    /// The caller closes its sending side only, which looks the same to the node.
    Shutdown,
}

fn leave(stream: TcpStream, leaving: Leaving) -> Option<TcpStream> {
    match leaving {
        Leaving::Close => None,
        Leaving::Reset => {
            let socket = SockRef::from(&stream);
            socket.set_linger(Some(Duration::ZERO)).expect("the socket is open");
            None
        }
        Leaving::Shutdown => {
            stream.shutdown(Shutdown::Write).expect("the socket is open");
            Some(stream)
        }
    }
}

/// Starts a node whose target sends this text for each request.
fn side(response: String) -> TrafficSide {
    let target = Target::start(Arc::new(move |_| text(&response)));
    let limits = Limits { body_size: 2 * LARGE_BYTES, ..Limits::default() };
    TrafficSide::start(target.address, limits)
}

/// Waits for the arrival of a request.
fn arrival(node: &TrafficSide) -> Ticket {
    loop {
        if let Event::Arrived(request) = node.event() {
            return request.ticket;
        }
    }
}

fn connect(address: SocketAddr) -> TcpStream {
    let stream = TcpStream::connect(address).expect("the node listens");
    stream.set_nodelay(true).expect("the socket is open");
    stream
}

fn post(length: usize) -> String {
    format!("POST /bookings HTTP/1.1\r\nhost: fleet\r\ncontent-length: {length}\r\n\r\n")
}

/// Writes until nothing has been taken for a while.
fn write_until_blocked(mut stream: &TcpStream, length: usize) {
    stream.set_write_timeout(Some(Duration::from_millis(300))).expect("the timeout is not zero");
    let bytes = vec![b'x'; length];
    let mut written = 0;
    while let Ok(count @ 1..) = stream.write(&bytes[written..]) {
        written += count;
    }
}

/// Waits until the node has reported that these callers have left.
fn expect_gone(node: &TrafficSide, mut tickets: Vec<Ticket>, case: &str) {
    let start = Instant::now();
    while !tickets.is_empty() {
        if node.has_no_events() {
            assert!(start.elapsed() < MAX_NOTICE_TIME, "{case}: {tickets:?} not noticed");
            std::thread::sleep(Duration::from_millis(5));
            continue;
        }
        if let Event::CallerGone(gone) = node.event() {
            tickets.retain(|ticket| *ticket != gone);
        }
    }
}

/// Guards against requests that go on for callers that have left, because the node did not read the
/// end of their connection.
#[test]
fn a_caller_that_leaves_is_noticed_at_each_stage_of_a_request() {
    for leaving in [Leaving::Close, Leaving::Reset, Leaving::Shutdown] {
        let node = side(String::new());
        let case = |stage: &str| format!("{stage}, {leaving:?}");

        let mut caller = connect(node.callers);
        caller.write_all(GET.as_bytes()).expect("the node reads");
        let ticket = arrival(&node);
        let _caller = leave(caller, leaving);
        expect_gone(&node, vec![ticket], &case("waiting"));

        let mut caller = connect(node.callers);
        caller.write_all(GET.repeat(3).as_bytes()).expect("the node reads");
        let tickets = vec![arrival(&node), arrival(&node), arrival(&node)];
        let _caller = leave(caller, leaving);
        expect_gone(&node, tickets, &case("pipelined"));

        let mut caller = connect(node.callers);
        caller.write_all(post(LARGE_BYTES).as_bytes()).expect("the node reads");
        caller.write_all(&[b'x'; 100_000]).expect("the node reads");
        let ticket = arrival(&node);
        let _caller = leave(caller, leaving);
        expect_gone(&node, vec![ticket], &case("upload"));
    }
}

/// Guards against requests that go on for callers that have left while a part of their upload, which
/// the target does not take, has not been read.
#[test]
fn a_caller_that_leaves_is_noticed_while_its_upload_is_held_up() {
    let node = side(String::new());
    for leaving in [Leaving::Close, Leaving::Reset, Leaving::Shutdown] {
        let mut caller = connect(node.callers);
        caller.write_all(post(LARGE_BYTES).as_bytes()).expect("the node reads");
        // The node takes the first 64 KiB and a few pieces, and leaves the rest in the socket.
        for _ in 0..40 {
            caller.write_all(&[b'x'; 4_000]).expect("the node reads");
            std::thread::sleep(Duration::from_millis(2));
        }
        let ticket = arrival(&node);
        std::thread::sleep(Duration::from_millis(100));
        let _caller = leave(caller, leaving);
        expect_gone(&node, vec![ticket], &format!("{leaving:?}"));
    }
    let caller = connect(node.callers);
    (&caller).write_all(post(LARGE_BYTES).as_bytes()).expect("the node reads");
    write_until_blocked(&caller, LARGE_BYTES);
    let ticket = arrival(&node);
    let _caller = leave(caller, Leaving::Reset);
    expect_gone(&node, vec![ticket], "more than the sockets hold");
}

/// Guards against requests that go on for callers that leave while they read the response to an
/// earlier one.
#[test]
fn a_caller_that_leaves_is_noticed_while_an_earlier_response_is_sent() {
    let body = "x".repeat(LARGE_BYTES);
    let large = format!("HTTP/1.1 200 OK\r\ncontent-length: {LARGE_BYTES}\r\n\r\n{body}");
    let node = side(large);
    for leaving in [Leaving::Close, Leaving::Reset, Leaving::Shutdown] {
        let mut caller = connect(node.callers);
        caller.write_all(GET.repeat(2).as_bytes()).expect("the node reads");
        let (first, second) = (arrival(&node), arrival(&node));
        node.dispatch(TrafficCommand::Run(run(first)));
        caller.read_exact(&mut [0; 1_000]).expect("the response begins");
        let _caller = leave(caller, leaving);
        expect_gone(&node, vec![second], &format!("{leaving:?}"));
        node.finish(first, Verdict::Pass);
    }
}

/// Guards against requests that go on although their stream was reset, or the connection closed.
#[test]
fn an_http2_caller_that_leaves_is_noticed() {
    let node = side(String::new());
    let runtime = Runtime::new().expect("threads");
    for (has_body, closes) in [(false, false), (false, true), (true, false), (true, true)] {
        let case = format!("upload {has_body}, closes {closes}");
        let (sender, receiver) = futures::channel::mpsc::unbounded::<Result<_, std::io::Error>>();
        let socket = connect(node.callers);
        let stream = socket.try_clone().expect("a second handle of the socket");
        stream.set_nonblocking(true).expect("the socket is open");
        let _inside = runtime.enter();
        let io = TokioIo::new(tokio::net::TcpStream::from_std(stream).expect("a socket"));
        let handshake = runtime.block_on(http2::handshake(TokioExecutor::new(), io));
        let (mut client, connection) = handshake.expect("the node speaks HTTP/2");
        runtime.spawn(connection);
        let request = Request::post("http://fleet/bookings").body(StreamBody::new(receiver));
        let response = client.send_request(request.expect("the request is well formed"));
        let response = runtime.spawn(response);
        match has_body {
            true => {
                let piece = Frame::data(Bytes::from(vec![b'x'; 300_000]));
                sender.unbounded_send(Ok(piece)).expect("the stream is open");
            }
            false => sender.close_channel(),
        }
        let ticket = arrival(&node);
        match closes {
            true => socket.shutdown(Shutdown::Both).expect("the socket is open"),
            false => response.abort(),
        }
        expect_gone(&node, vec![ticket], &case);
    }
}
