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

use super::evidence::{ConnectionUse, Evidence, Outcome};
use super::verdicts::{
    self, ConnectionPolicy, EvidenceSummary, Input, Output, OwnerContext, Verdict,
    VerdictAggregator, VerdictRejection, VerdictTable, PROBE_INTERVAL,
};
use super::wire::{size, Datagram, Kind, ReportMessage, VerdictMessage, MAX_ITEM_BYTES};
use super::{Backend, Customer, FencingToken, Pooling};
use crate::membership::PartitionSide;
use crate::peers::{peer_id_of, PeerId};
use crate::protocol::{Micros, PeerState, Transmit};
use crate::shards::node::ShardMapNode;
use crate::shards::{Key, KEYS};
use crate::token_bucket::TokenBucket;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, BTreeSet};

/// Token bucket for datagrams: size, rate per second, and the fraction reserved for verdicts and reports of breaks.
pub const BURST: f64 = 30.0;
/// See [`BURST`].
pub const PER_SECOND: f64 = 3.0;
const VERDICT_RESERVE: f64 = 0.5;
/// Timer intervals: with customers or queued items, and without.
const TICK: Micros = 100_000;
const IDLE_INTERVAL: Micros = 500_000;
/// Minimum interval between two reports without a new break for one owner, and between two requests for a collection.
const REPORT_INTERVAL: Micros = 1_000_000;
/// Maximum number of reports taken up in one timer tick.
const MAX_REPORTS_PER_TICK: usize = 256;
/// Maximum number of gateways kept for a customer.
const MAX_GATEWAYS: usize = 8;
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
pub struct Refusals {
    /// The fencing token is outdated, or the sender does not own the customer in the map in force.
    pub old: u64,
    /// A later verdict is known.
    pub late: u64,
    /// The verdict would be relaxed on a minority side.
    pub minority: u64,
    /// The table of verdicts is full.
    pub full: u64,
}

/// A peer, as the membership sees it.
#[derive(Debug, Clone, Copy)]
struct PeerView {
    id: PeerId,
    alive_at: Micros,
    is_dead: bool,
}

/// Items queued for one peer.
#[derive(Debug, Default)]
struct PeerQueue {
    /// Incarnation of the peer as last received; 0 before that.
    incarnation: u64,
    verdicts: BTreeSet<Customer>,
    reports: BTreeSet<Customer>,
    /// One of the reports has a new break.
    is_urgent: bool,
    requests: BTreeSet<Customer>,
    /// When this gateway last requested a collection from the peer.
    collection_sent_at: Option<Micros>,
    /// The collection that the peer requested and that is not complete, as the peer's incarnation and its number; and
    /// the last one that was completed.
    pending_collection: Option<(u64, u32)>,
    answered_collection: Option<(u64, u32)>,
    reports_sent_at: Option<Micros>,
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
    pub refused: Refusals,
    /// Dropped datagrams: those that cannot be decoded, and those from unknown peers or for other incarnations.
    pub dropped: (u64, u64),
    /// Sent datagrams, and their bytes without headers.
    pub sent: (u64, u64),
}

fn owns_key(ranges: &[(Key, Key)], key: Key) -> bool {
    let place = ranges.partition_point(|(_, to)| *to <= key);
    ranges.get(place).is_some_and(|(from, _)| *from <= key)
}

