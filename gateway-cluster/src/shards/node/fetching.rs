//! Maps by hash: a small cache that serves other gateways, and fetches of missing maps chunk by chunk.

use super::sending::{DATAGRAM_OVERHEAD_BYTES, LEASE_RESERVE, RETRY_INTERVAL, SLOW_RETRY_INTERVAL};
use super::term::Stage;
use super::ShardMapNode;
use crate::leadership::election::LeaderElection;
use crate::peers::PeerId;
use crate::protocol::{Micros, Transmit};
use crate::shards::map::{MapHash, ShardMap};
use crate::shards::wire::{decode_map, encode_map, Datagram, Kind, CHUNK_BYTES, MAX_CHUNKS};
use rand::seq::IndexedRandom;

/// Maps in the cache beside those in use.
const MAX_CACHED_MAPS: usize = 6;
/// Concurrent fetches.
const MAX_FETCHES: usize = 4;
/// Chunks requested at a time.
const CHUNKS_PER_REQUEST: usize = 4;
/// Attempts without an answer after which a fetch is abandoned.
const MAX_FETCH_ATTEMPTS: u32 = 40;
/// Attempts without an answer after which the interval is longer.
const FAST_FETCH_ATTEMPTS: u32 = 6;
/// Datagrams that wait for a map to be fetched.
const MAX_WAITING_DATAGRAMS: usize = 4;

/// A map that is being fetched.
#[derive(Debug)]
pub(super) struct MapFetch {
    pub(super) hash: MapHash,
    pub(super) from: PeerId,
    /// The chunks received; empty before the first one, which gives their number.
    pub(super) chunks: Vec<Option<Vec<u8>>>,
    pub(super) retry_at: Micros,
    /// Attempts since the last chunk was received.
    pub(super) attempts: u32,
}

impl ShardMapNode {
    /// Looks a map up by its hash.
    pub(super) fn find(&self, hash: MapHash) -> Option<&ShardMap> {
        let proposal = self.local_proposal.as_ref().map(|proposal| &proposal.map);
        let mut known = self
            .map
            .iter()
            .chain(&self.previous)
            .chain(proposal)
            .chain(&self.cached_maps);
        known.find(|map| map.hash() == hash)
    }

    /// Adds a map to the cache; the oldest one is dropped.
    pub(super) fn cache_map(&mut self, map: ShardMap) {
        let hash = map.hash();
        self.cached_maps.retain(|known| known.hash() != hash);
        self.cached_maps.push_back(map);
        if self.cached_maps.len() > MAX_CACHED_MAPS {
            self.cached_maps.pop_front();
        }
    }

    /// Starts to fetch the map that a datagram needs; the datagram is handled once the map is here.
    pub(super) fn fetch_for(
        &mut self,
        now: Micros,
        hash: MapHash,
        datagram: Datagram,
        election: &LeaderElection,
        sends: &mut Vec<Transmit>,
    ) {
        let from = datagram.from;
        // A majority has the map in force: another peer is tried first, since the leader has many datagrams to send
        // then.
        let attempts = u32::from(matches!(datagram.kind, Kind::GrantLease { .. }));
        self.waiting_datagrams.retain(|waiting| {
            std::mem::discriminant(&waiting.kind) != std::mem::discriminant(&datagram.kind)
        });
        if self.waiting_datagrams.len() < MAX_WAITING_DATAGRAMS {
            self.waiting_datagrams.push_back(datagram);
        }
        self.start_fetch(now, hash, (from, attempts), election, sends);
    }

    /// Starts to fetch a map from a peer, unless a fetch of it is running.
    pub(super) fn start_fetch(
        &mut self,
        now: Micros,
        hash: MapHash,
        (from, attempts): (PeerId, u32),
        election: &LeaderElection,
        sends: &mut Vec<Transmit>,
    ) {
        if self.fetches.iter().any(|fetch| fetch.hash == hash) {
            return;
        }
        if self.fetches.len() >= MAX_FETCHES {
            self.fetches.remove(0);
        }
        self.fetches.push(MapFetch {
            hash,
            from,
            chunks: Vec::new(),
            retry_at: now,
            attempts,
        });
        self.continue_fetches(now, election, sends);
    }

