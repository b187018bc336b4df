//! What gateways send each other: one datagram each, bounded, with names of the peer set and no addresses.

use crate::peers::PeerId;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

/// The first byte of each datagram.
pub const VERSION: u8 = 1;
/// Most bytes of a datagram's payload.
pub const MAX_DATAGRAM_BYTES: usize = 1400;
/// Bytes that IP and UDP put before a datagram's payload. They count in all that is said of what is sent.
pub const HEADER_BYTES: usize = 28;

/// The highest age of a doubt that is told apart, in tenths of a probe period.
pub const MAX_SUSPICION_AGE: u8 = 200;

/// One life of a gateway and how often it has refuted a doubt, in one number that only grows: the life's start in
/// milliseconds above 16 bits, refutations below.
pub type Incarnation = u64;

/// A layer's datagram as it is sent: its first byte says whose it is.
pub fn encode(version: u8, datagram: &impl Serialize) -> Vec<u8> {
    // A vector takes whatever comes: there is no error to have.
    postcard::to_allocvec(&(version, datagram)).unwrap_or_default()
}

/// Reads one. What is too long, of another version, or followed by anything is none.
pub fn decode<T: DeserializeOwned>(version: u8, bytes: &[u8]) -> Option<T> {
    if bytes.len() > MAX_DATAGRAM_BYTES {
        return None;
    }
    let ((received_version, datagram), rest) = postcard::take_from_bytes::<(u8, T)>(bytes).ok()?;
    (received_version == version && rest.is_empty()).then_some(datagram)
}

/// What is claimed of a gateway.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum UpdateStatus {
    /// It lives in this incarnation.
    Alive,
    /// It has not answered, and that was found so many tenths of a probe period ago ([`MAX_SUSPICION_AGE`] at the most).
    Suspect(u8),
    /// It is gone.
    Dead,
    /// It said that it goes.
    Left,
}

/// What a view holds of one name, in two bits.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PeerSummary {
    /// It lives, as far as is known.
    Alive,
    /// It lives, and refuted a claim or began a new life not long ago: that is worth telling.
    IncarnationRaised,
    /// A strong doubt is held of it.
    Suspect,
    /// It is gone.
    Dead,
}

/// What a view holds of the whole peer set, name by name in order: what two views differ in shows at once, and nothing
/// else has to be told. Of use between gateways that have the same peer set.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ViewSummary {
    bits: Vec<u8>,
    /// The sender has seen the cluster for long enough, without a stop, to speak of who lives.
    pub is_authoritative: bool,
}

impl ViewSummary {
    /// All alive in a peer set of so many names.
    pub fn all_alive(names: usize) -> ViewSummary {
        ViewSummary {
            bits: vec![0; names.div_ceil(4)],
            is_authoritative: false,
        }
    }

    /// Sets the mark of one name.
    pub fn set(&mut self, index: usize, summary: PeerSummary) {
        if let Some(byte) = self.bits.get_mut(index / 4) {
            let shift = index % 4 * 2;
            *byte = *byte & !(3 << shift) | (summary as u8) << shift;
        }
    }

    /// The mark of one name; what is beyond the peer set is alive.
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

    /// How many of so many names are gone.
    pub fn count_dead(&self, names: usize) -> usize {
        (0..names)
            .filter(|index| self.get(*index) == PeerSummary::Dead)
            .count()
    }
}

/// A claim of one gateway.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Update {
    /// Of whom: its place in the sender's peer set or its [`PeerId`], as the datagram says.
    pub peer: u32,
    /// In which incarnation.
    pub incarnation: Incarnation,
    /// What.
    pub status: UpdateStatus,
}

/// A claim as it is sent: lives by how far they are from the sender's, as most began not long before or after it.
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

    /// Bytes that it takes.
    fn size(&self) -> usize {
        let varint = |number: u64| (64 - number.leading_zeros() as usize).div_ceil(7).max(1);
        let zigzag = (self.start_offset_ms << 1 ^ self.start_offset_ms >> 63) as u64;
        varint(self.peer.into()) + varint(zigzag) + varint(self.refutations.into()) + 1
    }
}

/// What a datagram is for, beside the claims that it carries.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum MessageKind {
    /// Answer this.
    Ping(u32),
    /// Answer this too: somebody claims that you are gone, in this incarnation.
    PingReportedDead(u32, Incarnation),
    /// The ping with this number has come.
    Ack(u32),
    /// Ping this one for me, and tell me how that went.
    PingRequest(u32, PeerId),
    /// It has answered.
    IndirectAck(u32),
    /// It has not answered within a part of the probe period.
    IndirectNack(u32),
    /// Nothing but claims.
    Gossip,
    /// Transmit what differs from these marks.
    SyncRequest,
    /// Claims that differ: correct me where I am behind.
    SyncUpdates,
    /// These are to be held for dead soon: is there anything that refutes it?
    ConfirmRequest(u32),
    /// Nothing but what the claims beside this say.
    ConfirmResponse(u32),
}

/// A datagram.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Datagram {
    /// The digest of the peer set's names that the sender has.
    pub peer_set_digest: u32,
    /// Who sends it.
    pub from: PeerId,
    /// In which incarnation.
    pub incarnation: Incarnation,
    /// The digest of the sender's view.
    pub view_digest: u32,
    /// What it is for.
    pub kind: MessageKind,
    /// What the sender's view holds of everybody: who can tell it more is asked to.
    pub summary: Option<ViewSummary>,
    /// Claims go by places in the peer set and not by names: they say something to those who have the same peer set.
    pub by_index: bool,
    /// Claims.
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
    /// Its bytes, [`MAX_DATAGRAM_BYTES`] at most: claims that have no room are left out, and how many went is told.
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
        // A vector takes whatever comes: there is no error to have.
        let empty = postcard::to_allocvec(&encoded).unwrap_or_default().len();
        // The count of claims takes a second byte where they are many.
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

    /// Reads one. What is too long, of another version, or followed by anything is none.
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
