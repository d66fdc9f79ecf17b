//! A table whose rows have names that are the same in the whole fleet.

use std::collections::BTreeMap;

use compact_str::CompactString;
use slotmap::SlotMap;

use crate::config;

/// A row with a name.
pub trait Row {
    /// The name, unique in its table.
    fn name(&self) -> &CompactString;
}

impl Row for config::Exception {
    fn name(&self) -> &CompactString {
        &self.name
    }
}

impl Row for config::Team {
    fn name(&self) -> &CompactString {
        &self.name
    }
}

/// An arena of named rows. A name keeps its key while its row is replaced, or removed and added
/// again, so that what refers to the key goes on with the new row.
#[derive(Debug)]
pub struct Registry<K: slotmap::Key, R> {
    /// `None` while a row is removed.
    rows: SlotMap<K, Option<R>>,
    by_name: BTreeMap<CompactString, K>,
}

impl<K: slotmap::Key, R> Default for Registry<K, R> {
    fn default() -> Registry<K, R> {
        Registry { rows: SlotMap::with_key(), by_name: BTreeMap::new() }
    }
}

impl<K: slotmap::Key, R: Row> Registry<K, R> {
    /// Adds a row or replaces the one of the same name.
    ///
    /// ```
    /// use mustardpin_world::{config::Team, table::team::Teams};
    ///
    /// let mut teams = Teams::default();
    /// let team = Team {
    ///     name: "garage".into(),
    ///     rate: 10,
    ///     burst: 5,
    ///     weight: 1,
    ///     importance: Default::default(),
    /// };
    /// let key = teams.put(team.clone());
    /// assert_eq!(teams.put(Team { rate: 20, ..team }), key);
    /// assert_eq!(teams.get(key).map(|team| team.rate), Some(20));
    /// ```
    pub fn put(&mut self, row: R) -> K {
        if let Some(&key) = self.by_name.get(row.name()) {
            self.rows[key] = Some(row);
            return key;
        }
        let name = row.name().clone();
        let key = self.rows.insert(Some(row));
        self.by_name.insert(name, key);
        key
    }

    /// Removes the row of this name.
    pub fn remove(&mut self, name: &str) {
        if let Some(&key) = self.by_name.get(name) {
            self.rows[key] = None;
        }
    }

    /// The row with this key.
    pub fn get(&self, key: K) -> Option<&R> {
        self.rows.get(key)?.as_ref()
    }

    /// The key of the row of this name.
    pub fn by_name(&self, name: &str) -> Option<K> {
        self.by_name.get(name).copied().filter(|&key| self.get(key).is_some())
    }

    /// All rows, in the order of their names.
    pub fn iter(&self) -> impl Iterator<Item = (K, &R)> {
        self.by_name.values().filter_map(|&key| Some((key, self.get(key)?)))
    }
}
