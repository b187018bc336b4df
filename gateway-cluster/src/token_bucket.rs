//! What a gateway may send in any length of time.

use crate::protocol::Micros;

/// A token bucket: it is full at first, fills at an even rate, and holds no more than its size. In any time `t` no more
/// is taken from it than its size and what comes in `t`.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct TokenBucket {
    level: f64,
    capacity: f64,
    tokens_per_s: f64,
    last_filled_at: Micros,
}

impl TokenBucket {
    /// A full one of this size that fills at this rate a second.
    pub fn full(now: Micros, capacity: f64, tokens_per_s: f64) -> TokenBucket {
        TokenBucket {
            level: capacity,
            capacity,
            tokens_per_s,
            last_filled_at: now,
        }
    }

    /// Adds what has come since the last time. A time before that one adds nothing.
    pub fn fill(&mut self, now: Micros) {
        let seconds = now.saturating_sub(self.last_filled_at) as f64 / 1e6;
        self.last_filled_at = self.last_filled_at.max(now);
        self.level = (self.level + seconds * self.tokens_per_s).min(self.capacity);
    }

    /// What is in it, as of the last [`TokenBucket::fill`].
    pub fn level(&self) -> f64 {
        self.level
    }

    /// Whether so much is in it beside what is kept for others: this part of its size, from 0 to 1.
    pub fn has(&self, amount: f64, reserved_fraction: f64) -> bool {
        self.level >= amount + reserved_fraction * self.capacity
    }

    /// Takes so much, or all that there is. Whether there is enough is asked before ([`TokenBucket::has`]), as what is sent
    /// takes from several at once or from none.
    pub fn take(&mut self, amount: f64) {
        self.level = (self.level - amount).max(0.0);
    }
}

#[cfg(test)]
mod tests;
