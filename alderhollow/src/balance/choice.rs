//! Selection among the backends of one service: filters the eligible backends and selects the cheapest.

use super::affinity::{PrefixReuse, RendezvousOrder};
use super::backends::{Member, Pool};
use super::cold::SenderLists;
use super::cost::{self, Cost, PoolState};
use super::explanation::{Candidate, Explanation, Verdict};
use super::health::HealthState;
use super::requirements::Requirements;
use super::weights::WeightsMatch;
use super::{ExpectedWeights, Millis, NoBackend, SelectionRequest};

/// Random component of the cost, in milliseconds, which spreads load across equal backends.
const TIE_BREAK_NOISE_MS: f64 = 0.5;
/// A placer admits up to this multiple of a backend's slots for requests that are not low priority.
const PLACER_QUEUE_FACTOR: f64 = 2.0;
/// Bounds of the retry hint.
const MIN_RETRY_AFTER_MS: f64 = 20.0;
const MAX_RETRY_AFTER_MS: f64 = 1000.0;

/// Whether a backend may take a request now.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Admission {
    Open,
    /// Unhealthy until the given time; usable only as a last resort.
    Unhealthy(Millis),
    /// At capacity until the given time.
    Full(Millis),
    /// Another instance has answered at its address. Not to be tried before the given time.
    OtherInstance(Millis),
}

/// A selected backend.
#[derive(Debug, Clone, Copy)]
pub(super) struct Pick {
    /// Its index in the pool.
    pub(super) index: usize,
    /// Expected time to the first event.
    pub(super) expected: Millis,
    /// Number of prompt tokens that are expected to miss the prefix cache.
    pub(super) uncached_tokens: u64,
    /// Estimated queueing delay at the backend, plus the cost of delaying the streams that run there.
    pub(super) wait_ms: Millis,
}

/// Selects a backend of a pool. `random` returns numbers from 0 to 1.
pub(super) fn pick(
    now: Millis,
    pool: &mut Pool,
    request: &SelectionRequest,
    senders: &SenderLists,
    is_placer: bool,
    random: &mut dyn FnMut() -> f64,
) -> Result<Pick, NoBackend> {
    let requirements = Requirements::of(request);
    let request_rate = pool.request_rate.record(now);
    let state = PoolState::of(now, pool, senders, request_rate).with_placer_view(is_placer);
    let expected = pool.response_times.expected(requirements.tokens_in);
    let rendezvous_order = rendezvous_order(pool, &requirements);
    let Pool {
        members,
        prefix_locations,
        ..
    } = pool;
    let reuse = PrefixReuse {
        now,
        prefix: requirements.prefix,
        rendezvous_order,
        prefix_locations,
        is_placer,
    };
    let mut best: Option<(f64, usize)> = None;
    let mut last_resort: Option<(Millis, usize)> = None;
    let mut earliest_room: Option<Millis> = None;
    let mut earliest_weights: Option<Millis> = None;
    let mut earliest_instance: Option<Millis> = None;
    let weights = WeightsFilter::new(now, members, request);
    for (index, member) in members.iter_mut().enumerate() {
        if !member.may_get_requests() || request.tried.contains(&member.backend.id) {
            continue;
        }
        if let WeightsVerdict::Excluded(until) = weights.verdict(now, member) {
            earliest_weights = earliest(earliest_weights, until);
            continue;
        }
        match admission(&state, member, &requirements, senders) {
            Admission::Open => {
                let uncached_fraction = reuse.uncached_fraction(index, member.id_hash);
                let cost = Cost::of(&state, member, &requirements, uncached_fraction).total()
                    + TIE_BREAK_NOISE_MS * random();
                if best.is_none_or(|(least, _)| cost < least) {
                    best = Some((cost, index));
                }
            }
            Admission::Unhealthy(until) => {
                if last_resort.is_none_or(|(soonest, _)| until < soonest) {
                    last_resort = Some((until, index));
                }
            }
            Admission::Full(until) => earliest_room = earliest(earliest_room, until),
            Admission::OtherInstance(until) => {
                earliest_instance = earliest(earliest_instance, until);
            }
        }
    }
    let index = match (best, earliest_room, last_resort) {
        (Some((_, index)), _, _) => index,
        (None, Some(until), _) => {
            let retry_after_ms = retry_after_ms(now, until);
            return Err(NoBackend::AllFull { retry_after_ms });
        }
        (None, None, Some((_, index))) => index,
        (None, None, None) => return Err(none_admitted(now, earliest_weights, earliest_instance)),
    };
    let wait_ms = members.get(index).map_or(0.0, |member| {
        let uncached_fraction = reuse.uncached_fraction(index, member.id_hash);
        cost::queue_wait(&state, member)
            + cost::interference(&state, member, &requirements, uncached_fraction)
    });
    let uncached_tokens =
        record_prefix(now, pool, rendezvous_order, &requirements, index, is_placer);
    Ok(Pick {
        index,
        expected,
        uncached_tokens,
        wait_ms,
    })
}

