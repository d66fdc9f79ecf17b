//! The tables: one arena for each kind of entity, rows named by small `Copy` keys.

pub mod call;
pub mod counter;
pub mod peer;
pub mod record;
pub mod route;
pub mod target;
pub mod team;
pub mod tenant;

use std::collections::BTreeMap;

use crate::{clock::Millis, config, id::Revision, message::epoch::Epoch};

/// All tables of a world.
#[derive(Debug, Default)]
pub struct Tables {
    /// Requests taken in and not yet answered.
    pub calls: call::Calls,
    /// What has been counted.
    pub counters: counter::Counters,
    /// Other nodes.
    pub peers: peer::Peers,
    /// Records of non-repeatable requests.
    pub records: record::Records,
    /// Routes.
    pub routes: route::Routes,
    /// The own target.
    pub target: target::Target,
    /// Teams.
    pub teams: team::Teams,
    /// Tenant keys.
    pub tenants: tenant::Tenants,
    /// The configuration as agreed, from which the tables above are derived.
    pub configuration: Configuration,
    /// How old the node's knowledge is.
    pub freshness: Freshness,
    /// Who holds shares and homes.
    pub epoch: Standing,
    /// Whether the node is leaving.
    pub leaving: bool,
}

/// The configuration as agreed.
#[derive(Debug, Default)]
pub struct Configuration {
    /// The revision the node is at. Never falls.
    pub revision: Revision,
    /// Every row and every removal, by path.
    pub records: BTreeMap<config::Path, config::Record>,
    /// The fleet's defaults.
    pub fleet: config::Fleet,
}

/// How old the node's knowledge is.
#[derive(Debug, Default)]
pub struct Freshness {
    /// The last point in time as of which the node knows what the platform held.
    pub platform_as_of: Option<Millis>,
    /// Whether keyed requests may be served.
    pub fresh: bool,
}

/// The epoch a node is in, and how it came there.
#[derive(Debug, Default)]
pub struct Standing {
    /// The epoch the node is in.
    pub current: Epoch,
    /// The epoch before it, as far as the node knows.
    pub previous: Epoch,
    /// When the node adopted the current epoch.
    pub adopted: Option<Millis>,
}
