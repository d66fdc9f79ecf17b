//! What runs of each route cost, and how much of each is asked for at the top of call chains.

use std::collections::BTreeMap;

use compact_str::CompactString;
use slotmap::SecondaryMap;

use crate::{
    clock::Millis,
    config::Rank,
    id::{RouteKey, ServiceKey, TeamKey},
};

/// What a run of one route costs, as the nodes that run it say.
#[derive(Debug, Clone, Default)]
pub struct Cost {
    /// How long a run holds its place, in milliseconds, smoothed over what nodes say.
    pub slot_time: f64,
    /// The routes that a run calls, and how often, smoothed likewise.
    pub calls: BTreeMap<CompactString, f64>,
}

/// What a request at the top of a call chain costs a service, in milliseconds of a place on a
/// target.
pub type Load = Vec<(ServiceKey, f64)>;

/// Requests at the top of call chains that are let through alike. In the order of importance.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct RequestClass {
    /// How much they matter.
    pub rank: Rank,
    /// The team that they run for.
    pub team: Option<TeamKey>,
    /// Their route.
    pub route: RouteKey,
}

/// Requests of one kind. Amounts decay, so they follow the last second or so.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Offer {
    /// Requests that came.
    pub offered: f64,
    /// The share that is let through.
    pub admitted: f64,
}

/// The table of demand.
#[derive(Debug, Default)]
pub struct Demand {
    /// What runs cost, by the route's name.
    pub costs: BTreeMap<CompactString, Cost>,
    /// What requests at the top of call chains cost, with all the calls below them.
    pub loads: SecondaryMap<RouteKey, Load>,
    /// What is asked for at the top of call chains at this node.
    pub offers: BTreeMap<RequestClass, Offer>,
}

impl Demand {
    /// Requests of the same importance for the same route, of this team or another.
    pub fn similar(&self, kind: RequestClass) -> Option<&Offer> {
        if let Some(offer) = self.offers.get(&kind) {
            return Some(offer);
        }
        let mut equals = self.offers.iter().filter(|(other, _)| other.rank == kind.rank);
        equals.find(|(other, _)| other.route == kind.route).map(|(_, offer)| offer)
    }

    /// The time that a run of a route holds its place, if that is known.
    pub fn slot_time(&self, route: &str) -> Option<Millis> {
        self.costs.get(route).map(|cost| Millis(cost.slot_time as u64))
    }
}
