//! Tests of the stand-ins.

mod load;
