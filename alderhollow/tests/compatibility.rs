//! Messages between processes and stored state have the bytes that earlier builds wrote.

use alderhollow::balance::{Candidate, Cost, Explanation, Verdict};
use alderhollow::batch_protocol::{
    ReplicationNotice, StoreAnswer, StoreCall, StoreReply, TenantReading,
};
use alderhollow::control_state::command::Command;
use alderhollow::control_state::groups::{GroupChange, GroupStep};
use alderhollow::control_state::request::{
    Answer, ConfigOrder, Order, OrderContext, Refusal, Request,
};
use alderhollow::control_state::store_report::{GroupReport, StoreReport};
use alderhollow::control_state::view::{decode_view, encode_view};
use alderhollow::control_state::{codec, ControlState};
use alderhollow::core::contact::Contact;
use alderhollow::distribution::difference::{
    BackendsDifference, ControlDifference, SendersDifference,
};
use alderhollow::distribution::message as distribution;
use alderhollow::distribution::message::{
    CoreMember, CoreView, Differences, EncodedControl, HeldTables, Poll, Stamp, StampedSenders,
    TableVersions, Update,
};
use alderhollow::internal::frame::{Frame, FrameKind};
use alderhollow::internal::ServiceId;
use alderhollow::placement::message as placement;
use alderhollow::placement::message::{
    AttemptId, AttemptInfo, Demand, End, PlaceRequest, Placement, PromptPart,
};
use alderhollow::status::message as status;
use alderhollow::status::message::{
    ChoiceReport, CoreRole, CoreStatus, RouteTokens, StatusReport, StoreGroupStatus, StoreStatus,
    TablesGroup, TablesStatus,
};
use alderhollow::store::journal_records::{join_snapshots, restore_states, tag_record};
use alderhollow_batch::codec::append_to_snapshot;
use alderhollow_batch::job::{Item, ItemRequest, ItemResult, JobId, NewJob, ResultState};
use alderhollow_batch::message::Message;
use alderhollow_batch::quota::{CoordinatorId, Decision, QuotaGrant, QuotaReport, ReportId};
use alderhollow_batch::records::{Entry, StreamId};
use alderhollow_coordination::replica::inspection::read_member;
use alderhollow_coordination::replica::interface::{self as replica, StateMachine};
use alderhollow_model::backend::{Backend, BackendList, BackendState};
use alderhollow_model::identity::{Address, DiskId, Incarnation, NodeInfo, Role};
use alderhollow_model::snapshot::{BatchGroup, GroupId, GroupMember, Placer, Senders};
use alderhollow_recorded_bytes::{is_recording, RecordedBytes};
use alderhollow_storage::{FolderDisk, Journal};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// A configuration document of the operators.
const DOCUMENT: &[u8] = include_bytes!("fixtures/config.json");
/// The identity of the recorded disks.
const DISK: u64 = 0x2a;

fn fixture_path(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("tests/fixtures/recorded")
        .join(name)
}

fn fixture(name: &str) -> RecordedBytes {
    RecordedBytes::open(fixture_path(name))
}

/// Checks a value that travels as plain CBOR.
fn check<T>(recorded: &mut RecordedBytes, name: &str, value: &T)
where
    T: minicbor::Encode<()> + for<'b> minicbor::Decode<'b, ()> + PartialEq + std::fmt::Debug,
{
    recorded.check(
        name,
        value,
        |value| minicbor::to_vec(value).expect("encodes"),
        |bytes| minicbor::decode(bytes).ok(),
    );
}

fn address(host: u8) -> Address {
    Address(SocketAddr::from(([10, 0, 0, host], 7660)))
}

fn node(host: u8, role: Role) -> NodeInfo {
    NodeInfo {
        node: format!("machine-{host}"),
        role,
        zone: "east".into(),
        incarnation: Incarnation(0x77),
        disk: Some(DiskId(u64::from(host))),
        internal: address(host),
        control: Some(Address(SocketAddr::from(([10, 0, 0, host], 8146)))),
    }
}

fn group_member(host: u8) -> GroupMember {
    GroupMember {
        disk: DiskId(u64::from(host)),
        node: node(host, Role::Store),
    }
}

