//! Suspicion: how it is raised, confirmed and expires into a verdict, with Lifeguard's local health score. Also the two
//! cases in which this gateway distrusts its own observations: after a stall, and while it receives nothing at all.
//!
//! A suspicion below [`GOSSIPED_CONFIDENCE`] is local: any datagram from the peer clears it. One that is gossiped ends
//! only by a refutation, which is a newer incarnation, or by its timeout.

use super::member::{Cause, Suspicion, GOSSIPED_CONFIDENCE};
use super::transmit::{Priority, SMALL_BACKLOG};
use super::Membership;
use crate::protocol::{IndexedTransmit, Micros, PeerIndex, PeerState};
use crate::wire::MessageKind;
use rand::Rng;

/// Time from suspicion to verdict in probe periods, by confidence from 1 to 3.
const SUSPICION_PERIODS: [f64; 3] = [10.0, 6.0, 4.2];
/// Before a suspicion expires, another gateway is requested to confirm it. Time before the expiry of the first request,
/// interval of retries for one suspicion, and interval of requests altogether, in probe periods.
const CONFIRM_LEAD_PERIODS: f64 = 1.2;
const CONFIRM_RETRY_PERIODS: f64 = 0.4;
/// Maximum number of requests for one suspicion.
const MAX_CONFIRM_REQUESTS: u8 = 5;
const CONFIRM_INTERVAL_PERIODS: f64 = 0.8;
/// Maximum number of suspicions in one request.
const MAX_CONFIRMED_AT_ONCE: usize = 40;
/// Minimum time from the receipt of a gossiped suspicion to its expiry, in probe periods, which leaves time to confirm it.
const MIN_CONFIRM_PERIODS: f64 = 0.8;
/// Mean number of gateways that forward a gossiped suspicion to the suspected peer itself.
const SUSPECT_NOTIFICATIONS: f64 = 4.0;
/// Probe periods without any datagram after which a gateway considers itself isolated.
const ISOLATION_PERIODS: f64 = 6.0;
/// Delay of a timer, in probe periods, from which on the process has stalled: timeouts of that time prove nothing.
const STALL_PERIODS: f64 = 0.6;
/// Maximum local health score (Lifeguard). A score of `n` multiplies the timeout of suspicions by `1 + n`.
const MAX_LOCAL_HEALTH_SCORE: u32 = 2;

impl Membership {
    /// Handles a probe that timed out. `confidence` is the number of helpers that reported a miss too.
    pub(super) fn on_failed_probe(&mut self, now: Micros, target: PeerIndex, confidence: u8) {
        let member = &self.members[target];
        if member.dead {
            return;
        }
        let is_pair = self.count_not_dead() <= 2;
        if confidence == 0 && !is_pair && member.suspicion.is_none() {
            // No helper reported either: the fault may be at this gateway.
            self.local_health_score = (self.local_health_score + 1).min(MAX_LOCAL_HEALTH_SCORE);
        }
        let known_confidence = member
            .suspicion
            .as_ref()
            .map_or(0, |suspicion| suspicion.confidence);
        self.raise_suspicion(
            now,
            target,
            now,
            confidence
                .max(known_confidence + 1)
                .min(GOSSIPED_CONFIDENCE),
            Cause::NoAnswer,
        );
    }

