//! Cluster membership: SWIM (Das, Gupta, Motivala, 2002) with Lifeguard's refinements (Dadgar et al., 2017): direct and
//! indirect probes, suspicion with refutation by incarnation numbers, updates piggybacked on probes, a local health score.
//!
//! Additions to both: dead peers are contacted for ever, so that every partition heals; a process that stalled discards
//! its pending verdicts; views are compared by summary (anti-entropy); two token buckets bound all sent traffic.
//!
//! [`Membership`] is a state machine without I/O; the driver calls [`Membership::on_datagram`] and
//! [`Membership::on_timer`]. `docs/fleet-view.md` has the guarantees and the times that follow from the probe period.
//!
//! Modules: `datagrams` handles received datagrams, `timer` the periodic step, `updates` applies membership updates,
//! `probes` runs health checks, `suspicion` its verdicts, `anti_entropy` compares views, `healing` reconnects
//! partitions, `transmit` sends within the budget, `member` holds the state of one peer.

mod anti_entropy;
mod datagrams;
mod healing;
mod member;
mod probes;
mod suspicion;
mod timer;
mod transmit;
mod updates;

use crate::hash::mix;
use crate::peers::{PeerId, PeerSet, PeerSetError};
use crate::protocol::{IndexedTransmit, Micros, PeerIndex, PeerState};
use crate::token_bucket::TokenBucket;
use crate::wire::{Incarnation, MessageKind};
use anti_entropy::SYNC_INTERVAL_PERIODS;
use member::Member;
use probes::{ring, IndirectProbe, Probe, HELPERS};
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, VecDeque};
use timer::{RANDOM_PROBE_STEPS, STEP_PERIODS};
use transmit::{Priority, BYTES_PER_S, BYTE_BURST, MESSAGES_PER_S, MESSAGE_BURST};

/// Age, in probe periods, up to which an event counts as recent: the start of this process, a raised incarnation, a return
/// from the dead state, and the start of uninterrupted observation. A process that started recently refutes updates with
/// a later incarnation instead of taking them for those of its successor.
const RECENT_PERIODS: f64 = 20.0;
/// Number of gateways that receive the announcement of a shutdown.
const MAX_LEAVE_NOTICES: usize = 8;

/// The side of a network partition on which a gateway finds itself, by the number of peers that are not dead.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PartitionSide {
    /// No peer is dead.
    Complete,
    /// More than half of the peer set is reachable, this gateway included.
    Majority,
    /// Half of the peer set or less is reachable.
    Minority,
    /// No other gateway is reachable.
    Alone,
}

/// Reason for a change of a peer's state.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ChangeReason {
    /// The peer did not answer this gateway's health checks.
    NoAnswer,
    /// The gateway with this name reported it.
    ReportedBy(String),
    /// A suspicion of the peer expired without a refutation.
    NotRefuted,
    /// The peer sent a datagram with a newer incarnation.
    Returned,
    /// The peer announced its shutdown.
    Left,
}

/// A change of a peer's state.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MembershipChange {
    /// Name of the peer.
    pub name: String,
    /// Previous state.
    pub from: PeerState,
    /// New state.
    pub to: PeerState,
    /// Reason for the change.
    pub why: ChangeReason,
}

/// Counters of received datagrams that were dropped.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct DroppedDatagrams {
    /// Datagrams that could not be decoded.
    pub malformed: u64,
    /// Datagrams from a name outside the peer set, or from this gateway's own name.
    pub unknown: u64,
    /// Datagrams from a process that a later one with the same name has replaced.
    pub stale: u64,
}

/// Settings of [`Membership`].
#[derive(Debug, Clone)]
pub struct MembershipSettings {
    /// All names of the peer set, this gateway's included.
    pub peers: Vec<String>,
    /// The name of this gateway.
    pub name: String,
    /// Wall clock at the start, in milliseconds since 1970. A later process has a later one, unless the clock was set back.
    pub unix_ms: u64,
    /// SWIM's protocol period, in microseconds: all other times are multiples of it.
    pub probe: Micros,
}

