//! Items that cannot run must not delay items that can.

use crate::batch_tables::{config, ROUTE};
use alderhollow_model::config::{Config, Engine, Route};
use serde_json::{json, Value};
use std::time::Duration;

use crate::tier::*;

/// Longest time for results of items that can run.
const RESULTS_TIMEOUT: Duration = Duration::from_secs(10);
/// A route whose service has no backend. Its name comes before that of the other route.
const STRANDED_ROUTE: &str = "a-stranded";

/// Capacity of a backend's memory in tokens.
const CAPACITY_TOKENS: u64 = 10_000;

/// Two batch routes, one of them with a service without backends.
fn config_with_stranded_route() -> Config {
    let mut config = config(1, 0);
    let stranded = Route {
        name: STRANDED_ROUTE.to_string(),
        service: Some("stranded".to_string()),
        path_prefix: "/stranded/".to_string(),
        ..config.routes[0].clone()
    };
    assert!(stranded.name.as_str() < ROUTE);
    config.routes.push(stranded);
    config
}

/// A service of model engines whose memory holds [`CAPACITY_TOKENS`].
fn config_with_capacity() -> Config {
    let mut config = config(1, 0);
    config.services[0].engine = Some(Engine {
        slots: Some(64),
        kv_capacity_tokens: Some(CAPACITY_TOKENS),
        stride: None,
    });
    config
}

fn items(prefix: &str, count: usize) -> Vec<Value> {
    (0..count)
        .map(|index| job_item(&format!("{prefix}{index}"), b"body"))
        .collect()
}

/// Items with this many tokens in their prompts.
fn items_of_size(prefix: &str, count: usize, tokens: u64) -> Vec<Value> {
    let mut items = items(prefix, count);
    for item in &mut items {
        item["headers"]["Token-Usage"] = json!(format!("{tokens},100"));
    }
    items
}

/// Guards against items of a service without backends using up the starts of all routes with later names.
#[test]
fn items_that_wait_for_a_backend_do_not_delay_those_of_other_routes() {
    run_in_local_set(async {
        let tier = Tier::start(vec![], 0).await;
        let config = config_with_stranded_route();
        let stranded = config.routes[1].clone();
        tier.publish(config, 2, &[GroupPlan::new(1, 0, &[0, 1, 2])]);
        for job in ["stranded-1", "stranded-2"] {
            let items = items("s", 200);
            let response =
                submit_to_route(&tier.endpoints, stranded.clone(), job, &items, 4_000).await;
            assert_eq!(response.status(), 202);
        }
        assert_eq!(tier.submit(40).await, 202);

        let results = tokio::time::timeout(RESULTS_TIMEOUT, tier.results()).await;

        assert_eq!(results.expect("results in time").len(), 40);
        assert_eq!(tier.backend.requests().len(), 40);
    });
}

/// Guards against items that no backend has the memory for using up the starts of their route, and making idle backends
/// count as full.
#[test]
fn items_too_large_for_any_backend_do_not_delay_others_of_their_route() {
    run_in_local_set(async {
        let tier = Tier::start(vec![], 0).await;
        let config = config_with_capacity();
        let route = config.routes[0].clone();
        tier.backend.set_max_tokens(CAPACITY_TOKENS);
        tier.publish(config, 2, &[GroupPlan::new(1, 0, &[0, 1, 2])]);
        for job in ["large-1", "large-2", "large-3"] {
            let items = items_of_size("l", 200, 2 * CAPACITY_TOKENS);
            let response =
                submit_to_route(&tier.endpoints, route.clone(), job, &items, 4_000).await;
            assert_eq!(response.status(), 202);
        }
        let small = items_of_size("s", 40, 1_000);
        let response = submit_to_route(&tier.endpoints, route, "j1", &small, 4_000).await;
        assert_eq!(response.status(), 202);

        let results = tokio::time::timeout(RESULTS_TIMEOUT, tier.results()).await;

        assert_eq!(results.expect("results in time").len(), 40);
    });
}
