//! The owner of customers, and what a gateway does with verdicts.
//!
//! **Default.** What no fresh verdict speaks for is `unknown`: a run gets its own idle connection again if it is there. That
//! holds nothing back from others, opens no connection, and saves customers of the second kind from nearly all
//! breaks. `statement` would break them as long as the owner is away; `session` would take connections for everybody, which
//! is what a cluster in trouble has least of. `statement` fades to it 30 s after its customer's
//! owner was last held alive, `transaction` too (it is handled alike), and `session` after 10 minutes: it costs a connection, and giving it up breaks a request, so it lasts longer
//! than any takeover of keys and shorter than a night. A minority side takes no step towards sharing: there
//! `session` stays, within the bounds on private connections ([`grant`]).
//!
//! A verdict is said when it changes, six times in half a second, and again to a gateway whose report shows that it acts on another.
//! It is not said again to keep it: whether the owner lives is for the view to tell, which costs nothing by the customer.
//!
//! **Evidence twice.** The owner holds each gateway's newest report per incarnation and replaces it by a higher number; sums are made
//! when it judges and are never stored nor sent. A new owner starts with nothing and asks all gateways of the set.

use super::evidence::{Report, Window, WINDOWS};
use super::judge::{self, Counts, Found};
use super::{Customer, FencingToken, Pooling};
use crate::protocol::Micros;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use thiserror::Error;

const SECOND: Micros = 1_000_000;
/// A report no older than this speaks for its gateway in a step towards sharing. Gateways are asked for a newer one where such a step waits for them alone.
pub const FRESH: Micros = 30 * SECOND;
/// After a change a verdict is said again so soon, so often, so that one lost costs a part of the second.
const SAY_SOON: Micros = 100_000;
const SAY_TIMES: u8 = 6;
/// A verdict for which nothing new spoke so long is taken back.
pub const CONFIRMED: Micros = 7200 * SECOND;
/// For how long a gateway goes by a verdict after its customer's owner was last held alive.
pub const FADE: Micros = 30 * SECOND;
/// The same for private connections.
pub const FADE_SESSION: Micros = 600 * SECOND;
/// Without a report for so long a customer is forgotten.
pub const FORGET: Micros = 2 * CONFIRMED;
/// An owner that is new to a customer waits so long for gateways to say what they act on.
const START: Micros = 3 * SECOND;
/// Without a report a customer is judged again so often: windows age, gateways go.
const JUDGE_AGAIN: Micros = SECOND;
/// Lives of a gateway that are held: that which runs, and the one before, whose requests were others.
const LIVES: usize = 2;
/// Gateways that are held of a customer: a set has four at most, and some may have changed.
const MOST_GATEWAYS: usize = 8;

/// The evidence behind a verdict: requests and failures.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EvidenceSummary {
    /// On the customer's own connection.
    pub kept: [u32; 2],
    /// Changed within a run.
    pub changed_in_run: [u32; 2],
    /// Changed between runs.
    pub changed_between: [u32; 2],
    /// Of others, at the same backends in the same seconds.
    pub control: [u32; 2],
}

/// What an owner says of a customer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Verdict {
    /// Of whom.
    pub customer: Customer,
    /// What it is held for.
    pub pooling: Pooling,
    /// By which right.
    pub fence: FencingToken,
    /// The owner's incarnation, and a number that grows within it: an owner that restarts may come back under the same fence.
    pub round: (u64, u64),
    /// Time since it was last judged so.
    pub age: Micros,
    /// Gateways whose reports it rests on.
    pub reports: Vec<String>,
    /// Their counts.
    pub evidence: EvidenceSummary,
}

/// What an owner is told.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Input {
    /// A gateway's report.
    Report(Report),
    /// Time has passed: a few times a second.
    Tick,
}

