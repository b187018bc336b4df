//! The sessions on the whole stack, in the simulation: drawn traffic of known kinds is noted at the doors, its keepers
//! find out, and all doors go by it. Each failure names its seed.

use gateway_cluster::engine::{Micros, Place};
use gateway_cluster::names::id_of;
use gateway_cluster::sessions::evidence::{Conn, Failure, Outcome};
use gateway_cluster::sessions::keep::{Shown, Verdict};
use gateway_cluster::sessions::part::{Refusals, Standing, BURST, PER_SECOND};
use gateway_cluster::sessions::wire::{Datagram, Kind, Said};
use gateway_cluster::sessions::{Customer, Fence, Pooling};
use gateway_cluster::shards::KEYS;
use gateway_cluster::sim::{Owned, Sim, Weather};
use gateway_cluster::wire::MOST_BYTES;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

const SECOND: Micros = 1_000_000;
const STEP: Micros = 50_000;
const UNIX: Micros = 1_700_000_000 * SECOND;
const SEEDS: std::ops::Range<u64> = 0..2;
const KINDS: [Pooling; 3] = [Pooling::Statement, Pooling::Transaction, Pooling::Session];
/// Most of them are of no state, as without such nothing stands against what fails for all.
const PEOPLE: [Pooling; 12] = {
    let mut people = [Pooling::Statement; 12];
    (people[3], people[7]) = (Pooling::Transaction, Pooling::Transaction);
    (people[1], people[10]) = (Pooling::Session, Pooling::Session);
    people
};

fn customer(person: usize) -> Customer {
    person as u64 * (KEYS / PEOPLE.len() as u64) + 5
}

struct Fleet {
    sim: Sim<Owned<2000, 64, true>>,
    seed: u64,
    chance: Pcg64Mcg,
    /// Who sends requests.
    people: Vec<usize>,
    /// What each keeper says, and since when; and the longest until all doors that run went by it.
    said: [(Pooling, Micros); PEOPLE.len()],
    slowest: Micros,
}

impl Fleet {
    fn new(doors: usize, seed: u64, weather: Weather) -> Fleet {
        let mut sim = Sim::new(doors, 500_000, seed);
        sim.weather = weather;
        (0..doors).for_each(|door| sim.start(door, UNIX));
        sim.run_until(15 * SECOND);
        Fleet {
            sim,
            seed,
            chance: Pcg64Mcg::seed_from_u64(seed),
            people: (0..PEOPLE.len()).collect(),
            said: [(Pooling::Unknown, 0); PEOPLE.len()],
            slowest: 0,
        }
    }

    /// One where all is known.
    fn known(doors: usize, seed: u64) -> Fleet {
        let mut fleet = Fleet::new(doors, seed, Weather::default());
        fleet.until(90 * SECOND, "all is found", Fleet::is_right);
        fleet
    }

    fn doors(&self) -> Vec<Place> {
        (0..self.sim.roster())
            .filter(|door| self.sim.runs(*door))
            .collect()
    }

    fn told(&mut self, door: Place, person: usize) -> Standing {
        let now = self.sim.now();
        let owned = self.sim.engine(door).expect("it runs");
        owned
            .stack
            .session(now, customer(person))
            .expect("sessions are on")
    }

    fn pooling(&mut self, door: Place, person: usize) -> Pooling {
        self.told(door, person).pooling
    }

    fn refused(&mut self, door: Place) -> Refusals {
        let owned = self.sim.engine(door).expect("it runs");
        owned.stack.sessions().expect("sessions are on").refused
    }

    /// The door that keeps this person now.
    fn keeper(&mut self, person: usize) -> Option<Place> {
        let now = self.sim.now();
        self.doors().into_iter().find(|door| {
            let owned = self.sim.engine(*door);
            owned
                .and_then(|owned| owned.stack.keeping())
                .is_some_and(|own| own.keeps(now, customer(person)))
        })
    }

    fn is_right(&mut self) -> bool {
        let doors = self.doors();
        let people = self.people.clone();
        people.iter().all(|&person| {
            doors
                .iter()
                .all(|&door| self.pooling(door, person) == PEOPLE[person])
        })
    }

