//! Tests of the virtual fleet.

mod bookings;
mod configuration;
mod faults;
mod home;
mod membership;
mod once;
mod path;
mod quarantine;
mod rating;
mod scenario;
mod schedule;
mod support;
