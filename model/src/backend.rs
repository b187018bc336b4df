//! Backends, as the platform's endpoint list describes them.

use crate::identity::Address;
use minicbor::{Decode, Encode};

/// State of a backend in the endpoint list.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Encode, Decode)]
pub enum BackendState {
    /// Takes new requests.
    #[n(0)]
    Ready,
    /// Completes its requests; no new ones may be sent.
    #[n(1)]
    Draining,
}

/// One run of a backend. A restarted backend has another id and may have the address of an earlier one.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct Backend {
    /// Identity of this run, sent in the header `Target-Instance`.
    #[n(0)]
    pub id: String,
    /// Name of its service.
    #[n(1)]
    pub service: String,
    /// Address for requests.
    #[n(2)]
    pub address: Address,
    /// Name of its availability zone.
    #[n(3)]
    pub zone: String,
    /// Number of requests that it processes concurrently.
    #[n(4)]
    pub slots: u32,
    /// Whether it accepts new requests.
    #[n(5)]
    pub state: BackendState,
    /// Remaining time of its warm-up (slow start) when the list was read, in milliseconds. A process that receives the
    /// list counts it from the time of receipt.
    #[n(6)]
    pub cold_remaining_ms: u64,
}

impl Backend {
    /// Whether a request can name the backend in its header `Target-Instance`. Without that name, whoever has the
    /// address by now would run the request.
    pub fn can_be_named(&self) -> bool {
        let is_printable = |byte: u8| byte == b' ' || byte.is_ascii_graphic();
        !self.id.is_empty() && self.id.trim() == self.id && self.id.bytes().all(is_printable)
    }
}

/// The endpoint list as a primary read it. Lists are ordered by [`BackendList::version`].
#[derive(Debug, Clone, Default, PartialEq, Eq, Encode, Decode)]
pub struct BackendList {
    /// Epoch of the primary that read the list.
    #[n(0)]
    pub epoch: u64,
    /// Number of changed lists that this primary has read.
    #[n(1)]
    pub sequence: u64,
    /// All backends.
    #[n(2)]
    pub backends: Vec<Backend>,
}

impl BackendList {
    /// Version of the list: epoch and sequence. A list with a greater version is newer.
    pub fn version(&self) -> (u64, u64) {
        (self.epoch, self.sequence)
    }
}
