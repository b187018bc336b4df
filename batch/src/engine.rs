//! State machine of a store for batch jobs: submission, results, runs of items and quota, on top of the replication in
//! [`group`](crate::group). It has no I/O and no clock.
//!
//! The driver passes in the time, messages of other stores and the completion of disk writes, and carries out the
//! [`Output`]s of [`Engine::take_outputs`] after each call. All times are milliseconds on the monotonic clock of this
//! process.
//!
//! Invariant: an acceptance, a result or an end is acknowledged to a client only after every member of the epoch has
//! its record on disk.

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
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::sync::Arc;

/// Default for [`Engine::set_status_ms`].
const DEFAULT_STATUS_MS: u64 = 120_000;
/// Interval of the sweep that abandons items and forgets jobs by age.
const SWEEP_MS: u64 = 250;

/// The batch state machine of one store in one group.
#[derive(Debug)]
pub struct Engine {
    node: GroupNode,
    now_ms: u64,
    validated_until_ms: u64,
    status_ms: u64,
    disk_ready: bool,
    config_version: u64,
    routes: BTreeMap<String, RouteTerms>,
    /// Limits by route that replace the limit of the route's terms.
    quota_limits: BTreeMap<String, u64>,
    token_counts: TokenCounts,
    work: WorkQueue,
    /// Routes whose items cannot start, whatever the windows allow.
    stranded_routes: BTreeSet<String>,
    /// Committed state of each job; maintained only by an active primary.
    views: HashMap<JobId, JobView>,
    /// Uncommitted records in order of their index.
    commits: VecDeque<Commit>,
    /// Approximate bytes of uncommitted jobs.
    pending_bytes: usize,
    /// Number of uncommitted results.
    uncommitted_results: usize,
    /// Time of the last commit.
    newest_commit_ms: u64,
    windows: Windows,
    newest_token: u64,
    /// Submission attempts that were rejected as over quota, with the time at which each entry expires.
    rejected_attempts: BTreeMap<SubmissionAttemptId, u64>,
    next_sweep_ms: u64,
    outputs: Vec<Output>,
    items_listed: u64,
}

