//! Types of the wire formats between processes, and conversions between them and the world's types.
//!
//! This crate makes no decisions. Data from outside is converted to the world's types by `TryFrom`,
//! and the world's types to responses and messages by `From`. A [`dialect::Dialect`] reads and
//! writes the HTTP headers of callers and targets; [`native::Native`] is the project's own dialect.

pub mod admin;
pub mod config;
pub mod dialect;
pub mod fingerprint;
pub mod frame;
pub mod header;
pub mod message;
pub mod native;
pub mod notice;
pub mod refusal;
pub mod scrub;
pub mod store;
pub mod target;
