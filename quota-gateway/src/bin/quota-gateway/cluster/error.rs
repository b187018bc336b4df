//! Errors of the cluster node at run time. Each text is one line that ends with what an operator can do; all of them
//! are listed in `docs/operators.md`.

use crate::errors::{text, word};
use gateway_cluster::leadership::ActRejection;
use std::io;
use std::net::SocketAddrV4;
use thiserror::Error;

/// Why this gateway is no member of the cluster, rejects something from a peer, or cannot answer an operator's call.
#[derive(Error, Debug)]
pub(crate) enum ClusterError {
    /// The UDP port is not open yet, so the node was not started.
    #[error(
        "the cluster node is not running yet: {listen} cannot be opened; end what holds that port, or set fleet.listen \
         to a free one"
    )]
    NotRunning { listen: SocketAddrV4 },
    /// An answer to an operator's call cannot be serialized.
    #[error("the answer cannot be serialized: {}; ask again, and compare the versions if that stays so", text(.0))]
    Serialize(serde_json::Error),
    /// The UDP port cannot be opened; the driver retries.
    #[error(
        "cannot open the cluster port {listen}: {}; clients are served and opening is retried; end what holds that port, \
         or correct fleet.listen and start the process again",
        word(.error)
    )]
    Bind {
        listen: SocketAddrV4,
        error: io::Error,
    },
    /// Receiving on the open socket failed; the driver opens it again.
    #[error("the cluster socket failed and is opened again: {}; check the network of this machine if this repeats", text(.0))]
    Socket(io::Error),
    /// The node rejected a new peer set, with its reason.
    #[error("the new peer set is rejected and the former one stays: {}; correct fleet.peers and send SIGHUP", text(.0))]
    PeerSetRejected(String),
    /// A peer is configured with another lease duration.
    #[error(
        "gateway {name} has a lease of {theirs_ms} ms, this one of {own_ms} ms: neither votes for the other; set one \
         fleet.lease_ms at every gateway, and start them again"
    )]
    LeaseMismatch {
        name: String,
        theirs_ms: u32,
        own_ms: u64,
    },
    /// A peer is configured with another peer set.
    #[error(
        "gateway {name} has another peer set; wait while the peer set is being changed, else set the same names in every \
         file and send SIGHUP"
    )]
    PeerSetMismatch { name: String },
    /// A request that a peer sent as leader carried no valid lease. The reason ends with what to do.
    #[error("a request of gateway {name} as leader is rejected: {why}")]
    LeaderRequestRejected { name: String, why: ActRejection },
    /// The shard map of this gateway was decided without the majority that decided the present one.
    #[error(
        "the shard map of this gateway has another history: version {former} is replaced by {present}; look at the calls \
         shards and owner of every gateway, and propose the map anew if it is not the one you want"
    )]
    ShardMapHistory { former: u64, present: u64 },
    /// An operator's call has something else where a customer ID belongs.
    #[error(
        "'{written}' is not a customer ID, which has 16 hexadecimal digits; send it behind the call's name, as the \
         cookie has it"
    )]
    InvalidCustomerId { written: String },
    /// A proposed or received shard map breaks a rule.
    #[error("a shard map is rejected: {finding}; call shards for all findings, and correct fleet.shards.map")]
    ShardMapRejected { finding: String },
    /// The node rejected its settings at the start, with its reason.
    #[error(
        "the cluster node cannot start, and this gateway serves without it: {}; correct name and fleet, and start the \
         process again",
        text(.0)
    )]
    NodeNotStarted(String),
}
