//! Tests of the world's parts.

mod clearance;
mod disconnect;
mod drain;
mod extreme;
mod fleet;
mod node;
mod rate_limit;
