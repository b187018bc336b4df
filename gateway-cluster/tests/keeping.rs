//! The shard map in the simulation: never two keepers of a key at one instant, never two maps of one version, whatever
//! happens; and each key kept again in time. Each failure names its seed.

mod steps;

use gateway_cluster::engine::{Engine, Micros, Place};
use gateway_cluster::names::id_of;
use gateway_cluster::shards::decide::{Ballot, Named};
use gateway_cluster::shards::keep::KEEP_LEASES;
use gateway_cluster::shards::keeping::Standing;
use gateway_cluster::shards::wire::{pack, Datagram, Kind, State};
use gateway_cluster::shards::{Hash, Key, Map, Range, KEYS};
use gateway_cluster::sim::{Owned, Sim, Weather};
use std::collections::BTreeMap;
use steps::Watched;

const LEASE: Micros = 2_000_000;
const KEEP: Micros = KEEP_LEASES * LEASE;
const SECOND: Micros = 1_000_000;
const PROBE: Micros = 500_000;
/// The view's.
const VERDICT: Micros = 8 * PROBE;
/// Seeds for a fleet of so many doors.
fn seeds(doors: usize) -> std::ops::Range<u64> {
    if doors > 10 {
        0..2
    } else {
        0..4
    }
}

const UNIX: Micros = 1_700_000_000 * SECOND;

/// A fleet with what was seen of it at each step.
struct Fleet<const RANGES: usize = 64> {
    sim: Sim<Owned<2000, RANGES>>,
    seed: u64,
    /// Which map each version is.
    decided: BTreeMap<u64, Hash>,
    /// The version that each door had last in this life.
    versions: BTreeMap<Place, u64>,
}

fn name(door: Place) -> String {
    format!("n{door:03}")
}

impl<const RANGES: usize> Watched for Fleet<RANGES> {
    type Door = Owned<2000, RANGES>;

    fn sim(&mut self) -> &mut Sim<Owned<2000, RANGES>> {
        &mut self.sim
    }

    /// Looks at all invariants. One that is stopped is asked what it would say if it went on now.
    fn look(&mut self) {
        let (now, seed) = (self.sim.now() / 1000, self.seed);
        let mut spans: Vec<(Key, Key, Place)> = Vec::new();
        for door in 0..self.sim.roster() {
            if !self.sim.runs(door) {
                self.versions.remove(&door);
                continue;
            }
            spans.extend(
                self.mine(door)
                    .into_iter()
                    .map(|(from, to)| (from, to, door)),
            );
            let keeping = self
                .sim
                .engine(door)
                .and_then(|owned| owned.stack.keeping());
            let Some((version, hash)) = keeping.and_then(|keeping| keeping.in_force()) else {
                continue;
            };
            let first = *self.decided.entry(version).or_insert(hash);
            assert_eq!(
                first, hash,
                "seed {seed} at {now} ms: n{door} has another version {version}"
            );
            let before = self.versions.insert(door, version).unwrap_or(0);
            assert!(
                before <= version,
                "seed {seed} at {now} ms: n{door} went from {before} to {version}"
            );
        }
        spans.sort_unstable();
        for pair in spans.windows(2) {
            assert!(
                pair[0].1 <= pair[1].0,
                "seed {seed} at {now} ms: two keepers: {pair:?}"
            );
        }
    }
}

impl<const RANGES: usize> Fleet<RANGES> {
    fn new(doors: usize, seed: u64, weather: Weather) -> Self {
        let mut sim = Sim::new(doors, PROBE, seed);
        sim.weather = weather;
        (0..doors).for_each(|door| sim.start(door, UNIX));
        Fleet {
            sim,
            seed,
            decided: BTreeMap::new(),
            versions: BTreeMap::new(),
        }
    }

    /// A fleet whose keys are all kept.
    fn kept(doors: usize, seed: u64, weather: Weather) -> Self {
        let mut fleet = Self::new(doors, seed, weather);
        fleet.all_kept(KEEP + 3 * LEASE, "the start");
        fleet.run(SECOND);
        fleet
    }

    fn standing(&mut self, door: Place) -> Option<Standing> {
        let now = self.sim.now();
        Some(self.sim.engine(door)?.stack.keeping()?.standing(now))
    }

    fn mine(&mut self, door: Place) -> Vec<(Key, Key)> {
        let now = self.sim.now();
        self.sim
            .engine(door)
            .map_or_else(Vec::new, |owned| owned.stack.mine(now))
    }

