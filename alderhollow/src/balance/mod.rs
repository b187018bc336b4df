//! Which backend a request goes to. No I/O and no clock: the host tells the time, the tables and the ends of attempts.
//!
//! * `backends`: the table, with what this process has under way at each backend;
//! * `affinity`: who is likely to hold the shared parts of a prompt;
//! * `cold`: what may be sent to a cold backend;
//! * `health`: what the ends of attempts tell of a backend;
//! * `reading`: how long engines take to read prompts;
//! * `need`: what a request needs;
//! * `price`: what it would cost at a backend;
//! * `choice`: who may take it, and which of these is the cheapest;
//! * `explanation`: why.

mod affinity;
mod backends;
mod choice;
mod cold;
mod cost;
mod explanation;
pub(crate) mod hash;
mod health;
mod prefill;
mod requirements;

pub use cold::ColdBounds;
pub use cost::Cost;
pub(crate) use cost::CROSS_ZONE_ENGINE_COST_MS;
pub use explanation::{Candidate, Explanation, Verdict};

use affinity::SharedPrefix;
use alderhollow_model::backend::Backend;
use alderhollow_model::snapshot::Snapshot;
use backends::{BackendTable, InFlight, Member, NewTables, Pool, ServiceParams};
use cold::SenderLists;
use health::{AttemptRecord, HealthState};
use oorandom::Rand64;
use requirements::Requirements;
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
pub struct SelectionRequest<'a> {
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
    /// What is known to be ahead of the request there, and what it would cost the streams that run there.
    pub wait_ms: Millis,
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

/// A choice of a cold backend is void after this time: by then the allowance counts it no more.
const COLD_CHOICE_TTL_MS: Millis = 100.0;

/// What of an attempt's prompt was not read at its start.
#[derive(Debug, Default, Clone, Copy)]
struct UncachedPrompt {
    tokens: u64,
    /// Microseconds that reading them was expected to take.
    prefill_us: u64,
    /// Whether no other prompt and no want of slots was known to hold it up.
    starts_immediately: bool,
}

/// An attempt that has not ended.
#[derive(Debug)]
struct Attempt {
    backend: Arc<Backend>,
    started: Millis,
    expected: Millis,
    tokens_in: u64,
    tokens: u64,
    uncached: UncachedPrompt,
    /// The shared parts of its prompt, for a placer.
    prefix: Option<SharedPrefix>,
    is_interactive: bool,
    /// Whether `started` is when it was sent, and not when this process heard of it.
    is_start_known: bool,
    response_started: bool,
}

impl InFlight {
    /// A prompt was read, or will not be.
    fn finish_prefill(&mut self, uncached: UncachedPrompt) {
        self.prefill_us = self.prefill_us.saturating_sub(uncached.prefill_us);
    }
}

impl Member {
    /// Gives back what an attempt took.
    fn release(&mut self, attempt: &Attempt) {
        let load = &mut self.in_flight;
        load.attempts = load.attempts.saturating_sub(1);
        load.interactive = load
            .interactive
            .saturating_sub(u32::from(attempt.is_interactive));
        load.tokens = load.tokens.saturating_sub(attempt.tokens);
        load.finish_prefill(attempt.uncached);
    }
}

impl Attempt {
    fn record(&self, attempt: u64) -> AttemptRecord {
        AttemptRecord {
            attempt,
            started: self.started,
            expected: self.expected,
            response_started: self.response_started,
        }
    }
}

/// Chooses backends for one process.
#[derive(Debug)]
pub struct Balancer {
    zone: String,
    /// Whether it places for all senders of its zone, at the zone's backends alone.
    is_placer: bool,
    rng: Rand64,
    cold_bounds: ColdBounds,
    senders: SenderLists,
    table: BackendTable,
    attempts: BTreeMap<u64, Attempt>,
    last_attempt: u64,
}

