//! Datagrams between front doors have the bytes that earlier builds sent.

use alderhollow_recorded_bytes::RecordedBytes;
use gateway_cluster::ownership::grants::Refusal;
use gateway_cluster::ownership::rosters::{Mismatch, Told as RostersTold};
use gateway_cluster::ownership::{wire as ownership, Fence, Holder};
use gateway_cluster::sessions::evidence::{Report, Tally, Window};
use gateway_cluster::sessions::keep::{Shown, Verdict};
use gateway_cluster::sessions::{wire as sessions, Pooling};
use gateway_cluster::shards::decide::{Answer, Ballot, Named};
use gateway_cluster::shards::keep::Marks as RangeMarks;
use gateway_cluster::shards::wire::{self as shards, Told};
use gateway_cluster::shards::Rule;
use gateway_cluster::shards::{Hash, Map, Range};
use gateway_cluster::wire::{Claim, Datagram, Kind, Mark, Marks, Update};

const INCARNATION: u64 = 1_700_000_000_000 << 16 | 3;

fn fixture(name: &str) -> RecordedBytes {
    RecordedBytes::open(format!(
        "{}/tests/fixtures/{name}.txt",
        env!("CARGO_MANIFEST_DIR")
    ))
}

fn view_datagram(kind: Kind) -> Datagram {
    let mut marks = Marks::none(9);
    marks.set(1, Mark::Raised);
    marks.set(2, Mark::Doubted);
    marks.set(8, Mark::Dead);
    marks.vouches = true;
    let update = |who, claim| Update {
        who,
        incarnation: INCARNATION - 70_000,
        claim,
    };
    let updates = vec![
        update(1, Claim::Alive),
        update(2, Claim::Suspect(17)),
        update(3, Claim::Dead),
        update(4, Claim::Left),
    ];
    Datagram {
        roster: 0x0102_0304,
        from: 7,
        incarnation: INCARNATION,
        digest: 9,
        kind,
        marks: Some(marks),
        by_place: true,
        updates,
    }
}

#[test]
fn datagrams_of_the_view_encode_and_decode_as_recorded() {
    let mut recorded = fixture("view");
    let kinds = [
        ("ping", Kind::Ping(300)),
        ("claimed", Kind::Claimed(5, INCARNATION)),
        ("ack", Kind::Ack(300)),
        ("ping_for", Kind::PingFor(6, 77)),
        ("reached", Kind::Reached(6)),
        ("missed", Kind::Missed(6)),
        ("gossip", Kind::Gossip),
        ("compare", Kind::Compare),
        ("entries", Kind::Entries),
        ("confirm", Kind::Confirm(8)),
        ("confirmed", Kind::Confirmed(8)),
    ];
    for (name, kind) in kinds {
        recorded.check(
            name,
            &view_datagram(kind),
            |datagram| datagram.encode().0,
            Datagram::decode,
        );
    }
    recorded.finish();
}

#[test]
fn datagrams_of_the_office_encode_and_decode_as_recorded() {
    let mut recorded = fixture("ownership");
    let holder = Holder { name: 5, life: 6 };
    let refuse = |refusal| ownership::Kind::Refuse(4, refusal);
    let kinds = [
        (
            "prepare",
            ownership::Kind::Prepare {
                number: 4,
                epoch: 9,
                lease_ms: 3000,
            },
        ),
        ("promise", ownership::Kind::Promise(4)),
        (
            "ask",
            ownership::Kind::Ask {
                number: 4,
                epoch: 9,
                lease_ms: 3000,
                until: Some(123_456),
            },
        ),
        ("grant", ownership::Kind::Grant(4)),
        ("refuse_quiet", refuse(Refusal::Quiet(100))),
        ("refuse_held", refuse(Refusal::Held(holder, 200))),
        ("refuse_promised", refuse(Refusal::Promised(300))),
        ("refuse_behind", refuse(Refusal::Behind(10))),
        (
            "refuse_other_rosters",
            refuse(Refusal::Rosters(Mismatch::Other)),
        ),
        (
            "refuse_changing_rosters",
            refuse(Refusal::Rosters(Mismatch::Changing)),
        ),
        (
            "refuse_left_roster",
            refuse(Refusal::Rosters(Mismatch::Left)),
        ),
        ("refuse_lease", refuse(Refusal::Lease(4000))),
        ("release", ownership::Kind::Release { epoch: 9, next: 8 }),
        ("who", ownership::Kind::Who(4)),
        (
            "owner",
            ownership::Kind::Owner {
                number: 4,
                owner: Some((5, 9, 1500)),
            },
        ),
    ];
    let rosters = RostersTold {
        now: 11,
        base: Some(12),
        retired: Some(13),
        changes: 2,
        seasoned: true,
    };
    for (name, kind) in kinds {
        let datagram = ownership::Datagram {
            from: 5,
            life: 6,
            to_life: 7,
            tick: 123_000,
            rosters,
            epoch: 9,
            kind,
        };
        recorded.check(
            name,
            &datagram,
            ownership::Datagram::encode,
            ownership::Datagram::decode,
        );
    }
    recorded.finish();
}

