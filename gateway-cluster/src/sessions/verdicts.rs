//! The owner of customers, and what a gateway does with verdicts.
//!
//! **Default.** What no fresh verdict speaks for is `unknown`: a run gets its own idle connection again if it is there. That
//! holds nothing back from others, opens no connection, and saves customers of the second kind from nearly all
//! breaks. `statement` would break them as long as the owner is away; `session` would take connections for everybody, which
//! is what a cluster in trouble has least of. `statement` fades to it 30 s after its customer's
//! owner was last held alive, `transaction` too (it is handled alike), and `session` after 10 minutes: it costs a connection, and giving it up breaks a request, so it lasts longer
//! than any takeover of keys and shorter than a night. A minority side takes no step towards sharing: there
//! `session` stays, within the bounds on private connections ([`grant`]).
//!
//! A verdict is said when it changes, six times in half a second, and again to a gateway whose report shows that it acts on another.
//! It is not said again to keep it: whether the owner lives is for the view to tell, which costs nothing by the customer.
//!
//! **Evidence twice.** The owner holds each gateway's newest report per incarnation and replaces it by a higher number; sums are made
//! when it judges and are never stored nor sent. A new owner starts with nothing and asks all gateways of the set.

use super::evidence::{Report, Window, WINDOWS};
use super::judge::{self, Counts, Found};
use super::{Customer, FencingToken, Pooling};
use crate::protocol::Micros;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use thiserror::Error;

const SECOND: Micros = 1_000_000;
/// A report no older than this speaks for its gateway in a step towards sharing. Gateways are asked for a newer one where such a step waits for them alone.
pub const REPORT_TTL: Micros = 30 * SECOND;
/// After a change a verdict is said again so soon, so often, so that one lost costs a part of the second.
const RESEND_INTERVAL: Micros = 100_000;
const SEND_REPEATS: u8 = 6;
/// A verdict for which nothing new spoke so long is taken back.
pub const CONFIRMATION_TTL: Micros = 7200 * SECOND;
/// For how long a gateway goes by a verdict after its customer's owner was last held alive.
pub const VERDICT_TTL: Micros = 30 * SECOND;
/// The same for private connections.
pub const SESSION_VERDICT_TTL: Micros = 600 * SECOND;
/// Without a report for so long a customer is forgotten.
pub const CUSTOMER_TTL: Micros = 2 * CONFIRMATION_TTL;
/// An owner that is new to a customer waits so long for gateways to say what they act on.
const WARM_UP: Micros = 3 * SECOND;
/// Without a report a customer is judged again so often: windows age, gateways go.
const EVALUATION_INTERVAL: Micros = SECOND;
/// Lives of a gateway that are held: that which runs, and the one before, whose requests were others.
const MAX_INCARNATIONS: usize = 2;
/// Gateways that are held of a customer: a set has four at most, and some may have changed.
const MAX_GATEWAYS: usize = 8;

/// The evidence behind a verdict: requests and failures.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EvidenceSummary {
    /// On the customer's own connection.
    pub kept: [u32; 2],
    /// Changed within a run.
    pub changed_in_run: [u32; 2],
    /// Changed between runs.
    pub changed_between: [u32; 2],
    /// Of others, at the same backends in the same seconds.
    pub control: [u32; 2],
}

/// What an owner says of a customer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Verdict {
    /// Of whom.
    pub customer: Customer,
    /// What it is held for.
    pub pooling: Pooling,
    /// By which right.
    pub fence: FencingToken,
    /// The owner's incarnation, and a number that grows within it: an owner that restarts may come back under the same fence.
    pub sequence: (u64, u64),
    /// Time since it was last judged so.
    pub age: Micros,
    /// Gateways whose reports it rests on.
    pub reports: Vec<String>,
    /// Their counts.
    pub evidence: EvidenceSummary,
}

/// What an owner is told.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Input {
    /// A gateway's report.
    Report(Report),
    /// Time has passed: a few times a second.
    Tick,
}

