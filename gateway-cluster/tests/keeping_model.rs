//! A model check of how a map is decided, staged and released over a change of the leader: three gateways that accept and
//! keep, two epochs, one key, leases and their answers that are lost, late and sent again, and votes whose answers are
//! lost. It runs the very rules that the gateways go by (`shards::decide`, `shards::keep`); the leadership's part is taken for
//! granted: of a epoch that another followed no act is of use.

use gateway_cluster::leadership::FencingToken;
use gateway_cluster::peers::{peer_id_of, PeerId};
use gateway_cluster::shards::consensus::{learn, Acceptor, AcceptorReport, Ballot, MapId};
use gateway_cluster::shards::leases::{waiting, GrantedLeases, LocalShards, RangeSet};
use gateway_cluster::shards::{MapHash, ShardMap, ShardRange};
use stateright::{Checker, HasDiscoveries, Model, Property};
use std::collections::{BTreeMap, BTreeSet};

const GATEWAYS: usize = 3;
const NAMES: [&str; GATEWAYS] = ["n0", "n1", "n2"];
/// The length of a keep lease in ticks; on another's clock it is one longer.
const KEEP: u64 = 2;
const END: u64 = 6;
/// Datagrams under way at a time.
const UNDER_WAY: usize = 2;

/// The maps by their hashes: the first, what the first leader proposes, and what the second does where it finds nothing.
fn map(hash: u64) -> ShardMap {
    let (version, epoch, owner) = [(1, 0, 0), (2, 1, 1), (2, 2, 2)][hash as usize - 1];
    ShardMap {
        version,
        parent: MapHash(version - 1),
        epoch,
        ranges: vec![ShardRange::new(0, 1, NAMES[owner])],
    }
}

fn named(hash: u64) -> MapId {
    let ShardMap { version, epoch, .. } = map(hash);
    MapId {
        epoch,
        version,
        hash: MapHash(hash),
    }
}

fn previous(hash: u64) -> Option<ShardMap> {
    (hash > 1).then(|| map(1))
}

