//! Tests of the virtual fleet.

mod membership;
mod overload;
mod path;
mod rating;
mod retry;
mod routing;
mod shedding;
mod support;
