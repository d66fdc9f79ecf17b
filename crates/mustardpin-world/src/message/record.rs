//! Messages of the record system.

/// A message of the record system.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Message {}