/// What an owner wants sent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Output {
    /// A question for a gateway's report.
    Ask {
        /// To whom.
        gateway: String,
        /// Of whom.
        customer: Customer,
    },
    /// A verdict for a gateway.
    Say {
        /// To whom.
        gateway: String,
        /// What.
        verdict: Verdict,
    },
}

/// What an owner knows of its surroundings at the moment of an input.
pub struct LeaderContext<'a> {
    /// The right under which it acts.
    pub fence: FencingToken,
    /// Whether it keeps that customer now.
    pub keeps: &'a dyn Fn(Customer) -> bool,
    /// The gateways of a customer's set.
    pub set: &'a dyn Fn(Customer) -> Vec<String>,
    /// Whether a gateway is held for gone: its word is not waited for.
    pub gone: &'a dyn Fn(&str) -> bool,
    /// Whether this side may take steps towards sharing: it is the majority.
    pub may_share: bool,
}

/// One incarnation of a gateway, as last told.
#[derive(Debug, Clone)]
struct Told {
    report: Report,
    at: Micros,
}

/// What is held of one customer.
#[derive(Debug, Clone)]
struct File {
    gateways: BTreeMap<String, Vec<Told>>,
    asked: BTreeMap<String, Micros>,
    pooling: Pooling,
    confirmed: Micros,
    begun: Micros,
    judged: Micros,
    heard: Micros,
    said: Option<Micros>,
    say: u8,
    round: (u64, u64),
}

/// The customers of one owner.
#[derive(Debug, Default)]
pub struct VerdictAggregator {
    files: BTreeMap<Customer, File>,
    most: usize,
    turned_away: u64,
    /// Its incarnation, and how many verdicts it has said in it, of all customers: one whose file went and came is not behind.
    round: (u64, u64),
}

impl VerdictAggregator {
    /// An incarnation that knows nothing, and holds so many customers.
    pub fn new(incarnation: u64, most: usize) -> Self {
        VerdictAggregator {
            most,
            round: (incarnation, 0),
            ..VerdictAggregator::default()
        }
    }

    /// Takes an input.
    pub fn handle(
        &mut self,
        now: Micros,
        input: Input,
        scene: &LeaderContext<'_>,
        outputs: &mut Vec<Output>,
    ) {
        match input {
            Input::Report(report) => self.report(now, report, scene, outputs),
            Input::Tick => self.tick(now, scene, outputs),
        }
    }

    fn report(
        &mut self,
        now: Micros,
        report: Report,
        scene: &LeaderContext<'_>,
        outputs: &mut Vec<Output>,
    ) {
        let customer = report.customer;
        if !(scene.keeps)(customer) {
            self.files.remove(&customer);
            return;
        }
        let set = (scene.set)(customer);
        if !set.contains(&report.gateway)
            || report.in_run.len() > WINDOWS
            || report.between.len() > WINDOWS
        {
            self.turned_away += 1;
            return;
        }
        if !self.files.contains_key(&customer) && self.files.len() >= self.most {
            self.turned_away += 1;
            return;
        }
        let file = self.files.entry(customer).or_insert_with(|| File {
            gateways: BTreeMap::new(),
            asked: BTreeMap::new(),
            pooling: Pooling::Unknown,
            confirmed: now,
            begun: now,
            judged: now,
            heard: now,
            said: None,
            say: 0,
            round: (0, 0),
        });
        let gateway = report.gateway.clone();
        let held = report.held;
        if !file.take(now, report) {
            return;
        }
        file.asked.remove(&gateway);
        // An owner that starts goes on from what gateways act on: its not knowing is no evidence for sharing.
        if now.saturating_sub(file.begun) < START && held > Pooling::Unknown && held > file.pooling
        {
            file.pooling = held;
            file.confirmed = now;
            file.say = SAY_TIMES;
        }
        file.judge(now, customer, &set, scene, outputs);
        file.say(now, customer, &set, scene, &mut self.round, outputs);
        // It missed what was said, or came later than that.
        if file.say == 0 && file.round != (0, 0) && held != file.pooling {
            outputs.push(Output::Say {
                gateway,
                verdict: file.verdict(now, customer, scene.fence),
            });
        }
    }

