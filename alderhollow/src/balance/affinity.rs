//! Estimates which backends have the shared prefix of a prompt cached.

use super::hash::mix;
use super::{Millis, Prompt};
use std::collections::BTreeMap;

#[cfg(test)]
mod tests;

/// The shared prefix of a prompt: all parts except the last, which is unique to the request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct SharedPrefix {
    /// Hash of the parts, in order.
    pub(super) hash: u64,
    /// Number of tokens in the prefix.
    pub(super) tokens: u64,
}

impl SharedPrefix {
    /// The shared prefix of a prompt; `None` if it has no shared parts.
    pub(super) fn of(prompt: &Prompt) -> Option<SharedPrefix> {
        let (_, shared) = prompt.parts.split_last()?;
        if shared.is_empty() {
            return None;
        }
        let hash = shared.iter().fold(0, |hash, (part, _)| mix(hash, *part));
        let tokens = shared.iter().map(|(_, tokens)| u64::from(*tokens)).sum();
        Some(SharedPrefix { hash, tokens })
    }
}

/// The highest-scoring backends in rendezvous order, each as its score and its index in the pool.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(super) struct RendezvousOrder {
    first: Option<(u64, usize)>,
    second: Option<(u64, usize)>,
    remote: Option<(u64, usize)>,
}

/// Fraction of a shared prefix that is expected to miss the cache, by the backend's rendezvous rank.
const UNCACHED_AT_FIRST: f64 = 0.0;
const UNCACHED_AT_SECOND: f64 = 0.8;
const UNCACHED_AT_REMOTE_FIRST: f64 = 0.9;
const UNCACHED_AT_OTHERS: f64 = 1.0;
/// For a backend that was sent the prefix recently, although it is not the first in rendezvous order.
const UNCACHED_AT_RECENT: f64 = 0.25;
/// In a placer: for a backend that processed the prefix recently, and the minimum for all others. The first in
/// rendezvous order stays slightly cheaper, to match the choices of senders that select by themselves.
const UNCACHED_AT_KNOWN_HOLDER: f64 = 0.0;
const UNCACHED_AT_NON_HOLDER: f64 = 0.9;

impl RendezvousOrder {
    /// Adds a backend.
    pub(super) fn insert(
        &mut self,
        index: usize,
        id_hash: u64,
        prefix: SharedPrefix,
        own_zone: bool,
    ) {
        let scored = Some((mix(prefix.hash, id_hash), index));
        if !own_zone {
            self.remote = self.remote.max(scored);
        } else if scored > self.first {
            self.second = self.first;
            self.first = scored;
        } else {
            self.second = self.second.max(scored);
        }
    }

    /// Fraction of the shared prefix that is expected to miss the cache of the backend at `index`.
    pub(super) fn uncached_fraction(&self, index: usize) -> f64 {
        let is = |ranked: Option<(u64, usize)>| ranked.is_some_and(|(_, at)| at == index);
        if is(self.first) || (self.first.is_none() && is(self.remote)) {
            UNCACHED_AT_FIRST
        } else if is(self.second) {
            UNCACHED_AT_SECOND
        } else if is(self.remote) {
            UNCACHED_AT_REMOTE_FIRST
        } else {
            UNCACHED_AT_OTHERS
        }
    }
}

/// A prefix is assumed to stay in a backend's cache for this long.
const PREFIX_TTL_MS: Millis = 15_000.0;
/// Maximum number of prefixes that are tracked.
const MAX_PREFIXES: usize = 4096;
/// Shorter prefixes are not tracked, because their prefill time is negligible.
const MIN_PREFIX_TOKENS: u64 = 512;

/// Estimates where the shared prefix of one request is cached.
#[derive(Debug, Clone, Copy)]
pub(super) struct PrefixReuse<'a> {
    pub(super) now: Millis,
    pub(super) prefix: Option<SharedPrefix>,
    pub(super) rendezvous_order: RendezvousOrder,
    pub(super) prefix_locations: &'a PrefixLocations,
    /// Whether all attempts at the backends are known here. A prefix is then cached exactly where it was processed.
    pub(super) is_placer: bool,
}

impl PrefixReuse<'_> {
    /// Fraction of the prefix that is expected to miss the cache of the backend at `index`.
    pub(super) fn uncached_fraction(&self, index: usize, id_hash: u64) -> f64 {
        let Some(prefix) = self.prefix else {
            return UNCACHED_AT_FIRST;
        };
        let is_recent = self.prefix_locations.contains(self.now, prefix, id_hash);
        let by_order = self.rendezvous_order.uncached_fraction(index);
        match (self.is_placer, is_recent) {
            (true, true) => UNCACHED_AT_KNOWN_HOLDER,
            (true, false) => by_order.max(UNCACHED_AT_NON_HOLDER),
            (false, true) => by_order.min(UNCACHED_AT_RECENT),
            (false, false) => by_order,
        }
    }
}

/// The backends that were sent each prefix recently. A placer records every prefix that was processed; a sender
/// records the prefixes that it sends to backends other than the first in rendezvous order.
#[derive(Debug, Default)]
pub(super) struct PrefixLocations {
    /// By prefix hash: the hashes of backend ids, with the time of the last use.
    backends_by_prefix: BTreeMap<u64, Vec<(u64, Millis)>>,
}

impl PrefixLocations {
    /// Records that a backend was sent a prefix, or that its first event showed that it has processed it.
    pub(super) fn record(&mut self, now: Millis, prefix: SharedPrefix, id_hash: u64) {
        if prefix.tokens < MIN_PREFIX_TOKENS {
            return;
        }
        if self.backends_by_prefix.len() >= MAX_PREFIXES
            && !self.backends_by_prefix.contains_key(&prefix.hash)
        {
            self.evict_expired(now);
            if self.backends_by_prefix.len() >= MAX_PREFIXES {
                return;
            }
        }
        let backends = self.backends_by_prefix.entry(prefix.hash).or_default();
        backends.retain(|(id, at)| *id != id_hash && now - at < PREFIX_TTL_MS);
        backends.push((id_hash, now));
    }

    /// Whether a backend was sent a prefix recently.
    fn contains(&self, now: Millis, prefix: SharedPrefix, id_hash: u64) -> bool {
        let backends = self
            .backends_by_prefix
            .get(&prefix.hash)
            .map_or(&[][..], Vec::as_slice);
        backends
            .iter()
            .any(|(id, at)| *id == id_hash && now - at < PREFIX_TTL_MS)
    }

    fn evict_expired(&mut self, now: Millis) {
        self.backends_by_prefix
            .retain(|_, backends| backends.iter().any(|(_, at)| now - at < PREFIX_TTL_MS));
    }
}
