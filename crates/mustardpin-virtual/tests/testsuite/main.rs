//! Tests of the virtual fleet.

mod bookings;
mod home;
mod once;
mod path;
mod schedule;
