//! Requests that a caller sends on one connection without waiting for responses.

use std::{io::Write as _, net::TcpStream, sync::Arc, time::Duration};

use mustardpin_node::{Launch, launch::Limits};

use crate::fake::{End, Fleet, KEY, Script, Step, read_all, text};

fn head(version: &str, method: &str, path: &str, connection: &str) -> String {
    format!(
        "{method} {path} HTTP/{version}\r\nhost: fleet\r\nauthorization: Bearer {KEY}\r\n\
         connection: {connection}\r\n\r\n"
    )
}

/// Guards against requests that are read and then forgotten: all requests that a connection
/// processes at once got their responses together, and nothing made it parse the rest.
#[test]
fn every_pipelined_request_gets_a_response_though_many_are_answered_at_once() {
    const REQUESTS: usize = 400;
    let script: Script = Arc::new(|_| text("HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n"));
    let limits = Limits { requests: 0, ..Limits::default() };
    let fleet = Fleet::start_with(&[("slots", script)], |launch| Launch { limits, ..launch });
    let mut requests = "GET / HTTP/1.1\r\nhost: f\r\n\r\n".repeat(REQUESTS - 1);
    requests.push_str(&head("1.1", "GET", "/slots", "close"));
    let mut stream = TcpStream::connect(fleet.callers(0)).expect("the node listens");
    stream.write_all(requests.as_bytes()).expect("the node reads");
    let response = read_all(stream);
    assert_eq!(response.text.matches("HTTP/1.1 503 ").count(), REQUESTS);
    assert_eq!(response.end, End::Closed);
}

/// Guards against a request that a target runs although the response before it ends with the
/// connection: HTTP/1.0 has no other end for a response of unknown length.
#[test]
fn no_request_is_passed_on_behind_a_response_that_may_end_with_the_connection() {
    const PIECE_BYTES: usize = 300_000;
    let script: Script = Arc::new(|request| {
        if request.contains("/bookings") {
            return text("HTTP/1.1 200 OK\r\ncontent-length: 6\r\n\r\nbooked");
        }
        let chunk = format!("{PIECE_BYTES:x}\r\n{}\r\n0\r\n\r\n", "x".repeat(PIECE_BYTES));
        [
            vec![Step::Wait(Duration::from_millis(300))],
            text("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n"),
            text(&chunk),
        ]
        .concat()
    });
    let fleet = Fleet::start(&[("slots", script)]);
    let first = head("1.0", "GET", "/slots", "keep-alive");
    let second = head("1.0", "POST", "/bookings", "keep-alive");
    let mut stream = TcpStream::connect(fleet.callers(0)).expect("the node listens");
    stream.write_all((first + &second).as_bytes()).expect("the node reads");
    let response = read_all(stream);
    assert_eq!(response.body().len(), PIECE_BYTES);
    let seen = fleet.targets[0].seen();
    assert_eq!(seen.iter().filter(|seen| seen.contains("/bookings")).count(), 0);
}
