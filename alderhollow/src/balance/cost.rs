//! The cost of a request at one backend, in milliseconds of expected delay or the equivalent.

use super::backends::{Member, Pool, ServiceParams};
use super::cold::SenderLists;
use super::prefill::PrefillTimes;
use super::requirements::Requirements;
use super::Millis;
use minicbor::{Decode, Encode};

/// Additional cost of a prefill that is cached at another backend, as a multiple of its time.
const DUPLICATE_PREFILL_FACTOR: f64 = 1.0;
/// Cost of the cross-zone traffic of a request to a model engine.
pub(crate) const CROSS_ZONE_ENGINE_COST_MS: f64 = 60.0;
/// Cost of the cross-zone traffic of a request to a plain service, as a multiple of the typical response time.
const CROSS_ZONE_PLAIN_FACTOR: f64 = 0.25;
/// Cost of each own attempt in flight at an engine, for a sender that does not know the attempts of others.
const IN_FLIGHT_ATTEMPT_MS: f64 = 1.5;
/// Cost of a failed response, and the failure share below which failures are ignored.
const FAILURE_COST_MS: f64 = 500.0;
const TOLERATED_FAILURE_SHARE: f64 = 0.1;
/// A backend slower than this multiple of its expected times is penalized.
const TOLERATED_SLOWNESS: f64 = 1.5;
/// An engine without free memory preempts requests.
const OUT_OF_MEMORY_COST_MS: f64 = 1000.0;
/// Cost of exceeding this sender's share of what the backend could handle if it turned cold.
const BURST_COST_MS: f64 = 2000.0;
/// Fraction of the cold limit that is divided among the senders while a backend is warm.
const WARM_SHARED_FRACTION: f64 = 0.9;
/// Maximum fraction of the cold limit for one sender, and the allowance above its expected rate.
const WARM_MAX_SENDER_FRACTION: f64 = 1.0 / 3.0;
const WARM_RATE_FACTOR: f64 = 2.0;
const WARM_EXTRA_STARTS: f64 = 3.0;
/// Prefill work up to this fraction of the longest acceptable pause does not delay any event beyond that pause.
const UNNOTICED_PREFILL_FRACTION: f64 = 0.7;
/// Prefill work that exceeds it by this fraction of the pause delays every stream beyond that pause.
const NOTICED_PREFILL_RANGE: f64 = 1.0;
/// Cost of one stream whose events are late.
const LATE_STREAM_COST_MS: f64 = 400.0;
/// Cost of each request that waits for a slot.
const QUEUED_REQUEST_COST_MS: f64 = 80.0;

/// The state of a pool that is shared by the cost calculations of all its backends.
#[derive(Debug, Clone, Copy)]
pub(super) struct PoolState {
    pub(super) now: Millis,
    pub(super) params: ServiceParams,
    pub(super) backends: usize,
    /// Number of senders other than this one.
    other_senders: f64,
    /// Mean number of own attempts in flight per backend, and of their tokens.
    mean_attempts: f64,
    mean_tokens: f64,
    /// Own starts within the window at one backend above which other backends are preferred, and the hard limit for
    /// lower priorities.
    preferred_max_starts: f64,
    pub(super) max_starts: f64,
    pub(super) typical_response_ms: Millis,
    /// Whether all attempts at the backends are known here.
    pub(super) is_placer: bool,
    prefill: PrefillTimes,
}

