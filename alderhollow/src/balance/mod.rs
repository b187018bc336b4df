//! Load balancing: selects the backend for each request. Sans I/O: the host passes in the time, the tables and the
//! outcomes of attempts.
//!
//! * `attempt`: an attempt in flight, and the resources that it holds at its backend;
//! * `backends`: the backend table, with the in-flight load of this process;
//! * `affinity`: which backends are likely to have the shared prefix of a prompt cached;
//! * `cold`: rate limits for cold backends;
//! * `health`: passive health checks from the outcomes of attempts;
//! * `quality`: moving averages of a backend's response times and failures;
//! * `prefill`: estimated prefill times of model engines;
//! * `weights`, `awaited_weights`: versions of model weights, for requests that expect one;
//! * `requirements`: the resources that a request needs;
//! * `cost`: the cost of a request at a backend;
//! * `choice`: filters the eligible backends and selects the cheapest;
//! * `explanation`: the reasons for a selection.

mod affinity;
mod attempt;
mod awaited_weights;
mod backends;
mod choice;
mod cold;
mod cost;
mod explanation;
pub(crate) mod hash;
mod health;
mod prefill;
mod quality;
mod requirements;
mod weights;

pub use awaited_weights::ReportRequest;
pub use cold::ColdBounds;
pub use cost::Cost;
pub(crate) use cost::CROSS_ZONE_ENGINE_COST_MS;
pub use explanation::{Candidate, Explanation, Verdict};
pub use weights::{ExpectedWeights, WeightsSource, WeightsVersion};

use alderhollow_model::backend::Backend;
use alderhollow_model::identity::Incarnation;
use alderhollow_model::snapshot::Snapshot;
use attempt::{Attempt, UncachedPrompt};
use backends::{BackendTable, Member, NewTables, Pool, ServiceParams};
use cold::SenderLists;
use health::HealthState;
use oorandom::Rand64;
use requirements::Requirements;
use std::collections::BTreeMap;
use std::sync::Arc;

/// A timestamp of the host's monotonic clock, in milliseconds.
pub type Millis = f64;

/// The prompt of a token request, from the `Prompt-Prefix` and `Token-Usage` headers.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Prompt {
    /// The parts in order: the hash of each part's identifier, and its token count.
    pub parts: Vec<(u64, u32)>,
    /// Number of tokens in the whole prompt.
    pub tokens_in: u32,
    /// Maximum number of output tokens.
    pub tokens_out: u32,
}

/// The properties of a request that determine which backend it may use.
#[derive(Debug, Clone)]
pub struct SelectionRequest<'a> {
    /// The name of the requested service.
    pub service: &'a str,
    /// The prompt, for requests to model engines.
    pub prompt: Option<&'a Prompt>,
    /// Priority; 0 is the highest.
    pub priority: u32,
    /// Ids of backends that this request has already been sent to.
    pub tried: &'a [String],
    /// The version that the weights of its model must have, if the request expects one.
    pub expected_weights: Option<ExpectedWeights>,
    /// The process that sends it; `None`: this one.
    pub sender: Option<Incarnation>,
}

/// A selected backend. The host must call [`Balancer::ended`] once for each choice.
#[derive(Debug, Clone)]
pub struct Choice {
    /// Identifies the attempt.
    pub attempt: u64,
    /// The selected backend.
    pub backend: Arc<Backend>,
    /// Estimated queueing delay at the backend, plus the cost of delaying the streams that run there.
    pub wait_ms: Millis,
}

/// The reason why no backend could be selected.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum NoBackend {
    /// The service has no backend that accepts requests.
    NoneReady,
    /// All backends are at capacity.
    AllFull {
        /// Milliseconds until capacity may be available.
        retry_after_ms: f64,
    },
    /// No backend has the expected version of the weights.
    OtherWeights {
        /// Milliseconds until a backend may be tried again.
        retry_after_ms: f64,
    },
}

/// Whether a request that expects a version of the weights may be sent to a backend of a service.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum WeightsAvailability {
    /// A backend has the version, or may have it.
    Available,
    /// Only backends that had another version some time ago: one request may try.
    OnTrial,
    /// No backend has it.
    Missing {
        /// Milliseconds until a backend may be tried again.
        retry_after_ms: f64,
    },
}

