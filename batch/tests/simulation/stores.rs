//! Store machines and the processes on them.

use crate::disk::SimDisk;
use alderhollow_batch::api::{
    ReadOutcome, RouteTerms, RunEnd, RunId, SubmissionAttemptId, Token, WriteTicket,
};
use alderhollow_batch::engine::Engine;
use alderhollow_batch::job::{JobId, NewJob};
use alderhollow_model::identity::DiskId;
use alderhollow_model::snapshot::BatchGroup;
use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

use crate::oracle::{SeenResult, LIMIT, MAX_ATTEMPTS, RETENTION_MS};

/// Name of the one route.
pub(crate) const ROUTE: &str = "route";

/// A machine.
pub(crate) struct Slot {
    pub disk: SimDisk,
    pub process: Option<Process>,
    pub frozen: bool,
    /// Inputs that wait for a frozen process.
    pub pending_inputs: Vec<(Option<u64>, ToProcess)>,
    pub partitioned_from_core: bool,
    /// Maximum duration of a sync.
    pub sync_ms: u64,
}

/// One incarnation of a process.
pub(crate) struct Process {
    pub incarnation: u64,
    pub engine: Engine,
    /// Offset of its monotonic clock from the simulated time.
    pub clock_ahead_ms: u64,
    /// Pending calls by token.
    pub waiting: HashMap<Token, Vec<Caller>>,
    /// Runs in progress, with job and item.
    pub runs: HashMap<RunId, (JobId, String)>,
}

/// Caller that waits for an answer.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Caller {
    pub client: usize,
    pub call: u64,
}

/// Input of a process.
#[derive(Debug, Clone)]
pub(crate) enum ToProcess {
    Message {
        from: DiskId,
        bytes: Vec<u8>,
    },
    Written {
        ticket: WriteTicket,
        length: usize,
    },
    Tick,
    Poll,
    PollAnswered {
        sent_local_ms: u64,
        group: Option<Arc<BatchGroup>>,
        validated: bool,
    },
    Call {
        caller: Caller,
        call: Call,
    },
    RunEnded {
        run: RunId,
        end: RunEnd,
    },
}

/// A client's call as forwarded by a gateway.
#[derive(Debug, Clone)]
pub(crate) enum Call {
    Submit {
        attempt_id: SubmissionAttemptId,
        job: NewJob,
    },
    Read {
        job: JobId,
        after: u32,
        known: usize,
    },
    Body {
        job: JobId,
        item_id: String,
    },
    End {
        job: JobId,
    },
}

/// Answer of a store to a call.
#[derive(Debug, Clone)]
pub(crate) enum Answer {
    /// 202 or 200.
    Done,
    OverQuota,
    /// Nothing was done.
    NotHere,
    /// The outcome is unknown.
    Unknown,
    NotFound,
    Results {
        after: usize,
        known: usize,
        total: u32,
        results: Vec<SeenResult>,
    },
    Body(Vec<u8>),
}

impl Slot {
    pub(crate) fn new(id: DiskId) -> Slot {
        Slot {
            disk: SimDisk::new(id),
            process: None,
            frozen: false,
            pending_inputs: Vec::new(),
            partitioned_from_core: false,
            sync_ms: 5,
        }
    }

    /// Starts a process with the records on the disk.
    pub(crate) fn start(&mut self, incarnation: u64, now_ms: u64, clock_ahead_ms: u64) {
        let clock = now_ms + clock_ahead_ms;
        let (snapshot, records) = (self.disk.snapshot.as_deref(), &self.disk.records);
        let mut engine = Engine::restore(self.disk.id, clock, snapshot, records)
            .expect("a disk that can be read");
        engine.set_routes(clock, 1, routes());
        engine.set_status_ms(1_000_000);
        let (waiting, runs) = (HashMap::new(), HashMap::new());
        self.process = Some(Process {
            incarnation,
            engine,
            clock_ahead_ms,
            waiting,
            runs,
        });
        self.frozen = false;
        self.pending_inputs.clear();
    }
}

/// The one route.
fn routes() -> BTreeMap<String, RouteTerms> {
    let terms = RouteTerms {
        run_target_ms: 2_000,
        retention_ms: RETENTION_MS,
        max_attempts: MAX_ATTEMPTS,
        max_queued_tokens: LIMIT,
    };
    BTreeMap::from([(ROUTE.to_owned(), terms)])
}

/// The outcome of a read as sent to the client.
pub(crate) fn read_answer(answer: ReadOutcome<'_>, after: u32, known: usize) -> Answer {
    match answer {
        ReadOutcome::Results {
            total,
            next,
            results,
            ..
        } => {
            assert_eq!(next as usize, after as usize + results.len());
            let seen = |result: alderhollow_batch::api::ListedResult<'_>| SeenResult {
                id: result.id.to_owned(),
                state: result.state,
                text: result.text.to_owned(),
            };
            let results = results.into_iter().map(seen).collect();
            Answer::Results {
                after: after as usize,
                known,
                total,
                results,
            }
        }
        ReadOutcome::NotFound => Answer::NotFound,
        ReadOutcome::NotPrimary | ReadOutcome::NotSure => Answer::NotHere,
    }
}
