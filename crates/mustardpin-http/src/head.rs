//! Heads of requests and responses.

use std::mem::MaybeUninit;

use bytes::{Bytes, BytesMut};

use crate::{
    error::Error,
    headers::{self, Headers},
};

/// A head with more fields than this is too large.
pub const MAX_HEADERS: usize = 100;

/// The head of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Request {
    method: Bytes,
    target: Bytes,
    /// Whether the sender speaks HTTP/1.1 rather than HTTP/1.0.
    pub is_version_11: bool,
    /// The fields.
    pub headers: Headers,
}

/// The head of a response.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Response {
    /// The status code.
    pub status: u16,
    /// Whether the sender speaks HTTP/1.1 rather than HTTP/1.0.
    pub is_version_11: bool,
    /// The fields.
    pub headers: Headers,
}

impl Request {
    /// Takes a head off the front of a buffer. Returns `None` if it is not there in full.
    ///
    /// # Errors
    ///
    /// If the head is malformed, or larger than `limit` bytes.
    ///
    /// ```
    /// use bytes::BytesMut;
    /// use mustardpin_http::head::Request;
    ///
    /// let mut buffer = BytesMut::from("GET /slots?day=1 HTTP/1.1\r\nhost: a\r\n\r\nrest");
    /// let request = Request::take(&mut buffer, 1_024)?.unwrap();
    /// assert_eq!((request.method(), request.target()), ("GET", "/slots?day=1"));
    /// assert_eq!(&buffer[..], b"rest");
    /// # Ok::<(), mustardpin_http::Error>(())
    /// ```
    pub fn take(buffer: &mut BytesMut, limit: usize) -> Result<Option<Request>, Error> {
        skip_empty_lines(buffer);
        let mut fields = [const { MaybeUninit::uninit() }; MAX_HEADERS];
        let mut parsed = httparse::Request::new(&mut []);
        let status = parsed.parse_with_uninit_headers(buffer, &mut fields);
        let Some(length) = complete(status, buffer.len(), limit)? else { return Ok(None) };
        let version = parsed.version;
        let method = range_of(buffer, parsed.method.unwrap_or_default().as_bytes());
        let target = range_of(buffer, parsed.path.unwrap_or_default().as_bytes());
        let fields = headers::places(buffer, parsed.headers);
        let bytes = buffer.split_to(length).freeze();
        let (method, target) = (bytes.slice(method), bytes.slice(target));
        let headers = Headers::new(bytes, fields);
        Ok(Some(Request { method, target, is_version_11: version == Some(1), headers }))
    }

    /// A head that did not come as text, for requests that arrive in another version of HTTP.
    ///
    /// ```
    /// use mustardpin_http::{Headers, head::Request};
    /// assert_eq!(Request::new("GET", "/slots", Headers::default()).target(), "/slots");
    /// ```
    pub fn new(method: &str, target: &str, headers: Headers) -> Request {
        Request {
            method: Bytes::copy_from_slice(method.as_bytes()),
            target: Bytes::copy_from_slice(target.as_bytes()),
            is_version_11: true,
            headers,
        }
    }

    /// The method.
    pub fn method(&self) -> &str {
        std::str::from_utf8(&self.method).unwrap_or_default()
    }

    /// The target: path and query, as they came.
    pub fn target(&self) -> &str {
        std::str::from_utf8(&self.target).unwrap_or_default()
    }

    /// Whether the sender wants to use the connection for further requests.
    pub fn is_persistent(&self) -> bool {
        is_persistent(self.is_version_11, &self.headers)
    }
}

impl Response {
    /// Takes a head off the front of a buffer. Returns `None` if it is not there in full.
    ///
    /// # Errors
    ///
    /// As for requests.
    ///
    /// ```
    /// use bytes::BytesMut;
    /// use mustardpin_http::head::Response;
    ///
    /// let mut buffer = BytesMut::from("HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok");
    /// let response = Response::take(&mut buffer, 1_024)?.unwrap();
    /// assert_eq!((response.status, response.is_persistent()), (200, true));
    /// # Ok::<(), mustardpin_http::Error>(())
    /// ```
    pub fn take(buffer: &mut BytesMut, limit: usize) -> Result<Option<Response>, Error> {
        let mut fields = [const { MaybeUninit::uninit() }; MAX_HEADERS];
        let mut parsed = httparse::Response::new(&mut []);
        let config = httparse::ParserConfig::default();
        let status = config.parse_response_with_uninit_headers(&mut parsed, buffer, &mut fields);
        let Some(length) = complete(status, buffer.len(), limit)? else { return Ok(None) };
        let (code, version) = (parsed.code.unwrap_or_default(), parsed.version);
        let fields = headers::places(buffer, parsed.headers);
        let headers = Headers::new(buffer.split_to(length).freeze(), fields);
        Ok(Some(Response { status: code, is_version_11: version == Some(1), headers }))
    }

    /// Whether the sender will take further requests on the connection.
    pub fn is_persistent(&self) -> bool {
        is_persistent(self.is_version_11, &self.headers)
    }
}

fn is_persistent(is_version_11: bool, headers: &Headers) -> bool {
    if headers.has_token("connection", "close") {
        return false;
    }
    is_version_11 || headers.has_token("connection", "keep-alive")
}

/// Empty lines before a request line are ignored, as RFC 9112 asks for.
fn skip_empty_lines(buffer: &mut BytesMut) {
    while buffer.starts_with(b"\r\n") {
        let _ = buffer.split_to(2);
    }
}

/// The length of a head that is there in full.
fn complete(
    status: Result<httparse::Status<usize>, httparse::Error>,
    available: usize,
    limit: usize,
) -> Result<Option<usize>, Error> {
    match status {
        Ok(httparse::Status::Complete(length)) if length <= limit => Ok(Some(length)),
        Ok(httparse::Status::Partial) if available <= limit => Ok(None),
        Ok(_) | Err(httparse::Error::TooManyHeaders) => Err(Error::HeadTooLarge),
        Err(httparse::Error::Version) => Err(Error::Version),
        Err(error) => Err(error.into()),
    }
}

fn range_of(buffer: &[u8], slice: &[u8]) -> std::ops::Range<usize> {
    let start = slice.as_ptr() as usize - buffer.as_ptr() as usize;
    start..start + slice.len()
}
