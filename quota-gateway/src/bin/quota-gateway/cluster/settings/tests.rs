use super::*;
use serde_json::{json, Value};

fn read(name: Option<&str>, told: &Value) -> Result<ClusterSettings, ClusterSettingsError> {
    ClusterSettings::read(
        name,
        &serde_json::from_value(told.clone()).expect("its shape is right"),
    )
}

fn peers(peers: &[(&str, &str)]) -> Value {
    let peers: Vec<Value> = peers
        .iter()
        .map(|(name, at)| json!({"name": name, "address": at}))
        .collect();
    json!({"listen": "127.0.0.1:7946", "peers": peers})
}

#[test]
fn a_roster_is_read_with_its_defaults() {
    let roster = read(
        Some("n0"),
        &peers(&[("n1", "10.0.0.1:7"), ("n2", "10.0.0.2:7")]),
    )
    .expect("it is good");
    assert_eq!(
        (roster.names(), roster.probe.as_millis()),
        (vec!["n1".into(), "n2".into(), "n0".into()], 500)
    );
}

#[test]
fn what_makes_no_sense_is_one_line_that_says_where() {
    let many: Vec<(String, String)> = (0..10_000)
        .map(|n| (format!("m{n}"), "10.0.0.1:7".into()))
        .collect();
    let many: Vec<(&str, &str)> = many
        .iter()
        .map(|(name, at)| (name.as_str(), at.as_str()))
        .collect();
    let good = ("n1", "10.0.0.1:7");
    for (name, told, problem) in [
        (None, peers(&[good]), "name is not set, and fleet needs it"),
        (
            Some("n 0"),
            peers(&[good]),
            "name: a name has 1 to 64 bytes and no spaces",
        ),
        (Some("n0"), peers(&[]), "fleet.peers: there are none"),
        (
            Some("n0"),
            peers(&many),
            "fleet.peers: there are 10000, and 999 are the most",
        ),
        (
            Some("n1"),
            peers(&[good]),
            "fleet.peers[n1]: this is the front door's own name",
        ),
        (
            Some("n0"),
            peers(&[good, ("n1", "10.0.0.2:7")]),
            "fleet.peers[n1]: the name is there twice",
        ),
        (
            Some("n0"),
            peers(&[("", "10.0.0.1:7")]),
            "fleet.peers[]: a name has 1 to 64 bytes and no spaces",
        ),
        (
            Some("n0"),
            peers(&[("n1", "10.0.0.1")]),
            "fleet.peers[n1]: '10.0.0.1' is no address with a port",
        ),
        (
            Some("n0"),
            peers(&[("n1", "10.0.0.1:0")]),
            "fleet.peers[n1]: '10.0.0.1:0' is no address with a port",
        ),
        (
            Some("n0"),
            peers(&[("n1", "[::1]:7")]),
            "fleet.peers[n1]: '[::1]:7' is not of IPv4",
        ),
        (
            Some("n0"),
            peers(&[("n1", "0.0.0.0:7")]),
            "fleet.peers[n1]: 0.0.0.0:7 is no front door's address",
        ),
    ] {
        let found = read(name, &told).expect_err(problem);
        assert!(
            found.to_string().starts_with(&format!("{problem}; ")),
            "{found}"
        );
    }
    let mut hasty = peers(&[good]);
    hasty["probe_ms"] = json!(1);
    assert_eq!(
        read(Some("n0"), &hasty),
        Err(ClusterSettingsError::Probe { probe_ms: 1 })
    );
}

#[test]
fn sessions_need_shards_and_are_only_watched_where_the_file_does_not_say() {
    let mut told = peers(&[("n1", "10.0.0.1:7")]);
    told["sessions"] = json!({"pool": true});
    told["lease_ms"] = json!(3000);
    assert_eq!(
        read(Some("n0"), &told),
        Err(ClusterSettingsError::SessionsAlone)
    );
    told["shards"] = json!({});
    let pool = |told: &Value| read(Some("n0"), told).expect("it is good").sessions;
    assert_eq!(pool(&told), Some(SessionSettings { pool: true }));
    told["sessions"] = json!({});
    assert_eq!(pool(&told), Some(SessionSettings { pool: false }));
    told.as_object_mut().expect("an object").remove("sessions");
    assert_eq!(pool(&told), None);
}
