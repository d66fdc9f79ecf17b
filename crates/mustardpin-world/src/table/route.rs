//! Routes, derived from the configuration.

use crate::{config, id::RouteKey, table::registry::Registry};

/// The table of routes.
pub type Routes = Registry<RouteKey, config::Route>;

impl Routes {
    /// The route for a request: the longest prefix wins, then the one that names the method.
    pub fn resolve(&self, method: &str, path: &str) -> Option<RouteKey> {
        self.iter()
            .filter(|(_, route)| matches(route, method, path))
            .max_by_key(|(_, route)| (route.path_prefix.len(), route.method.is_some()))
            .map(|(key, _)| key)
    }
}

fn matches(route: &config::Route, method: &str, path: &str) -> bool {
    let method_matches = route.method.as_ref().is_none_or(|wanted| wanted == method);
    method_matches && path.starts_with(route.path_prefix.as_str())
}
