//! A group of stores under the load of clients, whose primary sends everything over one slow link. The links of the
//! members, all disks and the links to the primary are modelled as fast.

use super::clients::Clients;
use super::link::{Link, Parcel};
use crate::cluster::{group, routes, terms, ROUTE};
use alderhollow_batch::api::{
    ItemStart, Outcome, Output, ReadOutcome, RouteTerms, RunEnd, RunId, SubmissionAttemptId,
};
use alderhollow_batch::engine::Engine;
use alderhollow_batch::job::JobId;
use alderhollow_model::identity::DiskId;
use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

const PRIMARY: u64 = 1;
pub(super) const MEMBERS: [u64; 4] = [1, 2, 3, 4];
const START_MS: u64 = 1_000;
/// Maximum number of concurrent runs, more than the link can sustain.
const MAX_RUNS: usize = 400;
/// Duration of a run.
const RUN_MS: u64 = 500;
const TEXT_BYTES: usize = 4_400;
/// Interval at which items are taken from the engine.
const TICK_MS: u64 = 10;
/// Maximum bytes of results in one read.
const PAGE_BYTES: usize = 256 << 10;

/// A run at a backend.
struct Running {
    run: RunId,
    ends_ms: u64,
}

/// The group, its clients and its backends.
pub(super) struct CongestedGroup {
    pub now_ms: u64,
    pub clients: Clients,
    engines: BTreeMap<u64, Engine>,
    link: Link,
    running: VecDeque<Running>,
    /// Items on their way to a backend.
    starting: usize,
    attempts: u64,
    /// Results that became readable to clients whose acceptance had been acknowledged.
    useful_results: u64,
}

impl CongestedGroup {
    /// Creates an active group under `load` times the capacity of the link.
    pub(super) fn new(load: u32) -> CongestedGroup {
        let terms = RouteTerms {
            run_target_ms: 60_000,
            retention_ms: 120_000,
            max_queued_tokens: 0,
            ..terms()
        };
        let engine = |disk: u64| {
            let mut engine =
                Engine::restore(DiskId(disk), START_MS, None, &[]).expect("an empty disk");
            engine.set_routes(START_MS, 1, routes(terms.clone()));
            (disk, engine)
        };
        let mut congested = CongestedGroup {
            now_ms: START_MS,
            clients: Clients::new(START_MS, load),
            engines: MEMBERS.into_iter().map(engine).collect(),
            link: Link::default(),
            running: VecDeque::new(),
            starting: 0,
            attempts: 0,
            useful_results: 0,
        };
        congested.set_group(1, &MEMBERS, &[]);
        while !congested.is_active() {
            congested.pass_one_ms();
        }
        congested
    }

    /// Applies a new epoch of the same primary at all stores.
    pub(super) fn set_group(&mut self, epoch: u64, members: &[u64], learners: &[u64]) {
        let group = Arc::new(group(epoch, PRIMARY, members, learners));
        for engine in self.engines.values_mut() {
            engine.set_group(self.now_ms, group.clone());
        }
        self.apply_outputs();
    }

    /// Whether the primary's epoch is active.
    pub(super) fn is_active(&mut self) -> bool {
        let now_ms = self.now_ms;
        self.primary().status(now_ms).active
    }

    /// Advances the time under load; returns the useful results of that time.
    pub(super) fn pass(&mut self, span_ms: u64) -> u64 {
        let before = self.useful_results;
        (0..span_ms).for_each(|_| {
            self.submit_due();
            self.pass_one_ms();
        });
        self.useful_results - before
    }

    fn primary(&mut self) -> &mut Engine {
        self.engines.get_mut(&PRIMARY).expect("the primary")
    }

    fn pass_one_ms(&mut self) {
        self.now_ms += 1;
        let now_ms = self.now_ms;
        self.primary().set_validated_until(now_ms + 1_000);
        for parcel in self.link.pass_one_ms() {
            self.deliver(parcel);
        }
        self.end_runs();
        if now_ms.is_multiple_of(TICK_MS) {
            self.engines
                .values_mut()
                .for_each(|engine| engine.on_timer(now_ms));
            self.start_runs();
        }
        self.apply_outputs();
    }

