//! Messages of [`ServiceId::Placement`](crate::internal::ServiceId).

use crate::balance::{NoBackend, Outcome, Prompt, SelectionRequest};
use alderhollow_model::identity::Incarnation;
use minicbor::{Decode, Encode};

/// Names an attempt: numbers are drawn by its sender and never used again in one incarnation.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
pub struct AttemptId {
    /// The sender.
    #[n(0)]
    pub sender: Incarnation,
    /// The attempt among those of the sender.
    #[n(1)]
    pub number: u64,
}

/// A part of a prompt that requests share.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Encode, Decode)]
pub struct PromptPart {
    /// Hash of its identifier.
    #[n(0)]
    pub id: u64,
    /// Its tokens.
    #[n(1)]
    pub tokens: u32,
}

/// What an attempt asks of a backend.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct Demand {
    /// The service.
    #[n(0)]
    pub service: String,
    /// Rank; 0 is the highest.
    #[n(1)]
    pub priority: u32,
    /// Tokens of the prompt.
    #[n(2)]
    pub tokens_in: u32,
    /// Most tokens that come out.
    #[n(3)]
    pub tokens_out: u32,
    /// The prompt's parts in order.
    #[n(4)]
    pub parts: Vec<PromptPart>,
    /// Backends, by id, that it may not go to.
    #[n(5)]
    pub except: Vec<String>,
}

impl Demand {
    /// The demand of a request for tokens; `None` for one without a prompt.
    pub fn of(wanted: &SelectionRequest, except: Vec<String>) -> Option<Demand> {
        let prompt = wanted.prompt?;
        let part = |&(id, tokens): &(u64, u32)| PromptPart { id, tokens };
        Some(Demand {
            service: wanted.service.to_string(),
            priority: wanted.priority,
            tokens_in: prompt.tokens_in,
            tokens_out: prompt.tokens_out,
            parts: prompt.parts.iter().map(part).collect(),
            except,
        })
    }

    /// The same as it is put to a balancer, with its prompt.
    pub fn wanted<'a>(&'a self, prompt: &'a Prompt) -> SelectionRequest<'a> {
        SelectionRequest {
            service: &self.service,
            prompt: Some(prompt),
            priority: self.priority,
            tried: &self.except,
        }
    }

    /// Its prompt.
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

/// A question of a sender.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct PlaceRequest {
    /// The attempt.
    #[n(0)]
    pub attempt: AttemptId,
    /// What it asks for.
    #[n(1)]
    pub demand: Demand,
}

/// A placer's answer.
#[derive(Debug, Clone, PartialEq, Encode, Decode)]
pub enum Placement {
    /// A backend takes it, and is booked for it.
    #[n(0)]
    At {
        /// Its id.
        #[n(0)]
        backend: String,
        /// Milliseconds of what is known to be ahead of the request there, and of what it would cost the streams that run
        /// there.
        #[n(1)]
        wait_ms: f64,
    },
    /// Each backend of the zone has as much as it bears.
    #[n(1)]
    Full {
        /// Milliseconds until it may be different.
        #[n(0)]
        retry_after_ms: f64,
    },
    /// The zone has no backend that may get it.
    #[n(2)]
    NoneReady,
}

impl From<NoBackend> for Placement {
    fn from(none: NoBackend) -> Placement {
        match none {
            NoBackend::NoneReady => Placement::NoneReady,
            NoBackend::AllFull { retry_after_ms } => Placement::Full { retry_after_ms },
        }
    }
}

/// How an attempt ended, as it goes over the wire.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Encode, Decode)]
#[cbor(index_only)]
pub enum End {
    /// See [`Outcome::Served`].
    #[n(0)]
    Served,
    /// See [`Outcome::Failed`].
    #[n(1)]
    Failed,
    /// See [`Outcome::Declined`].
    #[n(2)]
    Declined,
    /// See [`Outcome::OtherInstance`].
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
    /// See [`Outcome::Cancelled`].
    #[n(7)]
    Cancelled,
}

impl From<Outcome> for End {
    fn from(outcome: Outcome) -> End {
        match outcome {
            Outcome::Served => End::Served,
            Outcome::Failed => End::Failed,
            Outcome::Declined => End::Declined,
            Outcome::OtherInstance => End::OtherInstance,
            Outcome::NoConnection => End::NoConnection,
            Outcome::Broken => End::Broken,
            Outcome::TimedOut => End::TimedOut,
            Outcome::Cancelled => End::Cancelled,
        }
    }
}

impl From<End> for Outcome {
    fn from(end: End) -> Outcome {
        match end {
            End::Served => Outcome::Served,
            End::Failed => Outcome::Failed,
            End::Declined => Outcome::Declined,
            End::OtherInstance => Outcome::OtherInstance,
            End::NoConnection => Outcome::NoConnection,
            End::Broken => Outcome::Broken,
            End::TimedOut => Outcome::TimedOut,
            End::Cancelled => Outcome::Cancelled,
        }
    }
}

/// An attempt at one backend, as its sender tells it to a placer that may not know of it.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct UnderWay {
    /// The attempt among those of the sender.
    #[n(0)]
    pub number: u64,
    /// The backend.
    #[n(1)]
    pub backend: String,
    /// What it asked for.
    #[n(2)]
    pub demand: Demand,
    /// Whether the first event came.
    #[n(3)]
    pub has_begun: bool,
}

/// Something that became of an attempt.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub enum Event {
    /// The sender began it at a backend of its own choice.
    #[n(0)]
    Started(#[n(0)] UnderWay),
    /// The first event came.
    #[n(1)]
    Began(#[n(0)] u64),
    /// It ended.
    #[n(2)]
    Ended(#[n(0)] u64, #[n(1)] End),
}

/// What a sender tells a placer without a question. It may be lost, doubled or late: a [`Report::Whole`] mends that.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub enum Report {
    /// What happened since the last report, in order.
    #[n(0)]
    Events {
        /// The sender.
        #[n(0)]
        sender: Incarnation,
        /// The events.
        #[n(1)]
        events: Vec<Event>,
    },
    /// All that the sender has under way at backends of the placer's zone.
    #[n(1)]
    Whole {
        /// The sender.
        #[n(0)]
        sender: Incarnation,
        /// Counts the sender's reports of this kind to any placer: an older one changes nothing.
        #[n(1)]
        sequence: u64,
        /// Numbers up to this one had been drawn: a later attempt is not denied by its absence.
        #[n(2)]
        newest: u64,
        /// The attempts.
        #[n(3)]
        under_way: Vec<UnderWay>,
    },
}

impl Report {
    /// Who sent it.
    pub fn sender(&self) -> Incarnation {
        match self {
            Report::Events { sender, .. } | Report::Whole { sender, .. } => *sender,
        }
    }
}
