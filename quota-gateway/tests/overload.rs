//! Overload by customers that stay within their quotas.

mod common;

use common::*;
use quota_gateway::*;

/// Submits `count` requests at the same time and returns how many were sent and how many were refused.
fn submit_burst(host: &mut Host, count: usize, class: usize) -> (usize, usize) {
    let replies: Vec<_> = (0..count).map(|_| host.submit(1, 3, class).1).collect();
    let admitted_count = replies
        .iter()
        .filter(|actions| !send_targets(actions).is_empty())
        .count();
    (
        admitted_count,
        replies.iter().filter(|actions| refused(actions)).count(),
    )
}

fn answer(host: &mut Host, request: RequestId, elapsed: f64) {
    let (outcome, finished, used) = (Outcome::Ok, true, None);
    host.event(Event::AttemptEnd(AttemptEnd {
        request,
        attempt: 0,
        outcome,
        elapsed,
        finished,
        used,
        billed: None,
    }));
}

/// Submits a request every 10 ms for `seconds`, cycling through `classes`; each answer takes `elapsed`. Returns the
/// number of requests sent per class in the second half.
fn submit_with_latency(
    host: &mut Host,
    classes: &[usize],
    elapsed: f64,
    seconds: f64,
) -> Vec<usize> {
    let mut admitted_count = vec![0; 3];
    let mut in_flight = std::collections::VecDeque::new();
    let half = host.now + seconds * 500.0;
    for step in 0..(seconds * 100.0) as usize {
        host.now += 10.0;
        while in_flight.front().is_some_and(|(_, at)| *at <= host.now) {
            let (id, _) = in_flight.pop_front().expect("not empty");
            answer(host, id, elapsed);
        }
        let class = classes[step % classes.len()];
        let (id, actions) = host.submit(1, 3, class);
        if !send_targets(&actions).is_empty() {
            admitted_count[class] += usize::from(host.now > half);
            in_flight.push_back((id, host.now + elapsed));
        }
    }
    host.now += elapsed;
    for (id, _) in in_flight {
        answer(host, id, elapsed);
    }
    admitted_count
}

#[test]
fn overload_leads_to_early_refusals() {
    let mut host = Host::new(settings(), &[server(1), server(2)]);
    let admitted_count = submit_with_latency(&mut host, &[0], 900.0, 20.0)[0];
    assert!(
        admitted_count > 0 && admitted_count < 100,
        "{admitted_count} of 1000 admitted though all answers are late"
    );
}

#[test]
fn long_answers_to_large_requests_are_not_taken_for_overload() {
    let mut host = Host::new(settings(), &[server(1), server(2)]);
    // One request in three has six units and takes six times as long as the others; nothing queues.
    let mut in_flight: Vec<(RequestId, Millis, f64)> = Vec::new();
    let (mut submitted, mut admitted_count) = (0, 0);
    for id in 1..=2000 {
        host.now += 10.0;
        let (due, rest) = in_flight
            .into_iter()
            .partition(|(_, at, _)| *at <= host.now);
        in_flight = rest;
        for (request, _, units) in due {
            let (outcome, elapsed, billed) = (Outcome::Ok, 100.0 * units, Some(units));
            let (attempt, finished, used) = (0, true, None);
            let end = AttemptEnd {
                request,
                attempt,
                outcome,
                elapsed,
                finished,
                used,
                billed,
            };
            host.event(Event::AttemptEnd(end));
        }
        let units = if id % 3 == 0 { 6.0 } else { 1.0 };
        let (customer, plan, class, spread, first) = (1, 3, 0, 1, 0);
        let (expires_in, repeat) = (4000.0, false);
        let request = Request {
            id,
            customer,
            plan,
            class,
            units,
            spread,
            first,
            expires_in,
            repeat,
        };
        let sent = !send_targets(&host.event(Event::Request(request))).is_empty();
        if sent {
            in_flight.push((id, host.now + 100.0 * units, units));
        }
        submitted += u32::from(id > 1000);
        admitted_count += u32::from(sent && id > 1000);
    }
    assert!(
        admitted_count > submitted * 9 / 10,
        "{admitted_count} of {submitted} admitted"
    );
}

#[test]
fn low_worth_is_refused_before_high_worth() {
    let mut host = Host::new(settings(), &[server(1), server(2)]);
    let admitted_count = submit_with_latency(&mut host, &[0, 1], 900.0, 20.0);
    assert!(
        admitted_count[0] > 2 * admitted_count[1],
        "{admitted_count:?} of high and low worth admitted"
    );
}

#[test]
fn a_surge_is_limited_before_its_late_answers_arrive() {
    let servers: Vec<_> = (1..=4).map(server).collect();
    let mut host = Host::new(settings(), &servers);
    submit_with_latency(&mut host, &[0], 50.0, 5.0);
    let (admitted_count, refused) = submit_burst(&mut host, 1000, 0);
    assert!(
        admitted_count > 8 && admitted_count < 60,
        "{admitted_count} sent at once, {refused} refused"
    );
}

