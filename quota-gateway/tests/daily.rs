//! What the daily running asks of the decisions: bans, another gateway taking over, answers that take long.

mod common;

use common::*;
use quota_gateway::*;
use std::collections::BTreeMap;

/// Sends that go to each of the servers in so many rounds, each answered at once.
fn spread(host: &mut Host, rounds: usize) -> BTreeMap<ServerId, usize> {
    let mut sent = BTreeMap::new();
    for _ in 0..rounds {
        host.now += 10.0;
        let (id, actions) = host.ask(1, 3, 0);
        for target in sends(&actions) {
            *sent.entry(target).or_insert(0) += 1;
            host.end(id, 0, Outcome::Ok, None);
        }
    }
    sent
}

fn full(host: &mut Host, entries: Vec<ServerEntry>) {
    host.event(Event::Servers {
        kind: ListKind::Full,
        entries,
    });
}

#[test]
fn cold_servers_get_the_part_that_they_can_do_however_many_they_are() {
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
    let sent = spread(&mut host, 4000);
    let to_cold: usize = (2..=6).map(|id| sent[&id]).sum();
    // Five at 0.5 of what is reckoned with, 6 / (0.7 * 2): 0.583. Draws that overlap make it 0.46.
    assert!(
        (0.54..0.62).contains(&(to_cold as f64 / 4000.0)),
        "{sent:?}"
    );
}

#[test]
fn a_server_that_is_taken_out_gets_nothing_until_it_is_given_back_and_is_cold_then() {
    let list = vec![server(1), server(2)];
    let mut host = Host::new(settings(), &list);
    assert!(spread(&mut host, 100)[&1] > 0);
    host.event(Event::ServerDisabled(1));
    assert_eq!(host.gateway.excluded(host.now), 1);
    assert_eq!(spread(&mut host, 100).get(&1), None);
    full(&mut host, vec![server(2)]);
    assert_eq!(host.gateway.excluded(host.now), 0, "it is not in the list");
    full(&mut host, list);
    assert_eq!(
        spread(&mut host, 100).get(&1),
        None,
        "a list made anew lifts nothing"
    );
    // Nor does it get what another has failed.
    host.now += 10.0;
    let (id, actions) = host.ask(1, 3, 0);
    assert_eq!(sends(&actions), [2]);
    assert_eq!(sends(&host.end(id, 0, Outcome::NoConnection, None)), [2]);
    host.end(id, 1, Outcome::Ok, None);
    let at = host.now;
    host.event(Event::ServerEnabled { server: 1, at });
    let back = spread(&mut host, 100);
    assert!(
        back[&1] > 0 && back[&1] < 40,
        "cold, though the list knows of no start: {back:?}"
    );
    host.now += 20_000.0;
    assert!(spread(&mut host, 100)[&1] > 40, "warm at last");
}

#[test]
fn two_gateways_that_follow_each_other_spend_one_store() {
    let mut first = Host::new(settings(), &[server(1)]);
    let spend = |host: &mut Host, plan| {
        (0..200)
            .filter(|_| {
                let (id, actions) = host.ask(7 + plan as u64, plan, 0);
                let sent = !sends(&actions).is_empty();
                if sent {
                    host.end(id, 0, Outcome::Ok, None);
                }
                sent
            })
            .count()
    };
    // Ten seconds fill the ceiling's part to 22 units, of which five go.
    first.now = 10_000.0;
    for plan in [0, 1] {
        for _ in 0..5 {
            let (id, _) = first.ask(7 + plan as u64, plan, 0);
            first.end(id, 0, Outcome::Ok, None);
        }
    }
    let state = first.gateway.hand_over();
    let text = serde_json::to_string(&state).expect("it can be told");
    let mut second = Host::new(settings(), &[server(1)]);
    second.now = first.now;
    second
        .gateway
        .take_over(second.now, serde_json::from_str(&text).expect("and read"));
    assert_eq!(spend(&mut first, 1), 0, "nothing more under a ceiling");
    let both = spend(&mut first, 0) + spend(&mut second, 0);
    assert!(
        (3..=5).contains(&both),
        "half of a store of 20, less 5, for both: {both}"
    );
    assert!(
        spend(&mut second, 1) <= 17,
        "a ceiling's part of 22, less 5"
    );
}

