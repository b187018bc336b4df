//! What a gateway counts of its customers, and the control beside it.
//!
//! **The control.** A request is held against how *others* failed at the same backend, at this gateway, in the same
//! seconds. Seconds in which others fail are left out, with their successes too; they are not weighed against the
//! control's rate. Weighing would need the rate in that second, which is known from a handful of requests only, and
//! an excess over a rate known badly convicts the innocent. Leaving out costs time alone, and as it looks at others
//! only, what is left of the customer's own outcomes is not picked by them. A second in which there are too few others
//! to tell is left out as well.
//!
//! What others count: kept connections of all, and, where these are few, changed ones of customers that are not held for
//! bound, since a break of a bound customer says nothing of the backend. The changed ones go along beside: what fails for
//! everyone that changes, such as connections that were closed while idle, is no one's state. No customer adds more than a few requests a second, so that a
//! noisy one neither hides a backend's trouble nor makes it.
//!
//! **Ageing.** Counts are kept in windows, of 32 changed requests or 30 minutes, the last four of each kind of change.
//! A window only grows, and the last one that is full or over goes as a whole. The gateway alone decides where a window ends, so a
//! report is one state of one writer and two gateways' windows need not agree.

use super::{Backend, Customer, Pooling};
use crate::protocol::Micros;
use indexmap::IndexMap;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};

/// Windows of each kind of change.
pub const WINDOWS: usize = 4;
/// Changed requests after which a window is full.
pub const WINDOW_REQUESTS: u16 = 32;
/// Seconds after which a window is over.
pub const WINDOW_S: u32 = 1800;
/// Seconds on both sides of a request that its control is taken from, and how far back it reaches where they hold too
/// few. A second is settled when the next one is over.
const CONTROL_BACK_S: u64 = 3;
const CONTROL_AHEAD_S: u64 = 1;
const CONTROL_MAX_BACK_S: u64 = 30;
/// Requests that a control needs, the failed part from which a backend is sick, and the part of changed ones from which
/// it is sick though kept ones are well, as where it takes no new connections.
const MIN_CONTROL_REQUESTS: u32 = 6;
const MAX_CONTROL_FAILURE_RATE: f64 = 0.1;
const MAX_CHANGED_FAILURE_RATE: f64 = 0.8;
/// Requests of one customer in one second at one backend that count as control of others.
const MAX_CONTROL_REQUESTS_EACH: u32 = 4;
/// Entries that may wait for their second or stand behind as control, together.
const MAX_BUFFERED: usize = 16_384;
/// Customers that are drawn to find the one that goes, and changed requests and seconds that make one dear.
const EVICTION_SAMPLE: usize = 8;
const PROTECTED_CHANGED_REQUESTS: u32 = 4;
const PROTECTED_IDLE_S: u32 = 600;
/// A report goes so often after a change; pauses while nothing is decided, after that, and where a break is new.
const REPORT_REPEATS: u8 = 3;
const UNDECIDED_INTERVAL: Micros = 5_000_000;
const DECIDED_INTERVAL: Micros = 30_000_000;
const BREAK_INTERVAL: Micros = 200_000;

/// On which connection a request went.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConnectionUse {
    /// On the customer's last one to that backend, which nobody else used since.
    Kept,
    /// On another, or on one that another used since, within a run.
    ChangedInRun,
    /// The same between two runs.
    ChangedBetween,
}

impl ConnectionUse {
    /// `same`: the customer's last connection to that backend, and nobody's since. `since`: the time since the end of its
    /// last request there, if any is known: a first one leaves nothing behind. `gap`: the longest pause within a run.
    pub fn of(same: bool, since: Option<Micros>, gap: Micros) -> ConnectionUse {
        match (same, since) {
            (true, _) | (_, None) => ConnectionUse::Kept,
            (false, Some(since)) if since <= gap => ConnectionUse::ChangedInRun,
            (false, Some(_)) => ConnectionUse::ChangedBetween,
        }
    }
}

