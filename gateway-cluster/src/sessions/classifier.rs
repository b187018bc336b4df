//! One gateway's part in the sessions: it counts for all owners, keeps the customers that the shard map gives it, and goes
//! by the verdicts that it is told.
//!
//! **Who is asked.** A gateway that gains keys calls the roll: it asks each living gateway once to send all that it has counted
//! of the keys, and takes no step towards sharing before all of them have said that they did. Only then is a customer's set known: the gateways
//! that have reported of it. A gateway that returns from the dead is asked as well. So a gateway that is held alive but cannot be
//! reached keeps this owner from steps towards sharing; steps towards caution wait for nothing.
//!
//! **What is sent.** In any time `t` no more than 30 and 3 a second times `t`, whatever customers do: what has no room waits, by
//! customer and not by event, and is built at the moment it goes. First verdicts, then counts with a new break; from the upper half of
//! the bucket alone a verdict's repetitions, and then the rest, put together to one datagram a second for each gateway.
//!
//! **Memory.** 4,096 customers of each: counted, kept, and held by verdicts.

use super::evidence::{ConnectionUse, Evidence, Outcome};
use super::verdicts::{
    self, ConnectionPolicy, EvidenceSummary, Input, LeaderContext, Output, Verdict,
    VerdictAggregator, VerdictRejection, VerdictTable, LOOK_AGAIN,
};
use super::wire::{size, Datagram, Kind, ReportMessage, VerdictMessage, ROOM};
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

/// What is sent in any second: the bucket's size and its rate, and the part that is kept for verdicts and breaks.
pub const BURST: f64 = 30.0;
/// See [`BURST`].
pub const PER_SECOND: f64 = 3.0;
const KEPT_BACK: f64 = 0.5;
/// Between two looks, where there is anything to look at and where there is nothing.
const TICK: Micros = 100_000;
const IDLE: Micros = 500_000;
/// ReportMessage without a new break go to one owner so often at most, and a roll is called again after that.
const GATHER: Micros = 1_000_000;
/// Customers whose counts are taken up in one look.
const AT_ONCE: usize = 256;
/// Gateways of a set that are remembered.
const MOST_GATEWAYS: usize = 8;
/// How often what belongs to customers that are kept no more is cleared away.
const CLEAR: Micros = 10_000_000;

/// What a part begins with.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ClassifierSettings {
    /// Customers that it counts, keeps and holds verdicts of, at most, each.
    pub most: usize,
}

impl Default for ClassifierSettings {
    fn default() -> ClassifierSettings {
        ClassifierSettings { most: 4096 }
    }
}

/// What a part knows of its surroundings at the moment of an event.
pub struct ClusterContext<'a> {
    /// Who keeps which customer.
    pub shard_map: &'a ShardMapNode,
    /// The peer set, and what the view holds of it.
    pub names: &'a [String],
    /// See `names`.
    pub states: &'a [PeerState],
    /// The side that this gateway is on.
    pub side: PartitionSide,
    /// It goes, or another process has its name.
    pub silent: bool,
}

/// What operators are told of a customer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ClassifierStatus {
    /// Its owner, as far as this gateway knows.
    pub owner: Option<String>,
    /// What it is held for here.
    pub pooling: Pooling,
    /// Under which right that was said, or else the map in force.
    pub fence: FencingToken,
    /// Time since it was last judged so.
    pub age: Micros,
    /// Gateways whose reports it rests on.
    pub reports: Vec<String>,
    /// Their counts.
    pub evidence: EvidenceSummary,
}

/// Verdicts that were refused, by why.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Refusals {
    /// Under a right that is over, or of a gateway that the map in force gives that customer not to.
    pub old: u64,
    /// Not the newest.
    pub late: u64,
    /// Towards sharing, on a minority side.
    pub minority: u64,
    /// There was no room.
    pub full: u64,
}

/// What the view held of a gateway.
#[derive(Debug, Clone, Copy)]
struct Seen {
    id: PeerId,
    alive: Micros,
    dead: bool,
}

