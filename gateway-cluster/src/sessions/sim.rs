//! Drawn traffic with a known truth, through the gateways of one set and their owner. All of it follows from a seed.
//!
//! What bound customers lose is up to the backend: it breaks the request by its own notion of a run, which the gateway only
//! guesses from pauses. Everything else is what a gateway has: a pool of shared connections, private ones within limits, and the
//! verdict it was told last.

use super::evidence::{ConnectionUse, Evidence, Failure, Outcome, Report};
use super::verdicts::{
    grant, hold, ConnectionPolicy, Grant, Input, LeaderContext, Limits, Output, Usage, Verdict,
    VerdictAggregator, VerdictTable,
};
use super::{Customer, FencingToken, Pooling};
use crate::protocol::Micros;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, BinaryHeap};

const SECOND: Micros = 1_000_000;
/// Between two requests of a run, and what a gateway takes for one.
const WITHIN: Micros = 20_000;
const GAP: Micros = 100_000;
/// Requests of a run in the mean.
const RUN: f64 = 4.0;
const BACKENDS: usize = 2;
const SHARED: usize = 12;
const TICK: Micros = 100_000;

/// What goes wrong.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// One request in 200 fails.
    Nothing,
    /// One backend fails 30% in every second minute.
    Sick,
    /// One backend fails 30% all the time.
    SickAlways,
    /// One backend fails all, in every second minute.
    Fails,
    /// All through one gateway breaks, 20 s of every 2 minutes.
    CutDoor,
    /// Every minute a backend restarts: all fails for 2 s and all connections are new.
    Restarts,
    /// Of requests on a changed connection 30% fail, whoever sends them.
    Stale,
    /// Every backend fails between 0 and 30%, in waves of 40 s.
    Overload,
}

/// All of them.
pub const FAULTS: [Fault; 8] = [
    Fault::Nothing,
    Fault::Sick,
    Fault::SickAlways,
    Fault::Fails,
    Fault::CutDoor,
    Fault::Restarts,
    Fault::Stale,
    Fault::Overload,
];

/// A customer.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SimulatedCustomer {
    /// What it is.
    pub truth: Pooling,
    /// Requests a second.
    pub rate: f64,
    /// The part of broken requests that fails, and the part that fails whatever happens, by its own requests.
    pub fails: f64,
    /// See `fails`.
    pub own: f64,
    /// What it becomes, and when.
    pub turns: Option<(Micros, Pooling)>,
}

/// A run of the simulation.
#[derive(Debug, Clone)]
pub struct Plan {
    /// Gateways of the set.
    pub gateways: usize,
    /// Customers.
    pub simulated_customers: Vec<SimulatedCustomer>,
    /// What goes wrong.
    pub trouble: Fault,
    /// For how long.
    pub time: Micros,
    /// Whether datagrams are lost (20%), doubled (10%) and late (5%, up to 20 s).
    pub lossy: bool,
    /// Whether gateways act on verdicts.
    pub pool: bool,
    /// At this time the owner is replaced by one that knows nothing.
    pub new_owner: Option<Micros>,
    /// What all follows from.
    pub seed: u64,
}

/// What became of a customer.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Seen {
    /// When the owner first said what is true, and when that was in force at all gateways, from the start or the last turn.
    pub right: Option<Micros>,
    /// The same at all gateways.
    pub everywhere: Option<Micros>,
    /// How often the owner came to `statement` for one of the other kinds; turns do not count.
    pub false_statements: u32,
    /// How often it came from `session` to `transaction` for one of `session`.
    pub false_transactions: u32,
    /// Time for which it was held for more than it is.
    pub held_for_more: Micros,
    /// Requests, those that a break of its connection failed, and those that failed otherwise.
    pub requests: [u64; 3],
}

/// The customers of one run, with what became of them.
#[derive(Debug, Clone, PartialEq)]
pub struct Outcomes {
    /// In the plan's order.
    pub seen: Vec<Seen>,
    /// Datagrams sent to and by the owner.
    pub datagrams: u64,
    /// Requests left out as sick and as blind, at all gateways.
    pub left_out: [u64; 2],
    /// The last verdicts.
    pub verdicts: Vec<Option<Verdict>>,
}

