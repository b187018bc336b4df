//! Which route a request takes, and which of its services.

use alderhollow::routing::{pick_service, RouteTable, ServicePicker};
use alderhollow_model::config::{Config, Route};
use oorandom::Rand64;
use proptest::prelude::*;

fn route(name: &str, hostname: &str, path_prefix: &str) -> Route {
    let document = serde_json::json!({
        "name": name, "hostname": hostname, "path-prefix": path_prefix, "route-type": "idempotent", "service": "one",
    });
    serde_json::from_value(document).expect("a route")
}

fn split(weights: &[f64]) -> Route {
    named_split("split", weights)
}

fn named_split(name: &str, weights: &[f64]) -> Route {
    let parts: Vec<_> = weights
        .iter()
        .enumerate()
        .map(|(index, weight)| serde_json::json!({ "service": format!("s{index}"), "weight": weight }))
        .collect();
    let document = serde_json::json!({
        "name": name, "hostname": "h", "path-prefix": "/", "route-type": "idempotent", "traffic-split": parts,
    });
    serde_json::from_value(document).expect("a route")
}

fn table(routes: Vec<Route>) -> RouteTable {
    RouteTable::new(&Config {
        routes,
        ..Config::default()
    })
}

fn found(table: &RouteTable, host: &str, path: &str) -> Option<String> {
    table.find(host, path).map(|route| route.name.clone())
}

#[test]
fn a_host_matches_in_any_case_and_with_a_port() {
    let table = table(vec![
        route("r", "Ficu95.example", "/a/"),
        route("six", "[::1]", "/a/"),
    ]);
    for host in ["ficu95.example", "FICU95.EXAMPLE", "ficu95.example:8080"] {
        assert_eq!(found(&table, host, "/a/x").as_deref(), Some("r"), "{host}");
    }
    for host in ["[::1]", "[::1]:8080"] {
        assert_eq!(
            found(&table, host, "/a/x").as_deref(),
            Some("six"),
            "{host}"
        );
    }
    for host in [
        "",
        ":80",
        "ficu95.example.org",
        "icu95.example",
        "[",
        "[]",
        "[:",
    ] {
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

/// The shares of a route's services in so many requests, each at one of the gateways by chance.
fn shares(route: &Route, gateways: &mut [ServicePicker], requests: usize, seed: u64) -> Vec<f64> {
    let mut random = Rand64::new(u128::from(seed));
    let mut counts = vec![0.0; route.services().len()];
    for _ in 0..requests {
        let gateway = random.rand_range(0..gateways.len() as u64) as usize;
        let picked = gateways[gateway].pick(route).expect("one has weight");
        let index: usize = picked.trim_start_matches('s').parse().expect("an index");
        counts[index] += 1.0;
    }
    counts.iter().map(|count| count / requests as f64).collect()
}

/// Pickers at random places, of processes that don't know their ranks.
fn pickers(count: u64, seed: u64) -> Vec<ServicePicker> {
    (0..count)
        .map(|gateway| ServicePicker::new(seed * 1_000 + gateway))
        .collect()
}

/// Pickers that know their ranks.
fn ranked(count: u64) -> Vec<ServicePicker> {
    let mut pickers = pickers(count, 0);
    for (rank, picker) in pickers.iter_mut().enumerate() {
        picker.set_rank(Some(rank));
    }
    pickers
}

/// The largest distance of a share from its weight's.
fn farthest(shares: &[f64], weights: &[f64]) -> f64 {
    let total: f64 = weights.iter().sum();
    shares
        .iter()
        .zip(weights)
        .map(|(share, weight)| (share - weight / total).abs())
        .fold(0.0, f64::max)
}

const SPLITS: [&[f64]; 5] = [
    &[90.0, 10.0],
    &[50.0, 50.0],
    &[99.0, 1.0],
    &[1.0, 1.0, 1.0],
    &[70.0, 0.0, 25.0, 5.0],
];

#[test]
fn any_run_of_requests_at_one_gateway_keeps_to_the_weights() {
    for seed in 0..200 {
        for weights in SPLITS {
            let mut gateway = pickers(1, seed);
            for requests in [100, 300] {
                let off = farthest(
                    &shares(&split(weights), &mut gateway, requests, seed),
                    weights,
                );
                assert!(
                    off * requests as f64 <= 4.0,
                    "seed {seed}, {weights:?}, {requests}: {off}"
                );
            }
        }
    }
}

/// In how many of 1,000 runs of 300 requests a share is off by more than a day's tolerance, and by more than the rule's.
fn runs_off(weights: &[f64], gateways: impl Fn(u64) -> Vec<ServicePicker>) -> (u32, u32) {
    let (mut over_tolerance, mut over_rule) = (0, 0);
    for seed in 0..1_000 {
        let route = named_split(&format!("route{seed}"), weights);
        let off = farthest(&shares(&route, &mut gateways(seed), 300, seed), weights);
        over_tolerance += u32::from(off > 0.05);
        over_rule += u32::from(off > 0.2);
    }
    (over_tolerance, over_rule)
}

#[test]
fn many_gateways_with_few_requests_each_keep_to_the_weights_together() {
    for count in [2, 12, 78, 300] {
        for weights in SPLITS {
            let off = runs_off(weights, |_| ranked(count));
            println!("{count} doors, {weights:?}: {off:?} of 1000 runs off");
            // With one request a gateway, the first draws alone decide, and chance leaves some gateways out.
            let most = if count < 300 { 0 } else { 5 };
            assert!(
                off.0 <= most && off.1 == 0,
                "{count} doors, {weights:?}: {off:?}"
            );
        }
    }
}

#[test]
fn gateways_that_do_not_know_their_ranks_are_less_far_off_than_independent_draws() {
    for count in [12, 78] {
        let (over_tolerance, over_rule) = runs_off(&[50.0, 50.0], |seed| pickers(count, seed));
        println!("{count} doors: {over_tolerance} of 1000 runs off");
        // Independent draws: 83 by the normal distribution.
        assert!(
            over_tolerance < 20 && over_rule == 0,
            "{count} doors: {over_tolerance}, {over_rule}"
        );
    }
}

#[test]
fn a_change_of_weights_holds_from_the_next_request_on() {
    for seed in 0..200 {
        let mut gateway = pickers(1, seed);
        shares(&split(&[90.0, 10.0]), &mut gateway, 57, seed);
        for weights in [[10.0, 90.0], [0.0, 100.0], [100.0, 0.0]] {
            let off = farthest(&shares(&split(&weights), &mut gateway, 100, seed), &weights);
            assert!(
                off <= if weights.contains(&0.0) { 0.0 } else { 0.04 },
                "seed {seed}, {weights:?}: {off}"
            );
        }
    }
}

#[test]
fn a_route_that_is_gone_is_forgotten_and_the_others_go_on() {
    let weights = [50.0, 50.0];
    let (mut kept, mut straight) = (pickers(1, 3).remove(0), pickers(1, 3).remove(0));
    let config = Config {
        routes: vec![split(&weights)],
        ..Config::default()
    };
    for _ in 0..20 {
        assert_eq!(kept.pick(&split(&weights)), straight.pick(&split(&weights)));
        kept.keep_routes_of(&config);
    }
    kept.keep_routes_of(&Config::default());
    assert!(kept.pick(&split(&weights)).is_some());
}

/// A path of some of the segments that prefixes are made of too.
fn path() -> impl Strategy<Value = String> {
    prop::collection::vec(prop::sample::select(vec!["a", "b", "ab"]), 0..4).prop_map(|segments| {
        segments
            .iter()
            .fold("/".to_string(), |path, segment| path + segment + "/")
    })
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
