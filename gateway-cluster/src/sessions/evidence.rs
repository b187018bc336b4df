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
pub const FULL: u16 = 32;
/// Seconds after which a window is over.
pub const OVER_S: u32 = 1800;
/// Seconds on both sides of a request that its control is taken from, and how far back it reaches where they hold too
/// few. A second is settled when the next one is over.
const NEAR_BACK: u64 = 3;
const NEAR_ON: u64 = 1;
const FAR_BACK: u64 = 30;
/// Requests that a control needs, the failed part from which a backend is sick, and the part of changed ones from which
/// it is sick though kept ones are well, as where it takes no new connections.
const CONTROL_LEAST: u32 = 6;
const SICK: f64 = 0.1;
const SICK_CHANGED: f64 = 0.8;
/// Requests of one customer in one second at one backend that count as control of others.
const CONTROL_EACH: u32 = 4;
/// Entries that may wait for their second or stand behind as control, together.
const MOST_WAITING: usize = 16_384;
/// Customers that are drawn to find the one that goes, and changed requests and seconds that make one dear.
const DRAWN: usize = 8;
const DEAR_CHANGED: u32 = 4;
const DEAR_S: u32 = 600;
/// A report goes so often after a change; pauses while nothing is decided, after that, and where a break is new.
const TIMES_SENT: u8 = 3;
const PAUSE_OPEN: Micros = 5_000_000;
const PAUSE_KNOWN: Micros = 30_000_000;
const PAUSE_BREAK: Micros = 200_000;

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
    pub kept: Tally,
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
    pub held: Pooling,
    /// Windows of changes within runs, newest first, each with its age in seconds.
    pub in_run: Vec<(Window, u32)>,
    /// The same between runs.
    pub between: Vec<(Window, u32)>,
}

/// The last windows of one kind of change, newest first.
#[derive(Debug, Clone, Copy, Default)]
struct Ring {
    windows: [Window; WINDOWS],
    /// The second in which each began.
    begun: [u32; WINDOWS],
    used: u8,
}

impl Ring {
    fn add(&mut self, second: u32, changed: Tally, kept: Tally, control: &Others) {
        let [newest, ..] = &self.windows;
        let [begun, ..] = &self.begun;
        let over = newest.changed.requests >= FULL || second.saturating_sub(*begun) >= OVER_S;
        if self.used == 0 || over {
            self.windows.rotate_right(1);
            self.begun.rotate_right(1);
            self.windows[0] = Window::default();
            self.begun[0] = second;
            self.used = (self.used + 1).min(WINDOWS as u8);
        }
        let newest = &mut self.windows[0];
        newest.changed.add(changed);
        newest.kept.add(kept);
        for (mine, more) in newest.control.iter_mut().zip(control.control) {
            *mine = mine.saturating_add(more);
        }
        for (mine, more) in newest.control_changed.iter_mut().zip(control.changed) {
            *mine = mine.saturating_add(more);
        }
    }

    fn told(&self, second: u32) -> Vec<(Window, u32)> {
        let oldest = OVER_S * WINDOWS as u32;
        let all = self
            .windows
            .iter()
            .zip(self.begun)
            .take(usize::from(self.used));
        all.map(|(window, begun)| (*window, second.saturating_sub(begun)))
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
    in_run: Ring,
    between: Ring,
    seen: u32,
    sent: Micros,
    unsent: u8,
    /// How often a new break is still to be told.
    urgent: u8,
    held: Pooling,
}

/// Bytes of one customer in the table: its number, its counts, and what the table adds (a hash, and an index at 7/8
/// full at the least after growth by two). `state_of_a_customer_is_as_small_as_stated` holds it against the compiler's.
pub const BYTES_PER_CUSTOMER: usize = 8 + RECORD_BYTES + 8 + 16;
const RECORD_BYTES: usize = std::mem::size_of::<Record>();

/// Requests of one customer at one backend in one second.
#[derive(Debug, Clone, Copy, Default)]
struct Entry {
    in_run: Tally,
    between: Tally,
    kept: Tally,
    /// What it adds to the control of others: kept and changed, requests and failures.
    adds: Cell,
}

#[derive(Debug, Clone, Copy, Default)]
struct Cell {
    kept: [u32; 2],
    changed: [u32; 2],
}

impl Cell {
    fn plus(&mut self, other: &Cell) {
        for at in 0..2 {
            self.kept[at] += other.kept[at];
            self.changed[at] += other.changed[at];
        }
    }

