//! What one request needs of a backend.

use super::affinity::SharedPrefix;
use super::SelectionRequest;

/// Part of a shared prefix that a request takes of the memory: requests that run together hold it once.
const SHARED_PREFIX_MEMORY_FACTOR: f64 = 0.5;
/// Shares of a backend's slots and memory that requests of the highest, the middle and low rank may fill.
const FILL_LIMIT_BY_PRIORITY: [f64; 3] = [1.0, 0.95, 0.85];
/// Ranks from this one on are low: the first to be refused.
const LOW_PRIORITY: u32 = 2;

/// What a request needs.
#[derive(Debug, Clone, Copy)]
pub(super) struct Requirements {
    /// Tokens of the prompt.
    pub(super) tokens_in: u64,
    /// Tokens that it takes of a backend's memory, in and out.
    pub(super) tokens: u64,
    /// The shared parts of its prompt.
    pub(super) prefix: Option<SharedPrefix>,
    /// Rank; 0 is the highest.
    pub(super) priority: u32,
}

impl Requirements {
    /// The need of a request.
    pub(super) fn of(request: &SelectionRequest) -> Requirements {
        let tokens_in = request
            .prompt
            .map_or(0, |prompt| u64::from(prompt.tokens_in));
        let tokens_out = request
            .prompt
            .map_or(0, |prompt| u64::from(prompt.tokens_out));
        let prefix = request.prompt.and_then(SharedPrefix::of);
        let shared = prefix.map_or(0, |prefix| prefix.tokens.min(tokens_in));
        let shared_memory = (shared as f64 * (1.0 - SHARED_PREFIX_MEMORY_FACTOR)) as u64;
        Requirements {
            tokens_in,
            tokens: tokens_in + tokens_out - shared_memory,
            prefix,
            priority: request.priority,
        }
    }

    /// Whether it is among the first to be refused.
    pub(super) fn is_low_priority(&self) -> bool {
        self.priority >= LOW_PRIORITY
    }

    /// Share of a backend's slots and memory that requests of its rank may fill.
    pub(super) fn fill_limit(&self) -> f64 {
        let [highest, middle, low] = FILL_LIMIT_BY_PRIORITY;
        match self.priority {
            0 => highest,
            1 => middle,
            _ => low,
        }
    }

    /// Tokens of the shared parts.
    pub(super) fn shared_tokens(&self) -> f64 {
        self.prefix.map_or(0.0, |prefix| prefix.tokens as f64)
    }

    /// Prompt tokens that are to be read where this part of the shared prefix is.
    pub(super) fn uncached_tokens(&self, uncached_fraction: f64) -> u64 {
        let kept = self.shared_tokens() * (1.0 - uncached_fraction);
        (self.tokens_in as f64 - kept).max(0.0) as u64
    }
}
