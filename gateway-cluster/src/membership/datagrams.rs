//! What comes in: time, and datagrams.

use super::anti_entropy::COMPARE_PEER_SETS;
use super::healing::HEAL_STEPS;
use super::transmit::{Class, CLAIMS_ALONE, CLAIMS_BESIDE};
use super::updates::FEW;
use super::Membership;
use crate::precedence::started_at_ms;
use crate::protocol::{IndexedTransmit, Micros, PeerIndex};
use crate::wire::{Datagram, MessageKind, Update, UpdateStatus};

/// The step of all that is periodic, in parts of the probe period.
pub(super) const STEP: f64 = 0.1;
/// Steps from one probe of the successor on the ring to the next, from one of anybody to the next, and from one of a
/// gateway that is doubted weakly to the next.
const SUCCESSOR_STEPS: u64 = 15;
pub(super) const ANYBODY_STEPS: u64 = 40;
const AGAIN_STEPS: u64 = 10;
/// Probe periods for which pings carry marks after views were seen to differ.
const APART: f64 = 3.0;

impl Membership {
    /// The step is due, or past that.
    pub fn on_timer(&mut self, now: Micros, sends: &mut Vec<IndexedTransmit>) {
        self.look_at_clock(now);
        if now < self.next {
            return;
        }
        // Steps that were missed are not made up for.
        self.next = now + self.part(STEP);
        self.step += 1;
        self.go_on_with_probes(now, sends);
        self.go_on_with_relays(now, sends);
        self.look_for_silence(now);
        self.confirm_doubts(now, sends);
        self.end_doubts(now);
        for place in std::mem::take(&mut self.inform) {
            if self.members[place].doubt.is_some() {
                let number = self.next_number();
                self.put(
                    now,
                    place,
                    MessageKind::Ping(number),
                    vec![place],
                    Class::Question,
                    sends,
                );
            }
        }
        if self.step % SUCCESSOR_STEPS == 0 {
            let successor = self.sound().next();
            if let Some(place) = successor {
                self.begin_probe(now, place, sends);
            }
        }
        if self.step % AGAIN_STEPS == 0 {
            // Where the budget did not allow it at once, one that is doubted is asked again now.
            let asked =
                |place: &PeerIndex| self.probes.values().any(|probe| probe.target == *place);
            let place = (0..self.members.len())
                .find(|place| self.members[*place].is_weakly_doubted() && !asked(place));
            if let Some(place) = place {
                self.begin_probe(now, place, sends);
            }
        }
        if self.step % ANYBODY_STEPS == SUCCESSOR_STEPS / 2 {
            if let Some(place) = self.next_of_round() {
                self.begin_probe(now, place, sends);
            }
        }
        if self.step % HEAL_STEPS == 0 && (self.step < self.healing_until || self.is_its_turn()) {
            self.call_a_dead_one(now, sends);
        }
        let pressing = self
            .members
            .iter()
            .filter(|member| member.presses())
            .count();
        self.much = pressing > FEW;
        if self.much && now >= self.compared + self.part(self.compare_gap) {
            // What two differ in is told once; many claims sent to anybody would mostly be known there.
            if let Some(place) = self.anybody() {
                self.compare(now, place, sends);
            }
        } else if (1..=FEW).contains(&pressing) {
            if let Some(place) = self.anybody() {
                self.send(
                    now,
                    place,
                    MessageKind::Gossip,
                    CLAIMS_ALONE,
                    Class::News,
                    sends,
                );
            }
        }
    }

