//! Messages of the membership system.

/// A message of the membership system.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Message {}
