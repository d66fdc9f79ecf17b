//! Exceptions, derived from the configuration.

use crate::{
    clock::Millis,
    config::{self, Change, Importance},
    id::ExceptionKey,
    table::registry::Registry,
};

/// The table of exceptions. It is short, so questions go through the whole of it.
pub type Exceptions = Registry<ExceptionKey, config::Exception>;

impl Exceptions {
    /// The rate and burst that an exception gives a team.
    pub fn rate(&self, wanted: &str) -> Option<(u32, u32)> {
        self.iter().find_map(|(_, exception)| match &exception.change {
            Change::TeamRate { team, rate, burst } if team == wanted => Some((*rate, *burst)),
            _ => None,
        })
    }

    /// The importance that an exception gives a team on a route.
    pub fn importance(&self, wanted: &str, on: &str) -> Option<Importance> {
        self.iter().find_map(|(_, exception)| match &exception.change {
            Change::Importance { team, route, importance } if team == wanted && route == on => {
                Some(*importance)
            }
            _ => None,
        })
    }

    /// How long after the last news an exception lets a team go on.
    pub fn grace(&self, wanted: &str) -> Option<Millis> {
        self.iter().find_map(|(_, exception)| match &exception.change {
            Change::ServeCutOff { team, grace } if team == wanted => Some(*grace),
            _ => None,
        })
    }

    /// The longest time after the last news for which an exception lets any team go on.
    pub fn max_grace(&self) -> Option<Millis> {
        self.iter()
            .filter_map(|(_, exception)| match &exception.change {
                Change::ServeCutOff { grace, .. } => Some(*grace),
                _ => None,
            })
            .max()
    }
}
