//! Messages of the quarantine system.

/// A message of the quarantine system.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Message {}
