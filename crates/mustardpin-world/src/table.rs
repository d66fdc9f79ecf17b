//! The tables: one arena for each kind of entity, rows named by small `Copy` keys.

pub mod call;
pub mod configuration;
pub mod counter;
pub mod demand;
pub mod exception;
pub mod health;
pub mod latency;
pub mod peer;
pub mod rate_limit;
pub mod registry;
pub mod resend;
pub mod roster;
pub mod route;
pub mod service;
pub mod suspect;
pub mod target;
pub mod team;
pub mod tenant;

use crate::clock::Millis;

/// All tables of a world.
#[derive(Debug, Default)]
pub struct Tables {
    /// Requests taken in and not yet answered.
    pub calls: call::Calls,
    /// What has been counted.
    pub counters: counter::Counters,
    /// Exceptions.
    pub exceptions: exception::Exceptions,
    /// What runs of each route cost, and what is asked for.
    pub demand: demand::Demand,
    /// How long things took.
    pub latencies: latency::Latencies,
    /// Other nodes.
    pub peers: peer::Peers,
    /// Root requests that failed a short time ago.
    pub failed: resend::FailedRequests,
    /// Among whom rates are dealt out.
    pub roster: roster::Roster,
    /// Routes.
    pub routes: route::Routes,
    /// Services.
    pub services: service::Services,
    /// Rate tokens.
    pub rate_limits: rate_limit::RateLimits,
    /// Requests that were running as a target crashed.
    pub suspects: suspect::Suspects,
    /// The own target.
    pub target: target::Target,
    /// Teams.
    pub teams: team::Teams,
    /// Tenant keys.
    pub tenants: tenant::Tenants,
    /// The configuration as agreed, from which the tables above are derived.
    pub configuration: configuration::Configuration,
    /// How old the node's knowledge is.
    pub freshness: Freshness,
    /// Whether the node is leaving.
    pub leaving: bool,
}

/// How old the node's knowledge is.
#[derive(Debug, Default)]
pub struct Freshness {
    /// The last point in time as of which the node knows the configuration that the store held.
    pub configuration_as_of: Option<Millis>,
    /// The same for the rows by which nodes find each other.
    pub fleet_as_of: Option<Millis>,
    /// The age of the configuration, as of this tick.
    pub age: Millis,
    /// Whether that age is within the window.
    pub fresh: bool,
    /// Whether the node may not judge keys any more, since it is not.
    pub is_cut_off: bool,
    /// Whether the age of the rows of nodes is within the window.
    pub fleet_fresh: bool,
}

impl Freshness {
    /// The age of what the node knows of the configuration.
    ///
    /// ```
    /// use mustardpin_world::{Millis, table::Freshness};
    /// assert_eq!(Freshness::default().configuration_age(Millis(9)), Millis::MAX);
    /// ```
    pub fn configuration_age(&self, now: Millis) -> Millis {
        self.configuration_as_of.map_or(Millis::MAX, |as_of| now - as_of)
    }

    /// The age of what the node knows of the rows of nodes.
    pub fn fleet_age(&self, now: Millis) -> Millis {
        self.fleet_as_of.map_or(Millis::MAX, |as_of| now - as_of)
    }
}