/// What an owner wants sent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Output {
    /// A question for a gateway's report.
    RequestReport {
        /// To whom.
        gateway: String,
        /// Of whom.
        customer: Customer,
    },
    /// A verdict for a gateway.
    SendVerdict {
        /// To whom.
        gateway: String,
        /// What.
        verdict: Verdict,
    },
}

/// What an owner knows of its surroundings at the moment of an input.
pub struct OwnerContext<'a> {
    /// The right under which it acts.
    pub fence: FencingToken,
    /// Whether it keeps that customer now.
    pub owns: &'a dyn Fn(Customer) -> bool,
    /// The gateways of a customer's set.
    pub gateways_of: &'a dyn Fn(Customer) -> Vec<String>,
    /// Whether a gateway is held for gone: its word is not waited for.
    pub is_gone: &'a dyn Fn(&str) -> bool,
    /// Whether this side may take steps towards sharing: it is the majority.
    pub may_relax: bool,
}

/// One incarnation of a gateway, as last told.
#[derive(Debug, Clone)]
struct ReceivedReport {
    report: Report,
    at: Micros,
}

/// What is held of one customer.
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

/// The customers of one owner.
#[derive(Debug, Default)]
pub struct VerdictAggregator {
    customers: BTreeMap<Customer, CustomerState>,
    max_customers: usize,
    rejected: u64,
    /// Its incarnation, and how many verdicts it has said in it, of all customers: one whose file went and came is not behind.
    sequence: (u64, u64),
}

impl VerdictAggregator {
    /// An incarnation that knows nothing, and holds so many customers.
    pub fn new(incarnation: u64, max_customers: usize) -> Self {
        VerdictAggregator {
            max_customers,
            sequence: (incarnation, 0),
            ..VerdictAggregator::default()
        }
    }

    /// Takes an input.
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
        // An owner that starts goes on from what gateways act on: its not knowing is no evidence for sharing.
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
        // It missed what was said, or came later than that.
        if state.pending_sends == 0 && state.sequence != (0, 0) && acted_on != state.pooling {
            outputs.push(Output::SendVerdict {
                gateway,
                verdict: state.verdict(now, customer, context.fence),
            });
        }
    }

    fn on_tick(&mut self, now: Micros, context: &OwnerContext<'_>, outputs: &mut Vec<Output>) {
        // Where room is short, those go first of whom nothing is said and nothing was heard for a minute.
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

    /// What is held of a customer, for operators and for the owner's own gateway.
    pub fn verdict(&self, now: Micros, customer: Customer, fence: FencingToken) -> Option<Verdict> {
        self.customers
            .get(&customer)
            .map(|state| state.verdict(now, customer, fence))
    }

    /// Whether anything is held of a customer.
    pub fn has(&self, customer: Customer) -> bool {
        self.customers.contains_key(&customer)
    }

    /// Whether what was said last of a customer is one of the repetitions in between: the first two and the last one carry it
    /// through a loss of a fifth but for one time in a hundred.
    pub fn is_repeating(&self, customer: Customer) -> bool {
        self.customers
            .get(&customer)
            .is_some_and(|state| (1..SEND_REPEATS - 2).contains(&state.pending_sends))
    }

    /// What a customer is held for, without the counts.
    pub fn pooling_of(&self, customer: Customer) -> Pooling {
        self.customers
            .get(&customer)
            .map_or(Pooling::Unknown, |state| state.pooling)
    }

    /// Reports that there was no room for, or that came from outside the set.
    pub fn rejected(&self) -> u64 {
        self.rejected
    }
}

impl CustomerState {
    /// Takes a report, unless it is no news. The whole replaces the whole: nothing is added up.
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

