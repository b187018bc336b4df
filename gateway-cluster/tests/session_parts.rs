//! The sessions on the whole stack, in the simulation: drawn traffic of known kinds is noted at the gateways, its owners
//! find out, and all gateways go by it. Each failure names its seed.

use gateway_cluster::peers::peer_id_of;
use gateway_cluster::protocol::{Micros, PeerIndex};
use gateway_cluster::sessions::classifier::{ClassifierStatus, Refusals, BURST, PER_SECOND};
use gateway_cluster::sessions::evidence::{ConnectionUse, Failure, Outcome};
use gateway_cluster::sessions::verdicts::{EvidenceSummary, Verdict};
use gateway_cluster::sessions::wire::{Datagram, Kind, VerdictMessage};
use gateway_cluster::sessions::{Customer, FencingToken, Pooling};
use gateway_cluster::shards::KEYS;
use gateway_cluster::sim::{NetworkConditions, Sim, SimulatedNode};
use gateway_cluster::wire::MAX_DATAGRAM_BYTES;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

const SECOND: Micros = 1_000_000;
const STEP: Micros = 50_000;
const UNIX: Micros = 1_700_000_000 * SECOND;
const SEEDS: std::ops::Range<u64> = 0..2;
const KINDS: [Pooling; 3] = [Pooling::Statement, Pooling::Transaction, Pooling::Session];
/// Most of them are of no state, as without such nothing stands against what fails for all.
const PEOPLE: [Pooling; 12] = {
    let mut simulated_customers = [Pooling::Statement; 12];
    (simulated_customers[3], simulated_customers[7]) = (Pooling::Transaction, Pooling::Transaction);
    (simulated_customers[1], simulated_customers[10]) = (Pooling::Session, Pooling::Session);
    simulated_customers
};

fn customer(person: usize) -> Customer {
    person as u64 * (KEYS / PEOPLE.len() as u64) + 5
}

struct Fleet {
    sim: Sim<SimulatedNode<2000, 64, true>>,
    seed: u64,
    chance: Pcg64Mcg,
    /// Who sends requests.
    simulated_customers: Vec<usize>,
    /// What each owner says, and since when; and the longest until all gateways that run went by it.
    said: [(Pooling, Micros); PEOPLE.len()],
    slowest: Micros,
}

impl Fleet {
    fn new(gateways: usize, seed: u64, weather: NetworkConditions) -> Fleet {
        let mut sim = Sim::new(gateways, 500_000, seed);
        sim.network = weather;
        (0..gateways).for_each(|gateway| sim.start(gateway, UNIX));
        sim.run_until(15 * SECOND);
        Fleet {
            sim,
            seed,
            chance: Pcg64Mcg::seed_from_u64(seed),
            simulated_customers: (0..PEOPLE.len()).collect(),
            said: [(Pooling::Unknown, 0); PEOPLE.len()],
            slowest: 0,
        }
    }

    /// One where all is known.
    fn known(gateways: usize, seed: u64) -> Fleet {
        let mut cluster = Fleet::new(gateways, seed, NetworkConditions::default());
        cluster.until(90 * SECOND, "all is found", Fleet::is_right);
        cluster
    }

    fn gateways(&self) -> Vec<PeerIndex> {
        (0..self.sim.peers())
            .filter(|gateway| self.sim.runs(*gateway))
            .collect()
    }

    fn told(&mut self, gateway: PeerIndex, person: usize) -> ClassifierStatus {
        let now = self.sim.now();
        let owned = self.sim.engine(gateway).expect("it runs");
        owned
            .stack
            .session(now, customer(person))
            .expect("sessions are on")
    }

    fn pooling(&mut self, gateway: PeerIndex, person: usize) -> Pooling {
        self.told(gateway, person).pooling
    }

    fn refused(&mut self, gateway: PeerIndex) -> Refusals {
        let owned = self.sim.engine(gateway).expect("it runs");
        owned.stack.sessions().expect("sessions are on").refused
    }

    /// The gateway that keeps this person now.
    fn owner(&mut self, person: usize) -> Option<PeerIndex> {
        let now = self.sim.now();
        self.gateways().into_iter().find(|gateway| {
            let owned = self.sim.engine(*gateway);
            owned
                .and_then(|owned| owned.stack.shard_map())
                .is_some_and(|own| own.keeps(now, customer(person)))
        })
    }

