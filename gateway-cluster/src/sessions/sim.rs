//! Simulation of traffic with known truth, through the gateways of some customers and their owner. Everything follows
//! from the seed.
//!
//! What a bound customer loses depends on the backend: it breaks a request by its own notion of a run, which the
//! gateway only infers from pauses. Everything else is what a gateway has: a pool of shared connections, private ones
//! within limits, and the last verdict.

use super::evidence::{ConnectionUse, Evidence, Failure, Outcome, Report};
use super::verdicts::{
    connection_policy, grant, ConnectionPolicy, Grant, Input, Limits, Output, OwnerContext, Usage,
    Verdict, VerdictAggregator, VerdictTable,
};
use super::{Customer, FencingToken, Pooling};
use crate::protocol::Micros;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, BinaryHeap};

const SECOND: Micros = 1_000_000;
/// Time between two requests of a run, and the longest pause that a gateway takes for one, in microseconds.
const REQUEST_INTERVAL: Micros = 20_000;
const MAX_RUN_GAP: Micros = 100_000;
/// Mean number of requests of a run.
const MEAN_RUN_REQUESTS: f64 = 4.0;
const BACKENDS: usize = 2;
const SHARED_CONNECTIONS: usize = 12;
const TICK: Micros = 100_000;

/// Fault during a run of the simulation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// One request in 200 fails.
    None,
    /// One backend fails 30% of requests in every second minute.
    BackendUnhealthyAtTimes,
    /// One backend fails 30% of requests all the time.
    BackendUnhealthy,
    /// One backend fails all requests in every second minute.
    BackendDown,
    /// All connections through one gateway break, 20 s of every 2 minutes.
    GatewayPartitioned,
    /// Every minute a backend restarts: all requests fail for 2 s and all connections are new.
    BackendRestarts,
    /// 30% of requests on a changed connection fail, whoever sends them.
    StaleConnections,
    /// Every backend fails between 0 and 30% of requests, in waves of 40 s.
    Overload,
}

/// All faults.
pub const FAULTS: [Fault; 8] = [
    Fault::None,
    Fault::BackendUnhealthyAtTimes,
    Fault::BackendUnhealthy,
    Fault::BackendDown,
    Fault::GatewayPartitioned,
    Fault::BackendRestarts,
    Fault::StaleConnections,
    Fault::Overload,
];

/// A customer.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SimulatedCustomer {
    /// Its true classification.
    pub truth: Pooling,
    /// Requests per second.
    pub rate: f64,
    /// Fraction of requests that fail after their connection state was lost, and fraction that fails for the customer's
    /// own reasons.
    pub break_failure_rate: f64,
    /// See `break_failure_rate`.
    pub own_failure_rate: f64,
    /// When its true classification changes, and to what.
    pub changes_at: Option<(Micros, Pooling)>,
}

/// Parameters of a simulation.
#[derive(Debug, Clone)]
pub struct Plan {
    /// Number of gateways.
    pub gateways: usize,
    /// Customers.
    pub customers: Vec<SimulatedCustomer>,
    /// The fault.
    pub fault: Fault,
    /// Duration in microseconds.
    pub time: Micros,
    /// Whether datagrams are lost (20%), duplicated (10%) and late (5%, up to 20 s).
    pub lossy: bool,
    /// Whether gateways apply verdicts.
    pub use_verdicts: bool,
    /// Time at which the owner is replaced by one without state.
    pub owner_replaced_at: Option<Micros>,
    /// Seed of all random draws.
    pub seed: u64,
}

/// Outcome for a customer.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct CustomerOutcome {
    /// When the owner first decided correctly, since the start or the last change of the truth.
    pub right: Option<Micros>,
    /// When the correct verdict was applied by all gateways.
    pub everywhere: Option<Micros>,
    /// How often the owner decided `statement` for a bound customer, changes of the truth excluded.
    pub false_statements: u32,
    /// How often the owner changed from `session` to `transaction` for a `session` customer.
    pub false_transactions: u32,
    /// Time with a more restrictive verdict than the truth, in microseconds.
    pub overclassified_time: Micros,
    /// Requests, those that failed by a break of the connection, and those that failed otherwise.
    pub requests: [u64; 3],
}

