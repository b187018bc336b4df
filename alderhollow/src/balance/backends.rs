//! The table of backends: what the newest list says of each, and what this process has under way at it.

use super::affinity::PrefixLocations;
use super::cold::{ColdBounds, SenderLists, StartLog};
use super::hash::hash_name;
use super::health::Health;
use super::prefill::{EngineSpeed, PrefillTimes};
use super::Millis;
use alderhollow_model::backend::{Backend, BackendState};
use alderhollow_model::config::Service;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// Beyond what the list says, a backend counts as cold for so long: the list is late, and clocks of requests differ.
const COLD_MARGIN_MS: Millis = 500.0;
/// Beyond `cold-start-s`, after a zone was taken back: the backend may have turned cold shortly before.
const EVACUATION_END_MARGIN_MS: Millis = 1000.0;
/// The longest pause that is in time where no route says one.
const DEFAULT_GAP_AIM_MS: Millis = 300.0;
/// Slots of a backend whose entry says none.
const MIN_SLOTS: u32 = 1;

/// What of a service's configuration matters to the choice.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct ServiceParams {
    pub(super) cold_start_ms: Millis,
    /// Requests that a cold backend may get within a second, from all senders; `None`: no bound.
    pub(super) cold_bound: Option<f64>,
    /// Tokens that running requests and cached parts share; `None`: not a model engine.
    pub(super) capacity_tokens: Option<u64>,
    engine_slots: Option<u32>,
    /// The longest pause between two events that is in time on every route to the service.
    pub(super) gap_aim_ms: Millis,
}

impl ServiceParams {
    /// The terms for one who starts nothing itself.
    pub(super) fn without_cold_bound(self) -> ServiceParams {
        ServiceParams {
            cold_bound: None,
            ..self
        }
    }

    /// The terms of a service; of one that is not configured, those of a plain service without bounds.
    pub(super) fn of(
        service: Option<&Service>,
        gap_aim_ms: Option<Millis>,
        bounds: ColdBounds,
    ) -> ServiceParams {
        let engine = service.and_then(|service| service.engine.as_ref());
        let cold_per_s = service.map_or(0.0, |service| service.cold_per_s);
        ServiceParams {
            cold_start_ms: service.map_or(0.0, |service| service.cold_start_s.max(0.0) * 1000.0),
            cold_bound: (cold_per_s > 0.0).then(|| bounds.per_second(cold_per_s)),
            capacity_tokens: engine.map(|engine| engine.kv_capacity_tokens.unwrap_or(u64::MAX)),
            engine_slots: engine.and_then(|engine| engine.slots),
            gap_aim_ms: gap_aim_ms.unwrap_or(DEFAULT_GAP_AIM_MS),
        }
    }
}

/// What this process has under way at one backend.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub(super) struct InFlight {
    /// Attempts.
    pub(super) attempts: u32,
    /// Those of them that somebody waits for: of a rank that is not low.
    pub(super) interactive: u32,
    /// Tokens of these, in and out.
    pub(super) tokens: u64,
    /// Microseconds that reading the prompts takes, of attempts that have not begun.
    pub(super) prefill_us: u64,
}

impl InFlight {
    /// How long the prompts of attempts that have not begun take to be read.
    pub(super) fn prefill_ms(&self) -> Millis {
        self.prefill_us as f64 / 1000.0
    }
}

/// One backend.
#[derive(Debug)]
pub(super) struct Member {
    pub(super) backend: Arc<Backend>,
    pub(super) id_hash: u64,
    pub(super) own_zone: bool,
    pub(super) evacuated: bool,
    pub(super) in_flight: InFlight,
    pub(super) health: Health,
    pub(super) starts: StartLog,
    pub(super) speed: EngineSpeed,
    cold_until: Millis,
    /// The allowance while cold, and the generation of senders' lists that it was counted by.
    allowance: Option<(u64, usize)>,
}

impl Member {
    fn new(backend: Arc<Backend>, own_zone: bool) -> Member {
        Member {
            id_hash: hash_name(&backend.id),
            backend,
            own_zone,
            evacuated: false,
            in_flight: InFlight::default(),
            health: Health::new(),
            starts: StartLog::default(),
            speed: EngineSpeed::default(),
            cold_until: f64::NEG_INFINITY,
            allowance: None,
        }
    }

    /// Whether the list and the evacuations allow requests.
    pub(super) fn may_get_requests(&self) -> bool {
        self.backend.state == BackendState::Ready && !self.evacuated
    }

