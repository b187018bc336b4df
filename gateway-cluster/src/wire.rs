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
    let ((told, datagram), rest) = postcard::take_from_bytes::<(u8, T)>(bytes).ok()?;
    (told == version && rest.is_empty()).then_some(datagram)
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
    Raised,
    /// A strong doubt is held of it.
    Doubted,
    /// It is gone.
    Dead,
}

/// What a view holds of the whole peer set, name by name in order: what two views differ in shows at once, and nothing
/// else has to be told. Of use between gateways that have the same peer set.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ViewSummary {
    bits: Vec<u8>,
    /// The sender has seen the cluster for long enough, without a stop, to speak of who lives.
    pub vouches: bool,
}

impl ViewSummary {
    /// All alive in a peer set of so many names.
    pub fn none(names: usize) -> ViewSummary {
        ViewSummary {
            bits: vec![0; names.div_ceil(4)],
            vouches: false,
        }
    }

    /// Sets the mark of one name.
    pub fn set(&mut self, place: usize, mark: PeerSummary) {
        if let Some(byte) = self.bits.get_mut(place / 4) {
            let shift = place % 4 * 2;
            *byte = *byte & !(3 << shift) | (mark as u8) << shift;
        }
    }

    /// The mark of one name; what is beyond the peer set is alive.
    pub fn get(&self, place: usize) -> PeerSummary {
        match self
            .bits
            .get(place / 4)
            .map_or(0, |byte| byte >> (place % 4 * 2) & 3)
        {
            0 => PeerSummary::Alive,
            1 => PeerSummary::Raised,
            2 => PeerSummary::Doubted,
            _ => PeerSummary::Dead,
        }
    }

    /// How many of so many names are gone.
    pub fn count_dead(&self, names: usize) -> usize {
        (0..names)
            .filter(|place| self.get(*place) == PeerSummary::Dead)
            .count()
    }
}

/// A claim of one gateway.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Update {
    /// Of whom: its place in the sender's peer set or its [`PeerId`], as the datagram says.
    pub who: u32,
    /// In which incarnation.
    pub incarnation: Incarnation,
    /// What.
    pub claim: UpdateStatus,
}

/// A claim as it is sent: lives by how far they are from the sender's, as most began not long before or after it.
#[derive(Serialize, Deserialize)]
struct Packed {
    who: u32,
    life: i64,
    refuted: u16,
    claim: u8,
}

impl Packed {
    fn of(update: &Update, base: Incarnation) -> Packed {
        let claim = match update.claim {
            UpdateStatus::Alive => 0,
            UpdateStatus::Dead => 1,
            UpdateStatus::Left => 2,
            UpdateStatus::Suspect(age) => 3 + age.min(MAX_SUSPICION_AGE),
        };
        let life = (update.incarnation >> 16) as i64 - (base >> 16) as i64;
        Packed {
            who: update.who,
            life,
            refuted: update.incarnation as u16,
            claim,
        }
    }

    fn update(&self, base: Incarnation) -> Option<Update> {
        let claim = match self.claim {
            0 => UpdateStatus::Alive,
            1 => UpdateStatus::Dead,
            2 => UpdateStatus::Left,
            told if told - 3 <= MAX_SUSPICION_AGE => UpdateStatus::Suspect(told - 3),
            _ => return None,
        };
        let life = (base >> 16)
            .checked_add_signed(self.life)
            .filter(|life| *life < 1 << 48)?;
        Some(Update {
            who: self.who,
            incarnation: life << 16 | u64::from(self.refuted),
            claim,
        })
    }

    /// Bytes that it takes.
    fn size(&self) -> usize {
        let varint = |number: u64| (64 - number.leading_zeros() as usize).div_ceil(7).max(1);
        let zigzag = (self.life << 1 ^ self.life >> 63) as u64;
        varint(self.who.into()) + varint(zigzag) + varint(self.refuted.into()) + 1
    }
}

