//! Wire types between processes, with conversions from and to the world's types.
//!
//! Nothing here decides anything: bytes from outside become the world's types with `TryFrom`, and
//! the world's types become answers and messages with `From`. What callers and targets say in HTTP
//! fields is read and written by a [`dialect::Dialect`]; [`native::Native`] is the project's own.

pub mod admin;
pub mod config;
pub mod dialect;
pub mod fingerprint;
pub mod frame;
pub mod header;
pub mod message;
pub mod native;
pub mod refusal;
pub mod scrub;
pub mod store;
pub mod target;
