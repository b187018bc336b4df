//! Why a backend answered 421: the verdict rests on what was sent, what the response tells, and what its connection has
//! shown before.
//!
//! A backend answers 421 if `Target-Instance` names another incarnation, or if its weights differ from `Expect-Version`.
//! Only evidence that excludes the second reason is a verdict on the incarnation.

use super::weights;
use crate::balance::{ExpectedWeights, WeightsVersion};
use hyper::header::{HeaderMap, HeaderName, HeaderValue};

/// Id of the incarnation that answers.
const INSTANCE_ID: HeaderName = HeaderName::from_static("instance-id");

/// The reason for a 421.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Misdirection {
    /// Another incarnation answers at the address.
    OtherInstance,
    /// The weights of the requested model differ from the expected ones.
    OtherWeights {
        /// The weights' version, if the response tells it.
        shown: Option<WeightsVersion>,
    },
    /// Neither reason applies: the incarnation is the requested one, and no version was expected.
    Unexplained,
}

/// What is known of a request that was answered with 421.
#[derive(Debug, Clone, Copy)]
pub(super) struct MisdirectedRequest<'a> {
    /// The incarnation that the request was sent to.
    pub(super) instance: &'a str,
    /// Whether this incarnation has run an earlier request of the same connection.
    pub(super) is_instance_confirmed: bool,
    /// The version of the weights that the request expects.
    pub(super) expected: Option<ExpectedWeights>,
}

impl MisdirectedRequest<'_> {
    /// Finds the reason by the headers of the response.
    pub(super) fn reason(&self, response: &HeaderMap) -> Misdirection {
        let shown = weights::shown_version(response);
        let is_own_instance = match response.get(INSTANCE_ID).map(HeaderValue::as_bytes) {
            Some(id) => Some(id == self.instance.as_bytes()),
            None => self.is_instance_confirmed.then_some(true),
        };
        match (is_own_instance, self.expected) {
            (Some(false), _) | (None, None) => Misdirection::OtherInstance,
            (Some(true), None) => Misdirection::Unexplained,
            (None, Some(expected)) if shown == Some(expected.version) => {
                Misdirection::OtherInstance
            }
            (_, Some(_)) => Misdirection::OtherWeights { shown },
        }
    }
}

#[cfg(test)]
mod tests;