fn gateway(name: PeerId) -> usize {
    NAMES
        .iter()
        .position(|other| peer_id_of(other) == name)
        .expect("it is one of them")
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum Kind {
    Keep {
        map: u64,
        waits: bool,
        until: u64,
        settled: bool,
    },
    Have(u64),
}

/// Between the leader and a gateway, in the epoch that it is of.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
struct Message {
    term: u64,
    gateway: usize,
    incarnation: u64,
    kind: Kind,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
enum Stage {
    Learning(BTreeMap<PeerId, AcceptorReport>),
    Deciding(u64, BTreeSet<usize>),
    Resting,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct ProposalState {
    now: u64,
    term: u64,
    lives: [u64; GATEWAYS],
    acceptors: [Acceptor; GATEWAYS],
    hands: [LocalShards; GATEWAYS],
    ledger: GrantedLeases,
    stage: Stage,
    current: u64,
    under_way: BTreeSet<Message>,
    decided: BTreeSet<(u64, u64)>,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
enum Act {
    Tick,
    /// Another owns.
    Elect,
    /// A gateway starts from nothing.
    Restart(usize),
    /// The leader proposes a map.
    Propose,
    /// A gateway answers what the leader asks as it begins.
    Learn(usize),
    /// A gateway is asked to accept what is proposed, and whether its answer comes.
    Vote(usize, bool),
    /// The leader sends a lease.
    Keep(usize),
    Deliver(Message),
}

#[derive(Debug, Clone, Copy)]
struct Fleet {
    before_release: bool,
    forgets_leases: bool,
    starts_afresh: bool,
    trusts_the_new: bool,
    restarts: bool,
}

const AS_IT_IS: Fleet = Fleet {
    before_release: false,
    forgets_leases: false,
    starts_afresh: false,
    trusts_the_new: false,
    restarts: true,
};

fn is_majority(has: &dyn Fn(PeerId) -> bool) -> bool {
    NAMES.iter().filter(|name| has(peer_id_of(name))).count() > GATEWAYS / 2
}

impl Fleet {
    fn waits(&self, state: &ProposalState) -> bool {
        let version = map(state.current).version;
        let free = |name: &str| {
            self.before_release || state.ledger.is_free(state.now, peer_id_of(name), version)
        };
        waiting(&map(state.current), previous(state.current).as_ref(), free)
            .0
            .has(0)
    }

    fn learned(&self, state: &mut ProposalState) {
        let Stage::Learning(answers) = &state.stage else {
            return;
        };
        let Some(learned) = learn(answers, self.trusts_the_new, is_majority) else {
            return;
        };
        state.current = learned.in_force.map_or(1, |map| map.hash.0);
        let finish = learned.finish.filter(|_| !self.starts_afresh);
        state.stage = match finish {
            Some(map) => Stage::Deciding(map.hash.0, BTreeSet::new()),
            // What it would decide for itself, if nobody did before.
            None if state.current == 1 => Stage::Deciding(3, BTreeSet::new()),
            None => Stage::Resting,
        };
    }

    /// Whether leases may be given: not before it is known what is in force, and what has to be finished.
    fn rules(&self, state: &ProposalState) -> bool {
        match &state.stage {
            Stage::Learning(_) => false,
            Stage::Deciding(map, _) => *map == 3 || state.term == 1,
            Stage::Resting => true,
        }
    }

    fn deliver(&self, state: &mut ProposalState, message: Message) {
        let Message {
            term,
            gateway,
            incarnation,
            kind,
        } = message;
        let for_gateway = matches!(kind, Kind::Keep { .. });
        if term != state.term || for_gateway && incarnation != state.lives[gateway] {
            // The stamp is of no use here.
            return;
        }
        let name = peer_id_of(NAMES[gateway]);
        match kind {
            Kind::Keep {
                map: hash,
                waits,
                until,
                settled,
            } => {
                let fence = FencingToken {
                    epoch: term,
                    version: map(hash).version,
                };
                if !state.hands[gateway].allows(fence) {
                    return;
                }
                state.acceptors[gateway].decided(term, named(hash), settled);
                let marks = RangeSet::of(1, |_| waits);
                if state.hands[gateway].keep(state.now, fence, MapHash(hash), marks, until) {
                    let kind = Kind::Have(fence.version);
                    state.under_way.insert(Message {
                        term,
                        gateway,
                        incarnation,
                        kind,
                    });
                }
            }
            Kind::Have(version) => state.ledger.took(name, incarnation, version),
        }
    }
}

impl Fleet {
    /// A gateway answers as the leader begins, who hears it.
    fn learn(&self, state: &mut ProposalState, gateway: usize) {
        let (name, ballot) = (
            peer_id_of(NAMES[gateway]),
            Ballot {
                epoch: state.term,
                attempt: 0,
            },
        );
        let Some(answer) = state.acceptors[gateway].promise(ballot) else {
            return;
        };
        if state.hands[gateway].has_held() {
            state.ledger.has_held(name, state.lives[gateway]);
        }
        if let Stage::Learning(answers) = &mut state.stage {
            answers.insert(name, answer);
        }
        self.learned(state);
    }

    /// A gateway is asked to accept what is proposed.
    fn vote(&self, state: &mut ProposalState, gateway: usize, heard: bool) {
        let ballot = Ballot {
            epoch: state.term,
            attempt: 0,
        };
        let Stage::Deciding(map, votes) = &mut state.stage else {
            return;
        };
        let map = *map;
        // Who lacks the map before it cannot judge it.
        let follows = state.acceptors[gateway]
            .in_force()
            .map(|known| known.hash.0)
            == Some(1);
        if !follows || !state.acceptors[gateway].accept(ballot, named(map), false) || !heard {
            return;
        }
        votes.insert(gateway);
        if is_majority(&|name| votes.contains(&self::gateway(name))) {
            state.decided.insert((self::map(map).version, map));
            (state.current, state.stage) = (map, Stage::Resting);
        }
    }
}

/// Which gateways keep the key.
fn owners(state: &ProposalState) -> Vec<usize> {
    let keeps = |gateway: &usize| {
        let hand = &state.hands[*gateway];
        let Some(hold) = hand.hold(state.now) else {
            return false;
        };
        let hash = hold.hash.0;
        !hand
            .mine(
                state.now,
                NAMES[*gateway],
                &map(hash),
                previous(hash).as_ref(),
            )
            .is_empty()
    };
    (0..GATEWAYS).filter(keeps).collect()
}

impl Model for Fleet {
    type State = ProposalState;
    type Action = Act;

    /// All have the first map, and have kept by it; the first leader knows that.
    fn init_states(&self) -> Vec<ProposalState> {
        let mut acceptor = Acceptor::default();
        acceptor.decided(1, named(1), true);
        let mut hand = LocalShards::default();
        hand.keep(
            0,
            FencingToken {
                epoch: 1,
                version: 1,
            },
            MapHash(1),
            RangeSet::default(),
            KEEP,
        );
        let mut ledger = GrantedLeases::new(0, KEEP);
        ledger.nobody_keeps(0);
        for name in NAMES {
            ledger.give(peer_id_of(name), 1, KEEP);
            ledger.took(peer_id_of(name), 1, 1);
        }
        vec![ProposalState {
            now: 0,
            term: 1,
            lives: [1; GATEWAYS],
            acceptors: [0; GATEWAYS].map(|_| acceptor.clone()),
            hands: [0; GATEWAYS].map(|_| hand.clone()),
            ledger,
            stage: Stage::Resting,
            current: 1,
            under_way: BTreeSet::new(),
            decided: BTreeSet::from([(1, 1)]),
        }]
    }

    fn actions(&self, state: &ProposalState, acts: &mut Vec<Act>) {
        acts.extend(state.under_way.iter().cloned().map(Act::Deliver));
        if state.now < END {
            acts.push(Act::Tick);
        }
        if state.term == 1 {
            acts.push(Act::Elect);
            if state.current == 1 && state.stage == Stage::Resting {
                acts.push(Act::Propose);
            }
        }
        if self.restarts && state.lives == [1; GATEWAYS] {
            acts.extend((0..GATEWAYS).map(Act::Restart));
        }
        for (gateway, name) in NAMES.into_iter().enumerate() {
            let (name, incarnation) = (peer_id_of(name), state.lives[gateway]);
            match &state.stage {
                Stage::Learning(answers) if !answers.contains_key(&name) => {
                    acts.push(Act::Learn(gateway))
                }
                Stage::Deciding(_, votes) if !votes.contains(&gateway) => {
                    acts.extend([Act::Vote(gateway, true), Act::Vote(gateway, false)]);
                }
                _ => {}
            }
            let has_room = state.under_way.len() < UNDER_WAY;
            if has_room && self.rules(state) && state.ledger.may_give(state.now, name, incarnation)
            {
                acts.push(Act::Keep(gateway));
            }
        }
    }

    fn next_state(&self, before: &ProposalState, act: Act) -> Option<ProposalState> {
        let mut state = before.clone();
        let (term, now) = (state.term, state.now);
        match act {
            Act::Tick => state.now += 1,
            Act::Elect => {
                state.term = 2;
                state.ledger = GrantedLeases::new(now, KEEP);
                if self.forgets_leases {
                    state.ledger.nobody_keeps(now);
                }
                state.stage = Stage::Learning(BTreeMap::new());
                state.under_way.clear();
            }
            Act::Restart(gateway) => {
                state.lives[gateway] += 1;
                (state.acceptors[gateway], state.hands[gateway]) = Default::default();
            }
            Act::Propose => state.stage = Stage::Deciding(2, BTreeSet::new()),
            Act::Learn(gateway) => self.learn(&mut state, gateway),
            Act::Vote(gateway, heard) => self.vote(&mut state, gateway, heard),
            Act::Keep(gateway) => {
                let (name, incarnation, until) =
                    (peer_id_of(NAMES[gateway]), state.lives[gateway], now + KEEP);
                let (waits, settled) = (self.waits(&state), state.stage == Stage::Resting);
                state.ledger.give(name, incarnation, until);
                let kind = Kind::Keep {
                    map: state.current,
                    waits,
                    until,
                    settled,
                };
                state.under_way.insert(Message {
                    term,
                    gateway,
                    incarnation,
                    kind,
                });
            }
            Act::Deliver(message) => {
                state.under_way.remove(&message);
                self.deliver(&mut state, message);
            }
        }
        (state != *before).then_some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("never two keepers", |_, state: &ProposalState| {
                owners(state).len() <= 1
            }),
            Property::always("a version is decided once", |_, state: &ProposalState| {
                let versions: BTreeSet<u64> =
                    state.decided.iter().map(|(version, _)| *version).collect();
                versions.len() == state.decided.len()
            }),
            Property::sometimes("a second map is kept", |_, state: &ProposalState| {
                state.current == 2 && owners(state) == [1]
            }),
            Property::sometimes(
                "a new owner finishes what was accepted",
                |_, state: &ProposalState| {
                    state.term == 2
                        && state.decided.contains(&(2, 2))
                        && state.stage == Stage::Resting
                },
            ),
        ]
    }
}

fn check(cluster: Fleet, depth: usize) -> impl Checker<Fleet> {
    let threads = std::thread::available_parallelism()
        .map_or(2, usize::from)
        .min(3);
    cluster
        .checker()
        .threads(threads)
        .target_max_depth(depth)
        .spawn_bfs()
        .join()
}

#[test]
fn no_key_has_two_owners_and_no_version_two_maps_over_a_change_of_leader() {
    for (restarts, depth) in [(false, 12), (true, 10)] {
        let checker = check(
            Fleet {
                restarts,
                ..AS_IT_IS
            },
            depth,
        );
        let states = checker.unique_state_count();
        println!(
            "restarts {restarts}: {states} states, {} steps deep",
            checker.max_depth()
        );
        assert!(checker.discovery("never two keepers").is_none());
        assert!(checker.discovery("a version is decided once").is_none());
        assert!(states > 50_000, "{states} states");
    }
}

/// Whether this comes up, at most so deep.
fn finds(cluster: Fleet, depth: usize, what: &'static str) -> bool {
    let threads = std::thread::available_parallelism()
        .map_or(2, usize::from)
        .min(3);
    let finish = HasDiscoveries::AllOf(BTreeSet::from([what]));
    let checker = cluster
        .checker()
        .threads(threads)
        .target_max_depth(depth)
        .finish_when(finish);
    let checker = checker.spawn_bfs().join();
    let found = checker.discovery(what).map(|path| path.into_actions());
    println!("{what}: {found:?}, {} states", checker.unique_state_count());
    found.is_some()
}

const NO_RESTARTS: Fleet = Fleet {
    restarts: false,
    ..AS_IT_IS
};

#[test]
fn the_check_reaches_a_second_map_and_one_that_a_new_leader_finishes() {
    assert!(finds(NO_RESTARTS, 12, "a second map is kept"));
    assert!(finds(
        NO_RESTARTS,
        12,
        "a new owner finishes what was accepted"
    ));
}

#[test]
fn the_check_finds_a_owner_that_starts_before_the_release() {
    assert!(finds(
        Fleet {
            before_release: true,
            ..NO_RESTARTS
        },
        12,
        "never two keepers"
    ));
}

#[test]
fn the_check_finds_a_new_leader_that_does_not_wait_for_the_leases_of_the_old_one() {
    assert!(finds(
        Fleet {
            forgets_leases: true,
            ..NO_RESTARTS
        },
        12,
        "never two keepers"
    ));
}

#[test]
fn the_check_finds_a_new_leader_that_starts_afresh_though_a_majority_had_accepted_a_map() {
    assert!(finds(
        Fleet {
            starts_afresh: true,
            ..NO_RESTARTS
        },
        12,
        "a version is decided once"
    ));
}

#[test]
fn the_check_finds_a_gateway_that_started_from_nothing_and_counts_at_once() {
    assert!(finds(
        Fleet {
            trusts_the_new: true,
            ..AS_IT_IS
        },
        12,
        "a version is decided once"
    ));
}
