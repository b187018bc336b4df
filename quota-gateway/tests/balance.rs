//! Subsetting: which servers a gateway sends to where many gateways share many servers.

mod common;

use common::*;
use quota_gateway::*;
use std::collections::{BTreeMap, BTreeSet};

const GATEWAYS: u32 = 100;

fn server_list(count: ServerId) -> Vec<ServerEntry> {
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

/// The servers that a gateway sends first attempts to. Every attempt fails, so that the whole subset is tried.
fn servers_used(host: &mut Host) -> BTreeSet<ServerId> {
    let mut servers_used = BTreeSet::new();
    for _ in 0..30 {
        host.now += 10.0;
        let (id, actions) = host.submit(1, 3, 1);
        servers_used.extend(send_targets(&actions));
        host.end_attempt(id, 0, Outcome::Error, None);
    }
    servers_used
}

#[test]
fn each_gateway_uses_a_subset_of_each_zone_and_servers_are_in_equally_many_subsets() {
    let servers = server_list(60);
    let mut gateways_per_server: BTreeMap<ServerId, usize> = BTreeMap::new();
    for ordinal in 0..GATEWAYS {
        let servers_used = servers_used(&mut gateway(ordinal, GATEWAYS, &servers));
        let zones: Vec<usize> = (0..2)
            .map(|zone| {
                servers
                    .iter()
                    .filter(|s| s.zone == zone && servers_used.contains(&s.id))
                    .count()
            })
            .collect();
        assert!(
            zones.iter().all(|zone| (5..=8).contains(zone)),
            "gateway {ordinal} sends to {zones:?} a zone"
        );
        servers_used
            .iter()
            .for_each(|id| *gateways_per_server.entry(*id).or_default() += 1);
    }
    assert!(
        gateways_per_server.len() == 60
            && gateways_per_server
                .values()
                .all(|count| (20..=30).contains(count)),
        "{gateways_per_server:?}"
    );
}

#[test]
fn few_gateways_send_to_all_servers() {
    assert_eq!(servers_used(&mut gateway(1, 4, &server_list(20))).len(), 20);
}

#[test]
fn a_change_of_the_server_list_leaves_most_of_a_subset_unchanged() {
    let (before, after) = (server_list(60), server_list(58));
    let mut added = 0;
    for ordinal in 0..GATEWAYS {
        let used_before = servers_used(&mut gateway(ordinal, GATEWAYS, &before));
        let used_after = servers_used(&mut gateway(ordinal, GATEWAYS, &after));
        added += used_after.difference(&used_before).count();
    }
    assert!(
        added < 200,
        "{added} of {} backends were added to the subsets",
        15 * GATEWAYS
    );
}

#[test]
fn a_gateway_whose_subset_fails_uses_other_servers() {
    let mut host = gateway(3, GATEWAYS, &server_list(60));
    let subset = servers_used(&mut host);
    let mut served = 0;
    host.now += 60_000.0;
    for _ in 0..400 {
        host.now += 100.0;
        let (id, mut actions) = host.submit(1, 3, 0);
        for attempt in 0.. {
            let Some(to) = send_targets(&actions).first().copied() else {
                break;
            };
            served += usize::from(!subset.contains(&to));
            let outcome = if subset.contains(&to) {
                Outcome::NoConnection
            } else {
                Outcome::Ok
            };
            actions = host.end_attempt(id, attempt, outcome, None);
        }
    }
    assert!(served > 300, "{served} of 400 served");
}

/// A gateway that has learned the usual answer time of 50 ms.
fn host_with_learned_latency(gateways: u32) -> Host {
    let mut host = gateway(0, gateways, &server_list(60));
    for _ in 0..400 {
        host.now += 10.0;
        let (id, _) = host.submit(1, 3, 0);
        host.end_attempt(id, 0, Outcome::Ok, None);
    }
    host
}

#[test]
fn a_server_that_refuses_a_connection_is_ejected_at_once() {
    let mut host = host_with_learned_latency(2);
    let (id, actions) = host.submit(1, 3, 0);
    assert_eq!(send_targets(&actions).len(), 1);
    host.end_attempt(id, 0, Outcome::NoConnection, None);
    assert_eq!(host.gateway.excluded(host.now), 1);
}

#[test]
fn many_gateways_together_probe_a_failing_server_as_rarely_as_few() {
    let mut ejected_for = Vec::new();
    for gateways in [2, 100] {
        let mut host = host_with_learned_latency(gateways);
        let (id, _) = host.submit(1, 3, 0);
        host.end_attempt(id, 0, Outcome::NoConnection, None);
        let until = (1..2000).find(|n| host.gateway.excluded(host.now + f64::from(*n) * 10.0) == 0);
        ejected_for.push(until.expect("the server is tried again"));
    }
    // 25 of the hundred gateways have it in their subset.
    assert!(
        (10..15).contains(&(ejected_for[1] / ejected_for[0])),
        "ejected for {ejected_for:?} times 10 ms"
    );
}
