//! The choice among the backends of one service: which of them may take a request now, and what it would cost there.
//! All costs are milliseconds of expected delay, or worth as much.

use super::affinity::{Preferred, Reuse, SharedPrefix};
use super::backends::{Member, Pool, ServiceTerms};
use super::cold::SenderLists;
use super::health::Standing;
use super::reading::ReadingTimes;
use super::{Millis, NoBackend, Wanted};

/// Reading a shared part again is priced besides the time that it takes: as a part of that time.
const READ_AGAIN_PRICE: f64 = 1.0;
/// Sending to another zone: the bytes are priced.
pub(crate) const OTHER_ZONE_ENGINE_MS: f64 = 60.0;
/// At plain services, in usual times.
const OTHER_ZONE_PLAIN: f64 = 0.25;
/// What one own attempt under way at an engine counts for, to a sender that does not know the others'.
const RUNNING_MS: f64 = 1.5;
/// What a failed answer costs, and the share of failures that is passed over.
const FAILURE_MS: f64 = 500.0;
const FEW_FAILURES: f64 = 0.1;
/// Part of a shared prefix that a request takes of the memory: requests that run together hold it once.
const SHARED_MEMORY_PART: f64 = 0.5;
/// A backend that is slower than this, in expected times, is avoided.
const SLOW: f64 = 1.5;
/// An engine whose memory is full puts requests back.
const OUT_OF_MEMORY_MS: f64 = 1000.0;
/// Going beyond the own part of what a backend would bear if it turned cold.
const BURST_MS: f64 = 2000.0;
/// Random part of a cost, in milliseconds, so that equal backends share.
const NOISE_MS: f64 = 0.5;
/// Part of the bound on cold backends that is shared out while they are warm, ...
const WARM_PART: f64 = 0.9;
/// ... the most of it that one sender takes, and what it takes beyond its even share.
const WARM_MOST: f64 = 1.0 / 3.0;
const WARM_FACTOR: f64 = 2.0;
const WARM_EXTRA: f64 = 3.0;
/// Shares of a backend's slots and memory that requests of the highest, the middle and low rank may fill.
const FILL_BY_RANK: [f64; 3] = [1.0, 0.95, 0.85];
/// Reading for this part of the longest pause that is in time delays no event by more than that pause, ...
const UNNOTICED_READING_PART: f64 = 0.7;
/// ... and for this part more delays all of them by more.
const NOTICED_WITHIN_PART: f64 = 1.0;
/// What a stream that comes late costs.
const LATE_STREAM_MS: f64 = 400.0;
/// A placer lets so many times the slots be taken by those of the higher ranks, ...
const QUEUE_FACTOR: f64 = 2.0;
/// ... at this price for each that has to wait for a slot.
const QUEUED_MS: f64 = 80.0;
/// Ranks from this one on are low: the first to be refused.
const LOW_RANK: u32 = 2;
/// Bounds on the hint when to come back.
const LEAST_HINT_MS: f64 = 20.0;
const MOST_HINT_MS: f64 = 1000.0;

/// What a request needs.
#[derive(Debug, Clone, Copy)]
pub(super) struct Need {
    /// Tokens of the prompt.
    pub(super) tokens_in: u64,
    /// Tokens that it takes of a backend's memory, in and out.
    pub(super) tokens: u64,
    pub(super) prefix: Option<SharedPrefix>,
    priority: u32,
}

impl Need {
    pub(super) fn of(wanted: &Wanted) -> Need {
        let tokens_in = wanted.prompt.map_or(0, |prompt| u64::from(prompt.tokens_in));
        let tokens_out = wanted.prompt.map_or(0, |prompt| u64::from(prompt.tokens_out));
        let prefix = wanted.prompt.and_then(SharedPrefix::of);
        let shared = prefix.map_or(0, |prefix| prefix.tokens.min(tokens_in));
        let held_by_others = (shared as f64 * (1.0 - SHARED_MEMORY_PART)) as u64;
        Need { tokens_in, tokens: tokens_in + tokens_out - held_by_others, prefix, priority: wanted.priority }
    }

