//! What follows from a refusal, from a later term, and from a round that has failed.

use super::schedule::AGAIN;
use super::{Note, Office, Send, Stage};
use crate::engine::Micros;
use crate::names::Id;
use crate::ownership::grants::{Refusal, MOST_EPOCH};
use crate::ownership::lease::Lease;
use crate::ownership::wire::Kind;
use crate::ownership::MOST_LEASE;

impl Office {
    pub(super) fn was_refused(
        &mut self,
        now: Micros,
        from: Id,
        number: u32,
        why: Refusal,
        sends: &mut Vec<Send>,
    ) {
        if self.asked(from, number).is_none() {
            return;
        }
        let wait = match why {
            Refusal::Behind(epoch) => {
                self.hint = self.hint.max(epoch.min(MOST_EPOCH - 1));
                if let Some(peer) = self.peers.get_mut(&from) {
                    peer.behind = true;
                }
                let holding = matches!(self.stage, Stage::Holding { .. });
                let behind = |name: &Id| self.peers.get(name).is_some_and(|peer| peer.behind);
                if holding && self.rosters.are_won_by(|name| !behind(&name)) {
                    // Somebody has tried in vain; enough of the others renew.
                    return;
                }
                return self.was_behind(now, epoch, sends);
            }
            Refusal::Quiet(left) | Refusal::Promised(left) => Micros::from(left) * 1000,
            // What was given back is free as soon as this one has heard of that too.
            Refusal::Held(holder, _)
                if self
                    .freed
                    .is_some_and(|(freed, _, until)| freed == holder && now < until) =>
            {
                AGAIN
            }
            Refusal::Held(_, left) => {
                // Somebody may own whom this door has not heard of.
                self.who_at = self.who_at.min(now);
                Micros::from(left) * 1000
            }
            Refusal::Rosters(_) => {
                self.tell_difference(from, Some(Note::RostersDiffer(from)));
                self.lease / 2
            }
            Refusal::Lease(ms) => {
                self.granter
                    .hear_lease(Micros::from(ms).saturating_mul(1000).min(MOST_LEASE));
                self.tell_difference(from, Some(Note::LeaseDiffers(from, ms)));
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
                let open = |name: Id| name == self.me.name || !free.contains_key(&name);
                if !self.rosters.are_won_by(open) {
                    // So many have refused that it cannot be won before some of them are free.
                    let mut ends: Vec<Micros> = free.values().copied().collect();
                    ends.sort_unstable();
                    let enough = |end: &Micros| {
                        self.rosters.are_won_by(|name| {
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

    /// A later term is known: this one is no use.
    pub(super) fn was_behind(&mut self, now: Micros, epoch: u64, sends: &mut Vec<Send>) {
        match self.stage {
            Stage::Preparing { epoch: own, .. } | Stage::Asking { epoch: own, .. }
                if epoch >= own =>
            {
                self.give_up(now, sends);
                self.at = now + self.some(AGAIN);
            }
            // Of its own term it hears where another had that too.
            Stage::Holding { epoch: own } if epoch >= own => {
                // It asks anew at once, for a term beyond that; its grants let it pass.
                self.note(Note::Lost(own));
                self.step_down(now);
                self.at = now;
            }
            _ => {}
        }
    }

    /// A round has failed: whoever has granted is free at once.
    pub(super) fn give_up(&mut self, now: Micros, sends: &mut Vec<Send>) {
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
        (self.stage, self.until, self.held) = (Stage::Idle, 0, Lease::default());
        self.plan(now);
    }
}
