//! The view of the fleet: SWIM with Lifeguard's refinements, and what those two do not have: healing after any
//! partition, a look at the own clock after a stall, exchange of what differs, and a bound on all that is sent.
//!
//! The page `docs/fleet-view.md` has the reasons and the times that follow from the probe period.

use crate::engine::{Micros, Place, Send, State};
use crate::wire::{
    id_of, Claim, Datagram, Id, Incarnation, Kind, Update, BUCKETS, MOST_BYTES, UPDATE_BYTES, VERSION,
};
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, VecDeque};

/// Parts of the probe period: the step of all that is periodic, a second ping, the call for help, a helper's second
/// ping and its report, and the verdict of a probe.
const STEP: f64 = 0.1;
const SECOND_PING: f64 = 0.24;
const HELP: f64 = 0.48;
const HELPER_SECOND: f64 = 0.16;
const HELPER_REPORT: f64 = 0.56;
const VERDICT: f64 = 1.5;
/// Steps from one probe of the successor on the ring to the next, and from one of anybody to the next.
const SUCCESSOR_STEPS: u64 = 10;
const ANYBODY_STEPS: u64 = 40;
/// Steps from one call to a dead door to the next, at rest and for so many steps after one has returned.
const HEAL_STEPS: u64 = 10;
const HEALING: u64 = 60;
/// Calls that a dead door gets, in the mean, in the time from one call of a door to its next.
const CALLS: f64 = 2.0;
/// Others that are asked to help, and how many of them have to miss a door for its doubt to be a strong one.
const HELPERS: usize = 3;
const STRONG: usize = 2;
/// Claims of a death that are being looked into at a time.
const CLAIMED: usize = 2;
/// Probe periods from a doubt to the verdict, by how many found it by themselves.
const DOUBT: [f64; 3] = [10.0, 6.0, 3.4];
/// Late by more than this many probe periods, a door has been stopped: what was due meanwhile is no verdict.
const STALL: f64 = 0.6;
/// How often a claim is sent on while there are few, and while there are many.
const FEW: usize = 16;
const TIMES_FEW: u8 = 12;
const TIMES_MANY: u8 = 4;
/// How often a claim that presses is gossiped, beside what other datagrams carry.
const PRESSING: u8 = 5;
/// What is sent in any ten seconds: the bucket's size and ten times its rate. Gossip and healing leave a part of it to
/// probes and answers.
const MESSAGES: Bucket = Bucket { level: 22.0, most: 22.0, per_s: 7.6 };
const BYTES: Bucket = Bucket { level: 4500.0, most: 4500.0, per_s: 1030.0 };
/// Parts of both that questions leave to answers, news to questions, and calls at rest to news.
const KEPT_FOR_ANSWERS: f64 = 0.05;
const KEPT_FOR_QUESTIONS: f64 = 0.2;
const KEPT_FOR_NEWS: f64 = 0.7;
/// Bytes that IP and UDP add.
const HEADERS: usize = 28;
/// Most claims of a datagram that is for something else, and of one that is for them.
const CLAIMS_BESIDE: usize = 10;
const CLAIMS_ALONE: usize = (MOST_BYTES - 128) / UPDATE_BYTES;
/// Local health: how bad it can be said to be. Doubts wait so many times longer.
const WORST_HEALTH: u32 = 2;
/// How long after its start a life outbids a claim of a higher one; later such a claim is its successor's.
const YOUNG_PERIODS: f64 = 20.0;
/// Probe periods between two exchanges of what differs.
const COMPARE_PERIODS: f64 = 0.8;
/// Reports that may be owed to others, and changes that may wait to be taken.
const MOST_RELAYS: usize = 64;
const MOST_CHANGES: usize = 4096;

/// What a datagram is sent for, dearest first: what is cheaper leaves a part of the budget.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Class {
    Answer,
    Question,
    News,
    Call,
}

/// A token bucket.
#[derive(Debug, Clone, Copy)]
struct Bucket {
    level: f64,
    most: f64,
    per_s: f64,
}

impl Bucket {
    fn fill(&mut self, seconds: f64) {
        self.level = (self.level + seconds * self.per_s).min(self.most);
    }
}

/// Of which part of the roster a door can speak.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Side {
    /// All of it lives.
    Whole,
    /// More than half, this door too.
    Majority,
    /// Half or less.
    Minority,
    /// This door alone.
    Alone,
}

