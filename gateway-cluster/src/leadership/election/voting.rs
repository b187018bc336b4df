//! What this gateway promises and grants to others, and to itself.

use super::{ElectionEvent, LeaderElection};
use crate::leadership::configuration::ConfigurationMismatch;
use crate::leadership::voter::{VoteRejection, VoteRequest, MAX_EPOCH};
use crate::leadership::MAX_LEASE;
use crate::protocol::Micros;

impl LeaderElection {
    pub(super) fn question(&self, epoch: u64) -> VoteRequest {
        VoteRequest {
            holder: self.me,
            epoch,
            lease: self.lease,
            peer_sets: self.peer_sets.told(),
        }
    }

    /// Whether the epoch is behind one that a leader had.
    fn is_behind(&self, question: &VoteRequest) -> bool {
        let (known, of) = self.fence;
        question.epoch < known
            || question.epoch == known && of.is_some_and(|of| of != question.holder.name)
    }

    pub(super) fn promise(
        &mut self,
        now: Micros,
        question: &VoteRequest,
    ) -> Result<(), VoteRejection> {
        self.heed(question);
        if self.is_behind(question) {
            return Err(VoteRejection::Behind(self.fence.0));
        }
        self.granter.promise(now, question, &self.peer_sets)?;
        if question.holder != self.me {
            // Somebody is about to own: this gateway lets it try.
            self.at = self.at.max(now + self.round());
        }
        Ok(())
    }

    pub(super) fn grant(
        &mut self,
        now: Micros,
        question: &VoteRequest,
    ) -> Result<(), VoteRejection> {
        self.heed(question);
        if self.is_behind(question) {
            return Err(VoteRejection::Behind(self.fence.0));
        }
        let waits = now < self.elsewhere_until && !self.peer_sets.is_seasoned();
        if waits && question.peer_sets.base.is_none() && !question.peer_sets.seasoned {
            return Err(VoteRejection::Configuration(
                ConfigurationMismatch::Changing,
            ));
        }
        self.granter.grant(now, question, &mut self.peer_sets)
    }

    /// What a question tells beside what it asks.
    fn heed(&mut self, question: &VoteRequest) {
        if question.lease <= MAX_LEASE {
            self.granter.hear_lease(question.lease);
        }
        self.hint = self.hint.max(question.epoch.min(MAX_EPOCH - 1));
        let name = question.holder.name;
        let differs = if question.lease != self.lease {
            Some(ElectionEvent::LeaseDiffers(
                name,
                (question.lease / 1000) as u32,
            ))
        } else {
            self.peer_sets
                .admits(question.peer_sets)
                .err()
                .map(|_| ElectionEvent::PeerSetsDiffer(name))
        };
        self.tell_difference(name, differs);
    }

    /// This gateway grants to itself by the rules that it goes by for others.
    pub(super) fn grant_itself(&mut self, now: Micros, epoch: u64) {
        if self.grant(now, &self.question(epoch)).is_ok() {
            self.held.granted(self.me.name, now, self.lease);
        }
    }
}
