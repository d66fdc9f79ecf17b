//! Tests of the virtual fleet.

mod path;
mod rating;
mod support;
