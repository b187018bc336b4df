//! SWIM's failure detector: direct probes with retries, indirect probes through helpers, and the choice of targets.
//!
//! Targets are the successor on a hash ring, peers in random order (each once per round), and suspected peers. A probe
//! that times out raises a suspicion (`suspicion`); its confidence is the number of helpers that missed the target too.

use super::member::GOSSIPED_CONFIDENCE;
use super::transmit::{Priority, MAX_PIGGYBACKED_UPDATES};
use super::Membership;
use crate::hash::mix;
use crate::peers::{PeerId, PeerSet};
use crate::protocol::{IndexedTransmit, Micros, PeerIndex, PeerState};
use crate::wire::{Incarnation, MessageKind};
use rand::seq::SliceRandom;
use rand::Rng;

/// Ages of a probe, in probe periods, at which it sends its second and third ping and requests indirect probes.
const SECOND_PING_PERIODS: f64 = 0.2;
const THIRD_PING_PERIODS: f64 = 0.36;
const INDIRECT_PROBE_PERIODS: f64 = 0.52;
/// Ages of an indirect probe, in probe periods, at which the helper sends its second ping and reports a miss.
const HELPER_SECOND_PING_PERIODS: f64 = 0.16;
const HELPER_REPORT_PERIODS: f64 = 0.56;
/// Age of a probe, in probe periods, at which it has failed.
const PROBE_TIMEOUT_PERIODS: f64 = 1.5;
/// Confidence of a suspicion if a peer that is reported dead does not answer.
const REPORTED_DEAD_CONFIDENCE: u8 = 2;
/// Number of helpers of an indirect probe. If all of them miss the target, the suspicion is gossiped at once.
pub(super) const HELPERS: usize = 3;
/// The same while the update backlog is large; pings are not repeated then.
const HELPERS_UNDER_LOAD: usize = 2;
/// Helpers are drawn from this many peers, those with the latest datagrams.
const HELPER_CANDIDATES: usize = 8;
/// Maximum number of indirect probes in progress on behalf of others.
const MAX_INDIRECT_PROBES: usize = 64;

/// Progress of a direct probe.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum ProbeStage {
    FirstPing,
    SecondPing,
    ThirdPing,
    IndirectProbes,
}

/// A health check of a peer by this gateway.
#[derive(Debug, Clone)]
pub(super) struct Probe {
    target: PeerIndex,
    started_at: Micros,
    /// The last stage that was carried out.
    stage: ProbeStage,
    /// Number of helpers, and of those that reported a miss.
    helpers_requested: usize,
    pub(super) helpers_missed: usize,
    /// Whether indirect probes are requested.
    use_helpers: bool,
    /// The probe verifies another gateway's report that the target is dead.
    pub(super) target_reported_dead: bool,
}

impl Probe {
    /// A probe after its first ping, without helpers.
    fn new(now: Micros, target: PeerIndex) -> Probe {
        Probe {
            target,
            started_at: now,
            stage: ProbeStage::FirstPing,
            helpers_requested: 0,
            helpers_missed: 0,
            use_helpers: false,
            target_reported_dead: false,
        }
    }
}

/// A health check on behalf of another gateway.
#[derive(Debug, Clone)]
pub(super) struct IndirectProbe {
    requester: PeerIndex,
    /// Number of the requester's probe.
    number: u32,
    target: PeerIndex,
    started_at: Micros,
    /// Whether the second ping was sent.
    is_repeated: bool,
}

/// The other gateways in the order of a hash ring, from this gateway's successor on.
pub(super) fn ring(peers: &PeerSet, own_index: PeerIndex) -> Vec<PeerIndex> {
    let mut ring: Vec<PeerIndex> = (0..peers.len()).collect();
    ring.sort_by_key(|index| mix(1, u64::from(peers.ids()[*index])));
    let own_position = ring
        .iter()
        .position(|index| *index == own_index)
        .unwrap_or(0);
    ring.rotate_left(own_position);
    ring.into_iter().skip(1).collect()
}

impl Membership {
    /// Starts a health check of a peer, unless it is dead or one is in progress. If the budget does not allow the ping, no
    /// probe starts: an unsent ping cannot time out.
    pub(super) fn start_probe(
        &mut self,
        now: Micros,
        target: PeerIndex,
        sends: &mut Vec<IndexedTransmit>,
    ) {
        if self.members[target].dead || self.is_probed(target) {
            return;
        }
        let number = self.next_number();
        let ping = MessageKind::Ping(number);
        let is_suspect = self.members[target].suspicion.is_some();
        let max_updates = if is_suspect {
            0
        } else {
            MAX_PIGGYBACKED_UPDATES
        };
        if self.send(now, target, ping, max_updates, Priority::Request, sends) {
            // While the update backlog is large, suspected peers are probed without helpers.
            let use_helpers = !self.is_update_backlog_large || !is_suspect;
            let probe = Probe {
                use_helpers,
                ..Probe::new(now, target)
            };
            self.probes.insert(number, probe);
        }
    }

