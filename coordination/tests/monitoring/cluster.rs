//! Processes that monitor each other and poll a primary, in a simulated network. A run depends on its seed only.

use alderhollow_coordination::monitoring::failure_detector::{FailureDetector, Thresholds};
use alderhollow_coordination::monitoring::monitor::{
    Message, Monitor, OutgoingMessage, Report, Timings,
};
use alderhollow_coordination::monitoring::{Millis, NodeNumber};
use oorandom::Rand64;
use std::collections::{BTreeMap, BTreeSet};

const POLL_INTERVAL_MS: Millis = 400;
/// Sizes in bytes: header of a datagram or frame, message, one suspected process in a poll.
const HEADER_BYTES: u64 = 28;
const MESSAGE_BYTES: u64 = 12;
const SUSPECT_BYTES: u64 = 5;
const QUOTA_PERIOD_MS: Millis = 100;

/// Fault of a process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Fault {
    /// It has crashed.
    Crash,
    /// It is frozen until this time.
    FreezeUntil(Millis),
    /// Nothing that it sends is delivered; it receives everything.
    Mute,
    /// Nothing is delivered to it; all that it sends is delivered.
    Deaf,
}

enum Event {
    Timer(NodeNumber),
    Poll(NodeNumber),
    Deliver {
        from: NodeNumber,
        to: NodeNumber,
        message: Message,
    },
    Report {
        from: NodeNumber,
        report: Report,
    },
}

pub(crate) struct Cluster {
    pub now: Millis,
    pub faults: BTreeMap<NodeNumber, Fault>,
    /// Links that deliver no messages: sender and recipient.
    pub blocked_links: BTreeSet<(NodeNumber, NodeNumber)>,
    pub loss_percent: u64,
    /// CPU quota: time at the start of each period in which processes run, in milliseconds; `None`: no quota.
    pub quota_ms: Option<Millis>,
    pub failure_detector: FailureDetector,
    pub sent_bytes: BTreeMap<NodeNumber, u64>,
    monitors: BTreeMap<NodeNumber, Monitor>,
    /// Time of the next timer event of each process.
    next_timers: BTreeMap<NodeNumber, Millis>,
    events: BTreeMap<(Millis, u64), Event>,
    event_count: u64,
    rng: Rand64,
}

impl Cluster {
    pub(crate) fn new(seed: u64, nodes: u32) -> Cluster {
        let all: Vec<NodeNumber> = (0..nodes).collect();
        let mut cluster = Cluster {
            now: 0,
            faults: BTreeMap::new(),
            blocked_links: BTreeSet::new(),
            loss_percent: 0,
            quota_ms: None,
            failure_detector: FailureDetector::new(Thresholds::default()),
            sent_bytes: BTreeMap::new(),
            monitors: BTreeMap::new(),
            next_timers: BTreeMap::new(),
            events: BTreeMap::new(),
            event_count: 0,
            rng: Rand64::new(u128::from(seed)),
        };
        for node in &all {
            let mut monitor = Monitor::new(*node, Timings::default());
            monitor.set_nodes(0, &all);
            cluster.monitors.insert(*node, monitor);
            let first = cluster.random(POLL_INTERVAL_MS);
            cluster.schedule(first, Event::Poll(*node));
            cluster.schedule_timer(*node);
        }
        cluster
    }

    pub(crate) fn random(&mut self, below: u64) -> u64 {
        self.rng.rand_range(0..below)
    }

    pub(crate) fn run_for(&mut self, span: Millis) {
        let end = self.now + span;
        while let Some(entry) = self.events.first_entry() {
            if entry.key().0 > end {
                break;
            }
            let ((at, _), event) = entry.remove_entry();
            self.now = self.now.max(at);
            self.handle_event(event);
        }
        self.now = end;
    }

    /// Runs until a process is declared dead and returns the time that this took; `None` if it exceeds `limit`.
    pub(crate) fn time_to_detection(&mut self, node: NodeNumber, limit: Millis) -> Option<Millis> {
        let started_at = self.now;
        while self.now < started_at + limit {
            self.run_for(10);
            if self.failure_detector.dead(self.now).contains(&node) {
                return Some(self.now - started_at);
            }
        }
        None
    }

