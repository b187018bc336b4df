//! The coin of batch admission: whether a batch job is passed on to the count that decides, or refused (429) at once.
//!
//! It follows the random refusal of "Stochastic breakdown model for an unreliable web server system", as the design
//! of the serving tier asks ("The design in the system"):
//!
//! * **Chance.** For each tenant it holds the chance that the next batch job is taken, 1 at the start.
//! * **Period.** Each new meter period, told apart by its number, is used once and sets the chance to
//!   min(1, p' / u): u is the reading over the quota, p' the chance held during that period, averaged over its time. If
//!   λ tokens are offered and the quota bears λ*, then u = p' λ / λ* and the new chance is λ* / λ, the paper's.
//! * **Reading.** The tokens that wait, plus those that passed the coin in the period and did not fit. What the coin
//!   itself refused is not in it: dividing by u would count it twice.
//! * **Floor.** The chance stays at or above a floor: at nought nothing would be passed on, and no reading would show
//!   that there is less load.
//! * **Age.** Entries that see neither a job nor a reading are forgotten.
//!
//! The paper's quota bounds a rate; this one bounds tokens that wait, and binds at each 202. A coin can't keep that: the
//! count does, at one place. The coin only spares it what it would refuse. So on the ordinary path, where **each job
//! that fits gets a 202**, the coin refuses only a job of which a fresh reading shows that it does not fit (tokens
//! waiting and the job's own are above the quota). Without a fresh reading all are passed on.
//!
//! The host must not ask the coin about a job that may have been handed over before (a try that got no clear answer
//! comes again): it may have been accepted, and a 429 promises that it never runs. The coin therefore stands where it is
//! known whether a job is known, or where the job's first try is certain.

use crate::interface::Millis;
use crate::quota::MIN_ADMISSION_PROBABILITY;
use std::collections::{BTreeMap, VecDeque};

/// Parts of the idle time after which the entries are looked through.
const SWEEPS: f64 = 4.0;
/// Earlier chances that are kept: a reading is of a period that ended shortly before.
const CHANCES_KEPT: usize = 8;

/// Options of the coin.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct BatchAdmissionOptions {
    /// Lowest chance.
    pub min_probability: f64,
    /// Age up to which a reading is fresh, in milliseconds.
    pub max_reading_age: Millis,
    /// Time after which an entry without jobs and readings is forgotten, in milliseconds.
    pub idle_timeout: Millis,
}

impl Default for BatchAdmissionOptions {
    fn default() -> BatchAdmissionOptions {
        BatchAdmissionOptions {
            min_probability: MIN_ADMISSION_PROBABILITY,
            max_reading_age: 300.0,
            idle_timeout: 60_000.0,
        }
    }
}

/// What the meter tells of one tenant after one period.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct MeterReading {
    /// Number of the period, agreed among all who read.
    pub period: u64,
    /// When the period began and ended, by the host's clock.
    pub began: Millis,
    /// See [`MeterReading::began`]; the count of waiting tokens is as of then.
    pub ended: Millis,
    /// Tokens that wait.
    pub waiting: u64,
    /// Tokens that passed the coins in the period and did not fit.
    pub beyond: u64,
    /// Tokens that may wait; 0: no limit.
    pub quota: u64,
}

/// What becomes of a batch job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BatchDecision {
    /// The count decides.
    Forward,
    /// It is refused, and nothing of it has been handed over.
    Refuse,
}

/// What is known of one tenant.
#[derive(Debug)]
struct Tenant {
    chance: f64,
    chance_since: Millis,
    /// Earlier chances, the oldest first, each with the time at which it was replaced.
    earlier: VecDeque<(Millis, f64)>,
    reading: Option<MeterReading>,
    seen: Millis,
}

impl Tenant {
    fn new(now: Millis) -> Tenant {
        Tenant {
            chance: 1.0,
            chance_since: now,
            earlier: VecDeque::new(),
            reading: None,
            seen: now,
        }
    }

