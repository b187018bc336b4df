//! What follows from a refusal, from a later epoch, and from a round that has failed.

use super::timing::AGAIN;
use super::{ElectionEvent, LeaderElection, Stage};
use crate::leadership::voter::{VoteRejection, MAX_EPOCH};
use crate::leadership::votes::CollectedVotes;
use crate::leadership::wire::Kind;
use crate::leadership::MAX_LEASE;
use crate::peers::PeerId;
use crate::protocol::{Micros, Transmit};

impl LeaderElection {
    pub(super) fn was_refused(
        &mut self,
        now: Micros,
        from: PeerId,
        number: u32,
        why: VoteRejection,
        sends: &mut Vec<Transmit>,
    ) {
        if self.asked(from, number).is_none() {
            return;
        }
        let wait = match why {
            VoteRejection::Behind(epoch) => {
                self.hint = self.hint.max(epoch.min(MAX_EPOCH - 1));
                if let Some(peer) = self.peers.get_mut(&from) {
                    peer.behind = true;
                }
                let holding = matches!(self.stage, Stage::Holding { .. });
                let behind = |name: &PeerId| self.peers.get(name).is_some_and(|peer| peer.behind);
                if holding && self.peer_sets.are_won_by(|name| !behind(&name)) {
                    // Somebody has tried in vain; enough of the others renew.
                    return;
                }
                return self.was_behind(now, epoch, sends);
            }
            VoteRejection::Quiet(left) | VoteRejection::Promised(left) => Micros::from(left) * 1000,
            // What was given back is free as soon as this one has heard of that too.
            VoteRejection::Held(holder, _)
                if self
                    .freed
                    .is_some_and(|(freed, _, until)| freed == holder && now < until) =>
            {
                AGAIN
            }
            VoteRejection::Held(_, left) => {
                // Somebody may own whom this gateway has not heard of.
                self.who_at = self.who_at.min(now);
                Micros::from(left) * 1000
            }
            VoteRejection::Configuration(_) => {
                self.tell_difference(from, Some(ElectionEvent::PeerSetsDiffer(from)));
                self.lease / 2
            }
            VoteRejection::LeaseDuration(ms) => {
                self.granter
                    .hear_lease(Micros::from(ms).saturating_mul(1000).min(MAX_LEASE));
                self.tell_difference(from, Some(ElectionEvent::LeaseDiffers(from, ms)));
                self.lease
            }
        };
        let renewal = self.renewal();
        let Some(peer) = self.peers.get_mut(&from) else {
            return;
        };
        match &mut self.stage {
            Stage::Preparing { free, .. } | Stage::Asking { free, .. } => {
                peer.ask_at = now + wait.max(AGAIN);
                if wait > AGAIN {
                    free.insert(from, now + wait);
                }
                let free = free.clone();
                let open = |name: PeerId| name == self.me.name || !free.contains_key(&name);
                if !self.peer_sets.are_won_by(open) {
                    // So many have refused that it cannot be won before some of them are free.
                    let mut ends: Vec<Micros> = free.values().copied().collect();
                    ends.sort_unstable();
                    let enough = |end: &Micros| {
                        self.peer_sets.are_won_by(|name| {
                            open(name) || free.get(&name).is_some_and(|at| at <= end)
                        })
                    };
                    let end = ends
                        .iter()
                        .find(|end| enough(end))
                        .copied()
                        .unwrap_or(now + self.lease);
                    self.give_up(now, sends);
                    self.at = end.max(now) + self.some(AGAIN);
                }
            }
            Stage::Holding { .. } => peer.ask_at = now + wait.min(renewal),
            Stage::Idle | Stage::Hushed => {}
        }
    }

    /// A later epoch is known: this one is no use.
    pub(super) fn was_behind(&mut self, now: Micros, epoch: u64, sends: &mut Vec<Transmit>) {
        match self.stage {
            Stage::Preparing { epoch: own, .. } | Stage::Asking { epoch: own, .. }
                if epoch >= own =>
            {
                self.give_up(now, sends);
                self.at = now + self.some(AGAIN);
            }
            // Of its own epoch it hears where another had that too.
            Stage::Holding { epoch: own } if epoch >= own => {
                // It asks anew at once, for a epoch beyond that; its grants let it pass.
                self.note(ElectionEvent::Lost(own));
                self.step_down(now);
                self.at = now;
            }
            _ => {}
        }
    }

    /// A round has failed: whoever has granted is free at once.
    pub(super) fn give_up(&mut self, now: Micros, sends: &mut Vec<Transmit>) {
        if let Stage::Asking { epoch, .. } = self.stage {
            for to in self.others() {
                if self.held.has(to) {
                    self.put(now, to, Kind::Release { epoch, next: to }, sends);
                }
            }
            self.granter.release(self.me, epoch);
        }
        self.step_down(now);
        self.at = now + self.some(2 * self.round());
    }

    pub(super) fn step_down(&mut self, now: Micros) {
        (self.stage, self.until, self.held) = (Stage::Idle, 0, CollectedVotes::default());
        self.plan(now);
    }
}