/// What waits for one gateway.
#[derive(Debug, Default)]
struct Mail {
    /// Its incarnation, as it last said; 0 if it never did.
    incarnation: u64,
    says: BTreeSet<Customer>,
    reports: BTreeSet<Customer>,
    /// Among the reports is a new break.
    soon: bool,
    asks: BTreeSet<Customer>,
    /// When the roll was called last, of this gateway.
    called: Option<Micros>,
    /// Its roll that is still to be answered, and the last one that was.
    owes: Option<(u64, u32)>,
    answered: Option<(u64, u32)>,
    sent: Option<Micros>,
}

/// One incarnation's part.
#[derive(Debug)]
pub struct SessionClassifier {
    me: PeerId,
    name: String,
    incarnation: u64,
    most: usize,
    evidence: Evidence,
    owner: VerdictAggregator,
    held: VerdictTable,
    sets: BTreeMap<Customer, Vec<String>>,
    gateways: BTreeMap<String, Seen>,
    majority: bool,
    mine: Vec<(Key, Key)>,
    roll: u32,
    rolled: BTreeSet<PeerId>,
    mail: BTreeMap<PeerId, Mail>,
    /// The gateway that something was sent to last.
    turn: PeerId,
    looked: BTreeMap<Customer, Micros>,
    budget: TokenBucket,
    next: Micros,
    clear: Micros,
    chance: Pcg64Mcg,
    /// Verdicts that were refused.
    pub refused: Refusals,
    /// Datagrams that make no sense, and those of names or for lives that are not here.
    pub dropped: (u64, u64),
    /// Datagrams sent, and their bytes without headers.
    pub sent: (u64, u64),
}