    pub(super) fn is_low_rank(&self) -> bool {
        self.priority >= LOW_RANK
    }

    fn fill(&self) -> f64 {
        let [highest, middle, low] = FILL_BY_RANK;
        match self.priority {
            0 => highest,
            1 => middle,
            _ => low,
        }
    }
}

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

/// What all backends of the pool have in common for one choice.
#[derive(Debug, Clone, Copy)]
struct Common {
    now: Millis,
    terms: ServiceTerms,
    backends: usize,
    /// Senders besides this one.
    others: f64,
    /// Own attempts and their tokens under way at a backend, on average.
    mean_attempts: f64,
    mean_tokens: f64,
    /// Own starts within the window at one backend, beyond which others are preferred, and the most for lower ranks.
    soft_starts: f64,
    most_starts: f64,
    usual_ms: Millis,
    /// Whether all attempts at the backends are known here.
    is_placer: bool,
    reading: ReadingTimes,
}

/// Picks a backend of a pool. `draw` gives numbers from 0 to 1.
pub(super) fn pick(
    now: Millis,
    pool: &mut Pool,
    wanted: &Wanted,
    senders: &SenderLists,
    is_placer: bool,
    draw: &mut dyn FnMut() -> f64,
) -> Result<Pick, NoBackend> {
    let need = Need::of(wanted);
    let common = Common { is_placer, ..Common::of(now, pool, senders) };
    let expected = pool.usual.expected(need.tokens_in);
    let preferred = preferred(pool, &need);
    let Pool { members, sent, .. } = pool;
    let reuse = Reuse { now, prefix: need.prefix, preferred, sent, is_placer };
    let mut best: Option<(f64, usize)> = None;
    let mut last_resort: Option<(Millis, usize)> = None;
    let mut room_at: Option<Millis> = None;
    for (place, member) in members.iter_mut().enumerate() {
        if !member.may_get_requests() || wanted.tried.contains(&member.backend.id) {
            continue;
        }
        match admission(&common, member, &need, senders) {
            Admission::Open => {
                let part_read = reuse.part_read(place, member.id_hash);
                let cost = cost(&common, member, &need, part_read) + NOISE_MS * draw();
                if best.is_none_or(|(least, _)| cost < least) {
                    best = Some((cost, place));
                }
            }
            Admission::Unhealthy(until) => {
                if last_resort.is_none_or(|(soonest, _)| until < soonest) {
                    last_resort = Some((until, place));
                }
            }
            Admission::Full(until) => room_at = Some(room_at.map_or(until, |soonest| soonest.min(until))),
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
        let part_read = reuse.part_read(place, member.id_hash);
        wait_ahead(&common, member) + disturbance(&common, member, &need, part_read)
    });
    let unread_tokens = note_sent(now, pool, preferred, &need, place, is_placer);
    Ok(Pick { place, expected, unread_tokens, wait_ms })
}

/// Takes the backend that a placer chose. Only what binds this process speaks against it: the list, evacuations, and its
/// allowance at a cold backend.
pub(super) fn pick_at(
    now: Millis,
    pool: &mut Pool,
    wanted: &Wanted,
    senders: &SenderLists,
    backend: &str,
) -> Option<Pick> {
    let need = Need::of(wanted);
    let common = Common::of(now, pool, senders);
    let place = pool.members.iter().position(|member| member.backend.id == backend)?;
    let member = pool.members.get_mut(place)?;
    if !member.may_get_requests() || starts_spent(&common, member, &need, senders).is_some() {
        return None;
    }
    pick_told(now, pool, wanted, backend, false)
}

