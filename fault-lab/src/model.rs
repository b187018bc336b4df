//! The models behind the emulated parties, without I/O: a backend's cores and warmth, and the meter over all of them.

use rand::Rng;
use rand_distr::{Distribution, Gamma};
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, HashSet, VecDeque};

/// Milliseconds since the run began.
pub type Millis = f64;

/// What a backend can do.
#[derive(Debug, Clone)]
pub struct Machine {
    /// Requests that run at a time.
    pub cores: usize,
    /// Mean time of a request of each class while the backend is warm.
    pub service_ms: Vec<f64>,
    /// Standard deviation of that time, as a part of its mean.
    pub spread: f64,
    /// Requests that may wait for a core.
    pub waiting: usize,
    /// Speed of a backend that has just started, as a part of that when warm, and when it is warm.
    pub cold_from: f64,
    pub cold_ms: f64,
    /// A cold backend falls over that is sent more than so many times what it can do, for so long.
    pub tip_multiple: f64,
    pub tip_ms: f64,
}

/// What becomes of a request that arrives.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Arrival {
    /// It is turned away: the waiting room is full, or the backend drains.
    Full,
    /// It is done then.
    Runs { until: Millis },
    /// It was too much for a cold backend, which is down from here on.
    Tips,
}

/// One backend: a first-come queue before so many cores. Work that began is never called off.
#[derive(Debug)]
pub struct Server {
    machine: Machine,
    rng: Pcg64Mcg,
    started: Option<Millis>,
    /// When each core is free.
    free: Vec<Millis>,
    /// When each request that has not begun yet begins, in order.
    begins: VecDeque<Millis>,
    /// Work that arrived lately: when, and how much in milliseconds of one warm core.
    offered: VecDeque<(Millis, f64)>,
    /// Times slower than the model says.
    pub slow: f64,
    /// Whether new work is turned away.
    pub draining: bool,
}

impl Server {
    /// A backend that is warm (`started` is `None`) or has just started.
    pub fn new(machine: Machine, rng: Pcg64Mcg, started: Option<Millis>) -> Server {
        let free = vec![0.0; machine.cores];
        let (begins, offered) = (VecDeque::new(), VecDeque::new());
        Server {
            machine,
            rng,
            started,
            free,
            begins,
            offered,
            slow: 1.0,
            draining: false,
        }
    }

    /// It stands anew, cold and empty.
    pub fn restart(&mut self, now: Millis) {
        *self = Server::new(self.machine.clone(), self.rng.clone(), Some(now));
    }

    /// Its speed as a part of that when warm.
    pub fn warmth(&self, now: Millis) -> f64 {
        let Machine {
            cold_from, cold_ms, ..
        } = self.machine;
        match self.started {
            Some(at) if now < at + cold_ms => {
                cold_from + (1.0 - cold_from) * ((now - at) / cold_ms).max(0.0)
            }
            _ => 1.0,
        }
    }

    /// A request arrives.
    pub fn arrive(&mut self, now: Millis, class: usize) -> Arrival {
        while self.begins.front().is_some_and(|at| *at <= now) {
            self.begins.pop_front();
        }
        let mean = self.machine.service_ms[class];
        let shape = 1.0 / (self.machine.spread * self.machine.spread);
        let work = match Gamma::new(shape, mean / shape) {
            Ok(gamma) if self.machine.spread > 0.0 => gamma.sample(&mut self.rng),
            _ => mean,
        };
        let warmth = self.warmth(now);
        let window = self.machine.tip_ms;
        if warmth < 1.0 {
            self.offered.push_back((now, work));
            while self
                .offered
                .front()
                .is_some_and(|(at, _)| *at < now - window)
            {
                self.offered.pop_front();
            }
            let sent: f64 = self.offered.iter().map(|(_, work)| work).sum();
            // What it could have done in the window: its speed grows in a line, so the middle's speed is the mean.
            let can = self.machine.cores as f64 * window * self.warmth(now - window / 2.0);
            let age = self.started.map_or(f64::MAX, |at| now - at);
            if age >= window && sent > self.machine.tip_multiple * can {
                return Arrival::Tips;
            }
        } else {
            self.offered.clear();
        }
        if self.draining || self.begins.len() >= self.machine.waiting {
            return Arrival::Full;
        }
        let core = (0..self.free.len())
            .min_by(|a, b| self.free[*a].total_cmp(&self.free[*b]))
            .unwrap_or(0);
        let begin = self.free[core].max(now);
        let until = begin + work * self.slow / self.warmth(begin);
        self.free[core] = until;
        if begin > now {
            self.begins.push_back(begin);
        }
        Arrival::Runs { until }
    }

    /// Requests that run, and those that wait.
    pub fn load(&self, now: Millis) -> (usize, usize) {
        let queue = self.begins.iter().filter(|at| **at > now).count();
        (
            self.free.iter().filter(|until| **until > now).count(),
            queue,
        )
    }

    /// Its cores.
    pub fn cores(&self) -> usize {
        self.machine.cores
    }

    /// Draws whether something with this chance happens.
    pub fn chance(&mut self, chance: f64) -> bool {
        self.rng.random_bool(chance.clamp(0.0, 1.0))
    }
}

/// Counts what all front doors sent on for each customer, and tells of each period once it is over, late.
#[derive(Debug)]
pub struct Meter {
    period: Millis,
    late: Millis,
    /// Units by customer for each period that may still be told.
    periods: BTreeMap<u64, BTreeMap<u64, f64>>,
    /// Tries that were counted, by the period in which they were: each counts once.
    counted: BTreeMap<u64, HashSet<u64>>,
}

impl Meter {
    /// One with periods of so many milliseconds, told so much late.
    pub fn new(period: Millis, late: Millis) -> Meter {
        Meter {
            period,
            late,
            periods: BTreeMap::new(),
            counted: BTreeMap::new(),
        }
    }

    /// How many periods a try is remembered for.
    const KEPT: u64 = 8;

    /// A try with this number has reached a backend.
    pub fn count(&mut self, now: Millis, id: u64, customer: u64, units: f64) {
        let period = (now / self.period) as u64;
        if self.counted.values().any(|ids| ids.contains(&id)) {
            return;
        }
        self.counted.entry(period).or_default().insert(id);
        *self
            .periods
            .entry(period)
            .or_default()
            .entry(customer)
            .or_default() += units;
        let oldest = period.saturating_sub(Meter::KEPT);
        self.counted.retain(|at, _| *at >= oldest);
        self.periods.retain(|at, _| *at >= oldest);
    }

    /// The customer's use in the last period that can be told of, as a part of `rate` units a second. `None` before
    /// the first.
    pub fn usage(&self, now: Millis, customer: u64, rate: f64) -> Option<f64> {
        let told = ((now - self.late) / self.period).floor();
        if told < 1.0 {
            return None;
        }
        let units = self
            .periods
            .get(&(told as u64 - 1))
            .and_then(|period| period.get(&customer))
            .unwrap_or(&0.0);
        Some(units / (rate * self.period / 1000.0))
    }
}

#[cfg(test)]
mod tests;
