//! A token bucket, which bounds the datagrams and bytes that a gateway sends in any interval.

use crate::protocol::Micros;

/// A token bucket that starts full and refills at a constant rate up to its capacity. In any interval `t` at most
/// `capacity + rate * t` tokens are taken.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct TokenBucket {
    level: f64,
    capacity: f64,
    tokens_per_s: f64,
    last_filled_at: Micros,
}

impl TokenBucket {
    /// A full bucket of this capacity that refills with `tokens_per_s`.
    pub fn full(now: Micros, capacity: f64, tokens_per_s: f64) -> TokenBucket {
        TokenBucket {
            level: capacity,
            capacity,
            tokens_per_s,
            last_filled_at: now,
        }
    }

    /// Adds the tokens since the last call. A time before the last call adds none.
    pub fn fill(&mut self, now: Micros) {
        let seconds = now.saturating_sub(self.last_filled_at) as f64 / 1e6;
        self.last_filled_at = self.last_filled_at.max(now);
        self.level = (self.level + seconds * self.tokens_per_s).min(self.capacity);
    }

    /// The tokens in the bucket, as of the last [`TokenBucket::fill`].
    pub fn level(&self) -> f64 {
        self.level
    }

    /// Whether `amount` tokens can be taken without using the reserve: this fraction of the capacity, from 0 to 1, is left
    /// to traffic of higher priority.
    pub fn has(&self, amount: f64, reserved_fraction: f64) -> bool {
        self.level >= amount + reserved_fraction * self.capacity
    }

    /// Takes `amount` tokens, or all that there are. Callers check [`TokenBucket::has`] first: a datagram takes tokens from
    /// several buckets or from none.
    pub fn take(&mut self, amount: f64) {
        self.level = (self.level - amount).max(0.0);
    }
}

#[cfg(test)]
mod tests;
