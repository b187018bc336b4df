//! What a gateway may send in any length of time.

use crate::protocol::Micros;

/// A token bucket: it is full at first, fills at an even rate, and holds no more than its size. In any time `t` no more
/// is taken from it than its size and what comes in `t`.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct TokenBucket {
    level: f64,
    size: f64,
    per_s: f64,
    filled: Micros,
}

impl TokenBucket {
    /// A full one of this size that fills at this rate a second.
    pub fn full(now: Micros, size: f64, per_s: f64) -> TokenBucket {
        TokenBucket {
            level: size,
            size,
            per_s,
            filled: now,
        }
    }

    /// Adds what has come since the last time. A time before that one adds nothing.
    pub fn fill(&mut self, now: Micros) {
        let seconds = now.saturating_sub(self.filled) as f64 / 1e6;
        self.filled = self.filled.max(now);
        self.level = (self.level + seconds * self.per_s).min(self.size);
    }

    /// What is in it, as of the last [`TokenBucket::fill`].
    pub fn level(&self) -> f64 {
        self.level
    }

    /// Whether so much is in it beside what is kept for others: this part of its size, from 0 to 1.
    pub fn has(&self, amount: f64, kept: f64) -> bool {
        self.level >= amount + kept * self.size
    }

    /// Takes so much, or all that there is. Whether there is enough is asked before ([`TokenBucket::has`]), as what is sent
    /// takes from several at once or from none.
    pub fn take(&mut self, amount: f64) {
        self.level = (self.level - amount).max(0.0);
    }
}

#[cfg(test)]
mod tests;