    fn is_right(&mut self) -> bool {
        let gateways = self.gateways();
        let simulated_customers = self.simulated_customers.clone();
        simulated_customers.iter().all(|&person| {
            gateways
                .iter()
                .all(|&gateway| self.pooling(gateway, person) == PEOPLE[person])
        })
    }

    fn request(&mut self, gateway: PeerIndex, customer: Customer, truth: Pooling) {
        let conn = match self.chance.random_range(0..3) {
            0 => ConnectionUse::Kept,
            1 => ConnectionUse::ChangedInRun,
            _ => ConnectionUse::ChangedBetween,
        };
        let breaks = match conn {
            ConnectionUse::Kept => false,
            ConnectionUse::ChangedInRun => truth >= Pooling::Transaction,
            ConnectionUse::ChangedBetween => truth == Pooling::Session,
        };
        let outcome = if breaks {
            Outcome::Failed(Failure::Http500)
        } else {
            Outcome::Fine
        };
        self.sim.act(gateway, |owned, now, _| {
            owned.stack.note(now, customer, 0, conn, outcome)
        });
    }

    fn step(&mut self) {
        let gateways = self.gateways();
        for person in self.simulated_customers.clone() {
            if self.chance.random_bool(0.5) {
                let gateway = gateways[self.chance.random_range(0..gateways.len())];
                self.request(gateway, customer(person), PEOPLE[person]);
            }
        }
        self.sim.run_until(self.sim.now() + STEP);
        let now = self.sim.now();
        for person in self.simulated_customers.clone() {
            for &gateway in &gateways {
                let wrong = self.pooling(gateway, person) == Pooling::Statement;
                assert!(
                    !wrong || PEOPLE[person] == Pooling::Statement,
                    "seed {}: {person} at n{gateway}",
                    self.seed
                );
            }
            let Some(owner) = self.owner(person) else {
                continue;
            };
            let says = self.pooling(owner, person);
            if self.said[person].0 != says {
                self.said[person] = (says, now);
            }
            if !gateways
                .iter()
                .all(|&gateway| self.pooling(gateway, person) == says)
            {
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
        let gateways = self.gateways();
        let told: Vec<Vec<Pooling>> = gateways
            .iter()
            .map(|&gateway| {
                (0..PEOPLE.len())
                    .map(|person| self.pooling(gateway, person))
                    .collect()
            })
            .collect();
        panic!("seed {}: {what}: not within {most} us: {told:?}", self.seed)
    }
}

#[test]
fn owners_find_out_each_kind_and_all_gateways_go_by_it_within_a_second() {
    let lossy = NetworkConditions {
        loss: 0.1,
        jitter: 50_000,
        double: 0.1,
        ..NetworkConditions::default()
    };
    for (gateways, weather) in [
        (3, NetworkConditions::default()),
        (5, NetworkConditions::default()),
        (4, lossy),
    ] {
        for seed in SEEDS {
            let mut cluster = Fleet::new(gateways, seed, weather);
            let took = cluster.until(90 * SECOND, "all is found", Fleet::is_right);
            println!(
                "{gateways} doors, seed {seed}: {took} us, and {} us to all",
                cluster.slowest
            );
            assert!(
                cluster.slowest <= SECOND,
                "seed {seed}: {} us until all doors had it",
                cluster.slowest
            );
            let told = cluster.told(0, 1);
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
fn a_verdict_outlives_its_owner_and_the_next_one_goes_on_from_it() {
    for seed in SEEDS {
        let mut cluster = Fleet::known(4, seed);
        let before = cluster.told(0, 1);
        let owner = cluster.owner(1).expect("it has one");
        cluster.sim.kill(owner);
        let began = cluster.sim.now();
        while cluster.sim.now() < began + 30 * SECOND {
            cluster.step();
            for gateway in cluster.gateways() {
                assert_eq!(
                    cluster.pooling(gateway, 1),
                    Pooling::Session,
                    "seed {seed}: n{gateway}"
                );
            }
        }
        let next = cluster.owner(1).expect("it is kept again");
        let after = cluster.told(next, 1);
        assert!(
            next != owner && after.fence > before.fence,
            "seed {seed}: {after:?}"
        );
        cluster.until(60 * SECOND, "all is found again", Fleet::is_right);
    }
}

#[test]
fn a_new_owner_shares_nothing_before_a_gateway_has_told_that_sees_the_customer_no_more() {
    for seed in SEEDS {
        let mut cluster = Fleet::new(4, seed, NetworkConditions::default());
        let owner = cluster.owner(1).expect("it has one");
        let (saw, sees) = ((owner + 1) % 4, (owner + 2) % 4);
        cluster
            .simulated_customers
            .retain(|person| PEOPLE[*person] == Pooling::Statement);
        for _ in 0..600 {
            cluster.request(saw, customer(1), Pooling::Session);
            cluster.step();
        }
        assert_eq!(cluster.pooling(saw, 1), Pooling::Session, "seed {seed}");
        // All that is told again by itself has been told.
        cluster.run(100 * SECOND);
        cluster.sim.kill(owner);
        for _ in 0..800 {
            cluster.request(sees, customer(1), Pooling::Statement);
            cluster.step();
            let told = cluster.pooling(sees, 1);
            assert_ne!(
                told,
                Pooling::Statement,
                "seed {seed}: half of the set said so"
            );
        }
        assert_ne!(cluster.owner(1), Some(owner));
    }
}

#[test]
fn a_new_owner_shares_nothing_while_a_living_gateway_cannot_be_asked() {
    let mut met = 0;
    for seed in 0..4 {
        let mut cluster = Fleet::new(5, seed, NetworkConditions::default());
        let owner = cluster.owner(1).expect("it has one");
        let [saw, sees] = [0, 1].map(|more| (owner + 1 + (seed as usize + more) % 4) % 5);
        cluster
            .simulated_customers
            .retain(|person| PEOPLE[*person] == Pooling::Statement);
        for _ in 0..400 {
            cluster.request(saw, customer(1), Pooling::Session);
            cluster.step();
        }
        assert_eq!(cluster.pooling(saw, 1), Pooling::Session, "seed {seed}");
        cluster.sim.kill(owner);
        // It is held alive by way of one other.
        for other in (0..5).filter(|other| ![saw, sees].contains(other)) {
            cluster.sim.cut(saw, other, true);
            cluster.sim.cut(other, saw, true);
        }
        cluster.until(15 * SECOND, "it is kept again", |cluster| {
            cluster.owner(1).is_some()
        });
        if cluster.owner(1) == Some(sees) || cluster.owner(1) == Some(saw) {
            continue;
        }
        met += 1;
        for _ in 0..500 {
            cluster.request(sees, customer(1), Pooling::Statement);
            cluster.step();
            assert_ne!(
                cluster.pooling(sees, 1),
                Pooling::Statement,
                "seed {seed}: half of the set said so"
            );
        }
        cluster.sim.partition(|_| 0);
        cluster.until(15 * SECOND, "it is told", |cluster| {
            cluster.pooling(sees, 1) == Pooling::Session
        });
    }
    assert!(met > 0, "in no seed was it kept by a door that cannot ask");
}

#[test]
fn a_gateway_that_starts_anew_is_told_what_its_customers_are_held_for() {
    for seed in SEEDS {
        let mut cluster = Fleet::known(3, seed);
        // First one that keeps others, then the owner of this one: it has forgotten all that it counted and said.
        let owner = cluster.owner(1).expect("it has one");
        for (gateway, later) in [((owner + 1) % 3, 1), (owner, 2)] {
            cluster.sim.kill(gateway);
            cluster.sim.start(gateway, UNIX + later * SECOND);
            assert_eq!(cluster.pooling(gateway, 1), Pooling::Unknown);
            let others: Vec<PeerIndex> = (0..3).filter(|other| *other != gateway).collect();
            let took = cluster.until(40 * SECOND, "it is told", |cluster| {
                let kept = others
                    .iter()
                    .all(|&other| cluster.pooling(other, 1) == Pooling::Session);
                assert!(kept, "seed {seed}: the others still know");
                cluster.pooling(gateway, 1) == Pooling::Session
                    && cluster.pooling(gateway, 10) == Pooling::Session
            });
            println!("seed {seed}: told after {took} us");
        }
    }
}

#[test]
fn a_gateway_without_a_lease_decides_nothing() {
    for seed in SEEDS {
        let mut cluster = Fleet::new(3, seed, NetworkConditions::default());
        cluster.sim.partition(|gateway| gateway);
        // The keep lease is over.
        cluster.sim.run_until(cluster.sim.now() + 20 * SECOND);
        assert_eq!(cluster.owner(1), None);
        cluster.run(30 * SECOND);
        for person in 0..PEOPLE.len() {
            for gateway in 0..3 {
                assert_eq!(
                    cluster.pooling(gateway, person),
                    Pooling::Unknown,
                    "seed {seed}: {person} at n{gateway}"
                );
            }
        }
        cluster.sim.partition(|_| 0);
        cluster.until(
            90 * SECOND,
            "all is found once they are together",
            Fleet::is_right,
        );
    }
}

#[test]
fn what_an_old_owner_says_and_one_that_is_none_is_refused() {
    let mut cluster = Fleet::known(3, 0);
    let owner = cluster.owner(0).expect("it has one");
    let (old, gateway) = ((owner + 1) % 3, (owner + 2) % 3);
    let right = cluster.told(owner, 0).fence;
    let say = |cluster: &mut Fleet, from: PeerIndex, fence: FencingToken| {
        let verdict = Verdict {
            customer: customer(0),
            pooling: Pooling::Session,
            fence,
            sequence: (u64::MAX, 1 << 40),
            age: 0,
            reports: Vec::new(),
            evidence: EvidenceSummary::default(),
        };
        let verdicts = vec![VerdictMessage::new(&verdict, peer_id_of)];
        let (from, kind) = (
            peer_id_of(&format!("n{from:03}")),
            Kind::Verdicts { fence, verdicts },
        );
        let bytes = Datagram {
            from,
            incarnation: u64::MAX,
            to_incarnation: 0,
            kind,
        }
        .encode();
        cluster.sim.act(gateway, |owned, now, _| {
            owned.stack.on_datagram(now, &bytes, &mut Vec::new())
        });
        (cluster.refused(gateway).old, cluster.pooling(gateway, 0))
    };
    let before = cluster.refused(gateway).old;
    let lower = FencingToken {
        epoch: right.epoch - 1,
        version: right.version + 7,
    };
    assert_eq!(
        say(&mut cluster, owner, lower),
        (before + 1, Pooling::Statement),
        "its term is over"
    );
    assert_eq!(
        say(&mut cluster, old, right),
        (before + 2, Pooling::Statement),
        "it is not its keeper"
    );
    assert_eq!(
        say(&mut cluster, owner, right),
        (before + 2, Pooling::Session),
        "its keeper may say so"
    );
}

#[test]
fn a_flood_of_customers_costs_no_more_than_the_bucket_holds_and_no_more_memory_than_stated() {
    let mut cluster = Fleet::new(3, 0, NetworkConditions::default());
    let sent = |cluster: &mut Fleet| -> Vec<u64> {
        (0..3)
            .map(|gateway| {
                cluster
                    .sim
                    .engine(gateway)
                    .map_or(0, |owned| owned.told.messages)
            })
            .collect()
    };
    cluster.run(60 * SECOND);
    let calm = sent(&mut cluster);
    cluster.run(60 * SECOND);
    let more: Vec<u64> = sent(&mut cluster)
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
        let before = sent(&mut cluster);
        for stranger in 0..10_000 {
            let gateway = cluster.chance.random_range(0..3);
            cluster.request(
                gateway,
                stranger * 800_000 + 77,
                KINDS[stranger as usize % 3],
            );
        }
        cluster.run(3 * SECOND);
        let after = sent(&mut cluster);
        let most = (BURST + 3.0 * PER_SECOND).ceil() as u64;
        for (after, before) in after.iter().zip(before) {
            assert!(
                after - before <= most,
                "round {round}: {} in 3 s",
                after - before
            );
        }
    }
    for gateway in 0..3 {
        let owned = cluster.sim.engine(gateway).expect("it runs");
        println!(
            "{} messages, {} bytes",
            owned.told.messages, owned.told.bytes
        );
        assert!(owned.told.largest <= MAX_DATAGRAM_BYTES);
        let counted = owned
            .stack
            .sessions()
            .expect("sessions are on")
            .evidence()
            .customers();
        assert!(counted <= 4096, "{counted} customers");
    }
}