fn map() -> Map {
    let range = |from, to, keeper: &str| Range {
        from,
        to,
        keeper: keeper.into(),
    };
    Map {
        version: 3,
        parent: Hash(0xabcd),
        epoch: 9,
        ranges: vec![range(0, 1 << 32, "n0"), range(1 << 32, 1 << 33, "n1")],
    }
}

#[test]
fn datagrams_of_the_shard_map_encode_and_decode_as_recorded() {
    let mut recorded = fixture("shards");
    let ballot = Ballot {
        epoch: 9,
        attempt: 2,
    };
    let named = Named {
        epoch: 9,
        version: 3,
        hash: Hash(0x1234),
    };
    let finding = |rule| Told {
        rule,
        from: Some(1),
        to: Some(2),
        text: "a gap".into(),
    };
    let waits = RangeMarks::of(12, |number| number == 3 || number == 11);
    let answer = Answer {
        in_force: Some(named),
        accepted: Some((ballot, named)),
        memory: true,
    };
    let refusals =
        Rule::ALL.map(|rule| shards::Kind::Refused(ballot, Hash(0x1234), vec![finding(rule)]));
    let states = [
        shards::State::None,
        shards::State::Waiting,
        shards::State::InForce,
        shards::State::Refused,
    ];
    let mut kinds = vec![
        ("learn".to_string(), shards::Kind::Learn(ballot)),
        (
            "propose".to_string(),
            shards::Kind::Propose {
                ballot,
                map: named,
                finish: true,
                anew: false,
                whole: vec![1, 2],
            },
        ),
        (
            "keep".to_string(),
            shards::Kind::Keep {
                map: named,
                waits,
                until: 5_000_000,
                settled: true,
            },
        ),
        (
            "learned".to_string(),
            shards::Kind::Learned {
                ballot,
                answer,
                held: true,
                young_ms: 40,
            },
        ),
        (
            "accepted".to_string(),
            shards::Kind::Accepted(ballot, Hash(0x1234)),
        ),
        (
            "have".to_string(),
            shards::Kind::Have {
                epoch: 9,
                version: 3,
                held: true,
            },
        ),
        ("left".to_string(), shards::Kind::Left),
        ("fetch".to_string(), shards::Kind::Fetch(Hash(0x1234), 4)),
        (
            "part".to_string(),
            shards::Kind::Part {
                hash: Hash(0x1234),
                part: 1,
                parts: 2,
                bytes: vec![9, 8],
            },
        ),
        ("offer".to_string(), shards::Kind::Offer(Hash(0x1234))),
    ];
    kinds.extend(
        refusals
            .into_iter()
            .enumerate()
            .map(|(number, kind)| (format!("refused-{number:02}"), kind)),
    );
    kinds.extend(states.into_iter().enumerate().map(|(number, state)| {
        let kind = shards::Kind::Answer {
            hash: Hash(0x1234),
            state,
            findings: vec![finding(Rule::Gap)],
        };
        (format!("answer-{number}"), kind)
    }));
    for (name, kind) in kinds {
        let datagram = shards::Datagram {
            from: 5,
            life: 6,
            to_life: 7,
            stamp: Some((8, 9)),
            kind,
        };
        recorded.check(
            &name,
            &datagram,
            shards::Datagram::encode,
            shards::Datagram::decode,
        );
    }
    let map = map();
    recorded.check("map", &map, shards::pack, |bytes| {
        shards::unpack(map.hash(), bytes)
    });
    recorded.check(
        "map-hash",
        &map.hash().0,
        |hash| hash.to_be_bytes().to_vec(),
        |bytes| Some(u64::from_be_bytes(bytes.try_into().ok()?)),
    );
    recorded.finish();
}