    /// Whether a direct probe of this peer is in progress.
    pub(super) fn is_probed(&self, target: PeerIndex) -> bool {
        self.probes.values().any(|probe| probe.target == target)
    }

    /// Probes a peer that another gateway reports as dead. The ping contains the report, so that the peer can refute it; if
    /// the probe fails, the report is taken for correct.
    pub(super) fn probe_reported_dead(
        &mut self,
        now: Micros,
        target: PeerIndex,
        reported: Incarnation,
        sends: &mut Vec<IndexedTransmit>,
    ) {
        if self.is_probed(target) {
            return;
        }
        let number = self.next_number();
        let kind = MessageKind::PingReportedDead(number, reported);
        if self.send_updates(now, target, kind, Vec::new(), Priority::Gossip, sends) {
            let probe = Probe {
                target_reported_dead: true,
                ..Probe::new(now, target)
            };
            self.probes.insert(number, probe);
        }
    }

    /// Advances each direct probe to the stage that is due at its age.
    pub(super) fn check_probes(&mut self, now: Micros, sends: &mut Vec<IndexedTransmit>) {
        let numbers: Vec<u32> = self.probes.keys().copied().collect();
        for number in numbers {
            let Some(probe) = self.probes.get(&number).cloned() else {
                continue;
            };
            let age = now - probe.started_at;
            if age >= self.probe_periods(PROBE_TIMEOUT_PERIODS) {
                self.probes.remove(&number);
                self.on_probe_timeout(now, &probe, sends);
                continue;
            }
            let stage = self.probe_stage(age, probe.use_helpers);
            if stage <= probe.stage {
                continue;
            }
            if let Some(probe) = self.probes.get_mut(&number) {
                probe.stage = stage;
            }
            if stage == ProbeStage::IndirectProbes {
                self.request_indirect_probes(now, number, probe.target, sends);
            } else if !self.is_update_backlog_large {
                // Repeated pings carry no updates: the target may be dead.
                let ping = MessageKind::Ping(number);
                self.send(now, probe.target, ping, 0, Priority::Request, sends);
            }
        }
    }

    /// The stage of a probe at this age.
    fn probe_stage(&self, age: Micros, use_helpers: bool) -> ProbeStage {
        if use_helpers && age >= self.probe_periods(INDIRECT_PROBE_PERIODS) {
            ProbeStage::IndirectProbes
        } else if age >= self.probe_periods(THIRD_PING_PERIODS) {
            ProbeStage::ThirdPing
        } else if age >= self.probe_periods(SECOND_PING_PERIODS) {
            ProbeStage::SecondPing
        } else {
            ProbeStage::FirstPing
        }
    }

    /// Handles a probe without an answer: suspects the target, and probes it again unless the suspicion was gossiped before.
    fn on_probe_timeout(&mut self, now: Micros, probe: &Probe, sends: &mut Vec<IndexedTransmit>) {
        let all_helpers_missed =
            probe.helpers_requested > 0 && probe.helpers_missed >= probe.helpers_requested;
        let confidence = if probe.target_reported_dead {
            REPORTED_DEAD_CONFIDENCE
        } else if all_helpers_missed {
            GOSSIPED_CONFIDENCE
        } else {
            probe.helpers_missed as u8
        };
        let was_gossiped = self.members[probe.target].has_gossiped_suspicion();
        self.on_failed_probe(now, probe.target, confidence);
        // The next ping carries the suspicion, so that the target can refute it.
        if !was_gossiped {
            self.start_probe(now, probe.target, sends);
        }
    }

    /// Requests helpers to probe the target of a probe.
    fn request_indirect_probes(
        &mut self,
        now: Micros,
        number: u32,
        target: PeerIndex,
        sends: &mut Vec<IndexedTransmit>,
    ) {
        let id = self.peers.ids()[target];
        let helpers = self.choose_helpers(target);
        if let Some(probe) = self.probes.get_mut(&number) {
            probe.helpers_requested = helpers.len();
        }
        // With little budget fewer helpers receive the request, and the suspicion has a lower confidence.
        for helper in helpers {
            self.send(
                now,
                helper,
                MessageKind::PingRequest(number, id),
                MAX_PIGGYBACKED_UPDATES,
                Priority::Request,
                sends,
            );
        }
    }