    fn request(&mut self, door: Place, customer: Customer, truth: Pooling) {
        let conn = match self.chance.random_range(0..3) {
            0 => Conn::Kept,
            1 => Conn::ChangedInRun,
            _ => Conn::ChangedBetween,
        };
        let breaks = match conn {
            Conn::Kept => false,
            Conn::ChangedInRun => truth >= Pooling::Transaction,
            Conn::ChangedBetween => truth == Pooling::Session,
        };
        let outcome = if breaks {
            Outcome::Failed(Failure::Http500)
        } else {
            Outcome::Fine
        };
        self.sim.act(door, |owned, now, _| {
            owned.stack.note(now, customer, 0, conn, outcome)
        });
    }

    fn step(&mut self) {
        let doors = self.doors();
        for person in self.people.clone() {
            if self.chance.random_bool(0.5) {
                let door = doors[self.chance.random_range(0..doors.len())];
                self.request(door, customer(person), PEOPLE[person]);
            }
        }
        self.sim.run_until(self.sim.now() + STEP);
        let now = self.sim.now();
        for person in self.people.clone() {
            for &door in &doors {
                let wrong = self.pooling(door, person) == Pooling::Statement;
                assert!(
                    !wrong || PEOPLE[person] == Pooling::Statement,
                    "seed {}: {person} at n{door}",
                    self.seed
                );
            }
            let Some(keeper) = self.keeper(person) else {
                continue;
            };
            let says = self.pooling(keeper, person);
            if self.said[person].0 != says {
                self.said[person] = (says, now);
            }
            if !doors.iter().all(|&door| self.pooling(door, person) == says) {
                self.slowest = self.slowest.max(now - self.said[person].1);
            }
        }
    }

    fn run(&mut self, time: Micros) {
        (0..time / STEP).for_each(|_| self.step());
    }

    fn until(&mut self, most: Micros, what: &str, done: impl Fn(&mut Fleet) -> bool) -> Micros {
        let began = self.sim.now();
        while self.sim.now() < began + most {
            self.step();
            if done(self) {
                return self.sim.now() - began;
            }
        }
        let doors = self.doors();
        let told: Vec<Vec<Pooling>> = doors
            .iter()
            .map(|&door| {
                (0..PEOPLE.len())
                    .map(|person| self.pooling(door, person))
                    .collect()
            })
            .collect();
        panic!("seed {}: {what}: not within {most} us: {told:?}", self.seed)
    }
}

#[test]
fn keepers_find_out_each_kind_and_all_doors_go_by_it_within_a_second() {
    let lossy = Weather {
        loss: 0.1,
        jitter: 50_000,
        double: 0.1,
        ..Weather::default()
    };
    for (doors, weather) in [(3, Weather::default()), (5, Weather::default()), (4, lossy)] {
        for seed in SEEDS {
            let mut fleet = Fleet::new(doors, seed, weather);
            let took = fleet.until(90 * SECOND, "all is found", Fleet::is_right);
            println!(
                "{doors} doors, seed {seed}: {took} us, and {} us to all",
                fleet.slowest
            );
            assert!(
                fleet.slowest <= SECOND,
                "seed {seed}: {} us until all doors had it",
                fleet.slowest
            );
            let told = fleet.told(0, 1);
            let counted = told.evidence.changed_between;
            assert!(
                counted[0] > 0 && counted[0] == counted[1],
                "seed {seed}: {told:?}"
            );
            assert!(
                told.reports.len() > 1 && told.evidence.control[0] > 0,
                "seed {seed}: {told:?}"
            );
            assert!(KINDS.iter().all(|kind| PEOPLE.contains(kind)));
        }
    }
}

#[test]
fn a_verdict_outlives_its_keeper_and_the_next_one_goes_on_from_it() {
    for seed in SEEDS {
        let mut fleet = Fleet::known(4, seed);
        let before = fleet.told(0, 1);
        let keeper = fleet.keeper(1).expect("it has one");
        fleet.sim.kill(keeper);
        let began = fleet.sim.now();
        while fleet.sim.now() < began + 30 * SECOND {
            fleet.step();
            for door in fleet.doors() {
                assert_eq!(
                    fleet.pooling(door, 1),
                    Pooling::Session,
                    "seed {seed}: n{door}"
                );
            }
        }
        let next = fleet.keeper(1).expect("it is kept again");
        let after = fleet.told(next, 1);
        assert!(
            next != keeper && after.fence > before.fence,
            "seed {seed}: {after:?}"
        );
        fleet.until(60 * SECOND, "all is found again", Fleet::is_right);
    }
}

