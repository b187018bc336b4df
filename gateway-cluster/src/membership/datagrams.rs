//! Handles received datagrams: the sender's own state, the updates, the summary of its view, and the message itself.

use super::anti_entropy::{ViewDifferences, SYNC_MAX_INTERVAL_PERIODS};
use super::transmit::{Priority, MAX_PIGGYBACKED_UPDATES};
use super::Membership;
use crate::precedence::started_at_ms;
use crate::protocol::{IndexedTransmit, Micros, PeerIndex};
use crate::wire::{Datagram, MessageKind, Update, UpdateStatus};

/// Probe periods for which pings carry a summary after a peer's view was seen to differ.
const VIEWS_DIFFER_PERIODS: f64 = 3.0;

impl Membership {
    /// Handles a received datagram. Malformed ones and those of unknown senders are counted and dropped.
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
        let own_incarnation = self.incarnation();
        if let MessageKind::PingReportedDead(_, incarnation) = datagram.kind {
            self.on_update_about_self(now, incarnation, UpdateStatus::Dead);
        }
        self.on_contact(now);
        self.on_sender(now, from, &datagram, sends);
        let outdated = self.on_updates(now, from, &datagram, sends);
        let is_ping = matches!(
            datagram.kind,
            MessageKind::Ping(_) | MessageKind::PingReportedDead(..)
        );
        if self.incarnation() > own_incarnation && !is_ping {
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
        let same_peer_set = self.has_same_peer_set(&datagram);
        let summary = datagram.summary.as_ref().filter(|_| same_peer_set);
        let differences = summary.map(|summary| self.differences_to(now, from, summary));
        match datagram.kind {
            MessageKind::SyncRequest => self.on_sync_request(now, from, differences, sends),
            MessageKind::SyncUpdates => {
                self.on_sync_updates(now, from, differences, outdated, sends);
            }
            ref kind => {
                self.on_message(now, from, kind, differences.as_ref(), outdated, sends);
                self.maybe_send_sync_request(now, from, &datagram, sends);
            }
        }
    }

    fn has_same_peer_set(&self, datagram: &Datagram) -> bool {
        datagram.peer_set_digest == self.peers.digest()
    }

    /// Updates the state of the sender: the datagram proves that it is alive in its incarnation.
    fn on_sender(
        &mut self,
        now: Micros,
        from: PeerIndex,
        datagram: &Datagram,
        sends: &mut Vec<IndexedTransmit>,
    ) {
        self.members[from].last_received_at = Some(now);
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
    }

    /// Applies the updates. Returns the peers about which the sender's update was outdated.
    fn on_updates(
        &mut self,
        now: Micros,
        from: PeerIndex,
        datagram: &Datagram,
        sends: &mut Vec<IndexedTransmit>,
    ) -> Vec<PeerIndex> {
        let mut outdated = Vec::new();
        for update in &datagram.updates {
            // Updates about names outside the peer set are dropped.
            let Some(index) = self.index_in_update(datagram, update) else {
                continue;
            };
            if !self.on_update(now, from, index, update.incarnation, update.status, sends) {
                outdated.push(index);
            }
        }
        outdated
    }

    fn index_in_update(&self, datagram: &Datagram, update: &Update) -> Option<PeerIndex> {
        if !datagram.by_index {
            return self.peers.index_of(update.peer);
        }
        let index = update.peer as PeerIndex;
        (self.has_same_peer_set(datagram) && index < self.members.len()).then_some(index)
    }

    fn on_message(
        &mut self,
        now: Micros,
        from: PeerIndex,
        kind: &MessageKind,
        differences: Option<&ViewDifferences>,
        outdated: Vec<PeerIndex>,
        sends: &mut Vec<IndexedTransmit>,
    ) {
        match *kind {
            MessageKind::Ping(number) | MessageKind::PingReportedDead(number, _) => {
                self.send_ack(now, from, number, differences, sends);
            }
            MessageKind::Ack(number) => self.on_ack(now, number, sends),
            MessageKind::PingRequest(number, target) => {
                self.on_ping_request(now, from, number, target, sends);
            }
            MessageKind::IndirectAck(number) => {
                self.probes.remove(&number);
            }
            MessageKind::IndirectNack(number) => {
                if let Some(probe) = self.probes.get_mut(&number) {
                    probe.helpers_missed += 1;
                }
            }
            MessageKind::ConfirmRequest(number) => {
                let response = MessageKind::ConfirmResponse(number);
                self.send_newer_updates(now, from, outdated, response, sends);
            }
            MessageKind::ConfirmResponse(number) => self.on_confirm_response(number),
            MessageKind::Gossip | MessageKind::SyncRequest | MessageKind::SyncUpdates => {}
        }
    }

    /// Acknowledges a ping, with the differing updates if the ping had a summary.
    fn send_ack(
        &mut self,
        now: Micros,
        to: PeerIndex,
        number: u32,
        differences: Option<&ViewDifferences>,
        sends: &mut Vec<IndexedTransmit>,
    ) {
        let ack = MessageKind::Ack(number);
        match differences {
            Some(differences) => self.send_differences(now, to, ack, differences, false, sends),
            None => {
                let max_updates = MAX_PIGGYBACKED_UPDATES;
                self.send(now, to, ack, max_updates, Priority::Answer, sends);
            }
        }
    }

    fn on_sync_request(
        &mut self,
        now: Micros,
        from: PeerIndex,
        differences: Option<ViewDifferences>,
        sends: &mut Vec<IndexedTransmit>,
    ) {
        let differences = match differences {
            Some(differences) if !differences.is_empty() => differences,
            _ => self.dead_peers(),
        };
        let kind = MessageKind::SyncUpdates;
        self.send_differences(now, from, kind, &differences, true, sends);
    }

    fn on_sync_updates(
        &mut self,
        now: Micros,
        from: PeerIndex,
        differences: Option<ViewDifferences>,
        outdated: Vec<PeerIndex>,
        sends: &mut Vec<IndexedTransmit>,
    ) {
        // The sender receives newer updates where its own were outdated.
        self.send_newer_updates(now, from, outdated, MessageKind::Gossip, sends);
        if let Some(differences) = differences {
            let kind = MessageKind::SyncUpdates;
            self.send_differences(now, from, kind, &differences, false, sends);
        }
    }

    /// Sends a sync request if the sender's view differs and the last request is long enough ago.
    fn maybe_send_sync_request(
        &mut self,
        now: Micros,
        from: PeerIndex,
        datagram: &Datagram,
        sends: &mut Vec<IndexedTransmit>,
    ) {
        let same_peer_set = self.has_same_peer_set(datagram);
        if same_peer_set && datagram.view_digest == self.dead_peers_digest() {
            return;
        }
        let interval_periods = if same_peer_set {
            self.views_differ_until = now + self.probe_periods(VIEWS_DIFFER_PERIODS);
            self.sync_interval_periods
        } else {
            SYNC_MAX_INTERVAL_PERIODS
        };
        let next_sync_at = self.last_sync_at + self.probe_periods(interval_periods);
        if !self.is_update_backlog_large && now >= next_sync_at {
            self.send_sync_request(now, from, sends);
        }
    }
}