/// Why a view changed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Why {
    /// It did not answer this door.
    NoAnswer,
    /// This door was told by another.
    ToldBy(String),
    /// A doubt was not refuted in time.
    NotRefuted,
}

/// The same with a place for the name, which is looked up when a change is kept.
#[derive(Debug, Clone, Copy)]
enum Cause {
    NoAnswer,
    ToldBy(Place),
    NotRefuted,
}

/// A change of the view.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Change {
    /// Of whom.
    pub name: String,
    /// What it was held for.
    pub from: State,
    /// What it is held for.
    pub to: State,
    /// Why.
    pub why: Why,
}

/// What was received and dropped.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Dropped {
    /// It makes no sense.
    pub malformed: u64,
    /// It is from a name or a roster that this door does not have.
    pub unknown: u64,
}

/// What a view begins with.
#[derive(Debug, Clone)]
pub struct Settings {
    /// All names of the roster, this door's too.
    pub roster: Vec<String>,
    /// This door's.
    pub name: String,
    /// The wall clock in milliseconds since 1970. Later lives have later ones, unless the clock was set back.
    pub unix_ms: u64,
    /// The probe period.
    pub probe: Micros,
}

#[derive(Debug, Clone)]
struct Doubt {
    since: Micros,
    until: Micros,
    weight: u8,
}

#[derive(Debug, Clone)]
struct Member {
    id: Id,
    incarnation: Incarnation,
    dead: bool,
    doubt: Option<Doubt>,
    /// How often the claim has been sent on; `None` once that is enough.
    sent: Option<u8>,
    /// It speaks in an incarnation that is behind what is held of it: it is to be told.
    behind: bool,
    /// Others are to hear of it soon: a verdict, a strong doubt, or what refutes those.
    pressing: bool,
}

#[derive(Debug, Clone)]
struct Probe {
    target: Place,
    began: Micros,
    pinged: u8,
    missed: usize,
    /// Whether others are asked for help.
    help: bool,
    /// It was begun as somebody claims the target to be dead.
    claimed: bool,
}

#[derive(Debug, Clone)]
struct Relay {
    asker: Place,
    number: u32,
    target: Place,
    began: Micros,
    pinged: u8,
}

/// One life's view.
#[derive(Debug)]
pub struct View {
    names: Vec<String>,
    places: BTreeMap<Id, Place>,
    /// The roster in the order of the ring, beginning behind this door.
    ring: Vec<Place>,
    roster: u32,
    me: Place,
    members: Vec<Member>,
    rng: Pcg64Mcg,
    probe: Micros,
    born: Micros,
    next: Micros,
    step: u64,
    number: u32,
    probes: BTreeMap<u32, Probe>,
    relays: BTreeMap<u32, Relay>,
    /// Those to probe at random, each once before the first comes again.
    round: Vec<Place>,
    /// Dead ones to call, each once before the first is called again.
    calls: Vec<Place>,
    healing_until: u64,
    messages: Bucket,
    bytes: Bucket,
    filled: Micros,
    compared: Micros,
    health: u32,
    changed: Micros,
    changes: VecDeque<Change>,
    superseded: bool,
    /// What was received and dropped.
    pub dropped: Dropped,
    /// Messages and bytes sent, with the headers of IP and UDP.
    pub sent: (u64, u64),
}

/// Mixes two numbers into one that looks like chance.
fn mix(a: u64, b: u64) -> u64 {
    let mut x = a ^ b.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}

