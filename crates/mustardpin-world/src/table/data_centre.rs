//! Data centres, and how old the node's knowledge from each is.

use std::collections::BTreeMap;

use compact_str::CompactString;
use slotmap::SlotMap;

use crate::{clock::Millis, id::DataCentreKey};

/// A data centre.
#[derive(Debug, Clone)]
pub struct DataCentre {
    /// Its name.
    pub name: CompactString,
    /// The last point as of which the node has all that a node in it knew.
    pub as_of: Option<Millis>,
    /// When this node learned of it.
    pub since: Millis,
    /// The last point at which one of its nodes is known to have written to the platform.
    pub seen: Millis,
    /// When this node may next ask it only for the age of its knowledge.
    pub next_ask: Millis,
}

/// The table of data centres.
#[derive(Debug, Default)]
pub struct DataCentres {
    rows: SlotMap<DataCentreKey, DataCentre>,
    by_name: BTreeMap<CompactString, DataCentreKey>,
}

impl DataCentres {
    /// The key of the data centre of this name, which is added if it is new.
    pub fn intern(&mut self, name: &CompactString, now: Millis) -> DataCentreKey {
        if let Some(&key) = self.by_name.get(name) {
            return key;
        }
        let row =
            DataCentre { name: name.clone(), as_of: None, since: now, seen: now, next_ask: now };
        let key = self.rows.insert(row);
        self.by_name.insert(name.clone(), key);
        key
    }

    /// The data centre with this key.
    pub fn get(&self, key: DataCentreKey) -> Option<&DataCentre> {
        self.rows.get(key)
    }

    /// The data centre with this key.
    pub fn get_mut(&mut self, key: DataCentreKey) -> Option<&mut DataCentre> {
        self.rows.get_mut(key)
    }

    /// The key of the data centre of this name.
    pub fn by_name(&self, name: &str) -> Option<DataCentreKey> {
        self.by_name.get(name).copied()
    }

    /// Notes that the node has what the data centre knew as of a point.
    pub fn hear(&mut self, name: &CompactString, as_of: Millis) {
        let key = self.intern(name, as_of);
        let row = &mut self.rows[key];
        row.as_of = row.as_of.max(Some(as_of));
    }

    /// The age of what the node knows from the data centre.
    pub fn age(&self, name: &str, now: Millis) -> Millis {
        let row = self.by_name(name).and_then(|key| self.rows.get(key));
        row.and_then(|row| row.as_of).map_or(Millis::MAX, |as_of| now - as_of)
    }

    /// The time since this node last heard from the data centre, or learned of it.
    pub fn quiet(&self, name: &str, now: Millis) -> Millis {
        let row = self.by_name(name).and_then(|key| self.rows.get(key));
        row.map_or(Millis::MAX, |row| now - row.as_of.unwrap_or(row.since))
    }

    /// The time since the data centre last gave a sign of life, to this node or to the platform.
    pub fn silence(&self, name: &str, now: Millis) -> Millis {
        let row = self.by_name(name).and_then(|key| self.rows.get(key));
        row.map_or(Millis::MAX, |row| now - row.seen.max(row.as_of.unwrap_or(row.since)))
    }

    /// All data centres, in the order of their names.
    pub fn iter(&self) -> impl Iterator<Item = (DataCentreKey, &DataCentre)> {
        self.by_name.values().map(|&key| (key, &self.rows[key]))
    }
}
