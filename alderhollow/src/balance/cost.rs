//! What a request would cost at one backend, in milliseconds of expected delay, or worth as much.

use super::backends::{Member, Pool, ServiceTerms};
use super::cold::SenderLists;
use super::need::Need;
use super::prefill::ReadingTimes;
use super::Millis;
use minicbor::{Decode, Encode};

/// Reading a shared part again is priced besides the time that it takes: as a part of that time.
const READ_AGAIN_PRICE: f64 = 1.0;
/// Sending to another zone: the bytes are priced.
pub(crate) const CROSS_ZONE_ENGINE_COST_MS: f64 = 60.0;
/// At plain services, in usual times.
const OTHER_ZONE_PLAIN: f64 = 0.25;
/// What one own attempt under way at an engine counts for, to a sender that does not know the others'.
const RUNNING_MS: f64 = 1.5;
/// What a failed answer costs, and the share of failures that is passed over.
const FAILURE_MS: f64 = 500.0;
const FEW_FAILURES: f64 = 0.1;
/// A backend that is slower than this, in expected times, is avoided.
const SLOW: f64 = 1.5;
/// An engine whose memory is full puts requests back.
const OUT_OF_MEMORY_MS: f64 = 1000.0;
/// Going beyond the own part of what a backend would bear if it turned cold.
const BURST_MS: f64 = 2000.0;
/// Part of the bound on cold backends that is shared out while they are warm, ...
const WARM_PART: f64 = 0.9;
/// ... the most of it that one sender takes, and what it takes beyond its even share.
const WARM_MOST: f64 = 1.0 / 3.0;
const WARM_FACTOR: f64 = 2.0;
const WARM_EXTRA: f64 = 3.0;
/// Reading for this part of the longest pause that is in time delays no event by more than that pause, ...
const UNNOTICED_READING_PART: f64 = 0.7;
/// ... and for this part more delays all of them by more.
const NOTICED_WITHIN_PART: f64 = 1.0;
/// What a stream that comes late costs.
const LATE_STREAM_MS: f64 = 400.0;
/// What each request costs that has to wait for a slot.
const QUEUED_MS: f64 = 80.0;

/// What all backends of a pool have in common at one moment.
#[derive(Debug, Clone, Copy)]
pub(super) struct PoolState {
    pub(super) now: Millis,
    pub(super) terms: ServiceTerms,
    pub(super) backends: usize,
    /// Senders besides this one.
    others: f64,
    /// Own attempts and their tokens under way at a backend, on average.
    mean_attempts: f64,
    mean_tokens: f64,
    /// Own starts within the window at one backend, beyond which others are preferred, and the most for lower ranks.
    soft_starts: f64,
    pub(super) most_starts: f64,
    pub(super) usual_ms: Millis,
    /// Whether all attempts at the backends are known here.
    pub(super) is_placer: bool,
    reading: ReadingTimes,
}

impl PoolState {
    /// The state of a pool that is asked for backends so many times a second.
    pub(super) fn of(
        now: Millis,
        pool: &Pool,
        senders: &SenderLists,
        per_second: f64,
    ) -> PoolState {
        let ready = pool
            .members
            .iter()
            .filter(|member| member.may_get_requests());
        let (mut backends, mut own_zone, mut attempts, mut tokens) = (0usize, 0usize, 0u64, 0u64);
        for member in ready {
            backends += 1;
            own_zone += usize::from(member.own_zone);
            attempts += u64::from(member.under_way.attempts);
            tokens = tokens.saturating_add(member.under_way.tokens);
        }
        let count = backends.max(1) as f64;
        let near = if own_zone > 0 { own_zone as f64 } else { count };
        let bound = pool.terms.cold_bound.unwrap_or(f64::INFINITY);
        let most_starts = (bound * WARM_MOST).max(1.0);
        let even = bound * WARM_PART / senders.count() as f64;
        let soft_starts = even
            .max(WARM_FACTOR * per_second / near + WARM_EXTRA)
            .min(most_starts);
        PoolState {
            now,
            terms: pool.terms,
            backends: pool.members.len(),
            others: (senders.count() - 1) as f64,
            mean_attempts: attempts as f64 / count,
            mean_tokens: tokens as f64 / count,
            soft_starts,
            most_starts,
            usual_ms: pool.usual.mean_ms(),
            is_placer: false,
            reading: pool.reading,
        }
    }

    /// The same for one who knows all attempts at the backends, if `is_placer`.
    pub(super) fn seen_by(self, is_placer: bool) -> PoolState {
        PoolState { is_placer, ..self }
    }

    fn is_engine(&self) -> bool {
        self.terms.capacity_tokens.is_some()
    }

    fn capacity_tokens(&self) -> f64 {
        self.terms
            .capacity_tokens
            .map_or(f64::INFINITY, |capacity| capacity as f64)
    }
}