impl View {
    /// A new life that knows the roster and nothing else.
    ///
    /// # Errors
    /// One line: the roster lacks this door's name, has a name twice, or two whose hashes are equal.
    pub fn new(now: Micros, settings: Settings, seed: u64, sends: &mut Vec<Send>) -> Result<View, String> {
        let Settings { roster: mut names, name, unix_ms, probe } = settings;
        names.sort();
        let me = names.binary_search(&name).map_err(|_| format!("the roster lacks '{name}'"))?;
        let mut places = BTreeMap::new();
        for (place, name) in names.iter().enumerate() {
            if let Some(other) = places.insert(id_of(name), place) {
                return Err(format!(
                    "the roster has '{name}' and '{}', which cannot be told apart",
                    names[other]
                ));
            }
        }
        let roster = names.iter().fold(0, |sum, name| mix(sum, u64::from(id_of(name)))) as u32;
        let mut ring: Vec<Place> = (0..names.len()).collect();
        ring.sort_by_key(|place| mix(1, u64::from(id_of(&names[*place]))));
        let own = ring.iter().position(|place| *place == me).unwrap_or(0);
        ring.rotate_left(own);
        ring.remove(0);
        let member = |name: &String| Member {
            id: id_of(name),
            incarnation: 0,
            dead: false,
            doubt: None,
            sent: None,
            behind: false,
            pressing: false,
        };
        let mut members: Vec<Member> = names.iter().map(member).collect();
        members[me].incarnation = unix_ms << 16;
        members[me].sent = Some(0);
        let mut view = View {
            places,
            ring,
            roster,
            me,
            members,
            rng: Pcg64Mcg::seed_from_u64(seed),
            probe,
            born: now,
            next: now,
            step: 0,
            number: 0,
            probes: BTreeMap::new(),
            relays: BTreeMap::new(),
            round: Vec::new(),
            calls: Vec::new(),
            healing_until: 0,
            messages: MESSAGES,
            bytes: BYTES,
            filled: now,
            compared: now,
            health: 0,
            changed: now,
            changes: VecDeque::new(),
            superseded: false,
            dropped: Dropped::default(),
            sent: (0, 0),
            names,
        };
        // Doors that start together are not to call together.
        view.step = view.rng.random_range(0..ANYBODY_STEPS);
        view.next = now + (view.part(STEP) as f64 * view.rng.random::<f64>()) as Micros;
        // Others hold an earlier life, or hold this door for dead: some learn at once, and tell what they hold.
        for _ in 0..HELPERS {
            if let Some(place) = view.anybody() {
                view.compare(now, place, sends);
            }
        }
        Ok(view)
    }

    /// This many parts of a probe period.
    fn part(&self, part: f64) -> Micros {
        (self.probe as f64 * part) as Micros
    }

    /// The states of the roster, in the order of its names.
    pub fn states(&self) -> Vec<State> {
        self.members.iter().map(Member::state).collect()
    }

    /// The names of the roster in order.
    pub fn names(&self) -> &[String] {
        &self.names
    }

    /// Doors that are not dead, this one too.
    fn living(&self) -> usize {
        self.members.iter().filter(|member| !member.dead).count()
    }

    /// Of which part of the roster this door can speak.
    pub fn side(&self) -> Side {
        match self.living() {
            alive if alive == self.members.len() => Side::Whole,
            1 => Side::Alone,
            alive if 2 * alive > self.members.len() => Side::Majority,
            _ => Side::Minority,
        }
    }

    /// Equal at two doors exactly when roster and states are, doubts apart.
    pub fn digest(&self) -> u64 {
        let sum = self.members.iter().filter(|member| member.dead);
        sum.fold(u64::from(self.roster), |sum, member| mix(sum, u64::from(member.id)))
    }

    /// For how long no state has changed.
    pub fn settled(&self, now: Micros) -> Micros {
        now.saturating_sub(self.changed)
    }

    /// A later life has this door's name.
    pub fn is_superseded(&self) -> bool {
        self.superseded
    }

    /// This door's incarnation.
    pub fn incarnation(&self) -> Incarnation {
        self.members[self.me].incarnation
    }

    /// The oldest change that was not taken yet.
    pub fn take_change(&mut self) -> Option<Change> {
        self.changes.pop_front()
    }

    /// When [`View::wake`] is wanted.
    pub fn due(&self) -> Micros {
        self.next
    }

    /// The step is due, or past that.
    pub fn wake(&mut self, now: Micros, sends: &mut Vec<Send>) {
        self.look_at_clock(now);
        if now < self.next {
            return;
        }
        // Steps that were missed are not made up for.
        self.next = now + self.part(STEP);
        self.step += 1;
        self.go_on_with_probes(now, sends);
        self.go_on_with_relays(now, sends);
        self.end_doubts(now);
        if self.step % SUCCESSOR_STEPS == 0 {
            let successor = self.sound().next();
            if let Some(place) = successor {
                self.begin_probe(now, place, sends);
            }
        }
        if self.step % ANYBODY_STEPS == SUCCESSOR_STEPS / 2 {
            if let Some(place) = self.next_of_round() {
                self.begin_probe(now, place, sends);
            }
        }
        if self.step < self.healing_until || self.step % HEAL_STEPS == 0 && self.is_its_turn() {
            self.call_a_dead_one(now, sends);
        }
        if self.members.iter().any(Member::presses) {
            if let Some(place) = self.anybody() {
                self.send(now, place, Kind::Gossip, CLAIMS_ALONE, Class::News, sends);
            }
        }
    }

