//! Verdicts: what an owner decides about a customer, how gateways apply it, and the limits of private connections.
//!
//! * [`VerdictAggregator`] is the owner's side: it takes reports and decides.
//! * [`VerdictTable`] holds the verdicts that a gateway applies.
//! * [`connection_policy`] and [`grant`] say how a request gets its connection.
//!
//! **Default.** Without a fresh verdict a customer is `unknown`: a run gets its own idle connection again if there is
//! one. That takes nothing from others, opens no connection, and saves customers of the kind `transaction` from nearly
//! all breaks. `statement` would break them as long as the owner is away; `session` would take connections for
//! everybody, which a cluster with faults has least of. A verdict `statement` expires 30 s after the customer's owner
//! was last seen alive, `transaction` too (it is handled alike), and `session` after 10 minutes: it costs a connection,
//! and giving that up breaks a request, so it lasts longer than any takeover of keys and shorter than a night. On a
//! minority side of a partition no verdict is relaxed: there `session` stays, within the limits of private connections
//! ([`grant`]).
//!
//! A verdict is sent when it changes, six times in half a second, and again to a gateway whose report shows that it
//! applies another one. It is not refreshed: whether the owner is alive is known from the membership, at no cost per
//! customer.
//!
//! **No double counting.** The owner keeps the newest report of each gateway and incarnation, and replaces it by one
//! with a higher sequence number; sums are computed for each decision and never stored or sent. A new owner starts
//! without reports and requests them from all gateways.

use super::evidence::{Report, Window, WINDOWS};
use super::judge::{self, Counts, Found};
use super::{Customer, FencingToken, Pooling};
use crate::protocol::Micros;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use thiserror::Error;

const SECOND: Micros = 1_000_000;
/// Maximum age of a report that counts for relaxing a verdict. A newer one is requested if relaxing waits for it only.
pub const REPORT_TTL: Micros = 30 * SECOND;
/// Interval and number of repetitions of a changed verdict, so that a loss delays it by a fraction of a second.
const RESEND_INTERVAL: Micros = 100_000;
const SEND_REPEATS: u8 = 6;
/// Time without new evidence after which a verdict is taken back.
pub const CONFIRMATION_TTL: Micros = 7200 * SECOND;
/// Time for which a gateway applies a verdict after the customer's owner was last seen alive.
pub const VERDICT_TTL: Micros = 30 * SECOND;
/// The same for `session`, which has private connections.
pub const SESSION_VERDICT_TTL: Micros = 600 * SECOND;
/// Time without a report after which a customer is dropped.
pub const CUSTOMER_TTL: Micros = 2 * CONFIRMATION_TTL;
/// Time that an owner waits for the gateways' reports of a customer that is new to it.
const WARM_UP: Micros = 3 * SECOND;
/// Interval of evaluation without a new report: windows age, and gateways leave.
const EVALUATION_INTERVAL: Micros = SECOND;
/// Incarnations of a gateway whose reports are kept: the current one and the one before, which counted other requests.
const MAX_INCARNATIONS: usize = 2;
/// Gateways of a customer whose reports are kept: usually four at most, and some may have changed.
const MAX_GATEWAYS: usize = 8;

/// Evidence for a verdict: requests and failures of each kind.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EvidenceSummary {
    /// On the customer's reused connection.
    pub kept: [u32; 2],
    /// On changed connections within a run.
    pub changed_in_run: [u32; 2],
    /// On changed connections between runs.
    pub changed_between: [u32; 2],
    /// Control group: others, at the same backends in the same seconds.
    pub control: [u32; 2],
}

/// Verdict of an owner about a customer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Verdict {
    /// The customer.
    pub customer: Customer,
    /// The classification.
    pub pooling: Pooling,
    /// Fencing token of the owner.
    pub fence: FencingToken,
    /// Incarnation of the owner, and a number that grows within it: an owner that restarts may return with the same
    /// fencing token.
    pub sequence: (u64, u64),
    /// Time since the last evidence for it, in microseconds.
    pub age: Micros,
    /// Gateways whose reports were used.
    pub reports: Vec<String>,
    /// Their counts.
    pub evidence: EvidenceSummary,
}

/// Input of the aggregator.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Input {
    /// Report of a gateway.
    Report(Report),
    /// Time has passed; expected a few times a second.
    Tick,
}