    fn owner(&mut self) -> Option<Place> {
        let now = self.sim.now();
        (0..self.sim.roster()).find(|door| {
            let office = self
                .sim
                .engine(*door)
                .and_then(|owned| owned.stack.office());
            office.is_some_and(|office| office.epoch(now).is_some())
        })
    }

    /// Keys that somebody keeps who runs and is not stopped.
    fn keys_kept(&mut self) -> u64 {
        let doors = (0..self.sim.roster()).filter(|door| !self.sim.is_stopped(*door));
        let doors: Vec<Place> = doors.collect();
        doors
            .into_iter()
            .flat_map(|door| self.mine(door))
            .map(|(from, to)| to - from)
            .sum()
    }

    /// How long until each key is kept, at most this long.
    fn all_kept(&mut self, most: Micros, what: &str) -> Micros {
        let took = self.until(most, |fleet| fleet.keys_kept() == KEYS);
        took.unwrap_or_else(|| {
            let kept = self.keys_kept();
            let told: Vec<_> = (0..self.sim.roster())
                .filter_map(|door| self.standing(door))
                .collect();
            let told: Vec<_> = told
                .iter()
                .map(|told| (told.version, told.mine.len(), &told.next))
                .collect();
            panic!(
                "seed {}: {what}: {} of 1000 kept after {most} us: {told:?}",
                self.seed,
                kept * 1000 / KEYS
            )
        })
    }

    /// How long until all doors that run have this version.
    fn all_at(&mut self, version: u64, most: Micros, what: &str) -> Micros {
        let running: Vec<Place> = (0..self.sim.roster())
            .filter(|door| self.sim.runs(*door))
            .collect();
        let at = |fleet: &mut Self| {
            let has = |door: &Place| {
                let keeping = fleet
                    .sim
                    .engine(*door)
                    .and_then(|owned| owned.stack.keeping());
                keeping
                    .and_then(|keeping| keeping.in_force())
                    .is_some_and(|known| known.0 >= version)
            };
            running.iter().all(has)
        };
        let took = self.until(most, at);
        let versions: Vec<_> = running
            .iter()
            .map(|door| self.standing(*door).map(|told| told.version))
            .collect();
        took.unwrap_or_else(|| panic!("seed {}: {what}: not at {version}: {versions:?}", self.seed))
    }

    fn propose(&mut self, door: Place, expect: u64, ranges: Vec<Range>) {
        self.sim.act(door, |owned, now, sends| {
            owned.propose(now, expect, ranges, sends)
        });
    }

    /// What is in force, with the keys of the first keeper's first range given to another.
    fn one_moved(&mut self, door: Place, by: usize) -> (u64, Vec<Range>) {
        let map = self
            .sim
            .engine(door)
            .and_then(|owned| owned.stack.keeping()?.map().cloned());
        let mut map = map.expect("it has a map");
        let names: Vec<String> = (0..self.sim.roster()).map(name).collect();
        let at = names
            .iter()
            .position(|name| *name == map.ranges[0].keeper)
            .expect("it is in the roster");
        map.ranges[0].keeper = names[(at + by) % names.len()].clone();
        (map.version, map.ranges)
    }
}

fn lossy() -> Weather {
    Weather {
        loss: 0.1,
        jitter: 50_000,
        double: 0.05,
        ..Weather::default()
    }
}

#[test]
fn a_fleet_that_starts_keeps_each_key_once_what_was_given_before_is_over() {
    for (doors, weather) in [
        (3, Weather::default()),
        (7, lossy()),
        (24, Weather::default()),
        (24, lossy()),
    ] {
        let mut took = Vec::new();
        for seed in seeds(doors) {
            let mut fleet = Fleet::<64>::new(doors, seed, weather);
            fleet.run(KEEP);
            assert_eq!(
                fleet.keys_kept(),
                0,
                "seed {seed}: an earlier process may keep yet"
            );
            let most = if weather.loss > 0.0 {
                3 * SECOND
            } else {
                2 * SECOND
            };
            took.push(KEEP + fleet.all_kept(most, "the start"));
            fleet.run(10 * SECOND);
            assert_eq!(
                (fleet.keys_kept(), fleet.decided.len()),
                (KEYS, 1),
                "seed {seed}: it stays so"
            );
            let told = fleet.standing(0).expect("it runs");
            assert_eq!((told.kept.len(), told.ranges, told.next), (doors, 64, None));
        }
        println!(
            "{doors} doors, loss {}: started after {took:?} us",
            weather.loss
        );
    }
}

