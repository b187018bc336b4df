//! Per-customer state is kept apart by customer and by plan.

mod common;

use common::*;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, RngSeed, TestRng, TestRunner};
use quota_gateway::*;
use std::collections::BTreeMap;

/// Plans with a ceiling and without a quota, so that admission is not probabilistic: a large one, a small one, and
/// one whose bucket is mostly slack.
fn settings_with_ceilings() -> Settings {
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

/// Reference token buckets, one per customer and plan, each refilled from the start of the gateway.
struct ReferenceBuckets {
    settings: Settings,
    buckets: BTreeMap<(CustomerId, usize), (f64, Millis)>,
}

impl ReferenceBuckets {
    fn take(&mut self, customer: CustomerId, plan: usize, now: Millis) {
        let Plan {
            ceiling_rate,
            ceiling_burst,
            ceiling_slack,
            ..
        } = self.settings.plans[plan];
        // The test host submits requests with a spread of two.
        let (rate, most) = (ceiling_rate / 2.0, (ceiling_burst + ceiling_slack) / 2.0);
        let (units, at) = self.buckets.entry((customer, plan)).or_insert((0.0, 0.0));
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
fn ceilings_hold_per_customer_and_plan_for_any_order_and_pauses_of_requests() {
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
            let mut host = Host::new(settings_with_ceilings(), &[server(1), server(2)]);
            let mut reference = ReferenceBuckets {
                settings: settings_with_ceilings(),
                buckets: BTreeMap::new(),
            };
            for (customer, plan, count, wait) in steps {
                host.now += wait;
                for _ in 0..count {
                    let (id, actions) = host.submit(customer, plan, 0);
                    if !send_targets(&actions).is_empty() {
                        reference.take(customer, plan, host.now);
                        host.end_attempt(id, 0, Outcome::Ok, None);
                    }
                }
            }
            Ok(())
        })
        .expect("no ceiling is exceeded");
}

#[test]
fn usage_under_one_plan_does_not_count_for_another_plan_of_the_same_customer_id() {
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
        // Usage of the large plan is far above its quota, that of the small plan far below.
        for _ in 0..4 {
            let (id, _) = host.submit(7, 1, 0);
            host.end_attempt(id, 0, Outcome::Ok, Some(6.0 + f64::from(step % 3)));
        }
        if step % 4 == 0 {
            let (id, actions) = host.submit(7, 0, 0);
            refusals += u32::from(step > 40 && refused(&actions));
            host.end_attempt(id, 0, Outcome::Ok, Some(0.25));
        }
    }
    assert_eq!(refusals, 0, "refused because of usage under another plan");
}

#[test]
fn an_answer_under_one_plan_frees_no_concurrency_slot_of_another() {
    let mut plans = settings().plans;
    plans.push(plans[2]);
    let mut host = Host::new(
        Settings {
            plans,
            ..settings()
        },
        &[server(1), server(2)],
    );
    let (first, actions) = host.submit(7, 2, 0);
    assert_eq!(send_targets(&actions).len(), 1);
    let (other, actions) = host.submit(7, 4, 0);
    assert_eq!(
        send_targets(&actions).len(),
        1,
        "each plan has its own concurrency limit"
    );
    let (waiting, actions) = host.submit(7, 2, 0);
    assert!(
        send_targets(&actions).is_empty() && !refused(&actions),
        "the concurrency limit of 2 gives each of two gateways one"
    );
    assert_eq!(
        host.gateway.in_flight()[&7],
        2,
        "open requests of all plans are counted"
    );
    assert!(send_targets(&host.end_attempt(other, 0, Outcome::Ok, None)).is_empty());
    let actions = host.end_attempt(first, 0, Outcome::Ok, None);
    assert!(actions
        .iter()
        .any(|action| matches!(action, Action::Send { request, .. } if *request == waiting)));
}

#[test]
fn a_successor_takes_over_the_bucket_of_each_plan() {
    let mut first = Host::new(settings_with_ceilings(), &[server(1)]);
    first.now = 10_000.0;
    let drained = (0..100)
        .filter(|_| !send_targets(&first.submit(7, 1, 0).1).is_empty())
        .count();
    assert_eq!(drained, 2);
    let (_, large_plan_send) = first.submit(7, 0, 0);
    assert_eq!(send_targets(&large_plan_send).len(), 1);
    let state = first.gateway.hand_over();
    let mut second = Host::new(settings_with_ceilings(), &[server(1)]);
    second.now = first.now;
    second.gateway.take_over(second.now, state);
    assert!(
        refused(&second.submit(7, 1, 0).1),
        "the bucket of the small plan is drained"
    );
    assert_eq!(
        send_targets(&second.submit(7, 0, 0).1).len(),
        1,
        "the bucket of the large plan is not"
    );
}
