//! Requests that a caller sends on one connection without waiting for responses.

use std::{io::Write as _, net::TcpStream, sync::Arc};

use mustardpin_node::{Launch, launch::Limits};

use crate::fake::{End, Fleet, KEY, Script, read_all, text};

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