    fn tick(&mut self, now: Micros, scene: &LeaderContext<'_>, outputs: &mut Vec<Output>) {
        // Where room is short, those go first of whom nothing is said and nothing was heard for a minute.
        let short = self.files.len() > self.most / 8 * 7;
        self.files.retain(|&customer, file| {
            let heard = now.saturating_sub(file.heard);
            let spare = short && file.pooling == Pooling::Unknown && heard > 2 * FRESH;
            (scene.keeps)(customer) && heard < FORGET && !spare
        });
        for (&customer, file) in &mut self.files {
            let set = (scene.set)(customer);
            if now.saturating_sub(file.judged) >= JUDGE_AGAIN {
                file.judge(now, customer, &set, scene, outputs);
            }
            file.say(now, customer, &set, scene, &mut self.round, outputs);
        }
    }

    /// What is held of a customer, for operators and for the owner's own gateway.
    pub fn verdict(&self, now: Micros, customer: Customer, fence: FencingToken) -> Option<Verdict> {
        self.files
            .get(&customer)
            .map(|file| file.verdict(now, customer, fence))
    }

    /// Whether anything is held of a customer.
    pub fn has(&self, customer: Customer) -> bool {
        self.files.contains_key(&customer)
    }

    /// Whether what was said last of a customer is one of the repetitions in between: the first two and the last one carry it
    /// through a loss of a fifth but for one time in a hundred.
    pub fn is_repeating(&self, customer: Customer) -> bool {
        self.files
            .get(&customer)
            .is_some_and(|file| (1..SAY_TIMES - 2).contains(&file.say))
    }

    /// What a customer is held for, without the counts.
    pub fn verdict_of(&self, customer: Customer) -> Pooling {
        self.files
            .get(&customer)
            .map_or(Pooling::Unknown, |file| file.pooling)
    }

    /// Reports that there was no room for, or that came from outside the set.
    pub fn turned_away(&self) -> u64 {
        self.turned_away
    }
}

impl File {
    /// Takes a report, unless it is no news. The whole replaces the whole: nothing is added up.
    fn take(&mut self, now: Micros, report: Report) -> bool {
        if !self.gateways.contains_key(&report.gateway) && self.gateways.len() >= MOST_GATEWAYS {
            return false;
        }
        let lives = self.gateways.entry(report.gateway.clone()).or_default();
        match lives
            .iter_mut()
            .find(|told| told.report.incarnation == report.incarnation)
        {
            Some(told) if told.report.sequence >= report.sequence => return false,
            Some(told) => *told = Told { report, at: now },
            None => lives.push(Told { report, at: now }),
        }
        lives.sort_by_key(|told| std::cmp::Reverse(told.report.incarnation));
        lives.truncate(LIVES);
        self.heard = now;
        true
    }

    /// Asks gateways of the set whose word is missing, or old where that is what a step towards sharing waits for.
    fn ask(
        &mut self,
        now: Micros,
        customer: Customer,
        set: &[String],
        scene: &LeaderContext<'_>,
        step: bool,
    ) -> Vec<Output> {
        let mut outputs = Vec::new();
        for gateway in set {
            let told = self
                .gateways
                .get(gateway)
                .and_then(|lives| lives.first())
                .map(|told| told.at);
            let wanted = told.is_none_or(|at| step && now.saturating_sub(at) >= FRESH);
            let again = self
                .asked
                .get(gateway)
                .is_none_or(|&at| now.saturating_sub(at) >= SECOND);
            if wanted
                && again
                && !(scene.gone)(gateway)
                && now.saturating_sub(self.heard) < 2 * FRESH
            {
                self.asked.insert(gateway.clone(), now);
                outputs.push(Output::Ask {
                    gateway: gateway.clone(),
                    customer,
                });
            }
        }
        outputs
    }