    fn minus(&mut self, other: &Cell) {
        for at in 0..2 {
            self.kept[at] = self.kept[at].saturating_sub(other.kept[at]);
            self.changed[at] = self.changed[at].saturating_sub(other.changed[at]);
        }
    }

    fn all(&self) -> [u32; 2] {
        [
            self.kept[0] + self.changed[0],
            self.kept[1] + self.changed[1],
        ]
    }
}

fn part(counts: [u32; 2]) -> f64 {
    f64::from(counts[1]) / f64::from(counts[0].max(1))
}

/// One second at this gateway.
#[derive(Debug, Default)]
struct Second {
    at: u64,
    cells: BTreeMap<Backend, Cell>,
    entries: IndexMap<(Backend, Customer), Entry>,
}

/// What was not counted, and why.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct LeftOut {
    /// Entries of seconds in which others failed at that backend.
    pub sick: u64,
    /// Entries of seconds with too few others.
    pub blind: u64,
    /// Requests for which there was no room to wait for their second.
    pub crowded: u64,
    /// Entries of customers for whom there was no room.
    pub not_kept: u64,
    /// Customers that had to go for others.
    pub gone: u64,
}

/// The counts of one incarnation of one gateway.
#[derive(Debug)]
pub struct Evidence {
    gateway: String,
    incarnation: u64,
    sequence: u64,
    most: usize,
    customers: IndexMap<Customer, Record>,
    seconds: VecDeque<Second>,
    settled: u64,
    waiting: usize,
    cursor: usize,
    chance: Pcg64Mcg,
    left_out: LeftOut,
}

impl Evidence {
    /// An incarnation that knows nothing. It holds `most` customers.
    ///
    /// Where there are more, the one goes that is least dear of eight drawn by chance: first who was idle for ten minutes,
    /// then who has fewer than four changed requests counted, then who was seen longest ago. Where all eight are
    /// dear, the newcomer is not taken. A flood of newcomers so pushes out newcomers.
    pub fn new(gateway: &str, incarnation: u64, most: usize, seed: u64) -> Self {
        Evidence {
            gateway: gateway.to_string(),
            incarnation,
            sequence: 0,
            most: most.max(1),
            customers: IndexMap::new(),
            seconds: VecDeque::new(),
            settled: 0,
            waiting: 0,
            cursor: 0,
            chance: Pcg64Mcg::seed_from_u64(seed),
            left_out: LeftOut::default(),
        }
    }

    /// A request has ended. Nothing is judged here: [`Evidence::settle`] and [`Evidence::next_wakeup`] are for a timer, beside requests.
    pub fn note(
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
            .is_some_and(|record| record.held > Pooling::Unknown);
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
        if self.waiting >= MOST_WAITING && !second.entries.contains_key(&(backend, customer)) {
            self.left_out.crowded += 1;
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
            ConnectionUse::Kept => entry.kept.add(one),
            ConnectionUse::ChangedInRun => entry.in_run.add(one),
            ConnectionUse::ChangedBetween => entry.between.add(one),
        }
        let counts = [1, u32::from(failure.is_some())];
        let adds = match conn {
            ConnectionUse::Kept => Cell {
                kept: counts,
                changed: [0; 2],
            },
            _ if bound => Cell::default(),
            _ => Cell {
                kept: [0; 2],
                changed: counts,
            },
        };
        if entry.adds.all()[0] < CONTROL_EACH {
            entry.adds.plus(&adds);
            second.cells.entry(backend).or_default().plus(&adds);
        }
        self.waiting += second.entries.len() - before;
    }

    /// What a gateway has been told to hold a customer for: its breaks say nothing of backends where it is bound.
    pub fn hold(&mut self, customer: Customer, held: Pooling) {
        if let Some(record) = self.customers.get_mut(&customer) {
            record.held = held;
        }
    }

