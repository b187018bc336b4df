//! Test cluster: stores connected without delay or loss, whose disk writes and links a test can block.

use alderhollow_batch::api::{
    ItemStart, Output, RouteTerms, RunId, SubmissionAttemptId, SubmitOutcome, Token, WriteTicket,
};
use alderhollow_batch::api::{Outcome, ReadOutcome, RunEnd};
use alderhollow_batch::engine::Engine;
use alderhollow_batch::job::{Item, ItemRequest, JobId, NewJob, ResultState};
use alderhollow_batch::message::Message;
use alderhollow_model::identity::{Address, DiskId, Incarnation, NodeInfo, Role};
use alderhollow_model::snapshot::{BatchGroup, GroupMember};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;

/// The route of all jobs.
pub(crate) const ROUTE: &str = "route";

/// A store of the test cluster.
pub(crate) struct Store {
    pub engine: Engine,
    /// Records on disk.
    pub records: Vec<Vec<u8>>,
    /// Writes that are blocked before the disk.
    held_back: Vec<(WriteTicket, Vec<Vec<u8>>)>,
    pub holds_writes: bool,
}

/// A test cluster.
pub(crate) struct Cluster {
    pub now_ms: u64,
    pub stores: BTreeMap<u64, Store>,
    /// Stores that are partitioned from all others.
    pub partitioned: BTreeSet<u64>,
    pub resolved: Vec<(Token, Outcome)>,
    pub cancelled: Vec<RunId>,
    /// Every sent message, with its sender and receiver.
    pub sent: Vec<(u64, u64, Message)>,
    attempts: u64,
}

impl Cluster {
    /// Starts stores 1 to `count`, which know the route but no group.
    pub(crate) fn new(count: u64) -> Cluster {
        let mut cluster = Cluster {
            now_ms: 1_000,
            stores: BTreeMap::new(),
            partitioned: BTreeSet::new(),
            resolved: Vec::new(),
            cancelled: Vec::new(),
            sent: Vec::new(),
            attempts: 0,
        };
        (1..=count).for_each(|store| cluster.start(store, Vec::new()));
        cluster
    }

    /// Starts stores 1 to `count` as members of epoch 1 with store 1 as validated primary.
    pub(crate) fn active(count: u64) -> Cluster {
        let mut cluster = Cluster::new(count);
        let members: Vec<u64> = (1..=count).collect();
        cluster.set_group(1, 1, &members, &[]);
        cluster.validate(1);
        let now_ms = cluster.now_ms;
        assert!(cluster.engine(1).status(now_ms).active);
        cluster
    }

    /// Starts a store with the records on its disk.
    pub(crate) fn start(&mut self, store: u64, records: Vec<Vec<u8>>) {
        let mut engine = Engine::restore(DiskId(store), self.now_ms, None, &records)
            .expect("a disk that can be read");
        engine.set_routes(self.now_ms, 1, routes(terms()));
        self.stores.insert(
            store,
            Store {
                engine,
                records,
                held_back: Vec::new(),
                holds_writes: false,
            },
        );
    }

    /// Restarts a store's process; writes that are blocked before the disk are lost.
    pub(crate) fn restart(&mut self, store: u64) {
        let records = self.stores.remove(&store).expect("a store").records;
        self.start(store, records);
    }

    pub(crate) fn engine(&mut self, store: u64) -> &mut Engine {
        &mut self.stores.get_mut(&store).expect("a store").engine
    }

    /// Applies a group configuration at every store that is not partitioned.
    pub(crate) fn set_group(
        &mut self,
        epoch: u64,
        primary: u64,
        members: &[u64],
        learners: &[u64],
    ) {
        let group = Arc::new(group(epoch, primary, members, learners));
        let now_ms = self.now_ms;
        let reached: Vec<u64> = self
            .stores
            .keys()
            .copied()
            .filter(|store| !self.partitioned.contains(store))
            .collect();
        reached
            .into_iter()
            .for_each(|store| self.engine(store).set_group(now_ms, group.clone()));
        self.run_until_idle();
    }

    /// Validates a store's epoch for the next second.
    pub(crate) fn validate(&mut self, store: u64) {
        let until_ms = self.now_ms + 1_000;
        self.engine(store).set_validated_until(until_ms);
    }

    /// Advances the time in steps and keeps a store validated.
    pub(crate) fn pass(&mut self, span_ms: u64, validated: u64) {
        let end_ms = self.now_ms + span_ms;
        while self.now_ms < end_ms {
            self.now_ms = end_ms.min(self.now_ms + 100);
            self.validate(validated);
            let now_ms = self.now_ms;
            self.stores
                .values_mut()
                .for_each(|store| store.engine.on_timer(now_ms));
            self.run_until_idle();
        }
    }

    /// Applies all outputs until there are none.
    pub(crate) fn run_until_idle(&mut self) {
        loop {
            let mut outputs = Vec::new();
            for (id, store) in &mut self.stores {
                outputs.extend(
                    store
                        .engine
                        .take_outputs()
                        .into_iter()
                        .map(|output| (*id, output)),
                );
            }
            if outputs.is_empty() {
                return;
            }
            outputs
                .into_iter()
                .for_each(|(store, output)| self.carry_out(store, output));
        }
    }

