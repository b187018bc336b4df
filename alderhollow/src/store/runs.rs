//! Runs of items in a store: started with the room there is, and ended at once when they are not wanted any more.

use super::node::StoreNode;
use crate::executor::Executor;
use alderhollow_batch::api::{ItemStart, RunId};
use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use tokio::task::AbortHandle;

/// The runs under way.
pub struct Runs {
    executor: Executor,
    running: RefCell<HashMap<RunId, AbortHandle>>,
}

impl Runs {
    /// None yet.
    pub fn new(executor: Executor) -> Runs {
        Runs { executor, running: RefCell::default() }
    }

    /// How many items may start now.
    pub fn room(&self) -> usize {
        self.executor.room(self.running.borrow().len())
    }

    /// Starts items.
    pub fn start(&self, node: &Rc<StoreNode>, starts: Vec<ItemStart>) {
        self.executor.started(starts.len());
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
        }
    }

    fn ended(&self, run: RunId) -> bool {
        self.running.borrow_mut().remove(&run).is_some()
    }
}

async fn run_one(node: Rc<StoreNode>, executor: Executor, item: ItemStart) {
    let end = executor.run(&item).await;
    if node.runs.ended(item.run) {
        node.with_engine(|engine, now_ms| engine.run_ended(now_ms, item.run, end));
        node.wake();
    }
}