    fn windows(&self, now: Micros, of: impl Fn(&Report) -> &[(Window, u32)]) -> Vec<Vec<Window>> {
        let live = |told: &Told| -> Vec<Window> {
            let since = now.saturating_sub(told.at) / SECOND;
            let most = CONFIRMED / SECOND;
            let all = of(&told.report).iter();
            all.filter(|(_, age)| u64::from(*age) + since < most)
                .map(|(window, _)| *window)
                .collect()
        };
        // Windows of the incarnation before stand behind those of this one, and the oldest of both go.
        self.gateways
            .values()
            .map(|lives| lives.iter().flat_map(live).take(WINDOWS).collect())
            .collect()
    }

    fn judge(
        &mut self,
        now: Micros,
        customer: Customer,
        set: &[String],
        scene: &LeaderContext<'_>,
        outputs: &mut Vec<Output>,
    ) {
        self.judged = now;
        let heard_all = set.iter().all(|gateway| {
            let told = self.gateways.get(gateway).and_then(|lives| lives.first());
            told.is_some_and(|told| now.saturating_sub(told.at) < FRESH) || (scene.gone)(gateway)
        });
        let in_run = judge::test(&self.windows(now, |report| &report.in_run));
        let between = judge::test(&self.windows(now, |report| &report.between));
        let mut next = judge::decide(self.pooling, in_run, between, scene.may_share && heard_all);
        let step = scene.may_share && judge::decide(self.pooling, in_run, between, true) != next;
        outputs.extend(self.ask(now, customer, set, scene, step));
        let speaks = match next {
            Pooling::Unknown => true,
            Pooling::Statement => in_run == Found::Free && between == Found::Free,
            Pooling::Transaction => in_run == Found::Bound,
            Pooling::Session => between == Found::Bound,
        };
        if next != self.pooling || speaks {
            self.confirmed = now;
        } else if now.saturating_sub(self.confirmed) >= CONFIRMED && scene.may_share {
            next = Pooling::Unknown;
            self.confirmed = now;
        }
        if next != self.pooling {
            self.pooling = next;
            self.say = SAY_TIMES;
            self.said = None;
        }
    }

    fn say(
        &mut self,
        now: Micros,
        customer: Customer,
        set: &[String],
        scene: &LeaderContext<'_>,
        rounds: &mut (u64, u64),
        outputs: &mut Vec<Output>,
    ) {
        // Nothing is said of a customer that nothing is known of, until something is. Nor, at the start, while a gateway
        // that has not answered yet may act on more caution.
        let starts = now.saturating_sub(self.begun) < START && self.pooling != Pooling::Session;
        let waits = starts
            && set
                .iter()
                .any(|gateway| !self.gateways.contains_key(gateway) && !(scene.gone)(gateway));
        let quiet = waits || (self.round == (0, 0) && self.pooling == Pooling::Unknown);
        let soon = self
            .said
            .is_some_and(|at| now.saturating_sub(at) < SAY_SOON);
        if quiet || soon || self.say == 0 {
            return;
        }
        self.said = Some(now);
        self.say = self.say.saturating_sub(1);
        rounds.1 += 1;
        self.round = *rounds;
        let verdict = self.verdict(now, customer, scene.fence);
        for gateway in set.iter().filter(|gateway| !(scene.gone)(gateway)) {
            outputs.push(Output::Say {
                gateway: gateway.clone(),
                verdict: verdict.clone(),
            });
        }
    }

