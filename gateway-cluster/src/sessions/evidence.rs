//! Counts of one gateway: requests and failures of each customer, on changed and on reused connections, against a
//! control group.
//!
//! **Control group.** A request is compared with the requests of *other* customers at the same backend, at this
//! gateway, in the same seconds. Seconds in which others fail are excluded, successes as well as failures; they are not
//! weighted by the control's failure rate. Weighting would need the rate in that second, which is known from a handful
//! of requests only, and an excess over an inaccurate rate would convict stateless customers. Exclusion costs time
//! only, and since it depends on others alone, it does not select among the customer's own outcomes. Seconds with too
//! few other requests are excluded as well.
//!
//! The control group consists of the requests of all others on reused connections and, where these are few, of requests
//! on changed connections of customers that are not bound, since a break of a bound customer says nothing about the
//! backend. Requests on changed connections are also counted separately: what fails for everyone after a change, such
//! as connections that were closed while idle, does not show a customer's state. Each customer contributes a few
//! requests a second at most, so that a busy one neither hides nor causes an unhealthy backend.
//!
//! **Windows.** Counts are kept in windows of 32 requests on changed connections or 30 minutes, the last four for each
//! kind of change. A window only grows, and the oldest one is dropped as a whole. The gateway alone decides where a
//! window ends, so a report is one state of one writer, and the windows of two gateways need not agree.

mod control;
mod requests;
mod windows;

pub use requests::{ConnectionUse, Failure, Outcome, Tally};
pub use windows::{Window, WINDOWS, WINDOW_REQUESTS, WINDOW_S};

use super::{Backend, Customer, Pooling};
use crate::protocol::Micros;
use control::{control_group, ControlCounts, ControlGroup, RequestCounts, Second};
use control::{CONTROL_AHEAD_S, CONTROL_MAX_BACK_S};
use indexmap::IndexMap;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;
use windows::{ControlSample, WindowRing};

/// Maximum number of requests of one customer at one backend that count for the control group in one second.
const MAX_CONTROL_REQUESTS_EACH: u32 = 4;
/// Maximum number of entries that wait for their second or serve as control group, together.
const MAX_BUFFERED: usize = 16_384;
/// Number of customers sampled for an eviction.
const EVICTION_SAMPLE: usize = 8;
/// Requests on changed connections that protect a customer from eviction.
const PROTECTED_CHANGED_REQUESTS: u32 = 4;
/// Seconds without a request after which a customer is not protected from eviction.
const PROTECTED_IDLE_S: u32 = 600;
/// How often a changed report is sent.
const REPORT_REPEATS: u8 = 3;
/// Interval between two reports of an undecided customer, in microseconds.
const UNDECIDED_INTERVAL: Micros = 5_000_000;
/// Interval between two reports of a customer with a verdict, in microseconds.
const DECIDED_INTERVAL: Micros = 30_000_000;
/// Interval between two reports of a new break, in microseconds.
const BREAK_INTERVAL: Micros = 200_000;

/// All that a gateway has counted for a customer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Name of the gateway.
    pub gateway: String,
    /// Incarnation of the gateway.
    pub incarnation: u64,
    /// Sequence number; it grows within an incarnation.
    pub sequence: u64,
    /// The customer.
    pub customer: Customer,
    /// The verdict that the gateway applies: a new owner continues from it.
    pub pooling: Pooling,
    /// Windows of changes within runs, newest first, each with its age in seconds.
    pub in_run: Vec<(Window, u32)>,
    /// Windows of changes between runs, newest first, each with its age in seconds.
    pub between_runs: Vec<(Window, u32)>,
}

/// Counts of one customer.
#[derive(Debug, Clone, Copy)]
struct Record {
    in_run: WindowRing,
    between_runs: WindowRing,
    /// Second of the last counted request.
    last_seen_s: u32,
    /// When the last report was sent.
    sent_at: Micros,
    /// How often a change still has to be reported.
    pending_sends: u8,
    /// How often a new break still has to be reported.
    urgent_sends: u8,
    /// The verdict that this gateway applies.
    pooling: Pooling,
}

/// Bytes of one customer in the table: number, counts, and the overhead of the table (a hash, and an index that is at
/// most 7/8 full and doubles when it grows). The test `customer_record_size_stays_within_the_documented_bytes` compares
/// it with the compiler's sizes.
pub const BYTES_PER_CUSTOMER: usize = 8 + RECORD_BYTES + 8 + 16;
const RECORD_BYTES: usize = std::mem::size_of::<Record>();

/// Number of entries that were not counted, by cause.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ExcludedCounts {
    /// Entries of seconds in which others failed at that backend.
    pub unhealthy: u64,
    /// Entries of seconds with too few requests of others.
    pub too_few_others: u64,
    /// Requests that exceeded the limit of waiting entries.
    pub queue_full: u64,
    /// Entries of customers that did not fit in the table.
    pub table_full: u64,
    /// Customers evicted for others.
    pub evicted: u64,
}

