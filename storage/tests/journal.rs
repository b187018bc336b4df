//! The journal under single faults: a crash at each step, damaged files, a full disk, disk usage.

use alderhollow_storage::{FaultDisk, Journal, Recovered, StorageError};

const LARGE_CAPACITY: u64 = 1 << 30;
const IDENTITY: u64 = 0x5eed;

fn open(disk: &FaultDisk) -> (Journal, Recovered) {
    Journal::open(&mut disk.clone(), IDENTITY).unwrap()
}

fn append_all(journal: &mut Journal, records: &[&[u8]]) {
    for record in records {
        journal.append(record).unwrap();
    }
    journal.sync().unwrap();
}

#[test]
fn an_unused_disk_gets_an_identity_once() {
    let mut disk = FaultDisk::new(LARGE_CAPACITY, 1);
    let (_, recovered) = open(&disk);
    assert_eq!(
        recovered,
        Recovered {
            identity: IDENTITY,
            snapshot: None,
            records: Vec::new()
        }
    );
    disk.restore_power();
    let (_, recovered) = Journal::open(&mut disk, 99).unwrap();
    assert_eq!(recovered.identity, IDENTITY);
}

#[test]
fn a_power_loss_at_any_step_of_the_first_open_leaves_a_usable_disk() {
    for (operation, seed) in (0..4).flat_map(|operation| (0..40).map(move |seed| (operation, seed)))
    {
        let disk = FaultDisk::new(LARGE_CAPACITY, seed);
        disk.fail_power_after(operation);
        let first = Journal::open(&mut disk.clone(), 1);
        disk.restore_power();
        let (_, recovered) = Journal::open(&mut disk.clone(), 2).unwrap();
        assert!(recovered.records.is_empty() && recovered.snapshot.is_none());
        if first.is_ok() {
            assert_eq!(recovered.identity, 1);
        }
    }
}

#[test]
fn a_damaged_identity_on_a_disk_with_data_is_an_error() {
    let mut disk = FaultDisk::new(LARGE_CAPACITY, 1);
    append_all(&mut open(&disk).0, &[b"promised 7"]);
    disk.corrupt("identity", 9, &[0xff, 0xee]);
    assert!(matches!(
        Journal::open(&mut disk, 2),
        Err(StorageError::DamagedIdentity)
    ));
}

#[test]
fn damaged_snapshots_are_an_error_and_not_an_empty_disk() {
    let mut disk = FaultDisk::new(LARGE_CAPACITY, 1);
    let (mut journal, _) = open(&disk);
    journal.compact(b"first state").unwrap();
    append_all(&mut journal, &[b"promised 7"]);
    disk.corrupt("snapshot-b", 33, b"XX");
    assert!(matches!(
        Journal::open(&mut disk, 2),
        Err(StorageError::DamagedSnapshots)
    ));
}

#[test]
fn snapshot_and_records_are_recovered_in_order() {
    let disk = FaultDisk::new(LARGE_CAPACITY, 1);
    let (mut journal, _) = open(&disk);
    append_all(&mut journal, &[b"gone with the snapshot"]);
    journal.compact(b"state").unwrap();
    append_all(&mut journal, &[b"one", b"", b"three"]);
    assert_eq!(journal.log_bytes(), 3 * 24 + 8);
    disk.restore_power();
    let (_, recovered) = open(&disk);
    assert_eq!(recovered.snapshot.as_deref(), Some(b"state".as_slice()));
    assert_eq!(
        recovered.records,
        [b"one".to_vec(), b"".to_vec(), b"three".to_vec()]
    );
}

#[test]
fn a_power_loss_at_any_step_of_a_compaction_leaves_the_old_or_the_new_state() {
    let old: Vec<u8> = vec![1; 700_000];
    let new: Vec<u8> = vec![2; 600_000];
    let mut seen = [0; 2];
    for (operation, seed) in (0..8).flat_map(|operation| (0..30).map(move |seed| (operation, seed)))
    {
        let disk = FaultDisk::new(LARGE_CAPACITY, seed);
        let (mut journal, _) = open(&disk);
        journal.compact(b"older").unwrap();
        journal.compact(&old).unwrap();
        append_all(&mut journal, &[b"old record"]);
        disk.fail_power_after(operation);
        let result = journal.compact(&new);
        disk.restore_power();
        let (_, recovered) = open(&disk);
        let is_new = recovered.snapshot.as_deref() == Some(new.as_slice());
        if is_new {
            assert!(recovered.records.is_empty());
        } else {
            assert!(result.is_err(), "an acknowledged compaction was lost");
            assert!(recovered.snapshot.as_deref() == Some(old.as_slice()));
            assert_eq!(recovered.records, [b"old record".to_vec()]);
        }
        seen[usize::from(is_new)] += 1;
    }
    assert!(
        seen.iter().all(|count| *count > 0),
        "only one of the two outcomes was seen: {seen:?}"
    );
}

#[test]
fn records_after_an_invalid_one_are_not_recovered() {
    let disk = FaultDisk::new(LARGE_CAPACITY, 1);
    append_all(&mut open(&disk).0, &[b"first", b"second", b"third"]);
    disk.corrupt("log-a", 24 + 5 + 24 + 2, b"?");
    let (mut journal, recovered) = open(&disk);
    assert_eq!(recovered.records, [b"first".to_vec()]);
    // As long as the damaged record: the third one must not become valid after it.
    append_all(&mut journal, &[b"SECOND"]);
    disk.restore_power();
    assert_eq!(
        open(&disk).1.records,
        [b"first".to_vec(), b"SECOND".to_vec()]
    );
}