fn group(epoch: u64) -> BatchGroup {
    BatchGroup {
        epoch,
        primary: DiskId(1),
        members: vec![group_member(1), group_member(2)],
        learners: vec![group_member(3)],
    }
}

fn core_member(host: u8) -> CoreMember {
    CoreMember {
        disk: DiskId(u64::from(host)),
        internal: address(host),
        control: Some(address(host)),
        is_dedicated: true,
    }
}

fn core_view() -> CoreView {
    CoreView {
        primary: Some(core_member(1)),
        members: vec![core_member(1), core_member(2)],
        epoch: 4,
    }
}

fn senders() -> Senders {
    let placer = Placer {
        zone: "east".into(),
        node: "machine-9".into(),
        internal: address(9),
    };
    Senders {
        nodes: vec!["machine-1".into(), "machine-2".into()],
        placers: vec![placer],
    }
}

fn backends() -> BackendList {
    let backend = |id: &str, state| Backend {
        id: id.into(),
        service: "llm".into(),
        address: address(50),
        zone: "west".into(),
        slots: 64,
        state,
        cold_remaining_ms: 1500,
    };
    BackendList {
        epoch: 2,
        sequence: 6,
        backends: vec![
            backend("b-1", BackendState::Ready),
            backend("b-2", BackendState::Draining),
        ],
    }
}

const STAMP: Stamp = Stamp {
    epoch: 2,
    sequence: 6,
};

fn recorded_poll() -> Poll {
    Poll {
        node: node(1, Role::Gateway),
        versions: TableVersions {
            control: 5,
            backends: STAMP,
            senders: STAMP,
        },
        wait_ms: 900,
        leaving: true,
        batch_status: vec![1, 2].into(),
        held: None,
    }
}

fn differences() -> Differences {
    Differences {
        control: Some(ControlDifference {
            base: 5,
            version: 6,
            length: 3,
            block: vec![0x30, 1, 2, 3].into(),
        }),
        backends: Some(BackendsDifference {
            base: STAMP,
            stamp: Stamp {
                sequence: 7,
                ..STAMP
            },
            changed: backends().backends,
            removed: vec!["i-gone".into()],
        }),
        senders: Some(SendersDifference {
            base: STAMP,
            stamp: Stamp {
                sequence: 8,
                ..STAMP
            },
            added: vec!["edge-3".into()],
            removed: vec!["edge-4".into()],
            placers: senders().placers,
        }),
    }
}

#[test]
fn distribution_messages_encode_and_decode_as_recorded() {
    let mut recorded = fixture("distribution.txt");
    let update = Update {
        control: Some(EncodedControl {
            version: 5,
            bytes: vec![3, 4].into(),
        }),
        backends: Some(backends()),
        senders: Some(StampedSenders {
            stamp: STAMP,
            senders: senders(),
        }),
        core: Some(core_view()),
        pollers: Some(vec![address(3)]),
        ..Update::default()
    };
    check(
        &mut recorded,
        "request_hello",
        &distribution::Request::Identify,
    );
    check(
        &mut recorded,
        "request_poll",
        &distribution::Request::Poll(Box::new(recorded_poll())),
    );
    check(
        &mut recorded,
        "answer_hello",
        &distribution::Answer::Identity(node(2, Role::Core), core_view()),
    );
    check(
        &mut recorded,
        "answer_update",
        &distribution::Answer::Update(update),
    );
    check(
        &mut recorded,
        "answer_empty_update",
        &distribution::Answer::Update(Update::default()),
    );
    check(
        &mut recorded,
        "request_poll_with_held_tables",
        &distribution::Request::Poll(Box::new(Poll {
            held: Some(HeldTables { control_digest: 7 }),
            ..recorded_poll()
        })),
    );
    check(
        &mut recorded,
        "answer_update_with_differences",
        &distribution::Answer::Update(Update {
            differences: Some(Box::new(differences())),
            ..Update::default()
        }),
    );
    check(
        &mut recorded,
        "answer_not_primary",
        &distribution::Answer::NotPrimary(core_view()),
    );
    check(
        &mut recorded,
        "notice_introduction",
        &distribution::Notice::PrimaryAnnouncement(core_view()),
    );
    let contact = Contact {
        internal: address(1),
        control: Some(address(2)),
        is_dedicated: true,
    };
    check(&mut recorded, "contact", &contact);
    recorded.finish();
}

