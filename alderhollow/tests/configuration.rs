//! Configurations: which are valid, what is said of invalid ones, and what a change of named items leads to.

use alderhollow::configuration::{
    apply_patch, check, check_text, digest, read_json, InvalidConfig,
};
use alderhollow::routing::RouteTable;
use alderhollow_model::config::{Config, RouteType};
use proptest::prelude::*;
use serde_json::{json, Value};
use std::collections::BTreeMap;

const CONFIG: &str = include_str!("fixtures/config.json");

fn document() -> Value {
    read_json(CONFIG.as_bytes()).expect("JSON")
}

/// The fixture after a change by a JSON pointer.
fn with(pointer: &str, value: Value) -> Value {
    let mut document = document();
    *document
        .pointer_mut(pointer)
        .expect("the fixture has this place") = value;
    document
}

fn findings_of(result: Result<Config, InvalidConfig>) -> String {
    result.expect_err("the document is invalid").to_string()
}

#[test]
fn a_valid_configuration_gives_its_typed_view() {
    let config = check_text(CONFIG.as_bytes()).expect("valid");
    assert_eq!(config.config_version, 4);
    assert_eq!(config.routes.len(), 3);
    let lots = &config.routes[1];
    assert_eq!(
        (lots.route_type, lots.max_queued_tokens, lots.retention_s),
        (RouteType::Batch, 1_700_000, Some(40.0))
    );
    assert_eq!(config.routes[0].services().len(), 2);
    assert_eq!(
        config.services[0]
            .engine
            .as_ref()
            .and_then(|engine| engine.slots),
        Some(64)
    );
    assert_eq!(config.limits.idle_timeout_ms, 15_000);
    assert!(RouteTable::new(&config)
        .find("desk.example", "/ask/x")
        .is_some());
}

#[test]
fn the_typed_view_goes_through_json_unchanged() {
    let config = check_text(CONFIG.as_bytes()).expect("valid");
    let text = serde_json::to_vec(&config).expect("encodes");
    assert_eq!(
        serde_json::from_slice::<Config>(&text).expect("decodes"),
        config
    );
}

#[test]
fn whole_numbers_and_fractions_are_the_same() {
    let mut document = document();
    document["config-version"] = json!(4.0);
    document["routes"][0]["timeout-ms"] = json!(5000.0);
    document["routes"][0]["priority"] = json!(0.0);
    document["routes"][0]["max-attempts"] = json!(2.0);
    document["routes"][1]["max-queued-tokens"] = json!(1.7e6);
    document["routes"][1]["retention-s"] = json!(40);
    document["services"][0]["cold-per-s"] = json!(31);
    document["services"][0]["max-conns"] = json!(380.0);
    document["limits"]["max-body-bytes"] = json!(4194304.0);
    assert_eq!(
        check(&document).expect("valid"),
        check_text(CONFIG.as_bytes()).expect("valid")
    );
}

#[test]
fn what_the_protocol_does_not_forbid_is_valid() {
    for (pointer, value) in [
        ("/routes/0/traffic-split/1/weight", json!(0)),
        ("/routes/0/traffic-split/0/weight", json!(0.25)),
        ("/routes/2/timeout-ms", json!(1)),
        ("/routes/2/timeout-ms", json!(0.5)),
        ("/routes/2/timeout-ms", Value::Null),
        ("/routes/2/path-prefix", json!("/")),
        ("/routes/2/path-prefix", json!("/ask/deep/er/")),
        ("/routes/2/hostname", json!("other.example")),
        ("/routes/1/max-queued-tokens", json!(0)),
        ("/routes/2/target-latency-ms", json!(0)),
        ("/services/1/protocol", json!({"any": "thing"})),
        ("/limits", json!({"tenants": 3})),
        ("/limits", Value::Null),
        ("/config-version", json!(9_007_199_254_740_992_u64)),
        ("/a-later-part", json!(3)),
    ] {
        let document = with(pointer, value.clone());
        assert!(
            check(&document).is_ok(),
            "{pointer} = {value}: {:?}",
            check(&document)
        );
    }
    assert!(check(&json!({"config-version": 1, "routes": [], "services": []})).is_ok());
}

