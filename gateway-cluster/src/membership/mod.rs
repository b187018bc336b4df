//! The view of the cluster: SWIM with Lifeguard's refinements, and what those two do not have: healing after any
//! partition, a look at the own clock after a stall, exchange of what differs, and a bound on all that is sent.
//!
//! The page `docs/cluster-view.md` has the reasons and the times that follow from the probe period.

mod anti_entropy;
mod datagrams;
mod healing;
mod member;
mod probes;
mod suspicion;
mod transmit;
mod updates;

use crate::hash::mix;
use crate::peers::{PeerId, PeerSet, PeerSetError};
use crate::protocol::{IndexedTransmit, Micros, PeerIndex, PeerState};
use crate::token_bucket::TokenBucket;
use crate::wire::{Incarnation, MessageKind};
use anti_entropy::COMPARE_PERIODS;
use datagrams::{ANYBODY_STEPS, STEP};
use member::Member;
use probes::{ring, Probe, Relay, HELPERS};
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, VecDeque};
use transmit::{Class, BYTES, BYTES_PER_S, MESSAGES, MESSAGES_PER_S};

/// What began so long ago is no longer new: a life, which outbids a claim of a higher one until then and takes it for
/// its successor's later, a refutation, a return, and a watch that no stop has ended.
const YOUNG_PERIODS: f64 = 20.0;
/// Gateways that one tells that goes.
const TOLD_OF_LEAVING: usize = 8;

/// Of which part of the peer set a gateway can speak.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PartitionSide {
    /// All of it lives.
    Whole,
    /// More than half, this gateway too.
    Majority,
    /// Half or less.
    Minority,
    /// This gateway alone.
    Alone,
}

/// ChangeReason a view changed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ChangeReason {
    /// It did not answer this gateway.
    NoAnswer,
    /// This gateway was told by another.
    ToldBy(String),
    /// A doubt was not refuted in time.
    NotRefuted,
    /// It spoke, in a later incarnation.
    Returned,
    /// It said that it goes.
    Left,
}

/// A change of the view.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MembershipChange {
    /// Of whom.
    pub name: String,
    /// What it was held for.
    pub from: PeerState,
    /// What it is held for.
    pub to: PeerState,
    /// ChangeReason.
    pub why: ChangeReason,
}

/// What was received and dropped.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct DroppedDatagrams {
    /// It makes no sense.
    pub malformed: u64,
    /// It is from a name that this gateway's peer set does not have, or from its own.
    pub unknown: u64,
    /// It is from a life that is over.
    pub stale: u64,
}

/// What a view begins with.
#[derive(Debug, Clone)]
pub struct MembershipSettings {
    /// All names of the peer set, this gateway's too.
    pub peers: Vec<String>,
    /// This gateway's.
    pub name: String,
    /// The wall clock in milliseconds since 1970. Later lives have later ones, unless the clock was set back.
    pub unix_ms: u64,
    /// The probe period.
    pub probe: Micros,
}

/// One life's view.
#[derive(Debug)]
pub struct Membership {
    peers: PeerSet,
    /// The peer set in the order of the ring, beginning behind this gateway.
    ring: Vec<PeerIndex>,
    me: PeerIndex,
    members: Vec<Member>,
    rng: Pcg64Mcg,
    probe: Micros,
    born: Micros,
    next: Micros,
    step: u64,
    number: u32,
    probes: BTreeMap<u32, Probe>,
    relays: BTreeMap<u32, Relay>,
    /// Those to probe at random, each once before the first comes again.
    round: Vec<PeerIndex>,
    /// Dead ones to call, each once before the first is called again.
    calls: Vec<PeerIndex>,
    healing_until: u64,
    messages: TokenBucket,
    bytes: TokenBucket,
    compared: Micros,
    compare_gap: f64,
    /// When anybody was last heard, and whether all are doubted as that was long ago.
    heard: Micros,
    silent: bool,
    /// There is much to tell; views were seen to differ not long ago.
    much: bool,
    /// Doubted ones that are to be told.
    inform: Vec<PeerIndex>,
    apart_until: Micros,
    /// When another was last asked to confirm doubts.
    confirmed: Micros,
    health: u32,
    changed: Micros,
    changes: VecDeque<MembershipChange>,
    /// Since when this life has seen the cluster without a stop.
    watching: Micros,
    /// When it last went on after a stop.
    woke: Micros,
    /// Doubts that another was asked to confirm, by the question's number.
    confirming: BTreeMap<u32, Vec<PeerIndex>>,
    superseded: bool,
    superseded_told: bool,
    /// It has told that it goes, and says nothing more.
    left: bool,
    /// What was received and dropped.
    pub dropped: DroppedDatagrams,
    /// Messages and bytes sent, with the headers of IP and UDP.
    pub sent: (u64, u64),
}

