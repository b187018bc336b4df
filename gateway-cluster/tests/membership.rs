//! The view in the simulation: bounds that follow from the probe period, at sizes that a debug build can bear. Each
//! failure names its seed.

use gateway_cluster::membership::{ChangeReason, Membership, MembershipSettings, PartitionSide};
use gateway_cluster::peers::PeerSetError;
use gateway_cluster::protocol::{Micros, PeerState};
use gateway_cluster::sim::{NetworkConditions, Sim};

const PROBE: Micros = 500_000;
const SECOND: Micros = 1_000_000;
const SEEDS: std::ops::Range<u64> = 0..8;

/// A cluster that has run for a while.
fn cluster(gateways: usize, seed: u64, weather: NetworkConditions) -> Sim<Membership> {
    let mut sim = Sim::new(gateways, PROBE, seed);
    sim.network = weather;
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

/// Waits until all views are right, at most so many periods, and tells what took too long.
fn settles(sim: &mut Sim<Membership>, periods: u64, what: &str) {
    let since = sim.now();
    let at = sim.run_until_true(since + periods * PROBE, Sim::is_settled);
    assert!(
        at.is_some(),
        "{what}: views are not right after {periods} periods"
    );
}

#[test]
fn a_gateway_that_is_killed_is_dead_in_every_view_in_time() {
    for (gateways, seed) in [3, 30]
        .into_iter()
        .flat_map(|gateways| SEEDS.map(move |seed| (gateways, seed)))
    {
        for (weather, periods) in [(NetworkConditions::default(), 8), (lossy(), 12)] {
            let mut sim = cluster(gateways, seed, weather);
            sim.kill(0);
            let dead = |sim: &Sim<Membership>| {
                (1..gateways).all(|gateway| {
                    sim.view(gateway)
                        .is_some_and(|view| view[0] == PeerState::Dead)
                })
            };
            let at = sim.run_until_true(sim.now() + periods * PROBE, dead);
            assert!(at.is_some(), "{gateways} doors, seed {seed}, {weather:?}");
        }
    }
}

#[test]
fn no_gateway_that_lives_is_held_for_dead_at_a_tenth_of_loss() {
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
fn views_are_right_again_after_any_partition_heals() {
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
                assert!(!sim.is_settled(), "the partition is seen");
                sim.partition(|_| 0);
                settles(
                    &mut sim,
                    PERIODS,
                    &format!("{gateways} doors, seed {seed}, {name}"),
                );
            }
        }
        // Two halves that one gateway joins: nobody is dead.
        let mut sim = cluster(30, seed, NetworkConditions::default());
        for (a, b) in (0..30).flat_map(|a| (0..30).map(move |b| (a, b))) {
            sim.cut(a, b, a != 0 && b != 0 && a % 2 != b % 2);
        }
        sim.run_until(sim.now() + 30 * SECOND);
        sim.partition(|_| 0);
        settles(&mut sim, PERIODS, &format!("seed {seed}, a bridge"));
    }
}

#[test]
fn gateways_that_were_stopped_hold_no_other_for_dead_when_they_wake() {
    for seed in SEEDS {
        // Answers take so long that some are on their way when the stop comes.
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
        // What was asked before the stop is no reason to doubt anybody.
        let doubted = (0..10)
            .filter_map(|gateway| sim.view(gateway))
            .flat_map(|view| view[10..].to_vec());
        assert_eq!(
            doubted.filter(|state| *state != PeerState::Alive).count(),
            0,
            "seed {seed}"
        );
        for _ in 0..100 {
            sim.run_until(sim.now() + SECOND / 20);
            let wrong = (0..10)
                .filter_map(|gateway| sim.view(gateway))
                .flat_map(|view| view[10..].to_vec());
            assert_eq!(
                wrong.filter(|state| *state == PeerState::Dead).count(),
                0,
                "seed {seed}"
            );
        }
        settles(&mut sim, 10, &format!("seed {seed}"));
    }
}

