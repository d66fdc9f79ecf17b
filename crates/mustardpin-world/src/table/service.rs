//! Services that routes lead to, and the peers whose targets belong to them.

use std::collections::BTreeMap;

use compact_str::CompactString;
use slotmap::SlotMap;

use crate::id::{PeerKey, ServiceKey};

/// A service, and this node's view of it.
#[derive(Debug, Clone, Default)]
pub struct Service {
    /// Its name.
    pub name: CompactString,
    /// The peers whose targets belong to it, in the order in which they were found.
    pub peers: Vec<PeerKey>,
    /// Retries that requests for it have earned at this node.
    pub retry_tokens: f64,
    /// The demand on its targets as a multiple of their capacity, smoothed.
    pub demand: f64,
    /// The fraction of the root requests leading to it that is admitted, from 0 to 1.
    pub admitted: f64,
}

/// The table of services. A service is never removed.
#[derive(Debug, Default)]
pub struct Services {
    rows: SlotMap<ServiceKey, Service>,
    by_name: BTreeMap<CompactString, ServiceKey>,
}

impl Services {
    /// The key of the service of this name, which is added if it is unknown.
    ///
    /// ```
    /// use mustardpin_world::table::service::Services;
    ///
    /// let mut services = Services::default();
    /// let ledger = services.get_or_insert("ledger");
    /// assert_eq!(services.get_or_insert("ledger"), ledger);
    /// ```
    pub fn get_or_insert(&mut self, name: &str) -> ServiceKey {
        if let Some(&key) = self.by_name.get(name) {
            return key;
        }
        let name = CompactString::from(name);
        let service = Service { name: name.clone(), admitted: 1.0, ..Service::default() };
        let key = self.rows.insert(service);
        self.by_name.insert(name, key);
        key
    }

    /// The service with this key.
    pub fn get(&self, key: ServiceKey) -> Option<&Service> {
        self.rows.get(key)
    }

    /// The service with this key.
    pub fn get_mut(&mut self, key: ServiceKey) -> Option<&mut Service> {
        self.rows.get_mut(key)
    }

    /// The key of the service of this name, if it is known.
    pub fn by_name(&self, name: &str) -> Option<ServiceKey> {
        self.by_name.get(name).copied()
    }

    /// All services, in the order of their names.
    pub fn iter(&self) -> impl Iterator<Item = (ServiceKey, &Service)> {
        self.by_name.values().map(|&key| (key, &self.rows[key]))
    }
}
