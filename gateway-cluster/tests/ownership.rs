//! The office in the simulation: never two owners at one instant, whatever happens, and one again in time. Each failure
//! names its seed.

mod steps;

use gateway_cluster::engine::{Birth, Micros, Place};
use gateway_cluster::names::id_of;
use gateway_cluster::ownership::office::{Note, Stamp, Standing};
use gateway_cluster::sim::{Owned, Sim, Weather};
use std::collections::BTreeMap;
use steps::Watched;

const LEASE: Micros = 2_000_000;
const SECOND: Micros = 1_000_000;
const SEEDS: std::ops::Range<u64> = 0..6;
const UNIX: Micros = 1_700_000_000 * SECOND;

/// A fleet with what was seen of it at each step.
struct Fleet {
    sim: Sim<Owned<2000>>,
    seed: u64,
    /// Which door had a term; terms grow in the order in which they are first seen.
    terms: BTreeMap<u64, Place>,
    highest: u64,
}

impl Watched for Fleet {
    type Door = Owned<2000>;

    fn sim(&mut self) -> &mut Sim<Owned<2000>> {
        &mut self.sim
    }

    /// Looks at all invariants.
    fn look(&mut self) {
        let (now, seed) = (self.sim.now(), self.seed);
        let owners = self.owners();
        assert!(
            owners.len() <= 1,
            "seed {seed} at {} ms: {owners:?}",
            now / 1000
        );
        for (door, epoch) in &owners {
            let first = *self.terms.entry(*epoch).or_insert(*door);
            assert_eq!(first, *door, "seed {seed}: term {epoch} was another's");
            assert!(
                *epoch >= self.highest,
                "seed {seed}: term {epoch} after {}",
                self.highest
            );
            self.highest = *epoch;
        }
        for door in 0..self.sim.roster() {
            let Some(told) = self.standing(door) else {
                continue;
            };
            let owner = owners.first();
            assert_eq!(
                told.mine,
                owner.is_some_and(|(owner, _)| *owner == door),
                "seed {seed}, d{door}"
            );
            assert_eq!(
                told.left == 0,
                told.owner.is_none(),
                "seed {seed}, d{door}: {told:?}"
            );
            let Some((owner, epoch)) = owner else {
                continue;
            };
            // One that gave its office up, or is gone, may yet be taken for the owner, until its lease is over.
            let named = told
                .owner
                .is_some_and(|named| named != id_of(&format!("n{owner:03}")));
            assert!(
                !named || told.epoch < *epoch,
                "seed {seed} at {now}, d{door}: {told:?}, {owners:?}"
            );
        }
    }
}

impl Fleet {
    fn new(doors: usize, seed: u64, weather: Weather) -> Fleet {
        let mut sim = Sim::new(doors, 500_000, seed);
        sim.weather = weather;
        (0..doors).for_each(|door| sim.start(door, UNIX));
        Fleet {
            sim,
            seed,
            terms: BTreeMap::new(),
            highest: 0,
        }
    }

    /// Each door that owns at this instant. One that is stopped would find so if it went on now.
    fn owners(&mut self) -> Vec<(Place, u64)> {
        let now = self.sim.now();
        let mut owners = Vec::new();
        for door in 0..self.sim.roster() {
            let epoch = self
                .sim
                .engine(door)
                .and_then(|owned| owned.stack.office()?.epoch(now));
            owners.extend(epoch.map(|epoch| (door, epoch)));
        }
        owners
    }

    fn standing(&mut self, door: Place) -> Option<Standing> {
        let now = self.sim.now();
        Some(self.sim.engine(door)?.stack.office()?.standing(now))
    }

    /// The owner, once there is one that all running doors know.
    fn settled(&mut self, time: Micros, what: &str) -> Place {
        let known = |watched: &mut Fleet| watched.owner_known().is_some();
        let took = self.until(time, known);
        let owners = self.owners();
        assert!(
            took.is_some(),
            "seed {}: {what}: it is not known to all who owns: {owners:?}",
            self.seed
        );
        self.owner_known().expect("it is known")
    }

    fn owner_known(&mut self) -> Option<Place> {
        let owner = self.owners().first()?.0;
        let running: Vec<Place> = (0..self.sim.roster())
            .filter(|door| self.sim.runs(*door))
            .collect();
        let knows = |told: Option<Standing>| told.is_some_and(|told| told.owner.is_some());
        running
            .into_iter()
            .all(|door| self.sim.is_stopped(door) || knows(self.standing(door)))
            .then_some(owner)
    }

