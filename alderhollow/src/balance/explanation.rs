//! The reasons for a selection: all backends of a service with their eligibility and cost components.

use super::cost::Cost;
use super::Millis;
use minicbor::{Decode, Encode};

/// What would be selected at one moment, and why. No attempt is recorded for it.
#[derive(Debug, Clone, PartialEq, Encode, Decode)]
pub struct Explanation {
    /// The service.
    #[n(0)]
    pub service: String,
    /// Its backends, eligible ones first, in order of cost.
    #[n(1)]
    pub candidates: Vec<Candidate>,
}

/// One backend in a selection.
#[derive(Debug, Clone, PartialEq, Encode, Decode)]
pub struct Candidate {
    /// The backend's id.
    #[n(0)]
    pub backend: String,
    /// The backend's zone.
    #[n(1)]
    pub zone: String,
    /// Number of known requests in flight at the backend.
    #[n(2)]
    pub attempts: u32,
    /// Fraction of the prompt's shared prefix that is expected to miss the cache.
    #[n(3)]
    pub uncached_fraction: f64,
    /// Whether the backend may take the request.
    #[n(4)]
    pub verdict: Verdict,
    /// The cost of the request at the backend.
    #[n(5)]
    pub cost: Cost,
}

/// Whether a backend may take a request.
#[derive(Debug, Clone, Copy, PartialEq, Encode, Decode)]
pub enum Verdict {
    /// Eligible.
    #[n(0)]
    Open,
    /// Failing or unresponsive; usable only as a last resort.
    #[n(1)]
    Unhealthy {
        /// Milliseconds until the next probe.
        #[n(0)]
        for_ms: Millis,
    },
    /// At capacity for requests of this priority.
    #[n(2)]
    Full {
        /// Milliseconds until capacity may be available.
        #[n(0)]
        for_ms: Millis,
    },
    /// Draining, or in an evacuated zone.
    #[n(3)]
    Withdrawn,
}

impl Verdict {
    /// Sort order of candidates.
    fn rank(self) -> u8 {
        match self {
            Verdict::Open => 0,
            Verdict::Unhealthy { .. } => 1,
            Verdict::Full { .. } => 2,
            Verdict::Withdrawn => 3,
        }
    }
}

impl Explanation {
    /// Sorts the candidates.
    pub(super) fn new(service: &str, mut candidates: Vec<Candidate>) -> Explanation {
        candidates.sort_by(|one, other| {
            let by_verdict = one.verdict.rank().cmp(&other.verdict.rank());
            by_verdict.then(one.cost.total().total_cmp(&other.cost.total()))
        });
        Explanation {
            service: service.to_string(),
            candidates,
        }
    }

    /// The backend that would be selected, ignoring the random component of the cost.
    pub fn chosen(&self) -> Option<&Candidate> {
        self.candidates
            .first()
            .filter(|candidate| candidate.verdict == Verdict::Open)
    }

    /// The cost component with the greatest advantage of the selected backend over the next one.
    pub fn decisive_component(&self) -> Option<&'static str> {
        let chosen = self.chosen()?;
        let next = self
            .candidates
            .get(1)
            .filter(|candidate| candidate.verdict == Verdict::Open)?;
        let differences = chosen
            .cost
            .components()
            .into_iter()
            .zip(next.cost.components());
        let gains =
            differences.map(|((name, chosen_ms), (_, next_ms))| (name, next_ms - chosen_ms));
        let (name, gain_ms) = gains.max_by(|(_, one), (_, other)| one.total_cmp(other))?;
        (gain_ms > 0.0).then_some(name)
    }
}
