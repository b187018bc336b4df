//! Proposals on the primary: their queue, their decision, and the replication of one command at a time.
//!
//! A command is committed once all replicas of the active record have it on disk.

use super::interface::{
    Decision, Member, MemberId, Outcome, Output, ProposeError, StateMachine, Token, Version,
};
use super::message::{Message, Write, Written};
use super::primary::{PendingWrite, Primary, QueuedProposal};
use super::Replica;
use std::collections::BTreeSet;

/// Maximum number of proposals in the queue.
const MAX_QUEUED_PROPOSALS: usize = 64;

impl<S: StateMachine> Replica<S> {
    /// Queues a proposal, or fails it if this member is not the primary, hands over or has a full queue.
    pub(super) fn on_propose(&mut self, token: Token, request: Vec<u8>) {
        let since = self.now;
        match &mut self.primary {
            Some(primary) if primary.hand_over.is_some() => {
                self.fail_proposal(token, ProposeError::NotPrimary);
            }
            Some(primary) if primary.queue.len() >= MAX_QUEUED_PROPOSALS => {
                self.fail_proposal(token, ProposeError::Overloaded);
            }
            Some(primary) => primary.queue.push_back(QueuedProposal {
                token,
                request,
                since,
            }),
            None => self.fail_proposal(token, ProposeError::NotPrimary),
        }
    }

    /// Decides proposals in order, up to the first one that changes the state. Requires the lease, under which the
    /// committed state is the newest one.
    pub(super) fn start_next_command(&mut self) {
        while self
            .primary
            .as_ref()
            .is_some_and(|primary| primary.write.is_none())
        {
            let Some(proposal) = self
                .primary
                .as_mut()
                .and_then(|primary| primary.queue.pop_front())
            else {
                return;
            };
            match self.durable.state().decide(&proposal.request) {
                Decision::Replicate(command) => self.start_write(proposal.token, command),
                Decision::Answer(answer) => {
                    let result = Ok(Outcome::Answered(answer));
                    self.outputs.push(Output::Proposed {
                        token: proposal.token,
                        result,
                    });
                }
            }
        }
    }

    /// Counts an acknowledgement of the command in flight; commits the command once all replicas have it.
    pub(super) fn on_written(&mut self, from: &Member, written: &Written) {
        let Some(primary) = &mut self.primary else {
            return;
        };
        if let Some(peer) = primary.peers.get_mut(&from.id) {
            peer.last_response_at = self.now;
        }
        let Some(write) = &mut primary.write else {
            return;
        };
        if (write.message.epoch, write.message.version) != (written.epoch, written.version) {
            return;
        }
        write.written.insert(from.id);
        let in_epoch = write.message.epoch == primary.record.number;
        if in_epoch
            && primary
                .record
                .replicas
                .iter()
                .all(|id| write.written.contains(id))
        {
            self.finish_write(written.version);
        }
    }

    /// Sends the command in flight, if due, to the replicas that have not acknowledged it.
    pub(super) fn resend_write(&mut self) {
        let resend_interval_ms = self.settings.timings.resend_interval_ms;
        let Some(primary) = &mut self.primary else {
            return;
        };
        let Some(write) = &mut primary.write else {
            return;
        };
        if self.now < write.next_send {
            return;
        }
        write.next_send = self.now + resend_interval_ms;
        let unanswered = |id: &MemberId| !write.written.contains(id);
        let recipients = primary.record.replicas.iter().filter(|id| unanswered(id));
        let recipients: Vec<_> = recipients
            .filter_map(|id| primary.record.member(*id))
            .cloned()
            .collect();
        let message = write.message.clone();
        for member in recipients {
            self.send(member, Message::Write(message.clone()));
        }
    }

    /// Fails proposals that waited for too long. They were not started.
    pub(super) fn expire_proposals(&mut self) {
        let limit = self.settings.timings.proposal_timeout_ms;
        let now = self.now;
        let is_expired = |primary: &Primary| {
            primary
                .queue
                .front()
                .is_some_and(|first| now >= first.since + limit)
        };
        while self.primary.as_ref().is_some_and(is_expired) {
            let Some(expired) = self
                .primary
                .as_mut()
                .and_then(|primary| primary.queue.pop_front())
            else {
                return;
            };
            self.fail_proposal(expired.token, ProposeError::NotPrimary);
        }
    }

    /// Completes the command that was in flight when this primary started its next epoch. The initial state of that
    /// epoch shows whether the command was committed.
    pub(super) fn finish_write_of_previous_epoch(&mut self) {
        let Some(write) = self
            .primary
            .as_mut()
            .and_then(|primary| primary.write.take())
        else {
            return;
        };
        let version = write.message.version;
        if self.durable.version() >= version {
            self.complete_proposal(write.token, version);
        } else {
            self.fail_proposal(write.token, ProposeError::Unknown);
        }
    }

    /// Reports the failure of a proposal.
    pub(super) fn fail_proposal(&mut self, token: Token, error: ProposeError) {
        self.outputs.push(Output::Proposed {
            token,
            result: Err(error),
        });
    }

    /// Starts the replication of a command.
    fn start_write(&mut self, token: Token, command: Vec<u8>) {
        let version = self.durable.version() + 1;
        let now = self.now;
        let Some(primary) = &mut self.primary else {
            return;
        };
        let message = Write {
            epoch: primary.record.number,
            version,
            command,
        };
        let written = BTreeSet::new();
        primary.write = Some(PendingWrite {
            token,
            since: now,
            next_send: now,
            written,
            message,
        });
        self.resend_write();
    }

    /// Commits the command in flight.
    fn finish_write(&mut self, version: Version) {
        self.durable.commit_up_to(version);
        let Some(write) = self
            .primary
            .as_mut()
            .and_then(|primary| primary.write.take())
        else {
            return;
        };
        self.complete_proposal(write.token, version);
    }

    /// Reports the commit of a proposal's command.
    fn complete_proposal(&mut self, token: Token, version: Version) {
        self.outputs.push(Output::Proposed {
            token,
            result: Ok(Outcome::Committed(version)),
        });
    }
}