    /// A datagram has come.
    pub fn receive(&mut self, now: Micros, bytes: &[u8], sends: &mut Vec<Send>) {
        self.look_at_clock(now);
        let Some(datagram) = Datagram::decode(bytes) else {
            self.dropped.malformed += 1;
            return;
        };
        let from = self.places.get(&datagram.from).copied();
        let Some(from) = from.filter(|from| *from != self.me && datagram.roster == self.roster) else {
            self.dropped.unknown += 1;
            return;
        };
        let own = self.incarnation();
        let lives = Update { id: datagram.from, incarnation: datagram.incarnation, claim: Claim::Alive };
        self.members[from].behind = !self.hear(now, from, lives, sends);
        let mut behind = Vec::new();
        for update in &datagram.updates {
            if !self.hear(now, from, *update, sends) {
                behind.extend(self.places.get(&update.id).copied());
            }
        }
        if self.incarnation() > own && !matches!(datagram.kind, Kind::Ping(_)) {
            // Who holds it for doubted or dead is the first to hear that it is not.
            self.send(now, from, Kind::Gossip, CLAIMS_BESIDE, Class::Answer, sends);
        }
        match datagram.kind {
            Kind::Ping(number) => {
                self.send(now, from, Kind::Ack(number), CLAIMS_BESIDE, Class::Answer, sends);
            }
            Kind::Ack(number) => self.answered(now, number, sends),
            Kind::PingFor(number, target) => self.help(now, from, number, target, sends),
            Kind::Reached(number) => {
                self.probes.remove(&number);
            }
            Kind::Missed(number) => {
                if let Some(probe) = self.probes.get_mut(&number) {
                    probe.missed += 1;
                }
            }
            Kind::Compare(theirs) => self.tell_what_differs(now, from, &theirs, sends),
            Kind::Entries => {
                // Where the sender is behind it is told so, in turn.
                let newer = behind.into_iter().take(CLAIMS_ALONE).map(|place| self.members[place].update());
                let newer: Vec<Update> = newer.collect();
                if !newer.is_empty() {
                    self.put(now, from, Kind::Gossip, newer, Class::Question, sends);
                }
            }
            Kind::Gossip => {}
        }
        // While there is much to tell it is told first: two views differ then by what is on its way.
        let much = self.members.iter().filter(|member| member.presses()).count() > FEW;
        let apart = datagram.digest != self.inner_digest() && !much;
        if apart
            && now >= self.compared + self.part(COMPARE_PERIODS)
            && !matches!(datagram.kind, Kind::Compare(_))
        {
            self.compare(now, from, sends);
        }
    }

    /// A door that was stopped has missed what others answered: it takes no verdict from that time, and asks anew.
    fn look_at_clock(&mut self, now: Micros) {
        if now <= self.next + self.part(STALL) {
            return;
        }
        self.probes.clear();
        self.relays.clear();
        self.health = (self.health + 1).min(WORST_HEALTH);
        let wait = self.part(DOUBT[0]);
        for member in &mut self.members {
            if let Some(doubt) = &mut member.doubt {
                (doubt.since, doubt.until, doubt.weight) = (now, now + wait, 1);
            }
        }
        self.next = now;
    }

    fn begin_probe(&mut self, now: Micros, target: Place, sends: &mut Vec<Send>) {
        if self.members[target].dead || self.probes.values().any(|probe| probe.target == target) {
            return;
        }
        self.number = self.number.wrapping_add(1);
        // What was never sent has no answer to miss.
        let claims = if self.members[target].doubt.is_some() { 0 } else { CLAIMS_BESIDE };
        if self.send(now, target, Kind::Ping(self.number), claims, Class::Question, sends) {
            // One that is doubted already is asked again and again, and plainly: help was asked for before.
            let help = self.members[target].doubt.is_none();
            self.probes.insert(
                self.number,
                Probe { target, began: now, pinged: 1, missed: 0, help, claimed: false },
            );
        }
    }

    /// Tells a door that it is held for dead somewhere. No answer makes the claim good.
    fn ask_whether_dead(&mut self, now: Micros, target: Place, claim: Update, sends: &mut Vec<Send>) {
        if self.probes.values().any(|probe| probe.target == target) {
            return;
        }
        self.number = self.number.wrapping_add(1);
        if self.put(now, target, Kind::Ping(self.number), vec![claim], Class::News, sends) {
            let probe = Probe { target, began: now, pinged: 1, missed: 0, help: false, claimed: true };
            self.probes.insert(self.number, probe);
        }
    }