/// Output of the aggregator.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Output {
    /// Request the report of a customer.
    RequestReport {
        /// From this gateway.
        gateway: String,
        /// For this customer.
        customer: Customer,
    },
    /// Send a verdict.
    SendVerdict {
        /// To this gateway.
        gateway: String,
        /// The verdict.
        verdict: Verdict,
    },
}

/// Context of an owner at the time of an input.
pub struct OwnerContext<'a> {
    /// Fencing token of the owner.
    pub fence: FencingToken,
    /// Whether this gateway owns a customer now.
    pub owns: &'a dyn Fn(Customer) -> bool,
    /// The gateways that see a customer.
    pub gateways_of: &'a dyn Fn(Customer) -> Vec<String>,
    /// Whether a gateway is considered dead, so that its report is not waited for.
    pub is_gone: &'a dyn Fn(&str) -> bool,
    /// Whether verdicts may be relaxed: this side of a partition is the majority, and all reports have been collected.
    pub may_relax: bool,
}

/// The last report of one incarnation of a gateway.
#[derive(Debug, Clone)]
struct ReceivedReport {
    report: Report,
    at: Micros,
}

/// Reports and verdict of one customer.
#[derive(Debug, Clone)]
struct CustomerState {
    gateways: BTreeMap<String, Vec<ReceivedReport>>,
    requested_at: BTreeMap<String, Micros>,
    pooling: Pooling,
    confirmed_at: Micros,
    started_at: Micros,
    evaluated_at: Micros,
    reported_at: Micros,
    sent_at: Option<Micros>,
    pending_sends: u8,
    sequence: (u64, u64),
}

/// Aggregates the reports of the customers of one owner, and decides.
#[derive(Debug, Default)]
pub struct VerdictAggregator {
    customers: BTreeMap<Customer, CustomerState>,
    max_customers: usize,
    rejected: u64,
    /// Incarnation of this owner, and the number of verdicts sent in it, over all customers: a customer that was
    /// dropped and returns gets higher numbers.
    sequence: (u64, u64),
}

impl VerdictAggregator {
    /// Starts without reports, with a limit of customers.
    pub fn new(incarnation: u64, max_customers: usize) -> Self {
        VerdictAggregator {
            max_customers,
            sequence: (incarnation, 0),
            ..VerdictAggregator::default()
        }
    }

    /// Handles an input.
    pub fn on_input(
        &mut self,
        now: Micros,
        input: Input,
        context: &OwnerContext<'_>,
        outputs: &mut Vec<Output>,
    ) {
        match input {
            Input::Report(report) => self.on_report(now, report, context, outputs),
            Input::Tick => self.on_tick(now, context, outputs),
        }
    }

    fn on_report(
        &mut self,
        now: Micros,
        report: Report,
        context: &OwnerContext<'_>,
        outputs: &mut Vec<Output>,
    ) {
        let customer = report.customer;
        if !(context.owns)(customer) {
            self.customers.remove(&customer);
            return;
        }
        let set = (context.gateways_of)(customer);
        if !set.contains(&report.gateway)
            || report.in_run.len() > WINDOWS
            || report.between_runs.len() > WINDOWS
        {
            self.rejected += 1;
            return;
        }
        if !self.customers.contains_key(&customer) && self.customers.len() >= self.max_customers {
            self.rejected += 1;
            return;
        }
        let state = self
            .customers
            .entry(customer)
            .or_insert_with(|| CustomerState {
                gateways: BTreeMap::new(),
                requested_at: BTreeMap::new(),
                pooling: Pooling::Unknown,
                confirmed_at: now,
                started_at: now,
                evaluated_at: now,
                reported_at: now,
                sent_at: None,
                pending_sends: 0,
                sequence: (0, 0),
            });
        let gateway = report.gateway.clone();
        let acted_on = report.pooling;
        if !state.on_report(now, report) {
            return;
        }
        state.requested_at.remove(&gateway);
        // A new owner continues from the verdict that gateways apply: its lack of reports is no evidence for relaxing.
        if now.saturating_sub(state.started_at) < WARM_UP
            && acted_on > Pooling::Unknown
            && acted_on > state.pooling
        {
            state.pooling = acted_on;
            state.confirmed_at = now;
            state.pending_sends = SEND_REPEATS;
        }
        state.evaluate(now, customer, &set, context, outputs);
        state.send_verdict(now, customer, &set, context, &mut self.sequence, outputs);
        // The gateway has missed the verdict, or was added after it was sent.
        if state.pending_sends == 0 && state.sequence != (0, 0) && acted_on != state.pooling {
            outputs.push(Output::SendVerdict {
                gateway,
                verdict: state.verdict(now, customer, context.fence),
            });
        }
    }

