//! Backends that are down, unresponsive, slow or failing lose their traffic, and get it back after recovery.

mod balance_support;

use alderhollow::balance::{Balancer, Millis, Outcome, Prompt};
use balance_support::{node_name, prompt, selection_request, Tables, ENGINES, PLAIN, ZONES};

const STEP_MS: Millis = 20.0;
const RESPONSE_MS: Millis = 40.0;

/// Behaviour of the backend under test.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Behaviour {
    Healthy,
    RefusesConnections,
    Unresponsive,
    Fails,
    Slow,
}

/// Simulates one request every 20 ms, and returns the number of requests to the backend under test.
fn simulate(
    balancer: &mut Balancer,
    from: Millis,
    to: Millis,
    prompt: &Prompt,
    tested: &str,
    behaviour: Behaviour,
) -> usize {
    let (mut now, mut count) = (from, 0);
    let mut ends: Vec<(Millis, u64, Outcome)> = Vec::new();
    while now < to {
        ends.retain(|(at, attempt, outcome)| {
            if *at <= now {
                balancer.ended(*at, *attempt, *outcome);
            }
            *at > now
        });
        let choice = balancer
            .choose(now, &selection_request(ENGINES, Some(prompt)))
            .expect("other backends are healthy");
        let is_tested = choice.backend.id == tested;
        count += usize::from(is_tested);
        let (response_ms, outcome) = match behaviour {
            Behaviour::RefusesConnections if is_tested => (1.0, Outcome::NoConnection),
            Behaviour::Unresponsive if is_tested => (2000.0, Outcome::TimedOut),
            Behaviour::Fails if is_tested => (RESPONSE_MS, Outcome::Failed),
            Behaviour::Slow if is_tested => (8.0 * RESPONSE_MS, Outcome::Served),
            _ => (RESPONSE_MS, Outcome::Served),
        };
        ends.push((now + response_ms, choice.attempt, outcome));
        now += STEP_MS;
    }
    for (at, attempt, outcome) in ends {
        balancer.ended(at, attempt, outcome);
    }
    count
}

/// A balancer, a prompt, and the first backend in the prompt's rendezvous order.
fn balancer_with_preferred_backend() -> (Balancer, Prompt, String) {
    let tables = Tables::new(ENGINES, 9, 4);
    let mut balancer = tables.balancer(&node_name(0), ZONES[0], 0.0);
    let prompt = prompt(3, 1);
    let choice = balancer
        .choose(0.0, &selection_request(ENGINES, Some(&prompt)))
        .expect("all backends are healthy");
    balancer.ended(RESPONSE_MS, choice.attempt, Outcome::Served);
    let preferred = choice.backend.id.clone();
    assert!(
        simulate(
            &mut balancer,
            100.0,
            2000.0,
            &prompt,
            &preferred,
            Behaviour::Healthy
        ) > 80
    );
    (balancer, prompt, preferred)
}

#[test]
fn a_backend_that_refuses_connections_receives_only_probes() {
    let (mut balancer, prompt, preferred) = balancer_with_preferred_backend();
    let count = simulate(
        &mut balancer,
        3000.0,
        8000.0,
        &prompt,
        &preferred,
        Behaviour::RefusesConnections,
    );
    assert!((2..=6).contains(&count), "{count} of 250");
}

#[test]
fn an_unresponsive_backend_is_ejected_within_a_few_requests() {
    let (mut balancer, prompt, preferred) = balancer_with_preferred_backend();
    let count = simulate(
        &mut balancer,
        3000.0,
        8000.0,
        &prompt,
        &preferred,
        Behaviour::Unresponsive,
    );
    assert!(count <= 16, "{count} of 250");
}

#[test]
fn a_backend_with_a_failure_rate_of_at_least_half_is_avoided() {
    let (mut balancer, prompt, preferred) = balancer_with_preferred_backend();
    let count = simulate(
        &mut balancer,
        3000.0,
        8000.0,
        &prompt,
        &preferred,
        Behaviour::Fails,
    );
    assert!(count <= 25, "{count} of 250");
}

#[test]
fn a_slow_backend_is_avoided() {
    let (mut balancer, prompt, preferred) = balancer_with_preferred_backend();
    let count = simulate(
        &mut balancer,
        3000.0,
        8000.0,
        &prompt,
        &preferred,
        Behaviour::Slow,
    );
    assert!(count <= 60, "{count} of 250");
}

#[test]
fn traffic_returns_to_a_recovered_backend() {
    for behaviour in [
        Behaviour::RefusesConnections,
        Behaviour::Unresponsive,
        Behaviour::Fails,
        Behaviour::Slow,
    ] {
        let (mut balancer, prompt, preferred) = balancer_with_preferred_backend();
        simulate(
            &mut balancer,
            3000.0,
            6000.0,
            &prompt,
            &preferred,
            behaviour,
        );
        simulate(
            &mut balancer,
            8000.0,
            30_000.0,
            &prompt,
            &preferred,
            Behaviour::Healthy,
        );
        let count = simulate(
            &mut balancer,
            31_000.0,
            33_000.0,
            &prompt,
            &preferred,
            Behaviour::Healthy,
        );
        assert!(count > 80, "{behaviour:?}: {count} of 100");
    }
}