fn new_job(id: &str) -> NewJob {
    let request = ItemRequest {
        path: "/lots/x".into(),
        headers: Vec::new(),
        body: b"body".to_vec(),
    };
    let item = |number: u64| Item {
        id: format!("{id}-{number}"),
        tokens: 10,
        request: Some(request.clone()),
    };
    NewJob {
        id: JobId(id.into()),
        route: "lots".into(),
        host: "shop.example".into(),
        config_version: 5,
        age_ms: 250,
        items: vec![item(0), item(1)],
    }
}

#[test]
#[expect(
    clippy::too_many_lines,
    reason = "a list of values, one for each message"
)]
fn batch_messages_encode_and_decode_as_recorded() {
    let mut recorded = fixture("batch.txt");
    let job = JobId("j".into());
    let coordinator = CoordinatorId {
        epoch: 3,
        session: 2,
    };
    let id = ReportId {
        group_epoch: 5,
        session: 4,
        sequence: 6,
    };
    let report = QuotaReport {
        coordinator,
        route: "lots".into(),
        group: 2,
        id,
        used: 1000,
        wanted: vec![30],
        rejected_total: 7,
    };
    let calls = [
        (
            "call_submit",
            StoreCall::Submit {
                try_id: 8,
                job: new_job("j"),
            },
        ),
        (
            "call_offer",
            StoreCall::Offer {
                try_id: 8,
                job: job.clone(),
                route: "lots".into(),
                tokens: 20,
            },
        ),
        (
            "call_read",
            StoreCall::Read {
                job: job.clone(),
                after: 3,
                wait_ms: 500,
            },
        ),
        (
            "call_body",
            StoreCall::Body {
                job: job.clone(),
                item: "j-0".into(),
            },
        ),
        ("call_end", StoreCall::End(job)),
        ("call_quota", StoreCall::Quota(report)),
    ];
    for (name, call) in calls {
        check(&mut recorded, name, &call);
    }
    let grant = QuotaGrant {
        coordinator,
        report: id,
        decision: Decision::Unsure,
        reading: None,
    };
    let replies = [
        ("committed", StoreReply::Committed),
        ("over_quota", StoreReply::OverQuota),
        ("invalid", StoreReply::Invalid),
        ("not_primary", StoreReply::NotPrimary),
        ("not_sure", StoreReply::NotSure),
        ("unknown", StoreReply::Unknown),
        ("not_found", StoreReply::NotFound),
        ("results", StoreReply::Results(b"{}".to_vec())),
        ("body", StoreReply::Body(b"text".to_vec())),
        ("quota", StoreReply::Quota(grant)),
        ("welcome", StoreReply::WouldAccept),
    ];
    let reading = TenantReading {
        period: 8,
        age_ms: 9,
        length_ms: 10,
        waiting: 11,
        beyond: 12,
    };
    for (name, reply) in replies {
        let answer = StoreAnswer {
            reply,
            reading: Some(reading),
        };
        check(&mut recorded, &format!("answer_{name}"), &answer);
    }
    let notice = ReplicationNotice {
        from: DiskId(1),
        to: DiskId(2),
        message: Message::Acknowledge {
            stream: StreamId {
                epoch: 3,
                session: 2,
                attempt: 1,
            },
            next: 18,
        },
        group: GroupId(4),
    };
    check(&mut recorded, "replication_notice", &notice);
    recorded.finish();
}

fn demand() -> Demand {
    Demand {
        service: "llm".into(),
        priority: 2,
        tokens_in: 300,
        tokens_out: 40,
        parts: vec![PromptPart {
            id: 0x1122,
            tokens: 200,
        }],
        excluded_backends: vec!["b-1".into()],
    }
}

