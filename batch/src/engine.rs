//! The operations of a store on batch jobs. The driver passes in time, messages and the ends of writes, and carries
//! out the [`Output`]s after each call.

mod calls;
mod commits;
mod overload;
mod runs;

use crate::api::{GroupStatus, Output, RouteTerms, SubmissionAttemptId, Token, WriteTicket};
use crate::codec::DecodeError;
use crate::counts::EngineCounts;
use crate::group::{Changes, GroupNode};
use crate::job::JobId;
use crate::message::Message;
use crate::records::SessionId;
use crate::state::State;
use crate::token_counts::TokenCounts;
use crate::work::WorkQueue;
use alderhollow_model::identity::DiskId;
use alderhollow_model::snapshot::BatchGroup;
use commits::{Commit, JobView};
use overload::Windows;
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::sync::Arc;

/// Jobs are kept so long after they were sent, unless the driver says otherwise.
const DEFAULT_STATUS_MS: u64 = 120_000;
/// How often ages are looked at.
const SWEEP_MS: u64 = 250;

/// A store's part in keeping and running batch jobs.
#[derive(Debug)]
pub struct Engine {
    node: GroupNode,
    now_ms: u64,
    validated_until_ms: u64,
    status_ms: u64,
    disk_ready: bool,
    config_version: u64,
    routes: BTreeMap<String, RouteTerms>,
    /// Limits that stand in for those of the routes' terms, by route.
    quota_limits: BTreeMap<String, u64>,
    token_counts: TokenCounts,
    work: WorkQueue,
    /// What is committed of each job; kept only by an active primary.
    views: HashMap<JobId, JobView>,
    /// Records that are not committed, by index.
    commits: VecDeque<Commit>,
    /// Bytes of jobs that are not committed, roughly.
    pending_bytes: usize,
    /// Results that are not committed.
    uncommitted_results: usize,
    /// When a record was last committed.
    newest_commit_ms: u64,
    windows: Windows,
    newest_token: u64,
    /// Tries that were refused as over quota, and until when that is remembered.
    refused: BTreeMap<SubmissionAttemptId, u64>,
    next_sweep_ms: u64,
    outputs: Vec<Output>,
    items_listed: u64,
}

impl Engine {
    /// A store with what its disk held. `snapshot` and `records` are as [`Engine::snapshot`] and [`Output::Write`] gave
    /// them.
    ///
    /// # Errors
    /// The snapshot or a record cannot be read.
    pub fn restore(
        disk: DiskId,
        now_ms: u64,
        snapshot: Option<&[u8]>,
        records: &[Vec<u8>],
    ) -> Result<Engine, DecodeError> {
        let state = State::restore(now_ms, snapshot, records)?;
        Ok(Engine {
            node: GroupNode::new(disk, state),
            now_ms,
            validated_until_ms: 0,
            status_ms: DEFAULT_STATUS_MS,
            disk_ready: true,
            config_version: 0,
            routes: BTreeMap::new(),
            quota_limits: BTreeMap::new(),
            token_counts: TokenCounts::default(),
            work: WorkQueue::default(),
            views: HashMap::new(),
            commits: VecDeque::new(),
            pending_bytes: 0,
            uncommitted_results: 0,
            newest_commit_ms: 0,
            windows: Windows::default(),
            newest_token: 0,
            refused: BTreeMap::new(),
            next_sweep_ms: 0,
            outputs: Vec::new(),
            items_listed: 0,
        })
    }

    /// The core's word on the group. Lower epochs than known are ignored.
    pub fn set_group(&mut self, now_ms: u64, group: Arc<BatchGroup>) {
        self.now_ms = now_ms;
        let changes = self.node.set_group(group);
        self.apply_changes(changes);
    }

    /// The core validates this store's epoch until this moment, counted from before it was asked.
    pub fn set_validated_until(&mut self, until_ms: u64) {
        self.validated_until_ms = self.validated_until_ms.max(until_ms);
    }

    /// The batch routes of a configuration. A lower version than known is ignored.
    pub fn set_routes(
        &mut self,
        now_ms: u64,
        config_version: u64,
        routes: BTreeMap<String, RouteTerms>,
    ) {
        if config_version < self.config_version {
            return;
        }
        self.now_ms = now_ms;
        self.config_version = config_version;
        self.routes = routes;
        self.next_sweep_ms = now_ms;
    }

    /// Tokens that may wait on a route here, in place of its terms' limit, which holds for all groups together. `None`:
    /// the terms' own limit again, as for a group that shares it with no other.
    pub fn set_quota_limit(&mut self, route: &str, limit: Option<u64>) {
        match limit {
            Some(limit) => self.quota_limits.insert(route.to_owned(), limit),
            None => self.quota_limits.remove(route),
        };
    }