impl SimulatedCustomer {
    /// One whose every break fails and who fails nothing by itself.
    pub fn new(truth: Pooling, rate: f64) -> SimulatedCustomer {
        SimulatedCustomer {
            truth,
            rate,
            fails: 1.0,
            own: 0.0,
            turns: None,
        }
    }
}

/// The three kinds at 2 a minute, 1 and 10 a second; some at the edge of what is told apart; and thirty others, of which two
/// thirds are stateless.
pub fn simulated_customers() -> Vec<SimulatedCustomer> {
    let mut simulated_customers = Vec::new();
    for truth in [Pooling::Statement, Pooling::Transaction, Pooling::Session] {
        for rate in [2.0 / 60.0, 1.0, 10.0] {
            simulated_customers.push(SimulatedCustomer::new(truth, rate));
        }
    }
    for truth in [Pooling::Transaction, Pooling::Session] {
        simulated_customers.push(SimulatedCustomer {
            fails: 0.6,
            ..SimulatedCustomer::new(truth, 1.0)
        });
    }
    for own in [0.1, 0.3] {
        simulated_customers.push(SimulatedCustomer {
            own,
            ..SimulatedCustomer::new(Pooling::Statement, 1.0)
        });
    }
    for index in 0..30 {
        let truth = match index % 6 {
            0 => Pooling::Transaction,
            1 => Pooling::Session,
            _ => Pooling::Statement,
        };
        simulated_customers.push(SimulatedCustomer::new(truth, 1.0));
    }
    simulated_customers
}

#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Request {
        person: usize,
        gateway: usize,
        run: u64,
        left: u32,
    },
    Report(usize),
    Ask {
        gateway: usize,
        customer: Customer,
    },
    Say {
        gateway: usize,
        verdict: usize,
    },
    Tick,
}

/// A connection: its number, and who used it last.
type Link = (u64, Option<usize>);

#[derive(Debug, Clone, Copy)]
struct Last {
    link: u64,
    at: Micros,
    run: u64,
}

struct World<'a> {
    plan: &'a Plan,
    now: Micros,
    queue: BinaryHeap<std::cmp::Reverse<(Micros, u64, Event)>>,
    order: u64,
    chance: Pcg64Mcg,
    gateways: Vec<(Evidence, VerdictTable)>,
    shared: BTreeMap<(usize, usize), Vec<Link>>,
    private: BTreeMap<(usize, usize, usize), Link>,
    last: BTreeMap<(usize, usize, usize), Last>,
    looked: BTreeMap<(usize, usize), Micros>,
    links: u64,
    reports: Vec<Report>,
    says: Vec<Verdict>,
    owner: VerdictAggregator,
    fence: FencingToken,
    before: Vec<Pooling>,
    out: Outcomes,
}

/// Runs a plan.
pub fn run(plan: &Plan) -> Outcomes {
    let simulated_customers = plan.simulated_customers.len();
    let mut world = World {
        plan,
        now: 0,
        queue: BinaryHeap::new(),
        order: 0,
        chance: Pcg64Mcg::seed_from_u64(plan.seed),
        gateways: (0..plan.gateways)
            .map(|gateway| {
                (
                    Evidence::new(&gateway_name(gateway), 1, 4096, plan.seed + gateway as u64),
                    VerdictTable::new(4096),
                )
            })
            .collect(),
        shared: BTreeMap::new(),
        private: BTreeMap::new(),
        last: BTreeMap::new(),
        looked: BTreeMap::new(),
        links: 0,
        reports: Vec::new(),
        says: Vec::new(),
        owner: VerdictAggregator::new(1, 4096),
        fence: FencingToken {
            epoch: 1,
            version: 1,
        },
        before: vec![Pooling::Unknown; simulated_customers],
        out: Outcomes {
            seen: vec![Seen::default(); simulated_customers],
            datagrams: 0,
            left_out: [0; 2],
            verdicts: vec![None; simulated_customers],
        },
    };
    world.renew(None);
    for person in 0..simulated_customers {
        world.next_run(person);
    }
    world.push(TICK, Event::Tick);
    while let Some(std::cmp::Reverse((at, _, event))) = world.queue.pop() {
        if at >= plan.time {
            break;
        }
        world.now = at;
        world.take(event);
    }
    for (evidence, _) in &world.gateways {
        world.out.left_out[0] += evidence.left_out().sick;
        world.out.left_out[1] += evidence.left_out().blind;
    }
    for person in 0..simulated_customers {
        world.out.verdicts[person] =
            world
                .owner
                .verdict(world.now, person as Customer, world.fence);
    }
    world.out
}

