//! Accepted configuration requests: a retried request is recognised by its digest and acknowledged again, however many
//! others were accepted in between. Part of the replicated state.

use super::request::ConfigOrder;
use minicbor::{Decode, Encode};
use serde_json::{json, Value};
use std::collections::{BTreeSet, VecDeque};

/// Number of accepted requests that are remembered; the oldest is dropped first.
pub const MAX_ACCEPTED_REQUESTS: usize = 20_000;

/// HTTP method of a configuration request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Method {
    /// A complete configuration.
    Put,
    /// A patch of named items.
    Patch,
}

impl Method {
    fn name(self) -> &'static str {
        match self {
            Method::Put => "PUT",
            Method::Patch => "PATCH",
        }
    }
}

/// Digest of a configuration request: its method, its `If-Match` and the content of its document. Two requests with the
/// same configuration version but different content have different digests.
pub fn request_digest(method: Method, order: &ConfigOrder, document: &Value) -> u64 {
    let if_match = order.if_match.as_deref().map(str::trim);
    let head_digest = crate::configuration::digest(&json!([method.name(), if_match]));
    let document_digest = crate::configuration::digest(document);
    crate::configuration::digest(&json!([head_digest, document_digest]))
}

/// Digests of the accepted requests, in order of acceptance.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct AcceptedRequests {
    in_order: VecDeque<u64>,
    known: BTreeSet<u64>,
}

impl AcceptedRequests {
    /// Whether a request was accepted.
    pub fn contains(&self, order: u64) -> bool {
        self.known.contains(&order)
    }

    /// Records that a request was accepted.
    pub fn add(&mut self, order: u64) {
        if !self.known.insert(order) {
            return;
        }
        self.in_order.push_back(order);
        if self.in_order.len() > MAX_ACCEPTED_REQUESTS {
            if let Some(oldest) = self.in_order.pop_front() {
                self.known.remove(&oldest);
            }
        }
    }

    /// Number of remembered requests.
    pub fn len(&self) -> usize {
        self.in_order.len()
    }

    /// Whether no request is remembered.
    pub fn is_empty(&self) -> bool {
        self.in_order.is_empty()
    }
}

impl<C> Encode<C> for AcceptedRequests {
    fn encode<W: minicbor::encode::Write>(
        &self,
        encoder: &mut minicbor::Encoder<W>,
        context: &mut C,
    ) -> Result<(), minicbor::encode::Error<W::Error>> {
        self.in_order.encode(encoder, context)
    }
}

impl<'b, C> Decode<'b, C> for AcceptedRequests {
    fn decode(
        decoder: &mut minicbor::Decoder<'b>,
        context: &mut C,
    ) -> Result<Self, minicbor::decode::Error> {
        let in_order: VecDeque<u64> = VecDeque::decode(decoder, context)?;
        let mut accepted = AcceptedRequests::default();
        for order in in_order {
            accepted.add(order);
        }
        Ok(accepted)
    }
}
