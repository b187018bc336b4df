//! The list: pages, lag, rate.

use alderhollow_standins::platform::{
    Instance, ListAnswer, ListQuery, ListSettings, ListedState, Page, PlatformList,
};
use std::time::Duration;

fn instance(id: &str, zone: &str) -> Instance {
    Instance {
        service: "model".into(),
        address: "127.0.0.1:8080".parse().unwrap(),
        zone: zone.into(),
        config_version: "v1".into(),
        slots: 4,
        state: ListedState::Ready,
        cold_remaining_ms: 0,
        id: id.into(),
    }
}

fn list(rate_per_s: usize) -> PlatformList {
    let settings = ListSettings {
        lag: Duration::from_millis(800),
        rate_per_s,
        page_size: 2,
    };
    PlatformList::new(
        settings,
        ["a", "b", "c"].map(|id| instance(id, "east")).to_vec(),
    )
}

fn page(list: &mut PlatformList, at_ms: u64, query: &str) -> Page {
    match list.answer(Duration::from_millis(at_ms), &ListQuery::parse(query)) {
        ListAnswer::Page(page) => page,
        other => panic!("{other:?}"),
    }
}

fn ids(page: &Page) -> Vec<&str> {
    page.instances
        .iter()
        .map(|instance| instance.id.as_str())
        .collect()
}

#[test]
fn pages_follow_each_other_to_the_end() {
    let mut list = list(10);
    let first = page(&mut list, 0, "");
    assert_eq!(
        (ids(&first), first.next_token.as_deref()),
        (vec!["a", "b"], Some("p-2"))
    );
    let second = page(&mut list, 0, "page-token=p-2");
    assert_eq!(
        (ids(&second), second.next_token.as_deref()),
        (vec!["c"], None)
    );
    let unknown = list.answer(Duration::ZERO, &ListQuery::parse("page-token=what"));
    assert_eq!(unknown, ListAnswer::UnknownToken);
}

#[test]
fn a_zone_is_listed_alone() {
    let mut list = list(10);
    list.change(
        Duration::ZERO,
        vec![instance("a", "east"), instance("w", "west")],
    );
    assert_eq!(ids(&page(&mut list, 800, "zone=west")), ["w"]);
}

#[test]
fn a_change_shows_after_the_lag() {
    let mut list = list(10);
    list.change(Duration::from_millis(100), vec![instance("d", "east")]);
    assert_eq!(ids(&page(&mut list, 899, "")), ["a", "b"]);
    assert_eq!(ids(&page(&mut list, 900, "")), ["d"]);
}

#[test]
fn calls_over_the_rate_are_refused_until_the_second_is_over() {
    let mut list = list(2);
    page(&mut list, 0, "");
    page(&mut list, 500, "");
    assert_eq!(
        list.answer(Duration::from_millis(999), &ListQuery::default()),
        ListAnswer::TooMany
    );
    page(&mut list, 1_000, "");
    assert_eq!(
        list.answer(Duration::from_millis(1_001), &ListQuery::default()),
        ListAnswer::TooMany
    );
    assert_eq!(list.calls(), 5);
}