/// How a request failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Failure {
    /// The backend answered 500.
    Http500,
    /// The connection broke.
    Reset,
    /// No answer in time.
    Timeout,
}

/// How a request ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// Well.
    Fine,
    /// Not well.
    Failed(Failure),
    /// The customer closed or went away: that says nothing, and is not counted at all.
    CustomersOwn,
}

/// Requests, and those that failed: 500, resets, timeouts.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Tally {
    /// All.
    pub requests: u16,
    /// Failed, by kind.
    pub failed: [u16; 3],
}

impl Tally {
    /// Those that failed.
    pub fn failures(&self) -> u32 {
        self.failed.iter().map(|&count| u32::from(count)).sum()
    }

    /// A full tally takes no more of either, so that its rate stays true.
    fn add(&mut self, other: Tally) {
        if self.requests.checked_add(other.requests).is_none() {
            return;
        }
        self.requests += other.requests;
        for (mine, more) in self.failed.iter_mut().zip(other.failed) {
            *mine = mine.saturating_add(more);
        }
    }
}

/// Counts from one stretch of time.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Window {
    /// Requests on a changed connection.
    pub changed: Tally,
    /// Requests on a kept one.
    pub reused: Tally,
    /// The control of both: requests of others and those that failed.
    pub control: [u32; 2],
    /// Changed requests of others that are not held for bound, and those that failed.
    pub control_changed: [u32; 2],
}

/// What a gateway holds of a customer, whole.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// The gateway.
    pub gateway: String,
    /// Its incarnation.
    pub incarnation: u64,
    /// Grows within an incarnation.
    pub sequence: u64,
    /// Of whom.
    pub customer: Customer,
    /// The verdict that the gateway acts on: a new owner goes on from it.
    pub pooling: Pooling,
    /// Windows of changes within runs, newest first, each with its age in seconds.
    pub in_run: Vec<(Window, u32)>,
    /// The same between runs.
    pub between_runs: Vec<(Window, u32)>,
}

/// The last windows of one kind of change, newest first.
#[derive(Debug, Clone, Copy, Default)]
struct WindowRing {
    windows: [Window; WINDOWS],
    /// The second in which each began.
    started_s: [u32; WINDOWS],
    count: u8,
}

impl WindowRing {
    fn add(&mut self, second: u32, changed: Tally, reused: Tally, control: &ControlSample) {
        let [newest, ..] = &self.windows;
        let [started_s, ..] = &self.started_s;
        let over = newest.changed.requests >= WINDOW_REQUESTS
            || second.saturating_sub(*started_s) >= WINDOW_S;
        if self.count == 0 || over {
            self.windows.rotate_right(1);
            self.started_s.rotate_right(1);
            self.windows[0] = Window::default();
            self.started_s[0] = second;
            self.count = (self.count + 1).min(WINDOWS as u8);
        }
        let newest = &mut self.windows[0];
        newest.changed.add(changed);
        newest.reused.add(reused);
        for (mine, more) in newest.control.iter_mut().zip(control.control) {
            *mine = mine.saturating_add(more);
        }
        for (mine, more) in newest.control_changed.iter_mut().zip(control.changed) {
            *mine = mine.saturating_add(more);
        }
    }

    fn with_ages(&self, second: u32) -> Vec<(Window, u32)> {
        let oldest = WINDOW_S * WINDOWS as u32;
        let all = self
            .windows
            .iter()
            .zip(self.started_s)
            .take(usize::from(self.count));
        all.map(|(window, started_s)| (*window, second.saturating_sub(started_s)))
            .filter(|&(_, age)| age < oldest)
            .collect()
    }

    fn changed(&self) -> u32 {
        self.windows
            .iter()
            .map(|window| u32::from(window.changed.requests))
            .sum()
    }
}

/// What is held of one customer.
#[derive(Debug, Clone, Copy)]
struct Record {
    in_run: WindowRing,
    between_runs: WindowRing,
    last_seen_s: u32,
    sent_at: Micros,
    pending_sends: u8,
    /// How often a new break is still to be told.
    urgent_sends: u8,
    pooling: Pooling,
}