#[test]
fn full_backend_queues_limit_the_admitted_retries() {
    let servers: Vec<_> = (1..=4).map(server).collect();
    let mut host = Host::new(
        Settings {
            max_attempts: 1,
            ..settings()
        },
        &servers,
    );
    let mut admitted_count = 0;
    for step in 0..20_000 {
        host.now += 1.0;
        let (id, actions) = host.submit(1, 3, 0);
        if !send_targets(&actions).is_empty() {
            admitted_count += u32::from(step > 10_000);
            host.end_attempt(id, 0, Outcome::Overloaded, None);
        }
    }
    assert!(
        admitted_count > 0 && admitted_count < 300,
        "{admitted_count} of 10000 sent to full queues"
    );
}

#[test]
fn requests_are_admitted_again_after_a_surge() {
    let mut host = Host::new(settings(), &[server(1), server(2)]);
    let mut admitted = Vec::new();
    for _ in 0..30 {
        let (id, actions) = host.submit(1, 3, 1);
        if !send_targets(&actions).is_empty() {
            admitted.push(id);
        }
    }
    host.now += 3000.0;
    for id in admitted {
        answer(&mut host, id, 3000.0);
    }
    let mut admitted_count = 0;
    for _ in 0..50 {
        host.now += 100.0;
        let (id, actions) = host.submit(1, 3, 0);
        admitted_count += send_targets(&actions).len();
        host.end_attempt(id, 0, Outcome::Ok, None);
    }
    assert_eq!(admitted_count, 50);
}

#[test]
fn long_answers_alone_do_not_stop_admission() {
    let servers: Vec<_> = (1..=8).map(server).collect();
    let mut host = Host::new(settings(), &servers);
    // The gateway learns 2.5 s as the answer time, so that every new attempt would miss the latency target of 1 s.
    submit_with_latency(&mut host, &[0], 2500.0, 60.0);
    host.now += 5000.0;
    // Two gateways, eight servers: eight attempts, this gateway's share, cause no queueing.
    assert!(submit_burst(&mut host, 50, 0).0 >= 6);
}

#[test]
fn admission_recovers_within_seconds_once_answers_are_fast() {
    // One of many gateways: three requests per second, one in flight at a time.
    let servers: Vec<_> = (1..=20).map(server).collect();
    let mut host = Host::new(
        Settings {
            gateways: 100,
            ..settings()
        },
        &servers,
    );
    let admitted_over = |host: &mut Host, seconds: u32, elapsed: f64| {
        let mut admitted_count = 0;
        for _ in 0..3 * seconds {
            let (id, actions) = host.submit(1, 3, 1);
            host.now += 333.0;
            if !send_targets(&actions).is_empty() {
                admitted_count += 1;
                answer(host, id, elapsed);
            }
        }
        admitted_count
    };
    admitted_over(&mut host, 10, 900.0);
    let admitted_count = admitted_over(&mut host, 10, 900.0);
    assert!(
        admitted_count <= 18,
        "{admitted_count} of 30 admitted while all answers are late"
    );
    admitted_over(&mut host, 4, 50.0);
    let admitted_count = admitted_over(&mut host, 10, 50.0);
    assert!(
        admitted_count >= 24,
        "{admitted_count} of 30 admitted from the fifth second on"
    );
}

#[test]
fn under_overload_plans_of_higher_price_are_refused_less_and_no_plan_starves() {
    let plan = |price| Plan {
        price,
        ..Plan::default()
    };
    let plans = vec![plan(0.5), plan(1.0), plan(2.0)];
    let mut host = Host::new(
        Settings {
            plans,
            ..settings()
        },
        &[server(1), server(2)],
    );
    let (mut admitted_count, mut in_flight) = ([0; 3], std::collections::VecDeque::new());
    for step in 0..6000 {
        host.now += 10.0;
        while in_flight.front().is_some_and(|(_, at)| *at <= host.now) {
            let (id, _) = in_flight.pop_front().expect("not empty");
            // Every second answer is late, which keeps the admitted share between all and none.
            answer(&mut host, id, if id % 2 == 0 { 500.0 } else { 100.0 });
        }
        let (id, actions) = host.submit(1, step % 3, 0);
        if !send_targets(&actions).is_empty() {
            admitted_count[step % 3] += 1;
            in_flight.push_back((id, host.now + 300.0));
        }
    }
    assert!(
        admitted_count[0] > 20
            && admitted_count[1] > admitted_count[0] * 5 / 4
            && admitted_count[2] > admitted_count[1] * 5 / 4,
        "{admitted_count:?} of 2000 each"
    );
}
