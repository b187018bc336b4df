//! Clients that submit jobs at a constant rate, retry after a rejection, and time out after a second.

use crate::cluster::job;
use alderhollow_batch::api::{SubmitOutcome, Token};
use alderhollow_batch::job::{JobId, NewJob};
use std::collections::BTreeMap;

const ITEMS_PER_JOB: usize = 20;
const BODY_BYTES: usize = 1_600;
/// Capacity of the link in jobs per second, given all that a job sends: bodies and texts to three members, runs, and
/// texts to readers.
const CAPACITY_JOBS_PER_S: f64 = 15.6;
/// Time-out of a client for the acceptance of its job, over all attempts.
pub(super) const ACCEPTANCE_TIMEOUT_MS: u64 = 1_000;
/// Delay of a retry after a rejection.
const RETRY_MS: u64 = 300;

/// State of a client and its job.
struct Client {
    first_sent_ms: u64,
    /// Time of the next attempt; `None` while an answer is pending, or when it is done.
    next_attempt_ms: Option<u64>,
    /// Token of the pending acceptance, and when it was returned.
    taken: Option<(Token, u64)>,
    answered_ms: Option<u64>,
    /// Position after the last result that it has read.
    read: u32,
}

impl Client {
    fn has_timed_out(&self, now_ms: u64) -> bool {
        self.answered_ms.is_none() && now_ms >= self.first_sent_ms + ACCEPTANCE_TIMEOUT_MS
    }
}

/// All clients.
pub(super) struct Clients {
    pause_ms: f64,
    next_job_ms: f64,
    by_job: BTreeMap<JobId, Client>,
    by_token: BTreeMap<Token, JobId>,
    longest_commit_ms: u64,
}

impl Clients {
    /// Clients that submit `load` times the capacity of the link.
    pub(super) fn new(now_ms: u64, load: u32) -> Clients {
        Clients {
            pause_ms: 1_000.0 / (CAPACITY_JOBS_PER_S * f64::from(load)),
            next_job_ms: now_ms as f64,
            by_job: BTreeMap::new(),
            by_token: BTreeMap::new(),
            longest_commit_ms: 0,
        }
    }

    /// Jobs to submit now: new ones, and retries that are due.
    pub(super) fn due(&mut self, now_ms: u64) -> Vec<NewJob> {
        while self.next_job_ms <= now_ms as f64 {
            self.next_job_ms += self.pause_ms;
            let id = JobId(format!("job-{:06}", self.by_job.len()));
            let client = Client {
                first_sent_ms: now_ms,
                next_attempt_ms: Some(now_ms),
                taken: None,
                answered_ms: None,
                read: 0,
            };
            self.by_job.insert(id, client);
        }
        let is_due = |client: &Client| {
            !client.has_timed_out(now_ms)
                && client.next_attempt_ms.is_some_and(|at_ms| at_ms <= now_ms)
        };
        let due = self.by_job.iter().filter(|(_, client)| is_due(client));
        due.map(|(id, client)| new_job(id, now_ms - client.first_sent_ms))
            .collect()
    }

    /// Handles the outcome of a submission.
    pub(super) fn submitted(&mut self, now_ms: u64, id: &JobId, answer: SubmitOutcome) {
        let client = self.by_job.get_mut(id).expect("a client");
        client.next_attempt_ms = None;
        match answer {
            SubmitOutcome::Pending(token) => {
                client.taken.get_or_insert((token, now_ms));
                self.by_token.insert(token, id.clone());
            }
            SubmitOutcome::AlreadyAccepted => client.answered_ms = Some(now_ms),
            _ => client.next_attempt_ms = Some(now_ms + RETRY_MS),
        }
    }

    /// Handles a committed acceptance.
    pub(super) fn committed(&mut self, now_ms: u64, token: Token) {
        let Some(id) = self.by_token.get(&token) else {
            return;
        };
        let client = self.by_job.get_mut(id).expect("a client");
        let (_, taken_ms) = client.taken.expect("a promise");
        self.longest_commit_ms = self.longest_commit_ms.max(now_ms - taken_ms);
        if !client.has_timed_out(now_ms) {
            client.answered_ms.get_or_insert(now_ms);
        }
        client.taken = None;
    }

    /// Position from which a client reads; `None` if it has timed out.
    pub(super) fn reads_from(&self, id: &JobId) -> Option<u32> {
        let client = self.by_job.get(id)?;
        client.answered_ms.map(|_| client.read)
    }

    /// Records that a client has read up to this position.
    pub(super) fn has_read(&mut self, id: &JobId, next: u32) {
        if let Some(client) = self.by_job.get_mut(id) {
            client.read = next;
        }
    }

    /// Longest time from the append of a job to its commit, or to now.
    pub(super) fn longest_commit_ms(&self, now_ms: u64) -> u64 {
        let open = self.by_job.values().filter_map(|client| client.taken);
        open.map(|(_, taken_ms)| now_ms - taken_ms)
            .fold(self.longest_commit_ms, u64::max)
    }
}

fn new_job(id: &JobId, age_ms: u64) -> NewJob {
    let mut job = job(&id.0, ITEMS_PER_JOB, 1);
    job.age_ms = age_ms;
    for item in &mut job.items {
        item.request.as_mut().expect("a request").body = vec![b'b'; BODY_BYTES];
    }
    job
}