    fn go_on_with_probes(&mut self, now: Micros, sends: &mut Vec<Send>) {
        let numbers: Vec<u32> = self.probes.keys().copied().collect();
        for number in numbers {
            let Some(Probe { target, began, pinged, missed, help, claimed }) =
                self.probes.get(&number).cloned()
            else {
                continue;
            };
            let age = now - began;
            let stage = match age {
                age if age >= self.part(HELP) && help => 3,
                age if age >= self.part(SECOND_PING) => 2,
                _ => 1,
            };
            if let Some(probe) = self.probes.get_mut(&number) {
                probe.pinged = stage;
            }
            if age >= self.part(VERDICT) {
                self.probes.remove(&number);
                self.doubt(now, target, if claimed { STRONG } else { missed });
                // It is told that it is doubted, and asked again.
                self.begin_probe(now, target, sends);
            } else if stage == 3 && pinged < 3 {
                let id = self.members[target].id;
                let helpers = self.helpers(target);
                // Where the budget is spent fewer are asked, and the doubt is a weak one.
                for helper in helpers {
                    self.send(now, helper, Kind::PingFor(number, id), CLAIMS_BESIDE, Class::Question, sends);
                }
            } else if stage == 2 && pinged < 2 {
                // Claims are not wasted on one that may be gone.
                self.send(now, target, Kind::Ping(number), 0, Class::Question, sends);
            }
        }
    }

    fn help(&mut self, now: Micros, asker: Place, number: u32, target: Id, sends: &mut Vec<Send>) {
        let Some(target) = self.places.get(&target).copied() else { return };
        if target == self.me {
            // It is here: nothing could answer better.
            self.send(now, asker, Kind::Reached(number), CLAIMS_BESIDE, Class::Answer, sends);
        } else if self.relays.len() < MOST_RELAYS {
            self.number = self.number.wrapping_add(1);
            self.relays.insert(self.number, Relay { asker, number, target, began: now, pinged: 1 });
            self.send(now, target, Kind::Ping(self.number), 0, Class::Question, sends);
        }
    }

    fn go_on_with_relays(&mut self, now: Micros, sends: &mut Vec<Send>) {
        let numbers: Vec<u32> = self.relays.keys().copied().collect();
        for own in numbers {
            let Some(Relay { asker, number, target, began, pinged }) = self.relays.get(&own).cloned() else {
                continue;
            };
            if now - began >= self.part(HELPER_REPORT) {
                self.relays.remove(&own);
                self.send(now, asker, Kind::Missed(number), CLAIMS_BESIDE, Class::Answer, sends);
            } else if now - began >= self.part(HELPER_SECOND) && pinged < 2 {
                if let Some(relay) = self.relays.get_mut(&own) {
                    relay.pinged = 2;
                }
                self.send(now, target, Kind::Ping(own), 0, Class::Question, sends);
            }
        }
    }

    fn answered(&mut self, now: Micros, number: u32, sends: &mut Vec<Send>) {
        if self.probes.remove(&number).is_some() {
            self.health = self.health.saturating_sub(1);
        } else if let Some(relay) = self.relays.remove(&number) {
            self.send(now, relay.asker, Kind::Reached(relay.number), CLAIMS_BESIDE, Class::Answer, sends);
        }
    }

    /// A probe had no answer: the doubt is strong if helpers missed the door too, and if this door can hear them.
    fn doubt(&mut self, now: Micros, target: Place, missed: usize) {
        let alone = self.living() <= 1 + STRONG;
        let again = self.members[target].doubt.is_some();
        if missed == 0 && !alone && !again {
            // Not even the helpers were heard: the fault may be here.
            self.health = (self.health + 1).min(WORST_HEALTH);
        }
        let own = if missed >= STRONG || alone && missed > 0 { 3 } else { 1 };
        let member = &self.members[target];
        if member.dead {
            return;
        }
        let held = member.doubt.as_ref().map_or(0, |doubt| doubt.weight);
        let weight = own.max(held + 1).min(3);
        self.weigh(now, target, weight, Cause::NoAnswer);
    }

