//! Classifies a response by its head (PROTOCOL.md, *Backends*).

use super::misdirected::{MisdirectedRequest, Misdirection};
use super::outbound::{self, Outbound};
use super::pool::Pooled;
use crate::balance::{ExpectedWeights, WeightsVersion};
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
    Declined,
    /// Another instance answers at this address, and it has not run the request.
    OtherInstance,
    /// The weights differ from the version that the request expects, and it has not run.
    OtherWeights {
        /// The version that the request expects.
        expected: ExpectedWeights,
        /// The version of the backend's weights, if the response tells it.
        shown: Option<WeightsVersion>,
    },
    /// The response belongs to another request or to none.
    Mismatched,
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
        (true, true, _) => misdirected(response, outbound, pooled),
        (true, false, true) => Verdict::Declined,
        (true, false, false) => Verdict::Ran,
    }
}

/// Classifies a 421.
fn misdirected(response: &Response<Incoming>, outbound: &Outbound, pooled: &Pooled) -> Verdict {
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
        (Misdirection::OtherInstance, _) => Verdict::OtherInstance,
        (Misdirection::OtherWeights { shown }, Some(expected)) => {
            Verdict::OtherWeights { expected, shown }
        }
        (Misdirection::OtherWeights { .. }, None) | (Misdirection::Unexplained, _) => {
            Verdict::Declined
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
