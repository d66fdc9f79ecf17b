//! Tests of the virtual fleet.

mod path;
