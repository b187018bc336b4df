//! State machine of one gateway: counts requests, owns the customers that the shard map assigns to it, and applies the
//! verdicts of other owners.
//!
//! **Collection of reports.** A gateway that gains keys requests all reports for them from each live gateway, once, and
//! relaxes no verdict before each of them has answered. Only then are all gateways known that see a customer: those
//! that have reported it. A gateway that returns after a failure is asked as well. So a gateway that is alive but
//! cannot be reached keeps this owner from relaxing verdicts; restricting them waits for nothing.
//!
//! **Rate limit.** In any time `t` at most 30 datagrams and 3 a second times `t` are sent, whatever customers do: the
//! rest waits, queued by customer and not by event, and is built when it is sent. Verdicts go first, then reports with
//! a new break; the repetitions of a verdict, and then the rest, may use the upper half of the token bucket only,
//! combined into one datagram a second for each gateway.
//!
//! **Memory.** 4,096 customers each: counted, owned, and with a verdict.
//!
//! No I/O and no clock; times are in microseconds. Driven by the cluster node.

mod ownership;
mod sending;

use super::evidence::{ConnectionUse, Evidence, Outcome};
use super::verdicts::{
    self, ConnectionPolicy, EvidenceSummary, Input, Verdict, VerdictAggregator, VerdictTable,
    PROBE_INTERVAL,
};
use super::wire::{Datagram, Kind, ReportMessage};
use super::{Backend, Customer, FencingToken, Pooling};
use crate::membership::PartitionSide;
use crate::peers::{peer_id_of, PeerId};
use crate::protocol::{Micros, PeerState, Transmit};
use crate::shards::node::ShardMapNode;
use crate::shards::{Key, KEYS};
use crate::token_bucket::TokenBucket;
use ownership::PeerView;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use sending::{CollectionId, PeerQueue};
use std::collections::{BTreeMap, BTreeSet};

/// Token bucket for datagrams: size, rate per second, and the fraction reserved for verdicts and reports of breaks.
pub const BURST: f64 = 30.0;
/// See [`BURST`].
pub const PER_SECOND: f64 = 3.0;
/// Timer intervals: with customers or queued items, and without.
const TICK: Micros = 100_000;
const IDLE_INTERVAL: Micros = 500_000;
/// Maximum number of reports taken up in one timer tick.
const MAX_REPORTS_PER_TICK: usize = 256;
/// Interval at which state of customers and gateways that are gone is dropped.
const CLEANUP_INTERVAL: Micros = 10_000_000;

/// Settings of the classifier.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ClassifierSettings {
    /// Maximum number of customers, each: counted, owned, and with a verdict.
    pub max_customers: usize,
}

impl Default for ClassifierSettings {
    fn default() -> ClassifierSettings {
        ClassifierSettings {
            max_customers: 4096,
        }
    }
}

/// State of the cluster at the time of an event.
pub struct ClusterContext<'a> {
    /// The shard map: who owns which customer.
    pub shard_map: &'a ShardMapNode,
    /// Names of the peer set, and the membership's state for each.
    pub names: &'a [String],
    /// See `names`.
    pub states: &'a [PeerState],
    /// Side of the network partition that this gateway is on.
    pub side: PartitionSide,
    /// The gateway shuts down, or another process has its name: nothing is sent.
    pub silent: bool,
}

/// Status of a customer for operators.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ClassifierStatus {
    /// Its owner, as far as this gateway knows.
    pub owner: Option<String>,
    /// The classification that applies at this gateway.
    pub pooling: Pooling,
    /// Fencing token of the verdict, or of the map in force if there is no verdict.
    pub fence: FencingToken,
    /// Time since the last evidence for it, in microseconds.
    pub age: Micros,
    /// Gateways whose reports were used.
    pub reports: Vec<String>,
    /// Their counts.
    pub evidence: EvidenceSummary,
}

