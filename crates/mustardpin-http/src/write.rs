//! Serialization of heads and of the framing of chunked bodies.

/// Writes a request line.
///
/// ```
/// let mut out = Vec::new();
/// mustardpin_http::write::request_line(&mut out, "GET", "/slots");
/// assert_eq!(out, b"GET /slots HTTP/1.1\r\n");
/// ```
pub fn request_line(out: &mut Vec<u8>, method: &str, target: &str) {
    out.extend_from_slice(method.as_bytes());
    out.push(b' ');
    out.extend_from_slice(target.as_bytes());
    out.extend_from_slice(b" HTTP/1.1\r\n");
}

/// Writes a status line with the usual reason phrase.
///
/// ```
/// let mut out = Vec::new();
/// mustardpin_http::write::status_line(&mut out, 503);
/// assert_eq!(out, b"HTTP/1.1 503 Service Unavailable\r\n");
/// ```
pub fn status_line(out: &mut Vec<u8>, status: u16) {
    out.extend_from_slice(b"HTTP/1.1 ");
    out.extend_from_slice(itoa::Buffer::new().format(status).as_bytes());
    out.push(b' ');
    out.extend_from_slice(reason_phrase(status).as_bytes());
    out.extend_from_slice(b"\r\n");
}

/// Writes a header. The caller ensures that name and value are valid.
///
/// ```
/// let mut out = Vec::new();
/// mustardpin_http::write::header(&mut out, "Retry-After", b"1");
/// assert_eq!(out, b"Retry-After: 1\r\n");
/// ```
pub fn header(out: &mut Vec<u8>, name: &str, value: &[u8]) {
    out.extend_from_slice(name.as_bytes());
    out.extend_from_slice(b": ");
    out.extend_from_slice(value);
    out.extend_from_slice(b"\r\n");
}

/// Writes a header with a number as its value.
///
/// ```
/// let mut out = Vec::new();
/// mustardpin_http::write::numeric_header(&mut out, "Content-Length", 12);
/// assert_eq!(out, b"Content-Length: 12\r\n");
/// ```
pub fn numeric_header(out: &mut Vec<u8>, name: &str, value: u64) {
    header(out, name, itoa::Buffer::new().format(value).as_bytes());
}

/// Writes the line with a chunk's size in bytes. The caller writes the chunk's data and a CRLF
/// after it.
///
/// ```
/// let mut out = Vec::new();
/// mustardpin_http::write::chunk_size(&mut out, 255);
/// assert_eq!(out, b"ff\r\n");
/// ```
pub fn chunk_size(out: &mut Vec<u8>, size: usize) {
    out.extend_from_slice(format!("{size:x}\r\n").as_bytes());
}

/// Writes the end of a chunked body. `trailers` holds complete header lines.
///
/// ```
/// let mut out = Vec::new();
/// mustardpin_http::write::last_chunk(&mut out, b"x-sum: 7\r\n");
/// assert_eq!(out, b"0\r\nx-sum: 7\r\n\r\n");
/// ```
pub fn last_chunk(out: &mut Vec<u8>, trailers: &[u8]) {
    out.extend_from_slice(b"0\r\n");
    out.extend_from_slice(trailers);
    out.extend_from_slice(b"\r\n");
}

/// The usual reason phrase of a status code.
fn reason_phrase(status: u16) -> &'static str {
    match status {
        100 => "Continue",
        200 => "OK",
        201 => "Created",
        202 => "Accepted",
        204 => "No Content",
        206 => "Partial Content",
        304 => "Not Modified",
        400 => "Bad Request",
        401 => "Unauthorized",
        403 => "Forbidden",
        404 => "Not Found",
        405 => "Method Not Allowed",
        408 => "Request Timeout",
        409 => "Conflict",
        413 => "Content Too Large",
        421 => "Misdirected Request",
        422 => "Unprocessable Content",
        428 => "Precondition Required",
        429 => "Too Many Requests",
        431 => "Request Header Fields Too Large",
        500 => "Internal Server Error",
        502 => "Bad Gateway",
        503 => "Service Unavailable",
        504 => "Gateway Timeout",
        505 => "HTTP Version Not Supported",
        _ => "Unknown",
    }
}
