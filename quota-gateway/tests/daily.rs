//! Operations: servers taken out of service, handover to another gateway, long answers and cold servers.

mod common;

use common::*;
use quota_gateway::*;
use std::collections::BTreeMap;

/// Submits `rounds` requests, answers each send at once, and returns the number of sends per server.
fn send_and_answer(host: &mut Host, rounds: usize) -> BTreeMap<ServerId, usize> {
    let mut sent = BTreeMap::new();
    for _ in 0..rounds {
        host.now += 10.0;
        let (id, actions) = host.submit(1, 3, 0);
        for target in send_targets(&actions) {
            *sent.entry(target).or_insert(0) += 1;
            host.end_attempt(id, 0, Outcome::Ok, None);
        }
    }
    sent
}

fn send_full_list(host: &mut Host, entries: Vec<ServerEntry>) {
    host.event(Event::Servers {
        kind: ListKind::Full,
        entries,
    });
}

#[test]
fn cold_servers_get_load_by_their_capacity_however_many_there_are() {
    let settings = Settings {
        cold_from: 0.5,
        cold_for: 1e9,
        ..settings()
    };
    let cold = |id| ServerEntry {
        launched: Some(0.0),
        ..server(id)
    };
    let mut host = Host::new(
        settings,
        &[server(1), cold(2), cold(3), cold(4), cold(5), cold(6)],
    );
    let sent = send_and_answer(&mut host, 4000);
    let to_cold: usize = (2..=6).map(|id| sent[&id]).sum();
    // Five servers at 0.5 over the assumed total of 6 / (0.7 * 2) give 0.583; overlapping random draws would give 0.46.
    assert!(
        (0.54..0.62).contains(&(to_cold as f64 / 4000.0)),
        "{sent:?}"
    );
}

#[test]
fn a_server_taken_out_of_service_gets_nothing_until_restored_and_then_starts_cold() {
    let list = vec![server(1), server(2)];
    let mut host = Host::new(settings(), &list);
    assert!(send_and_answer(&mut host, 100)[&1] > 0);
    host.event(Event::ServerDisabled(1));
    assert_eq!(host.gateway.excluded(host.now), 1);
    assert_eq!(send_and_answer(&mut host, 100).get(&1), None);
    send_full_list(&mut host, vec![server(2)]);
    assert_eq!(
        host.gateway.excluded(host.now),
        0,
        "the server is not listed"
    );
    send_full_list(&mut host, list);
    assert_eq!(
        send_and_answer(&mut host, 100).get(&1),
        None,
        "a new full list does not restore the server"
    );
    // It gets no retries of attempts that failed on other servers either.
    host.now += 10.0;
    let (id, actions) = host.submit(1, 3, 0);
    assert_eq!(send_targets(&actions), [2]);
    assert_eq!(
        send_targets(&host.end_attempt(id, 0, Outcome::NoConnection, None)),
        [2]
    );
    host.end_attempt(id, 1, Outcome::Ok, None);
    let at = host.now;
    host.event(Event::ServerEnabled { server: 1, at });
    let sent_after_return = send_and_answer(&mut host, 100);
    assert!(
        sent_after_return[&1] > 0 && sent_after_return[&1] < 40,
        "cold, though the list has no launch time: {sent_after_return:?}"
    );
    host.now += 20_000.0;
    assert!(
        send_and_answer(&mut host, 100)[&1] > 40,
        "the server is warm again"
    );
}

#[test]
fn a_gateway_and_its_successor_share_one_bucket() {
    let mut first = Host::new(settings(), &[server(1)]);
    let submit_and_count_admitted = |host: &mut Host, plan| {
        (0..200)
            .filter(|_| {
                let (id, actions) = host.submit(7 + plan as u64, plan, 0);
                let sent = !send_targets(&actions).is_empty();
                if sent {
                    host.end_attempt(id, 0, Outcome::Ok, None);
                }
                sent
            })
            .count()
    };
    // After ten seconds this gateway's share of the ceiling holds 22 units, of which five are used.
    first.now = 10_000.0;
    for plan in [0, 1] {
        for _ in 0..5 {
            let (id, _) = first.submit(7 + plan as u64, plan, 0);
            first.end_attempt(id, 0, Outcome::Ok, None);
        }
    }
    let state = first.gateway.hand_over();
    let text = serde_json::to_string(&state).expect("the state can be serialized");
    let mut second = Host::new(settings(), &[server(1)]);
    second.now = first.now;
    second.gateway.take_over(
        second.now,
        serde_json::from_str(&text).expect("the state can be read"),
    );
    assert_eq!(
        submit_and_count_admitted(&mut first, 1),
        0,
        "the predecessor sends nothing more under a ceiling"
    );
    let both = submit_and_count_admitted(&mut first, 0) + submit_and_count_admitted(&mut second, 0);
    assert!(
        (3..=5).contains(&both),
        "both share half of a bucket of 20, less 5: {both}"
    );
    assert!(
        submit_and_count_admitted(&mut second, 1) <= 17,
        "a share of 22 units of the ceiling, less 5"
    );
}

