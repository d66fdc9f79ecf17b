//! Tests of the virtual fleet.

mod membership;
mod path;
mod rating;
mod support;