/// Counts of one incarnation of one gateway.
#[derive(Debug)]
pub struct Evidence {
    gateway: String,
    incarnation: u64,
    sequence: u64,
    max_customers: usize,
    customers: IndexMap<Customer, Record>,
    /// The last seconds, as control groups and until their own entries are counted.
    seconds: VecDeque<Second>,
    /// Seconds before this one have been evaluated.
    evaluated_until: u64,
    /// Number of entries in `seconds`.
    buffered: usize,
    /// Index of the customer whose report was looked at last.
    cursor: usize,
    rng: Pcg64Mcg,
    excluded: ExcludedCounts,
}

impl Evidence {
    /// Starts without counts, with a limit of `max_customers` customers.
    ///
    /// If the table is full, one of eight sampled customers is evicted: first a customer without a request for ten
    /// minutes, then one with fewer than four counted requests on changed connections, then the one seen longest ago.
    /// If all eight are protected, the new customer is not taken. So a flood of new customers evicts new customers.
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

    /// Records a finished request. It is evaluated later, by [`Evidence::evaluate`] and [`Evidence::due_reports`],
    /// which a timer calls.
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
        let is_bound = self
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
            _ if is_bound => ControlCounts::default(),
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

    /// Sets the verdict that this gateway applies to a customer: breaks of a bound customer say nothing about a
    /// backend.
    pub fn set_pooling(&mut self, customer: Customer, pooling: Pooling) {
        if let Some(record) = self.customers.get_mut(&customer) {
            record.pooling = pooling;
        }
    }

    /// Counts the entries of seconds whose control group is complete. Call it a few times a second; otherwise new
    /// entries are dropped at the limit of waiting ones.
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
            if let Some(expired) = self.seconds.pop_front() {
                self.buffered = self.buffered.saturating_sub(expired.entries.len());
            }
        }
    }

    /// Counts the entries of one second, unless its control group excludes them.
    fn evaluate_second(&mut self, index: usize) {
        let Some(second) = self.seconds.get(index) else {
            return;
        };
        let (at, count) = (second.at, second.entries.len());
        for position in 0..count {
            let Some((&(backend, customer), &entry)) = self
                .seconds
                .get(index)
                .and_then(|second| second.entries.get_index(position))
            else {
                continue;
            };
            match control_group(&self.seconds, index, at, backend, customer) {
                ControlGroup::Unhealthy => self.excluded.unhealthy += 1,
                ControlGroup::TooFew => self.excluded.too_few_others += 1,
                ControlGroup::Healthy(control) => {
                    self.count_requests(at, customer, entry, &control);
                }
            }
        }
    }

    /// Adds the requests of a customer in one second to its windows.
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
        // Requests on reused connections and the control group count for both kinds of change, as each is tested by its
        // own windows.
        record
            .in_run
            .add(second, entry.in_run, entry.reused, control);
        record
            .between_runs
            .add(second, entry.between_runs, entry.reused, control);
        record.last_seen_s = second;
        record.pending_sends = REPORT_REPEATS;
        // A break that the verdict already expects is not urgent.
        let breaks_in_run = entry.in_run.failures() > 0 && record.pooling < Pooling::Transaction;
        if breaks_in_run || (entry.between_runs.failures() > 0 && record.pooling < Pooling::Session)
        {
            record.urgent_sends = REPORT_REPEATS;
        }
    }

    /// Makes space for a new customer, by an eviction if necessary. Returns false if all sampled ones are protected.
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

    /// The report of a customer, also where nothing was counted, since an owner that requests it waits for it.
    /// `pooling` is the verdict that this gateway applies.
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

    /// Customers whose reports are due, `limit` at most, those with new breaks first. Each change is reported three
    /// times, so that a loss delays it by seconds, and a break by a fifth of a second.
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

    /// Marks the reports of these customers as due, for an owner that does not have them. Returns the customers.
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

    /// Whether a new break of this customer has not been reported as often as required.
    pub fn is_urgent(&self, customer: Customer) -> bool {
        self.customers
            .get(&customer)
            .is_some_and(|record| record.urgent_sends > 0)
    }

    /// Number of customers with counts.
    pub fn customers(&self) -> usize {
        self.customers.len()
    }

    /// Upper limit of the bytes used for customers, waiting entries and control groups.
    pub fn max_bytes(&self) -> usize {
        let entry = std::mem::size_of::<(Backend, Customer, RequestCounts)>() + 24;
        self.max_customers * 2 * BYTES_PER_CUSTOMER + MAX_BUFFERED * 2 * entry
    }

    /// What was not counted.
    pub fn excluded(&self) -> ExcludedCounts {
        self.excluded
    }
}

#[cfg(test)]
mod tests;