#[test]
fn every_kind_of_invalid_configuration_is_found() {
    let same_place = json!({"name": "r-2", "hostname": "DESK.example", "path-prefix": "/ask/",
        "route-type": "idempotent", "service": "llm"});
    let mut two_in_one_place = document();
    two_in_one_place["routes"]
        .as_array_mut()
        .expect("list")
        .push(same_place);
    let mut shared_name = document();
    shared_name["routes"][1]["name"] = json!("r-ask");
    shared_name["services"][1]["name"] = json!("llm");
    let cases = [
        (
            "unknown service",
            with("/routes/2/service", json!("nobody")),
        ),
        (
            "unknown service in a split",
            with("/routes/0/traffic-split/1/service", json!("nobody")),
        ),
        ("same place", two_in_one_place),
        ("shared names", shared_name),
        (
            "weights sum to 0",
            with(
                "/routes/0/traffic-split",
                json!([{"service": "llm", "weight": 0}]),
            ),
        ),
        (
            "negative weight",
            with("/routes/0/traffic-split/0/weight", json!(-1)),
        ),
        (
            "weight missing",
            with("/routes/0/traffic-split/0", json!({"service": "llm"})),
        ),
        ("no service", with("/routes/2/service", Value::Null)),
        ("timeout 0", with("/routes/2/timeout-ms", json!(0))),
        ("timeout 0.0", with("/routes/2/timeout-ms", json!(0.0))),
        ("timeout negative", with("/routes/2/timeout-ms", json!(-5))),
        (
            "prefix without slashes",
            with("/routes/2/path-prefix", json!("look")),
        ),
        (
            "prefix without a slash at its end",
            with("/routes/2/path-prefix", json!("/look")),
        ),
        ("prefix empty", with("/routes/2/path-prefix", json!(""))),
        (
            "unknown type",
            with("/routes/2/route-type", json!("sometimes")),
        ),
        (
            "wrong types",
            with(
                "/routes/2",
                json!({"name": 3, "hostname": [], "timeout-ms": "5"}),
            ),
        ),
        ("route is a text", with("/routes/2", json!("r-look"))),
        (
            "several",
            with(
                "/routes",
                json!([{}, {"name": "", "hostname": "h", "timeout-ms": 0}]),
            ),
        ),
        ("routes is an object", with("/routes", json!({}))),
        (
            "services missing",
            json!({"config-version": 4, "routes": []}),
        ),
        (
            "limits wrong",
            with("/limits/max-body-bytes", json!("4 MB")),
        ),
        ("version a fraction", with("/config-version", json!(4.5))),
        ("version a text", with("/config-version", json!("4"))),
        ("version negative", with("/config-version", json!(-4))),
        (
            "version missing",
            with("", json!({"routes": [], "services": []})),
        ),
        ("a list", json!([])),
    ];
    let shown: Vec<String> = cases
        .into_iter()
        .map(|(kind, document)| format!("# {kind}\n{}", findings_of(check(&document))))
        .collect();
    insta::assert_snapshot!(shown.join("\n"));
}

#[test]
fn a_text_cut_short_anywhere_can_not_be_read_whole() {
    let text = CONFIG.trim_end();
    for end in 0..text.len() {
        assert!(
            check_text(&text.as_bytes()[..end]).is_err(),
            "cut after {end} bytes"
        );
    }
}

#[test]
fn a_text_with_more_than_one_value_or_a_key_twice_is_invalid() {
    assert!(check_text(format!("{CONFIG}{{}}").as_bytes()).is_err());
    let twice = CONFIG.replacen(
        "\"config-version\": 4,",
        "\"config-version\": 4, \"config-version\": 4,",
        1,
    );
    insta::assert_snapshot!(findings_of(check_text(twice.as_bytes())));
    assert!(check_text(b"\xff\xfe").is_err());
    assert!(check_text("[".repeat(100_000).as_bytes()).is_err());
}

#[test]
fn a_change_adds_replaces_and_removes_by_name() {
    let patch = json!({
        "config-version": 9,
        "upsert": {
            "routes": [{"name": "r-new", "hostname": "desk.example", "path-prefix": "/look/",
                        "route-type": "idempotent", "service": "more"},
                       {"name": "r-ask", "hostname": "desk.example", "path-prefix": "/ask/",
                        "route-type": "streaming", "service": "llm"}],
            "services": [{"name": "more"}]
        },
        "delete": {"routes": ["r-look", "r-unknown"]},
        "limits": {"idle-timeout-ms": 9000}
    });
    let result = apply_patch(&document(), &patch).expect("applies");
    let config = check(&result).expect("valid");
    let names: Vec<&str> = config
        .routes
        .iter()
        .map(|route| route.name.as_str())
        .collect();
    assert_eq!(names, ["r-ask", "r-lots", "r-new"]);
    assert!(
        result["routes"][0].get("traffic-split").is_none(),
        "an item is replaced whole"
    );
    assert_eq!(config.limits.idle_timeout_ms, 9000);
    assert_eq!(
        config.limits.max_body_bytes, 4_194_304,
        "the other limits stay"
    );
    assert_eq!(
        result["a-later-part"],
        document()["a-later-part"],
        "unknown parts stay"
    );
    assert!(result.get("upsert").is_none() && result.get("delete").is_none());
}

