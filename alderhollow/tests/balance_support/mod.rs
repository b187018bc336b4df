//! Tables and requests for the tests of the balancer.
#![allow(dead_code)]

use alderhollow::balance::{Balancer, ColdBounds, Millis, Prompt, SelectionRequest};
use alderhollow_model::backend::{Backend, BackendList, BackendState};
use alderhollow_model::config::{Config, Engine, Route, Service};
use alderhollow_model::identity::Address;
use alderhollow_model::snapshot::{ControlView, Placer, Senders, Snapshot};
use serde_json::json;
use std::collections::BTreeSet;
use std::sync::Arc;

/// Name of the model engine service.
pub(crate) const ENGINES: &str = "engines";
/// Name of the plain service.
pub(crate) const PLAIN: &str = "plain";
/// Zones of the deployment.
pub(crate) const ZONES: [&str; 3] = ["zone-a", "zone-b", "zone-c"];

/// The tables that snapshots are made from.
#[derive(Clone)]
pub(crate) struct Tables {
    pub backends: Vec<Backend>,
    pub evacuated: BTreeSet<String>,
    pub senders: Vec<String>,
    pub placers: Vec<Placer>,
    pub cold_per_s: f64,
    pub cold_start_s: f64,
    /// The longest acceptable pause between events on the route to the engines.
    pub gap_aim_ms: Option<f64>,
}

impl Tables {
    /// Creates backends of one service, spread over the zones, and senders `node-0`, `node-1` and so on.
    pub(crate) fn new(service: &str, backends: usize, senders: usize) -> Tables {
        Tables {
            backends: (0..backends).map(|index| backend(service, index)).collect(),
            evacuated: BTreeSet::new(),
            senders: (0..senders).map(node_name).collect(),
            placers: Vec::new(),
            cold_per_s: 0.0,
            cold_start_s: 3.0,
            gap_aim_ms: None,
        }
    }

    /// Creates a snapshot received at `now`.
    pub(crate) fn snapshot(&self, now: Millis) -> Snapshot {
        let config = Config {
            services: vec![self.service(ENGINES, true), self.service(PLAIN, false)],
            routes: vec![self.route()],
            ..Config::default()
        };
        let control = ControlView {
            config: Some(Arc::new(config)),
            evacuated: self.evacuated.clone(),
            ..ControlView::default()
        };
        let list = BackendList {
            epoch: 1,
            sequence: 1,
            backends: self.backends.clone(),
        };
        Snapshot {
            control: Arc::new(control),
            backends: Arc::new(list),
            backends_at_ms: now as u64,
            senders: Arc::new(Senders {
                nodes: self.senders.clone(),
                placers: self.placers.clone(),
            }),
            validated: true,
        }
    }

    /// Creates a balancer with these tables.
    pub(crate) fn balancer(&self, node: &str, zone: &str, now: Millis) -> Balancer {
        let mut balancer = Balancer::new(node, zone, 7);
        balancer.set_cold_bounds(COLD_BOUNDS);
        balancer.update(now, &self.snapshot(now));
        balancer
    }

    fn route(&self) -> Route {
        let route = json!({
            "name": "stream", "hostname": "host.example", "path-prefix": "/stream/", "route-type": "streaming",
            "service": ENGINES, "gap_aim_ms": self.gap_aim_ms,
        });
        serde_json::from_value(route).expect("a route")
    }

    fn service(&self, name: &str, has_engine: bool) -> Service {
        let engine = Engine {
            slots: Some(64),
            kv_capacity_tokens: Some(600_000),
            stride: Some(17),
        };
        Service {
            name: name.to_string(),
            health_path: None,
            max_conns: None,
            cold_start_s: self.cold_start_s,
            cold_per_s: self.cold_per_s,
            engine: has_engine.then_some(engine),
        }
    }
}

/// The cold limits of the tests.
pub(crate) const COLD_BOUNDS: ColdBounds = ColdBounds {
    over: 1.5,
    slack: 5.0,
};

/// Name of a sender.
pub(crate) fn node_name(index: usize) -> String {
    format!("node-{index}")
}

/// A ready backend.
pub(crate) fn backend(service: &str, index: usize) -> Backend {
    Backend {
        id: format!("i-{service}-{index}"),
        service: service.to_string(),
        address: Address(std::net::SocketAddr::from(([127, 0, 0, 1], 9000))),
        zone: ZONES[index % ZONES.len()].to_string(),
        slots: if service == ENGINES { 64 } else { 6 },
        state: BackendState::Ready,
        cold_remaining_ms: 0,
    }
}

/// A prompt with one shared part and one unique part.
pub(crate) fn prompt(shared: u64, own: u64) -> Prompt {
    Prompt {
        parts: vec![(shared, 5000), (own, 500)],
        tokens_in: 5500,
        tokens_out: 300,
    }
}

/// A request of the highest priority.
pub(crate) fn selection_request<'a>(
    service: &'a str,
    prompt: Option<&'a Prompt>,
) -> SelectionRequest<'a> {
    SelectionRequest {
        service,
        prompt,
        priority: 0,
        tried: &[],
        expected_weights: None,
        sender: None,
    }
}
