//! Uploads that are in progress when the node is stopped.

use std::{convert::Infallible, net::SocketAddr, time::Duration};

use bytes::Bytes;
use futures::StreamExt as _;
use http_body::Frame;
use http_body_util::StreamBody;
use hyper::client::conn::http2;
use hyper_util::rt::{TokioExecutor, TokioIo};

use crate::{
    drain::{Caller, Draining, Failures, STAY, head, start_fleet},
    fake::KEY,
};

/// More than a node keeps of a body, so that it is streamed.
const STREAMED_BYTES: usize = 400_000;

fn upload_head(path: &str) -> String {
    let length = format!("content-length: {STREAMED_BYTES}\r\nhost:");
    head("POST", path).replace("host:", &length)
}

#[test]
fn uploads_that_are_streamed_when_the_node_is_stopped_are_completed() {
    let mut fleet = start_fleet();
    let half = "x".repeat(STREAMED_BYTES / 2);
    let paths = ["/upload", "/bookings/upload", "/ledger/upload"];
    let mut sent =
        paths.map(|path| (path, Caller::send(fleet.callers(0), &(upload_head(path) + &half))));
    std::thread::sleep(Duration::from_millis(200));
    let draining = Draining::begin(&mut fleet, 0);
    draining.sleep_until(STAY + Duration::from_millis(150));
    let mut failures = Failures::default();
    for (_, caller) in &mut sent {
        caller.send_more(&half);
    }
    for (path, caller) in sent {
        failures.check(path, &caller.finish().0, &["200, closes"]);
    }
    failures.check_time("the end of the process", draining.wait());
    failures.assert_none();
}

/// Sends a body over HTTP/2 in pieces, one after each wait. Returns the outcome of the request.
async fn upload_http2(address: SocketAddr, path: &str, waits: Vec<Duration>) -> String {
    let stream = tokio::net::TcpStream::connect(address).await.expect("the node listens");
    let handshake = http2::handshake(TokioExecutor::new(), TokioIo::new(stream));
    let (mut sender, connection) = handshake.await.expect("the node speaks HTTP/2");
    tokio::spawn(connection);
    let body = futures::stream::iter(waits).then(|wait| async move {
        tokio::time::sleep(wait).await;
        Ok::<_, Infallible>(Frame::data(Bytes::from(vec![b'x'; STREAMED_BYTES / 4])))
    });
    let request = http::Request::post(format!("http://fleet{path}"))
        .header("authorization", format!("Bearer {KEY}"))
        .header("idempotency-key", path)
        .body(StreamBody::new(Box::pin(body)))
        .expect("the request is well formed");
    match sender.send_request(request).await {
        Ok(response) => response.status().as_u16().to_string(),
        Err(_) => "no response".to_owned(),
    }
}

#[test]
fn uploads_over_http2_that_are_in_progress_get_a_response() {
    let mut fleet = start_fleet();
    let callers = fleet.callers(0);
    let piece = Duration::from_millis(300);
    // The second ends long after the grace.
    let cases = [
        ("/upload", vec![piece; 4], ["200", "200"]),
        ("/endless", vec![piece; 60], ["502", "504"]),
    ];
    let uploads = cases.map(|(path, waits, accepted)| {
        let upload = fleet.runtime.spawn(async move { upload_http2(callers, path, waits).await });
        (path, upload, accepted)
    });
    std::thread::sleep(2 * piece);
    let draining = Draining::begin(&mut fleet, 0);
    let mut failures = Failures::default();
    for (path, upload, accepted) in uploads {
        let outcome = fleet.runtime.block_on(upload).expect("no panic");
        failures.check(path, &[outcome], &accepted);
    }
    failures.check_time("the end of the process", draining.wait());
    failures.assert_none();
}

#[test]
fn an_upload_that_does_not_end_gets_an_explicit_response() {
    let mut fleet = start_fleet();
    let text = upload_head("/upload") + &"x".repeat(STREAMED_BYTES / 2);
    let caller = Caller::send(fleet.callers(0), &text);
    std::thread::sleep(Duration::from_millis(200));
    let draining = Draining::begin(&mut fleet, 0);
    let (outcomes, at) = caller.finish();
    let mut failures = Failures::default();
    let is_unknown =
        matches!(&outcomes[..], [only] if only.starts_with("502") || only.starts_with("504"));
    failures.require(&format!("{outcomes:?}"), is_unknown);
    failures.check_time("the response", at - draining.since);
    failures.check_time("the end of the process", draining.wait());
    failures.assert_none();
}
