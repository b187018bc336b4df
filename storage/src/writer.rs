//! A journal on its own thread. All writes queued at the same time share one sync (group commit), and a slow disk
//! blocks only those who wait for a completion.

use crate::error::StorageError;
use crate::journal::Journal;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{mpsc, Arc};
use tokio::sync::oneshot;

/// A write to the journal.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Write {
    /// Appends a record.
    Append(Vec<u8>),
    /// Replaces the snapshot and all earlier records by this snapshot.
    Compact(Vec<u8>),
}

/// Handle of the writer thread. When it is dropped, the thread writes what is queued and exits.
pub struct Writer {
    submissions: mpsc::Sender<Submission>,
    pending: Arc<AtomicUsize>,
}

/// Writes that complete together.
struct Submission {
    writes: Vec<Write>,
    completion: oneshot::Sender<Result<(), StorageError>>,
}

impl Writer {
    /// Starts the writer thread.
    ///
    /// # Errors
    /// The operating system can't start a thread.
    pub fn start(journal: Journal) -> std::io::Result<Writer> {
        let (submissions, queue) = mpsc::channel();
        let pending = Arc::new(AtomicUsize::new(0));
        let worker = Worker {
            journal,
            queue,
            pending: pending.clone(),
            unsynced: Vec::new(),
        };
        std::thread::Builder::new()
            .name("storage-writer".into())
            .spawn(move || worker.run())?;
        Ok(Writer {
            submissions,
            pending,
        })
    }

    /// Queues `writes`. The completion reports success once all of them are durable, or the first error among them;
    /// after an error each of them may or may not survive a restart. Submissions are written and completed in order.
    pub fn submit(&self, writes: Vec<Write>) -> oneshot::Receiver<Result<(), StorageError>> {
        let (completion, receiver) = oneshot::channel();
        self.pending.fetch_add(1, Ordering::Relaxed);
        if let Err(mpsc::SendError(refused)) =
            self.submissions.send(Submission { writes, completion })
        {
            self.pending.fetch_sub(1, Ordering::Relaxed);
            // Ignored if the caller has dropped its receiver.
            let _ = refused.completion.send(Err(StorageError::WriterEnded));
        }
        receiver
    }

    /// Number of submissions that are not complete.
    pub fn pending(&self) -> usize {
        self.pending.load(Ordering::Relaxed)
    }
}

/// State of the writer thread.
struct Worker {
    journal: Journal,
    queue: mpsc::Receiver<Submission>,
    pending: Arc<AtomicUsize>,
    /// Submissions that are written but not yet synced, in order.
    unsynced: Vec<UnsyncedSubmission>,
}

/// A submission that is written but not yet synced.
struct UnsyncedSubmission {
    completion: oneshot::Sender<Result<(), StorageError>>,
    /// The first error of its writes.
    error: Option<StorageError>,
}

impl Worker {
    fn run(mut self) {
        while let Ok(first) = self.queue.recv() {
            self.write(first);
            while let Ok(next) = self.queue.try_recv() {
                self.write(next);
            }
            let result = self.journal.sync();
            self.complete_unsynced(&result);
        }
    }

    fn write(&mut self, submission: Submission) {
        let mut first_error = None;
        for write in submission.writes {
            let result = match write {
                Write::Append(record) => self.append(&record),
                Write::Compact(snapshot) => self.compact(&snapshot),
            };
            first_error = first_error.or(result.err());
        }
        self.unsynced.push(UnsyncedSubmission {
            completion: submission.completion,
            error: first_error,
        });
    }

    fn append(&mut self, record: &[u8]) -> Result<(), StorageError> {
        let result = self.journal.append(record);
        if let Err(error) = &result {
            // The journal has rolled back all records since the last sync.
            self.complete_unsynced(&Err(error.clone()));
        }
        result
    }

    fn compact(&mut self, snapshot: &[u8]) -> Result<(), StorageError> {
        let result = self.journal.compact(snapshot);
        if result.is_ok() {
            // The snapshot covers all records before it.
            self.complete_unsynced(&Ok(()));
        }
        result
    }

    /// Completes all unsynced submissions: each with its own first error, or else with `result`.
    fn complete_unsynced(&mut self, result: &Result<(), StorageError>) {
        for written in self.unsynced.drain(..) {
            self.pending.fetch_sub(1, Ordering::Relaxed);
            let _ = written
                .completion
                .send(written.error.map_or_else(|| result.clone(), Err));
        }
    }
}
