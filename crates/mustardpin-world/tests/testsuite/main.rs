//! Tests of the world's parts.

mod drain;
mod node;
mod rate_limit;