    fn on_tick(&mut self, now: Micros, context: &OwnerContext<'_>, outputs: &mut Vec<Output>) {
        // If the table is nearly full, customers without a verdict and without a report for a minute are dropped first.
        let is_nearly_full = self.customers.len() > self.max_customers / 8 * 7;
        self.customers.retain(|&customer, state| {
            let reported_at = now.saturating_sub(state.reported_at);
            let is_evictable =
                is_nearly_full && state.pooling == Pooling::Unknown && reported_at > 2 * REPORT_TTL;
            (context.owns)(customer) && reported_at < CUSTOMER_TTL && !is_evictable
        });
        for (&customer, state) in &mut self.customers {
            let set = (context.gateways_of)(customer);
            if now.saturating_sub(state.evaluated_at) >= EVALUATION_INTERVAL {
                state.evaluate(now, customer, &set, context, outputs);
            }
            state.send_verdict(now, customer, &set, context, &mut self.sequence, outputs);
        }
    }

    /// The verdict for a customer, for operators and for the owner's own gateway.
    pub fn verdict(&self, now: Micros, customer: Customer, fence: FencingToken) -> Option<Verdict> {
        self.customers
            .get(&customer)
            .map(|state| state.verdict(now, customer, fence))
    }

    /// Whether there is a report for a customer.
    pub fn has(&self, customer: Customer) -> bool {
        self.customers.contains_key(&customer)
    }

    /// Whether the last verdict sent is one of the optional repetitions: the first two and the last one suffice in 99
    /// of 100 cases, with a fifth of datagrams lost.
    pub fn is_repeating(&self, customer: Customer) -> bool {
        self.customers
            .get(&customer)
            .is_some_and(|state| (1..SEND_REPEATS - 2).contains(&state.pending_sends))
    }

    /// The classification of a customer, without the counts.
    pub fn pooling_of(&self, customer: Customer) -> Pooling {
        self.customers
            .get(&customer)
            .map_or(Pooling::Unknown, |state| state.pooling)
    }

    /// Number of reports rejected at the limit of customers, or from an unexpected gateway.
    pub fn rejected(&self) -> u64 {
        self.rejected
    }
}

impl CustomerState {
    /// Replaces the stored report by a newer one of the same incarnation. Returns false if it is not newer.
    fn on_report(&mut self, now: Micros, report: Report) -> bool {
        if !self.gateways.contains_key(&report.gateway) && self.gateways.len() >= MAX_GATEWAYS {
            return false;
        }
        let incarnations = self.gateways.entry(report.gateway.clone()).or_default();
        match incarnations
            .iter_mut()
            .find(|received| received.report.incarnation == report.incarnation)
        {
            Some(received) if received.report.sequence >= report.sequence => return false,
            Some(received) => *received = ReceivedReport { report, at: now },
            None => incarnations.push(ReceivedReport { report, at: now }),
        }
        incarnations.sort_by_key(|received| std::cmp::Reverse(received.report.incarnation));
        incarnations.truncate(MAX_INCARNATIONS);
        self.reported_at = now;
        true
    }

    /// Requests reports that are missing, or too old if relaxing the verdict waits for them.
    fn request_reports(
        &mut self,
        now: Micros,
        customer: Customer,
        set: &[String],
        context: &OwnerContext<'_>,
        could_relax: bool,
    ) -> Vec<Output> {
        let mut outputs = Vec::new();
        for gateway in set {
            let received = self
                .gateways
                .get(gateway)
                .and_then(|incarnations| incarnations.first())
                .map(|received| received.at);
            let is_missing =
                received.is_none_or(|at| could_relax && now.saturating_sub(at) >= REPORT_TTL);
            let may_request = self
                .requested_at
                .get(gateway)
                .is_none_or(|&at| now.saturating_sub(at) >= SECOND);
            if is_missing
                && may_request
                && !(context.is_gone)(gateway)
                && now.saturating_sub(self.reported_at) < 2 * REPORT_TTL
            {
                self.requested_at.insert(gateway.clone(), now);
                outputs.push(Output::RequestReport {
                    gateway: gateway.clone(),
                    customer,
                });
            }
        }
        outputs
    }

