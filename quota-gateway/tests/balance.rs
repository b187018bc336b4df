//! Which servers a gateway sends to, where many gateways share many servers.

mod common;

use common::*;
use quota_gateway::*;
use std::collections::{BTreeMap, BTreeSet};

const GATEWAYS: u32 = 100;

fn fleet(count: ServerId) -> Vec<ServerEntry> {
    (1..=count)
        .map(|id| ServerEntry {
            zone: (id % 2) as u16,
            ..server(id * 7919)
        })
        .collect()
}

fn gateway(ordinal: u32, gateways: u32, servers: &[ServerEntry]) -> Host {
    Host::new(
        Settings {
            gateways,
            ordinal,
            zone: (ordinal % 2) as u16,
            ..settings()
        },
        servers,
    )
}

/// The servers that a gateway sends to first, each failing now and then, so that all of its part have their turn.
fn used(host: &mut Host) -> BTreeSet<ServerId> {
    let mut used = BTreeSet::new();
    for _ in 0..30 {
        host.now += 10.0;
        let (id, actions) = host.ask(1, 3, 1);
        used.extend(sends(&actions));
        host.end(id, 0, Outcome::Error, None);
    }
    used
}

#[test]
fn each_of_many_gateways_keeps_to_a_part_of_each_zone_and_all_servers_are_in_as_many_parts() {
    let servers = fleet(60);
    let mut meets: BTreeMap<ServerId, usize> = BTreeMap::new();
    for ordinal in 0..GATEWAYS {
        let used = used(&mut gateway(ordinal, GATEWAYS, &servers));
        let zones: Vec<usize> = (0..2)
            .map(|zone| {
                servers
                    .iter()
                    .filter(|s| s.zone == zone && used.contains(&s.id))
                    .count()
            })
            .collect();
        assert!(
            zones.iter().all(|zone| (5..=8).contains(zone)),
            "gateway {ordinal} sends to {zones:?} a zone"
        );
        used.iter()
            .for_each(|id| *meets.entry(*id).or_default() += 1);
    }
    assert!(
        meets.len() == 60 && meets.values().all(|doors| (20..=30).contains(doors)),
        "{meets:?}"
    );
}

#[test]
fn few_gateways_send_to_all_servers() {
    assert_eq!(used(&mut gateway(1, 4, &fleet(20))).len(), 20);
}

#[test]
fn a_change_of_the_list_leaves_most_of_a_part_as_it_was() {
    let (before, after) = (fleet(60), fleet(58));
    let mut moved = 0;
    for ordinal in 0..GATEWAYS {
        let was = used(&mut gateway(ordinal, GATEWAYS, &before));
        let is = used(&mut gateway(ordinal, GATEWAYS, &after));
        moved += is.difference(&was).count();
    }
    assert!(
        moved < 200,
        "{moved} of {} backends are new to their gateways",
        15 * GATEWAYS
    );
}

#[test]
fn a_gateway_whose_part_fails_turns_to_the_others() {
    let mut host = gateway(3, GATEWAYS, &fleet(60));
    let part = used(&mut host);
    let mut served = 0;
    host.now += 60_000.0;
    for _ in 0..400 {
        host.now += 100.0;
        let (id, mut actions) = host.ask(1, 3, 0);
        for attempt in 0.. {
            let Some(to) = sends(&actions).first().copied() else {
                break;
            };
            served += usize::from(!part.contains(&to));
            let outcome = if part.contains(&to) {
                Outcome::NoConnection
            } else {
                Outcome::Ok
            };
            actions = host.end(id, attempt, outcome, None);
        }
    }
    assert!(served > 300, "{served} of 400 served");
}

/// A gateway that has learned the usual time of an answer, 50 ms.
fn seasoned(gateways: u32) -> Host {
    let mut host = gateway(0, gateways, &fleet(60));
    for _ in 0..400 {
        host.now += 10.0;
        let (id, _) = host.ask(1, 3, 0);
        host.end(id, 0, Outcome::Ok, None);
    }
    host
}

#[test]
fn a_server_to_which_no_connection_comes_up_is_passed_over_at_once() {
    let mut host = seasoned(2);
    let (id, actions) = host.ask(1, 3, 0);
    assert_eq!(sends(&actions).len(), 1);
    host.end(id, 0, Outcome::NoConnection, None);
    assert_eq!(host.gateway.excluded(host.now), 1);
}

#[test]
fn many_gateways_together_try_a_failing_server_as_seldom_as_few() {
    let mut passed_over = Vec::new();
    for gateways in [2, 100] {
        let mut host = seasoned(gateways);
        let (id, _) = host.ask(1, 3, 0);
        host.end(id, 0, Outcome::NoConnection, None);
        let until = (1..2000).find(|n| host.gateway.excluded(host.now + f64::from(*n) * 10.0) == 0);
        passed_over.push(until.expect("it is tried again"));
    }
    // Of the hundred, 25 have it in their part.
    assert!(
        (10..15).contains(&(passed_over[1] / passed_over[0])),
        "passed over for {passed_over:?} times 10 ms"
    );
}
