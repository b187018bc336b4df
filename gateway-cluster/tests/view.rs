//! The view in the simulation: bounds that follow from the probe period, at sizes that a debug build can bear. Each
//! failure names its seed.

use gateway_cluster::engine::{Micros, State};
use gateway_cluster::names::RosterError;
use gateway_cluster::sim::{Sim, Weather};
use gateway_cluster::view::{Settings, Side, View, Why};

const PROBE: Micros = 500_000;
const SECOND: Micros = 1_000_000;
const SEEDS: std::ops::Range<u64> = 0..8;

/// A fleet that has run for a while.
fn fleet(doors: usize, seed: u64, weather: Weather) -> Sim<View> {
    let mut sim = Sim::new(doors, PROBE, seed);
    sim.weather = weather;
    (0..doors).for_each(|door| sim.start(door, 1_700_000_000 * SECOND));
    sim.run_until(10 * SECOND);
    sim
}

fn lossy() -> Weather {
    Weather {
        loss: 0.1,
        jitter: 50_000,
        double: 0.05,
        ..Weather::default()
    }
}

/// Waits until all views are right, at most so many periods, and tells what took too long.
fn settles(sim: &mut Sim<View>, periods: u64, what: &str) {
    let since = sim.now();
    let at = sim.run_until_true(since + periods * PROBE, Sim::is_settled);
    assert!(
        at.is_some(),
        "{what}: views are not right after {periods} periods"
    );
}

#[test]
fn a_door_that_is_killed_is_dead_in_every_view_in_time() {
    for (doors, seed) in [3, 30]
        .into_iter()
        .flat_map(|doors| SEEDS.map(move |seed| (doors, seed)))
    {
        for (weather, periods) in [(Weather::default(), 8), (lossy(), 12)] {
            let mut sim = fleet(doors, seed, weather);
            sim.kill(0);
            let dead = |sim: &Sim<View>| {
                (1..doors).all(|door| sim.view(door).is_some_and(|view| view[0] == State::Dead))
            };
            let at = sim.run_until_true(sim.now() + periods * PROBE, dead);
            assert!(at.is_some(), "{doors} doors, seed {seed}, {weather:?}");
        }
    }
}