    fn verdict(&self, now: Micros, customer: Customer, fence: FencingToken) -> Verdict {
        let sum = |all: Vec<Vec<Window>>| {
            let mut counts = Counts::default();
            all.iter().flatten().for_each(|window| counts.add(window));
            counts
        };
        let in_run = sum(self.windows(now, |report| &report.in_run));
        let between = sum(self.windows(now, |report| &report.between));
        // Kept requests stand beside both kinds of change; the longer record is shown, not their sum.
        let longer = if in_run.kept[0] >= between.kept[0] {
            in_run
        } else {
            between
        };
        let told = |lives: &Vec<Told>| {
            lives
                .iter()
                .any(|told| !told.report.in_run.is_empty() || !told.report.between.is_empty())
        };
        Verdict {
            customer,
            pooling: self.pooling,
            fence,
            round: self.round,
            age: now.saturating_sub(self.confirmed),
            reports: self
                .gateways
                .iter()
                .filter(|(_, lives)| told(lives))
                .map(|(gateway, _)| gateway.clone())
                .collect(),
            evidence: EvidenceSummary {
                kept: longer.kept,
                changed_in_run: in_run.changed,
                changed_between: between.changed,
                control: longer.control,
            },
        }
    }
}

/// Why a verdict was not taken.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum VerdictRejection {
    /// Its right is over.
    #[error("a verdict under epoch {} and version {} came after one under epoch {} and version {}: its keeper was \
             replaced; if this goes on, look at `owner` and `shards` of the door that sent it", came.epoch,
             came.version, known.epoch, known.version)]
    Old {
        /// What it came with.
        came: FencingToken,
        /// The highest known.
        known: FencingToken,
    },
    /// A later one is there.
    #[error("a verdict came after a later one of the same keeper: datagrams were late or doubled; nothing is to be done")]
    Late,
    /// This side takes no step towards sharing.
    #[error("a step towards sharing came while this door reaches no majority: it waits; look at `fleet` for who is cut off")]
    Minority,
    /// There is no room.
    #[error(
        "no room for another verdict: {0} are held; customers without one are handled as `unknown`"
    )]
    Full(usize),
}

/// What one gateway was told of customers.
#[derive(Debug, Default)]
pub struct VerdictTable {
    verdicts: BTreeMap<Customer, (Verdict, Micros)>,
    highest: FencingToken,
    most: usize,
}

impl VerdictTable {
    /// A gateway that was told nothing, with room for so many.
    pub fn new(most: usize) -> Self {
        VerdictTable {
            most,
            ..VerdictTable::default()
        }
    }

    /// A fence was seen in anything: lower ones are refused from now on.
    pub fn fence(&mut self, fence: FencingToken) {
        self.highest = self.highest.max(fence);
    }

    /// A verdict came. It is from the customer's owner, so that one is alive.
    pub fn take(
        &mut self,
        now: Micros,
        verdict: Verdict,
        may_share: bool,
    ) -> Result<(), VerdictRejection> {
        if verdict.fence < self.highest {
            return Err(VerdictRejection::Old {
                came: verdict.fence,
                known: self.highest,
            });
        }
        self.highest = verdict.fence;
        let in_force = self.in_force(now, verdict.customer, now, may_share);
        if let Some((known, _)) = self.verdicts.get(&verdict.customer) {
            if known.fence == verdict.fence && known.round >= verdict.round {
                return Err(VerdictRejection::Late);
            }
        } else if self.verdicts.len() >= self.most {
            // `unknown` is what holds without one; and of the rest the oldest may be of customers that are long gone.
            let old = |at: &Micros| now.saturating_sub(*at) >= CONFIRMED;
            self.verdicts
                .retain(|_, (known, at)| known.pooling != Pooling::Unknown && !old(at));
            if self.verdicts.len() >= self.most {
                return Err(VerdictRejection::Full(self.most));
            }
        }
        if !may_share && verdict.pooling < in_force {
            return Err(VerdictRejection::Minority);
        }
        self.verdicts.insert(verdict.customer, (verdict, now));
        Ok(())
    }

    /// The last verdict that was taken, and when.
    pub fn verdict(&self, customer: Customer) -> Option<(&Verdict, Micros)> {
        self.verdicts
            .get(&customer)
            .map(|(verdict, at)| (verdict, *at))
    }

