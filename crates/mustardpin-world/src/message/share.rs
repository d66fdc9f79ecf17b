//! Messages of the share system.

/// A message of the share system.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Message {}