fn fence_in_force(shard_map: &ShardMapNode) -> FencingToken {
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
            refused: Refusals::default(),
            dropped: (0, 0),
            sent: (0, 0),
        }
    }

    /// Records a finished request.
    pub fn note(
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
    pub fn hold(
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
        let own = own.and_then(|fence| self.aggregator.verdict(now, customer, fence));
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
                fence,
                age,
                reports,
                evidence,
                ..
            }) => ClassifierStatus {
                owner,
                pooling,
                fence,
                age,
                reports,
                evidence,
            },
            None => ClassifierStatus {
                owner,
                pooling: Pooling::Unknown,
                fence: fence_in_force(shard_map),
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
        around: &ClusterContext<'_>,
        sends: &mut Vec<Transmit>,
    ) {
        self.sync_with_cluster(now, around);
        for customer in self.evidence.due_reports(now, MAX_REPORTS_PER_TICK) {
            self.queue_report(now, customer, around);
        }
        self.run_aggregator(now, Input::Tick, around);
        if now >= self.cleanup_at {
            self.cleanup_at = now + CLEANUP_INTERVAL;
            let (aggregator, owned) = (&self.aggregator, &self.owned);
            self.reporting_gateways
                .retain(|&customer, _| owns_key(owned, customer) && aggregator.has(customer));
            let gateways: BTreeSet<PeerId> = self.gateways.values().map(|seen| seen.id).collect();
            self.queues.retain(|id, _| gateways.contains(id));
        }
        self.flush(now, around, sends);
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
        around: &ClusterContext<'_>,
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
        let name = around.names.iter().find(|name| peer_id_of(name) == from);
        let Some(name) = name.filter(|_| {
            from != self.me && (to_incarnation == 0 || to_incarnation == self.incarnation)
        }) else {
            self.dropped.1 += 1;
            return;
        };
        if around.silent {
            return;
        }
        self.sync_with_cluster(now, around);
        let queue = self.queues.entry(from).or_default();
        queue.incarnation = incarnation;
        match kind {
            Kind::CollectReports(number)
                if queue.answered_collection == Some((incarnation, number)) =>
            {
                queue.pending_collection = Some((incarnation, number));
            }
            Kind::CollectReports(number)
                if queue.pending_collection != Some((incarnation, number)) =>
            {
                queue.pending_collection = Some((incarnation, number));
                let map = around.shard_map.map();
                let theirs = |customer| map.and_then(|map| map.owner_of(customer)) == Some(name);
                // The sender may own more by a map that this gateway does not have yet; those reports follow when the
                // map arrives.
                queue.reports.extend(self.evidence.resend(theirs));
            }
            Kind::CollectReports(_) => {}
            Kind::RequestReports(customers) => {
                let remaining = self.max_customers.saturating_sub(queue.reports.len());
                queue.reports.extend(customers.into_iter().take(remaining));
                queue.is_urgent = true;
            }
            Kind::Report {
                completed_collection,
                counts,
            } => {
                for counts in counts {
                    if owns_key(&self.owned, counts.customer()) {
                        self.add_reporting_gateway(name, counts.customer());
                        self.run_aggregator(
                            now,
                            Input::Report(counts.report(name, incarnation)),
                            around,
                        );
                    }
                }
                if completed_collection != 0 && completed_collection == self.collection {
                    self.collected.insert(from);
                }
            }
            Kind::Verdicts { fence, verdicts } => {
                let name_of = |id: PeerId| {
                    let known = around.names.iter().find(|name| peer_id_of(name) == id);
                    known.cloned().unwrap_or_else(|| format!("{id:08x}"))
                };
                for verdicts in verdicts {
                    let verdict = verdicts.verdict(fence, incarnation, name_of);
                    self.on_verdict(now, name, verdict, around);
                }
            }
        }
        self.flush(now, around, sends);
    }

    /// Takes over the state of the cluster; a gain of keys starts a collection of reports.
    fn sync_with_cluster(&mut self, now: Micros, around: &ClusterContext<'_>) {
        self.budget.fill(now);
        self.majority = matches!(around.side, PartitionSide::Whole | PartitionSide::Majority);
        self.gateways.retain(|name, _| around.names.contains(name));
        for (name, state) in around.names.iter().zip(around.states) {
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
            .observe_token(fence_in_force(around.shard_map));
        let owned = if around.silent {
            Vec::new()
        } else {
            around.shard_map.mine(now)
        };
        if owned == self.owned {
            return;
        }
        let had = std::mem::replace(&mut self.owned, owned);
        if self.owned.iter().any(|range| !covers(&had, *range)) {
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
    fn add_reporting_gateway(&mut self, gateway: &str, customer: Customer) {
        if !self.reporting_gateways.contains_key(&customer)
            && self.reporting_gateways.len() >= self.max_customers
        {
            return;
        }
        let set = self.reporting_gateways.entry(customer).or_default();
        if set.iter().any(|known| known == gateway) {
            return;
        }
        if set.len() >= MAX_GATEWAYS {
            set.retain(|known| self.gateways.get(known).is_some_and(|seen| !seen.is_dead));
        }
        if set.len() < MAX_GATEWAYS {
            set.push(gateway.to_string());
        }
    }

    /// Queues the report of a customer for its owner.
    fn queue_report(&mut self, now: Micros, customer: Customer, around: &ClusterContext<'_>) {
        if owns_key(&self.owned, customer) {
            self.report_to_self(now, customer, around);
            return;
        }
        // Without an owner there is nothing to send: the next owner starts a collection.
        let owner = around
            .shard_map
            .map()
            .and_then(|map| map.owner_of(customer));
        let Some(owner) = owner.filter(|owner| *owner != self.name) else {
            return;
        };
        let urgent = self.evidence.is_urgent(customer);
        let queue = self.queues.entry(peer_id_of(owner)).or_default();
        queue.reports.insert(customer);
        queue.is_urgent |= urgent;
    }

    fn report_to_self(&mut self, now: Micros, customer: Customer, around: &ClusterContext<'_>) {
        let name = self.name.clone();
        self.add_reporting_gateway(&name, customer);
        let pooling = self.pooling(now, customer, around.shard_map);
        let report = self.evidence.report(now, customer, pooling);
        self.run_aggregator(now, Input::Report(report), around);
    }

    /// Passes an input to the aggregator and queues its outputs.
    fn run_aggregator(&mut self, now: Micros, input: Input, around: &ClusterContext<'_>) {
        let (reporting_gateways, gateways, owned) =
            (&self.reporting_gateways, &self.gateways, &self.owned);
        let all = || gateways.keys().cloned().collect();
        let context = OwnerContext {
            fence: fence_in_force(around.shard_map),
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
                    self.report_to_self(now, customer, around);
                }
                Output::RequestReport { gateway, customer } => {
                    self.queues
                        .entry(peer_id_of(&gateway))
                        .or_default()
                        .requests
                        .insert(customer);
                }
                Output::SendVerdict { gateway, verdict } if gateway == self.name => {
                    self.on_verdict(now, &gateway, verdict, around);
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
    fn on_verdict(
        &mut self,
        now: Micros,
        from: &str,
        verdict: Verdict,
        around: &ClusterContext<'_>,
    ) {
        let customer = verdict.customer;
        let map = around
            .shard_map
            .map()
            .filter(|_| verdict.fence == fence_in_force(around.shard_map));
        if map.is_some_and(|map| map.owner_of(customer) != Some(from)) {
            self.refused.old += 1;
            return;
        }
        match self.verdicts.on_verdict(now, verdict, self.majority) {
            Ok(()) => {
                let pooling = self.verdicts.in_force(now, customer, now, self.majority);
                self.evidence.set_pooling(customer, pooling);
            }
            Err(VerdictRejection::Superseded { .. }) => self.refused.old += 1,
            Err(VerdictRejection::Outdated) => self.refused.late += 1,
            Err(VerdictRejection::Minority) => self.refused.minority += 1,
            Err(VerdictRejection::Full(_)) => self.refused.full += 1,
        }
    }

    /// Sends queued items, as far as the budget allows.
    fn flush(&mut self, now: Micros, around: &ClusterContext<'_>, sends: &mut Vec<Transmit>) {
        if around.silent {
            return;
        }
        let dead: BTreeSet<PeerId> = self
            .gateways
            .values()
            .filter(|seen| seen.is_dead)
            .map(|seen| seen.id)
            .collect();
        if !self.owned.is_empty() {
            let living = self
                .gateways
                .values()
                .filter(|seen| !seen.is_dead && seen.id != self.me);
            for seen in living.filter(|seen| !self.collected.contains(&seen.id)) {
                self.queues.entry(seen.id).or_default();
            }
        }
        // Round robin: the peer after the last recipient comes first.
        let mut gateways: Vec<PeerId> = self
            .queues
            .keys()
            .copied()
            .filter(|id| !dead.contains(id))
            .collect();
        let place = gateways.partition_point(|id| *id <= self.last_recipient);
        gateways.rotate_left(place);
        for &to in &gateways {
            self.send_verdicts(now, to, around, sends);
        }
        for &to in &gateways {
            let soon = self.queues.get(&to).is_some_and(|queue| queue.is_urgent);
            if soon && self.budget.has(1.0, 0.0) {
                self.send_reports(now, to, around, sends);
            }
        }
        for &to in &gateways {
            if !self.budget.has(1.0, VERDICT_RESERVE) {
                return;
            }
            self.send_requests(now, to, around, sends);
        }
    }

    fn send_verdicts(
        &mut self,
        now: Micros,
        to: PeerId,
        around: &ClusterContext<'_>,
        sends: &mut Vec<Transmit>,
    ) {
        let fence = fence_in_force(around.shard_map);
        while self.budget.has(1.0, 0.0) {
            let Some(queue) = self.queues.get_mut(&to) else {
                return;
            };
            let mut remaining = MAX_ITEM_BYTES;
            let mut verdicts = Vec::new();
            while let Some(&customer) = queue.verdicts.first() {
                // Ownership is checked when the verdict is sent, not when it was decided.
                let verdict = self.aggregator.verdict(now, customer, fence);
                if let Some(verdict) = verdict.filter(|_| owns_key(&self.owned, customer)) {
                    let one = VerdictMessage::new(&verdict, peer_id_of);
                    let Some(left) = remaining.checked_sub(size(&one)) else {
                        break;
                    };
                    remaining = left;
                    verdicts.push(one);
                }
                queue.verdicts.pop_first();
            }
            if verdicts.is_empty() {
                return;
            }
            self.send(to, Kind::Verdicts { fence, verdicts }, sends);
        }
    }

    fn send_reports(
        &mut self,
        now: Micros,
        to: PeerId,
        around: &ClusterContext<'_>,
        sends: &mut Vec<Transmit>,
    ) {
        let mut remaining = MAX_ITEM_BYTES;
        let mut counts = Vec::new();
        loop {
            let next = self
                .queues
                .get(&to)
                .and_then(|queue| queue.reports.first().copied());
            let Some(customer) = next else { break };
            let pooling = self.pooling(now, customer, around.shard_map);
            self.evidence.set_pooling(customer, pooling);
            let one = ReportMessage::from(self.evidence.report(now, customer, pooling));
            let Some(left) = remaining.checked_sub(size(&one)) else {
                break;
            };
            remaining = left;
            counts.push(one);
            if let Some(queue) = self.queues.get_mut(&to) {
                queue.reports.pop_first();
            }
        }
        let Some(queue) = self.queues.get_mut(&to) else {
            return;
        };
        let mut completed_collection = 0;
        if queue.reports.is_empty() {
            queue.is_urgent = false;
            if let Some(owed) = queue.pending_collection.take() {
                completed_collection = owed.1;
                queue.answered_collection = Some(owed);
            }
        }
        if completed_collection != 0 || !counts.is_empty() {
            self.send(
                to,
                Kind::Report {
                    completed_collection,
                    counts,
                },
                sends,
            );
        }
    }

    /// Sends requests for collections and reports, and reports without a new break.
    fn send_requests(
        &mut self,
        now: Micros,
        to: PeerId,
        around: &ClusterContext<'_>,
        sends: &mut Vec<Transmit>,
    ) {
        let waits = !self.owned.is_empty() && !self.collected.contains(&to);
        let (collection, known) = (
            self.collection,
            self.gateways.values().any(|seen| seen.id == to),
        );
        let Some(queue) = self.queues.get_mut(&to).filter(|_| known) else {
            return;
        };
        if waits
            && queue
                .collection_sent_at
                .is_none_or(|at| now.saturating_sub(at) >= REPORT_INTERVAL)
        {
            queue.collection_sent_at = Some(now);
            self.send(to, Kind::CollectReports(collection), sends);
        }
        let Some(queue) = self.queues.get_mut(&to) else {
            return;
        };
        if !queue.requests.is_empty() && self.budget.has(1.0, VERDICT_RESERVE) {
            let mut asks = Vec::new();
            while asks.len() * 6 < MAX_ITEM_BYTES - 6 {
                let Some(customer) = queue.requests.pop_first() else {
                    break;
                };
                asks.push(customer);
            }
            self.send(to, Kind::RequestReports(asks), sends);
        }
        let Some(queue) = self.queues.get(&to) else {
            return;
        };
        let is_report_due = queue
            .reports_sent_at
            .is_none_or(|at| now.saturating_sub(at) >= REPORT_INTERVAL);
        let ready =
            queue.pending_collection.is_some() || (is_report_due && !queue.reports.is_empty());
        if ready && self.budget.has(1.0, VERDICT_RESERVE) {
            self.send_reports(now, to, around, sends);
            if let Some(queue) = self.queues.get_mut(&to) {
                queue.reports_sent_at = Some(now);
            }
        }
    }

    fn send(&mut self, to: PeerId, kind: Kind, sends: &mut Vec<Transmit>) {
        let to_incarnation = self.queues.get(&to).map_or(0, |queue| queue.incarnation);
        let bytes = Datagram {
            from: self.me,
            incarnation: self.incarnation,
            to_incarnation,
            kind,
        }
        .encode();
        self.budget.take(1.0);
        self.sent.0 += 1;
        self.sent.1 += bytes.len() as u64;
        self.last_recipient = to;
        sends.push(Transmit { to, bytes });
    }
}

/// Whether a range lies within one of these.
fn covers(ranges: &[(Key, Key)], (from, to): (Key, Key)) -> bool {
    ranges.iter().any(|range| range.0 <= from && to <= range.1)
}