    /// Requests missing chunks of the fetches that are due.
    pub(super) fn continue_fetches(
        &mut self,
        now: Micros,
        election: &LeaderElection,
        sends: &mut Vec<Transmit>,
    ) {
        let mut fetches = std::mem::take(&mut self.fetches);
        fetches.retain(|fetch| fetch.attempts < MAX_FETCH_ATTEMPTS);
        for fetch in fetches.iter_mut().filter(|fetch| fetch.retry_at <= now) {
            fetch.attempts += 1;
            let mut from = fetch.from;
            if fetch.attempts % 2 == 0 {
                // A peer that has taken the map over has it as well.
                let others: Vec<PeerId> = election
                    .names()
                    .into_iter()
                    .filter(|name| *name != self.me)
                    .collect();
                from = others.choose(&mut self.rng).copied().unwrap_or(from);
            }
            fetch.retry_at = now
                + if fetch.attempts > FAST_FETCH_ATTEMPTS {
                    SLOW_RETRY_INTERVAL
                } else {
                    RETRY_INTERVAL
                };
            self.request_chunks(fetch, from, election, sends);
        }
        self.fetches = fetches;
    }

    /// Requests the first missing chunks.
    fn request_chunks(
        &mut self,
        fetch: &MapFetch,
        from: PeerId,
        election: &LeaderElection,
        sends: &mut Vec<Transmit>,
    ) {
        let missing = fetch
            .chunks
            .iter()
            .enumerate()
            .filter(|(_, chunk)| chunk.is_none());
        let mut missing: Vec<usize> = missing
            .map(|(index, _)| index)
            .take(CHUNKS_PER_REQUEST)
            .collect();
        if fetch.chunks.is_empty() {
            missing.push(0);
        }
        for index in missing {
            self.send_within_budget(
                election,
                from,
                None,
                Kind::FetchChunk(fetch.hash, index as u8),
                sends,
            );
        }
    }

    /// Sends one chunk of a map that this gateway has.
    pub(super) fn send_chunk(
        &mut self,
        (to, incarnation): (PeerId, u64),
        hash: MapHash,
        index: u8,
        sends: &mut Vec<Transmit>,
    ) {
        let proposed = self.term.as_ref().and_then(|term| match &term.stage {
            Stage::Deciding(decision) => Some(&decision.map),
            _ => None,
        });
        let Some(map) = proposed
            .filter(|map| map.hash() == hash)
            .or_else(|| self.find(hash))
        else {
            return;
        };
        let bytes = encode_map(map);
        let count = bytes.len().div_ceil(CHUNK_BYTES).min(MAX_CHUNKS) as u8;
        let Some(bytes) = bytes
            .chunks(CHUNK_BYTES)
            .nth(usize::from(index))
            .map(<[u8]>::to_vec)
        else {
            return;
        };
        if self.has_budget(bytes.len() + DATAGRAM_OVERHEAD_BYTES, LEASE_RESERVE) {
            self.send_to_incarnation(
                (to, incarnation),
                None,
                Kind::Chunk {
                    hash,
                    index,
                    count,
                    bytes,
                },
                sends,
            );
        }
    }

    /// Takes one chunk; when the map is complete, the datagrams that wait for it are handled.
    pub(super) fn on_chunk(
        &mut self,
        now: Micros,
        datagram: Datagram,
        election: &mut LeaderElection,
        sends: &mut Vec<Transmit>,
    ) {
        let Kind::Chunk {
            hash,
            index,
            count,
            bytes,
        } = datagram.kind
        else {
            return;
        };
        let Some(position) = self.fetches.iter().position(|fetch| fetch.hash == hash) else {
            return;
        };
        if count == 0 || usize::from(count) > MAX_CHUNKS || index >= count {
            self.dropped.0 += 1;
            return;
        }
        let mut fetch = self.fetches.remove(position);
        if fetch.chunks.len() != usize::from(count) {
            fetch.chunks = vec![None; usize::from(count)];
        }
        if let Some(slot) = fetch.chunks.get_mut(usize::from(index)) {
            *slot = Some(bytes);
        }
        let missing = fetch.chunks.iter().filter(|chunk| chunk.is_none()).count();
        if missing > 0 {
            let received = fetch.chunks.len() - missing;
            (fetch.attempts, fetch.retry_at) = (0, now + RETRY_INTERVAL);
            if (received - 1) % CHUNKS_PER_REQUEST == 0 {
                self.request_chunks(&fetch, datagram.from, election, sends);
            }
            self.fetches.push(fetch);
            return;
        }
        let map_bytes: Vec<u8> = fetch.chunks.into_iter().flatten().flatten().collect();
        let Some(map) = decode_map(hash, &map_bytes) else {
            self.dropped.0 += 1;
            return;
        };
        self.cache_map(map);
        for waiting in std::mem::take(&mut self.waiting_datagrams) {
            self.dispatch(now, waiting, election, sends);
        }
    }
}
