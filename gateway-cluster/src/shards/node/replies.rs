//! The leader's handling of replies: promises, votes, lease acknowledgements, and proposals that other nodes submit.

use super::term::{PromiseReply, Stage, Term};
use super::ShardMapNode;
use crate::leadership::election::LeaderElection;
use crate::leadership::longer;
use crate::protocol::{Micros, Transmit};
use crate::shards::wire::{truncated_findings, Datagram, Kind};

impl ShardMapNode {
    /// Handles a reply of a follower. Replies to an earlier ballot or epoch are ignored.
    pub(super) fn on_reply(
        &mut self,
        now: Micros,
        term: &mut Term,
        datagram: Datagram,
        election: &LeaderElection,
        sends: &mut Vec<Transmit>,
    ) {
        let Datagram {
            from,
            incarnation,
            kind,
            ..
        } = datagram;
        match kind {
            Kind::Promise {
                ballot,
                report,
                had_lease,
                lease_uncertainty_ms,
            } if ballot == term.ballot() => {
                if had_lease {
                    term.granted_leases.record_prior_lease(from, incarnation);
                }
                if let Stage::Preparing(replies) = &mut term.stage {
                    let uncertain_until = now + longer(Micros::from(lease_uncertainty_ms) * 1000);
                    let reply = PromiseReply {
                        report,
                        had_lease,
                        uncertain_until,
                    };
                    replies.insert(from, reply);
                }
            }
            Kind::Accepted(ballot, hash) if ballot == term.ballot() => {
                if let Stage::Deciding(decision) = &mut term.stage {
                    if decision.id.hash == hash {
                        decision.accepted.insert(from);
                    }
                }
            }
            Kind::Rejected(ballot, hash, findings) if ballot == term.ballot() => {
                if let Stage::Deciding(decision) = &mut term.stage {
                    if decision.id.hash == hash && !decision.accepted.contains(&from) {
                        decision.rejected.insert(from, findings);
                    }
                }
            }
            Kind::AcknowledgeLease {
                epoch,
                version,
                had_lease,
            } if epoch == term.epoch => {
                let might_be_granted = term.granted_leases.may_grant(now, from, incarnation);
                if had_lease {
                    term.granted_leases.record_prior_lease(from, incarnation);
                }
                term.granted_leases.acknowledge(from, incarnation, version);
                if let Some(schedule) = term.schedules.get_mut(&from) {
                    if !might_be_granted && term.granted_leases.may_grant(now, from, incarnation) {
                        (schedule.lease_at, schedule.leases_sent) = (now, 0);
                    }
                }
            }
            Kind::SubmitProposal(hash) => {
                let Some(map) = self.find(hash).cloned() else {
                    return;
                };
                if let Some((state, findings)) = Self::on_proposal(now, term, hash, &map) {
                    let result = Kind::ProposalResult {
                        hash,
                        state,
                        findings: truncated_findings(&findings),
                    };
                    self.send(election, from, None, result, sends);
                }
            }
            _ => {}
        }
    }
}
