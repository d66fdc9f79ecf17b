//! The node process as a library with a control thread, traffic, peers and administration.
//!
//! One thread owns the [`mustardpin_world::World`] and executes its commands through trait objects:
//! [`traffic::Traffic`], [`store::Store`], [`log::LogSink`] and [`clock::Clock`]. Everything that
//! waits for the network runs on other threads and sends events to the control thread through its
//! channel, in batches.

pub mod admin;
pub mod clock;
pub mod control;
pub mod launch;
pub mod log;
pub mod metrics;
mod node;
mod reload;
pub mod server;
pub mod store;
pub mod traffic;

pub use crate::{
    launch::Launch,
    node::{Error, Node, run},
};
