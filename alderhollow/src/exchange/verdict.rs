//! Classifies a response by its head (PROTOCOL.md, *Backends*).

use super::misdirected::{MisdirectedRequest, Misdirection};
use super::outbound::{self, Outbound};
use super::pool::Pooled;
use crate::balance::{ExpectedWeights, Outcome, WeightsVersion};
use crate::metrics;
use crate::metrics::backends::MisdirectionReason;
use hyper::body::Incoming;
use hyper::{Response, StatusCode};

/// What the head of a response says about the request.
#[derive(Debug, PartialEq, Eq)]
pub(super) enum Verdict {
    /// The backend has run it or is running it.
    Ran,
    /// The backend has not run it.
    Declined(DeclineReason),
    /// The response belongs to another request or to none.
    Mismatched,
}

/// Why a backend has not run a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum DeclineReason {
    /// It is full, the request's time is over, or it does not say.
    Unspecified,
    /// Another instance answers at this address.
    OtherInstance,
    /// The weights differ from the version that the request expects.
    OtherWeights {
        /// The version that the request expects.
        expected: ExpectedWeights,
        /// The version of the backend's weights, if the response tells it.
        shown: Option<WeightsVersion>,
    },
}

impl DeclineReason {
    /// What the decline says of its backend.
    pub(super) fn outcome(self) -> Outcome {
        match self {
            DeclineReason::Unspecified => Outcome::Declined,
            DeclineReason::OtherInstance => Outcome::OtherInstance,
            DeclineReason::OtherWeights { .. } => Outcome::OtherWeights,
        }
    }
}

/// Classifies a response. Only `Request-Id` tells a surplus response to an earlier request from the response to this
/// one, and no connection carries two attempts of one request.
pub(super) fn classify(
    response: &Response<Incoming>,
    outbound: &Outbound,
    pooled: &Pooled,
) -> Verdict {
    let headers = response.headers();
    let is_misdirected = response.status() == StatusCode::MISDIRECTED_REQUEST;
    let declined = headers.contains_key(outbound::NOT_EXECUTED) || is_misdirected;
    let id_matches = headers.get(outbound::REQUEST_ID) == Some(outbound.request_id());
    match (id_matches, is_misdirected, declined) {
        (false, ..) => Verdict::Mismatched,
        (true, true, _) => Verdict::Declined(misdirected(response, outbound, pooled)),
        (true, false, true) => Verdict::Declined(DeclineReason::Unspecified),
        (true, false, false) => Verdict::Ran,
    }
}

/// Classifies a 421.
fn misdirected(
    response: &Response<Incoming>,
    outbound: &Outbound,
    pooled: &Pooled,
) -> DeclineReason {
    let expected = outbound.expected_weights();
    let request = MisdirectedRequest {
        instance: pooled.backend_id(),
        is_instance_confirmed: pooled.is_instance_confirmed(),
        expected,
    };
    let reason = request.reason(response.headers());
    metrics::get()
        .backends
        .misdirected(MisdirectionReason::from(reason));
    log::debug!(
        "backend {} answered 421 to {:?}: {reason:?}, expected {expected:?}",
        pooled.backend_id(),
        outbound.request_id()
    );
    match (reason, expected) {
        (Misdirection::OtherInstance, _) => DeclineReason::OtherInstance,
        (Misdirection::OtherWeights { shown }, Some(expected)) => {
            DeclineReason::OtherWeights { expected, shown }
        }
        (Misdirection::OtherWeights { .. }, None) | (Misdirection::Unexplained, _) => {
            DeclineReason::Unspecified
        }
    }
}

impl From<Misdirection> for MisdirectionReason {
    fn from(reason: Misdirection) -> MisdirectionReason {
        match reason {
            Misdirection::OtherInstance => MisdirectionReason::OtherInstance,
            Misdirection::OtherWeights { .. } => MisdirectionReason::OtherWeights,
            Misdirection::Unexplained => MisdirectionReason::Unexplained,
        }
    }
}
