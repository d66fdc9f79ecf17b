//! Tests of the world's parts.

mod share;