#[test]
fn the_keys_of_a_keeper_that_is_killed_are_kept_again_in_time() {
    for (doors, weather) in [
        (3, Weather::default()),
        (7, Weather::default()),
        (24, Weather::default()),
        (24, lossy()),
    ] {
        let mut took = Vec::new();
        for seed in seeds(doors) {
            let mut fleet = Fleet::<64>::kept(doors, seed, weather);
            let owner = fleet.owner().expect("there is one");
            fleet.sim.kill((owner + 1) % doors);
            assert!(fleet.keys_kept() < KEYS);
            took.push(fleet.all_kept(VERDICT + LEASE + 2 * SECOND, "a keeper is killed"));
            fleet.run(5 * SECOND);
            // One that comes back gets its part, and takes it from the others one step after the other.
            fleet.sim.start((owner + 1) % doors, UNIX + 60 * SECOND);
            let has = |fleet: &mut Fleet| !fleet.mine((owner + 1) % doors).is_empty();
            assert!(
                fleet.until(20 * SECOND, has).is_some(),
                "{doors} doors, seed {seed}: it gets nothing"
            );
            fleet.run(10 * SECOND);
            assert_eq!(fleet.keys_kept(), KEYS, "{doors} doors, seed {seed}");
        }
        println!(
            "{doors} doors, loss {}: kept again after {took:?} us",
            weather.loss
        );
    }
}

#[test]
fn the_keys_of_an_owner_that_is_killed_are_kept_again_and_the_others_stay() {
    for (doors, weather) in [
        (3, Weather::default()),
        (7, Weather::default()),
        (24, lossy()),
    ] {
        let mut took = Vec::new();
        for seed in seeds(doors) {
            let mut fleet = Fleet::<64>::kept(doors, seed, weather);
            let owner = fleet.owner().expect("there is one");
            fleet.sim.kill(owner);
            // The next owner waits for what this one may have given.
            took.push(fleet.all_kept(
                LEASE + 3 * SECOND + KEEP + 2 * SECOND,
                "the owner is killed",
            ));
        }
        println!(
            "{doors} doors, loss {}: kept again after {took:?} us",
            weather.loss
        );
    }
}

#[test]
fn a_keeper_that_is_stopped_over_a_move_keeps_nothing_of_it_when_it_wakes() {
    for seed in seeds(7) {
        let mut fleet = Fleet::<64>::kept(7, seed, Weather::default());
        let owner = fleet.owner().expect("there is one");
        let (expect, ranges) = fleet.one_moved(owner, 0);
        let loser = (0..7)
            .find(|door| name(*door) == ranges[0].keeper)
            .expect("it has a keeper");
        if loser == owner {
            continue;
        }
        let (_, ranges) = fleet.one_moved(owner, 1);
        fleet.sim.stop(loser, true);
        fleet.propose(owner, expect, ranges);
        // The next keeper waits until the lease of the one that is stopped is over.
        let end = ranges_end(&mut fleet, owner);
        let kept = |fleet: &mut Fleet| {
            (0..7).any(|door| {
                door != loser
                    && fleet
                        .mine(door)
                        .iter()
                        .any(|(from, to)| *from < end && *to > 0)
            })
        };
        let took = fleet.until(KEEP + SECOND, kept);
        assert!(
            took.is_some_and(|took| took > SECOND),
            "seed {seed}: {took:?}"
        );
        fleet.run(10 * SECOND);
        fleet.sim.stop(loser, false);
        fleet.look();
        fleet.run(5 * SECOND);
        fleet.all_kept(5 * SECOND, "it goes on");
    }
}

/// The end of the first range.
fn ranges_end(fleet: &mut Fleet, door: Place) -> Key {
    let map = fleet
        .sim
        .engine(door)
        .and_then(|owned| owned.stack.keeping()?.map().cloned());
    map.expect("it has a map").ranges[0].to
}