/// The membership protocol at one gateway, for one incarnation of it.
#[derive(Debug)]
pub struct Membership {
    peers: PeerSet,
    /// The other gateways in the order of the ring, from this gateway's successor on.
    ring: Vec<PeerIndex>,
    own_index: PeerIndex,
    /// States by index in the peer set, this gateway's included.
    members: Vec<Member>,
    rng: Pcg64Mcg,
    probe_period: Micros,
    started_at: Micros,
    /// Time and number of the next periodic step.
    next_step_at: Micros,
    step: u64,
    last_request_number: u32,
    /// Health checks in progress, by request number.
    probes: BTreeMap<u32, Probe>,
    /// Health checks on behalf of others, by this gateway's request number.
    indirect_probes: BTreeMap<u32, IndirectProbe>,
    /// Remaining targets of the random probes: each peer once per round.
    probe_round: Vec<PeerIndex>,
    /// Remaining dead peers to contact: each once per round.
    dead_contact_round: Vec<PeerIndex>,
    /// Step up to which dead peers are contacted more often, as one has returned.
    healing_until_step: u64,
    message_budget: TokenBucket,
    byte_budget: TokenBucket,
    last_sync_at: Micros,
    /// Minimum time between two sync requests, in probe periods.
    sync_interval_periods: f64,
    /// Time of the last datagram from any peer.
    last_contact_at: Micros,
    /// No datagram arrived for the isolation timeout: all peers are under local suspicion.
    isolated: bool,
    /// So many updates are urgent that sync requests replace gossip.
    is_update_backlog_large: bool,
    /// Suspected peers to which this gateway sends the suspicion at the next step.
    suspects_to_notify: Vec<PeerIndex>,
    /// Time up to which pings carry a summary, as a peer's view was seen to differ.
    views_differ_until: Micros,
    last_confirm_request_at: Micros,
    /// Lifeguard's local health score; timeouts of suspicions grow with it.
    local_health_score: u32,
    last_change_at: Micros,
    /// Changes that the driver has not taken yet.
    changes: VecDeque<MembershipChange>,
    /// Start of the observation of the cluster without a stall of this process.
    watching_since: Micros,
    /// Time at which this process resumed after its last stall.
    resumed_at: Micros,
    /// Suspicions that another gateway was requested to confirm, by request number.
    pending_confirmations: BTreeMap<u32, Vec<PeerIndex>>,
    /// A later process has this gateway's name: this one sends nothing.
    superseded: bool,
    superseded_reported: bool,
    /// The shutdown was announced: nothing is sent any more.
    left: bool,
    /// Counters of dropped datagrams.
    pub dropped: DroppedDatagrams,
    /// Datagrams and bytes sent, with the headers of IP and UDP.
    pub sent: (u64, u64),
}

