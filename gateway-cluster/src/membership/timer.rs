//! The periodic step: advances health checks and suspicions, starts the probes that are due, and spreads updates.

use super::healing::DEAD_CONTACT_STEPS;
use super::transmit::{Priority, MAX_GOSSIP_UPDATES, SMALL_BACKLOG};
use super::Membership;
use crate::protocol::{IndexedTransmit, Micros};
use crate::wire::MessageKind;

/// Length of the periodic step, in probe periods.
pub(super) const STEP_PERIODS: f64 = 0.1;
/// Steps between two probes of the successor on the ring.
const RING_PROBE_STEPS: u64 = 15;
/// Steps between two probes of a random peer.
pub(super) const RANDOM_PROBE_STEPS: u64 = 40;
/// Steps between two probes of a peer under local suspicion.
const SUSPECT_PROBE_STEPS: u64 = 10;

impl Membership {
    /// Runs the periodic step, if it is due.
    pub fn on_timer(&mut self, now: Micros, sends: &mut Vec<IndexedTransmit>) {
        self.check_for_stall(now);
        if now < self.next_step_at {
            return;
        }
        // Missed steps are not repeated.
        self.next_step_at = now + self.probe_periods(STEP_PERIODS);
        self.step += 1;
        self.check_probes(now, sends);
        self.check_indirect_probes(now, sends);
        self.check_isolation(now);
        self.check_expiring_suspicions(now, sends);
        self.check_expired_suspicions(now);
        self.notify_suspects(now, sends);
        self.start_due_probes(now, sends);
        if self.step % DEAD_CONTACT_STEPS == 0
            && (self.step < self.healing_until_step || self.should_contact_dead_peer())
        {
            self.contact_next_dead_peer(now, sends);
        }
        self.spread_urgent_updates(now, sends);
    }

    /// Sends each suspicion that was queued by [`Membership::maybe_notify_suspect`] to the suspected peer.
    fn notify_suspects(&mut self, now: Micros, sends: &mut Vec<IndexedTransmit>) {
        for index in std::mem::take(&mut self.suspects_to_notify) {
            if self.members[index].suspicion.is_none() {
                continue;
            }
            let number = self.next_number();
            self.send_updates(
                now,
                index,
                MessageKind::Ping(number),
                vec![index],
                Priority::Request,
                sends,
            );
        }
    }

    /// Starts the probes that are due at this step.
    fn start_due_probes(&mut self, now: Micros, sends: &mut Vec<IndexedTransmit>) {
        if self.step % RING_PROBE_STEPS == 0 {
            let successor = self.alive_peers().next();
            if let Some(index) = successor {
                self.start_probe(now, index, sends);
            }
        }
        if self.step % SUSPECT_PROBE_STEPS == 0 {
            // A suspected peer is probed again here if the budget did not allow it at once.
            let suspect = (0..self.members.len()).find(|index| {
                self.members[*index].has_local_suspicion() && !self.is_probed(*index)
            });
            if let Some(index) = suspect {
                self.start_probe(now, index, sends);
            }
        }
        if self.step % RANDOM_PROBE_STEPS == RING_PROBE_STEPS / 2 {
            if let Some(index) = self.next_random_target() {
                self.start_probe(now, index, sends);
            }
        }
    }

    /// Sends the urgent updates to a random peer: by gossip while they are few, by anti-entropy while they are many.
    fn spread_urgent_updates(&mut self, now: Micros, sends: &mut Vec<IndexedTransmit>) {
        let urgent_updates = self
            .members
            .iter()
            .filter(|member| member.is_urgent())
            .count();
        self.is_update_backlog_large = urgent_updates > SMALL_BACKLOG;
        let next_sync_at = self.last_sync_at + self.probe_periods(self.sync_interval_periods);
        if self.is_update_backlog_large && now >= next_sync_at {
            // Two gateways exchange only what differs; gossip of many updates would mostly be known to the receiver.
            if let Some(index) = self.random_alive_peer() {
                self.send_sync_request(now, index, sends);
            }
        } else if (1..=SMALL_BACKLOG).contains(&urgent_updates) {
            if let Some(index) = self.random_alive_peer() {
                self.send(
                    now,
                    index,
                    MessageKind::Gossip,
                    MAX_GOSSIP_UPDATES,
                    Priority::Gossip,
                    sends,
                );
            }
        }
    }
}
