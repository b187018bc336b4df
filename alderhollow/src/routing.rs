//! Which route a request takes, and which of the route's services.

use crate::balance::hash::hash_name;
use alderhollow_model::config::{Config, Route, WeightedService};
use oorandom::Rand64;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// From the draw for one request of a route to that for the next. The multiples of such a quadratic irrational, taken
/// modulo 1, fill the unit interval evenly, however many there are.
const REQUEST_STEP: f64 = std::f64::consts::SQRT_2 - 1.0;
/// From the first draw of one process to that of the next in the list of senders: the golden ratio's fraction. As it has
/// no ratio to the other step, no request of one process repeats the draw of another.
const SENDER_STEP: f64 = 0.618_033_988_749_894_9;

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
            by_host
                .entry(route.hostname.to_ascii_lowercase())
                .or_default()
                .push(Arc::new(route.clone()));
        }
        for routes in by_host.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.path_prefix.len()));
        }
        RouteTable { by_host }
    }

    /// The route with the longest prefix that begins the path, among those of the host (a port is passed over).
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        self.of_host(host)
            .iter()
            .find(|route| path.starts_with(&route.path_prefix))
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
        return host
            .find(']')
            .and_then(|end| host.get(..=end))
            .unwrap_or(host);
    }
    host.split(':').next().unwrap_or(host)
}

/// The service that a draw from 0 to 1 falls on, by the route's weights.
pub fn pick_service(route: &Route, draw: f64) -> Option<String> {
    pick_weighted(route.services(), draw)
}

/// The service that a draw from 0 to 1 falls on, by these weights.
fn pick_weighted(services: Vec<WeightedService>, draw: f64) -> Option<String> {
    let total: f64 = services.iter().map(|part| part.weight.max(0.0)).sum();
    let mut left = draw * total;
    for part in &services {
        left -= part.weight.max(0.0);
        if part.weight > 0.0 && left < 0.0 {
            return Some(part.service.clone());
        }
    }
    services
        .into_iter()
        .rev()
        .find(|part| part.weight > 0.0)
        .map(|part| part.service)
}

/// Spreads the requests of each route over its services. The draws of a route are not independent ones: they go round the
/// unit interval in even steps (a low-discrepancy sequence), so that any run of requests comes to within a few requests of
/// the weights. Processes begin at places that are spread evenly too, by their place in the list of senders, so that the
/// first few requests at each of many gateways also keep to the weights together.
#[derive(Debug)]
pub struct ServicePicker {
    random: Rand64,
    /// This process's place in the list of senders, once it is known.
    rank: Option<usize>,
    /// The next draw, by the route's name. It goes on where a configuration changes the weights.
    next_draws: BTreeMap<String, f64>,
}

impl ServicePicker {
    /// A picker that begins at random places, which come from `seed`, until it knows its rank.
    pub fn new(seed: u64) -> ServicePicker {
        ServicePicker {
            random: Rand64::new(u128::from(seed)),
            rank: None,
            next_draws: BTreeMap::new(),
        }
    }

    /// Routes whose first request is still to come begin at the place of this rank.
    pub fn set_rank(&mut self, rank: Option<usize>) {
        self.rank = rank;
    }

    /// The service that the next request of the route goes to, by the weights; `None` if none has any.
    pub fn pick(&mut self, route: &Route) -> Option<String> {
        pick_service(route, self.draw(&route.name))
    }

    /// Like [`ServicePicker::pick`], by the weights of the services that `is_available` admits.
    pub fn pick_available(
        &mut self,
        route: &Route,
        is_available: impl Fn(&str) -> bool,
    ) -> Option<String> {
        let mut services = route.services();
        services.retain(|part| part.weight > 0.0 && is_available(&part.service));
        if services.is_empty() {
            return None;
        }
        pick_weighted(services, self.draw(&route.name))
    }

    /// Forgets the routes that a configuration lacks.
    pub fn keep_routes_of(&mut self, config: &Config) {
        let names: BTreeSet<&str> = config
            .routes
            .iter()
            .map(|route| route.name.as_str())
            .collect();
        self.next_draws
            .retain(|name, _| names.contains(name.as_str()));
    }

    fn draw(&mut self, route: &str) -> f64 {
        if let Some(next) = self.next_draws.get_mut(route) {
            let draw = *next;
            *next = (draw + REQUEST_STEP).fract();
            return draw;
        }
        let first = self.first_draw(route);
        self.next_draws
            .insert(route.to_string(), (first + REQUEST_STEP).fract());
        first
    }

    /// All processes begin a route from one place, which is the route's own, each so many steps further as its rank says.
    fn first_draw(&mut self, route: &str) -> f64 {
        match self.rank {
            Some(rank) => (unit_hash(route) + rank as f64 * SENDER_STEP).fract(),
            None => self.random.rand_float(),
        }
    }
}

/// A place from 0 to 1 that a name always has, in each process.
fn unit_hash(name: &str) -> f64 {
    hash_name(name) as f64 / (u64::MAX as f64 + 1.0)
}
