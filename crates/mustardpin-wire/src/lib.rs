//! Wire types between processes, with conversions from and to the world's types.
//!
//! Nothing here decides anything: bytes from outside become the world's types with `TryFrom`, and
//! the world's types become answers and messages with `From`.

pub mod admin;
pub mod answer;
pub mod config;
pub mod forward;
pub mod header;
pub mod peer;
pub mod platform;
pub mod refusal;
pub mod request;
pub mod scrub;
pub mod target;
