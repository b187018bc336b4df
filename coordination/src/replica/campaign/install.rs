//! Step 3 of a campaign: install, which has the new record accepted by its members.
//!
//! Invariant: new members receive the record before all others (`epoch_rules::recipients`).

use super::prepare::Preparing;
use super::resend::ResendSchedule;
use super::Campaign;
use crate::replica::base::Base;
use crate::replica::epoch_rules;
use crate::replica::interface::{EpochRecord, Member, MemberId, Millis, StateMachine, Version};
use crate::replica::message::{Install, Installed, Message, StateCopy};
use crate::replica::Replica;
use std::collections::BTreeSet;

/// State of the install step.
#[derive(Debug)]
pub(in crate::replica) struct Installing {
    pub(in crate::replica) record: EpochRecord,
    base: Base,
    state: StateCopy,
    pub(super) ends_at: Millis,
    resends: ResendSchedule,
    sent_to: BTreeSet<MemberId>,
    pub(in crate::replica) installed: BTreeSet<MemberId>,
}

impl Installing {
    /// When [`Replica::check_campaign`] is due.
    pub(super) fn next_wakeup(&self) -> Millis {
        self.resends.next.min(self.ends_at)
    }

    /// Version of the initial state. All commands up to it are committed once the record is active.
    pub(in crate::replica) fn version(&self) -> Version {
        self.base.version
    }

    /// Whether the new record is active.
    fn is_active(&self) -> bool {
        epoch_rules::is_active(&self.record, |id| self.installed.contains(&id))
    }

    /// The members to which the record is sent now.
    fn recipients(&self) -> Vec<Member> {
        epoch_rules::recipients(&self.record, &self.base.record, |id| {
            self.installed.contains(&id)
        })
    }

    /// The message for one member. A member that has the state already receives it only when the message is sent again.
    fn message_for(&self, id: MemberId) -> Message {
        let holds_it = self.base.state_holders.contains(&id) && !self.sent_to.contains(&id);
        let needs_it = self.record.is_replica(id) && !holds_it;
        Message::Install(Box::new(Install {
            record: self.record.clone(),
            state_epoch: self.base.record.number,
            version: self.base.version,
            state: needs_it.then(|| self.state.clone()),
        }))
    }
}

impl<S: StateMachine> Replica<S> {
    /// Counts an acceptance of the new record; activates the record once it has all that it needs.
    pub(in crate::replica) fn on_installed(&mut self, from: &Member, installed: &Installed) {
        let Some(Campaign::Installing(installing)) = &mut self.campaign else {
            return;
        };
        if installing.record.number != installed.number {
            return;
        }
        installing.installed.insert(from.id);
        if !installing.is_active() {
            return self.maybe_send_to_existing_members();
        }
        if let Some(Campaign::Installing(installing)) = self.campaign.take() {
            self.activate(*installing);
        }
    }

    /// Sends the record to the other members once all new members have it.
    fn maybe_send_to_existing_members(&mut self) {
        let Some(Campaign::Installing(installing)) = &mut self.campaign else {
            return;
        };
        if installing
            .recipients()
            .iter()
            .any(|member| !installing.sent_to.contains(&member.id))
        {
            installing.resends.next = self.now;
            self.send_installs();
        }
    }

    /// Starts the install step, with the state of a member that has the base state.
    pub(super) fn start_install(
        &mut self,
        mut preparing: Preparing,
        base: Base,
        record: EpochRecord,
    ) {
        let holder = base
            .state_holders
            .first()
            .and_then(|id| preparing.promises.get_mut(id));
        let copy = match base.state_holders.contains(&self.me.id) {
            true => Some(self.durable.clone_state()),
            false => holder.and_then(|promise| promise.state.take()),
        };
        let Some(state) = copy else {
            return self.fail_campaign();
        };
        self.campaign = Some(Campaign::Installing(Box::new(Installing {
            record,
            base,
            state,
            ends_at: self.now + self.attempt_timeout_ms(),
            resends: ResendSchedule::new(self.now, self.settings.timings.resend_interval_ms),
            sent_to: BTreeSet::new(),
            installed: BTreeSet::new(),
        })));
        self.send_installs();
    }

    /// Sends the record, if due, to those members that have to accept it now.
    pub(super) fn send_installs(&mut self) {
        let Some(Campaign::Installing(installing)) = &mut self.campaign else {
            return;
        };
        if !installing.resends.take_due(self.now) {
            return;
        }
        let recipients = installing.recipients();
        let messages: Vec<Message> = recipients
            .iter()
            .map(|member| installing.message_for(member.id))
            .collect();
        installing
            .sent_to
            .extend(recipients.iter().map(|member| member.id));
        for (member, message) in recipients.into_iter().zip(messages) {
            self.send(member, message);
        }
    }
}