#[test]
fn concurrent_failures_count_as_one() {
    let (mut balancer, prompt, preferred) = balancer_with_preferred_backend();
    let attempts: Vec<u64> = (0..3)
        .map(|_| {
            balancer
                .choose(3000.0, &selection_request(ENGINES, Some(&prompt)))
                .expect("all backends are healthy")
        })
        .filter(|choice| choice.backend.id == preferred)
        .map(|choice| choice.attempt)
        .collect();
    assert!(attempts.len() > 1);
    for attempt in attempts {
        balancer.ended(3010.0, attempt, Outcome::Broken);
    }
    // The initial backoff is 300 ms with jitter. Counting each failure separately would have doubled it.
    assert_eq!(
        simulate(
            &mut balancer,
            3020.0,
            3240.0,
            &prompt,
            &preferred,
            Behaviour::Healthy
        ),
        0
    );
    assert!(
        simulate(
            &mut balancer,
            3380.0,
            3480.0,
            &prompt,
            &preferred,
            Behaviour::Healthy
        ) > 0
    );
}

#[test]
fn at_most_one_probe_is_in_flight() {
    let (mut balancer, prompt, preferred) = balancer_with_preferred_backend();
    let choice = balancer
        .choose(3000.0, &selection_request(ENGINES, Some(&prompt)))
        .expect("all backends are healthy");
    assert_eq!(choice.backend.id, preferred);
    balancer.ended(3001.0, choice.attempt, Outcome::Broken);
    let balancer_with_preferred_backend = (0..10)
        .map(|_| {
            balancer
                .choose(3600.0, &selection_request(ENGINES, Some(&prompt)))
                .expect("other backends are healthy")
        })
        .filter(|choice| choice.backend.id == preferred)
        .count();
    assert_eq!(balancer_with_preferred_backend, 1);
}

/// Guards against a backend that stays ejected for as long as one request to it gets no response.
#[test]
fn an_unresponsive_backend_is_probed_while_its_silent_request_lasts() {
    let (mut balancer, prompt, preferred) = balancer_with_preferred_backend();
    let silent = balancer
        .choose(3000.0, &selection_request(ENGINES, Some(&prompt)))
        .expect("all backends are healthy");
    assert_eq!(silent.backend.id, preferred);
    let mut requests_between = |from: Millis, to: Millis| {
        simulate(
            &mut balancer,
            from,
            to,
            &prompt,
            &preferred,
            Behaviour::Healthy,
        )
    };
    assert_eq!(requests_between(4000.0, 7900.0), 0);
    assert!(requests_between(8100.0, 10_000.0) > 80);
}

/// Guards against a silent backend that counts as responsive because this process has no connection left for it: the
/// silent requests hold them all.
#[test]
fn a_reached_connection_limit_is_no_response_of_the_backend() {
    let (mut balancer, prompt, preferred) = balancer_with_preferred_backend();
    let wanted = selection_request(ENGINES, Some(&prompt));
    let choose = |balancer: &mut Balancer, now: Millis| {
        balancer.choose(now, &wanted).expect("a healthy backend")
    };
    for _ in 0..2 {
        assert_eq!(choose(&mut balancer, 3000.0).backend.id, preferred);
    }
    let limited = choose(&mut balancer, 3100.0);
    assert_eq!(limited.backend.id, preferred);
    balancer.ended(3100.0, limited.attempt, Outcome::ConnectionLimit);
    let limited_at = |balancer: &Balancer, now| balancer.connection_limited(now, ENGINES);
    assert!(limited_at(&balancer, 3110.0).contains(&preferred));
    assert!(limited_at(&balancer, 3600.0).is_empty());
    let used: Vec<String> = (0..10)
        .map(|_| choose(&mut balancer, 4000.0).backend.id.clone())
        .collect();
    assert!(!used.contains(&preferred), "{used:?}");
}

/// Guards against a backend that stays ejected for as long as its probe gets no response.
#[test]
fn a_backend_is_probed_again_while_a_silent_probe_lasts() {
    let (mut balancer, prompt, preferred) = balancer_with_preferred_backend();
    let failed = balancer
        .choose(3000.0, &selection_request(ENGINES, Some(&prompt)))
        .expect("all backends are healthy");
    let mut probe = None;
    balancer.ended(3001.0, failed.attempt, Outcome::NoConnection);
    for now in [3600.0, 3700.0, 3800.0] {
        let choice = balancer
            .choose(now, &selection_request(ENGINES, Some(&prompt)))
            .expect("other backends are healthy");
        if choice.backend.id == preferred {
            assert!(probe.replace(choice).is_none(), "one probe at a time");
        } else {
            balancer.ended(now + RESPONSE_MS, choice.attempt, Outcome::Served);
        }
    }
    assert!(probe.is_some(), "the probe never ends");
    let mut requests_between = |from: Millis, to: Millis| {
        simulate(
            &mut balancer,
            from,
            to,
            &prompt,
            &preferred,
            Behaviour::Healthy,
        )
    };
    assert_eq!(requests_between(4000.0, 8500.0), 0);
    assert!(requests_between(9000.0, 10_000.0) > 40);
}