    fn windows(&self, now: Micros, of: impl Fn(&Report) -> &[(Window, u32)]) -> Vec<Vec<Window>> {
        let live = |received: &ReceivedReport| -> Vec<Window> {
            let since = now.saturating_sub(received.at) / SECOND;
            let max_age = CONFIRMATION_TTL / SECOND;
            let all = of(&received.report).iter();
            all.filter(|(_, age)| u64::from(*age) + since < max_age)
                .map(|(window, _)| *window)
                .collect()
        };
        // Windows of the previous incarnation follow those of the current one; the oldest are left out.
        self.gateways
            .values()
            .map(|incarnations| incarnations.iter().flat_map(live).take(WINDOWS).collect())
            .collect()
    }

    fn evaluate(
        &mut self,
        now: Micros,
        customer: Customer,
        set: &[String],
        context: &OwnerContext<'_>,
        outputs: &mut Vec<Output>,
    ) {
        self.evaluated_at = now;
        let all_reported = set.iter().all(|gateway| {
            let received = self
                .gateways
                .get(gateway)
                .and_then(|incarnations| incarnations.first());
            received.is_some_and(|received| now.saturating_sub(received.at) < REPORT_TTL)
                || (context.is_gone)(gateway)
        });
        let in_run = judge::test(&self.windows(now, |report| &report.in_run));
        let between_runs = judge::test(&self.windows(now, |report| &report.between_runs));
        let mut next = judge::decide(
            self.pooling,
            in_run,
            between_runs,
            context.may_relax && all_reported,
        );
        let could_relax =
            context.may_relax && judge::decide(self.pooling, in_run, between_runs, true) != next;
        outputs.extend(self.request_reports(now, customer, set, context, could_relax));
        let is_confirmed = match next {
            Pooling::Unknown => true,
            Pooling::Statement => in_run == Found::Free && between_runs == Found::Free,
            Pooling::Transaction => in_run == Found::Bound,
            Pooling::Session => between_runs == Found::Bound,
        };
        if next != self.pooling || is_confirmed {
            self.confirmed_at = now;
        } else if now.saturating_sub(self.confirmed_at) >= CONFIRMATION_TTL && context.may_relax {
            next = Pooling::Unknown;
            self.confirmed_at = now;
        }
        if next != self.pooling {
            self.pooling = next;
            self.pending_sends = SEND_REPEATS;
            self.sent_at = None;
        }
    }

    fn send_verdict(
        &mut self,
        now: Micros,
        customer: Customer,
        set: &[String],
        context: &OwnerContext<'_>,
        last_sequence: &mut (u64, u64),
        outputs: &mut Vec<Output>,
    ) {
        // Nothing is sent for a customer that has been `unknown` from the start; nor, during the warm-up, while a
        // gateway that has not reported may apply a more restrictive verdict.
        let is_warming_up =
            now.saturating_sub(self.started_at) < WARM_UP && self.pooling != Pooling::Session;
        let is_waiting = is_warming_up
            && set
                .iter()
                .any(|gateway| !self.gateways.contains_key(gateway) && !(context.is_gone)(gateway));
        let is_suppressed =
            is_waiting || (self.sequence == (0, 0) && self.pooling == Pooling::Unknown);
        let is_too_soon = self
            .sent_at
            .is_some_and(|at| now.saturating_sub(at) < RESEND_INTERVAL);
        if is_suppressed || is_too_soon || self.pending_sends == 0 {
            return;
        }
        self.sent_at = Some(now);
        self.pending_sends = self.pending_sends.saturating_sub(1);
        last_sequence.1 += 1;
        self.sequence = *last_sequence;
        let verdict = self.verdict(now, customer, context.fence);
        for gateway in set.iter().filter(|gateway| !(context.is_gone)(gateway)) {
            outputs.push(Output::SendVerdict {
                gateway: gateway.clone(),
                verdict: verdict.clone(),
            });
        }
    }

