//! Tests of fleets of nodes in virtual time.

mod bookings;
mod configuration;
mod disconnect;
mod drain;
mod faults;
mod freshness;
mod growth;
mod leaving;
mod membership;
mod once;
mod overload;
mod pacing;
mod path;
mod quarantine;
mod rate_limit;
mod report;
mod restore;
mod retry;
mod roster;
mod routing;
mod scenario;
mod schedule;
mod shedding;
mod statements;
mod stop;
mod support;
