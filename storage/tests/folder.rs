//! The journal in a folder of the file system, and its inspection.

use alderhollow_storage::{inspect, Finding, FolderDisk, Journal};
use std::io::Write as _;
use std::path::PathBuf;

/// The folder of one test; removed when dropped.
struct Folder(PathBuf);

impl Folder {
    fn new(name: &str) -> Folder {
        let path =
            std::env::temp_dir().join(format!("alderhollow-storage-{name}-{}", std::process::id()));
        let _ = std::fs::remove_dir_all(&path);
        Folder(path)
    }

    fn open(&self) -> (Journal, alderhollow_storage::Recovered) {
        Journal::open(&mut FolderDisk::new(&self.0).unwrap(), 42).unwrap()
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

#[test]
fn state_is_recovered_from_a_folder() {
    let folder = Folder::new("reopen");
    let (mut journal, _) = folder.open();
    let snapshot: Vec<u8> = (0..1_000_000u32).map(|number| number as u8).collect();
    journal.compact(&snapshot).unwrap();
    journal.append(b"one").unwrap();
    journal.append(&vec![3; 400_000]).unwrap();
    journal.append(b"three").unwrap();
    journal.sync().unwrap();
    drop(journal);
    let (_, recovered) = folder.open();
    assert_eq!(recovered.identity, 42);
    assert!(recovered.snapshot == Some(snapshot));
    assert!(recovered.records == [b"one".to_vec(), vec![3; 400_000], b"three".to_vec()]);
}

#[test]
fn inspect_lists_slots_records_and_findings_and_changes_nothing() {
    let folder = Folder::new("inspect");
    let (mut journal, _) = folder.open();
    journal.compact(b"first").unwrap();
    journal.compact(b"second state").unwrap();
    journal.append(b"record").unwrap();
    journal.sync().unwrap();
    drop(journal);
    let mut log = std::fs::OpenOptions::new()
        .append(true)
        .open(folder.0.join("log-a"))
        .unwrap();
    log.write_all(b"torn").unwrap();
    std::fs::write(folder.0.join("snapshot-b"), b"half a snapshot").unwrap();

    let inspection = inspect(&folder.0).unwrap();
    assert_eq!(inspection.identity, Some(42));
    let in_force = inspection
        .slots
        .iter()
        .find(|slot| slot.is_in_force)
        .unwrap();
    assert_eq!(
        (in_force.file, in_force.generation, in_force.bytes),
        ("snapshot-a", Some(2), 12)
    );
    let log = inspection.logs.iter().find(|log| log.is_in_force).unwrap();
    assert_eq!(
        (log.file, log.generation, &log.records),
        ("log-a", Some(2), &vec![6])
    );
    let expected = [
        Finding::TornSnapshot("snapshot-b"),
        Finding::TornTail {
            file: "log-a",
            bytes: 4,
        },
    ];
    assert_eq!(inspection.findings, expected);
    assert_eq!(inspect(&folder.0).unwrap(), inspection);
}

#[test]
fn inspect_reports_that_an_empty_folder_has_no_identity() {
    let folder = Folder::new("empty");
    std::fs::create_dir_all(&folder.0).unwrap();
    let inspection = inspect(&folder.0).unwrap();
    assert_eq!(inspection.findings, [Finding::NoIdentity]);
    assert!(std::fs::read_dir(&folder.0).unwrap().next().is_none());
}