    /// How long until another door owns.
    fn next_owner(&mut self, after: Place, most: Micros, what: &str) -> Micros {
        let took = self.until(most, |watched| {
            watched
                .owners()
                .first()
                .is_some_and(|(owner, _)| *owner != after)
        });
        took.unwrap_or_else(|| {
            panic!(
                "seed {}: {what}: nobody else owns after {most} us",
                self.seed
            )
        })
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
fn a_fleet_that_starts_has_one_owner_once_the_quiet_time_is_over_and_it_stays() {
    for (doors, weather) in [
        (3, Weather::default()),
        (7, lossy()),
        (24, Weather::default()),
        (24, lossy()),
    ] {
        for seed in SEEDS {
            let mut fleet = Fleet::new(doors, seed, weather);
            fleet.run(LEASE);
            assert_eq!(fleet.owners(), [], "seed {seed}: it is quiet");
            let owner = fleet.settled(LEASE + 2 * SECOND, "the start");
            fleet.run(20 * SECOND);
            let owners = fleet.owners();
            assert_eq!(
                owners.first().map(|(door, _)| *door),
                Some(owner),
                "{doors} doors, seed {seed}: unseated"
            );
            assert_eq!(
                fleet.terms.len(),
                1,
                "{doors} doors, seed {seed}: {:?}",
                fleet.terms
            );
        }
    }
}

#[test]
fn after_the_owner_is_killed_another_owns_in_time() {
    for (doors, weather, slack) in [
        (3, Weather::default(), 1500),
        (24, Weather::default(), 1500),
        (24, lossy(), 3000),
        (7, lossy(), 3000),
    ] {
        for seed in SEEDS {
            let mut fleet = Fleet::new(doors, seed, weather);
            let owner = fleet.settled(3 * LEASE, "the start");
            fleet.run(3 * SECOND);
            fleet.sim.kill(owner);
            fleet.next_owner(
                owner,
                LEASE + slack * 1000,
                &format!("{doors} doors, killed"),
            );
            // One that comes back unseats nobody.
            fleet.sim.start(owner, UNIX + 60 * SECOND);
            let next = fleet.settled(LEASE, "the next");
            let terms = fleet.terms.len();
            fleet.run(10 * SECOND);
            assert_eq!(
                (fleet.terms.len(), fleet.owner_known()),
                (terms, Some(next)),
                "{doors} doors, seed {seed}"
            );
        }
    }
}

#[test]
fn a_planned_end_hands_the_office_on_within_a_second() {
    for (doors, weather) in [
        (3, Weather::default()),
        (7, lossy()),
        (24, Weather::default()),
        (24, lossy()),
    ] {
        for seed in SEEDS {
            let mut fleet = Fleet::new(doors, seed, weather);
            let owner = fleet.settled(3 * LEASE, "the start");
            fleet.run(2 * SECOND);
            fleet.sim.leave(owner);
            fleet.next_owner(owner, SECOND, &format!("{doors} doors, {weather:?}, left"));
        }
    }
}

#[test]
fn after_all_are_killed_nobody_owns_for_a_lease_and_then_one_also_with_the_clock_set_back() {
    for (doors, back) in [(3, 0), (24, 0), (24, 3600 * SECOND)] {
        for seed in SEEDS {
            let mut fleet = Fleet::new(doors, seed, Weather::default());
            fleet.settled(3 * LEASE, "the start");
            fleet.run(2 * SECOND);
            (0..doors).for_each(|door| fleet.sim.kill(door));
            // Terms begin at the wall clock: where that is set back for all, nobody who lives knows a higher one.
            fleet.highest = if back > 0 { 0 } else { fleet.highest };
            (0..doors).for_each(|door| fleet.sim.start(door, UNIX + 100 * SECOND - back));
            fleet.run(LEASE);
            assert_eq!(
                fleet.owners(),
                [],
                "seed {seed}: what was granted before may hold yet"
            );
            fleet.settled(LEASE + 2 * SECOND, "all were killed");
        }
    }
}

#[test]
fn doors_that_all_have_just_begun_wait_for_one_that_none_has_heard_and_then_own_without_it() {
    for seed in SEEDS {
        let mut fleet = Fleet::new(5, seed, Weather::default());
        fleet.sim.kill(4);
        // It may be of a fleet in service, to which this roster was not told yet.
        fleet.run(20 * LEASE);
        assert_eq!(fleet.owners(), [], "seed {seed}");
        fleet.settled(2 * LEASE, "it is not waited for any longer");
        // Where the roster is in use nobody is waited for.
        let owner = fleet.owners()[0].0;
        fleet.sim.kill(owner);
        fleet.sim.start(4, UNIX + 100 * SECOND);
        fleet.next_owner(owner, 2 * LEASE + 2 * SECOND, "in use");
    }
}

#[test]
fn an_owner_that_was_stopped_acts_not_once_and_what_it_had_under_way_is_refused() {
    for seed in SEEDS {
        for stop in [10, 60] {
            let mut fleet = Fleet::new(7, seed, lossy());
            let owner = fleet.settled(3 * LEASE, "the start");
            fleet.run(2 * SECOND);
            let now = fleet.sim.now();
            let to: Vec<Place> = (0..7).filter(|door| *door != owner).collect();
            let name = |door: Place| id_of(&format!("n{door:03}"));
            // It has checked its lease, and stands still before it sends.
            let stamps: Vec<(Place, Stamp)> = to
                .iter()
                .filter_map(|to| {
                    Some((
                        *to,
                        fleet
                            .sim
                            .engine(owner)?
                            .stack
                            .office()?
                            .stamp(now, name(*to))?,
                    ))
                })
                .collect();
            assert_eq!(
                stamps.len(),
                6,
                "seed {seed}: it owns, and has heard from all"
            );
            for (to, stamp) in &stamps {
                let admitted = fleet.sim.act(*to, |door, now, _| {
                    door.stack
                        .office_mut()
                        .expect("it has one")
                        .admit(now, name(owner), *stamp)
                        .is_ok()
                });
                assert_eq!(
                    admitted,
                    Some(true),
                    "seed {seed}: in time it is carried out"
                );
            }
            fleet.sim.stop(owner, true);
            // Before any other owns the lease is over at each receiver, so the act comes too late by itself.
            let over = fleet.until(2 * LEASE, |fleet| fleet.owners().is_empty());
            assert!(over.is_some(), "seed {seed}");
            let refused = |fleet: &mut Fleet, what: &str| {
                for (to, stamp) in &stamps {
                    let admitted = fleet.sim.act(*to, |door, now, _| {
                        door.stack
                            .office_mut()
                            .expect("it has one")
                            .admit(now, name(owner), *stamp)
                            .is_ok()
                    });
                    assert_eq!(admitted, Some(false), "seed {seed}, d{to}: {what}");
                }
            };
            refused(&mut fleet, "the lease is over");
            fleet.run(stop * SECOND);
            refused(&mut fleet, "another owns");
            fleet.sim.stop(owner, false);
            let told = fleet.standing(owner).expect("it runs");
            assert!(
                !told.mine && told.left == 0 || told.owner.is_some(),
                "seed {seed}: {told:?}"
            );
            fleet.look();
            fleet.run(5 * SECOND);
        }
    }
}

#[test]
fn cut_off_with_a_minority_one_owns_no_more_and_the_majority_has_another() {
    for seed in SEEDS {
        let mut fleet = Fleet::new(7, seed, lossy());
        let owner = fleet.settled(3 * LEASE, "the start");
        fleet.run(2 * SECOND);
        let side = |door: Place| usize::from((door + 7 - owner) % 7 < 3);
        fleet.sim.partition(side);
        fleet.next_owner(owner, LEASE + 3 * SECOND, "cut off");
        fleet.run(10 * SECOND);
        let next = fleet.owners()[0].0;
        assert_eq!(side(next), 0, "seed {seed}: in the majority");
        fleet.sim.partition(|_| 0);
        let terms = fleet.terms.len();
        fleet.settled(3 * SECOND, "healed");
        fleet.run(5 * SECOND);
        assert_eq!(fleet.terms.len(), terms, "seed {seed}: it was not unseated");
    }
}

#[test]
fn one_way_cuts_and_a_bridge_leave_one_owner_at_the_most_and_one_in_the_end() {
    for seed in SEEDS {
        for shape in 0..4 {
            let mut fleet = Fleet::new(7, seed, Weather::default());
            let owner = fleet.settled(3 * LEASE, "the start");
            let others: Vec<Place> = (0..7).filter(|door| *door != owner).collect();
            for door in &others {
                match shape {
                    // It hears nobody; nobody hears it.
                    0 => fleet.sim.cut(*door, owner, true),
                    1 => fleet.sim.cut(owner, *door, true),
                    // Half of the others do not hear it: it can renew all the same.
                    2 if *door % 2 == 0 => fleet.sim.cut(owner, *door, true),
                    _ => {}
                }
            }
            if shape == 3 {
                // Two halves that only one other door joins.
                let bridge = others[0];
                for (a, b) in (0..7).flat_map(|a| (0..7).map(move |b| (a, b))) {
                    fleet
                        .sim
                        .cut(a, b, a != bridge && b != bridge && a % 2 != b % 2);
                }
            }
            if shape < 2 {
                fleet.next_owner(owner, LEASE + 3 * SECOND, &format!("shape {shape}"));
            }
            fleet.run(20 * SECOND);
            // Whoever can reach a majority owns, and who reaches any that knows it asks, and knows it nearly always.
            let (mut looks, mut known) = (0, 0);
            for _ in 0..100 {
                fleet.run(50_000);
                let told: Vec<Standing> = others
                    .iter()
                    .filter_map(|door| fleet.standing(*door))
                    .collect();
                looks += told.len();
                known += told.iter().filter(|told| told.owner.is_some()).count();
            }
            assert!(
                2 * known >= looks,
                "seed {seed}, shape {shape}: {known} of {looks}"
            );
            fleet.sim.partition(|_| 0);
            fleet.settled(LEASE + 5 * SECOND, "whole");
        }
    }
}

#[test]
fn datagrams_late_by_a_lease_and_doubled_make_no_second_owner() {
    for seed in SEEDS {
        let weather = Weather {
            jitter: 2 * LEASE,
            double: 0.5,
            ..Weather::default()
        };
        let mut fleet = Fleet::new(5, seed, Weather::default());
        fleet.settled(3 * LEASE, "the start");
        for round in 0..4 {
            fleet.sim.weather = weather;
            fleet.run(6 * SECOND);
            let door = (seed as usize + round) % 5;
            fleet.sim.kill(door);
            fleet.sim.start(door, UNIX + 100 * SECOND);
            fleet.run(6 * SECOND);
            fleet.sim.weather = Weather::default();
            fleet.settled(3 * LEASE + 2 * SECOND, "links are good again");
        }
    }
}

#[test]
fn a_rolling_restart_faster_than_the_quiet_time_ends_with_one_owner() {
    for seed in SEEDS {
        let mut fleet = Fleet::new(7, seed, Weather::default());
        fleet.settled(3 * LEASE, "the start");
        for door in 0..7 {
            fleet.sim.leave(door);
            fleet.run(100_000);
            fleet
                .sim
                .start(door, UNIX + (100 + door as Micros) * SECOND);
            fleet.run(300_000);
        }
        // All are quiet for a lease from their own start on: there is nobody for so long, and then one.
        fleet.settled(LEASE + 2 * SECOND, "all were restarted");
    }
}

#[test]
fn rosters_that_change_door_by_door_never_make_two_owners_and_leave_one() {
    let change = |fleet: &mut Fleet, door: Place, names: std::ops::Range<usize>| {
        fleet.sim.act(door, |owned, now, sends| {
            owned.set_roster(now, names, sends)
        });
    };
    // Starts a door from nothing with a file that has these names.
    let start = |fleet: &mut Fleet, door: Place, names: std::ops::Range<usize>| {
        let unix = UNIX + fleet.sim.now();
        fleet.sim.start(door, unix);
        let birth = Birth {
            me: door,
            roster: names.end,
            unix,
            probe: 500_000,
            seed: fleet.seed + door as u64,
        };
        fleet.sim.act(door, |owned, now, sends| {
            owned.begin(now, birth, names, sends)
        });
    };
    for seed in SEEDS {
        for (from, to) in [(3, 7), (7, 3), (4, 5), (3, 24)] {
            for (pause, new_first) in [
                (0, false),
                (400_000, true),
                (3 * SECOND, false),
                (3 * SECOND, true),
            ] {
                let what =
                    format!("{from} to {to}, pause {pause}, the new ones first: {new_first}");
                let mut fleet = Fleet::new(from.max(to), seed, lossy());
                for door in 0..from.max(to) {
                    fleet.sim.kill(door);
                }
                (0..from).for_each(|door| start(&mut fleet, door, 0..from));
                fleet.settled(3 * LEASE + 2 * SECOND, &what);
                if new_first {
                    (from..to).for_each(|door| start(&mut fleet, door, 0..to));
                    fleet.run(SECOND);
                }
                // Those that go are told last, or never: they know the old roster alone.
                for door in 0..from.min(to) {
                    change(&mut fleet, door, 0..to);
                    fleet.run(pause);
                }
                if !new_first {
                    (from..to).for_each(|door| start(&mut fleet, door, 0..to));
                }
                fleet.run(2 * LEASE);
                for door in to..from {
                    fleet.sim.kill(door);
                }
                fleet.settled(2 * LEASE + 4 * SECOND, &what);
                fleet.run(3 * SECOND);
                let owner = fleet.owners()[0].0;
                assert!(
                    owner < to,
                    "seed {seed}, {what}: n{owner} is not in the roster"
                );
            }
        }
    }
}

#[test]
fn a_takeover_gives_the_office_back_and_never_holds_it_twice() {
    for seed in SEEDS {
        let mut fleet = Fleet::new(5, seed, Weather::default());
        let owner = fleet.settled(3 * LEASE, "the start");
        fleet.run(SECOND);
        fleet
            .sim
            .act(owner, |owned, now, sends| owned.hand_over(now, sends));
        fleet.next_owner(owner, SECOND, "handed over");
        fleet.run(3 * SECOND);
        // The other process ended: this one goes on, and cannot know what that one granted.
        fleet
            .sim
            .act(owner, |owned, now, _| owned.stack.resume(now));
        assert!(
            fleet.standing(owner).is_some_and(|told| told.quiet > LEASE),
            "seed {seed}"
        );
        fleet.run(10 * SECOND);
        fleet.settled(SECOND, "it goes on");
    }
}

#[test]
fn what_is_sent_is_bounded() {
    for (doors, weather) in [(24, Weather::default()), (24, lossy())] {
        let mut fleet = Fleet::new(doors, 1, weather);
        fleet.settled(3 * LEASE, "the start");
        let mut most = (0, 0, 0, 0);
        for second in 0..30 {
            if second == 10 {
                (0..17).for_each(|door| fleet.sim.kill(door));
            }
            for door in 0..doors {
                fleet
                    .sim
                    .act(door, |owned, _, _| owned.sent = Default::default());
            }
            fleet.run(SECOND);
            let owners: Vec<Place> = fleet.owners().iter().map(|(door, _)| *door).collect();
            for door in 0..doors {
                let Some(sent) = fleet.sim.act(door, |owned, _, _| owned.sent) else {
                    continue;
                };
                if owners.contains(&door) {
                    most = (
                        most.0.max(sent.messages),
                        most.1.max(sent.bytes),
                        most.2,
                        most.3,
                    );
                } else {
                    most = (
                        most.0,
                        most.1,
                        most.2.max(sent.messages),
                        most.3.max(sent.bytes),
                    );
                }
            }
        }
        println!(
            "{doors} doors, loss {}: owner {} and {} bytes, others {} and {}",
            weather.loss, most.0, most.1, most.2, most.3
        );
        assert!(most.0 <= 150 && most.1 <= 30_000, "the owner: {most:?}");
        assert!(most.2 <= 150, "a candidate: {most:?}");
    }
}

#[test]
fn leases_that_differ_are_told_and_grant_nothing() {
    let mut one = Fleet::new(3, 1, Weather::default());
    one.settled(3 * LEASE, "the start");
    while one
        .sim
        .act(1, |owned, _, _| owned.stack.office_mut()?.take_note())
        .flatten()
        .is_some()
    {}
    let bytes = gateway_cluster::ownership::wire::Datagram {
        from: id_of("n000"),
        life: 1,
        to_life: 0,
        tick: 1,
        rosters: gateway_cluster::ownership::rosters::Rosters::new(vec![]).told(),
        epoch: 0,
        kind: gateway_cluster::ownership::wire::Kind::Prepare {
            number: 1,
            epoch: 1 << 50,
            lease_ms: 3000,
        },
    }
    .encode();
    one.sim.act(1, |owned, now, sends| {
        use gateway_cluster::engine::Engine;
        owned.receive(now, &bytes, sends);
    });
    let mut notes = Vec::new();
    while let Some(note) = one
        .sim
        .act(1, |owned, _, _| owned.stack.office_mut()?.take_note())
        .flatten()
    {
        notes.push(note);
    }
    assert!(
        notes.contains(&Note::LeaseDiffers(id_of("n000"), 3000)),
        "{notes:?}"
    );
}
