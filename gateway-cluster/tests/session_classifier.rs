//! Classification of customers on the complete node, in the simulation: generated requests of known kinds are recorded
//! at the gateways, owners classify the customers, and all gateways apply the verdicts. Each failure names its seed.

use gateway_cluster::peers::peer_id_of;
use gateway_cluster::protocol::{Micros, PeerIndex};
use gateway_cluster::sessions::classifier::{
    ClassifierStatus, VerdictRejections, BURST, PER_SECOND,
};
use gateway_cluster::sessions::evidence::{ConnectionUse, Failure, Outcome};
use gateway_cluster::sessions::verdicts::{EvidenceSummary, Verdict, VerdictSequence};
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
/// Most customers are stateless: without them there is no control group for faults that affect all.
const CUSTOMERS: [Pooling; 12] = {
    let mut active_customers = [Pooling::Statement; 12];
    (active_customers[3], active_customers[7]) = (Pooling::Transaction, Pooling::Transaction);
    (active_customers[1], active_customers[10]) = (Pooling::Session, Pooling::Session);
    active_customers
};

fn customer(index: usize) -> Customer {
    index as u64 * (KEYS / CUSTOMERS.len() as u64) + 5
}

struct SessionCluster {
    sim: Sim<SimulatedNode<2000, 64, true>>,
    seed: u64,
    rng: Pcg64Mcg,
    /// Customers that send requests.
    active_customers: Vec<usize>,
    /// The verdict of each owner and when it was made; and the longest time until all running gateways applied it.
    owner_verdicts: [(Pooling, Micros); CUSTOMERS.len()],
    slowest_propagation: Micros,
}

impl SessionCluster {
    fn new(gateways: usize, seed: u64, network: NetworkConditions) -> SessionCluster {
        let mut sim = Sim::new(gateways, 500_000, seed);
        sim.network = network;
        (0..gateways).for_each(|gateway| sim.start(gateway, UNIX));
        sim.run_until(15 * SECOND);
        SessionCluster {
            sim,
            seed,
            rng: Pcg64Mcg::seed_from_u64(seed),
            active_customers: (0..CUSTOMERS.len()).collect(),
            owner_verdicts: [(Pooling::Unknown, 0); CUSTOMERS.len()],
            slowest_propagation: 0,
        }
    }

    /// A cluster in which all customers are classified.
    fn classified(gateways: usize, seed: u64) -> SessionCluster {
        let mut cluster = SessionCluster::new(gateways, seed, NetworkConditions::default());
        cluster.until(
            90 * SECOND,
            "all are classified",
            SessionCluster::all_classified,
        );
        cluster
    }

    fn gateways(&self) -> Vec<PeerIndex> {
        (0..self.sim.peers())
            .filter(|gateway| self.sim.runs(*gateway))
            .collect()
    }

    fn status(&mut self, gateway: PeerIndex, index: usize) -> ClassifierStatus {
        let now = self.sim.now();
        let owned = self.sim.engine(gateway).expect("it runs");
        owned
            .stack
            .session_status(now, customer(index))
            .expect("sessions are on")
    }

    fn pooling(&mut self, gateway: PeerIndex, index: usize) -> Pooling {
        self.status(gateway, index).pooling
    }

    fn rejections(&mut self, gateway: PeerIndex) -> VerdictRejections {
        let owned = self.sim.engine(gateway).expect("it runs");
        owned.stack.sessions().expect("sessions are on").rejected
    }

    /// The gateway that owns this customer now.
    fn owner(&mut self, index: usize) -> Option<PeerIndex> {
        let now = self.sim.now();
        self.gateways().into_iter().find(|gateway| {
            let owned = self.sim.engine(*gateway);
            owned
                .and_then(|owned| owned.stack.shard_map())
                .is_some_and(|own| own.keeps(now, customer(index)))
        })
    }

    fn all_classified(&mut self) -> bool {
        let gateways = self.gateways();
        let active_customers = self.active_customers.clone();
        active_customers.iter().all(|&index| {
            gateways
                .iter()
                .all(|&gateway| self.pooling(gateway, index) == CUSTOMERS[index])
        })
    }