#[test]
fn a_handover_state_without_newer_customer_fields_is_read() {
    let mut first = Host::new(settings(), &[server(1)]);
    let (id, _) = first.submit(7, 0, 0);
    first.end_attempt(id, 0, Outcome::Ok, Some(2.0));
    let mut state_json =
        serde_json::to_value(first.gateway.hand_over()).expect("the state can be serialized");
    let customer = state_json["customers"][0][1]
        .as_object_mut()
        .expect("a customer");
    assert!(customer.remove("asked").is_some() && customer.remove("chance_before").is_some());
    let state: HandoverState = serde_json::from_value(state_json).expect("the state can be parsed");
    let mut second = Host::new(settings(), &[server(1)]);
    second.gateway.take_over(first.now, state);
    for _ in 0..20 {
        second.now += 400.0;
        let (id, actions) = second.submit(7, 0, 0);
        assert_eq!(send_targets(&actions).len(), 1);
        second.end_attempt(id, 0, Outcome::Ok, Some(0.2));
    }
}

#[test]
fn open_requests_of_the_predecessor_count_against_the_successors_concurrency_limit() {
    let mut first = Host::new(settings(), &[server(1)]);
    let (running, actions) = first.submit(9, 2, 0);
    assert_eq!(send_targets(&actions), [1]);
    let mut second = Host::new(settings(), &[server(1)]);
    let state = first.gateway.hand_over();
    second.gateway.take_over(0.0, state);
    // The concurrency limit of 2 gives each of two gateways one.
    let (_, actions) = second.submit(9, 2, 0);
    assert!(
        send_targets(&actions).is_empty() && !refused(&actions),
        "the request is queued"
    );
    assert!(
        refused(&first.submit(9, 2, 0).1),
        "the predecessor sends nothing more under a concurrency limit"
    );
    first.end_attempt(running, 0, Outcome::Ok, None);
    assert!(first.gateway.in_flight().is_empty());
    assert_eq!(
        send_targets(&second.event(Event::PredecessorInFlight(first.gateway.in_flight()))),
        [1]
    );
}

#[test]
fn an_answer_in_progress_ends_the_request_but_keeps_its_concurrency_slot() {
    let mut host = Host::new(
        Settings {
            may_duplicate: true,
            ..settings()
        },
        &[server(1), server(2)],
    );
    let (long, actions) = host.submit(9, 2, 0);
    assert_eq!(send_targets(&actions).len(), 1);
    let attempt_end = |outcome| AttemptEnd {
        request: long,
        attempt: 0,
        outcome,
        elapsed: 50.0,
        finished: true,
        used: None,
        billed: None,
    };
    host.event(Event::ResponseStarted(attempt_end(Outcome::Ok)));
    assert_eq!(host.gateway.in_flight()[&9], 1, "the attempt is still open");
    let (_, actions) = host.submit(9, 2, 0);
    assert!(
        send_targets(&actions).is_empty(),
        "this gateway's concurrency limit is 1"
    );
    assert!(host
        .run_timers(500.0)
        .iter()
        .all(|action| !matches!(action, Action::Cancel { .. })));
    // A reset does not count against the server: its outcome was recorded when the answer began.
    host.event(Event::AttemptEnd(attempt_end(Outcome::Reset)));
    assert!(
        host.gateway.in_flight().is_empty(),
        "the concurrency slot is free"
    );
    let (_, actions) = host.submit(10, 2, 0);
    assert_eq!(send_targets(&actions).len(), 1);
}

#[test]
fn an_idle_cold_server_takes_load_off_slow_ones_one_request_at_a_time() {
    // Two in three of the requests for which the cold server is drawn would be refused or wait at the slow one.
    let settings = Settings {
        gateways: 1,
        cold_from: 0.5,
        cold_for: 1e9,
        ..settings()
    };
    let cold = ServerEntry {
        launched: Some(0.0),
        ..server(2)
    };
    let mut host = Host::new(settings.clone(), &[server(1), cold]);
    for _ in 0..60 {
        host.now += 10.0;
        let (request, actions) = host.submit(1, 3, 0);
        if let [to] = send_targets(&actions)[..] {
            let elapsed = if to == 1 { 400.0 } else { 50.0 };
            let (outcome, finished, used, billed) = (Outcome::Ok, true, None, None);
            host.event(Event::AttemptEnd(AttemptEnd {
                request,
                attempt: 0,
                outcome,
                elapsed,
                finished,
                used,
                billed,
            }));
        }
    }
    assert_eq!(
        send_and_answer(&mut host, 10).get(&2),
        Some(&10),
        "the idle server is faster although it is cold"
    );
    host.submit(1, 3, 0);
    let to_cold = (0..12)
        .filter(|_| send_targets(&host.submit(1, 3, 0).1) == [2])
        .count();
    assert!(
        to_cold < 10,
        "with one request in flight it gets no more than its random share: {to_cold} of 12"
    );
    // With many gateways that might each send one, the cold server gets only its random share.
    let mut host = Host::new(
        Settings {
            gateways: 1000,
            ..settings
        },
        &[server(1), cold],
    );
    let sent = send_and_answer(&mut host, 600);
    assert!(sent[&2] < sent[&1], "its random share is a third: {sent:?}");
}

#[test]
fn a_send_reports_whether_it_holds_a_concurrency_slot() {
    let mut host = Host::new(settings(), &[server(1)]);
    for (plan, wanted) in [(2, true), (3, false)] {
        let (_, actions) = host.submit(1 + plan as u64, plan, 0);
        let has_expected_flag =
            |action: &Action| matches!(action, Action::Send { capped, .. } if *capped == wanted);
        assert!(actions.iter().any(has_expected_flag), "plan {plan}");
    }
}
