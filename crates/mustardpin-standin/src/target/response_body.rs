//! Response bodies with which a caller can check that the response is complete and its own.
//!
//! The first line of a body names the request, the size of the rest and its checksum.

use std::time::Duration;

use bytes::Bytes;
use compact_str::CompactString;
use derive_more::{Display, Error};
use futures::stream;
use http::{HeaderValue, Response, header};
use http_body_util::{BodyExt as _, StreamBody};
use hyper::body::Frame;

use crate::{
    control::Handle,
    http::{Aborted, Body},
    platform::handler::query_parameter,
    target::run::{Event, RunKey},
};

/// The size of a chunk of a body without pauses, in bytes.
const CHUNK_SIZE: usize = 16 << 10;

/// The maximum size of a body after its first line, in bytes.
const MAX_FILLER_SIZE: usize = 256 << 20;

/// The size and timing of a response, as requested by the caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct ResponseOptions {
    /// The size of the body after its first line, in bytes.
    pub size: usize,
    /// The pause between chunks. If it is not zero, the body has at least 16 chunks.
    pub pace: Duration,
    /// The number of bytes after which the connection is closed, if any.
    pub cut_after: Option<usize>,
}

impl ResponseOptions {
    /// Parses the parameters `bytes`, `pace-ms` and `cut-after` of a query.
    ///
    /// ```
    /// use mustardpin_standin::target::response_body::ResponseOptions;
    /// assert_eq!(ResponseOptions::from_query(Some("bytes=9")).size, 9);
    /// ```
    pub fn from_query(text: Option<&str>) -> ResponseOptions {
        let number =
            |name| query_parameter(text, name).and_then(|value| value.parse::<usize>().ok());
        ResponseOptions {
            size: number("bytes").unwrap_or(0).min(MAX_FILLER_SIZE),
            pace: Duration::from_millis(number("pace-ms").unwrap_or(0) as u64),
            cut_after: number("cut-after"),
        }
    }
}

/// Why the body of a complete HTTP response is not valid.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Error)]
pub enum BodyError {
    /// It has no first line, or one of another form.
    #[display("not an answer of a target")]
    Unrecognized,
    /// It belongs to another request.
    #[display("the answer to another request")]
    OtherRequest,
    /// Its size differs from the one in the first line.
    #[display("not the size that it says")]
    Size,
    /// Its checksum differs from the one in the first line.
    #[display("not the checksum that it says")]
    Checksum,
}

/// Creates the complete body of the response to a request.
///
/// ```
/// use mustardpin_standin::target::response_body::{BodyError, check, compose};
///
/// let body = compose("r-1", 1_000);
/// assert_eq!(check(&body, "r-1"), Ok(()));
/// assert_eq!(check(&body, "r-2"), Err(BodyError::OtherRequest));
/// assert_eq!(check(&body[..900], "r-1"), Err(BodyError::Size));
/// ```
pub fn compose(request: &str, size: usize) -> Bytes {
    let seed = checksum(request.as_bytes());
    let filler: Vec<u8> = (0..size).map(|index| filler_byte(seed, index)).collect();
    let mut body = format!("request={request} bytes={size} checksum={:016x}\n", checksum(&filler))
        .into_bytes();
    body.extend(filler);
    Bytes::from(body)
}

/// Checks that a body is complete and belongs to this request.
///
/// ```
/// use mustardpin_standin::target::response_body::{BodyError, check};
/// assert_eq!(check(b"hello", "r-1"), Err(BodyError::Unrecognized));
/// ```
pub fn check(body: &[u8], request: &str) -> Result<(), BodyError> {
    let end = body.iter().position(|&byte| byte == b'\n').ok_or(BodyError::Unrecognized)?;
    let line = std::str::from_utf8(&body[..end]).map_err(|_| BodyError::Unrecognized)?;
    let rest = line.strip_prefix("request=").ok_or(BodyError::Unrecognized)?;
    let (found, rest) = rest.split_once(" bytes=").ok_or(BodyError::Unrecognized)?;
    let (size, digits) = rest.split_once(" checksum=").ok_or(BodyError::Unrecognized)?;
    if found != request {
        return Err(BodyError::OtherRequest);
    }
    let filler = &body[end + 1..];
    if size.parse() != Ok(filler.len()) {
        return Err(BodyError::Size);
    }
    if u64::from_str_radix(digits, 16) != Ok(checksum(filler)) {
        return Err(BodyError::Checksum);
    }
    Ok(())
}