    fn verdict(&self, now: Micros, customer: Customer, fence: FencingToken) -> Verdict {
        let sum = |all: Vec<Vec<Window>>| {
            let mut counts = Counts::default();
            all.iter().flatten().for_each(|window| counts.add(window));
            counts
        };
        let in_run = sum(self.windows(now, |report| &report.in_run));
        let between_runs = sum(self.windows(now, |report| &report.between_runs));
        // Requests on reused connections count for both kinds of change; the longer record is shown, not their sum.
        let longer = if in_run.reused[0] >= between_runs.reused[0] {
            in_run
        } else {
            between_runs
        };
        let received = |incarnations: &Vec<ReceivedReport>| {
            incarnations.iter().any(|received| {
                !received.report.in_run.is_empty() || !received.report.between_runs.is_empty()
            })
        };
        Verdict {
            customer,
            pooling: self.pooling,
            fence,
            sequence: self.sequence,
            age: now.saturating_sub(self.confirmed_at),
            reports: self
                .gateways
                .iter()
                .filter(|(_, incarnations)| received(incarnations))
                .map(|(gateway, _)| gateway.clone())
                .collect(),
            evidence: EvidenceSummary {
                kept: longer.reused,
                changed_in_run: in_run.changed,
                changed_between: between_runs.changed,
                control: longer.control,
            },
        }
    }
}

/// Why a gateway rejected a verdict.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum VerdictRejection {
    /// The fencing token is outdated.
    #[error("a verdict under epoch {} and version {} came after one under epoch {} and version {}: its keeper was \
             replaced; if this goes on, look at `owner` and `shards` of the door that sent it", came.epoch,
             came.version, known.epoch, known.version)]
    Superseded {
        /// Token of the verdict.
        came: FencingToken,
        /// The highest token known.
        known: FencingToken,
    },
    /// A later verdict is known.
    #[error("a verdict came after a later one of the same keeper: datagrams were late or doubled; nothing is to be done")]
    Outdated,
    /// The verdict would be relaxed on a minority side.
    #[error("a step towards sharing came while this door reaches no majority: it waits; look at `fleet` for who is cut off")]
    Minority,
    /// The table is full.
    #[error(
        "no room for another verdict: {0} are held; customers without one are handled as `unknown`"
    )]
    Full(usize),
}

/// Verdicts that a gateway applies.
#[derive(Debug, Default)]
pub struct VerdictTable {
    verdicts: BTreeMap<Customer, (Verdict, Micros)>,
    highest: FencingToken,
    max_customers: usize,
}

impl VerdictTable {
    /// An empty table with a limit of verdicts.
    pub fn new(max_customers: usize) -> Self {
        VerdictTable {
            max_customers,
            ..VerdictTable::default()
        }
    }

    /// Records a fencing token from any source: verdicts with a lower one are rejected.
    pub fn observe_token(&mut self, fence: FencingToken) {
        self.highest = self.highest.max(fence);
    }

    /// Takes a verdict from the customer's owner.
    ///
    /// # Errors
    /// If the verdict is outdated, would be relaxed on a minority side, or exceeds the limit.
    pub fn on_verdict(
        &mut self,
        now: Micros,
        verdict: Verdict,
        may_relax: bool,
    ) -> Result<(), VerdictRejection> {
        if verdict.fence < self.highest {
            return Err(VerdictRejection::Superseded {
                came: verdict.fence,
                known: self.highest,
            });
        }
        self.highest = verdict.fence;
        let in_force = self.in_force(now, verdict.customer, now, may_relax);
        if let Some((known, _)) = self.verdicts.get(&verdict.customer) {
            if known.fence == verdict.fence && known.sequence >= verdict.sequence {
                return Err(VerdictRejection::Outdated);
            }
        } else if self.verdicts.len() >= self.max_customers {
            // `unknown` is the default without a verdict; of the others, old ones may be of customers that have left.
            let old = |at: &Micros| now.saturating_sub(*at) >= CONFIRMATION_TTL;
            self.verdicts
                .retain(|_, (known, at)| known.pooling != Pooling::Unknown && !old(at));
            if self.verdicts.len() >= self.max_customers {
                return Err(VerdictRejection::Full(self.max_customers));
            }
        }
        if !may_relax && verdict.pooling < in_force {
            return Err(VerdictRejection::Minority);
        }
        self.verdicts.insert(verdict.customer, (verdict, now));
        Ok(())
    }

