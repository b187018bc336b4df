//! Datagrams between gateways have the bytes that earlier builds sent.

use alderhollow_recorded_bytes::RecordedBytes;
use gateway_cluster::leadership::configuration::{ConfigurationMismatch, ConfigurationReport};
use gateway_cluster::leadership::voter::VoteRejection;
use gateway_cluster::leadership::{wire as leadership, FencingToken, LeaseHolder};
use gateway_cluster::sessions::evidence::{Report, Tally, Window};
use gateway_cluster::sessions::verdicts::{EvidenceSummary, Verdict, VerdictSequence};
use gateway_cluster::sessions::{wire as sessions, Pooling};
use gateway_cluster::shards::consensus::{AcceptedMap, AcceptorReport, Ballot, MapId};
use gateway_cluster::shards::leases::RangeSet;
use gateway_cluster::shards::wire::{self as shards, FindingReport};
use gateway_cluster::shards::Rule;
use gateway_cluster::shards::{MapHash, ShardMap, ShardRange};
use gateway_cluster::wire::{
    Datagram, MessageKind, PeerSummary, Update, UpdateStatus, ViewSummary,
};

const INCARNATION: u64 = 1_700_000_000_000 << 16 | 3;

fn fixture(name: &str) -> RecordedBytes {
    RecordedBytes::open(format!(
        "{}/tests/fixtures/{name}.txt",
        env!("CARGO_MANIFEST_DIR")
    ))
}

fn membership_datagram(kind: MessageKind) -> Datagram {
    let mut summary = ViewSummary::all_alive(9);
    summary.set(1, PeerSummary::IncarnationRaised);
    summary.set(2, PeerSummary::Suspect);
    summary.set(8, PeerSummary::Dead);
    summary.is_authoritative = true;
    let update = |peer, status| Update {
        peer,
        incarnation: INCARNATION - 70_000,
        status,
    };
    let updates = vec![
        update(1, UpdateStatus::Alive),
        update(2, UpdateStatus::Suspect(17)),
        update(3, UpdateStatus::Dead),
        update(4, UpdateStatus::Left),
    ];
    Datagram {
        peer_set_digest: 0x0102_0304,
        from: 7,
        incarnation: INCARNATION,
        view_digest: 9,
        kind,
        summary: Some(summary),
        by_index: true,
        updates,
    }
}

#[test]
fn datagrams_of_the_membership_encode_and_decode_as_recorded() {
    let mut recorded = fixture("view");
    let kinds = [
        ("ping", MessageKind::Ping(300)),
        ("claimed", MessageKind::PingReportedDead(5, INCARNATION)),
        ("ack", MessageKind::Ack(300)),
        ("ping_for", MessageKind::PingRequest(6, 77)),
        ("reached", MessageKind::IndirectAck(6)),
        ("missed", MessageKind::IndirectNack(6)),
        ("gossip", MessageKind::Gossip),
        ("compare", MessageKind::SyncRequest),
        ("entries", MessageKind::SyncUpdates),
        ("confirm", MessageKind::ConfirmRequest(8)),
        ("confirmed", MessageKind::ConfirmResponse(8)),
    ];
    for (name, kind) in kinds {
        recorded.check(
            name,
            &membership_datagram(kind),
            |datagram| datagram.encode().0,
            Datagram::decode,
        );
    }
    recorded.finish();
}

