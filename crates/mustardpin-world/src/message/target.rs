//! Messages by which peers remind a restarted node of what its target has stated.

use crate::{clock::Millis, id::TargetId, notice::Rate};

/// What the receiver's target stated about itself, as the sender remembers it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Message {
    /// The process of the target.
    pub target: TargetId,
    /// Whether the target is leaving.
    pub leaving: bool,
    /// The rate limit of the target, if it has one.
    pub rate: Option<Rate>,
    /// How long ago the sender last heard of it.
    pub age: Millis,
}
