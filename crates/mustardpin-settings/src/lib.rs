//! Settings of one node, read from YAML and checked in full before anything starts.
//!
//! [`document`] flattens YAML into dotted keys and their values, [`reader`] converts them to typed
//! values and collects every problem, and [`settings`] defines the keys.

pub mod document;
pub mod error;
pub mod reader;
pub mod settings;

pub use crate::{error::Error, settings::Settings};