    /// A doubt of this weight is held of a door from now on, or has grown.
    fn weigh(&mut self, now: Micros, place: Place, weight: u8, cause: Cause) {
        let wait = |weight: u8| DOUBT[usize::from(weight.clamp(1, 3)) - 1] * f64::from(1 + self.health);
        let wait = self.part(wait(weight));
        let before = self.members[place].state();
        let member = &mut self.members[place];
        match &mut member.doubt {
            Some(doubt) if doubt.weight >= weight => return,
            Some(doubt) => {
                (doubt.weight, doubt.until) = (weight, doubt.until.min(doubt.since + wait).max(now))
            }
            none => *none = Some(Doubt { since: now, until: now + wait, weight }),
        }
        if weight >= 3 {
            // A weak doubt is this door's own until it is a strong one, or refuted.
            (member.sent, member.pressing) = (Some(0), true);
        }
        self.note(now, place, before, cause);
    }

    fn end_doubts(&mut self, now: Micros) {
        for place in 0..self.members.len() {
            let member = &mut self.members[place];
            if member.doubt.as_ref().is_some_and(|doubt| doubt.until <= now) {
                let before = member.state();
                member.bury(1);
                self.note(now, place, before, Cause::NotRefuted);
            }
        }
    }

    fn note(&mut self, now: Micros, place: Place, before: State, cause: Cause) {
        let after = self.members[place].state();
        if before == after {
            return;
        }
        self.changed = now;
        if self.changes.len() < MOST_CHANGES {
            let name = self.names[place].clone();
            let why = match cause {
                Cause::NoAnswer => Why::NoAnswer,
                Cause::ToldBy(place) => Why::ToldBy(self.names[place].clone()),
                Cause::NotRefuted => Why::NotRefuted,
            };
            self.changes.push_back(Change { name, from: before, to: after, why });
        }
    }

    /// Takes a claim in; false if it is behind what is held.
    fn hear(&mut self, now: Micros, from: Place, update: Update, sends: &mut Vec<Send>) -> bool {
        let Some(place) = self.places.get(&update.id).copied() else { return true };
        if place == self.me {
            self.hear_of_self(now, update);
            return true;
        }
        let before = self.members[place].state();
        let member = &mut self.members[place];
        if update.incarnation < member.incarnation {
            return false;
        }
        let cause = Cause::ToldBy(from);
        if update.incarnation > member.incarnation {
            let returned = member.dead;
            // Only what refutes something is worth telling: that it lives is held of each from the beginning.
            let sent = if before == State::Alive { member.sent } else { Some(0) };
            let pressing = returned || member.doubt.as_ref().is_some_and(|doubt| doubt.weight >= 3);
            *member = Member {
                incarnation: update.incarnation,
                dead: false,
                doubt: None,
                sent,
                pressing,
                ..*member
            };
            // Who was dead and is told to be so again, in a later incarnation, never came back here.
            member.dead = returned && update.claim == Claim::Dead;
            self.note(now, place, before, cause);
            if returned && update.claim != Claim::Dead {
                self.healing_until = self.step + HEALING;
            }
        }
        let member = &mut self.members[place];
        match update.claim {
            Claim::Alive => !member.dead,
            Claim::Suspect(_) if member.dead => false,
            Claim::Suspect(weight) => {
                self.weigh(now, place, weight.clamp(1, 3), cause);
                true
            }
            Claim::Dead if member.dead => true,
            Claim::Dead if member.doubt.as_ref().is_some_and(|doubt| doubt.weight >= 3) => {
                member.bury(0);
                self.note(now, place, before, cause);
                true
            }
            Claim::Dead => {
                // Where it is held for alive this may be another part's verdict: it is told, and asked.
                if self.probes.values().filter(|probe| probe.claimed).count() < CLAIMED {
                    self.ask_whether_dead(now, place, update, sends);
                }
                true
            }
        }
    }

    /// A claim of this door itself. What doubts it is refuted; a later life under its name is one that was started
    /// since, unless this one is young: then the clock of an earlier one was ahead.
    fn hear_of_self(&mut self, now: Micros, update: Update) {
        let young = now < self.born + self.part(YOUNG_PERIODS);
        let own = &mut self.members[self.me];
        if update.incarnation < own.incarnation
            || update.incarnation == own.incarnation && update.claim == Claim::Alive
        {
            return;
        }
        if update.incarnation >> 16 > own.incarnation >> 16 && !young {
            self.superseded = true;
            return;
        }
        own.incarnation = update.incarnation + 1;
        (own.sent, own.pressing) = (Some(0), true);
    }

