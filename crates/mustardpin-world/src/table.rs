//! The tables: one arena for each kind of entity, rows named by small `Copy` keys.

pub mod call;
pub mod configuration;
pub mod counter;
pub mod data_centre;
pub mod demand;
pub mod epoch;
pub mod exception;
pub mod health;
pub mod peer;
pub mod record;
pub mod registry;
pub mod resend;
pub mod route;
pub mod share;
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
    /// Data centres.
    pub data_centres: data_centre::DataCentres,
    /// Exceptions.
    pub exceptions: exception::Exceptions,
    /// What is asked of each route, and what comes of it.
    pub demand: demand::Demand,
    /// Other nodes.
    pub peers: peer::Peers,
    /// Records of non-repeatable requests.
    pub records: record::Records,
    /// Root requests that failed a short time ago.
    pub failed: resend::Failed,
    /// Routes.
    pub routes: route::Routes,
    /// Rate tokens.
    pub shares: share::Shares,
    /// Requests that were in flight as a target crashed.
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
    /// Who holds shares and homes.
    pub epoch: epoch::Standing,
    /// Whether the node is leaving.
    pub leaving: bool,
}

/// How old the node's knowledge is.
#[derive(Debug, Default)]
pub struct Freshness {
    /// The last point in time as of which the node knows what the platform held.
    pub platform_as_of: Option<Millis>,
    /// The age of what the node knows, as of this tick.
    pub age: Millis,
    /// Whether the age is within the window.
    pub fresh: bool,
    /// Whether the node is in contact with its own data centre, so that a policy for cut-off data
    /// centres holds for it.
    pub is_with_own: bool,
}

impl Freshness {
    /// The age of what the node knows of the platform.
    ///
    /// ```
    /// use mustardpin_world::{Millis, table::Freshness};
    /// assert_eq!(Freshness::default().platform_age(Millis(9)), Millis::MAX);
    /// ```
    pub fn platform_age(&self, now: Millis) -> Millis {
        self.platform_as_of.map_or(Millis::MAX, |as_of| now - as_of)
    }
}
