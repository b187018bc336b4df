//! The probes and suspicions of one process about the processes that it monitors.

use super::rendezvous::{monitors_of, subjects_of};
use super::{Millis, NodeNumber};
use std::collections::{BTreeMap, BTreeSet};

/// Intervals and timeouts of the probes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Timings {
    /// Number of monitors of each process.
    pub monitors: usize,
    /// Interval between two probes of a process.
    pub probe_interval_ms: Millis,
    /// Time without an answer after which the other monitors are asked to probe the process.
    pub indirect_probe_timeout_ms: Millis,
    /// Time without any answer to a probe after which the process is suspected.
    pub suspicion_timeout_ms: Millis,
    /// If a timer fires later than this, the monitor itself was stalled, and its unanswered probes are discarded.
    pub max_own_stall_ms: Millis,
}

impl Default for Timings {
    fn default() -> Timings {
        Timings {
            monitors: 3,
            probe_interval_ms: 400,
            indirect_probe_timeout_ms: 250,
            suspicion_timeout_ms: 700,
            max_own_stall_ms: 150,
        }
    }
}

/// A message between monitors.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Message {
    /// Asks the recipient for an answer.
    Probe {
        /// Number of the probe at its requester.
        number: u64,
        /// The process that wants to know: the sender itself, or one that received no answer.
        requester: NodeNumber,
    },
    /// Answer to a probe.
    Answer {
        /// Number of the probe.
        number: u64,
        /// The requester of the probe.
        requester: NodeNumber,
    },
    /// Asks the recipient to probe another process on behalf of the sender.
    IndirectProbe {
        /// The process to probe.
        subject: NodeNumber,
        /// Number of the probe at the sender.
        number: u64,
    },
}

/// A message to send.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OutgoingMessage {
    /// The recipient.
    pub to: NodeNumber,
    /// The message.
    pub message: Message,
}

/// A probe without an answer so far.
#[derive(Debug, Clone, Copy)]
struct Probe {
    number: u64,
    sent_at: Millis,
    indirect_sent: bool,
}

/// A monitored process.
#[derive(Debug)]
struct Subject {
    next_probe_at: Millis,
    probe: Option<Probe>,
    /// The other monitors of the process, which send indirect probes.
    indirect_probers: Vec<NodeNumber>,
}

/// The suspicions of one process, as sent to the primary.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Report {
    /// Increases with each change; a report with a lower number is outdated.
    pub sequence: u64,
    /// The processes suspected now.
    pub suspected: BTreeSet<NodeNumber>,
}

/// The monitor of one process: probes its subjects and collects suspicions.
#[derive(Debug)]
pub struct Monitor {
    own: NodeNumber,
    timings: Timings,
    subjects: BTreeMap<NodeNumber, Subject>,
    suspected: BTreeSet<NodeNumber>,
    sequence: u64,
    last_number: u64,
    last_timer_at: Millis,
}

impl Monitor {
    /// A monitor without subjects.
    pub fn new(own: NodeNumber, timings: Timings) -> Monitor {
        Monitor {
            own,
            timings,
            subjects: BTreeMap::new(),
            suspected: BTreeSet::new(),
            sequence: 0,
            last_number: 0,
            last_timer_at: 0,
        }
    }

    /// Replaces the membership list. Subjects that remain keep their probes and suspicions.
    pub fn set_nodes(&mut self, now: Millis, nodes: &[NodeNumber]) {
        let count = self.timings.monitors;
        let mut former = std::mem::take(&mut self.subjects);
        for subject in subjects_of(self.own, nodes, count) {
            let mut indirect_probers = monitors_of(subject, nodes, count);
            indirect_probers.retain(|prober| *prober != self.own);
            let next_probe_at = now + self.first_delay_ms(subject);
            let subject_state = former.remove(&subject).unwrap_or(Subject {
                next_probe_at,
                probe: None,
                indirect_probers: Vec::new(),
            });
            self.subjects.insert(
                subject,
                Subject {
                    indirect_probers,
                    ..subject_state
                },
            );
        }
        let monitored: BTreeSet<NodeNumber> = self.subjects.keys().copied().collect();
        let before = self.suspected.len();
        self.suspected.retain(|subject| monitored.contains(subject));
        self.record_change(self.suspected.len() != before);
    }

    /// Delay of the first probe of a subject; spreads the probes over the interval.
    fn first_delay_ms(&self, subject: NodeNumber) -> Millis {
        u64::from(subject.wrapping_mul(31).wrapping_add(self.own))
            % self.timings.probe_interval_ms.max(1)
    }

