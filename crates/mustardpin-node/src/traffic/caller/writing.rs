//! Writes the responses of a connection.

use std::io;

use bytes::Bytes;
use mustardpin_http::write;
use tokio::net::tcp::WriteHalf;

use crate::traffic::{
    body::{Body, Piece, Stream},
    caller::ResponseOptions,
    response::CallerResponse,
};

/// A body that is still being received.
struct StreamedBody {
    pieces: Stream,
    is_chunked: bool,
    /// Whether the end of the connection is the end of the body.
    ends_by_close: bool,
}

/// The writing side of a connection.
#[derive(Default)]
pub(super) struct Writing {
    out: Vec<u8>,
    written: usize,
    /// A large body that is written after `out`, in parts, so that it need not be copied as a
    /// whole.
    body: Bytes,
    streamed: Option<StreamedBody>,
    is_blocked: bool,
    is_truncated: bool,
    must_reset: bool,
}

/// No response is started while as many bytes as this wait for the socket.
const MAX_JOINED_BYTES: usize = 64 * 1024;
/// The maximum size in bytes of a body that is written together with its head.
const MAX_JOINED_BODY_BYTES: usize = 16 * 1024;

impl Writing {
    /// Starts a response. Returns whether the connection closes after it.
    pub(super) fn start_response(
        &mut self,
        response: CallerResponse,
        options: ResponseOptions,
        closes: bool,
    ) -> bool {
        let CallerResponse { status, header_lines, body } = response;
        let ResponseOptions { accepts_chunked, has_body, .. } = options;
        let has_no_end = matches!(&body, Body::Stream(pieces) if pieces.length.is_none());
        let ends_by_close = has_no_end && !accepts_chunked && has_body;
        let closes = closes || ends_by_close;
        write::status_line(&mut self.out, status);
        self.out.extend_from_slice(&header_lines);
        if closes {
            write::header(&mut self.out, "connection", b"close");
        }
        match body {
            Body::Empty => self.out.extend_from_slice(b"\r\n"),
            Body::Complete(bytes) => {
                write::numeric_header(&mut self.out, "content-length", bytes.len() as u64);
                self.out.extend_from_slice(b"\r\n");
                if !has_body {
                    return closes;
                }
                if bytes.len() <= MAX_JOINED_BODY_BYTES {
                    self.out.extend_from_slice(&bytes);
                } else {
                    self.body = bytes;
                }
            }
            Body::Stream(pieces) => {
                let is_chunked = pieces.length.is_none() && accepts_chunked;
                if let Some(length) = pieces.length {
                    write::numeric_header(&mut self.out, "content-length", length);
                } else if is_chunked {
                    write::header(&mut self.out, "transfer-encoding", b"chunked");
                }
                self.out.extend_from_slice(b"\r\n");
                if has_body {
                    self.streamed = Some(StreamedBody { pieces, is_chunked, ends_by_close });
                }
            }
        }
        closes
    }

    /// Sends `100 Continue`.
    pub(super) fn send_continue(&mut self) {
        write::status_line(&mut self.out, 100);
        self.out.extend_from_slice(b"\r\n");
    }

    /// Whether the last response has been queued completely.
    pub(super) fn is_idle(&self) -> bool {
        self.streamed.is_none() && self.body.is_empty()
    }

    /// Whether the next response can start. Small ones are written together.
    pub(super) fn may_start(&self) -> bool {
        self.is_idle() && self.out.len() - self.written < MAX_JOINED_BYTES
    }

    /// Whether the socket's send buffer is full.
    pub(super) fn is_blocked(&self) -> bool {
        self.is_blocked
    }

    /// Whether a response was truncated, so that the connection must be closed.
    pub(super) fn is_truncated(&self) -> bool {
        self.is_truncated
    }

    /// Whether the connection must be reset, since the caller would take its regular end for the
    /// end of a truncated response.
    pub(super) fn must_reset(&self) -> bool {
        self.must_reset
    }

    /// Whether the writer is ready for the next piece of a body.
    pub(super) fn awaits_piece(&self) -> bool {
        self.streamed.is_some() && !self.is_blocked
    }

    /// Truncates the response. The connection is closed, so that the caller notices.
    pub(super) fn truncate(&mut self) {
        self.must_reset = self.streamed.take().is_some_and(|streamed| streamed.ends_by_close);
        self.is_truncated = true;
    }

    /// Discards all that is still to be written. The connection must be reset.
    pub(super) fn discard(&mut self) {
        self.truncate();
        self.must_reset = true;
        self.out.clear();
        self.written = 0;
        self.body = Bytes::new();
    }

    /// Queues the next piece of a streamed body.
    pub(super) async fn advance(&mut self) {
        let Some(streamed) = &mut self.streamed else { return };
        match streamed.pieces.next().await {
            Some(Piece::Data(bytes)) if streamed.is_chunked => {
                write::chunk_size(&mut self.out, bytes.len());
                self.out.extend_from_slice(&bytes);
                self.out.extend_from_slice(b"\r\n");
            }
            Some(Piece::Data(bytes)) => self.out.extend_from_slice(&bytes),
            Some(Piece::End(trailers)) => {
                if streamed.is_chunked {
                    write::last_chunk(&mut self.out, &trailers);
                }
                self.streamed = None;
            }
            None => self.truncate(),
        }
    }

    /// Writes as much as the socket accepts. Returns whether everything was written.
    pub(super) fn write(&mut self, writer: &mut WriteHalf<'_>) -> io::Result<bool> {
        self.is_blocked = false;
        loop {
            if self.written == self.out.len() {
                self.out.clear();
                self.written = 0;
                if self.body.is_empty() {
                    return Ok(true);
                }
                let count = self.body.len().min(4 * MAX_JOINED_BODY_BYTES);
                let part = self.body.split_to(count);
                self.out.extend_from_slice(&part);
            }
            match writer.try_write(&self.out[self.written..]) {
                Ok(count) => self.written += count,
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
                    self.is_blocked = true;
                    return Ok(false);
                }
                Err(error) => return Err(error),
            }
        }
    }
}
