//! Step 1 of a campaign: the pre-vote, which asks the witnesses whether they would promise.
//!
//! It changes no state of the witnesses, so that a member that can't win does not disturb a working primary.

use super::{Campaign, Purpose};
use crate::replica::interface::{Member, MemberId, Millis, StateMachine};
use crate::replica::message::{Message, PreVote, PreVoteAnswer};
use crate::replica::Replica;
use std::collections::BTreeMap;

/// Timeout of a pre-vote, in milliseconds.
const PRE_VOTE_TIMEOUT_MS: Millis = 150;

/// State of a pre-vote.
#[derive(Debug)]
pub(in crate::replica) struct PreVoting {
    attempt: u64,
    started_at: Millis,
    answers: BTreeMap<MemberId, PreVoteAnswer>,
}

impl PreVoting {
    /// When the pre-vote times out.
    pub(super) fn ends_at(&self) -> Millis {
        self.started_at + PRE_VOTE_TIMEOUT_MS
    }

    /// Time until the first of the witnesses that rejected the pre-vote might vote for this candidate, in milliseconds.
    pub(super) fn min_wait_ms(&self) -> Millis {
        let waits = self.answers.values().filter(|answer| !answer.would_promise);
        waits.map(|answer| answer.wait_ms).min().unwrap_or_default()
    }
}

impl<S: StateMachine> Replica<S> {
    /// Starts a campaign. The successor of a hand-over skips the pre-vote.
    pub(in crate::replica) fn start_pre_vote(&mut self) {
        let Some(record) = self.durable.record.clone() else {
            return;
        };
        if let Some(epoch) = self.predecessor_epoch {
            return self.start_prepare(Purpose::Succeed(epoch));
        }
        let attempt = self.rng.rand_u64();
        let pre_voting = PreVoting {
            attempt,
            started_at: self.now,
            answers: BTreeMap::new(),
        };
        self.campaign = Some(Campaign::PreVoting(pre_voting));
        for member in record.voters() {
            self.send(member.clone(), Message::PreVote(PreVote { attempt }));
        }
    }

    /// Counts an answer; starts the prepare step once the pre-vote is won.
    pub(in crate::replica) fn on_pre_vote_answer(&mut self, from: &Member, answer: PreVoteAnswer) {
        self.observe_epoch(answer.promised);
        if let Some(record) = &answer.record {
            self.observe_record(record);
        }
        let Some(Campaign::PreVoting(pre_voting)) = &mut self.campaign else {
            return;
        };
        if pre_voting.attempt != answer.attempt {
            return;
        }
        pre_voting.answers.insert(from.id, answer);
        if self.excluded {
            self.campaign = None;
        } else if self.pre_vote_is_won() {
            self.start_prepare(Purpose::TakeOver);
        }
    }

    /// Whether a quorum would promise, by any of the records known from the answers or accepted by this member.
    fn pre_vote_is_won(&self) -> bool {
        let Some(Campaign::PreVoting(pre_voting)) = &self.campaign else {
            return false;
        };
        let would_promise = |id| {
            pre_voting
                .answers
                .get(&id)
                .is_some_and(|answer| answer.would_promise)
        };
        let records = pre_voting
            .answers
            .values()
            .filter_map(|answer| answer.record.as_ref());
        let mut records = records.chain(self.accepted_record());
        records.any(|record| record.has_quorum(would_promise))
    }
}