#[test]
fn a_change_is_checked_as_a_whole() {
    let deleted = json!({"config-version": 9, "delete": {"services": ["facts"]}});
    let result = apply_patch(&document(), &deleted).expect("applies");
    assert!(check(&result).is_err(), "routes still name the service");
    let moved = json!({"config-version": 9, "delete": {"services": ["facts"], "routes": ["r-look"]},
        "upsert": {"routes": [{"name": "r-ask", "hostname": "desk.example", "path-prefix": "/ask/",
                               "route-type": "streaming", "service": "llm"}]}});
    let result = apply_patch(&document(), &moved).expect("applies");
    assert!(check(&result).is_ok());
}

#[test]
fn a_senseless_change_is_invalid() {
    for patch in [
        json!([]),
        json!({"upsert": []}),
        json!({"upsert": {"routes": 3}}),
        json!({"upsert": {"routes": [{"hostname": "no name"}]}}),
        json!({"upsert": {"config-version": [{"name": "x"}]}}),
        json!({"delete": {"routes": "r-ask"}}),
        json!({"delete": {"routes": [3]}}),
    ] {
        assert!(apply_patch(&document(), &patch).is_err(), "{patch}");
    }
}

fn any_json() -> impl Strategy<Value = Value> {
    let leaf = prop_oneof![
        Just(Value::Null),
        any::<bool>().prop_map(Value::from),
        any::<i64>().prop_map(Value::from),
        any::<f64>().prop_map(Value::from),
        "[a-z/]{0,6}".prop_map(Value::from),
    ];
    let key = prop::sample::select(vec![
        "name",
        "routes",
        "services",
        "config-version",
        "limits",
        "upsert",
        "delete",
        "hostname",
        "path-prefix",
        "route-type",
        "service",
        "traffic-split",
        "weight",
        "timeout-ms",
        "engine",
        "slots",
    ]);
    leaf.prop_recursive(5, 60, 6, move |inner| {
        prop_oneof![
            prop::collection::vec(inner.clone(), 0..5).prop_map(Value::from),
            prop::collection::vec((key.clone(), inner), 0..6).prop_map(|entries| entries
                .into_iter()
                .map(|(key, value)| (key.to_string(), value))
                .collect()),
        ]
    })
}

/// The same value with the keys of all objects in reverse order.
fn reversed(value: &Value) -> Value {
    match value {
        Value::Array(items) => items.iter().map(reversed).collect(),
        Value::Object(entries) => entries
            .iter()
            .rev()
            .map(|(key, value)| (key.clone(), reversed(value)))
            .collect(),
        other => other.clone(),
    }
}

proptest! {
    #[test]
    fn any_bytes_are_checked_without_panic(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
        let _ = check_text(&bytes);
    }

    #[test]
    fn any_document_and_change_is_checked_without_panic(document in any_json(), patch in any_json()) {
        let _ = check(&document);
        if let Ok(result) = apply_patch(&document, &patch) {
            let _ = check(&result);
        }
    }

    #[test]
    fn a_digest_passes_over_the_order_of_keys_alone(one in any_json(), other in any_json()) {
        prop_assert_eq!(digest(&one), digest(&reversed(&one)));
        if one != other {
            prop_assert_ne!(digest(&one), digest(&other));
        }
    }

    /// Oracle: a map from names to items.
    #[test]
    fn a_change_of_a_list_is_that_of_a_map(
        held in prop::collection::btree_map("[a-e]", any::<u32>(), 0..5),
        upserts in prop::collection::btree_map("[a-g]", any::<u32>(), 0..5),
        deletes in prop::collection::btree_set("[a-g]", 0..5),
    ) {
        let items = |map: &BTreeMap<String, u32>| -> Vec<Value> {
            map.iter().map(|(name, mark)| json!({"name": name, "mark": mark})).collect()
        };
        let document = json!({"config-version": 1, "routes": items(&held)});
        let patch = json!({"config-version": 2, "upsert": {"routes": items(&upserts)}, "delete": {"routes": deletes}});
        let result = apply_patch(&document, &patch).expect("applies");
        let mut expected = held;
        expected.retain(|name, _| !deletes.contains(name));
        expected.extend(upserts);
        let found: BTreeMap<String, u32> = result["routes"].as_array().expect("list").iter()
            .map(|item| (item["name"].as_str().expect("name").to_string(), item["mark"].as_u64().expect("mark") as u32))
            .collect();
        prop_assert_eq!(result["routes"].as_array().expect("list").len(), found.len());
        prop_assert_eq!(found, expected);
        prop_assert_eq!(&result["config-version"], &json!(2));
    }
}
