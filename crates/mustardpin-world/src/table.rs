//! The tables: one arena for each kind of entity, with small `Copy` keys for its rows.

pub mod call;
pub mod configuration;
pub mod counter;
pub mod demand;
pub mod departure;
pub mod exception;
pub mod health;
pub mod latency;
pub mod pace;
pub mod peer;
pub mod rate_limit;
pub mod registry;
pub mod resend;
pub mod roster;
pub mod route;
pub mod service;
pub mod statement;
pub mod suspect;
pub mod target;
pub mod team;
pub mod tenant;

use crate::clock::Millis;

/// All tables of a world.
#[derive(Debug, Default)]
pub struct Tables {
    /// Requests in progress on this node.
    pub calls: call::Calls,
    /// Counters of refusals, retries and work done.
    pub counters: counter::Counters,
    /// Exceptions to the defaults.
    pub exceptions: exception::Exceptions,
    /// The cost of each route at the services below, and the demand for it.
    pub demand: demand::Demand,
    /// The processes behind this node that are known to be leaving.
    pub departures: departure::Departures,
    /// Measured latencies.
    pub latencies: latency::Latencies,
    /// The other nodes that this node knows.
    pub peers: peer::Peers,
    /// Root requests that failed recently, to recognise client retries.
    pub failed: resend::FailedRequests,
    /// The nodes between which the shards of teams' rates are distributed.
    pub roster: roster::Roster,
    /// Routes, from the configuration.
    pub routes: route::Routes,
    /// Services, and the peers whose targets belong to them.
    pub services: service::Services,
    /// What the targets of peers last stated about themselves.
    pub statements: statement::Statements,
    /// Buckets and leased tokens of teams' rates.
    pub rate_limits: rate_limit::RateLimits,
    /// Requests that were running when a target crashed.
    pub suspects: suspect::Suspects,
    /// This node's target.
    pub target: target::Target,
    /// Teams, from the configuration.
    pub teams: team::Teams,
    /// Tenant keys, from the configuration.
    pub tenants: tenant::Tenants,
    /// The configuration as agreed, from which the tables above are derived.
    pub configuration: configuration::Configuration,
    /// The age of the node's knowledge from the store.
    pub freshness: Freshness,
    /// Whether the node is draining before it stops.
    pub leaving: bool,
}

/// The age of the node's knowledge from the store.
#[derive(Debug, Default)]
pub struct Freshness {
    /// The latest point in time at which the node's configuration is known to have been that of the
    /// store.
    pub configuration_as_of: Option<Millis>,
    /// The same for the rows by which nodes find each other.
    pub fleet_as_of: Option<Millis>,
    /// The age of the configuration, as of this tick.
    pub age: Millis,
    /// Whether that age is within [`crate::options::Freshness::window`].
    pub fresh: bool,
    /// Whether the node is cut off: the configuration isn't fresh and
    /// [`crate::options::Freshness::strict`] is set, so the node may no longer accept keys by it.
    pub is_cut_off: bool,
    /// Whether the age of the rows of nodes is within the same window.
    pub fleet_fresh: bool,
}

impl Freshness {
    /// The age of the configuration; [`Millis::MAX`] if the node has none.
    ///
    /// ```
    /// use mustardpin_world::{Millis, table::Freshness};
    /// assert_eq!(Freshness::default().configuration_age(Millis(9)), Millis::MAX);
    /// ```
    pub fn configuration_age(&self, now: Millis) -> Millis {
        self.configuration_as_of.map_or(Millis::MAX, |as_of| now - as_of)
    }

    /// The age of the rows of nodes; [`Millis::MAX`] if the node has none.
    pub fn fleet_age(&self, now: Millis) -> Millis {
        self.fleet_as_of.map_or(Millis::MAX, |as_of| now - as_of)
    }
}