    /// What a customer is held for now. `owner` is when the one that keeps it was last held alive.
    pub fn in_force(
        &self,
        now: Micros,
        customer: Customer,
        owner: Micros,
        may_share: bool,
    ) -> Pooling {
        let Some((verdict, at)) = self.verdicts.get(&customer) else {
            return Pooling::Unknown;
        };
        let fresh = now.saturating_sub(owner.max(*at)) < fade(verdict.pooling);
        if fresh || (!may_share && verdict.pooling > Pooling::Unknown) {
            verdict.pooling
        } else {
            Pooling::Unknown
        }
    }
}

fn fade(pooling: Pooling) -> Micros {
    if pooling == Pooling::Session {
        FADE_SESSION
    } else {
        FADE
    }
}

/// How a request is to get its connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConnectionPolicy {
    /// Any.
    Any,
    /// The customer's last one, if it is idle and within a run.
    Run,
    /// One of its own.
    Private,
}

/// Pause between two requests of a bound customer that are let go on any connection, to see whether it still is: 12 an hour
/// at a gateway. And the part of requests within runs that are let go while nothing is known: without them it stays so.
pub const LOOK_AGAIN: Micros = 300 * SECOND;
/// See [`LOOK_AGAIN`].
pub const LOOK_UNKNOWN: f64 = 0.5;

/// How a request is to get its connection. `looked` is the time since the last one that was let go, `draw` from 0 to 1. A bound
/// customer loses 12 requests an hour and gateway by it, an unknown one of the second kind some 20 until it is known.
pub fn hold(pooling: Pooling, looked: Micros, draw: f64) -> ConnectionPolicy {
    match pooling {
        Pooling::Statement => ConnectionPolicy::Any,
        Pooling::Unknown if draw < LOOK_UNKNOWN => ConnectionPolicy::Any,
        Pooling::Unknown => ConnectionPolicy::Run,
        Pooling::Transaction | Pooling::Session if looked >= LOOK_AGAIN => ConnectionPolicy::Any,
        Pooling::Transaction => ConnectionPolicy::Run,
        Pooling::Session => ConnectionPolicy::Private,
    }
}

/// What private connections may take.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Limits {
    /// SessionClassifier of the descriptors of a gateway.
    pub of_descriptors: f64,
    /// SessionClassifier of the connections to a backend.
    pub of_backend: f64,
    /// Of one customer at one backend.
    pub each: u32,
    /// The longest a private connection may stay unused.
    pub unused: Micros,
}

impl Default for Limits {
    fn default() -> Self {
        Limits {
            of_descriptors: 0.125,
            of_backend: 0.25,
            each: 1,
            unused: 60 * SECOND,
        }
    }
}

/// What private connections take now.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Usage {
    /// Descriptors of this gateway, and those that are private connections.
    pub descriptors: [u32; 2],
    /// Connections that the backend may have from this gateway, and those that are private.
    pub backend: [u32; 2],
    /// Private ones of this customer at that backend.
    pub own: u32,
}

/// Whether a customer gets a private connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Grant {
    /// It does.
    Private,
    /// It shares, and that is counted: the descriptors' part is used up.
    Descriptors,
    /// It shares: the backend's part is.
    Backend,
    /// It shares: it has as many as one may.
    Each,
}

/// Whether one more private connection is within the limits. Whoever breaks requests on purpose to get one gets no
/// more than all such customers together may have.
pub fn grant(limits: &Limits, usage: &Usage) -> Grant {
    let room =
        |part: f64, [all, private]: [u32; 2]| f64::from(private) + 1.0 <= part * f64::from(all);
    if usage.own >= limits.each {
        Grant::Each
    } else if !room(limits.of_descriptors, usage.descriptors) {
        Grant::Descriptors
    } else if !room(limits.of_backend, usage.backend) {
        Grant::Backend
    } else {
        Grant::Private
    }
}
