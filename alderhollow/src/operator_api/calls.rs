//! The operators' calls and their answers, typed.

use http::StatusCode;
use hyper::body::Bytes;
use std::net::SocketAddr;
use tokio::sync::oneshot;
use tokio::time::Instant;

/// How a configuration is sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConfigMethod {
    /// The whole document.
    Put,
    /// Named items.
    Patch,
}

/// What an operator asks for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Call {
    /// Changes the configuration.
    ChangeConfig {
        /// How it is sent.
        method: ConfigMethod,
        /// The `If-Match` header as it came.
        if_match: Option<String>,
        /// The body as it came.
        document: Bytes,
    },
    /// Reads the configuration.
    ReadConfig,
    /// Sends nothing more to the backends of a zone.
    Evacuate {
        /// The zone.
        zone: String,
    },
    /// Takes an evacuation back.
    CancelEvacuation {
        /// The zone.
        zone: String,
    },
    /// Empties a store machine.
    Retire {
        /// The machine.
        node: String,
        /// The body as it came.
        document: Bytes,
    },
    /// Reads how far a retirement is.
    ReadRetirement {
        /// The machine.
        node: String,
    },
}

/// How a call ends.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Reply {
    /// The core's answer.
    Decided {
        /// The status.
        status: StatusCode,
        /// The JSON.
        body: Vec<u8>,
        /// The answer rests on a lease that runs until then; it isn't to be given later. `None`: it holds for ever.
        valid_until: Option<Instant>,
    },
    /// Another gateway decides.
    Elsewhere(SocketAddr),
    /// Nothing was changed; nobody can decide now.
    Unavailable,
    /// It may or may not be in force.
    Unknown,
}

/// A call on its way from the HTTP server to the task that decides.
#[derive(Debug)]
pub struct PendingCall {
    /// The call.
    pub call: Call,
    /// Takes the end.
    pub reply: oneshot::Sender<Reply>,
}
