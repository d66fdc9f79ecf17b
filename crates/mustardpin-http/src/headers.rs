//! Headers, stored as ranges into the bytes of their head.

use bytes::Bytes;
use smallvec::SmallVec;

use crate::{error::Error, head::MAX_HEADERS};

/// The number of headers whose spans are stored without a heap allocation.
const INLINE_HEADERS: usize = 16;

/// The byte ranges (start, end) of a header's name and value within its head.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Span {
    name: (u32, u32),
    value: (u32, u32),
}

/// The spans of all headers of a head.
pub(crate) type Spans = SmallVec<[Span; INLINE_HEADERS]>;

/// The headers of a message, in the order in which they were received.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Headers {
    bytes: Bytes,
    spans: Spans,
}

impl Headers {
    /// Headers that have these spans in `bytes`.
    pub(crate) fn new(bytes: Bytes, spans: Spans) -> Headers {
        Headers { bytes, spans }
    }

    /// All headers as pairs of name and value.
    pub fn iter(&self) -> impl Iterator<Item = (&str, &[u8])> {
        self.spans.iter().map(|span| (self.name(*span), self.slice(span.value)))
    }

    /// The value of the first header with this name; case is ignored.
    ///
    /// ```
    /// use mustardpin_http::Headers;
    ///
    /// let headers: Headers = [("accept", &b"*/*"[..])].into_iter().collect();
    /// assert_eq!(headers.get("Accept"), Some(&b"*/*"[..]));
    /// ```
    pub fn get(&self, name: &str) -> Option<&[u8]> {
        self.iter().find(|(other, _)| other.eq_ignore_ascii_case(name)).map(|(_, value)| value)
    }

    /// The values of all headers with this name; case is ignored.
    pub fn get_all<'a>(&'a self, name: &'a str) -> impl Iterator<Item = &'a [u8]> {
        self.iter()
            .filter(move |(other, _)| other.eq_ignore_ascii_case(name))
            .map(|(_, value)| value)
    }

    /// The value of the first header with this name; `None` if there is no such header or its value
    /// is not UTF-8.
    pub fn text(&self, name: &str) -> Option<&str> {
        self.get(name).and_then(|value| std::str::from_utf8(value).ok())
    }

    /// Whether a header with this name is a comma-separated list that contains a token. Case is
    /// ignored in the name and the token.
    ///
    /// ```
    /// use mustardpin_http::Headers;
    ///
    /// let headers: Headers = [("connection", &b"keep-alive, Close"[..])].into_iter().collect();
    /// assert!(headers.has_token("Connection", "close"));
    /// ```
    pub fn has_token(&self, name: &str, token: &str) -> bool {
        self.get_all(name).any(|value| has_token(value, token))
    }

    /// The number of headers.
    pub fn len(&self) -> usize {
        self.spans.len()
    }

    /// Whether there are no headers.
    pub fn is_empty(&self) -> bool {
        self.spans.is_empty()
    }

    fn name(&self, span: Span) -> &str {
        // Parsed names are tokens, which are ASCII.
        std::str::from_utf8(self.slice(span.name)).unwrap_or_default()
    }

    fn slice(&self, (from, to): (u32, u32)) -> &[u8] {
        &self.bytes[from as usize..to as usize]
    }
}

impl<'a> FromIterator<(&'a str, &'a [u8])> for Headers {
    /// Builds headers from names, which must be valid HTTP tokens, and values, which must be valid
    /// field values.
    fn from_iter<I: IntoIterator<Item = (&'a str, &'a [u8])>>(headers: I) -> Headers {
        let mut bytes = Vec::new();
        let mut header_spans = Spans::new();
        for (name, value) in headers {
            let start = bytes.len() as u32;
            bytes.extend_from_slice(name.as_bytes());
            let middle = bytes.len() as u32;
            bytes.extend_from_slice(value);
            let end = bytes.len() as u32;
            header_spans.push(Span { name: (start, middle), value: (middle, end) });
        }
        Headers { bytes: bytes.into(), spans: header_spans }
    }
}

/// The spans of parsed headers within the buffer that they were parsed from.
pub(crate) fn find_spans(buffer: &[u8], parsed: &[httparse::Header<'_>]) -> Spans {
    let start = buffer.as_ptr() as usize;
    let range = |slice: &[u8]| {
        let from = (slice.as_ptr() as usize - start) as u32;
        (from, from + slice.len() as u32)
    };
    parsed
        .iter()
        .map(|header| Span { name: range(header.name.as_bytes()), value: range(header.value) })
        .collect()
}

/// Checks lines of headers or trailers that were encoded elsewhere and are sent on as they are.
///
/// # Errors
///
/// If a line does not follow the grammar, does not end with CRLF or is empty, or if there are more
/// than [`MAX_HEADERS`] lines.
///
/// ```
/// use mustardpin_http::headers::check_lines;
/// assert!(check_lines(b"Accept: */*\r\nX: 1\r\n").is_ok());
/// assert!(check_lines(b"X Y: 1\r\n").is_err());
/// ```
pub fn check_lines(lines: &[u8]) -> Result<(), Error> {
    if lines.is_empty() {
        return Ok(());
    }
    if !lines.ends_with(b"\r\n") || has_bare_line_feed(lines) {
        return Err(Error::LineEnd);
    }
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    match httparse::parse_headers(lines, &mut headers)? {
        // The empty line that would end the section is missing.
        httparse::Status::Partial => Ok(()),
        httparse::Status::Complete(_) => Err(httparse::Error::NewLine.into()),
    }
}

/// Whether an LF in these bytes does not follow a CR.
pub(crate) fn has_bare_line_feed(bytes: &[u8]) -> bool {
    let mut lines = bytes.split(|&byte| byte == b'\n');
    // No LF follows the last part.
    lines.next_back();
    lines.any(|line| !line.ends_with(b"\r"))
}

/// Whether a comma-separated list contains a token; case is ignored.
pub(crate) fn has_token(list: &[u8], token: &str) -> bool {
    list.split(|&byte| byte == b',')
        .any(|part| part.trim_ascii().eq_ignore_ascii_case(token.as_bytes()))
}
