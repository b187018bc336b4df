//! Applies received membership updates, about other gateways and about this one.
//!
//! Precedence follows [`crate::precedence`]. A report of a death is never taken over by itself: it becomes a suspicion or
//! a probe of this gateway, unless this gateway suspects the peer already.

use super::anti_entropy::SYNC_INTERVAL_PERIODS;
use super::healing::HEALING_STEPS;
use super::member::{Cause, Member, GOSSIPED_CONFIDENCE};
use super::{ChangeReason, Membership, MembershipChange};
use crate::precedence::{self, KnownUpdate, Precedence, SelfUpdateAction};
use crate::protocol::{IndexedTransmit, Micros, PeerIndex, PeerState};
use crate::wire::{Incarnation, UpdateStatus};

/// Number of urgent updates up to which the backlog is small: updates are gossiped, and transmitted more often.
pub(super) const SMALL_BACKLOG: usize = 16;
/// Transmissions of an update by each gateway while the backlog is small, and while it is large.
pub(super) const MAX_TRANSMISSIONS: u8 = 12;
pub(super) const MAX_TRANSMISSIONS_LARGE_BACKLOG: u8 = 4;
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
        let before = self.members[index].state();
        let member = &mut self.members[index];
        let known = KnownUpdate {
            incarnation: member.incarnation,
            dead: member.dead,
        };
        let precedence = precedence::precedence_of(known, incarnation);
        if precedence == Precedence::Older {
            return false;
        }
        let cause = if from == index {
            Cause::Returned
        } else {
            Cause::ReportedBy(from)
        };
        if let Precedence::Newer { same_process } = precedence {
            let returned = member.dead;
            // Only refutations are gossiped: every gateway considers a peer alive from the beginning.
            let transmissions = match before {
                PeerState::Alive if self.is_update_backlog_large || incarnation as u16 == 0 => {
                    member.transmissions
                }
                // The refuted suspicion never reached this gateway, so the refutation needs few transmissions.
                PeerState::Alive => Some(
                    member
                        .transmissions
                        .unwrap_or(MAX_TRANSMISSIONS)
                        .min(MAX_TRANSMISSIONS - TRANSMISSIONS_OF_KNOWN_UPDATE),
                ),
                _ => Some(0),
            };
            let urgent = returned || member.has_gossiped_suspicion();
            let dead = precedence::apply_update(known, incarnation, status).dead;
            *member = Member {
                incarnation,
                dead,
                left: dead && status == UpdateStatus::Left,
                suspicion: None,
                raised_at: Some(now),
                returned_at: if returned && !dead {
                    Some(now)
                } else {
                    member.returned_at
                },
                rejoined_at: if returned && !dead && same_process {
                    Some(now)
                } else {
                    member.rejoined_at
                },
                transmissions,
                urgent,
                ..*member
            };
            self.record_change(now, index, before, cause);
            if returned && !dead {
                self.healing_until_step = self.step + HEALING_STEPS;
            }
        }
        let awake = now >= self.resumed_at + self.probe_periods(RESUME_GRACE_PERIODS);
        let member = &mut self.members[index];
        match status {
            UpdateStatus::Alive => !member.dead,
            UpdateStatus::Suspect(_) if member.dead => false,
            UpdateStatus::Suspect(tenths) => {
                let age = self.probe_periods(f64::from(tenths) / 10.0);
                if age <= self.probe_periods(MAX_SUSPICION_AGE_PERIODS) {
                    self.raise_suspicion(
                        now,
                        index,
                        now.saturating_sub(age),
                        GOSSIPED_CONFIDENCE,
                        cause,
                    );
                }
                true
            }
            UpdateStatus::Dead | UpdateStatus::Left if member.dead => true,
            UpdateStatus::Left => {
                // Only the peer itself announces its shutdown.
                member.mark_dead(0);
                member.left = true;
                self.record_change(now, index, before, Cause::Left);
                true
            }
            UpdateStatus::Dead if member.has_gossiped_suspicion() && awake => {
                member.mark_dead(0);
                self.record_change(now, index, before, cause);
                true
            }
            UpdateStatus::Dead if self.was_recently_unreachable(now, from) => {
                // The verdict may come from the other side of a partition: probe the peer.
                if self
                    .probes
                    .values()
                    .filter(|probe| probe.target_reported_dead)
                    .count()
                    < MAX_REPORTED_DEAD_PROBES
                {
                    self.probe_reported_dead(now, index, incarnation, sends);
                }
                true
            }
            UpdateStatus::Dead => {
                // This gateway missed the suspicion; a refutation may still arrive.
                let since = now.saturating_sub(self.probe_periods(REPORTED_DEATH_AGE_PERIODS));
                self.raise_suspicion(now, index, since, GOSSIPED_CONFIDENCE, cause);
                if !self.is_update_backlog_large {
                    self.suspects_to_notify.push(index);
                }
                true
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
                (self.superseded, self.superseded_reported) = (false, false)
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
                Cause::ReportedBy(index) => ChangeReason::ToldBy(self.names()[index].clone()),
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