/// A change of the verdict on the instance at a backend's address.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum InstanceChange {
    /// Another instance answered: the backend gets no requests until its backoff has ended.
    Excluded(Arc<Backend>),
    /// The backend ran a request again.
    Returned(Arc<Backend>),
}

/// How an attempt ended, from the backend's point of view.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The response was received completely.
    Served,
    /// The backend executed the request and returned a 5xx status.
    Failed,
    /// The backend rejected the request without executing it (at capacity, `Not-Executed`).
    Declined,
    /// This process can open no further connection to the backend: it has as many as it may have, or the system has no
    /// descriptor, port or memory left for one. The backend was not asked.
    ConnectionLimit,
    /// Another instance answered at this address (421).
    OtherInstance,
    /// The weights differ from the version that the request expects (421).
    OtherWeights,
    /// The connection could not be established.
    NoConnection,
    /// The connection broke, or the response was invalid, after the request was sent.
    Broken,
    /// The backend sent no response before the timeout.
    TimedOut,
    /// The time of the request was over before the backend had responded. The client may have left it too little.
    DeadlineExceeded,
    /// The client cancelled the request, or it was never sent.
    Cancelled,
}

/// A choice of a cold backend expires after this time, because the rate limit no longer counts it.
const COLD_CHOICE_TTL_MS: Millis = 100.0;

/// Selects backends for one process.
#[derive(Debug)]
pub struct Balancer {
    zone: String,
    /// Whether it selects for all senders of its zone, using only the backends of that zone.
    is_placer: bool,
    rng: Rand64,
    cold_bounds: ColdBounds,
    senders: SenderLists,
    table: BackendTable,
    attempts: BTreeMap<u64, Attempt>,
    last_attempt: u64,
    /// Services that lack an expected version of the weights, and when it was wanted last.
    awaited_weights: BTreeMap<String, Millis>,
    report_requested_at: Millis,
    instance_changes: Vec<InstanceChange>,
}

impl Balancer {
    /// Creates a balancer without backends. `node` is the name of this machine in the list of senders.
    pub fn new(node: &str, zone: &str, seed: u64) -> Balancer {
        Balancer {
            zone: zone.to_string(),
            is_placer: false,
            rng: Rand64::new(u128::from(seed)),
            cold_bounds: ColdBounds::default(),
            senders: SenderLists::new(node),
            table: BackendTable::default(),
            attempts: BTreeMap::new(),
            last_attempt: 0,
            awaited_weights: BTreeMap::new(),
            report_requested_at: f64::NEG_INFINITY,
            instance_changes: Vec::new(),
        }
    }

    /// Creates a balancer that selects for all senders, using only the backends of its zone. It learns of all attempts
    /// there. The senders, not the placer, enforce the rate limits of cold backends.
    pub fn placer_for_zone(node: &str, zone: &str, seed: u64) -> Balancer {
        Balancer {
            is_placer: true,
            ..Balancer::new(node, zone, seed)
        }
    }

    /// Sets the configured limits for cold backends (`cold-over` and `cold-slack` in the settings file). They apply
    /// from the next [`Balancer::update`].
    pub fn set_cold_bounds(&mut self, bounds: ColdBounds) {
        self.cold_bounds = bounds;
    }

    /// Applies newer tables.
    pub fn update(&mut self, now: Millis, snapshot: &Snapshot) {
        if !snapshot.senders.nodes.is_empty() && !self.is_placer {
            self.senders.update(now, &snapshot.senders.nodes);
        }
        let config = snapshot.control.config.as_ref();
        let services = config.map(|config| config.services_by_name());
        let gap_aims = config.map(|config| config.gap_aims_by_service());
        let bounds = self.cold_bounds;
        let is_placer = self.is_placer;
        let params_of = |service: &str| {
            let configured = services
                .as_ref()
                .and_then(|services| services.get(service).copied());
            let gap_aim_ms = gap_aims
                .as_ref()
                .and_then(|aims| aims.get(service).copied());
            let params = ServiceParams::of(configured, gap_aim_ms, bounds);
            if is_placer {
                params.without_cold_bound()
            } else {
                params
            }
        };
        let in_zone: Vec<Backend>;
        let backends = if is_placer {
            let listed = snapshot.backends.backends.iter();
            in_zone = listed
                .filter(|backend| backend.zone == self.zone)
                .cloned()
                .collect();
            &in_zone
        } else {
            &snapshot.backends.backends
        };
        let tables = NewTables {
            backends,
            listed_at: snapshot.backends_at_ms as f64,
            evacuated: &snapshot.control.evacuated,
            own_zone: &self.zone,
        };
        self.table.update(now, &tables, params_of);
    }

