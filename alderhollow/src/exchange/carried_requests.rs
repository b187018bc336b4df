//! The requests that a connection to a backend has carried and that may be sent again, by their ids.
//!
//! Invariant: an attempt never shares its connection with an earlier attempt of the same request. A faulty backend may
//! send a response twice, the second time in the place where the next response is due, and attempts of one request
//! have the same id: only different connections tell their responses apart.

use hyper::header::HeaderValue;
use twox_hash::XxHash3_64;

/// Requests that one connection may remember before it is closed; bounds the memory for their ids.
const MAX_CARRIED_REQUESTS: usize = 1_000;

/// The ids that a connection has carried, as hashes: two ids with one hash only cost another connection.
#[derive(Debug, Default)]
pub(super) struct CarriedRequests {
    id_hashes: Vec<u64>,
}

impl CarriedRequests {
    /// Whether a request with this id was carried that may be sent again.
    pub(super) fn contains(&self, request_id: &HeaderValue) -> bool {
        self.id_hashes.contains(&hash(request_id))
    }

    /// Records a request that is about to be written.
    pub(super) fn record(&mut self, request_id: &HeaderValue) {
        self.id_hashes.push(hash(request_id));
    }

    /// The request that was recorded last is not sent again.
    pub(super) fn forget_last(&mut self) {
        self.id_hashes.pop();
    }

    /// Whether the connection may carry no further request.
    pub(super) fn is_full(&self) -> bool {
        self.id_hashes.len() >= MAX_CARRIED_REQUESTS
    }
}

fn hash(request_id: &HeaderValue) -> u64 {
    XxHash3_64::oneshot(request_id.as_bytes())
}

#[cfg(test)]
mod tests;
