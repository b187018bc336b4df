//! Which backend a request goes to. No I/O and no clock: the host tells the time, the tables and the ends of attempts.

use alderhollow_model::backend::{Backend, BackendState};
use alderhollow_model::snapshot::Snapshot;
use oorandom::Rand64;
use std::collections::BTreeMap;
use std::sync::Arc;

/// A moment of the host's steady clock, in milliseconds.
pub type Millis = f64;

/// The prompt of a request for tokens, from `Prompt-Prefix` and `Token-Usage`.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Prompt {
    /// The parts in order: a hash of the identifier, and its tokens.
    pub parts: Vec<(u64, u32)>,
    /// Tokens of the whole prompt.
    pub tokens_in: u32,
    /// Most tokens that come out.
    pub tokens_out: u32,
}

/// What a backend is wanted for.
#[derive(Debug, Clone)]
pub struct Wanted<'a> {
    /// The service.
    pub service: &'a str,
    /// The prompt, for model engines.
    pub prompt: Option<&'a Prompt>,
    /// Rank; 0 is the highest.
    pub priority: u32,
    /// Backends that the request has been at, by id.
    pub tried: &'a [String],
}

/// A backend that was chosen. The host owes one [`Balancer::ended`] for it.
#[derive(Debug, Clone)]
pub struct Choice {
    /// Names the attempt.
    pub attempt: u64,
    /// The backend.
    pub backend: Arc<Backend>,
}

/// Why there is none.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum NoBackend {
    /// The service has no backend that may get requests.
    NoneReady,
    /// Each has as much as it bears. `retry_after_ms` is when it may be different.
    AllFull {
        /// Milliseconds from now.
        retry_after_ms: f64,
    },
}

/// How an attempt ended, as far as it tells something of the backend.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The answer came whole.
    Served,
    /// The backend answered 5xx and has run the request.
    Failed,
    /// It declined: full, `Not-Executed`.
    Declined,
    /// Another instance has the address (421).
    OtherInstance,
    /// No connection came up.
    NoConnection,
    /// The connection broke, or the answer was none, after the request was sent.
    Broken,
    /// Silence until the end.
    TimedOut,
    /// Given up for reasons of the client, or never sent.
    Cancelled,
}

/// Chooses backends for one process.
#[derive(Debug)]
pub struct Balancer {
    zone: String,
    rng: Rand64,
    backends: BTreeMap<String, Arc<Backend>>,
    evacuated: std::collections::BTreeSet<String>,
    last_attempt: u64,
}

impl Balancer {
    /// One that knows of no backend yet. `node` is the name of this machine, as in the list of senders.
    pub fn new(node: &str, zone: &str, seed: u64) -> Balancer {
        let _ = node;
        Balancer {
            zone: zone.to_string(),
            rng: Rand64::new(u128::from(seed)),
            backends: BTreeMap::new(),
            evacuated: Default::default(),
            last_attempt: 0,
        }
    }

    /// Takes in newer tables.
    pub fn update(&mut self, now: Millis, snapshot: &Snapshot) {
        let _ = now;
        self.backends = snapshot
            .backends
            .backends
            .iter()
            .map(|backend| (backend.id.clone(), Arc::new(backend.clone())))
            .collect();
        self.evacuated = snapshot.control.evacuated.clone();
    }

    /// Whether a backend may get a request now: to be asked last before one is written.
    pub fn may_send(&self, id: &str) -> bool {
        self.backends.get(id).is_some_and(|backend| {
            backend.state == BackendState::Ready && !self.evacuated.contains(&backend.zone)
        })
    }

    /// Chooses a backend.
    pub fn choose(&mut self, now: Millis, wanted: &Wanted) -> Result<Choice, NoBackend> {
        let _ = (now, &self.zone);
        let fit: Vec<_> = self
            .backends
            .values()
            .filter(|backend| {
                backend.service == wanted.service
                    && self.may_send(&backend.id)
                    && !wanted.tried.contains(&backend.id)
            })
            .cloned()
            .collect();
        if fit.is_empty() {
            return Err(NoBackend::NoneReady);
        }
        self.last_attempt += 1;
        let at = self.rng.rand_range(0..fit.len() as u64) as usize;
        Ok(Choice { attempt: self.last_attempt, backend: fit[at].clone() })
    }

    /// Notes that the first event or the answer's head came.
    pub fn began(&mut self, now: Millis, attempt: u64) {
        let _ = (now, attempt);
    }

    /// Notes how an attempt ended.
    pub fn ended(&mut self, now: Millis, attempt: u64, outcome: Outcome) {
        let _ = (now, attempt, outcome);
    }
}
