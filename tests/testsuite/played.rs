//! A target that the test plays, beside a node that runs as a process.

use std::time::Duration;

use serde_json::json;
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::{TcpListener, TcpStream},
    time,
};

use crate::fleet::{Fleet, SlotPlan};

/// The requests that the target reports to run at once.
pub const SLOTS: u32 = 300;

/// Starts nodes, of which the first has a target that the test plays, and issues a key.
pub async fn start<F: Future<Output = ()> + Send + 'static>(
    plans: &[SlotPlan],
    serve: impl Fn(TcpStream) -> F + Send + 'static,
) -> (Fleet, String) {
    let mut fleet = Fleet::start(plans).await;
    let key = fleet.issue_key("garage-1").await;
    let service = plans[0].service;
    let slot = &mut fleet.slots[0];
    slot.target_process.kill();
    let listener = TcpListener::bind(slot.target).await.expect("the port is free");
    let (target, local) = (slot.target, slot.local);
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(serve(stream));
        }
    });
    tokio::spawn(async move {
        let body = json!({
            "address": target.to_string(), "service": service, "slots": SLOTS, "healthy": true,
        });
        let body = body.to_string();
        let length = body.len();
        let report = format!(
            "POST /target/announce HTTP/1.1\r\nhost: node\r\nconnection: close\r\n\
             content-length: {length}\r\n\r\n{body}"
        );
        while let Ok(mut stream) = TcpStream::connect(local).await {
            let _sent = stream.write_all(report.as_bytes()).await;
            let _received = stream.read(&mut [0; 1_024]).await;
            time::sleep(Duration::from_millis(200)).await;
        }
    });
    (fleet, key)
}

/// Reads up to the end of a request's head. Returns its path.
pub async fn read_head(stream: &mut TcpStream) -> String {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        match stream.read_u8().await {
            Ok(byte) => head.push(byte),
            Err(_) => return String::new(),
        }
    }
    String::from_utf8_lossy(&head).split(' ').nth(1).unwrap_or_default().to_owned()
}