/// Bytes of one customer in the table: its number, its counts, and what the table adds (a hash, and an index at 7/8
/// full at the least after growth by two). `state_of_a_customer_is_as_small_as_stated` holds it against the compiler's.
pub const BYTES_PER_CUSTOMER: usize = 8 + RECORD_BYTES + 8 + 16;
const RECORD_BYTES: usize = std::mem::size_of::<Record>();

/// Requests of one customer at one backend in one second.
#[derive(Debug, Clone, Copy, Default)]
struct RequestCounts {
    in_run: Tally,
    between_runs: Tally,
    reused: Tally,
    /// What it adds to the control of others: kept and changed, requests and failures.
    contribution: ControlCounts,
}

#[derive(Debug, Clone, Copy, Default)]
struct ControlCounts {
    reused: [u32; 2],
    changed: [u32; 2],
}

impl ControlCounts {
    fn add(&mut self, other: &ControlCounts) {
        for at in 0..2 {
            self.reused[at] += other.reused[at];
            self.changed[at] += other.changed[at];
        }
    }

    fn subtract(&mut self, other: &ControlCounts) {
        for at in 0..2 {
            self.reused[at] = self.reused[at].saturating_sub(other.reused[at]);
            self.changed[at] = self.changed[at].saturating_sub(other.changed[at]);
        }
    }

    fn all(&self) -> [u32; 2] {
        [
            self.reused[0] + self.changed[0],
            self.reused[1] + self.changed[1],
        ]
    }
}

fn failure_rate(counts: [u32; 2]) -> f64 {
    f64::from(counts[1]) / f64::from(counts[0].max(1))
}

/// One second at this gateway.
#[derive(Debug, Default)]
struct Second {
    at: u64,
    control: BTreeMap<Backend, ControlCounts>,
    entries: IndexMap<(Backend, Customer), RequestCounts>,
}

/// What was not counted, and why.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ExcludedCounts {
    /// Entries of seconds in which others failed at that backend.
    pub unhealthy: u64,
    /// Entries of seconds with too few others.
    pub too_few_others: u64,
    /// Requests for which there was no room to wait for their second.
    pub queue_full: u64,
    /// Entries of customers for whom there was no room.
    pub table_full: u64,
    /// Customers that had to go for others.
    pub evicted: u64,
}

/// The counts of one incarnation of one gateway.
#[derive(Debug)]
pub struct Evidence {
    gateway: String,
    incarnation: u64,
    sequence: u64,
    max_customers: usize,
    customers: IndexMap<Customer, Record>,
    seconds: VecDeque<Second>,
    evaluated_until: u64,
    buffered: usize,
    cursor: usize,
    rng: Pcg64Mcg,
    excluded: ExcludedCounts,
}

impl Evidence {
    /// An incarnation that knows nothing. It holds `max_customers` customers.
    ///
    /// Where there are more, the one goes that is least dear of eight drawn by chance: first who was idle for ten minutes,
    /// then who has fewer than four changed requests counted, then who was seen longest ago. Where all eight are
    /// dear, the newcomer is not taken. A flood of newcomers so pushes out newcomers.
    pub fn new(gateway: &str, incarnation: u64, max_customers: usize, seed: u64) -> Self {
        Evidence {
            gateway: gateway.to_string(),
            incarnation,
            sequence: 0,
            max_customers: max_customers.max(1),
            customers: IndexMap::new(),
            seconds: VecDeque::new(),
            evaluated_until: 0,
            buffered: 0,
            cursor: 0,
            rng: Pcg64Mcg::seed_from_u64(seed),
            excluded: ExcludedCounts::default(),
        }
    }

