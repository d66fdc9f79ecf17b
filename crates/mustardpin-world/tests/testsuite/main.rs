//! Tests of the world's parts.

mod rate_limit;
