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
pub(super) struct Preferred {
    first: Option<(u64, usize)>,
    second: Option<(u64, usize)>,
    elsewhere: Option<(u64, usize)>,
}

/// Part of a shared prefix that a backend is expected to read.
const READ_BY_FIRST: f64 = 0.0;
const READ_BY_SECOND: f64 = 0.8;
const READ_BY_FIRST_ELSEWHERE: f64 = 0.9;
const READ_BY_OTHERS: f64 = 1.0;
/// Of one that was sent the prefix lately, though it is not the first.
const READ_BY_RECENT: f64 = 0.25;
/// To a placer: of one that read the prefix lately, and of all others at the least. It prefers the first in order a little,
/// as senders do who choose for themselves.
const READ_BY_KNOWN: f64 = 0.0;
const READ_BY_UNKNOWN: f64 = 0.9;

impl Preferred {
    /// Considers a backend.
    pub(super) fn offer(
        &mut self,
        place: usize,
        id_hash: u64,
        prefix: SharedPrefix,
        own_zone: bool,
    ) {
        let scored = Some((mix(prefix.hash, id_hash), place));
        if !own_zone {
            self.elsewhere = self.elsewhere.max(scored);
        } else if scored > self.first {
            self.second = self.first;
            self.first = scored;
        } else {
            self.second = self.second.max(scored);
        }
    }

    /// Part of the shared prefix that the backend at `place` is expected to read again.
    pub(super) fn uncached_fraction(&self, place: usize) -> f64 {
        let is = |preferred: Option<(u64, usize)>| preferred.is_some_and(|(_, at)| at == place);
        if is(self.first) || (self.first.is_none() && is(self.elsewhere)) {
            READ_BY_FIRST
        } else if is(self.second) {
            READ_BY_SECOND
        } else if is(self.elsewhere) {
            READ_BY_FIRST_ELSEWHERE
        } else {
            READ_BY_OTHERS
        }
    }
}

/// How long a backend that was sent a prefix is taken to hold it.
const KEPT_MS: Millis = 15_000.0;
/// Most prefixes that are remembered.
const MOST_PREFIXES: usize = 4096;
/// Shorter ones are read in no time, and are not remembered.
const LEAST_TOKENS: u64 = 512;

/// Where the shared prefix of one request is likely to be kept.
#[derive(Debug, Clone, Copy)]
pub(super) struct Reuse<'a> {
    pub(super) now: Millis,
    pub(super) prefix: Option<SharedPrefix>,
    pub(super) preferred: Preferred,
    pub(super) sent: &'a SentPrefixes,
    /// Whether all that the backends read is known here: then a prefix is kept where it was read, and only there.
    pub(super) is_placer: bool,
}

impl Reuse<'_> {
    /// Part of the prefix that the backend at `place` is expected to read again.
    pub(super) fn uncached_fraction(&self, place: usize, id_hash: u64) -> f64 {
        let Some(prefix) = self.prefix else {
            return READ_BY_FIRST;
        };
        let is_recent = self.sent.has(self.now, prefix, id_hash);
        let by_order = self.preferred.uncached_fraction(place);
        match (self.is_placer, is_recent) {
            (true, true) => READ_BY_KNOWN,
            (true, false) => by_order.max(READ_BY_UNKNOWN),
            (false, true) => by_order.min(READ_BY_RECENT),
            (false, false) => by_order,
        }
    }
}

/// Prefixes that backends were sent lately, and which. A placer notes all that were read; a sender notes those that it
/// sends to others than the first in order.
#[derive(Debug, Default)]
pub(super) struct SentPrefixes {
    /// By hash of the prefix: hashes of the backends' ids, and when.
    sent: BTreeMap<u64, Vec<(u64, Millis)>>,
}

impl SentPrefixes {
    /// Notes that a backend was sent a prefix, or that its first event showed that it had read it.
    pub(super) fn note(&mut self, now: Millis, prefix: SharedPrefix, id_hash: u64) {
        if prefix.tokens < LEAST_TOKENS {
            return;
        }
        if self.sent.len() >= MOST_PREFIXES && !self.sent.contains_key(&prefix.hash) {
            self.forget_old(now);
            if self.sent.len() >= MOST_PREFIXES {
                return;
            }
        }
        let backends = self.sent.entry(prefix.hash).or_default();
        backends.retain(|(id, at)| *id != id_hash && now - at < KEPT_MS);
        backends.push((id_hash, now));
    }

    /// Whether a backend was sent a prefix lately.
    fn has(&self, now: Millis, prefix: SharedPrefix, id_hash: u64) -> bool {
        let backends = self.sent.get(&prefix.hash).map_or(&[][..], Vec::as_slice);
        backends
            .iter()
            .any(|(id, at)| *id == id_hash && now - at < KEPT_MS)
    }

    fn forget_old(&mut self, now: Millis) {
        self.sent
            .retain(|_, backends| backends.iter().any(|(_, at)| now - at < KEPT_MS));
    }
}
