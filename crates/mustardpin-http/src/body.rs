//! Incremental decoding of message bodies.

use bytes::{Bytes, BytesMut};

use crate::{
    error::Error,
    framing::Framing,
    headers::{self, Headers},
};

/// The longest chunk-size line, in bytes, including chunk extensions.
const MAX_CHUNK_SIZE_LINE_BYTES: usize = 256;
/// The largest trailer section, in bytes.
const MAX_TRAILERS_BYTES: usize = 8 * 1024;
/// The largest number of trailers.
const MAX_TRAILER_COUNT: usize = 32;

/// The result of decoding the next part of a body.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Piece {
    /// Bytes of the body, without chunk framing.
    Data(Bytes),
    /// More input is needed.
    Pending,
    /// The body is complete and is followed by these trailers.
    Trailers(Box<Headers>),
    /// The body is complete.
    End,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    /// The bytes left of a body with a content length.
    Length(u64),
    /// Before a chunk-size line.
    ChunkSize,
    /// The bytes left of the current chunk.
    ChunkData(u64),
    /// Before the line break that ends a chunk's data.
    ChunkEnd,
    /// After the last chunk.
    Trailers,
    /// The body ends when the connection is closed.
    UntilClose,
    End,
}

/// A decoder for the body of one message.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Body {
    state: State,
}

impl From<Framing> for Body {
    fn from(framing: Framing) -> Body {
        let state = match framing {
            Framing::Empty | Framing::Length(0) => State::End,
            Framing::Length(length) => State::Length(length),
            Framing::Chunked => State::ChunkSize,
            Framing::UntilClose => State::UntilClose,
        };
        Body { state }
    }
}

impl Body {
    /// Removes the next piece from the front of a buffer.
    ///
    /// # Errors
    ///
    /// If a chunk or the trailer section is malformed.
    ///
    /// ```
    /// use bytes::BytesMut;
    /// use mustardpin_http::{body::{Body, Piece}, framing::Framing};
    ///
    /// let mut body = Body::from(Framing::Chunked);
    /// let mut buffer = BytesMut::from("3\r\nabc\r\n0\r\n\r\nnext");
    /// assert_eq!(body.take(&mut buffer), Ok(Piece::Data("abc".into())));
    /// assert_eq!(body.take(&mut buffer), Ok(Piece::End));
    /// assert_eq!(&buffer[..], b"next");
    /// ```
    pub fn take(&mut self, buffer: &mut BytesMut) -> Result<Piece, Error> {
        loop {
            match self.state {
                State::End => return Ok(Piece::End),
                _ if buffer.is_empty() => return Ok(Piece::Pending),
                State::UntilClose => return Ok(Piece::Data(buffer.split().freeze())),
                State::Length(left) => {
                    let (data, left) = split(buffer, left);
                    self.state = if left == 0 { State::End } else { State::Length(left) };
                    return Ok(Piece::Data(data));
                }
                State::ChunkData(left) => {
                    let (data, left) = split(buffer, left);
                    self.state = if left == 0 { State::ChunkEnd } else { State::ChunkData(left) };
                    return Ok(Piece::Data(data));
                }
                State::ChunkSize => match chunk_size(buffer)? {
                    None => return Ok(Piece::Pending),
                    Some(0) => self.state = State::Trailers,
                    Some(size) => self.state = State::ChunkData(size),
                },
                State::ChunkEnd => {
                    if buffer.len() < 2 {
                        return Ok(Piece::Pending);
                    }
                    if buffer.split_to(2) != b"\r\n"[..] {
                        return Err(Error::Chunk);
                    }
                    self.state = State::ChunkSize;
                }
                State::Trailers => {
                    let Some(trailers) = trailers(buffer)? else { return Ok(Piece::Pending) };
                    self.state = State::End;
                    if !trailers.is_empty() {
                        return Ok(Piece::Trailers(trailers.into()));
                    }
                }
            }
        }
    }

    /// Checks that the body is complete after the connection was closed.
    ///
    /// # Errors
    ///
    /// If the body is truncated.
    pub fn end_of_stream(&self) -> Result<(), Error> {
        match self.state {
            State::End | State::UntilClose => Ok(()),
            _ => Err(Error::Truncated),
        }
    }

