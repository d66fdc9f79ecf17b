//! The answers of a connection as they are written.

use std::io;

use bytes::Bytes;
use mustardpin_http::write;
use tokio::net::tcp::WriteHalf;

use crate::traffic::{
    answer::Answer,
    body::{Body, Piece, Stream},
};

/// A body that is still coming.
struct Coming {
    rest: Stream,
    in_chunks: bool,
}

/// What is being written.
#[derive(Default)]
pub(super) struct Writing {
    out: Vec<u8>,
    written: usize,
    /// A large body that follows `out`, so that it need not be copied.
    body: Bytes,
    coming: Option<Coming>,
    is_blocked: bool,
    is_broken: bool,
}

/// Bodies up to this size are written together with their heads.
const JOINED_BYTES: usize = 16 * 1024;

impl Writing {
    /// Begins an answer. Returns whether the connection closes after it.
    pub(super) fn start(&mut self, answer: Answer, takes_chunks: bool, closes: bool) -> bool {
        let Answer { status, fields, body } = answer;
        let has_no_end =
            matches!(&body, Body::Stream(rest) if rest.length.is_none()) && !takes_chunks;
        let closes = closes || has_no_end;
        write::status_line(&mut self.out, status);
        self.out.extend_from_slice(&fields);
        if closes {
            write::header(&mut self.out, "connection", b"close");
        }
        match body {
            Body::Empty => self.out.extend_from_slice(b"\r\n"),
            Body::Whole(bytes) => {
                write::numeric_header(&mut self.out, "content-length", bytes.len() as u64);
                self.out.extend_from_slice(b"\r\n");
                if bytes.len() <= JOINED_BYTES {
                    self.out.extend_from_slice(&bytes);
                } else {
                    self.body = bytes;
                }
            }
            Body::Stream(rest) => {
                let in_chunks = rest.length.is_none() && takes_chunks;
                if let Some(length) = rest.length {
                    write::numeric_header(&mut self.out, "content-length", length);
                } else if in_chunks {
                    write::header(&mut self.out, "transfer-encoding", b"chunked");
                }
                self.out.extend_from_slice(b"\r\n");
                self.coming = Some(Coming { rest, in_chunks });
            }
        }
        closes
    }

    /// Tells the caller that the body of its request may come.
    pub(super) fn invite(&mut self) {
        write::status_line(&mut self.out, 100);
        self.out.extend_from_slice(b"\r\n");
    }

    /// Whether the answer that was begun has been handed over, so that the next can begin.
    pub(super) fn is_idle(&self) -> bool {
        self.coming.is_none() && self.body.is_empty()
    }

    /// Whether the connection takes nothing more at present.
    pub(super) fn is_blocked(&self) -> bool {
        self.is_blocked
    }

    /// Whether an answer was broken off, so that the connection has to end.
    pub(super) fn is_broken(&self) -> bool {
        self.is_broken
    }

    /// Whether the next piece of a body is due.
    pub(super) fn awaits_piece(&self) -> bool {
        self.coming.is_some() && !self.is_blocked
    }

    /// Breaks the answer off, so that the caller sees that it is not whole.
    pub(super) fn break_off(&mut self) {
        self.coming = None;
        self.is_broken = true;
    }

    /// Takes the next piece of a body in.
    pub(super) async fn advance(&mut self) {
        let Some(coming) = &mut self.coming else { return };
        match coming.rest.next().await {
            Some(Piece::Data(bytes)) if coming.in_chunks => {
                write::chunk_size(&mut self.out, bytes.len());
                self.out.extend_from_slice(&bytes);
                self.out.extend_from_slice(b"\r\n");
            }
            Some(Piece::Data(bytes)) => self.out.extend_from_slice(&bytes),
            Some(Piece::End(trailers)) => {
                if coming.in_chunks {
                    write::last_chunk(&mut self.out, &trailers);
                }
                self.coming = None;
            }
            None => self.break_off(),
        }
    }

    /// Writes as much as the connection takes. Returns whether that was all there is.
    pub(super) fn write(&mut self, writer: &mut WriteHalf<'_>) -> io::Result<bool> {
        self.is_blocked = false;
        loop {
            if self.written == self.out.len() {
                self.out.clear();
                self.written = 0;
                if self.body.is_empty() {
                    return Ok(true);
                }
                let count = self.body.len().min(4 * JOINED_BYTES);
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
