//! Messages that tell what requests cost below, and which services have too much to do.

use compact_str::CompactString;

use crate::clock::Millis;

/// What a run of one route costs.
#[derive(Debug, Clone, PartialEq)]
pub struct Cost {
    /// The route's name.
    pub route: CompactString,
    /// How long a run holds its place on the target, with the calls it waits for.
    pub slot_time: Millis,
    /// The routes that a run calls, and how often.
    pub calls: Vec<(CompactString, f32)>,
}

/// A message of the shedding system.
#[derive(Debug, Clone, PartialEq)]
pub enum Message {
    /// What runs on the sender's target cost.
    Costs(Vec<Cost>),
}