    /// Jobs are kept so long after they were sent.
    pub fn set_status_ms(&mut self, status_ms: u64) {
        self.status_ms = status_ms;
    }

    /// Whether the disk can take new jobs (it isn't full nor stalled). Results and ends are taken in any case.
    pub fn set_disk_ready(&mut self, ready: bool) {
        self.disk_ready = ready;
    }

    /// A message of another store.
    pub fn on_message(&mut self, now_ms: u64, from: DiskId, message: Message) {
        self.now_ms = now_ms;
        let changes = self.node.on_message(now_ms, from, message);
        self.apply_changes(changes);
    }

    /// All writes up to this one are on disk.
    pub fn on_written(&mut self, now_ms: u64, ticket: WriteTicket) {
        self.now_ms = now_ms;
        let changes = self.node.on_written(ticket);
        self.apply_changes(changes);
    }

    /// Time has passed: call by [`Engine::next_timer_ms`].
    pub fn on_timer(&mut self, now_ms: u64) {
        self.now_ms = now_ms;
        self.work.wake(now_ms);
        self.adapt_windows();
        self.refused.retain(|_, until_ms| *until_ms > now_ms);
        if now_ms >= self.next_sweep_ms {
            self.next_sweep_ms = now_ms + SWEEP_MS;
            self.sweep();
        }
    }

    /// When [`Engine::on_timer`] has something to do next, if nothing else happens before.
    pub fn next_timer_ms(&self) -> Option<u64> {
        let sweep =
            (!self.views.is_empty() || !self.refused.is_empty()).then_some(self.next_sweep_ms);
        [self.node.next_retry_ms(), self.work.next_wake_ms(), sweep]
            .into_iter()
            .flatten()
            .min()
    }

    /// What is to be done after the calls so far.
    pub fn take_outputs(&mut self) -> Vec<Output> {
        let mut outputs = self.node.take_outputs(self.now_ms);
        outputs.append(&mut self.outputs);
        outputs
    }

    /// What to report to the core.
    pub fn status(&self, now_ms: u64) -> GroupStatus {
        self.node.status(now_ms)
    }

    /// Tokens that wait on a route.
    pub fn waiting_tokens(&self, route: &str) -> u64 {
        self.token_counts.waiting(route)
    }

    /// Whether so many more tokens would be taken on a route as far as its limit goes. `false` for an unknown route.
    pub fn would_fit(&self, route: &str, tokens: u64) -> bool {
        let Some(terms) = self.routes.get(route) else {
            return false;
        };
        match self.quota_limits.get(route) {
            Some(limit) => self.token_counts.waiting(route).saturating_add(tokens) <= *limit,
            None => self
                .token_counts
                .fits(route, tokens, terms.max_queued_tokens),
        }
    }

    /// The session of this store as the primary, which is on disk before anything is accepted in it: it rises with each
    /// start within an epoch. `None`: not the primary.
    pub fn session(&self) -> Option<SessionId> {
        self.node
            .is_leader()
            .then(|| self.node.state().progress.session)
    }

    /// Tokens that may wait on a route; 0: no limit. `None` for a route that is not known.
    pub fn token_limit(&self, route: &str) -> Option<u64> {
        self.routes.get(route).map(|terms| terms.max_queued_tokens)
    }

    /// What this engine did in its life.
    pub fn counts(&self) -> EngineCounts {
        EngineCounts {
            items_listed: self.items_listed,
            replication: self.node.counts(),
        }
    }

    /// Items that wait for a run, and that are running.
    pub fn load(&self) -> (usize, usize) {
        self.work.load()
    }

    /// Jobs that are kept.
    pub fn jobs(&self) -> usize {
        self.node.state().jobs.len()
    }

    /// All that is kept, for the compaction of the journal. It contains every [`Output::Write`] so far, also those that
    /// [`Engine::take_outputs`] has yet to give; these may follow the snapshot in the journal all the same.
    pub fn snapshot(&self, now_ms: u64) -> Vec<u8> {
        self.node.state().snapshot(now_ms)
    }

    /// Whether this store is surely the primary at this moment: asked also right before a run's first byte is sent.
    pub fn is_sure(&self, now_ms: u64) -> bool {
        self.node.is_active() && now_ms < self.validated_until_ms
    }

    /// What the replication changed.
    fn apply_changes(&mut self, changes: Changes) {
        if changes.left_leadership {
            self.on_leadership_lost();
        }
        if changes.became_active {
            self.on_epoch_active();
        }
        self.process_commits();
    }

    /// A token that was not given before.
    fn new_token(&mut self) -> Token {
        self.newest_token += 1;
        Token(self.newest_token)
    }
}
