//! Services: what routes lead to, and the peers whose targets belong to them.

use std::collections::BTreeMap;

use compact_str::CompactString;
use slotmap::SlotMap;

use crate::id::{PeerKey, ServiceKey};

/// A service.
#[derive(Debug, Clone, Default)]
pub struct Service {
    /// Its name.
    pub name: CompactString,
    /// The peers whose targets belong to it, in the order in which they were found.
    pub peers: Vec<PeerKey>,
    /// Repeats that requests for it have earned at this node.
    pub retry_tokens: f64,
    /// How much its targets are asked for, as a multiple of what they can do, smoothed.
    pub demand: f64,
    /// The part of the requests that lead to it which is let through at the top of call chains.
    pub admitted: f64,
}

/// The table of services. A service stays for as long as the process runs.
#[derive(Debug, Default)]
pub struct Services {
    rows: SlotMap<ServiceKey, Service>,
    by_name: BTreeMap<CompactString, ServiceKey>,
}

impl Services {
    /// The service of this name. Adds it if need be.
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