#[test]
fn a_good_map_of_staff_is_in_force_everywhere_within_a_second_and_a_bad_one_is_refused() {
    for (doors, weather, most) in [
        (3, Weather::default(), SECOND),
        (7, Weather::default(), SECOND),
        (24, Weather::default(), SECOND),
        (24, lossy(), 3 * SECOND),
    ] {
        let mut took = Vec::new();
        for seed in seeds(doors) {
            let mut fleet = Fleet::<64>::kept(doors, seed, weather);
            let owner = fleet.owner().expect("there is one");
            let at = (owner + 1) % doors;
            let (expect, ranges) = fleet.one_moved(at, 1);
            fleet.propose(at, expect, ranges.clone());
            took.push(fleet.all_at(expect + 1, most, "a good map"));
            took.push(fleet.all_kept(most, "a good map"));
            fleet.run(SECOND);
            assert_eq!(
                fleet.standing(at).map(|told| told.proposal.state),
                Some(State::InForce)
            );
            // The same once more, at another door: it is there.
            let other = (owner + 2) % doors;
            fleet.propose(other, expect, ranges.clone());
            fleet.run(2 * SECOND);
            assert_eq!(
                fleet.standing(other).map(|told| told.proposal.state),
                Some(State::InForce)
            );
            let mut bad = ranges;
            (bad[3].from, bad[9].to, bad[20].keeper) =
                (bad[3].from + 1, bad[9].to + 7, "nobody".to_string());
            fleet.propose(at, expect + 1, bad);
            fleet.run(3 * SECOND);
            let told = fleet.standing(at).expect("it runs").proposal;
            let rules: Vec<&str> = told
                .findings
                .iter()
                .map(|finding| finding.rule.name())
                .collect();
            assert_eq!(
                (told.state, rules),
                (State::Refused, vec!["gap", "overlap", "keeper"]),
                "seed {seed}"
            );
        }
        println!(
            "{doors} doors, loss {}: everywhere, and kept, after {took:?} us",
            weather.loss
        );
    }
}

#[test]
fn of_two_maps_at_once_one_is_decided_and_the_other_is_told_why_not() {
    for seed in seeds(7) {
        let mut fleet = Fleet::<64>::kept(7, seed, lossy());
        let (expect, one) = fleet.one_moved(1, 1);
        let (_, other) = fleet.one_moved(2, 2);
        fleet.propose(1, expect, one);
        fleet.propose(2, expect, other);
        fleet.run(6 * SECOND);
        let told: Vec<_> = [1, 2]
            .into_iter()
            .filter_map(|door| fleet.standing(door))
            .collect();
        let states: Vec<State> = told.iter().map(|told| told.proposal.state).collect();
        assert!(
            states == [State::InForce, State::Refused]
                || states == [State::Refused, State::InForce],
            "seed {seed}: {states:?}"
        );
        let refused = told
            .iter()
            .find(|told| told.proposal.state == State::Refused)
            .expect("one is");
        assert!(refused
            .proposal
            .findings
            .iter()
            .any(|told| told.rule.name() == "version"));
    }
}

#[test]
fn a_map_at_a_door_of_a_minority_waits_until_it_is_healed_and_the_minority_keeps_nothing() {
    for seed in seeds(7) {
        let mut fleet = Fleet::<64>::kept(5, seed, Weather::default());
        let owner = fleet.owner().expect("there is one");
        let (one, other) = ((owner + 1) % 5, (owner + 2) % 5);
        fleet
            .sim
            .partition(|door| usize::from(door == one || door == other));
        let (expect, ranges) = fleet.one_moved(one, 1);
        fleet.propose(one, expect, ranges);
        fleet.run(KEEP);
        assert_eq!(
            (fleet.mine(one), fleet.mine(other)),
            (vec![], vec![]),
            "seed {seed}"
        );
        fleet.all_kept(VERDICT + LEASE + 2 * SECOND - KEEP, "the rest keeps it all");
        assert_eq!(
            fleet.standing(one).map(|told| told.proposal.state),
            Some(State::Waiting)
        );
        fleet.sim.partition(|_| 0);
        fleet.run(10 * SECOND);
        // It was made from a map that was replaced meanwhile.
        assert_eq!(
            fleet.standing(one).map(|told| told.proposal.state),
            Some(State::Refused),
            "seed {seed}"
        );
        assert!(
            fleet
                .standing(one)
                .is_some_and(|told| told.version > expect),
            "seed {seed}: it caught up"
        );
        fleet.all_kept(SECOND, "it is healed");
    }
}

