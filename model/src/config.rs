//! The operators' configuration: a document, kept as it was sent, and the typed view that processes act on.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Number of a configuration, chosen by the operator; rises in uneven steps.
pub type ConfigVersion = u64;

/// What may repeat on a route, and how its requests are served.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RouteType {
    /// May run more than once.
    Idempotent,
    /// Runs at most once a try.
    NonIdempotent,
    /// Answers with a stream of events; at most once a try unless the route is resumable.
    Streaming,
    /// Takes batch jobs.
    Batch,
}

/// A part of a route's traffic.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct WeightedService {
    /// The service's name.
    pub service: String,
    /// Its weight among the parts.
    pub weight: f64,
}

/// Where requests of one host and path prefix go.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Route {
    /// Unique name.
    pub name: String,
    /// The `Host` it is for.
    pub hostname: String,
    /// Begins and ends with a slash.
    pub path_prefix: String,
    /// What may repeat.
    pub route_type: RouteType,
    /// Longest time that the operator wants a request held; batch items stand outside it.
    #[serde(default)]
    pub timeout_ms: Option<u64>,
    /// Within this an answer earns its full worth.
    #[serde(default)]
    pub target_latency_ms: Option<u64>,
    /// Rank; 0 is the highest.
    #[serde(default)]
    pub priority: u32,
    /// The only service, if the traffic is not split.
    #[serde(default)]
    pub service: Option<String>,
    /// The parts of a split route.
    #[serde(default)]
    pub traffic_split: Vec<WeightedService>,
    /// Most backends that one try (or item) may run on.
    #[serde(default)]
    pub max_attempts: Option<u32>,
    /// Whether requests share parts of their prompts.
    #[serde(default)]
    pub sticky: bool,
    /// Whether a stream may be taken up at another backend.
    #[serde(default)]
    pub resumable: bool,
    /// Longest pause between events that keeps an answer in time.
    #[serde(default, rename = "gap_aim_ms")]
    pub gap_aim_ms: Option<f64>,
    /// All results of a batch job are due so long after it was first sent.
    #[serde(default)]
    pub run_target_ms: Option<u64>,
    /// An item may be given up so long after its batch job was first sent.
    #[serde(default)]
    pub retention_s: Option<f64>,
    /// Tokens that may wait on the route over all gateways; 0: no limit.
    #[serde(default)]
    pub max_queued_tokens: u64,
}

impl Route {
    /// The services with their weights; a route that is not split has one.
    pub fn services(&self) -> Vec<WeightedService> {
        match &self.service {
            Some(service) if self.traffic_split.is_empty() => {
                vec![WeightedService {
                    service: service.clone(),
                    weight: 1.0,
                }]
            }
            _ => self.traffic_split.clone(),
        }
    }

    /// Whether a request of this route may run a second time.
    pub fn may_repeat(&self) -> bool {
        match self.route_type {
            RouteType::Idempotent | RouteType::Batch => true,
            RouteType::NonIdempotent => false,
            RouteType::Streaming => self.resumable,
        }
    }
}

/// The model engine behind a service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Engine {
    /// Requests that run at once.
    #[serde(default)]
    pub slots: Option<u32>,
    /// Tokens that running requests and cached prompt parts share.
    #[serde(default)]
    pub kv_capacity_tokens: Option<u64>,
    /// Tokens an event may hold.
    #[serde(default)]
    pub stride: Option<u32>,
}

/// A group of like backends.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Service {
    /// Unique name.
    pub name: String,
    /// Path of the health check.
    #[serde(default)]
    pub health_path: Option<String>,
    /// Connections that one backend accepts from all callers together.
    #[serde(default)]
    pub max_conns: Option<u32>,
    /// How long a start during traffic leaves a backend cold.
    #[serde(default)]
    pub cold_start_s: f64,
    /// Requests a second that a cold backend bears; 0: no bound.
    #[serde(default)]
    pub cold_per_s: f64,
    /// The model engine, if it has one.
    #[serde(default)]
    pub engine: Option<Engine>,
}

/// Bounds on what a client may send.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Limits {
    /// Largest head.
    pub max_header_bytes: u64,
    /// Largest body.
    pub max_body_bytes: u64,
    /// Longest time for a head.
    pub header_timeout_ms: u64,
    /// How long a connection may stay idle.
    pub idle_timeout_ms: u64,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits {
            max_header_bytes: 16 * 1024,
            max_body_bytes: 4 * 1024 * 1024,
            header_timeout_ms: 3000,
            idle_timeout_ms: 15_000,
        }
    }
}

/// A whole configuration, as processes act on it. Fields that are not known here stay in the document.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Config {
    /// Its number.
    pub config_version: ConfigVersion,
    /// The routes.
    #[serde(default)]
    pub routes: Vec<Route>,
    /// The services.
    #[serde(default)]
    pub services: Vec<Service>,
    /// The bounds on clients.
    #[serde(default)]
    pub limits: Limits,
}

impl Config {
    /// The services by name.
    pub fn services_by_name(&self) -> BTreeMap<&str, &Service> {
        self.services
            .iter()
            .map(|service| (service.name.as_str(), service))
            .collect()
    }

    /// By service, the least of its routes' longest pauses between events that are in time.
    pub fn gap_aims_by_service(&self) -> BTreeMap<&str, f64> {
        let mut aims: BTreeMap<&str, f64> = BTreeMap::new();
        for route in &self.routes {
            let Some(aim_ms) = route.gap_aim_ms.filter(|aim_ms| *aim_ms > 0.0) else {
                continue;
            };
            let parts = route.traffic_split.iter().map(|part| &part.service);
            for service in route.service.iter().chain(parts) {
                let least = aims.entry(service).or_insert(aim_ms);
                *least = least.min(aim_ms);
            }
        }
        aims
    }
}
