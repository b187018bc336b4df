//! Which route a request takes, and which of the route's services.

use alderhollow_model::config::{Config, Route};
use std::collections::BTreeMap;
use std::sync::Arc;

/// The routes of one configuration, ready for look-up.
#[derive(Debug, Default)]
pub struct RouteTable {
    by_host: BTreeMap<String, Vec<Arc<Route>>>,
}

impl RouteTable {
    /// Takes the routes of a configuration.
    pub fn new(config: &Config) -> RouteTable {
        let mut by_host: BTreeMap<String, Vec<Arc<Route>>> = BTreeMap::new();
        for route in &config.routes {
            by_host.entry(route.hostname.to_ascii_lowercase()).or_default().push(Arc::new(route.clone()));
        }
        for routes in by_host.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.path_prefix.len()));
        }
        RouteTable { by_host }
    }

    /// The route with the longest prefix that begins the path, among those of the host (a port is passed over).
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        self.of_host(host).iter().find(|route| path.starts_with(&route.path_prefix))
    }

    /// All routes of a host, the longest prefix first.
    pub fn of_host(&self, host: &str) -> &[Arc<Route>] {
        let name = without_port(host).to_ascii_lowercase();
        self.by_host.get(&name).map_or(&[], Vec::as_slice)
    }
}

/// A `Host` without its port. An IPv6 address stands in brackets.
fn without_port(host: &str) -> &str {
    if host.starts_with('[') {
        return host.find(']').and_then(|end| host.get(..=end)).unwrap_or(host);
    }
    host.split(':').next().unwrap_or(host)
}

/// The service that a draw from 0 to 1 falls on, by the route's weights.
pub fn pick_service(route: &Route, draw: f64) -> Option<String> {
    let services = route.services();
    let total: f64 = services.iter().map(|part| part.weight.max(0.0)).sum();
    let mut left = draw * total;
    for part in &services {
        left -= part.weight.max(0.0);
        if part.weight > 0.0 && left < 0.0 {
            return Some(part.service.clone());
        }
    }
    services.into_iter().rev().find(|part| part.weight > 0.0).map(|part| part.service)
}
