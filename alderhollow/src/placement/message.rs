//! Messages of [`ServiceId::Placement`](crate::internal::ServiceId).

use crate::balance::{NoBackend, Outcome, Prompt, SelectionRequest};
use alderhollow_model::identity::Incarnation;
use minicbor::{Decode, Encode};

/// Identifies an attempt. A sender assigns each number only once per incarnation.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
pub struct AttemptId {
    /// The sender.
    #[n(0)]
    pub sender: Incarnation,
    /// The number of the attempt, unique for its sender.
    #[n(1)]
    pub number: u64,
}

/// A part of a prompt that several requests may share.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Encode, Decode)]
pub struct PromptPart {
    /// Hash of the part's identifier.
    #[n(0)]
    pub id: u64,
    /// Number of tokens.
    #[n(1)]
    pub tokens: u32,
}

/// The properties of a request that determine its placement.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct Demand {
    /// The name of the service.
    #[n(0)]
    pub service: String,
    /// Priority; 0 is the highest.
    #[n(1)]
    pub priority: u32,
    /// Number of tokens in the prompt.
    #[n(2)]
    pub tokens_in: u32,
    /// Maximum number of output tokens.
    #[n(3)]
    pub tokens_out: u32,
    /// The prompt's parts in order.
    #[n(4)]
    pub parts: Vec<PromptPart>,
    /// Ids of backends that must not be selected.
    #[n(5)]
    pub excluded_backends: Vec<String>,
}

impl Demand {
    /// The demand of a token request; `None` if it has no prompt.
    pub fn of(request: &SelectionRequest, excluded_backends: Vec<String>) -> Option<Demand> {
        let prompt = request.prompt?;
        let part = |&(id, tokens): &(u64, u32)| PromptPart { id, tokens };
        Some(Demand {
            service: request.service.to_string(),
            priority: request.priority,
            tokens_in: prompt.tokens_in,
            tokens_out: prompt.tokens_out,
            parts: prompt.parts.iter().map(part).collect(),
            excluded_backends,
        })
    }

    /// Converts the demand to a balancer's request.
    pub fn selection_request<'a>(&'a self, prompt: &'a Prompt) -> SelectionRequest<'a> {
        SelectionRequest {
            service: &self.service,
            prompt: Some(prompt),
            priority: self.priority,
            tried: &self.excluded_backends,
            expected_weights: None,
            sender: None,
        }
    }

    /// The prompt of the request.
    pub fn prompt(&self) -> Prompt {
        Prompt {
            parts: self
                .parts
                .iter()
                .map(|part| (part.id, part.tokens))
                .collect(),
            tokens_in: self.tokens_in,
            tokens_out: self.tokens_out,
        }
    }
}

/// Asks a placer to place an attempt.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct PlaceRequest {
    /// The attempt.
    #[n(0)]
    pub attempt: AttemptId,
    /// The demand of the attempt.
    #[n(1)]
    pub demand: Demand,
}

/// A placer's response.
#[derive(Debug, Clone, PartialEq, Encode, Decode)]
pub enum Placement {
    /// The backend that the placer selected. The placer counts the attempt as in flight there.
    #[n(0)]
    At {
        /// The backend's id.
        #[n(0)]
        backend: String,
        /// Estimated queueing delay at the backend, plus the cost of delaying the streams that run there, in
        /// milliseconds.
        #[n(1)]
        wait_ms: f64,
    },
    /// All backends of the zone are at capacity.
    #[n(1)]
    Full {
        /// Milliseconds until capacity may be available.
        #[n(0)]
        retry_after_ms: f64,
    },
    /// The zone has no backend that accepts the request.
    #[n(2)]
    NoneReady,
}

impl From<NoBackend> for Placement {
    fn from(error: NoBackend) -> Placement {
        match error {
            NoBackend::NoneReady | NoBackend::OtherWeights { .. } => Placement::NoneReady,
            NoBackend::AllFull { retry_after_ms } => Placement::Full { retry_after_ms },
        }
    }
}

