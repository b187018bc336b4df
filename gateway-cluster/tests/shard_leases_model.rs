//! Model check of deciding a map, blocking its ranges and releasing them, over a change of the leader: three gateways
//! that are acceptors and owners, two epochs, one key; leases and acknowledgements that are lost, late and repeated,
//! and votes whose replies are lost. It runs the rules of the product (`shards::consensus`, `shards::leases`). Leader
//! election is assumed to be correct: no request of an epoch is accepted after a later epoch has started.

use gateway_cluster::leadership::FencingToken;
use gateway_cluster::peers::{peer_id_of, PeerId};
use gateway_cluster::shards::consensus::{learn, Acceptor, AcceptorReport, Ballot, MapId};
use gateway_cluster::shards::leases::{blocked_ranges, GrantedLeases, LocalShards, RangeSet};
use gateway_cluster::shards::{MapHash, ShardMap, ShardRange};
use stateright::{Checker, HasDiscoveries, Model, Property};
use std::collections::{BTreeMap, BTreeSet};

const GATEWAYS: usize = 3;
const NAMES: [&str; GATEWAYS] = ["n0", "n1", "n2"];
/// Duration of a shard lease in ticks; on another gateway's clock it is one tick longer.
const LEASE_DURATION: u64 = 2;
const LAST_TICK: u64 = 6;
/// Maximum number of datagrams in flight.
const MAX_IN_FLIGHT: usize = 2;

/// The maps, by hash: the first one, the proposal of the first leader, and the proposal of the second one if it learns
/// of no other.
fn map(hash: u64) -> ShardMap {
    let (version, epoch, owner) = [(1, 0, 0), (2, 1, 1), (2, 2, 2)][hash as usize - 1];
    ShardMap {
        version,
        parent: MapHash(version - 1),
        epoch,
        ranges: vec![ShardRange::new(0, 1, NAMES[owner])],
    }
}

fn map_id(hash: u64) -> MapId {
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
    GrantLease {
        map: u64,
        blocked: bool,
        expires_at: u64,
        idle: bool,
    },
    AcknowledgeLease(u64),
}