    /// The chance held from one moment to another, on average. Before the first one it was 1.
    fn chance_held(&self, from: Millis, to: Millis) -> f64 {
        if to <= from {
            return self.chance_at(to);
        }
        let mut sum = 0.0;
        let mut since = from;
        for (until, chance) in self
            .earlier
            .iter()
            .copied()
            .chain([(f64::INFINITY, self.chance)])
        {
            let until = until.min(to);
            sum += (until - since).max(0.0) * chance;
            since = since.max(until);
        }
        sum / (to - from)
    }

    fn chance_at(&self, moment: Millis) -> f64 {
        let replaced_later = self.earlier.iter().find(|(until, _)| *until > moment);
        replaced_later.map_or(self.chance, |(_, chance)| *chance)
    }

    fn set_chance(&mut self, now: Millis, chance: f64) {
        self.earlier
            .push_back((now.max(self.chance_since), self.chance));
        if self.earlier.len() > CHANCES_KEPT {
            self.earlier.pop_front();
        }
        self.chance = chance;
        self.chance_since = now;
    }

    /// Whether a fresh reading shows that so many tokens do not fit.
    fn shows_no_room(&self, now: Millis, tokens: u64, quota: u64, fresh: Millis) -> bool {
        let Some(reading) = &self.reading else {
            return false;
        };
        let is_fresh = now - reading.ended <= fresh;
        is_fresh && reading.waiting.saturating_add(tokens) > quota
    }
}

/// The coin of one process, for all tenants.
#[derive(Debug, Default)]
pub struct BatchAdmission {
    options: BatchAdmissionOptions,
    tenants: BTreeMap<String, Tenant>,
    swept: Millis,
}

impl BatchAdmission {
    /// One that knows of no tenant yet.
    pub fn new(options: BatchAdmissionOptions) -> BatchAdmission {
        BatchAdmission {
            options,
            ..BatchAdmission::default()
        }
    }

    /// Takes in a reading. One of a period that was used before, or of an older one, changes nothing.
    pub fn read(&mut self, now: Millis, tenant: &str, reading: MeterReading) {
        self.sweep(now);
        let floor = self.options.min_probability.clamp(0.0, 1.0);
        let entry = self.entry(now, tenant);
        if entry
            .reading
            .is_some_and(|used| used.period >= reading.period)
        {
            return;
        }
        entry.reading = Some(reading);
        let chance = next_chance(entry.chance_held(reading.began, reading.ended), &reading);
        entry.set_chance(now, chance.max(floor));
    }

    /// Decides about a batch job of so many tokens under a quota; `draw` is from 0 to 1.
    pub fn decide(
        &mut self,
        now: Millis,
        tenant: &str,
        tokens: u64,
        quota: u64,
        draw: f64,
    ) -> BatchDecision {
        self.sweep(now);
        let fresh = self.options.max_reading_age;
        let entry = self.entry(now, tenant);
        let may_refuse = quota > 0 && entry.shows_no_room(now, tokens, quota, fresh);
        if may_refuse && draw >= entry.chance {
            BatchDecision::Refuse
        } else {
            BatchDecision::Forward
        }
    }

    /// The chance that the next batch job of a tenant is taken.
    pub fn admission_probability(&self, tenant: &str) -> f64 {
        self.tenants.get(tenant).map_or(1.0, |entry| entry.chance)
    }

    /// Tenants that are known.
    pub fn tenant_count(&self) -> usize {
        self.tenants.len()
    }

    fn entry(&mut self, now: Millis, tenant: &str) -> &mut Tenant {
        let entry = self
            .tenants
            .entry(tenant.to_string())
            .or_insert_with(|| Tenant::new(now));
        entry.seen = now;
        entry
    }

    fn sweep(&mut self, now: Millis) {
        let idle = self.options.idle_timeout;
        if now - self.swept < idle / SWEEPS {
            return;
        }
        self.swept = now;
        self.tenants.retain(|_, entry| now - entry.seen < idle);
    }
}

/// min(1, p' / u).
fn next_chance(held: f64, reading: &MeterReading) -> f64 {
    if reading.quota == 0 {
        return 1.0;
    }
    let used = reading.waiting.saturating_add(reading.beyond) as f64 / reading.quota as f64;
    if used <= held {
        1.0
    } else {
        held / used
    }
}
