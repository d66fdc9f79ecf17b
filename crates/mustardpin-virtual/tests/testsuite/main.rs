//! Tests of the virtual fleet.

mod configuration;
mod faults;
mod membership;
mod overload;
mod path;
mod rating;
mod retry;
mod routing;
mod scenario;
mod shedding;
mod support;