#[test]
fn a_new_owner_finishes_what_a_majority_may_have_accepted() {
    for seed in 0..24 {
        let mut fleet = Fleet::<64>::kept(5, seed, Weather::default());
        let owner = fleet.owner().expect("there is one");
        let (expect, ranges) = fleet.one_moved(owner, 1);
        let told = fleet.standing(owner).expect("it runs");
        // In the term that made the map in force.
        let map = Map {
            version: expect + 1,
            parent: told.hash,
            epoch: told.epoch,
            ranges: ranges.clone(),
        };
        // Everybody hears what it proposes; of half of the seeds it hears nobody, so that nobody is told that it is
        // decided.
        for door in (0..5).filter(|door| *door != owner) {
            fleet.sim.cut(door, owner, seed % 2 == 0);
        }
        fleet.propose(owner, expect, ranges);
        // The acceptances are on their way back, or have just come.
        fleet.run(1_500 + 250 * (seed / 2));
        fleet.sim.kill(owner);
        fleet.sim.partition(|_| 0);
        fleet.all_at(
            expect + 1,
            LEASE + 3 * SECOND + VERDICT + KEEP,
            "the next owner",
        );
        assert_eq!(
            fleet.decided.get(&(expect + 1)),
            Some(&map.hash()),
            "seed {seed}: another was decided"
        );
        fleet.all_kept(KEEP + VERDICT + LEASE, "the next owner");
    }
}

#[test]
fn a_door_refuses_a_bad_map_by_itself_whatever_the_owner_says() {
    let mut fleet = Fleet::<64>::kept(3, 1, Weather::default());
    let owner = fleet.owner().expect("there is one");
    let door = (owner + 1) % 3;
    let (expect, mut ranges) = fleet.one_moved(door, 1);
    ranges[5].from += 1;
    let (now, to) = (fleet.sim.now(), id_of(&name(door)));
    let office = fleet
        .sim
        .engine(owner)
        .and_then(|owned| owned.stack.office())
        .expect("it runs");
    let (life, stamp) = (office.life(), office.stamp(now, to).expect("it owns"));
    let parent = fleet.standing(door).expect("it runs").hash;
    let map = Map {
        version: expect + 1,
        parent,
        epoch: stamp.epoch,
        ranges,
    };
    let (epoch, version, hash) = (map.epoch, map.version, map.hash());
    let ballot = Ballot { epoch, attempt: 0 };
    let kind = Kind::Propose {
        ballot,
        map: Named {
            epoch,
            version,
            hash,
        },
        finish: true,
        anew: false,
        whole: pack(&map),
    };
    let from = id_of(&name(owner));
    let bytes = Datagram {
        from,
        life,
        to_life: stamp.to_life,
        stamp: Some((epoch, stamp.until)),
        kind,
    }
    .encode();
    let answers = fleet.sim.act(door, |owned, now, sends| {
        owned.receive(now, &bytes, sends);
        sends
            .iter()
            .filter_map(|send| Datagram::decode(&send.bytes))
            .map(|told| told.kind)
            .collect::<Vec<_>>()
    });
    let refused = |kind: &Kind| matches!(kind, Kind::Refused(of, _, told) if *of == ballot && told.len() == 1);
    assert!(
        answers
            .as_ref()
            .is_some_and(|answers| answers.iter().any(refused)),
        "{answers:?}"
    );
}

#[test]
fn after_all_restart_at_once_the_map_starts_anew_and_a_door_that_returns_catches_up() {
    for (doors, weather) in [
        (3, Weather::default()),
        (7, lossy()),
        (24, Weather::default()),
    ] {
        for seed in seeds(doors) {
            let mut fleet = Fleet::<64>::kept(doors, seed, weather);
            let (expect, ranges) = fleet.one_moved(1, 1);
            fleet.propose(1, expect, ranges);
            fleet.all_at(expect + 1, 3 * SECOND, "a map");
            (0..doors).for_each(|door| fleet.sim.kill(door));
            fleet.look();
            fleet.decided.clear();
            (0..doors).for_each(|door| fleet.sim.start(door, UNIX + 100 * SECOND));
            fleet.all_kept(KEEP + 2 * SECOND, "all restarted");
            assert_eq!(
                fleet.standing(0).map(|told| told.version),
                Some(1),
                "seed {seed}"
            );
            fleet.run(SECOND);
            let owner = fleet.owner().expect("there is one");
            let door = (owner + 1) % doors;
            fleet.sim.kill(door);
            fleet.run(SECOND);
            fleet.sim.start(door, UNIX + 200 * SECOND);
            fleet.all_at(1, 3 * SECOND, "it returns");
            // Its name keeps again once the lease of the process before it is over.
            fleet.all_kept(VERDICT + LEASE + 2 * SECOND, "it returns");
        }
    }
}

