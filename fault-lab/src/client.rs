//! Clients: requests are drawn ahead of the run and sent when they are due, however slow the answers are.

use crate::fleet::{Facts, Semantics};
use crate::ground::Ground;
use crate::http::{open, status, Body};
use crate::lock;
use crate::record::{Ending, Event, Life, Micros, Recorder};
use http_body_util::BodyExt;
use hyper::client::conn::http1::SendRequest;
use hyper::Request;
use rand::seq::{index, IndexedRandom, SliceRandom};
use rand::{Rng, SeedableRng};
use rand_distr::{Distribution, Exp, Geometric};
use rand_pcg::Pcg64Mcg;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::task::JoinSet;
use tokio::time::{sleep, sleep_until, timeout, Instant};

/// How long beyond its deadline a client waits before a request counts as never answered.
pub const BEYOND: Duration = Duration::from_millis(500);
/// How long after SIGTERM new connections still come: PROTOCOL says 0.2 to 0.4 s.
const LEAVING: Duration = Duration::from_millis(300);
/// How often the front asks each front door, and how long it waits for the answer.
const ASK: Duration = Duration::from_millis(200);
/// Clients' connections that one front door is left with while they are idle.
const IDLE: usize = 64;
/// How long such a connection is kept, a little less than front doors keep it.
const KEEP: Duration = Duration::from_millis(1500);

/// One request that is to be sent.
#[derive(Debug, Clone, PartialEq)]
pub struct Planned {
    pub due: Micros,
    pub customer: usize,
    pub class: usize,
    pub units: u32,
    /// Which of the customer's front doors it comes through, counted from its first.
    pub way: usize,
    /// What decides over its retries.
    pub draw: f64,
}

/// A customer.
#[derive(Debug, Clone, PartialEq)]
pub struct Customer {
    pub number: u64,
    pub plan: usize,
    pub first: usize,
    pub spread: usize,
    /// Requests a second.
    pub rate: f64,
}

/// How clients behave.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Habits {
    /// Part of the refused requests that are sent again, once, after what the answer says or so long.
    pub retry_share: f64,
    pub retry_after: Duration,
    /// How long a front door may fail to answer before the front takes it out.
    pub notice: Duration,
}

/// The customers of these plans, drawn from the seed.
pub fn customers(facts: &Facts, seed: u64) -> Vec<Customer> {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let mut customers = Vec::new();
    let mean_units = (1.0 + f64::from(facts.rules.most_units)) / 2.0;
    for (number, plan) in facts.plans.iter().enumerate() {
        for _ in 0..plan.customers {
            let uneven = 1.0 + plan.uneven * rng.random_range(-1.0..=1.0);
            customers.push(Customer {
                number: rng.random_range(1..1u64 << 33),
                plan: number,
                first: rng.random_range(0..facts.doors),
                spread: plan.spread.min(facts.doors),
                rate: (plan.units_per_s * plan.offered * uneven / mean_units).max(1e-6),
            });
        }
    }
    customers
}

/// When one customer's requests come, and by which way.
enum Pace {
    /// Each by itself.
    Alone { gaps: Exp<f64>, spread: usize },
    InRuns {
        runs: Runs,
        left: u64,
        ways: Vec<usize>,
    },
}

/// How the runs of one customer are.
struct Runs {
    length: Geometric,
    within_ms: [f64; 2],
    between: Exp<f64>,
    apart_ms: f64,
    /// Ways of the customer, and of one run.
    spread: usize,
    run_spread: usize,
}

impl Pace {
    fn of(facts: &Facts, customer: &Customer) -> Option<Pace> {
        let plan = facts.plans.get(customer.plan)?;
        let spread = customer.spread;
        if plan.run_length <= 0.0 {
            return Some(Pace::Alone {
                gaps: Exp::new(customer.rate).ok()?,
                spread,
            });
        }
        let [beyond, apart_ms] = plan.between_runs_ms(customer.rate);
        let runs = Runs {
            length: Geometric::new(1.0 / plan.run_length).ok()?,
            within_ms: plan.within_run_ms(),
            between: Exp::new(1.0 / beyond).ok()?,
            apart_ms,
            spread,
            run_spread: plan.run_spread.clamp(1, spread),
        };
        Some(Pace::InRuns {
            runs,
            left: 0,
            ways: Vec::new(),
        })
    }