    /// Dead doors are called as often however many call them: each about twice in the time of one call at the most.
    fn is_its_turn(&mut self) -> bool {
        let living = self.living();
        let chance = CALLS * (self.members.len() - living) as f64 / living as f64;
        self.rng.random_bool(chance.min(1.0))
    }

    fn call_a_dead_one(&mut self, now: Micros, sends: &mut Vec<Send>) {
        if self.calls.is_empty() {
            self.calls = (0..self.members.len()).filter(|place| self.members[*place].dead).collect();
            self.calls.shuffle(&mut self.rng);
        }
        while let Some(place) = self.calls.pop() {
            if self.members[place].dead {
                return self.call(now, place, sends);
            }
        }
    }

    /// Tells a dead door what is held of it. Where it lives, it refutes that.
    fn call(&mut self, now: Micros, place: Place, sends: &mut Vec<Send>) {
        let class = if self.step < self.healing_until { Class::News } else { Class::Call };
        self.number = self.number.wrapping_add(1);
        self.send(now, place, Kind::Ping(self.number), 0, class, sends);
    }

    fn next_of_round(&mut self) -> Option<Place> {
        loop {
            if self.round.is_empty() {
                self.round = self.ring.iter().copied().filter(|place| !self.members[*place].dead).collect();
                self.round.shuffle(&mut self.rng);
            }
            let place = self.round.pop()?;
            if !self.members[place].dead {
                return Some(place);
            }
        }
    }

    /// The others that are neither dead nor doubted, in the order of the ring.
    fn sound(&self) -> impl Iterator<Item = Place> + '_ {
        self.ring.iter().copied().filter(|place| self.members[*place].state() == State::Alive)
    }

    /// One of them.
    fn anybody(&mut self) -> Option<Place> {
        let alive: Vec<Place> = self.sound().collect();
        (!alive.is_empty()).then(|| alive[self.rng.random_range(0..alive.len())])
    }

    fn helpers(&mut self, target: Place) -> Vec<Place> {
        let mut able: Vec<Place> = self.sound().filter(|place| *place != target).collect();
        let (some, _) = able.partial_shuffle(&mut self.rng, HELPERS);
        some.to_vec()
    }

    fn buckets(&self) -> [u32; BUCKETS] {
        let mut buckets = [0; BUCKETS];
        // Those who live are told by nobody, and by themselves with all that they send.
        for member in self.members.iter().filter(|member| member.dead) {
            buckets[member.id as usize % BUCKETS] ^= mix(u64::from(member.id), member.incarnation) as u32;
        }
        buckets
    }

    fn inner_digest(&self) -> u32 {
        self.buckets().iter().fold(0, |sum, bucket| mix(sum, u64::from(*bucket))) as u32
    }

    fn compare(&mut self, now: Micros, with: Place, sends: &mut Vec<Send>) {
        self.compared = now;
        self.send(now, with, Kind::Compare(self.buckets()), CLAIMS_BESIDE, Class::Question, sends);
    }

    /// Sends the entries of buckets that differ, as many as one datagram holds, from a bucket drawn at random on.
    fn tell_what_differs(&mut self, now: Micros, to: Place, theirs: &[u32; BUCKETS], sends: &mut Vec<Send>) {
        let own = self.buckets();
        let first = self.rng.random_range(0..BUCKETS);
        let differ =
            (0..BUCKETS).map(|n| (first + n) % BUCKETS).filter(|bucket| own[*bucket] != theirs[*bucket]);
        let differ: Vec<usize> = differ.collect();
        let mut updates = Vec::new();
        for bucket in differ {
            let of = self.members.iter().filter(|member| member.id as usize % BUCKETS == bucket);
            updates.extend(of.filter(|member| member.incarnation > 0).map(Member::update));
        }
        updates.truncate(CLAIMS_ALONE);
        let size = (updates.len() * UPDATE_BYTES) as f64;
        if !updates.is_empty() && self.bytes.level > size + KEPT_FOR_QUESTIONS * self.bytes.most {
            self.put(now, to, Kind::Entries, updates, Class::Question, sends);
        }
    }

    /// Sends with up to so many claims: what is held of the receiver, if that is not alive, then those sent least.
    fn send(
        &mut self,
        now: Micros,
        to: Place,
        kind: Kind,
        most: usize,
        class: Class,
        sends: &mut Vec<Send>,
    ) -> bool {
        let mut updates = Vec::new();
        if self.members[to].state() != State::Alive || self.members[to].behind {
            updates.push(self.members[to].update());
        }
        let mut fresh: Vec<(u8, Place)> = Vec::new();
        for (place, member) in self.members.iter().enumerate() {
            if let Some(sent) = member.sent.filter(|_| place != to) {
                // This door's own claim goes first.
                fresh.push((if place == self.me { 0 } else { sent }, place));
            }
        }
        if class < Class::News && self.bytes.level < KEPT_FOR_QUESTIONS * self.bytes.most {
            // Claims wait before answers do.
            fresh.clear();
        }
        let times = if fresh.len() <= FEW { TIMES_FEW } else { TIMES_MANY };
        fresh.sort_unstable();
        fresh.truncate(most);
        updates.extend(fresh.iter().map(|(_, place)| self.members[*place].update()));
        let went = self.put(now, to, kind, updates, class, sends);
        if went {
            for (_, place) in fresh {
                let member = &mut self.members[place];
                member.sent = member.sent.map(|sent| sent + 1).filter(|sent| *sent < times);
            }
        }
        went
    }

    /// Sends if the budget allows it. What is not owed leaves some of it.
    fn put(
        &mut self,
        now: Micros,
        to: Place,
        kind: Kind,
        updates: Vec<Update>,
        class: Class,
        sends: &mut Vec<Send>,
    ) -> bool {
        let seconds = now.saturating_sub(self.filled) as f64 / 1e6;
        self.filled = self.filled.max(now);
        self.messages.fill(seconds);
        self.bytes.fill(seconds);
        let kept = match class {
            Class::Answer => 0.0,
            Class::Question => KEPT_FOR_ANSWERS,
            Class::News => KEPT_FOR_QUESTIONS,
            Class::Call => KEPT_FOR_NEWS,
        };
        if self.superseded || self.messages.level < 1.0 + kept * self.messages.most {
            return false;
        }
        let bytes = Datagram {
            version: VERSION,
            roster: self.roster,
            from: self.members[self.me].id,
            incarnation: self.incarnation(),
            digest: self.inner_digest(),
            kind,
            updates,
        }
        .encode();
        let size = (bytes.len() + HEADERS) as f64;
        if self.bytes.level < size + kept * self.bytes.most {
            return false;
        }
        self.messages.level -= 1.0;
        self.bytes.level -= size;
        self.sent.0 += 1;
        self.sent.1 += size as u64;
        sends.push(Send { to, bytes });
        true
    }
}

