//! The handover state keeps the format that earlier builds wrote.

mod common;

use alderhollow_recorded_bytes::is_recording;
use common::*;
use quota_gateway::*;

/// State written by a gateway of an earlier build: a customer with past requests, one with an open attempt, and a
/// backend with learned data.
const RECORDED: &str = include_str!("fixtures/hand_over_state.json");

fn host_with_state() -> Host {
    let mut host = Host::new(settings(), &[server(1), server(2)]);
    host.now = 10_000.0;
    for plan in [0, 1] {
        for _ in 0..5 {
            let (id, _) = host.submit(7 + plan as u64, plan, 0);
            host.now += 16.0;
            host.end_attempt(id, 0, Outcome::Ok, Some(0.5));
        }
    }
    host.submit(9, 2, 0);
    host
}

#[test]
fn a_recorded_state_is_read_and_written_unchanged() {
    if is_recording() {
        let written = serde_json::to_string(&host_with_state().gateway.hand_over())
            .expect("the state can be serialized");
        // Parsing may change the last digit of a number, so the fixture is a state that has been parsed once.
        let state: HandoverState = serde_json::from_str(&written).expect("the state can be parsed");
        let state = serde_json::to_string(&state).expect("the state can be serialized");
        let path = concat!(
            env!("CARGO_MANIFEST_DIR"),
            "/tests/fixtures/hand_over_state.json"
        );
        std::fs::write(path, state + "\n").expect("the fixture file can be written");
        return;
    }
    let state: HandoverState =
        serde_json::from_str(RECORDED).expect("a state of an earlier build is readable");
    assert_eq!(
        serde_json::to_string(&state).expect("the state can be serialized") + "\n",
        RECORDED
    );
}

#[test]
fn a_gateway_writes_the_same_keys_as_recorded() {
    if is_recording() {
        return;
    }
    let recorded: serde_json::Value = serde_json::from_str(RECORDED).expect("JSON");
    let state = serde_json::to_value(host_with_state().gateway.hand_over())
        .expect("the state can be serialized");
    assert_eq!(keys(&state), keys(&recorded));
}

/// The keys of a JSON document as dotted paths, without values.
fn keys(value: &serde_json::Value) -> Vec<String> {
    match value {
        serde_json::Value::Object(fields) => fields
            .iter()
            .flat_map(|(key, value)| {
                let nested = keys(value)
                    .into_iter()
                    .map(move |below| format!("{key}.{below}"));
                std::iter::once(key.clone()).chain(nested)
            })
            .collect(),
        serde_json::Value::Array(items) => items.iter().flat_map(keys).collect(),
        _ => Vec::new(),
    }
}

#[test]
fn a_gateway_with_a_recorded_state_serves_requests() {
    if is_recording() {
        return;
    }
    let state: HandoverState =
        serde_json::from_str(RECORDED).expect("a state of an earlier build is readable");
    let mut successor = Host::new(settings(), &[server(1), server(2)]);
    successor.now = 10_200.0;
    successor.gateway.take_over(successor.now, state);
    let (_, actions) = successor.submit(7, 0, 0);
    assert_eq!(send_targets(&actions).len(), 1);
}