    /// Replaces the membership list of all processes.
    pub(crate) fn set_nodes(&mut self, nodes: &[NodeNumber]) {
        let removed: Vec<NodeNumber> = self
            .monitors
            .keys()
            .filter(|node| !nodes.contains(node))
            .copied()
            .collect();
        for node in removed {
            self.monitors.remove(&node);
            self.failure_detector.remove(node);
        }
        let now = self.now;
        for node in nodes {
            if !self.monitors.contains_key(node) {
                self.monitors
                    .insert(*node, Monitor::new(*node, Timings::default()));
                self.schedule(now, Event::Poll(*node));
            }
        }
        self.monitors
            .values_mut()
            .for_each(|monitor| monitor.set_nodes(now, nodes));
        nodes.iter().for_each(|node| self.schedule_timer(*node));
    }

    fn schedule(&mut self, at: Millis, event: Event) {
        self.event_count += 1;
        self.events.insert((at, self.event_count), event);
    }

    fn schedule_timer(&mut self, node: NodeNumber) {
        if let Some(at) = self.monitors.get(&node).and_then(Monitor::next_wakeup) {
            let at = at.max(self.now + 1);
            let is_sooner = self
                .next_timers
                .get(&node)
                .is_none_or(|nodes| at < *nodes || *nodes <= self.now);
            if is_sooner {
                self.next_timers.insert(node, at);
                self.schedule(at, Event::Timer(node));
            }
        }
    }

    /// The time at which a process can handle an event that is due now; `None`: never.
    fn runs_at(&self, node: NodeNumber) -> Option<Millis> {
        let within_quota = match self.quota_ms {
            Some(quota_ms) if self.now % QUOTA_PERIOD_MS >= quota_ms => {
                self.now - self.now % QUOTA_PERIOD_MS + QUOTA_PERIOD_MS
            }
            _ => self.now,
        };
        match self.faults.get(&node) {
            Some(Fault::Crash) => None,
            Some(Fault::FreezeUntil(until)) => Some(within_quota.max(*until)),
            _ => Some(within_quota),
        }
    }

    fn handle_event(&mut self, event: Event) {
        let node = match &event {
            Event::Timer(node) | Event::Poll(node) => *node,
            Event::Deliver { to, .. } => *to,
            Event::Report { from, report } => {
                return self.failure_detector.on_poll(self.now, *from, report)
            }
        };
        if !self.monitors.contains_key(&node) {
            return;
        }
        match self.runs_at(node) {
            Some(at) if at > self.now => self.schedule(at, event),
            Some(_) => self.handle_node_event(node, event),
            None => {}
        }
    }

    fn handle_node_event(&mut self, node: NodeNumber, event: Event) {
        let now = self.now;
        let Some(monitor) = self.monitors.get_mut(&node) else {
            return;
        };
        let mut sends = Vec::new();
        let sequence_before = monitor.report().sequence;
        match event {
            Event::Timer(_) => monitor.on_timer(now, &mut sends),
            Event::Deliver { from, message, .. } => {
                monitor.on_message(now, from, message, &mut sends);
            }
            Event::Poll(_) => {
                self.poll(node);
                return self.schedule(now + POLL_INTERVAL_MS, Event::Poll(node));
            }
            Event::Report { .. } => return,
        }
        let is_changed = monitor.report().sequence != sequence_before;
        for OutgoingMessage { to, message } in sends {
            self.transmit(node, to, message);
        }
        if is_changed {
            self.poll(node);
        }
        self.schedule_timer(node);
    }

    fn poll(&mut self, node: NodeNumber) {
        let Some(monitor) = self.monitors.get(&node) else {
            return;
        };
        let report = monitor.report();
        *self.sent_bytes.entry(node).or_default() += report.suspected.len() as u64 * SUSPECT_BYTES;
        // Polls are sent by TCP: a lost packet delays them.
        let is_lost = self.random(100) < self.loss_percent;
        let delay = 1 + self.random(3) + if is_lost { 200 } else { 0 };
        if self.faults.get(&node) != Some(&Fault::Mute) {
            self.schedule(self.now + delay, Event::Report { from: node, report });
        }
    }

    fn transmit(&mut self, from: NodeNumber, to: NodeNumber, message: Message) {
        *self.sent_bytes.entry(from).or_default() += HEADER_BYTES + MESSAGE_BYTES;
        let is_blocked = self.blocked_links.contains(&(from, to));
        let is_mute = self.faults.get(&from) == Some(&Fault::Mute);
        let is_deaf = self.faults.get(&to) == Some(&Fault::Deaf);
        if is_blocked || is_mute || is_deaf || self.random(100) < self.loss_percent {
            return;
        }
        let delay = 1 + self.random(3);
        self.schedule(self.now + delay, Event::Deliver { from, to, message });
    }
}