    /// Microseconds to the next request.
    fn next(&mut self, rng: &mut Pcg64Mcg) -> f64 {
        match self {
            Pace::Alone { gaps, .. } => gaps.sample(rng) * 1e6,
            Pace::InRuns {
                left: left @ 0,
                runs,
                ways,
            } => {
                let wait = runs.apart_ms + runs.between.sample(rng);
                *left = runs.length.sample(rng);
                *ways = index::sample(rng, runs.spread, runs.run_spread).into_vec();
                wait * 1000.0
            }
            Pace::InRuns { left, runs, .. } => {
                *left -= 1;
                let [least, most] = runs.within_ms;
                rng.random_range(least..most) * 1000.0
            }
        }
    }

    /// Which of the customer's front doors this request comes through.
    fn way(&self, rng: &mut Pcg64Mcg) -> usize {
        match self {
            Pace::Alone { spread, .. } => rng.random_range(0..*spread),
            Pace::InRuns { ways, .. } => ways.choose(rng).copied().unwrap_or(0),
        }
    }
}

/// All requests of the run in order, drawn from the seed.
pub fn plan(facts: &Facts, customers: &[Customer], seed: u64) -> Vec<Planned> {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let shares: f64 = facts.classes.iter().map(|class| class.share).sum();
    let end = facts.seconds * 1e6;
    let mut requests = Vec::new();
    for (number, customer) in customers.iter().enumerate() {
        let Some(mut pace) = Pace::of(facts, customer) else {
            continue;
        };
        let mut at = pace.next(&mut rng);
        while at < end {
            let mut left = rng.random_range(0.0..shares);
            let class = facts.classes.iter().position(|class| {
                left -= class.share;
                left < 0.0
            });
            requests.push(Planned {
                due: at as Micros,
                customer: number,
                class: class.unwrap_or(0),
                units: rng.random_range(1..=facts.rules.most_units),
                way: pace.way(&mut rng),
                draw: rng.random(),
            });
            at += pace.next(&mut rng);
        }
    }
    // Ties fall at random, not by customer.
    requests.shuffle(&mut rng);
    requests.sort_by_key(|request| request.due);
    requests
}

/// A front door as clients see it.
struct Entrance {
    address: SocketAddr,
    taken: AtomicBool,
    /// It has said yes in this life.
    ready: AtomicBool,
    /// It was told to end: connections that stand may be used, no new ones are opened.
    leaves: AtomicBool,
    /// It was killed: what was written to it may have run.
    killed: AtomicBool,
    idle: Mutex<Vec<(Instant, SendRequest<Body>)>>,
}

/// The clients of one run, and the front that deals their requests out.
pub struct Clients {
    facts: Facts,
    habits: Habits,
    customers: Vec<Customer>,
    entrances: Vec<Entrance>,
    recorder: Recorder,
    ground: Arc<Ground>,
    ids: Mutex<Pcg64Mcg>,
    out: AtomicUsize,
}

/// How one try ended, and when to come again.
struct Tried {
    ending: Ending,
    status: u16,
    again: Option<Duration>,
}

impl Tried {
    fn as_ending(ending: Ending) -> Tried {
        Tried {
            ending,
            status: 0,
            again: None,
        }
    }
}

impl Clients {
    /// Clients that reach each front door at these addresses.
    pub fn new(
        facts: Facts,
        habits: Habits,
        customers: Vec<Customer>,
        addresses: &[SocketAddr],
        (recorder, ground, seed): (Recorder, Arc<Ground>, u64),
    ) -> Arc<Clients> {
        let entrance = |address: &SocketAddr| Entrance {
            address: *address,
            taken: AtomicBool::new(false),
            ready: AtomicBool::new(false),
            leaves: AtomicBool::new(false),
            killed: AtomicBool::new(false),
            idle: Mutex::default(),
        };
        Arc::new(Clients {
            facts,
            habits,
            customers,
            entrances: addresses.iter().map(entrance).collect(),
            recorder,
            ground,
            ids: Mutex::new(Pcg64Mcg::seed_from_u64(seed)),
            out: AtomicUsize::new(0),
        })
    }

    /// Whether the front deals requests to this front door.
    pub fn takes(&self, door: usize) -> bool {
        self.entrances[door].taken.load(Ordering::Relaxed)
    }

    /// A front door was told to end: the front opens connections to it for a moment more, as PROTOCOL has it, and clients
    /// go on with those that they have.
    pub async fn leaves(self: Arc<Self>, door: usize) {
        sleep(LEAVING).await;
        self.entrances[door].leaves.store(true, Ordering::Relaxed);
    }

    /// A front door was killed.
    pub fn killed(&self, door: usize) {
        self.entrances[door].killed.store(true, Ordering::Relaxed);
    }