#[test]
fn verdicts_that_piled_up_while_a_gateway_was_stopped_are_no_verdicts_when_it_wakes() {
    for (seed, stopped) in SEEDS.flat_map(|seed| {
        (0..7)
            .filter(|gateway| *gateway != 1)
            .map(move |gateway| (seed, gateway))
    }) {
        let mut sim = cluster(7, seed, NetworkConditions::default());
        sim.kill(1);
        // It hears the doubt, or has it itself; the verdict and the return come while it is stopped.
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
                "seed {seed}, door {stopped}: {change:?}"
            );
        }
    }
}

#[test]
fn a_new_life_wins_though_its_clock_was_set_back() {
    for (gateways, seed) in [3, 30]
        .into_iter()
        .flat_map(|gateways| SEEDS.map(move |seed| (gateways, seed)))
    {
        for away in [PROBE, 10 * SECOND] {
            let mut sim = cluster(gateways, seed, NetworkConditions::default());
            sim.kill(1);
            sim.run_until(sim.now() + away);
            sim.start(1, 1_699_996_400 * SECOND);
            settles(
                &mut sim,
                8,
                &format!("{gateways} doors, seed {seed}, {} s away", away / SECOND),
            );
        }
    }
}

#[test]
fn what_a_gateway_sends_in_ten_seconds_is_bounded_also_after_a_mass_kill() {
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
fn a_settled_partition_of_a_hundred_heals_in_six_periods() {
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
        settles(&mut sim, 6, "a hundred");
    }
}

#[test]
fn a_gateway_that_is_cut_off_knows_it_in_time_however_many_there_are() {
    for gateways in [3, 100] {
        let mut sim = cluster(gateways, 1, NetworkConditions::default());
        sim.partition(|gateway| usize::from(gateway == 0));
        // Silence for six periods, and a verdict 3.4 later, with a step for each.
        sim.run_until(sim.now() + 10 * PROBE);
        assert_eq!(
            sim.engine(0).map(|view| view.side()),
            Some(PartitionSide::Alone),
            "{gateways} doors"
        );
        assert_eq!(
            sim.engine(1).map(|view| view.side()),
            Some(PartitionSide::Majority),
            "{gateways} doors"
        );
    }
}

#[test]
fn a_gateway_that_goes_by_its_own_word_is_never_doubted() {
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
        let gone = |sim: &Sim<Membership>| {
            (1..30).all(|gateway| {
                sim.view(gateway)
                    .is_some_and(|view| view[0] == PeerState::Dead)
            })
        };
        assert!(
            sim.run_until_true(sim.now() + 4 * PROBE, gone).is_some(),
            "seed {seed}"
        );
        for gateway in 1..30 {
            let mut of_it = Vec::new();
            while let Some(change) = sim.engine(gateway).and_then(Membership::next_change) {
                of_it.extend((change.name == "n000").then_some((change.to, change.why)));
            }
            assert_eq!(
                of_it,
                [(PeerState::Dead, ChangeReason::Left)],
                "seed {seed}, door {gateway}"
            );
        }
        sim.start(0, 1_700_000_100 * SECOND);
        settles(&mut sim, 8, &format!("seed {seed}, it is back"));
    }
}

