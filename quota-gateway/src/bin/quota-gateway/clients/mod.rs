//! What faces the clients: their connections, how they are sent away, and what became of their requests.

pub mod connections;
pub mod phase;
pub mod stats;
