//! A placer's view of all senders' attempts at the backends of its zone. No I/O and no clock.
//!
//! A sender that cannot reach a backend may itself be cut off. It excludes the backend in its demands; for the other
//! senders the backend is ejected once a second one reports a failure.
//!
//! The attempts of a sender that disappears are removed after [`SENDER_TIMEOUT_MS`]. A partitioned sender selects
//! backends by itself, and its next snapshot restores its attempts. A placer that restarts knows no attempts until the
//! senders' next snapshots.

use super::message::{AttemptId, AttemptInfo, Demand, Event, PlaceRequest, Placement, Report};
use crate::balance::{Balancer, Explanation, Millis, Outcome, Prompt, SelectionRequest};
use alderhollow_model::identity::Incarnation;
use alderhollow_model::snapshot::Snapshot;
use std::collections::BTreeMap;

/// A sender without reports for this long is removed together with its attempts. Longer than the interval of
/// snapshots.
pub const SENDER_TIMEOUT_MS: Millis = 2_200.0;
/// Interval between two checks for expired senders.
const EXPIRY_CHECK_INTERVAL_MS: Millis = 250.0;
/// Maximum numbers of senders, and of attempts per sender, to bound the memory for any input.
const MAX_SENDERS: usize = 4_096;
const MAX_ATTEMPTS: usize = 4_096;

/// The state of one sender.
#[derive(Debug, Default)]
struct Sender {
    last_seen: Millis,
    /// Sequence number of the newest snapshot.
    sequence: u64,
    /// By the sender's attempt number: the balancer's attempt number.
    attempts: BTreeMap<u64, u64>,
}

/// When a reported attempt started.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum StartTime {
    /// A few milliseconds ago: senders report starts immediately.
    JustNow,
    /// At an unknown earlier time: the attempt is part of a snapshot.
    Earlier,
}

/// The request of a sender as the balancer counts it: its end is that sender's view of the backend.
fn selection_request<'a>(
    sender: Incarnation,
    demand: &'a Demand,
    prompt: &'a Prompt,
) -> SelectionRequest<'a> {
    SelectionRequest {
        sender: Some(sender),
        ..demand.selection_request(prompt)
    }
}

/// The state of one placer.
#[derive(Debug)]
pub struct Ledger {
    balancer: Balancer,
    senders: BTreeMap<Incarnation, Sender>,
    last_expiry_check: Millis,
}

impl Ledger {
    /// Creates an empty ledger. `node` and `zone` are those of the placer.
    pub fn new(node: &str, zone: &str, seed: u64) -> Ledger {
        Ledger {
            balancer: Balancer::placer_for_zone(node, zone, seed),
            senders: BTreeMap::new(),
            last_expiry_check: 0.0,
        }
    }

    /// Applies newer tables.
    pub fn update(&mut self, now: Millis, snapshot: &Snapshot) {
        self.balancer.update(now, snapshot);
    }

    /// Number of attempts in flight, of all senders.
    pub fn attempts(&self) -> usize {
        self.senders
            .values()
            .map(|sender| sender.attempts.len())
            .sum()
    }

    /// Number of known senders.
    pub fn senders(&self) -> usize {
        self.senders.len()
    }

    /// Selects a backend and records the attempt.
    pub fn place(&mut self, now: Millis, request: &PlaceRequest) -> Placement {
        self.expire_senders(now);
        let AttemptId { sender, number } = request.attempt;
        if !self.can_track(sender) {
            return Placement::NoneReady;
        }
        let prompt = request.demand.prompt();
        let wanted = selection_request(sender, &request.demand, &prompt);
        let chosen = self.balancer.choose(now, &wanted);
        match chosen {
            Ok(choice) => {
                self.record_attempt(now, sender, number, choice.attempt);
                Placement::At {
                    backend: choice.backend.id.clone(),
                    wait_ms: choice.wait_ms,
                }
            }
            Err(none) => Placement::from(none),
        }
    }

    /// Explains what [`Ledger::place`] would select now; `None` if the zone has no backend of the service.
    pub fn explain(&mut self, now: Millis, demand: &Demand) -> Option<Explanation> {
        self.expire_senders(now);
        self.balancer
            .explain(now, &demand.selection_request(&demand.prompt()))
    }

    /// Applies a sender's report.
    pub fn apply_report(&mut self, now: Millis, report: &Report) {
        self.expire_senders(now);
        if !self.can_track(report.sender()) {
            return;
        }
        match report {
            Report::Events { sender, events } => {
                self.touch_sender(now, *sender);
                events
                    .iter()
                    .for_each(|event| self.apply_event(now, *sender, event));
            }
            Report::Snapshot {
                sender,
                sequence,
                last_number,
                in_flight,
            } => {
                let entry = self.touch_sender(now, *sender);
                if *sequence <= entry.sequence {
                    return;
                }
                entry.sequence = *sequence;
                self.reconcile(now, *sender, *last_number, in_flight);
            }
        }
    }

