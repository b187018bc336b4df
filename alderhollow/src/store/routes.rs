//! Converts the batch routes of a configuration for the engines.

use alderhollow_batch::api::RouteTerms;
use alderhollow_model::config::{Config, Route, RouteType};
use std::collections::BTreeMap;

/// Defaults for batch routes that don't set these values.
const DEFAULT_RUN_TARGET_MS: u64 = 10_000;
const DEFAULT_RETENTION_MS: u64 = 60_000;

/// Returns the terms of each batch route, by the route's name.
pub fn batch_routes(config: &Config) -> BTreeMap<String, RouteTerms> {
    let is_batch = |route: &&Route| route.route_type == RouteType::Batch;
    config
        .routes
        .iter()
        .filter(is_batch)
        .map(|route| (route.name.clone(), terms(route)))
        .collect()
}

fn terms(route: &Route) -> RouteTerms {
    let retention_ms = route
        .retention_s
        .map(|seconds| (seconds.max(0.0) * 1000.0) as u64);
    RouteTerms {
        run_target_ms: route.run_target_ms.unwrap_or(DEFAULT_RUN_TARGET_MS),
        retention_ms: retention_ms.unwrap_or(DEFAULT_RETENTION_MS),
        max_attempts: route.max_attempts.unwrap_or(1),
        max_queued_tokens: route.max_queued_tokens,
    }
}