impl PoolState {
    /// The state of a pool at a rate of `request_rate` selections per second.
    pub(super) fn of(
        now: Millis,
        pool: &Pool,
        senders: &SenderLists,
        request_rate: f64,
    ) -> PoolState {
        let ready = pool
            .members
            .iter()
            .filter(|member| member.may_get_requests());
        let (mut backends, mut own_zone, mut attempts, mut tokens) = (0usize, 0usize, 0u64, 0u64);
        for member in ready {
            backends += 1;
            own_zone += usize::from(member.own_zone);
            attempts += u64::from(member.in_flight.attempts);
            tokens = tokens.saturating_add(member.in_flight.tokens);
        }
        let count = backends.max(1) as f64;
        let local_backends = if own_zone > 0 { own_zone as f64 } else { count };
        let bound = pool.params.cold_bound.unwrap_or(f64::INFINITY);
        let max_starts = (bound * WARM_MAX_SENDER_FRACTION).max(1.0);
        let even_share = bound * WARM_SHARED_FRACTION / senders.count() as f64;
        let preferred_max_starts = even_share
            .max(WARM_RATE_FACTOR * request_rate / local_backends + WARM_EXTRA_STARTS)
            .min(max_starts);
        PoolState {
            now,
            params: pool.params,
            backends: pool.members.len(),
            other_senders: (senders.count() - 1) as f64,
            mean_attempts: attempts as f64 / count,
            mean_tokens: tokens as f64 / count,
            preferred_max_starts,
            max_starts,
            typical_response_ms: pool.response_times.mean_ms(),
            is_placer: false,
            prefill: pool.prefill,
        }
    }

    /// Sets whether all attempts at the backends are known here.
    pub(super) fn with_placer_view(self, is_placer: bool) -> PoolState {
        PoolState { is_placer, ..self }
    }

    fn is_engine(&self) -> bool {
        self.params.capacity_tokens.is_some()
    }

    fn capacity_tokens(&self) -> f64 {
        self.params
            .capacity_tokens
            .map_or(f64::INFINITY, |capacity| capacity as f64)
    }
}

/// The components of a cost. For plain services, only `queue_ms`, `cross_zone_ms` and the last three can be nonzero.
#[derive(Debug, Clone, Copy, Default, PartialEq, Encode, Decode)]
pub struct Cost {
    /// Estimated queueing delay: pending prefills, and the wait for a free slot.
    #[n(0)]
    pub queue_ms: Millis,
    /// Prefill of the request's own prompt.
    #[n(1)]
    pub prefill_ms: Millis,
    /// Additional cost of prefilling shared parts that another backend has cached.
    #[n(2)]
    pub duplicate_prefill_ms: Millis,
    /// Own attempts in flight, for a sender that does not know the attempts of others.
    #[n(3)]
    pub in_flight_ms: Millis,
    /// Cross-zone traffic.
    #[n(4)]
    pub cross_zone_ms: Millis,
    /// Insufficient memory.
    #[n(5)]
    pub memory_ms: Millis,
    /// Delay of running streams by the prefill.
    #[n(6)]
    pub interference_ms: Millis,
    /// Responses slower than expected.
    #[n(7)]
    pub slowness_ms: Millis,
    /// Recent failures.
    #[n(8)]
    pub failures_ms: Millis,
    /// More starts than the backend could handle if it turned cold.
    #[n(9)]
    pub burst_ms: Millis,
}

impl Cost {
    /// The cost of a request at a backend where `uncached_fraction` of the shared prefix is expected to miss the
    /// cache.
    pub(super) fn of(
        state: &PoolState,
        member: &mut Member,
        requirements: &Requirements,
        uncached_fraction: f64,
    ) -> Cost {
        let base = if state.is_engine() {
            engine_cost(state, member, requirements, uncached_fraction)
        } else {
            plain_cost(state, member)
        };
        let slowness = member.health.slowness(state.now);
        let failing = (member.health.failure_share(state.now) - TOLERATED_FAILURE_SHARE).max(0.0);
        Cost {
            slowness_ms: if slowness > TOLERATED_SLOWNESS {
                (slowness - 1.0) * state.typical_response_ms
            } else {
                0.0
            },
            failures_ms: failing * FAILURE_COST_MS,
            burst_ms: burst_cost(state, member),
            ..base
        }
    }

    /// The sum of all components.
    pub fn total(&self) -> Millis {
        self.components().iter().map(|(_, part_ms)| part_ms).sum()
    }