/// Guards against a client whose requests have too little time, and for which every backend is ejected in turn.
#[test]
fn requests_with_too_little_time_eject_no_backend_that_responds_to_others() {
    let tables = Tables::new(PLAIN, 3, 1);
    let mut balancer = tables.balancer(&node_name(0), ZONES[0], 0.0);
    let wanted = selection_request(PLAIN, None);
    for round in 0..500 {
        let now = Millis::from(round) * STEP_MS;
        let short = balancer.choose(now, &wanted).expect("a backend");
        let ordinary = balancer.choose(now, &wanted).expect("a backend");
        balancer.ended(now + 5.0, short.attempt, Outcome::DeadlineExceeded);
        balancer.ended(now + 15.0, ordinary.attempt, Outcome::Served);
        assert_eq!(balancer.unhealthy(now + 15.0, PLAIN), Vec::<String>::new());
    }
}

/// Guards against requests that take long at any backend, and for which each one is ejected while it responds to others.
#[test]
fn requests_that_take_long_eject_no_backend_that_responds_to_others() {
    let tables = Tables::new(PLAIN, 1, 1);
    let mut balancer = tables.balancer(&node_name(0), ZONES[0], 0.0);
    let wanted = selection_request(PLAIN, None);
    for round in 0..20 {
        let began = Millis::from(round) * 1000.0;
        let long = balancer.choose(began, &wanted).expect("a backend");
        for other in 0..6 {
            let now = began + Millis::from(other) * 100.0;
            let choice = balancer.choose(now, &wanted).expect("a backend");
            balancer.ended(now + RESPONSE_MS, choice.attempt, Outcome::Served);
        }
        balancer.ended(began + 700.0, long.attempt, Outcome::TimedOut);
        assert_eq!(
            balancer.unhealthy(began + 700.0, PLAIN),
            Vec::<String>::new()
        );
    }
}

/// Guards against a silent backend that is never ejected because no request has the time to find out.
#[test]
fn requests_with_little_time_eject_a_silent_backend_together() {
    let tables = Tables::new(PLAIN, 1, 1);
    let mut balancer = tables.balancer(&node_name(0), ZONES[0], 0.0);
    let wanted = selection_request(PLAIN, None);
    let mut outcomes = Vec::new();
    for round in 0..10 {
        let now = Millis::from(round) * 100.0;
        let choice = balancer.choose(now, &wanted).expect("a backend");
        outcomes.push(balancer.ended(now + 60.0, choice.attempt, Outcome::DeadlineExceeded));
    }
    assert_eq!(outcomes.first(), Some(&Outcome::DeadlineExceeded));
    assert_eq!(outcomes.last(), Some(&Outcome::TimedOut));
    assert_eq!(balancer.unhealthy(960.0, PLAIN).len(), 1);
}

/// Guards against probes that follow each other without a pause where clients give up before a response.
#[test]
fn a_probe_without_a_response_that_is_cancelled_counts_as_a_failure() {
    let (mut balancer, prompt, preferred) = balancer_with_preferred_backend();
    let mut is_chosen = |now: Millis| {
        let choice = balancer
            .choose(now, &selection_request(ENGINES, Some(&prompt)))
            .expect("other backends are healthy");
        let is_preferred = choice.backend.id == preferred;
        let probe_ends = match is_preferred {
            true if now < 4000.0 => return is_preferred,
            true => (now + 1500.0, Outcome::Cancelled),
            false => (now + RESPONSE_MS, Outcome::Served),
        };
        balancer.ended(probe_ends.0, choice.attempt, probe_ends.1);
        is_preferred
    };
    assert!(is_chosen(3000.0));
    assert!(is_chosen(8100.0), "a probe");
    assert!(!is_chosen(9700.0), "the probe got no response");
    assert!(!is_chosen(10_500.0));
    assert!(is_chosen(12_000.0), "the next probe");
}

#[test]
fn a_backend_is_selected_even_if_all_are_ejected() {
    let tables = Tables::new(PLAIN, 3, 4);
    let mut balancer = tables.balancer(&node_name(0), ZONES[0], 0.0);
    for _ in 0..20 {
        let choice = balancer
            .choose(10.0, &selection_request(PLAIN, None))
            .expect("a backend is always offered");
        balancer.ended(11.0, choice.attempt, Outcome::Broken);
    }
}
