//! The choice among the backends of one service: which of them may take a request now, and which of these is the cheapest.

use super::affinity::{Preferred, Reuse};
use super::backends::{Member, Pool};
use super::cold::SenderLists;
use super::cost::{self, Cost, PoolState};
use super::explanation::{Candidate, Explanation, Verdict};
use super::health::Standing;
use super::need::Need;
use super::{Millis, NoBackend, SelectionRequest};

/// Random part of a cost, in milliseconds, so that equal backends share.
const NOISE_MS: f64 = 0.5;
/// A placer lets so many times the slots be taken by those of the higher ranks.
const QUEUE_FACTOR: f64 = 2.0;
/// Bounds on the hint when to come back.
const LEAST_HINT_MS: f64 = 20.0;
const MOST_HINT_MS: f64 = 1000.0;

/// Whether a backend may take a request now.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Admission {
    Open,
    /// Its health speaks against it until then, though it may serve as a last resort.
    Unhealthy(Millis),
    /// It has no room until then.
    Full(Millis),
}

/// A backend that was picked.
#[derive(Debug, Clone, Copy)]
pub(super) struct Pick {
    /// Its place in the pool.
    pub(super) place: usize,
    /// Expected time to the first sign of an answer.
    pub(super) expected: Millis,
    /// Prompt tokens that it is expected to read.
    pub(super) unread_tokens: u64,
    /// What is known to be ahead of the request there, and what it would cost the streams that run there.
    pub(super) wait_ms: Millis,
}

/// Picks a backend of a pool. `draw` gives numbers from 0 to 1.
pub(super) fn pick(
    now: Millis,
    pool: &mut Pool,
    wanted: &SelectionRequest,
    senders: &SenderLists,
    is_placer: bool,
    draw: &mut dyn FnMut() -> f64,
) -> Result<Pick, NoBackend> {
    let need = Need::of(wanted);
    let per_second = pool.demand.note(now);
    let state = PoolState::of(now, pool, senders, per_second).seen_by(is_placer);
    let expected = pool.usual.expected(need.tokens_in);
    let preferred = preferred(pool, &need);
    let Pool { members, sent, .. } = pool;
    let reuse = Reuse {
        now,
        prefix: need.prefix,
        preferred,
        sent,
        is_placer,
    };
    let mut best: Option<(f64, usize)> = None;
    let mut last_resort: Option<(Millis, usize)> = None;
    let mut room_at: Option<Millis> = None;
    for (place, member) in members.iter_mut().enumerate() {
        if !member.may_get_requests() || wanted.tried.contains(&member.backend.id) {
            continue;
        }
        match admission(&state, member, &need, senders) {
            Admission::Open => {
                let uncached_fraction = reuse.uncached_fraction(place, member.id_hash);
                let cost =
                    Cost::of(&state, member, &need, uncached_fraction).total() + NOISE_MS * draw();
                if best.is_none_or(|(least, _)| cost < least) {
                    best = Some((cost, place));
                }
            }
            Admission::Unhealthy(until) => {
                if last_resort.is_none_or(|(soonest, _)| until < soonest) {
                    last_resort = Some((until, place));
                }
            }
            Admission::Full(until) => {
                room_at = Some(room_at.map_or(until, |soonest| soonest.min(until)));
            }
        }
    }
    let place = match (best, room_at, last_resort) {
        (Some((_, place)), _, _) => place,
        (None, Some(until), _) => {
            let retry_after_ms = (until - now).clamp(LEAST_HINT_MS, MOST_HINT_MS);
            return Err(NoBackend::AllFull { retry_after_ms });
        }
        (None, None, Some((_, place))) => place,
        (None, None, None) => return Err(NoBackend::NoneReady),
    };
    let wait_ms = members.get(place).map_or(0.0, |member| {
        let uncached_fraction = reuse.uncached_fraction(place, member.id_hash);
        cost::wait_ahead(&state, member)
            + cost::interference(&state, member, &need, uncached_fraction)
    });
    let unread_tokens = note_sent(now, pool, preferred, &need, place, is_placer);
    Ok(Pick {
        place,
        expected,
        unread_tokens,
        wait_ms,
    })
}

/// What [`pick`] would weigh at this moment. Nothing changes by it.
pub(super) fn explain(
    now: Millis,
    pool: &mut Pool,
    wanted: &SelectionRequest,
    senders: &SenderLists,
    is_placer: bool,
) -> Explanation {
    let need = Need::of(wanted);
    let per_second = pool.demand.per_second(now);
    let state = PoolState::of(now, pool, senders, per_second).seen_by(is_placer);
    let preferred = preferred(pool, &need);
    let Pool { members, sent, .. } = pool;
    let reuse = Reuse {
        now,
        prefix: need.prefix,
        preferred,
        sent,
        is_placer,
    };
    let candidates = members.iter_mut().enumerate().map(|(place, member)| {
        let uncached_fraction = reuse.uncached_fraction(place, member.id_hash);
        let verdict = match admission(&state, member, &need, senders) {
            _ if !member.may_get_requests() => Verdict::Withdrawn,
            Admission::Open => Verdict::Open,
            Admission::Unhealthy(until) => Verdict::Unhealthy {
                for_ms: (until - now).max(0.0),
            },
            Admission::Full(until) => Verdict::Full {
                for_ms: (until - now).max(0.0),
            },
        };
        Candidate {
            backend: member.backend.id.clone(),
            zone: member.backend.zone.clone(),
            attempts: member.under_way.attempts,
            uncached_fraction,
            verdict,
            cost: Cost::of(&state, member, &need, uncached_fraction),
        }
    });
    Explanation::new(wanted.service, candidates.collect())
}