/// The parts of a price. At plain services only `queue_ms`, `cross_zone_ms` and the last three are not 0.
#[derive(Debug, Clone, Copy, Default, PartialEq, Encode, Decode)]
pub struct Cost {
    /// What is known to be ahead of the request: prompts to be read, and slots to become free.
    #[n(0)]
    pub queue_ms: Millis,
    /// Reading its own prompt.
    #[n(1)]
    pub prefill_ms: Millis,
    /// The extra price of shared parts that are read again although another backend keeps them.
    #[n(2)]
    pub duplicate_prefill_ms: Millis,
    /// Own attempts under way, to a sender that does not know the others'.
    #[n(3)]
    pub in_flight_ms: Millis,
    /// The bytes to another zone.
    #[n(4)]
    pub cross_zone_ms: Millis,
    /// Too little memory.
    #[n(5)]
    pub memory_ms: Millis,
    /// Streams that come late because the prompt is read beside them.
    #[n(6)]
    pub interference_ms: Millis,
    /// Slower answers than expected.
    #[n(7)]
    pub slowness_ms: Millis,
    /// Failures of late.
    #[n(8)]
    pub failures_ms: Millis,
    /// More starts than the backend would bear if it turned cold.
    #[n(9)]
    pub burst_ms: Millis,
}

impl Cost {
    /// The price of a request at a backend that is expected to read this part of the shared prefix.
    pub(super) fn of(
        state: &PoolState,
        member: &mut Member,
        need: &Need,
        uncached_fraction: f64,
    ) -> Cost {
        let place = if state.is_engine() {
            engine_price(state, member, need, uncached_fraction)
        } else {
            plain_price(state, member)
        };
        let slowness = member.health.slowness(state.now);
        let failing = (member.health.failure_share(state.now) - FEW_FAILURES).max(0.0);
        Cost {
            slowness_ms: if slowness > SLOW {
                (slowness - 1.0) * state.usual_ms
            } else {
                0.0
            },
            failures_ms: failing * FAILURE_MS,
            burst_ms: burst_price(state, member),
            ..place
        }
    }

    /// All parts together.
    pub fn total(&self) -> Millis {
        self.components().iter().map(|(_, part_ms)| part_ms).sum()
    }

    /// All parts with their names.
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

/// Reading comes first: what is ahead of the prompt, and what of it is not kept there.
fn engine_price(state: &PoolState, member: &Member, need: &Need, uncached_fraction: f64) -> Cost {
    let unread_ms = state
        .reading
        .expected(need.unread_tokens(uncached_fraction));
    let again_ms = state
        .reading
        .expected((need.shared_tokens() * uncached_fraction) as u64);
    let held =
        member.under_way.tokens as f64 + state.others * state.mean_tokens + need.tokens as f64;
    Cost {
        queue_ms: wait_ahead(state, member),
        prefill_ms: member.speed.reading(unread_ms),
        duplicate_prefill_ms: again_ms * READ_AGAIN_PRICE,
        in_flight_ms: if state.is_placer {
            0.0
        } else {
            f64::from(member.under_way.attempts) * RUNNING_MS
        },
        cross_zone_ms: if member.own_zone {
            0.0
        } else {
            CROSS_ZONE_ENGINE_COST_MS
        },
        memory_ms: if held > state.capacity_tokens() {
            OUT_OF_MEMORY_MS
        } else {
            0.0
        },
        interference_ms: interference(state, member, need, uncached_fraction),
        ..Cost::default()
    }
}

/// The expected wait, with the other senders taken to have as much under way as this one has on average.
fn plain_price(state: &PoolState, member: &Member) -> Cost {
    let attempts = f64::from(member.under_way.attempts) + state.others * state.mean_attempts;
    let filled = (attempts + 1.0) / f64::from(member.slots(&state.terms));
    Cost {
        queue_ms: filled * state.usual_ms,
        cross_zone_ms: if member.own_zone {
            0.0
        } else {
            OTHER_ZONE_PLAIN * state.usual_ms
        },
        ..Cost::default()
    }
}

/// What reading the prompt costs the streams that run there: while an engine reads, their events come late. Only a placer
/// knows them all.
pub(super) fn interference(
    state: &PoolState,
    member: &Member,
    need: &Need,
    uncached_fraction: f64,
) -> Millis {
    if !state.is_placer {
        return 0.0;
    }
    let own_ms = member.speed.reading(
        state
            .reading
            .expected(need.unread_tokens(uncached_fraction)),
    );
    let prefill_ms = member.under_way.prefill_ms() + own_ms;
    let gap_aim_ms = state.terms.gap_aim_ms;
    let noticed_ms = prefill_ms - gap_aim_ms * UNNOTICED_READING_PART;
    let part_late = (noticed_ms / (gap_aim_ms * NOTICED_WITHIN_PART)).clamp(0.0, 1.0);
    f64::from(member.under_way.live) * part_late * LATE_STREAM_MS
}

/// What is known to be ahead of a request at an engine: prompts to be read, and slots to become free.
pub(super) fn wait_ahead(state: &PoolState, member: &Member) -> Millis {
    let queued = f64::from(member.under_way.attempts) + 1.0 - f64::from(member.slots(&state.terms));
    member.under_way.prefill_ms() + queued.max(0.0) * QUEUED_MS
}

fn burst_price(state: &PoolState, member: &mut Member) -> Millis {
    if state.terms.cold_bound.is_none() {
        return 0.0;
    }
    let beyond = member.starts.count(state.now) as f64 + 1.0 - state.soft_starts;
    if beyond > 0.0 {
        BURST_MS + beyond
    } else {
        0.0
    }
}
