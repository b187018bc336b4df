//! Handles received datagrams: what the header says of the sender, then the message.

use super::known_leader::{KnownLeader, PEER_SET_WAIT_LEASES};
use super::{LatestEpoch, LeaderElection, LeaseProof, Stage};
use crate::leadership::configuration::ConfigurationReport;
use crate::leadership::voter::{VoteRejection, VoteRequest};
use crate::leadership::wire::{Datagram, Kind};
use crate::leadership::{shorter, LeaseHolder};
use crate::peers::PeerId;
use crate::protocol::{Micros, Transmit};

impl LeaderElection {
    /// Handles a received datagram. Malformed ones and those of unknown senders are counted and dropped.
    pub fn on_datagram(&mut self, now: Micros, bytes: &[u8], sends: &mut Vec<Transmit>) {
        let Some(datagram) = Datagram::decode(bytes) else {
            self.dropped.0 += 1;
            return;
        };
        let from = datagram.from;
        if !self.peers.contains_key(&from) {
            self.dropped.1 += 1;
        }
        if self.is_suspended() {
            return;
        }
        self.budget.fill(now);
        if !self.peers.contains_key(&from) {
            return;
        }
        self.on_sender(now, &datagram);
        self.on_peer_sets(now, datagram.peer_sets, sends);
        if datagram.epoch > self.latest_epoch.epoch {
            self.latest_epoch = LatestEpoch {
                epoch: datagram.epoch,
                leader: None,
            };
            self.on_later_epoch(now, datagram.epoch, sends);
        }
        let successor = self.peer_with_next_peer_set(now);
        if let (Stage::Leading { .. }, Some(successor)) = (&self.stage, successor) {
            self.release_leadership(now, successor, sends);
        }
        self.on_message(now, &datagram, sends);
        self.update_next_wakeup(now);
    }

    /// Updates the state of the sender. A datagram that was overtaken by a later one does not set the clock back.
    fn on_sender(&mut self, now: Micros, datagram: &Datagram) {
        let own_peer_set = self.peer_sets.report().current;
        let theirs = datagram.peer_sets;
        let Some(peer) = self.peers.get_mut(&datagram.from) else {
            return;
        };
        if peer.incarnation != datagram.incarnation {
            (peer.incarnation, peer.clock_us) = (datagram.incarnation, 0);
        }
        if datagram.tick >= peer.clock_us {
            (peer.clock_us, peer.last_received_at) = (datagram.tick, now);
        }
        peer.peer_set_in_use = theirs.in_use;
        let has_next = theirs.previous == Some(own_peer_set) && theirs.current != own_peer_set;
        peer.next_peer_set = has_next.then_some(theirs.current);
    }

    /// Takes over what the sender reports of its peer sets.
    fn on_peer_sets(
        &mut self,
        now: Micros,
        theirs: ConfigurationReport,
        sends: &mut Vec<Transmit>,
    ) {
        let before = self.peer_sets.report();
        self.peer_sets.on_report(theirs);
        self.on_configuration_change(now, before, sends);
        if self.peer_sets.must_wait_for(theirs) {
            self.peer_set_wait_until = now + PEER_SET_WAIT_LEASES * self.lease;
        }
    }

    fn on_message(&mut self, now: Micros, datagram: &Datagram, sends: &mut Vec<Transmit>) {
        let from = datagram.from;
        let is_for_this_incarnation = datagram.to_incarnation == self.own.incarnation;
        match datagram.kind {
            Kind::Prepare {
                number,
                epoch,
                lease_ms,
            } => {
                let request = request_of(datagram, epoch, lease_ms);
                let outcome = self.promise_to(now, &request);
                self.send(now, from, answer(number, outcome, Kind::Promise), sends);
            }
            Kind::Ask {
                number,
                epoch,
                lease_ms,
                until,
            } => {
                if let Some(until) = until {
                    let proof = LeaseProof {
                        epoch,
                        to_incarnation: datagram.to_incarnation,
                        until,
                    };
                    self.on_leader_announcement(now, from, proof, sends);
                }
                let request = request_of(datagram, epoch, lease_ms);
                let outcome = self.vote_for(now, &request);
                self.send(now, from, answer(number, outcome, Kind::Vote), sends);
            }
            Kind::QueryLeader(number) => self.send_leader_report(now, from, number, sends),
            Kind::Promise(number) if is_for_this_incarnation => {
                self.on_promise(now, from, number, sends);
            }
            Kind::Vote(number) if is_for_this_incarnation => {
                self.on_vote(now, from, number, sends);
            }
            Kind::Reject(number, reason) if is_for_this_incarnation => {
                self.on_rejection(now, from, number, reason, sends);
            }
            Kind::Release { epoch, next } if is_for_this_incarnation => {
                self.on_release(now, holder_of(datagram), epoch, next);
            }
            Kind::LeaderReport {
                number,
                leader: Some((leader, epoch, left_ms)),
            } if is_for_this_incarnation && number == self.leader_query.number => {
                let until = self.leader_query.sent_at + shorter(Micros::from(left_ms) * 1000);
                let leader = KnownLeader {
                    leader,
                    epoch,
                    until,
                };
                self.on_leader_report(now, from, leader, sends);
            }
            _ => {}
        }
    }

    /// Answers a leader query.
    fn send_leader_report(
        &mut self,
        now: Micros,
        to: PeerId,
        number: u32,
        sends: &mut Vec<Transmit>,
    ) {
        let leader = self.known_leader(now).map(|known| {
            // The remaining time, truncated to whole milliseconds.
            let left_ms = ((known.until - now) / 1000) as u32;
            (known.leader, known.epoch, left_ms)
        });
        self.send(now, to, Kind::LeaderReport { number, leader }, sends);
    }

    /// Handles the answer to the last leader query.
    fn on_leader_report(
        &mut self,
        now: Micros,
        from: PeerId,
        reported: KnownLeader,
        sends: &mut Vec<Transmit>,
    ) {
        let LatestEpoch {
            epoch: known_epoch,
            leader: known_leader,
        } = self.latest_epoch;
        let is_current = reported.epoch > known_epoch
            || reported.epoch == known_epoch
                && known_leader.is_none_or(|known| known == reported.leader);
        if is_current && now < reported.until && reported.leader != self.own.name {
            self.latest_epoch = LatestEpoch {
                epoch: reported.epoch,
                leader: Some(reported.leader),
            };
            self.last_leader_reporter = Some(from);
            self.follow(now, reported, sends);
        }
    }
}

fn holder_of(datagram: &Datagram) -> LeaseHolder {
    LeaseHolder {
        name: datagram.from,
        incarnation: datagram.incarnation,
    }
}

fn request_of(datagram: &Datagram, epoch: u64, lease_ms: u32) -> VoteRequest {
    VoteRequest {
        holder: holder_of(datagram),
        epoch,
        lease: Micros::from(lease_ms) * 1000,
        peer_sets: datagram.peer_sets,
    }
}

/// The answer to a request: `accepted` with its number, or the rejection.
fn answer(number: u32, outcome: Result<(), VoteRejection>, accepted: fn(u32) -> Kind) -> Kind {
    match outcome {
        Ok(()) => accepted(number),
        Err(reason) => Kind::Reject(number, reason),
    }
}
