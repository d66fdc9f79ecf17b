//! Tests of the stand-ins.

mod load;
mod platform;