    /// Suspects a peer with this confidence since `started_at`, or raises the confidence of its suspicion. A higher
    /// confidence shortens the timeout.
    pub(super) fn raise_suspicion(
        &mut self,
        now: Micros,
        index: PeerIndex,
        started_at: Micros,
        confidence: u8,
        cause: Cause,
    ) {
        let timeout = |confidence: u8| {
            SUSPICION_PERIODS[usize::from(confidence.clamp(1, 3)) - 1]
                * f64::from(1 + self.local_health_score)
        };
        let (timeout, min_confirm_time) = (
            self.probe_periods(timeout(confidence)),
            self.probe_periods(MIN_CONFIRM_PERIODS),
        );
        let before = self.members[index].state();
        let member = &mut self.members[index];
        match &mut member.suspicion {
            Some(suspicion) if suspicion.confidence >= confidence => return,
            Some(suspicion) => {
                (suspicion.confidence, suspicion.expires_at) = (
                    confidence,
                    suspicion
                        .expires_at
                        .min(suspicion.started_at + timeout)
                        .max(now),
                );
            }
            none => {
                // A gateway that learns of the suspicion late still has time to request a confirmation.
                let expires_at = (started_at + timeout).max(now + min_confirm_time);
                *none = Some(Suspicion {
                    started_at,
                    expires_at,
                    ..Suspicion::new(now, timeout, confidence)
                });
            }
        }
        if confidence >= GOSSIPED_CONFIDENCE {
            // Only suspicions from this confidence on are gossiped.
            (member.transmissions, member.urgent) = (Some(0), true);
            if matches!(cause, Cause::ReportedBy(_)) {
                self.maybe_notify_suspect(index);
            }
        }
        self.record_change(now, index, before, cause);
    }

    /// Clears a local suspicion, as a datagram from the peer itself arrived.
    pub(super) fn clear_local_suspicion(&mut self, now: Micros, index: PeerIndex) {
        let member = &mut self.members[index];
        if member.has_local_suspicion() {
            member.suspicion = None;
            self.record_change(now, index, PeerState::Suspect, Cause::Returned);
        }
    }

    /// Detects a stall of this process by a late timer. Answers may have been lost during the stall, so probes are dropped,
    /// suspicions restart with the lowest confidence, and the observation of the cluster starts again.
    pub(super) fn check_for_stall(&mut self, now: Micros) {
        if now <= self.next_step_at + self.probe_periods(STALL_PERIODS) {
            return;
        }
        self.probes.clear();
        self.indirect_probes.clear();
        self.pending_confirmations.clear();
        (self.watching_since, self.resumed_at) = (now, now);
        self.on_contact(now);
        self.local_health_score = (self.local_health_score + 1).min(MAX_LOCAL_HEALTH_SCORE);
        let timeout = self.probe_periods(SUSPICION_PERIODS[0]);
        for member in &mut self.members {
            if member.suspicion.is_some() {
                member.suspicion = Some(Suspicion::new(now, timeout, 1));
            }
        }
        self.next_step_at = now;
    }

    /// Detects the isolation of this gateway: if no datagram arrives at all, it suspects all peers at once instead of probing
    /// each. These suspicions are local and end with the first datagram ([`Membership::on_contact`]).
    pub(super) fn check_isolation(&mut self, now: Micros) {
        if self.isolated || now < self.last_contact_at + self.probe_periods(ISOLATION_PERIODS) {
            return;
        }
        self.isolated = true;
        let timeout = self.probe_periods(SUSPICION_PERIODS[2]);
        for index in (0..self.members.len())
            .filter(|index| *index != self.own_index)
            .collect::<Vec<_>>()
        {
            let member = &mut self.members[index];
            let before = member.state();
            if member.dead {
                continue;
            }
            let suspicion = member
                .suspicion
                .get_or_insert(Suspicion::new(now, timeout, 1));
            (suspicion.expires_at, suspicion.confirmed) =
                (suspicion.expires_at.min(now + timeout), true);
            self.record_change(now, index, before, Cause::NoAnswer);
        }
    }

    /// Handles the arrival of any datagram: the gateway is not isolated.
    pub(super) fn on_contact(&mut self, now: Micros) {
        self.last_contact_at = now;
        if std::mem::take(&mut self.isolated) {
            (0..self.members.len()).for_each(|index| self.clear_local_suspicion(now, index));
        }
    }

    /// Requests another gateway to confirm the suspicions that expire soon: this gateway may have missed a refutation.
    pub(super) fn check_expiring_suspicions(
        &mut self,
        now: Micros,
        sends: &mut Vec<IndexedTransmit>,
    ) {
        let gossiped_suspicions = self
            .members
            .iter()
            .filter(|member| member.gossiped_state() == PeerState::Suspect)
            .count();
        if gossiped_suspicions > SMALL_BACKLOG {
            // So many suspicions are confirmed by the summaries that are exchanged anyway.
            return;
        }
        let interval = self.probe_periods(CONFIRM_INTERVAL_PERIODS);
        if now < self.last_confirm_request_at + interval {
            return;
        }
        let suspects = self.suspects_to_confirm(now);
        if suspects.is_empty() {
            return;
        }
        match self.choose_helpers(self.own_index).first().copied() {
            Some(to) => self.send_confirm_request(now, to, suspects, sends),
            // No other gateway is alive that could know a refutation.
            None => self.confirm_suspicions(&suspects),
        }
    }