/// A datagram between the leader and a gateway, in one epoch.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
struct Message {
    epoch: u64,
    gateway: usize,
    incarnation: u64,
    kind: Kind,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
enum Stage {
    Preparing(BTreeMap<PeerId, AcceptorReport>),
    Deciding(u64, BTreeSet<usize>),
    Idle,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct ModelState {
    now: u64,
    epoch: u64,
    incarnations: [u64; GATEWAYS],
    acceptors: [Acceptor; GATEWAYS],
    locals: [LocalShards; GATEWAYS],
    leases: GrantedLeases,
    stage: Stage,
    current: u64,
    in_flight: BTreeSet<Message>,
    decided: BTreeSet<(u64, u64)>,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
enum Action {
    Tick,
    /// Another leader is elected.
    Elect,
    /// A gateway restarts without state.
    Restart(usize),
    /// The leader proposes a map.
    Propose,
    /// A gateway answers phase one.
    Prepare(usize),
    /// A gateway votes for the proposal; whether its reply arrives.
    Vote(usize, bool),
    /// The leader sends a lease.
    GrantLease(usize),
    Deliver(Message),
}

#[derive(Debug, Clone, Copy)]
struct ShardModel {
    owner_starts_before_release: bool,
    leader_ignores_old_leases: bool,
    leader_ignores_accepted_map: bool,
    restarted_acceptor_counts: bool,
    restarts: bool,
}

const CORRECT: ShardModel = ShardModel {
    owner_starts_before_release: false,
    leader_ignores_old_leases: false,
    leader_ignores_accepted_map: false,
    restarted_acceptor_counts: false,
    restarts: true,
};

fn is_majority(has: &dyn Fn(PeerId) -> bool) -> bool {
    NAMES.iter().filter(|name| has(peer_id_of(name))).count() > GATEWAYS / 2
}

impl ShardModel {
    fn blocked(&self, state: &ModelState) -> bool {
        let version = map(state.current).version;
        let free = |name: &str| {
            self.owner_starts_before_release
                || state.leases.is_free(state.now, peer_id_of(name), version)
        };
        blocked_ranges(&map(state.current), previous(state.current).as_ref(), free)
            .ranges
            .contains(0)
    }

    fn maybe_finish_prepare(&self, state: &mut ModelState) {
        let Stage::Preparing(promises) = &state.stage else {
            return;
        };
        let Some(learned) = learn(promises, self.restarted_acceptor_counts, is_majority) else {
            return;
        };
        state.current = learned.in_force.map_or(1, |map| map.hash.0);
        let finish = learned
            .unfinished
            .filter(|_| !self.leader_ignores_accepted_map);
        state.stage = match finish {
            Some(map) => Stage::Deciding(map.hash.0, BTreeSet::new()),
            // Its own proposal, if no other may have been decided.
            None if state.current == 1 => Stage::Deciding(3, BTreeSet::new()),
            None => Stage::Idle,
        };
    }

    /// Whether leases may be granted: not before the map in force is known and an unfinished map is decided.
    fn may_grant_leases(&self, state: &ModelState) -> bool {
        match &state.stage {
            Stage::Preparing(_) => false,
            Stage::Deciding(map, _) => *map == 3 || state.epoch == 1,
            Stage::Idle => true,
        }
    }

    fn deliver(&self, state: &mut ModelState, message: Message) {
        let Message {
            epoch,
            gateway,
            incarnation,
            kind,
        } = message;
        let for_gateway = matches!(kind, Kind::GrantLease { .. });
        if epoch != state.epoch || for_gateway && incarnation != state.incarnations[gateway] {
            // The proof of leadership is not valid here.
            return;
        }
        let name = peer_id_of(NAMES[gateway]);
        match kind {
            Kind::GrantLease {
                map: hash,
                blocked,
                expires_at,
                idle,
            } => {
                let token = FencingToken {
                    epoch,
                    version: map(hash).version,
                };
                if !state.locals[gateway].is_current(token) {
                    return;
                }
                state.acceptors[gateway].on_decided(epoch, map_id(hash), idle);
                let blocked_set = RangeSet::of(1, |_| blocked);
                if state.locals[gateway].accept_lease(
                    state.now,
                    token,
                    MapHash(hash),
                    blocked_set,
                    expires_at,
                ) {
                    let kind = Kind::AcknowledgeLease(token.version);
                    state.in_flight.insert(Message {
                        epoch,
                        gateway,
                        incarnation,
                        kind,
                    });
                }
            }
            Kind::AcknowledgeLease(version) => state.leases.acknowledge(name, incarnation, version),
        }
    }
}

impl ShardModel {
    /// A gateway answers phase one of the leader.
    fn on_promise(&self, state: &mut ModelState, gateway: usize) {
        let (name, ballot) = (
            peer_id_of(NAMES[gateway]),
            Ballot {
                epoch: state.epoch,
                attempt: 0,
            },
        );
        let Some(promise) = state.acceptors[gateway].promise(ballot) else {
            return;
        };
        if state.locals[gateway].had_lease() {
            state
                .leases
                .record_prior_lease(name, state.incarnations[gateway]);
        }
        if let Stage::Preparing(promises) = &mut state.stage {
            promises.insert(name, promise);
        }
        self.maybe_finish_prepare(state);
    }

    /// A gateway votes for the proposal.
    fn vote(&self, state: &mut ModelState, gateway: usize, reply_arrives: bool) {
        let ballot = Ballot {
            epoch: state.epoch,
            attempt: 0,
        };
        let Stage::Deciding(map, votes) = &mut state.stage else {
            return;
        };
        let map = *map;
        // A gateway without the previous map cannot check the proposal.
        let follows = state.acceptors[gateway]
            .in_force()
            .map(|known| known.hash.0)
            == Some(1);
        if !follows
            || !state.acceptors[gateway].accept(ballot, map_id(map), false)
            || !reply_arrives
        {
            return;
        }
        votes.insert(gateway);
        if is_majority(&|name| votes.contains(&self::gateway(name))) {
            state.decided.insert((self::map(map).version, map));
            (state.current, state.stage) = (map, Stage::Idle);
        }
    }
}

/// The gateways that own the key.
fn owners(state: &ModelState) -> Vec<usize> {
    let is_owner = |gateway: &usize| {
        let local = &state.locals[*gateway];
        let Some(lease) = local.lease(state.now) else {
            return false;
        };
        let hash = lease.hash.0;
        !local
            .owned_ranges(
                state.now,
                NAMES[*gateway],
                &map(hash),
                previous(hash).as_ref(),
            )
            .is_empty()
    };
    (0..GATEWAYS).filter(is_owner).collect()
}

impl Model for ShardModel {
    type State = ModelState;
    type Action = Action;

    /// All gateways have the first map and a lease for it; the first leader knows that.
    fn init_states(&self) -> Vec<ModelState> {
        let mut acceptor = Acceptor::default();
        acceptor.on_decided(1, map_id(1), true);
        let mut local = LocalShards::default();
        local.accept_lease(
            0,
            FencingToken {
                epoch: 1,
                version: 1,
            },
            MapHash(1),
            RangeSet::default(),
            LEASE_DURATION,
        );
        let mut leases = GrantedLeases::new(0, LEASE_DURATION);
        leases.expire_unknown(0);
        for name in NAMES {
            leases.grant(peer_id_of(name), 1, LEASE_DURATION);
            leases.acknowledge(peer_id_of(name), 1, 1);
        }
        vec![ModelState {
            now: 0,
            epoch: 1,
            incarnations: [1; GATEWAYS],
            acceptors: [0; GATEWAYS].map(|_| acceptor.clone()),
            locals: [0; GATEWAYS].map(|_| local.clone()),
            leases,
            stage: Stage::Idle,
            current: 1,
            in_flight: BTreeSet::new(),
            decided: BTreeSet::from([(1, 1)]),
        }]
    }

    fn actions(&self, state: &ModelState, actions: &mut Vec<Action>) {
        actions.extend(state.in_flight.iter().cloned().map(Action::Deliver));
        if state.now < LAST_TICK {
            actions.push(Action::Tick);
        }
        if state.epoch == 1 {
            actions.push(Action::Elect);
            if state.current == 1 && state.stage == Stage::Idle {
                actions.push(Action::Propose);
            }
        }
        if self.restarts && state.incarnations == [1; GATEWAYS] {
            actions.extend((0..GATEWAYS).map(Action::Restart));
        }
        for (gateway, name) in NAMES.into_iter().enumerate() {
            let (name, incarnation) = (peer_id_of(name), state.incarnations[gateway]);
            match &state.stage {
                Stage::Preparing(promises) if !promises.contains_key(&name) => {
                    actions.push(Action::Prepare(gateway));
                }
                Stage::Deciding(_, votes) if !votes.contains(&gateway) => {
                    actions.extend([Action::Vote(gateway, true), Action::Vote(gateway, false)]);
                }
                _ => {}
            }
            let has_capacity = state.in_flight.len() < MAX_IN_FLIGHT;
            if has_capacity
                && self.may_grant_leases(state)
                && state.leases.may_grant(state.now, name, incarnation)
            {
                actions.push(Action::GrantLease(gateway));
            }
        }
    }

    fn next_state(&self, before: &ModelState, act: Action) -> Option<ModelState> {
        let mut state = before.clone();
        let (epoch, now) = (state.epoch, state.now);
        match act {
            Action::Tick => state.now += 1,
            Action::Elect => {
                state.epoch = 2;
                state.leases = GrantedLeases::new(now, LEASE_DURATION);
                if self.leader_ignores_old_leases {
                    state.leases.expire_unknown(now);
                }
                state.stage = Stage::Preparing(BTreeMap::new());
                state.in_flight.clear();
            }
            Action::Restart(gateway) => {
                state.incarnations[gateway] += 1;
                (state.acceptors[gateway], state.locals[gateway]) = Default::default();
            }
            Action::Propose => state.stage = Stage::Deciding(2, BTreeSet::new()),
            Action::Prepare(gateway) => self.on_promise(&mut state, gateway),
            Action::Vote(gateway, reply_arrives) => self.vote(&mut state, gateway, reply_arrives),
            Action::GrantLease(gateway) => {
                let (name, incarnation, expires_at) = (
                    peer_id_of(NAMES[gateway]),
                    state.incarnations[gateway],
                    now + LEASE_DURATION,
                );
                let (blocked, idle) = (self.blocked(&state), state.stage == Stage::Idle);
                state.leases.grant(name, incarnation, expires_at);
                let kind = Kind::GrantLease {
                    map: state.current,
                    blocked,
                    expires_at,
                    idle,
                };
                state.in_flight.insert(Message {
                    epoch,
                    gateway,
                    incarnation,
                    kind,
                });
            }
            Action::Deliver(message) => {
                state.in_flight.remove(&message);
                self.deliver(&mut state, message);
            }
        }
        (state != *before).then_some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("a key has at most one owner", |_, state: &ModelState| {
                owners(state).len() <= 1
            }),
            Property::always(
                "a version has at most one decided map",
                |_, state: &ModelState| {
                    let versions: BTreeSet<u64> =
                        state.decided.iter().map(|(version, _)| *version).collect();
                    versions.len() == state.decided.len()
                },
            ),
            Property::sometimes(
                "an owner acts by the second map",
                |_, state: &ModelState| state.current == 2 && owners(state) == [1],
            ),
            Property::sometimes(
                "a new leader decides an accepted map",
                |_, state: &ModelState| {
                    state.epoch == 2
                        && state.decided.contains(&(2, 2))
                        && state.stage == Stage::Idle
                },
            ),
        ]
    }
}

fn check(cluster: ShardModel, depth: usize) -> impl Checker<ShardModel> {
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
fn no_key_has_two_owners_and_no_version_two_maps_over_a_leader_change() {
    for (restarts, depth) in [(false, 12), (true, 10)] {
        let checker = check(
            ShardModel {
                restarts,
                ..CORRECT
            },
            depth,
        );
        let states = checker.unique_state_count();
        println!(
            "restarts {restarts}: {states} states, {} steps deep",
            checker.max_depth()
        );
        assert!(checker.discovery("a key has at most one owner").is_none());
        assert!(checker
            .discovery("a version has at most one decided map")
            .is_none());
        assert!(states > 50_000, "{states} states");
    }
}

/// Whether the model finds a violation (or reaches the state) within a depth.
fn violates(cluster: ShardModel, depth: usize, what: &'static str) -> bool {
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
    let found = checker.discovery(what).map(stateright::Path::into_actions);
    println!("{what}: {found:?}, {} states", checker.unique_state_count());
    found.is_some()
}

const NO_RESTARTS: ShardModel = ShardModel {
    restarts: false,
    ..CORRECT
};

#[test]
fn the_model_reaches_a_second_map_and_one_completed_by_a_new_leader() {
    assert!(violates(NO_RESTARTS, 12, "an owner acts by the second map"));
    assert!(violates(
        NO_RESTARTS,
        12,
        "a new leader decides an accepted map"
    ));
}

#[test]
fn the_model_detects_an_owner_that_starts_before_the_release() {
    assert!(violates(
        ShardModel {
            owner_starts_before_release: true,
            ..NO_RESTARTS
        },
        12,
        "a key has at most one owner"
    ));
}

#[test]
fn the_model_detects_a_new_leader_that_ignores_old_leases() {
    assert!(violates(
        ShardModel {
            leader_ignores_old_leases: true,
            ..NO_RESTARTS
        },
        12,
        "a key has at most one owner"
    ));
}

#[test]
fn the_model_detects_a_new_leader_that_ignores_an_accepted_map() {
    assert!(violates(
        ShardModel {
            leader_ignores_accepted_map: true,
            ..NO_RESTARTS
        },
        12,
        "a version has at most one decided map"
    ));
}

#[test]
fn the_model_detects_a_restarted_acceptor_that_counts_at_once() {
    assert!(violates(
        ShardModel {
            restarted_acceptor_counts: true,
            ..CORRECT
        },
        12,
        "a version has at most one decided map"
    ));
}
