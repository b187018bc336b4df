//! What `inspect` and `status` print.

use alderhollow::distribution::message::{CoreMember, CoreView, Stamp};
use alderhollow::status::message::{
    CoreRole, CoreStatus, RouteTokens, StatusReport, StoreGroupStatus, StoreStatus, TablesGroup,
    TablesStatus,
};
use alderhollow_batch::job::{Item, ItemRequest, ItemResult, JobId, NewJob, ResultState};
use alderhollow_batch::records::Entry;
use alderhollow_model::identity::{Address, DiskId, Incarnation, NodeInfo, Role};
use alderhollow_model::snapshot::{GroupId, Placer};
use alderhollow_storage::{FolderDisk, Journal};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Command, Output};

const IDENTITY: u64 = 0x2a;

fn folder(name: &str) -> PathBuf {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("inspect-{name}"));
    let _ = std::fs::remove_dir_all(&path);
    path
}

fn run(command: &str, argument: impl AsRef<std::ffi::OsStr>) -> Output {
    Command::new(env!("CARGO_BIN_EXE_alderhollow"))
        .arg(command)
        .arg(argument)
        .output()
        .unwrap()
}

fn shown(output: &Output) -> String {
    String::from_utf8_lossy(&output.stdout).into_owned()
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

fn journal(folder: &Path) -> Journal {
    Journal::open(&mut FolderDisk::new(folder).unwrap(), IDENTITY)
        .unwrap()
        .0
}

fn job(id: &str, items: usize) -> NewJob {
    let item = |number| Item {
        id: format!("{id}-{number}"),
        request: Some(ItemRequest {
            path: "/lots/x".into(),
            headers: Vec::new(),
            body: b"body".to_vec(),
        }),
        tokens: 10,
    };
    NewJob {
        id: JobId(id.into()),
        route: "lots".into(),
        host: "shop.example".into(),
        age_ms: 0,
        items: (0..items).map(item).collect(),
        config_version: 5,
    }
}

fn append(journal: &mut Journal, entry: &Entry) {
    journal.append(&entry.to_bytes()).unwrap();
}

#[test]
fn inspect_counts_a_stores_batch_jobs_and_writes_nothing() {
    let folder = folder("store");
    let mut journal = journal(&folder);
    append(&mut journal, &Entry::JobAccepted(job("a", 3)));
    append(&mut journal, &Entry::JobAccepted(job("b", 1)));
    append(&mut journal, &Entry::JobAccepted(job("c", 2)));
    let result = ItemResult {
        item: 0,
        state: ResultState::Completed,
        text: "done".into(),
    };
    append(
        &mut journal,
        &Entry::ItemResults {
            job: JobId("b".into()),
            position: 0,
            results: vec![result],
        },
    );
    append(&mut journal, &Entry::JobEnded(JobId("c".into())));
    append(&mut journal, &Entry::Active(4));
    journal.sync().unwrap();
    drop(journal);
    let mut log = contents(&folder)["log-a"].clone();
    log.extend_from_slice(b"torn");
    std::fs::write(folder.join("log-a"), log).unwrap();

    let before = contents(&folder);
    let output = run("inspect", &folder);
    assert_eq!(output.status.code(), Some(0), "{output:?}");
    insta::assert_snapshot!(shown(&output));
    assert_eq!(contents(&folder), before, "nothing is written");
}

#[test]
fn inspect_of_an_empty_folder_finds_no_identity_and_makes_no_file() {
    let folder = folder("empty");
    std::fs::create_dir_all(&folder).unwrap();
    let output = run("inspect", &folder);
    assert_eq!(output.status.code(), Some(0), "{output:?}");
    insta::assert_snapshot!(shown(&output));
    assert!(contents(&folder).is_empty());
}

#[test]
fn inspect_of_a_missing_folder_fails_and_makes_none() {
    let folder = folder("missing");
    let output = run("inspect", &folder);
    assert_eq!(output.status.code(), Some(2), "{output:?}");
    assert!(!folder.exists());
}

#[test]
fn inspect_says_that_contents_are_neither_of_the_core_nor_of_a_store() {
    let folder = folder("strange");
    let mut journal = journal(&folder);
    journal.append(b"\xffstrange").unwrap();
    journal.sync().unwrap();
    drop(journal);
    let output = run("inspect", &folder);
    assert_eq!(output.status.code(), Some(0), "{output:?}");
    insta::assert_snapshot!(shown(&output));
}

#[test]
fn status_of_nobody_fails_and_says_what_to_check() {
    // Nobody listens at this address. A port that was tried out may stay open for a moment in a child of another test.
    let closed = std::net::SocketAddr::from(([127, 255, 0, 1], 9));
    let output = run("status", closed.to_string());
    assert_eq!(output.status.code(), Some(1), "{output:?}");
    let message = String::from_utf8_lossy(&output.stderr).replace(&closed.to_string(), "ADDRESS");
    insta::assert_snapshot!("status_of_nobody", message);
}

fn address(host: u8, port: u16) -> Address {
    Address(SocketAddr::from(([10, 0, 0, host], port)))
}

fn report(role: Role) -> StatusReport {
    let member = |disk, host| CoreMember {
        disk: DiskId(disk),
        internal: address(host, 7660),
        control: Some(address(host, 8146)),
        is_dedicated: false,
    };
    StatusReport {
        node: NodeInfo {
            node: "machine-1".into(),
            role,
            zone: "east".into(),
            incarnation: Incarnation(0x77),
            disk: Some(DiskId(IDENTITY)),
            internal: address(1, 7660),
            control: None,
        },
        uptime_ms: 12_345,
        core_view: CoreView {
            primary: Some(member(1, 11)),
            members: vec![member(1, 11), member(2, 12), member(3, 13)],
            epoch: 2,
        },
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
            placers: vec![Placer {
                zone: "east".into(),
                node: "machine-9".into(),
                internal: address(9, 7660),
            }],
            groups: vec![
                TablesGroup {
                    group: GroupId(0),
                    epoch: 3,
                    primary: DiskId(0x90),
                },
                TablesGroup {
                    group: GroupId(1),
                    epoch: 7,
                    primary: DiskId(0x91),
                },
            ],
        },
        core: None,
        store: None,
    }
}

