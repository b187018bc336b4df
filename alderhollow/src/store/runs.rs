//! Item runs of a store: started within the executor's capacity, and aborted when the engine cancels them.

use super::item_starts::GroupItemStart;
use super::node::StoreNode;
use crate::executor::pacing::LedShare;
use crate::executor::Executor;
use crate::metrics;
use crate::metrics::store::RunEndKind;
use alderhollow_batch::api::{RunEnd, RunId};
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

    /// Returns how many items may start now, given the share of the groups that the store leads and the waiting items.
    pub fn startable_items(&self, share: LedShare, waiting_items: usize) -> usize {
        self.executor
            .startable_items(share, waiting_items, self.running.borrow().len())
    }

    /// Starts items.
    pub fn start(&self, node: &Rc<StoreNode>, starts: Vec<GroupItemStart>) {
        self.executor.record_starts(starts.len());
        metrics::get().store.runs_started(starts.len());
        for start in starts {
            let key = RunKey {
                group: start.group.id,
                run: start.item.run,
            };
            let task =
                tokio::task::spawn_local(run_item(node.clone(), self.executor.clone(), start));
            self.running.borrow_mut().insert(key, task.abort_handle());
        }
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

async fn run_item(node: Rc<StoreNode>, executor: Executor, start: GroupItemStart) {
    let GroupItemStart { group, item } = start;
    let end = executor
        .run_permitted(&item, &|| node.may_start(&group))
        .await;
    node.runs.record_end(
        RunKey {
            group: group.id,
            run: item.run,
        },
        end,
    );
    node.wake();
}