#[test]
fn datagrams_of_session_classification_encode_and_decode_as_recorded() {
    let mut recorded = fixture("sessions");
    let window = Window {
        changed: Tally {
            requests: 10,
            failed: [1, 2, 3],
        },
        kept: Tally {
            requests: 20,
            failed: [0, 1, 0],
        },
        control: [30, 3],
        control_changed: [5, 1],
    };
    let report = Report {
        door: "n0".into(),
        life: 6,
        sequence: 4,
        customer: 99,
        held: Pooling::Transaction,
        in_run: vec![(window, 2)],
        between: vec![(window, 70)],
    };
    let verdict = |pooling| Verdict {
        customer: 99,
        pooling,
        fence: Fence {
            epoch: 9,
            version: 3,
        },
        round: (6, 2),
        age: 5_000_000,
        reports: vec!["n0".into(), "n1".into()],
        evidence: Shown {
            kept: [1, 2],
            changed_in_run: [3, 4],
            changed_between: [5, 6],
            control: [7, 8],
        },
    };
    let poolings = [
        Pooling::Statement,
        Pooling::Unknown,
        Pooling::Transaction,
        Pooling::Session,
    ];
    let id_of = |name: &str| u32::from(name.as_bytes()[1]);
    let said = poolings
        .map(|pooling| sessions::Said::new(&verdict(pooling), id_of))
        .to_vec();
    let kinds = [
        (
            "report",
            sessions::Kind::Report {
                rolled: 3,
                counts: vec![report.into()],
            },
        ),
        ("roll", sessions::Kind::Roll(3)),
        ("ask", sessions::Kind::Ask(vec![99, 100])),
        (
            "verdicts",
            sessions::Kind::Verdicts {
                fence: Fence {
                    epoch: 9,
                    version: 3,
                },
                said,
            },
        ),
    ];
    for (name, kind) in kinds {
        let datagram = sessions::Datagram {
            from: 5,
            life: 6,
            to_life: 7,
            kind,
        };
        recorded.check(
            name,
            &datagram,
            sessions::Datagram::encode,
            sessions::Datagram::decode,
        );
    }
    recorded.finish();
}

#[test]
fn json_forms_of_maps_rules_and_poolings_are_as_recorded() {
    let map = serde_json::to_string(&map()).expect("encodes");
    assert_eq!(
        map,
        r#"{"version":3,"parent":"000000000000abcd","epoch":9,"ranges":[{"from":0,"to":4294967296,"keeper":"n0"},{"from":4294967296,"to":8589934592,"keeper":"n1"}]}"#
    );
    let rules = serde_json::to_string(&Rule::ALL).expect("encodes");
    assert_eq!(
        rules,
        r#"["gap","overlap","empty","order","beyond","keeper","parent","version","epoch","moved","share","moving","size"]"#
    );
    let poolings = [
        Pooling::Statement,
        Pooling::Unknown,
        Pooling::Transaction,
        Pooling::Session,
    ];
    assert_eq!(
        serde_json::to_string(&poolings).expect("encodes"),
        r#"["statement","unknown","transaction","session"]"#
    );
    let evidence = serde_json::to_string(&Shown::default()).expect("encodes");
    assert_eq!(
        evidence,
        r#"{"kept":[0,0],"changed_in_run":[0,0],"changed_between":[0,0],"control":[0,0]}"#
    );
}