    fn request(&mut self, gateway: PeerIndex, customer: Customer, truth: Pooling) {
        let conn = match self.rng.random_range(0..3) {
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
            owned.stack.record_request(now, customer, 0, conn, outcome);
        });
    }

    fn step(&mut self) {
        let gateways = self.gateways();
        for index in self.active_customers.clone() {
            if self.rng.random_bool(0.5) {
                let gateway = gateways[self.rng.random_range(0..gateways.len())];
                self.request(gateway, customer(index), CUSTOMERS[index]);
            }
        }
        self.sim.run_until(self.sim.now() + STEP);
        let now = self.sim.now();
        for index in self.active_customers.clone() {
            for &gateway in &gateways {
                let wrong = self.pooling(gateway, index) == Pooling::Statement;
                assert!(
                    !wrong || CUSTOMERS[index] == Pooling::Statement,
                    "seed {}: {index} at n{gateway}",
                    self.seed
                );
            }
            let Some(owner) = self.owner(index) else {
                continue;
            };
            let verdict_pooling = self.pooling(owner, index);
            if self.owner_verdicts[index].0 != verdict_pooling {
                self.owner_verdicts[index] = (verdict_pooling, now);
            }
            if !gateways
                .iter()
                .all(|&gateway| self.pooling(gateway, index) == verdict_pooling)
            {
                self.slowest_propagation = self
                    .slowest_propagation
                    .max(now - self.owner_verdicts[index].1);
            }
        }
    }

    fn run(&mut self, time: Micros) {
        (0..time / STEP).for_each(|_| self.step());
    }

    fn until(
        &mut self,
        timeout: Micros,
        what: &str,
        done: impl Fn(&mut SessionCluster) -> bool,
    ) -> Micros {
        let began = self.sim.now();
        while self.sim.now() < began + timeout {
            self.step();
            if done(self) {
                return self.sim.now() - began;
            }
        }
        let gateways = self.gateways();
        let status: Vec<Vec<Pooling>> = gateways
            .iter()
            .map(|&gateway| {
                (0..CUSTOMERS.len())
                    .map(|index| self.pooling(gateway, index))
                    .collect()
            })
            .collect();
        panic!(
            "seed {}: {what}: not within {timeout} us: {status:?}",
            self.seed
        )
    }
}

#[test]
fn each_kind_is_classified_and_all_gateways_apply_it_within_a_second() {
    let lossy = NetworkConditions {
        loss: 0.1,
        jitter: 50_000,
        double: 0.1,
        ..NetworkConditions::default()
    };
    for (gateways, network) in [
        (3, NetworkConditions::default()),
        (5, NetworkConditions::default()),
        (4, lossy),
    ] {
        for seed in SEEDS {
            let mut cluster = SessionCluster::new(gateways, seed, network);
            let elapsed = cluster.until(
                90 * SECOND,
                "all are classified",
                SessionCluster::all_classified,
            );
            println!(
                "{gateways} gateways, seed {seed}: {elapsed} us, and {} us to all",
                cluster.slowest_propagation
            );
            assert!(
                cluster.slowest_propagation <= SECOND,
                "seed {seed}: {} us until all gateways applied it",
                cluster.slowest_propagation
            );
            let status = cluster.status(0, 1);
            let counted = status.evidence.changed_between;
            assert!(
                counted[0] > 0 && counted[0] == counted[1],
                "seed {seed}: {status:?}"
            );
            assert!(
                status.reports.len() > 1 && status.evidence.control[0] > 0,
                "seed {seed}: {status:?}"
            );
            assert!(KINDS.iter().all(|kind| CUSTOMERS.contains(kind)));
        }
    }
}

#[test]
fn a_verdict_outlives_its_owner_and_the_next_owner_continues_from_it() {
    for seed in SEEDS {
        let mut cluster = SessionCluster::classified(4, seed);
        let before = cluster.status(0, 1);
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
        let next = cluster.owner(1).expect("it has an owner again");
        let after = cluster.status(next, 1);
        assert!(
            next != owner && after.fence > before.fence,
            "seed {seed}: {after:?}"
        );
        cluster.until(
            60 * SECOND,
            "all are classified again",
            SessionCluster::all_classified,
        );
    }
}