#[test]
fn the_status_of_a_gateway_names_its_part_in_the_core() {
    let mut report = report(Role::Gateway);
    report.core = Some(CoreStatus {
        role: CoreRole::Primary,
        epoch: 2,
        version: 9,
        lease_ms: Some(640),
    });
    insta::assert_snapshot!(report);
}

#[test]
fn the_status_of_a_gateway_without_tables_says_so() {
    let mut report = report(Role::Gateway);
    report.node.disk = None;
    report.core_view = CoreView::default();
    report.tables = TablesStatus::default();
    insta::assert_snapshot!(report);
}

#[test]
fn the_status_of_a_store_names_its_part_in_each_group() {
    let mut report = report(Role::Store);
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
    let followed = StoreGroupStatus {
        group: GroupId(1),
        epoch: 7,
        is_primary: false,
        is_active: false,
        is_synced: true,
        is_sure: false,
        jobs: 6,
        waiting_items: 0,
        running_items: 0,
        silent_members: vec![],
    };
    report.store = Some(StoreStatus {
        groups: vec![led, followed],
        waiting_tokens: vec![
            RouteTokens {
                route: "lots".into(),
                waiting: 44_000,
                limit: 1_700_000,
            },
            RouteTokens {
                route: "free".into(),
                waiting: 0,
                limit: 0,
            },
        ],
    });
    insta::assert_snapshot!(report);
}

#[test]
fn a_status_report_survives_its_encoding() {
    let mut report = report(Role::Gateway);
    report.core = Some(CoreStatus {
        role: CoreRole::Candidate,
        epoch: 2,
        version: 9,
        lease_ms: None,
    });
    let bytes = minicbor::to_vec(&report).unwrap();
    assert_eq!(minicbor::decode::<StatusReport>(&bytes).unwrap(), report);
}
