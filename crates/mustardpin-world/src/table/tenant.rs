//! Tenant keys, derived from the configuration.

use std::collections::{BTreeMap, HashMap};

use compact_str::CompactString;
use rapidhash::fast::RandomState;
use slotmap::SlotMap;

use crate::{
    config,
    id::{KeyDigest, TenantKey},
};

/// The table of tenant keys. Withdrawn keys stay in it. An id keeps its arena key while its row is
/// removed.
///
/// Keys are looked up by the digest of the whole text that a caller sent, so the time that a lookup
/// takes reveals nothing about any key.
#[derive(Debug, Default)]
pub struct Tenants {
    /// `None` while a row is removed.
    rows: SlotMap<TenantKey, Option<config::Key>>,
    by_id: BTreeMap<CompactString, TenantKey>,
    by_digest: HashMap<KeyDigest, TenantKey, RandomState>,
}

impl Tenants {
    /// Adds a key or replaces the one with the same id.
    pub fn put(&mut self, row: config::Key) -> TenantKey {
        let (id, digest) = (row.id.clone(), row.digest);
        let key = match self.by_id.get(&id) {
            Some(&key) => {
                self.remove(&id);
                self.rows[key] = Some(row);
                key
            }
            None => self.rows.insert(Some(row)),
        };
        self.by_id.insert(id, key);
        self.by_digest.insert(digest, key);
        key
    }

    /// Removes the key with this id.
    pub fn remove(&mut self, id: &str) {
        let Some(&key) = self.by_id.get(id) else { return };
        if let Some(row) = self.rows[key].take()
            && self.by_digest.get(&row.digest) == Some(&key)
        {
            self.by_digest.remove(&row.digest);
        }
    }

    /// The row with this key.
    pub fn get(&self, key: TenantKey) -> Option<&config::Key> {
        self.rows.get(key)?.as_ref()
    }

    /// The key with this id.
    pub fn by_id(&self, id: &str) -> Option<TenantKey> {
        self.by_id.get(id).copied().filter(|&key| self.get(key).is_some())
    }

    /// The key with this digest.
    pub fn by_digest(&self, digest: &KeyDigest) -> Option<TenantKey> {
        self.by_digest.get(digest).copied()
    }

    /// All keys, in the order of their ids.
    pub fn iter(&self) -> impl Iterator<Item = (TenantKey, &config::Key)> {
        self.by_id.values().filter_map(|&key| Some((key, self.get(key)?)))
    }
}
