//! Items that cannot run must not delay items that can.

use crate::batch_tables::{config, ROUTE};
use alderhollow_model::config::{Config, Engine, Route};
use serde_json::{json, Value};
use std::time::Duration;

use crate::tier::*;

/// Longest time for results of items that can run.
const RESULTS_TIMEOUT: Duration = Duration::from_secs(10);
/// Longest time until an item runs after a backend has the weights that it expects.
const FIRST_RUN_TIMEOUT: Duration = Duration::from_secs(1);
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

/// Items of a job for weights of this version.
fn items_for_version(prefix: &str, count: usize, version: &str) -> Vec<Value> {
    let mut items = items(prefix, count);
    for item in &mut items {
        item["headers"]["Expect-Version"] = json!(version);
    }
    items
}

/// Requests of a backend by the prefix of their ids.
fn requests_of(tier: &Tier, prefix: &str) -> usize {
    let requests = tier.backend.requests();
    let is_of = |id: Option<String>| id.is_some_and(|id| id.starts_with(prefix));
    requests
        .iter()
        .filter(|request| is_of(request.header("request-id")))
        .count()
}

/// Guards against a backend being given up for all work because its weights are not those that one batch job expects.
#[test]
fn items_for_weights_that_come_late_delay_no_others_and_run_soon_after() {
    run_in_local_set(async {
        let tier = Tier::start(vec![], 0).await;
        tier.backend.set_weights(1);
        let early = items_for_version("e", 20, "2");
        let response = tier.submit_through(&tier.endpoints, "early", &early, 4_000);
        assert_eq!(response.await.status(), 202);
        tokio::time::sleep(Duration::from_secs(2)).await;

        assert_eq!(tier.submit(40).await, 202);
        let others = tokio::time::timeout(RESULTS_TIMEOUT, tier.results()).await;
        assert_eq!(others.expect("results in time").len(), 40);
        let early_requests = requests_of(&tier, "e");
        assert!(
            early_requests <= 40,
            "{early_requests} requests of 20 items"
        );

        tier.backend.set_weights(2);
        tokio::time::sleep(FIRST_RUN_TIMEOUT).await;
        assert!(requests_of(&tier, "e") > early_requests, "none has run");
        let early = tokio::time::timeout(RESULTS_TIMEOUT, tier.results_of("early")).await;
        assert_eq!(early.expect("results in time").len(), 20);
    });
}

/// Guards against items for weights that never come using starts, windows or backends.
#[test]
fn items_for_weights_that_never_come_use_nothing() {
    run_in_local_set(async {
        let tier = Tier::start(vec![], 0).await;
        tier.backend.set_weights(1);
        for (job, version) in [("never-1", "7"), ("never-2", "8"), ("never-3", "none")] {
            let items = items_for_version(job, 200, version);
            let response = tier.submit_through(&tier.endpoints, job, &items, 4_000);
            assert_eq!(response.await.status(), 202);
        }
        for job in 0..4 {
            let id = format!("j{job}");
            let items = items(&format!("plain-{job}-"), 20);
            let response = tier.submit_through(&tier.endpoints, &id, &items, 4_000);
            assert_eq!(response.await.status(), 202);
            let results = tokio::time::timeout(RESULTS_TIMEOUT, tier.results_of(&id)).await;
            assert_eq!(results.expect("results in time").len(), 20);
        }
        let requests = requests_of(&tier, "never");
        assert!(requests <= 60, "{requests} requests of 600 items");
    });
}

/// Guards against a rollback of weights being missed: what a backend showed once is no lasting fact.
#[test]
fn items_run_after_a_rollback_of_the_weights() {
    run_in_local_set(async {
        let tier = Tier::start(vec![], 0).await;
        for (job, version) in [("first", 1), ("second", 2), ("back", 1)] {
            tier.backend.set_weights(version);
            let items = items_for_version(job, 10, &version.to_string());
            let response = tier.submit_through(&tier.endpoints, job, &items, 4_000);
            assert_eq!(response.await.status(), 202);
            let results = tokio::time::timeout(RESULTS_TIMEOUT, tier.results_of(job)).await;
            assert_eq!(results.expect("results in time").len(), 10);
        }
    });
}
