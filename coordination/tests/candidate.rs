//! One member as a candidate, told by hand what its peers send.

use alderhollow_coordination::replica::interface::{
    EpochRecord, Input, Member, MemberId, Millis, Output, Recovered, StateMachine, Token,
};
use alderhollow_coordination::replica::message::{Message, PreVoteAnswer, Promise};
use alderhollow_coordination::replica::settings::{Settings, Timings};
use alderhollow_coordination::replica::Replica;

const PEERS: [MemberId; 2] = [1, 2];
const START: Millis = 100_000;
/// By then a founder has stood for election.
const ELECTION: Millis = START + 100;

/// A state without content.
#[derive(Default)]
struct Nothing;

impl StateMachine for Nothing {
    fn apply(&mut self, _: &[u8]) {}
    fn snapshot(&self) -> Vec<u8> {
        Vec::new()
    }
    fn restore(&mut self, _: &[u8]) {}
}

/// A founder whose disk takes writes when the test says so.
struct Candidate {
    replica: Replica<Nothing>,
    record: EpochRecord,
    unwritten: Vec<Token>,
}

fn member(id: MemberId) -> Member {
    Member { id, node: format!("node-{id}"), zone: String::new(), contact: Vec::new() }
}

impl Candidate {
    fn found() -> Candidate {
        let settings = Settings {
            node: "node-3".into(),
            zone: String::new(),
            contact: Vec::new(),
            first_start: true,
            tolerate_machines: 1,
            timings: Timings::default(),
            seed: 7,
        };
        let replica = Replica::open(settings, Recovered::default(), Nothing, START).expect("an empty disk");
        let mut witnesses = vec![member(PEERS[0]), member(PEERS[1]), replica.member().clone()];
        witnesses.sort();
        let replicas = witnesses.iter().map(|member| member.id).collect();
        let record = EpochRecord { replicas, witnesses: witnesses.clone(), ..EpochRecord::default() };
        let mut candidate = Candidate { replica, record, unwritten: Vec::new() };
        candidate.tell(START, Input::Tick);
        candidate.tell(START, Input::Found { witnesses });
        candidate.write_all(START);
        candidate
    }

    fn tell(&mut self, now: Millis, input: Input) -> Vec<Message> {
        let mut outputs = Vec::new();
        self.replica.handle(now, input, &mut outputs);
        let mut sent = Vec::new();
        for output in outputs {
            match output {
                Output::Persist { token, .. } => self.unwritten.push(token),
                Output::Send { message, .. } => sent.push(message),
                _ => {}
            }
        }
        sent
    }

    /// The disk has written all that was asked for so far.
    fn write_all(&mut self, now: Millis) -> Vec<Message> {
        let mut sent = Vec::new();
        while !self.unwritten.is_empty() {
            let token = self.unwritten.remove(0);
            sent.extend(self.tell(now, Input::Persisted(token)));
        }
        sent
    }

    /// Wins the pre-vote, and tells the number that it asks for.
    fn win_pre_vote(&mut self) -> u64 {
        let sent = self.tell(ELECTION, Input::Tick);
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
            sent.extend(self.tell(ELECTION, Input::Message { from: member(peer), message }));
        }
        let number = sent.iter().find_map(|message| match message {
            Message::Prepare(prepare) => Some(prepare.number),
            _ => None,
        });
        number.expect("a question for promises")
    }

    fn hear_promise(&mut self, from: MemberId, number: u64) -> Vec<Message> {
        let promise = Promise {
            number,
            record: Some(self.record.clone()),
            state_record: Some(self.record.clone()),
            version: 0,
            state: None,
        };
        self.tell(
            ELECTION,
            Input::Message { from: member(from), message: Message::Promise(Box::new(promise)) },
        )
    }
}

fn installs(messages: &[Message]) -> usize {
    messages.iter().filter(|message| matches!(message, Message::Install(_))).count()
}

/// Else it would lead an epoch in which it holds no state: who promised are the replicas.
#[test]
fn a_candidate_begins_no_epoch_before_its_own_promise_is_on_disk() {
    let mut candidate = Candidate::found();
    let number = candidate.win_pre_vote();
    for peer in PEERS {
        assert_eq!(installs(&candidate.hear_promise(peer, number)), 0);
    }
    let gathered = ELECTION + Timings::default().gather_ms;
    assert_eq!(installs(&candidate.tell(gathered, Input::Tick)), 0);
    assert!(installs(&candidate.write_all(gathered)) > 0);
}