#[test]
fn no_door_that_lives_is_held_for_dead_at_a_tenth_of_loss() {
    for seed in SEEDS {
        let mut sim = fleet(30, seed, lossy());
        for _ in 0..60 {
            sim.run_until(sim.now() + SECOND);
            let dead = (0..30)
                .filter_map(|door| sim.view(door))
                .flatten()
                .filter(|state| *state == State::Dead)
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
        ("halves", |door| door % 2),
        ("thirds", |door| door % 3),
        ("one", |door| usize::from(door == 0)),
        ("alone", |door| door),
    ];
    for seed in SEEDS {
        for (name, side) in shapes {
            for doors in [3, 30] {
                let mut sim = fleet(doors, seed, Weather::default());
                sim.partition(side);
                sim.run_until(sim.now() + 30 * SECOND);
                assert!(!sim.is_settled(), "the partition is seen");
                sim.partition(|_| 0);
                settles(
                    &mut sim,
                    PERIODS,
                    &format!("{doors} doors, seed {seed}, {name}"),
                );
            }
        }
        // Two halves that one door joins: nobody is dead.
        let mut sim = fleet(30, seed, Weather::default());
        for (a, b) in (0..30).flat_map(|a| (0..30).map(move |b| (a, b))) {
            sim.cut(a, b, a != 0 && b != 0 && a % 2 != b % 2);
        }
        sim.run_until(sim.now() + 30 * SECOND);
        sim.partition(|_| 0);
        settles(&mut sim, PERIODS, &format!("seed {seed}, a bridge"));
    }
}

#[test]
fn doors_that_were_stopped_hold_no_other_for_dead_when_they_wake() {
    for seed in SEEDS {
        // Answers take so long that some are on their way when the stop comes.
        let mut sim = fleet(
            30,
            seed,
            Weather {
                delay: 40_000,
                jitter: 20_000,
                ..Weather::default()
            },
        );
        (0..10).for_each(|door| sim.stop(door, true));
        sim.run_until(sim.now() + 10 * SECOND);
        (0..10).for_each(|door| sim.stop(door, false));
        // What was asked before the stop is no reason to doubt anybody.
        let doubted = (0..10)
            .filter_map(|door| sim.view(door))
            .flat_map(|view| view[10..].to_vec());
        assert_eq!(
            doubted.filter(|state| *state != State::Alive).count(),
            0,
            "seed {seed}"
        );
        for _ in 0..100 {
            sim.run_until(sim.now() + SECOND / 20);
            let wrong = (0..10)
                .filter_map(|door| sim.view(door))
                .flat_map(|view| view[10..].to_vec());
            assert_eq!(
                wrong.filter(|state| *state == State::Dead).count(),
                0,
                "seed {seed}"
            );
        }
        settles(&mut sim, 10, &format!("seed {seed}"));
    }
}

#[test]
fn verdicts_that_piled_up_while_a_door_was_stopped_are_no_verdicts_when_it_wakes() {
    for (seed, stopped) in SEEDS.flat_map(|seed| {
        (0..7)
            .filter(|door| *door != 1)
            .map(move |door| (seed, door))
    }) {
        let mut sim = fleet(7, seed, Weather::default());
        sim.kill(1);
        // It hears the doubt, or has it itself; the verdict and the return come while it is stopped.
        sim.run_until(sim.now() + 2_200_000);
        sim.stop(stopped, true);
        sim.run_until(sim.now() + 800_000);
        sim.start(1, 1_700_000_100 * SECOND);
        sim.run_until(sim.now() + 7 * SECOND);
        while sim.engine(stopped).and_then(View::take_change).is_some() {}
        sim.stop(stopped, false);
        sim.run_until(sim.now() + 5 * SECOND);
        while let Some(change) = sim.engine(stopped).and_then(View::take_change) {
            assert_ne!(
                change.to,
                State::Dead,
                "seed {seed}, door {stopped}: {change:?}"
            );
        }
    }
}

#[test]
fn a_new_life_wins_though_its_clock_was_set_back() {
    for (doors, seed) in [3, 30]
        .into_iter()
        .flat_map(|doors| SEEDS.map(move |seed| (doors, seed)))
    {
        for away in [PROBE, 10 * SECOND] {
            let mut sim = fleet(doors, seed, Weather::default());
            sim.kill(1);
            sim.run_until(sim.now() + away);
            sim.start(1, 1_699_996_400 * SECOND);
            settles(
                &mut sim,
                8,
                &format!("{doors} doors, seed {seed}, {} s away", away / SECOND),
            );
        }
    }
}

#[test]
fn what_a_door_sends_in_ten_seconds_is_bounded_also_after_a_mass_kill() {
    for seed in SEEDS {
        let mut sim = fleet(30, seed, lossy());
        (0..21).for_each(|door| sim.kill(door));
        for _ in 0..4 {
            let before: Vec<_> = (21..30).map(|door| sim.take_sent(door)).collect();
            assert_eq!(before.len(), 9);
            sim.run_until(sim.now() + 10 * SECOND);
            for door in 21..30 {
                let sent = sim.take_sent(door);
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
        |door| door % 2,
        |door| door % 3,
        |door: usize| usize::from(door % 10 == 0),
    ] as [fn(usize) -> usize; 3]
    {
        let mut sim = fleet(100, 1, Weather::default());
        sim.partition(side);
        sim.run_until(sim.now() + 60 * SECOND);
        sim.partition(|_| 0);
        settles(&mut sim, 6, "a hundred");
    }
}

#[test]
fn a_door_that_is_cut_off_knows_it_in_time_however_many_there_are() {
    for doors in [3, 100] {
        let mut sim = fleet(doors, 1, Weather::default());
        sim.partition(|door| usize::from(door == 0));
        // Silence for six periods, and a verdict 3.4 later, with a step for each.
        sim.run_until(sim.now() + 10 * PROBE);
        assert_eq!(
            sim.engine(0).map(|view| view.side()),
            Some(Side::Alone),
            "{doors} doors"
        );
        assert_eq!(
            sim.engine(1).map(|view| view.side()),
            Some(Side::Majority),
            "{doors} doors"
        );
    }
}

#[test]
fn a_door_that_goes_by_its_own_word_is_never_doubted() {
    for seed in SEEDS {
        let mut sim = fleet(30, seed, lossy());
        for door in 0..30 {
            while sim.engine(door).and_then(View::take_change).is_some() {}
        }
        sim.leave(0);
        let gone = |sim: &Sim<View>| {
            (1..30).all(|door| sim.view(door).is_some_and(|view| view[0] == State::Dead))
        };
        assert!(
            sim.run_until_true(sim.now() + 4 * PROBE, gone).is_some(),
            "seed {seed}"
        );
        for door in 1..30 {
            let mut of_it = Vec::new();
            while let Some(change) = sim.engine(door).and_then(View::take_change) {
                of_it.extend((change.name == "n000").then_some((change.to, change.why)));
            }
            assert_eq!(
                of_it,
                [(State::Dead, Why::Left)],
                "seed {seed}, door {door}"
            );
        }
        sim.start(0, 1_700_000_100 * SECOND);
        settles(&mut sim, 8, &format!("seed {seed}, it is back"));
    }
}

#[test]
fn a_name_that_is_taken_out_is_counted_nowhere_and_revives_nobody() {
    for seed in SEEDS {
        let mut sim = fleet(5, seed, lossy());
        let names: Vec<String> = (0..4).map(|door| format!("n00{door}")).collect();
        // One after the other is told, while all run; the one that goes is never told and talks on.
        for door in 0..4 {
            let now = sim.now();
            let told = sim
                .engine(door)
                .map(|view| view.set_roster(now, names.clone()));
            assert_eq!(told, Some(Ok(())));
            sim.run_until(now + 2 * SECOND);
        }
        sim.run_until(sim.now() + 5 * SECOND);
        let views: Vec<_> = (0..4).filter_map(|door| sim.view(door)).collect();
        assert_eq!(views, vec![vec![State::Alive; 4]; 4], "seed {seed}");
        let digests: Vec<_> = (0..4)
            .filter_map(|door| Some(sim.engine(door)?.digest()))
            .collect();
        assert!(
            digests.iter().all(|digest| *digest == digests[0]),
            "seed {seed}"
        );
        let unknown: u64 = (0..4)
            .filter_map(|door| Some(sim.engine(door)?.dropped.unknown))
            .sum();
        assert!(unknown > 0, "seed {seed}: it went on talking");
        // A name that comes back is told of those that are gone.
        sim.kill(1);
        sim.run_until(sim.now() + 6 * SECOND);
        let all: Vec<String> = (0..5).map(|door| format!("n00{door}")).collect();
        for door in [0, 2, 3] {
            let now = sim.now();
            let told = sim
                .engine(door)
                .map(|view| view.set_roster(now, all.clone()));
            assert_eq!(told, Some(Ok(())));
        }
        settles(&mut sim, 12, &format!("seed {seed}, five again"));
        let now = sim.now();
        let lacks = sim
            .engine(0)
            .map(|view| view.set_roster(now, names[1..].to_vec()));
        assert_eq!(
            lacks,
            Some(Err(RosterError::Lacks("n000".into()))),
            "what it had stays"
        );
    }
}

#[test]
fn of_two_lives_under_one_name_the_later_wins_and_the_earlier_learns_it() {
    let roster: Vec<String> = ["a", "b"].map(String::from).to_vec();
    let mut sends = Vec::new();
    let mut born = |now, name: &str, unix_ms| {
        let settings = Settings {
            roster: roster.clone(),
            name: name.into(),
            unix_ms,
            probe: PROBE,
        };
        View::new(now, settings, unix_ms, &mut sends).expect("a good roster")
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
                    view.receive(now, bytes, &mut sends);
                }
            }
            view.wake(now, &mut sends);
        }
        pending = sends
            .into_iter()
            .map(|send| (send.to, send.bytes))
            .collect();
    }
    assert!(early.is_superseded() && !late.is_superseded());
    assert_eq!(other.states(), [State::Alive; 2]);
    assert!(
        other.dropped.stale > 0,
        "what the earlier life said was counted"
    );
}

