//! Handles received datagrams: what the header says of the sender, then the message.

use super::known_leader::{KnownLeader, PEER_SET_WAIT_LEASES};
use super::{LeaderElection, LeaseProof, Stage};
use crate::leadership::voter::{VoteRejection, VoteRequest};
use crate::leadership::wire::{Datagram, Kind};
use crate::leadership::{shorter, LeaseHolder};
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
        if self.is_hushed() {
            return;
        }
        self.budget.fill(now);
        let Some(peer) = self.peers.get_mut(&from) else {
            return;
        };
        if peer.incarnation != datagram.incarnation {
            (peer.incarnation, peer.clock_us) = (datagram.incarnation, 0);
        }
        if datagram.tick >= peer.clock_us {
            (peer.clock_us, peer.last_heard_at) = (datagram.tick, now);
        }
        let (theirs, before) = (datagram.peer_sets, self.peer_sets.told());
        peer.peer_set_in_use = theirs.in_use;
        peer.next_peer_set = Some(theirs.current)
            .filter(|now| theirs.previous == Some(before.current) && *now != before.current);
        self.peer_sets.on_report(theirs);
        self.on_configuration_change(now, before, sends);
        if self.peer_sets.must_wait_for(theirs) {
            self.peer_set_wait_until = now + PEER_SET_WAIT_LEASES * self.lease;
        }
        if datagram.epoch > self.latest_epoch.0 {
            self.latest_epoch = (datagram.epoch, None);
            self.on_later_epoch(now, datagram.epoch, sends);
        }
        if let (Stage::Leading { .. }, Some(told)) =
            (&self.stage, self.peer_with_next_peer_set(now))
        {
            self.release_leadership(now, told, sends);
        }
        let for_me = datagram.to_incarnation == self.own.incarnation;
        let holder = LeaseHolder {
            name: from,
            incarnation: datagram.incarnation,
        };
        let request = |epoch, lease_ms| VoteRequest {
            holder,
            epoch,
            lease: Micros::from(lease_ms) * 1000,
            peer_sets: theirs,
        };
        let answer = |number, outcome: Result<(), VoteRejection>, yes: fn(u32) -> Kind| {
            outcome.map_or_else(|why| Kind::Reject(number, why), |()| yes(number))
        };
        match datagram.kind {
            Kind::Prepare {
                number,
                epoch,
                lease_ms,
            } => {
                let promised = self.promise_to(now, &request(epoch, lease_ms));
                self.send(now, from, answer(number, promised, Kind::Promise), sends);
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
                    self.on_leader_announcement(now, from, stamp, sends);
                }
                let granted = self.vote_for(now, &request(epoch, lease_ms));
                self.send(now, from, answer(number, granted, Kind::Vote), sends);
            }
            Kind::Promise(number) if for_me => self.on_promise(now, from, number, sends),
            Kind::Vote(number) if for_me => self.on_vote(now, from, number, sends),
            Kind::Reject(number, why) if for_me => self.on_rejection(now, from, number, why, sends),
            Kind::Release { epoch, next } if for_me => self.on_release(now, holder, epoch, next),
            Kind::QueryLeader(number) => {
                let known = self.known_leader(now);
                // The remaining time, truncated to whole milliseconds.
                let told = |leader: KnownLeader| {
                    (
                        leader.leader,
                        leader.epoch,
                        ((leader.until - now) / 1000) as u32,
                    )
                };
                self.send(
                    now,
                    from,
                    Kind::LeaderReport {
                        number,
                        leader: known.map(told),
                    },
                    sends,
                );
            }
            Kind::LeaderReport {
                number,
                leader: Some((leader, epoch, left)),
            } if for_me && number == self.leader_query.0 => {
                let until = self.leader_query.1 + shorter(Micros::from(left) * 1000);
                let (known, of) = self.latest_epoch;
                let later = epoch > known || epoch == known && of.is_none_or(|of| of == leader);
                if later && now < until && leader != self.own.name {
                    self.latest_epoch = (epoch, Some(leader));
                    self.last_leader_reporter = Some(from);
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
        self.update_next_wakeup(now);
    }
}
