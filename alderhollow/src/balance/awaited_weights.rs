//! Requests that expect a version of model weights: what a balancer knows about the backends of a service, and whose
//! report is requested next while no backend is known to have the version.

use super::backends::Member;
use super::choice;
use super::health::HealthState;
use super::weights::{WeightsMatch, WeightsSource, WeightsVersion};
use super::{Balancer, ExpectedWeights, Millis, SelectionRequest, WeightsAvailability};
use alderhollow_model::backend::Backend;
use std::sync::Arc;

/// Reports are requested for this long after a request has expected a version that no backend is known to have.
const AWAITED_TTL_MS: Millis = 5000.0;
/// Minimum interval between two requests for reports by this process, and the same in a fleet in which all senders request
/// reports: the fleet's interval times their number.
const REPORT_SPACING_MS: Millis = 25.0;
const FLEET_REPORT_SPACING_MS: Millis = 2.5;

/// The next request for a report.
#[derive(Debug, Clone, PartialEq)]
pub enum ReportRequest {
    /// No request waits for a version.
    None,
    /// Not before this many milliseconds have passed.
    In(Millis),
    /// The backend to ask now.
    Now(Arc<Backend>),
}

impl Balancer {
    /// Records a version that a backend showed.
    pub fn show_weights(
        &mut self,
        now: Millis,
        backend: &str,
        model: u64,
        version: WeightsVersion,
        source: WeightsSource,
    ) {
        if let Some(member) = self.table.member_mut(backend) {
            member.weights.show(now, model, version, source);
        }
    }

    /// Records that a backend declined a request because its weights have another version, and the version that it
    /// showed.
    pub fn refuse_weights(
        &mut self,
        now: Millis,
        backend: &str,
        expected: ExpectedWeights,
        shown: Option<WeightsVersion>,
    ) {
        let random = self.rng.rand_float();
        if let Some(member) = self.table.member_mut(backend) {
            member.weights.refuse(now, expected, shown, random);
        }
    }

    /// Whether a request that expects a version may be sent to a backend of a service. A service without backends
    /// counts as available: the selection tells that it has none.
    pub fn weights_availability(
        &mut self,
        now: Millis,
        service: &str,
        expected: ExpectedWeights,
    ) -> WeightsAvailability {
        self.note_awaited_weights(now, service, expected);
        let mut retry_at: Option<Millis> = None;
        let mut on_trial = false;
        for member in self.ready_members(service) {
            let found = member.weights.match_of(now, expected);
            let until = match (found, member.health.state(now)) {
                (WeightsMatch::Other(until), _)
                | (_, HealthState::Ejected(until) | HealthState::OtherInstance(until)) => until,
                (WeightsMatch::HalfOpen, _) => {
                    on_trial = true;
                    continue;
                }
                (WeightsMatch::Matching | WeightsMatch::Unknown, _) => {
                    return WeightsAvailability::Available
                }
            };
            retry_at = Some(retry_at.map_or(until, |earliest| earliest.min(until)));
        }
        match retry_at {
            _ if on_trial => WeightsAvailability::OnTrial,
            Some(retry_at) => WeightsAvailability::Missing {
                retry_after_ms: (retry_at - now).max(0.0),
            },
            None => WeightsAvailability::Available,
        }
    }

    /// The backends that a request must not be sent to because of the version that it expects.
    pub fn excluded_by_weights(&self, now: Millis, request: &SelectionRequest) -> Vec<String> {
        let pool = self.table.pools.get(request.service);
        pool.map(|pool| choice::excluded_by_weights(now, pool, request))
            .unwrap_or_default()
    }

    /// The backend whose report is to be requested next: the one that was asked least recently, among those of the
    /// services that lack an expected version.
    pub fn next_report(&mut self, now: Millis) -> ReportRequest {
        self.awaited_weights
            .retain(|_, wanted_at| now - *wanted_at <= AWAITED_TTL_MS);
        let Some((due_at, backend)) = self.earliest_report() else {
            return ReportRequest::None;
        };
        let due_at = due_at.max(self.report_requested_at + self.report_spacing_ms());
        if now < due_at {
            return ReportRequest::In(due_at - now);
        }
        self.report_requested_at = now;
        if let Some(member) = self.table.member_mut(&backend.id) {
            member.weights.report_requested(now);
        }
        ReportRequest::Now(backend)
    }

    /// The backend whose report is due first, and when. Of several, the one that this process ranks first: processes
    /// that await the same version ask different backends at a time.
    fn earliest_report(&self) -> Option<(Millis, Arc<Backend>)> {
        let services = self.awaited_weights.keys();
        let members = services.flat_map(|service| self.ready_members(service));
        let due = members.map(|member| {
            let rank = self.senders.rank_of_backend(member.id_hash);
            (member.weights.report_due_at(), rank, &member.backend)
        });
        let (due_at, _, backend) =
            due.min_by(|(due_at, rank, _), (other_due_at, other_rank, _)| {
                due_at.total_cmp(other_due_at).then(rank.cmp(other_rank))
            })?;
        Some((due_at, backend.clone()))
    }

    /// The interval between two requests for reports by this process. Backends get as many from all processes together in
    /// a large fleet as in one of a few processes.
    fn report_spacing_ms(&self) -> Millis {
        let senders = self.senders.count() as f64;
        REPORT_SPACING_MS.max(FLEET_REPORT_SPACING_MS * senders)
    }

    /// Records that a backend's report was read.
    pub fn report_read(&mut self, backend: &str) {
        if let Some(member) = self.table.member_mut(backend) {
            member.weights.report_read();
        }
    }

    /// Notes that a service lacks a version, if no backend that may be selected is known to have it.
    pub(super) fn note_awaited_weights(
        &mut self,
        now: Millis,
        service: &str,
        expected: ExpectedWeights,
    ) {
        let has_it = |member: &Member| member.may_run_with(now, expected);
        if !self.ready_members(service).any(has_it) {
            self.awaited_weights.insert(service.to_string(), now);
        }
    }

    fn ready_members(&self, service: &str) -> impl Iterator<Item = &Member> {
        let pool = self.table.pools.get(service);
        let members = pool.into_iter().flat_map(|pool| &pool.members);
        members.filter(|member| member.may_get_requests())
    }
}
