//! The count of tokens that wait, per route.
//!
//! A job's items count from the moment at which its primary takes it, before it is committed. An item leaves the count
//! when a backend has finished it, when it is given up, or when its job is ended; once. So at each 202 the count is at
//! least the tokens of the accepted items that no backend has finished.

use crate::job::{Job, JobId};
use std::collections::{BTreeMap, HashMap};

/// What a job has in the count.
#[derive(Debug)]
struct JobCount {
    route: String,
    /// Tokens of each item that waits.
    waiting: Vec<Option<u64>>,
}

/// The counts of all routes.
#[derive(Debug, Default)]
pub struct TokenCounts {
    routes: BTreeMap<String, u64>,
    jobs: HashMap<JobId, JobCount>,
}

impl TokenCounts {
    /// Tokens that wait on a route.
    pub fn waiting(&self, route: &str) -> u64 {
        self.routes.get(route).copied().unwrap_or(0)
    }

    /// Whether so many more tokens fit under a limit; 0 is no limit.
    pub fn fits(&self, route: &str, tokens: u64, limit: u64) -> bool {
        limit == 0 || self.waiting(route).saturating_add(tokens) <= limit
    }

    /// Counts the items of a job that have no result. A job that is counted already stays as it is.
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

    /// An item is finished or given up.
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

    /// A job is ended or forgotten.
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

    /// Takes tokens out of a route's count.
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
