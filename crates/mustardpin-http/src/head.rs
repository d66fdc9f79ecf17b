//! Parsing of request and response heads.

use std::mem::MaybeUninit;

use bytes::{Bytes, BytesMut};

use crate::{
    error::Error,
    headers::{self, Headers},
    status,
};

/// The largest number of headers in a head; a head with more is refused as too large.
pub const MAX_HEADERS: usize = 100;

/// The head of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Request {
    method: Bytes,
    target: Bytes,
    /// Whether the message's version is HTTP/1.1 rather than HTTP/1.0.
    pub is_version_11: bool,
    /// The headers.
    pub headers: Headers,
}

/// The head of a response.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Response {
    /// The status code, which is in [`status::VALID`].
    pub status: u16,
    /// Whether the message's version is HTTP/1.1 rather than HTTP/1.0.
    pub is_version_11: bool,
    /// The headers.
    pub headers: Headers,
}

impl Request {
    /// Removes a head from the front of a buffer. Returns `None` if the head is incomplete.
    ///
    /// # Errors
    ///
    /// If the head is malformed, or larger than `limit` bytes. A head is also malformed if a line
    /// does not end with CRLF.
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
        let mut headers = [const { MaybeUninit::uninit() }; MAX_HEADERS];
        let mut parsed = httparse::Request::new(&mut []);
        let parsing = parsed.parse_with_uninit_headers(buffer, &mut headers);
        let Some(length) = complete_length(parsing, buffer, limit)? else { return Ok(None) };
        let version = parsed.version;
        let method = range_of(buffer, parsed.method.unwrap_or_default().as_bytes());
        let target = range_of(buffer, parsed.path.unwrap_or_default().as_bytes());
        let spans = headers::find_spans(buffer, parsed.headers);
        let bytes = buffer.split_to(length).freeze();
        let (method, target) = (bytes.slice(method), bytes.slice(target));
        let headers = Headers::new(bytes, spans);
        Ok(Some(Request { method, target, is_version_11: version == Some(1), headers }))
    }

    /// Builds the head of a request that was received in another version of HTTP.
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

    /// The request target: path and query, unchanged.
    pub fn target(&self) -> &str {
        std::str::from_utf8(&self.target).unwrap_or_default()
    }

    /// Whether the client keeps the connection open for further requests.
    pub fn is_persistent(&self) -> bool {
        is_persistent(self.is_version_11, &self.headers)
    }
}

impl Response {
    /// Removes a head from the front of a buffer. Returns `None` if the head is incomplete.
    ///
    /// # Errors
    ///
    /// The same as for [`Request::take`], or if the status code is not in [`status::VALID`].
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
        let mut headers = [const { MaybeUninit::uninit() }; MAX_HEADERS];
        let mut parsed = httparse::Response::new(&mut []);
        let config = httparse::ParserConfig::default();
        let parsing = config.parse_response_with_uninit_headers(&mut parsed, buffer, &mut headers);
        let Some(length) = complete_length(parsing, buffer, limit)? else { return Ok(None) };
        let (code, version) = (parsed.code.unwrap_or_default(), parsed.version);
        if !status::VALID.contains(&code) {
            return Err(Error::Status(code));
        }
        let spans = headers::find_spans(buffer, parsed.headers);
        let headers = Headers::new(buffer.split_to(length).freeze(), spans);
        Ok(Some(Response { status: code, is_version_11: version == Some(1), headers }))
    }

    /// Whether the server keeps the connection open for further requests.
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

/// Skips empty lines before a request line, as RFC 9112 recommends.
fn skip_empty_lines(buffer: &mut BytesMut) {
    while buffer.starts_with(b"\r\n") {
        let _ = buffer.split_to(2);
    }
}

/// The length of a complete head in bytes, or `None` if more input is needed. `limit` is in bytes.
fn complete_length(
    parsing: Result<httparse::Status<usize>, httparse::Error>,
    buffer: &[u8],
    limit: usize,
) -> Result<Option<usize>, Error> {
    match parsing {
        // `httparse` takes an LF alone for the end of a line. At the start of a name it would end the
        // head, and the lines after it would become the body or the next message.
        Ok(httparse::Status::Complete(length))
            if length <= limit && headers::has_bare_line_feed(&buffer[..length]) =>
        {
            Err(Error::LineEnd)
        }
        Ok(httparse::Status::Complete(length)) if length <= limit => Ok(Some(length)),
        Ok(httparse::Status::Partial) if buffer.len() <= limit => Ok(None),
        Ok(_) | Err(httparse::Error::TooManyHeaders) => Err(Error::HeadTooLarge),
        Err(httparse::Error::Version) => Err(Error::Version),
        Err(error) => Err(error.into()),
    }
}

/// The range of `slice` within `buffer`; `slice` must be a part of `buffer`.
fn range_of(buffer: &[u8], slice: &[u8]) -> std::ops::Range<usize> {
    let start = slice.as_ptr() as usize - buffer.as_ptr() as usize;
    start..start + slice.len()
}
