//! What is known of a request that no backend's response shows to have run.
//!
//! Invariant: that a request has not run is concluded only from evidence: no byte of it was written, or the backend
//! declined it in a response that repeats its id. A backend may begin its work before a long body is complete, so a
//! request of which a part was written may have run.

use crate::balance::Outcome;
use crate::metrics::backends::UnservedEvidence;
use alderhollow_dataplane::progress::Written;

/// The evidence of whether a request without a response has run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Evidence {
    /// No byte was written, so no backend has it.
    NothingWritten,
    /// A part was written: the backend may have begun.
    PartlyWritten,
    /// It was written completely, and the backend did not respond to it.
    WhollyWritten,
    /// The backend responded, by the request's id, that it has not run it and will not.
    Declined,
}

impl Evidence {
    /// Whether the request may have run, or may run later.
    pub fn may_have_run(self) -> bool {
        matches!(self, Evidence::PartlyWritten | Evidence::WhollyWritten)
    }
}

impl From<Written> for Evidence {
    fn from(written: Written) -> Evidence {
        match written {
            Written::Nothing => Evidence::NothingWritten,
            Written::Partly => Evidence::PartlyWritten,
            Written::Wholly => Evidence::WhollyWritten,
        }
    }
}

/// An attempt brought no response from a backend that ran the request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SendError {
    /// What is known of the request.
    pub evidence: Evidence,
    /// What the attempt says of its backend.
    pub outcome: Outcome,
}

impl SendError {
    /// The request was never begun to be written.
    pub(super) fn not_written(outcome: Outcome) -> SendError {
        SendError {
            evidence: Evidence::NothingWritten,
            outcome,
        }
    }

    /// The backend declined the request.
    pub(super) fn declined(outcome: Outcome) -> SendError {
        SendError {
            evidence: Evidence::Declined,
            outcome,
        }
    }

    /// No response came, and so much of the request was written.
    pub(super) fn unanswered(written: Written, outcome: Outcome) -> SendError {
        SendError {
            evidence: written.into(),
            outcome,
        }
    }

    /// The connection broke.
    pub(super) fn broken(written: Written) -> SendError {
        let outcome = match written {
            Written::Nothing => Outcome::NoConnection,
            Written::Partly | Written::Wholly => Outcome::Broken,
        };
        SendError::unanswered(written, outcome)
    }
}

impl From<Evidence> for UnservedEvidence {
    fn from(evidence: Evidence) -> UnservedEvidence {
        match evidence {
            Evidence::NothingWritten => UnservedEvidence::NothingWritten,
            Evidence::PartlyWritten => UnservedEvidence::PartlyWritten,
            Evidence::WhollyWritten => UnservedEvidence::WhollyWritten,
            Evidence::Declined => UnservedEvidence::Declined,
        }
    }
}