#[test]
fn datagrams_that_are_late_by_a_lease_lost_and_doubled_make_no_two_keepers() {
    for seed in 0..6 {
        let late = Weather {
            jitter: LEASE,
            loss: 0.1,
            double: 0.1,
            ..Weather::default()
        };
        let mut fleet = Fleet::<64>::kept(5, seed, lossy());
        for round in 0..6 {
            fleet.sim.weather = if round % 2 == 0 { late } else { lossy() };
            let door = (round + seed as usize) % 5;
            if fleet.sim.runs(door) {
                let (expect, ranges) = fleet.one_moved(door, 1 + round % 3);
                fleet.propose(door, expect, ranges);
            }
            fleet.run(3 * SECOND);
            match round {
                1 => fleet.sim.stop(door, true),
                2 => (0..5).for_each(|door| fleet.sim.stop(door, false)),
                3 => fleet.sim.partition(|other| usize::from(other == door)),
                4 => fleet.sim.partition(|_| 0),
                _ => {}
            }
            fleet.run(3 * SECOND);
        }
        fleet.sim.weather = Weather::default();
        fleet.sim.partition(|_| 0);
        (0..5).for_each(|door| fleet.sim.stop(door, false));
        fleet.run(2 * KEEP);
        fleet.all_kept(VERDICT + 2 * KEEP, "all is well again");
    }
}

#[test]
fn an_owner_and_keepers_at_random_stopped_cut_and_killed_make_no_two_keepers() {
    for seed in 0..10 {
        let mut fleet = Fleet::<64>::kept(5, seed, lossy());
        let mut dice = seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1;
        let mut roll = |most: u64| {
            dice ^= dice << 13;
            dice ^= dice >> 7;
            dice ^= dice << 17;
            dice % most
        };
        for round in 0..14 {
            let door = roll(5) as usize;
            // One at a time is dead, so that a majority remembers.
            for other in 0..5 {
                if !fleet.sim.runs(other) {
                    fleet.sim.start(other, UNIX + (100 + round) * SECOND);
                }
            }
            match roll(6) {
                0 => fleet.sim.stop(door, true),
                1 => (0..5).for_each(|door| fleet.sim.stop(door, false)),
                2 => fleet.sim.cut(door, (door + 1 + roll(4) as usize) % 5, true),
                3 => fleet.sim.partition(|_| 0),
                4 => fleet.sim.kill(door),
                _ if fleet.standing(door).is_some_and(|told| told.version > 0)
                    && !fleet.sim.is_stopped(door) =>
                {
                    let (expect, ranges) = fleet.one_moved(door, 1 + roll(4) as usize);
                    fleet.propose(door, expect, ranges);
                }
                _ => {}
            }
            fleet.run(500_000 + roll(3 * SECOND));
        }
        fleet.sim.weather = Weather::default();
        fleet.sim.partition(|_| 0);
        (0..5).for_each(|door| fleet.sim.stop(door, false));
        (0..5)
            .filter(|door| !fleet.sim.runs(*door))
            .collect::<Vec<_>>()
            .into_iter()
            .for_each(|door| {
                fleet.sim.start(door, UNIX + 1000 * SECOND);
            });
        fleet.run(2 * KEEP);
        fleet.all_kept(VERDICT + 3 * KEEP, "all is well again");
    }
}

#[test]
fn a_door_that_the_roster_does_not_name_any_more_keeps_nothing() {
    for seed in seeds(7) {
        let mut fleet = Fleet::<64>::kept(7, seed, Weather::default());
        for door in 0..7 {
            fleet.sim.act(door, |owned, now, sends| {
                owned.set_roster(now, 0..7_usize, sends)
            });
            if door < 5 {
                fleet.sim.act(door, |owned, now, sends| {
                    owned.set_roster(now, 0..5_usize, sends)
                });
                fleet.run(200_000);
            }
        }
        fleet.run(KEEP + LEASE + 2 * SECOND);
        assert_eq!(
            (fleet.mine(5), fleet.mine(6)),
            (vec![], vec![]),
            "seed {seed}"
        );
        fleet.all_kept(KEEP + SECOND, "the roster has shrunk");
        let told = fleet.standing(0).expect("it runs");
        assert!(
            told.kept.keys().all(|name| *name < self::name(5)),
            "seed {seed}: {:?}",
            told.kept
        );
    }
}

