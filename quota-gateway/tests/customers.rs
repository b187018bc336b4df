//! What is known of one customer is used for no other, nor for the same number under another plan.

mod common;

use common::*;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, RngSeed, TestRng, TestRunner};
use quota_gateway::*;
use std::collections::BTreeMap;

/// Plans with a ceiling and no quota, so that no coin is tossed: a wide one, a narrow one, and one whose store
/// is mostly slack.
fn ceilings() -> Settings {
    let plan = |ceiling_rate, ceiling_burst, ceiling_slack| Plan {
        price: 1.0,
        ceiling_rate,
        ceiling_burst,
        ceiling_slack,
        ..Plan::default()
    };
    Settings {
        plans: vec![
            plan(20.0, 40.0, 4.0),
            plan(1.0, 4.0, 0.0),
            plan(0.1, 0.1, 9.9),
        ],
        ..settings()
    }
}

/// Bounds of all stores, kept apart by customer and plan: each fills from the gateway's birth.
struct Bounds {
    settings: Settings,
    stores: BTreeMap<(CustomerId, usize), (f64, Millis)>,
}

impl Bounds {
    fn take(&mut self, customer: CustomerId, plan: usize, now: Millis) {
        let Plan {
            ceiling_rate,
            ceiling_burst,
            ceiling_slack,
            ..
        } = self.settings.plans[plan];
        // The host names a spread of two.
        let (rate, most) = (ceiling_rate / 2.0, (ceiling_burst + ceiling_slack) / 2.0);
        let (units, at) = self.stores.entry((customer, plan)).or_insert((0.0, 0.0));
        *units = (*units + (now - *at) / 1000.0 * rate).min(most) - 1.0;
        *at = now;
        assert!(
            *units >= -1e-6,
            "customer {customer} under plan {plan} is {} beyond its ceiling",
            -*units
        );
    }
}

#[test]
fn ceilings_hold_for_each_customer_and_plan_in_any_order_of_requests_and_after_any_pause() {
    let step = (
        0..2u64,
        0..3usize,
        0..40usize,
        prop_oneof![4 => 0.0..50.0, 2 => 0.0..3000.0, 1 => 0.0..90_000.0],
    );
    let config = Config {
        cases: 300,
        rng_seed: RngSeed::Fixed(11),
        failure_persistence: None,
        ..Config::default()
    };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[5; 32]);
    let mut runner = TestRunner::new_with_rng(config, rng);
    runner
        .run(&prop::collection::vec(step, 1..60), |steps| {
            let mut host = Host::new(ceilings(), &[server(1), server(2)]);
            let mut bounds = Bounds {
                settings: ceilings(),
                stores: BTreeMap::new(),
            };
            for (customer, plan, count, wait) in steps {
                host.now += wait;
                for _ in 0..count {
                    let (id, actions) = host.ask(customer, plan, 0);
                    if !sends(&actions).is_empty() {
                        bounds.take(customer, plan, host.now);
                        host.end(id, 0, Outcome::Ok, None);
                    }
                }
            }
            Ok(())
        })
        .expect("ceilings hold");
}

#[test]
fn what_one_plan_uses_is_not_read_as_the_use_of_another_under_the_same_number() {
    let plans = vec![
        Plan {
            rate: 10.0,
            burst: 20.0,
            price: 1.0,
            over_cost: 1.0,
            ..Plan::default()
        },
        Plan {
            rate: 1000.0,
            burst: 2000.0,
            price: 1.0,
            over_cost: 1.0,
            ..Plan::default()
        },
    ];
    let mut host = Host::new(
        Settings {
            plans,
            ..settings()
        },
        &[server(1), server(2)],
    );
    let mut refusals = 0;
    for step in 0..200 {
        host.now += 100.0;
        // The wide plan is far beyond its quota, the narrow one far inside.
        for _ in 0..4 {
            let (id, _) = host.ask(7, 1, 0);
            host.end(id, 0, Outcome::Ok, Some(6.0 + f64::from(step % 3)));
        }
        if step % 4 == 0 {
            let (id, actions) = host.ask(7, 0, 0);
            refusals += u32::from(step > 40 && refused(&actions));
            host.end(id, 0, Outcome::Ok, Some(0.25));
        }
    }
    assert_eq!(refusals, 0, "refused for the use of another plan");
}

#[test]
fn an_answer_under_one_plan_gives_back_no_place_of_another() {
    let mut plans = settings().plans;
    plans.push(plans[2]);
    let mut host = Host::new(
        Settings {
            plans,
            ..settings()
        },
        &[server(1), server(2)],
    );
    let (first, actions) = host.ask(7, 2, 0);
    assert_eq!(sends(&actions).len(), 1);
    let (other, actions) = host.ask(7, 4, 0);
    assert_eq!(sends(&actions).len(), 1, "the other plan's cap is its own");
    let (waiting, actions) = host.ask(7, 2, 0);
    assert!(
        sends(&actions).is_empty() && !refused(&actions),
        "the cap of 2 gives each of two gateways one"
    );
    assert_eq!(
        host.gateway.in_flight()[&7],
        2,
        "a successor counts them all"
    );
    assert!(sends(&host.end(other, 0, Outcome::Ok, None)).is_empty());
    let actions = host.end(first, 0, Outcome::Ok, None);
    assert!(actions
        .iter()
        .any(|action| matches!(action, Action::Send { request, .. } if *request == waiting)));
}

#[test]
fn a_successor_finds_each_plans_store_as_it_was_left() {
    let mut first = Host::new(ceilings(), &[server(1)]);
    first.now = 10_000.0;
    let drained = (0..100)
        .filter(|_| !sends(&first.ask(7, 1, 0).1).is_empty())
        .count();
    assert_eq!(drained, 2);
    let (_, wide) = first.ask(7, 0, 0);
    assert_eq!(sends(&wide).len(), 1);
    let state = first.gateway.hand_over();
    let mut second = Host::new(ceilings(), &[server(1)]);
    second.now = first.now;
    second.gateway.take_over(second.now, state);
    assert!(
        refused(&second.ask(7, 1, 0).1),
        "the narrow store is drained"
    );
    assert_eq!(
        sends(&second.ask(7, 0, 0).1).len(),
        1,
        "the wide one is not"
    );
}