fn gateway_name(gateway: usize) -> String {
    format!("n{gateway}")
}

impl World<'_> {
    fn push(&mut self, at: Micros, event: Event) {
        self.order += 1;
        self.queue.push(std::cmp::Reverse((at, self.order, event)));
    }

    /// New connections at a backend, or at all.
    fn renew(&mut self, backend: Option<usize>) {
        for gateway in 0..self.plan.gateways {
            for at in (0..BACKENDS).filter(|&at| backend.is_none_or(|backend| at == backend)) {
                let links = (0..SHARED as u64)
                    .map(|link| (self.links + link, None))
                    .collect();
                self.links += SHARED as u64;
                self.shared.insert((gateway, at), links);
            }
        }
        self.private
            .retain(|&(_, at, _), _| backend.is_some_and(|backend| at != backend));
    }

    fn next_run(&mut self, person: usize) {
        let Some(rate) = self
            .plan
            .simulated_customers
            .get(person)
            .map(|person| person.rate)
        else {
            return;
        };
        let pause = -self.chance.random::<f64>().max(1e-12).ln() * RUN / rate;
        let left = (-self.chance.random::<f64>().max(1e-12).ln() * RUN).ceil() as u32;
        let gateway = self.chance.random_range(0..self.plan.gateways);
        let at = self.now + (pause * SECOND as f64) as Micros;
        let run = self.order;
        self.push(
            at,
            Event::Request {
                person,
                gateway,
                run,
                left,
            },
        );
    }

    fn take(&mut self, event: Event) {
        match event {
            Event::Request {
                person,
                gateway,
                run,
                left,
            } => self.request(person, gateway, run, left),
            Event::Report(at) => {
                let Some(report) = self.reports.get(at).cloned() else {
                    return;
                };
                self.keep(Input::Report(report));
            }
            Event::Ask { gateway, customer } => self.report(gateway, customer),
            Event::Say { gateway, verdict } => {
                let (now, Some(verdict)) = (self.now, self.says.get(verdict).cloned()) else {
                    return;
                };
                let Some((evidence, held)) = self.gateways.get_mut(gateway) else {
                    return;
                };
                // A refusal is part of the game: late and doubled ones are meant to be refused.
                let customer = verdict.customer;
                if held.take(now, verdict, true).is_ok() {
                    evidence.hold(customer, held.in_force(now, customer, now, true));
                }
            }
            Event::Tick => self.tick(),
        }
    }

    fn send(&mut self, event: Event) {
        self.out.datagrams += 1;
        let times = if self.plan.lossy && self.chance.random_bool(0.1) {
            2
        } else {
            1
        };
        for _ in 0..times {
            if self.plan.lossy && self.chance.random_bool(0.2) {
                continue;
            }
            let late = if self.plan.lossy && self.chance.random_bool(0.05) {
                20 * SECOND
            } else {
                2_000
            };
            let at = self.now + self.chance.random_range(1_000..=late);
            self.push(at, event.clone());
        }
    }

    fn report(&mut self, gateway: usize, customer: Customer) {
        let now = self.now;
        let Some((evidence, held)) = self.gateways.get_mut(gateway) else {
            return;
        };
        let report = evidence.report(now, customer, held.in_force(now, customer, now, true));
        self.reports.push(report);
        self.send(Event::Report(self.reports.len() - 1));
    }

    fn keep(&mut self, input: Input) {
        let gateways = self.plan.gateways;
        let scene = LeaderContext {
            fence: self.fence,
            keeps: &|_| true,
            set: &|_| (0..gateways).map(gateway_name).collect(),
            gone: &|_| false,
            may_share: true,
        };
        let mut outputs = Vec::new();
        self.owner.handle(self.now, input, &scene, &mut outputs);
        let place = |name: &str| (0..gateways).find(|&gateway| gateway_name(gateway) == name);
        for output in outputs {
            match output {
                Output::Ask { gateway, customer } => {
                    let Some(gateway) = place(&gateway) else {
                        continue;
                    };
                    self.send(Event::Ask { gateway, customer });
                }
                Output::Say { gateway, verdict } => {
                    let Some(gateway) = place(&gateway) else {
                        continue;
                    };
                    self.says.push(verdict);
                    self.send(Event::Say {
                        gateway,
                        verdict: self.says.len() - 1,
                    });
                }
            }
        }
    }

    fn tick(&mut self) {
        let now = self.now;
        if self.plan.trouble == Fault::Restarts && now % (60 * SECOND) < TICK {
            self.renew(Some((now / (60 * SECOND)) as usize % BACKENDS));
        }
        if self
            .plan
            .new_owner
            .is_some_and(|at| at <= now && at + TICK > now)
        {
            self.owner = VerdictAggregator::new(2, 4096);
            self.fence.epoch += 1;
        }
        for gateway in 0..self.plan.gateways {
            let next_wakeup = self
                .gateways
                .get_mut(gateway)
                .map_or_else(Vec::new, |(evidence, _)| evidence.next_wakeup(now, 64));
            for customer in next_wakeup {
                self.report(gateway, customer);
            }
        }
        self.keep(Input::Tick);
        self.watch();
        self.push(now + TICK, Event::Tick);
    }

    fn truth(&self, person: usize) -> (Pooling, Micros) {
        match self.plan.simulated_customers.get(person) {
            Some(SimulatedCustomer {
                turns: Some((at, kind)),
                ..
            }) if *at <= self.now => (*kind, *at),
            Some(person) => (person.truth, 0),
            None => (Pooling::Unknown, 0),
        }
    }

    fn watch(&mut self) {
        let now = self.now;
        for person in 0..self.plan.simulated_customers.len() {
            let customer = person as Customer;
            let (truth, since) = self.truth(person);
            let pooling = self.owner.verdict_of(customer);
            let everywhere = self
                .gateways
                .iter()
                .all(|(_, held)| held.in_force(now, customer, now, true) == truth);
            let before = std::mem::replace(&mut self.before[person], pooling);
            let Some(seen) = self.out.seen.get_mut(person) else {
                continue;
            };
            if pooling == truth {
                seen.right = seen.right.filter(|&at| at >= since).or(Some(now));
            }
            if everywhere {
                seen.everywhere = seen.everywhere.filter(|&at| at >= since).or(Some(now));
            }
            if pooling != before && pooling == Pooling::Statement && truth != Pooling::Statement {
                seen.false_statements += 1;
            }
            if before == Pooling::Session
                && pooling == Pooling::Transaction
                && truth == Pooling::Session
            {
                seen.false_transactions += 1;
            }
            if pooling > truth && pooling != Pooling::Unknown {
                seen.held_for_more += TICK;
            }
        }
    }

    /// The chance that a backend fails a request whatever its connection.
    fn failing(&self, gateway: usize, backend: usize) -> (f64, Failure) {
        let second = self.now / SECOND;
        let odd = (second / 60) % 2 == 1;
        match self.plan.trouble {
            Fault::Sick if odd && backend == 0 => (0.3, Failure::Http500),
            Fault::SickAlways if backend == 0 => (0.3, Failure::Http500),
            Fault::Fails if odd && backend == 0 => (1.0, Failure::Http500),
            Fault::CutDoor if gateway == 0 && second % 120 >= 100 => (1.0, Failure::Reset),
            Fault::Restarts if second % 60 < 2 && (second / 60) as usize % BACKENDS == backend => {
                (1.0, Failure::Reset)
            }
            Fault::Overload => {
                let wave = (second as f64 / 40.0 * std::f64::consts::TAU).sin();
                (0.15 + 0.15 * wave, Failure::Timeout)
            }
            _ => (0.005, Failure::Http500),
        }
    }

    /// The connection that a request gets.
    fn link(
        &mut self,
        person: usize,
        gateway: usize,
        backend: usize,
        want: ConnectionPolicy,
        last: Option<Last>,
    ) -> Link {
        if want == ConnectionPolicy::Private {
            if let Some(link) = self.private.get_mut(&(gateway, backend, person)) {
                return *link;
            }
            let count = |at: &dyn Fn(usize, usize) -> bool| {
                self.private
                    .keys()
                    .filter(|&&(of, to, _)| at(of, to))
                    .count() as u32
            };
            let usage = Usage {
                descriptors: [512, count(&|of, _| of == gateway)],
                backend: [64, count(&|of, to| of == gateway && to == backend)],
                own: 0,
            };
            if grant(&Limits::default(), &usage) == Grant::Private {
                self.links += 1;
                let link = (self.links, Some(person));
                self.private.insert((gateway, backend, person), link);
                return link;
            }
        }
        let idle = self.chance.random_bool(0.9);
        let pick = self.chance.random_range(0..SHARED);
        let Some(links) = self.shared.get_mut(&(gateway, backend)) else {
            return (0, None);
        };
        let own = links.iter().position(|&(link, user)| {
            want != ConnectionPolicy::Any
                && idle
                && user == Some(person)
                && last.is_some_and(|last| last.link == link)
        });
        let Some(link) = links.get_mut(own.unwrap_or(pick)) else {
            return (0, None);
        };
        let got = *link;
        link.1 = Some(person);
        got
    }

    fn request(&mut self, person: usize, gateway: usize, run: u64, left: u32) {
        let now = self.now;
        let customer = person as Customer;
        let backend = self.chance.random_range(0..BACKENDS);
        let last = self.last.get(&(gateway, backend, person)).copied();
        let mut held = Pooling::Statement;
        if self.plan.pool {
            held = self
                .gateways
                .get(gateway)
                .map_or(held, |(_, held)| held.in_force(now, customer, now, true));
        }
        let looked = self
            .looked
            .get(&(person, gateway))
            .map_or(now, |&at| now - at);
        let want = hold(held, looked, self.chance.random());
        if held > Pooling::Unknown
            && (want == ConnectionPolicy::Any || !self.looked.contains_key(&(person, gateway)))
        {
            self.looked.insert((person, gateway), now);
        }
        let (link, user) = self.link(person, gateway, backend, want, last);
        let same = user == Some(person) && last.is_some_and(|last| last.link == link);
        self.last
            .insert((gateway, backend, person), Last { link, at: now, run });
        let breaks = match (self.truth(person).0, last) {
            (_, None) => false,
            (Pooling::Session, Some(_)) => !same,
            (Pooling::Transaction, Some(last)) => !same && last.run == run,
            _ => false,
        };
        let (mut part, failure) = self.failing(gateway, backend);
        if self.plan.trouble == Fault::Stale && !same {
            part = 0.3;
        }
        let (share, own) = self
            .plan
            .simulated_customers
            .get(person)
            .map_or((1.0, 0.0), |person| (person.fails, person.own));
        let breaks = breaks && self.chance.random_bool(share);
        let fails = self.chance.random_bool(part) || self.chance.random_bool(own);
        let outcome = match (fails, breaks) {
            (true, _) => Outcome::Failed(failure),
            (false, true) => Outcome::Failed(Failure::Http500),
            (false, false) => Outcome::Fine,
        };
        let conn = ConnectionUse::of(same, last.map(|last| now - last.at), GAP);
        if let Some((evidence, _)) = self.gateways.get_mut(gateway) {
            evidence.note(now, customer, backend as u32, conn, outcome);
        }
        if let Some(seen) = self.out.seen.get_mut(person) {
            let [requests, broken, failed] = &mut seen.requests;
            *requests += 1;
            *broken += u64::from(breaks && !fails);
            *failed += u64::from(fails);
        }
        if left > 1 {
            self.push(
                now + WITHIN,
                Event::Request {
                    person,
                    gateway,
                    run,
                    left: left - 1,
                },
            );
        } else {
            self.next_run(person);
        }
    }
}
