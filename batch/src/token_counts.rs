//! Queued tokens per route: the sums that the quota check compares with a route's limit.
//!
//! Owned by the [`Engine`](crate::engine::Engine) of the primary, and cleared when it loses leadership.
//!
//! Invariant: at each 202 the count is at least the tokens of all accepted items that no backend has finished. A job's
//! items are counted when the primary appends the job, before it is committed. Each item is subtracted exactly once:
//! when it is completed or abandoned, or when its job is ended or forgotten.

use crate::job::{Job, JobId};
use std::collections::{BTreeMap, HashMap};

/// The tokens that one job contributes to its route's count.
#[derive(Debug)]
struct JobCount {
    route: String,
    /// Tokens of each item by index; `None` once the item was subtracted.
    waiting: Vec<Option<u64>>,
}

/// Queued tokens of all routes, and which job contributes how many.
#[derive(Debug, Default)]
pub struct TokenCounts {
    routes: BTreeMap<String, u64>,
    jobs: HashMap<JobId, JobCount>,
}

impl TokenCounts {
    /// Queued tokens of a route.
    pub fn waiting(&self, route: &str) -> u64 {
        self.routes.get(route).copied().unwrap_or(0)
    }

    /// Whether `tokens` more would stay within `limit`. A limit of 0 means unlimited.
    pub fn fits(&self, route: &str, tokens: u64, limit: u64) -> bool {
        limit == 0 || self.waiting(route).saturating_add(tokens) <= limit
    }

    /// Adds the tokens of a job's items that have no result. Does nothing if the job is already counted or has ended.
    pub fn add(&mut self, job: &Job) {
        if job.ended || self.jobs.contains_key(&job.accepted.id) {
            return;
        }
        let counted = |(index, tokens)| (!job.is_listed(index)).then_some(tokens);
        let waiting: Vec<Option<u64>> = (0..)
            .zip(job.accepted.items.iter().map(|item| item.tokens))
            .map(counted)
            .collect();
        let route = job.accepted.route.clone();
        let sum = waiting
            .iter()
            .flatten()
            .fold(0, |sum: u64, tokens| sum.saturating_add(*tokens));
        let count = self.routes.entry(route.clone()).or_default();
        *count = count.saturating_add(sum);
        self.jobs
            .insert(job.accepted.id.clone(), JobCount { route, waiting });
    }

    /// Subtracts an item that was completed or abandoned. Does nothing if it was subtracted before.
    pub fn finish(&mut self, job: &JobId, item: u32) {
        let Some(counted) = self.jobs.get_mut(job) else {
            return;
        };
        let Some(tokens) = counted
            .waiting
            .get_mut(item as usize)
            .and_then(Option::take)
        else {
            return;
        };
        let route = counted.route.clone();
        self.subtract(&route, tokens);
    }

    /// Subtracts all remaining items of a job that was ended or forgotten.
    pub fn remove(&mut self, job: &JobId) {
        let Some(counted) = self.jobs.remove(job) else {
            return;
        };
        let tokens = counted
            .waiting
            .iter()
            .flatten()
            .fold(0, |sum: u64, tokens| sum.saturating_add(*tokens));
        self.subtract(&counted.route, tokens);
    }

    /// Subtracts tokens from a route's count, and drops the route once its count is 0.
    fn subtract(&mut self, route: &str, tokens: u64) {
        let Some(count) = self.routes.get_mut(route) else {
            return;
        };
        *count = count.saturating_sub(tokens);
        if *count == 0 {
            self.routes.remove(route);
        }
    }
}