    /// The index of this process in a list of senders.
    pub fn rank_in(&self, senders: &[String]) -> Option<usize> {
        self.senders.rank_in(senders)
    }

    /// Whether a backend accepts requests now. Check this immediately before writing a request.
    pub fn may_send(&self, id: &str) -> bool {
        self.table.may_send(id)
    }

    /// Like [`Balancer::may_send`], but for an attempt: also checks that the choice of a cold backend has not expired.
    /// Check this immediately before writing the request if time may have passed since the choice. If it returns
    /// false, end the attempt with [`Outcome::Cancelled`] and choose again.
    pub fn may_begin(&self, now: Millis, attempt: u64) -> bool {
        let Some(entry) = self.attempts.get(&attempt) else {
            return false;
        };
        let Some(member) = self.table.member(&entry.backend.id) else {
            return false;
        };
        let is_recent = now - entry.started <= COLD_CHOICE_TTL_MS;
        member.may_get_requests() && (is_recent || !member.is_cold(now))
    }

    /// Selects a backend and records the attempt.
    ///
    /// # Errors
    /// Returns the reason if no backend can be selected.
    pub fn choose(&mut self, now: Millis, request: &SelectionRequest) -> Result<Choice, NoBackend> {
        self.senders.expire(now);
        if let Some(expected) = request.expected_weights {
            self.note_awaited_weights(now, request.service, expected);
        }
        let rng = &mut self.rng;
        let pool = self
            .table
            .pools
            .get_mut(request.service)
            .ok_or(NoBackend::NoneReady)?;
        let pick = choice::pick(
            now,
            pool,
            request,
            &self.senders,
            self.is_placer,
            &mut || rng.rand_float(),
        )?;
        self.record_attempt(now, request, pick)
            .ok_or(NoBackend::NoneReady)
    }

    /// Explains what [`Balancer::choose`] would select now, without recording an attempt. Returns `None` if the
    /// service has no backend.
    pub fn explain(&mut self, now: Millis, request: &SelectionRequest) -> Option<Explanation> {
        self.senders.expire(now);
        let pool = self.table.pools.get_mut(request.service)?;
        Some(choice::explain(
            now,
            pool,
            request,
            &self.senders,
            self.is_placer,
        ))
    }

    /// Selects the backend that a placer offered, if this process may send to it now.
    pub fn choose_at(
        &mut self,
        now: Millis,
        request: &SelectionRequest,
        backend: &str,
    ) -> Option<Choice> {
        self.senders.expire(now);
        let pool = self.table.pools.get_mut(request.service)?;
        let pick = choice::pick_offered(now, pool, request, &self.senders, backend)?;
        self.record_attempt(now, request, pick)
    }

    /// Records that a sender has just selected a backend by itself, regardless of the state of the backend here.
    pub fn record_choice(
        &mut self,
        now: Millis,
        request: &SelectionRequest,
        backend: &str,
    ) -> Option<Choice> {
        let pool = self.table.pools.get_mut(request.service)?;
        let pick = choice::pick_assigned(now, pool, request, backend, self.is_placer)?;
        self.record_attempt(now, request, pick)
    }

    /// Records an attempt that a sender started earlier. Its time to the first event is unknown and not used as a
    /// sample.
    pub fn record_earlier_choice(
        &mut self,
        now: Millis,
        request: &SelectionRequest,
        backend: &str,
        response_started: bool,
    ) -> Option<Choice> {
        let choice = self.record_choice(now, request, backend)?;
        let entry = self.attempts.get_mut(&choice.attempt)?;
        entry.is_start_known = false;
        if response_started {
            self.mark_earlier_response(choice.attempt);
        }
        Some(choice)
    }