    fn submit_due(&mut self) {
        let now_ms = self.now_ms;
        for job in self.clients.due(now_ms) {
            self.attempts += 1;
            let (id, attempt_id) = (job.id.clone(), SubmissionAttemptId(self.attempts));
            let answer = self.primary().submit(now_ms, attempt_id, job);
            self.clients.submitted(now_ms, &id, answer);
        }
        self.apply_outputs();
    }

    fn deliver(&mut self, parcel: Parcel) {
        match parcel {
            Parcel::Replication { to, message } => {
                let engine = self.engines.get_mut(&to).expect("a store");
                engine.on_message(self.now_ms, DiskId(PRIMARY), message);
            }
            Parcel::Run(ItemStart { run, .. }) => {
                self.starting -= 1;
                self.running.push_back(Running {
                    run,
                    ends_ms: self.now_ms + RUN_MS,
                });
            }
            Parcel::Results { .. } => {}
        }
    }

    fn end_runs(&mut self) {
        let now_ms = self.now_ms;
        while self
            .running
            .front()
            .is_some_and(|running| running.ends_ms <= now_ms)
        {
            let Some(Running { run, .. }) = self.running.pop_front() else {
                return;
            };
            let text = "t".repeat(TEXT_BYTES);
            self.primary()
                .run_ended(now_ms, run, RunEnd::Completed { text });
        }
    }

    fn start_runs(&mut self) {
        let now_ms = self.now_ms;
        let capacity = MAX_RUNS.saturating_sub(self.running.len() + self.starting);
        let starts = self.primary().take_work(now_ms, ROUTE, capacity);
        self.starting += starts.len();
        starts
            .into_iter()
            .for_each(|start| self.link.push(Parcel::Run(start)));
    }

    /// Applies all outputs until there are none.
    fn apply_outputs(&mut self) {
        loop {
            let outputs = self
                .engines
                .iter_mut()
                .map(|(disk, engine)| (*disk, engine.take_outputs()));
            let outputs: Vec<(u64, Vec<Output>)> =
                outputs.filter(|(_, outputs)| !outputs.is_empty()).collect();
            if outputs.is_empty() {
                return;
            }
            for (from, outputs) in outputs {
                outputs
                    .into_iter()
                    .for_each(|output| self.apply_output(from, output));
            }
        }
    }

    fn apply_output(&mut self, from: u64, output: Output) {
        let now_ms = self.now_ms;
        match output {
            Output::Send { to, message } if from == PRIMARY => {
                self.link.push(Parcel::Replication { to: to.0, message });
            }
            Output::Send { to, message } => {
                let engine = self.engines.get_mut(&to.0).expect("a store");
                engine.on_message(now_ms, DiskId(from), message);
            }
            Output::Write { ticket, .. } => {
                let engine = self.engines.get_mut(&from).expect("a store");
                engine.on_written(now_ms, ticket);
            }
            Output::Resolved {
                token,
                outcome: Outcome::Committed,
            } => self.clients.committed(now_ms, token),
            Output::Resolved {
                outcome: Outcome::Unknown,
                ..
            } => panic!("the primary never changes"),
            Output::Readable(job) => self.read(&job),
            Output::CancelRun(run) => self.running.retain(|running| running.run != run),
        }
    }

    /// Reads the new results of a job for its client.
    fn read(&mut self, id: &JobId) {
        let now_ms = self.now_ms;
        let Some(after) = self.clients.reads_from(id) else {
            return;
        };
        let answer = self.primary().read(now_ms, id, after, PAGE_BYTES);
        let ReadOutcome::Results { next, results, .. } = answer else {
            return;
        };
        let bytes = results.iter().map(|result| result.text.len()).sum();
        self.link.push(Parcel::Results { bytes });
        self.useful_results += u64::from(next - after);
        self.clients.has_read(id, next);
    }
}