    fn carry_out(&mut self, from: u64, output: Output) {
        match output {
            Output::Send { to, message } => {
                self.sent.push((from, to.0, message.clone()));
                if !self.partitioned.contains(&from) && !self.partitioned.contains(&to.0) {
                    self.deliver(from, to.0, message);
                }
            }
            Output::Write { ticket, records } => {
                let store = self.stores.get_mut(&from).expect("a store");
                store.held_back.push((ticket, records));
                if !store.holds_writes {
                    self.release_writes(from);
                }
            }
            Output::Resolved { token, outcome } => self.resolved.push((token, outcome)),
            Output::Readable(_) => {}
            Output::CancelRun(run) => self.cancelled.push(run),
        }
    }

    /// Delivers a message to a store.
    pub(crate) fn deliver(&mut self, from: u64, to: u64, message: Message) {
        let now_ms = self.now_ms;
        if let Some(store) = self.stores.get_mut(&to) {
            store.engine.on_message(now_ms, DiskId(from), message);
        }
    }

    /// Completes the blocked writes of a store.
    pub(crate) fn release_writes(&mut self, store: u64) {
        let now_ms = self.now_ms;
        let store = self.stores.get_mut(&store).expect("a store");
        store.holds_writes = false;
        for (ticket, records) in store.held_back.drain(..) {
            store.records.extend(records);
            store.engine.on_written(now_ms, ticket);
        }
    }

    /// Submits a job at a store and applies all outputs.
    pub(crate) fn submit(&mut self, store: u64, job: NewJob) -> SubmitOutcome {
        let now_ms = self.now_ms;
        self.attempts += 1;
        let attempt_id = SubmissionAttemptId(1_000_000 + self.attempts);
        let submitted = self.engine(store).submit(now_ms, attempt_id, job);
        self.run_until_idle();
        submitted
    }

    /// Submits a job at a store and asserts that it is accepted.
    pub(crate) fn accept(&mut self, store: u64, job: NewJob) {
        let SubmitOutcome::Pending(token) = self.submit(store, job) else {
            panic!("not taken")
        };
        assert!(self.resolved.contains(&(token, Outcome::Committed)));
    }

    /// Takes items to run.
    pub(crate) fn work(&mut self, store: u64, max: usize) -> Vec<ItemStart> {
        let now_ms = self.now_ms;
        self.engine(store).take_work(now_ms, ROUTE, max)
    }

    /// Ends a run and applies all outputs.
    pub(crate) fn end_run(&mut self, store: u64, run: RunId, end: RunEnd) {
        let now_ms = self.now_ms;
        self.engine(store).run_ended(now_ms, run, end);
        self.run_until_idle();
    }

    /// The readable results of a job at a store: item id, state, text.
    pub(crate) fn results(&mut self, store: u64, job: &str) -> Vec<(String, ResultState, String)> {
        let now_ms = self.now_ms;
        match self
            .engine(store)
            .read(now_ms, &JobId::from(job), 0, 1 << 20)
        {
            ReadOutcome::Results { results, .. } => {
                let owned = results
                    .into_iter()
                    .map(|result| (result.id.to_owned(), result.state, result.text.to_owned()));
                owned.collect()
            }
            other => panic!("no results but {other:?}"),
        }
    }
}

/// Configuration of the route.
pub(crate) fn terms() -> RouteTerms {
    RouteTerms {
        run_target_ms: 2_000,
        retention_ms: 10_000,
        max_attempts: 2,
        max_queued_tokens: 1_000,
    }
}

/// The only route, with these terms.
pub(crate) fn routes(terms: RouteTerms) -> BTreeMap<String, RouteTerms> {
    BTreeMap::from([(ROUTE.to_owned(), terms)])
}

/// A job of items `ID-0`, `ID-1` and so on.
pub(crate) fn job(id: &str, items: usize, tokens: u64) -> NewJob {
    let new_item = |index| Item {
        id: format!("{id}-{index}"),
        tokens,
        request: Some(ItemRequest {
            path: "/path/x".to_owned(),
            headers: Vec::new(),
            body: b"body".to_vec(),
        }),
    };
    NewJob {
        id: JobId::from(id),
        route: ROUTE.to_owned(),
        host: "host.example".to_owned(),
        config_version: 0,
        age_ms: 0,
        items: (0..items).map(new_item).collect(),
    }
}

/// A group of stores.
pub(crate) fn group(epoch: u64, primary: u64, members: &[u64], learners: &[u64]) -> BatchGroup {
    let all = |disks: &[u64]| disks.iter().map(|disk| member(*disk)).collect();
    BatchGroup {
        epoch,
        primary: DiskId(primary),
        members: all(members),
        learners: all(learners),
    }
}

fn member(disk: u64) -> GroupMember {
    let node = NodeInfo {
        node: format!("store-{disk}"),
        role: Role::Store,
        zone: "zone".to_owned(),
        incarnation: Incarnation(disk),
        disk: Some(DiskId(disk)),
        internal: Address(SocketAddr::from(([127, 0, 0, 1], 1))),
        control: None,
    };
    GroupMember {
        disk: DiskId(disk),
        node,
    }
}
