//! Teams, derived from the configuration.

use std::collections::BTreeMap;

use compact_str::CompactString;
use slotmap::SlotMap;

use crate::{config, id::TeamKey};

/// The table of teams.
#[derive(Debug, Default)]
pub struct Teams {
    rows: SlotMap<TeamKey, config::Team>,
    by_name: BTreeMap<CompactString, TeamKey>,
}

impl Teams {
    /// Adds a team or replaces the one of the same name, whose key stays.
    pub fn put(&mut self, team: config::Team) -> TeamKey {
        if let Some(&key) = self.by_name.get(&team.name) {
            self.rows[key] = team;
            return key;
        }
        let name = team.name.clone();
        let key = self.rows.insert(team);
        self.by_name.insert(name, key);
        key
    }

    /// Removes the team of this name.
    pub fn remove(&mut self, name: &str) {
        if let Some(key) = self.by_name.remove(name) {
            self.rows.remove(key);
        }
    }

    /// The team with this key.
    pub fn get(&self, key: TeamKey) -> Option<&config::Team> {
        self.rows.get(key)
    }

    /// The key of the team of this name.
    pub fn by_name(&self, name: &str) -> Option<TeamKey> {
        self.by_name.get(name).copied()
    }

    /// All teams, in the order of their names.
    pub fn iter(&self) -> impl Iterator<Item = (TeamKey, &config::Team)> {
        self.by_name.values().map(|&key| (key, &self.rows[key]))
    }
}
