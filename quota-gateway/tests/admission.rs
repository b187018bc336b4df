//! Probabilistic quota admission and the inputs that set the admission probability.

mod common;

use common::*;
use quota_gateway::*;

/// Submits `rate` requests per second for `seconds` while each answer reports the usage `used`; returns the number
/// of requests sent on.
fn submit_at_rate(host: &mut Host, rate: f64, seconds: f64, class: usize, used: f64) -> f64 {
    let mut sent = 0.0;
    for _ in 0..(rate * seconds) as u32 {
        host.now += 1000.0 / rate;
        let (id, actions) = host.submit(1, 0, class);
        if !send_targets(&actions).is_empty() {
            sent += 1.0;
            host.end_attempt(id, 0, Outcome::Ok, Some(used));
        }
    }
    sent
}

#[test]
fn a_customer_within_its_quota_is_never_refused() {
    let mut host = Host::new(settings(), &[server(1)]);
    assert_eq!(submit_at_rate(&mut host, 5.0, 20.0, 0, 0.5), 100.0);
}

/// Submits a request every 25 ms for 30 s, cycling through `classes`. The meter sums usage over periods of 500 ms
/// and reports each period one period after its end. Returns the number sent on per class in the last 20 s.
fn submit_at_four_times_the_quota(classes: &[usize]) -> Vec<f64> {
    let mut host = Host::new(settings(), &[server(1)]);
    let mut periods = [0.0; 62];
    let mut sent = vec![0.0; 3];
    for step in 0..1200 {
        host.now += 25.0;
        let period = (host.now / 500.0) as usize;
        let class = classes[step % classes.len()];
        let (id, actions) = host.submit(1, 0, class);
        if !send_targets(&actions).is_empty() {
            periods[period] += 1.0;
            sent[class] += f64::from(u8::from(host.now > 10_000.0));
            host.end_attempt(
                id,
                0,
                Outcome::Ok,
                (period >= 2).then(|| periods[period - 2] / 5.0),
            );
        }
    }
    sent
}

#[test]
fn a_customer_at_four_times_its_quota_gets_about_its_quota() {
    let sent = submit_at_four_times_the_quota(&[0])[0];
    assert!(
        (150.0..220.0).contains(&sent),
        "{sent} of 800 sent on, the quota is 200"
    );
}

#[test]
fn a_burst_that_drains_the_bucket_within_one_meter_period_is_stopped() {
    let mut host = Host::new(settings(), &[server(1)]);
    assert_eq!(submit_at_rate(&mut host, 2.0, 20.0, 0, 0.2), 40.0);
    // The bucket holds 20 units and gains 4 during the burst; the meter reports the usage only after its period.
    // This gateway handled nearly all of the customer's requests, so its share is more than an even half.
    let sent = submit_at_rate(&mut host, 200.0, 0.4, 0, 0.2);
    assert!((14.0..25.0).contains(&sent), "{sent} of 80 sent on");
}

#[test]
fn admission_probability_stays_at_one_while_readings_show_unused_burst() {
    let mut host = Host::new(settings(), &[server(1)]);
    for _ in 0..5 {
        assert_eq!(submit_at_rate(&mut host, 2.0, 20.0, 0, 0.2), 40.0);
        // Six times the quota for 200 ms, then a lower rate: in total, this gateway's share of the bucket.
        assert_eq!(submit_at_rate(&mut host, 60.0, 0.2, 0, 0.2), 12.0);
        assert_eq!(submit_at_rate(&mut host, 6.0, 1.0, 0, 0.2), 6.0);
    }
}

#[test]
fn before_the_first_reading_a_local_bucket_with_a_share_of_the_quota_admits() {
    let mut host = Host::new(settings(), &[server(1)]);
    let mut sent = 0;
    for _ in 0..200 {
        host.now += 10.0;
        let (id, actions) = host.submit(1, 0, 0);
        if !send_targets(&actions).is_empty() {
            sent += 1;
            host.end_attempt(id, 0, Outcome::Ok, None);
        }
    }
    // Half of the burst of 20, and half of 10 a second for two seconds.
    assert!((14..=21).contains(&sent), "{sent} of 200 sent on");
}

#[test]
fn quota_unused_by_other_gateways_is_available_to_a_gateway_that_needs_it() {
    let mut host = Host::new(settings(), &[server(1)]);
    let mut sent = 0.0;
    for customer in 1..=20 {
        let start = host.now;
        let mut periods = [0.0; 52];
        for _ in 0..1000 {
            host.now += 25.0;
            let period = ((host.now - start) / 500.0) as usize;
            // Another gateway uses half of the quota for 20 s; then all of the customer's requests arrive here.
            let all_traffic_here = host.now >= start + 20_000.0;
            periods[period] += if all_traffic_here { 0.0 } else { 0.125 };
            let (id, actions) = host.submit(customer, 0, 0);
            if !send_targets(&actions).is_empty() {
                periods[period] += 1.0;
                sent += f64::from(u8::from(all_traffic_here)) / 20.0;
                host.end_attempt(
                    id,
                    0,
                    Outcome::Ok,
                    (period >= 1).then(|| periods[period - 1] / 5.0),
                );
            }
        }
    }
    // The quota for those 5 s is 50, and an even share of it 25.
    assert!(
        (38.5..55.0).contains(&sent),
        "{sent} sent on in the first 5 s"
    );
}

