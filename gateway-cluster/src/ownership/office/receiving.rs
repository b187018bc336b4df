//! A datagram that has come: what it tells of its sender, and what it asks or answers.

use super::owner::{Claim, ELSEWHERE};
use super::{Office, Send, Stage, Stamp};
use crate::engine::Micros;
use crate::ownership::grants::{Question, Refusal};
use crate::ownership::wire::{Datagram, Kind};
use crate::ownership::{shorter, Holder};

impl Office {
    /// A datagram has come.
    pub fn receive(&mut self, now: Micros, bytes: &[u8], sends: &mut Vec<Send>) {
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
        if peer.life != datagram.life {
            (peer.life, peer.tick) = (datagram.life, 0);
        }
        if datagram.tick >= peer.tick {
            (peer.tick, peer.heard) = (datagram.tick, now);
        }
        let (theirs, before) = (datagram.rosters, self.rosters.told());
        peer.seasoned = theirs.seasoned;
        peer.changing =
            Some(theirs.now).filter(|now| theirs.base == Some(before.now) && *now != before.now);
        self.rosters.hear(theirs);
        self.rebind(now, before, sends);
        if self.rosters.is_elsewhere(theirs) {
            self.elsewhere_until = now + ELSEWHERE * self.lease;
        }
        if datagram.epoch > self.fence.0 {
            self.fence = (datagram.epoch, None);
            self.was_behind(now, datagram.epoch, sends);
        }
        if let (Stage::Holding { .. }, Some(told)) = (&self.stage, self.told_before(now)) {
            self.give_back(now, told, sends);
        }
        let for_me = datagram.to_life == self.me.life;
        let holder = Holder {
            name: from,
            life: datagram.life,
        };
        let question = |epoch, lease_ms| Question {
            holder,
            epoch,
            lease: Micros::from(lease_ms) * 1000,
            rosters: theirs,
        };
        let answer = |number, outcome: Result<(), Refusal>, yes: fn(u32) -> Kind| {
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
                    let stamp = Stamp {
                        epoch,
                        to_life: datagram.to_life,
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
                let told = |claim: Claim| {
                    (
                        claim.owner,
                        claim.epoch,
                        ((claim.until - now) / 1000) as u32,
                    )
                };
                self.put(
                    now,
                    from,
                    Kind::Owner {
                        number,
                        owner: known.map(told),
                    },
                    sends,
                );
            }
            Kind::Owner {
                number,
                owner: Some((owner, epoch, left)),
            } if for_me && number == self.who.0 => {
                let until = self.who.1 + shorter(Micros::from(left) * 1000);
                let (known, of) = self.fence;
                let later = epoch > known || epoch == known && of.is_none_or(|of| of == owner);
                if later && now < until && owner != self.me.name {
                    self.fence = (epoch, Some(owner));
                    self.teller = Some(from);
                    self.follow(
                        now,
                        Claim {
                            owner,
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
