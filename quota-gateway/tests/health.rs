//! Servers that fail, hang or slow down, as seen by one gateway.

mod common;

use common::*;
use quota_gateway::*;
use std::collections::BTreeMap;

/// Submits `rounds` requests, one every 20 ms, with a few in flight at a time. `answer` gives the outcome for a server
/// and the number of the attempt on it; `None` means that no answer comes. Returns the number of sends per server.
fn send_and_answer(
    host: &mut Host,
    rounds: usize,
    answer: impl Fn(ServerId, usize) -> Option<Outcome>,
) -> BTreeMap<ServerId, usize> {
    send_with_in_flight(host, rounds, 3, answer)
}

fn send_with_in_flight(
    host: &mut Host,
    rounds: usize,
    max_in_flight: usize,
    answer: impl Fn(ServerId, usize) -> Option<Outcome>,
) -> BTreeMap<ServerId, usize> {
    let mut sent = BTreeMap::new();
    let mut in_flight = std::collections::VecDeque::new();
    for _ in 0..rounds {
        host.now += 20.0;
        let (id, actions) = host.submit(1, 3, 1);
        for target in send_targets(&actions) {
            *sent.entry(target).or_insert(0) += 1;
            if let Some(outcome) = answer(target, sent[&target]) {
                in_flight.push_back((id, outcome));
            }
        }
        if in_flight.len() > max_in_flight {
            let (id, outcome) = in_flight.pop_front().expect("not empty");
            host.end_attempt(id, 0, outcome, None);
        }
    }
    sent
}

fn host_with_six_servers() -> Host {
    let servers: Vec<_> = (1..=6).map(server).collect();
    Host::new(settings(), &servers)
}

#[test]
fn a_hung_server_soon_gets_no_new_requests() {
    let servers: Vec<_> = (1..=3).map(server).collect();
    let mut host = Host::new(
        Settings {
            gateways: 1,
            ..settings()
        },
        &servers,
    );
    send_with_in_flight(&mut host, 40, 9, |_, _| Some(Outcome::Ok));
    let sent = send_with_in_flight(&mut host, 600, 9, |server, _| {
        (server != 1).then_some(Outcome::Ok)
    });
    assert!(sent[&1] <= 7 && sent[&2] > 100, "{sent:?}");
}

#[test]
fn a_server_that_fails_fast_attracts_no_load() {
    let sent = send_and_answer(&mut host_with_six_servers(), 600, |server, _| {
        Some(if server == 1 {
            Outcome::Error
        } else {
            Outcome::Ok
        })
    });
    assert!(sent[&1] < 40, "{sent:?}");
}

#[test]
fn a_server_that_fails_half_of_its_requests_gets_fewer() {
    let flaky = |server, n: usize| {
        Some(if server == 1 && n % 2 == 0 {
            Outcome::Error
        } else {
            Outcome::Ok
        })
    };
    let sent = send_and_answer(&mut host_with_six_servers(), 600, flaky);
    let others = sent.values().sum::<usize>() - sent[&1];
    assert!(sent[&1] * 2 < others / 5, "{sent:?}");
}

#[test]
fn servers_that_all_fail_are_not_all_ejected() {
    let mut host = host_with_six_servers();
    send_and_answer(&mut host, 60, |_, _| Some(Outcome::Error));
    let (_, actions) = host.submit(1, 3, 1);
    assert_eq!(send_targets(&actions).len(), 1);
}

#[test]
fn ejection_and_recovery_are_logged() {
    let mut host = host_with_six_servers();
    send_and_answer(&mut host, 2000, |server, n| {
        Some(if server == 1 && n < 4 {
            Outcome::Error
        } else {
            Outcome::Ok
        })
    });
    let lines: Vec<_> = host
        .actions
        .iter()
        .filter(|action| matches!(action, Action::Log(_)))
        .collect();
    assert!(
        format!("{lines:?}").contains("ejected") && format!("{lines:?}").contains("answers again"),
        "{lines:?}"
    );
}

#[test]
fn without_any_server_requests_are_refused() {
    let mut host = Host::new(settings(), &[]);
    assert!(refused(&host.submit(1, 3, 1).1));
}

#[test]
fn a_server_that_recovers_is_used_again() {
    let mut host = host_with_six_servers();
    send_and_answer(&mut host, 300, |server, n| {
        Some(if server == 1 && n < 40 {
            Outcome::Error
        } else {
            Outcome::Ok
        })
    });
    let sent = send_and_answer(&mut host, 3000, |_, _| Some(Outcome::Ok));
    assert!(sent[&1] > 100, "{sent:?}");
}

#[test]
fn broken_connections_do_not_use_up_the_retry_budget() {
    // One attempt in five is reset by the network, regardless of the server.
    let mut host = host_with_six_servers();
    let mut requests_not_retried = 0;
    for n in 0..100 {
        host.now += 20.0;
        let (id, _) = host.submit(1, 3, 0);
        let outcome = if n % 5 == 0 {
            Outcome::Reset
        } else {
            Outcome::Ok
        };
        if outcome == Outcome::Reset {
            requests_not_retried +=
                u32::from(send_targets(&host.end_attempt(id, 0, outcome, None)).is_empty());
        }
        host.end_attempt(id, u8::from(outcome == Outcome::Reset), Outcome::Ok, None);
    }
    assert_eq!(requests_not_retried, 0);
}

/// Sends a request to a single server that does not answer it, then others every 50 ms, which are answered if
/// `answers` is true. Returns how often the first request was sent again and whether an attempt of it was cancelled.
fn sends_and_cancellation_of_a_long_request(settings: Settings, answers: bool) -> (usize, bool) {
    let mut host = Host::new(settings, &[server(1)]);
    for _ in 0..100 {
        host.now += 50.0;
        let (id, _) = host.submit(1, 3, 0);
        host.end_attempt(id, 0, Outcome::Ok, None);
    }
    let (long_request, _) = host.submit(1, 3, 0);
    let mut later_actions = Vec::new();
    for _ in 0..16 {
        later_actions.extend(host.run_timers(host.now + 50.0));
        let (id, _) = host.submit(1, 3, 0);
        if answers {
            host.end_attempt(id, 0, Outcome::Ok, None);
        }
    }
    let is_resend = |action: &&Action| matches!(action, Action::Send { request, .. } if *request == long_request);
    let is_cancel = |action: &Action| matches!(action, Action::Cancel { request, .. } if *request == long_request);
    (
        later_actions.iter().filter(is_resend).count(),
        later_actions.iter().any(is_cancel),
    )
}

#[test]
fn an_attempt_is_cancelled_only_if_its_server_answers_no_other_requests() {
    for may_duplicate in [false, true] {
        let settings = Settings {
            gateways: 1,
            may_duplicate,
            ..settings()
        };
        assert_eq!(
            sends_and_cancellation_of_a_long_request(settings.clone(), true),
            (0, false)
        );
        assert_eq!(
            sends_and_cancellation_of_a_long_request(settings, false),
            (0, true)
        );
    }
    // Where attempts must not be cancelled, a duplicate attempt is sent instead.
    let settings = Settings {
        gateways: 1,
        may_duplicate: true,
        may_cancel: false,
        ..settings()
    };
    assert_eq!(
        sends_and_cancellation_of_a_long_request(settings.clone(), true),
        (0, false)
    );
    assert!(sends_and_cancellation_of_a_long_request(settings, false).0 > 0);
}
