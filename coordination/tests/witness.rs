//! One member as a witness, told by hand what its peers send.

use alderhollow_coordination::replica::interface::{
    Epoch, EpochRecord, Input, Member, MemberId, Millis, Output, Recovered, StateMachine,
};
use alderhollow_coordination::replica::message::{Heartbeat, Install, Message, Prepare, StateCopy};
use alderhollow_coordination::replica::settings::{Settings, Timings};
use alderhollow_coordination::replica::Replica;

const PRIMARY: MemberId = 1;
const CANDIDATE: MemberId = 2;
const START: Millis = 100_000;

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

/// A witness of epoch 1, which member 1 leads.
struct Witness {
    replica: Replica<Nothing>,
}

fn member(id: MemberId) -> Member {
    Member { id, node: format!("node-{id}"), zone: String::new(), contact: Vec::new() }
}

impl Witness {
    fn of_epoch_1() -> Witness {
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
        let mut witness = Witness { replica };
        witness.tell(START, Input::Tick);
        let me = witness.replica.member().clone();
        let witnesses = vec![member(PRIMARY), member(CANDIDATE), me.clone()];
        witness.tell(START, Input::Found { witnesses: witnesses.clone() });
        let record = EpochRecord {
            number: 1,
            primary: PRIMARY,
            replicas: vec![PRIMARY, me.id],
            witnesses,
            ..EpochRecord::default()
        };
        let state = StateCopy { version: 0, snapshot: Vec::new().into(), pending: None };
        let install = Install { record, state_epoch: 0, version: 0, state: Some(state) };
        let answers = witness.hear(START, PRIMARY, Message::Install(Box::new(install)));
        assert!(matches!(answers[..], [Message::Installed(_)]), "{answers:?}");
        witness
    }

    /// Tells it something; its writes are on disk at once.
    fn tell(&mut self, now: Millis, input: Input) -> Vec<Message> {
        let mut sent = Vec::new();
        let mut inputs = vec![input];
        while let Some(input) = inputs.pop() {
            let mut outputs = Vec::new();
            self.replica.handle(now, input, &mut outputs);
            for output in outputs {
                match output {
                    Output::Persist { token, .. } => inputs.push(Input::Persisted(token)),
                    Output::Send { message, .. } => sent.push(message),
                    _ => {}
                }
            }
        }
        sent
    }

    fn hear(&mut self, now: Millis, from: MemberId, message: Message) -> Vec<Message> {
        self.tell(now, Input::Message { from: member(from), message })
    }

    /// Whether a candidate is promised this number.
    fn promises(&mut self, now: Millis, from: MemberId, number: Epoch, handed_over: Option<Epoch>) -> bool {
        let prepare = Prepare { number, handed_over, state_epoch: Some(1), version: 0 };
        let answers = self.hear(now, from, Message::Prepare(prepare));
        match answers.as_slice() {
            [Message::Promise(_)] => true,
            [Message::Refusal(_)] => false,
            other => panic!("neither a promise nor a refusal: {other:?}"),
        }
    }

    /// Has the primary's heartbeat granted.
    fn grant(&mut self, now: Millis) {
        let heartbeat = Heartbeat { epoch: 1, sent_at: now, committed: 0 };
        let answers = self.hear(now, PRIMARY, Message::Heartbeat(heartbeat));
        assert!(matches!(&answers[..], [Message::HeartbeatAnswer(answer)] if answer.granted), "{answers:?}");
    }
}

/// A candidate whose pre-vote was won before the grant comes with its question after it.
#[test]
fn a_witness_promises_to_nobody_else_until_its_grant_has_run_out() {
    let grant_ms = Timings::default().grant_ms;
    let mut witness = Witness::of_epoch_1();
    witness.grant(START);
    assert!(!witness.promises(START, CANDIDATE, 2, None));
    assert!(!witness.promises(START + grant_ms - 1, CANDIDATE, 2, None));
    assert!(witness.promises(START + grant_ms, CANDIDATE, 2, None));
}

#[test]
fn a_witness_promises_at_once_to_the_holder_of_the_lease_and_to_its_chosen_successor() {
    let mut witness = Witness::of_epoch_1();
    witness.grant(START);
    assert!(witness.promises(START, PRIMARY, 2, None));
    let mut witness = Witness::of_epoch_1();
    witness.grant(START);
    assert!(!witness.promises(START, CANDIDATE, 2, Some(0)));
    assert!(witness.promises(START, CANDIDATE, 2, Some(1)));
}

#[test]
fn a_witness_takes_part_in_no_lower_epoch_than_it_promised() {
    let mut witness = Witness::of_epoch_1();
    let grant_ms = Timings::default().grant_ms;
    witness.grant(START);
    assert!(witness.promises(START + grant_ms, CANDIDATE, 5, None));
    assert!(!witness.promises(START + grant_ms, PRIMARY, 4, None));
    assert!(!witness.promises(START + grant_ms, PRIMARY, 5, None));
}