impl Engine {
    /// Restores a store from its disk: the last snapshot of [`Engine::snapshot`] and the records of each later
    /// [`Output::Write`].
    ///
    /// # Errors
    /// The snapshot or a record cannot be decoded.
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
            stranded_routes: BTreeSet::new(),
            views: HashMap::new(),
            commits: VecDeque::new(),
            pending_bytes: 0,
            uncommitted_results: 0,
            newest_commit_ms: 0,
            windows: Windows::default(),
            newest_token: 0,
            rejected_attempts: BTreeMap::new(),
            next_sweep_ms: 0,
            outputs: Vec::new(),
            items_listed: 0,
        })
    }

    /// Applies the group configuration decided by the core. An epoch below the known one is ignored.
    pub fn set_group(&mut self, now_ms: u64, group: Arc<BatchGroup>) {
        self.now_ms = now_ms;
        let changes = self.node.set_group(group);
        self.apply_changes(changes);
    }

    /// Extends the time until which the core guarantees that this store's epoch is current. The driver computes it
    /// from the time at which it sent the request, not from the arrival of the answer.
    pub fn set_validated_until(&mut self, until_ms: u64) {
        self.validated_until_ms = self.validated_until_ms.max(until_ms);
    }

    /// Applies the batch routes of a configuration. A version below the known one is ignored.
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

    /// Sets this group's limit of queued tokens on a route, which replaces the limit of the route's terms; that one
    /// applies to all groups together. `None` restores the limit of the terms, for a group that does not share it.
    pub fn set_quota_limit(&mut self, route: &str, limit: Option<u64>) {
        match limit {
            Some(limit) => self.quota_limits.insert(route.to_owned(), limit),
            None => self.quota_limits.remove(route),
        };
    }

    /// Sets the routes whose items cannot start now, because their services have no backend. Their items do not count as
    /// waiting for a congestion window.
    pub fn set_stranded_routes(&mut self, routes: &BTreeSet<String>) {
        if self.stranded_routes != *routes {
            self.stranded_routes.clone_from(routes);
        }
    }

    /// Sets how long a job remains readable after it was first sent.
    pub fn set_status_ms(&mut self, status_ms: u64) {
        self.status_ms = status_ms;
    }

    /// Sets whether the disk accepts new jobs, that is, is neither full nor stalled. Results and ends are written in
    /// any case.
    pub fn set_disk_ready(&mut self, ready: bool) {
        self.disk_ready = ready;
    }

    /// Handles a message of another store.
    pub fn on_message(&mut self, now_ms: u64, from: DiskId, message: Message) {
        self.now_ms = now_ms;
        let changes = self.node.on_message(now_ms, from, message);
        self.apply_changes(changes);
    }

    /// Handles the completion of all writes up to and including `ticket`.
    pub fn on_written(&mut self, now_ms: u64, ticket: WriteTicket) {
        self.now_ms = now_ms;
        let changes = self.node.on_written(ticket);
        self.apply_changes(changes);
    }

    /// Handles the passage of time; to be called no later than [`Engine::next_timer_ms`].
    pub fn on_timer(&mut self, now_ms: u64) {
        self.now_ms = now_ms;
        self.work.wake(now_ms);
        self.adapt_windows();
        self.rejected_attempts
            .retain(|_, until_ms| *until_ms > now_ms);
        if now_ms >= self.next_sweep_ms {
            self.next_sweep_ms = now_ms + SWEEP_MS;
            self.sweep();
        }
    }

    /// Time at which [`Engine::on_timer`] is next needed if no other input arrives before.
    pub fn next_timer_ms(&self) -> Option<u64> {
        let sweep = (!self.views.is_empty() || !self.rejected_attempts.is_empty())
            .then_some(self.next_sweep_ms);
        [self.node.next_retry_ms(), self.work.next_wake_ms(), sweep]
            .into_iter()
            .flatten()
            .min()
    }

    /// Takes the outputs of all calls so far, which the driver must carry out in order.
    pub fn take_outputs(&mut self) -> Vec<Output> {
        let mut outputs = self.node.take_outputs(self.now_ms);
        outputs.append(&mut self.outputs);
        outputs
    }

    /// Status of the group to report to the core.
    pub fn status(&self, now_ms: u64) -> GroupStatus {
        self.node.status(now_ms)
    }

    /// Queued tokens of a route.
    pub fn waiting_tokens(&self, route: &str) -> u64 {
        self.token_counts.waiting(route)
    }

    /// Whether `tokens` more are within the limit of a route. `false` for an unknown route.
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

    /// Session of this store as the primary; `None` if it is not the primary. It increases with each start within an
    /// epoch, and is on disk before a job is accepted in it.
    pub fn session(&self) -> Option<SessionId> {
        self.node
            .is_leader()
            .then(|| self.node.state().progress.session)
    }

    /// Limit of queued tokens in a route's terms; 0 means unlimited. `None` for an unknown route.
    pub fn token_limit(&self, route: &str) -> Option<u64> {
        self.routes.get(route).map(|terms| terms.max_queued_tokens)
    }

    /// Event counts since this process started.
    pub fn counts(&self) -> EngineCounts {
        EngineCounts {
            items_listed: self.items_listed,
            replication: self.node.counts(),
        }
    }

    /// Number of items that wait for a run or are postponed, and of items that are running.
    pub fn load(&self) -> (usize, usize) {
        self.work.load()
    }

    /// Number of items of a route that wait for a run.
    pub fn waiting_items(&self, route: &str) -> usize {
        self.work.waiting_items(route)
    }

    /// Number of stored jobs.
    pub fn jobs(&self) -> usize {
        self.node.state().jobs.len()
    }

    /// Snapshot of the whole state, for compaction of the journal. It includes the records of every [`Output::Write`],
    /// also of those that [`Engine::take_outputs`] has not returned yet. Such records may be appended after the
    /// snapshot, because applying a record again changes nothing.
    pub fn snapshot(&self, now_ms: u64) -> Vec<u8> {
        self.node.state().snapshot(now_ms)
    }

    /// Whether this store is the active primary and its epoch is validated at this time. The driver also checks this
    /// immediately before it sends the first byte of a run.
    pub fn is_validated_primary(&self, now_ms: u64) -> bool {
        self.node.is_active() && now_ms < self.validated_until_ms
    }

    /// Handles a change of leadership or activity, and then newly committed records.
    fn apply_changes(&mut self, changes: Changes) {
        if changes.left_leadership {
            self.on_leadership_lost();
        }
        if changes.became_active {
            self.on_epoch_active();
        }
        self.process_commits();
    }

    /// Allocates an unused token.
    fn new_token(&mut self) -> Token {
        self.newest_token += 1;
        Token(self.newest_token)
    }
}
