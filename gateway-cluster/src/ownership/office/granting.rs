//! What this door promises and grants to others, and to itself.

use super::{Note, Office};
use crate::engine::Micros;
use crate::ownership::grants::{Question, Refusal, MOST_EPOCH};
use crate::ownership::rosters::Mismatch;
use crate::ownership::MOST_LEASE;

impl Office {
    pub(super) fn question(&self, epoch: u64) -> Question {
        Question {
            holder: self.me,
            epoch,
            lease: self.lease,
            rosters: self.rosters.told(),
        }
    }

    /// Whether the term is behind one that an owner had.
    fn is_behind(&self, question: &Question) -> bool {
        let (known, of) = self.fence;
        question.epoch < known
            || question.epoch == known && of.is_some_and(|of| of != question.holder.name)
    }

    pub(super) fn promise(&mut self, now: Micros, question: &Question) -> Result<(), Refusal> {
        self.heed(question);
        if self.is_behind(question) {
            return Err(Refusal::Behind(self.fence.0));
        }
        self.granter.promise(now, question, &self.rosters)?;
        if question.holder != self.me {
            // Somebody is about to own: this door lets it try.
            self.at = self.at.max(now + self.round());
        }
        Ok(())
    }

    pub(super) fn grant(&mut self, now: Micros, question: &Question) -> Result<(), Refusal> {
        self.heed(question);
        if self.is_behind(question) {
            return Err(Refusal::Behind(self.fence.0));
        }
        let waits = now < self.elsewhere_until && !self.rosters.is_seasoned();
        if waits && question.rosters.base.is_none() && !question.rosters.seasoned {
            return Err(Refusal::Rosters(Mismatch::Changing));
        }
        self.granter.grant(now, question, &mut self.rosters)
    }

    /// What a question tells beside what it asks.
    fn heed(&mut self, question: &Question) {
        if question.lease <= MOST_LEASE {
            self.granter.hear_lease(question.lease);
        }
        self.hint = self.hint.max(question.epoch.min(MOST_EPOCH - 1));
        let name = question.holder.name;
        let differs = if question.lease != self.lease {
            Some(Note::LeaseDiffers(name, (question.lease / 1000) as u32))
        } else {
            self.rosters
                .admits(question.rosters)
                .err()
                .map(|_| Note::RostersDiffer(name))
        };
        self.tell_difference(name, differs);
    }

    /// This door grants to itself by the rules that it goes by for others.
    pub(super) fn grant_itself(&mut self, now: Micros, epoch: u64) {
        if self.grant(now, &self.question(epoch)).is_ok() {
            self.held.granted(self.me.name, now, self.lease);
        }
    }
}
