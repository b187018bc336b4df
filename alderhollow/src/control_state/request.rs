//! Requests to the control state, its decisions and answers. Encoded with [`super::codec`], as they travel to the primary
//! and through the replica.

use super::groups::GroupChange;
use crate::finding::Finding;
use alderhollow_model::identity::NodeInfo;
use alderhollow_model::snapshot::BatchGroup;
use minicbor::{Decode, Encode};
use std::collections::BTreeSet;
use std::fmt;

/// An operator's request for a change.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub enum Order {
    /// `PUT /alderhollow/config`.
    #[n(0)]
    PutConfig(#[n(0)] ConfigOrder),
    /// `PATCH /alderhollow/config`.
    #[n(1)]
    PatchConfig(#[n(0)] ConfigOrder),
    /// `POST /alderhollow/evacuate/ZONE`.
    #[n(2)]
    Evacuate {
        /// The zone.
        #[n(0)]
        zone: String,
    },
    /// `DELETE /alderhollow/evacuate/ZONE`.
    #[n(3)]
    CancelEvacuation {
        /// The zone.
        #[n(0)]
        zone: String,
    },
    /// `POST /alderhollow/retire/NODE`.
    #[n(4)]
    Retire {
        /// Name of the machine.
        #[n(0)]
        node: String,
    },
}

/// A complete configuration or a patch of it, as received.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct ConfigOrder {
    /// The `If-Match` header, if present.
    #[n(0)]
    pub if_match: Option<String>,
    /// The request body.
    #[cbor(n(1), with = "minicbor::bytes")]
    pub body: Vec<u8>,
}

/// What the primary knows besides the replicated state when it decides an operator's request.
#[derive(Debug, Clone, Default, PartialEq, Eq, Encode, Decode)]
pub struct OrderContext {
    /// The known zones: those of the settings and those of the listed backends.
    #[n(0)]
    pub zones: BTreeSet<String>,
    /// `tolerate.machines` of the settings.
    #[n(1)]
    pub tolerate_machines: u64,
    /// Machines whose stores have not polled for [`super::group_policy::GONE_AFTER_MS`].
    #[n(2)]
    pub gone_stores: BTreeSet<String>,
}

/// A request that the replicated state machine decides.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub enum Request {
    /// An operator's request for a change.
    #[n(0)]
    Order {
        /// The operator's request.
        #[n(0)]
        order: Order,
        /// What the primary knows besides the state.
        #[n(1)]
        context: OrderContext,
    },
    /// Registers a new store, or one whose disk, zone or address changed.
    #[n(1)]
    RegisterStore(#[n(0)] NodeInfo),
    /// Creates the batch groups.
    #[n(2)]
    FoundGroups(#[n(0)] Vec<BatchGroup>),
    /// Changes batch groups.
    #[n(3)]
    ChangeGroups(#[n(0)] Vec<GroupChange>),
}

/// The answer to a request that changes nothing.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub enum Answer {
    /// The request was accepted before, or its effect is already in place: it is acknowledged.
    #[n(0)]
    AlreadyDone,
    /// The request is rejected.
    #[n(1)]
    Refused(#[n(0)] Refusal),
    /// The request can't be decoded: a fault of the process that sent it.
    #[n(2)]
    Unreadable,
}

/// Why an operator's request is rejected.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub enum Refusal {
    /// The configuration is invalid. One line for each finding.
    #[n(0)]
    Invalid(#[n(0)] Vec<String>),
    /// `If-Match` is not the current version.
    #[n(1)]
    VersionMismatch {
        /// The current version.
        #[n(0)]
        current: u64,
    },
    /// The zone does not exist.
    #[n(2)]
    UnknownZone(#[n(0)] String),
    /// No store is registered under this name.
    #[n(3)]
    UnknownMachine(#[n(0)] String),
    /// Too few stores would remain to tolerate the configured losses.
    #[n(4)]
    TooFewWouldRemain {
        /// Number of stores that would remain.
        #[n(0)]
        remaining: u64,
        /// Number of stores required.
        #[n(1)]
        needed: u64,
    },
}

impl Refusal {
    /// An invalid configuration with its findings.
    pub fn invalid(findings: &[Finding]) -> Refusal {
        Refusal::Invalid(findings.iter().map(Finding::to_string).collect())
    }

    /// The HTTP status of the rejection.
    pub fn status(&self) -> u16 {
        match self {
            Refusal::Invalid(_) => 400,
            Refusal::VersionMismatch { .. } => 412,
            Refusal::UnknownZone(_) | Refusal::UnknownMachine(_) => 404,
            Refusal::TooFewWouldRemain { .. } => 409,
        }
    }
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Refusal::Invalid(findings) => f.write_str(&findings.join("\n")),
            Refusal::VersionMismatch { current } => {
                write!(f, "version {current} is current: build the change on it, with If-Match: {current}")
            }
            Refusal::UnknownZone(zone) => write!(f, "there is no zone `{zone}`"),
            Refusal::UnknownMachine(node) => write!(f, "there is no storage machine `{node}`"),
            Refusal::TooFewWouldRemain { remaining, needed } => {
                write!(
                    f,
                    "{remaining} storage machines would remain, {needed} are needed: add one first"
                )
            }
        }
    }
}

/// The decision on a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Decision {
    /// The command is replicated and applied.
    Commit(super::command::Command),
    /// The state does not change; this is answered.
    Answer(Answer),
}

impl Request {
    /// Encodes this request.
    pub fn to_bytes(&self) -> Vec<u8> {
        super::codec::encode(self)
    }
}

impl Answer {
    /// Encodes this answer.
    pub fn to_bytes(&self) -> Vec<u8> {
        super::codec::encode(self)
    }

    /// Decodes an answer.
    ///
    /// # Errors
    /// The bytes are not an encoded answer.
    pub fn from_bytes(bytes: &[u8]) -> Result<Answer, super::codec::CodecError> {
        super::codec::decode(bytes)
    }
}