fn within(ranges: &[(Key, Key)], key: Key) -> bool {
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
    /// An incarnation that knows nothing. `incarnation` is higher than that of any earlier process of this name, such as its start by the wall
    /// clock.
    pub fn new(
        now: Micros,
        name: &str,
        incarnation: u64,
        settings: ClassifierSettings,
        seed: u64,
    ) -> SessionClassifier {
        let most = settings.most.max(1);
        SessionClassifier {
            me: peer_id_of(name),
            name: name.to_string(),
            incarnation,
            most,
            evidence: Evidence::new(name, incarnation, most, seed),
            owner: VerdictAggregator::new(incarnation, most),
            held: VerdictTable::new(most),
            sets: BTreeMap::new(),
            gateways: BTreeMap::new(),
            majority: false,
            mine: Vec::new(),
            roll: 0,
            rolled: BTreeSet::new(),
            mail: BTreeMap::new(),
            turn: 0,
            looked: BTreeMap::new(),
            budget: TokenBucket::full(now, BURST, PER_SECOND),
            next: now,
            clear: now + CLEAR,
            chance: Pcg64Mcg::seed_from_u64(seed.rotate_left(8)),
            refused: Refusals::default(),
            dropped: (0, 0),
            sent: (0, 0),
        }
    }

    /// A request has ended.
    pub fn note(
        &mut self,
        now: Micros,
        customer: Customer,
        backend: Backend,
        conn: ConnectionUse,
        outcome: Outcome,
    ) {
        // Beyond the keys nobody keeps it.
        if customer < KEYS {
            self.evidence.note(now, customer, backend, conn, outcome);
        }
    }

    /// How a request of a customer is to get its connection.
    pub fn hold(
        &mut self,
        now: Micros,
        customer: Customer,
        shard_map: &ShardMapNode,
    ) -> ConnectionPolicy {
        let pooling = self.pooling(now, customer, shard_map);
        if pooling <= Pooling::Unknown {
            return verdicts::hold(pooling, 0, self.chance.random());
        }
        if !self.looked.contains_key(&customer) && self.looked.len() >= self.most {
            self.looked
                .retain(|_, at| now.saturating_sub(*at) < LOOK_AGAIN);
            if self.looked.len() >= self.most {
                return verdicts::hold(pooling, 0, 1.0);
            }
        }
        let looked = now.saturating_sub(*self.looked.entry(customer).or_insert(now));
        let hold = verdicts::hold(pooling, looked, 1.0);
        if hold == ConnectionPolicy::Any {
            self.looked.insert(customer, now);
        }
        hold
    }

    /// What a customer is held for here.
    pub fn pooling(&self, now: Micros, customer: Customer, shard_map: &ShardMapNode) -> Pooling {
        if self.held.verdict(customer).is_none() {
            return Pooling::Unknown;
        }
        let owner = shard_map.map().and_then(|map| map.owner_of(customer));
        let alive = match owner {
            Some(owner) if owner == self.name => now,
            Some(owner) => self.gateways.get(owner).map_or(0, |seen| seen.alive),
            None => 0,
        };
        self.held.in_force(now, customer, alive, self.majority)
    }

    /// What operators are told of a customer.
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
        let own = own.and_then(|fence| self.owner.verdict(now, customer, fence));
        let told = || {
            let (verdict, at) = self.held.verdict(customer)?;
            let age = verdict.age.saturating_add(now.saturating_sub(at));
            Some(Verdict {
                age,
                pooling: self.pooling(now, customer, shard_map),
                ..verdict.clone()
            })
        };
        match own.or_else(told) {
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

    /// Whether all living gateways have told what they had as this one began to keep.
    pub fn has_rolled(&self) -> bool {
        let heard = |seen: &Seen| seen.dead || seen.id == self.me || self.rolled.contains(&seen.id);
        !self.mine.is_empty() && self.gateways.values().all(heard)
    }

    /// ReportMessage that were left out, and why.
    pub fn evidence(&self) -> &Evidence {
        &self.evidence
    }

    /// When [`SessionClassifier::on_timer`] is wanted.
    pub fn next_wakeup(&self) -> Micros {
        self.next
    }

    /// Something is due, or past that.
    pub fn on_timer(
        &mut self,
        now: Micros,
        around: &ClusterContext<'_>,
        sends: &mut Vec<Transmit>,
    ) {
        self.look(now, around);
        for customer in self.evidence.next_wakeup(now, AT_ONCE) {
            self.tell(now, customer, around);
        }
        self.keep(now, Input::Tick, around);
        if now >= self.clear {
            self.clear = now + CLEAR;
            let (owner, mine) = (&self.owner, &self.mine);
            self.sets
                .retain(|&customer, _| within(mine, customer) && owner.has(customer));
            let gateways: BTreeSet<PeerId> = self.gateways.values().map(|seen| seen.id).collect();
            self.mail.retain(|id, _| gateways.contains(id));
        }
        self.flush(now, around, sends);
        let idle = self.evidence.customers() == 0 && self.sets.is_empty() && self.mail.is_empty();
        self.next = now + if idle { IDLE } else { TICK };
    }

    /// A datagram has come.
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
        self.look(now, around);
        let mail = self.mail.entry(from).or_default();
        mail.incarnation = incarnation;
        match kind {
            Kind::Roll(number) if mail.answered == Some((incarnation, number)) => {
                mail.owes = Some((incarnation, number));
            }
            Kind::Roll(number) if mail.owes != Some((incarnation, number)) => {
                mail.owes = Some((incarnation, number));
                let map = around.shard_map.map();
                let theirs = |customer| map.and_then(|map| map.owner_of(customer)) == Some(name);
                // By a map that this gateway does not have yet it may keep more: that is told as it changes.
                mail.reports.extend(self.evidence.again(theirs));
            }
            Kind::Roll(_) => {}
            Kind::Ask(customers) => {
                let room = self.most.saturating_sub(mail.reports.len());
                mail.reports.extend(customers.into_iter().take(room));
                mail.soon = true;
            }
            Kind::Report { rolled, counts } => {
                for counts in counts {
                    if within(&self.mine, counts.customer()) {
                        self.join(name, counts.customer());
                        self.keep(now, Input::Report(counts.report(name, incarnation)), around);
                    }
                }
                if rolled != 0 && rolled == self.roll {
                    self.rolled.insert(from);
                }
            }
            Kind::Verdicts { fence, said } => {
                let name_of = |id: PeerId| {
                    let known = around.names.iter().find(|name| peer_id_of(name) == id);
                    known.cloned().unwrap_or_else(|| format!("{id:08x}"))
                };
                for said in said {
                    let verdict = said.verdict(fence, incarnation, name_of);
                    self.take(now, name, verdict, around);
                }
            }
        }
        self.flush(now, around, sends);
    }

    /// Takes up what the surroundings are now.
    fn look(&mut self, now: Micros, around: &ClusterContext<'_>) {
        self.budget.fill(now);
        self.majority = matches!(around.side, PartitionSide::Whole | PartitionSide::Majority);
        self.gateways.retain(|name, _| around.names.contains(name));
        for (name, state) in around.names.iter().zip(around.states) {
            let id = peer_id_of(name);
            let seen = self.gateways.entry(name.clone()).or_insert(Seen {
                id,
                alive: 0,
                dead: true,
            });
            seen.dead = *state == PeerState::Dead && id != self.me;
            if seen.dead {
                // What it had counted meanwhile is asked for once it is back.
                self.rolled.remove(&id);
            } else {
                seen.alive = now;
            }
        }
        self.held.fence(fence_in_force(around.shard_map));
        let mine = if around.silent {
            Vec::new()
        } else {
            around.shard_map.mine(now)
        };
        if mine == self.mine {
            return;
        }
        let had = std::mem::replace(&mut self.mine, mine);
        if self.mine.iter().any(|range| !covers(&had, *range)) {
            self.roll = self.roll.wrapping_add(1).max(1);
            self.rolled.clear();
            self.mail.values_mut().for_each(|mail| mail.called = None);
            let mine = &self.mine;
            self.evidence.again(|customer| within(mine, customer));
        }
    }

    /// A gateway has reported of a customer that is kept here: it belongs to its set.
    fn join(&mut self, gateway: &str, customer: Customer) {
        if !self.sets.contains_key(&customer) && self.sets.len() >= self.most {
            return;
        }
        let set = self.sets.entry(customer).or_default();
        if set.iter().any(|known| known == gateway) {
            return;
        }
        if set.len() >= MOST_GATEWAYS {
            set.retain(|known| self.gateways.get(known).is_some_and(|seen| !seen.dead));
        }
        if set.len() < MOST_GATEWAYS {
            set.push(gateway.to_string());
        }
    }

    /// Tells a customer's owner what was counted of it.
    fn tell(&mut self, now: Micros, customer: Customer, around: &ClusterContext<'_>) {
        if within(&self.mine, customer) {
            self.tell_own(now, customer, around);
            return;
        }
        // Where there is no owner, whoever will be one calls the roll.
        let owner = around
            .shard_map
            .map()
            .and_then(|map| map.owner_of(customer));
        let Some(owner) = owner.filter(|owner| *owner != self.name) else {
            return;
        };
        let urgent = self.evidence.is_urgent(customer);
        let mail = self.mail.entry(peer_id_of(owner)).or_default();
        mail.reports.insert(customer);
        mail.soon |= urgent;
    }

    fn tell_own(&mut self, now: Micros, customer: Customer, around: &ClusterContext<'_>) {
        let name = self.name.clone();
        self.join(&name, customer);
        let held = self.pooling(now, customer, around.shard_map);
        let report = self.evidence.report(now, customer, held);
        self.keep(now, Input::Report(report), around);
    }

    /// As the owner.
    fn keep(&mut self, now: Micros, input: Input, around: &ClusterContext<'_>) {
        let (sets, gateways, mine) = (&self.sets, &self.gateways, &self.mine);
        let all = || gateways.keys().cloned().collect();
        let scene = LeaderContext {
            fence: fence_in_force(around.shard_map),
            keeps: &|customer| within(mine, customer),
            set: &|customer| sets.get(&customer).cloned().unwrap_or_else(all),
            gone: &|gateway| gateways.get(gateway).is_none_or(|seen| seen.dead),
            may_share: self.majority && self.has_rolled(),
        };
        let mut outputs = Vec::new();
        self.owner.handle(now, input, &scene, &mut outputs);
        for output in outputs {
            match output {
                // It is told of itself whatever it has: the next look is soon enough for what is new.
                Output::Ask { gateway, customer } if gateway == self.name => {
                    self.tell_own(now, customer, around);
                }
                Output::Ask { gateway, customer } => {
                    self.mail
                        .entry(peer_id_of(&gateway))
                        .or_default()
                        .asks
                        .insert(customer);
                }
                Output::Say { gateway, verdict } if gateway == self.name => {
                    self.take(now, &gateway, verdict, around);
                }
                Output::Say { gateway, verdict } => {
                    let repeats = self.owner.is_repeating(verdict.customer);
                    if !repeats || self.budget.has(1.0, KEPT_BACK) {
                        self.mail
                            .entry(peer_id_of(&gateway))
                            .or_default()
                            .says
                            .insert(verdict.customer);
                    }
                }
            }
        }
    }

    /// As a gateway that goes by what an owner says.
    fn take(&mut self, now: Micros, from: &str, verdict: Verdict, around: &ClusterContext<'_>) {
        let customer = verdict.customer;
        let map = around
            .shard_map
            .map()
            .filter(|_| verdict.fence == fence_in_force(around.shard_map));
        if map.is_some_and(|map| map.owner_of(customer) != Some(from)) {
            self.refused.old += 1;
            return;
        }
        match self.held.take(now, verdict, self.majority) {
            Ok(()) => {
                let pooling = self.held.in_force(now, customer, now, self.majority);
                self.evidence.hold(customer, pooling);
            }
            Err(VerdictRejection::Old { .. }) => self.refused.old += 1,
            Err(VerdictRejection::Late) => self.refused.late += 1,
            Err(VerdictRejection::Minority) => self.refused.minority += 1,
            Err(VerdictRejection::Full(_)) => self.refused.full += 1,
        }
    }

    /// Sends what waits, as far as it may.
    fn flush(&mut self, now: Micros, around: &ClusterContext<'_>, sends: &mut Vec<Transmit>) {
        if around.silent {
            return;
        }
        let dead: BTreeSet<PeerId> = self
            .gateways
            .values()
            .filter(|seen| seen.dead)
            .map(|seen| seen.id)
            .collect();
        if !self.mine.is_empty() {
            let living = self
                .gateways
                .values()
                .filter(|seen| !seen.dead && seen.id != self.me);
            for seen in living.filter(|seen| !self.rolled.contains(&seen.id)) {
                self.mail.entry(seen.id).or_default();
            }
        }
        // Whoever came last in the round before comes first now.
        let mut gateways: Vec<PeerId> = self
            .mail
            .keys()
            .copied()
            .filter(|id| !dead.contains(id))
            .collect();
        let place = gateways.partition_point(|id| *id <= self.turn);
        gateways.rotate_left(place);
        for &to in &gateways {
            self.send_says(now, to, around, sends);
        }
        for &to in &gateways {
            let soon = self.mail.get(&to).is_some_and(|mail| mail.soon);
            if soon && self.budget.has(1.0, 0.0) {
                self.send_reports(now, to, around, sends);
            }
        }
        for &to in &gateways {
            if !self.budget.has(1.0, KEPT_BACK) {
                return;
            }
            self.send_rest(now, to, around, sends);
        }
    }

    fn send_says(
        &mut self,
        now: Micros,
        to: PeerId,
        around: &ClusterContext<'_>,
        sends: &mut Vec<Transmit>,
    ) {
        let fence = fence_in_force(around.shard_map);
        while self.budget.has(1.0, 0.0) {
            let Some(mail) = self.mail.get_mut(&to) else {
                return;
            };
            let mut room = ROOM;
            let mut said = Vec::new();
            while let Some(&customer) = mail.says.first() {
                // Its right to say so is looked at now, not when it was decided.
                let verdict = self.owner.verdict(now, customer, fence);
                if let Some(verdict) = verdict.filter(|_| within(&self.mine, customer)) {
                    let one = VerdictMessage::new(&verdict, peer_id_of);
                    let Some(left) = room.checked_sub(size(&one)) else {
                        break;
                    };
                    room = left;
                    said.push(one);
                }
                mail.says.pop_first();
            }
            if said.is_empty() {
                return;
            }
            self.put(to, Kind::Verdicts { fence, said }, sends);
        }
    }

    fn send_reports(
        &mut self,
        now: Micros,
        to: PeerId,
        around: &ClusterContext<'_>,
        sends: &mut Vec<Transmit>,
    ) {
        let mut room = ROOM;
        let mut counts = Vec::new();
        loop {
            let next = self
                .mail
                .get(&to)
                .and_then(|mail| mail.reports.first().copied());
            let Some(customer) = next else { break };
            let held = self.pooling(now, customer, around.shard_map);
            self.evidence.hold(customer, held);
            let one = ReportMessage::from(self.evidence.report(now, customer, held));
            let Some(left) = room.checked_sub(size(&one)) else {
                break;
            };
            room = left;
            counts.push(one);
            if let Some(mail) = self.mail.get_mut(&to) {
                mail.reports.pop_first();
            }
        }
        let Some(mail) = self.mail.get_mut(&to) else {
            return;
        };
        let mut rolled = 0;
        if mail.reports.is_empty() {
            mail.soon = false;
            if let Some(owed) = mail.owes.take() {
                rolled = owed.1;
                mail.answered = Some(owed);
            }
        }
        if rolled != 0 || !counts.is_empty() {
            self.put(to, Kind::Report { rolled, counts }, sends);
        }
    }

    /// The roll, questions, and counts without news.
    fn send_rest(
        &mut self,
        now: Micros,
        to: PeerId,
        around: &ClusterContext<'_>,
        sends: &mut Vec<Transmit>,
    ) {
        let waits = !self.mine.is_empty() && !self.rolled.contains(&to);
        let (roll, known) = (self.roll, self.gateways.values().any(|seen| seen.id == to));
        let Some(mail) = self.mail.get_mut(&to).filter(|_| known) else {
            return;
        };
        if waits
            && mail
                .called
                .is_none_or(|at| now.saturating_sub(at) >= GATHER)
        {
            mail.called = Some(now);
            self.put(to, Kind::Roll(roll), sends);
        }
        let Some(mail) = self.mail.get_mut(&to) else {
            return;
        };
        if !mail.asks.is_empty() && self.budget.has(1.0, KEPT_BACK) {
            let mut asks = Vec::new();
            while asks.len() * 6 < ROOM - 6 {
                let Some(customer) = mail.asks.pop_first() else {
                    break;
                };
                asks.push(customer);
            }
            self.put(to, Kind::Ask(asks), sends);
        }
        let Some(mail) = self.mail.get(&to) else {
            return;
        };
        let gathered = mail.sent.is_none_or(|at| now.saturating_sub(at) >= GATHER);
        let ready = mail.owes.is_some() || (gathered && !mail.reports.is_empty());
        if ready && self.budget.has(1.0, KEPT_BACK) {
            self.send_reports(now, to, around, sends);
            if let Some(mail) = self.mail.get_mut(&to) {
                mail.sent = Some(now);
            }
        }
    }

    fn put(&mut self, to: PeerId, kind: Kind, sends: &mut Vec<Transmit>) {
        let to_incarnation = self.mail.get(&to).map_or(0, |mail| mail.incarnation);
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
        self.turn = to;
        sends.push(Transmit { to, bytes });
    }
}

/// Whether a range lies in one of these.
fn covers(ranges: &[(Key, Key)], (from, to): (Key, Key)) -> bool {
    ranges.iter().any(|range| range.0 <= from && to <= range.1)
}