    /// A request has ended. Nothing is judged here: [`Evidence::settle`] and [`Evidence::due`] are for a timer, beside requests.
    pub fn record_request(
        &mut self,
        now: Micros,
        customer: Customer,
        backend: Backend,
        conn: ConnectionUse,
        outcome: Outcome,
    ) {
        let failure = match outcome {
            Outcome::CustomersOwn => return,
            Outcome::Fine => None,
            Outcome::Failed(Failure::Http500) => Some(0),
            Outcome::Failed(Failure::Reset) => Some(1),
            Outcome::Failed(Failure::Timeout) => Some(2),
        };
        let bound = self
            .customers
            .get(&customer)
            .is_some_and(|record| record.pooling > Pooling::Unknown);
        let at = now / 1_000_000;
        if self.seconds.back().is_none_or(|last| last.at < at) {
            self.seconds.push_back(Second {
                at,
                ..Second::default()
            });
        }
        let Some(second) = self.seconds.back_mut() else {
            return;
        };
        if self.buffered >= MAX_BUFFERED && !second.entries.contains_key(&(backend, customer)) {
            self.excluded.queue_full += 1;
            return;
        }
        let before = second.entries.len();
        let entry = second.entries.entry((backend, customer)).or_default();
        let mut one = Tally {
            requests: 1,
            failed: [0; 3],
        };
        if let Some(slot) = failure.and_then(|kind: usize| one.failed.get_mut(kind)) {
            *slot = 1;
        }
        match conn {
            ConnectionUse::Kept => entry.reused.add(one),
            ConnectionUse::ChangedInRun => entry.in_run.add(one),
            ConnectionUse::ChangedBetween => entry.between_runs.add(one),
        }
        let counts = [1, u32::from(failure.is_some())];
        let contribution = match conn {
            ConnectionUse::Kept => ControlCounts {
                reused: counts,
                changed: [0; 2],
            },
            _ if bound => ControlCounts::default(),
            _ => ControlCounts {
                reused: [0; 2],
                changed: counts,
            },
        };
        if entry.contribution.all()[0] < MAX_CONTROL_REQUESTS_EACH {
            entry.contribution.add(&contribution);
            second
                .control
                .entry(backend)
                .or_default()
                .add(&contribution);
        }
        self.buffered += second.entries.len() - before;
    }

    /// What a gateway has been told to hold a customer for: its breaks say nothing of backends where it is bound.
    pub fn set_pooling(&mut self, customer: Customer, pooling: Pooling) {
        if let Some(record) = self.customers.get_mut(&customer) {
            record.pooling = pooling;
        }
    }

    /// Counts what seconds hold whose control is complete: to be called a few times a second. Where it is not, notes are left
    /// out once there is no room for more.
    pub fn evaluate(&mut self, now: Micros) {
        let second = now / 1_000_000;
        let mut ready = Vec::new();
        for (index, second_counts) in self.seconds.iter().enumerate() {
            if second_counts.at >= self.evaluated_until
                && second_counts.at + CONTROL_AHEAD_S < second
            {
                ready.push(index);
            }
        }
        for index in ready {
            self.evaluate_second(index);
        }
        self.evaluated_until = self
            .evaluated_until
            .max(second.saturating_sub(CONTROL_AHEAD_S));
        while self
            .seconds
            .front()
            .is_some_and(|first| first.at + CONTROL_MAX_BACK_S + CONTROL_AHEAD_S + 1 < second)
        {
            if let Some(gone) = self.seconds.pop_front() {
                self.buffered = self.buffered.saturating_sub(gone.entries.len());
            }
        }
    }

    fn evaluate_second(&mut self, index: usize) {
        let Some(second) = self.seconds.get(index) else {
            return;
        };
        let (at, count) = (second.at, second.entries.len());
        for place in 0..count {
            let Some((&(backend, customer), &entry)) = self
                .seconds
                .get(index)
                .and_then(|second| second.entries.get_index(place))
            else {
                continue;
            };
            match self.control_group(index, at, backend, customer) {
                ControlGroup::Unhealthy => self.excluded.unhealthy += 1,
                ControlGroup::TooFew => self.excluded.too_few_others += 1,
                ControlGroup::Healthy(control) => {
                    self.count_requests(at, customer, entry, &control)
                }
            }
        }
    }

