//! The owner's state of one customer: its reports, the current verdict, and what still has to be sent.

use super::io::{Output, OwnerContext};
use super::{EvidenceSummary, Verdict, VerdictSequence, CONFIRMATION_TTL, SECOND};
use crate::protocol::Micros;
use crate::sessions::evidence::{Report, Window, WINDOWS};
use crate::sessions::judge::{self, Counts, Found};
use crate::sessions::{Customer, FencingToken, Pooling};
use std::collections::BTreeMap;
/// Interval between two repetitions of a changed verdict, so that a loss delays it by a fraction of a second.
const RESEND_INTERVAL: Micros = 100_000;
/// How often a changed verdict is sent.
pub(super) const SEND_REPEATS: u8 = 6;
/// Maximum age of a report that counts for relaxing a verdict. A newer one is requested if relaxing waits for it only.
pub const REPORT_TTL: Micros = 30 * SECOND;
/// Time that an owner waits for the gateways' reports of a customer that is new to it.
pub(super) const WARM_UP: Micros = 3 * SECOND;
/// Incarnations of a gateway whose reports are kept: the current one and the one before, which counted other requests.
const MAX_INCARNATIONS: usize = 2;
/// Gateways of a customer whose reports are kept: usually four at most, and some may have changed.
const MAX_GATEWAYS: usize = 8;

/// The last report of one incarnation of a gateway.
#[derive(Debug, Clone)]
struct ReceivedReport {
    report: Report,
    received_at: Micros,
}

/// Reports and verdict of one customer.
#[derive(Debug, Clone)]
pub(super) struct CustomerState {
    /// Reports of each gateway, the newest incarnation first.
    gateways: BTreeMap<String, Vec<ReceivedReport>>,
    /// When the report of a gateway was last requested.
    requested_at: BTreeMap<String, Micros>,
    pub(super) pooling: Pooling,
    /// When evidence last confirmed the verdict.
    pub(super) confirmed_at: Micros,
    pub(super) started_at: Micros,
    pub(super) evaluated_at: Micros,
    /// When the last report was received.
    pub(super) reported_at: Micros,
    /// When the current verdict was last sent.
    sent_at: Option<Micros>,
    /// How often the current verdict still has to be sent.
    pub(super) pending_sends: u8,
    pub(super) sequence: VerdictSequence,
}

impl CustomerState {
    pub(super) fn new(now: Micros) -> CustomerState {
        CustomerState {
            gateways: BTreeMap::new(),
            requested_at: BTreeMap::new(),
            pooling: Pooling::Unknown,
            confirmed_at: now,
            started_at: now,
            evaluated_at: now,
            reported_at: now,
            sent_at: None,
            pending_sends: 0,
            sequence: VerdictSequence::default(),
        }
    }

    /// Whether any verdict has been sent.
    pub(super) fn has_sent(&self) -> bool {
        self.sequence != VerdictSequence::default()
    }

    /// A gateway has sent its report: it need not be requested.
    pub(super) fn clear_request(&mut self, gateway: &str) {
        self.requested_at.remove(gateway);
    }

    /// Replaces the stored report by a newer one of the same incarnation. Returns false if it is not newer.
    pub(super) fn on_report(&mut self, now: Micros, report: Report) -> bool {
        if !self.gateways.contains_key(&report.gateway) && self.gateways.len() >= MAX_GATEWAYS {
            return false;
        }
        let incarnations = self.gateways.entry(report.gateway.clone()).or_default();
        match incarnations
            .iter_mut()
            .find(|received| received.report.incarnation == report.incarnation)
        {
            Some(received) if received.report.sequence >= report.sequence => return false,
            Some(received) => {
                *received = ReceivedReport {
                    report,
                    received_at: now,
                }
            }
            None => incarnations.push(ReceivedReport {
                report,
                received_at: now,
            }),
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
                .map(|received| received.received_at);
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

    /// The windows of each gateway for one kind of change, newest first, without those that have expired.
    fn windows(&self, now: Micros, of: impl Fn(&Report) -> &[(Window, u32)]) -> Vec<Vec<Window>> {
        let live = |received: &ReceivedReport| -> Vec<Window> {
            let since = now.saturating_sub(received.received_at) / SECOND;
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

    /// Runs the test for both kinds of change, and updates the verdict.
    pub(super) fn evaluate(
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
            received.is_some_and(|received| now.saturating_sub(received.received_at) < REPORT_TTL)
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

    /// Outputs the verdict for all gateways, if a repetition is due.
    pub(super) fn send_verdict(
        &mut self,
        now: Micros,
        customer: Customer,
        set: &[String],
        context: &OwnerContext<'_>,
        last_sequence: &mut VerdictSequence,
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
        let is_suppressed = is_waiting || (!self.has_sent() && self.pooling == Pooling::Unknown);
        let is_too_soon = self
            .sent_at
            .is_some_and(|at| now.saturating_sub(at) < RESEND_INTERVAL);
        if is_suppressed || is_too_soon || self.pending_sends == 0 {
            return;
        }
        self.sent_at = Some(now);
        self.pending_sends = self.pending_sends.saturating_sub(1);
        last_sequence.number += 1;
        self.sequence = *last_sequence;
        let verdict = self.verdict(now, customer, context.token);
        for gateway in set.iter().filter(|gateway| !(context.is_gone)(gateway)) {
            outputs.push(Output::SendVerdict {
                gateway: gateway.clone(),
                verdict: verdict.clone(),
            });
        }
    }

    /// The current verdict with its evidence.
    pub(super) fn verdict(&self, now: Micros, customer: Customer, token: FencingToken) -> Verdict {
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
        let has_counts = |incarnations: &Vec<ReceivedReport>| {
            incarnations.iter().any(|received| {
                !received.report.in_run.is_empty() || !received.report.between_runs.is_empty()
            })
        };
        Verdict {
            customer,
            pooling: self.pooling,
            token,
            sequence: self.sequence,
            age: now.saturating_sub(self.confirmed_at),
            reports: self
                .gateways
                .iter()
                .filter(|(_, incarnations)| has_counts(incarnations))
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
