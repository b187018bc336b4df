//! Which route a request takes, and which of its services.

use alderhollow::routing::{pick_service, RouteTable};
use alderhollow_model::config::{Config, Route};
use proptest::prelude::*;

fn route(name: &str, hostname: &str, path_prefix: &str) -> Route {
    let document = serde_json::json!({
        "name": name, "hostname": hostname, "path-prefix": path_prefix, "route-type": "idempotent", "service": "one",
    });
    serde_json::from_value(document).expect("a route")
}

fn split(weights: &[f64]) -> Route {
    let parts: Vec<_> = weights
        .iter()
        .enumerate()
        .map(|(index, weight)| serde_json::json!({ "service": format!("s{index}"), "weight": weight }))
        .collect();
    let document = serde_json::json!({
        "name": "split", "hostname": "h", "path-prefix": "/", "route-type": "idempotent", "traffic-split": parts,
    });
    serde_json::from_value(document).expect("a route")
}

fn table(routes: Vec<Route>) -> RouteTable {
    RouteTable::new(&Config { routes, ..Config::default() })
}

fn found(table: &RouteTable, host: &str, path: &str) -> Option<String> {
    table.find(host, path).map(|route| route.name.clone())
}

#[test]
fn a_host_matches_in_any_case_and_with_a_port() {
    let table = table(vec![route("r", "Ficu95.example", "/a/"), route("six", "[::1]", "/a/")]);
    for host in ["ficu95.example", "FICU95.EXAMPLE", "ficu95.example:8080"] {
        assert_eq!(found(&table, host, "/a/x").as_deref(), Some("r"), "{host}");
    }
    for host in ["[::1]", "[::1]:8080"] {
        assert_eq!(found(&table, host, "/a/x").as_deref(), Some("six"), "{host}");
    }
    for host in ["", ":80", "ficu95.example.org", "icu95.example", "[", "[]", "[:"] {
        assert_eq!(found(&table, host, "/a/x"), None, "{host}");
    }
}

#[test]
fn a_path_matches_with_its_query_and_only_from_its_start() {
    let table = table(vec![route("r", "h", "/a/")]);
    assert_eq!(found(&table, "h", "/a/?x=/b/").as_deref(), Some("r"));
    for path in ["/a", "/b/a/", "", "/A/x", "/a?/"] {
        assert_eq!(found(&table, "h", path), None, "{path}");
    }
}

#[test]
fn the_only_service_of_a_route_gets_all() {
    let only = route("r", "h", "/");
    for draw in [0.0, 0.5, 0.999_999, 1.0] {
        assert_eq!(pick_service(&only, draw).as_deref(), Some("one"));
    }
}

#[test]
fn a_route_without_weight_has_no_service() {
    assert_eq!(pick_service(&split(&[0.0, 0.0]), 0.3), None);
    assert_eq!(pick_service(&split(&[]), 0.3), None);
}

/// A path of some of the segments that prefixes are made of too.
fn path() -> impl Strategy<Value = String> {
    prop::collection::vec(prop::sample::select(vec!["a", "b", "ab"]), 0..4)
        .prop_map(|segments| segments.iter().fold("/".to_string(), |path, segment| path + segment + "/"))
}

proptest! {
    #[test]
    fn the_longest_prefix_of_the_host_wins(
        prefixes in prop::collection::btree_set((0usize..2, path()), 0..12),
        host in 0usize..2,
        asked in path(),
        rest in "[a-c/]{0,4}",
    ) {
        let hosts = ["one.example", "two.example"];
        let routes = prefixes.iter().map(|(host, prefix)| route(prefix, hosts[*host], prefix)).collect();
        let asked = asked + &rest;
        let expected = prefixes
            .iter()
            .filter(|(of, prefix)| *of == host && asked.starts_with(prefix.as_str()))
            .map(|(_, prefix)| prefix)
            .max_by_key(|prefix| prefix.len());
        let winner = found(&table(routes), hosts[host], &asked);
        prop_assert_eq!(winner.as_ref(), expected);
    }

    #[test]
    fn services_get_their_shares(weights in prop::collection::vec(0u32..50, 1..5)) {
        let weights: Vec<f64> = weights.into_iter().map(f64::from).collect();
        let total: f64 = weights.iter().sum();
        prop_assume!(total > 0.0);
        let route = split(&weights);
        let draws = 2000;
        let mut counts = vec![0usize; weights.len()];
        for draw in 0..draws {
            let service = pick_service(&route, (f64::from(draw) + 0.5) / f64::from(draws)).expect("one has weight");
            let index: usize = service.trim_start_matches('s').parse().expect("an index");
            counts[index] += 1;
        }
        for (count, weight) in counts.iter().zip(&weights) {
            prop_assert!((*count as f64 - f64::from(draws) * weight / total).abs() <= 2.0);
        }
    }
}
