//! Drives several worlds in one thread over virtual time, with fakes at their interfaces.
//!
//! A [`Fleet`] holds worlds, a fake platform, a fake target behind each node and a network between
//! them. The same seed and the same calls give the same history. Checks use the history of what
//! targets ran and what callers received, not the internal state of a world.

pub mod experiment;
mod fleet;
mod network;
mod platform;
mod size;
mod target;

pub use crate::{
    fleet::{Fleet, Received, Request, Site},
    network::{Delay, Network},
    platform::{Platform, PlatformMode, Snapshot},
    target::{COLD_START_FACTOR, Reports, RunRecord, Service, Target},
};
