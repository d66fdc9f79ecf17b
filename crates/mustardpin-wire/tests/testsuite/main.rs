//! Tests of the wire types: round trips, and decoders of untrusted input.

mod decode;
mod frame;
mod message;
mod refusal;
mod store;