    /// The peers whose suspicion expires soon and has to be confirmed now.
    fn suspects_to_confirm(&self, now: Micros) -> Vec<PeerIndex> {
        let lead = self.probe_periods(CONFIRM_LEAD_PERIODS);
        let is_due = |suspicion: &Suspicion| {
            !suspicion.confirmed
                && suspicion.confirm_requests < MAX_CONFIRM_REQUESTS
                && suspicion.expires_at <= now + lead
                && suspicion.next_confirm_at <= now
        };
        (0..self.members.len())
            .filter(|index| {
                let suspicion = self.members[*index].suspicion.as_ref();
                suspicion.is_some_and(is_due)
            })
            .take(MAX_CONFIRMED_AT_ONCE)
            .collect()
    }

    fn send_confirm_request(
        &mut self,
        now: Micros,
        to: PeerIndex,
        suspects: Vec<PeerIndex>,
        sends: &mut Vec<IndexedTransmit>,
    ) {
        self.last_confirm_request_at = now;
        let number = self.next_number();
        let request = MessageKind::ConfirmRequest(number);
        let was_sent =
            self.send_updates(now, to, request, suspects.clone(), Priority::Gossip, sends);
        let next_confirm_at = now + self.probe_periods(CONFIRM_RETRY_PERIODS);
        for index in &suspects {
            if let Some(suspicion) = &mut self.members[*index].suspicion {
                suspicion.confirm_requests += 1;
                suspicion.next_confirm_at = next_confirm_at;
            }
        }
        if was_sent {
            self.pending_confirmations.insert(number, suspects);
            while self.pending_confirmations.len() > usize::from(MAX_CONFIRM_REQUESTS) {
                self.pending_confirmations.pop_first();
            }
        }
    }

    /// Handles the answer to a confirm request. Refutations in the same datagram have cleared their suspicions before.
    pub(super) fn on_confirm_response(&mut self, number: u32) {
        let suspects = self.pending_confirmations.remove(&number);
        self.confirm_suspicions(&suspects.unwrap_or_default());
    }

    /// Marks the suspicions of these peers as confirmed, so that they expire in time.
    fn confirm_suspicions(&mut self, suspects: &[PeerIndex]) {
        for index in suspects {
            if let Some(suspicion) = &mut self.members[*index].suspicion {
                suspicion.confirmed = true;
            }
        }
    }

    /// Forwards a gossiped suspicion to the suspected peer with a probability such that a few gateways do so: the peer can
    /// only refute what it receives.
    fn maybe_notify_suspect(&mut self, index: PeerIndex) {
        let chance = (SUSPECT_NOTIFICATIONS / self.count_not_dead().max(1) as f64).min(1.0);
        if self.rng.random_bool(chance) {
            self.suspects_to_notify.push(index);
        }
    }

    /// Declares peers dead whose suspicion has expired. An unconfirmed suspicion waits for its confirmation requests first.
    pub(super) fn check_expired_suspicions(&mut self, now: Micros) {
        let confirm_timeout =
            self.probe_periods(CONFIRM_RETRY_PERIODS * f64::from(MAX_CONFIRM_REQUESTS));
        for index in 0..self.members.len() {
            let member = &mut self.members[index];
            let has_expired = |suspicion: &Suspicion| {
                suspicion.expires_at <= now
                    && (suspicion.confirmed || suspicion.expires_at + confirm_timeout <= now)
            };
            if member.suspicion.as_ref().is_some_and(has_expired) {
                let before = member.state();
                member.declare_dead(1);
                // Other gateways know the suspicion and reach the verdict themselves.
                member.urgent = false;
                self.record_change(now, index, before, Cause::NotRefuted);
            }
        }
    }
}
