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
mod need;
mod prefill;

pub use cold::ColdBounds;
pub use cost::Cost;
pub(crate) use cost::CROSS_ZONE_ENGINE_COST_MS;
pub use explanation::{Candidate, Explanation, Verdict};

use affinity::SharedPrefix;
use alderhollow_model::backend::Backend;
use alderhollow_model::snapshot::Snapshot;
use backends::{BackendTable, Member, NewTables, Pool, ServiceTerms, UnderWay};
use cold::SenderLists;
use health::{AttemptRecord, Standing};
use need::Need;
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
const COLD_CHOICE_VALID_MS: Millis = 100.0;

/// What of an attempt's prompt was not read at its start.
#[derive(Debug, Default, Clone, Copy)]
struct Unread {
    tokens: u64,
    /// Microseconds that reading them was expected to take.
    reading_us: u64,
    /// Whether no other prompt and no want of slots was known to hold it up.
    reads_at_once: bool,
}

/// An attempt that has not ended.
#[derive(Debug)]
struct Attempt {
    backend: Arc<Backend>,
    started: Millis,
    expected: Millis,
    tokens_in: u64,
    tokens: u64,
    unread: Unread,
    /// The shared parts of its prompt, for a placer.
    prefix: Option<SharedPrefix>,
    is_live: bool,
    /// Whether `started` is when it was sent, and not when this process heard of it.
    is_start_known: bool,
    began: bool,
}

impl UnderWay {
    /// A prompt was read, or will not be.
    fn finish_reading(&mut self, unread: Unread) {
        self.reading_us = self.reading_us.saturating_sub(unread.reading_us);
    }
}

impl Member {
    /// Gives back what an attempt took.
    fn release(&mut self, attempt: &Attempt) {
        let load = &mut self.under_way;
        load.attempts = load.attempts.saturating_sub(1);
        load.live = load.live.saturating_sub(u32::from(attempt.is_live));
        load.tokens = load.tokens.saturating_sub(attempt.tokens);
        load.finish_reading(attempt.unread);
    }
}