/// Ids of the backends of a pool that a request must not be sent to because of the version that it expects.
pub(super) fn excluded_by_weights(
    now: Millis,
    pool: &Pool,
    request: &SelectionRequest,
) -> Vec<String> {
    let weights = WeightsFilter::new(now, &pool.members, request);
    let is_excluded = |member: &&Member| weights.verdict(now, member) != WeightsVerdict::Admitted;
    let excluded = pool.members.iter().filter(is_excluded);
    excluded.map(|member| member.backend.id.clone()).collect()
}

/// Which backends may run a request, according to the version of the weights that it expects.
#[derive(Debug, Clone, Copy)]
struct WeightsFilter {
    expected: Option<ExpectedWeights>,
    /// Whether a backend that may be selected has shown the version: then only such backends are.
    any_matching: bool,
}

/// Whether a backend may run a request, according to its weights.
#[derive(Debug, Clone, Copy, PartialEq)]
enum WeightsVerdict {
    Admitted,
    /// Not to be tried before this time.
    Excluded(Millis),
}

impl WeightsFilter {
    fn new(now: Millis, members: &[Member], request: &SelectionRequest) -> WeightsFilter {
        let expected = request.expected_weights;
        let any_matching = expected.is_some_and(|expected| {
            let mut untried = members
                .iter()
                .filter(|member| !request.tried.contains(&member.backend.id));
            untried.any(|member| member.may_run_with(now, expected))
        });
        WeightsFilter {
            expected,
            any_matching,
        }
    }

    fn verdict(self, now: Millis, member: &Member) -> WeightsVerdict {
        let Some(expected) = self.expected else {
            return WeightsVerdict::Admitted;
        };
        match member.weights.match_of(now, expected) {
            WeightsMatch::Other(until) => WeightsVerdict::Excluded(until),
            WeightsMatch::Unknown | WeightsMatch::HalfOpen if self.any_matching => {
                WeightsVerdict::Excluded(now)
            }
            WeightsMatch::Matching | WeightsMatch::Unknown | WeightsMatch::HalfOpen => {
                WeightsVerdict::Admitted
            }
        }
    }
}

/// The reason why no backend can be selected where none is at capacity.
fn none_admitted(
    now: Millis,
    earliest_weights: Option<Millis>,
    earliest_instance: Option<Millis>,
) -> NoBackend {
    if let Some(until) = earliest_weights {
        return NoBackend::OtherWeights {
            retry_after_ms: retry_after_ms(now, until),
        };
    }
    earliest_instance.map_or(NoBackend::NoneReady, |until| NoBackend::AllFull {
        retry_after_ms: retry_after_ms(now, until),
    })
}

fn retry_after_ms(now: Millis, until: Millis) -> Millis {
    (until - now).clamp(MIN_RETRY_AFTER_MS, MAX_RETRY_AFTER_MS)
}

fn earliest(known: Option<Millis>, until: Millis) -> Option<Millis> {
    Some(known.map_or(until, |soonest| soonest.min(until)))
}

/// Explains what [`pick`] would select now, without changing any state.
pub(super) fn explain(
    now: Millis,
    pool: &mut Pool,
    request: &SelectionRequest,
    senders: &SenderLists,
    is_placer: bool,
) -> Explanation {
    let requirements = Requirements::of(request);
    let request_rate = pool.request_rate.request_rate(now);
    let state = PoolState::of(now, pool, senders, request_rate).with_placer_view(is_placer);
    let rendezvous_order = rendezvous_order(pool, &requirements);
    let Pool {
        members,
        prefix_locations,
        ..
    } = pool;
    let reuse = PrefixReuse {
        now,
        prefix: requirements.prefix,
        rendezvous_order,
        prefix_locations,
        is_placer,
    };
    let candidates = members.iter_mut().enumerate().map(|(index, member)| {
        let uncached_fraction = reuse.uncached_fraction(index, member.id_hash);
        let verdict = match admission(&state, member, &requirements, senders) {
            _ if !member.may_get_requests() => Verdict::Withdrawn,
            Admission::Open => Verdict::Open,
            Admission::Unhealthy(until) | Admission::OtherInstance(until) => Verdict::Unhealthy {
                for_ms: (until - now).max(0.0),
            },
            Admission::Full(until) => Verdict::Full {
                for_ms: (until - now).max(0.0),
            },
        };
        Candidate {
            backend: member.backend.id.clone(),
            zone: member.backend.zone.clone(),
            attempts: member.in_flight.attempts,
            uncached_fraction,
            verdict,
            cost: Cost::of(&state, member, &requirements, uncached_fraction),
        }
    });
    Explanation::new(request.service, candidates.collect())
}

/// Selects the backend that a placer offered. Only the local constraints are checked: backend state, evacuations, and
/// this process's rate limit at a cold backend.
pub(super) fn pick_offered(
    now: Millis,
    pool: &mut Pool,
    request: &SelectionRequest,
    senders: &SenderLists,
    backend: &str,
) -> Option<Pick> {
    let requirements = Requirements::of(request);
    let request_rate = pool.request_rate.record(now);
    let state = PoolState::of(now, pool, senders, request_rate);
    let index = pool
        .members
        .iter()
        .position(|member| member.backend.id == backend)?;
    let member = pool.members.get_mut(index)?;
    let weights = WeightsFilter {
        expected: request.expected_weights,
        any_matching: false,
    };
    if !member.may_get_requests()
        || start_limited_until(&state, member, &requirements, senders).is_some()
        || weights.verdict(now, member) != WeightsVerdict::Admitted
        || matches!(member.health.state(now), HealthState::OtherInstance(_))
    {
        return None;
    }
    pick_assigned(now, pool, request, backend, false)
}