#[test]
fn a_name_that_is_taken_out_is_counted_nowhere_and_revives_nobody() {
    for seed in SEEDS {
        let mut sim = cluster(5, seed, lossy());
        let names: Vec<String> = (0..4).map(|gateway| format!("n00{gateway}")).collect();
        // One after the other is told, while all run; the one that goes is never told and talks on.
        for gateway in 0..4 {
            let now = sim.now();
            let told = sim
                .engine(gateway)
                .map(|view| view.set_peers(now, names.clone()));
            assert_eq!(told, Some(Ok(())));
            sim.run_until(now + 2 * SECOND);
        }
        sim.run_until(sim.now() + 5 * SECOND);
        let membership_transmits: Vec<_> = (0..4).filter_map(|gateway| sim.view(gateway)).collect();
        assert_eq!(
            membership_transmits,
            vec![vec![PeerState::Alive; 4]; 4],
            "seed {seed}"
        );
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
        assert!(unknown > 0, "seed {seed}: it went on talking");
        // A name that comes back is told of those that are gone.
        sim.kill(1);
        sim.run_until(sim.now() + 6 * SECOND);
        let all: Vec<String> = (0..5).map(|gateway| format!("n00{gateway}")).collect();
        for gateway in [0, 2, 3] {
            let now = sim.now();
            let told = sim
                .engine(gateway)
                .map(|view| view.set_peers(now, all.clone()));
            assert_eq!(told, Some(Ok(())));
        }
        settles(&mut sim, 12, &format!("seed {seed}, five again"));
        let now = sim.now();
        let lacks = sim
            .engine(0)
            .map(|view| view.set_peers(now, names[1..].to_vec()));
        assert_eq!(
            lacks,
            Some(Err(PeerSetError::MissingOwnName("n000".into()))),
            "what it had stays"
        );
    }
}

#[test]
fn of_two_lives_under_one_name_the_later_wins_and_the_earlier_learns_it() {
    let peers: Vec<String> = ["a", "b"].map(String::from).to_vec();
    let mut sends = Vec::new();
    let mut born = |now, name: &str, unix_ms| {
        let settings = MembershipSettings {
            peers: peers.clone(),
            name: name.into(),
            unix_ms,
            probe: PROBE,
        };
        Membership::new(now, settings, unix_ms, &mut sends).expect("a good roster")
    };
    let (mut early, mut late, mut other) = (
        born(0, "a", 1000),
        born(20 * SECOND, "a", 21_000),
        born(0, "b", 1),
    );
    let mut pending: Vec<(usize, Vec<u8>)> = Vec::new();
    for now in (0..60 * SECOND).step_by(10_000) {
        let mut sends = Vec::new();
        for (of, view) in [&mut early, &mut late, &mut other].into_iter().enumerate() {
            if of == 1 && now < 20 * SECOND {
                continue; // It is started later.
            }
            for (to, bytes) in &pending {
                // Both lives of the first name are at its address.
                if (*to == 0 && of < 2) || (*to == 1 && of == 2) {
                    view.on_datagram(now, bytes, &mut sends);
                }
            }
            view.on_timer(now, &mut sends);
        }
        pending = sends
            .into_iter()
            .map(|send| (send.to, send.bytes))
            .collect();
    }
    assert!(early.is_superseded() && !late.is_superseded());
    assert_eq!(other.states(), [PeerState::Alive; 2]);
    assert!(
        other.dropped.stale > 0,
        "what the earlier life said was counted"
    );
}

#[test]
fn a_side_is_told_by_how_many_of_the_peers_live() {
    let peers: Vec<String> = ["a", "b", "c", "d"].map(String::from).to_vec();
    let settings = |name: &str, peers: &[String]| MembershipSettings {
        peers: peers.to_vec(),
        name: name.into(),
        unix_ms: 1,
        probe: PROBE,
    };
    let mut view =
        Membership::new(0, settings("a", &peers), 1, &mut Vec::new()).expect("a good roster");
    assert_eq!(view.side(), PartitionSide::Whole);
    let before = view.digest();
    // Nobody answers: the others go one after the other.
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
    let change = view.next_change().expect("it is told");
    assert_eq!(
        (change.from, change.to),
        (PeerState::Alive, PeerState::Suspect)
    );
    let problem = |name: &str, peers: &[String]| {
        Membership::new(0, settings(name, peers), 1, &mut Vec::new()).err()
    };
    assert_eq!(
        problem("e", &peers),
        Some(PeerSetError::MissingOwnName("e".into()))
    );
    let twice = [peers.clone(), vec!["a".into()]].concat();
    assert_eq!(
        problem("a", &twice),
        Some(PeerSetError::Duplicate("a".into()))
    );
}