    /// Handles a ping request: starts an indirect probe of the target.
    pub(super) fn on_ping_request(
        &mut self,
        now: Micros,
        requester: PeerIndex,
        number: u32,
        target: PeerId,
        sends: &mut Vec<IndexedTransmit>,
    ) {
        let Some(target) = self.peers.index_of(target) else {
            return;
        };
        if target == self.own_index {
            // This gateway is the target itself.
            self.send(
                now,
                requester,
                MessageKind::IndirectAck(number),
                MAX_PIGGYBACKED_UPDATES,
                Priority::Answer,
                sends,
            );
        } else if self.indirect_probes.len() < MAX_INDIRECT_PROBES {
            let own_number = self.next_number();
            self.indirect_probes.insert(
                own_number,
                IndirectProbe {
                    requester,
                    number,
                    target,
                    started_at: now,
                    is_repeated: false,
                },
            );
            self.send(
                now,
                target,
                MessageKind::Ping(own_number),
                0,
                Priority::Request,
                sends,
            );
        }
    }

    /// Repeats the pings of indirect probes and reports those that timed out.
    pub(super) fn check_indirect_probes(&mut self, now: Micros, sends: &mut Vec<IndexedTransmit>) {
        let numbers: Vec<u32> = self.indirect_probes.keys().copied().collect();
        for own_number in numbers {
            let Some(IndirectProbe {
                requester,
                number,
                target,
                started_at,
                is_repeated,
            }) = self.indirect_probes.get(&own_number).cloned()
            else {
                continue;
            };
            if now - started_at >= self.probe_periods(HELPER_REPORT_PERIODS) {
                self.indirect_probes.remove(&own_number);
                self.send(
                    now,
                    requester,
                    MessageKind::IndirectNack(number),
                    MAX_PIGGYBACKED_UPDATES,
                    Priority::Answer,
                    sends,
                );
            } else if now - started_at >= self.probe_periods(HELPER_SECOND_PING_PERIODS)
                && !is_repeated
                && !self.is_update_backlog_large
            {
                if let Some(indirect_probe) = self.indirect_probes.get_mut(&own_number) {
                    indirect_probe.is_repeated = true;
                }
                self.send(
                    now,
                    target,
                    MessageKind::Ping(own_number),
                    0,
                    Priority::Request,
                    sends,
                );
            }
        }
    }

    /// Handles an ack of a direct probe, or reports that of an indirect probe to its requester.
    pub(super) fn on_ack(&mut self, now: Micros, number: u32, sends: &mut Vec<IndexedTransmit>) {
        if self.probes.remove(&number).is_some() {
            self.local_health_score = self.local_health_score.saturating_sub(1);
        } else if let Some(indirect_probe) = self.indirect_probes.remove(&number) {
            self.send(
                now,
                indirect_probe.requester,
                MessageKind::IndirectAck(indirect_probe.number),
                MAX_PIGGYBACKED_UPDATES,
                Priority::Answer,
                sends,
            );
        }
    }

    /// The next target of the random probes. Each round visits all peers that are not dead in a new random order.
    pub(super) fn next_random_target(&mut self) -> Option<PeerIndex> {
        loop {
            if self.probe_round.is_empty() {
                self.probe_round = self
                    .ring
                    .iter()
                    .copied()
                    .filter(|index| !self.members[*index].dead)
                    .collect();
                self.probe_round.shuffle(&mut self.rng);
            }
            let index = self.probe_round.pop()?;
            if !self.members[index].dead {
                return Some(index);
            }
        }
    }

    /// The other gateways that are neither dead nor suspected, in the order of the ring.
    pub(super) fn alive_peers(&self) -> impl Iterator<Item = PeerIndex> + '_ {
        self.ring
            .iter()
            .copied()
            .filter(|index| self.members[*index].state() == PeerState::Alive)
    }

    /// A random one of the alive peers.
    pub(super) fn random_alive_peer(&mut self) -> Option<PeerIndex> {
        let alive: Vec<PeerIndex> = self.alive_peers().collect();
        (!alive.is_empty()).then(|| alive[self.rng.random_range(0..alive.len())])
    }

    /// Random alive peers, other than the target, to run indirect probes or to confirm suspicions.
    pub(super) fn choose_helpers(&mut self, target: PeerIndex) -> Vec<PeerIndex> {
        let mut candidates: Vec<PeerIndex> = self
            .alive_peers()
            .filter(|index| *index != target)
            .collect();
        // Peers with recent datagrams are probably reachable, also if a partition has just begun.
        candidates.sort_by_key(|index| std::cmp::Reverse(self.members[*index].last_received_at));
        candidates.truncate(HELPER_CANDIDATES);
        let count = if self.is_update_backlog_large {
            HELPERS_UNDER_LOAD
        } else {
            HELPERS
        };
        let (chosen, _) = candidates.partial_shuffle(&mut self.rng, count);
        chosen.to_vec()
    }
}