/// A backend that was chosen elsewhere.
pub(super) fn pick_told(
    now: Millis,
    pool: &mut Pool,
    wanted: &Wanted,
    backend: &str,
    is_placer: bool,
) -> Option<Pick> {
    let need = Need::of(wanted);
    let place = pool.members.iter().position(|member| member.backend.id == backend)?;
    let expected = pool.usual.expected(need.tokens_in);
    let preferred = preferred(pool, &need);
    let unread_tokens = note_sent(now, pool, preferred, &need, place, is_placer);
    Some(Pick { place, expected, unread_tokens, wait_ms: 0.0 })
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
    let reuse = Reuse { now, prefix: need.prefix, preferred, sent: &pool.sent, is_placer };
    let part_read = reuse.part_read(place, id_hash);
    if let (Some(prefix), true) = (need.prefix, part_read > 0.0 && !is_placer) {
        pool.sent.note(now, prefix, id_hash);
    }
    unread_tokens(need, part_read)
}

/// Prompt tokens that are to be read where this part of the shared prefix is.
fn unread_tokens(need: &Need, part_read: f64) -> u64 {
    let kept = shared_tokens(need) * (1.0 - part_read);
    (need.tokens_in as f64 - kept).max(0.0) as u64
}

impl Common {
    fn of(now: Millis, pool: &mut Pool, senders: &SenderLists) -> Common {
        let per_second = pool.demand.note(now);
        let ready = pool.members.iter().filter(|member| member.may_get_requests());
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
        let soft_starts = even.max(WARM_FACTOR * per_second / near + WARM_EXTRA).min(most_starts);
        Common {
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

    fn is_engine(&self) -> bool {
        self.terms.capacity_tokens.is_some()
    }
}

fn preferred(pool: &Pool, need: &Need) -> Preferred {
    let mut preferred = Preferred::default();
    let Some(prefix) = need.prefix else { return preferred };
    for (place, member) in pool.members.iter().enumerate() {
        if member.may_get_requests() {
            preferred.offer(place, member.id_hash, prefix, member.own_zone);
        }
    }
    preferred
}

fn admission(common: &Common, member: &mut Member, need: &Need, senders: &SenderLists) -> Admission {
    if let Some(until) = starts_spent(common, member, need, senders) {
        return Admission::Full(until);
    }
    match member.health.standing(common.now) {
        Standing::Out(until) => return Admission::Unhealthy(until),
        Standing::Up | Standing::Trial => {}
    }
    let full_until = member.health.full_until(need.is_low_rank());
    if common.now < full_until {
        return Admission::Full(full_until);
    }
    if is_filled(common, member, need) {
        return Admission::Full(common.now + common.usual_ms);
    }
    Admission::Open
}

/// When a backend may get another start, if the starts of late are all that it may get.
fn starts_spent(common: &Common, member: &mut Member, need: &Need, senders: &SenderLists) -> Option<Millis> {
    let bound = common.terms.cold_bound?;
    let starts = member.starts.count(common.now);
    let cold = member.is_cold(common.now);
    let most = if cold {
        member.cold_allowance(senders, bound, common.backends)
    } else if need.priority > 0 {
        common.most_starts as usize
    } else {
        return None;
    };
    if starts < most {
        return None;
    }
    let next = member.starts.oldest_leaves().unwrap_or(common.now + MOST_HINT_MS);
    Some(if cold { next.min(member.cold_until()) } else { next })
}

/// Whether the own attempts alone fill what a request of this rank may fill.
fn is_filled(common: &Common, member: &Member, need: &Need) -> bool {
    let under_way = member.under_way;
    if under_way.attempts == 0 {
        return false;
    }
    let mut slots = (f64::from(member.slots(&common.terms)) * need.fill()).max(1.0);
    if common.is_placer && !need.is_low_rank() {
        // What is known to be all that there is may queue, where nothing better is left.
        slots *= QUEUE_FACTOR;
    }
    if f64::from(under_way.attempts) + 1.0 > slots {
        return true;
    }
    let capacity = common.terms.capacity_tokens.map_or(f64::INFINITY, |capacity| capacity as f64);
    under_way.tokens.saturating_add(need.tokens) as f64 > capacity * need.fill()
}

fn cost(common: &Common, member: &mut Member, need: &Need, part_read: f64) -> f64 {
    let place_cost = if common.is_engine() {
        engine_cost(common, member, need, part_read)
    } else {
        plain_cost(common, member)
    };
    let slowness = member.health.slowness(common.now);
    let slow = if slowness > SLOW { (slowness - 1.0) * common.usual_ms } else { 0.0 };
    let failing = (member.health.failure_share(common.now) - FEW_FAILURES).max(0.0) * FAILURE_MS;
    place_cost + slow + failing + burst_cost(common, member)
}

/// Reading comes first: what is ahead of the prompt, and what of it is not kept there.
fn engine_cost(common: &Common, member: &Member, need: &Need, part_read: f64) -> f64 {
    let ahead = wait_ahead(common, member);
    let reading = member.speed.reading(common.reading.expected(unread_tokens(need, part_read)));
    let again = common.reading.expected((shared_tokens(need) * part_read) as u64) * READ_AGAIN_PRICE;
    let running = if common.is_placer { 0.0 } else { f64::from(member.under_way.attempts) * RUNNING_MS };
    let zone = if member.own_zone { 0.0 } else { OTHER_ZONE_ENGINE_MS };
    let held = member.under_way.tokens as f64 + common.others * common.mean_tokens + need.tokens as f64;
    let capacity = common.terms.capacity_tokens.map_or(f64::INFINITY, |capacity| capacity as f64);
    let memory = if held > capacity { OUT_OF_MEMORY_MS } else { 0.0 };
    ahead + reading + again + running + zone + memory + disturbance(common, member, need, part_read)
}

/// What reading the prompt costs the streams that run there: while an engine reads, their events come late. Only a placer
/// knows them all.
fn disturbance(common: &Common, member: &Member, need: &Need, part_read: f64) -> Millis {
    if !common.is_placer {
        return 0.0;
    }
    let to_read = unread_tokens(need, part_read);
    let own_ms = member.speed.reading(common.reading.expected(to_read));
    let reading_ms = member.under_way.reading_ms() + own_ms;
    let gap_aim_ms = common.terms.gap_aim_ms;
    let noticed_ms = reading_ms - gap_aim_ms * UNNOTICED_READING_PART;
    let part_late = (noticed_ms / (gap_aim_ms * NOTICED_WITHIN_PART)).clamp(0.0, 1.0);
    f64::from(member.under_way.live) * part_late * LATE_STREAM_MS
}

/// What is known to be ahead of a request at an engine: prompts to be read, and places to become free.
fn wait_ahead(common: &Common, member: &Member) -> Millis {
    let queued = f64::from(member.under_way.attempts) + 1.0 - f64::from(member.slots(&common.terms));
    member.under_way.reading_ms() + queued.max(0.0) * QUEUED_MS
}

/// The expected wait, with the other senders taken to have as much under way as this one has on average.
fn plain_cost(common: &Common, member: &Member) -> f64 {
    let attempts = f64::from(member.under_way.attempts) + common.others * common.mean_attempts;
    let filled = (attempts + 1.0) / f64::from(member.slots(&common.terms));
    let zone = if member.own_zone { 0.0 } else { OTHER_ZONE_PLAIN };
    (filled + zone) * common.usual_ms
}

fn burst_cost(common: &Common, member: &mut Member) -> f64 {
    if common.terms.cold_bound.is_none() {
        return 0.0;
    }
    let beyond = member.starts.count(common.now) as f64 + 1.0 - common.soft_starts;
    if beyond > 0.0 {
        BURST_MS + beyond
    } else {
        0.0
    }
}

fn shared_tokens(need: &Need) -> f64 {
    need.prefix.map_or(0.0, |prefix| prefix.tokens as f64)
}
