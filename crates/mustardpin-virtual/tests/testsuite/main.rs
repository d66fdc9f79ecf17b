//! Tests of the virtual fleet.

mod configuration;
mod drain;
mod epoch;
mod faults;
mod freshness;
mod membership;
mod path;
mod rating;
mod scenario;
mod support;
