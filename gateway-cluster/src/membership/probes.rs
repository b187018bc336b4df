//! Who is asked whether it lives, by whom, and what is made of the answers.

use super::member::STRONG;
use super::transmit::{Class, CLAIMS_BESIDE};
use super::Membership;
use crate::hash::mix;
use crate::peers::{PeerId, PeerSet};
use crate::protocol::{IndexedTransmit, Micros, PeerIndex, PeerState};
use crate::wire::{Incarnation, MessageKind};
use rand::seq::SliceRandom;
use rand::Rng;

/// Parts of the probe period: a second and a third ping, the call for help, a helper's second ping and its report, and
/// the verdict of a probe.
const SECOND_PING: f64 = 0.2;
const THIRD_PING: f64 = 0.36;
const HELP: f64 = 0.52;
const HELPER_SECOND: f64 = 0.16;
const HELPER_REPORT: f64 = 0.56;
const VERDICT: f64 = 1.5;
/// Others that are asked to help. All of them have to miss a gateway for its doubt to be a strong one at once.
pub(super) const HELPERS: usize = 3;
/// While there is much to tell there are fewer, and each question is asked once.
const HELPERS_MUCH: usize = 2;
/// They are drawn from so many that were heard last.
const HEARD_LAST: usize = 8;
/// Reports that may be owed to others.
const MOST_RELAYS: usize = 64;

#[derive(Debug, Clone)]
pub(super) struct Probe {
    pub(super) target: PeerIndex,
    pub(super) began: Micros,
    pub(super) pinged: u8,
    /// Helpers there were to ask, and those that report a miss.
    pub(super) asked: usize,
    pub(super) missed: usize,
    /// Whether others are asked for help.
    pub(super) help: bool,
    /// It was begun as somebody claims the target to be dead.
    pub(super) claimed: bool,
}

#[derive(Debug, Clone)]
pub(super) struct Relay {
    asker: PeerIndex,
    number: u32,
    target: PeerIndex,
    began: Micros,
    pinged: u8,
}

/// The others in the order of the ring, beginning behind this gateway.
pub(super) fn ring(peers: &PeerSet, me: PeerIndex) -> Vec<PeerIndex> {
    let mut ring: Vec<PeerIndex> = (0..peers.len()).collect();
    ring.sort_by_key(|place| mix(1, u64::from(peers.ids()[*place])));
    let own = ring.iter().position(|place| *place == me).unwrap_or(0);
    ring.rotate_left(own);
    ring.into_iter().skip(1).collect()
}

impl Membership {
    pub(super) fn begin_probe(
        &mut self,
        now: Micros,
        target: PeerIndex,
        sends: &mut Vec<IndexedTransmit>,
    ) {
        if self.members[target].dead || self.probes.values().any(|probe| probe.target == target) {
            return;
        }
        let number = self.next_number();
        // What was never sent has no answer to miss.
        let claims = if self.members[target].doubt.is_some() {
            0
        } else {
            CLAIMS_BESIDE
        };
        if self.send(
            now,
            target,
            MessageKind::Ping(number),
            claims,
            Class::Question,
            sends,
        ) {
            // While there is much to tell, one that is doubted already is asked again plainly.
            let help = !self.much || self.members[target].doubt.is_none();
            self.probes.insert(
                number,
                Probe {
                    target,
                    began: now,
                    pinged: 1,
                    asked: 0,
                    missed: 0,
                    help,
                    claimed: false,
                },
            );
        }
    }

    /// Tells a gateway that it is held for dead somewhere. No answer makes the claim good.
    pub(super) fn ask_whether_dead(
        &mut self,
        now: Micros,
        target: PeerIndex,
        claimed: Incarnation,
        sends: &mut Vec<IndexedTransmit>,
    ) {
        if self.probes.values().any(|probe| probe.target == target) {
            return;
        }
        let number = self.next_number();
        let kind = MessageKind::PingReportedDead(number, claimed);
        if self.put(now, target, kind, Vec::new(), Class::News, sends) {
            let probe = Probe {
                target,
                began: now,
                pinged: 1,
                asked: 0,
                missed: 0,
                help: false,
                claimed: true,
            };
            self.probes.insert(number, probe);
        }
    }

