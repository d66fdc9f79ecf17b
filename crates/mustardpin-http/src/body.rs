//! Bodies, read piece by piece.

use bytes::{Bytes, BytesMut};

use crate::{error::Error, framing::Framing, headers::Headers};

/// The longest line with the size of a chunk, in bytes, with its extensions.
const MAX_SIZE_LINE: usize = 256;
/// The most bytes of trailers.
const MAX_TRAILERS: usize = 8 * 1024;
/// The most fields among them.
const MAX_TRAILER_FIELDS: usize = 32;

/// What a body gives next.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Piece {
    /// Bytes of the body.
    Data(Bytes),
    /// More has to be read first.
    Pending,
    /// The body is complete, and these fields follow it.
    Trailers(Box<Headers>),
    /// The body is complete.
    End,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    /// So many bytes are left of the body.
    Length(u64),
    ChunkSize,
    /// So many bytes are left of the chunk.
    ChunkData(u64),
    /// The line end after a chunk.
    ChunkEnd,
    /// After the last chunk.
    Trailers,
    UntilClose,
    End,
}

/// The body of a message that is being read.
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
    /// Takes the next piece off the front of a buffer.
    ///
    /// # Errors
    ///
    /// If a chunk is malformed.
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

    /// Whether the body is complete now that the connection has ended.
    ///
    /// # Errors
    ///
    /// If something is missing.
    pub fn end_of_stream(&self) -> Result<(), Error> {
        match self.state {
            State::End | State::UntilClose => Ok(()),
            _ => Err(Error::Truncated),
        }
    }

    /// Whether the body is complete.
    pub fn is_complete(&self) -> bool {
        self.state == State::End
    }
}

/// Takes up to `left` bytes. Returns them and what is left after them.
fn split(buffer: &mut BytesMut, left: u64) -> (Bytes, u64) {
    let length = left.min(buffer.len() as u64);
    (buffer.split_to(length as usize).freeze(), left - length)
}

/// Takes the line with a chunk's size, if it is there in full.
fn chunk_size(buffer: &mut BytesMut) -> Result<Option<u64>, Error> {
    match httparse::parse_chunk_size(buffer) {
        Ok(httparse::Status::Complete((length, size))) => {
            let _ = buffer.split_to(length);
            Ok(Some(size))
        }
        Ok(httparse::Status::Partial) if buffer.len() <= MAX_SIZE_LINE => Ok(None),
        _ => Err(Error::Chunk),
    }
}

/// Takes the fields after the last chunk, if they are there in full.
fn trailers(buffer: &mut BytesMut) -> Result<Option<Headers>, Error> {
    let mut fields = [httparse::EMPTY_HEADER; MAX_TRAILER_FIELDS];
    match httparse::parse_headers(buffer, &mut fields) {
        Ok(httparse::Status::Complete((length, parsed))) if length <= MAX_TRAILERS => {
            let fields = parsed.iter().map(|field| (field.name, field.value));
            let trailers = fields.collect();
            let _ = buffer.split_to(length);
            Ok(Some(trailers))
        }
        Ok(httparse::Status::Partial) if buffer.len() <= MAX_TRAILERS => Ok(None),
        _ => Err(Error::Chunk),
    }
}
