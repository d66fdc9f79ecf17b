//! A target in trouble sends whole messages that are no responses.

use std::net::SocketAddr;

use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::TcpStream,
};

use crate::{
    fleet::slot,
    played::{self, read_head},
};

/// What the target sends for each path, before it closes the connection.
const MESSAGES: [(&str, &str); 7] = [
    ("/slots/whole", "HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nhello"),
    ("/slots/no-status", "HTTP/1.1 000 X\r\ncontent-length: 5\r\n\r\nhello"),
    ("/slots/large-status", "HTTP/1.1 700 X\r\ncontent-length: 5\r\n\r\nhello"),
    ("/slots/blank", "HTTP/1.1 200 OK\r\nx name: 1\r\ncontent-length: 5\r\n\r\nhello"),
    ("/slots/control", "HTTP/1.1 200 OK\r\n\u{1}name: 1\r\ncontent-length: 5\r\n\r\nhello"),
    ("/slots/line-feed", "HTTP/1.1 200 OK\r\n\nname: 1\r\ncontent-length: 5\r\n\r\nhello"),
    (
        "/slots/trailer",
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\nname: 1\r\n\r\n",
    ),
];

/// Sends a request and returns the status line and the outcome that the caller is told.
async fn call(address: SocketAddr, path: &str, key: &str) -> String {
    let mut stream = TcpStream::connect(address).await.expect("the node listens");
    let request = format!(
        "GET {path} HTTP/1.1\r\nhost: fleet\r\nauthorization: Bearer {key}\r\n\
         connection: close\r\n\r\n"
    );
    stream.write_all(request.as_bytes()).await.expect("the node reads");
    let mut response = String::new();
    stream.read_to_string(&mut response).await.expect("the node closes the connection");
    let (head, _) = response.split_once("\r\n\r\n").unwrap_or_default();
    let outcome = head.lines().find_map(|line| line.strip_prefix("mustardpin-outcome: "));
    format!("{} {}", head.lines().next().unwrap_or_default(), outcome.unwrap_or("passed on"))
}

/// Guards against bytes that are no response, and that reach callers as one when all programs run as
/// processes.
#[tokio::test(flavor = "multi_thread")]
async fn messages_that_are_no_response() {
    let plans = [slot("north", "search"), slot("south", "ledger")];
    let (fleet, key) = played::start(&plans, |mut stream| async move {
        let path = read_head(&mut stream).await;
        let message = MESSAGES.iter().find(|(name, _)| *name == path);
        let (_, message) = message.unwrap_or_else(|| panic!("an unknown path: {path:?}"));
        let _sent = stream.write_all(message.as_bytes()).await;
    })
    .await;
    let mut table = String::new();
    for (path, _) in MESSAGES {
        for slot in &fleet.slots {
            // Several consecutive failures would eject the target.
            let whole = call(slot.callers, "/slots/whole", &key).await;
            assert_eq!(whole, "HTTP/1.1 200 OK passed on", "{}", fleet.logs());
            table.push_str(&format!("{path}: {}\n", call(slot.callers, path, &key).await));
        }
    }
    insta::assert_snapshot!(table);
}
