//! Which backends are likely to hold the shared parts of a prompt.

use super::hash::mix;
use super::{Millis, Prompt};
use std::collections::BTreeMap;

#[cfg(test)]
mod tests;

/// The shared parts of a prompt: all but the last, which is the request's own.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct SharedPrefix {
    /// Hash of the parts, in their order.
    pub(super) hash: u64,
    /// Their tokens.
    pub(super) tokens: u64,
}

impl SharedPrefix {
    /// The shared parts of a prompt; `None` if it has none.
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

/// The first backends in rendezvous order, by their place in the table.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(super) struct RendezvousOrder {
    first: Option<(u64, usize)>,
    second: Option<(u64, usize)>,
    remote: Option<(u64, usize)>,
}

/// Part of a shared prefix that a backend is expected to read.
const UNCACHED_AT_FIRST: f64 = 0.0;
const UNCACHED_AT_SECOND: f64 = 0.8;
const UNCACHED_AT_REMOTE_FIRST: f64 = 0.9;
const UNCACHED_AT_OTHERS: f64 = 1.0;
/// Of one that was sent the prefix lately, though it is not the first.
const UNCACHED_AT_RECENT: f64 = 0.25;
/// To a placer: of one that read the prefix lately, and of all others at the least. It prefers the first in order a little,
/// as senders do who choose for themselves.
const UNCACHED_AT_KNOWN_HOLDER: f64 = 0.0;
const UNCACHED_AT_NON_HOLDER: f64 = 0.9;

impl RendezvousOrder {
    /// Considers a backend.
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

    /// Part of the shared prefix that the backend at `place` is expected to read again.
    pub(super) fn uncached_fraction(&self, index: usize) -> f64 {
        let is = |rendezvous_order: Option<(u64, usize)>| {
            rendezvous_order.is_some_and(|(_, at)| at == index)
        };
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

/// How long a backend that was sent a prefix is taken to hold it.
const PREFIX_TTL_MS: Millis = 15_000.0;
/// Most prefixes that are remembered.
const MAX_PREFIXES: usize = 4096;
/// Shorter ones are read in no time, and are not remembered.
const MIN_PREFIX_TOKENS: u64 = 512;

/// Where the shared prefix of one request is likely to be kept.
#[derive(Debug, Clone, Copy)]
pub(super) struct PrefixReuse<'a> {
    pub(super) now: Millis,
    pub(super) prefix: Option<SharedPrefix>,
    pub(super) rendezvous_order: RendezvousOrder,
    pub(super) prefix_locations: &'a PrefixLocations,
    /// Whether all that the backends read is known here: then a prefix is kept where it was read, and only there.
    pub(super) is_placer: bool,
}

impl PrefixReuse<'_> {
    /// Part of the prefix that the backend at `place` is expected to read again.
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

/// Prefixes that backends were sent lately, and which. A placer notes all that were read; a sender notes those that it
/// sends to others than the first in order.
#[derive(Debug, Default)]
pub(super) struct PrefixLocations {
    /// By hash of the prefix: hashes of the backends' ids, and when.
    prefix_locations: BTreeMap<u64, Vec<(u64, Millis)>>,
}

impl PrefixLocations {
    /// Notes that a backend was sent a prefix, or that its first event showed that it had read it.
    pub(super) fn record(&mut self, now: Millis, prefix: SharedPrefix, id_hash: u64) {
        if prefix.tokens < MIN_PREFIX_TOKENS {
            return;
        }
        if self.prefix_locations.len() >= MAX_PREFIXES
            && !self.prefix_locations.contains_key(&prefix.hash)
        {
            self.evict_expired(now);
            if self.prefix_locations.len() >= MAX_PREFIXES {
                return;
            }
        }
        let backends = self.prefix_locations.entry(prefix.hash).or_default();
        backends.retain(|(id, at)| *id != id_hash && now - at < PREFIX_TTL_MS);
        backends.push((id_hash, now));
    }

    /// Whether a backend was sent a prefix lately.
    fn contains(&self, now: Millis, prefix: SharedPrefix, id_hash: u64) -> bool {
        let backends = self
            .prefix_locations
            .get(&prefix.hash)
            .map_or(&[][..], Vec::as_slice);
        backends
            .iter()
            .any(|(id, at)| *id == id_hash && now - at < PREFIX_TTL_MS)
    }

    fn evict_expired(&mut self, now: Millis) {
        self.prefix_locations
            .retain(|_, backends| backends.iter().any(|(_, at)| now - at < PREFIX_TTL_MS));
    }
}