    /// Records that the first event of an attempt arrived before this process learned of the attempt.
    fn mark_earlier_response(&mut self, attempt: u64) {
        let Some(entry) = self.attempts.get_mut(&attempt) else {
            return;
        };
        entry.response_started = true;
        let uncached = std::mem::take(&mut entry.uncached);
        let pool = self.table.pools.get_mut(&entry.backend.service);
        let Some(member) = pool.and_then(|pool| pool.member_mut(&entry.backend.id)) else {
            return;
        };
        member.in_flight.finish_prefill(uncached);
        member.health.forget_attempt(attempt);
    }

    /// The backends of a service that this process considers unhealthy. Only this process may have lost contact with
    /// them.
    pub fn unhealthy(&self, now: Millis, service: &str) -> Vec<String> {
        self.members_where(service, |member| {
            matches!(
                member.health.state(now),
                HealthState::Ejected(_) | HealthState::OtherInstance(_)
            )
        })
    }

    /// The backends of a service to which this process recently could open no further connection. Others may have some
    /// left.
    pub fn connection_limited(&self, now: Millis, service: &str) -> Vec<String> {
        self.members_where(service, |member| member.health.is_connection_limited(now))
    }

    /// Ids of the backends of a service that meet a condition.
    fn members_where(&self, service: &str, condition: impl Fn(&Member) -> bool) -> Vec<String> {
        let pool = self.table.pools.get(service);
        let members = pool.map_or(&[][..], |pool| &pool.members);
        let met = members.iter().filter(|member| condition(member));
        met.map(|member| member.backend.id.clone()).collect()
    }

    /// Whether a service has a backend that accepts requests, at capacity or not.
    pub fn has_backend(&self, service: &str) -> bool {
        let pool = self.table.pools.get(service);
        pool.is_some_and(|pool| pool.members.iter().any(Member::may_get_requests))
    }

    /// Whether a prompt alone needs more memory than the service's backends have, by the service's configuration. They
    /// decline such a request even when idle.
    pub fn is_too_large(&self, service: &str, prompt: &Prompt) -> bool {
        let pool = self.table.pools.get(service);
        let capacity = pool.and_then(|pool| pool.params.capacity_tokens);
        capacity.is_some_and(|capacity| u64::from(prompt.tokens_in) > capacity)
    }

    /// Whether the service's backends are model engines.
    pub fn is_engine(&self, service: &str) -> bool {
        self.table
            .pools
            .get(service)
            .is_some_and(|pool| pool.params.capacity_tokens.is_some())
    }

    fn record_attempt(
        &mut self,
        now: Millis,
        request: &SelectionRequest,
        pick: choice::Pick,
    ) -> Option<Choice> {
        let pool = self.table.pools.get_mut(request.service)?;
        let requirements = Requirements::of(request);
        let member = pool.members.get_mut(pick.index)?;
        self.last_attempt += 1;
        let attempt = self.last_attempt;
        let slots = member.slots(&pool.params);
        member.in_flight.attempts += 1;
        member.in_flight.interactive += u32::from(!requirements.is_low_priority());
        member.in_flight.tokens += requirements.tokens;
        let starts_immediately =
            member.in_flight.prefill_us == 0 && member.in_flight.attempts <= slots;
        let prefill_ms = member
            .speed
            .prefill(pool.prefill.expected(pick.uncached_tokens));
        let prefill_us = (prefill_ms * 1000.0) as u64;
        member.in_flight.prefill_us += prefill_us;
        if let Some(expected) = request.expected_weights {
            member.weights.start_trial(now, expected);
        }
        if pool.params.cold_bound.is_some() {
            member.starts.record(now);
        }
        let backend = member.backend.clone();
        let entry = Attempt {
            backend: backend.clone(),
            sender: request.sender,
            started: now,
            expected: pick.expected,
            tokens_in: requirements.tokens_in,
            tokens: requirements.tokens,
            uncached: UncachedPrompt {
                tokens: pick.uncached_tokens,
                prefill_us,
                starts_immediately,
            },
            prefix: requirements.prefix.filter(|_| self.is_placer),
            is_interactive: !requirements.is_low_priority(),
            is_start_known: true,
            response_started: false,
        };
        member.health.started(entry.record(attempt));
        self.attempts.insert(attempt, entry);
        Some(Choice {
            attempt,
            backend,
            wait_ms: pick.wait_ms,
        })
    }

