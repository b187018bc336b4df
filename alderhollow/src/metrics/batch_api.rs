//! Metrics of the gateways' batch interface.

use super::family::{label, Counter, CounterFamily, Description, Durations, Registrar};
use crate::batch_protocol::StoreCall;
use hyper::StatusCode;
use std::time::Duration;

const OFFERED: Description = Description {
    name: "alderhollow_batch_jobs_offered_total",
    help: "Batch jobs that clients handed in",
};
const OFFERED_BYTES: Description = Description {
    name: "alderhollow_batch_jobs_offered_bytes_total",
    help: "Bytes of the bodies of batch jobs that clients handed in",
};
const REFUSED_BY_COIN: Description = Description {
    name: "alderhollow_batch_jobs_refused_by_coin_total",
    help: "Batch jobs refused at the door, by the drawing for the tenant's quota: no store had accepted them",
};
const ANSWERS: Description = Description {
    name: "alderhollow_batch_job_answers_total",
    help: "Answers to clients that handed in a batch job, by status",
};
const ANSWER_SECONDS: Description = Description {
    name: "alderhollow_batch_job_answer_seconds",
    help: "Time from the head of a handed in batch job to its answer",
};
const HAND_OVERS: Description = Description {
    name: "alderhollow_batch_hand_overs_total",
    help: "Tries to hand a batch job with its bodies over to a store",
};
const HAND_OVER_BYTES: Description = Description {
    name: "alderhollow_batch_hand_over_bytes_total",
    help: "Bytes of the messages that handed batch jobs over to a store",
};
const ASKED_AGAIN: Description = Description {
    name: "alderhollow_batch_asked_again_total",
    help: "Calls to stores that were tried again, by kind of call",
};

label! {
    /// Status of an answer to a batch job.
    AnswerStatus named "status" {
        /// Accepted.
        Accepted => "202",
        /// Not a batch job.
        BadRequest => "400",
        /// Over the quota.
        OverQuota => "429",
        /// Not served.
        NotNow => "503",
        /// Its end is unknown.
        Unknown => "504",
        /// Any other.
        Other => "other",
    }
}

label! {
    /// Kind of a call to a store.
    CallKind named "call" {
        /// A batch job is handed over.
        Submit => "submit",
        /// Results are read.
        Read => "read",
        /// An item's body is read.
        Body => "body",
        /// A batch job is ended.
        End => "end",
        /// A batch job is offered.
        Offer => "offer",
        /// A group reports what it uses of a limit.
        Quota => "quota",
    }
}

impl From<StatusCode> for AnswerStatus {
    fn from(status: StatusCode) -> AnswerStatus {
        match status {
            StatusCode::ACCEPTED => AnswerStatus::Accepted,
            StatusCode::BAD_REQUEST => AnswerStatus::BadRequest,
            StatusCode::TOO_MANY_REQUESTS => AnswerStatus::OverQuota,
            StatusCode::SERVICE_UNAVAILABLE => AnswerStatus::NotNow,
            StatusCode::GATEWAY_TIMEOUT => AnswerStatus::Unknown,
            _ => AnswerStatus::Other,
        }
    }
}

impl From<&StoreCall> for CallKind {
    fn from(call: &StoreCall) -> CallKind {
        match call {
            StoreCall::Submit { .. } => CallKind::Submit,
            StoreCall::Read { .. } => CallKind::Read,
            StoreCall::Body { .. } => CallKind::Body,
            StoreCall::End(_) => CallKind::End,
            StoreCall::Offer { .. } => CallKind::Offer,
            StoreCall::Quota(_) => CallKind::Quota,
        }
    }
}

/// Metrics of the batch interface.
pub struct BatchApiMetrics {
    offered: Counter,
    offered_bytes: Counter,
    refused_by_coin: Counter,
    answers: CounterFamily<AnswerStatus>,
    answer_seconds: Durations,
    hand_overs: Counter,
    hand_over_bytes: Counter,
    asked_again: CounterFamily<CallKind>,
}

impl BatchApiMetrics {
    pub(super) fn new(registrar: &Registrar) -> BatchApiMetrics {
        BatchApiMetrics {
            offered: registrar.counter(&OFFERED),
            offered_bytes: registrar.counter(&OFFERED_BYTES),
            refused_by_coin: registrar.counter(&REFUSED_BY_COIN),
            answers: registrar.counters(&ANSWERS),
            answer_seconds: registrar.durations(&ANSWER_SECONDS),
            hand_overs: registrar.counter(&HAND_OVERS),
            hand_over_bytes: registrar.counter(&HAND_OVER_BYTES),
            asked_again: registrar.counters(&ASKED_AGAIN),
        }
    }

    /// A client handed a batch job in, with a body of this size.
    pub fn offered(&self, bytes: usize) {
        self.offered.increment();
        self.offered_bytes.add(bytes as u64);
    }

    /// The drawing for a tenant's quota refused a batch job.
    pub fn refused_by_coin(&self) {
        self.refused_by_coin.increment();
    }

    /// A batch job was answered.
    pub fn answered(&self, status: StatusCode, after: Duration) {
        self.answers.of(status.into()).increment();
        self.answer_seconds.observe(after);
    }

    /// A batch job goes to a store in a message of this size.
    pub fn handed_over(&self, bytes: usize) {
        self.hand_overs.increment();
        self.hand_over_bytes.add(bytes as u64);
    }

    /// A call goes on to its next try.
    pub fn asked_again(&self, call: &StoreCall) {
        self.asked_again.of(call.into()).increment();
    }
}