impl Membership {
    /// Starts the protocol, knowing only the names of the peer set, and sends sync requests to a few peers.
    ///
    /// # Errors
    /// The peer set is invalid or lacks this gateway's name; see [`PeerSetError`].
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
            probe: probe_period,
        } = settings;
        let peers = PeerSet::new(peers)?;
        let own_index = peers.own_index(&name)?;
        let mut members = vec![Member::initial(); peers.len()];
        members[own_index].incarnation = unix_ms << 16;
        members[own_index].transmissions = Some(0);
        let mut membership = Membership {
            ring: ring(&peers, own_index),
            peers,
            own_index,
            members,
            rng: Pcg64Mcg::seed_from_u64(seed),
            probe_period,
            started_at: now,
            next_step_at: now,
            step: 0,
            last_request_number: 0,
            probes: BTreeMap::new(),
            indirect_probes: BTreeMap::new(),
            probe_round: Vec::new(),
            dead_contact_round: Vec::new(),
            healing_until_step: 0,
            message_budget: TokenBucket::full(now, MESSAGE_BURST, MESSAGES_PER_S),
            byte_budget: TokenBucket::full(now, BYTE_BURST, BYTES_PER_S),
            last_sync_at: now,
            sync_interval_periods: SYNC_INTERVAL_PERIODS,
            last_contact_at: now,
            isolated: false,
            is_update_backlog_large: false,
            suspects_to_notify: Vec::new(),
            views_differ_until: 0,
            last_confirm_request_at: 0,
            local_health_score: 0,
            last_change_at: now,
            changes: VecDeque::new(),
            watching_since: now,
            resumed_at: 0,
            pending_confirmations: BTreeMap::new(),
            superseded: false,
            superseded_reported: false,
            left: false,
            dropped: DroppedDatagrams::default(),
            sent: (0, 0),
        };
        // A random phase, so that gateways that start together do not send together.
        membership.step = membership.rng.random_range(0..RANDOM_PROBE_STEPS);
        membership.next_step_at = now
            + (membership.probe_periods(STEP_PERIODS) as f64 * membership.rng.random::<f64>())
                as Micros;
        // Others may know an earlier incarnation or consider this gateway dead: some learn of this one at once and answer with
        // their view.
        for _ in 0..HELPERS {
            if let Some(index) = membership.random_alive_peer() {
                membership.send_sync_request(now, index, sends);
            }
        }
        Ok(membership)
    }

    /// Replaces the peer set. Names in both sets keep their state. Removed names are forgotten, and their datagrams are
    /// dropped. Added names are alive until they miss health checks.
    ///
    /// # Errors
    /// As for [`Membership::new`]; the current peer set stays in use.
    pub fn set_peers(&mut self, now: Micros, names: Vec<String>) -> Result<(), PeerSetError> {
        let peers = PeerSet::new(names)?;
        let own_index = peers.own_index(&self.names()[self.own_index])?;
        if peers == self.peers {
            return Ok(());
        }
        let known_member = |id: &PeerId| {
            self.peers
                .index_of(*id)
                .map(|index| self.members[index].clone())
        };
        let members = peers
            .ids()
            .iter()
            .map(|id| known_member(id).unwrap_or(Member::initial()));
        self.members = members.collect();
        (self.ring, self.peers, self.own_index) = (ring(&peers, own_index), peers, own_index);
        // These refer to indexes in the old peer set.
        (
            self.probes,
            self.indirect_probes,
            self.pending_confirmations,
        ) = Default::default();
        (
            self.probe_round,
            self.dead_contact_round,
            self.suspects_to_notify,
        ) = Default::default();
        self.last_change_at = now;
        Ok(())
    }

    /// Announces the shutdown of this gateway to a few peers and sends nothing afterwards.
    pub fn leave(&mut self, now: Micros, sends: &mut Vec<IndexedTransmit>) {
        self.members[self.own_index].left = true;
        self.members[self.own_index].dead = true;
        let mut receivers: Vec<PeerIndex> = self.alive_peers().collect();
        receivers.shuffle(&mut self.rng);
        for index in receivers.into_iter().take(MAX_LEAVE_NOTICES) {
            self.send_updates(
                now,
                index,
                MessageKind::SyncUpdates,
                vec![self.own_index],
                Priority::Answer,
                sends,
            );
        }
        self.left = true;
    }

    /// A number of probe periods as time.
    fn probe_periods(&self, periods: f64) -> Micros {
        (self.probe_period as f64 * periods) as Micros
    }

    /// Whether the time `at` is at most [`RECENT_PERIODS`] ago.
    fn is_recent(&self, now: Micros, at: Micros) -> bool {
        now < at + self.probe_periods(RECENT_PERIODS)
    }

    /// The state of each peer, in the order of [`Membership::names`].
    pub fn states(&self) -> Vec<PeerState> {
        self.members.iter().map(Member::state).collect()
    }

    /// The names of the peer set, sorted.
    pub fn names(&self) -> &[String] {
        self.peers.names()
    }

    /// Number of gateways that are not dead, this one included.
    fn count_not_dead(&self) -> usize {
        self.members.iter().filter(|member| !member.dead).count()
    }

    /// The side of a partition on which this gateway is.
    pub fn side(&self) -> PartitionSide {
        match self.count_not_dead() {
            alive if alive == self.members.len() => PartitionSide::Complete,
            1 => PartitionSide::Alone,
            alive if 2 * alive > self.members.len() => PartitionSide::Majority,
            _ => PartitionSide::Minority,
        }
    }

    /// A digest of the peer set and of all states. Two gateways with equal digests agree on both.
    pub fn digest(&self) -> u64 {
        let states = self.peers.ids().iter().zip(&self.members);
        let not_alive = states.filter(|(_, member)| member.state() != PeerState::Alive);
        not_alive.fold(u64::from(self.peers.digest()), |sum, (id, member)| {
            mix(sum, u64::from(*id) << 1 | u64::from(member.dead))
        })
    }

    /// Time since the last change of any state.
    pub fn settled(&self, now: Micros) -> Micros {
        now.saturating_sub(self.last_change_at)
    }

    /// Whether a later process has this gateway's name, so that this one sends nothing.
    pub fn is_superseded(&self) -> bool {
        self.superseded
    }

    /// Whether this gateway was superseded since the last call. True once for each time.
    pub fn take_superseded(&mut self) -> bool {
        self.superseded && !std::mem::replace(&mut self.superseded_reported, true)
    }

    /// The incarnation number of this gateway.
    pub fn incarnation(&self) -> Incarnation {
        self.members[self.own_index].incarnation
    }

    /// Takes the oldest change that was not taken yet.
    pub fn next_change(&mut self) -> Option<MembershipChange> {
        self.changes.pop_front()
    }

    /// When [`Membership::on_timer`] is to be called next.
    pub fn next_wakeup(&self) -> Micros {
        self.next_step_at
    }
}
