//! What clients sent and were answered, and what the backends ran.

use alderhollow_standins::failing_backend::{answer_to, RunObserver};
use std::cell::RefCell;
use std::collections::BTreeMap;

/// Statuses that promise that a request has not run and will not.
const PROMISES: [u16; 4] = [408, 421, 429, 503];
const OK: u16 = 200;
/// The statuses that can answer a request.
const STATUSES: std::ops::RangeInclusive<u16> = 200..=599;
/// `max-attempts` of the idempotent route.
const MAX_ATTEMPTS: usize = 2;

/// Whether a request may run more than once.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum RouteKind {
    Idempotent,
    NonIdempotent,
}

impl RouteKind {
    pub(crate) fn path(self) -> &'static str {
        match self {
            RouteKind::Idempotent => "/often/1",
            RouteKind::NonIdempotent => "/once/1",
        }
    }
}

/// An answer that a client has read.
#[derive(Debug)]
pub(crate) struct Answer {
    pub status: u16,
    pub body: String,
    pub is_whole: bool,
}

/// What is known of one request.
#[derive(Debug)]
struct Request {
    kind: RouteKind,
    body_bytes: usize,
    answer: Option<Answer>,
    /// Backends that have begun to work on it.
    runs: usize,
}

/// All requests of a soak, by their ids.
#[derive(Default)]
pub(crate) struct Record {
    requests: RefCell<BTreeMap<String, Request>>,
    /// What backends found wrong.
    faults: RefCell<Vec<String>>,
}

impl RunObserver for Record {
    fn on_run(&self, request_id: &str) {
        match self.requests.borrow_mut().get_mut(request_id) {
            Some(request) => request.runs += 1,
            None => self.note_fault(format!("{request_id} runs, but no client sent it")),
        }
    }

    fn on_body(&self, request_id: &str, body: &[u8]) {
        let requests = self.requests.borrow();
        let sent = requests
            .get(request_id)
            .map(|request| body_of(request_id, request.body_bytes));
        if sent.map(String::into_bytes) != Some(body.to_vec()) {
            self.note_fault(format!("{request_id} reached a backend with another body"));
        }
    }
}

impl Record {
    pub(crate) fn sent(&self, id: &str, kind: RouteKind, body_bytes: usize) {
        let request = Request {
            kind,
            body_bytes,
            answer: None,
            runs: 0,
        };
        self.requests.borrow_mut().insert(id.to_string(), request);
    }

    pub(crate) fn answered(&self, id: &str, answer: Option<Answer>) {
        if let Some(request) = self.requests.borrow_mut().get_mut(id) {
            request.answer = answer;
        }
    }

    pub(crate) fn summary(&self) -> String {
        let requests = self.requests.borrow();
        let count = |holds: &dyn Fn(&Request) -> bool| {
            requests.values().filter(|request| holds(request)).count()
        };
        let has_status = |request: &Request, status: u16| {
            request
                .answer
                .as_ref()
                .is_some_and(|answer| answer.status == status)
        };
        format!(
            "{} requests, {} served, {} with 503, {} with 502, {} with 504, {} without an answer, {} ran more than once",
            requests.len(),
            count(&|request| has_status(request, OK)),
            count(&|request| has_status(request, 503)),
            count(&|request| has_status(request, 502)),
            count(&|request| has_status(request, 504)),
            count(&|request| request.answer.is_none()),
            count(&|request| request.runs > 1),
        )
    }

    pub(crate) fn violations(&self) -> Vec<String> {
        let requests = self.requests.borrow();
        let broken = requests
            .iter()
            .flat_map(|(id, request)| request.violation(id));
        let faults = self.faults.borrow();
        faults.iter().cloned().chain(broken).collect()
    }

    fn note_fault(&self, fault: String) {
        self.faults.borrow_mut().push(fault);
    }
}

impl Request {
    fn violation(&self, id: &str) -> Option<String> {
        let max_runs = match self.kind {
            RouteKind::Idempotent => MAX_ATTEMPTS,
            RouteKind::NonIdempotent => 1,
        };
        if self.runs > max_runs {
            return Some(format!("{id} ran {} times, {max_runs} allowed", self.runs));
        }
        let answer = self.answer.as_ref()?;
        if !STATUSES.contains(&answer.status) {
            return Some(format!("{id} was answered {:03}", answer.status));
        }
        let is_promise = PROMISES.contains(&answer.status);
        if is_promise && self.runs > 0 && self.kind == RouteKind::NonIdempotent {
            return Some(format!("{id} ran, but was answered {}", answer.status));
        }
        if answer.status == OK && answer.is_whole && answer.body != answer_to(id) {
            return Some(format!("{id} was answered {:?}", answer.body));
        }
        (answer.status == OK && self.runs == 0)
            .then(|| format!("{id} was served, but no backend ran it"))
    }
}

/// The body of the request `id`: its id again and again.
pub(crate) fn body_of(id: &str, length: usize) -> String {
    id.chars().cycle().take(length).collect()
}
