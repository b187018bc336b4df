//! Applies received membership updates, about other gateways and about this one.
//!
//! Precedence follows [`crate::precedence`]. A report of a death is never taken over by itself: it becomes a suspicion or
//! a probe of this gateway, unless this gateway suspects the peer already.

use super::anti_entropy::SYNC_INTERVAL_PERIODS;
use super::healing::HEALING_STEPS;
use super::member::{Cause, GOSSIPED_CONFIDENCE};
use super::transmit::MAX_TRANSMISSIONS;
use super::{ChangeReason, Membership, MembershipChange};
use crate::precedence::{self, KnownUpdate, Precedence, SelfUpdateAction};
use crate::protocol::{IndexedTransmit, Micros, PeerIndex, PeerState};
use crate::wire::{Incarnation, UpdateStatus};

/// Remaining transmissions of an update that raises the incarnation of a peer which was alive here.
const TRANSMISSIONS_OF_KNOWN_UPDATE: u8 = 3;
/// Maximum number of probes in progress that verify a reported death.
const MAX_REPORTED_DEAD_PROBES: usize = 2;
/// Age in probe periods beyond which a reported suspicion is ignored: it has expired or was refuted.
const MAX_SUSPICION_AGE_PERIODS: f64 = 6.0;
/// Age, in probe periods, of the suspicion that follows from a reported death.
const REPORTED_DEATH_AGE_PERIODS: f64 = 1.0;
/// Probe periods after a stall during which reported deaths are not taken for verdicts: they may have waited in the
/// socket's buffer and be refuted since.
const RESUME_GRACE_PERIODS: f64 = 1.0;
/// Maximum number of changes that the driver has not taken; further ones are dropped.
const MAX_CHANGES: usize = 4096;

/// An update about another gateway that is being applied.
struct ReceivedUpdate {
    from: PeerIndex,
    index: PeerIndex,
    incarnation: Incarnation,
    status: UpdateStatus,
    /// The peer's state before the update.
    state_before: PeerState,
}

impl ReceivedUpdate {
    /// The cause of a change of state by this update.
    fn cause(&self) -> Cause {
        if self.from == self.index {
            Cause::Returned
        } else {
            Cause::ReportedBy(self.from)
        }
    }
}

impl Membership {
    /// Handles an update that `from` sent about the peer at `index`. Returns `false` if the update is outdated.
    pub(super) fn on_update(
        &mut self,
        now: Micros,
        from: PeerIndex,
        index: PeerIndex,
        incarnation: Incarnation,
        status: UpdateStatus,
        sends: &mut Vec<IndexedTransmit>,
    ) -> bool {
        if index == self.own_index {
            self.on_update_about_self(now, incarnation, status);
            return true;
        }
        let update = ReceivedUpdate {
            from,
            index,
            incarnation,
            status,
            state_before: self.members[index].state(),
        };
        match precedence::precedence_of(self.known_update(index), incarnation) {
            Precedence::Older => return false,
            Precedence::Newer { same_process } => {
                self.on_newer_incarnation(now, &update, same_process);
            }
            Precedence::Equal => {}
        }
        self.on_status(now, &update, sends)
    }

    fn known_update(&self, index: PeerIndex) -> KnownUpdate {
        let member = &self.members[index];
        KnownUpdate {
            incarnation: member.incarnation,
            dead: member.dead,
        }
    }

    /// Replaces the state of a peer of which a newer incarnation is reported.
    fn on_newer_incarnation(&mut self, now: Micros, update: &ReceivedUpdate, same_process: bool) {
        let known = self.known_update(update.index);
        let dead = precedence::apply_update(known, update.incarnation, update.status).dead;
        let transmissions = self.transmissions_of_newer(update);
        let member = &mut self.members[update.index];
        let returned = member.dead && !dead;
        member.urgent = member.dead || member.has_gossiped_suspicion();
        member.transmissions = transmissions;
        member.incarnation = update.incarnation;
        member.dead = dead;
        member.left = dead && update.status == UpdateStatus::Left;
        member.suspicion = None;
        member.raised_at = Some(now);
        if returned {
            member.returned_at = Some(now);
        }
        if returned && same_process {
            member.rejoined_at = Some(now);
        }
        self.record_change(now, update.index, update.state_before, update.cause());
        if returned {
            self.healing_until_step = self.step + HEALING_STEPS;
        }
    }

    /// The transmission count of an update with a newer incarnation. Only refutations are gossiped: every gateway
    /// considers a peer alive from the beginning.
    fn transmissions_of_newer(&self, update: &ReceivedUpdate) -> Option<u8> {
        let transmissions = self.members[update.index].transmissions;
        let has_no_refutation = update.incarnation as u16 == 0;
        match update.state_before {
            PeerState::Alive if self.is_update_backlog_large || has_no_refutation => transmissions,
            // The refuted suspicion never reached this gateway, so the refutation needs few transmissions.
            PeerState::Alive => Some(
                transmissions
                    .unwrap_or(MAX_TRANSMISSIONS)
                    .min(MAX_TRANSMISSIONS - TRANSMISSIONS_OF_KNOWN_UPDATE),
            ),
            PeerState::Suspect | PeerState::Dead => Some(0),
        }
    }