    /// How others did, near a second, or back from it where there are few.
    fn control_group(
        &self,
        index: usize,
        at: u64,
        backend: Backend,
        customer: Customer,
    ) -> ControlGroup {
        let others = |second: &Second| {
            let mut counts = second.control.get(&backend).copied().unwrap_or_default();
            if let Some(own) = second.entries.get(&(backend, customer)) {
                counts.subtract(&own.contribution);
            }
            counts
        };
        let mut sum = ControlCounts::default();
        for second in self
            .seconds
            .iter()
            .skip(index)
            .take_while(|second| second.at <= at + CONTROL_AHEAD_S)
        {
            sum.add(&others(second));
        }
        let mut is_far = false;
        for second in self.seconds.iter().take(index).rev() {
            let back = at - second.at;
            if back > CONTROL_MAX_BACK_S
                || (back > CONTROL_BACK_S && sum.all()[0] >= MIN_CONTROL_REQUESTS)
            {
                break;
            }
            is_far |= back > CONTROL_BACK_S;
            sum.add(&others(second));
        }
        if !is_far && sum.reused[0] >= MIN_CONTROL_REQUESTS {
            let refused = sum.changed[0] >= MIN_CONTROL_REQUESTS
                && failure_rate(sum.changed) > MAX_CHANGED_FAILURE_RATE;
            return if refused || failure_rate(sum.reused) > MAX_CONTROL_FAILURE_RATE {
                ControlGroup::Unhealthy
            } else {
                ControlGroup::Healthy(ControlSample {
                    control: sum.reused,
                    changed: sum.changed,
                })
            };
        }
        match sum.all() {
            few if few[0] < MIN_CONTROL_REQUESTS => ControlGroup::TooFew,
            all if failure_rate(all) > MAX_CONTROL_FAILURE_RATE => ControlGroup::Unhealthy,
            all => ControlGroup::Healthy(ControlSample {
                control: all,
                changed: sum.changed,
            }),
        }
    }

    fn count_requests(
        &mut self,
        at: u64,
        customer: Customer,
        entry: RequestCounts,
        control: &ControlSample,
    ) {
        let second = u32::try_from(at).unwrap_or(u32::MAX);
        if !self.customers.contains_key(&customer) && !self.evict_for(second) {
            self.excluded.table_full += 1;
            return;
        }
        let record = self.customers.entry(customer).or_insert(Record {
            in_run: WindowRing::default(),
            between_runs: WindowRing::default(),
            last_seen_s: second,
            sent_at: 0,
            pending_sends: 0,
            urgent_sends: 0,
            pooling: Pooling::Unknown,
        });
        // Kept requests and the control stand beside both kinds of change: each is judged by its own windows.
        record
            .in_run
            .add(second, entry.in_run, entry.reused, control);
        record
            .between_runs
            .add(second, entry.between_runs, entry.reused, control);
        record.last_seen_s = second;
        record.pending_sends = REPORT_REPEATS;
        // A break that the verdict allows for is no news.
        let within = entry.in_run.failures() > 0 && record.pooling < Pooling::Transaction;
        if within || (entry.between_runs.failures() > 0 && record.pooling < Pooling::Session) {
            record.urgent_sends = REPORT_REPEATS;
        }
    }

    fn evict_for(&mut self, second: u32) -> bool {
        if self.customers.len() < self.max_customers {
            return true;
        }
        let mut lowest = None;
        for _ in 0..EVICTION_SAMPLE {
            let index = self.rng.random_range(0..self.customers.len());
            let Some((_, record)) = self.customers.get_index(index) else {
                continue;
            };
            let idle = second.saturating_sub(record.last_seen_s) > PROTECTED_IDLE_S;
            let changed = record.in_run.changed() + record.between_runs.changed();
            let rank = (
                !idle,
                changed >= PROTECTED_CHANGED_REQUESTS,
                record.last_seen_s,
            );
            if lowest.is_none_or(|(known, _)| rank < known) {
                lowest = Some((rank, index));
            }
        }
        match lowest {
            Some(((true, true, _), _)) | None => false,
            Some((_, index)) => {
                self.customers.swap_remove_index(index);
                self.excluded.evicted += 1;
                true
            }
        }
    }

