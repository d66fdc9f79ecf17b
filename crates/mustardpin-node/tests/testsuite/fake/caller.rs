//! Callers that speak HTTP/1.1 byte by byte.

use std::{
    io::{Read as _, Write as _},
    net::{SocketAddr, TcpStream},
    time::Duration,
};

use bytes::Bytes;
use http::{HeaderMap, Request, Response};
use http_body_util::{BodyExt as _, Full};
use hyper::{body::Incoming, client::conn::http2};
use hyper_util::rt::{TokioExecutor, TokioIo};

/// All bytes that came back, and whether the connection was closed in order.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Answer {
    pub text: String,
    pub clean: bool,
}

impl Answer {
    /// The status line and the headers that tests look at, in a stable form.
    pub fn head(&self) -> String {
        let (head, _) = self.text.split_once("\r\n\r\n").unwrap_or((&self.text, ""));
        let lines = head.split("\r\n").filter(|line| !line.starts_with("date: "));
        lines.collect::<Vec<_>>().join("\n")
    }

    /// The status code; zero if there is none.
    pub fn status(&self) -> u16 {
        self.text.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0)
    }

    /// Everything after the head.
    pub fn body(&self) -> &str {
        self.text.split_once("\r\n\r\n").map_or("", |(_, body)| body)
    }
}

/// Sends bytes and reads until the connection ends or nothing comes for five seconds.
pub fn exchange(address: SocketAddr, bytes: &[u8]) -> Answer {
    let mut stream = TcpStream::connect(address).expect("the node listens");
    // The node may close the connection before it has read everything.
    let _ = stream.write_all(bytes);
    read_all(stream)
}

/// Reads until the connection ends or nothing comes for five seconds.
pub fn read_all(mut stream: TcpStream) -> Answer {
    stream.set_read_timeout(Some(Duration::from_secs(5))).expect("the time is not zero");
    let mut bytes = Vec::new();
    let mut buffer = [0; 16 * 1024];
    let clean = loop {
        match stream.read(&mut buffer) {
            Ok(0) => break true,
            Ok(count) => bytes.extend_from_slice(&buffer[..count]),
            Err(_) => break false,
        }
    };
    Answer { text: String::from_utf8_lossy(&bytes).into_owned(), clean }
}

/// Sends a request whose connection ends with the answer.
pub fn call(address: SocketAddr, line: &str, headers: &[(&str, &str)], body: &str) -> Answer {
    let mut text = format!("{line} HTTP/1.1\r\nhost: fleet\r\nconnection: close\r\n");
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    if !body.is_empty() {
        text.push_str(&format!("content-length: {}\r\n", body.len()));
    }
    exchange(address, format!("{text}\r\n{body}").as_bytes())
}

/// Sends a GET request with the key of the fake fleet.
pub fn get(address: SocketAddr, path: &str) -> Answer {
    let key = format!("Bearer {}", super::KEY);
    call(address, &format!("GET {path}"), &[("authorization", &key)], "")
}

/// A caller that speaks HTTP/2, with the key of the fake fleet.
#[derive(Clone)]
pub struct Http2 {
    sender: http2::SendRequest<Full<Bytes>>,
}

/// Connects by HTTP/2.
pub async fn http2(address: SocketAddr) -> Http2 {
    let stream = tokio::net::TcpStream::connect(address).await.expect("the node listens");
    let handshake = http2::handshake(TokioExecutor::new(), TokioIo::new(stream));
    let (sender, connection) = handshake.await.expect("the node speaks HTTP/2");
    tokio::spawn(connection);
    Http2 { sender }
}

impl Http2 {
    /// Sends a GET request and reads the whole answer: its status, body and trailers.
    pub async fn collect(&mut self, path: &str) -> hyper::Result<(u16, Bytes, Option<HeaderMap>)> {
        let response = self.get(path).await?;
        let status = response.status().as_u16();
        let body = response.into_body().collect().await?;
        let trailers = body.trailers().cloned();
        Ok((status, body.to_bytes(), trailers))
    }

    /// Sends a GET request.
    pub async fn get(&mut self, path: &str) -> hyper::Result<Response<Incoming>> {
        let request = Request::get(format!("http://fleet{path}"))
            .header("authorization", format!("Bearer {}", super::KEY))
            .body(Full::default())
            .expect("the request is well formed");
        self.sender.ready().await?;
        self.sender.send_request(request).await
    }
}
