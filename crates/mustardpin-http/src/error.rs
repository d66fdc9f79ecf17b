//! What is wrong with a message.

use derive_more::{Display, Error, From};

/// Why a message cannot be read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Display, Error, From)]
pub enum Error {
    /// A line does not follow the grammar.
    #[display("a line of the head does not follow the grammar")]
    Syntax(httparse::Error),
    /// The head is larger than the limit, or has too many fields.
    #[display("the head is too large")]
    HeadTooLarge,
    /// The protocol version is not HTTP/1.0 or HTTP/1.1.
    #[display("the protocol version is not HTTP/1.0 or HTTP/1.1")]
    Version,
    /// The fields do not say unambiguously where the body ends.
    #[display("it is ambiguous where the body ends: {_0}")]
    #[from(skip)]
    Framing(#[error(not(source))] &'static str),
    /// A chunk of the body does not follow the grammar.
    #[display("a chunk of the body does not follow the grammar")]
    #[from(skip)]
    Chunk,
    /// The connection ended inside a message.
    #[display("the connection ended inside a message")]
    Truncated,
}