#[test]
fn a_new_keeper_shares_nothing_before_a_door_has_told_that_sees_the_customer_no_more() {
    for seed in SEEDS {
        let mut fleet = Fleet::new(4, seed, Weather::default());
        let keeper = fleet.keeper(1).expect("it has one");
        let (saw, sees) = ((keeper + 1) % 4, (keeper + 2) % 4);
        fleet
            .people
            .retain(|person| PEOPLE[*person] == Pooling::Statement);
        for _ in 0..600 {
            fleet.request(saw, customer(1), Pooling::Session);
            fleet.step();
        }
        assert_eq!(fleet.pooling(saw, 1), Pooling::Session, "seed {seed}");
        // All that is told again by itself has been told.
        fleet.run(100 * SECOND);
        fleet.sim.kill(keeper);
        for _ in 0..800 {
            fleet.request(sees, customer(1), Pooling::Statement);
            fleet.step();
            let told = fleet.pooling(sees, 1);
            assert_ne!(
                told,
                Pooling::Statement,
                "seed {seed}: half of the set said so"
            );
        }
        assert_ne!(fleet.keeper(1), Some(keeper));
    }
}

#[test]
fn a_new_keeper_shares_nothing_while_a_living_door_cannot_be_asked() {
    let mut met = 0;
    for seed in 0..4 {
        let mut fleet = Fleet::new(5, seed, Weather::default());
        let keeper = fleet.keeper(1).expect("it has one");
        let [saw, sees] = [0, 1].map(|more| (keeper + 1 + (seed as usize + more) % 4) % 5);
        fleet
            .people
            .retain(|person| PEOPLE[*person] == Pooling::Statement);
        for _ in 0..400 {
            fleet.request(saw, customer(1), Pooling::Session);
            fleet.step();
        }
        assert_eq!(fleet.pooling(saw, 1), Pooling::Session, "seed {seed}");
        fleet.sim.kill(keeper);
        // It is held alive by way of one other.
        for other in (0..5).filter(|other| ![saw, sees].contains(other)) {
            fleet.sim.cut(saw, other, true);
            fleet.sim.cut(other, saw, true);
        }
        fleet.until(15 * SECOND, "it is kept again", |fleet| {
            fleet.keeper(1).is_some()
        });
        if fleet.keeper(1) == Some(sees) || fleet.keeper(1) == Some(saw) {
            continue;
        }
        met += 1;
        for _ in 0..500 {
            fleet.request(sees, customer(1), Pooling::Statement);
            fleet.step();
            assert_ne!(
                fleet.pooling(sees, 1),
                Pooling::Statement,
                "seed {seed}: half of the set said so"
            );
        }
        fleet.sim.partition(|_| 0);
        fleet.until(15 * SECOND, "it is told", |fleet| {
            fleet.pooling(sees, 1) == Pooling::Session
        });
    }
    assert!(met > 0, "in no seed was it kept by a door that cannot ask");
}

#[test]
fn a_door_that_starts_anew_is_told_what_its_customers_are_held_for() {
    for seed in SEEDS {
        let mut fleet = Fleet::known(3, seed);
        // First one that keeps others, then the keeper of this one: it has forgotten all that it counted and said.
        let keeper = fleet.keeper(1).expect("it has one");
        for (door, later) in [((keeper + 1) % 3, 1), (keeper, 2)] {
            fleet.sim.kill(door);
            fleet.sim.start(door, UNIX + later * SECOND);
            assert_eq!(fleet.pooling(door, 1), Pooling::Unknown);
            let others: Vec<Place> = (0..3).filter(|other| *other != door).collect();
            let took = fleet.until(40 * SECOND, "it is told", |fleet| {
                let kept = others
                    .iter()
                    .all(|&other| fleet.pooling(other, 1) == Pooling::Session);
                assert!(kept, "seed {seed}: the others still know");
                fleet.pooling(door, 1) == Pooling::Session
                    && fleet.pooling(door, 10) == Pooling::Session
            });
            println!("seed {seed}: told after {took} us");
        }
    }
}