#[test]
fn usage_through_other_gateways_counts_against_the_quota() {
    let mut host = Host::new(settings(), &[server(1)]);
    submit_at_rate(&mut host, 10.0, 10.0, 0, 4.0);
    let sent = submit_at_rate(&mut host, 10.0, 20.0, 0, 4.0);
    assert!(
        sent < 100.0,
        "{sent} of 200 sent on though others use four times the quota"
    );
    assert!(sent > 0.0, "the minimum admission probability admits some");
}

#[test]
fn the_class_of_lowest_worth_is_refused_first() {
    let sent = submit_at_four_times_the_quota(&[0, 1, 1, 1]);
    assert!(
        sent[0] > 120.0 && sent[1] < 60.0,
        "{} of 200 of high worth, {} of 600 of low",
        sent[0],
        sent[1]
    );
}

/// A host for one of fifty gateways, with customers whose requests are spread over all fifty.
fn host_in_fleet_of_fifty() -> Host {
    let servers: Vec<_> = (1..=40).map(server).collect();
    Host::new(
        Settings {
            gateways: 50,
            max_units: 6.0,
            ..settings()
        },
        &servers,
    )
}

/// Submits one request of a customer that uses all fifty gateways and answers it immediately if it is admitted.
/// Returns whether it was admitted.
fn submit_and_answer(
    host: &mut Host,
    id: RequestId,
    customer: CustomerId,
    used: Option<f64>,
) -> bool {
    let (units, expires_in) = (1.0, 4000.0);
    let request = Request {
        id,
        customer,
        plan: 0,
        class: 0,
        units,
        spread: 50,
        first: 0,
        expires_in,
        repeat: false,
    };
    let admitted = !send_targets(&host.event(Event::Request(request))).is_empty();
    if admitted {
        host.end_attempt(id, 0, Outcome::Ok, used);
    }
    admitted
}

/// Submits `rate` requests per second to one of fifty gateways for `seconds`, without meter readings. Returns how
/// many were admitted and how many were submitted in the second half.
fn submit_in_fleet_of_fifty(rate: f64, seconds: f64) -> (f64, f64) {
    let mut host = host_in_fleet_of_fifty();
    let (mut sent, mut submitted) = (0.0, 0.0);
    for id in 1..=(rate * seconds) as u64 {
        host.now += 1000.0 / rate;
        let admitted = submit_and_answer(&mut host, id, 1, None);
        if host.now > seconds * 500.0 {
            submitted += 1.0;
            sent += f64::from(u8::from(admitted));
        }
    }
    (sent, submitted)
}

#[test]
fn without_readings_usage_is_estimated_from_local_requests_times_spread() {
    // The quota is 10 requests per second over fifty gateways, so 0.2 per second here.
    let (sent, submitted) = submit_in_fleet_of_fifty(2.0, 400.0);
    assert!(
        sent < 0.3 * submitted && sent > 0.0,
        "{sent} of {submitted} admitted at ten times the quota"
    );
}

#[test]
fn a_customer_with_rare_local_requests_is_admitted() {
    let (sent, submitted) = submit_in_fleet_of_fifty(0.05, 2000.0);
    assert!(
        sent > 0.9 * submitted,
        "{sent} of {submitted} admitted at a quarter of the quota"
    );
}

#[test]
fn a_retry_past_the_latency_target_is_refused_and_uses_no_quota() {
    let mut host = Host::new(settings(), &[server(1)]);
    for _ in 0..3 {
        host.now += 500.0;
        let (id, _) = host.submit(1, 0, 0);
        host.end_attempt(id, 0, Outcome::Ok, Some(0.5));
    }
    // A first attempt has 4 s; with 2.9 s left, more than the latency target of 1 s has passed.
    assert!(refused(&host.submit_retry(1, 0, 2900.0)));
    assert!(!refused(&host.submit_retry(1, 0, 3900.0)));
}

#[test]
fn a_nan_reading_is_ignored() {
    let mut host = Host::new(settings(), &[server(1)]);
    assert_eq!(submit_at_rate(&mut host, 5.0, 5.0, 0, f64::NAN), 25.0);
    submit_at_rate(&mut host, 10.0, 10.0, 0, 4.0);
    submit_at_rate(&mut host, 10.0, 1.0, 0, f64::NAN);
    let sent = submit_at_rate(&mut host, 10.0, 20.0, 0, 4.0);
    assert!(
        sent < 100.0,
        "{sent} of 200 sent on though others use four times the quota"
    );
}

#[test]
fn a_single_reading_reveals_that_a_customer_exceeds_its_quota() {
    let mut host = host_in_fleet_of_fifty();
    let mut readmitted = [0, 0];
    for customer in 1..=400 {
        // Over all gateways, half of the customers use four times their quota and the others half of it.
        let heavy = customer % 2 == 0;
        let used = Some(if heavy { 4.0 } else { 0.5 });
        host.now += 50.0;
        assert!(submit_and_answer(&mut host, 2 * customer, customer, used));
        host.now += 700.0;
        readmitted[usize::from(heavy)] += u32::from(submit_and_answer(
            &mut host,
            2 * customer + 1,
            customer,
            used,
        ));
    }
    assert!(
        (30..90).contains(&readmitted[1]),
        "{} of 200 heavy customers admitted again",
        readmitted[1]
    );
    assert!(
        readmitted[0] >= 190,
        "{} of 200 light customers admitted again",
        readmitted[0]
    );
}
