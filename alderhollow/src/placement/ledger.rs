//! A placer's view of all senders' attempts at the backends of its zone. No I/O and no clock.
//!
//! A sender that is gone without a word is dropped after [`SENDER_SILENCE_MS`]; one that is cut off chooses for itself, and
//! is heard of again by its next whole report. A placer that starts anew knows nothing until the senders' next whole reports.

use super::message::{AttemptId, Demand, Event, PlaceRequest, Placement, Report, UnderWay};
use crate::balance::{Balancer, Explanation, Millis, Outcome};
use alderhollow_model::identity::Incarnation;
use alderhollow_model::snapshot::Snapshot;
use std::collections::BTreeMap;

/// A sender that said nothing for so long is gone, and its attempts with it. Whole reports come more often.
pub const SENDER_SILENCE_MS: Millis = 2_200.0;
/// Between two looks for silent senders.
const LOOK_INTERVAL_MS: Millis = 250.0;
/// Most senders, and most attempts of one, that are kept: a bound on memory whatever is sent.
const MAX_SENDERS: usize = 4_096;
const MAX_ATTEMPTS: usize = 4_096;

/// What is known of one sender.
#[derive(Debug, Default)]
struct Sender {
    heard_at: Millis,
    /// Number of the newest whole report.
    sequence: u64,
    /// The balancer's numbers of its attempts, by the sender's own.
    attempts: BTreeMap<u64, u64>,
}

/// When an attempt began that a sender tells of.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum StartTime {
    /// Some milliseconds ago: the sender tells of it as soon as it can.
    JustNow,
    /// At any time before: it stands in a whole report.
    Earlier,
}

/// The view of one placer.
#[derive(Debug)]
pub struct Ledger {
    balancer: Balancer,
    senders: BTreeMap<Incarnation, Sender>,
    looked_at: Millis,
}

impl Ledger {
    /// One that knows of no attempt yet. `node` and `zone` are the placer's own.
    pub fn new(node: &str, zone: &str, seed: u64) -> Ledger {
        Ledger {
            balancer: Balancer::placer_for_zone(node, zone, seed),
            senders: BTreeMap::new(),
            looked_at: 0.0,
        }
    }

    /// Takes in newer tables.
    pub fn update(&mut self, now: Millis, snapshot: &Snapshot) {
        self.balancer.update(now, snapshot);
    }

    /// Attempts under way, of all senders.
    pub fn attempts(&self) -> usize {
        self.senders
            .values()
            .map(|sender| sender.attempts.len())
            .sum()
    }

    /// Senders that are heard of.
    pub fn senders(&self) -> usize {
        self.senders.len()
    }

    /// Chooses a backend and books it for the attempt.
    pub fn place(&mut self, now: Millis, request: &PlaceRequest) -> Placement {
        self.drop_silent(now);
        let AttemptId { sender, number } = request.attempt;
        if !self.may_note(sender) {
            return Placement::NoneReady;
        }
        let prompt = request.demand.prompt();
        let chosen = self.balancer.choose(now, &request.demand.wanted(&prompt));
        match chosen {
            Ok(choice) => {
                self.book(now, sender, number, choice.attempt);
                Placement::At {
                    backend: choice.backend.id.clone(),
                    wait_ms: choice.wait_ms,
                }
            }
            Err(none) => Placement::from(none),
        }
    }

    /// What [`Ledger::place`] would weigh at this moment; `None` where the zone has no backend of the service.
    pub fn explain(&mut self, now: Millis, demand: &Demand) -> Option<Explanation> {
        self.drop_silent(now);
        self.balancer.explain(now, &demand.wanted(&demand.prompt()))
    }

    /// Takes in what a sender reports.
    pub fn take_report(&mut self, now: Millis, report: &Report) {
        self.drop_silent(now);
        if !self.may_note(report.sender()) {
            return;
        }
        match report {
            Report::Events { sender, events } => {
                self.hear(now, *sender);
                events
                    .iter()
                    .for_each(|event| self.take_event(now, *sender, event));
            }
            Report::Whole {
                sender,
                sequence,
                newest,
                under_way,
            } => {
                let known = self.hear(now, *sender);
                if *sequence <= known.sequence {
                    return;
                }
                known.sequence = *sequence;
                self.reconcile(now, *sender, *newest, under_way);
            }
        }
    }

