//! The primary's decision which processes are dead, from the reports of the monitors and from the polls that it
//! receives.

use super::monitor::Report;
use super::{Millis, NodeNumber};
use std::collections::BTreeMap;

/// Thresholds at which a process counts as dead.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Thresholds {
    /// A process is dead if at least this many reporters suspect it,
    pub min_reporters: usize,
    /// each of which has polled the primary within this time,
    pub max_reporter_age_ms: Millis,
    /// and the process itself has not polled the primary for this time.
    pub reported_timeout_ms: Millis,
    /// A process that has not polled the primary for this time is dead without any report.
    pub timeout_ms: Millis,
}

impl Default for Thresholds {
    fn default() -> Thresholds {
        Thresholds {
            min_reporters: 2,
            max_reporter_age_ms: 1_000,
            reported_timeout_ms: 600,
            timeout_ms: 3_000,
        }
    }
}

#[derive(Debug, Default)]
struct NodeState {
    last_poll_at: Millis,
    report: Report,
}

/// The last poll and report of each process.
#[derive(Debug, Default)]
pub struct FailureDetector {
    thresholds: Thresholds,
    nodes: BTreeMap<NodeNumber, NodeState>,
}

impl FailureDetector {
    /// A failure detector without any process.
    pub fn new(thresholds: Thresholds) -> FailureDetector {
        FailureDetector {
            thresholds,
            nodes: BTreeMap::new(),
        }
    }

    /// Records a poll of a process, and its report unless the last one has a higher sequence number. A delayed report thus
    /// counts as a poll only.
    pub fn on_poll(&mut self, now: Millis, from: NodeNumber, report: &Report) {
        let node = self.nodes.entry(from).or_default();
        node.last_poll_at = node.last_poll_at.max(now);
        if report.sequence >= node.report.sequence {
            node.report = report.clone();
        }
    }

    /// Removes a process that has left or was declared dead. A new incarnation of it starts without a report.
    pub fn remove(&mut self, node: NodeNumber) {
        self.nodes.remove(&node);
    }

    /// The processes that are dead now.
    pub fn dead(&self, now: Millis) -> Vec<NodeNumber> {
        let reporters = self.reporters(now);
        let is_dead = |node: &NodeNumber, state: &NodeState| {
            let age_ms = now.saturating_sub(state.last_poll_at);
            let is_reported = reporters
                .get(node)
                .is_some_and(|count| *count >= self.thresholds.min_reporters);
            age_ms >= self.thresholds.timeout_ms
                || (is_reported && age_ms >= self.thresholds.reported_timeout_ms)
        };
        self.nodes
            .iter()
            .filter(|(node, state)| is_dead(node, state))
            .map(|(node, _)| *node)
            .collect()
    }

    /// For each suspected process: the number of reporters that polled recently and suspect it.
    fn reporters(&self, now: Millis) -> BTreeMap<NodeNumber, usize> {
        let mut reporters = BTreeMap::new();
        let is_recent = |state: &&NodeState| {
            now.saturating_sub(state.last_poll_at) <= self.thresholds.max_reporter_age_ms
        };
        for state in self.nodes.values().filter(is_recent) {
            state
                .report
                .suspected
                .iter()
                .for_each(|node| *reporters.entry(*node).or_default() += 1);
        }
        reporters
    }
}