/// What a datagram is for, beside the claims that it carries.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Kind {
    /// Answer this.
    Ping(u32),
    /// Answer this too: somebody claims that you are gone, in this incarnation.
    Claimed(u32, Incarnation),
    /// The ping with this number has come.
    Ack(u32),
    /// Ping this one for me, and tell me how that went.
    PingFor(u32, PeerId),
    /// It has answered.
    Reached(u32),
    /// It has not answered within a part of the probe period.
    Missed(u32),
    /// Nothing but claims.
    Gossip,
    /// Transmit what differs from these marks.
    Compare,
    /// Claims that differ: correct me where I am behind.
    Entries,
    /// These are to be held for dead soon: is there anything that refutes it?
    Confirm(u32),
    /// Nothing but what the claims beside this say.
    Confirmed(u32),
}

/// A datagram.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Datagram {
    /// The digest of the peer set's names that the sender has.
    pub peers: u32,
    /// Who sends it.
    pub from: PeerId,
    /// In which incarnation.
    pub incarnation: Incarnation,
    /// The digest of the sender's view.
    pub digest: u32,
    /// What it is for.
    pub kind: Kind,
    /// What the sender's view holds of everybody: who can tell it more is asked to.
    pub marks: Option<ViewSummary>,
    /// Claims go by places in the peer set and not by names: they say something to those who have the same peer set.
    pub by_place: bool,
    /// Claims.
    pub updates: Vec<Update>,
}

#[derive(Serialize, Deserialize)]
struct Written {
    version: u8,
    #[serde(with = "postcard::fixint::le")]
    peers: u32,
    #[serde(with = "postcard::fixint::le")]
    from: PeerId,
    #[serde(with = "postcard::fixint::le")]
    incarnation: Incarnation,
    #[serde(with = "postcard::fixint::le")]
    digest: u32,
    kind: Kind,
    marks: Option<ViewSummary>,
    by_place: bool,
    updates: Vec<Packed>,
}

impl Datagram {
    /// Its bytes, [`MAX_DATAGRAM_BYTES`] at most: claims that have no room are left out, and how many went is told.
    pub fn encode(&self) -> (Vec<u8>, usize) {
        let mut written = Written {
            version: VERSION,
            peers: self.peers,
            from: self.from,
            incarnation: self.incarnation,
            digest: self.digest,
            kind: self.kind.clone(),
            marks: self.marks.clone(),
            by_place: self.by_place,
            updates: Vec::new(),
        };
        // A vector takes whatever comes: there is no error to have.
        let empty = postcard::to_allocvec(&written).unwrap_or_default().len();
        // The count of claims takes a second byte where they are many.
        let mut room = MAX_DATAGRAM_BYTES.saturating_sub(empty + 1);
        for update in &self.updates {
            let packed = Packed::of(update, self.incarnation);
            let Some(rest) = room.checked_sub(packed.size()) else {
                break;
            };
            room = rest;
            written.updates.push(packed);
        }
        (
            postcard::to_allocvec(&written).unwrap_or_default(),
            written.updates.len(),
        )
    }

    /// Reads one. What is too long, of another version, or followed by anything is none.
    pub fn decode(bytes: &[u8]) -> Option<Datagram> {
        if bytes.len() > MAX_DATAGRAM_BYTES || bytes.first() != Some(&VERSION) {
            return None;
        }
        let (written, rest) = postcard::take_from_bytes::<Written>(bytes).ok()?;
        let updates = written
            .updates
            .iter()
            .map(|packed| packed.update(written.incarnation));
        let updates = updates.collect::<Option<Vec<Update>>>()?;
        let Written {
            peers,
            from,
            incarnation,
            digest,
            kind,
            marks,
            by_place,
            ..
        } = written;
        rest.is_empty().then_some(Datagram {
            peers,
            from,
            incarnation,
            digest,
            kind,
            marks,
            by_place,
            updates,
        })
    }
}

#[cfg(test)]
mod tests;