impl Membership {
    /// A new life that knows the peer set and nothing else.
    ///
    /// # Errors
    /// The peer set lacks this gateway's name, has a name twice, two whose hashes are equal, or too many.
    pub fn new(
        now: Micros,
        settings: MembershipSettings,
        seed: u64,
        sends: &mut Vec<IndexedTransmit>,
    ) -> Result<Membership, PeerSetError> {
        let MembershipSettings {
            peers,
            name,
            unix_ms,
            probe,
        } = settings;
        let peers = PeerSet::new(peers)?;
        let me = peers.own_index(&name)?;
        let mut members = vec![Member::unknown(); peers.len()];
        members[me].incarnation = unix_ms << 16;
        members[me].sent = Some(0);
        let mut view = Membership {
            ring: ring(&peers, me),
            peers,
            me,
            members,
            rng: Pcg64Mcg::seed_from_u64(seed),
            probe,
            born: now,
            next: now,
            step: 0,
            number: 0,
            probes: BTreeMap::new(),
            relays: BTreeMap::new(),
            round: Vec::new(),
            calls: Vec::new(),
            healing_until: 0,
            messages: TokenBucket::full(now, MESSAGES, MESSAGES_PER_S),
            bytes: TokenBucket::full(now, BYTES, BYTES_PER_S),
            compared: now,
            compare_gap: COMPARE_PERIODS,
            heard: now,
            silent: false,
            much: false,
            inform: Vec::new(),
            apart_until: 0,
            confirmed: 0,
            health: 0,
            changed: now,
            changes: VecDeque::new(),
            watching: now,
            woke: 0,
            confirming: BTreeMap::new(),
            superseded: false,
            superseded_told: false,
            left: false,
            dropped: DroppedDatagrams::default(),
            sent: (0, 0),
        };
        // Gateways that start together are not to call together.
        view.step = view.rng.random_range(0..ANYBODY_STEPS);
        view.next = now + (view.part(STEP) as f64 * view.rng.random::<f64>()) as Micros;
        // Others hold an earlier life, or hold this gateway for dead: some learn at once, and tell what they hold.
        for _ in 0..HELPERS {
            if let Some(place) = view.anybody() {
                view.compare(now, place, sends);
            }
        }
        Ok(view)
    }

    /// Takes over another peer set. What is held of names that stay is kept; names that go are forgotten, and what
    /// comes from them revives nobody; names that come are held for alive until they do not answer.
    ///
    /// # Errors
    /// As [`Membership::new`]; the peer set stays as it was.
    pub fn set_peers(&mut self, now: Micros, names: Vec<String>) -> Result<(), PeerSetError> {
        let peers = PeerSet::new(names)?;
        let me = peers.own_index(&self.names()[self.me])?;
        if peers == self.peers {
            return Ok(());
        }
        let held = |id: &PeerId| {
            self.peers
                .index_of(*id)
                .map(|place| self.members[place].clone())
        };
        let members = peers
            .ids()
            .iter()
            .map(|id| held(id).unwrap_or(Member::unknown()));
        self.members = members.collect();
        (self.ring, self.peers, self.me) = (ring(&peers, me), peers, me);
        // These go by places of the old peer set.
        (self.probes, self.relays, self.confirming) = Default::default();
        (self.round, self.calls, self.inform) = Default::default();
        self.changed = now;
        Ok(())
    }

    /// Tells others that this gateway goes, and says nothing more from then on.
    pub fn leave(&mut self, now: Micros, sends: &mut Vec<IndexedTransmit>) {
        self.members[self.me].left = true;
        self.members[self.me].dead = true;
        let mut told: Vec<PeerIndex> = self.sound().collect();
        told.shuffle(&mut self.rng);
        for place in told.into_iter().take(TOLD_OF_LEAVING) {
            self.put(
                now,
                place,
                MessageKind::SyncUpdates,
                vec![self.me],
                Class::Answer,
                sends,
            );
        }
        self.left = true;
    }

    /// This many parts of a probe period.
    fn part(&self, part: f64) -> Micros {
        (self.probe as f64 * part) as Micros
    }

    /// Whether this was not long ago, as lives and partitions go.
    fn is_recent(&self, now: Micros, at: Micros) -> bool {
        now < at + self.part(YOUNG_PERIODS)
    }

    /// The states of the peer set, in the order of its names.
    pub fn states(&self) -> Vec<PeerState> {
        self.members.iter().map(Member::state).collect()
    }

    /// The names of the peer set in order.
    pub fn names(&self) -> &[String] {
        self.peers.names()
    }

    /// Gateways that are not dead, this one too.
    fn living(&self) -> usize {
        self.members.iter().filter(|member| !member.dead).count()
    }

    /// Of which part of the peer set this gateway can speak.
    pub fn side(&self) -> PartitionSide {
        match self.living() {
            alive if alive == self.members.len() => PartitionSide::Whole,
            1 => PartitionSide::Alone,
            alive if 2 * alive > self.members.len() => PartitionSide::Majority,
            _ => PartitionSide::Minority,
        }
    }

    /// Equal at two gateways exactly when peer set and states are.
    pub fn digest(&self) -> u64 {
        let held = self.peers.ids().iter().zip(&self.members);
        let not_alive = held.filter(|(_, member)| member.state() != PeerState::Alive);
        not_alive.fold(u64::from(self.peers.digest()), |sum, (id, member)| {
            mix(sum, u64::from(*id) << 1 | u64::from(member.dead))
        })
    }

    /// For how long no state has changed.
    pub fn settled(&self, now: Micros) -> Micros {
        now.saturating_sub(self.changed)
    }

    /// A later life has this gateway's name.
    pub fn is_superseded(&self) -> bool {
        self.superseded
    }

    /// True once, after a later life was heard of.
    pub fn take_superseded(&mut self) -> bool {
        self.superseded && !std::mem::replace(&mut self.superseded_told, true)
    }

    /// This gateway's incarnation.
    pub fn incarnation(&self) -> Incarnation {
        self.members[self.me].incarnation
    }

    /// The oldest change that was not taken yet.
    pub fn next_change(&mut self) -> Option<MembershipChange> {
        self.changes.pop_front()
    }

    /// When [`Membership::on_timer`] is wanted.
    pub fn next_wakeup(&self) -> Micros {
        self.next
    }
}