impl Balancer {
    /// One that knows of no backend yet. `node` is the name of this machine, as in the list of senders.
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
        }
    }

    /// One that chooses for all senders, among the backends of its zone alone. It is told of all attempts there; the
    /// allowances of cold backends bind at the senders.
    pub fn placer_for_zone(node: &str, zone: &str, seed: u64) -> Balancer {
        Balancer {
            is_placer: true,
            ..Balancer::new(node, zone, seed)
        }
    }

    /// Sets the operators' bounds on cold backends (`cold-over`, `cold-slack` of the settings file). Counts from the
    /// next [`Balancer::update`] on.
    pub fn set_cold_bounds(&mut self, bounds: ColdBounds) {
        self.cold_bounds = bounds;
    }

    /// Takes in newer tables.
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

    /// The place of this process in a list of senders.
    pub fn rank_in(&self, senders: &[String]) -> Option<usize> {
        self.senders.rank_in(senders)
    }

    /// Whether a backend may get a request now: to be asked last before one is written.
    pub fn may_send(&self, id: &str) -> bool {
        self.table.may_send(id)
    }

    /// As [`Balancer::may_send`], for an attempt: also that the choice is not too old where its backend is cold. To be
    /// asked last before the request is written, wherever time may pass between the choice and that. If it says no, the
    /// attempt ends as [`Outcome::Cancelled`] and a new choice is due.
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

    /// Chooses a backend.
    ///
    /// # Errors
    /// Says why there is none.
    pub fn choose(&mut self, now: Millis, request: &SelectionRequest) -> Result<Choice, NoBackend> {
        self.senders.expire(now);
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
        self.book(now, request, pick).ok_or(NoBackend::NoneReady)
    }

    /// What [`Balancer::choose`] would weigh at this moment; `None` for a service that has no backend. Nothing is booked.
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

    /// Takes the backend that a placer chose, if this process may send to it now.
    pub fn choose_at(
        &mut self,
        now: Millis,
        request: &SelectionRequest,
        backend: &str,
    ) -> Option<Choice> {
        self.senders.expire(now);
        let pool = self.table.pools.get_mut(request.service)?;
        let pick = choice::pick_offered(now, pool, request, &self.senders, backend)?;
        self.book(now, request, pick)
    }

    /// Notes that a sender has just chosen a backend for itself, whatever would have spoken against it here.
    pub fn record_choice(
        &mut self,
        now: Millis,
        request: &SelectionRequest,
        backend: &str,
    ) -> Option<Choice> {
        let pool = self.table.pools.get_mut(request.service)?;
        let pick = choice::pick_assigned(now, pool, request, backend, self.is_placer)?;
        self.book(now, request, pick)
    }

    /// Notes an attempt that a sender began at some time before. Its first event tells nothing of the time that it took.
    pub fn record_earlier_choice(
        &mut self,
        now: Millis,
        request: &SelectionRequest,
        backend: &str,
        has_begun: bool,
    ) -> Option<Choice> {
        let choice = self.record_choice(now, request, backend)?;
        let entry = self.attempts.get_mut(&choice.attempt)?;
        entry.is_start_known = false;
        if has_begun {
            self.began_before(choice.attempt);
        }
        Some(choice)
    }

    /// The first event of an attempt came at some time before it was heard of.
    fn began_before(&mut self, attempt: u64) {
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

    /// The backends of a service that this process finds down: it may be cut off from them alone.
    pub fn unhealthy(&self, now: Millis, service: &str) -> Vec<String> {
        let members = self
            .table
            .pools
            .get(service)
            .map_or(&[][..], |pool| &pool.members);
        let is_out = |member: &&Member| matches!(member.health.state(now), HealthState::Ejected(_));
        members
            .iter()
            .filter(is_out)
            .map(|member| member.backend.id.clone())
            .collect()
    }

    /// Whether a service's backends are model engines.
    pub fn is_engine(&self, service: &str) -> bool {
        self.table
            .pools
            .get(service)
            .is_some_and(|pool| pool.params.capacity_tokens.is_some())
    }

    fn book(
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
        member.health.started(now, attempt, pick.expected);
        if pool.params.cold_bound.is_some() {
            member.starts.record(now);
        }
        let backend = member.backend.clone();
        let entry = Attempt {
            backend: backend.clone(),
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
        self.attempts.insert(attempt, entry);
        Some(Choice {
            attempt,
            backend,
            wait_ms: pick.wait_ms,
        })
    }

    /// Notes that the first event or the answer's head came.
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
        member.health.response_started(now, record, elapsed);
    }

    /// Forgets an attempt of which nobody tells any more: that says nothing of the backend.
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

    /// Notes how an attempt ended.
    pub fn ended(&mut self, now: Millis, attempt: u64, outcome: Outcome) {
        if outcome == Outcome::Served {
            self.response_started(now, attempt);
        }
        let Some(entry) = self.attempts.remove(&attempt) else {
            return;
        };
        let id = &entry.backend.id;
        if outcome == Outcome::OtherInstance {
            self.table.remove_instance(id);
            return;
        }
        let random = self.rng.rand_float();
        let pool = self.table.pools.get_mut(&entry.backend.service);
        let Some(member) = pool.and_then(|pool| pool.member_mut(id)) else {
            return;
        };
        member.release(&entry);
        member
            .health
            .ended(now, entry.record(attempt), outcome, random);
    }
}