#[test]
fn a_new_owner_relaxes_nothing_before_a_gateway_with_old_evidence_has_reported() {
    for seed in SEEDS {
        let mut cluster = SessionCluster::new(4, seed, NetworkConditions::default());
        let owner = cluster.owner(1).expect("it has one");
        let (old_gateway, new_gateway) = ((owner + 1) % 4, (owner + 2) % 4);
        cluster
            .active_customers
            .retain(|index| CUSTOMERS[*index] == Pooling::Statement);
        for _ in 0..600 {
            cluster.request(old_gateway, customer(1), Pooling::Session);
            cluster.step();
        }
        assert_eq!(
            cluster.pooling(old_gateway, 1),
            Pooling::Session,
            "seed {seed}"
        );
        // All repetitions of reports have been sent.
        cluster.run(100 * SECOND);
        cluster.sim.kill(owner);
        for _ in 0..800 {
            cluster.request(new_gateway, customer(1), Pooling::Statement);
            cluster.step();
            let status = cluster.pooling(new_gateway, 1);
            assert_ne!(
                status,
                Pooling::Statement,
                "seed {seed}: only half of the gateways have reported"
            );
        }
        assert_ne!(cluster.owner(1), Some(owner));
    }
}

#[test]
fn a_new_owner_relaxes_nothing_while_a_live_gateway_is_unreachable() {
    let mut met_cases = 0;
    for seed in 0..4 {
        let mut cluster = SessionCluster::new(5, seed, NetworkConditions::default());
        let owner = cluster.owner(1).expect("it has one");
        let [old_gateway, new_gateway] =
            [0, 1].map(|more| (owner + 1 + (seed as usize + more) % 4) % 5);
        cluster
            .active_customers
            .retain(|index| CUSTOMERS[*index] == Pooling::Statement);
        for _ in 0..400 {
            cluster.request(old_gateway, customer(1), Pooling::Session);
            cluster.step();
        }
        assert_eq!(
            cluster.pooling(old_gateway, 1),
            Pooling::Session,
            "seed {seed}"
        );
        cluster.sim.kill(owner);
        // One other gateway still sees it alive.
        for other in (0..5).filter(|other| ![old_gateway, new_gateway].contains(other)) {
            cluster.sim.cut(old_gateway, other, true);
            cluster.sim.cut(other, old_gateway, true);
        }
        cluster.until(15 * SECOND, "it has an owner again", |cluster| {
            cluster.owner(1).is_some()
        });
        if cluster.owner(1) == Some(new_gateway) || cluster.owner(1) == Some(old_gateway) {
            continue;
        }
        met_cases += 1;
        for _ in 0..500 {
            cluster.request(new_gateway, customer(1), Pooling::Statement);
            cluster.step();
            assert_ne!(
                cluster.pooling(new_gateway, 1),
                Pooling::Statement,
                "seed {seed}: only half of the gateways have reported"
            );
        }
        cluster.sim.partition(|_| 0);
        cluster.until(15 * SECOND, "it has the verdict", |cluster| {
            cluster.pooling(new_gateway, 1) == Pooling::Session
        });
    }
    assert!(
        met_cases > 0,
        "in no seed was the owner unable to reach the gateway"
    );
}

#[test]
fn a_restarted_gateway_receives_the_verdicts_of_its_customers() {
    for seed in SEEDS {
        let mut cluster = SessionCluster::classified(3, seed);
        // First a gateway that owns other customers, then the owner of this one: it has lost its counts and verdicts.
        let owner = cluster.owner(1).expect("it has one");
        for (gateway, later) in [((owner + 1) % 3, 1), (owner, 2)] {
            cluster.sim.kill(gateway);
            cluster.sim.start(gateway, UNIX + later * SECOND);
            assert_eq!(cluster.pooling(gateway, 1), Pooling::Unknown);
            let others: Vec<PeerIndex> = (0..3).filter(|other| *other != gateway).collect();
            let elapsed = cluster.until(40 * SECOND, "it has the verdict", |cluster| {
                let kept = others
                    .iter()
                    .all(|&other| cluster.pooling(other, 1) == Pooling::Session);
                assert!(kept, "seed {seed}: the others still apply it");
                cluster.pooling(gateway, 1) == Pooling::Session
                    && cluster.pooling(gateway, 10) == Pooling::Session
            });
            println!("seed {seed}: verdict after {elapsed} us");
        }
    }
}

