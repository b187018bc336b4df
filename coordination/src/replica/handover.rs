//! Hand-over: the planned change of the primary, on shutdown, with a stalled disk or without a quorum.
//!
//! The primary stops using its lease, fails the proposals that wait, and asks one replica after the other to start an
//! election at once. Because the lease is released, the successor's prepare does not wait for the grants to expire.

use super::interface::{Member, MemberId, Millis, Output, ProposeError, StateMachine};
use super::message::{HandOver, Message};
use super::primary::{HandOverProgress, Peer, Primary};
use super::Replica;

/// Time that the command in flight gets to complete before the hand-over starts, in milliseconds.
const PENDING_WRITE_GRACE_MS: Millis = 30;
/// Interval between two [`Message::HandOver`], in milliseconds.
const HAND_OVER_RESEND_MS: Millis = 40;
/// Number of messages to one successor before the next one is asked.
const SENDS_PER_SUCCESSOR: usize = 3;

impl<S: StateMachine> Replica<S> {
    /// Starts the shutdown of this member: a primary hands over, another member notifies the primary.
    pub(super) fn on_leave(&mut self) {
        if self.leaving {
            return;
        }
        self.leaving = true;
        if self.primary.is_some() {
            self.leave_deadline = Some(self.now + self.settings.timings.hand_over_timeout_ms);
            return self.start_hand_over();
        }
        self.campaign = None;
        if let Some(primary) = self.primary().cloned() {
            self.send(primary, Message::Leaving);
        }
        self.outputs.push(Output::HandedOver);
    }

    /// Starts an election at once if the sender is the primary and this member is one of its replicas.
    pub(super) fn on_hand_over(&mut self, from: &Member, hand_over: &HandOver) {
        self.observe_epoch(hand_over.epoch);
        let is_from_primary = self.accepted_record().is_some_and(|record| {
            record.number <= hand_over.epoch
                && record.primary == from.id
                && record.is_replica(self.me.id)
        });
        if is_from_primary && self.predecessor_epoch.is_none() && from.id != self.me.id {
            self.campaign = None;
            if self.may_campaign() {
                self.predecessor_epoch = Some(hand_over.epoch);
                self.start_pre_vote();
            }
        }
    }

    /// Hands over if the own disk is stalled or a quorum no longer answers, though some of the members may still
    /// receive messages.
    pub(super) fn check_health(&mut self) {
        let hands_over = self
            .primary
            .as_ref()
            .is_some_and(|primary| primary.hand_over.is_some());
        if !hands_over && (self.disk_is_stalled() || self.has_lost_quorum()) {
            self.start_hand_over();
        }
    }

    /// Sends [`Message::HandOver`] until a successor has taken over or the hand-over times out.
    pub(super) fn check_hand_over(&mut self) {
        let limit = self.settings.timings.hand_over_timeout_ms;
        let epoch = self
            .durable
            .record
            .as_ref()
            .map_or(0, |record| record.number);
        let Some(primary) = &mut self.primary else {
            return;
        };
        let Some(hand_over) = primary.hand_over else {
            return;
        };
        if self.now >= hand_over.since + limit {
            return self.step_down();
        }
        let last_command_ends = hand_over.since + PENDING_WRITE_GRACE_MS;
        if primary.write.is_some() && self.now < last_command_ends {
            primary.hand_over = Some(HandOverProgress {
                next_send: last_command_ends,
                ..hand_over
            });
            return;
        }
        if self.now < hand_over.next_send && hand_over.send_count > 0 {
            return;
        }
        primary.hand_over = Some(HandOverProgress {
            next_send: self.now + HAND_OVER_RESEND_MS,
            send_count: hand_over.send_count + 1,
            ..hand_over
        });
        let successors = successors(primary, self.me.id);
        let message = Message::HandOver(HandOver { epoch });
        if let Some(successor) =
            successors.get(hand_over.send_count / SENDS_PER_SUCCESSOR % successors.len().max(1))
        {
            self.send(successor.clone(), message);
        }
    }

    /// Completes a shutdown once the epoch record of another primary is installed.
    pub(super) fn on_successor_installed(&mut self) {
        if self.leave_deadline.take().is_some() {
            self.outputs.push(Output::HandedOver);
        }
    }

    /// Completes a shutdown whose hand-over has not finished in time.
    pub(super) fn check_leave_deadline(&mut self) {
        if self
            .leave_deadline
            .is_some_and(|deadline| self.now >= deadline)
        {
            self.step_down();
            self.on_successor_installed();
        }
    }

    /// Begins a hand-over. The lease is not used again in this epoch, and a reconfiguration in progress is abandoned.
    fn start_hand_over(&mut self) {
        let now = self.now;
        self.campaign = None;
        let Some(primary) = &mut self.primary else {
            return;
        };
        primary.hand_over = Some(HandOverProgress {
            since: now,
            next_send: now,
            send_count: 0,
        });
        let waiting = std::mem::take(&mut primary.queue);
        let is_alone = successors(primary, self.me.id).is_empty();
        for proposal in waiting {
            self.fail_proposal(proposal.token, ProposeError::NotPrimary);
        }
        if is_alone {
            self.step_down();
            self.on_successor_installed();
        }
    }
}

/// The other replicas that are not shutting down, the most recently responsive first.
fn successors(primary: &Primary, me: MemberId) -> Vec<Member> {
    let last_response_at = |member: &&Member| {
        primary
            .peers
            .get(&member.id)
            .map_or(0, |peer| peer.last_response_at)
    };
    let is_leaving = |member: &Member| primary.peers.get(&member.id).is_some_and(Peer::is_leaving);
    let others = primary
        .record
        .witnesses
        .iter()
        .filter(|member| member.id != me && !is_leaving(member));
    let mut replicas: Vec<&Member> = others
        .filter(|member| primary.record.is_replica(member.id))
        .collect();
    replicas.sort_by_key(|member| std::cmp::Reverse(last_response_at(member)));
    replicas.into_iter().cloned().collect()
}
