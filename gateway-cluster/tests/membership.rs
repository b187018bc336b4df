//! Simulations of the membership protocol: bounds that follow from the probe period, at cluster sizes that a debug build can
//! run. Each failure names its seed.

use gateway_cluster::membership::{ChangeReason, Membership, MembershipSettings, PartitionSide};
use gateway_cluster::peers::PeerSetError;
use gateway_cluster::protocol::{Micros, PeerState};
use gateway_cluster::sim::{NetworkConditions, Sim};

const PROBE: Micros = 500_000;
const SECOND: Micros = 1_000_000;
const SEEDS: std::ops::Range<u64> = 0..8;

/// A cluster after ten seconds of operation.
fn cluster(gateways: usize, seed: u64, network: NetworkConditions) -> Sim<Membership> {
    let mut sim = Sim::new(gateways, PROBE, seed);
    sim.network = network;
    (0..gateways).for_each(|gateway| sim.start(gateway, 1_700_000_000 * SECOND));
    sim.run_until(10 * SECOND);
    sim
}

fn lossy() -> NetworkConditions {
    NetworkConditions {
        loss: 0.1,
        jitter: 50_000,
        double: 0.05,
        ..NetworkConditions::default()
    }
}

/// Asserts that all views are correct within this number of probe periods.
fn assert_converges(sim: &mut Sim<Membership>, periods: u64, what: &str) {
    let since = sim.now();
    let at = sim.run_until_true(since + periods * PROBE, Sim::has_converged);
    assert!(
        at.is_some(),
        "{what}: views are not correct after {periods} periods"
    );
}

#[test]
fn a_killed_gateway_is_dead_in_every_view_within_the_bound() {
    for (gateways, seed) in [3, 30]
        .into_iter()
        .flat_map(|gateways| SEEDS.map(move |seed| (gateways, seed)))
    {
        for (network, periods) in [(NetworkConditions::default(), 8), (lossy(), 12)] {
            let mut sim = cluster(gateways, seed, network);
            sim.kill(0);
            let dead_everywhere = |sim: &Sim<Membership>| {
                (1..gateways).all(|gateway| {
                    sim.view(gateway)
                        .is_some_and(|view| view[0] == PeerState::Dead)
                })
            };
            let at = sim.run_until_true(sim.now() + periods * PROBE, dead_everywhere);
            assert!(
                at.is_some(),
                "{gateways} gateways, seed {seed}, {network:?}"
            );
        }
    }
}

#[test]
fn no_running_gateway_is_declared_dead_at_ten_percent_loss() {
    for seed in SEEDS {
        let mut sim = cluster(30, seed, lossy());
        for _ in 0..60 {
            sim.run_until(sim.now() + SECOND);
            let dead = (0..30)
                .filter_map(|gateway| sim.view(gateway))
                .flatten()
                .filter(|state| *state == PeerState::Dead)
                .count();
            assert_eq!(dead, 0, "seed {seed} at {} s", sim.now() / SECOND);
        }
    }
}