#[test]
fn datagrams_of_the_election_encode_and_decode_as_recorded() {
    let mut recorded = fixture("ownership");
    let holder = LeaseHolder {
        name: 5,
        incarnation: 6,
    };
    let refuse = |refusal| leadership::Kind::Reject(4, refusal);
    let kinds = [
        (
            "prepare",
            leadership::Kind::Prepare {
                number: 4,
                epoch: 9,
                lease_ms: 3000,
            },
        ),
        ("promise", leadership::Kind::Promise(4)),
        (
            "ask",
            leadership::Kind::Ask {
                number: 4,
                epoch: 9,
                lease_ms: 3000,
                until: Some(123_456),
            },
        ),
        ("grant", leadership::Kind::Vote(4)),
        ("refuse_quiet", refuse(VoteRejection::QuietPeriod(100))),
        (
            "refuse_held",
            refuse(VoteRejection::VotedForOther(holder, 200)),
        ),
        (
            "refuse_promised",
            refuse(VoteRejection::PromisedToOther(300)),
        ),
        ("refuse_behind", refuse(VoteRejection::EpochOutdated(10))),
        (
            "refuse_other_rosters",
            refuse(VoteRejection::Configuration(
                ConfigurationMismatch::NoCommonPeerSet,
            )),
        ),
        (
            "refuse_changing_rosters",
            refuse(VoteRejection::Configuration(
                ConfigurationMismatch::ChangeInProgress,
            )),
        ),
        (
            "refuse_left_roster",
            refuse(VoteRejection::Configuration(
                ConfigurationMismatch::PeerSetRetired,
            )),
        ),
        ("refuse_lease", refuse(VoteRejection::LeaseDuration(4000))),
        ("release", leadership::Kind::Release { epoch: 9, next: 8 }),
        ("who", leadership::Kind::QueryLeader(4)),
        (
            "owner",
            leadership::Kind::LeaderReport {
                number: 4,
                leader: Some((5, 9, 1500)),
            },
        ),
    ];
    let peer_sets = ConfigurationReport {
        current: 11,
        previous: Some(12),
        retired: Some(13),
        completed_changes: 2,
        in_use: true,
    };
    for (name, kind) in kinds {
        let datagram = leadership::Datagram {
            from: 5,
            incarnation: 6,
            to_incarnation: 7,
            tick: 123_000,
            peer_sets,
            epoch: 9,
            kind,
        };
        recorded.check(
            name,
            &datagram,
            leadership::Datagram::encode,
            leadership::Datagram::decode,
        );
    }
    recorded.finish();
}

fn map() -> ShardMap {
    let range = |from, to, owner: &str| ShardRange {
        from,
        to,
        owner: owner.into(),
    };
    ShardMap {
        version: 3,
        parent: MapHash(0xabcd),
        epoch: 9,
        ranges: vec![range(0, 1 << 32, "n0"), range(1 << 32, 1 << 33, "n1")],
    }
}

/// One datagram of each kind, with every rule and every state of a proposal.
#[expect(
    clippy::too_many_lines,
    reason = "a list of values, one for each kind of datagram"
)]
fn shard_map_datagrams() -> Vec<(String, shards::Kind)> {
    let ballot = Ballot {
        epoch: 9,
        attempt: 2,
    };
    let named = MapId {
        epoch: 9,
        version: 3,
        hash: MapHash(0x1234),
    };
    let finding = |rule| FindingReport {
        rule,
        from: Some(1),
        to: Some(2),
        text: "a gap".into(),
    };
    let blocked = RangeSet::of(12, |number| number == 3 || number == 11);
    let report = AcceptorReport {
        in_force: Some(named),
        accepted: Some(AcceptedMap { ballot, map: named }),
        recovered: true,
    };
    let rejections =
        Rule::ALL.map(|rule| shards::Kind::Rejected(ballot, MapHash(0x1234), vec![finding(rule)]));
    let states = [
        shards::ProposalState::None,
        shards::ProposalState::Waiting,
        shards::ProposalState::InForce,
        shards::ProposalState::Refused,
    ];
    let mut kinds = vec![
        ("learn".to_string(), shards::Kind::Prepare(ballot)),
        (
            "propose".to_string(),
            shards::Kind::Propose {
                ballot,
                map: named,
                resumed: true,
                recovery: false,
                map_bytes: vec![1, 2],
            },
        ),
        (
            "keep".to_string(),
            shards::Kind::GrantLease {
                map: named,
                blocked,
                expires_at: 5_000_000,
                idle: true,
            },
        ),
        (
            "learned".to_string(),
            shards::Kind::Promise {
                ballot,
                report,
                had_lease: true,
                lease_uncertainty_ms: 40,
            },
        ),
        (
            "accepted".to_string(),
            shards::Kind::Accepted(ballot, MapHash(0x1234)),
        ),
        (
            "have".to_string(),
            shards::Kind::AcknowledgeLease {
                epoch: 9,
                version: 3,
                had_lease: true,
            },
        ),
        ("left".to_string(), shards::Kind::ReleaseLeases),
        (
            "fetch".to_string(),
            shards::Kind::FetchChunk(MapHash(0x1234), 4),
        ),
        (
            "part".to_string(),
            shards::Kind::Chunk {
                hash: MapHash(0x1234),
                index: 1,
                count: 2,
                bytes: vec![9, 8],
            },
        ),
        (
            "offer".to_string(),
            shards::Kind::SubmitProposal(MapHash(0x1234)),
        ),
    ];
    kinds.extend(
        rejections
            .into_iter()
            .enumerate()
            .map(|(number, kind)| (format!("refused-{number:02}"), kind)),
    );
    kinds.extend(states.into_iter().enumerate().map(|(number, state)| {
        let kind = shards::Kind::ProposalResult {
            hash: MapHash(0x1234),
            state,
            findings: vec![finding(Rule::Gap)],
        };
        (format!("answer-{number}"), kind)
    }));
    kinds
}

