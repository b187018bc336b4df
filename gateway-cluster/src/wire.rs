//! Datagrams of the membership protocol, and the framing that all layers share: a version byte, then a postcard body of
//! bounded size. Peers appear by id or by index in the peer set, never by address.
//!
//! The bytes are fixed by `tests/compatibility.rs`: order of fields and variants is part of the format.

use crate::peers::PeerId;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

/// Version byte of the membership protocol, the first byte of each of its datagrams.
pub const VERSION: u8 = 1;
/// Maximum size of a datagram's payload, in bytes.
pub const MAX_DATAGRAM_BYTES: usize = 1400;
/// Size of the IP and UDP headers of a datagram, in bytes. They are included in send budgets and traffic counters.
pub const HEADER_BYTES: usize = 28;

/// Maximum encoded age of a suspicion, in tenths of a probe period.
pub const MAX_SUSPICION_AGE: u8 = 200;

/// SWIM's incarnation number of a gateway: the process's start time in milliseconds since 1970, shifted left by 16 bits,
/// plus the number of its refutations. It only grows.
pub type Incarnation = u64;

/// Encodes a layer's datagram behind its version byte.
pub fn encode(version: u8, datagram: &impl Serialize) -> Vec<u8> {
    // Writing to a vector cannot fail.
    postcard::to_allocvec(&(version, datagram)).unwrap_or_default()
}

/// Decodes a datagram. Returns `None` for bytes that are too long, of another version, malformed, or have a trailing rest.
pub fn decode<T: DeserializeOwned>(version: u8, bytes: &[u8]) -> Option<T> {
    if bytes.len() > MAX_DATAGRAM_BYTES {
        return None;
    }
    let ((received_version, datagram), rest) = postcard::take_from_bytes::<(u8, T)>(bytes).ok()?;
    (received_version == version && rest.is_empty()).then_some(datagram)
}

/// The state that an update reports of a peer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum UpdateStatus {
    /// It is alive in this incarnation.
    Alive,
    /// It failed a health check; the value is the age of the suspicion in tenths of a probe period, at most
    /// [`MAX_SUSPICION_AGE`].
    Suspect(u8),
    /// Its suspicion expired without a refutation.
    Dead,
    /// It announced its shutdown.
    Left,
}

/// A peer's state in a [`ViewSummary`], encoded in two bits.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PeerSummary {
    /// Alive; nothing else is known.
    Alive,
    /// Alive with an incarnation that rose recently, by a refutation or a restart: others may not know it yet.
    IncarnationRaised,
    /// Suspected, with a suspicion that is gossiped.
    Suspect,
    /// Dead, or left.
    Dead,
}

/// The states of all peers in one gateway's view, by index, for anti-entropy: the receiver compares it with its own view
/// and sends only the differences. Valid between gateways with the same peer set.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ViewSummary {
    bits: Vec<u8>,
    /// The sender has observed the cluster long enough, without a stall, to vouch for the peers that it considers alive.
    pub is_authoritative: bool,
}

impl ViewSummary {
    /// A summary in which all peers of a set of this size are alive.
    pub fn all_alive(names: usize) -> ViewSummary {
        ViewSummary {
            bits: vec![0; names.div_ceil(4)],
            is_authoritative: false,
        }
    }

    /// Sets the state of one peer. An index outside the set is ignored.
    pub fn set(&mut self, index: usize, summary: PeerSummary) {
        if let Some(byte) = self.bits.get_mut(index / 4) {
            let shift = index % 4 * 2;
            *byte = *byte & !(3 << shift) | (summary as u8) << shift;
        }
    }

    /// The state of one peer. An index outside the set is alive.
    pub fn get(&self, index: usize) -> PeerSummary {
        match self
            .bits
            .get(index / 4)
            .map_or(0, |byte| byte >> (index % 4 * 2) & 3)
        {
            0 => PeerSummary::Alive,
            1 => PeerSummary::IncarnationRaised,
            2 => PeerSummary::Suspect,
            _ => PeerSummary::Dead,
        }
    }

    /// Number of dead peers in a set of this size.
    pub fn count_dead(&self, names: usize) -> usize {
        (0..names)
            .filter(|index| self.get(*index) == PeerSummary::Dead)
            .count()
    }
}

/// A membership update: the reported status of one peer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Update {
    /// The peer, as index in the sender's peer set or as [`PeerId`]; see [`Datagram::by_index`].
    pub peer: u32,
    /// The peer's incarnation.
    pub incarnation: Incarnation,
    /// The reported status.
    pub status: UpdateStatus,
}

/// An update as encoded. The start time is relative to the sender's, which keeps the number small: most processes of a
/// cluster start at about the same time.
#[derive(Serialize, Deserialize)]
struct PackedUpdate {
    peer: u32,
    start_offset_ms: i64,
    refutations: u16,
    status: u8,
}

impl PackedUpdate {
    fn of(update: &Update, base: Incarnation) -> PackedUpdate {
        let status = match update.status {
            UpdateStatus::Alive => 0,
            UpdateStatus::Dead => 1,
            UpdateStatus::Left => 2,
            UpdateStatus::Suspect(age) => 3 + age.min(MAX_SUSPICION_AGE),
        };
        let start_offset_ms = (update.incarnation >> 16) as i64 - (base >> 16) as i64;
        PackedUpdate {
            peer: update.peer,
            start_offset_ms,
            refutations: update.incarnation as u16,
            status,
        }
    }

