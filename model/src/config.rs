//! The operators' configuration: the typed view of the stored document.
//!
//! The document itself is stored as it was sent; fields unknown to this version are ignored here.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Version of a configuration, chosen by the operator. It increases, not necessarily by one.
pub type ConfigVersion = u64;

/// Kind of a route: whether its requests may be repeated, and how they are answered.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RouteType {
    /// A request may be executed more than once.
    Idempotent,
    /// An attempt of a client is executed at most once.
    NonIdempotent,
    /// The answer is a stream of events. An attempt of a client is executed at most once, unless the route is resumable.
    Streaming,
    /// Accepts batch jobs.
    Batch,
}

/// A service with its weight in a traffic split.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct WeightedService {
    /// Name of the service.
    pub service: String,
    /// Weight relative to the other services of the split.
    pub weight: f64,
}

/// A route: the destination and policy of requests with one host and path prefix.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Route {
    /// Unique name.
    pub name: String,
    /// The `Host` of its requests.
    pub hostname: String,
    /// Path prefix of its requests; starts and ends with a slash.
    pub path_prefix: String,
    /// Whether requests may be repeated, and how they are answered.
    pub route_type: RouteType,
    /// Timeout of a request, in milliseconds. It does not apply to batch items.
    #[serde(default)]
    pub timeout_ms: Option<u64>,
    /// Latency target, in milliseconds: an answer within it has its full value.
    #[serde(default)]
    pub target_latency_ms: Option<u64>,
    /// Priority; 0 is the highest.
    #[serde(default)]
    pub priority: u32,
    /// Destination, if the traffic is not split.
    #[serde(default)]
    pub service: Option<String>,
    /// Destinations of a split route, with their weights.
    #[serde(default)]
    pub traffic_split: Vec<WeightedService>,
    /// Maximum number of backends that one client attempt or batch item may be sent to.
    #[serde(default)]
    pub max_attempts: Option<u32>,
    /// Whether requests share prompt prefixes, so that affinity to a backend's prefix cache pays.
    #[serde(default)]
    pub sticky: bool,
    /// Whether an interrupted stream may be resumed at another backend.
    #[serde(default)]
    pub resumable: bool,
    /// Target for the longest gap between two events of a stream, in milliseconds.
    #[serde(default, rename = "gap_aim_ms")]
    pub gap_aim_ms: Option<f64>,
    /// Latency target of a batch job, from its first submission to its last result, in milliseconds.
    #[serde(default)]
    pub run_target_ms: Option<u64>,
    /// Time after the first submission of a batch job from which its items may be abandoned, in seconds.
    #[serde(default)]
    pub retention_s: Option<f64>,
    /// Maximum number of queued tokens of the route over all gateways; 0: no limit.
    #[serde(default)]
    pub max_queued_tokens: u64,
}

impl Route {
    /// The destinations with their weights. A route that is not split has one, with weight 1.
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

    /// Whether a request of this route may be executed more than once.
    pub fn may_repeat(&self) -> bool {
        match self.route_type {
            RouteType::Idempotent | RouteType::Batch => true,
            RouteType::NonIdempotent => false,
            RouteType::Streaming => self.resumable,
        }
    }
}

/// The inference engine behind a service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Engine {
    /// Number of requests that it processes concurrently.
    #[serde(default)]
    pub slots: Option<u32>,
    /// Capacity of the KV cache in tokens, shared by running requests and cached prefixes.
    #[serde(default)]
    pub kv_capacity_tokens: Option<u64>,
    /// Maximum number of tokens in one event.
    #[serde(default)]
    pub stride: Option<u32>,
}

/// A service: a group of interchangeable backends.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Service {
    /// Unique name.
    pub name: String,
    /// Path of the health check request.
    #[serde(default)]
    pub health_path: Option<String>,
    /// Maximum number of connections that one backend accepts, from all clients together.
    #[serde(default)]
    pub max_conns: Option<u32>,
    /// Warm-up time (slow start) of a backend that starts under traffic, in seconds.
    #[serde(default)]
    pub cold_start_s: f64,
    /// Maximum request rate of a backend during its warm-up, per second; 0: no limit.
    #[serde(default)]
    pub cold_per_s: f64,
    /// The inference engine, if it has one.
    #[serde(default)]
    pub engine: Option<Engine>,
}

/// Limits on client requests and connections.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Limits {
    /// Maximum size of a request head, in bytes.
    pub max_header_bytes: u64,
    /// Maximum size of a request body, in bytes.
    pub max_body_bytes: u64,
    /// Timeout for the receipt of a request head, in milliseconds.
    pub header_timeout_ms: u64,
    /// Idle timeout of a connection, in milliseconds.
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

/// A complete configuration.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Config {
    /// Version of the configuration.
    pub config_version: ConfigVersion,
    /// All routes.
    #[serde(default)]
    pub routes: Vec<Route>,
    /// All services.
    #[serde(default)]
    pub services: Vec<Service>,
    /// Limits on client requests and connections.
    #[serde(default)]
    pub limits: Limits,
}

impl Config {
    /// The services, by name.
    pub fn services_by_name(&self) -> BTreeMap<&str, &Service> {
        self.services
            .iter()
            .map(|service| (service.name.as_str(), service))
            .collect()
    }

    /// For each service: the smallest gap target (`gap_aim_ms`) of its routes, in milliseconds.
    pub fn gap_aims_by_service(&self) -> BTreeMap<&str, f64> {
        let mut targets: BTreeMap<&str, f64> = BTreeMap::new();
        for route in &self.routes {
            let Some(target_ms) = route.gap_aim_ms.filter(|target_ms| *target_ms > 0.0) else {
                continue;
            };
            let split = route.traffic_split.iter().map(|weighted| &weighted.service);
            for service in route.service.iter().chain(split) {
                let min_target_ms = targets.entry(service).or_insert(target_ms);
                *min_target_ms = min_target_ms.min(target_ms);
            }
        }
        targets
    }
}