    fn apply_event(&mut self, now: Millis, sender: Incarnation, event: &Event) {
        match event {
            Event::Started(in_flight) => self.start(now, sender, in_flight, StartTime::JustNow),
            Event::ResponseStarted(number) => {
                if let Some(attempt) = self.balancer_attempt(sender, *number) {
                    self.balancer.response_started(now, attempt);
                }
            }
            Event::Ended(number, end) => match end.outcome() {
                Some(outcome) => self.end(now, sender, *number, outcome),
                None => self.withdraw(sender, *number),
            },
        }
    }

    /// Replaces the sender's attempts by those of a snapshot. Attempts after `last_number` are kept, because the
    /// snapshot does not cover them.
    fn reconcile(
        &mut self,
        now: Millis,
        sender: Incarnation,
        last_number: u64,
        in_flight: &[AttemptInfo],
    ) {
        let is_reported = |number: u64| in_flight.iter().any(|info| info.number == number);
        let known_numbers = self
            .senders
            .get(&sender)
            .map(|entry| entry.attempts.keys().copied().collect());
        let known_numbers: Vec<u64> = known_numbers.unwrap_or_default();
        for number in known_numbers
            .into_iter()
            .filter(|number| *number <= last_number && !is_reported(*number))
        {
            self.withdraw(sender, number);
        }
        for info in in_flight {
            self.start(now, sender, info, StartTime::Earlier);
        }
    }

    /// Records an attempt that the sender started, unless it is already known.
    fn start(
        &mut self,
        now: Millis,
        sender: Incarnation,
        info: &AttemptInfo,
        start_time: StartTime,
    ) {
        if let Some(attempt) = self.balancer_attempt(sender, info.number) {
            if info.response_started {
                self.balancer.response_started(now, attempt);
            }
            return;
        }
        let prompt = info.demand.prompt();
        let selection = selection_request(sender, &info.demand, &prompt);
        let choice = match start_time {
            StartTime::JustNow => self.balancer.record_choice(now, &selection, &info.backend),
            StartTime::Earlier => self.balancer.record_earlier_choice(
                now,
                &selection,
                &info.backend,
                info.response_started,
            ),
        };
        if let Some(choice) = choice {
            self.record_attempt(now, sender, info.number, choice.attempt);
        }
    }

    fn end(&mut self, now: Millis, sender: Incarnation, number: u64, outcome: Outcome) {
        let attempt = self
            .senders
            .get_mut(&sender)
            .and_then(|entry| entry.attempts.remove(&number));
        if let Some(attempt) = attempt {
            self.balancer.ended(now, attempt, outcome);
        }
    }

    fn record_attempt(&mut self, now: Millis, sender: Incarnation, number: u64, attempt: u64) {
        let entry = self.touch_sender(now, sender);
        let replaced = entry.attempts.insert(number, attempt);
        let oldest = match entry.attempts.len() > MAX_ATTEMPTS {
            true => entry.attempts.pop_first().map(|(_, oldest)| oldest),
            false => None,
        };
        replaced
            .into_iter()
            .chain(oldest)
            .for_each(|removed| self.balancer.withdraw(removed));
    }

    fn withdraw(&mut self, sender: Incarnation, number: u64) {
        let attempt = self
            .senders
            .get_mut(&sender)
            .and_then(|entry| entry.attempts.remove(&number));
        attempt
            .into_iter()
            .for_each(|attempt| self.balancer.withdraw(attempt));
    }

    fn balancer_attempt(&self, sender: Incarnation, number: u64) -> Option<u64> {
        self.senders.get(&sender)?.attempts.get(&number).copied()
    }

    fn can_track(&self, sender: Incarnation) -> bool {
        self.senders.len() < MAX_SENDERS || self.senders.contains_key(&sender)
    }

    fn touch_sender(&mut self, now: Millis, sender: Incarnation) -> &mut Sender {
        let entry = self.senders.entry(sender).or_default();
        entry.last_seen = now;
        entry
    }

    fn expire_senders(&mut self, now: Millis) {
        if now - self.last_expiry_check < EXPIRY_CHECK_INTERVAL_MS {
            return;
        }
        self.last_expiry_check = now;
        let is_expired = |sender: &Sender| now - sender.last_seen > SENDER_TIMEOUT_MS;
        let expired: Vec<Incarnation> = self
            .senders
            .iter()
            .filter(|(_, sender)| is_expired(sender))
            .map(|(incarnation, _)| *incarnation)
            .collect();
        for incarnation in expired {
            let attempts = self
                .senders
                .remove(&incarnation)
                .map(|sender| sender.attempts)
                .unwrap_or_default();
            attempts
                .into_values()
                .for_each(|attempt| self.balancer.withdraw(attempt));
        }
    }
}
