//! The table of backends: the newest listed state of each, and the in-flight load of this process.

use super::affinity::PrefixLocations;
use super::cold::{ColdBounds, SenderLists, StartLog};
use super::hash::hash_name;
use super::health::{Health, HealthState};
use super::prefill::{EngineSpeed, PrefillTimes};
use super::weights::{BackendWeights, ExpectedWeights, WeightsMatch};
use super::Millis;
use alderhollow_model::backend::{Backend, BackendState};
use alderhollow_model::config::Service;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// A backend counts as cold for this long beyond the listed time, because the list is delayed and clocks differ.
const COLD_MARGIN_MS: Millis = 500.0;
/// Added to `cold-start-s` after the evacuation of a zone ends, because a backend may have turned cold shortly before.
const EVACUATION_END_MARGIN_MS: Millis = 1000.0;
/// The longest acceptable pause between events if no route sets one.
const DEFAULT_GAP_AIM_MS: Millis = 300.0;
/// Slots of a backend whose entry sets none.
const MIN_SLOTS: u32 = 1;

/// The settings of a service that affect the selection.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct ServiceParams {
    pub(super) cold_start_ms: Millis,
    /// Maximum number of requests per second to a cold backend, from all senders; `None`: unlimited.
    pub(super) cold_bound: Option<f64>,
    /// Capacity in tokens, shared by running requests and cached prefixes; `None`: not a model engine.
    pub(super) capacity_tokens: Option<u64>,
    engine_slots: Option<u32>,
    /// The longest pause between two events that is acceptable on every route to the service.
    pub(super) gap_aim_ms: Millis,
}

impl ServiceParams {
    /// The parameters for a placer, which sends no requests itself.
    pub(super) fn without_cold_bound(self) -> ServiceParams {
        ServiceParams {
            cold_bound: None,
            ..self
        }
    }

    /// The parameters of a service. A service without configuration is a plain service without limits.
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

/// The load that this process has in flight at one backend.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub(super) struct InFlight {
    /// Number of attempts.
    pub(super) attempts: u32,
    /// Number of attempts that are not low priority: a client waits for them.
    pub(super) interactive: u32,
    /// Input and output tokens of these attempts.
    pub(super) tokens: u64,
    /// Total expected prefill time of attempts without a first event, in microseconds.
    pub(super) prefill_us: u64,
}

impl InFlight {
    /// Total expected prefill time of attempts without a first event.
    pub(super) fn prefill_ms(&self) -> Millis {
        self.prefill_us as f64 / 1000.0
    }
}

/// A backend in a pool.
#[derive(Debug)]
pub(super) struct Member {
    pub(super) backend: Arc<Backend>,
    pub(super) id_hash: u64,
    pub(super) own_zone: bool,
    can_be_named: bool,
    pub(super) evacuated: bool,
    pub(super) in_flight: InFlight,
    pub(super) health: Health,
    pub(super) weights: BackendWeights,
    pub(super) starts: StartLog,
    pub(super) speed: EngineSpeed,
    cold_until: Millis,
    /// The generation of the sender lists, and the rate limit while cold that was computed from it.
    allowance: Option<(u64, usize)>,
}

impl Member {
    fn new(backend: Arc<Backend>, own_zone: bool) -> Member {
        Member {
            id_hash: hash_name(&backend.id),
            can_be_named: backend.can_be_named(),
            backend,
            own_zone,
            evacuated: false,
            in_flight: InFlight::default(),
            health: Health::new(),
            weights: BackendWeights::default(),
            starts: StartLog::default(),
            speed: EngineSpeed::default(),
            cold_until: f64::NEG_INFINITY,
            allowance: None,
        }
    }

    /// Whether the backend is ready, can be named, and is not in an evacuated zone.
    pub(super) fn may_get_requests(&self) -> bool {
        self.backend.state == BackendState::Ready && self.can_be_named && !self.evacuated
    }

    /// Whether it is known to have the expected weights, and may be selected for them.
    pub(super) fn may_run_with(&self, now: Millis, expected: ExpectedWeights) -> bool {
        self.may_get_requests()
            && self.weights.match_of(now, expected) == WeightsMatch::Matching
            && matches!(
                self.health.state(now),
                HealthState::Healthy | HealthState::HalfOpen
            )
    }

    /// Number of requests that it processes concurrently.
    pub(super) fn slots(&self, params: &ServiceParams) -> u32 {
        let listed = if self.backend.slots > 0 {
            Some(self.backend.slots)
        } else {
            params.engine_slots
        };
        listed.unwrap_or(MIN_SLOTS).max(MIN_SLOTS)
    }

    pub(super) fn is_cold(&self, now: Millis) -> bool {
        now < self.cold_until
    }

    pub(super) fn cold_until(&self) -> Millis {
        self.cold_until
    }

