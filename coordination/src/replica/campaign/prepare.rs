//! Step 2 of a campaign: prepare, which collects promises and chooses the next record from them.
//!
//! Invariants: the number is higher than any that this member has seen. The install step starts only once the promises
//! determine a base and this member's own promise is on disk: the members that promised become the replicas, and the
//! primary must be one of them.

use super::resend::ResendSchedule;
use super::{Campaign, Purpose};
use crate::replica::base::{choose_base, Base};
use crate::replica::epoch_rules;
use crate::replica::interface::{Epoch, EpochRecord, Member, MemberId, Millis, StateMachine};
use crate::replica::message::{Message, Prepare, Promise};
use crate::replica::settings::Timings;
use crate::replica::Replica;
use std::collections::BTreeMap;

/// State of the prepare step.
#[derive(Debug)]
pub(in crate::replica) struct Preparing {
    pub(super) number: Epoch,
    purpose: Purpose,
    pub(super) ends_at: Millis,
    resends: ResendSchedule,
    /// Since when the promises suffice. Further promises may add replicas.
    quorum_since: Option<Millis>,
    voters: BTreeMap<MemberId, Member>,
    pub(super) promises: BTreeMap<MemberId, Promise>,
}

/// Reason why an epoch can't be started from the promises received.
enum CannotBegin {
    /// Too few members promised to be replicas.
    TooFewReplicas,
    /// Another member has been primary in a later epoch.
    Superseded,
}

impl Preparing {
    /// When [`Replica::check_campaign`] is due.
    pub(super) fn next_wakeup(&self, timings: &Timings) -> Millis {
        let gathering_ends = self
            .quorum_since
            .map_or(Millis::MAX, |since| since + timings.promise_gathering_ms);
        self.resends.next.min(self.ends_at).min(gathering_ends)
    }

    /// Whether all members that the new epoch may name have promised.
    fn has_all_promises(&self, base: &EpochRecord) -> bool {
        base.voters()
            .all(|member| self.promises.contains_key(&member.id))
    }
}

impl<S: StateMachine> Replica<S> {
    /// Starts the prepare step with a number above all that this member has seen.
    pub(in crate::replica) fn start_prepare(&mut self, purpose: Purpose) {
        let Some(record) = self.durable.record.clone() else {
            return;
        };
        self.highest_seen = self.highest_seen.max(self.durable.promised) + 1;
        let mut preparing = Preparing {
            number: self.highest_seen,
            purpose,
            ends_at: self.now + self.attempt_timeout_ms(),
            resends: ResendSchedule::new(self.now, self.settings.timings.resend_interval_ms),
            quorum_since: None,
            voters: BTreeMap::new(),
            promises: BTreeMap::new(),
        };
        preparing
            .voters
            .extend(record.voters().map(|member| (member.id, member.clone())));
        self.campaign = Some(Campaign::Preparing(preparing));
        self.check_campaign();
    }

    /// Stores a promise. Members that the promise's record names are asked to promise too.
    pub(in crate::replica) fn on_promise(&mut self, from: &Member, promise: Promise) {
        if let Some(record) = &promise.record {
            self.observe_record(record);
        }
        let Some(Campaign::Preparing(preparing)) = &mut self.campaign else {
            return;
        };
        if preparing.number != promise.number {
            return;
        }
        let named = promise.record.iter().flat_map(EpochRecord::voters);
        let others = named.filter(|member| !preparing.voters.contains_key(&member.id));
        let others: Vec<Member> = others.cloned().collect();
        if !others.is_empty() {
            preparing
                .voters
                .extend(others.into_iter().map(|member| (member.id, member)));
            preparing.resends.next = self.now;
        }
        preparing.promises.insert(from.id, promise);
        if self.excluded {
            return self.fail_campaign();
        }
        self.check_promises();
    }

    /// Sends the prepare, if due, to the members that have not answered.
    pub(super) fn send_prepares(&mut self) {
        let Some(Campaign::Preparing(preparing)) = &mut self.campaign else {
            return;
        };
        if !preparing.resends.take_due(self.now) {
            return;
        }
        let prepare = Prepare {
            number: preparing.number,
            released_epoch: match preparing.purpose {
                Purpose::Succeed(epoch) => Some(epoch),
                Purpose::TakeOver | Purpose::Reconfigure => None,
            },
            state_epoch: self.durable.state_epoch(),
            version: self.durable.accepted_version(),
        };
        let unanswered = preparing
            .voters
            .values()
            .filter(|member| !preparing.promises.contains_key(&member.id));
        for member in unanswered.cloned().collect::<Vec<_>>() {
            self.send(member, Message::Prepare(prepare.clone()));
        }
    }

    /// Starts the install step once the promises suffice and the time for further promises is over.
    pub(super) fn check_promises(&mut self) {
        let Some(Campaign::Preparing(preparing)) = &mut self.campaign else {
            return;
        };
        let own_disk_answered = preparing.promises.contains_key(&self.me.id);
        let base = choose_base(&preparing.promises).filter(|_| own_disk_answered);
        let Some(base) = base else {
            preparing.quorum_since = None;
            return;
        };
        let since = *preparing.quorum_since.get_or_insert(self.now);
        if !preparing.has_all_promises(&base.record)
            && self.now < since + self.settings.timings.promise_gathering_ms
        {
            return;
        }
        let Some(Campaign::Preparing(mut preparing)) = self.campaign.take() else {
            return;
        };
        match self.next_record(&preparing, &base) {
            Ok(record) => self.start_install(preparing, base, record),
            Err(CannotBegin::TooFewReplicas) => {
                preparing.quorum_since = Some(self.now);
                self.campaign = Some(Campaign::Preparing(preparing));
            }
            Err(CannotBegin::Superseded) => self.step_down(),
        }
    }

    /// The record that follows the base, complete with number, primary and lineage.
    fn next_record(&self, preparing: &Preparing, base: &Base) -> Result<EpochRecord, CannotBegin> {
        let record = match preparing.purpose {
            Purpose::Reconfigure => self
                .reconfigured_record(&base.record)
                .ok_or(CannotBegin::Superseded)?,
            Purpose::TakeOver => self.takeover_record(preparing, base, None),
            Purpose::Succeed(epoch) => {
                let predecessor = (base.record.number <= epoch).then_some(base.record.primary);
                self.takeover_record(preparing, base, predecessor)
            }
        };
        if record.replicas.len() < self.min_replicas(record.witnesses.len()) {
            return Err(CannotBegin::TooFewReplicas);
        }
        let base_is_active = self
            .primary
            .as_ref()
            .is_some_and(|primary| primary.record == base.record);
        Ok(EpochRecord {
            number: preparing.number,
            primary: self.me.id,
            follows: base.record.number,
            lineage: epoch_rules::lineage(&base.record, base_is_active),
            ..record
        })
    }

    /// The record of a candidate without number and primary; see [`epoch_rules::takeover_record`].
    fn takeover_record(
        &self,
        preparing: &Preparing,
        base: &Base,
        predecessor: Option<MemberId>,
    ) -> EpochRecord {
        let promised = |id| preparing.promises.contains_key(&id);
        let min_replicas = self.min_replicas(base.record.witnesses.len());
        epoch_rules::takeover_record(&base.record, promised, predecessor, min_replicas)
    }
}
