//! Settings of one node, read from YAML and checked in full before anything starts.
//!
//! [`document`] turns YAML into dotted keys and their values, [`reader`] takes typed values out of
//! them and gathers every problem, and [`settings`] says which keys there are.

pub mod document;
pub mod error;
pub mod reader;
pub mod settings;

pub use crate::{error::Error, settings::Settings};
