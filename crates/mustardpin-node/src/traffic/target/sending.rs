//! Sends a streamed request body.

use mustardpin_http::write;

use crate::traffic::body::Piece;

/// The part of a streamed request body that is being sent.
pub(super) struct Sending {
    /// The current piece as it is written to the connection.
    pub(super) chunk: Vec<u8>,
    /// The number of bytes of `chunk` that were written.
    pub(super) sent: usize,
    is_chunked: bool,
    /// Whether the last piece was loaded into `chunk`.
    pub(super) is_done: bool,
}

impl Sending {
    /// A body of which nothing was sent, or none at all if `is_done`.
    pub(super) fn new(is_chunked: bool, is_done: bool) -> Sending {
        Sending { chunk: Vec::new(), sent: 0, is_chunked, is_done }
    }

    /// Replaces the current piece, which has been sent.
    pub(super) fn load(&mut self, piece: Piece) {
        self.chunk.clear();
        self.sent = 0;
        match piece {
            Piece::Data(bytes) if !self.is_chunked => self.chunk.extend_from_slice(&bytes),
            Piece::Data(bytes) => {
                write::chunk_size(&mut self.chunk, bytes.len());
                self.chunk.extend_from_slice(&bytes);
                self.chunk.extend_from_slice(b"\r\n");
            }
            Piece::End(trailers) => {
                if self.is_chunked {
                    write::last_chunk(&mut self.chunk, &trailers);
                }
                self.is_done = true;
            }
        }
    }

    /// Whether the whole body was written.
    pub(super) fn is_done(&self) -> bool {
        self.is_done && self.sent >= self.chunk.len()
    }
}