    /// Requests that it works on at once.
    pub(super) fn slots(&self, params: &ServiceParams) -> u32 {
        let listed = if self.backend.slots > 0 {
            Some(self.backend.slots)
        } else {
            params.engine_slots
        };
        listed.unwrap_or(MIN_SLOTS).max(MIN_SLOTS)
    }

    /// Whether it is cold.
    pub(super) fn is_cold(&self, now: Millis) -> bool {
        now < self.cold_until
    }

    /// When it stops being cold.
    pub(super) fn cold_until(&self) -> Millis {
        self.cold_until
    }

    /// Starts that this process may make within the window while it is cold.
    pub(super) fn cold_allowance(
        &mut self,
        senders: &SenderLists,
        bound: f64,
        backends: usize,
    ) -> usize {
        let generation = senders.generation();
        if let Some((counted_by, allowance)) = self.allowance {
            if counted_by == generation {
                return allowance;
            }
        }
        let allowance = senders.allowance(self.id_hash, bound, backends);
        self.allowance = Some((generation, allowance));
        allowance
    }

    fn extend_cold_until(&mut self, until: Millis) {
        self.cold_until = self.cold_until.max(until);
    }
}

/// The backends of one service.
#[derive(Debug)]
pub(super) struct Pool {
    pub(super) params: ServiceParams,
    /// In the order of their ids.
    pub(super) members: Vec<Member>,
    pub(super) response_times: ResponseTimes,
    pub(super) prefill: PrefillTimes,
    pub(super) request_rate: RequestRate,
    pub(super) prefix_locations: PrefixLocations,
}

impl Pool {
    fn new(params: ServiceParams) -> Pool {
        Pool {
            params,
            members: Vec::new(),
            response_times: ResponseTimes::default(),
            prefill: PrefillTimes::default(),
            request_rate: RequestRate::default(),
            prefix_locations: PrefixLocations::default(),
        }
    }

    /// The member with an id.
    pub(super) fn member_mut(&mut self, id: &str) -> Option<&mut Member> {
        find_mut(&mut self.members, id)
    }

    /// The member with an id.
    pub(super) fn member(&self, id: &str) -> Option<&Member> {
        let index = self
            .members
            .binary_search_by(|member| member.backend.id.as_str().cmp(id))
            .ok()?;
        self.members.get(index)
    }
}

/// The member with an id, of members in the order of their ids.
pub(super) fn find_mut<'a>(members: &'a mut [Member], id: &str) -> Option<&'a mut Member> {
    let index = members
        .binary_search_by(|member| member.backend.id.as_str().cmp(id))
        .ok()?;
    members.get_mut(index)
}

/// Weight of a new answer in the usual times.
const RESPONSE_TIME_WEIGHT: f64 = 0.05;
/// What an answer is expected to take before any has come.
const INITIAL_RESPONSE_MS: Millis = 50.0;

/// Most that a request's size counts for, against the mean one.
const MAX_RELATIVE_SIZE: f64 = 8.0;

/// What the first sign of an answer usually takes at a service.
#[derive(Debug, Clone, Copy)]
pub(super) struct ResponseTimes {
    mean_ms: Millis,
    /// Mean prompt tokens; `None` before the first answer.
    mean_tokens: Option<f64>,
}

impl Default for ResponseTimes {
    fn default() -> ResponseTimes {
        ResponseTimes {
            mean_ms: INITIAL_RESPONSE_MS,
            mean_tokens: None,
        }
    }
}

impl ResponseTimes {
    /// Time to the first sign of a request with so many prompt tokens. Half of the usual time goes with the size.
    pub(super) fn expected(&self, tokens: u64) -> Millis {
        let size = match self.mean_tokens {
            Some(mean) if mean >= 1.0 => (tokens as f64 / mean).min(MAX_RELATIVE_SIZE),
            _ => 1.0,
        };
        self.mean_ms * (0.5 + 0.5 * size)
    }

    /// Mean time to the first sign.
    pub(super) fn mean_ms(&self) -> Millis {
        self.mean_ms
    }

    /// Takes in an answer.
    pub(super) fn learn(&mut self, elapsed: Millis, tokens: u64) {
        // One slow backend must not make itself the measure of the others.
        let bounded = elapsed.clamp(0.0, 4.0 * self.mean_ms.max(1.0));
        self.mean_ms += RESPONSE_TIME_WEIGHT * (bounded - self.mean_ms);
        let mean = self.mean_tokens.get_or_insert(tokens as f64);
        *mean += RESPONSE_TIME_WEIGHT * (tokens as f64 - *mean);
    }
}

/// Time over which the demand is averaged.
const REQUEST_RATE_DECAY_MS: Millis = 3000.0;

