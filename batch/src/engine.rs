//! The operations of a store on batch jobs. The driver passes in time, messages and the ends of writes, and carries
//! out the [`Output`]s after each call.

use crate::api::*;
use crate::job::{JobId, NewJob};
use crate::message::Message;
use crate::records::DecodeError;
use alderhollow_model::identity::DiskId;
use alderhollow_model::snapshot::BatchGroup;
use std::collections::BTreeMap;
use std::sync::Arc;

/// A store's part in keeping and running batch jobs.
#[derive(Debug)]
pub struct Engine {}

impl Engine {
    /// A store with what its disk held. `snapshot` and `records` are as [`Engine::snapshot`] and [`Output::Write`] gave
    /// them.
    pub fn restore(
        _disk: DiskId,
        _now_ms: u64,
        _snapshot: Option<&[u8]>,
        _records: &[Vec<u8>],
    ) -> Result<Engine, DecodeError> {
        todo!()
    }

    /// The core's word on the group. Lower epochs than known are ignored.
    pub fn set_group(&mut self, _now_ms: u64, _group: Arc<BatchGroup>) {}

    /// The core vouches for this store's epoch until this moment, counted from before it was asked.
    pub fn set_vouched_until(&mut self, _until_ms: u64) {}

    /// The batch routes of a configuration. A lower version than known is ignored.
    pub fn set_routes(&mut self, _now_ms: u64, _config_version: u64, _routes: BTreeMap<String, RouteTerms>) {}

    /// Jobs are kept so long after they were sent.
    pub fn set_status_ms(&mut self, _status_ms: u64) {}

    /// Whether the disk can take new jobs (it isn't full nor stalled). Results and ends are taken in any case.
    pub fn set_disk_ready(&mut self, _ready: bool) {}

    /// A message of another store.
    pub fn receive(&mut self, _now_ms: u64, _from: DiskId, _message: Message) {}

    /// All writes up to this one are on disk.
    pub fn written(&mut self, _now_ms: u64, _ticket: WriteTicket) {}

    /// Time has passed: call at least every 100 ms.
    pub fn tick(&mut self, _now_ms: u64) {}

    /// What is to be done after the calls so far.
    pub fn take_outputs(&mut self) -> Vec<Output> {
        Vec::new()
    }

    /// A client hands in a job.
    pub fn submit(&mut self, _now_ms: u64, _job: NewJob) -> Submitted {
        Submitted::NotPrimary
    }

    /// A client reads results from a position on; at most `max_bytes` of JSON, or one result.
    pub fn read(&self, _now_ms: u64, _job: &JobId, _after: u32, _max_bytes: usize) -> ReadAnswer<'_> {
        ReadAnswer::NotPrimary
    }

    /// A client asks for the body of an item.
    pub fn body(&self, _now_ms: u64, _job: &JobId, _item_id: &str) -> BodyAnswer<'_> {
        BodyAnswer::NotPrimary
    }

    /// A client ends a job.
    pub fn end(&mut self, _now_ms: u64, _job: &JobId) -> EndAnswer {
        EndAnswer::NotPrimary
    }

    /// Items to start now, at most `max`, those due first in front. They count as running from now on.
    pub fn take_work(&mut self, _now_ms: u64, _max: usize) -> Vec<ItemStart> {
        Vec::new()
    }

    /// Whether this store may start items at this moment: asked right before a run's first byte is sent.
    pub fn may_start(&self, _now_ms: u64) -> bool {
        false
    }

    /// A run has ended. Runs that were cancelled are ignored.
    pub fn run_ended(&mut self, _now_ms: u64, _run: RunId, _end: RunEnd) {}

    /// What to report to the core.
    pub fn status(&self, _now_ms: u64) -> GroupStatus {
        GroupStatus::default()
    }

    /// Tokens that wait on a route.
    pub fn waiting_tokens(&self, _route: &str) -> u64 {
        0
    }

    /// Items that wait for a run, and that are running.
    pub fn load(&self) -> (usize, usize) {
        (0, 0)
    }

    /// All that is kept, for the compaction of the journal.
    pub fn snapshot(&self, _now_ms: u64) -> Vec<u8> {
        Vec::new()
    }
}
