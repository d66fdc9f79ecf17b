//! Routes, derived from the configuration.

use std::collections::BTreeMap;

use compact_str::CompactString;
use slotmap::SlotMap;

use crate::{config, id::RouteKey};

/// The table of routes.
#[derive(Debug, Default)]
pub struct Routes {
    rows: SlotMap<RouteKey, config::Route>,
    by_name: BTreeMap<CompactString, RouteKey>,
}

impl Routes {
    /// Adds a route or replaces the one of the same name, whose key stays.
    pub fn put(&mut self, route: config::Route) -> RouteKey {
        if let Some(&key) = self.by_name.get(&route.name) {
            self.rows[key] = route;
            return key;
        }
        let name = route.name.clone();
        let key = self.rows.insert(route);
        self.by_name.insert(name, key);
        key
    }

    /// Removes the route of this name.
    pub fn remove(&mut self, name: &str) {
        if let Some(key) = self.by_name.remove(name) {
            self.rows.remove(key);
        }
    }

    /// The route with this key.
    pub fn get(&self, key: RouteKey) -> Option<&config::Route> {
        self.rows.get(key)
    }

    /// The key of the route of this name.
    pub fn by_name(&self, name: &str) -> Option<RouteKey> {
        self.by_name.get(name).copied()
    }

    /// The route for a request: the longest prefix wins, then the one that names the method.
    pub fn resolve(&self, method: &str, path: &str) -> Option<RouteKey> {
        self.by_name
            .values()
            .copied()
            .filter(|&key| matches(&self.rows[key], method, path))
            .max_by_key(|&key| (self.rows[key].path_prefix.len(), self.rows[key].method.is_some()))
    }

    /// All routes, in the order of their names.
    pub fn iter(&self) -> impl Iterator<Item = (RouteKey, &config::Route)> {
        self.by_name.values().map(|&key| (key, &self.rows[key]))
    }
}

fn matches(route: &config::Route, method: &str, path: &str) -> bool {
    let method_matches = route.method.as_ref().is_none_or(|wanted| wanted == method);
    method_matches && path.starts_with(route.path_prefix.as_str())
}