/// What a sender reports of an [`Outcome`].
///
/// A 421 and a reached connection limit are evidence for their sender only, which tells a placer with each demand which
/// backends it excludes. They are reported as [`End::Cancelled`]: placers of earlier versions exclude a backend for good
/// after [`End::OtherInstance`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Encode, Decode)]
#[cbor(index_only)]
pub enum End {
    /// See [`Outcome::Served`].
    #[n(0)]
    Served,
    /// See [`Outcome::Failed`].
    #[n(1)]
    Failed,
    /// See [`Outcome::Declined`]. Senders of earlier versions report [`Outcome::ConnectionLimit`] in the same way.
    #[n(2)]
    Declined,
    /// A 421, whatever its reason. Only senders of earlier versions report it.
    #[n(3)]
    OtherInstance,
    /// See [`Outcome::NoConnection`].
    #[n(4)]
    NoConnection,
    /// See [`Outcome::Broken`].
    #[n(5)]
    Broken,
    /// See [`Outcome::TimedOut`].
    #[n(6)]
    TimedOut,
    /// See [`Outcome::Cancelled`]; also what says nothing that holds for other senders.
    #[n(7)]
    Cancelled,
}

impl From<Outcome> for End {
    fn from(outcome: Outcome) -> End {
        match outcome {
            Outcome::Served => End::Served,
            Outcome::Failed => End::Failed,
            Outcome::Declined => End::Declined,
            Outcome::NoConnection => End::NoConnection,
            Outcome::Broken => End::Broken,
            Outcome::TimedOut => End::TimedOut,
            Outcome::Cancelled
            | Outcome::ConnectionLimit
            | Outcome::DeadlineExceeded
            | Outcome::OtherInstance
            | Outcome::OtherWeights => End::Cancelled,
        }
    }
}

impl End {
    /// The outcome for a placer; `None` if the end says nothing that holds for other senders.
    pub fn outcome(self) -> Option<Outcome> {
        match self {
            End::Served => Some(Outcome::Served),
            End::Failed => Some(Outcome::Failed),
            End::Declined => Some(Outcome::Declined),
            End::OtherInstance => None,
            End::NoConnection => Some(Outcome::NoConnection),
            End::Broken => Some(Outcome::Broken),
            End::TimedOut => Some(Outcome::TimedOut),
            End::Cancelled => Some(Outcome::Cancelled),
        }
    }
}

/// An attempt at one backend, reported to a placer that may not know it.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct AttemptInfo {
    /// The number of the attempt, unique for its sender.
    #[n(0)]
    pub number: u64,
    /// The backend's id.
    #[n(1)]
    pub backend: String,
    /// The demand of the attempt.
    #[n(2)]
    pub demand: Demand,
    /// Whether the first event was received.
    #[n(3)]
    pub response_started: bool,
}

/// A change in the state of an attempt.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub enum Event {
    /// The sender started it at a backend that it selected by itself.
    #[n(0)]
    Started(#[n(0)] AttemptInfo),
    /// The first event was received.
    #[n(1)]
    ResponseStarted(#[n(0)] u64),
    /// The attempt ended.
    #[n(2)]
    Ended(#[n(0)] u64, #[n(1)] End),
}

/// An unsolicited report from a sender to a placer. Reports may be lost, duplicated or reordered; the next
/// [`Report::Snapshot`] corrects the placer's state.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub enum Report {
    /// Changes since the last report, in order.
    #[n(0)]
    Events {
        /// The sender.
        #[n(0)]
        sender: Incarnation,
        /// The changes.
        #[n(1)]
        events: Vec<Event>,
    },
    /// All attempts that the sender has in flight at backends of the placer's zone.
    #[n(1)]
    Snapshot {
        /// The sender.
        #[n(0)]
        sender: Incarnation,
        /// Sequence number of the sender's snapshots, shared by all placers. Older snapshots are ignored.
        #[n(1)]
        sequence: u64,
        /// The last attempt number assigned before the snapshot. Attempts with higher numbers are not covered by it.
        #[n(2)]
        last_number: u64,
        /// The attempts.
        #[n(3)]
        in_flight: Vec<AttemptInfo>,
    },
}

impl Report {
    /// The sender of the report.
    pub fn sender(&self) -> Incarnation {
        match self {
            Report::Events { sender, .. } | Report::Snapshot { sender, .. } => *sender,
        }
    }
}
