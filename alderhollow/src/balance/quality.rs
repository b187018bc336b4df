//! Moving averages of the responses of one backend: how slow they are, and how many fail. Both decay over time, so that a
//! backend that gets no requests counts as average again.

use super::Millis;

/// Weights of a new sample in the averages, and the time constant of their decay.
const SLOWNESS_WEIGHT: f64 = 0.1;
const FAILURE_WEIGHT: f64 = 0.1;
const AVERAGE_DECAY_MS: Millis = 8000.0;
/// Maximum slowness of one sample, as a multiple of the expected time.
const MAX_SLOWNESS: f64 = 5.0;

/// The quality of a backend's recent responses.
#[derive(Debug)]
pub(super) struct ResponseQuality {
    slowness: f64,
    failure_share: f64,
    updated_at: Millis,
}

impl ResponseQuality {
    /// The initial state: as expected, without failures.
    pub(super) fn new() -> ResponseQuality {
        ResponseQuality {
            slowness: 1.0,
            failure_share: 0.0,
            updated_at: 0.0,
        }
    }

    /// Average of the response times relative to the expected times; 1 means as expected.
    pub(super) fn slowness(&self, now: Millis) -> f64 {
        1.0 + (self.slowness - 1.0) * self.decay(now)
    }

    /// Average of the share of failed responses.
    pub(super) fn failure_share(&self, now: Millis) -> f64 {
        self.failure_share * self.decay(now)
    }

    /// Adds the time that a response took, if known. Without it only the decay up to now is applied.
    pub(super) fn add_response_time(
        &mut self,
        now: Millis,
        elapsed: Option<Millis>,
        expected: Millis,
    ) {
        self.apply_decay(now);
        if let Some(elapsed) = elapsed {
            let slowness = (elapsed / expected.max(1.0)).min(MAX_SLOWNESS);
            self.slowness += SLOWNESS_WEIGHT * (slowness - self.slowness);
        }
    }

    /// Adds a response: 0 for one that was served, 1 for one that failed.
    pub(super) fn add_failure_sample(&mut self, now: Millis, sample: f64) {
        self.apply_decay(now);
        self.failure_share += FAILURE_WEIGHT * (sample - self.failure_share);
    }

    fn apply_decay(&mut self, now: Millis) {
        let decay = self.decay(now);
        self.slowness = 1.0 + (self.slowness - 1.0) * decay;
        self.failure_share *= decay;
        self.updated_at = now;
    }

    fn decay(&self, now: Millis) -> f64 {
        (-(now - self.updated_at).max(0.0) / AVERAGE_DECAY_MS).exp()
    }
}