    /// Handles the status of an update whose incarnation is the known one now. Returns `false` if it is outdated.
    fn on_status(
        &mut self,
        now: Micros,
        update: &ReceivedUpdate,
        sends: &mut Vec<IndexedTransmit>,
    ) -> bool {
        let member = &mut self.members[update.index];
        match update.status {
            UpdateStatus::Alive => !member.dead,
            UpdateStatus::Suspect(_) if member.dead => false,
            UpdateStatus::Suspect(tenths) => {
                self.on_reported_suspicion(now, update, tenths);
                true
            }
            UpdateStatus::Dead | UpdateStatus::Left if member.dead => true,
            UpdateStatus::Left => {
                // Only the peer itself announces its shutdown.
                member.declare_dead(0);
                member.left = true;
                self.record_change(now, update.index, update.state_before, Cause::Left);
                true
            }
            UpdateStatus::Dead => {
                self.on_reported_death(now, update, sends);
                true
            }
        }
    }

    fn on_reported_suspicion(&mut self, now: Micros, update: &ReceivedUpdate, tenths: u8) {
        let age = self.probe_periods(f64::from(tenths) / 10.0);
        if age <= self.probe_periods(MAX_SUSPICION_AGE_PERIODS) {
            let started_at = now.saturating_sub(age);
            self.raise_suspicion(
                now,
                update.index,
                started_at,
                GOSSIPED_CONFIDENCE,
                update.cause(),
            );
        }
    }

    /// Handles another gateway's verdict on a peer that is not dead here.
    fn on_reported_death(
        &mut self,
        now: Micros,
        update: &ReceivedUpdate,
        sends: &mut Vec<IndexedTransmit>,
    ) {
        let index = update.index;
        let resumed_long_ago = now >= self.resumed_at + self.probe_periods(RESUME_GRACE_PERIODS);
        if self.members[index].has_gossiped_suspicion() && resumed_long_ago {
            self.members[index].declare_dead(0);
            self.record_change(now, index, update.state_before, update.cause());
        } else if self.was_recently_unreachable(now, update.from) {
            // The verdict may come from the other side of a partition: probe the peer.
            let verifications = self.probes.values();
            let verifications = verifications.filter(|probe| probe.target_reported_dead);
            if verifications.count() < MAX_REPORTED_DEAD_PROBES {
                self.probe_reported_dead(now, index, update.incarnation, sends);
            }
        } else {
            // This gateway missed the suspicion; a refutation may still arrive.
            let started_at = now.saturating_sub(self.probe_periods(REPORTED_DEATH_AGE_PERIODS));
            self.raise_suspicion(now, index, started_at, GOSSIPED_CONFIDENCE, update.cause());
            if !self.is_update_backlog_large {
                self.suspects_to_notify.push(index);
            }
        }
    }

    /// Handles an update about this gateway; see [`precedence::action_on_self_update`].
    pub(super) fn on_update_about_self(
        &mut self,
        now: Micros,
        incarnation: Incarnation,
        status: UpdateStatus,
    ) {
        let recently_started = self.is_recent(now, self.started_at);
        let own = &mut self.members[self.own_index];
        match precedence::action_on_self_update(
            own.incarnation,
            recently_started,
            self.superseded,
            incarnation,
            status,
        ) {
            SelfUpdateAction::Ignore => {}
            SelfUpdateAction::Resume => {
                (self.superseded, self.superseded_reported) = (false, false);
            }
            SelfUpdateAction::Adopt(incarnation) => own.incarnation = incarnation,
            SelfUpdateAction::Superseded => self.superseded = true,
            SelfUpdateAction::Refute(incarnation) => {
                own.incarnation = incarnation;
                (own.transmissions, own.urgent) = (Some(0), true);
                (self.superseded, self.superseded_reported) = (false, false);
            }
        }
    }

    /// Records a change of a peer's state for the driver, if there is one.
    pub(super) fn record_change(
        &mut self,
        now: Micros,
        index: PeerIndex,
        before: PeerState,
        cause: Cause,
    ) {
        let after = self.members[index].state();
        if before == after {
            return;
        }
        self.last_change_at = now;
        self.sync_interval_periods = SYNC_INTERVAL_PERIODS;
        if self.changes.len() < MAX_CHANGES {
            let name = self.names()[index].clone();
            let why = match cause {
                Cause::NoAnswer => ChangeReason::NoAnswer,
                Cause::ReportedBy(index) => ChangeReason::ReportedBy(self.names()[index].clone()),
                Cause::NotRefuted => ChangeReason::NotRefuted,
                Cause::Returned => ChangeReason::Returned,
                Cause::Left => ChangeReason::Left,
            };
            self.changes.push_back(MembershipChange {
                name,
                from: before,
                to: after,
                why,
            });
        }
    }
}