#[test]
fn records_of_a_failed_sync_are_not_recovered_after_later_ones() {
    for seed in 0..200 {
        let disk = FaultDisk::new(LARGE_CAPACITY, seed);
        let (mut journal, _) = open(&disk);
        append_all(&mut journal, &[b"kept"]);
        journal.append(b"failed 1").unwrap();
        journal.append(b"failed 2").unwrap();
        disk.fail_sync_after(0);
        assert!(journal.sync().is_err());
        journal.append(b"behind 1").unwrap();
        disk.fail_power_after(seed % 4);
        let _ = journal.sync();
        disk.restore_power();
        let records = open(&disk).1.records;
        assert_eq!(records[0], b"kept");
        if records.contains(&b"behind 1".to_vec()) {
            assert_eq!(records.len(), 2, "seed {seed}");
        }
    }
}

#[test]
fn records_of_a_killed_process_are_durable_once_recovered() {
    for seed in 0..50 {
        let disk = FaultDisk::new(LARGE_CAPACITY, seed);
        let (mut journal, _) = open(&disk);
        // More than the buffer, so that it is written before the sync, which never comes.
        let expected = vec![vec![5; 300_000]];
        journal.append(&expected[0]).unwrap();
        drop(journal);
        assert_eq!(open(&disk).1.records, expected);
        disk.restore_power();
        assert_eq!(open(&disk).1.records, expected);
    }
}

#[test]
fn a_snapshot_of_a_killed_process_is_durable_once_recovered() {
    let mut seen_new = false;
    for (operation, seed) in (0..5).flat_map(|operation| (0..40).map(move |seed| (operation, seed)))
    {
        let disk = FaultDisk::new(LARGE_CAPACITY, seed);
        let (mut journal, _) = open(&disk);
        journal.compact(b"old").unwrap();
        disk.end_process_after(operation);
        let _ = journal.compact(b"new");
        drop(journal);
        disk.restart_process();
        let (mut journal, first) = open(&disk);
        append_all(&mut journal, &[b"behind"]);
        disk.restore_power();
        let second = open(&disk).1;
        assert_eq!(
            second.snapshot, first.snapshot,
            "operation {operation}, seed {seed}"
        );
        assert_eq!(second.records, [b"behind".to_vec()]);
        seen_new |= first.snapshot.as_deref() == Some(b"new".as_slice());
    }
    assert!(seen_new);
}

#[test]
fn bytes_of_an_older_generation_are_not_recovered_as_records() {
    for seed in 0..50 {
        let disk = FaultDisk::new(LARGE_CAPACITY, seed);
        let (mut journal, _) = open(&disk);
        append_all(&mut journal, &[b"generation 0", b"generation 0 too"]);
        journal.compact(b"one").unwrap();
        append_all(&mut journal, &[b"generation 1"]);
        // The log of generation 0 was truncated without a sync and may have its old contents again.
        journal.compact(b"two").unwrap();
        journal.append(b"generation 2").unwrap();
        disk.restore_power();
        let recovered = open(&disk).1;
        assert_eq!(recovered.snapshot.as_deref(), Some(b"two".as_slice()));
        assert!(recovered.records.is_empty() || recovered.records == [b"generation 2".to_vec()]);
    }
}

#[test]
fn a_full_disk_fails_an_append_and_accepts_the_next_one_that_fits() {
    let disk = FaultDisk::new(5_000, 3);
    let (mut journal, _) = open(&disk);
    append_all(&mut journal, &[b"kept"]);
    journal.append(&[9; 8_000]).unwrap();
    assert!(journal.sync().unwrap_err().is_full());
    append_all(&mut journal, &[b"fits"]);
    assert!(journal.compact(&[8; 9_000]).unwrap_err().is_full());
    append_all(&mut journal, &[b"fits too"]);
    disk.restore_power();
    assert_eq!(
        open(&disk).1.records,
        [b"kept".to_vec(), b"fits".to_vec(), b"fits too".to_vec()]
    );
}

#[test]
fn a_compaction_whose_sync_failed_never_hides_later_records() {
    for seed in 0..100 {
        let disk = FaultDisk::new(LARGE_CAPACITY, seed);
        let (mut journal, _) = open(&disk);
        append_all(&mut journal, &[b"before"]);
        disk.fail_sync_after(0);
        assert!(journal.compact(b"before").is_err());
        append_all(&mut journal, &[b"after"]);
        disk.restore_power();
        assert_eq!(
            open(&disk).1.records,
            [b"before".to_vec(), b"after".to_vec()]
        );
    }
}

#[test]
fn disk_usage_is_bounded_by_two_snapshots_and_one_log() {
    let disk = FaultDisk::new(LARGE_CAPACITY, 1);
    let (mut journal, _) = open(&disk);
    for round in 0..50u8 {
        append_all(&mut journal, &[&[round; 10_000]]);
        journal.compact(&vec![round; 50_000]).unwrap();
    }
    assert!(disk.used() < 2 * 50_100 + 200, "{} bytes", disk.used());
}

#[test]
fn a_record_over_the_limit_is_rejected_without_affecting_others() {
    let disk = FaultDisk::new(LARGE_CAPACITY, 1);
    let (mut journal, _) = open(&disk);
    journal.append(b"before").unwrap();
    let error = journal.append(&vec![0; 64 * 1024 * 1024 + 1]).unwrap_err();
    assert!(matches!(error, StorageError::RecordTooLong { .. }));
    append_all(&mut journal, &[b"behind"]);
    assert_eq!(
        open(&disk).1.records,
        [b"before".to_vec(), b"behind".to_vec()]
    );
}
