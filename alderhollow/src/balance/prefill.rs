//! How long engines take to read prompts. Learned from first events: engines differ, and the time of a long prompt grows
//! faster than its tokens. No I/O and no clock.

use super::Millis;

/// What a token takes before anything was learned.
const INITIAL_MS_PER_TOKEN: f64 = 1.0 / 150.0;
/// A time that is learned stays within this factor of the first assumption.
const MAX_DEVIATION_FACTOR: f64 = 50.0;
/// From so many tokens on a first event tells how fast prompts are read; ...
const MIN_SAMPLE_TOKENS: f64 = 2_048.0;
/// ... up to so many it tells what else it takes.
const MAX_OVERHEAD_SAMPLE_TOKENS: f64 = 512.0;
/// Classes of sizes: the prompts of each have up to twice the tokens of the one before.
const SIZE_CLASSES: usize = 7;
/// Each first event moves what is known of its class by this part: the median is followed, so that requests that were
/// held up by something else do not count for more than their number.
const MEDIAN_STEP: f64 = 0.05;
/// Weight of a first event in what is known of its engine, and the most that one counts for, slow or fast.
const SLOWNESS_WEIGHT: f64 = 0.15;
const MAX_SLOWNESS: f64 = 1.6;
/// What else a first event takes, before anything was learned.
const INITIAL_OVERHEAD_MS: Millis = 10.0;

/// The times of one service's engines.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct PrefillTimes {
    overhead_ms: Millis,
    /// Milliseconds a token, by class; `None`: no prompt of that size was read yet.
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
    /// Time in which an engine that does nothing else reads so many tokens.
    pub(super) fn expected(&self, tokens: u64) -> Millis {
        let tokens = tokens as f64;
        // What is known of a class holds for its middle.
        let place = ((tokens / MIN_SAMPLE_TOKENS).max(1.0).log2() - 0.5)
            .clamp(0.0, (SIZE_CLASSES - 1) as f64);
        let (lower, upper) = (place.floor(), place.ceil());
        let weight = place - lower;
        let ms_per_token = self.ms_per_token(lower as usize) * (1.0 - weight)
            + self.ms_per_token(upper as usize) * weight;
        tokens * ms_per_token
    }

    /// Takes in the time to the first event of a request that had no other prompt ahead of it, and what it tells of the
    /// engine.
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

    /// What is known of a class, else of the next smaller one that is known, else of the next larger one.
    fn ms_per_token(&self, class: usize) -> f64 {
        let (up_to, excess) = self.ms_per_token.split_at((class + 1).min(SIZE_CLASSES));
        let smaller = up_to.iter().rev().flatten().next();
        let larger = excess.iter().flatten().next();
        smaller.or(larger).copied().unwrap_or(INITIAL_MS_PER_TOKEN)
    }
}

/// How one engine's times compare with those of all.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct EngineSpeed {
    /// Factor on the times.
    slowness: f64,
}

impl Default for EngineSpeed {
    fn default() -> EngineSpeed {
        EngineSpeed { slowness: 1.0 }
    }
}

impl EngineSpeed {
    /// Time in which this engine reads what a typical one reads in `typical`.
    pub(super) fn prefill(self, typical: Millis) -> Millis {
        typical * self.slowness
    }

    fn learn(&mut self, slowness: f64) {
        let bounded = slowness.clamp(1.0 / MAX_SLOWNESS, MAX_SLOWNESS);
        self.slowness += SLOWNESS_WEIGHT * (bounded - self.slowness);
    }
}

/// The factor that moves `known` by one step towards the median of what is seen.
fn median_step(seen: f64, known: f64) -> f64 {
    if seen > known {
        1.0 + MEDIAN_STEP
    } else {
        1.0 / (1.0 + MEDIAN_STEP)
    }
}