#[test]
fn a_gateway_without_a_shard_lease_decides_nothing() {
    for seed in SEEDS {
        let mut cluster = SessionCluster::new(3, seed, NetworkConditions::default());
        cluster.sim.partition(|gateway| gateway);
        // The shard lease has expired.
        cluster.sim.run_until(cluster.sim.now() + 20 * SECOND);
        assert_eq!(cluster.owner(1), None);
        cluster.run(30 * SECOND);
        for index in 0..CUSTOMERS.len() {
            for gateway in 0..3 {
                assert_eq!(
                    cluster.pooling(gateway, index),
                    Pooling::Unknown,
                    "seed {seed}: {index} at n{gateway}"
                );
            }
        }
        cluster.sim.partition(|_| 0);
        cluster.until(
            90 * SECOND,
            "all are classified after the partition",
            SessionCluster::all_classified,
        );
    }
}

#[test]
fn verdicts_of_a_former_owner_and_of_a_gateway_that_is_not_the_owner_are_rejected() {
    let mut cluster = SessionCluster::classified(3, 0);
    let owner = cluster.owner(0).expect("it has one");
    let (old, gateway) = ((owner + 1) % 3, (owner + 2) % 3);
    let right = cluster.status(owner, 0).fence;
    let say = |cluster: &mut SessionCluster, from: PeerIndex, fence: FencingToken| {
        let verdict = Verdict {
            customer: customer(0),
            pooling: Pooling::Session,
            token: fence,
            sequence: VerdictSequence {
                incarnation: u64::MAX,
                number: 1 << 40,
            },
            age: 0,
            reports: Vec::new(),
            evidence: EvidenceSummary::default(),
        };
        let verdicts = vec![VerdictMessage::new(&verdict, peer_id_of)];
        let (from, kind) = (
            peer_id_of(&format!("n{from:03}")),
            Kind::Verdicts {
                token: fence,
                verdicts,
            },
        );
        let bytes = Datagram {
            from,
            incarnation: u64::MAX,
            to_incarnation: 0,
            kind,
        }
        .encode();
        cluster.sim.act(gateway, |owned, now, _| {
            owned.stack.on_datagram(now, &bytes, &mut Vec::new());
        });
        (
            cluster.rejections(gateway).superseded,
            cluster.pooling(gateway, 0),
        )
    };
    let before = cluster.rejections(gateway).superseded;
    let lower = FencingToken {
        epoch: right.epoch - 1,
        version: right.version + 7,
    };
    assert_eq!(
        say(&mut cluster, owner, lower),
        (before + 1, Pooling::Statement),
        "its epoch is over"
    );
    assert_eq!(
        say(&mut cluster, old, right),
        (before + 2, Pooling::Statement),
        "it is not the owner"
    );
    assert_eq!(
        say(&mut cluster, owner, right),
        (before + 2, Pooling::Session),
        "the owner may decide it"
    );
}

#[test]
fn a_flood_of_customers_stays_within_the_rate_and_memory_limits() {
    let mut cluster = SessionCluster::new(3, 0, NetworkConditions::default());
    let sent = |cluster: &mut SessionCluster| -> Vec<u64> {
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
    println!("without faults, in 60 s: {more:?}");
    assert!(
        more.iter()
            .all(|messages| *messages as f64 <= 60.0 * PER_SECOND),
        "{more:?} in a minute without faults"
    );
    for round in 0..10 {
        let before = sent(&mut cluster);
        for new_customer in 0..10_000 {
            let gateway = cluster.rng.random_range(0..3);
            cluster.request(
                gateway,
                new_customer * 800_000 + 77,
                KINDS[new_customer as usize % 3],
            );
        }
        cluster.run(3 * SECOND);
        let after = sent(&mut cluster);
        let timeout = (BURST + 3.0 * PER_SECOND).ceil() as u64;
        for (after, before) in after.iter().zip(before) {
            assert!(
                after - before <= timeout,
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
