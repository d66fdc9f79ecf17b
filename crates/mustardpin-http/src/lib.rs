//! HTTP/1.1 messages: heads and bodies read from and written to byte buffers.
//!
//! The crate does no I/O. A connection reads bytes into a buffer, takes a [`head::Request`] or a
//! [`head::Response`] off its front, and then the pieces of the [`body::Body`] that the head's
//! [`framing::Framing`] announces. Lines are parsed by `httparse`; what is ambiguous is refused
//! rather than guessed, since two readers that disagree on where a message ends let one request
//! hide inside another.

pub mod body;
pub mod error;
pub mod framing;
pub mod head;
pub mod headers;
pub mod write;

pub use crate::{error::Error, headers::Headers};
