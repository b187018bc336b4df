//! The five correctness rules, each tested through the public interface.

mod common;

use common::*;
use quota_gateway::*;

#[test]
fn a_request_without_an_answer_fails_before_its_deadline() {
    let mut host = Host::new(settings(), &[server(1)]);
    let (_, actions) = host.submit(1, 3, 1);
    assert_eq!(send_targets(&actions), [1]);
    let actions = host.run_timers(4000.0);
    assert!(failed(&actions) && !refused(&actions));
}

#[test]
fn a_non_idempotent_request_that_may_have_run_is_neither_retried_nor_refused() {
    for outcome in [
        Outcome::Error,
        Outcome::TimedOut,
        Outcome::Reset,
        Outcome::Cancelled,
    ] {
        let mut host = Host::new(settings(), &[server(1), server(2)]);
        let (id, _) = host.submit(1, 3, 1);
        let actions = host.end_attempt(id, 0, outcome, None);
        assert!(
            send_targets(&actions).is_empty() && !refused(&actions) && failed(&actions),
            "{outcome:?}"
        );
    }
}

#[test]
fn a_non_idempotent_request_that_did_not_run_is_sent_to_another_server() {
    let mut host = Host::new(settings(), &[server(1), server(2)]);
    let (id, first) = host.submit(1, 3, 1);
    let resent_to = send_targets(&host.end_attempt(id, 0, Outcome::Overloaded, None));
    assert_eq!(resent_to.len(), 1);
    assert_ne!(resent_to, send_targets(&first));
}

#[test]
fn a_keyed_request_that_may_have_run_stays_in_its_group_and_window() {
    let other_zone = ServerEntry {
        zone: 1,
        ..server(2)
    };
    let mut host = Host::new(settings(), &[server(1), other_zone]);
    let (id, first) = host.submit(1, 3, 2);
    assert_eq!(send_targets(&first), [1]);
    let resent_to = send_targets(&host.end_attempt(id, 0, Outcome::Reset, None));
    assert!(
        resent_to.iter().all(|server| *server == 1),
        "sent outside the zone: {resent_to:?}"
    );
    let (id, _) = host.submit(1, 3, 2);
    host.now += 1600.0;
    assert!(
        send_targets(&host.end_attempt(id, 0, Outcome::Reset, None)).is_empty(),
        "sent again after the window"
    );
}

#[test]
fn a_server_gets_no_requests_once_it_is_reported_as_draining() {
    let mut host = Host::new(settings(), &[server(1), server(2)]);
    let entries = vec![ServerEntry {
        lifecycle: Lifecycle::Draining,
        ..server(1)
    }];
    host.event(Event::Servers {
        kind: ListKind::Delta,
        entries,
    });
    for _ in 0..50 {
        let (id, actions) = host.submit(1, 3, 0);
        assert_eq!(send_targets(&actions), [2]);
        host.end_attempt(id, 0, Outcome::Ok, None);
    }
}

#[test]
fn a_cold_server_gets_less_than_its_ramp_allows_in_any_window() {
    let cold = ServerEntry {
        launched: Some(0.0),
        ..server(9)
    };
    let mut host = Host::new(settings(), &[server(1), server(2), server(3), cold]);
    let (mut to_cold, mut to_warm) = (0, 0);
    let mut in_flight_warm = std::collections::VecDeque::new();
    let mut in_flight_cold = std::collections::VecDeque::new();
    for _ in 0..300 {
        host.now += 10.0;
        let (id, actions) = host.submit(1, 3, 0);
        for target in send_targets(&actions) {
            if target == 9 {
                to_cold += 1;
            } else {
                to_warm += 1;
            }
        }
        // The cold server answers in 50 ms and appears faster than the busy warm ones, which take 120 ms.
        if in_flight_cold
            .front()
            .is_some_and(|(_, at)| *at <= host.now)
        {
            let (oldest, _) = in_flight_cold.pop_front().expect("not empty");
            host.end_attempt(oldest, 0, Outcome::Ok, None);
        }
        if send_targets(&actions) == [9] {
            in_flight_cold.push_back((id, host.now + 50.0));
            continue;
        }
        in_flight_warm.push_back(id);
        if in_flight_warm.len() > 12 {
            let oldest = in_flight_warm.pop_front().expect("not empty");
            host.end_attempt(oldest, 0, Outcome::Ok, None);
        }
    }
    assert!(to_cold > 0, "the cold server received no requests");
    // Three warm servers took `to_warm`. The cold server is at 0.25 to 0.48 of its capacity; the limit is twice that.
    assert!(
        f64::from(to_cold) < 2.0 * 0.48 * f64::from(to_warm) / 3.0,
        "{to_cold} to the cold server, {to_warm} to the warm ones"
    );
}

#[test]
fn the_share_of_a_ceiling_refills_from_the_gateway_start_and_is_never_exceeded() {
    let mut host = Host::new(settings(), &[server(1)]);
    let mut sent = 0.0;
    for step in 1..=4000 {
        host.now = f64::from(step) * 2.0;
        let (id, actions) = host.submit(1, 1, 0);
        if !send_targets(&actions).is_empty() {
            sent += 1.0;
            host.end_attempt(id, 0, Outcome::Ok, Some(0.1));
        }
        // Half of the ceiling of 20 units per second, for a spread of two.
        assert!(
            sent <= 10.0 * host.now / 1000.0,
            "{sent} sent after {} ms",
            host.now
        );
    }
    assert!(sent > 50.0);
}