#[test]
fn a_side_is_told_by_how_many_of_the_roster_live() {
    let roster: Vec<String> = ["a", "b", "c", "d"].map(String::from).to_vec();
    let settings = |name: &str, roster: &[String]| Settings {
        roster: roster.to_vec(),
        name: name.into(),
        unix_ms: 1,
        probe: PROBE,
    };
    let mut view = View::new(0, settings("a", &roster), 1, &mut Vec::new()).expect("a good roster");
    assert_eq!(view.side(), Side::Whole);
    let before = view.digest();
    // Nobody answers: the others go one after the other.
    let mut sides = vec![view.side()];
    let mut now = 0;
    while view.side() != Side::Alone {
        now = view.due();
        view.wake(now, &mut Vec::new());
        if sides.last() != Some(&view.side()) {
            sides.push(view.side());
        }
        assert!(now < 600 * SECOND, "{sides:?}");
    }
    assert_ne!(view.digest(), before);
    assert_eq!(view.settled(now + SECOND), SECOND);
    let change = view.take_change().expect("it is told");
    assert_eq!((change.from, change.to), (State::Alive, State::Suspect));
    let problem = |name: &str, roster: &[String]| {
        View::new(0, settings(name, roster), 1, &mut Vec::new()).err()
    };
    assert_eq!(problem("e", &roster), Some(RosterError::Lacks("e".into())));
    let twice = [roster.clone(), vec!["a".into()]].concat();
    assert_eq!(problem("a", &twice), Some(RosterError::Twice("a".into())));
}