/// Requests a second for which this process asked for a backend, in the average of late.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct RequestRate {
    request_rate: f64,
    at: Millis,
}

impl RequestRate {
    /// Notes a request and returns the rate.
    pub(super) fn record(&mut self, now: Millis) -> f64 {
        self.request_rate = self.request_rate(now) + 1000.0 / REQUEST_RATE_DECAY_MS;
        self.at = now;
        self.request_rate
    }

    /// The rate at a moment.
    pub(super) fn request_rate(&self, now: Millis) -> f64 {
        let decay = (-(now - self.at).max(0.0) / REQUEST_RATE_DECAY_MS).exp();
        self.request_rate * decay
    }
}

/// All pools.
#[derive(Debug, Default)]
pub(super) struct BackendTable {
    pub(super) pools: BTreeMap<String, Pool>,
    service_of: BTreeMap<String, String>,
    evacuated: BTreeSet<String>,
    /// Instances of which a 421 told that they are gone.
    removed: BTreeSet<String>,
    has_list: bool,
}

/// What an update brings, besides the terms of the services.
pub(super) struct NewTables<'a> {
    pub(super) backends: &'a [Backend],
    /// When this process got the list.
    pub(super) listed_at: Millis,
    pub(super) evacuated: &'a BTreeSet<String>,
    pub(super) own_zone: &'a str,
}

impl BackendTable {
    /// The pool member with an id.
    pub(super) fn member(&self, id: &str) -> Option<&Member> {
        self.pools.get(self.service_of.get(id)?)?.member(id)
    }

    /// Whether requests may go to an instance.
    pub(super) fn may_send(&self, id: &str) -> bool {
        self.member(id).is_some_and(Member::may_get_requests)
    }

    /// Takes an instance out for the rest of this incarnation.
    pub(super) fn remove_instance(&mut self, id: &str) {
        self.removed.insert(id.to_string());
        let Some(service) = self.service_of.remove(id) else {
            return;
        };
        if let Some(pool) = self.pools.get_mut(&service) {
            pool.members.retain(|member| member.backend.id != id);
        }
    }

    /// Takes in newer tables.
    pub(super) fn update(
        &mut self,
        now: Millis,
        tables: &NewTables,
        params_of: impl Fn(&str) -> ServiceParams,
    ) {
        let mut known = self.take_members();
        for backend in tables.backends {
            if self.removed.contains(&backend.id) {
                continue;
            }
            let params = params_of(&backend.service);
            let member = match known.remove(&backend.id) {
                Some(member) if member.backend.service == backend.service => member,
                _ => self.new_member(now, backend, tables.own_zone, &params),
            };
            self.insert_member(now, member, backend, tables, params);
        }
        for pool in self.pools.values_mut() {
            pool.members
                .sort_by(|one, other| one.backend.id.cmp(&other.backend.id));
        }
        self.evacuated = tables.evacuated.clone();
        self.has_list |= !tables.backends.is_empty();
    }

    fn take_members(&mut self) -> BTreeMap<String, Member> {
        self.service_of.clear();
        let members = self
            .pools
            .values_mut()
            .flat_map(|pool| pool.members.drain(..));
        members
            .map(|member| (member.backend.id.clone(), member))
            .collect()
    }

    /// A backend that an earlier list did not have has started during traffic, and is cold.
    fn new_member(
        &self,
        now: Millis,
        backend: &Backend,
        own_zone: &str,
        params: &ServiceParams,
    ) -> Member {
        let mut member = Member::new(Arc::new(backend.clone()), backend.zone == own_zone);
        if self.has_list {
            member.extend_cold_until(now + params.cold_start_ms);
        }
        member
    }

    fn insert_member(
        &mut self,
        now: Millis,
        mut member: Member,
        listed: &Backend,
        tables: &NewTables,
        params: ServiceParams,
    ) {
        if *member.backend != *listed {
            member.backend = Arc::new(listed.clone());
        }
        if listed.cold_remaining_ms > 0 {
            let remaining = listed.cold_remaining_ms as f64;
            member.extend_cold_until(tables.listed_at + remaining + COLD_MARGIN_MS);
        }
        member.evacuated = tables.evacuated.contains(&listed.zone);
        if self.evacuated.contains(&listed.zone) && !member.evacuated {
            member.extend_cold_until(now + params.cold_start_ms + EVACUATION_END_MARGIN_MS);
        }
        member.allowance = None;
        self.service_of
            .insert(listed.id.clone(), listed.service.clone());
        let pool = self
            .pools
            .entry(listed.service.clone())
            .or_insert_with(|| Pool::new(params));
        pool.params = params;
        pool.members.push(member);
    }
}