/// Takes the backend that a placer chose. Only what binds this process speaks against it: the list, evacuations, and its
/// allowance at a cold backend.
pub(super) fn pick_at(
    now: Millis,
    pool: &mut Pool,
    wanted: &SelectionRequest,
    senders: &SenderLists,
    backend: &str,
) -> Option<Pick> {
    let need = Need::of(wanted);
    let per_second = pool.demand.note(now);
    let state = PoolState::of(now, pool, senders, per_second);
    let place = pool
        .members
        .iter()
        .position(|member| member.backend.id == backend)?;
    let member = pool.members.get_mut(place)?;
    if !member.may_get_requests() || starts_spent(&state, member, &need, senders).is_some() {
        return None;
    }
    pick_told(now, pool, wanted, backend, false)
}

/// A backend that was chosen elsewhere.
pub(super) fn pick_told(
    now: Millis,
    pool: &mut Pool,
    wanted: &SelectionRequest,
    backend: &str,
    is_placer: bool,
) -> Option<Pick> {
    let need = Need::of(wanted);
    let place = pool
        .members
        .iter()
        .position(|member| member.backend.id == backend)?;
    let expected = pool.usual.expected(need.tokens_in);
    let preferred = preferred(pool, &need);
    let unread_tokens = note_sent(now, pool, preferred, &need, place, is_placer);
    Some(Pick {
        place,
        expected,
        unread_tokens,
        wait_ms: 0.0,
    })
}

/// Returns the prompt tokens that are to be read there. A sender remembers where the prefix goes; a placer does once it was
/// read, as an offer may not be taken.
fn note_sent(
    now: Millis,
    pool: &mut Pool,
    preferred: Preferred,
    need: &Need,
    place: usize,
    is_placer: bool,
) -> u64 {
    let id_hash = pool.members.get(place).map_or(0, |member| member.id_hash);
    let reuse = Reuse {
        now,
        prefix: need.prefix,
        preferred,
        sent: &pool.sent,
        is_placer,
    };
    let uncached_fraction = reuse.uncached_fraction(place, id_hash);
    if let (Some(prefix), true) = (need.prefix, uncached_fraction > 0.0 && !is_placer) {
        pool.sent.note(now, prefix, id_hash);
    }
    need.unread_tokens(uncached_fraction)
}

fn preferred(pool: &Pool, need: &Need) -> Preferred {
    let mut preferred = Preferred::default();
    let Some(prefix) = need.prefix else {
        return preferred;
    };
    for (place, member) in pool.members.iter().enumerate() {
        if member.may_get_requests() {
            preferred.offer(place, member.id_hash, prefix, member.own_zone);
        }
    }
    preferred
}

fn admission(
    state: &PoolState,
    member: &mut Member,
    need: &Need,
    senders: &SenderLists,
) -> Admission {
    if let Some(until) = starts_spent(state, member, need, senders) {
        return Admission::Full(until);
    }
    match member.health.standing(state.now) {
        Standing::Out(until) => return Admission::Unhealthy(until),
        Standing::Up | Standing::Trial => {}
    }
    let full_until = member.health.full_until(need.is_low_rank());
    if state.now < full_until {
        return Admission::Full(full_until);
    }
    if is_filled(state, member, need) {
        return Admission::Full(state.now + state.usual_ms);
    }
    Admission::Open
}

/// When a backend may get another start, if the starts of late are all that it may get.
fn starts_spent(
    state: &PoolState,
    member: &mut Member,
    need: &Need,
    senders: &SenderLists,
) -> Option<Millis> {
    let bound = state.terms.cold_bound?;
    let starts = member.starts.count(state.now);
    let cold = member.is_cold(state.now);
    let most = if cold {
        member.cold_allowance(senders, bound, state.backends)
    } else if need.priority > 0 {
        state.most_starts as usize
    } else {
        return None;
    };
    if starts < most {
        return None;
    }
    let next = member
        .starts
        .oldest_leaves()
        .unwrap_or(state.now + MOST_HINT_MS);
    Some(if cold {
        next.min(member.cold_until())
    } else {
        next
    })
}

/// Whether the own attempts alone fill what a request of this rank may fill.
fn is_filled(state: &PoolState, member: &Member, need: &Need) -> bool {
    let under_way = member.under_way;
    if under_way.attempts == 0 {
        return false;
    }
    let mut slots = (f64::from(member.slots(&state.terms)) * need.fill()).max(1.0);
    if state.is_placer && !need.is_low_rank() {
        // What is known to be all that there is may queue, where nothing better is left.
        slots *= QUEUE_FACTOR;
    }
    if f64::from(under_way.attempts) + 1.0 > slots {
        return true;
    }
    let capacity = state
        .terms
        .capacity_tokens
        .map_or(f64::INFINITY, |capacity| capacity as f64);
    under_way.tokens.saturating_add(need.tokens) as f64 > capacity * need.fill()
}