/// Selects a backend that another process chose, without any checks.
pub(super) fn pick_assigned(
    now: Millis,
    pool: &mut Pool,
    request: &SelectionRequest,
    backend: &str,
    is_placer: bool,
) -> Option<Pick> {
    let requirements = Requirements::of(request);
    let index = pool
        .members
        .iter()
        .position(|member| member.backend.id == backend)?;
    let expected = pool.response_times.expected(requirements.tokens_in);
    let rendezvous_order = rendezvous_order(pool, &requirements);
    let uncached_tokens =
        record_prefix(now, pool, rendezvous_order, &requirements, index, is_placer);
    Some(Pick {
        index,
        expected,
        uncached_tokens,
        wait_ms: 0.0,
    })
}

/// Returns the number of prompt tokens expected to miss the prefix cache there. A sender records the location of the
/// prefix now. A placer does so after the prefill, because its offer may be declined.
fn record_prefix(
    now: Millis,
    pool: &mut Pool,
    rendezvous_order: RendezvousOrder,
    requirements: &Requirements,
    index: usize,
    is_placer: bool,
) -> u64 {
    let id_hash = pool.members.get(index).map_or(0, |member| member.id_hash);
    let reuse = PrefixReuse {
        now,
        prefix: requirements.prefix,
        rendezvous_order,
        prefix_locations: &pool.prefix_locations,
        is_placer,
    };
    let uncached_fraction = reuse.uncached_fraction(index, id_hash);
    if let (Some(prefix), true) = (requirements.prefix, uncached_fraction > 0.0 && !is_placer) {
        pool.prefix_locations.record(now, prefix, id_hash);
    }
    requirements.uncached_tokens(uncached_fraction)
}

fn rendezvous_order(pool: &Pool, requirements: &Requirements) -> RendezvousOrder {
    let mut rendezvous_order = RendezvousOrder::default();
    let Some(prefix) = requirements.prefix else {
        return rendezvous_order;
    };
    for (index, member) in pool.members.iter().enumerate() {
        if member.may_get_requests() {
            rendezvous_order.insert(index, member.id_hash, prefix, member.own_zone);
        }
    }
    rendezvous_order
}

fn admission(
    state: &PoolState,
    member: &mut Member,
    requirements: &Requirements,
    senders: &SenderLists,
) -> Admission {
    if let Some(until) = start_limited_until(state, member, requirements, senders) {
        return Admission::Full(until);
    }
    match member.health.state(state.now) {
        HealthState::Ejected(until) => return Admission::Unhealthy(until),
        HealthState::OtherInstance(until) => return Admission::OtherInstance(until),
        HealthState::Healthy | HealthState::HalfOpen => {}
    }
    let full_until = member.health.full_until(requirements.is_low_priority());
    if state.now < full_until {
        return Admission::Full(full_until);
    }
    if is_at_capacity(state, member, requirements) {
        return Admission::Full(state.now + state.typical_response_ms);
    }
    Admission::Open
}

/// When a backend may get another request, if this process has reached its limit of recent starts there.
fn start_limited_until(
    state: &PoolState,
    member: &mut Member,
    requirements: &Requirements,
    senders: &SenderLists,
) -> Option<Millis> {
    let bound = state.params.cold_bound?;
    let starts = member.starts.count(state.now);
    let cold = member.is_cold(state.now);
    let max_starts = if cold {
        member.cold_allowance(senders, bound, state.backends)
    } else if requirements.priority > 0 {
        state.max_starts as usize
    } else {
        return None;
    };
    if starts < max_starts {
        return None;
    }
    let next = member
        .starts
        .next_expiry()
        .unwrap_or(state.now + MAX_RETRY_AFTER_MS);
    Some(if cold {
        next.min(member.cold_until())
    } else {
        next
    })
}

/// Whether the attempts known to this process alone exhaust the capacity for requests of this priority.
fn is_at_capacity(state: &PoolState, member: &Member, requirements: &Requirements) -> bool {
    let in_flight = member.in_flight;
    if in_flight.attempts == 0 {
        return false;
    }
    let mut slots = (f64::from(member.slots(&state.params)) * requirements.fill_limit()).max(1.0);
    if state.is_placer && !requirements.is_low_priority() {
        // A placer knows the whole load of its zone, so it may queue requests if no backend has a free slot.
        slots *= PLACER_QUEUE_FACTOR;
    }
    if f64::from(in_flight.attempts) + 1.0 > slots {
        return true;
    }
    let capacity = state
        .params
        .capacity_tokens
        .map_or(f64::INFINITY, |capacity| capacity as f64);
    in_flight.tokens.saturating_add(requirements.tokens) as f64
        > capacity * requirements.fill_limit()
}