/// Outcome of a simulation.
#[derive(Debug, Clone, PartialEq)]
pub struct Outcomes {
    /// Outcome of each customer, in the order of the plan.
    pub seen: Vec<CustomerOutcome>,
    /// Datagrams sent to and by the owner.
    pub datagrams: u64,
    /// Entries excluded at all gateways: unhealthy backends, and too few others.
    pub excluded: [u64; 2],
    /// The last verdicts.
    pub verdicts: Vec<Option<Verdict>>,
}

impl SimulatedCustomer {
    /// A customer of which every break fails, and no request for reasons of its own.
    pub fn new(truth: Pooling, rate: f64) -> SimulatedCustomer {
        SimulatedCustomer {
            truth,
            rate,
            break_failure_rate: 1.0,
            own_failure_rate: 0.0,
            changes_at: None,
        }
    }
}

/// The three kinds at 2 requests a minute, 1 and 10 a second; some at the edge of what is distinguished; and thirty
/// others, of which two thirds are stateless.
pub fn customer_mix() -> Vec<SimulatedCustomer> {
    let mut customers = Vec::new();
    for truth in [Pooling::Statement, Pooling::Transaction, Pooling::Session] {
        for rate in [2.0 / 60.0, 1.0, 10.0] {
            customers.push(SimulatedCustomer::new(truth, rate));
        }
    }
    for truth in [Pooling::Transaction, Pooling::Session] {
        customers.push(SimulatedCustomer {
            break_failure_rate: 0.6,
            ..SimulatedCustomer::new(truth, 1.0)
        });
    }
    for own_failure_rate in [0.1, 0.3] {
        customers.push(SimulatedCustomer {
            own_failure_rate,
            ..SimulatedCustomer::new(Pooling::Statement, 1.0)
        });
    }
    for index in 0..30 {
        let truth = match index % 6 {
            0 => Pooling::Transaction,
            1 => Pooling::Session,
            _ => Pooling::Statement,
        };
        customers.push(SimulatedCustomer::new(truth, 1.0));
    }
    customers
}

#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Request {
        index: usize,
        gateway: usize,
        run: u64,
        left: u32,
    },
    Report(usize),
    RequestReport {
        gateway: usize,
        customer: Customer,
    },
    Verdict {
        gateway: usize,
        verdict: usize,
    },
    Tick,
}

/// A connection: its number, and who used it last.
type Connection = (u64, Option<usize>);

#[derive(Debug, Clone, Copy)]
struct LastRequest {
    connection: u64,
    at: Micros,
    run: u64,
}

struct Simulation<'a> {
    plan: &'a Plan,
    now: Micros,
    queue: BinaryHeap<std::cmp::Reverse<(Micros, u64, Event)>>,
    order: u64,
    rng: Pcg64Mcg,
    gateways: Vec<(Evidence, VerdictTable)>,
    shared: BTreeMap<(usize, usize), Vec<Connection>>,
    private: BTreeMap<(usize, usize, usize), Connection>,
    last: BTreeMap<(usize, usize, usize), LastRequest>,
    probed_at: BTreeMap<(usize, usize), Micros>,
    connections: u64,
    reports: Vec<Report>,
    verdicts: Vec<Verdict>,
    owner: VerdictAggregator,
    token: FencingToken,
    before: Vec<Pooling>,
    out: Outcomes,
}

