//! What the platform's list tells of the backends.

use crate::identity::Address;
use minicbor::{Decode, Encode};

/// State of a backend as the list shows it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Encode, Decode)]
pub enum BackendState {
    /// Takes new requests.
    #[n(0)]
    Ready,
    /// Finishes its work; nothing new may be sent.
    #[n(1)]
    Draining,
}

/// One backend. A new start is a new backend with another id, perhaps at an address that another one had.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct Backend {
    /// Identity of this start of it, for `Target-Instance`.
    #[n(0)]
    pub id: String,
    /// The service it belongs to.
    #[n(1)]
    pub service: String,
    /// Where it is.
    #[n(2)]
    pub address: Address,
    /// Its zone.
    #[n(3)]
    pub zone: String,
    /// Requests it works on at once.
    #[n(4)]
    pub slots: u32,
    /// Its state.
    #[n(5)]
    pub state: BackendState,
    /// How much longer it stays slow from its start, when the list was read. For a holder of the list this counts
    /// from the moment at which it got the list.
    #[n(6)]
    pub cold_remaining_ms: u64,
}

/// The list as one reader read it. A list is newer than another if its (epoch, sequence) is greater.
#[derive(Debug, Clone, Default, PartialEq, Eq, Encode, Decode)]
pub struct BackendList {
    /// Epoch of the primary that read it.
    #[n(0)]
    pub epoch: u64,
    /// Counts that primary's lists with a change.
    #[n(1)]
    pub sequence: u64,
    /// The backends.
    #[n(2)]
    pub backends: Vec<Backend>,
}

impl BackendList {
    /// Position in the order of all lists.
    pub fn version(&self) -> (u64, u64) {
        (self.epoch, self.sequence)
    }
}
