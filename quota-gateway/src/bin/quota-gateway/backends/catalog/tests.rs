use super::*;
use serde_json::json;

const NOW: Millis = 1e12;

fn list(rev: u64, targets: &[(&str, &str, Millis)]) -> List {
    let target = |(uid, state, boot_ms): &(&str, &str, Millis)| json!({"uid": uid, "endpoint": "127.0.0.1:1", "state": state, "boot_ms": boot_ms});
    let targets: Vec<_> = targets.iter().map(target).collect();
    serde_json::from_value(json!({"rev": rev, "all": true, "targets": targets})).expect("a list")
}

/// The names of the backends that are ready.
fn ready(list: &List) -> Vec<&str> {
    list.targets
        .iter()
        .filter(|one| one.state == State::Ready)
        .map(|one| one.uid.as_str())
        .collect()
}

/// Version 9: one backend drains, one is gone, one is new.
fn at_nine() -> Catalog {
    let mut catalog = Catalog::default();
    let old = NOW - 2.0 * LAG;
    let known = list(
        5,
        &[
            ("drains", "ready", old),
            ("gone", "ready", 0.0),
            ("stays", "ready", 0.0),
        ],
    );
    catalog.take_in(ListKind::Cached, known, NOW - 10.0);
    let changes = list(
        9,
        &[
            ("drains", "draining", old),
            ("gone", "gone", 0.0),
            ("new", "ready", NOW - 1000.0),
        ],
    );
    let (kind, _) = catalog.take_in(ListKind::Delta, changes, NOW);
    assert!(
        kind == ListKind::Delta,
        "what is newer is taken as it comes"
    );
    catalog
}

#[test]
fn an_agent_that_lags_gives_no_backend_back_until_it_has_caught_up() {
    let mut catalog = at_nine();
    let old = NOW - 2.0 * LAG;
    let lags = list(
        5,
        &[
            ("drains", "ready", old),
            ("gone", "ready", 0.0),
            ("stays", "ready", 0.0),
        ],
    );
    let (kind, list_now) = catalog.take_in(ListKind::Full, lags, NOW + 10.0);
    assert!(
        kind == ListKind::Full && ready(&list_now) == ["new", "stays"],
        "{:?}",
        ready(&list_now)
    );
    // It takes away, and tells of starts that are newer than what was heard.
    let some = list(
        7,
        &[
            ("stays", "draining", 0.0),
            ("later", "ready", NOW + 15.0),
            ("drains", "ready", NOW + 15.0),
        ],
    );
    let (_, list_now) = catalog.take_in(ListKind::Delta, some, NOW + 20.0);
    assert_eq!(ready(&list_now), ["drains", "later", "new"]);
    // Caught up, it is believed in everything.
    let rest = list(
        9,
        &[
            ("gone", "gone", 0.0),
            ("stays", "ready", 0.0),
            ("new", "ready", NOW - 1000.0),
        ],
    );
    let (kind, list_now) = catalog.take_in(ListKind::Delta, rest, NOW + 30.0);
    assert!(kind == ListKind::Full);
    assert_eq!(ready(&list_now), ["drains", "later", "new", "stays"]);
    let (kind, _) = catalog.take_in(ListKind::Delta, list(10, &[]), NOW + 40.0);
    assert!(kind == ListKind::Delta, "and changes are changes again");
}

#[test]
fn a_discovery_that_counts_anew_is_not_ignored_for_ever() {
    let mut catalog = at_nine();
    let anew = || list(1, &[("drains", "ready", 0.0), ("other", "ready", 0.0)]);
    let (_, list_now) = catalog.take_in(ListKind::Full, anew(), NOW + 10.0);
    // What it does not list and started long ago is gone at once.
    assert_eq!(ready(&list_now), ["new"]);
    let (_, list_now) = catalog.take_in(ListKind::Delta, list(1, &[]), NOW + LAG - 2000.0);
    assert_eq!(ready(&list_now), ["new"]);
    let (_, list_now) = catalog.take_in(ListKind::Delta, list(1, &[]), NOW + LAG);
    assert!(
        ready(&list_now).is_empty(),
        "it started too long ago to be news to an agent that lags"
    );
    let (_, list_now) = catalog.take_in(ListKind::Delta, list(1, &[]), NOW + LAG + 10.0);
    assert_eq!(ready(&list_now), ["drains", "other"]);
    let (kind, _) = catalog.take_in(ListKind::Delta, list(2, &[]), NOW + LAG + 20.0);
    assert!(
        kind == ListKind::Delta,
        "from then on its versions are the ones that count"
    );
}

#[test]
fn what_a_predecessor_hands_over_keeps_the_version_that_is_known() {
    let mut catalog = Catalog::default();
    catalog.take_in(ListKind::Cached, list(5, &[("a", "ready", 0.0)]), NOW);
    catalog.take_in(ListKind::Cached, list(0, &[("a", "draining", 0.0)]), NOW);
    let (_, list_now) =
        catalog.take_in(ListKind::Full, list(4, &[("a", "ready", 0.0)]), NOW + 10.0);
    assert!(ready(&list_now).is_empty());
}