impl Member {
    fn state(&self) -> State {
        match (&self.doubt, self.dead) {
            (_, true) => State::Dead,
            (Some(_), false) => State::Suspect,
            (None, false) => State::Alive,
        }
    }

    /// It is dead from now on, and that counts as having been sent on so often.
    fn bury(&mut self, sent: u8) {
        (self.doubt, self.dead, self.sent, self.pressing) = (None, true, Some(sent), true);
    }

    /// Whether others are to hear of it soon: a weak doubt has the time to wait for other datagrams.
    fn presses(&self) -> bool {
        self.pressing && self.sent.is_some_and(|sent| sent < PRESSING)
    }

    fn update(&self) -> Update {
        let claim = match (&self.doubt, self.dead) {
            (_, true) => Claim::Dead,
            (Some(doubt), false) => Claim::Suspect(doubt.weight),
            (None, false) => Claim::Alive,
        };
        Update { id: self.id, incarnation: self.incarnation, claim }
    }
}

impl crate::engine::Engine for View {
    fn born(now: Micros, birth: crate::engine::Birth, sends: &mut Vec<Send>) -> View {
        let roster: Vec<String> = (0..birth.roster).map(|place| format!("n{place:03}")).collect();
        let name = roster[birth.me].clone();
        let settings = Settings { roster, name, unix_ms: birth.unix / 1000, probe: birth.probe };
        // Names that are made here are good ones.
        View::new(now, settings, birth.seed, sends).unwrap_or_else(|problem| unreachable!("{problem}"))
    }
    fn receive(&mut self, now: Micros, bytes: &[u8], sends: &mut Vec<Send>) {
        View::receive(self, now, bytes, sends);
    }
    fn due(&self) -> Option<Micros> {
        Some(View::due(self))
    }
    fn wake(&mut self, now: Micros, sends: &mut Vec<Send>) {
        View::wake(self, now, sends);
    }
    fn view(&self) -> Vec<State> {
        self.states()
    }
}