#[test]
fn placement_messages_encode_and_decode_as_recorded() {
    let mut recorded = fixture("placement.txt");
    let attempt = AttemptId {
        sender: Incarnation(5),
        number: 9,
    };
    check(
        &mut recorded,
        "request",
        &PlaceRequest {
            attempt,
            demand: demand(),
        },
    );
    check(
        &mut recorded,
        "at",
        &Placement::At {
            backend: "b-2".into(),
            wait_ms: 12.5,
        },
    );
    check(
        &mut recorded,
        "full",
        &Placement::Full {
            retry_after_ms: 250.0,
        },
    );
    check(&mut recorded, "none_ready", &Placement::NoneReady);
    let under_way = AttemptInfo {
        number: 9,
        backend: "b-2".into(),
        demand: demand(),
        response_started: true,
    };
    let ends = [
        End::Served,
        End::Failed,
        End::Declined,
        End::OtherInstance,
        End::NoConnection,
        End::Broken,
        End::TimedOut,
        End::Cancelled,
    ];
    let mut events = vec![
        placement::Event::Started(under_way.clone()),
        placement::Event::ResponseStarted(9),
    ];
    events.extend(ends.map(|end| placement::Event::Ended(9, end)));
    check(
        &mut recorded,
        "events",
        &placement::Report::Events {
            sender: Incarnation(5),
            events,
        },
    );
    let whole = placement::Report::Snapshot {
        sender: Incarnation(5),
        sequence: 3,
        last_number: 9,
        in_flight: vec![under_way],
    };
    check(&mut recorded, "whole", &whole);
    recorded.finish();
}

fn status_report() -> StatusReport {
    let core_roles = CoreStatus {
        role: CoreRole::Primary,
        epoch: 4,
        version: 9,
        lease_ms: Some(640),
    };
    let led = StoreGroupStatus {
        group: GroupId(0),
        epoch: 3,
        is_primary: true,
        is_active: true,
        is_synced: false,
        is_sure: true,
        jobs: 84,
        waiting_items: 31,
        running_items: 16,
        silent_members: vec![DiskId(0x91)],
    };
    StatusReport {
        node: node(1, Role::Gateway),
        uptime_ms: 12_345,
        core_view: core_view(),
        tables: TablesStatus {
            validated_ms_ago: Some(120),
            control: 9,
            config: Some(5),
            evacuated: vec!["west".into()],
            backends_stamp: Stamp {
                epoch: 2,
                sequence: 6,
            },
            backends: 12,
            senders: 13,
            groups: vec![TablesGroup {
                group: GroupId(1),
                epoch: 7,
                primary: DiskId(2),
            }],
            placers: senders().placers,
        },
        core: Some(core_roles),
        store: Some(StoreStatus {
            groups: vec![led],
            waiting_tokens: vec![RouteTokens {
                route: "lots".into(),
                waiting: 44_000,
                limit: 1_700_000,
            }],
        }),
    }
}

#[test]
fn status_messages_encode_and_decode_as_recorded() {
    let mut recorded = fixture("status.txt");
    check(&mut recorded, "request_status", &status::Request::Status);
    check(
        &mut recorded,
        "request_choice",
        &status::Request::Choice(demand()),
    );
    check(&mut recorded, "report", &status_report());
    for (name, role) in [
        ("outside", CoreRole::Outside),
        ("follower", CoreRole::Follower),
        ("candidate", CoreRole::Candidate),
    ] {
        let core = CoreStatus {
            role,
            epoch: 4,
            version: 9,
            lease_ms: None,
        };
        check(&mut recorded, &format!("core_{name}"), &core);
    }
    let cost = Cost {
        queue_ms: 1.0,
        prefill_ms: 2.0,
        duplicate_prefill_ms: 3.0,
        in_flight_ms: 4.0,
        cross_zone_ms: 5.0,
        memory_ms: 6.0,
        interference_ms: 7.0,
        slowness_ms: 8.0,
        failures_ms: 9.0,
        burst_ms: 10.0,
    };
    let verdicts = [
        Verdict::Open,
        Verdict::Unhealthy { for_ms: 5.0 },
        Verdict::Full { for_ms: 6.0 },
        Verdict::Withdrawn,
    ];
    let candidates = verdicts.map(|verdict| Candidate {
        backend: "b-1".into(),
        zone: "east".into(),
        attempts: 3,
        uncached_fraction: 0.25,
        verdict,
        cost,
    });
    let explanation = Explanation {
        service: "llm".into(),
        candidates: candidates.to_vec(),
    };
    let choice = ChoiceReport {
        as_placer: Some(explanation.clone()),
        as_sender: Some(explanation),
    };
    check(&mut recorded, "choice", &choice);
    recorded.finish();
}