/// Number of rejected verdicts, by cause.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct VerdictRejections {
    /// The fencing token is outdated, or the sender does not own the customer in the map in force.
    pub superseded: u64,
    /// A later verdict is known.
    pub outdated: u64,
    /// The verdict would be relaxed on a minority side.
    pub minority: u64,
    /// The table of verdicts is full.
    pub table_full: u64,
}

/// Classifier of one incarnation of a gateway.
#[derive(Debug)]
pub struct SessionClassifier {
    me: PeerId,
    name: String,
    incarnation: u64,
    max_customers: usize,
    evidence: Evidence,
    aggregator: VerdictAggregator,
    verdicts: VerdictTable,
    reporting_gateways: BTreeMap<Customer, Vec<String>>,
    gateways: BTreeMap<String, PeerView>,
    majority: bool,
    owned: Vec<(Key, Key)>,
    collection: u32,
    collected: BTreeSet<PeerId>,
    queues: BTreeMap<PeerId, PeerQueue>,
    /// The peer that the last datagram went to.
    last_recipient: PeerId,
    probed_at: BTreeMap<Customer, Micros>,
    budget: TokenBucket,
    wakeup_at: Micros,
    cleanup_at: Micros,
    rng: Pcg64Mcg,
    /// Rejected verdicts.
    pub rejected: VerdictRejections,
    /// Dropped datagrams: those that cannot be decoded, and those from unknown peers or for other incarnations.
    pub dropped: (u64, u64),
    /// Sent datagrams, and their bytes without headers.
    pub sent: (u64, u64),
}

/// Sender of a datagram.
struct Sender<'a> {
    peer: PeerId,
    name: &'a str,
    incarnation: u64,
}

/// Whether a key lies in one of these sorted ranges.
fn owns_key(ranges: &[(Key, Key)], key: Key) -> bool {
    let index = ranges.partition_point(|(_, to)| *to <= key);
    ranges.get(index).is_some_and(|(from, _)| *from <= key)
}

fn token_in_force(shard_map: &ShardMapNode) -> FencingToken {
    shard_map
        .map()
        .map_or_else(FencingToken::default, |map| FencingToken {
            epoch: map.epoch,
            version: map.version,
        })
}

impl SessionClassifier {
    /// Starts without state. `incarnation` is higher than that of any earlier process of this name, for example the
    /// start time by the wall clock.
    pub fn new(
        now: Micros,
        name: &str,
        incarnation: u64,
        settings: ClassifierSettings,
        seed: u64,
    ) -> SessionClassifier {
        let max_customers = settings.max_customers.max(1);
        SessionClassifier {
            me: peer_id_of(name),
            name: name.to_string(),
            incarnation,
            max_customers,
            evidence: Evidence::new(name, incarnation, max_customers, seed),
            aggregator: VerdictAggregator::new(incarnation, max_customers),
            verdicts: VerdictTable::new(max_customers),
            reporting_gateways: BTreeMap::new(),
            gateways: BTreeMap::new(),
            majority: false,
            owned: Vec::new(),
            collection: 0,
            collected: BTreeSet::new(),
            queues: BTreeMap::new(),
            last_recipient: 0,
            probed_at: BTreeMap::new(),
            budget: TokenBucket::full(now, BURST, PER_SECOND),
            wakeup_at: now,
            cleanup_at: now + CLEANUP_INTERVAL,
            rng: Pcg64Mcg::seed_from_u64(seed.rotate_left(8)),
            rejected: VerdictRejections::default(),
            dropped: (0, 0),
            sent: (0, 0),
        }
    }

    /// Records a finished request.
    pub fn record_request(
        &mut self,
        now: Micros,
        customer: Customer,
        backend: Backend,
        conn: ConnectionUse,
        outcome: Outcome,
    ) {
        // A number outside the key space has no owner.
        if customer < KEYS {
            self.evidence
                .record_request(now, customer, backend, conn, outcome);
        }
    }

