//! The writer: order of writes, group commit, order of completions, and errors of the affected submissions only.

use alderhollow_storage::{Disk, DiskFile, FaultDisk, Journal, StorageError, Write, Writer};
use std::io;
use std::sync::mpsc;
use tokio::sync::oneshot;

const LARGE_CAPACITY: u64 = 1 << 30;

/// A disk whose syncs of one file each wait for a permit.
struct GatedDisk {
    disk: FaultDisk,
    /// Taken by the file `log-a` when it is opened.
    permits: Option<mpsc::Receiver<()>>,
}

struct GatedFile {
    file: Box<dyn DiskFile>,
    permits: Option<mpsc::Receiver<()>>,
}

impl Disk for GatedDisk {
    fn open(&mut self, name: &'static str) -> io::Result<Box<dyn DiskFile>> {
        let permits = if name == "log-a" {
            self.permits.take()
        } else {
            None
        };
        Ok(Box::new(GatedFile {
            file: self.disk.open(name)?,
            permits,
        }))
    }
}

impl DiskFile for GatedFile {
    fn length(&mut self) -> io::Result<u64> {
        self.file.length()
    }
    fn read_at(&mut self, offset: u64, buffer: &mut [u8]) -> io::Result<usize> {
        self.file.read_at(offset, buffer)
    }
    fn write_at(&mut self, offset: u64, bytes: &[u8]) -> io::Result<()> {
        self.file.write_at(offset, bytes)
    }
    fn set_length(&mut self, length: u64) -> io::Result<()> {
        self.file.set_length(length)
    }
    fn sync(&mut self) -> io::Result<()> {
        if let Some(permits) = &self.permits {
            permits.recv().map_err(io::Error::other)?;
        }
        self.file.sync()
    }
}

fn append(text: &str) -> Vec<Write> {
    vec![Write::Append(text.into())]
}

fn recovered_texts(disk: &FaultDisk) -> Vec<String> {
    let (_, recovered) = Journal::open(&mut disk.clone(), 1).unwrap();
    let all = recovered.snapshot.into_iter().chain(recovered.records);
    all.map(|bytes| String::from_utf8(bytes).unwrap()).collect()
}

/// A writer on a gated disk. Opening the journal uses up one permit.
fn gated_writer(disk: &FaultDisk) -> (Writer, mpsc::Sender<()>) {
    let (permit, permits) = mpsc::channel();
    permit.send(()).unwrap();
    let mut gated_disk = GatedDisk {
        disk: disk.clone(),
        permits: Some(permits),
    };
    let (journal, _) = Journal::open(&mut gated_disk, 1).unwrap();
    (Writer::start(journal).unwrap(), permit)
}

fn is_pending(completion: &mut oneshot::Receiver<Result<(), StorageError>>) -> bool {
    matches!(
        completion.try_recv(),
        Err(oneshot::error::TryRecvError::Empty)
    )
}

#[tokio::test]
async fn writes_are_recovered_in_order() {
    let disk = FaultDisk::new(LARGE_CAPACITY, 1);
    let (journal, _) = Journal::open(&mut disk.clone(), 1).unwrap();
    let writer = Writer::start(journal).unwrap();
    let completions: Vec<_> = (0..100)
        .map(|number| writer.submit(append(&number.to_string())))
        .collect();
    for completion in completions {
        completion.await.unwrap().unwrap();
    }
    assert_eq!(writer.pending(), 0);
    let expected: Vec<String> = (0..100).map(|number| number.to_string()).collect();
    assert_eq!(recovered_texts(&disk), expected);
}

#[tokio::test]
async fn writes_queued_during_a_stall_share_one_sync() {
    let disk = FaultDisk::new(LARGE_CAPACITY, 1);
    let (writer, permit) = gated_writer(&disk);
    let mut first = writer.submit(append("first"));
    // The thread may write some of these together with the first one; the others share the second sync.
    let mut completions: Vec<_> = (0..50)
        .map(|number| writer.submit(append(&number.to_string())))
        .collect();
    assert_eq!(writer.pending(), 51);
    assert!(is_pending(&mut first) && is_pending(&mut completions[49]));
    permit.send(()).unwrap();
    first.await.unwrap().unwrap();
    permit.send(()).unwrap();
    for completion in completions {
        completion.await.unwrap().unwrap();
    }
    assert_eq!(writer.pending(), 0);
}

#[tokio::test]
async fn a_compaction_completes_earlier_submissions_and_replaces_their_records() {
    let disk = FaultDisk::new(LARGE_CAPACITY, 1);
    let (journal, _) = Journal::open(&mut disk.clone(), 1).unwrap();
    let writer = Writer::start(journal).unwrap();
    let before = writer.submit(append("before"));
    let both = writer.submit(vec![
        Write::Compact(b"state".to_vec()),
        Write::Append(b"behind".to_vec()),
    ]);
    both.await.unwrap().unwrap();
    assert!(before.await.unwrap().is_ok());
    disk.restore_power();
    assert_eq!(recovered_texts(&disk), ["state", "behind"]);
}

#[tokio::test]
async fn a_failed_sync_fails_the_submissions_it_covers_and_no_later_one() {
    let disk = FaultDisk::new(LARGE_CAPACITY, 1);
    let (writer, permit) = gated_writer(&disk);
    permit.send(()).unwrap();
    writer.submit(append("kept")).await.unwrap().unwrap();
    disk.fail_sync_after(0);
    let failed = writer.submit(append("failed"));
    permit.send(()).unwrap();
    assert!(failed.await.unwrap().is_err());
    permit.send(()).unwrap();
    writer.submit(append("later")).await.unwrap().unwrap();
    assert_eq!(recovered_texts(&disk), ["kept", "later"]);
}

#[tokio::test]
async fn a_full_disk_fails_a_submission_and_the_writer_continues() {
    let disk = FaultDisk::new(2_000, 1);
    let (journal, _) = Journal::open(&mut disk.clone(), 1).unwrap();
    let writer = Writer::start(journal).unwrap();
    let error = writer
        .submit(vec![Write::Append(vec![0; 5_000])])
        .await
        .unwrap()
        .unwrap_err();
    assert!(error.is_full());
    writer.submit(append("fits")).await.unwrap().unwrap();
    assert_eq!(recovered_texts(&disk), ["fits"]);
}

#[tokio::test]
async fn dropping_the_writer_completes_queued_submissions() {
    let disk = FaultDisk::new(LARGE_CAPACITY, 1);
    let (journal, _) = Journal::open(&mut disk.clone(), 1).unwrap();
    let writer = Writer::start(journal).unwrap();
    let last = writer.submit(append("last"));
    drop(writer);
    last.await.unwrap().unwrap();
    assert_eq!(recovered_texts(&disk), ["last"]);
}
