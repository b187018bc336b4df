//! Who owns, as far as this door has heard, and how it asks for that; and how the office is given back.

use super::peers::Peer;
use super::schedule::order;
use super::{Note, Office, Send, Stage, Stamp};
use crate::engine::Micros;
use crate::names::Id;
use crate::ownership::wire::Kind;
use crate::ownership::Holder;
use rand::seq::IndexedRandom;
use rand::Rng;

/// How long a door that has just begun waits for those that use another roster, in leases.
pub(super) const ELSEWHERE: u64 = 3;
/// How long the one that an owner names waits, so that all have heard that the office is free.
const HEARD: Micros = 5_000;
/// A door that does not know the owner asks another so often in the time of a lease, and once more shortly before what
/// it knows is over.
pub(super) const WHO: u64 = 3;
pub(super) const WHO_AHEAD: Micros = 200_000;
pub(super) const WHO_GAP: Micros = 350_000;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Claim {
    pub(super) owner: Id,
    pub(super) epoch: u64,
    pub(super) until: Micros,
}

impl Office {
    /// Who owns, as far as this door knows at this moment.
    pub(super) fn known(&self, now: Micros) -> Option<Claim> {
        if let Some(epoch) = self.epoch(now) {
            return Some(Claim {
                owner: self.me.name,
                epoch,
                until: self.until,
            });
        }
        // Of a term that another followed nothing is left, however long it was to last.
        let stands = |claim: &Claim| now < claim.until && claim.epoch >= self.fence.0;
        self.claim
            .filter(|claim| stands(claim) && claim.owner != self.me.name)
    }

    /// Another door says that it owns.
    pub(super) fn hear_claim(
        &mut self,
        now: Micros,
        from: Id,
        stamp: Stamp,
        sends: &mut Vec<Send>,
    ) {
        if stamp.to_life != self.me.life {
            // It does not know yet that this is another process: the answer tells it.
            return;
        }
        if self.admit(now, from, stamp).is_ok() {
            self.rosters.season();
            self.follow(
                now,
                Claim {
                    owner: from,
                    epoch: stamp.epoch,
                    until: stamp.until,
                },
                sends,
            );
        }
    }

    pub(super) fn follow(&mut self, now: Micros, claim: Claim, sends: &mut Vec<Send>) {
        if self
            .freed
            .is_some_and(|(freed, epoch, _)| freed.name == claim.owner && epoch == claim.epoch)
        {
            // Whoever tells this has not heard that it gave the office back.
            return;
        }
        let same = self
            .claim
            .filter(|held| held.owner == claim.owner && held.epoch == claim.epoch);
        if same.is_none() {
            self.note(Note::Owner(claim.owner, claim.epoch));
        }
        let until = same.map_or(claim.until, |held| held.until.max(claim.until));
        self.claim = Some(Claim { until, ..claim });
        if matches!(self.stage, Stage::Preparing { .. } | Stage::Asking { .. }) {
            self.give_up(now, sends);
        }
        self.plan(now);
    }

    /// A holder has given the office back.
    pub(super) fn released(&mut self, now: Micros, holder: Holder, epoch: u64, next: Id) {
        self.granter.release(holder, epoch);
        self.freed = Some((holder, epoch, now + self.lease));
        let was_owner = self
            .claim
            .is_some_and(|claim| claim.owner == holder.name && claim.epoch == epoch);
        if !was_owner {
            return;
        }
        self.claim = self.claim.map(|claim| Claim {
            until: now.min(claim.until),
            ..claim
        });
        self.plan(now);
        if next == self.me.name {
            self.at = now + HEARD;
        } else {
            self.at = self.at.max(now + self.turn());
        }
    }

    /// Asks another door who owns.
    pub(super) fn ask_who(&mut self, now: Micros, sends: &mut Vec<Send>) {
        let able = |name: &&Id| self.peers.contains_key(*name);
        let living: Vec<Id> = self.living.iter().filter(able).copied().collect();
        // Where few can be reached, who knew it last is the best to ask; now and then another.
        let known = self
            .teller
            .filter(|teller| self.rng.random_bool(0.75) && self.peers.contains_key(teller));
        let to = known.or_else(|| living.choose(&mut self.rng).copied());
        self.number = self.number.wrapping_add(1);
        if let Some(to) = to {
            self.who = (self.number, now);
            self.put(now, to, Kind::Who(self.number), sends);
        }
        self.who_at = now + WHO_GAP.max(self.lease / WHO);
    }

    /// Gives the office back, if this door has it, so that this one may have it at once.
    pub(super) fn give_back(&mut self, now: Micros, next: Id, sends: &mut Vec<Send>) {
        let Some(epoch) = self.epoch(now) else { return };
        self.note(Note::Released(epoch));
        self.granter.release(self.me, epoch);
        self.step_down(now);
        // Nobody says it again where it is lost: it is said twice. It is owed, so it costs no budget.
        for to in self.others().into_iter().chain(self.others()) {
            self.put_owed(now, to, Kind::Release { epoch, next }, sends);
        }
    }

    /// One of two or more that were told of another roster, which this door's file does not name yet: they are to own, as
    /// only they can finish the change. One alone may have a file with a mistake.
    pub(super) fn told_before(&self, now: Micros) -> Option<Id> {
        let recent = |peer: &Peer| now < peer.heard + ELSEWHERE * self.lease;
        let told = self
            .peers
            .iter()
            .filter(|(_, peer)| recent(peer))
            .filter_map(|(name, peer)| {
                let of = |(other, held): &(&Id, &Peer)| {
                    *other != name && held.changing == peer.changing && recent(held)
                };
                (peer.changing.is_some() && self.peers.iter().any(|other| of(&other)))
                    .then_some(*name)
            });
        told.min_by_key(|name| order(self.fence.0, *name))
    }
}
