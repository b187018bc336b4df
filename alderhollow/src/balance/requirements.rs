//! The resources that one request needs.

use super::affinity::SharedPrefix;
use super::SelectionRequest;

/// Fraction of a shared prefix that counts towards a request's memory, because concurrent requests share one copy.
const SHARED_PREFIX_MEMORY_FACTOR: f64 = 0.5;
/// Fractions of a backend's slots and memory that requests of high, medium and low priority may fill.
const FILL_LIMIT_BY_PRIORITY: [f64; 3] = [1.0, 0.95, 0.85];
/// Priorities from this value on are low: these requests are rejected first.
const LOW_PRIORITY: u32 = 2;

/// The resources that a request needs.
#[derive(Debug, Clone, Copy)]
pub(super) struct Requirements {
    /// Number of prompt tokens.
    pub(super) tokens_in: u64,
    /// Number of input and output tokens that occupy a backend's memory.
    pub(super) tokens: u64,
    /// The shared prefix of the prompt.
    pub(super) prefix: Option<SharedPrefix>,
    /// Priority; 0 is the highest.
    pub(super) priority: u32,
}

impl Requirements {
    /// Computes the requirements of a request.
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

    /// Whether requests of this priority are rejected first.
    pub(super) fn is_low_priority(&self) -> bool {
        self.priority >= LOW_PRIORITY
    }

    /// Fraction of a backend's slots and memory that requests of this priority may fill.
    pub(super) fn fill_limit(&self) -> f64 {
        let [highest, middle, low] = FILL_LIMIT_BY_PRIORITY;
        match self.priority {
            0 => highest,
            1 => middle,
            _ => low,
        }
    }

    /// Number of tokens in the shared prefix.
    pub(super) fn shared_tokens(&self) -> f64 {
        self.prefix.map_or(0.0, |prefix| prefix.tokens as f64)
    }

    /// Prompt tokens that miss the cache where `uncached_fraction` of the shared prefix does.
    pub(super) fn uncached_tokens(&self, uncached_fraction: f64) -> u64 {
        let kept = self.shared_tokens() * (1.0 - uncached_fraction);
        (self.tokens_in as f64 - kept).max(0.0) as u64
    }
}
