//! What every front door does with connections, whoever decides where requests go: one exchange with a peer at a time
//! over a connection that its holder drives, bodies that pass through as they come, and the lifecycle of a client's
//! connection.

pub mod activity;
pub mod connection;
pub mod flow;
pub mod headers;
pub mod link;
pub mod malformed;
pub mod progress;
pub mod response_check;
