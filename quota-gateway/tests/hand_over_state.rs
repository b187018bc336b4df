//! What a gateway leaves to its successor has the form that earlier builds wrote.

mod common;

use alderhollow_recorded_bytes::is_recording;
use common::*;
use quota_gateway::*;

/// State as a gateway of an earlier build handed it over: a customer with sends, one with an attempt still out, and
/// a backend of which something was learned.
const RECORDED: &str = include_str!("fixtures/hand_over_state.json");

fn used_gateway() -> Host {
    let mut host = Host::new(settings(), &[server(1), server(2)]);
    host.now = 10_000.0;
    for plan in [0, 1] {
        for _ in 0..5 {
            let (id, _) = host.ask(7 + plan as u64, plan, 0);
            host.now += 16.0;
            host.end(id, 0, Outcome::Ok, Some(0.5));
        }
    }
    host.ask(9, 2, 0);
    host
}

#[test]
fn a_recorded_state_is_read_and_written_as_it_was() {
    if is_recording() {
        let written =
            serde_json::to_string(&used_gateway().gateway.hand_over()).expect("it can be written");
        // The last digit of a number may change as it is read the first time.
        let state: HandoverState = serde_json::from_str(&written).expect("it can be read");
        let state = serde_json::to_string(&state).expect("it can be written");
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
        serde_json::to_string(&state).expect("it can be written") + "\n",
        RECORDED
    );
}

#[test]
fn a_gateway_hands_over_the_same_keys_as_recorded() {
    if is_recording() {
        return;
    }
    let recorded: serde_json::Value = serde_json::from_str(RECORDED).expect("JSON");
    let state =
        serde_json::to_value(used_gateway().gateway.hand_over()).expect("it can be written");
    assert_eq!(keys(&state), keys(&recorded));
}

/// The keys of a document with its nesting, values left out.
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
fn a_successor_of_a_recorded_gateway_serves_under_what_was_left() {
    if is_recording() {
        return;
    }
    let state: HandoverState =
        serde_json::from_str(RECORDED).expect("a state of an earlier build is readable");
    let mut successor = Host::new(settings(), &[server(1), server(2)]);
    successor.now = 10_200.0;
    successor.gateway.take_over(successor.now, state);
    let (_, actions) = successor.ask(7, 0, 0);
    assert_eq!(sends(&actions).len(), 1);
}