    fn take_event(&mut self, now: Millis, sender: Incarnation, event: &Event) {
        match event {
            Event::Started(under_way) => self.start(now, sender, under_way, StartTime::JustNow),
            Event::Began(number) => {
                if let Some(attempt) = self.number_of(sender, *number) {
                    self.balancer.response_started(now, attempt);
                }
            }
            Event::Ended(number, end) => self.end(now, sender, *number, Outcome::from(*end)),
        }
    }

    /// Makes the sender's attempts those that it tells. Later ones than `newest` may be on their way to it.
    fn reconcile(&mut self, now: Millis, sender: Incarnation, newest: u64, under_way: &[UnderWay]) {
        let is_told = |number: u64| under_way.iter().any(|told| told.number == number);
        let known = self
            .senders
            .get(&sender)
            .map(|known| known.attempts.keys().copied().collect());
        let known: Vec<u64> = known.unwrap_or_default();
        for number in known
            .into_iter()
            .filter(|number| *number <= newest && !is_told(*number))
        {
            self.withdraw(sender, number);
        }
        for told in under_way {
            self.start(now, sender, told, StartTime::Earlier);
        }
    }

    /// Notes an attempt that the sender began; nothing if it is known.
    fn start(&mut self, now: Millis, sender: Incarnation, told: &UnderWay, start_time: StartTime) {
        if let Some(attempt) = self.number_of(sender, told.number) {
            if told.has_begun {
                self.balancer.response_started(now, attempt);
            }
            return;
        }
        let prompt = told.demand.prompt();
        let wanted = told.demand.wanted(&prompt);
        let choice = match start_time {
            StartTime::JustNow => self.balancer.record_choice(now, &wanted, &told.backend),
            StartTime::Earlier => {
                self.balancer
                    .record_earlier_choice(now, &wanted, &told.backend, told.has_begun)
            }
        };
        if let Some(choice) = choice {
            self.book(now, sender, told.number, choice.attempt);
        }
    }

    fn end(&mut self, now: Millis, sender: Incarnation, number: u64, outcome: Outcome) {
        let attempt = self
            .senders
            .get_mut(&sender)
            .and_then(|known| known.attempts.remove(&number));
        if let Some(attempt) = attempt {
            self.balancer.ended(now, attempt, outcome);
        }
    }

    fn book(&mut self, now: Millis, sender: Incarnation, number: u64, attempt: u64) {
        let known = self.hear(now, sender);
        let replaced = known.attempts.insert(number, attempt);
        let oldest = match known.attempts.len() > MAX_ATTEMPTS {
            true => known.attempts.pop_first().map(|(_, oldest)| oldest),
            false => None,
        };
        replaced
            .into_iter()
            .chain(oldest)
            .for_each(|gone| self.balancer.withdraw(gone));
    }

    fn withdraw(&mut self, sender: Incarnation, number: u64) {
        let attempt = self
            .senders
            .get_mut(&sender)
            .and_then(|known| known.attempts.remove(&number));
        attempt
            .into_iter()
            .for_each(|attempt| self.balancer.withdraw(attempt));
    }

    fn number_of(&self, sender: Incarnation, number: u64) -> Option<u64> {
        self.senders.get(&sender)?.attempts.get(&number).copied()
    }

    fn may_note(&self, sender: Incarnation) -> bool {
        self.senders.len() < MAX_SENDERS || self.senders.contains_key(&sender)
    }

    fn hear(&mut self, now: Millis, sender: Incarnation) -> &mut Sender {
        let known = self.senders.entry(sender).or_default();
        known.heard_at = now;
        known
    }

    fn drop_silent(&mut self, now: Millis) {
        if now - self.looked_at < LOOK_INTERVAL_MS {
            return;
        }
        self.looked_at = now;
        let is_silent = |sender: &Sender| now - sender.heard_at > SENDER_SILENCE_MS;
        let silent: Vec<Incarnation> = self
            .senders
            .iter()
            .filter(|(_, sender)| is_silent(sender))
            .map(|(incarnation, _)| *incarnation)
            .collect();
        for incarnation in silent {
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