    /// All components with their display names.
    pub fn components(&self) -> [(&'static str, Millis); 10] {
        [
            ("ahead", self.queue_ms),
            ("reading", self.prefill_ms),
            ("read again", self.duplicate_prefill_ms),
            ("running", self.in_flight_ms),
            ("other zone", self.cross_zone_ms),
            ("memory", self.memory_ms),
            ("disturbance", self.interference_ms),
            ("slowness", self.slowness_ms),
            ("failures", self.failures_ms),
            ("burst", self.burst_ms),
        ]
    }
}

/// The main components are the queueing delay and the prefill of the uncached tokens.
fn engine_cost(
    state: &PoolState,
    member: &Member,
    requirements: &Requirements,
    uncached_fraction: f64,
) -> Cost {
    let uncached_ms = state
        .prefill
        .expected(requirements.uncached_tokens(uncached_fraction));
    let duplicate_ms = state
        .prefill
        .expected((requirements.shared_tokens() * uncached_fraction) as u64);
    let memory_tokens = member.in_flight.tokens as f64
        + state.other_senders * state.mean_tokens
        + requirements.tokens as f64;
    Cost {
        queue_ms: queue_wait(state, member),
        prefill_ms: member.speed.prefill(uncached_ms),
        duplicate_prefill_ms: duplicate_ms * DUPLICATE_PREFILL_FACTOR,
        in_flight_ms: if state.is_placer {
            0.0
        } else {
            f64::from(member.in_flight.attempts) * IN_FLIGHT_ATTEMPT_MS
        },
        cross_zone_ms: if member.own_zone {
            0.0
        } else {
            CROSS_ZONE_ENGINE_COST_MS
        },
        memory_ms: if memory_tokens > state.capacity_tokens() {
            OUT_OF_MEMORY_COST_MS
        } else {
            0.0
        },
        interference_ms: interference(state, member, requirements, uncached_fraction),
        ..Cost::default()
    }
}

/// The expected wait. The other senders are assumed to have as many attempts in flight per backend as this one on
/// average.
fn plain_cost(state: &PoolState, member: &Member) -> Cost {
    let attempts = f64::from(member.in_flight.attempts) + state.other_senders * state.mean_attempts;
    let utilization = (attempts + 1.0) / f64::from(member.slots(&state.params));
    Cost {
        queue_ms: utilization * state.typical_response_ms,
        cross_zone_ms: if member.own_zone {
            0.0
        } else {
            CROSS_ZONE_PLAIN_FACTOR * state.typical_response_ms
        },
        ..Cost::default()
    }
}

/// The cost of delaying the streams that run at the backend: their events are late while the engine prefills. Only a
/// placer knows all of these streams.
pub(super) fn interference(
    state: &PoolState,
    member: &Member,
    requirements: &Requirements,
    uncached_fraction: f64,
) -> Millis {
    if !state.is_placer {
        return 0.0;
    }
    let own_prefill_ms = member.speed.prefill(
        state
            .prefill
            .expected(requirements.uncached_tokens(uncached_fraction)),
    );
    let prefill_ms = member.in_flight.prefill_ms() + own_prefill_ms;
    let gap_aim_ms = state.params.gap_aim_ms;
    let excess_ms = prefill_ms - gap_aim_ms * UNNOTICED_PREFILL_FRACTION;
    let late_share = (excess_ms / (gap_aim_ms * NOTICED_PREFILL_RANGE)).clamp(0.0, 1.0);
    f64::from(member.in_flight.interactive) * late_share * LATE_STREAM_COST_MS
}

/// Estimated queueing delay at an engine: pending prefills, and the wait for a free slot.
pub(super) fn queue_wait(state: &PoolState, member: &Member) -> Millis {
    let queued =
        f64::from(member.in_flight.attempts) + 1.0 - f64::from(member.slots(&state.params));
    member.in_flight.prefill_ms() + queued.max(0.0) * QUEUED_REQUEST_COST_MS
}

fn burst_cost(state: &PoolState, member: &mut Member) -> Millis {
    if state.params.cold_bound.is_none() {
        return 0.0;
    }
    let excess = member.starts.count(state.now) as f64 + 1.0 - state.preferred_max_starts;
    if excess > 0.0 {
        BURST_COST_MS + excess
    } else {
        0.0
    }
}
