//! Small stand-ins for the platform, the targets and the callers.
//!
//! Each program keeps its state in tables that one control thread owns ([`control`]); traffic
//! tasks send it events and wait for replies.

pub mod arguments;
pub mod control;
pub mod http;
pub mod load;
pub mod platform;
pub mod target;