    /// What is held of a customer, also where that is nothing: an owner that asks has to hear that, too.
    /// `held` is the verdict that this gateway acts on.
    pub fn report(&mut self, now: Micros, customer: Customer, pooling: Pooling) -> Report {
        self.evaluate(now);
        self.sequence += 1;
        let second = u32::try_from(now / 1_000_000).unwrap_or(u32::MAX);
        let record = self.customers.get(&customer);
        Report {
            gateway: self.gateway.clone(),
            incarnation: self.incarnation,
            sequence: self.sequence,
            customer,
            pooling,
            in_run: record.map_or_else(Vec::new, |record| record.in_run.with_ages(second)),
            between_runs: record
                .map_or_else(Vec::new, |record| record.between_runs.with_ages(second)),
        }
    }

    /// Customers whose owners are to be told, `max_customers` at a time, those with new breaks first. Each change is told three times, so
    /// that one loss costs seconds, and a fifth of one for a break.
    pub fn due_reports(&mut self, now: Micros, limit: usize) -> Vec<Customer> {
        self.evaluate(now);
        let mut due = Vec::new();
        for breaks in [true, false] {
            for _ in 0..self.customers.len() {
                if due.len() >= limit {
                    return due;
                }
                self.cursor = (self.cursor + 1) % self.customers.len();
                let Some((&customer, record)) = self.customers.get_index_mut(self.cursor) else {
                    continue;
                };
                let interval = match (breaks, record.pooling) {
                    (true, _) => BREAK_INTERVAL,
                    (false, Pooling::Unknown) => UNDECIDED_INTERVAL,
                    (false, _) => DECIDED_INTERVAL,
                };
                let pending = if breaks {
                    record.urgent_sends
                } else {
                    record.pending_sends
                };
                if pending > 0
                    && (record.sent_at == 0 || now.saturating_sub(record.sent_at) >= interval)
                {
                    record.urgent_sends = record.urgent_sends.saturating_sub(1);
                    record.pending_sends = record.pending_sends.saturating_sub(1);
                    record.sent_at = now;
                    due.push(customer);
                }
            }
        }
        due
    }

    /// All that is held of these customers is to be told again, as for an owner that is new to them. Returns who they are.
    pub fn resend(&mut self, of: impl Fn(Customer) -> bool) -> Vec<Customer> {
        let mut all = Vec::new();
        for (&customer, record) in self
            .customers
            .iter_mut()
            .filter(|(customer, _)| of(**customer))
        {
            record.pending_sends = REPORT_REPEATS;
            record.sent_at = 0;
            all.push(customer);
        }
        all
    }

    /// Whether a new break of this customer is still to be told.
    pub fn is_urgent(&self, customer: Customer) -> bool {
        self.customers
            .get(&customer)
            .is_some_and(|record| record.urgent_sends > 0)
    }

    /// How many customers have a record.
    pub fn customers(&self) -> usize {
        self.customers.len()
    }

    /// Bytes held at most, whatever customers do: records, and entries that wait or are control.
    pub fn max_bytes(&self) -> usize {
        let entry = std::mem::size_of::<(Backend, Customer, RequestCounts)>() + 24;
        self.max_customers * 2 * BYTES_PER_CUSTOMER + MAX_BUFFERED * 2 * entry
    }

    /// What was left out.
    pub fn excluded(&self) -> ExcludedCounts {
        self.excluded
    }
}

/// How others did, in a second that counts.
struct ControlSample {
    control: [u32; 2],
    changed: [u32; 2],
}

enum ControlGroup {
    Healthy(ControlSample),
    Unhealthy,
    TooFew,
}

#[cfg(test)]
mod tests;
