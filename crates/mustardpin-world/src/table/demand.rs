//! What is asked of each route through this node, and what comes of it.

use std::collections::BTreeMap;

use slotmap::SecondaryMap;

use crate::{
    config::Importance,
    id::{RouteKey, TeamKey},
};

/// Requests of one importance for one team; `None` stands for routes open to all.
pub type Class = (Importance, Option<TeamKey>);

/// What is asked of one route. Amounts decay, so they follow the last second or so.
#[derive(Debug, Clone, Default)]
pub struct Row {
    /// Requests that came, by class.
    pub offered: BTreeMap<Class, f64>,
    /// Requests that were served.
    pub served: f64,
    /// Requests that a service below refused because of load.
    pub shed: f64,
    /// The share of each class that is let through. A class that is not here is let through whole.
    pub admitted: BTreeMap<Class, f64>,
    /// Repeats that successes have earned.
    pub retry_tokens: f64,
}

impl Row {
    /// Lets all amounts decay by a factor and forgets classes that have become rare.
    pub fn decay(&mut self, factor: f64) {
        const RARE: f64 = 0.05;

        self.served *= factor;
        self.shed *= factor;
        self.offered.retain(|_, amount| {
            *amount *= factor;
            *amount > RARE
        });
    }
}

/// The table of demand, with a row for each route in use.
#[derive(Debug, Default)]
pub struct Demand {
    rows: SecondaryMap<RouteKey, Row>,
}

impl Demand {
    /// The row of a route, once it was used.
    pub fn get(&self, route: RouteKey) -> Option<&Row> {
        self.rows.get(route)
    }

    /// The row of a route. Adds it if need be.
    pub fn row(&mut self, route: RouteKey) -> Option<&mut Row> {
        Some(self.rows.entry(route)?.or_default())
    }

    /// All rows.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = (RouteKey, &mut Row)> {
        self.rows.iter_mut()
    }
}
