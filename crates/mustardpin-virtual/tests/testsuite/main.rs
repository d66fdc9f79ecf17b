//! Tests of the virtual fleet.

mod configuration;
mod faults;
mod membership;
mod path;
mod rating;
mod scenario;
mod support;
