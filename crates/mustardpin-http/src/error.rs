//! Errors of parsing a message.

use derive_more::{Display, Error, From};

/// Why a message cannot be parsed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Display, Error, From)]
pub enum Error {
    /// A line of the head is malformed.
    #[display("a line of the head does not follow the grammar")]
    Syntax(httparse::Error),
    /// The head is larger than the limit, or has more than [`crate::head::MAX_HEADERS`] headers.
    #[display("the head is too large")]
    HeadTooLarge,
    /// The protocol version is neither HTTP/1.0 nor HTTP/1.1.
    #[display("the protocol version is not HTTP/1.0 or HTTP/1.1")]
    Version,
    /// The status code is not in [`crate::status::VALID`], or not in [`crate::status::FINAL`] where
    /// only a final response is expected.
    #[display("the status code {_0:03} is not valid")]
    #[from(skip)]
    Status(#[error(not(source))] u16),
    /// A line of a head or of a trailer section ends with LF instead of CRLF.
    #[display("a line ends with LF instead of CRLF")]
    LineEnd,
    /// The headers do not define the end of the body unambiguously.
    #[display("it is ambiguous where the body ends: {_0}")]
    #[from(skip)]
    Framing(#[error(not(source))] &'static str),
    /// A chunk or the trailer section is malformed.
    #[display("a chunk of the body does not follow the grammar")]
    #[from(skip)]
    Chunk,
    /// The connection was closed before the end of a message.
    #[display("the connection ended inside a message")]
    Truncated,
}
