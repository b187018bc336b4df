//! Runs of items in a store: started with the room there is, and ended at once when they are not wanted any more.

use super::node::StoreNode;
use crate::executor::Executor;
use crate::metrics;
use crate::metrics::store::RunEndKind;
use alderhollow_batch::api::{ItemStart, RunEnd, RunId};
use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use tokio::task::AbortHandle;

/// The runs under way.
pub struct Runs {
    executor: Executor,
    running: RefCell<HashMap<RunId, AbortHandle>>,
    /// Ends that the engine was not told yet. Told together, they make one write and one message to each member.
    ended: RefCell<Vec<(RunId, RunEnd)>>,
}

impl Runs {
    /// None yet.
    pub fn new(executor: Executor) -> Runs {
        Runs { executor, running: RefCell::default(), ended: RefCell::default() }
    }

    /// How many items may start now, with so many waiting.
    pub fn room(&self, waiting: usize) -> usize {
        self.executor.room(waiting, self.running.borrow().len())
    }

    /// Starts items.
    pub fn start(&self, node: &Rc<StoreNode>, starts: Vec<ItemStart>) {
        self.executor.started(starts.len());
        metrics::get().store.runs_started(starts.len());
        for item in starts {
            let run = item.run;
            let task = tokio::task::spawn_local(run_one(node.clone(), self.executor.clone(), item));
            self.running.borrow_mut().insert(run, task.abort_handle());
        }
    }

    /// Ends a run; its connection closes.
    pub fn cancel(&self, run: RunId) {
        if let Some(task) = self.running.borrow_mut().remove(&run) {
            task.abort();
            metrics::get().store.run_ended(RunEndKind::Cancelled);
        }
    }

    /// The ends since the last call.
    pub fn take_ended(&self) -> Vec<(RunId, RunEnd)> {
        self.ended.take()
    }

    fn note_end(&self, run: RunId, end: RunEnd) {
        if self.running.borrow_mut().remove(&run).is_some() {
            metrics::get().store.run_ended(RunEndKind::from(&end));
            self.ended.borrow_mut().push((run, end));
        }
    }
}

async fn run_one(node: Rc<StoreNode>, executor: Executor, item: ItemStart) {
    let end = executor.run(&item).await;
    node.runs.note_end(item.run, end);
    node.wake();
}
