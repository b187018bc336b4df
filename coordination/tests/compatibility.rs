//! Messages and stored state are encoded to the same bytes as by earlier builds, and decoded from them.

use alderhollow_coordination::replica::inspection::read_member;
use alderhollow_coordination::replica::interface::{
    Ancestor, EpochRecord, Input, Member, Output, Recovered, StateMachine,
};
use alderhollow_coordination::replica::message::{
    Envelope, HandOver, Heartbeat, HeartbeatAnswer, Install, Installed, Message, PreVote,
    PreVoteAnswer, Prepare, Promise, Rejection, StateCopy, Write, Written,
};
use alderhollow_coordination::replica::settings::{Settings, Timings};
use alderhollow_coordination::replica::Replica;
use alderhollow_recorded_bytes::RecordedBytes;
use minicbor::Encode;

/// The layout of an epoch record before it had a lineage.
#[derive(Encode)]
struct FormerRecord {
    #[n(0)]
    number: u64,
    #[n(1)]
    primary: u64,
    #[n(2)]
    replicas: Vec<u64>,
    #[n(3)]
    witnesses: Vec<Member>,
    #[n(4)]
    former_witnesses: Vec<Member>,
    #[n(5)]
    follows: u64,
}

#[test]
fn a_record_without_lineage_is_decoded() {
    let former = FormerRecord {
        number: 7,
        primary: 2,
        replicas: vec![1, 2],
        witnesses: Vec::new(),
        former_witnesses: Vec::new(),
        follows: 6,
    };
    let bytes = minicbor::to_vec(former).expect("encodes");
    let record: EpochRecord = minicbor::decode(&bytes).expect("decodes");
    let expected = EpochRecord {
        number: 7,
        primary: 2,
        replicas: vec![1, 2],
        follows: 6,
        ..EpochRecord::default()
    };
    assert_eq!(record, expected);
}

fn member(id: u64) -> Member {
    Member {
        id,
        node: format!("machine-{id}"),
        zone: "east".into(),
        contact: vec![1, 2, id as u8],
    }
}

fn record() -> EpochRecord {
    EpochRecord {
        number: 7,
        primary: 2,
        replicas: vec![1, 2],
        witnesses: vec![member(1), member(2), member(3)],
        former_witnesses: vec![member(4)],
        follows: 6,
        lineage: vec![Ancestor {
            number: 6,
            replicas: vec![1, 4],
            follows: 5,
        }],
    }
}

fn state_copy() -> StateCopy {
    StateCopy {
        version: 41,
        snapshot: vec![0xaa, 0xbb].into(),
        pending: Some(vec![0xcc].into()),
    }
}

/// One message of each kind, in the order of the fixture.
fn messages() -> Vec<(&'static str, Message)> {
    let mut messages = campaign_messages();
    messages.extend(primary_messages());
    messages
}

/// The messages by which an epoch is started.
fn campaign_messages() -> Vec<(&'static str, Message)> {
    let promise = Promise {
        number: 8,
        record: Some(record()),
        state_record: Some(record()),
        version: 42,
        state: Some(state_copy()),
    };
    let install = Install {
        record: record(),
        state_epoch: 6,
        version: 42,
        state: Some(state_copy()),
    };
    let pre_vote_answer = PreVoteAnswer {
        attempt: 9,
        would_promise: true,
        wait_ms: 300,
        promised: 8,
        record: Some(record()),
    };
    vec![
        ("pre_vote", Message::PreVote(PreVote { attempt: 9 })),
        ("pre_vote_answer", Message::PreVoteAnswer(pre_vote_answer)),
        (
            "prepare",
            Message::Prepare(Prepare {
                number: 8,
                released_epoch: Some(7),
                state_epoch: Some(6),
                version: 41,
            }),
        ),
        ("promise", Message::Promise(Box::new(promise))),
        (
            "refusal",
            Message::Rejection(Rejection {
                number: 8,
                promised: 9,
                record: Some(record()),
            }),
        ),
        ("install", Message::Install(Box::new(install))),
        ("installed", Message::Installed(Installed { number: 8 })),
    ]
}

