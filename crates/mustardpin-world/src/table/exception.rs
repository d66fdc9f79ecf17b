//! Exceptions, derived from the configuration.

use crate::{
    clock::Millis,
    config::{self, Change, Importance},
    id::ExceptionKey,
    table::registry::Registry,
};

/// The table of exceptions. It is short, so lookups scan all of it.
pub type Exceptions = Registry<ExceptionKey, config::Exception>;

impl Exceptions {
    /// The rate and burst that an exception gives a team.
    pub fn rate(&self, team_name: &str) -> Option<(u32, u32)> {
        self.iter().find_map(|(_, exception)| match &exception.change {
            Change::TeamRate { team, rate, burst } if team == team_name => Some((*rate, *burst)),
            _ => None,
        })
    }

    /// The importance that an exception gives a team on a route.
    pub fn importance(&self, team_name: &str, route_name: &str) -> Option<Importance> {
        self.iter().find_map(|(_, exception)| match &exception.change {
            Change::Importance { team, route, importance }
                if team == team_name && route == route_name =>
            {
                Some(*importance)
            }
            _ => None,
        })
    }

    /// How long after the last update from the store an exception lets a team be served.
    pub fn grace(&self, team_name: &str) -> Option<Millis> {
        self.iter().find_map(|(_, exception)| match &exception.change {
            Change::ServeCutOff { team, grace } if team == team_name => Some(*grace),
            _ => None,
        })
    }

    /// The longest time after the last update from the store for which an exception lets any team
    /// be served.
    pub fn max_grace(&self) -> Option<Millis> {
        self.iter()
            .filter_map(|(_, exception)| match &exception.change {
                Change::ServeCutOff { grace, .. } => Some(*grace),
                _ => None,
            })
            .max()
    }
}
