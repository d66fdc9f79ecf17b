//! Messages between worlds. Each system has its own; any of them may get lost or come late.

pub mod configuration;
pub mod fleet;
pub mod freshness;
pub mod pressure;
pub mod quarantine;
pub mod rate_limit;

use derive_more::From;

/// A message between two nodes.
#[derive(Debug, Clone, PartialEq)]
#[derive(From)]
pub enum Message {
    /// Who is there.
    Fleet(fleet::Message),
    /// What operators agreed on.
    Configuration(configuration::Message),
    /// How old knowledge is.
    Freshness(freshness::Message),
    /// Rate tokens.
    RateLimit(rate_limit::Message),
    /// What services cost and how much they are asked for.
    Pressure(pressure::Message),
    /// Requests that crash targets.
    Quarantine(quarantine::Message),
}