/// The messages of an active epoch.
fn primary_messages() -> Vec<(&'static str, Message)> {
    let heartbeat_answer = HeartbeatAnswer {
        epoch: 7,
        sent_at: 1234,
        granted: true,
        promised: 8,
        promised_to: 3,
        record_number: Some(7),
        leaving: true,
    };
    vec![
        (
            "write",
            Message::Write(Write {
                epoch: 8,
                version: 43,
                command: vec![1, 2, 3],
            }),
        ),
        (
            "written",
            Message::Written(Written {
                epoch: 8,
                version: 43,
            }),
        ),
        (
            "heartbeat",
            Message::Heartbeat(Heartbeat {
                epoch: 8,
                sent_at: 1234,
                committed: 42,
            }),
        ),
        (
            "heartbeat_answer",
            Message::HeartbeatAnswer(heartbeat_answer),
        ),
        ("hand_over", Message::HandOver(HandOver { epoch: 8 })),
        ("leaving", Message::Leaving),
    ]
}

#[test]
fn messages_encode_and_decode_as_recorded() {
    let mut recorded = RecordedBytes::open(concat!(
        env!("CARGO_MANIFEST_DIR"),
        "/tests/fixtures/messages.txt"
    ));
    for (name, message) in messages() {
        let envelope = Envelope {
            from: member(1),
            to: 2,
            message,
        };
        recorded.check(
            name,
            &envelope,
            |envelope| minicbor::to_vec(envelope).expect("encodes"),
            |bytes| minicbor::decode(bytes).ok(),
        );
    }
    recorded.finish();
}

/// A state that consists of the list of all commands.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
struct CommandList(Vec<u8>);

impl StateMachine for CommandList {
    fn apply(&mut self, command: &[u8]) {
        self.0.extend_from_slice(command);
    }
    fn snapshot(&self) -> Vec<u8> {
        self.0.clone()
    }
    fn restore(&mut self, snapshot: &[u8]) {
        self.0 = snapshot.to_vec();
    }
}

/// The records that a member writes when it is founded, takes part in epochs of another primary and appends two
/// commands.
fn written_by_a_replica() -> Vec<Vec<u8>> {
    let settings = Settings {
        node: "machine-3".into(),
        zone: "east".into(),
        contact: vec![1, 2, 3],
        first_start: true,
        tolerate_machines: 1,
        timings: Timings::default(),
        seed: 7,
    };
    let start = 100_000;
    let mut replica = Replica::open(
        settings,
        Recovered::default(),
        CommandList::default(),
        start,
    )
    .expect("an empty disk");
    let this = replica.member().clone();
    let first_record = EpochRecord {
        number: 1,
        primary: 1,
        replicas: vec![1, this.id],
        witnesses: vec![member(1), member(2), this.clone()],
        ..EpochRecord::default()
    };
    let prepare = Prepare {
        number: 1,
        released_epoch: None,
        state_epoch: Some(0),
        version: 0,
    };
    let install = Install {
        record: first_record,
        state_epoch: 0,
        version: 0,
        state: None,
    };
    let from_primary = |message| Input::Message {
        from: member(1),
        message,
    };
    let write = |version, command| {
        from_primary(Message::Write(Write {
            epoch: 1,
            version,
            command,
        }))
    };
    let inputs = [
        Input::Tick,
        Input::Found {
            witnesses: vec![member(1), member(2), this],
        },
        from_primary(Message::Prepare(prepare)),
        from_primary(Message::Install(Box::new(install))),
        write(1, vec![0x11, 0x12]),
        write(2, vec![0x21]),
    ];
    let mut written = Vec::new();
    for (position, input) in inputs.into_iter().enumerate() {
        let now = start + 5_000 * position as u64;
        let mut outputs = Vec::new();
        replica.handle(now, input, &mut outputs);
        while !outputs.is_empty() {
            let mut following = Vec::new();
            for output in outputs {
                if let Output::Persist { token, writes, .. } = output {
                    written.extend(writes);
                    replica.handle(now, Input::Persisted(token), &mut following);
                }
            }
            outputs = following;
        }
    }
    written
}

#[test]
fn the_records_of_a_member_are_written_and_recovered_as_recorded() {
    let mut recorded = RecordedBytes::open(concat!(
        env!("CARGO_MANIFEST_DIR"),
        "/tests/fixtures/member_disk.txt"
    ));
    let written = written_by_a_replica();
    for (position, record) in written.iter().enumerate() {
        recorded.check(&format!("record-{position}"), record, Vec::clone, |bytes| {
            Some(bytes.to_vec())
        });
    }
    recorded.finish();

    let recovered = Recovered {
        snapshot: None,
        records: written,
    };
    let image = read_member(&recovered, CommandList::default()).expect("the records are readable");
    assert!(image.founder);
    assert_eq!(
        (image.promised, image.version, image.has_pending_command),
        (1, 1, true)
    );
    assert_eq!(image.state, CommandList(vec![0x11, 0x12]));
    assert_eq!(image.record.map(|record| record.number), Some(1));
}
