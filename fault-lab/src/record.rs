//! What happened in a run, as it is written down: one event a line, in JSON. Checks and reports read nothing else.

use crate::kinds;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::fs::File;
use std::io::{self, BufRead, BufReader, BufWriter, Write};
use std::path::Path;
use std::sync::mpsc::{sync_channel, Receiver, SyncSender};
use std::sync::Arc;
use std::thread::{self, JoinHandle};
use std::time::Instant;

/// Microseconds since the run began, on the monotonic clock.
pub type Micros = u64;

/// How many events may wait for the disk before those that tell of more wait too.
const WAITING: usize = 65_536;

/// One event with its time.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Entry {
    /// When it happened.
    pub us: Micros,
    /// What happened.
    #[serde(flatten)]
    pub event: Event,
}

/// How a request ended for its client.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Ending {
    /// 200 and a whole body.
    Served,
    /// 429 or 503.
    Refused,
    /// Any other answer.
    Failed,
    /// No connection came up, so no front door took the request.
    NotTaken,
    /// The connection broke after the request was written.
    Cut,
    /// No whole answer came until the client had waited for half a second beyond its deadline.
    GaveUp,
}

/// Whether a backend ran what it was sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Ran {
    /// It was answered with 200.
    Whole,
    /// It ran, and was answered with 500 or not at all.
    Badly,
    /// It was turned away.
    Never,
}

/// What happens to a process of a front door.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Life {
    /// The process was started.
    Started,
    /// It said yes at `/healthz` for the first time in its life.
    Ready,
    /// SIGKILL was sent.
    Killed,
    /// SIGSTOP was sent.
    Stopped,
    /// SIGCONT was sent.
    Continued,
    /// SIGTERM was sent.
    Terminated,
    /// The process is gone though nobody sent it a signal to end.
    Crashed,
    /// The process is gone as it was told to.
    Ended,
}

/// A front door's view of the fleet, as the call `fleet` tells it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct View {
    pub name: String,
    pub roster: usize,
    pub alive: Vec<String>,
    pub suspect: Vec<String>,
    pub dead: Vec<String>,
    pub side: String,
    pub digest: String,
    pub sent: Traffic,
}

/// Messages and bytes since a process began, with the headers of IP and UDP.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Traffic {
    pub messages: u64,
    pub bytes: u64,
}

/// Who decides for the fleet, as a front door tells it by the call `owner`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Owner {
    pub name: String,
    pub owner: Option<String>,
    pub epoch: u64,
    pub mine: bool,
    pub left_ms: u64,
    pub quiet_ms: u64,
    pub refused: u64,
}

/// The map of who keeps which customers, as a front door tells it by the call `shards`. One that holds none yet may
/// leave the first ones out.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Shards {
    #[serde(default)]
    pub version: Option<u64>,
    #[serde(default)]
    pub epoch: Option<u64>,
    #[serde(default)]
    pub hash: Option<String>,
    /// The keys that this front door keeps now, half open.
    pub mine: Vec<(u64, u64)>,
    #[serde(default)]
    pub next: Option<Value>,
    #[serde(default)]
    pub proposal: Option<Value>,
}

/// What a customer is held for, from what is not known to the most cautious.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Pooling {
    Unknown,
    Statement,
    Transaction,
    Session,
}

/// What a front door tells of one customer by the call `session`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Session {
    pub keeper: Option<String>,
    pub pooling: Pooling,
    pub epoch: u64,
    pub version: u64,
    pub age_ms: u64,
}