    /// How a request of a customer gets its connection.
    pub fn connection_policy(
        &mut self,
        now: Micros,
        customer: Customer,
        shard_map: &ShardMapNode,
    ) -> ConnectionPolicy {
        let pooling = self.pooling(now, customer, shard_map);
        if pooling <= Pooling::Unknown {
            return verdicts::connection_policy(pooling, 0, self.rng.random());
        }
        if !self.probed_at.contains_key(&customer) && self.probed_at.len() >= self.max_customers {
            self.probed_at
                .retain(|_, at| now.saturating_sub(*at) < PROBE_INTERVAL);
            if self.probed_at.len() >= self.max_customers {
                return verdicts::connection_policy(pooling, 0, 1.0);
            }
        }
        let probed_at = now.saturating_sub(*self.probed_at.entry(customer).or_insert(now));
        let hold = verdicts::connection_policy(pooling, probed_at, 1.0);
        if hold == ConnectionPolicy::Any {
            self.probed_at.insert(customer, now);
        }
        hold
    }

    /// The classification that applies to a customer at this gateway.
    pub fn pooling(&self, now: Micros, customer: Customer, shard_map: &ShardMapNode) -> Pooling {
        if self.verdicts.verdict(customer).is_none() {
            return Pooling::Unknown;
        }
        let owner = shard_map.map().and_then(|map| map.owner_of(customer));
        let alive = match owner {
            Some(owner) if owner == self.name => now,
            Some(owner) => self.gateways.get(owner).map_or(0, |seen| seen.alive_at),
            None => 0,
        };
        self.verdicts.in_force(now, customer, alive, self.majority)
    }

    /// Status of a customer for operators.
    pub fn status(
        &self,
        now: Micros,
        customer: Customer,
        shard_map: &ShardMapNode,
    ) -> ClassifierStatus {
        let owner = shard_map
            .map()
            .and_then(|map| map.owner_of(customer))
            .map(String::from);
        let own = shard_map.fence_of(now, customer);
        let own = own.and_then(|token| self.aggregator.verdict(now, customer, token));
        let known_verdict = || {
            let (verdict, at) = self.verdicts.verdict(customer)?;
            let age = verdict.age.saturating_add(now.saturating_sub(at));
            Some(Verdict {
                age,
                pooling: self.pooling(now, customer, shard_map),
                ..verdict.clone()
            })
        };
        match own.or_else(known_verdict) {
            Some(Verdict {
                pooling,
                token,
                age,
                reports,
                evidence,
                ..
            }) => ClassifierStatus {
                owner,
                pooling,
                fence: token,
                age,
                reports,
                evidence,
            },
            None => ClassifierStatus {
                owner,
                pooling: Pooling::Unknown,
                fence: token_in_force(shard_map),
                age: 0,
                reports: Vec::new(),
                evidence: EvidenceSummary::default(),
            },
        }
    }

    /// Whether all live gateways have answered the collection of reports for the keys owned now.
    pub fn has_collected_all(&self) -> bool {
        let has_reported = |seen: &PeerView| {
            seen.is_dead || seen.id == self.me || self.collected.contains(&seen.id)
        };
        !self.owned.is_empty() && self.gateways.values().all(has_reported)
    }

    /// Counts of this gateway.
    pub fn evidence(&self) -> &Evidence {
        &self.evidence
    }

    /// When [`SessionClassifier::on_timer`] is wanted.
    pub fn next_wakeup(&self) -> Micros {
        self.wakeup_at
    }

    /// Runs what is due.
    pub fn on_timer(
        &mut self,
        now: Micros,
        cluster: &ClusterContext<'_>,
        sends: &mut Vec<Transmit>,
    ) {
        self.sync_with_cluster(now, cluster);
        for customer in self.evidence.due_reports(now, MAX_REPORTS_PER_TICK) {
            self.queue_report(now, customer, cluster);
        }
        self.run_aggregator(now, Input::Tick, cluster);
        if now >= self.cleanup_at {
            self.cleanup_at = now + CLEANUP_INTERVAL;
            let (aggregator, owned) = (&self.aggregator, &self.owned);
            self.reporting_gateways
                .retain(|&customer, _| owns_key(owned, customer) && aggregator.has(customer));
            let gateways: BTreeSet<PeerId> = self.gateways.values().map(|seen| seen.id).collect();
            self.queues.retain(|id, _| gateways.contains(id));
        }
        self.flush(now, cluster, sends);
        let idle = self.evidence.customers() == 0
            && self.reporting_gateways.is_empty()
            && self.queues.is_empty();
        self.wakeup_at = now + if idle { IDLE_INTERVAL } else { TICK };
    }