#[test]
fn datagrams_of_the_shard_map_encode_and_decode_as_recorded() {
    let mut recorded = fixture("shards");
    for (name, kind) in shard_map_datagrams() {
        let datagram = shards::Datagram {
            from: 5,
            incarnation: 6,
            to_incarnation: 7,
            proof: Some(shards::RequestProof {
                epoch: 8,
                valid_until: 9,
            }),
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
    recorded.check("map", &map, shards::encode_map, |bytes| {
        shards::decode_map(map.hash(), bytes)
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
        reused: Tally {
            requests: 20,
            failed: [0, 1, 0],
        },
        control: [30, 3],
        control_changed: [5, 1],
    };
    let report = Report {
        gateway: "n0".into(),
        incarnation: 6,
        sequence: 4,
        customer: 99,
        pooling: Pooling::Transaction,
        in_run: vec![(window, 2)],
        between_runs: vec![(window, 70)],
    };
    let verdict = |pooling| Verdict {
        customer: 99,
        pooling,
        token: FencingToken {
            epoch: 9,
            version: 3,
        },
        sequence: VerdictSequence {
            incarnation: 6,
            number: 2,
        },
        age: 5_000_000,
        reports: vec!["n0".into(), "n1".into()],
        evidence: EvidenceSummary {
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
    let peer_id_of = |name: &str| u32::from(name.as_bytes()[1]);
    let verdicts = poolings
        .map(|pooling| sessions::VerdictMessage::new(&verdict(pooling), peer_id_of))
        .to_vec();
    let kinds = [
        (
            "report",
            sessions::Kind::Report {
                completed_collection: 3,
                counts: vec![report.into()],
            },
        ),
        ("roll", sessions::Kind::CollectReports(3)),
        ("ask", sessions::Kind::RequestReports(vec![99, 100])),
        (
            "verdicts",
            sessions::Kind::Verdicts {
                token: FencingToken {
                    epoch: 9,
                    version: 3,
                },
                verdicts,
            },
        ),
    ];
    for (name, kind) in kinds {
        let datagram = sessions::Datagram {
            from: 5,
            incarnation: 6,
            to_incarnation: 7,
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
    let evidence = serde_json::to_string(&EvidenceSummary::default()).expect("encodes");
    assert_eq!(
        evidence,
        r#"{"kept":[0,0],"changed_in_run":[0,0],"changed_between":[0,0],"control":[0,0]}"#
    );
}