/// Runs a simulation.
pub fn run(plan: &Plan) -> Outcomes {
    let customers = plan.customers.len();
    let mut simulation = Simulation {
        plan,
        now: 0,
        queue: BinaryHeap::new(),
        order: 0,
        rng: Pcg64Mcg::seed_from_u64(plan.seed),
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
        probed_at: BTreeMap::new(),
        connections: 0,
        reports: Vec::new(),
        verdicts: Vec::new(),
        owner: VerdictAggregator::new(1, 4096),
        token: FencingToken {
            epoch: 1,
            version: 1,
        },
        before: vec![Pooling::Unknown; customers],
        out: Outcomes {
            seen: vec![CustomerOutcome::default(); customers],
            datagrams: 0,
            excluded: [0; 2],
            verdicts: vec![None; customers],
        },
    };
    simulation.renew(None);
    for index in 0..customers {
        simulation.next_run(index);
    }
    simulation.push(TICK, Event::Tick);
    while let Some(std::cmp::Reverse((at, _, event))) = simulation.queue.pop() {
        if at >= plan.time {
            break;
        }
        simulation.now = at;
        simulation.on_event(&event);
    }
    for (evidence, _) in &simulation.gateways {
        simulation.out.excluded[0] += evidence.excluded().unhealthy;
        simulation.out.excluded[1] += evidence.excluded().too_few_others;
    }
    for index in 0..customers {
        simulation.out.verdicts[index] =
            simulation
                .owner
                .verdict(simulation.now, index as Customer, simulation.token);
    }
    simulation.out
}

fn gateway_name(gateway: usize) -> String {
    format!("n{gateway}")
}