    pub(super) fn go_on_with_probes(&mut self, now: Micros, sends: &mut Vec<IndexedTransmit>) {
        let numbers: Vec<u32> = self.probes.keys().copied().collect();
        for number in numbers {
            let Some(Probe {
                target,
                began,
                pinged,
                asked,
                missed,
                help,
                claimed,
            }) = self.probes.get(&number).cloned()
            else {
                continue;
            };
            let age = now - began;
            let stage = match age {
                age if age >= self.part(HELP) && help => 4,
                age if age >= self.part(THIRD_PING) => 3,
                age if age >= self.part(SECOND_PING) => 2,
                _ => 1,
            };
            if let Some(probe) = self.probes.get_mut(&number) {
                probe.pinged = stage;
            }
            if age >= self.part(VERDICT) {
                self.probes.remove(&number);
                let found = match missed {
                    _ if claimed => 2,
                    missed if asked > 0 && missed >= asked => STRONG,
                    missed => missed as u8,
                };
                let before = self.members[target].is_strongly_doubted();
                self.doubt(now, target, found);
                // It is told that it is doubted, and asked again.
                if !before {
                    self.begin_probe(now, target, sends);
                }
            } else if stage == 4 && pinged < 4 {
                let id = self.peers.ids()[target];
                let helpers = self.helpers(target);
                if let Some(probe) = self.probes.get_mut(&number) {
                    probe.asked = helpers.len();
                }
                // Where the budget is spent fewer are asked, and the doubt is a weak one.
                for helper in helpers {
                    self.send(
                        now,
                        helper,
                        MessageKind::PingRequest(number, id),
                        CLAIMS_BESIDE,
                        Class::Question,
                        sends,
                    );
                }
            } else if matches!(stage, 2 | 3) && pinged < stage && !self.much {
                // Claims are not wasted on one that may be gone.
                self.send(
                    now,
                    target,
                    MessageKind::Ping(number),
                    0,
                    Class::Question,
                    sends,
                );
            }
        }
    }

    pub(super) fn help(
        &mut self,
        now: Micros,
        asker: PeerIndex,
        number: u32,
        target: PeerId,
        sends: &mut Vec<IndexedTransmit>,
    ) {
        let Some(target) = self.peers.index_of(target) else {
            return;
        };
        if target == self.me {
            // It is here: nothing could answer better.
            self.send(
                now,
                asker,
                MessageKind::IndirectAck(number),
                CLAIMS_BESIDE,
                Class::Answer,
                sends,
            );
        } else if self.relays.len() < MOST_RELAYS {
            let own = self.next_number();
            self.relays.insert(
                own,
                Relay {
                    asker,
                    number,
                    target,
                    began: now,
                    pinged: 1,
                },
            );
            self.send(
                now,
                target,
                MessageKind::Ping(own),
                0,
                Class::Question,
                sends,
            );
        }
    }

    pub(super) fn go_on_with_relays(&mut self, now: Micros, sends: &mut Vec<IndexedTransmit>) {
        let numbers: Vec<u32> = self.relays.keys().copied().collect();
        for own in numbers {
            let Some(Relay {
                asker,
                number,
                target,
                began,
                pinged,
            }) = self.relays.get(&own).cloned()
            else {
                continue;
            };
            if now - began >= self.part(HELPER_REPORT) {
                self.relays.remove(&own);
                self.send(
                    now,
                    asker,
                    MessageKind::IndirectNack(number),
                    CLAIMS_BESIDE,
                    Class::Answer,
                    sends,
                );
            } else if now - began >= self.part(HELPER_SECOND) && pinged < 2 && !self.much {
                if let Some(relay) = self.relays.get_mut(&own) {
                    relay.pinged = 2;
                }
                self.send(
                    now,
                    target,
                    MessageKind::Ping(own),
                    0,
                    Class::Question,
                    sends,
                );
            }
        }
    }

    pub(super) fn answered(&mut self, now: Micros, number: u32, sends: &mut Vec<IndexedTransmit>) {
        if self.probes.remove(&number).is_some() {
            self.health = self.health.saturating_sub(1);
        } else if let Some(relay) = self.relays.remove(&number) {
            self.send(
                now,
                relay.asker,
                MessageKind::IndirectAck(relay.number),
                CLAIMS_BESIDE,
                Class::Answer,
                sends,
            );
        }
    }

    pub(super) fn next_of_round(&mut self) -> Option<PeerIndex> {
        loop {
            if self.round.is_empty() {
                self.round = self
                    .ring
                    .iter()
                    .copied()
                    .filter(|place| !self.members[*place].dead)
                    .collect();
                self.round.shuffle(&mut self.rng);
            }
            let place = self.round.pop()?;
            if !self.members[place].dead {
                return Some(place);
            }
        }
    }

    /// The others that are neither dead nor doubted, in the order of the ring.
    pub(super) fn sound(&self) -> impl Iterator<Item = PeerIndex> + '_ {
        self.ring
            .iter()
            .copied()
            .filter(|place| self.members[*place].state() == PeerState::Alive)
    }

    /// One of them.
    pub(super) fn anybody(&mut self) -> Option<PeerIndex> {
        let alive: Vec<PeerIndex> = self.sound().collect();
        (!alive.is_empty()).then(|| alive[self.rng.random_range(0..alive.len())])
    }

    pub(super) fn helpers(&mut self, target: PeerIndex) -> Vec<PeerIndex> {
        let mut able: Vec<PeerIndex> = self.sound().filter(|place| *place != target).collect();
        // Those that were heard last can be reached most surely, also where a part of the cluster is cut off just now.
        able.sort_by_key(|place| std::cmp::Reverse(self.members[*place].heard));
        able.truncate(HEARD_LAST);
        let most = if self.much { HELPERS_MUCH } else { HELPERS };
        let (some, _) = able.partial_shuffle(&mut self.rng, most);
        some.to_vec()
    }
}
