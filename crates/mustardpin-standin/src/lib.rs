//! Stand-ins for the platform's store, the targets and the callers, for tests and measurements.
//!
//! Each program keeps its state in tables that one control thread owns ([`control`]). Traffic tasks
//! send it events and wait for its replies.

pub mod arguments;
pub mod control;
pub mod http;
pub mod load;
pub mod platform;
pub mod target;
