//! The owner's side: takes the reports of all gateways and outputs verdicts, for each customer that it owns.

use super::customer::{CustomerState, REPORT_TTL, SEND_REPEATS, WARM_UP};
use super::io::{Input, Output, OwnerContext};
use super::{Verdict, VerdictSequence, CONFIRMATION_TTL, SECOND};
use crate::protocol::Micros;
use crate::sessions::evidence::{Report, WINDOWS};
use crate::sessions::{Customer, FencingToken, Pooling};
use std::collections::BTreeMap;

/// Time without a report after which a customer is dropped.
pub const CUSTOMER_TTL: Micros = 2 * CONFIRMATION_TTL;

/// Interval of evaluation without a new report: windows age, and gateways leave.
const EVALUATION_INTERVAL: Micros = SECOND;

/// Aggregates the reports of the customers of one owner, and decides.
#[derive(Debug, Default)]
pub struct VerdictAggregator {
    customers: BTreeMap<Customer, CustomerState>,
    max_customers: usize,
    rejected: u64,
    /// Incarnation of this owner, and the number of verdicts sent in it, over all customers: a customer that was
    /// dropped and returns gets higher numbers.
    sequence: VerdictSequence,
}

impl VerdictAggregator {
    /// Starts without reports, with a limit of customers.
    pub fn new(incarnation: u64, max_customers: usize) -> Self {
        VerdictAggregator {
            max_customers,
            sequence: VerdictSequence {
                incarnation,
                number: 0,
            },
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
            .or_insert_with(|| CustomerState::new(now));
        let gateway = report.gateway.clone();
        let acted_on = report.pooling;
        if !state.on_report(now, report) {
            return;
        }
        state.clear_request(&gateway);
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
        if state.pending_sends == 0 && state.has_sent() && acted_on != state.pooling {
            outputs.push(Output::SendVerdict {
                gateway,
                verdict: state.verdict(now, customer, context.token),
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
    pub fn verdict(&self, now: Micros, customer: Customer, token: FencingToken) -> Option<Verdict> {
        self.customers
            .get(&customer)
            .map(|state| state.verdict(now, customer, token))
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