    /// A datagram has come.
    pub fn on_datagram(&mut self, now: Micros, bytes: &[u8], sends: &mut Vec<IndexedTransmit>) {
        self.look_at_clock(now);
        let Some(datagram) = Datagram::decode(bytes) else {
            self.dropped.malformed += 1;
            return;
        };
        let from = self.peers.index_of(datagram.from);
        let Some(from) = from.filter(|from| *from != self.me) else {
            self.dropped.unknown += 1;
            return;
        };
        if self.left {
            return;
        }
        let same_peers = datagram.peer_set_digest == self.peers.digest();
        let own = self.incarnation();
        if let MessageKind::PingReportedDead(_, incarnation) = datagram.kind {
            self.hear_of_self(now, incarnation, UpdateStatus::Dead);
        }
        self.end_silence(now);
        self.members[from].heard = Some(now);
        self.members[from].peers = Some(datagram.peer_set_digest);
        self.members[from].behind = !self.hear(
            now,
            from,
            from,
            datagram.incarnation,
            UpdateStatus::Alive,
            sends,
        );
        if started_at_ms(datagram.incarnation) < started_at_ms(self.members[from].incarnation) {
            self.dropped.stale += 1;
        }
        self.clear_own_doubt(now, from);
        let mut behind = Vec::new();
        for Update {
            peer,
            incarnation,
            status,
        } in &datagram.updates
        {
            let place = match datagram.by_index {
                true if same_peers => {
                    Some(*peer as PeerIndex).filter(|place| *place < self.members.len())
                }
                true => None,
                false => self.peers.index_of(*peer),
            };
            // Of names that this peer set does not have nothing is kept.
            let Some(place) = place else { continue };
            if !self.hear(now, from, place, *incarnation, *status, sends) {
                behind.push(place);
            }
        }
        if self.incarnation() > own
            && !matches!(
                datagram.kind,
                MessageKind::Ping(_) | MessageKind::PingReportedDead(..)
            )
        {
            // Who holds it for doubted or dead is the first to hear that it is not.
            self.send(
                now,
                from,
                MessageKind::Gossip,
                CLAIMS_BESIDE,
                Class::Answer,
                sends,
            );
        }
        let theirs = datagram.summary.filter(|_| same_peers);
        let differs = theirs
            .as_ref()
            .map(|theirs| self.what_differs(now, from, theirs));
        match datagram.kind {
            MessageKind::Ping(number) | MessageKind::PingReportedDead(number, _) => {
                match &differs {
                    Some(differs) => {
                        self.tell(now, from, MessageKind::Ack(number), differs, false, sends)
                    }
                    None => {
                        self.send(
                            now,
                            from,
                            MessageKind::Ack(number),
                            CLAIMS_BESIDE,
                            Class::Answer,
                            sends,
                        );
                    }
                }
            }
            MessageKind::Ack(number) => self.answered(now, number, sends),
            MessageKind::PingRequest(number, target) => self.help(now, from, number, target, sends),
            MessageKind::IndirectAck(number) => {
                self.probes.remove(&number);
            }
            MessageKind::IndirectNack(number) => {
                if let Some(probe) = self.probes.get_mut(&number) {
                    probe.missed += 1;
                }
            }
            MessageKind::SyncRequest => {
                let differs = match differs {
                    Some(differs) if !differs.tells.is_empty() || differs.lacks => differs,
                    _ => self.all_gone(),
                };
                self.tell(now, from, MessageKind::SyncUpdates, &differs, true, sends);
                return;
            }
            // Where the sender is behind it is told so, in turn.
            MessageKind::SyncUpdates => {
                self.tell_newer(now, from, behind, MessageKind::Gossip, sends);
                if let Some(differs) = differs {
                    self.tell(now, from, MessageKind::SyncUpdates, &differs, false, sends);
                }
                return;
            }
            MessageKind::ConfirmRequest(number) => self.tell_newer(
                now,
                from,
                behind,
                MessageKind::ConfirmResponse(number),
                sends,
            ),
            MessageKind::ConfirmResponse(number) => {
                for place in self.confirming.remove(&number).unwrap_or_default() {
                    if let Some(doubt) = &mut self.members[place].doubt {
                        doubt.confirmed = true;
                    }
                }
            }
            MessageKind::Gossip => {}
        }
        let periods = if same_peers {
            self.compare_gap
        } else {
            COMPARE_PEER_SETS
        };
        let apart = datagram.view_digest != self.inner_digest() || !same_peers;
        if apart && same_peers {
            self.apart_until = now + self.part(APART);
        }
        if apart && !self.much && now >= self.compared + self.part(periods) {
            self.compare(now, from, sends);
        }
    }
}