#[test]
fn views_converge_after_any_partition_heals() {
    const PERIODS: u64 = 10;
    type Shape = (&'static str, fn(usize) -> usize);
    let shapes: [Shape; 4] = [
        ("halves", |gateway| gateway % 2),
        ("thirds", |gateway| gateway % 3),
        ("one", |gateway| usize::from(gateway == 0)),
        ("alone", |gateway| gateway),
    ];
    for seed in SEEDS {
        for (name, side) in shapes {
            for gateways in [3, 30] {
                let mut sim = cluster(gateways, seed, NetworkConditions::default());
                sim.partition(side);
                sim.run_until(sim.now() + 30 * SECOND);
                assert!(!sim.has_converged(), "the partition is detected");
                sim.partition(|_| 0);
                assert_converges(
                    &mut sim,
                    PERIODS,
                    &format!("{gateways} gateways, seed {seed}, {name}"),
                );
            }
        }
        // Two halves that one gateway connects: nobody is dead.
        let mut sim = cluster(30, seed, NetworkConditions::default());
        for (a, b) in (0..30).flat_map(|a| (0..30).map(move |b| (a, b))) {
            sim.cut(a, b, a != 0 && b != 0 && a % 2 != b % 2);
        }
        sim.run_until(sim.now() + 30 * SECOND);
        sim.partition(|_| 0);
        assert_converges(&mut sim, PERIODS, &format!("seed {seed}, a bridge"));
    }
}

#[test]
fn resumed_gateways_declare_no_other_gateway_dead() {
    for seed in SEEDS {
        // Latency is so high that some answers are in flight when the gateways stop.
        let mut sim = cluster(
            30,
            seed,
            NetworkConditions {
                delay: 40_000,
                jitter: 20_000,
                ..NetworkConditions::default()
            },
        );
        (0..10).for_each(|gateway| sim.stop(gateway, true));
        sim.run_until(sim.now() + 10 * SECOND);
        (0..10).for_each(|gateway| sim.stop(gateway, false));
        // Probes from before the stop raise no suspicion.
        let states = (0..10)
            .filter_map(|gateway| sim.view(gateway))
            .flat_map(|view| view[10..].to_vec());
        assert_eq!(
            states.filter(|state| *state != PeerState::Alive).count(),
            0,
            "seed {seed}"
        );
        for _ in 0..100 {
            sim.run_until(sim.now() + SECOND / 20);
            let states = (0..10)
                .filter_map(|gateway| sim.view(gateway))
                .flat_map(|view| view[10..].to_vec());
            assert_eq!(
                states.filter(|state| *state == PeerState::Dead).count(),
                0,
                "seed {seed}"
            );
        }
        assert_converges(&mut sim, 10, &format!("seed {seed}"));
    }
}

#[test]
fn a_resumed_gateway_does_not_adopt_verdicts_from_its_socket_buffer() {
    for (seed, stopped) in SEEDS.flat_map(|seed| {
        (0..7)
            .filter(|gateway| *gateway != 1)
            .map(move |gateway| (seed, gateway))
    }) {
        let mut sim = cluster(7, seed, NetworkConditions::default());
        sim.kill(1);
        // The gateway receives or raises the suspicion; the verdict and the return happen while it is stopped.
        sim.run_until(sim.now() + 2_200_000);
        sim.stop(stopped, true);
        sim.run_until(sim.now() + 800_000);
        sim.start(1, 1_700_000_100 * SECOND);
        sim.run_until(sim.now() + 7 * SECOND);
        while sim
            .engine(stopped)
            .and_then(Membership::next_change)
            .is_some()
        {}
        sim.stop(stopped, false);
        sim.run_until(sim.now() + 5 * SECOND);
        while let Some(change) = sim.engine(stopped).and_then(Membership::next_change) {
            assert_ne!(
                change.to,
                PeerState::Dead,
                "seed {seed}, gateway {stopped}: {change:?}"
            );
        }
    }
}

#[test]
fn a_restarted_process_is_alive_although_its_clock_was_set_back() {
    for (gateways, seed) in [3, 30]
        .into_iter()
        .flat_map(|gateways| SEEDS.map(move |seed| (gateways, seed)))
    {
        for downtime in [PROBE, 10 * SECOND] {
            let mut sim = cluster(gateways, seed, NetworkConditions::default());
            sim.kill(1);
            sim.run_until(sim.now() + downtime);
            sim.start(1, 1_699_996_400 * SECOND);
            assert_converges(
                &mut sim,
                8,
                &format!(
                    "{gateways} gateways, seed {seed}, {} s down",
                    downtime / SECOND
                ),
            );
        }
    }
}

#[test]
fn traffic_of_ten_seconds_is_bounded_also_after_a_mass_failure() {
    for seed in SEEDS {
        let mut sim = cluster(30, seed, lossy());
        (0..21).for_each(|gateway| sim.kill(gateway));
        for _ in 0..4 {
            let before: Vec<_> = (21..30).map(|gateway| sim.take_sent(gateway)).collect();
            assert_eq!(before.len(), 9);
            sim.run_until(sim.now() + 10 * SECOND);
            for gateway in 21..30 {
                let sent = sim.take_sent(gateway);
                assert!(
                    sent.messages <= 100 && sent.bytes <= 15_000 && sent.largest <= 1400,
                    "seed {seed}: {sent:?}"
                );
            }
        }
    }
}

#[test]
fn a_partition_of_a_hundred_gateways_heals_within_six_periods() {
    for side in [
        |gateway| gateway % 2,
        |gateway| gateway % 3,
        |gateway: usize| usize::from(gateway % 10 == 0),
    ] as [fn(usize) -> usize; 3]
    {
        let mut sim = cluster(100, 1, NetworkConditions::default());
        sim.partition(side);
        sim.run_until(sim.now() + 60 * SECOND);
        sim.partition(|_| 0);
        assert_converges(&mut sim, 6, "a hundred");
    }
}

#[test]
fn an_isolated_gateway_detects_it_within_the_bound_at_any_cluster_size() {
    for gateways in [3, 100] {
        let mut sim = cluster(gateways, 1, NetworkConditions::default());
        sim.partition(|gateway| usize::from(gateway == 0));
        // The isolation timeout of six periods and a suspicion of 3.4, with a step for each.
        sim.run_until(sim.now() + 10 * PROBE);
        assert_eq!(
            sim.engine(0).map(|view| view.side()),
            Some(PartitionSide::Alone),
            "{gateways} gateways"
        );
        assert_eq!(
            sim.engine(1).map(|view| view.side()),
            Some(PartitionSide::Majority),
            "{gateways} gateways"
        );
    }
}

#[test]
fn a_gateway_that_leaves_gracefully_is_never_suspected() {
    for seed in SEEDS {
        let mut sim = cluster(30, seed, lossy());
        for gateway in 0..30 {
            while sim
                .engine(gateway)
                .and_then(Membership::next_change)
                .is_some()
            {}
        }
        sim.leave(0);
        let dead_everywhere = |sim: &Sim<Membership>| {
            (1..30).all(|gateway| {
                sim.view(gateway)
                    .is_some_and(|view| view[0] == PeerState::Dead)
            })
        };
        assert!(
            sim.run_until_true(sim.now() + 4 * PROBE, dead_everywhere)
                .is_some(),
            "seed {seed}"
        );
        for gateway in 1..30 {
            let mut changes = Vec::new();
            while let Some(change) = sim.engine(gateway).and_then(Membership::next_change) {
                changes.extend((change.name == "n000").then_some((change.to, change.why)));
            }
            assert_eq!(
                changes,
                [(PeerState::Dead, ChangeReason::Left)],
                "seed {seed}, gateway {gateway}"
            );
        }
        sim.start(0, 1_700_000_100 * SECOND);
        assert_converges(&mut sim, 8, &format!("seed {seed}, restarted"));
    }
}

#[test]
fn a_removed_name_is_forgotten_and_its_datagrams_are_dropped() {
    for seed in SEEDS {
        let mut sim = cluster(5, seed, lossy());
        let names: Vec<String> = (0..4).map(|gateway| format!("n00{gateway}")).collect();
        // The gateways are reconfigured one after the other; the removed one is not and keeps sending.
        for gateway in 0..4 {
            let now = sim.now();
            let result = sim
                .engine(gateway)
                .map(|view| view.set_peers(now, names.clone()));
            assert_eq!(result, Some(Ok(())));
            sim.run_until(now + 2 * SECOND);
        }
        sim.run_until(sim.now() + 5 * SECOND);
        let views: Vec<_> = (0..4).filter_map(|gateway| sim.view(gateway)).collect();
        assert_eq!(views, vec![vec![PeerState::Alive; 4]; 4], "seed {seed}");
        let digests: Vec<_> = (0..4)
            .filter_map(|gateway| Some(sim.engine(gateway)?.digest()))
            .collect();
        assert!(
            digests.iter().all(|digest| *digest == digests[0]),
            "seed {seed}"
        );
        let unknown: u64 = (0..4)
            .filter_map(|gateway| Some(sim.engine(gateway)?.dropped.unknown))
            .sum();
        assert!(unknown > 0, "seed {seed}: the removed gateway kept sending");
        // A name that is added again learns of the dead peers.
        sim.kill(1);
        sim.run_until(sim.now() + 6 * SECOND);
        let all: Vec<String> = (0..5).map(|gateway| format!("n00{gateway}")).collect();
        for gateway in [0, 2, 3] {
            let now = sim.now();
            let result = sim
                .engine(gateway)
                .map(|view| view.set_peers(now, all.clone()));
            assert_eq!(result, Some(Ok(())));
        }
        assert_converges(&mut sim, 12, &format!("seed {seed}, five names"));
        let now = sim.now();
        let result = sim
            .engine(0)
            .map(|view| view.set_peers(now, names[1..].to_vec()));
        assert_eq!(
            result,
            Some(Err(PeerSetError::MissingOwnName("n000".into()))),
            "the current peer set stays in use"
        );
    }
}

#[test]
fn of_two_processes_with_one_name_the_earlier_is_superseded() {
    let peers: Vec<String> = ["a", "b"].map(String::from).to_vec();
    let mut sends = Vec::new();
    let mut start = |now, name: &str, unix_ms| {
        let settings = MembershipSettings {
            peers: peers.clone(),
            name: name.into(),
            unix_ms,
            probe: PROBE,
        };
        Membership::new(now, settings, unix_ms, &mut sends).expect("a valid peer set")
    };
    let (mut earlier, mut later, mut other) = (
        start(0, "a", 1000),
        start(20 * SECOND, "a", 21_000),
        start(0, "b", 1),
    );
    let mut in_flight: Vec<(usize, Vec<u8>)> = Vec::new();
    for now in (0..60 * SECOND).step_by(10_000) {
        let mut sends = Vec::new();
        for (process, membership) in [&mut earlier, &mut later, &mut other]
            .into_iter()
            .enumerate()
        {
            if process == 1 && now < 20 * SECOND {
                continue; // Not started yet.
            }
            for (to, bytes) in &in_flight {
                // Both processes of the first name receive its datagrams.
                if (*to == 0 && process < 2) || (*to == 1 && process == 2) {
                    membership.on_datagram(now, bytes, &mut sends);
                }
            }
            membership.on_timer(now, &mut sends);
        }
        in_flight = sends
            .into_iter()
            .map(|transmit| (transmit.to, transmit.bytes))
            .collect();
    }
    assert!(earlier.is_superseded() && !later.is_superseded());
    assert_eq!(other.states(), [PeerState::Alive; 2]);
    assert!(
        other.dropped.stale > 0,
        "datagrams of the earlier process are counted"
    );
}

#[test]
fn the_partition_side_follows_from_the_number_of_reachable_peers() {
    let peers: Vec<String> = ["a", "b", "c", "d"].map(String::from).to_vec();
    let settings = |name: &str, peers: &[String]| MembershipSettings {
        peers: peers.to_vec(),
        name: name.into(),
        unix_ms: 1,
        probe: PROBE,
    };
    let mut view =
        Membership::new(0, settings("a", &peers), 1, &mut Vec::new()).expect("a valid peer set");
    assert_eq!(view.side(), PartitionSide::Complete);
    let before = view.digest();
    // Nobody answers: the others are declared dead one after the other.
    let mut sides = vec![view.side()];
    let mut now = 0;
    while view.side() != PartitionSide::Alone {
        now = view.next_wakeup();
        view.on_timer(now, &mut Vec::new());
        if sides.last() != Some(&view.side()) {
            sides.push(view.side());
        }
        assert!(now < 600 * SECOND, "{sides:?}");
    }
    assert_ne!(view.digest(), before);
    assert_eq!(view.settled(now + SECOND), SECOND);
    let change = view.next_change().expect("the change is recorded");
    assert_eq!(
        (change.from, change.to),
        (PeerState::Alive, PeerState::Suspect)
    );
    let error = |name: &str, peers: &[String]| {
        Membership::new(0, settings(name, peers), 1, &mut Vec::new()).err()
    };
    assert_eq!(
        error("e", &peers),
        Some(PeerSetError::MissingOwnName("e".into()))
    );
    let duplicate = [peers, vec!["a".into()]].concat();
    assert_eq!(
        error("a", &duplicate),
        Some(PeerSetError::Duplicate("a".into()))
    );
}
