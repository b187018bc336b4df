//! The senders: processes that send requests to backends and polled the primary within the last seconds. The number of
//! senders divides the allowance of a backend that is warming up. No I/O and no clock.

use super::message::{Poll, Stamp, StampedSenders};
use super::placers::PlacerAssignment;
use alderhollow_model::snapshot::Senders;
use std::collections::BTreeMap;

/// A process that has not polled for this long, in ms, is no longer a sender.
pub const SENDER_TIMEOUT_MS: u64 = 3_000;

/// The senders and placers of one primary.
#[derive(Debug, Default)]
pub struct SenderTracker {
    polled_at_ms: BTreeMap<String, u64>,
    placers: PlacerAssignment,
    current: StampedSenders,
}

impl SenderTracker {
    /// A tracker for a new primary, stamped with the epoch in which it became primary. The senders of the former primary count as having just polled, so that the change of
    /// primary does not increase a sender's share of the allowance of a backend that is warming up.
    pub fn for_epoch(epoch: u64, known: &Senders, now_ms: u64) -> SenderTracker {
        let polled_at_ms = known
            .nodes
            .iter()
            .map(|node| (node.clone(), now_ms))
            .collect();
        let current = StampedSenders {
            stamp: Stamp { epoch, sequence: 0 },
            senders: Senders::default(),
        };
        let placers = PlacerAssignment::resume(&known.placers, now_ms);
        let mut tracker = SenderTracker {
            polled_at_ms,
            placers,
            current,
        };
        tracker.update_list();
        tracker
    }

    /// The epoch of this tracker.
    pub fn epoch(&self) -> u64 {
        self.current.stamp.epoch
    }

    /// Records a sender's poll. Returns whether the list changed.
    pub fn record_poll(&mut self, node: &str, now_ms: u64) -> bool {
        if let Some(at) = self.polled_at_ms.get_mut(node) {
            *at = now_ms;
            return false;
        }
        self.polled_at_ms.insert(node.to_string(), now_ms);
        self.update_list();
        true
    }

    /// Handles a poll, received by the primary with this name: records it, removes expired senders and reassigns placers.
    /// Returns whether the list changed.
    pub fn on_poll(&mut self, primary: &str, poll: &Poll, now_ms: u64) -> bool {
        self.placers.on_poll(&poll.node, poll.leaving, now_ms);
        let placers_changed = self.placers.check_placers(primary, now_ms);
        let added = poll.node.role.sends_to_backends() && self.record_poll(&poll.node.node, now_ms);
        let expired = self.check_expired(now_ms);
        if placers_changed && !added && !expired {
            self.update_list();
        }
        added || expired || placers_changed
    }

    /// Removes senders that have not polled for [`SENDER_TIMEOUT_MS`]. Returns whether the list changed.
    pub fn check_expired(&mut self, now_ms: u64) -> bool {
        let before = self.polled_at_ms.len();
        self.polled_at_ms
            .retain(|_, at| now_ms.saturating_sub(*at) <= SENDER_TIMEOUT_MS);
        let changed = self.polled_at_ms.len() != before;
        if changed {
            self.update_list();
        }
        changed
    }

    /// The list with its version.
    pub fn current(&self) -> &StampedSenders {
        &self.current
    }

    fn update_list(&mut self) {
        self.current.stamp.sequence += 1;
        let nodes = self.polled_at_ms.keys().cloned().collect();
        self.current.senders = Senders {
            nodes,
            placers: self.placers.placers().to_vec(),
        };
    }
}