#[tokio::test]
async fn frames_encode_and_decode_as_recorded() {
    let mut recorded = fixture("frames.txt");
    let services = [
        ("core", Some(ServiceId::Core)),
        ("distribution", Some(ServiceId::Distribution)),
        ("batch", Some(ServiceId::Batch)),
        ("replication", Some(ServiceId::Replication)),
        ("status", Some(ServiceId::Status)),
        ("placement", Some(ServiceId::Placement)),
        ("none", None),
    ];
    let kinds = [
        ("request", FrameKind::Request),
        ("notice", FrameKind::Notice),
        ("response", FrameKind::Response),
        ("refused", FrameKind::Refused),
    ];
    for (service_name, service) in services {
        for (kind_name, kind) in kinds {
            let frame = Frame {
                kind,
                service,
                call: 0x0102_0304,
                payload: vec![7, 8, 9],
            };
            let mut bytes = Vec::new();
            frame.encode(&mut bytes);
            let read = Frame::read(&mut bytes.as_slice())
                .await
                .expect("a frame")
                .expect("not the end");
            assert_eq!(read, frame);
            recorded.check(
                &format!("{service_name}-{kind_name}"),
                &bytes,
                Vec::clone,
                |recorded| Some(recorded.to_vec()),
            );
        }
    }
    recorded.finish();
}

fn commands() -> Vec<(&'static str, Command)> {
    let replace = GroupStep::Replace {
        previous_epoch: 1,
        group: group(2),
    };
    let change = |id, step| GroupChange {
        id: GroupId(id),
        step,
    };
    let disks: BTreeSet<DiskId> = [DiskId(1), DiskId(2)].into();
    vec![
        (
            "set_config",
            Command::SetConfig {
                base: 0,
                order: 77,
                document: DOCUMENT.to_vec(),
            },
        ),
        (
            "evacuate",
            Command::Evacuate {
                zone: "east".into(),
            },
        ),
        (
            "evacuate_west",
            Command::Evacuate {
                zone: "west".into(),
            },
        ),
        (
            "take_back",
            Command::CancelEvacuation {
                zone: "east".into(),
            },
        ),
        (
            "register_store",
            Command::RegisterStore(node(1, Role::Store)),
        ),
        (
            "register_other_store",
            Command::RegisterStore(node(2, Role::Store)),
        ),
        (
            "found_groups",
            Command::FoundGroups(vec![group(1), group(1)]),
        ),
        (
            "change_groups",
            Command::ChangeGroups(vec![
                change(0, GroupStep::BecameActive { epoch: 1 }),
                change(0, replace),
                change(
                    1,
                    GroupStep::MembersInSync {
                        epoch: 1,
                        disks: disks.clone(),
                    },
                ),
            ]),
        ),
        (
            "set_group",
            Command::SetGroup {
                previous_epoch: 2,
                group: group(3),
            },
        ),
        (
            "members_in_sync",
            Command::MembersInSync { epoch: 3, disks },
        ),
        ("group_active", Command::GroupActive { epoch: 3 }),
        (
            "retire",
            Command::Retire {
                node: "machine-2".into(),
            },
        ),
    ]
}

