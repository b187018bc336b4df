//! Each rule of `verdicts` against records that break it, and against the nearest that keep it.

use super::*;
use crate::check::{figures, findings};
use crate::scenario::Scenario;
use Pooling::{Session as Private, Statement, Transaction, Unknown};

/// Customers of the scenario `sessions`: without state, bound for a run, bound for good.
const FREE: u64 = 1;
const RUN: u64 = 2;
const GOOD: u64 = 3;

fn facts() -> Facts {
    let scenario = Scenario::shipped("sessions")
        .expect("it ships")
        .expect("it makes sense");
    Facts {
        checks: vec!["verdicts".into()],
        doors: 3,
        seconds: 20.0,
        ..scenario.facts(1)
    }
}

/// The requests that tell who has which plan, and then this.
fn record(events: &[(u64, Event)]) -> Vec<Entry> {
    let facts = facts();
    let plan = |name: &str| {
        facts
            .plans
            .iter()
            .position(|plan| plan.name == name)
            .expect("it is there")
    };
    let sent = |customer: u64, plan: usize| Event::Sent {
        id: customer.to_string(),
        customer,
        plan,
        class: 0,
        units: 1,
        door: 0,
        due: 0,
        retry: false,
    };
    let all = [(FREE, "stateless"), (RUN, "transaction"), (GOOD, "session")];
    let sent = all
        .into_iter()
        .map(|(customer, name)| (0, sent(customer, plan(name))));
    sent.chain(events.iter().cloned())
        .map(|(ms, event)| Entry {
            us: ms * 1000,
            event,
        })
        .collect()
}

fn broken(events: &[(u64, Event)]) -> usize {
    let findings = findings(&facts(), &record(events));
    assert_eq!(findings.len(), 1, "one check was asked for");
    findings[0].broken
}

fn says(ms: u64, door: usize, customer: u64, pooling: Pooling, fence: (u64, u64)) -> (u64, Event) {
    let (epoch, version) = fence;
    let answer = Session {
        keeper: Some("n2".into()),
        pooling,
        epoch,
        version,
        age_ms: 5,
    };
    let asked_us = ms.saturating_sub(1) * 1000;
    (
        ms,
        Event::Session {
            door,
            customer,
            asked_us,
            answered_us: ms * 1000,
            answer,
        },
    )
}

fn said(ms: u64, customer: u64, pooling: Pooling) -> (u64, Event) {
    says(ms, 0, customer, pooling, (1, 1))
}

#[test]
fn a_bound_customer_that_is_told_as_free_is_found_at_any_time_and_one_that_is_told_as_unknown_is_not(
) {
    for customer in [RUN, GOOD] {
        assert_eq!(
            broken(&[said(1, customer, Statement), said(9, customer, Statement)]),
            2
        );
        assert_eq!(
            broken(&[said(1, customer, Unknown), said(9, customer, Transaction)]),
            0
        );
    }
    assert_eq!(broken(&[said(1, FREE, Statement)]), 0);
    assert_eq!(
        broken(&[said(1, 99, Statement)]),
        0,
        "nobody knows what it needs"
    );
}

#[test]
fn a_customer_without_state_may_be_held_for_more_in_a_twentieth_of_the_last_half() {
    let told = |from: u64, count: u64, held: u64| -> Vec<(u64, Event)> {
        let pooling = |n| if n < held { Transaction } else { Statement };
        (0..count)
            .map(|n| said(from + n, FREE, pooling(n)))
            .collect()
    };
    assert_eq!(broken(&told(10_000, 40, 2)), 0);
    assert_eq!(broken(&told(10_000, 40, 3)), 1);
    assert_eq!(broken(&told(10_000, 19, 19)), 0, "too few to tell");
    assert_eq!(
        broken(&told(5_000, 40, 40)),
        0,
        "the first half is for finding out"
    );
}

#[test]
fn a_keeper_that_is_no_front_door_is_found() {
    let keeps = |name: Option<&str>| {
        let (ms, mut event) = said(1, RUN, Transaction);
        if let Event::Session { answer, .. } = &mut event {
            answer.keeper = name.map(String::from);
        }
        broken(&[(ms, event)])
    };
    assert_eq!(
        [
            keeps(Some("n2")),
            keeps(None),
            keeps(Some("n3")),
            keeps(Some("d0"))
        ],
        [0, 0, 1, 1]
    );
}

#[test]
fn a_word_of_an_older_epoch_or_version_is_found_within_a_life_at_one_door_for_one_customer() {
    let two = |first: (u64, u64), next: (u64, u64)| {
        broken(&[
            says(1, 0, RUN, Transaction, first),
            says(9, 0, RUN, Transaction, next),
        ])
    };
    assert_eq!(two((2, 5), (1, 6)), 1);
    assert_eq!(two((2, 5), (2, 4)), 1);
    assert_eq!([two((2, 5), (2, 5)), two((2, 5), (3, 1))], [0, 0]);
    let first = says(5, 0, RUN, Transaction, (2, 5));
    let old = |door, customer| says(9, door, customer, Transaction, (1, 1));
    assert_eq!(broken(&[first.clone(), old(1, RUN)]), 0, "another door");
    assert_eq!(
        broken(&[first.clone(), old(0, GOOD)]),
        0,
        "another customer"
    );
    let start = |ms| {
        (
            ms,
            Event::Door {
                door: 0,
                life: Life::Started,
            },
        )
    };
    assert_eq!(
        broken(&[first.clone(), start(7), old(0, RUN)]),
        0,
        "another life"
    );
    let newer = says(12, 0, RUN, Transaction, (0, 9));
    assert_eq!(
        broken(&[first, start(7), old(0, RUN), newer]),
        1,
        "and back within that one"
    );
}

#[test]
fn a_keeper_that_keeps_no_more_tells_what_it_said_last_unless_that_is_less_cautious() {
    // The scenario's keeper is n2: door 2 tells of itself.
    let back = |door, first, next| {
        broken(&[
            says(1, door, GOOD, first, (2, 2)),
            says(9, door, GOOD, next, (1, 1)),
        ])
    };
    assert_eq!(back(2, Transaction, Transaction), 0);
    assert_eq!(back(2, Transaction, Private), 0);
    assert_eq!(back(2, Transaction, Unknown), 0, "it has faded");
    assert_eq!(
        [back(2, Private, Transaction), back(2, Private, Unknown)],
        [1, 1]
    );
    assert_eq!(
        back(1, Transaction, Transaction),
        1,
        "it was never the keeper"
    );
}

#[test]
fn the_figures_tell_how_long_the_verdict_of_the_last_half_took_and_what_was_less_than_the_truth() {
    let mut events = vec![said(2_000, GOOD, Transaction), said(4_000, GOOD, Private)];
    let late = |n| if n == 0 { Transaction } else { Private };
    events.extend((0..5).map(|n| said(15_000 + n, GOOD, late(n))));
    events.extend((0..5).map(|n| said(15_000 + n, RUN, Unknown)));
    let told = figures(&facts(), &record(&events)).told;
    let of = |kind| told.iter().find(|told| told.kind == kind).cloned();
    assert_eq!(of(Kind::Statement), None, "nobody asked");
    let session = of(Kind::Session).expect("it was asked for");
    assert_eq!(
        (session.with_verdict, session.first_told_median_ms),
        (1, Some(4_000.0))
    );
    assert_eq!(
        (session.answers, session.less, session.right, session.more),
        (5, 1, 4, 0)
    );
    let run = of(Kind::Transaction).expect("it was asked for");
    assert_eq!(
        (run.customers, run.with_verdict, run.first_told_median_ms),
        (1, 0, None)
    );
}