/// Frees the slot of a run once its response was sent. If dropped before, it reports the run as
/// cancelled.
#[derive(Debug)]
pub struct RunGuard {
    control: Handle<Event>,
    run: Option<RunKey>,
}

impl RunGuard {
    /// Creates a guard for a run that has just been assigned its slot.
    pub fn new(control: Handle<Event>, run: RunKey) -> RunGuard {
        RunGuard { control, run: Some(run) }
    }

    /// Ends the run before its response is sent, for a response that is sent in one piece.
    pub fn finish(mut self) {
        self.end();
    }

    fn end(&mut self) {
        if let Some(run) = self.run.take() {
            self.control.send(Event::Ended(run));
        }
    }
}

impl Drop for RunGuard {
    fn drop(&mut self) {
        if let Some(run) = self.run.take() {
            self.control.send(Event::Cancelled(run));
        }
    }
}

/// Creates the response to a request. The run ends with the last chunk.
pub fn respond(
    request: &CompactString,
    options: ResponseOptions,
    guard: RunGuard,
) -> Response<Body> {
    let bytes = compose(request, options.size);
    let length = bytes.len();
    let chunk_size = if options.pace.is_zero() { CHUNK_SIZE } else { (length / 16).max(1) };
    let cut_at = options.cut_after.map(|size| size.min(length));
    let sender = Sender { bytes, sent: 0, cut_at, chunk_size, pace: options.pace, guard };
    let stream = stream::unfold(sender, |mut sender| async move {
        let frame = sender.next().await?;
        Some((frame, sender))
    });
    let mut response = Response::new(StreamBody::new(stream).boxed());
    response.headers_mut().insert(header::CONTENT_LENGTH, HeaderValue::from(length));
    let text = HeaderValue::from_static("application/octet-stream");
    response.headers_mut().insert(header::CONTENT_TYPE, text);
    response
}

/// The state of a body that is being sent.
struct Sender {
    bytes: Bytes,
    sent: usize,
    cut_at: Option<usize>,
    chunk_size: usize,
    pace: Duration,
    guard: RunGuard,
}

impl Sender {
    async fn next(&mut self) -> Option<Result<Frame<Bytes>, Aborted>> {
        if self.cut_at.is_some_and(|cut_at| self.sent >= cut_at) {
            // The pause lets the bytes before the cut leave the socket.
            tokio::time::sleep(Duration::from_millis(20)).await;
            return Some(Err(Aborted));
        }
        if self.sent == self.bytes.len() {
            return None;
        }
        if self.sent > 0 && !self.pace.is_zero() {
            tokio::time::sleep(self.pace).await;
        }
        let end = (self.sent + self.chunk_size).min(self.cut_at.unwrap_or(self.bytes.len()));
        let chunk = self.bytes.slice(self.sent..end);
        self.sent = end;
        if end == self.bytes.len() {
            self.guard.end();
        }
        Some(Ok(Frame::data(chunk)))
    }
}

/// The 64-bit FNV-1a hash.
fn checksum(bytes: &[u8]) -> u64 {
    let step = |hash: u64, byte: &u8| (hash ^ u64::from(*byte)).wrapping_mul(0x100_0000_01b3);
    bytes.iter().fold(0xcbf2_9ce4_8422_2325, step)
}

/// The byte at an index of the body, so that bodies of different requests differ.
fn filler_byte(seed: u64, index: usize) -> u8 {
    b'a' + ((seed >> (index % 8 * 8)) as usize).wrapping_add(index).wrapping_rem(26) as u8
}