    fn update(&self, base: Incarnation) -> Option<Update> {
        let status = match self.status {
            0 => UpdateStatus::Alive,
            1 => UpdateStatus::Dead,
            2 => UpdateStatus::Left,
            byte if byte - 3 <= MAX_SUSPICION_AGE => UpdateStatus::Suspect(byte - 3),
            _ => return None,
        };
        let start_ms = (base >> 16)
            .checked_add_signed(self.start_offset_ms)
            .filter(|start_ms| *start_ms < 1 << 48)?;
        Some(Update {
            peer: self.peer,
            incarnation: start_ms << 16 | u64::from(self.refutations),
            status,
        })
    }

    /// Its encoded size, in bytes.
    fn size(&self) -> usize {
        let varint = |number: u64| (64 - number.leading_zeros() as usize).div_ceil(7).max(1);
        let zigzag = (self.start_offset_ms << 1 ^ self.start_offset_ms >> 63) as u64;
        varint(self.peer.into()) + varint(zigzag) + varint(self.refutations.into()) + 1
    }
}

/// The purpose of a datagram, beside the updates that it carries. Numbers match an answer to its request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum MessageKind {
    /// SWIM's ping: request an [`MessageKind::Ack`].
    Ping(u32),
    /// A ping that also reports to its receiver that a gateway considers it dead in this incarnation.
    PingReportedDead(u32, Incarnation),
    /// Acknowledges the ping with this number.
    Ack(u32),
    /// SWIM's ping-req: ping this peer on behalf of the sender and report the result.
    PingRequest(u32, PeerId),
    /// The target of the ping request with this number answered.
    IndirectAck(u32),
    /// The target of the ping request with this number did not answer in time.
    IndirectNack(u32),
    /// Carries updates only.
    Gossip,
    /// Anti-entropy: request the updates that differ from the summary.
    SyncRequest,
    /// Anti-entropy: the updates that differ. The receiver answers with newer ones where these are outdated.
    SyncUpdates,
    /// The suspicions in the updates are about to expire: request updates that refute them.
    ConfirmRequest(u32),
    /// The answer: the updates in the datagram are all the refutations that the sender knows.
    ConfirmResponse(u32),
}

/// A datagram of the membership protocol.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Datagram {
    /// Digest of the sender's peer set, [`crate::peers::PeerSet::digest`].
    pub peer_set_digest: u32,
    /// The sender.
    pub from: PeerId,
    /// The sender's incarnation.
    pub incarnation: Incarnation,
    /// Digest of the dead peers and their incarnations in the sender's view.
    pub view_digest: u32,
    /// The purpose of the datagram.
    pub kind: MessageKind,
    /// Summary of the sender's view, with the request to answer with what differs.
    pub summary: Option<ViewSummary>,
    /// [`Update::peer`] is an index in the peer set and not a [`PeerId`]. Only receivers with the same peer set apply such
    /// updates.
    pub by_index: bool,
    /// Membership updates.
    pub updates: Vec<Update>,
}

#[derive(Serialize, Deserialize)]
struct EncodedDatagram {
    version: u8,
    #[serde(with = "postcard::fixint::le")]
    peer_set_digest: u32,
    #[serde(with = "postcard::fixint::le")]
    from: PeerId,
    #[serde(with = "postcard::fixint::le")]
    incarnation: Incarnation,
    #[serde(with = "postcard::fixint::le")]
    view_digest: u32,
    kind: MessageKind,
    summary: Option<ViewSummary>,
    by_index: bool,
    updates: Vec<PackedUpdate>,
}

impl Datagram {
    /// Encodes the datagram in at most [`MAX_DATAGRAM_BYTES`]. Updates that do not fit are left out; the second value is the
    /// number of encoded ones.
    pub fn encode(&self) -> (Vec<u8>, usize) {
        let mut encoded = EncodedDatagram {
            version: VERSION,
            peer_set_digest: self.peer_set_digest,
            from: self.from,
            incarnation: self.incarnation,
            view_digest: self.view_digest,
            kind: self.kind.clone(),
            summary: self.summary.clone(),
            by_index: self.by_index,
            updates: Vec::new(),
        };
        // Writing to a vector cannot fail.
        let empty = postcard::to_allocvec(&encoded).unwrap_or_default().len();
        // The number of updates takes a second byte from 128 on.
        let mut remaining_bytes = MAX_DATAGRAM_BYTES.saturating_sub(empty + 1);
        for update in &self.updates {
            let packed = PackedUpdate::of(update, self.incarnation);
            let Some(rest) = remaining_bytes.checked_sub(packed.size()) else {
                break;
            };
            remaining_bytes = rest;
            encoded.updates.push(packed);
        }
        (
            postcard::to_allocvec(&encoded).unwrap_or_default(),
            encoded.updates.len(),
        )
    }

    /// Decodes a datagram. Returns `None` for bytes that are too long, of another version, malformed, or have a trailing rest.
    pub fn decode(bytes: &[u8]) -> Option<Datagram> {
        if bytes.len() > MAX_DATAGRAM_BYTES || bytes.first() != Some(&VERSION) {
            return None;
        }
        let (encoded, rest) = postcard::take_from_bytes::<EncodedDatagram>(bytes).ok()?;
        let updates = encoded
            .updates
            .iter()
            .map(|packed| packed.update(encoded.incarnation));
        let updates = updates.collect::<Option<Vec<Update>>>()?;
        let EncodedDatagram {
            peer_set_digest,
            from,
            incarnation,
            view_digest,
            kind,
            summary,
            by_index,
            ..
        } = encoded;
        rest.is_empty().then_some(Datagram {
            peer_set_digest,
            from,
            incarnation,
            view_digest,
            kind,
            summary,
            by_index,
            updates,
        })
    }
}

#[cfg(test)]
mod tests;
