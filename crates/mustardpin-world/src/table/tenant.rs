//! Tenant keys, derived from the configuration.

use std::collections::BTreeMap;

use compact_str::CompactString;
use slotmap::SlotMap;

use crate::{config, id::TenantKey};

/// The table of tenant keys. Withdrawn keys stay in it.
#[derive(Debug, Default)]
pub struct Tenants {
    rows: SlotMap<TenantKey, config::Key>,
    by_id: BTreeMap<CompactString, TenantKey>,
}

impl Tenants {
    /// Adds a key or replaces the one with the same id.
    pub fn put(&mut self, key: config::Key) -> TenantKey {
        if let Some(&tenant) = self.by_id.get(&key.id) {
            self.rows[tenant] = key;
            return tenant;
        }
        let id = key.id.clone();
        let tenant = self.rows.insert(key);
        self.by_id.insert(id, tenant);
        tenant
    }

    /// Removes the key with this id.
    pub fn remove(&mut self, id: &str) {
        if let Some(tenant) = self.by_id.remove(id) {
            self.rows.remove(tenant);
        }
    }

    /// The tenant key in this row.
    pub fn get(&self, tenant: TenantKey) -> Option<&config::Key> {
        self.rows.get(tenant)
    }

    /// The row of the tenant key with this id.
    pub fn by_id(&self, id: &str) -> Option<TenantKey> {
        self.by_id.get(id).copied()
    }

    /// All tenant keys, in the order of their ids.
    pub fn iter(&self) -> impl Iterator<Item = (TenantKey, &config::Key)> {
        self.by_id.values().map(|&tenant| (tenant, &self.rows[tenant]))
    }
}
