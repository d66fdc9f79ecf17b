//! HTTP/1.1 messages: heads and bodies read from and written to byte buffers.
//!
//! The crate does no I/O. A connection reads bytes into a buffer, takes a [`head::Request`] or a
//! [`head::Response`] from its front, determines the body's [`framing::Framing`] from the headers,
//! and decodes the pieces of the [`body::Body`]. Lines are parsed by `httparse`. Ambiguous messages
//! are refused: two parsers that disagree on where a message ends allow request smuggling.

pub mod body;
pub mod error;
pub mod framing;
pub mod head;
pub mod headers;
pub mod status;
pub mod write;

pub use crate::{error::Error, headers::Headers};