    /// The current report.
    pub fn report(&self) -> Report {
        Report {
            sequence: self.sequence,
            suspected: self.suspected.clone(),
        }
    }

    /// When [`Monitor::on_timer`] is due; `None` without subjects.
    pub fn next_wakeup(&self) -> Option<Millis> {
        self.subjects
            .values()
            .map(|subject| self.due(subject))
            .min()
    }

    fn due(&self, subject: &Subject) -> Millis {
        match &subject.probe {
            None => subject.next_probe_at,
            Some(probe) if !probe.indirect_sent => {
                probe.sent_at + self.timings.indirect_probe_timeout_ms
            }
            Some(probe) => probe.sent_at + self.timings.suspicion_timeout_ms,
        }
    }

    /// Sends due probes and suspects subjects whose probes timed out.
    pub fn on_timer(&mut self, now: Millis, sends: &mut Vec<OutgoingMessage>) {
        if now.saturating_sub(self.last_timer_at)
            > self.timings.max_own_stall_ms + self.timings.probe_interval_ms
        {
            self.restart_probes(now);
        }
        self.last_timer_at = now;
        let due: Vec<NodeNumber> = self
            .subjects
            .iter()
            .filter(|(_, subject)| self.due(subject) <= now)
            .map(|(id, _)| *id)
            .collect();
        due.into_iter()
            .for_each(|subject| self.check_subject(now, subject, sends));
    }

    /// Restarts all probes after a stall of this process, during which answers may have been lost.
    fn restart_probes(&mut self, now: Millis) {
        for subject in self.subjects.values_mut() {
            subject.probe = None;
            subject.next_probe_at = now;
        }
    }

    fn check_subject(&mut self, now: Millis, id: NodeNumber, sends: &mut Vec<OutgoingMessage>) {
        let timings = self.timings;
        let Some(subject) = self.subjects.get_mut(&id) else {
            return;
        };
        match &mut subject.probe {
            None => {
                self.last_number += 1;
                let number = self.last_number;
                subject.probe = Some(Probe {
                    number,
                    sent_at: now,
                    indirect_sent: false,
                });
                sends.push(OutgoingMessage {
                    to: id,
                    message: Message::Probe {
                        number,
                        requester: self.own,
                    },
                });
            }
            Some(probe) if !probe.indirect_sent => {
                probe.indirect_sent = true;
                let number = probe.number;
                sends.push(OutgoingMessage {
                    to: id,
                    message: Message::Probe {
                        number,
                        requester: self.own,
                    },
                });
                let indirect_probe = |prober: &NodeNumber| OutgoingMessage {
                    to: *prober,
                    message: Message::IndirectProbe {
                        subject: id,
                        number,
                    },
                };
                sends.extend(subject.indirect_probers.iter().map(indirect_probe));
            }
            Some(_) => {
                subject.probe = None;
                subject.next_probe_at = now + timings.probe_interval_ms;
                let is_new = self.suspected.insert(id);
                self.record_change(is_new);
            }
        }
    }

    /// Handles a message of another process.
    pub fn on_message(
        &mut self,
        now: Millis,
        from: NodeNumber,
        message: Message,
        sends: &mut Vec<OutgoingMessage>,
    ) {
        match message {
            Message::Probe { number, requester } => {
                sends.push(OutgoingMessage {
                    to: from,
                    message: Message::Answer { number, requester },
                });
            }
            Message::IndirectProbe { subject, number } => {
                sends.push(OutgoingMessage {
                    to: subject,
                    message: Message::Probe {
                        number,
                        requester: from,
                    },
                });
            }
            Message::Answer { number, requester } if requester != self.own => {
                // An answer to an indirect probe: forward it to the requester, which identifies the subject by the
                // number.
                sends.push(OutgoingMessage {
                    to: requester,
                    message: Message::Answer { number, requester },
                });
            }
            Message::Answer { number, .. } => self.on_answer(now, number),
        }
    }

    fn on_answer(&mut self, now: Millis, number: u64) {
        let probed = |subject: &Subject| subject.probe.is_some_and(|probe| probe.number == number);
        let Some((id, subject)) = self
            .subjects
            .iter_mut()
            .find(|(_, subject)| probed(subject))
        else {
            return;
        };
        subject.probe = None;
        subject.next_probe_at = now + self.timings.probe_interval_ms;
        let id = *id;
        let was_suspected = self.suspected.remove(&id);
        self.record_change(was_suspected);
    }

    fn record_change(&mut self, is_changed: bool) {
        self.sequence += u64::from(is_changed);
    }
}