#[test]
fn a_planned_end_lets_go_at_once() {
    for seed in seeds(7) {
        let mut fleet = Fleet::<64>::kept(7, seed, Weather::default());
        let owner = fleet.owner().expect("there is one");
        fleet.sim.leave((owner + 1) % 7);
        let keeper = fleet.all_kept(SECOND, "a keeper leaves");
        fleet.run(SECOND);
        fleet.sim.leave(owner);
        let took = fleet.all_kept(2 * SECOND, "the owner leaves");
        println!("seed {seed}: a keeper left {keeper} us, the owner {took} us");
    }
}

#[test]
fn a_thousand_ranges_go_in_parts() {
    for weather in [Weather::default(), lossy()] {
        let mut fleet = Fleet::<1024>::kept(5, 1, weather);
        let (expect, ranges) = fleet.one_moved(1, 1);
        assert_eq!(ranges.len(), 1024);
        fleet.propose(1, expect, ranges);
        let took = fleet.all_at(expect + 1, 8 * SECOND, "1,024 ranges");
        println!(
            "loss {}: 1,024 ranges everywhere after {took} us",
            weather.loss
        );
        let largest = (0..5)
            .filter_map(|door| fleet.sim.engine(door).map(|owned| owned.kept.largest))
            .max();
        assert!(
            largest.is_some_and(|largest| largest <= 1400),
            "{largest:?}"
        );
    }
}

#[test]
fn what_is_sent_is_bounded() {
    for doors in [3, 7, 24] {
        let mut fleet = Fleet::<64>::kept(doors, 1, Weather::default());
        fleet.run(5 * SECOND);
        let mut told = Vec::new();
        for storm in [false, true] {
            if storm {
                let owner = fleet.owner().expect("there is one");
                (0..doors)
                    .filter(|door| *door != owner)
                    .take(doors / 3)
                    .for_each(|door| fleet.sim.kill(door));
            }
            let (mut owner, mut others) = ((0, 0), (0, 0));
            for _ in 0..10 {
                for door in 0..doors {
                    fleet.sim.act(door, |owned, _, _| {
                        (owned.kept, owned.sent) = Default::default()
                    });
                }
                fleet.run(SECOND);
                let owns = fleet.owner();
                for door in 0..doors {
                    let sent = fleet.sim.act(door, |owned, _, _| {
                        (
                            owned.kept.messages + owned.sent.messages,
                            owned.kept.bytes + owned.sent.bytes,
                        )
                    });
                    let Some(sent) = sent else { continue };
                    let most = if owns == Some(door) {
                        &mut owner
                    } else {
                        &mut others
                    };
                    *most = (most.0.max(sent.0), most.1.max(sent.1));
                }
            }
            assert!(
                owner.0 <= 150 && owner.1 <= 30_000,
                "{doors} doors, storm {storm}: owner {owner:?}"
            );
            assert!(
                others.0 <= 50,
                "{doors} doors, storm {storm}: others {others:?}"
            );
            told.push((storm, owner, others));
        }
        println!("{doors} doors: (storm, owner, others), with the office's: {told:?}");
    }
}

#[test]
fn junk_is_counted_and_dropped() {
    let mut fleet = Fleet::<64>::kept(3, 1, Weather::default());
    let mut bytes = Datagram {
        from: 1,
        life: 1,
        to_life: 1,
        stamp: Some((u64::MAX, u64::MAX)),
        kind: Kind::Left,
    };
    let unknown = bytes.encode();
    bytes.from = id_of("n000");
    bytes.kind = Kind::Fetch(Hash(7), 255);
    let nothing = bytes.encode();
    let dropped = fleet.sim.act(1, |owned, now, sends| {
        for bytes in [&unknown, &nothing, &vec![3; 1400], &vec![3; 1401], &vec![3]] {
            owned.receive(now, bytes, sends);
        }
        owned.stack.keeping().map(|keeping| keeping.dropped)
    });
    assert_eq!(dropped, Some(Some((3, 1))));
}
