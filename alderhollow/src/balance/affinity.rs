//! Which backends are likely to hold the shared parts of a prompt.

use super::hash::mix;
use super::{Millis, Prompt};
use std::collections::BTreeMap;

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

impl Preferred {
    /// Considers a backend.
    pub(super) fn offer(&mut self, place: usize, id_hash: u64, prefix: SharedPrefix, own_zone: bool) {
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
    pub(super) fn part_read(&self, place: usize) -> f64 {
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
const MOST_PREFIXES: usize = 1024;

/// Prefixes that this process sent lately to others than the first in order, and where.
#[derive(Debug, Default)]
pub(super) struct SentElsewhere {
    /// By hash of the prefix: hashes of the backends' ids, and when.
    sent: BTreeMap<u64, Vec<(u64, Millis)>>,
}

impl SentElsewhere {
    /// Notes that a backend was sent a prefix.
    pub(super) fn note(&mut self, now: Millis, prefix: SharedPrefix, id_hash: u64) {
        if self.sent.len() >= MOST_PREFIXES && !self.sent.contains_key(&prefix.hash) {
            self.forget_old(now);
        }
        let backends = self.sent.entry(prefix.hash).or_default();
        backends.retain(|(id, at)| *id != id_hash && now - at < KEPT_MS);
        backends.push((id_hash, now));
    }

    /// Part of a prefix that a backend is expected to read again, at most `part_read`.
    pub(super) fn part_read(&self, now: Millis, prefix: SharedPrefix, id_hash: u64, part_read: f64) -> f64 {
        let backends = self.sent.get(&prefix.hash).map_or(&[][..], Vec::as_slice);
        let is_recent = backends.iter().any(|(id, at)| *id == id_hash && now - at < KEPT_MS);
        if is_recent {
            part_read.min(READ_BY_RECENT)
        } else {
            part_read
        }
    }

    fn forget_old(&mut self, now: Millis) {
        self.sent.retain(|_, backends| backends.iter().any(|(_, at)| now - at < KEPT_MS));
        if self.sent.len() >= MOST_PREFIXES {
            self.sent.clear();
        }
    }
}
