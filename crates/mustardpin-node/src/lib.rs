//! The node process as a library with a control thread, traffic, peers and administration.

pub mod admin;