#[test]
#[expect(
    clippy::too_many_lines,
    reason = "a list of values, one for each message"
)]
fn messages_of_the_control_state_encode_and_decode_as_recorded() {
    let mut recorded = fixture("control_state.txt");
    for (name, command) in commands() {
        let name = format!("command_{name}");
        recorded.check(&name, &command, Command::to_bytes, |bytes| {
            Command::from_bytes(bytes).ok()
        });
    }
    let config = ConfigOrder {
        if_match: Some("4".into()),
        body: b"{}".to_vec(),
    };
    let orders = [
        ("put_config", Order::PutConfig(config.clone())),
        ("patch_config", Order::PatchConfig(config)),
        (
            "evacuate",
            Order::Evacuate {
                zone: "east".into(),
            },
        ),
        (
            "take_back",
            Order::CancelEvacuation {
                zone: "east".into(),
            },
        ),
        (
            "retire",
            Order::Retire {
                node: "machine-2".into(),
            },
        ),
    ];
    let context = OrderContext {
        zones: ["east".into(), "west".into()].into(),
        tolerate_machines: 1,
        gone_stores: ["machine-3".into()].into(),
    };
    let mut requests: Vec<(String, Request)> = orders
        .into_iter()
        .map(|(name, order)| {
            (
                format!("order_{name}"),
                Request::Order {
                    order,
                    context: context.clone(),
                },
            )
        })
        .collect();
    let change = GroupChange {
        id: GroupId(1),
        step: GroupStep::BecameActive { epoch: 1 },
    };
    requests.push((
        "register_store".into(),
        Request::RegisterStore(node(1, Role::Store)),
    ));
    requests.push(("found_groups".into(), Request::FoundGroups(vec![group(1)])));
    requests.push(("change_groups".into(), Request::ChangeGroups(vec![change])));
    for (name, request) in requests {
        let name = format!("request_{name}");
        recorded.check(&name, &request, Request::to_bytes, |bytes| {
            codec::decode(bytes).ok()
        });
    }
    let refusals = [
        (
            "invalid",
            Refusal::Invalid(vec!["routes[0]: no service".into()]),
        ),
        ("version_mismatch", Refusal::VersionMismatch { current: 4 }),
        ("unknown_zone", Refusal::UnknownZone("north".into())),
        (
            "unknown_machine",
            Refusal::UnknownMachine("machine-9".into()),
        ),
        (
            "too_few",
            Refusal::TooFewWouldRemain {
                remaining: 2,
                needed: 3,
            },
        ),
    ];
    let mut answers = vec![
        ("already_done", Answer::AlreadyDone),
        ("unreadable", Answer::Unreadable),
    ];
    answers.extend(refusals.map(|(name, refusal)| (name, Answer::Refused(refusal))));
    for (name, answer) in answers {
        let name = format!("answer_{name}");
        recorded.check(&name, &answer, Answer::to_bytes, |bytes| {
            Answer::from_bytes(bytes).ok()
        });
    }
    let report = StoreReport {
        groups: BTreeMap::from([(
            GroupId(1),
            GroupReport {
                epoch: 3,
                active: true,
                synced: true,
                silent: [DiskId(2)].into(),
                behind: Some(DiskId(3)),
            },
        )]),
        leaving: true,
        disk_failing: true,
    };
    recorded.check("store_report", &report, StoreReport::to_bytes, |bytes| {
        StoreReport::from_bytes(bytes).ok()
    });
    recorded.finish();
}

fn control_state() -> ControlState {
    let mut state = ControlState::default();
    for (_, command) in commands() {
        state.apply(&command.to_bytes());
    }
    state
}

#[test]
fn the_control_state_and_its_view_encode_and_decode_as_recorded() {
    let mut recorded = fixture("control_snapshot.txt");
    let state = control_state();
    recorded.check("snapshot", &state, ControlState::to_snapshot, |bytes| {
        ControlState::from_snapshot(bytes).ok()
    });
    recorded.check("view", &state.view(), encode_view, |bytes| {
        decode_view(bytes).ok()
    });
    recorded.finish();
}

/// The records of a store with an accepted, a half-done and an ended job, and the snapshot before them.
fn store_journal() -> (Vec<u8>, Vec<Vec<u8>>) {
    let mut first_group = Vec::new();
    append_to_snapshot(&mut first_group, &Entry::JobAccepted(new_job("accepted")));
    append_to_snapshot(&mut first_group, &Entry::JobAccepted(new_job("half-done")));
    let mut second_group = Vec::new();
    append_to_snapshot(&mut second_group, &Entry::JobAccepted(new_job("ended")));
    let snapshot = join_snapshots([(GroupId(0), first_group), (GroupId(1), second_group)]);
    let result = ItemResult {
        item: 1,
        state: ResultState::Completed,
        text: "done".into(),
    };
    let results = Entry::ItemResults {
        job: JobId("half-done".into()),
        position: 0,
        results: vec![result],
    };
    let records = vec![
        tag_record(GroupId(0), &results.to_bytes()),
        tag_record(
            GroupId(1),
            &Entry::JobEnded(JobId("ended".into())).to_bytes(),
        ),
        tag_record(GroupId(0), &Entry::Active(3).to_bytes()),
    ];
    (snapshot, records)
}

