//! Handles received datagrams and the periodic step.

use super::anti_entropy::SYNC_MAX_INTERVAL_PERIODS;
use super::healing::DEAD_CONTACT_STEPS;
use super::transmit::{Priority, MAX_GOSSIP_UPDATES, MAX_PIGGYBACKED_UPDATES};
use super::updates::SMALL_BACKLOG;
use super::Membership;
use crate::precedence::started_at_ms;
use crate::protocol::{IndexedTransmit, Micros, PeerIndex};
use crate::wire::{Datagram, MessageKind, Update, UpdateStatus};

/// Length of the periodic step, in probe periods.
pub(super) const STEP_PERIODS: f64 = 0.1;
/// Steps between two probes of the successor on the ring.
const RING_PROBE_STEPS: u64 = 15;
/// Steps between two probes of a random peer.
pub(super) const RANDOM_PROBE_STEPS: u64 = 40;
/// Steps between two probes of a peer under local suspicion.
const SUSPECT_PROBE_STEPS: u64 = 10;
/// Probe periods for which pings carry a summary after a peer's view was seen to differ.
const VIEWS_DIFFER_PERIODS: f64 = 3.0;

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
        for index in std::mem::take(&mut self.suspects_to_notify) {
            if self.members[index].suspicion.is_some() {
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
        if self.step % RING_PROBE_STEPS == 0 {
            let successor = self.alive_peers().next();
            if let Some(index) = successor {
                self.start_probe(now, index, sends);
            }
        }
        if self.step % SUSPECT_PROBE_STEPS == 0 {
            // A suspected peer is probed again here if the budget did not allow it at once.
            let is_probed =
                |index: &PeerIndex| self.probes.values().any(|probe| probe.target == *index);
            let index = (0..self.members.len())
                .find(|index| self.members[*index].has_local_suspicion() && !is_probed(index));
            if let Some(index) = index {
                self.start_probe(now, index, sends);
            }
        }
        if self.step % RANDOM_PROBE_STEPS == RING_PROBE_STEPS / 2 {
            if let Some(index) = self.next_random_target() {
                self.start_probe(now, index, sends);
            }
        }
        if self.step % DEAD_CONTACT_STEPS == 0
            && (self.step < self.healing_until_step || self.should_contact_dead_peer())
        {
            self.contact_next_dead_peer(now, sends);
        }
        let urgent_updates = self
            .members
            .iter()
            .filter(|member| member.is_urgent())
            .count();
        self.is_update_backlog_large = urgent_updates > SMALL_BACKLOG;
        if self.is_update_backlog_large
            && now >= self.last_sync_at + self.probe_periods(self.sync_interval_periods)
        {
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

    /// Handles a received datagram: the sender's state, the updates, the view's summary, then the message itself.
    pub fn on_datagram(&mut self, now: Micros, bytes: &[u8], sends: &mut Vec<IndexedTransmit>) {
        self.check_for_stall(now);
        let Some(datagram) = Datagram::decode(bytes) else {
            self.dropped.malformed += 1;
            return;
        };
        let from = self.peers.index_of(datagram.from);
        let Some(from) = from.filter(|from| *from != self.own_index) else {
            self.dropped.unknown += 1;
            return;
        };
        if self.left {
            return;
        }
        let same_peer_set = datagram.peer_set_digest == self.peers.digest();
        let own_incarnation = self.incarnation();
        if let MessageKind::PingReportedDead(_, incarnation) = datagram.kind {
            self.on_update_about_self(now, incarnation, UpdateStatus::Dead);
        }
        self.on_contact(now);
        self.members[from].last_heard_at = Some(now);
        self.members[from].peer_set_digest = Some(datagram.peer_set_digest);
        self.members[from].has_stale_incarnation = !self.on_update(
            now,
            from,
            from,
            datagram.incarnation,
            UpdateStatus::Alive,
            sends,
        );
        if started_at_ms(datagram.incarnation) < started_at_ms(self.members[from].incarnation) {
            self.dropped.stale += 1;
        }
        self.clear_local_suspicion(now, from);
        let mut outdated = Vec::new();
        for Update {
            peer,
            incarnation,
            status,
        } in &datagram.updates
        {
            let index = match datagram.by_index {
                true if same_peer_set => {
                    Some(*peer as PeerIndex).filter(|index| *index < self.members.len())
                }
                true => None,
                false => self.peers.index_of(*peer),
            };
            // Updates about names outside the peer set are dropped.
            let Some(index) = index else { continue };
            if !self.on_update(now, from, index, *incarnation, *status, sends) {
                outdated.push(index);
            }
        }
        if self.incarnation() > own_incarnation
            && !matches!(
                datagram.kind,
                MessageKind::Ping(_) | MessageKind::PingReportedDead(..)
            )
        {
            // The sender suspected this gateway: it receives the refutation first.
            self.send(
                now,
                from,
                MessageKind::Gossip,
                MAX_PIGGYBACKED_UPDATES,
                Priority::Answer,
                sends,
            );
        }
        let summary = datagram.summary.filter(|_| same_peer_set);
        let differences = summary
            .as_ref()
            .map(|summary| self.differences_to(now, from, summary));
        match datagram.kind {
            MessageKind::Ping(number) | MessageKind::PingReportedDead(number, _) => {
                match &differences {
                    Some(differences) => self.send_differences(
                        now,
                        from,
                        MessageKind::Ack(number),
                        differences,
                        false,
                        sends,
                    ),
                    None => {
                        self.send(
                            now,
                            from,
                            MessageKind::Ack(number),
                            MAX_PIGGYBACKED_UPDATES,
                            Priority::Answer,
                            sends,
                        );
                    }
                }
            }
            MessageKind::Ack(number) => self.on_ack(now, number, sends),
            MessageKind::PingRequest(number, target) => {
                self.on_ping_request(now, from, number, target, sends)
            }
            MessageKind::IndirectAck(number) => {
                self.probes.remove(&number);
            }
            MessageKind::IndirectNack(number) => {
                if let Some(probe) = self.probes.get_mut(&number) {
                    probe.helpers_missed += 1;
                }
            }
            MessageKind::SyncRequest => {
                let differences = match differences {
                    Some(differences)
                        if !differences.to_send.is_empty() || differences.other_is_newer =>
                    {
                        differences
                    }
                    _ => self.dead_peers(),
                };
                self.send_differences(
                    now,
                    from,
                    MessageKind::SyncUpdates,
                    &differences,
                    true,
                    sends,
                );
                return;
            }
            // The sender receives newer updates where its own were outdated.
            MessageKind::SyncUpdates => {
                self.send_newer_updates(now, from, outdated, MessageKind::Gossip, sends);
                if let Some(differences) = differences {
                    self.send_differences(
                        now,
                        from,
                        MessageKind::SyncUpdates,
                        &differences,
                        false,
                        sends,
                    );
                }
                return;
            }
            MessageKind::ConfirmRequest(number) => self.send_newer_updates(
                now,
                from,
                outdated,
                MessageKind::ConfirmResponse(number),
                sends,
            ),
            MessageKind::ConfirmResponse(number) => {
                for index in self
                    .pending_confirmations
                    .remove(&number)
                    .unwrap_or_default()
                {
                    if let Some(suspicion) = &mut self.members[index].suspicion {
                        suspicion.confirmed = true;
                    }
                }
            }
            MessageKind::Gossip => {}
        }
        let periods = if same_peer_set {
            self.sync_interval_periods
        } else {
            SYNC_MAX_INTERVAL_PERIODS
        };
        let views_differ = datagram.view_digest != self.dead_peers_digest() || !same_peer_set;
        if views_differ && same_peer_set {
            self.views_differ_until = now + self.probe_periods(VIEWS_DIFFER_PERIODS);
        }
        if views_differ
            && !self.is_update_backlog_large
            && now >= self.last_sync_at + self.probe_periods(periods)
        {
            self.send_sync_request(now, from, sends);
        }
    }
}
