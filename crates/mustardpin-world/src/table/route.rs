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
    /// The service whose targets run the requests.
    pub service: ServiceKey,
    /// Its share of the requests, in proportion to the weights of the route's other parts.
    pub weight: u32,
    /// Its credit for smooth weighted round-robin: the part with the most gets the next request.
    credit: i64,
}

/// A route, and the state of the split of its requests.
#[derive(Debug, Clone)]
pub struct Route {
    /// The route's row in the configuration.
    pub config: config::Route,
    /// The services that its requests are split between.
    pub parts: SmallVec<[Part; 2]>,
}

impl Route {
    /// The service for the next request. In any sequence of requests, each part gets its share to
    /// within one request.
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

/// The table of routes. A name keeps its key while its route is replaced, or removed and added again.
#[derive(Debug, Default)]
pub struct Routes {
    /// `None` while a route is removed.
    rows: SlotMap<RouteKey, Option<Route>>,
    by_name: BTreeMap<CompactString, RouteKey>,
    by_host: HashMap<CompactString, ByPrefix, RandomState>,
    any_host: ByPrefix,
    /// The lengths of all path prefixes, including those of removed routes.
    prefix_lengths: BTreeSet<usize>,
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
            self.remove_from_index(key);
            if let Some(old) = self.get(key).filter(|old| old.config.parts == config.parts) {
                parts.clone_from(&old.parts);
            }
            self.rows[key] = Some(Route { config, parts });
            self.add_to_index(key);
            return key;
        }
        let key = self.rows.insert(Some(Route { config, parts }));
        self.by_name.insert(name, key);
        self.add_to_index(key);
        key
    }

    /// Removes the route of this name.
    pub fn remove(&mut self, name: &str) {
        if let Some(&key) = self.by_name.get(name) {
            self.remove_from_index(key);
            self.rows[key] = None;
        }
    }

    /// The route with this key.
    pub fn get(&self, key: RouteKey) -> Option<&Route> {
        self.rows.get(key)?.as_ref()
    }

    /// The route with this key.
    pub fn get_mut(&mut self, key: RouteKey) -> Option<&mut Route> {
        self.rows.get_mut(key)?.as_mut()
    }

    /// The key of the route of this name.
    pub fn by_name(&self, name: &str) -> Option<RouteKey> {
        self.by_name.get(name).copied().filter(|&key| self.get(key).is_some())
    }

    /// All routes, in the order of their names.
    pub fn iter(&self) -> impl Iterator<Item = (RouteKey, &Route)> {
        self.by_name.values().filter_map(|&key| Some((key, self.get(key)?)))
    }

    /// The route that matches a request: one for its host before one for any host, then the longest
    /// path prefix, then one for its method before one for any method.
    pub fn resolve(&self, host: &str, method: &str, path: &str) -> Option<RouteKey> {
        let of_host = self.by_host.get(host);
        let found = of_host.and_then(|prefixes| self.match_path(prefixes, method, path));
        found.or_else(|| self.match_path(&self.any_host, method, path))
    }

    fn match_path(&self, prefixes: &ByPrefix, method: &str, path: &str) -> Option<RouteKey> {
        let lengths = self.prefix_lengths.range(..=path.len()).rev();
        lengths
            .filter_map(|&length| prefixes.get(path.get(..length)?))
            .find_map(|keys| self.match_method(keys, method))
    }

    fn match_method(&self, keys: &[RouteKey], method: &str) -> Option<RouteKey> {
        let has_method = |key: &&RouteKey, method: Option<&str>| {
            self.get(**key).is_some_and(|route| route.config.method.as_deref() == method)
        };
        let exact = keys.iter().find(|key| has_method(key, Some(method)));
        exact.or_else(|| keys.iter().find(|key| has_method(key, None))).copied()
    }

    fn add_to_index(&mut self, key: RouteKey) {
        let Some(Route { config, .. }) = &self.rows[key] else { return };
        self.prefix_lengths.insert(config.path_prefix.len());
        let prefixes = match &config.host {
            Some(host) => self.by_host.entry(host.clone()).or_default(),
            None => &mut self.any_host,
        };
        prefixes.entry(config.path_prefix.clone()).or_default().push(key);
    }

    fn remove_from_index(&mut self, key: RouteKey) {
        let Some(Route { config, .. }) = &self.rows[key] else { return };
        let prefixes = match &config.host {
            Some(host) => self.by_host.get_mut(host),
            None => Some(&mut self.any_host),
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
