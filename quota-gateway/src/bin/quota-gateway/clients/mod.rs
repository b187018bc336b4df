//! What faces the clients: their connections, how they are sent away, and what became of their requests.

pub(crate) mod connections;
pub(crate) mod phase;
pub(crate) mod stats;
