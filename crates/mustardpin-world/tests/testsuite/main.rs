//! Tests of the world's parts.

mod drain;
mod fleet;
mod node;
mod rate_limit;