    /// Records that the response headers or the first event arrived.
    pub fn response_started(&mut self, now: Millis, attempt: u64) {
        let Some(entry) = self.attempts.get_mut(&attempt) else {
            return;
        };
        if entry.response_started {
            return;
        }
        let uncached = std::mem::take(&mut entry.uncached);
        let record = entry.record(attempt);
        entry.response_started = true;
        let Some(pool) = self.table.pools.get_mut(&entry.backend.service) else {
            return;
        };
        let elapsed = entry.is_start_known.then_some(now - entry.started);
        let Pool {
            members,
            prefill,
            prefix_locations,
            response_times,
            ..
        } = pool;
        if let Some(elapsed) = elapsed {
            response_times.learn(elapsed, entry.tokens_in);
        }
        let Some(member) = backends::find_mut(members, &entry.backend.id) else {
            return;
        };
        match elapsed {
            Some(elapsed) if uncached.starts_immediately => {
                prefill.learn(uncached.tokens, elapsed, &mut member.speed);
            }
            _ => {}
        }
        if let Some(prefix) = entry.prefix {
            prefix_locations.record(now, prefix, member.id_hash);
        }
        member.in_flight.finish_prefill(uncached);
        let was_other_instance = member.health.is_other_instance();
        member.health.response_started(now, record, elapsed);
        if was_other_instance && !member.health.is_other_instance() {
            let returned = InstanceChange::Returned(member.backend.clone());
            self.instance_changes.push(returned);
        }
    }

    /// Removes an attempt that is no longer reported, without affecting the health of its backend.
    pub fn withdraw(&mut self, attempt: u64) {
        let Some(entry) = self.attempts.remove(&attempt) else {
            return;
        };
        let pool = self.table.pools.get_mut(&entry.backend.service);
        let Some(member) = pool.and_then(|pool| pool.member_mut(&entry.backend.id)) else {
            return;
        };
        member.release(&entry);
        member.health.forget_attempt(attempt);
    }

    /// Records the outcome of an attempt. Returns what counts for the backend: an exceeded deadline is a timeout only if
    /// the backend had enough time.
    pub fn ended(&mut self, now: Millis, attempt: u64, outcome: Outcome) -> Outcome {
        if outcome == Outcome::Served {
            self.response_started(now, attempt);
        }
        let Some(entry) = self.attempts.remove(&attempt) else {
            return outcome;
        };
        let id = &entry.backend.id;
        let random = self.rng.rand_float();
        let Some(pool) = self.table.pools.get_mut(&entry.backend.service) else {
            return outcome;
        };
        let capacity = pool.params.capacity_tokens;
        let Some(member) = pool.member_mut(id) else {
            return outcome;
        };
        member.release(&entry);
        if matches!(outcome, Outcome::OtherWeights | Outcome::OtherInstance) {
            // A cold backend bears any number of requests that it answers with 421.
            member.starts.withdraw(entry.started);
        }
        // The backend declines what exceeds its memory as if it were full.
        let exceeds_memory = outcome == Outcome::Declined
            && capacity.is_some_and(|capacity| entry.tokens > capacity);
        if exceeds_memory || outcome == Outcome::OtherWeights {
            // That says nothing about other requests.
            member.health.forget_attempt(attempt);
            return outcome;
        }
        let was_other_instance = member.health.is_other_instance();
        let outcome = member
            .health
            .ended(now, entry.record(attempt), outcome, random);
        let change = match (was_other_instance, member.health.is_other_instance()) {
            (false, true) => InstanceChange::Excluded(member.backend.clone()),
            (true, false) => InstanceChange::Returned(member.backend.clone()),
            _ => return outcome,
        };
        self.instance_changes.push(change);
        outcome
    }

    /// Takes the changes of verdicts on instances since the last call.
    pub fn take_instance_changes(&mut self) -> Vec<InstanceChange> {
        std::mem::take(&mut self.instance_changes)
    }
}
