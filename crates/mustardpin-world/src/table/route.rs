//! Routes, derived from the configuration.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use compact_str::CompactString;
use rapidhash::fast::RandomState;
use slotmap::SlotMap;
use smallvec::SmallVec;

use crate::{
    config,
    id::{RouteKey, ServiceKey},
    table::service::Services,
};

/// A service that a route leads to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Part {
    /// The service.
    pub service: ServiceKey,
    /// Its part, in proportion to the weights of the route's other parts.
    pub weight: u32,
    /// What it is owed: the part with the most is next.
    credit: i64,
}

/// A route.
#[derive(Debug, Clone)]
pub struct Route {
    /// As the configuration has it.
    pub config: config::Route,
    /// Its parts.
    pub parts: SmallVec<[Part; 2]>,
}

impl Route {
    /// The service for the next request. Each part gets its share of any run of requests, to
    /// within one.
    pub fn next_service(&mut self) -> Option<ServiceKey> {
        if let [only] = self.parts[..] {
            return Some(only.service);
        }
        let total: i64 = self.parts.iter().map(|part| i64::from(part.weight)).sum();
        for part in &mut self.parts {
            part.credit += i64::from(part.weight);
        }
        let next = self.parts.iter_mut().max_by_key(|part| part.credit)?;
        next.credit -= total;
        Some(next.service)
    }
}

type ByPrefix = HashMap<CompactString, SmallVec<[RouteKey; 1]>, RandomState>;

/// The table of routes. A route keeps its key for as long as its name is there.
#[derive(Debug, Default)]
pub struct Routes {
    rows: SlotMap<RouteKey, Route>,
    by_name: BTreeMap<CompactString, RouteKey>,
    by_host: HashMap<CompactString, ByPrefix, RandomState>,
    of_any_host: ByPrefix,
    /// The lengths of all prefixes there have been.
    lengths: BTreeSet<usize>,
}

impl Routes {
    /// Adds a route or replaces the one of the same name.
    pub fn put(&mut self, config: config::Route, services: &mut Services) -> RouteKey {
        let mut parts: SmallVec<[Part; 2]> = config
            .parts
            .iter()
            .map(|part| Part {
                service: services.get_or_insert(&part.service),
                weight: part.weight,
                credit: 0,
            })
            .collect();
        let name = config.name.clone();
        if let Some(&key) = self.by_name.get(&name) {
            self.unlist(key);
            let old = &self.rows[key];
            if old.config.parts == config.parts {
                parts.clone_from(&old.parts);
            }
            self.rows[key] = Route { config, parts };
            self.list(key);
            return key;
        }
        let key = self.rows.insert(Route { config, parts });
        self.by_name.insert(name, key);
        self.list(key);
        key
    }

    /// Removes the route of this name.
    pub fn remove(&mut self, name: &str) {
        if let Some(key) = self.by_name.remove(name) {
            self.unlist(key);
            self.rows.remove(key);
        }
    }

    /// The route with this key.
    pub fn get(&self, key: RouteKey) -> Option<&Route> {
        self.rows.get(key)
    }

    /// The route with this key.
    pub fn get_mut(&mut self, key: RouteKey) -> Option<&mut Route> {
        self.rows.get_mut(key)
    }

    /// The key of the route of this name.
    pub fn by_name(&self, name: &str) -> Option<RouteKey> {
        self.by_name.get(name).copied()
    }

    /// All routes, in the order of their names.
    pub fn iter(&self) -> impl Iterator<Item = (RouteKey, &Route)> {
        self.by_name.values().map(|&key| (key, &self.rows[key]))
    }

    /// The route for a request: one for its host goes before one for any host, then the longest
    /// prefix, then the route that names the method.
    pub fn resolve(&self, host: &str, method: &str, path: &str) -> Option<RouteKey> {
        let of_host = self.by_host.get(host);
        let found = of_host.and_then(|prefixes| self.longest(prefixes, method, path));
        found.or_else(|| self.longest(&self.of_any_host, method, path))
    }

    fn longest(&self, prefixes: &ByPrefix, method: &str, path: &str) -> Option<RouteKey> {
        let lengths = self.lengths.range(..=path.len()).rev();
        lengths
            .filter_map(|&length| prefixes.get(path.get(..length)?))
            .find_map(|keys| self.of_method(keys, method))
    }

    fn of_method(&self, keys: &[RouteKey], method: &str) -> Option<RouteKey> {
        let wanted = |key: &&RouteKey| self.rows[**key].config.method.as_deref();
        let exact = keys.iter().find(|key| wanted(key) == Some(method));
        exact.or_else(|| keys.iter().find(|key| wanted(key).is_none())).copied()
    }

    fn list(&mut self, key: RouteKey) {
        let config = &self.rows[key].config;
        self.lengths.insert(config.path_prefix.len());
        let prefixes = match &config.host {
            Some(host) => self.by_host.entry(host.clone()).or_default(),
            None => &mut self.of_any_host,
        };
        prefixes.entry(config.path_prefix.clone()).or_default().push(key);
    }

    fn unlist(&mut self, key: RouteKey) {
        let config = &self.rows[key].config;
        let prefixes = match &config.host {
            Some(host) => self.by_host.get_mut(host),
            None => Some(&mut self.of_any_host),
        };
        let Some(prefixes) = prefixes else { return };
        if let Some(keys) = prefixes.get_mut(&config.path_prefix) {
            keys.retain(|other| *other != key);
            if keys.is_empty() {
                prefixes.remove(&config.path_prefix);
            }
        }
    }
}