    /// The last verdict for a customer, and when it was received.
    pub fn verdict(&self, customer: Customer) -> Option<(&Verdict, Micros)> {
        self.verdicts
            .get(&customer)
            .map(|(verdict, at)| (verdict, *at))
    }

    /// The classification that applies now. `owner` is the time at which the customer's owner was last seen alive.
    pub fn in_force(
        &self,
        now: Micros,
        customer: Customer,
        owner: Micros,
        may_relax: bool,
    ) -> Pooling {
        let Some((verdict, at)) = self.verdicts.get(&customer) else {
            return Pooling::Unknown;
        };
        let fresh = now.saturating_sub(owner.max(*at)) < ttl(verdict.pooling);
        if fresh || (!may_relax && verdict.pooling > Pooling::Unknown) {
            verdict.pooling
        } else {
            Pooling::Unknown
        }
    }
}

fn ttl(pooling: Pooling) -> Micros {
    if pooling == Pooling::Session {
        SESSION_VERDICT_TTL
    } else {
        VERDICT_TTL
    }
}

/// How a request gets its connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConnectionPolicy {
    /// Any connection.
    Any,
    /// The customer's last connection, if it is idle and within a run.
    Run,
    /// A private connection.
    Private,
}

/// Interval between two probes of a bound customer, which use any connection to test whether it is still bound: 12 an
/// hour at each gateway. And the rate of probes within runs of an `unknown` customer: without them it would stay
/// `unknown`.
pub const PROBE_INTERVAL: Micros = 300 * SECOND;
/// See [`PROBE_INTERVAL`].
pub const UNKNOWN_PROBE_RATE: f64 = 0.5;

/// How a request gets its connection. `since_probe` is the time since the last probe, `draw` a random number from 0 to
/// 1. Probes cost a bound customer 12 requests an hour at each gateway, and an `unknown` one of the kind `transaction`
/// some 20 until it is classified.
pub fn connection_policy(pooling: Pooling, since_probe: Micros, draw: f64) -> ConnectionPolicy {
    match pooling {
        Pooling::Statement => ConnectionPolicy::Any,
        Pooling::Unknown if draw < UNKNOWN_PROBE_RATE => ConnectionPolicy::Any,
        Pooling::Unknown => ConnectionPolicy::Run,
        Pooling::Transaction | Pooling::Session if since_probe >= PROBE_INTERVAL => {
            ConnectionPolicy::Any
        }
        Pooling::Transaction => ConnectionPolicy::Run,
        Pooling::Session => ConnectionPolicy::Private,
    }
}

/// Limits of private connections.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Limits {
    /// Maximum fraction of the descriptors of a gateway.
    pub of_descriptors: f64,
    /// Maximum fraction of the connections to a backend.
    pub of_backend: f64,
    /// Maximum number for one customer at one backend.
    pub each: u32,
    /// Maximum time that a private connection may stay unused, in microseconds.
    pub unused: Micros,
}

impl Default for Limits {
    fn default() -> Self {
        Limits {
            of_descriptors: 0.125,
            of_backend: 0.25,
            each: 1,
            unused: 60 * SECOND,
        }
    }
}

/// Private connections in use.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Usage {
    /// Descriptors of this gateway, and those of private connections.
    pub descriptors: [u32; 2],
    /// Connections that the backend accepts from this gateway, and those that are private.
    pub backend: [u32; 2],
    /// Private connections of this customer at that backend.
    pub own: u32,
}

/// Whether a customer gets a private connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Grant {
    /// It gets one.
    Private,
    /// It shares: the fraction of descriptors is in use.
    Descriptors,
    /// It shares: the fraction of the backend's connections is in use.
    Backend,
    /// It shares: it has its maximum.
    Each,
}

/// Whether one more private connection is within the limits. A customer that breaks requests on purpose to get one gets
/// no more than the limits of all such customers together.
pub fn grant(limits: &Limits, usage: &Usage) -> Grant {
    let has_capacity =
        |part: f64, [all, private]: [u32; 2]| f64::from(private) + 1.0 <= part * f64::from(all);
    if usage.own >= limits.each {
        Grant::Each
    } else if !has_capacity(limits.of_descriptors, usage.descriptors) {
        Grant::Descriptors
    } else if !has_capacity(limits.of_backend, usage.backend) {
        Grant::Backend
    } else {
        Grant::Private
    }
}