    /// Counts what seconds hold whose control is complete: to be called a few times a second. Where it is not, notes are left
    /// out once there is no room for more.
    pub fn settle(&mut self, now: Micros) {
        let second = now / 1_000_000;
        let mut ready = Vec::new();
        for (index, held) in self.seconds.iter().enumerate() {
            if held.at >= self.settled && held.at + NEAR_ON < second {
                ready.push(index);
            }
        }
        for index in ready {
            self.settle_one(index);
        }
        self.settled = self.settled.max(second.saturating_sub(NEAR_ON));
        while self
            .seconds
            .front()
            .is_some_and(|first| first.at + FAR_BACK + NEAR_ON + 1 < second)
        {
            if let Some(gone) = self.seconds.pop_front() {
                self.waiting = self.waiting.saturating_sub(gone.entries.len());
            }
        }
    }

    fn settle_one(&mut self, index: usize) {
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
            match self.control(index, at, backend, customer) {
                Control::Sick => self.left_out.sick += 1,
                Control::Blind => self.left_out.blind += 1,
                Control::Well(control) => self.count(at, customer, entry, &control),
            }
        }
    }

    /// How others did, near a second, or back from it where there are few.
    fn control(&self, index: usize, at: u64, backend: Backend, customer: Customer) -> Control {
        let others = |second: &Second| {
            let mut cell = second.cells.get(&backend).copied().unwrap_or_default();
            if let Some(own) = second.entries.get(&(backend, customer)) {
                cell.minus(&own.adds);
            }
            cell
        };
        let mut sum = Cell::default();
        for second in self
            .seconds
            .iter()
            .skip(index)
            .take_while(|second| second.at <= at + NEAR_ON)
        {
            sum.plus(&others(second));
        }
        let mut far = false;
        for second in self.seconds.iter().take(index).rev() {
            let back = at - second.at;
            if back > FAR_BACK || (back > NEAR_BACK && sum.all()[0] >= CONTROL_LEAST) {
                break;
            }
            far |= back > NEAR_BACK;
            sum.plus(&others(second));
        }
        if !far && sum.kept[0] >= CONTROL_LEAST {
            let refused = sum.changed[0] >= CONTROL_LEAST && part(sum.changed) > SICK_CHANGED;
            return if refused || part(sum.kept) > SICK {
                Control::Sick
            } else {
                Control::Well(Others {
                    control: sum.kept,
                    changed: sum.changed,
                })
            };
        }
        match sum.all() {
            few if few[0] < CONTROL_LEAST => Control::Blind,
            all if part(all) > SICK => Control::Sick,
            all => Control::Well(Others {
                control: all,
                changed: sum.changed,
            }),
        }
    }

    fn count(&mut self, at: u64, customer: Customer, entry: Entry, control: &Others) {
        let second = u32::try_from(at).unwrap_or(u32::MAX);
        if !self.customers.contains_key(&customer) && !self.make_room(second) {
            self.left_out.not_kept += 1;
            return;
        }
        let record = self.customers.entry(customer).or_insert(Record {
            in_run: Ring::default(),
            between: Ring::default(),
            seen: second,
            sent: 0,
            unsent: 0,
            urgent: 0,
            held: Pooling::Unknown,
        });
        // Kept requests and the control stand beside both kinds of change: each is judged by its own windows.
        record.in_run.add(second, entry.in_run, entry.kept, control);
        record
            .between
            .add(second, entry.between, entry.kept, control);
        record.seen = second;
        record.unsent = TIMES_SENT;
        // A break that the verdict allows for is no news.
        let within = entry.in_run.failures() > 0 && record.held < Pooling::Transaction;
        if within || (entry.between.failures() > 0 && record.held < Pooling::Session) {
            record.urgent = TIMES_SENT;
        }
    }

    fn make_room(&mut self, second: u32) -> bool {
        if self.customers.len() < self.most {
            return true;
        }
        let mut least = None;
        for _ in 0..DRAWN {
            let index = self.chance.random_range(0..self.customers.len());
            let Some((_, record)) = self.customers.get_index(index) else {
                continue;
            };
            let idle = second.saturating_sub(record.seen) > DEAR_S;
            let changed = record.in_run.changed() + record.between.changed();
            let worth = (!idle, changed >= DEAR_CHANGED, record.seen);
            if least.is_none_or(|(known, _)| worth < known) {
                least = Some((worth, index));
            }
        }
        match least {
            Some(((true, true, _), _)) | None => false,
            Some((_, index)) => {
                self.customers.swap_remove_index(index);
                self.left_out.gone += 1;
                true
            }
        }
    }

    /// What is held of a customer, also where that is nothing: an owner that asks has to hear that, too.
    /// `held` is the verdict that this gateway acts on.
    pub fn report(&mut self, now: Micros, customer: Customer, held: Pooling) -> Report {
        self.settle(now);
        self.sequence += 1;
        let second = u32::try_from(now / 1_000_000).unwrap_or(u32::MAX);
        let record = self.customers.get(&customer);
        Report {
            gateway: self.gateway.clone(),
            incarnation: self.incarnation,
            sequence: self.sequence,
            customer,
            held,
            in_run: record.map_or_else(Vec::new, |record| record.in_run.told(second)),
            between: record.map_or_else(Vec::new, |record| record.between.told(second)),
        }
    }

    /// Customers whose owners are to be told, `most` at a time, those with new breaks first. Each change is told three times, so
    /// that one loss costs seconds, and a fifth of one for a break.
    pub fn next_wakeup(&mut self, now: Micros, most: usize) -> Vec<Customer> {
        self.settle(now);
        let mut next_wakeup = Vec::new();
        for breaks in [true, false] {
            for _ in 0..self.customers.len() {
                if next_wakeup.len() >= most {
                    return next_wakeup;
                }
                self.cursor = (self.cursor + 1) % self.customers.len();
                let Some((&customer, record)) = self.customers.get_index_mut(self.cursor) else {
                    continue;
                };
                let pause = match (breaks, record.held) {
                    (true, _) => PAUSE_BREAK,
                    (false, Pooling::Unknown) => PAUSE_OPEN,
                    (false, _) => PAUSE_KNOWN,
                };
                let wanted = if breaks { record.urgent } else { record.unsent };
                if wanted > 0 && (record.sent == 0 || now.saturating_sub(record.sent) >= pause) {
                    record.urgent = record.urgent.saturating_sub(1);
                    record.unsent = record.unsent.saturating_sub(1);
                    record.sent = now;
                    next_wakeup.push(customer);
                }
            }
        }
        next_wakeup
    }

    /// All that is held of these customers is to be told again, as for an owner that is new to them. Returns who they are.
    pub fn again(&mut self, of: impl Fn(Customer) -> bool) -> Vec<Customer> {
        let mut all = Vec::new();
        for (&customer, record) in self
            .customers
            .iter_mut()
            .filter(|(customer, _)| of(**customer))
        {
            record.unsent = TIMES_SENT;
            record.sent = 0;
            all.push(customer);
        }
        all
    }

    /// Whether a new break of this customer is still to be told.
    pub fn is_urgent(&self, customer: Customer) -> bool {
        self.customers
            .get(&customer)
            .is_some_and(|record| record.urgent > 0)
    }

    /// How many customers have a record.
    pub fn customers(&self) -> usize {
        self.customers.len()
    }

    /// Bytes held at most, whatever customers do: records, and entries that wait or are control.
    pub fn most_bytes(&self) -> usize {
        let entry = std::mem::size_of::<(Backend, Customer, Entry)>() + 24;
        self.most * 2 * BYTES_PER_CUSTOMER + MOST_WAITING * 2 * entry
    }

    /// What was left out.
    pub fn left_out(&self) -> LeftOut {
        self.left_out
    }
}

/// How others did, in a second that counts.
struct Others {
    control: [u32; 2],
    changed: [u32; 2],
}

enum Control {
    Well(Others),
    Sick,
    Blind,
}

#[cfg(test)]
mod tests;
