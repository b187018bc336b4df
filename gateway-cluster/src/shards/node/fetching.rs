//! Maps by their hash: those that a gateway keeps for others, and those that it fetches part by part.

use super::sending::{AGAIN, AROUND, FOR_LEASES, SELDOM};
use super::term::Stage;
use super::ShardMapNode;
use crate::leadership::election::LeaderElection;
use crate::peers::PeerId;
use crate::protocol::{Micros, Transmit};
use crate::shards::map::{MapHash, ShardMap};
use crate::shards::wire::{pack, unpack, Datagram, Kind, MAX_CHUNKS, PART};
use rand::seq::IndexedRandom;

/// Maps that are kept for others to fetch, beside those in use, and maps that are fetched at a time.
const SHELF: usize = 6;
const PULLS: usize = 4;
/// Parts that are asked for at a time, and how often a map is asked for in vain before that is given up.
const AT_ONCE: usize = 4;
const MOST_PULLS: u32 = 40;
/// Datagrams that wait for a map.
const STASH: usize = 4;

/// A map that is being fetched.
#[derive(Debug)]
pub(super) struct Pull {
    pub(super) hash: MapHash,
    pub(super) from: PeerId,
    pub(super) parts: Vec<Option<Vec<u8>>>,
    pub(super) at: Micros,
    pub(super) tries: u32,
}

impl ShardMapNode {
    /// A map by its hash.
    pub(super) fn find(&self, hash: MapHash) -> Option<&ShardMap> {
        let offer = self.offer.as_ref().map(|offer| &offer.map);
        let mut known = self
            .map
            .iter()
            .chain(&self.previous)
            .chain(offer)
            .chain(&self.shelf);
        known.find(|map| map.hash() == hash)
    }

    pub(super) fn shelve(&mut self, map: ShardMap) {
        let hash = map.hash();
        self.shelf.retain(|known| known.hash() != hash);
        self.shelf.push_back(map);
        if self.shelf.len() > SHELF {
            self.shelf.pop_front();
        }
    }

    /// Begins to fetch a map. What needs it is done once it is there.
    pub(super) fn pull(
        &mut self,
        now: Micros,
        hash: MapHash,
        datagram: Datagram,
        election: &LeaderElection,
        sends: &mut Vec<Transmit>,
    ) {
        let from = datagram.from;
        // What is in force a majority has: others are asked first, as the leader has much to send then.
        let tries = u32::from(matches!(datagram.kind, Kind::Keep { .. }));
        self.stash.retain(|waiting| {
            std::mem::discriminant(&waiting.kind) != std::mem::discriminant(&datagram.kind)
        });
        if self.stash.len() < STASH {
            self.stash.push_back(datagram);
        }
        self.pull_from(now, hash, (from, tries), election, sends);
    }

    pub(super) fn pull_from(
        &mut self,
        now: Micros,
        hash: MapHash,
        (from, tries): (PeerId, u32),
        election: &LeaderElection,
        sends: &mut Vec<Transmit>,
    ) {
        if self.pulls.iter().any(|pull| pull.hash == hash) {
            return;
        }
        if self.pulls.len() >= PULLS {
            self.pulls.remove(0);
        }
        self.pulls.push(Pull {
            hash,
            from,
            parts: Vec::new(),
            at: now,
            tries,
        });
        self.pull_on(now, election, sends);
    }

    /// Asks for parts that are due.
    pub(super) fn pull_on(
        &mut self,
        now: Micros,
        election: &LeaderElection,
        sends: &mut Vec<Transmit>,
    ) {
        let mut pulls = std::mem::take(&mut self.pulls);
        pulls.retain(|pull| pull.tries < MOST_PULLS);
        for pull in pulls.iter_mut().filter(|pull| pull.at <= now) {
            pull.tries += 1;
            let mut from = pull.from;
            if pull.tries % 2 == 0 {
                // Whoever has taken it over has it as well.
                let others: Vec<PeerId> = election
                    .names()
                    .into_iter()
                    .filter(|name| *name != self.me)
                    .collect();
                from = others.choose(&mut self.rng).copied().unwrap_or(from);
            }
            pull.at = now + if pull.tries > 6 { SELDOM } else { AGAIN };
            self.ask_parts(pull, from, election, sends);
        }
        self.pulls = pulls;
    }

    fn ask_parts(
        &mut self,
        pull: &Pull,
        from: PeerId,
        election: &LeaderElection,
        sends: &mut Vec<Transmit>,
    ) {
        let missing = pull
            .parts
            .iter()
            .enumerate()
            .filter(|(_, part)| part.is_none());
        let mut missing: Vec<usize> = missing.map(|(part, _)| part).take(AT_ONCE).collect();
        if pull.parts.is_empty() {
            missing.push(0);
        }
        for part in missing {
            self.put_spared(
                election,
                from,
                None,
                Kind::Fetch(pull.hash, part as u8),
                sends,
            );
        }
    }

    pub(super) fn send_part(
        &mut self,
        (to, incarnation): (PeerId, u64),
        hash: MapHash,
        part: u8,
        sends: &mut Vec<Transmit>,
    ) {
        let deciding = self.term.as_ref().and_then(|term| match &term.stage {
            Stage::Deciding(deciding) => Some(&deciding.map),
            _ => None,
        });
        let Some(map) = deciding
            .filter(|map| map.hash() == hash)
            .or_else(|| self.find(hash))
        else {
            return;
        };
        let bytes = pack(map);
        let parts = bytes.len().div_ceil(PART).min(MAX_CHUNKS) as u8;
        let Some(bytes) = bytes
            .chunks(PART)
            .nth(usize::from(part))
            .map(<[u8]>::to_vec)
        else {
            return;
        };
        if self.has_room(bytes.len() + AROUND, FOR_LEASES) {
            self.put_to(
                (to, incarnation),
                None,
                Kind::Part {
                    hash,
                    part,
                    parts,
                    bytes,
                },
                sends,
            );
        }
    }

    pub(super) fn take_part(
        &mut self,
        now: Micros,
        datagram: Datagram,
        election: &mut LeaderElection,
        sends: &mut Vec<Transmit>,
    ) {
        let Kind::Part {
            hash,
            part,
            parts,
            bytes,
        } = datagram.kind
        else {
            return;
        };
        let Some(place) = self.pulls.iter().position(|pull| pull.hash == hash) else {
            return;
        };
        if parts == 0 || usize::from(parts) > MAX_CHUNKS || part >= parts {
            self.dropped.0 += 1;
            return;
        }
        let mut pull = self.pulls.remove(place);
        if pull.parts.len() != usize::from(parts) {
            pull.parts = vec![None; usize::from(parts)];
        }
        if let Some(slot) = pull.parts.get_mut(usize::from(part)) {
            *slot = Some(bytes);
        }
        let missing = pull.parts.iter().filter(|part| part.is_none()).count();
        if missing > 0 {
            let got = pull.parts.len() - missing;
            (pull.tries, pull.at) = (0, now + AGAIN);
            if (got - 1) % AT_ONCE == 0 {
                self.ask_parts(&pull, datagram.from, election, sends);
            }
            self.pulls.push(pull);
            return;
        }
        let whole: Vec<u8> = pull.parts.into_iter().flatten().flatten().collect();
        let Some(map) = unpack(hash, &whole) else {
            self.dropped.0 += 1;
            return;
        };
        self.shelve(map);
        for waiting in std::mem::take(&mut self.stash) {
            self.handle(now, waiting, election, sends);
        }
    }
}
