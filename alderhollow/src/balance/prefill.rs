//! Estimated prefill times of model engines, learned from the times to the first event: engines differ, and prefill
//! time grows faster than linearly with the prompt's tokens. Sans I/O.

use super::Millis;

/// Prefill time per token before the first sample.
const INITIAL_MS_PER_TOKEN: f64 = 1.0 / 150.0;
/// A learned time stays within this factor of the initial value.
const MAX_DEVIATION_FACTOR: f64 = 50.0;
/// Prompts of at least this many tokens are samples of the prefill speed.
const MIN_SAMPLE_TOKENS: f64 = 2_048.0;
/// Prompts of up to this many tokens are samples of the fixed overhead.
const MAX_OVERHEAD_SAMPLE_TOKENS: f64 = 512.0;
/// Number of prompt size classes. Each class covers up to twice the tokens of the previous one.
const SIZE_CLASSES: usize = 7;
/// Relative change of a class's estimate per sample. The estimate follows the median, so that requests delayed by
/// other causes do not count for more than their number.
const MEDIAN_STEP: f64 = 0.05;
/// Weight of a sample in the estimated slowness of its engine, and the maximum slowness of one sample. Its inverse is
/// the minimum.
const SLOWNESS_WEIGHT: f64 = 0.15;
const MAX_SLOWNESS: f64 = 1.6;
/// Time to the first event besides the prefill, before the first sample.
const INITIAL_OVERHEAD_MS: Millis = 10.0;

/// Estimated prefill times of one service's engines.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct PrefillTimes {
    overhead_ms: Millis,
    /// Milliseconds per token, by size class; `None`: no sample yet.
    ms_per_token: [Option<f64>; SIZE_CLASSES],
}

impl Default for PrefillTimes {
    fn default() -> PrefillTimes {
        PrefillTimes {
            overhead_ms: INITIAL_OVERHEAD_MS,
            ms_per_token: [None; SIZE_CLASSES],
        }
    }
}

impl PrefillTimes {
    /// Prefill time of `tokens` tokens on an otherwise idle engine.
    pub(super) fn expected(&self, tokens: u64) -> Millis {
        let tokens = tokens as f64;
        // The estimate of a class applies to the middle of its range.
        let place = ((tokens / MIN_SAMPLE_TOKENS).max(1.0).log2() - 0.5)
            .clamp(0.0, (SIZE_CLASSES - 1) as f64);
        let (lower, upper) = (place.floor(), place.ceil());
        let fraction = place - lower;
        let ms_per_token = self.ms_per_token(lower as usize) * (1.0 - fraction)
            + self.ms_per_token(upper as usize) * fraction;
        tokens * ms_per_token
    }

    /// Learns from the time to the first event of a request that had no other prefill ahead of it, for the service and
    /// for its engine.
    pub(super) fn learn(&mut self, tokens: u64, elapsed: Millis, engine: &mut EngineSpeed) {
        if tokens as f64 >= MIN_SAMPLE_TOKENS {
            let expected = self.expected(tokens);
            let measured_prefill_ms = (elapsed - self.overhead_ms).max(0.0);
            self.learn_typical(
                tokens,
                self.overhead_ms + measured_prefill_ms / engine.slowness,
            );
            engine.learn(measured_prefill_ms / expected);
        } else {
            self.learn_typical(tokens, elapsed);
        }
    }

    fn learn_typical(&mut self, tokens: u64, elapsed: Millis) {
        let tokens = tokens as f64;
        if tokens <= MAX_OVERHEAD_SAMPLE_TOKENS {
            self.overhead_ms *= median_step(elapsed, self.overhead_ms);
        } else if tokens >= MIN_SAMPLE_TOKENS {
            let class = ((tokens / MIN_SAMPLE_TOKENS).log2() as usize).min(SIZE_CLASSES - 1);
            let seen = (elapsed - self.overhead_ms).max(0.0) / tokens;
            let known = match self.ms_per_token.get(class).copied().flatten() {
                Some(known) => known * median_step(seen, known),
                None => seen,
            };
            let bounded = known.clamp(
                INITIAL_MS_PER_TOKEN / MAX_DEVIATION_FACTOR,
                INITIAL_MS_PER_TOKEN * MAX_DEVIATION_FACTOR,
            );
            if let Some(slot) = self.ms_per_token.get_mut(class) {
                *slot = Some(bounded);
            }
        }
    }

    /// The estimate of a class, or else of the next smaller class that has one, or else of the next larger one.
    fn ms_per_token(&self, class: usize) -> f64 {
        let (up_to, excess) = self.ms_per_token.split_at((class + 1).min(SIZE_CLASSES));
        let smaller = up_to.iter().rev().flatten().next();
        let larger = excess.iter().flatten().next();
        smaller.or(larger).copied().unwrap_or(INITIAL_MS_PER_TOKEN)
    }
}

/// Speed of one engine relative to the typical engine of its service.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct EngineSpeed {
    /// Multiplier of the prefill times.
    slowness: f64,
}

impl Default for EngineSpeed {
    fn default() -> EngineSpeed {
        EngineSpeed { slowness: 1.0 }
    }
}

impl EngineSpeed {
    /// Prefill time on this engine of a prompt that takes `typical` on a typical engine.
    pub(super) fn prefill(self, typical: Millis) -> Millis {
        typical * self.slowness
    }

    fn learn(&mut self, slowness: f64) {
        let bounded = slowness.clamp(1.0 / MAX_SLOWNESS, MAX_SLOWNESS);
        self.slowness += SLOWNESS_WEIGHT * (bounded - self.slowness);
    }
}

/// The factor that moves `known` one step towards the median of the samples.
fn median_step(seen: f64, known: f64) -> f64 {
    if seen > known {
        1.0 + MEDIAN_STEP
    } else {
        1.0 / (1.0 + MEDIAN_STEP)
    }
}
