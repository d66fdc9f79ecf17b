//! Messages that carry the costs of routes to peers, for load shedding.

use compact_str::CompactString;

use crate::clock::Millis;

/// The cost of one run of a route on the sender's target.
#[derive(Debug, Clone, PartialEq)]
pub struct Cost {
    /// The route's name.
    pub route: CompactString,
    /// How long a run occupies a slot of the target, including the calls it waits for.
    pub slot_time: Millis,
    /// The routes that a run calls, with the mean number of calls to each.
    pub calls: Vec<(CompactString, f32)>,
}

/// A message of the shedding system.
#[derive(Debug, Clone, PartialEq)]
pub enum Message {
    /// The costs of the routes that run on the sender's target.
    Costs(Vec<Cost>),
}
