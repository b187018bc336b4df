//! Ownership of customers: changes of the cluster, the aggregator of the owned customers, and the verdicts of other
//! owners.

use super::sending::VERDICT_RESERVE;
use super::{owns_key, token_in_force, ClusterContext, SessionClassifier};
use crate::membership::PartitionSide;
use crate::peers::{peer_id_of, PeerId};
use crate::protocol::{Micros, PeerState};
use crate::sessions::verdicts::{Input, Output, OwnerContext, Verdict, VerdictRejection};
use crate::sessions::Customer;
use crate::shards::Key;

/// Maximum number of gateways kept for a customer.
const MAX_GATEWAYS: usize = 8;

/// A peer, as the membership sees it.
#[derive(Debug, Clone, Copy)]
pub(super) struct PeerView {
    pub(super) id: PeerId,
    /// When the membership last listed it as not dead.
    pub(super) alive_at: Micros,
    pub(super) is_dead: bool,
}

impl SessionClassifier {
    /// Takes over the state of the cluster; a gain of keys starts a collection of reports.
    pub(super) fn sync_with_cluster(&mut self, now: Micros, cluster: &ClusterContext<'_>) {
        self.budget.fill(now);
        self.majority = matches!(
            cluster.side,
            PartitionSide::Complete | PartitionSide::Majority
        );
        self.gateways.retain(|name, _| cluster.names.contains(name));
        for (name, state) in cluster.names.iter().zip(cluster.states) {
            let id = peer_id_of(name);
            let seen = self.gateways.entry(name.clone()).or_insert(PeerView {
                id,
                alive_at: 0,
                is_dead: true,
            });
            seen.is_dead = *state == PeerState::Dead && id != self.me;
            if seen.is_dead {
                // A peer that returns is asked for what it has counted meanwhile.
                self.collected.remove(&id);
            } else {
                seen.alive_at = now;
            }
        }
        self.verdicts
            .observe_token(token_in_force(cluster.shard_map));
        let owned = if cluster.silent {
            Vec::new()
        } else {
            cluster.shard_map.owned_ranges(now)
        };
        if owned == self.owned {
            return;
        }
        let previously_owned = std::mem::replace(&mut self.owned, owned);
        if self
            .owned
            .iter()
            .any(|range| !covers(&previously_owned, *range))
        {
            self.collection = self.collection.wrapping_add(1).max(1);
            self.collected.clear();
            self.queues
                .values_mut()
                .for_each(|queue| queue.collection_sent_at = None);
            let owned = &self.owned;
            self.evidence.resend(|customer| owns_key(owned, customer));
        }
    }

    /// Records that a gateway sees a customer that is owned here.
    pub(super) fn add_reporting_gateway(&mut self, gateway: &str, customer: Customer) {
        if !self.reporting_gateways.contains_key(&customer)
            && self.reporting_gateways.len() >= self.max_customers
        {
            return;
        }
        let gateways = self.reporting_gateways.entry(customer).or_default();
        if gateways.iter().any(|known| known == gateway) {
            return;
        }
        if gateways.len() >= MAX_GATEWAYS {
            gateways.retain(|known| self.gateways.get(known).is_some_and(|seen| !seen.is_dead));
        }
        if gateways.len() < MAX_GATEWAYS {
            gateways.push(gateway.to_string());
        }
    }

    /// Queues the report of a customer for its owner.
    pub(super) fn queue_report(
        &mut self,
        now: Micros,
        customer: Customer,
        cluster: &ClusterContext<'_>,
    ) {
        if owns_key(&self.owned, customer) {
            self.report_to_self(now, customer, cluster);
            return;
        }
        // Without an owner there is nothing to send: the next owner starts a collection.
        let owner = cluster
            .shard_map
            .map()
            .and_then(|map| map.owner_of(customer));
        let Some(owner) = owner.filter(|owner| *owner != self.name) else {
            return;
        };
        let is_urgent = self.evidence.is_urgent(customer);
        let queue = self.queues.entry(peer_id_of(owner)).or_default();
        queue.reports.insert(customer);
        queue.is_urgent |= is_urgent;
    }

    /// Passes the report of this gateway on to its own aggregator.
    fn report_to_self(&mut self, now: Micros, customer: Customer, cluster: &ClusterContext<'_>) {
        let name = self.name.clone();
        self.add_reporting_gateway(&name, customer);
        let pooling = self.pooling(now, customer, cluster.shard_map);
        let report = self.evidence.report(now, customer, pooling);
        self.run_aggregator(now, Input::Report(report), cluster);
    }

    /// Passes an input to the aggregator and queues its outputs.
    pub(super) fn run_aggregator(
        &mut self,
        now: Micros,
        input: Input,
        cluster: &ClusterContext<'_>,
    ) {
        let (reporting_gateways, gateways, owned) =
            (&self.reporting_gateways, &self.gateways, &self.owned);
        let all = || gateways.keys().cloned().collect();
        let context = OwnerContext {
            token: token_in_force(cluster.shard_map),
            owns: &|customer| owns_key(owned, customer),
            gateways_of: &|customer| {
                reporting_gateways
                    .get(&customer)
                    .cloned()
                    .unwrap_or_else(all)
            },
            is_gone: &|gateway| gateways.get(gateway).is_none_or(|seen| seen.is_dead),
            may_relax: self.majority && self.has_collected_all(),
        };
        let mut outputs = Vec::new();
        self.aggregator.on_input(now, input, &context, &mut outputs);
        for output in outputs {
            match output {
                // The report of this gateway itself is passed on directly.
                Output::RequestReport { gateway, customer } if gateway == self.name => {
                    self.report_to_self(now, customer, cluster);
                }
                Output::RequestReport { gateway, customer } => {
                    self.queues
                        .entry(peer_id_of(&gateway))
                        .or_default()
                        .requests
                        .insert(customer);
                }
                Output::SendVerdict { gateway, verdict } if gateway == self.name => {
                    self.on_verdict(now, &gateway, verdict, cluster);
                }
                Output::SendVerdict { gateway, verdict } => {
                    let repeats = self.aggregator.is_repeating(verdict.customer);
                    if !repeats || self.budget.has(1.0, VERDICT_RESERVE) {
                        self.queues
                            .entry(peer_id_of(&gateway))
                            .or_default()
                            .verdicts
                            .insert(verdict.customer);
                    }
                }
            }
        }
    }

    /// Applies the verdict of an owner.
    pub(super) fn on_verdict(
        &mut self,
        now: Micros,
        from: &str,
        verdict: Verdict,
        cluster: &ClusterContext<'_>,
    ) {
        let customer = verdict.customer;
        let map = cluster
            .shard_map
            .map()
            .filter(|_| verdict.token == token_in_force(cluster.shard_map));
        if map.is_some_and(|map| map.owner_of(customer) != Some(from)) {
            self.rejected.superseded += 1;
            return;
        }
        match self.verdicts.on_verdict(now, verdict, self.majority) {
            Ok(()) => {
                let pooling = self.verdicts.in_force(now, customer, now, self.majority);
                self.evidence.set_pooling(customer, pooling);
            }
            Err(VerdictRejection::Superseded { .. }) => self.rejected.superseded += 1,
            Err(VerdictRejection::Outdated) => self.rejected.outdated += 1,
            Err(VerdictRejection::Minority) => self.rejected.minority += 1,
            Err(VerdictRejection::Full(_)) => self.rejected.table_full += 1,
        }
    }
}

/// Whether a range lies within one of these.
fn covers(ranges: &[(Key, Key)], (from, to): (Key, Key)) -> bool {
    ranges.iter().any(|range| range.0 <= from && to <= range.1)
}
