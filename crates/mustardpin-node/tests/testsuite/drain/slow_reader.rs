//! A caller that reads its response slowly, but within the grace time, gets all of it, even if the
//! target has sent its last byte long before.

use std::{
    io::{Read as _, Write as _},
    net::{SocketAddr, TcpStream},
    thread::{self, JoinHandle},
    time::Duration,
};

use http_body_util::BodyExt as _;
use hyper::client::conn::http2;
use hyper_util::rt::{TokioExecutor, TokioIo};
use socket2::{Domain, Socket, Type};

use crate::{
    drain::{Draining, Failures, GRACE, has_run, head, start_fleet},
    fake::{KEY, wait_until},
};

/// When callers read the rest of their responses, after the stop signal: long after the node's
/// last call has ended.
const PAUSE: Duration = Duration::from_millis(1_000);
/// The receive buffer of callers, so that the node cannot write whole responses at once.
const RECEIVE_BUFFER_BYTES: usize = 64 * 1024;
/// Sizes of responses. A small one is kept by the node, large ones are streamed. For some of them,
/// the target's last byte is held by the node and not by the sockets between it and the caller.
const SIZES: [usize; 5] = [250_000, 500_000, 1_000_000, 2_000_000, 4_000_000];

fn connect(address: SocketAddr) -> TcpStream {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
    socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES).expect("the size is valid");
    socket.connect(&address.into()).expect("the node listens");
    socket.into()
}

/// Sends requests, and reads nothing until the pause is over. Returns the number of bytes that the
/// responses have, with their heads.
fn read_late(address: SocketAddr, requests: &str) -> JoinHandle<usize> {
    let mut stream = connect(address);
    stream.write_all(requests.as_bytes()).expect("the node reads");
    thread::spawn(move || {
        thread::sleep(PAUSE);
        let mut bytes = Vec::new();
        let _ = stream.read_to_end(&mut bytes);
        bytes.len()
    })
}

/// Like [`read_late`] for one request over HTTP/2. Returns the size of the body.
async fn read_late_http2(address: SocketAddr, path: String) -> usize {
    let stream = connect(address);
    stream.set_nonblocking(true).expect("the socket is open");
    let stream = tokio::net::TcpStream::from_std(stream).expect("the runtime is running");
    let mut builder = http2::Builder::new(TokioExecutor::new());
    let builder = builder.initial_stream_window_size(16 * 1024);
    let (mut sender, connection) =
        builder.handshake(TokioIo::new(stream)).await.expect("the node speaks HTTP/2");
    tokio::spawn(connection);
    let request = http::Request::get(format!("http://fleet{path}"))
        .header("authorization", format!("Bearer {KEY}"))
        .body(http_body_util::Empty::<bytes::Bytes>::new())
        .expect("the request is well formed");
    let Ok(response) = sender.send_request(request).await else { return 0 };
    tokio::time::sleep(PAUSE).await;
    response.into_body().collect().await.map_or(0, |body| body.to_bytes().len())
}

/// Stops a node while a caller of another, or the same, reads late. Returns what went wrong.
fn read_while_draining(entry: usize, stopped: usize, size: usize, uses_http2: bool) -> Failures {
    let mut fleet = start_fleet();
    let callers = fleet.callers(entry);
    let path = format!("/bytes/{size}/one");
    let request = head("GET", &path).replace("host:", "connection: close\r\nhost:");
    let reader = match uses_http2 {
        false => read_late(callers, &request),
        true => {
            let reading = fleet.runtime.spawn(read_late_http2(callers, path.clone()));
            let runtime = fleet.runtime.handle().clone();
            thread::spawn(move || runtime.block_on(reading).expect("no panic"))
        }
    };
    wait_until(|| has_run(&fleet, &path));
    let draining = Draining::begin(&mut fleet, stopped);
    let read = reader.join().expect("the reader ends");
    let mut failures = Failures::default();
    let case = format!("{size} bytes, HTTP/2 {uses_http2}");
    let until = draining.since.elapsed();
    failures.require(&format!("{case}: {read} bytes read until {until:?}"), read >= size);
    failures.check_time(&case, draining.wait());
    failures
}

/// Runs all cases at the same time.
fn check(entry: usize, stopped: usize) {
    let cases = SIZES.iter().flat_map(|&size| [(size, false), (size, true)]);
    let runs: Vec<_> = cases
        .map(|(size, uses_http2)| {
            thread::spawn(move || read_while_draining(entry, stopped, size, uses_http2))
        })
        .collect();
    let failures = runs.into_iter().flat_map(|run| run.join().expect("the case ends").0);
    Failures(failures.collect()).assert_none();
}

#[test]
fn callers_that_read_late_get_complete_responses_from_a_node_that_is_stopped() {
    check(0, 0);
}

#[test]
fn callers_that_read_late_get_complete_responses_through_a_node_that_is_stopped() {
    check(1, 1);
}

#[test]
fn callers_that_read_late_get_complete_responses_of_a_target_whose_node_is_stopped() {
    check(1, 0);
}

/// Responses that the node holds while the caller reads the one before.
#[test]
fn callers_that_read_pipelined_responses_late_get_all_of_them() {
    let mut fleet = start_fleet();
    let paths: Vec<_> = (0..40).map(|number| format!("/bytes/250000/{number}")).collect();
    let requests: String = paths.iter().map(|path| head("GET", path)).collect();
    let reader = read_late(fleet.callers(0), &requests);
    for path in &paths {
        wait_until(|| has_run(&fleet, path));
    }
    let draining = Draining::begin(&mut fleet, 0);
    let read = reader.join().expect("the reader ends");
    assert!(read >= 250_000 * paths.len(), "{read} bytes of {} responses", paths.len());
    assert!(draining.wait() <= GRACE);
}
