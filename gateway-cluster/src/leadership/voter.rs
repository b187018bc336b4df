//! What one gateway has granted, and to whom it may grant next. All of the safety of ownership is in these rules; the model
//! check (`tests/leadership_model.rs`) runs them through all orders of events.

use super::configuration::{ConfigurationMismatch, ConfigurationReport, PeerConfiguration};
use super::{longer, LeaseHolder};
use crate::protocol::Micros;
use serde::{Deserialize, Serialize};

/// Highest epoch that is taken from anybody: numbers that JSON holds exactly.
pub const MAX_EPOCH: u64 = 1 << 53;

/// The part of a lease for which a promise stands.
const PROMISE: Micros = 4;

/// A grant that was given.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct LeaseVote {
    /// To whom.
    pub holder: LeaseHolder,
    /// In which epoch.
    pub epoch: u64,
    /// Until when nobody else is granted to.
    pub until: Micros,
}

/// A question for leadership.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct VoteRequest {
    /// Who asks.
    pub holder: LeaseHolder,
    /// For which epoch.
    pub epoch: u64,
    /// For how long.
    pub lease: Micros,
    /// By which peer sets.
    pub peer_sets: ConfigurationReport,
}

/// Why a gateway does not grant.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum VoteRejection {
    /// It may have granted to somebody before it started, for so long yet in milliseconds.
    Quiet(u32),
    /// Somebody else has its grant, for so long yet in milliseconds.
    Held(LeaseHolder, u32),
    /// It has given its word to somebody else that asked for a later epoch, for so long yet in milliseconds.
    Promised(u32),
    /// It has granted this epoch, or a later one, to somebody else.
    Behind(u64),
    /// PeerConfiguration differ.
    Configuration(ConfigurationMismatch),
    /// It goes by another length of the lease, in milliseconds.
    LeaseDuration(u32),
}

/// One gateway's grants, from nothing on.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct LeaseVoter {
    born: Micros,
    lease: Micros,
    /// The longest lease that anybody was heard to go by.
    longest: Micros,
    quiet_until: Micros,
    /// Until when it lets somebody try, in which epoch.
    promised: Option<((u64, LeaseHolder), Micros)>,
    granted: Option<LeaseVote>,
    /// The epoch that it granted last, and to whom.
    last: Option<(u64, LeaseHolder)>,
}

fn left(until: Micros, now: Micros) -> u32 {
    until
        .saturating_sub(now)
        .div_ceil(1000)
        .min(u64::from(u32::MAX)) as u32
}

impl LeaseVoter {
    /// A gateway that starts from nothing may have granted before it started: it grants nothing until that is over.
    pub fn new(now: Micros, lease: Micros) -> LeaseVoter {
        let quiet_until = now + longer(lease);
        LeaseVoter {
            born: now,
            lease,
            longest: lease,
            quiet_until,
            promised: None,
            granted: None,
            last: None,
        }
    }

    /// It is as if it started now: another process had its name meanwhile.
    pub fn begin_anew(&mut self, now: Micros) {
        let longest = self.longest;
        *self = LeaseVoter::new(now, self.lease);
        self.hear_lease(longest);
    }

    /// Somebody goes by this lease: what was granted before this gateway started may have been as long.
    pub fn hear_lease(&mut self, lease: Micros) {
        self.longest = self.longest.max(lease);
        self.quiet_until = self.quiet_until.max(self.born + longer(self.longest));
    }

    /// How long it still grants nothing.
    pub fn quiet(&self, now: Micros) -> Micros {
        self.quiet_until.saturating_sub(now)
    }

    /// Who has its grant now.
    pub fn granted(&self, now: Micros) -> Option<LeaseVote> {
        self.granted.filter(|granted| now < granted.until)
    }

    /// The highest epoch that it has granted.
    pub fn highest(&self) -> u64 {
        self.last.map_or(0, |(epoch, _)| epoch)
    }

    fn check(
        &self,
        now: Micros,
        question: &VoteRequest,
        peer_sets: &PeerConfiguration,
    ) -> Result<(), VoteRejection> {
        if self.quiet(now) > 0 {
            return Err(VoteRejection::Quiet(left(self.quiet_until, now)));
        }
        if question.lease != self.lease {
            return Err(VoteRejection::LeaseDuration(left(self.lease, 0)));
        }
        peer_sets
            .admits(question.peer_sets)
            .map_err(VoteRejection::Configuration)?;
        match self.granted(now) {
            Some(granted) if granted.holder != question.holder => Err(VoteRejection::Held(
                granted.holder,
                left(granted.until, now),
            )),
            _ => Ok(()),
        }
    }

    /// Gives its word to let this one try, if nobody else has its grant: for a while it grants nothing for an earlier
    /// epoch. No safety rests on that; it keeps two that try at once from taking half of the grants each.
    ///
    /// # Errors
    /// Why not.
    pub fn promise(
        &mut self,
        now: Micros,
        question: &VoteRequest,
        peer_sets: &PeerConfiguration,
    ) -> Result<(), VoteRejection> {
        self.check(now, question, peer_sets)?;
        let asked = (question.epoch, question.holder);
        // A epoch is granted to one holder, and epochs go up.
        let given = self
            .last
            .is_some_and(|last| last.0 > asked.0 || last.0 == asked.0 && last.1 != asked.1);
        if given || question.epoch > MAX_EPOCH {
            return Err(VoteRejection::Behind(self.highest()));
        }
        if let Some((_, until)) = self
            .promised
            .filter(|(promised, until)| *promised > asked && now < *until)
        {
            return Err(VoteRejection::Promised(left(until, now)));
        }
        self.promised = Some((asked, now + self.lease / PROMISE));
        Ok(())
    }

    /// Grants leadership as far as it is this gateway's to grant. From now on, for a lease and what clocks may differ by,
    /// nobody else is granted to.
    ///
    /// # Errors
    /// Why not.
    pub fn grant(
        &mut self,
        now: Micros,
        question: &VoteRequest,
        peer_sets: &mut PeerConfiguration,
    ) -> Result<(), VoteRejection> {
        self.promise(now, question, peer_sets)?;
        let VoteRequest {
            holder,
            epoch,
            lease,
            ..
        } = *question;
        self.granted = Some(LeaseVote {
            holder,
            epoch,
            until: now + longer(lease),
        });
        self.last = Some((epoch, holder));
        peer_sets.granted(question.peer_sets);
        Ok(())
    }

    /// The holder says itself that it holds nothing any more of this epoch. What it was granted in a later one stands: this
    /// may have been on its way for long.
    pub fn release(&mut self, holder: LeaseHolder, epoch: u64) {
        self.granted = self
            .granted
            .filter(|granted| granted.holder != holder || granted.epoch > epoch);
    }
}

#[cfg(test)]
mod tests;
