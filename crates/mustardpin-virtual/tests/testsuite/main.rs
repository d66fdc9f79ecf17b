//! Tests of the virtual fleet.

mod configuration;
mod drain;
mod epoch;
mod faults;
mod freshness;
mod membership;
mod overload;
mod path;
mod rating;
mod retry;
mod routing;
mod scenario;
mod shedding;
mod support;