#[test]
fn an_estate_of_a_version_that_knew_less_of_a_customer_is_read() {
    let mut first = Host::new(settings(), &[server(1)]);
    let (id, _) = first.ask(7, 0, 0);
    first.end(id, 0, Outcome::Ok, Some(2.0));
    let mut left = serde_json::to_value(first.gateway.hand_over()).expect("it can be written");
    let customer = left["customers"][0][1].as_object_mut().expect("a customer");
    assert!(customer.remove("asked").is_some() && customer.remove("chance_before").is_some());
    let state: HandoverState = serde_json::from_value(left).expect("it can be read");
    let mut second = Host::new(settings(), &[server(1)]);
    second.gateway.take_over(first.now, state);
    for _ in 0..20 {
        second.now += 400.0;
        let (id, actions) = second.ask(7, 0, 0);
        assert_eq!(sends(&actions).len(), 1);
        second.end(id, 0, Outcome::Ok, Some(0.2));
    }
}

#[test]
fn what_the_first_has_out_counts_under_the_cap_of_the_second() {
    let mut first = Host::new(settings(), &[server(1)]);
    let (running, actions) = first.ask(9, 2, 0);
    assert_eq!(sends(&actions), [1]);
    let mut second = Host::new(settings(), &[server(1)]);
    let state = first.gateway.hand_over();
    second.gateway.take_over(0.0, state);
    // The cap of 2 gives each of two gateways one.
    let (_, actions) = second.ask(9, 2, 0);
    assert!(
        sends(&actions).is_empty() && !refused(&actions),
        "it is held"
    );
    assert!(
        refused(&first.ask(9, 2, 0).1),
        "the first sends nothing more under a cap"
    );
    first.end(running, 0, Outcome::Ok, None);
    assert!(first.gateway.in_flight().is_empty());
    assert_eq!(
        sends(&second.event(Event::PredecessorInFlight(first.gateway.in_flight()))),
        [1]
    );
}

#[test]
fn an_answer_that_has_begun_ends_the_request_but_holds_its_place_under_the_cap() {
    let mut host = Host::new(
        Settings {
            may_duplicate: true,
            ..settings()
        },
        &[server(1), server(2)],
    );
    let (long, actions) = host.ask(9, 2, 0);
    assert_eq!(sends(&actions).len(), 1);
    let told = |outcome| AttemptEnd {
        request: long,
        attempt: 0,
        outcome,
        elapsed: 50.0,
        finished: true,
        used: None,
        billed: None,
    };
    host.event(Event::ResponseStarted(told(Outcome::Ok)));
    assert_eq!(host.gateway.in_flight()[&9], 1, "it is still out");
    let (_, actions) = host.ask(9, 2, 0);
    assert!(sends(&actions).is_empty(), "the cap is 1 here");
    assert!(host
        .run_timers(500.0)
        .iter()
        .all(|action| !matches!(action, Action::Cancel { .. })));
    // A break is not held against the server: it was judged when the answer began.
    host.event(Event::AttemptEnd(told(Outcome::Reset)));
    assert!(host.gateway.in_flight().is_empty(), "the place is free");
    let (_, actions) = host.ask(10, 2, 0);
    assert_eq!(sends(&actions).len(), 1);
}

#[test]
fn an_idle_cold_server_helps_slow_ones_out_one_request_at_a_time() {
    // Two in three of what the cold one is drawn for by lot would be refused or wait at the slow one.
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
        let (request, actions) = host.ask(1, 3, 0);
        if let [to] = sends(&actions)[..] {
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
        spread(&mut host, 10).get(&2),
        Some(&10),
        "the idle one is the faster, cold as it is"
    );
    host.ask(1, 3, 0);
    let to_cold = (0..12)
        .filter(|_| sends(&host.ask(1, 3, 0).1) == [2])
        .count();
    assert!(
        to_cold < 10,
        "with one out it gets no more than its lot: {to_cold} of 12"
    );
    // Where many gateways would each send one, it is left to the lot.
    let mut host = Host::new(
        Settings {
            gateways: 1000,
            ..settings
        },
        &[server(1), cold],
    );
    let sent = spread(&mut host, 600);
    assert!(
        sent[&2] < sent[&1],
        "a third is what it is drawn for: {sent:?}"
    );
}

#[test]
fn a_send_tells_whether_it_holds_a_place_under_a_cap() {
    let mut host = Host::new(settings(), &[server(1)]);
    for (plan, wanted) in [(2, true), (3, false)] {
        let (_, actions) = host.ask(1 + plan as u64, plan, 0);
        let told =
            |action: &Action| matches!(action, Action::Send { capped, .. } if *capped == wanted);
        assert!(actions.iter().any(told), "plan {plan}");
    }
}