    /// Handles a datagram.
    pub fn on_datagram(
        &mut self,
        now: Micros,
        bytes: &[u8],
        cluster: &ClusterContext<'_>,
        sends: &mut Vec<Transmit>,
    ) {
        let Some(Datagram {
            from,
            incarnation,
            to_incarnation,
            kind,
        }) = Datagram::decode(bytes)
        else {
            self.dropped.0 += 1;
            return;
        };
        let name = cluster.names.iter().find(|name| peer_id_of(name) == from);
        let Some(name) = name.filter(|_| {
            from != self.me && (to_incarnation == 0 || to_incarnation == self.incarnation)
        }) else {
            self.dropped.1 += 1;
            return;
        };
        if cluster.silent {
            return;
        }
        self.sync_with_cluster(now, cluster);
        self.queues.entry(from).or_default().incarnation = incarnation;
        let sender = Sender {
            peer: from,
            name,
            incarnation,
        };
        match kind {
            Kind::CollectReports(number) => self.on_collection_request(&sender, number, cluster),
            Kind::RequestReports(customers) => self.on_report_request(&sender, customers),
            Kind::Report {
                completed_collection,
                counts,
            } => {
                for report in counts {
                    self.on_report(now, &sender, report, cluster);
                }
                if completed_collection != 0 && completed_collection == self.collection {
                    self.collected.insert(from);
                }
            }
            Kind::Verdicts { token, verdicts } => {
                let name_of = |id: PeerId| {
                    let known = cluster.names.iter().find(|name| peer_id_of(name) == id);
                    known.cloned().unwrap_or_else(|| format!("{id:08x}"))
                };
                for verdict in verdicts {
                    let verdict = verdict.verdict(token, incarnation, name_of);
                    self.on_verdict(now, name, verdict, cluster);
                }
            }
        }
        self.flush(now, cluster, sends);
    }

    /// A peer requests all reports of the customers that it owns.
    fn on_collection_request(
        &mut self,
        sender: &Sender<'_>,
        number: u32,
        cluster: &ClusterContext<'_>,
    ) {
        let collection = Some(CollectionId {
            incarnation: sender.incarnation,
            number,
        });
        let queue = self.queues.entry(sender.peer).or_default();
        if queue.answered_collection == collection {
            // All reports have been sent: the completion is repeated.
            queue.pending_collection = collection;
        } else if queue.pending_collection != collection {
            queue.pending_collection = collection;
            let map = cluster.shard_map.map();
            let is_owned_by_sender =
                |customer| map.and_then(|map| map.owner_of(customer)) == Some(sender.name);
            // The sender may own more by a map that this gateway does not have yet; those reports follow when the map
            // arrives.
            queue
                .reports
                .extend(self.evidence.resend(is_owned_by_sender));
        }
    }

    /// A peer requests the reports of some customers.
    fn on_report_request(&mut self, sender: &Sender<'_>, customers: Vec<Customer>) {
        let queue = self.queues.entry(sender.peer).or_default();
        let capacity = self.max_customers.saturating_sub(queue.reports.len());
        queue.reports.extend(customers.into_iter().take(capacity));
        queue.is_urgent = true;
    }

    /// Passes a report on to the aggregator if this gateway owns the customer.
    fn on_report(
        &mut self,
        now: Micros,
        sender: &Sender<'_>,
        report: ReportMessage,
        cluster: &ClusterContext<'_>,
    ) {
        if owns_key(&self.owned, report.customer()) {
            self.add_reporting_gateway(sender.name, report.customer());
            let report = report.report(sender.name, sender.incarnation);
            self.run_aggregator(now, Input::Report(report), cluster);
        }
    }
}
