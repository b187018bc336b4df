use super::*;
use serde_json::{json, Value};

fn read(name: Option<&str>, document: &Value) -> Result<ClusterSettings, ClusterSettingsError> {
    ClusterSettings::read(
        name,
        &serde_json::from_value(document.clone()).expect("a document of the right shape"),
    )
}

fn document_with(peers: &[(&str, &str)]) -> Value {
    let peers: Vec<Value> = peers
        .iter()
        .map(|(name, at)| json!({"name": name, "address": at}))
        .collect();
    json!({"listen": "127.0.0.1:7946", "peers": peers})
}

#[test]
fn a_document_without_optional_keys_gets_the_defaults() {
    let settings = read(
        Some("n0"),
        &document_with(&[("n1", "10.0.0.1:7"), ("n2", "10.0.0.2:7")]),
    )
    .expect("valid settings");
    assert_eq!(
        (settings.names(), settings.probe_period.as_millis()),
        (vec!["n1".into(), "n2".into(), "n0".into()], 500)
    );
}

#[test]
fn an_invalid_value_is_reported_with_its_key() {
    let too_many: Vec<(String, String)> = (0..10_000)
        .map(|n| (format!("m{n}"), "10.0.0.1:7".into()))
        .collect();
    let too_many: Vec<(&str, &str)> = too_many
        .iter()
        .map(|(name, at)| (name.as_str(), at.as_str()))
        .collect();
    let valid = ("n1", "10.0.0.1:7");
    for (name, document, problem) in [
        (
            None,
            document_with(&[valid]),
            "name is not set, and fleet needs it",
        ),
        (
            Some("n 0"),
            document_with(&[valid]),
            "name: a name has 1 to 64 bytes and no spaces",
        ),
        (
            Some("n0"),
            document_with(&[]),
            "fleet.peers: there are none",
        ),
        (
            Some("n0"),
            document_with(&too_many),
            "fleet.peers: there are 10000, more than the maximum of 999",
        ),
        (
            Some("n1"),
            document_with(&[valid]),
            "fleet.peers[n1]: this is the gateway's own name",
        ),
        (
            Some("n0"),
            document_with(&[valid, ("n1", "10.0.0.2:7")]),
            "fleet.peers[n1]: the name is listed twice",
        ),
        (
            Some("n0"),
            document_with(&[("", "10.0.0.1:7")]),
            "fleet.peers[]: a name has 1 to 64 bytes and no spaces",
        ),
        (
            Some("n0"),
            document_with(&[("n1", "10.0.0.1")]),
            "fleet.peers[n1]: '10.0.0.1' is no address with a port",
        ),
        (
            Some("n0"),
            document_with(&[("n1", "10.0.0.1:0")]),
            "fleet.peers[n1]: '10.0.0.1:0' is no address with a port",
        ),
        (
            Some("n0"),
            document_with(&[("n1", "[::1]:7")]),
            "fleet.peers[n1]: '[::1]:7' is not an IPv4 address",
        ),
        (
            Some("n0"),
            document_with(&[("n1", "0.0.0.0:7")]),
            "fleet.peers[n1]: 0.0.0.0:7 is not a unicast address",
        ),
    ] {
        let error = read(name, &document).expect_err(problem);
        assert!(
            error.to_string().starts_with(&format!("{problem}; ")),
            "{error}"
        );
    }
    let mut short_probe = document_with(&[valid]);
    short_probe["probe_ms"] = json!(1);
    assert_eq!(
        read(Some("n0"), &short_probe),
        Err(ClusterSettingsError::ProbeOutOfRange { probe_ms: 1 })
    );
}

#[test]
fn sessions_need_shards_and_only_observe_by_default() {
    let mut document = document_with(&[("n1", "10.0.0.1:7")]);
    document["sessions"] = json!({"pool": true});
    document["lease_ms"] = json!(3000);
    assert_eq!(
        read(Some("n0"), &document),
        Err(ClusterSettingsError::SessionsWithoutShards)
    );
    document["shards"] = json!({});
    let sessions_of =
        |document: &Value| read(Some("n0"), document).expect("valid settings").sessions;
    assert_eq!(sessions_of(&document), Some(SessionSettings { pool: true }));
    document["sessions"] = json!({});
    assert_eq!(
        sessions_of(&document),
        Some(SessionSettings { pool: false })
    );
    document
        .as_object_mut()
        .expect("an object")
        .remove("sessions");
    assert_eq!(sessions_of(&document), None);
}