/// Records of a core member that was named in an epoch's record and has one command that is not known as committed.
fn core_journal() -> (Option<Vec<u8>>, Vec<Vec<u8>>) {
    let member = RecordedBytes::open(
        Path::new(env!("CARGO_MANIFEST_DIR"))
            .join("../coordination/tests/fixtures/member_disk.txt"),
    );
    let names = ["record-0", "record-1", "record-2", "record-3"];
    let mut records: Vec<Vec<u8>> = names
        .iter()
        .map(|name| member.bytes(name).to_vec())
        .collect();
    for (position, (_, command)) in commands().into_iter().enumerate() {
        records.push(command_record(position as u64 + 1, command.to_bytes()));
    }
    (None, records)
}

/// A command as a core member logs it: entry 3 with a version and bytes.
fn command_record(version: u64, command: Vec<u8>) -> Vec<u8> {
    let mut bytes = Vec::new();
    let mut encoder = minicbor::Encoder::new(&mut bytes);
    encoder
        .array(2)
        .and_then(|encoder| encoder.u8(3))
        .expect("encodes");
    encoder
        .array(2)
        .and_then(|encoder| encoder.u64(version))
        .expect("encodes");
    encoder.bytes(&command).expect("encodes");
    bytes
}

/// Writes a data folder as a process of the tier does.
fn write_folder(folder: &Path, snapshot: Option<&[u8]>, records: &[Vec<u8>]) {
    let _ = std::fs::remove_dir_all(folder);
    let (mut journal, _) = Journal::open(&mut FolderDisk::new(folder).unwrap(), DISK).unwrap();
    if let Some(snapshot) = snapshot {
        journal.compact(snapshot).unwrap();
    }
    for record in records {
        journal.append(record).unwrap();
    }
    journal.sync().unwrap();
}

fn contents(folder: &Path) -> BTreeMap<String, Vec<u8>> {
    let files = std::fs::read_dir(folder).unwrap().map(Result::unwrap);
    files
        .map(|file| {
            (
                file.file_name().into_string().unwrap(),
                std::fs::read(file.path()).unwrap(),
            )
        })
        .collect()
}

/// Checks that a folder written today has the recorded files, and gives the recorded one.
fn check_folder(name: &str, snapshot: Option<&[u8]>, records: &[Vec<u8>]) -> PathBuf {
    let recorded = fixture_path(name);
    if is_recording() {
        write_folder(&recorded, snapshot, records);
    }
    let written = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("compatibility-{name}"));
    write_folder(&written, snapshot, records);
    assert_eq!(
        contents(&written),
        contents(&recorded),
        "the data folder `{name}` is written otherwise"
    );
    recorded
}

#[test]
fn a_recorded_store_folder_is_written_and_read_as_before() {
    let (snapshot, records) = store_journal();
    let folder = check_folder("store-folder", Some(&snapshot), &records);

    let read = alderhollow_storage::read(&folder)
        .unwrap()
        .expect("the folder has an identity");
    let states = restore_states(read.snapshot.as_deref(), &read.records).unwrap();

    let jobs = |group| {
        let ids = states[&GroupId(group)].jobs.keys();
        ids.map(|id| id.0.clone()).collect::<Vec<String>>()
    };
    assert_eq!(jobs(0), ["accepted", "half-done"]);
    assert_eq!(jobs(1), ["ended"]);
    assert_eq!(
        states[&GroupId(0)].jobs[&JobId("half-done".into())]
            .results
            .len(),
        1
    );
    assert!(states[&GroupId(1)].jobs[&JobId("ended".into())].ended);
}

#[test]
fn a_recorded_core_folder_is_written_and_read_as_before() {
    let (snapshot, records) = core_journal();
    let folder = check_folder("core-folder", snapshot.as_deref(), &records);

    let read = alderhollow_storage::read(&folder)
        .unwrap()
        .expect("the folder has an identity");
    let recovered = replica::Recovered {
        snapshot: read.snapshot,
        records: read.records,
    };
    let image = read_member(&recovered, ControlState::default()).unwrap();

    assert_eq!(image.record.expect("an epoch's record").number, 1);
    assert!(image.has_pending_command);
    assert_eq!(image.version, commands().len() as u64 - 1);
    assert_eq!(image.state.config_version(), 4);
    assert_eq!(image.state.groups().len(), 2);
    let mut expected = control_state();
    expected.apply(&commands().last().unwrap().1.to_bytes());
    assert_ne!(image.state, ControlState::default());
    assert!(image.state.stores().get("machine-1").is_some());
}