impl Attempt {
    fn record(&self, attempt: u64) -> AttemptRecord {
        AttemptRecord {
            attempt,
            started: self.started,
            expected: self.expected,
            began: self.began,
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
        let terms_of = |service: &str| {
            let configured = services
                .as_ref()
                .and_then(|services| services.get(service).copied());
            let gap_aim_ms = gap_aims
                .as_ref()
                .and_then(|aims| aims.get(service).copied());
            let terms = ServiceTerms::of(configured, gap_aim_ms, bounds);
            if is_placer {
                terms.without_cold_bound()
            } else {
                terms
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
        self.table.update(now, &tables, terms_of);
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
        let Some(under_way) = self.attempts.get(&attempt) else {
            return false;
        };
        let Some(member) = self.table.member(&under_way.backend.id) else {
            return false;
        };
        let recent = now - under_way.started <= COLD_CHOICE_VALID_MS;
        member.may_get_requests() && (recent || !member.is_cold(now))
    }

    /// Chooses a backend.
    ///
    /// # Errors
    /// Says why there is none.
    pub fn choose(&mut self, now: Millis, wanted: &SelectionRequest) -> Result<Choice, NoBackend> {
        self.senders.expire(now);
        let rng = &mut self.rng;
        let pool = self
            .table
            .pools
            .get_mut(wanted.service)
            .ok_or(NoBackend::NoneReady)?;
        let pick = choice::pick(
            now,
            pool,
            wanted,
            &self.senders,
            self.is_placer,
            &mut || rng.rand_float(),
        )?;
        self.book(now, wanted, pick).ok_or(NoBackend::NoneReady)
    }

    /// What [`Balancer::choose`] would weigh at this moment; `None` for a service that has no backend. Nothing is booked.
    pub fn explain(&mut self, now: Millis, wanted: &SelectionRequest) -> Option<Explanation> {
        self.senders.expire(now);
        let pool = self.table.pools.get_mut(wanted.service)?;
        Some(choice::explain(
            now,
            pool,
            wanted,
            &self.senders,
            self.is_placer,
        ))
    }

    /// Takes the backend that a placer chose, if this process may send to it now.
    pub fn choose_at(
        &mut self,
        now: Millis,
        wanted: &SelectionRequest,
        backend: &str,
    ) -> Option<Choice> {
        self.senders.expire(now);
        let pool = self.table.pools.get_mut(wanted.service)?;
        let pick = choice::pick_at(now, pool, wanted, &self.senders, backend)?;
        self.book(now, wanted, pick)
    }

    /// Notes that a sender has just chosen a backend for itself, whatever would have spoken against it here.
    pub fn record_choice(
        &mut self,
        now: Millis,
        wanted: &SelectionRequest,
        backend: &str,
    ) -> Option<Choice> {
        let pool = self.table.pools.get_mut(wanted.service)?;
        let pick = choice::pick_told(now, pool, wanted, backend, self.is_placer)?;
        self.book(now, wanted, pick)
    }

    /// Notes an attempt that a sender began at some time before. Its first event tells nothing of the time that it took.
    pub fn record_earlier_choice(
        &mut self,
        now: Millis,
        wanted: &SelectionRequest,
        backend: &str,
        has_begun: bool,
    ) -> Option<Choice> {
        let choice = self.record_choice(now, wanted, backend)?;
        let under_way = self.attempts.get_mut(&choice.attempt)?;
        under_way.is_start_known = false;
        if has_begun {
            self.began_before(choice.attempt);
        }
        Some(choice)
    }

    /// The first event of an attempt came at some time before it was heard of.
    fn began_before(&mut self, attempt: u64) {
        let Some(under_way) = self.attempts.get_mut(&attempt) else {
            return;
        };
        under_way.began = true;
        let unread = std::mem::take(&mut under_way.unread);
        let pool = self.table.pools.get_mut(&under_way.backend.service);
        let Some(member) = pool.and_then(|pool| pool.member_mut(&under_way.backend.id)) else {
            return;
        };
        member.under_way.finish_reading(unread);
        member.health.withdrawn(attempt);
    }

    /// The backends of a service that this process finds down: it may be cut off from them alone.
    pub fn unhealthy(&self, now: Millis, service: &str) -> Vec<String> {
        let members = self
            .table
            .pools
            .get(service)
            .map_or(&[][..], |pool| &pool.members);
        let is_out = |member: &&Member| matches!(member.health.standing(now), Standing::Out(_));
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
            .is_some_and(|pool| pool.terms.capacity_tokens.is_some())
    }

    fn book(
        &mut self,
        now: Millis,
        wanted: &SelectionRequest,
        pick: choice::Pick,
    ) -> Option<Choice> {
        let pool = self.table.pools.get_mut(wanted.service)?;
        let need = Need::of(wanted);
        let member = pool.members.get_mut(pick.place)?;
        self.last_attempt += 1;
        let attempt = self.last_attempt;
        let slots = member.slots(&pool.terms);
        member.under_way.attempts += 1;
        member.under_way.live += u32::from(!need.is_low_rank());
        member.under_way.tokens += need.tokens;
        let reads_at_once = member.under_way.reading_us == 0 && member.under_way.attempts <= slots;
        let prefill_ms = member
            .speed
            .reading(pool.reading.expected(pick.unread_tokens));
        let reading_us = (prefill_ms * 1000.0) as u64;
        member.under_way.reading_us += reading_us;
        member.health.started(now, attempt, pick.expected);
        if pool.terms.cold_bound.is_some() {
            member.starts.note(now);
        }
        let backend = member.backend.clone();
        let under_way = Attempt {
            backend: backend.clone(),
            started: now,
            expected: pick.expected,
            tokens_in: need.tokens_in,
            tokens: need.tokens,
            unread: Unread {
                tokens: pick.unread_tokens,
                reading_us,
                reads_at_once,
            },
            prefix: need.prefix.filter(|_| self.is_placer),
            is_live: !need.is_low_rank(),
            is_start_known: true,
            began: false,
        };
        self.attempts.insert(attempt, under_way);
        Some(Choice {
            attempt,
            backend,
            wait_ms: pick.wait_ms,
        })
    }

    /// Notes that the first event or the answer's head came.
    pub fn response_started(&mut self, now: Millis, attempt: u64) {
        let Some(under_way) = self.attempts.get_mut(&attempt) else {
            return;
        };
        if under_way.began {
            return;
        }
        let unread = std::mem::take(&mut under_way.unread);
        let record = under_way.record(attempt);
        under_way.began = true;
        let Some(pool) = self.table.pools.get_mut(&under_way.backend.service) else {
            return;
        };
        let took = under_way.is_start_known.then_some(now - under_way.started);
        let Pool {
            members,
            reading,
            sent,
            usual,
            ..
        } = pool;
        if let Some(took) = took {
            usual.learn(took, under_way.tokens_in);
        }
        let Some(member) = backends::find_mut(members, &under_way.backend.id) else {
            return;
        };
        match took {
            Some(took) if unread.reads_at_once => {
                reading.learn(unread.tokens, took, &mut member.speed);
            }
            _ => {}
        }
        if let Some(prefix) = under_way.prefix {
            sent.note(now, prefix, member.id_hash);
        }
        member.under_way.finish_reading(unread);
        member.health.began(now, record, took);
    }

    /// Forgets an attempt of which nobody tells any more: that says nothing of the backend.
    pub fn withdraw(&mut self, attempt: u64) {
        let Some(under_way) = self.attempts.remove(&attempt) else {
            return;
        };
        let pool = self.table.pools.get_mut(&under_way.backend.service);
        let Some(member) = pool.and_then(|pool| pool.member_mut(&under_way.backend.id)) else {
            return;
        };
        member.release(&under_way);
        member.health.withdrawn(attempt);
    }

    /// Notes how an attempt ended.
    pub fn ended(&mut self, now: Millis, attempt: u64, outcome: Outcome) {
        if outcome == Outcome::Served {
            self.response_started(now, attempt);
        }
        let Some(under_way) = self.attempts.remove(&attempt) else {
            return;
        };
        let id = &under_way.backend.id;
        if outcome == Outcome::OtherInstance {
            self.table.forget(id);
            return;
        }
        let draw = self.rng.rand_float();
        let pool = self.table.pools.get_mut(&under_way.backend.service);
        let Some(member) = pool.and_then(|pool| pool.member_mut(id)) else {
            return;
        };
        member.release(&under_way);
        member
            .health
            .ended(now, under_way.record(attempt), outcome, draw);
    }
}