    /// A front door begins a new life.
    pub fn begins(&self, door: usize) {
        let entrance = &self.entrances[door];
        for told in [
            &entrance.taken,
            &entrance.ready,
            &entrance.leaves,
            &entrance.killed,
        ] {
            told.store(false, Ordering::Relaxed);
        }
    }

    /// Requests that have no end yet.
    pub fn out(&self) -> usize {
        self.out.load(Ordering::Relaxed)
    }

    /// Asks a front door for ever whether it takes clients: in at the first yes, out at a no, and out when it has
    /// not answered for the time that the front needs to notice.
    pub async fn watch(self: Arc<Self>, door: usize) {
        let entrance = &self.entrances[door];
        let mut last = Instant::now();
        loop {
            let asked = timeout(ASK * 4, status(entrance.address, "/healthz")).await;
            let taken = match asked {
                Ok(Ok(200)) => {
                    last = Instant::now();
                    true
                }
                Ok(Ok(_)) => false,
                _ => self.takes(door) && last.elapsed() < self.habits.notice,
            };
            if entrance.taken.swap(taken, Ordering::Relaxed) != taken {
                self.recorder.tell(Event::Front { door, taken });
            }
            if matches!(asked, Ok(Ok(200))) && !entrance.ready.swap(true, Ordering::Relaxed) {
                self.recorder.tell(Event::Door {
                    door,
                    life: Life::Ready,
                });
            }
            sleep(ASK).await;
        }
    }

    /// Who they are.
    pub fn customers(&self) -> &[Customer] {
        &self.customers
    }

    /// Sends all that is planned, each when it is due after `start`. Returns once each has ended.
    pub async fn run(self: Arc<Self>, requests: Vec<Planned>, start: Micros) {
        let mut tasks = JoinSet::new();
        for request in requests {
            while tasks.try_join_next().is_some() {}
            let due = start + request.due;
            sleep_until(Instant::from_std(self.recorder.instant(due))).await;
            self.out.fetch_add(1, Ordering::Relaxed);
            let clients = self.clone();
            tasks.spawn(async move {
                clients.request(request, due).await;
                clients.out.fetch_sub(1, Ordering::Relaxed);
            });
        }
        while tasks.join_next().await.is_some() {}
    }

    async fn request(&self, request: Planned, due: Micros) {
        let again = self.attempt(&request, due, false).await;
        let Some(wait) = again.filter(|_| request.draw < self.habits.retry_share) else {
            return;
        };
        let due = self.recorder.now() + wait.as_micros() as Micros;
        sleep(wait).await;
        self.attempt(&request, due, true).await;
    }

    /// One try, under an id of its own.
    async fn attempt(&self, request: &Planned, due: Micros, retry: bool) -> Option<Duration> {
        let customer = &self.customers[request.customer];
        let doors = self.entrances.len();
        let ways = (0..customer.spread)
            .map(|way| (customer.first + (request.way + way) % customer.spread) % doors);
        let ways: Vec<usize> = ways.collect();
        let chosen = self.choose(&ways, true);
        let door = chosen.or(ways.first().copied())?;
        // Below 2^60, as ids are numbers elsewhere.
        let id = format!("{:016x}", lock(&self.ids).random::<u64>() >> 4);
        let class = &self.facts.classes[request.class];
        let deadline = Duration::from_secs_f64(class.deadline_ms / 1000.0);
        let message = || {
            let safe = class.semantics == Semantics::Free;
            Request::builder()
                .method(if safe { "GET" } else { "POST" })
                .uri(format!("/{}", class.name))
                .header("host", "backend.local")
                .header("x-request-id", &id)
                .header("x-class", &class.name)
                .header("plan", &self.facts.plans[customer.plan].name)
                .header("cookie", format!("client={:016x}", customer.number))
                .header("x-deadline", format!("{}m", class.deadline_ms as u64))
                .header(
                    "quota-info",
                    format!(
                        "units={},spread={},first={}",
                        request.units, customer.spread, customer.first
                    ),
                )
                .body(Body::default())
                .ok()
        };
        self.recorder.tell(Event::Sent {
            id: id.clone(),
            customer: customer.number,
            plan: customer.plan,
            class: request.class,
            units: request.units,
            door,
            due,
            retry,
        });
        if chosen.is_none() {
            self.recorder.tell(Event::Ended {
                id,
                door,
                ending: Ending::NotTaken,
                status: 0,
            });
            return None;
        }
        let last = AtomicUsize::new(door);
        let tried = timeout(deadline + BEYOND, self.exchange(&last, &ways, &id, message)).await;
        let tried = tried.unwrap_or(Tried::as_ending(Ending::GaveUp));
        let door = last.into_inner();
        self.recorder.tell(Event::Ended {
            id,
            door,
            ending: tried.ending,
            status: tried.status,
        });
        tried.again
    }

