//! A datagram that has come: what it tells of its sender, and what it asks or answers.

use super::known_leader::{KnownLeader, ELSEWHERE};
use super::{LeaderElection, LeaseProof, Stage};
use crate::leadership::voter::{VoteRejection, VoteRequest};
use crate::leadership::wire::{Datagram, Kind};
use crate::leadership::{shorter, LeaseHolder};
use crate::protocol::{Micros, Transmit};

impl LeaderElection {
    /// A datagram has come.
    pub fn on_datagram(&mut self, now: Micros, bytes: &[u8], sends: &mut Vec<Transmit>) {
        let Some(datagram) = Datagram::decode(bytes) else {
            self.dropped.0 += 1;
            return;
        };
        let from = datagram.from;
        if !self.peers.contains_key(&from) {
            self.dropped.1 += 1;
        }
        if self.is_hushed() {
            return;
        }
        self.budget.fill(now);
        let Some(peer) = self.peers.get_mut(&from) else {
            return;
        };
        if peer.incarnation != datagram.incarnation {
            (peer.incarnation, peer.tick) = (datagram.incarnation, 0);
        }
        if datagram.tick >= peer.tick {
            (peer.tick, peer.heard) = (datagram.tick, now);
        }
        let (theirs, before) = (datagram.peer_sets, self.peer_sets.told());
        peer.seasoned = theirs.seasoned;
        peer.changing =
            Some(theirs.now).filter(|now| theirs.base == Some(before.now) && *now != before.now);
        self.peer_sets.hear(theirs);
        self.rebind(now, before, sends);
        if self.peer_sets.is_elsewhere(theirs) {
            self.elsewhere_until = now + ELSEWHERE * self.lease;
        }
        if datagram.epoch > self.fence.0 {
            self.fence = (datagram.epoch, None);
            self.was_behind(now, datagram.epoch, sends);
        }
        if let (Stage::Holding { .. }, Some(told)) = (&self.stage, self.told_before(now)) {
            self.give_back(now, told, sends);
        }
        let for_me = datagram.to_incarnation == self.me.incarnation;
        let holder = LeaseHolder {
            name: from,
            incarnation: datagram.incarnation,
        };
        let question = |epoch, lease_ms| VoteRequest {
            holder,
            epoch,
            lease: Micros::from(lease_ms) * 1000,
            peer_sets: theirs,
        };
        let answer = |number, outcome: Result<(), VoteRejection>, yes: fn(u32) -> Kind| {
            outcome.map_or_else(|why| Kind::Refuse(number, why), |()| yes(number))
        };
        match datagram.kind {
            Kind::Prepare {
                number,
                epoch,
                lease_ms,
            } => {
                let promised = self.promise(now, &question(epoch, lease_ms));
                self.put(now, from, answer(number, promised, Kind::Promise), sends);
            }
            Kind::Ask {
                number,
                epoch,
                lease_ms,
                until,
            } => {
                if let Some(until) = until {
                    let stamp = LeaseProof {
                        epoch,
                        to_incarnation: datagram.to_incarnation,
                        until,
                    };
                    self.hear_claim(now, from, stamp, sends);
                }
                let granted = self.grant(now, &question(epoch, lease_ms));
                self.put(now, from, answer(number, granted, Kind::Grant), sends);
            }
            Kind::Promise(number) if for_me => self.promised(now, from, number, sends),
            Kind::Grant(number) if for_me => self.granted(now, from, number, sends),
            Kind::Refuse(number, why) if for_me => self.was_refused(now, from, number, why, sends),
            Kind::Release { epoch, next } if for_me => self.released(now, holder, epoch, next),
            Kind::Who(number) => {
                let known = self.known(now);
                // What is told is what is left, cut to whole milliseconds.
                let told = |claim: KnownLeader| {
                    (
                        claim.leader,
                        claim.epoch,
                        ((claim.until - now) / 1000) as u32,
                    )
                };
                self.put(
                    now,
                    from,
                    Kind::Leader {
                        number,
                        leader: known.map(told),
                    },
                    sends,
                );
            }
            Kind::Leader {
                number,
                leader: Some((leader, epoch, left)),
            } if for_me && number == self.who.0 => {
                let until = self.who.1 + shorter(Micros::from(left) * 1000);
                let (known, of) = self.fence;
                let later = epoch > known || epoch == known && of.is_none_or(|of| of == leader);
                if later && now < until && leader != self.me.name {
                    self.fence = (epoch, Some(leader));
                    self.teller = Some(from);
                    self.follow(
                        now,
                        KnownLeader {
                            leader,
                            epoch,
                            until,
                        },
                        sends,
                    );
                }
            }
            _ => {}
        }
        self.set_next(now);
    }
}
