//! Item runs of a store: started within the executor's capacity, and aborted when the engine cancels them.

use super::item_starts::GroupItemStart;
use super::node::StoreNode;
use crate::executor::pacing::LedShare;
use crate::executor::start_scheduler::{Admission, RunPermit};
use crate::executor::{Executor, Postponement};
use crate::metrics;
use crate::metrics::store::RunEndKind;
use alderhollow_batch::api::{ItemStart, RunEnd, RunId};
use alderhollow_model::snapshot::GroupId;
use std::cell::RefCell;
use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;
use tokio::task::AbortHandle;

/// Identifies a run across all groups.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct RunKey {
    /// The item's group.
    pub group: GroupId,
    /// The run's id within the group.
    pub run: RunId,
}

/// A run that ended without being cancelled.
#[derive(Debug)]
pub struct EndedRun {
    /// The run.
    pub run: RunId,
    /// How it ended.
    pub end: RunEnd,
}

/// The active runs of a store.
pub struct Runs {
    executor: Executor,
    running: RefCell<HashMap<RunKey, AbortHandle>>,
    /// Ended runs that were not passed to the engines yet. Passed together, those of a group need one write and one message
    /// to each member.
    ended: RefCell<BTreeMap<GroupId, Vec<EndedRun>>>,
}

impl Runs {
    /// Creates an empty set of runs.
    pub fn new(executor: Executor) -> Runs {
        Runs {
            executor,
            running: RefCell::default(),
            ended: RefCell::default(),
        }
    }

    /// Begins a round of starts, given the share of the groups that the store leads and the waiting items of each route
    /// with ready items.
    pub fn begin_round(&self, share: LedShare, waiting: &BTreeMap<String, usize>) {
        let without_backend = self.executor.begin_round(share, waiting);
        metrics::get().store.items_without_backend(without_backend);
    }

    /// Admits the route's next item if it may start in this round.
    pub fn admit(&self, route: &str) -> Option<Admission> {
        self.executor.admit(route)
    }

    /// Whether any of the route's services had a backend at the beginning of the round.
    pub fn has_backend(&self, route: &str) -> bool {
        self.executor.has_backend(route)
    }

    /// Why an admitted item cannot run now. Its admission is then given up.
    pub fn postponement(&self, admission: &Admission, item: &ItemStart) -> Option<Postponement> {
        let postponement = self.executor.postponement(item, &admission.service)?;
        self.executor.forgo(admission);
        Some(postponement)
    }

    /// Starts an admitted item.
    pub fn start(&self, node: &Rc<StoreNode>, admission: Admission, start: GroupItemStart) {
        let key = RunKey {
            group: start.group.id,
            run: start.item.run,
        };
        let permit = self.executor.start(admission);
        metrics::get().store.runs_started(1);
        let run = run_item(node.clone(), self.executor.clone(), start, permit);
        let task = tokio::task::spawn_local(run);
        self.running.borrow_mut().insert(key, task.abort_handle());
    }

    /// Aborts a run, which closes its connection.
    pub fn cancel(&self, key: RunKey) {
        if let Some(task) = self.running.borrow_mut().remove(&key) {
            task.abort();
            metrics::get().store.run_ended(RunEndKind::Cancelled);
        }
    }

    /// Returns the runs that have ended since the last call, by group.
    pub fn take_ended(&self) -> BTreeMap<GroupId, Vec<EndedRun>> {
        self.ended.take()
    }

    fn record_end(&self, key: RunKey, end: RunEnd) {
        if self.running.borrow_mut().remove(&key).is_some() {
            metrics::get().store.run_ended(RunEndKind::from(&end));
            let ended = EndedRun { run: key.run, end };
            self.ended
                .borrow_mut()
                .entry(key.group)
                .or_default()
                .push(ended);
        }
    }
}

async fn run_item(
    node: Rc<StoreNode>,
    executor: Executor,
    start: GroupItemStart,
    permit: RunPermit,
) {
    let GroupItemStart { group, item } = start;
    let end = executor
        .run_at_service(&item, permit.service(), &|| node.may_start(&group))
        .await;
    drop(permit);
    node.runs.record_end(
        RunKey {
            group: group.id,
            run: item.run,
        },
        end,
    );
    node.wake();
}