    /// Number of requests that this process may start within the window while the backend is cold.
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
    /// Sorted by backend id.
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

    /// Finds a member by backend id.
    pub(super) fn member_mut(&mut self, id: &str) -> Option<&mut Member> {
        find_mut(&mut self.members, id)
    }

    /// Finds a member by backend id.
    pub(super) fn member(&self, id: &str) -> Option<&Member> {
        let index = self
            .members
            .binary_search_by(|member| member.backend.id.as_str().cmp(id))
            .ok()?;
        self.members.get(index)
    }
}

/// Finds a member by backend id in a slice sorted by id.
pub(super) fn find_mut<'a>(members: &'a mut [Member], id: &str) -> Option<&'a mut Member> {
    let index = members
        .binary_search_by(|member| member.backend.id.as_str().cmp(id))
        .ok()?;
    members.get_mut(index)
}

/// Weight of a new sample in the moving averages.
const RESPONSE_TIME_WEIGHT: f64 = 0.05;
/// Expected response time before the first sample.
const INITIAL_RESPONSE_MS: Millis = 50.0;

/// Maximum ratio of a request's size to the mean size.
const MAX_RELATIVE_SIZE: f64 = 8.0;

/// Moving average of the time to the first event of a service's responses.
#[derive(Debug, Clone, Copy)]
pub(super) struct ResponseTimes {
    mean_ms: Millis,
    /// Mean number of prompt tokens; `None` before the first sample.
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
    /// Expected time to the first event for a prompt of `tokens` tokens. Half of the mean time scales with the size.
    pub(super) fn expected(&self, tokens: u64) -> Millis {
        let size = match self.mean_tokens {
            Some(mean) if mean >= 1.0 => (tokens as f64 / mean).min(MAX_RELATIVE_SIZE),
            _ => 1.0,
        };
        self.mean_ms * (0.5 + 0.5 * size)
    }

    /// Mean time to the first event.
    pub(super) fn mean_ms(&self) -> Millis {
        self.mean_ms
    }

    /// Adds a sample.
    pub(super) fn learn(&mut self, elapsed: Millis, tokens: u64) {
        // Limits outliers, so that one slow backend does not set the expectation for the others.
        let bounded = elapsed.clamp(0.0, 4.0 * self.mean_ms.max(1.0));
        self.mean_ms += RESPONSE_TIME_WEIGHT * (bounded - self.mean_ms);
        let mean = self.mean_tokens.get_or_insert(tokens as f64);
        *mean += RESPONSE_TIME_WEIGHT * (tokens as f64 - *mean);
    }
}

/// Time constant of the request rate's exponential decay.
const REQUEST_RATE_DECAY_MS: Millis = 3000.0;

/// Moving average of the selections per second in this process.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct RequestRate {
    request_rate: f64,
    at: Millis,
}

impl RequestRate {
    /// Records a request and returns the updated rate.
    pub(super) fn record(&mut self, now: Millis) -> f64 {
        self.request_rate = self.request_rate(now) + 1000.0 / REQUEST_RATE_DECAY_MS;
        self.at = now;
        self.request_rate
    }

    /// The rate at `now`.
    pub(super) fn request_rate(&self, now: Millis) -> f64 {
        let decay = (-(now - self.at).max(0.0) / REQUEST_RATE_DECAY_MS).exp();
        self.request_rate * decay
    }
}

/// The pools of all services.
#[derive(Debug, Default)]
pub(super) struct BackendTable {
    pub(super) pools: BTreeMap<String, Pool>,
    service_of: BTreeMap<String, String>,
    evacuated: BTreeSet<String>,
    has_list: bool,
}

/// The tables of an update, without the parameters of the services.
pub(super) struct NewTables<'a> {
    pub(super) backends: &'a [Backend],
    /// When this process received the list.
    pub(super) listed_at: Millis,
    pub(super) evacuated: &'a BTreeSet<String>,
    pub(super) own_zone: &'a str,
}

impl BackendTable {
    /// Finds a pool member by backend id.
    pub(super) fn member(&self, id: &str) -> Option<&Member> {
        self.pools.get(self.service_of.get(id)?)?.member(id)
    }

    /// Whether an instance accepts requests.
    pub(super) fn may_send(&self, id: &str) -> bool {
        self.member(id).is_some_and(Member::may_get_requests)
    }

    /// Finds a pool member by backend id.
    pub(super) fn member_mut(&mut self, id: &str) -> Option<&mut Member> {
        self.pools.get_mut(self.service_of.get(id)?)?.member_mut(id)
    }

    /// Applies newer tables.
    pub(super) fn update(
        &mut self,
        now: Millis,
        tables: &NewTables,
        params_of: impl Fn(&str) -> ServiceParams,
    ) {
        let mut known = self.take_members();
        for backend in tables.backends {
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

    /// Creates a member. A backend that was not in an earlier list has just started, and counts as cold.
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
