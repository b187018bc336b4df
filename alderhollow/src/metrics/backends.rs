//! Metrics of what backends say about themselves and their weights.

use super::family::{label, Counter, CounterFamily, Description, Registrar};
use alderhollow_dataplane::malformed::MalformedResponse;

const MISDIRECTED: Description = Description {
    name: "alderhollow_backend_misdirected_total",
    help: "Responses with status 421, by the reason that the evidence shows",
};
const EXCLUSIONS: Description = Description {
    name: "alderhollow_backend_exclusions_total",
    help: "Backends that get no requests for a time, because another instance answered at their address",
};
const RETURNS: Description = Description {
    name: "alderhollow_backend_returns_total",
    help: "Excluded backends that answered as themselves again",
};
const WEIGHTS_REPORTS: Description = Description {
    name: "alderhollow_backend_weights_reports_total",
    help: "Reports that were requested from backends, because requests wait for a version of the weights",
};
const CONNECTIONS_REFUSED: Description = Description {
    name: "alderhollow_backend_connections_refused_total",
    help: "Connections to backends that the system refused to this process: no descriptor, port or memory was left",
};
const UNSERVED: Description = Description {
    name: "alderhollow_backend_unserved_attempts_total",
    help: "Attempts at a backend that brought no response of one that ran the request, by what is known of the request",
};
const MALFORMED: Description = Description {
    name: "alderhollow_backend_malformed_responses_total",
    help: "Responses of backends that were refused as malformed, by the rule that they break",
};
const PASSED_OVER: Description = Description {
    name: "alderhollow_backend_connections_passed_over_total",
    help: "Idle connections that were not used for a request, as they had carried an earlier attempt of it",
};

label! {
    /// What is known of a request that was not served by an attempt.
    UnservedEvidence named "evidence" {
        /// No byte was written: it has not run.
        NothingWritten => "nothing_written",
        /// A part was written: it may have run.
        PartlyWritten => "partly_written",
        /// All was written: it may have run.
        WhollyWritten => "wholly_written",
        /// The backend declined it: it has not run.
        Declined => "declined",
    }
}

label! {
    /// The reason for a 421.
    MisdirectionReason named "reason" {
        /// Another instance answers at the address.
        OtherInstance => "other_instance",
        /// The weights are not those that the request expects.
        OtherWeights => "other_weights",
        /// The evidence contradicts both.
        Unexplained => "unexplained",
    }
}

label! {
    /// The part of a response that breaks a rule.
    MalformedRule named "rule" {
        /// A line does not end with CR LF.
        LineEnd => "line_end",
        /// The status line or the status.
        Status => "status",
        /// A line of the head is no field, or the head is too large.
        Field => "field",
        /// `Content-Length` or `Transfer-Encoding`.
        Framing => "framing",
        /// A chunk or the trailer section.
        Chunk => "chunk",
        /// A part of a line, before the line was complete.
        Unreadable => "unreadable",
    }
}

impl From<MalformedResponse> for MalformedRule {
    fn from(malformed: MalformedResponse) -> MalformedRule {
        match malformed {
            MalformedResponse::LineEnd => MalformedRule::LineEnd,
            MalformedResponse::StatusLine | MalformedResponse::Status(_) => MalformedRule::Status,
            MalformedResponse::FieldName
            | MalformedResponse::FieldValue
            | MalformedResponse::TooManyFields
            | MalformedResponse::HeadTooLarge => MalformedRule::Field,
            MalformedResponse::ContentLength
            | MalformedResponse::TransferEncoding
            | MalformedResponse::ConflictingLengths
            | MalformedResponse::UnexpectedBody(_) => MalformedRule::Framing,
            MalformedResponse::ChunkSize
            | MalformedResponse::ChunkExtension
            | MalformedResponse::ChunkEnd
            | MalformedResponse::Trailer => MalformedRule::Chunk,
            MalformedResponse::Unreadable => MalformedRule::Unreadable,
        }
    }
}

label! {
    /// The result of a request for a report.
    ReportResult named "result" {
        /// It names versions of weights.
        Read => "read",
        /// None came in time, or it names no versions.
        Missing => "missing",
    }
}

/// Metrics of backends.
pub struct BackendMetrics {
    misdirected: CounterFamily<MisdirectionReason>,
    exclusions: Counter,
    returns: Counter,
    weights_reports: CounterFamily<ReportResult>,
    connections_refused: Counter,
    unserved: CounterFamily<UnservedEvidence>,
    malformed: CounterFamily<MalformedRule>,
    passed_over: Counter,
}

impl BackendMetrics {
    pub(super) fn new(registrar: &Registrar) -> BackendMetrics {
        BackendMetrics {
            misdirected: registrar.counters(&MISDIRECTED),
            exclusions: registrar.counter(&EXCLUSIONS),
            returns: registrar.counter(&RETURNS),
            weights_reports: registrar.counters(&WEIGHTS_REPORTS),
            connections_refused: registrar.counter(&CONNECTIONS_REFUSED),
            unserved: registrar.counters(&UNSERVED),
            malformed: registrar.counters(&MALFORMED),
            passed_over: registrar.counter(&PASSED_OVER),
        }
    }

    /// A backend answered 421.
    pub fn misdirected(&self, reason: MisdirectionReason) {
        self.misdirected.of(reason).add(1);
    }

    /// Another instance answered at a backend's address.
    pub fn excluded(&self) {
        self.exclusions.add(1);
    }

    /// An excluded backend answered as itself again.
    pub fn returned(&self) {
        self.returns.add(1);
    }

    /// A report of a backend was requested.
    pub fn weights_report(&self, result: ReportResult) {
        self.weights_reports.of(result).add(1);
    }

    /// An attempt brought no response of a backend that ran the request.
    pub fn unserved(&self, evidence: UnservedEvidence) {
        self.unserved.of(evidence).add(1);
    }

    /// A malformed response was refused.
    pub fn malformed_response(&self, rule: MalformedRule) {
        self.malformed.of(rule).add(1);
    }

    /// An idle connection was not used for a request, as it had carried an earlier attempt of it.
    pub fn connection_passed_over(&self) {
        self.passed_over.add(1);
    }

    /// The system refused this process a connection.
    pub fn connection_refused_by_system(&self) {
        self.connections_refused.add(1);
    }
}
