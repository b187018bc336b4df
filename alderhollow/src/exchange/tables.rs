//! Routes and connection limits derived from a snapshot.

use crate::routing::RouteTable;
use alderhollow_model::config::Config;
use alderhollow_model::snapshot::Snapshot;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::Arc;

/// Fraction of a backend's `max-conns` that all senders together use.
const SENDERS_CONNECTION_SHARE: f64 = 0.9;
/// Connections to one backend that every sender may open.
const MIN_CONNECTIONS: u32 = 4;

/// A snapshot with its routes prepared for lookup.
pub struct Tables {
    /// The snapshot that the tables are derived from.
    pub snapshot: Arc<Snapshot>,
    /// Routes of the configuration.
    pub routes: Rc<RouteTable>,
    /// Per service, the maximum number of connections of this process to each backend.
    connections: BTreeMap<String, u32>,
}

impl Tables {
    /// Reuses the routes of `previous` if the configuration is the same.
    pub fn new(snapshot: Arc<Snapshot>, previous: Option<&Tables>) -> Tables {
        let config = snapshot.control.config.as_ref();
        let unchanged =
            previous.filter(
                |previous| match (config, &previous.snapshot.control.config) {
                    (Some(new), Some(old)) => Arc::ptr_eq(new, old),
                    _ => false,
                },
            );
        let routes = match (unchanged, config) {
            (Some(previous), _) => previous.routes.clone(),
            (None, Some(config)) => Rc::new(RouteTable::new(config)),
            (None, None) => Rc::default(),
        };
        let senders = snapshot.senders.nodes.len();
        let connections =
            config.map_or_else(BTreeMap::new, |config| connection_shares(config, senders));
        Tables {
            snapshot,
            routes,
            connections,
        }
    }

    /// The configuration, if a primary has validated the tables.
    pub fn config(&self) -> Option<&Arc<Config>> {
        self.snapshot
            .control
            .config
            .as_ref()
            .filter(|_| self.snapshot.validated)
    }

    /// Maximum number of connections of this process to each backend of a service.
    pub fn connections(&self, service: &str) -> u32 {
        self.connections.get(service).copied().unwrap_or(u32::MAX)
    }
}

/// A backend resets connections beyond `max-conns`, counted over all callers, so each sender gets an equal share.
fn connection_shares(config: &Config, senders: usize) -> BTreeMap<String, u32> {
    let share = |max_conns: u32| {
        let share = f64::from(max_conns) * SENDERS_CONNECTION_SHARE / senders.max(1) as f64;
        (share as u32).max(MIN_CONNECTIONS)
    };
    let limited = config
        .services
        .iter()
        .filter_map(|service| Some((service, service.max_conns?)));
    limited
        .map(|(service, max_conns)| (service.name.clone(), share(max_conns)))
        .collect()
}
