//! Targets never receive a key, and a withdrawn key stops working.

use std::{
    io::{Read as _, Write as _},
    net::{SocketAddr, TcpStream},
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

use mustardpin_world::{config, id::KeyDigest};

use crate::fake::{Fleet, KEY, Script, exchange, http2, text};

fn hello() -> Script {
    Arc::new(|_| text("HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nhello"))
}

/// Returns a request that has the key in every place where a caller may put it.
fn request_with_key(path: &str) -> String {
    format!(
        "POST {path} HTTP/1.1\r\nhost: fleet\r\nconnection: close\r\n\
         authorization: Bearer {KEY}\r\nproxy-authorization: Bearer {KEY}\r\n\
         x-copy: {KEY}\r\ncookie: a=1; key={KEY}\r\nx-half: s3cret-text\r\n\
         mustardpin-key-id: garage-2\r\nmustardpin-importance: 3\r\nmustardpin-reason: shed\r\n\
         x-kept: 1\r\ntrailer: x-sum, x-trailer, authorization\r\n\
         transfer-encoding: chunked\r\n\r\n\
         4\r\nslot\r\n0\r\nx-trailer: {KEY}\r\nauthorization: Bearer {KEY}\r\nx-sum: 9\r\n\r\n"
    )
}

#[test]
fn no_target_sees_a_key_or_forged_headers() {
    let fleet = Fleet::start(&[("slots", hello()), ("ledger", hello())]);
    for node in [0, 1] {
        for path in ["/slots", "/open"] {
            let response = exchange(fleet.callers(node), request_with_key(path).as_bytes());
            assert_eq!(response.status(), 200, "{response:?}");
        }
    }
    let seen = fleet.targets[0].seen();
    assert_eq!(seen.len(), 4);
    for request in &seen {
        assert!(!request.contains("s3cret"), "{request}");
        assert!(!request.contains("authorization: "), "{request}");
        assert!(!request.contains("garage-2"), "{request}");
        assert!(request.contains("x-kept: 1"), "{request}");
        assert!(request.contains("x-sum: 9"), "{request}");
    }
    insta::assert_snapshot!(stable(&seen[2]));
}

/// Returns the request without the values that differ from run to run.
fn stable(request: &str) -> String {
    let unstable = ["mustardpin-call: ", "request-timeout-ms: "];
    let lines = request.split("\r\n").map(|line| {
        let name = unstable.iter().find(|name| line.starts_with(**name));
        name.map_or(line.to_owned(), |name| format!("{name}.."))
    });
    lines.collect::<Vec<_>>().join("\n")
}

/// Sends a request over an open connection and returns the status.
fn status(stream: &mut TcpStream) -> u16 {
    let request =
        format!("GET /slots HTTP/1.1\r\nhost: fleet\r\nauthorization: Bearer {KEY}\r\n\r\n");
    stream.write_all(request.as_bytes()).expect("the connection is open");
    let mut buffer = [0; 4096];
    let count = stream.read(&mut buffer).expect("a response arrives");
    let text = String::from_utf8_lossy(&buffer[..count]).into_owned();
    text.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0)
}

#[test]
fn a_withdrawn_key_stops_working_on_open_connections() {
    const MAX_WITHDRAWAL_TIME: Duration = Duration::from_secs(3);
    let fleet = Fleet::start(&[("slots", hello()), ("ledger", hello())]);
    let connect = |address: SocketAddr| TcpStream::connect(address).expect("the node listens");
    let mut http1 = [connect(fleet.callers(0)), connect(fleet.callers(1))];
    let mut http2 = fleet.runtime.block_on(http2(fleet.callers(1)));
    assert_eq!(http1.each_mut().map(status), [200, 200]);
    let key = config::Key {
        id: "garage-1".into(),
        team: "garages".into(),
        digest: KeyDigest::of(KEY),
        withdrawn: true,
    };
    fleet.platform.write(vec![config::Row::Key(key)]);
    let start = Instant::now();
    loop {
        let [first, second] = http1.each_mut().map(status);
        let third = fleet.runtime.block_on(http2.collect("/slots")).expect("a response").0;
        if [first, second, third] == [401; 3] {
            break;
        }
        assert!(start.elapsed() < MAX_WITHDRAWAL_TIME, "still served: {first} {second} {third}");
        thread::sleep(Duration::from_millis(50));
    }
}
