//! Answers that prove themselves whole and their caller's own.
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
    http::{Body, Cut},
    platform::handler::query,
    target::run::{Event, RunKey},
};

/// Bytes sent at once.
const CHUNK_SIZE: usize = 16 << 10;

/// The largest body, in bytes.
const SIZE_LIMIT: usize = 256 << 20;

/// What an answer looks like.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Form {
    /// The size of the body after its first line, in bytes.
    pub size: usize,
    /// The pause between chunks; the body then has at least 16 chunks.
    pub pace: Duration,
    /// The connection is closed after about this many bytes.
    pub cut_after: Option<usize>,
}

impl Form {
    /// Reads `bytes`, `pace-ms` and `cut-after` from a query.
    ///
    /// ```
    /// use mustardpin_standin::target::response_body::Form;
    /// assert_eq!(Form::from_query(Some("bytes=9")).size, 9);
    /// ```
    pub fn from_query(text: Option<&str>) -> Form {
        let number = |name| query(text, name).and_then(|value| value.parse::<usize>().ok());
        Form {
            size: number("bytes").unwrap_or(0).min(SIZE_LIMIT),
            pace: Duration::from_millis(number("pace-ms").unwrap_or(0) as u64),
            cut_after: number("cut-after"),
        }
    }
}

/// What is wrong with a body that looks complete.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Error)]
pub enum Flaw {
    /// It has no first line.
    #[display("not an answer of a target")]
    Foreign,
    /// It answers another request.
    #[display("the answer to another request")]
    Mixed,
    /// It is shorter or longer than it says.
    #[display("not the size that it says")]
    Size,
    /// Its checksum is another one.
    #[display("not the checksum that it says")]
    Checksum,
}

/// The whole body of an answer to a request.
///
/// ```
/// use mustardpin_standin::target::response_body::{Flaw, check, compose};
///
/// let body = compose("r-1", 1_000);
/// assert_eq!(check(&body, "r-1"), Ok(()));
/// assert_eq!(check(&body, "r-2"), Err(Flaw::Mixed));
/// assert_eq!(check(&body[..900], "r-1"), Err(Flaw::Size));
/// ```
pub fn compose(request: &str, size: usize) -> Bytes {
    let seed = checksum(request.as_bytes());
    let filler: Vec<u8> = (0..size).map(|index| fill(seed, index)).collect();
    let mut body = format!("request={request} bytes={size} checksum={:016x}\n", checksum(&filler))
        .into_bytes();
    body.extend(filler);
    Bytes::from(body)
}

/// Checks that a body is whole and answers this request.
///
/// ```
/// use mustardpin_standin::target::response_body::{Flaw, check};
/// assert_eq!(check(b"hello", "r-1"), Err(Flaw::Foreign));
/// ```
pub fn check(body: &[u8], request: &str) -> Result<(), Flaw> {
    let end = body.iter().position(|&byte| byte == b'\n').ok_or(Flaw::Foreign)?;
    let line = std::str::from_utf8(&body[..end]).map_err(|_| Flaw::Foreign)?;
    let rest = line.strip_prefix("request=").ok_or(Flaw::Foreign)?;
    let (found, rest) = rest.split_once(" bytes=").ok_or(Flaw::Foreign)?;
    let (size, digits) = rest.split_once(" checksum=").ok_or(Flaw::Foreign)?;
    if found != request {
        return Err(Flaw::Mixed);
    }
    let filler = &body[end + 1..];
    if size.parse() != Ok(filler.len()) {
        return Err(Flaw::Size);
    }
    if u64::from_str_radix(digits, 16) != Ok(checksum(filler)) {
        return Err(Flaw::Checksum);
    }
    Ok(())
}

/// Frees the slot of a run when its answer was sent or its caller went away.
#[derive(Debug)]
pub struct Running {
    control: Handle<Event>,
    run: Option<RunKey>,
}

impl Running {
    /// A run that has just got its slot.
    pub fn new(control: Handle<Event>, run: RunKey) -> Running {
        Running { control, run: Some(run) }
    }

    /// The run has ended with an answer that is sent at once.
    pub fn finish(mut self) {
        self.end();
    }

    fn end(&mut self) {
        if let Some(run) = self.run.take() {
            self.control.send(Event::Ended(run));
        }
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        if let Some(run) = self.run.take() {
            self.control.send(Event::Cancelled(run));
        }
    }
}

/// The answer to a request. The run ends with the last chunk.
pub fn respond(request: &CompactString, form: Form, running: Running) -> Response<Body> {
    let bytes = compose(request, form.size);
    let length = bytes.len();
    let chunk_size = if form.pace.is_zero() { CHUNK_SIZE } else { (length / 16).max(1) };
    let cut_at = form.cut_after.map(|size| size.min(length));
    let sender = Sender { bytes, sent: 0, cut_at, chunk_size, pace: form.pace, running };
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

/// A body on its way out.
struct Sender {
    bytes: Bytes,
    sent: usize,
    cut_at: Option<usize>,
    chunk_size: usize,
    pace: Duration,
    running: Running,
}

impl Sender {
    async fn next(&mut self) -> Option<Result<Frame<Bytes>, Cut>> {
        if self.cut_at.is_some_and(|cut_at| self.sent >= cut_at) {
            // Lets the bytes before the cut leave the socket first.
            tokio::time::sleep(Duration::from_millis(20)).await;
            return Some(Err(Cut));
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
            self.running.end();
        }
        Some(Ok(Frame::data(chunk)))
    }
}

/// FNV-1a, 64 bits.
fn checksum(bytes: &[u8]) -> u64 {
    let step = |hash: u64, byte: &u8| (hash ^ u64::from(*byte)).wrapping_mul(0x100_0000_01b3);
    bytes.iter().fold(0xcbf2_9ce4_8422_2325, step)
}

fn fill(seed: u64, index: usize) -> u8 {
    b'a' + ((seed >> (index % 8 * 8)) as usize).wrapping_add(index).wrapping_rem(26) as u8
}