impl Simulation<'_> {
    fn push(&mut self, at: Micros, event: Event) {
        self.order += 1;
        self.queue.push(std::cmp::Reverse((at, self.order, event)));
    }

    /// Replaces the connections at one backend, or at all.
    fn renew(&mut self, backend: Option<usize>) {
        for gateway in 0..self.plan.gateways {
            for at in (0..BACKENDS).filter(|&at| backend.is_none_or(|backend| at == backend)) {
                let connections = (0..SHARED_CONNECTIONS as u64)
                    .map(|connection| (self.connections + connection, None))
                    .collect();
                self.connections += SHARED_CONNECTIONS as u64;
                self.shared.insert((gateway, at), connections);
            }
        }
        self.private
            .retain(|&(_, at, _), _| backend.is_some_and(|backend| at != backend));
    }

    fn next_run(&mut self, index: usize) {
        let Some(rate) = self.plan.customers.get(index).map(|index| index.rate) else {
            return;
        };
        let pause = -self.rng.random::<f64>().max(1e-12).ln() * MEAN_RUN_REQUESTS / rate;
        let left = (-self.rng.random::<f64>().max(1e-12).ln() * MEAN_RUN_REQUESTS).ceil() as u32;
        let gateway = self.rng.random_range(0..self.plan.gateways);
        let at = self.now + (pause * SECOND as f64) as Micros;
        let run = self.order;
        self.push(
            at,
            Event::Request {
                index,
                gateway,
                run,
                left,
            },
        );
    }

    fn on_event(&mut self, event: &Event) {
        match *event {
            Event::Request {
                index,
                gateway,
                run,
                left,
            } => self.request(index, gateway, run, left),
            Event::Report(at) => {
                let Some(report) = self.reports.get(at).cloned() else {
                    return;
                };
                self.run_owner(Input::Report(report));
            }
            Event::RequestReport { gateway, customer } => self.report(gateway, customer),
            Event::Verdict { gateway, verdict } => {
                let (now, Some(verdict)) = (self.now, self.verdicts.get(verdict).cloned()) else {
                    return;
                };
                let Some((evidence, table)) = self.gateways.get_mut(gateway) else {
                    return;
                };
                // Late and duplicated verdicts are rejected, as intended.
                let customer = verdict.customer;
                if table.on_verdict(now, verdict, true).is_ok() {
                    evidence.set_pooling(customer, table.in_force(now, customer, now, true));
                }
            }
            Event::Tick => self.on_tick(),
        }
    }

    fn send(&mut self, event: &Event) {
        self.out.datagrams += 1;
        let times = if self.plan.lossy && self.rng.random_bool(0.1) {
            2
        } else {
            1
        };
        for _ in 0..times {
            if self.plan.lossy && self.rng.random_bool(0.2) {
                continue;
            }
            let late = if self.plan.lossy && self.rng.random_bool(0.05) {
                20 * SECOND
            } else {
                2_000
            };
            let at = self.now + self.rng.random_range(1_000..=late);
            self.push(at, event.clone());
        }
    }

    fn report(&mut self, gateway: usize, customer: Customer) {
        let now = self.now;
        let Some((evidence, table)) = self.gateways.get_mut(gateway) else {
            return;
        };
        let report = evidence.report(now, customer, table.in_force(now, customer, now, true));
        self.reports.push(report);
        self.send(&Event::Report(self.reports.len() - 1));
    }

    fn run_owner(&mut self, input: Input) {
        let gateways = self.plan.gateways;
        let scene = OwnerContext {
            token: self.token,
            owns: &|_| true,
            gateways_of: &|_| (0..gateways).map(gateway_name).collect(),
            is_gone: &|_| false,
            may_relax: true,
        };
        let mut outputs = Vec::new();
        self.owner.on_input(self.now, input, &scene, &mut outputs);
        let index_of = |name: &str| (0..gateways).find(|&gateway| gateway_name(gateway) == name);
        for output in outputs {
            match output {
                Output::RequestReport { gateway, customer } => {
                    let Some(gateway) = index_of(&gateway) else {
                        continue;
                    };
                    self.send(&Event::RequestReport { gateway, customer });
                }
                Output::SendVerdict { gateway, verdict } => {
                    let Some(gateway) = index_of(&gateway) else {
                        continue;
                    };
                    self.verdicts.push(verdict);
                    self.send(&Event::Verdict {
                        gateway,
                        verdict: self.verdicts.len() - 1,
                    });
                }
            }
        }
    }

    fn on_tick(&mut self) {
        let now = self.now;
        if self.plan.fault == Fault::BackendRestarts && now % (60 * SECOND) < TICK {
            self.renew(Some((now / (60 * SECOND)) as usize % BACKENDS));
        }
        if self
            .plan
            .owner_replaced_at
            .is_some_and(|at| at <= now && at + TICK > now)
        {
            self.owner = VerdictAggregator::new(2, 4096);
            self.token.epoch += 1;
        }
        for gateway in 0..self.plan.gateways {
            let due = self
                .gateways
                .get_mut(gateway)
                .map_or_else(Vec::new, |(evidence, _)| evidence.due_reports(now, 64));
            for customer in due {
                self.report(gateway, customer);
            }
        }
        self.run_owner(Input::Tick);
        self.record_outcomes();
        self.push(now + TICK, Event::Tick);
    }

    fn truth(&self, index: usize) -> (Pooling, Micros) {
        match self.plan.customers.get(index) {
            Some(SimulatedCustomer {
                changes_at: Some((at, kind)),
                ..
            }) if *at <= self.now => (*kind, *at),
            Some(index) => (index.truth, 0),
            None => (Pooling::Unknown, 0),
        }
    }

    fn record_outcomes(&mut self) {
        let now = self.now;
        for index in 0..self.plan.customers.len() {
            let customer = index as Customer;
            let (truth, since) = self.truth(index);
            let pooling = self.owner.pooling_of(customer);
            let everywhere = self
                .gateways
                .iter()
                .all(|(_, table)| table.in_force(now, customer, now, true) == truth);
            let before = std::mem::replace(&mut self.before[index], pooling);
            let Some(seen) = self.out.seen.get_mut(index) else {
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
                seen.overclassified_time += TICK;
            }
        }
    }

    /// The failure rate of a backend that does not depend on the connection.
    fn failing(&self, gateway: usize, backend: usize) -> (f64, Failure) {
        let second = self.now / SECOND;
        let odd = (second / 60) % 2 == 1;
        match self.plan.fault {
            Fault::BackendUnhealthyAtTimes if odd && backend == 0 => (0.3, Failure::Http500),
            Fault::BackendUnhealthy if backend == 0 => (0.3, Failure::Http500),
            Fault::BackendDown if odd && backend == 0 => (1.0, Failure::Http500),
            Fault::GatewayPartitioned if gateway == 0 && second % 120 >= 100 => {
                (1.0, Failure::Reset)
            }
            Fault::BackendRestarts
                if second % 60 < 2 && (second / 60) as usize % BACKENDS == backend =>
            {
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
    fn connection(
        &mut self,
        index: usize,
        gateway: usize,
        backend: usize,
        want: ConnectionPolicy,
        last: Option<LastRequest>,
    ) -> Connection {
        if want == ConnectionPolicy::Private {
            if let Some(connection) = self.private.get_mut(&(gateway, backend, index)) {
                return *connection;
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
                self.connections += 1;
                let connection = (self.connections, Some(index));
                self.private.insert((gateway, backend, index), connection);
                return connection;
            }
        }
        let idle = self.rng.random_bool(0.9);
        let pick = self.rng.random_range(0..SHARED_CONNECTIONS);
        let Some(connections) = self.shared.get_mut(&(gateway, backend)) else {
            return (0, None);
        };
        let own = connections.iter().position(|&(connection, user)| {
            want != ConnectionPolicy::Any
                && idle
                && user == Some(index)
                && last.is_some_and(|last| last.connection == connection)
        });
        let Some(connection) = connections.get_mut(own.unwrap_or(pick)) else {
            return (0, None);
        };
        let got = *connection;
        connection.1 = Some(index);
        got
    }

    fn request(&mut self, index: usize, gateway: usize, run: u64, left: u32) {
        let now = self.now;
        let customer = index as Customer;
        let backend = self.rng.random_range(0..BACKENDS);
        let last = self.last.get(&(gateway, backend, index)).copied();
        let mut table = Pooling::Statement;
        if self.plan.use_verdicts {
            table = self
                .gateways
                .get(gateway)
                .map_or(table, |(_, table)| table.in_force(now, customer, now, true));
        }
        let probed_at = self
            .probed_at
            .get(&(index, gateway))
            .map_or(now, |&at| now - at);
        let want = connection_policy(table, probed_at, self.rng.random());
        if table > Pooling::Unknown
            && (want == ConnectionPolicy::Any || !self.probed_at.contains_key(&(index, gateway)))
        {
            self.probed_at.insert((index, gateway), now);
        }
        let (connection, user) = self.connection(index, gateway, backend, want, last);
        let same = user == Some(index) && last.is_some_and(|last| last.connection == connection);
        self.last.insert(
            (gateway, backend, index),
            LastRequest {
                connection,
                at: now,
                run,
            },
        );
        let breaks = match (self.truth(index).0, last) {
            (_, None) => false,
            (Pooling::Session, Some(_)) => !same,
            (Pooling::Transaction, Some(last)) => !same && last.run == run,
            _ => false,
        };
        let (mut part, failure) = self.failing(gateway, backend);
        if self.plan.fault == Fault::StaleConnections && !same {
            part = 0.3;
        }
        let (share, own) = self.plan.customers.get(index).map_or((1.0, 0.0), |index| {
            (index.break_failure_rate, index.own_failure_rate)
        });
        let breaks = breaks && self.rng.random_bool(share);
        let fails = self.rng.random_bool(part) || self.rng.random_bool(own);
        let outcome = match (fails, breaks) {
            (true, _) => Outcome::Failed(failure),
            (false, true) => Outcome::Failed(Failure::Http500),
            (false, false) => Outcome::Fine,
        };
        let conn = ConnectionUse::of(same, last.map(|last| now - last.at), MAX_RUN_GAP);
        if let Some((evidence, _)) = self.gateways.get_mut(gateway) {
            evidence.record_request(now, customer, backend as u32, conn, outcome);
        }
        if let Some(seen) = self.out.seen.get_mut(index) {
            let [requests, broken, failed] = &mut seen.requests;
            *requests += 1;
            *broken += u64::from(breaks && !fails);
            *failed += u64::from(fails);
        }
        if left > 1 {
            self.push(
                now + REQUEST_INTERVAL,
                Event::Request {
                    index,
                    gateway,
                    run,
                    left: left - 1,
                },
            );
        } else {
            self.next_run(index);
        }
    }
}
