//! Metrics of the network between the tier's processes.

use super::family::{label, Counter, CounterFamily, CounterGrid, Description, Registrar};
use crate::internal::frame::{Frame, FrameKind};
use crate::internal::ServiceId;

const SENT_BYTES: Description = Description {
    name: "alderhollow_internal_sent_bytes_total",
    help: "Bytes of frames given to connections, by service and kind of frame",
};
const RECEIVED_BYTES: Description = Description {
    name: "alderhollow_internal_received_bytes_total",
    help: "Bytes of frames read from connections, by service and kind of frame",
};
const DROPPED: Description = Description {
    name: "alderhollow_internal_frames_dropped_total",
    help: "Frames dropped because the queue of their peer was full, by kind of frame",
};
const CONNECTIONS: Description = Description {
    name: "alderhollow_internal_connections_begun_total",
    help: "Connections to peers that were begun",
};
const CONNECTIONS_FAILED: Description = Description {
    name: "alderhollow_internal_connections_failed_total",
    help: "Connections to peers that did not come up",
};
const TIMED_OUT: Description = Description {
    name: "alderhollow_internal_calls_timed_out_total",
    help: "Calls without an answer in time, by service",
};

label! {
    /// Service of a frame.
    Service named "service" {
        /// Between the members of the core.
        Core => "core",
        /// Polls for tables.
        Distribution => "distribution",
        /// Calls of gateways to stores.
        Batch => "batch",
        /// Between stores.
        Replication => "replication",
        /// Operators' questions.
        Status => "status",
        /// Between senders and placers.
        Placement => "placement",
        /// None that this version knows.
        Unknown => "unknown",
    }
}

label! {
    /// Kind of a frame.
    Kind named "kind" {
        /// Wants an answer.
        Request => "request",
        /// An answer or a refusal.
        Answer => "answer",
        /// Wants nothing.
        Notice => "notice",
    }
}

impl From<Option<ServiceId>> for Service {
    fn from(service: Option<ServiceId>) -> Service {
        match service {
            Some(ServiceId::Core) => Service::Core,
            Some(ServiceId::Distribution) => Service::Distribution,
            Some(ServiceId::Batch) => Service::Batch,
            Some(ServiceId::Replication) => Service::Replication,
            Some(ServiceId::Status) => Service::Status,
            Some(ServiceId::Placement) => Service::Placement,
            None => Service::Unknown,
        }
    }
}

impl From<FrameKind> for Kind {
    fn from(kind: FrameKind) -> Kind {
        match kind {
            FrameKind::Request => Kind::Request,
            FrameKind::Notice => Kind::Notice,
            FrameKind::Response | FrameKind::Refused => Kind::Answer,
        }
    }
}

/// Metrics of the internal network.
pub struct InternalMetrics {
    sent_bytes: CounterGrid<Service, Kind>,
    received_bytes: CounterGrid<Service, Kind>,
    dropped: CounterFamily<Kind>,
    connections: Counter,
    connections_failed: Counter,
    timed_out: CounterFamily<Service>,
}

impl InternalMetrics {
    pub(super) fn new(registrar: &Registrar) -> InternalMetrics {
        InternalMetrics {
            sent_bytes: registrar.counter_grid(&SENT_BYTES),
            received_bytes: registrar.counter_grid(&RECEIVED_BYTES),
            dropped: registrar.counters(&DROPPED),
            connections: registrar.counter(&CONNECTIONS),
            connections_failed: registrar.counter(&CONNECTIONS_FAILED),
            timed_out: registrar.counters(&TIMED_OUT),
        }
    }

    /// A frame is about to be written.
    pub fn sent(&self, frame: &Frame) {
        self.sent_bytes
            .of(frame.service.into(), frame.kind.into())
            .add(frame.encoded_bytes() as u64);
    }

    /// A frame was read.
    pub fn received(&self, frame: &Frame) {
        self.received_bytes
            .of(frame.service.into(), frame.kind.into())
            .add(frame.encoded_bytes() as u64);
    }

    /// The queue of a frame's peer was full.
    pub fn dropped(&self, kind: FrameKind) {
        self.dropped.of(kind.into()).increment();
    }

    /// A connection is begun.
    pub fn connecting(&self) {
        self.connections.increment();
    }

    /// A connection did not come up.
    pub fn connection_failed(&self) {
        self.connections_failed.increment();
    }

    /// A call had no answer in time.
    pub fn timed_out(&self, service: ServiceId) {
        self.timed_out.of(Some(service).into()).increment();
    }

    /// Bytes sent for a service so far.
    pub fn sent_bytes(&self, service: Service) -> u64 {
        self.sent_bytes.sum(service)
    }

    /// Bytes received for a service so far.
    pub fn received_bytes(&self, service: Service) -> u64 {
        self.received_bytes.sum(service)
    }
}