#[test]
fn a_request_submitted_twice_is_sent_and_answered_once() {
    let mut host = Host::new(settings(), &[server(1), server(2), server(3), server(4)]);
    let (id, first) = host.submit(1, 3, 1);
    let request = Request {
        id,
        customer: 1,
        plan: 3,
        class: 1,
        units: 1.0,
        spread: 2,
        first: 0,
        expires_in: 4000.0,
        repeat: false,
    };
    assert_eq!(send_targets(&first).len(), 1);
    assert!(host.event(Event::Request(request)).is_empty());
    host.end_attempt(id, 0, Outcome::Reset, None);
    let final_answers = host
        .actions
        .iter()
        .filter(|action| matches!(action, Action::Fail(_) | Action::Refuse { .. }));
    assert_eq!(final_answers.count(), 1);
}

#[test]
fn requests_above_the_concurrency_limit_wait_for_an_attempt_to_end() {
    let mut host = Host::new(
        settings(),
        &[server(1), server(2), server(3), server(4), server(5)],
    );
    let (first, _) = host.submit(1, 2, 0);
    let (second, actions) = host.submit(1, 2, 0);
    assert!(send_targets(&actions).is_empty() && !refused(&actions));
    let actions = host.end_attempt(first, 0, Outcome::Ok, None);
    assert!(actions
        .iter()
        .any(|action| matches!(action, Action::Send { request, .. } if *request == second)));
}

#[test]
fn the_concurrency_limit_holds_over_all_gateways_of_the_customer() {
    // Of four gateways, the customer uses the last and the first. Neither knows of the other, and both receive more
    // requests than the plan allows a customer to have open.
    let fleet: Vec<_> = (0..8).map(server).collect();
    let mut plans = settings().plans;
    plans[2].open = 3;
    let sent = |ordinal| {
        let mut host = Host::new(
            Settings {
                ordinal,
                gateways: 4,
                plans: plans.clone(),
                ..settings()
            },
            &fleet,
        );
        let (customer, plan, class, units, spread, first) = (1, 2, 0, 1.0, 2, 3);
        let submit = |id| {
            let request = Request {
                id,
                customer,
                plan,
                class,
                units,
                spread,
                first,
                expires_in: 4000.0,
                repeat: false,
            };
            send_targets(&host.event(Event::Request(request))).len()
        };
        (1..=4).map(submit).sum::<usize>()
    };
    assert_eq!((sent(3), sent(0)), (2, 1));
}

#[test]
fn invalid_settings_are_named_in_the_error() {
    let invalid: [(&str, Settings); 4] = [
        (
            "gateways",
            Settings {
                gateways: 0,
                ..settings()
            },
        ),
        (
            "max_attempts",
            Settings {
                max_attempts: 0,
                ..settings()
            },
        ),
        (
            "meter_period",
            Settings {
                meter_period: f64::NAN,
                ..settings()
            },
        ),
        (
            "plans[0].rate",
            Settings {
                plans: vec![Plan {
                    rate: -1.0,
                    ..Plan::default()
                }],
                ..settings()
            },
        ),
    ];
    for (field, settings) in invalid {
        assert_eq!(
            Gateway::new(settings, 1, 0.0).expect_err(field).field,
            field
        );
    }
}

/// Runs two hundred gateways, each of which first learns the latency of ten warm servers and then has five requests
/// in flight for a fleet of ten of which `cold` have just started. Returns the numbers sent to cold and warm servers.
fn sends_from_two_hundred_gateways(cold: u32) -> (usize, usize) {
    let warm: Vec<_> = (0..10).map(server).collect();
    let (mut to_cold, mut to_warm) = (0, 0);
    for ordinal in 0..200 {
        let settings = Settings {
            gateways: 200,
            ordinal,
            ..settings()
        };
        let mut host = Host::with_seed(settings, &warm, u64::from(ordinal));
        for _ in 0..50 {
            host.now += 100.0;
            let (id, _) = host.submit(1, 3, 0);
            host.end_attempt(id, 0, Outcome::Ok, None);
        }
        host.now += 100.0;
        let launched = |id: ServerId| (id < cold).then_some(host.now);
        let entries: Vec<_> = (0..10)
            .map(|id| ServerEntry {
                launched: launched(id),
                ..server(id)
            })
            .collect();
        host.event(Event::Servers {
            kind: ListKind::Full,
            entries,
        });
        for customer in 1..=5 {
            let targets = send_targets(&host.submit(customer, 3, 0).1);
            to_cold += targets.iter().filter(|id| **id < cold).count();
            to_warm += targets.iter().filter(|id| **id >= cold).count();
        }
    }
    (to_cold, to_warm)
}

#[test]
fn hundreds_of_gateways_together_send_a_cold_server_load_by_its_capacity() {
    let (cold, warm) = sends_from_two_hundred_gateways(1);
    // The cold server is at a quarter of its capacity; twice that load would overload it.
    assert!(
        cold > 0 && (cold as f64) < 0.4 * warm as f64 / 9.0,
        "{cold} to the cold server, {warm} to nine warm ones"
    );
}

#[test]
fn an_all_cold_fleet_gets_part_of_the_load_and_the_rest_is_refused() {
    let (_, usual) = sends_from_two_hundred_gateways(0);
    let (cold, _) = sends_from_two_hundred_gateways(10);
    // The servers have a quarter of their warm capacity and collapse at half of the warm load.
    assert!(
        cold > usual / 5 && cold < usual / 2,
        "{cold} sent to a cold fleet, {usual} to a warm one"
    );
}
