//! Callers that send and receive HTTP/1.1 as raw bytes, and callers that use HTTP/2.

use std::{
    io::{ErrorKind, Read as _, Write as _},
    net::{SocketAddr, TcpStream},
    time::Duration,
};

use bytes::Bytes;
use http::{HeaderMap, Request, Response};
use http_body_util::{BodyExt as _, Full};
use hyper::{body::Incoming, client::conn::http2};
use hyper_util::rt::{TokioExecutor, TokioIo};

/// How a connection ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum End {
    /// The node closed it normally.
    Closed,
    /// The node reset it.
    Reset,
    /// It was still open after five seconds without data.
    LeftOpen,
}

/// All bytes that the node sent, and how the connection ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RawResponse {
    pub text: String,
    pub end: End,
}

impl RawResponse {
    /// Returns the status line and the headers without `date`, which differs from run to run.
    pub fn head(&self) -> String {
        let (head, _) = self.text.split_once("\r\n\r\n").unwrap_or((&self.text, ""));
        let lines = head.split("\r\n").filter(|line| !line.starts_with("date: "));
        lines.collect::<Vec<_>>().join("\n")
    }

    /// Returns the status code; zero if there is none.
    pub fn status(&self) -> u16 {
        self.text.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0)
    }

    /// Returns everything after the headers.
    pub fn body(&self) -> &str {
        self.text.split_once("\r\n\r\n").map_or("", |(_, body)| body)
    }
}

/// Sends bytes, and reads until the connection ends or no data arrives for five seconds.
pub fn exchange(address: SocketAddr, bytes: &[u8]) -> RawResponse {
    let mut stream = TcpStream::connect(address).expect("the node listens");
    // The node may close the connection before it has read everything.
    let _ = stream.write_all(bytes);
    read_all(stream)
}

/// Reads until the connection ends or no data arrives for five seconds.
pub fn read_all(mut stream: TcpStream) -> RawResponse {
    stream.set_read_timeout(Some(Duration::from_secs(5))).expect("the timeout is not zero");
    let mut bytes = Vec::new();
    let mut buffer = [0; 16 * 1024];
    let end = loop {
        match stream.read(&mut buffer) {
            Ok(0) => break End::Closed,
            Ok(count) => bytes.extend_from_slice(&buffer[..count]),
            Err(error) if error.kind() == ErrorKind::WouldBlock => break End::LeftOpen,
            Err(_) => break End::Reset,
        }
    };
    RawResponse { text: String::from_utf8_lossy(&bytes).into_owned(), end }
}

/// Reads one response with a content length, and leaves the connection open.
pub fn read_response(stream: &mut TcpStream) -> RawResponse {
    stream.set_read_timeout(Some(Duration::from_secs(5))).expect("the timeout is not zero");
    let mut bytes = Vec::new();
    let mut byte = [0];
    loop {
        let text = String::from_utf8_lossy(&bytes);
        if let Some((head, body)) = text.split_once("\r\n\r\n") {
            let length = head.lines().find_map(|line| line.strip_prefix("content-length: "));
            if length.and_then(|length| length.parse().ok()) == Some(body.len()) {
                return RawResponse { text: text.into_owned(), end: End::LeftOpen };
            }
        }
        match stream.read(&mut byte) {
            Ok(0) => return RawResponse { text: text.into_owned(), end: End::Closed },
            Ok(_) => bytes.push(byte[0]),
            Err(_) => return RawResponse { text: text.into_owned(), end: End::Reset },
        }
    }
}

/// Sends a request on a connection that is closed after the response.
pub fn call(address: SocketAddr, line: &str, headers: &[(&str, &str)], body: &str) -> RawResponse {
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
pub fn get(address: SocketAddr, path: &str) -> RawResponse {
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
    try_http2(address).await.expect("the node listens and speaks HTTP/2")
}

/// Connects by HTTP/2. Returns `None` if the node does not listen.
pub async fn try_http2(address: SocketAddr) -> Option<Http2> {
    let stream = tokio::net::TcpStream::connect(address).await.ok()?;
    let handshake = http2::handshake(TokioExecutor::new(), TokioIo::new(stream));
    let (sender, connection) = handshake.await.ok()?;
    tokio::spawn(connection);
    Some(Http2 { sender })
}

impl Http2 {
    /// Sends a GET request and reads the complete response: its status, body and trailers.
    pub async fn collect(&mut self, path: &str) -> hyper::Result<(u16, Bytes, Option<HeaderMap>)> {
        let response = self.get(path).await?;
        let status = response.status().as_u16();
        let body = response.into_body().collect().await?;
        let trailers = body.trailers().cloned();
        Ok((status, body.to_bytes(), trailers))
    }

    /// Sends a HEAD request, with or without the key. Returns the status, the length that the response
    /// states and the size of its body.
    pub async fn head(&mut self, path: &str, has_key: bool) -> hyper::Result<(u16, usize, usize)> {
        let mut request = Request::head(format!("http://fleet{path}"));
        if has_key {
            request = request.header("authorization", format!("Bearer {}", super::KEY));
        }
        let request = request.body(Full::default()).expect("the request is well formed");
        self.sender.ready().await?;
        let response = self.sender.send_request(request).await?;
        let length = response.headers().get("content-length");
        let length = length.and_then(|length| length.to_str().ok()?.parse().ok());
        let status = response.status().as_u16();
        let body = response.into_body().collect().await?.to_bytes().len();
        Ok((status, length.unwrap_or_default(), body))
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