    /// Whether the whole body has been decoded.
    pub fn is_complete(&self) -> bool {
        self.state == State::End
    }
}

/// Removes up to `left` bytes from the buffer. Returns them and the number of bytes still left.
fn split(buffer: &mut BytesMut, left: u64) -> (Bytes, u64) {
    let length = left.min(buffer.len() as u64);
    (buffer.split_to(length as usize).freeze(), left - length)
}

/// Removes a chunk-size line from the buffer. Returns `None` if the line is incomplete.
fn chunk_size(buffer: &mut BytesMut) -> Result<Option<u64>, Error> {
    // `httparse` takes a line without digits for the size zero, which would end the body.
    if buffer.first().is_some_and(|byte| !byte.is_ascii_hexdigit()) {
        return Err(Error::Chunk);
    }
    match httparse::parse_chunk_size(buffer) {
        Ok(httparse::Status::Complete((length, size))) => {
            let line = buffer.split_to(length);
            // `httparse` skips extensions, in which other parsers take an LF for the end of the line.
            let extensions = line.strip_suffix(b"\r\n").unwrap_or(&line);
            if extensions.iter().any(|&byte| byte.is_ascii_control() && byte != b'\t') {
                return Err(Error::Chunk);
            }
            Ok(Some(size))
        }
        Ok(httparse::Status::Partial) if buffer.len() <= MAX_CHUNK_SIZE_LINE_BYTES => Ok(None),
        _ => Err(Error::Chunk),
    }
}

/// Removes the trailer section from the buffer. Returns `None` if the section is incomplete.
fn trailers(buffer: &mut BytesMut) -> Result<Option<Headers>, Error> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_TRAILER_COUNT];
    match httparse::parse_headers(buffer, &mut headers) {
        Ok(httparse::Status::Complete((length, parsed))) if length <= MAX_TRAILERS_BYTES => {
            // At the start of a name, an LF alone would end the section before its last line.
            if headers::has_bare_line_feed(&buffer[..length]) {
                return Err(Error::LineEnd);
            }
            let headers = parsed.iter().map(|header| (header.name, header.value));
            let trailers = headers.collect();
            let _ = buffer.split_to(length);
            Ok(Some(trailers))
        }
        Ok(httparse::Status::Partial) if buffer.len() <= MAX_TRAILERS_BYTES => Ok(None),
        _ => Err(Error::Chunk),
    }
}

/// The part of a body that has been received. Its pieces are joined as they arrive, so that many
/// small ones take no more memory than twice their bytes.
#[derive(Debug, Default)]
pub struct Buffer {
    /// The only piece so far, which is not copied.
    first: Bytes,
    joined: BytesMut,
    /// The length of the whole body, if it is known.
    expected: usize,
}

impl Buffer {
    /// An empty buffer for a body of this length, which then takes no more memory than its bytes.
    pub fn with_length(length: usize) -> Buffer {
        Buffer { expected: length, ..Buffer::default() }
    }

    /// Appends a piece.
    ///
    /// ```
    /// use bytes::Bytes;
    /// use mustardpin_http::body::Buffer;
    ///
    /// let mut buffer = Buffer::default();
    /// buffer.push("ab".into());
    /// buffer.push("c".into());
    /// assert_eq!(Bytes::from(buffer), "abc");
    /// ```
    pub fn push(&mut self, piece: Bytes) {
        if self.is_empty() {
            self.first = piece;
            return;
        }
        if !self.first.is_empty() {
            let first = std::mem::take(&mut self.first);
            self.joined.reserve(self.expected.max(first.len() + piece.len()));
            self.joined.extend_from_slice(&first);
        }
        self.joined.extend_from_slice(&piece);
    }

    /// The length of the part in bytes.
    pub fn len(&self) -> usize {
        self.first.len() + self.joined.len()
    }

    /// Whether there are no bytes.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// The memory that the part takes, in bytes.
    pub fn capacity(&self) -> usize {
        self.first.len() + self.joined.capacity()
    }
}

impl From<Buffer> for Bytes {
    fn from(buffer: Buffer) -> Bytes {
        match buffer.joined.is_empty() {
            true => buffer.first,
            false => buffer.joined.freeze(),
        }
    }
}