/// What happened.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub enum Event {
    /// A client sent a request. `due` is when it was to be sent: what it waited for since then is the lab's lateness.
    Sent {
        id: String,
        customer: u64,
        plan: usize,
        class: usize,
        units: u32,
        door: usize,
        due: Micros,
        retry: bool,
    },
    /// A client's request ended.
    Ended {
        id: String,
        door: usize,
        ending: Ending,
        status: u16,
    },
    /// The last byte of a request reached a backend.
    Arrived {
        id: String,
        backend: usize,
        door: usize,
        customer: u64,
        plan: usize,
        class: usize,
        units: u32,
    },
    /// A backend is done with what arrived.
    Done {
        id: String,
        backend: usize,
        customer: u64,
        ran: Ran,
    },
    /// A request of a customer whose work depends on the connection runs on this one of the backend's.
    State {
        id: String,
        backend: usize,
        door: usize,
        customer: u64,
        plan: usize,
        connection: u64,
        state: kinds::State,
    },
    /// Connections that are open at a backend, each second, where anybody's work depends on them.
    Connections { backend: usize, open: usize },
    /// A backend was pushed over while it was cold.
    Tipped { backend: usize },
    /// A backend's state in truth changed.
    Backend { backend: usize, state: String },
    /// An agent wrote a list or changes to its front door: each backend in it with its state.
    Told {
        door: usize,
        rev: u64,
        whole: bool,
        states: Vec<(usize, String)>,
    },
    /// A call of staff was answered.
    Call {
        door: usize,
        line: String,
        answer: String,
    },
    /// What a front door answered to the call `fleet`.
    View { door: usize, view: View },
    /// The front doors run with a lease on the office of the owner, of this length.
    Lease { lease_ms: u64 },
    /// What a front door answered to the call `owner`. It held at some instant between the two times: one that stood
    /// still answers late.
    Owner {
        door: usize,
        asked_us: Micros,
        answered_us: Micros,
        #[serde(flatten)]
        answer: Owner,
    },
    /// What a front door answered to the call `shards`, likewise.
    Shards {
        door: usize,
        asked_us: Micros,
        answered_us: Micros,
        #[serde(flatten)]
        answer: Shards,
    },
    /// What a front door answered to the call `session` for this customer, likewise.
    Session {
        door: usize,
        customer: u64,
        asked_us: Micros,
        answered_us: Micros,
        #[serde(flatten)]
        answer: Session,
    },
    /// A front door's configuration was replaced by this version and SIGHUP was sent.
    Configured { door: usize, version: u64 },
    /// A front door's process.
    Door { door: usize, life: Life },
    /// The front takes a door in (or out).
    Front { door: usize, taken: bool },
    /// The condition of the link between two parties changed.
    Link {
        from: String,
        to: String,
        condition: String,
    },
    /// A fault of the scenario began or ended.
    Fault {
        number: usize,
        text: String,
        begins: bool,
    },
    /// How late a timer of the lab's own woke, at most, in the last second.
    Lateness { worst_us: Micros },
}

/// The clock and the record of one run. Clones write to the same record.
#[derive(Clone)]
pub struct Recorder {
    began: Instant,
    lines: Arc<SyncSender<Entry>>,
}

/// The record's file. It is whole once [`Writer::finish`] has returned.
pub struct Writer {
    thread: JoinHandle<io::Result<u64>>,
}

impl Recorder {
    /// Begins a record in this file, and its clock.
    ///
    /// # Errors
    /// The file cannot be made.
    pub fn create(path: &Path) -> io::Result<(Recorder, Writer)> {
        let file = File::create(path)?;
        let (recorder, entries) = Recorder::channel();
        let thread = thread::spawn(move || write(file, entries));
        Ok((recorder, Writer { thread }))
    }

    /// A record that is kept in memory, for tests.
    pub fn channel() -> (Recorder, Receiver<Entry>) {
        let (lines, entries) = sync_channel(WAITING);
        (
            Recorder {
                began: Instant::now(),
                lines: Arc::new(lines),
            },
            entries,
        )
    }

    /// The time in the run.
    pub fn now(&self) -> Micros {
        self.began.elapsed().as_micros() as Micros
    }

    /// The instant of a time in the run.
    pub fn instant(&self, at: Micros) -> Instant {
        self.began + std::time::Duration::from_micros(at)
    }

    /// Writes an event down as of now.
    pub fn tell(&self, event: Event) {
        self.tell_at(self.now(), event);
    }

    /// Writes an event down as of then.
    pub fn tell_at(&self, us: Micros, event: Event) {
        // Nobody reads on once the run is over.
        let _ = self.lines.send(Entry { us, event });
    }
}

impl Writer {
    /// Waits until all is on disk; all recorders have to be gone by then. Returns the number of events.
    ///
    /// # Errors
    /// The file could not be written.
    pub fn finish(self) -> io::Result<u64> {
        self.thread
            .join()
            .unwrap_or_else(|_| Err(io::Error::other("the record's writer ended")))
    }
}

fn write(file: File, entries: Receiver<Entry>) -> io::Result<u64> {
    let mut file = BufWriter::new(file);
    let mut count = 0;
    for entry in entries {
        serde_json::to_writer(&mut file, &entry)?;
        file.write_all(b"\n")?;
        count += 1;
    }
    file.flush()?;
    Ok(count)
}

/// Reads a record, in the order of time.
///
/// # Errors
/// The file cannot be read, or a line makes no sense: which one is told.
pub fn read(path: &Path) -> io::Result<Vec<Entry>> {
    let mut entries = Vec::new();
    for (number, line) in BufReader::new(File::open(path)?).lines().enumerate() {
        let entry = serde_json::from_str(&line?).map_err(|error| {
            io::Error::new(
                io::ErrorKind::InvalidData,
                format!("{}:{}: {error}", path.display(), number + 1),
            )
        })?;
        entries.push(entry);
    }
    entries.sort_by_key(|entry: &Entry| entry.us);
    Ok(entries)
}
