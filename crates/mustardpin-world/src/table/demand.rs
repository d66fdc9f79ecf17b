//! The cost of each route, and the demand for each route at the root of call chains.

use std::collections::BTreeMap;

use compact_str::CompactString;
use slotmap::SecondaryMap;

use crate::{
    clock::Millis,
    config::Rank,
    id::{RouteKey, ServiceKey, TeamKey},
};

/// The cost of one run of a route, as reported by the nodes that run it.
#[derive(Debug, Clone, Default)]
pub struct Cost {
    /// How long a run occupies a slot, in milliseconds, smoothed over the nodes' reports.
    pub slot_time: f64,
    /// The routes that a run calls, with the mean number of calls to each, smoothed likewise.
    pub calls: BTreeMap<CompactString, f64>,
}

/// The slot time, in milliseconds, that a request at the root of a call chain costs each service.
pub type ServiceCosts = Vec<(ServiceKey, f64)>;

/// A class of root requests that are admitted with the same probability. Ordered by importance.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct RequestClass {
    /// Their importance.
    pub rank: Rank,
    /// The team that they run for, if it is known.
    pub team: Option<TeamKey>,
    /// Their route.
    pub route: RouteKey,
}

/// The requests of one class. Amounts decay, so they follow the last second or two.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Offer {
    /// The decayed number of requests that arrived.
    pub offered: f64,
    /// The fraction that is admitted, from 0 to 1.
    pub admitted: f64,
}

/// The table of demand.
#[derive(Debug, Default)]
pub struct Demand {
    /// The cost of a run, by the route's name.
    pub costs: BTreeMap<CompactString, Cost>,
    /// The cost of a root request for each route, including all the calls below it.
    pub service_costs: SecondaryMap<RouteKey, ServiceCosts>,
    /// The demand for root requests at this node.
    pub offers: BTreeMap<RequestClass, Offer>,
}

impl Demand {
    /// The offer of this class, or else one of the same rank and route from another team.
    pub fn similar(&self, class: RequestClass) -> Option<&Offer> {
        if let Some(offer) = self.offers.get(&class) {
            return Some(offer);
        }
        let mut same_rank = self.offers.iter().filter(|(other, _)| other.rank == class.rank);
        same_rank.find(|(other, _)| other.route == class.route).map(|(_, offer)| offer)
    }

    /// How long a run of a route occupies a slot, if that is known.
    pub fn slot_time(&self, route: &str) -> Option<Millis> {
        self.costs.get(route).map(|cost| Millis(cost.slot_time as u64))
    }
}
