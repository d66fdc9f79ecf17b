//! Messages between the worlds of two nodes. Each system has its own type; any message may be lost
//! or delayed.

pub mod configuration;
pub mod departure;
pub mod fleet;
pub mod freshness;
pub mod quarantine;
pub mod rate_limit;
pub mod shedding;
pub mod target;

use derive_more::From;

/// A message between two nodes.
#[derive(Debug, Clone, PartialEq)]
#[derive(From)]
pub enum Message {
    /// Nodes that the sender is connected to.
    Fleet(fleet::Message),
    /// Requests for the configuration, and copies of it.
    Configuration(configuration::Message),
    /// Age of what a node knows from the store.
    Freshness(freshness::Message),
    /// Tokens of rate limits.
    RateLimit(rate_limit::Message),
    /// Cost of runs on the sender's target, by route.
    Shedding(shedding::Message),
    /// Crashes of targets, and the requests that were running then.
    Quarantine(quarantine::Message),
    /// What the receiver's target has stated about itself.
    Target(target::Message),
    /// Departures of targets beside the sender or the receiver.
    Departure(departure::Message),
}
