//! Decisions of one node: tables of entities, and the systems that run over them each tick.
//!
//! The crate does no I/O. Its user passes the time and the events since the last tick to
//! [`World::tick`] and executes the commands that it returns. The same events at the same times
//! with the same seed give the same commands.

pub mod clock;
pub mod command;
pub mod config;
pub mod event;
pub mod hash;
pub mod id;
pub mod log;
pub mod message;
pub mod notice;
pub mod options;
pub mod refusal;
pub mod request;
pub mod store;
mod system;
pub mod table;
mod world;

pub use crate::{
    clock::Millis,
    command::Command,
    event::Event,
    options::Options,
    world::{Identity, World},
};
