//! Start of an epoch by a candidate.

use super::{ScriptedMember, STARTED_AT};
use alderhollow_coordination::replica::interface::{EpochRecord, Input, MemberId, Millis};
use alderhollow_coordination::replica::message::{Message, PreVoteAnswer, Promise};
use alderhollow_coordination::replica::settings::Timings;

const PEERS: [MemberId; 2] = [1, 2];
/// Time by which a founder has started an election.
const ELECTION_AT: Millis = STARTED_AT + 100;

/// A founder that starts an election.
struct Candidate {
    member: ScriptedMember,
    record: EpochRecord,
}

impl Candidate {
    fn new() -> Candidate {
        let mut member = ScriptedMember::third_seed();
        let witnesses = member.found_core();
        let replicas = witnesses.iter().map(|member| member.id).collect();
        Candidate {
            member,
            record: EpochRecord {
                replicas,
                witnesses,
                ..EpochRecord::default()
            },
        }
    }

    /// Wins the pre-vote; returns the number of the prepare that follows.
    fn win_pre_vote(&mut self) -> u64 {
        let sent = self.member.handle_input(ELECTION_AT, Input::Tick);
        let attempt = sent.iter().find_map(|message| match message {
            Message::PreVote(pre_vote) => Some(pre_vote.attempt),
            _ => None,
        });
        let answer = PreVoteAnswer {
            attempt: attempt.expect("a pre-vote"),
            would_promise: true,
            wait_ms: 0,
            promised: 0,
            record: Some(self.record.clone()),
        };
        let mut sent = Vec::new();
        for peer in PEERS {
            let message = Message::PreVoteAnswer(answer.clone());
            sent.extend(self.member.deliver(ELECTION_AT, peer, message));
        }
        let number = sent.iter().find_map(|message| match message {
            Message::Prepare(prepare) => Some(prepare.number),
            _ => None,
        });
        number.expect("a prepare")
    }

    fn deliver_promise(&mut self, from: MemberId, number: u64) -> Vec<Message> {
        let promise = Promise {
            number,
            record: Some(self.record.clone()),
            state_record: Some(self.record.clone()),
            version: 0,
            state: None,
        };
        self.member
            .deliver(ELECTION_AT, from, Message::Promise(Box::new(promise)))
    }
}

fn install_count(messages: &[Message]) -> usize {
    messages
        .iter()
        .filter(|message| matches!(message, Message::Install(_)))
        .count()
}

/// Otherwise it would be primary of an epoch in which it has no state, because the members that promised are the
/// replicas.
#[test]
fn a_candidate_installs_no_record_before_its_own_promise_is_on_disk() {
    let mut candidate = Candidate::new();
    let number = candidate.win_pre_vote();
    for peer in PEERS {
        assert_eq!(install_count(&candidate.deliver_promise(peer, number)), 0);
    }
    let gathering_ends = ELECTION_AT + Timings::default().promise_gathering_ms;
    assert_eq!(
        install_count(&candidate.member.handle_input(gathering_ends, Input::Tick)),
        0
    );
    assert!(install_count(&candidate.member.complete_writes(gathering_ends)) > 0);
}