    /// The first of these front doors that the front deals to; `kept` if a connection that stands will do. A front that
    /// knows of none tries one that was not told to end all the same.
    fn choose(&self, ways: &[usize], kept: bool) -> Option<usize> {
        let takes = |door: &&usize| {
            let entrance = &self.entrances[**door];
            let leaves = entrance.leaves.load(Ordering::Relaxed);
            if leaves {
                kept && self.has_idle(entrance)
            } else {
                self.takes(**door)
            }
        };
        let stays = |door: &&usize| !self.entrances[**door].leaves.load(Ordering::Relaxed);
        ways.iter()
            .find(takes)
            .or_else(|| ways.iter().find(stays))
            .copied()
    }

    async fn exchange(
        &self,
        door: &AtomicUsize,
        ways: &[usize],
        id: &str,
        message: impl Fn() -> Option<Request<Body>>,
    ) -> Tried {
        let mut used = self.idle(&self.entrances[door.load(Ordering::Relaxed)]);
        loop {
            let entrance = &self.entrances[door.load(Ordering::Relaxed)];
            let was_used = used.is_some();
            let mut sender = match used.take() {
                Some(sender) => sender,
                None if entrance.leaves.load(Ordering::Relaxed) => {
                    return Tried::as_ending(Ending::NotTaken)
                }
                None => match open(Some(self.ground.clients()), entrance.address).await {
                    Ok(sender) => sender,
                    Err(_) => return Tried::as_ending(Ending::NotTaken),
                },
            };
            if sender.ready().await.is_err() {
                if was_used {
                    self.elsewhere(door, ways);
                    continue;
                }
                // It came up and was closed before anything was written.
                return Tried::as_ending(Ending::NotTaken);
            }
            let Some(message) = message() else {
                return Tried::as_ending(Ending::NotTaken);
            };
            match sender.send_request(message).await {
                // A close that crosses a request on a kept connection: it is sent once more. What a process had that was
                // killed may have run.
                Err(error)
                    if was_used
                        && (error.is_canceled()
                            || error.is_incomplete_message()
                                && !entrance.killed.load(Ordering::Relaxed)) =>
                {
                    self.elsewhere(door, ways);
                }
                Err(_) => return Tried::as_ending(Ending::Cut),
                Ok(answer) => {
                    let status = answer.status().as_u16();
                    let header = answer
                        .headers()
                        .get("retry-after")
                        .and_then(|value| value.to_str().ok());
                    let after = header.and_then(|text| text.parse::<f64>().ok());
                    let after = after.and_then(|seconds| Duration::try_from_secs_f64(seconds).ok());
                    let after = after.unwrap_or(self.habits.retry_after);
                    let Ok(body) = answer.into_body().collect().await else {
                        return Tried {
                            ending: Ending::Cut,
                            status,
                            again: None,
                        };
                    };
                    lock(&entrance.idle).push((Instant::now(), sender));
                    return match status {
                        // Backends answer with the request's id.
                        200 if body.to_bytes() == id.as_bytes() => Tried {
                            status,
                            ..Tried::as_ending(Ending::Served)
                        },
                        429 | 503 => Tried {
                            ending: Ending::Refused,
                            status,
                            again: Some(after),
                        },
                        _ => Tried {
                            status,
                            ..Tried::as_ending(Ending::Failed)
                        },
                    };
                }
            }
        }
    }

    /// Goes on with a new connection, to where the front opens such.
    fn elsewhere(&self, door: &AtomicUsize, ways: &[usize]) {
        if let Some(next) = self.choose(ways, false) {
            door.store(next, Ordering::Relaxed);
        }
    }

    fn has_idle(&self, entrance: &Entrance) -> bool {
        let mut idle = lock(&entrance.idle);
        idle.retain(|(since, sender)| !sender.is_closed() && since.elapsed() < KEEP);
        let over = idle.len().saturating_sub(IDLE);
        idle.drain(..over);
        !idle.is_empty()
    }

    /// A connection that stands idle.
    fn idle(&self, entrance: &Entrance) -> Option<SendRequest<Body>> {
        self.has_idle(entrance);
        lock(&entrance.idle).pop().map(|(_, sender)| sender)
    }
}

#[cfg(test)]
mod tests;
