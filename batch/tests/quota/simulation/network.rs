//! The simulated network.

use alderhollow_batch::quota::{QuotaGrant, QuotaReport};
use oorandom::Rand32;
use std::collections::BTreeMap;

/// A packet in flight.
#[derive(Debug, Clone)]
pub(super) enum Packet {
    /// To a coordinator.
    Report(QuotaReport),
    /// Back to an account.
    Grant(QuotaGrant),
}

/// A packet with the indices of the sending and the receiving process.
#[derive(Debug, Clone)]
pub(super) struct Envelope {
    pub from: usize,
    pub to: usize,
    pub packet: Packet,
}

/// Network conditions.
#[derive(Debug, Clone, Copy)]
pub(super) struct Quality {
    /// Percentage of lost packets.
    pub lost: u32,
    /// Percentage of duplicated packets.
    pub doubled: u32,
    /// Percentage of late packets.
    pub late: u32,
    /// Maximum usual delay.
    pub delay_ms: u32,
    /// Maximum delay of a late packet.
    pub late_ms: u32,
}

/// A network that may reorder packets.
#[derive(Debug, Default)]
pub(super) struct Network {
    sent: u64,
    on_the_way: BTreeMap<(u64, u64), Envelope>,
}

impl Network {
    /// Sends a packet, which may be lost, duplicated or late.
    pub(super) fn send(
        &mut self,
        now_ms: u64,
        quality: Quality,
        random: &mut Rand32,
        envelope: Envelope,
    ) {
        if random.rand_range(0..100) < quality.lost {
            return;
        }
        let copies = if random.rand_range(0..100) < quality.doubled {
            2
        } else {
            1
        };
        for _ in 0..copies {
            let is_late = random.rand_range(0..100) < quality.late;
            let longest_ms = if is_late {
                quality.late_ms
            } else {
                quality.delay_ms
            };
            let delay_ms = random.rand_range(1..longest_ms + 1);
            self.sent += 1;
            self.on_the_way
                .insert((now_ms + u64::from(delay_ms), self.sent), envelope.clone());
        }
    }

    /// Takes the next packet that has arrived.
    pub(super) fn next(&mut self, now_ms: u64) -> Option<Envelope> {
        let entry = self.on_the_way.first_entry()?;
        (entry.key().0 <= now_ms).then(|| entry.remove())
    }
}