    /// Asks gateways of the set whose word is missing, or old where that is what a step towards sharing waits for.
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
        // Windows of the incarnation before stand behind those of this one, and the oldest of both go.
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
        // Nothing is said of a customer that nothing is known of, until something is. Nor, at the start, while a gateway
        // that has not answered yet may act on more caution.
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
        // Kept requests stand beside both kinds of change; the longer record is shown, not their sum.
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

/// Why a verdict was not taken.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum VerdictRejection {
    /// Its right is over.
    #[error("a verdict under epoch {} and version {} came after one under epoch {} and version {}: its keeper was \
             replaced; if this goes on, look at `owner` and `shards` of the door that sent it", came.epoch,
             came.version, known.epoch, known.version)]
    Superseded {
        /// What it came with.
        came: FencingToken,
        /// The highest known.
        known: FencingToken,
    },
    /// A later one is there.
    #[error("a verdict came after a later one of the same keeper: datagrams were late or doubled; nothing is to be done")]
    Outdated,
    /// This side takes no step towards sharing.
    #[error("a step towards sharing came while this door reaches no majority: it waits; look at `fleet` for who is cut off")]
    Minority,
    /// There is no room.
    #[error(
        "no room for another verdict: {0} are held; customers without one are handled as `unknown`"
    )]
    Full(usize),
}

/// What one gateway was told of customers.
#[derive(Debug, Default)]
pub struct VerdictTable {
    verdicts: BTreeMap<Customer, (Verdict, Micros)>,
    highest: FencingToken,
    max_customers: usize,
}

impl VerdictTable {
    /// A gateway that was told nothing, with room for so many.
    pub fn new(max_customers: usize) -> Self {
        VerdictTable {
            max_customers,
            ..VerdictTable::default()
        }
    }

    /// A fence was seen in anything: lower ones are refused from now on.
    pub fn observe_token(&mut self, fence: FencingToken) {
        self.highest = self.highest.max(fence);
    }

    /// A verdict came. It is from the customer's owner, so that one is alive.
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
            // `unknown` is what holds without one; and of the rest the oldest may be of customers that are long gone.
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

    /// The last verdict that was taken, and when.
    pub fn verdict(&self, customer: Customer) -> Option<(&Verdict, Micros)> {
        self.verdicts
            .get(&customer)
            .map(|(verdict, at)| (verdict, *at))
    }

    /// What a customer is held for now. `owner` is when the one that keeps it was last held alive.
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

/// How a request is to get its connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConnectionPolicy {
    /// Any.
    Any,
    /// The customer's last one, if it is idle and within a run.
    Run,
    /// One of its own.
    Private,
}

/// Pause between two requests of a bound customer that are let go on any connection, to see whether it still is: 12 an hour
/// at a gateway. And the part of requests within runs that are let go while nothing is known: without them it stays so.
pub const PROBE_INTERVAL: Micros = 300 * SECOND;
/// See [`PROBE_INTERVAL`].
pub const UNKNOWN_PROBE_RATE: f64 = 0.5;

/// How a request is to get its connection. `since_probe` is the time since the last one that was let go, `draw` from 0 to 1. A bound
/// customer loses 12 requests an hour and gateway by it, an unknown one of the second kind some 20 until it is known.
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

/// What private connections may take.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Limits {
    /// SessionClassifier of the descriptors of a gateway.
    pub of_descriptors: f64,
    /// SessionClassifier of the connections to a backend.
    pub of_backend: f64,
    /// Of one customer at one backend.
    pub each: u32,
    /// The longest a private connection may stay unused.
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

/// What private connections take now.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Usage {
    /// Descriptors of this gateway, and those that are private connections.
    pub descriptors: [u32; 2],
    /// Connections that the backend may have from this gateway, and those that are private.
    pub backend: [u32; 2],
    /// Private ones of this customer at that backend.
    pub own: u32,
}

/// Whether a customer gets a private connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Grant {
    /// It does.
    Private,
    /// It shares, and that is counted: the descriptors' part is used up.
    Descriptors,
    /// It shares: the backend's part is.
    Backend,
    /// It shares: it has as many as one may.
    Each,
}

/// Whether one more private connection is within the limits. Whoever breaks requests on purpose to get one gets no
/// more than all such customers together may have.
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
