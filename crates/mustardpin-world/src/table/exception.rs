//! Exceptions, derived from the configuration.

use std::collections::BTreeMap;

use compact_str::CompactString;
use slotmap::SlotMap;

use crate::{
    clock::Millis,
    config::{self, Change, Importance},
    id::ExceptionKey,
};

/// The table of exceptions. It is short, so questions go through the whole of it.
#[derive(Debug, Default)]
pub struct Exceptions {
    rows: SlotMap<ExceptionKey, config::Exception>,
    by_name: BTreeMap<CompactString, ExceptionKey>,
}

impl Exceptions {
    /// Adds an exception or replaces the one of the same name, whose key stays.
    pub fn put(&mut self, exception: config::Exception) -> ExceptionKey {
        if let Some(&key) = self.by_name.get(&exception.name) {
            self.rows[key] = exception;
            return key;
        }
        let name = exception.name.clone();
        let key = self.rows.insert(exception);
        self.by_name.insert(name, key);
        key
    }

    /// Removes the exception of this name.
    pub fn remove(&mut self, name: &str) {
        if let Some(key) = self.by_name.remove(name) {
            self.rows.remove(key);
        }
    }

    /// All exceptions, in the order of their names.
    pub fn iter(&self) -> impl Iterator<Item = (ExceptionKey, &config::Exception)> {
        self.by_name.values().map(|&key| (key, &self.rows[key]))
    }

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
    pub fn longest_grace(&self) -> Option<Millis> {
        self.iter()
            .filter_map(|(_, exception)| match &exception.change {
                Change::ServeCutOff { grace, .. } => Some(*grace),
                _ => None,
            })
            .max()
    }
}