#[test]
fn a_door_without_a_lease_decides_nothing() {
    for seed in SEEDS {
        let mut fleet = Fleet::new(3, seed, Weather::default());
        fleet.sim.partition(|door| door);
        // The keep lease is over.
        fleet.sim.run_until(fleet.sim.now() + 20 * SECOND);
        assert_eq!(fleet.keeper(1), None);
        fleet.run(30 * SECOND);
        for person in 0..PEOPLE.len() {
            for door in 0..3 {
                assert_eq!(
                    fleet.pooling(door, person),
                    Pooling::Unknown,
                    "seed {seed}: {person} at n{door}"
                );
            }
        }
        fleet.sim.partition(|_| 0);
        fleet.until(
            90 * SECOND,
            "all is found once they are together",
            Fleet::is_right,
        );
    }
}

#[test]
fn what_an_old_keeper_says_and_one_that_is_none_is_refused() {
    let mut fleet = Fleet::known(3, 0);
    let keeper = fleet.keeper(0).expect("it has one");
    let (old, door) = ((keeper + 1) % 3, (keeper + 2) % 3);
    let right = fleet.told(keeper, 0).fence;
    let say = |fleet: &mut Fleet, from: Place, fence: Fence| {
        let verdict = Verdict {
            customer: customer(0),
            pooling: Pooling::Session,
            fence,
            round: (u64::MAX, 1 << 40),
            age: 0,
            reports: Vec::new(),
            evidence: Shown::default(),
        };
        let said = vec![Said::new(&verdict, id_of)];
        let (from, kind) = (
            id_of(&format!("n{from:03}")),
            Kind::Verdicts { fence, said },
        );
        let bytes = Datagram {
            from,
            life: u64::MAX,
            to_life: 0,
            kind,
        }
        .encode();
        fleet.sim.act(door, |owned, now, _| {
            owned.stack.receive(now, &bytes, &mut Vec::new())
        });
        (fleet.refused(door).old, fleet.pooling(door, 0))
    };
    let before = fleet.refused(door).old;
    let lower = Fence {
        epoch: right.epoch - 1,
        version: right.version + 7,
    };
    assert_eq!(
        say(&mut fleet, keeper, lower),
        (before + 1, Pooling::Statement),
        "its term is over"
    );
    assert_eq!(
        say(&mut fleet, old, right),
        (before + 2, Pooling::Statement),
        "it is not its keeper"
    );
    assert_eq!(
        say(&mut fleet, keeper, right),
        (before + 2, Pooling::Session),
        "its keeper may say so"
    );
}

#[test]
fn a_flood_of_customers_costs_no_more_than_the_bucket_holds_and_no_more_memory_than_stated() {
    let mut fleet = Fleet::new(3, 0, Weather::default());
    let sent = |fleet: &mut Fleet| -> Vec<u64> {
        (0..3)
            .map(|door| {
                fleet
                    .sim
                    .engine(door)
                    .map_or(0, |owned| owned.told.messages)
            })
            .collect()
    };
    fleet.run(60 * SECOND);
    let calm = sent(&mut fleet);
    fleet.run(60 * SECOND);
    let more: Vec<u64> = sent(&mut fleet)
        .iter()
        .zip(&calm)
        .map(|(after, before)| after - before)
        .collect();
    println!("in calm, in 60 s: {more:?}");
    assert!(
        more.iter()
            .all(|messages| *messages as f64 <= 60.0 * PER_SECOND),
        "{more:?} in a minute of calm"
    );
    for round in 0..10 {
        let before = sent(&mut fleet);
        for stranger in 0..10_000 {
            let door = fleet.chance.random_range(0..3);
            fleet.request(door, stranger * 800_000 + 77, KINDS[stranger as usize % 3]);
        }
        fleet.run(3 * SECOND);
        let after = sent(&mut fleet);
        let most = (BURST + 3.0 * PER_SECOND).ceil() as u64;
        for (after, before) in after.iter().zip(before) {
            assert!(
                after - before <= most,
                "round {round}: {} in 3 s",
                after - before
            );
        }
    }
    for door in 0..3 {
        let owned = fleet.sim.engine(door).expect("it runs");
        println!(
            "{} messages, {} bytes",
            owned.told.messages, owned.told.bytes
        );
        assert!(owned.told.largest <= MOST_BYTES);
        let counted = owned
            .stack
            .sessions()
            .expect("sessions are on")
            .evidence()
            .customers();
        assert!(counted <= 4096, "{counted} customers");
    }
}
