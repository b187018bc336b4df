//! The view of the fleet: SWIM with Lifeguard's refinements, and what those two do not have: healing after any
//! partition, a look at the own clock after a stall, exchange of what differs, and a bound on all that is sent.
//!
//! The page `docs/fleet-view.md` has the reasons and the times that follow from the probe period.

use crate::engine::{Micros, Place, Send, State};
use crate::rules::{self, Held, Own, Weight};
use crate::wire::{id_of, Claim, Datagram, Id, Incarnation, Kind, Mark, Marks, Update, MOST_NAMES, OLDEST};
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, VecDeque};

/// Parts of the probe period: the step of all that is periodic, a second and a third ping, the call for help, a helper's second
/// ping and its report, and the verdict of a probe.
const STEP: f64 = 0.1;
const SECOND_PING: f64 = 0.2;
const THIRD_PING: f64 = 0.36;
const HELP: f64 = 0.52;
const HELPER_SECOND: f64 = 0.16;
const HELPER_REPORT: f64 = 0.56;
const VERDICT: f64 = 1.5;
/// Steps from one probe of the successor on the ring to the next, and from one of anybody to the next.
const SUCCESSOR_STEPS: u64 = 15;
const ANYBODY_STEPS: u64 = 40;
const AGAIN_STEPS: u64 = 10;
/// Steps from one call to a dead door to the next, at rest and for so many steps after one has returned.
const HEAL_STEPS: u64 = 10;
const HEALING: u64 = 60;
/// Calls that a dead door gets, in the mean, in the time from one call of a door to its next.
const CALLS: f64 = 2.0;
/// Others that are asked to help. All of them have to miss a door for its doubt to be a strong one at once.
const HELPERS: usize = 3;
/// While there is much to tell there are fewer, and each question is asked once.
const HELPERS_MUCH: usize = 2;
/// They are drawn from so many that were heard last.
const HEARD_LAST: usize = 8;
/// What a doubt weighs that is told to others.
const STRONG: u8 = 3;
/// Doors, in the mean, that tell one that it is doubted, beside those that found so.
const INFORM: f64 = 4.0;
/// Doors that one tells that goes.
const TOLD_OF_LEAVING: usize = 8;
/// Claims of a death that are being looked into at a time.
const CLAIMED: usize = 2;
/// Probe periods from a doubt to the verdict, by its weight.
const DOUBT: [f64; 3] = [10.0, 6.0, 4.2];
/// Before a verdict another door is asked whether it knows better: so long before, so long again where it does not
/// answer, so often at the most, so many doubts at a time.
const CONFIRM: f64 = 1.2;
const CONFIRM_AGAIN: f64 = 0.4;
const CONFIRMS: u8 = 5;
const CONFIRM_EVERY: f64 = 0.8;
const CONFIRM_MOST: usize = 40;
const CONFIRM_TIME: f64 = 0.8;
/// Probe periods after which a doubt is no news to anybody: by then it is a verdict, or was refuted. And the age of one
/// that comes from another's verdict.
const DOUBT_OVER: f64 = 6.0;
const DOUBT_LATE: f64 = 1.0;
/// Probe periods without a word from anybody after which a door holds itself for cut off.
const SILENCE: f64 = 6.0;
/// Late by more than this many probe periods, a door has been stopped: what was due meanwhile is no verdict.
const STALL: f64 = 0.6;
/// How often a claim is sent on while there are few, and while there are many.
const FEW: usize = 16;
const TIMES_FEW: u8 = 12;
const TIMES_MANY: u8 = 4;
const TIMES_KNOWN: u8 = 3;
/// How often a claim that presses is gossiped, beside what other datagrams carry.
const PRESSING: u8 = 4;
/// What is sent in any ten seconds: the bucket's size and ten times its rate. Gossip and healing leave a part of it to
/// probes and answers.
const MESSAGES: Bucket = Bucket { level: 14.0, most: 14.0, per_s: 8.6 };
const BYTES: Bucket = Bucket { level: 4500.0, most: 4500.0, per_s: 1030.0 };
/// Parts of both that questions leave to answers, news to questions, and calls at rest to news.
const KEPT_FOR_ANSWERS: f64 = 0.05;
const KEPT_FOR_QUESTIONS: f64 = 0.2;
const KEPT_FOR_NEWS: f64 = 0.5;
/// Bytes that IP and UDP add.
const HEADERS: usize = 28;
/// Most claims of a datagram that is for something else, and of one that is for them.
const CLAIMS_BESIDE: usize = 10;
const CLAIMS_ALONE: usize = 160;
/// Local health: how bad it can be said to be. Doubts wait so many times longer.
const WORST_HEALTH: u32 = 2;
/// How long after its start a life outbids a claim of a higher one; later such a claim is its successor's.
const YOUNG_PERIODS: f64 = 20.0;
/// Probe periods between two exchanges of what differs: where digests differ, and where
/// rosters do.
const COMPARE_PERIODS: f64 = 0.6;
const COMPARE_ROSTERS: f64 = 8.0;
const COMPARE_MORE: f64 = 1.5;
/// Probe periods for which pings carry marks after views were seen to differ.
const APART: f64 = 3.0;
/// Most claims of an answer that tells what differs; bytes of a claim, about, and of what is beside them.
const CLAIMS_ANSWERED: usize = 60;
const CLAIM_BYTES: f64 = 9.0;
const TELL_BESIDE: f64 = 60.0;
/// Most claims that are told where only incarnations differ.
const GONE_MOST: usize = 40;
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
    /// It spoke, in a later incarnation.
    Returned,
    /// It said that it goes.
    Left,
}

/// The same with a place for the name, which is looked up when a change is kept.
#[derive(Debug, Clone, Copy)]
enum Cause {
    NoAnswer,
    ToldBy(Place),
    NotRefuted,
    Returned,
    Left,
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
    /// It is from a name that this door's roster does not have, or from its own.
    pub unknown: u64,
    /// It is from a life that is over.
    pub stale: u64,
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
    /// How often others were asked to confirm it, when the next is, and whether one had nothing against it.
    asked: u8,
    ask_at: Micros,
    confirmed: bool,
}

#[derive(Debug, Clone)]
struct Member {
    id: Id,
    incarnation: Incarnation,
    dead: bool,
    /// It is gone by its own word.
    left: bool,
    doubt: Option<Doubt>,
    /// When it was last heard itself.
    heard: Option<Micros>,
    /// When it was last held for dead and came back, and when in the life that it had before.
    returned: Option<Micros>,
    rejoined: Option<Micros>,
    /// When its incarnation was last raised while this door looked.
    raised: Option<Micros>,
    /// How often the claim has been sent on; `None` once that is enough.
    sent: Option<u8>,
    /// The roster that it had when it was last heard.
    roster: Option<u32>,
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
    /// Helpers there were to ask, and those that report a miss.
    asked: usize,
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
    compare_gap: f64,
    /// When anybody was last heard, and whether all are doubted as that was long ago.
    heard: Micros,
    silent: bool,
    /// There is much to tell; views were seen to differ not long ago.
    much: bool,
    /// Doubted ones that are to be told.
    inform: Vec<Place>,
    apart_until: Micros,
    /// When another was last asked to confirm doubts.
    confirmed: Micros,
    health: u32,
    changed: Micros,
    changes: VecDeque<Change>,
    /// Since when this life has seen the fleet without a stop.
    watching: Micros,
    /// Doubts that another was asked to confirm, by the question's number.
    confirming: BTreeMap<u32, Vec<Place>>,
    superseded: bool,
    superseded_told: bool,
    /// It has told that it goes, and says nothing more.
    left: bool,
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

/// What follows from a roster's names.
struct Tables {
    places: BTreeMap<Id, Place>,
    ring: Vec<Place>,
    roster: u32,
    me: Place,
}

impl Tables {
    /// Sorts the names.
    fn of(names: &mut [String], name: &str) -> Result<Tables, String> {
        if names.len() > MOST_NAMES {
            return Err(format!("the roster has {} names, and {MOST_NAMES} are the most", names.len()));
        }
        names.sort();
        let me = names.binary_search_by(|other| other.as_str().cmp(name));
        let me = me.map_err(|_| format!("the roster lacks '{name}'"))?;
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
        Ok(Tables { places, ring, roster, me })
    }
}

impl View {
    /// A new life that knows the roster and nothing else.
    ///
    /// # Errors
    /// One line: the roster lacks this door's name, has a name twice, two whose hashes are equal, or too many.
    pub fn new(now: Micros, settings: Settings, seed: u64, sends: &mut Vec<Send>) -> Result<View, String> {
        let Settings { roster: mut names, name, unix_ms, probe } = settings;
        let Tables { places, ring, roster, me } = Tables::of(&mut names, &name)?;
        let member = |name: &String| Member::unknown(id_of(name));
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
            compare_gap: COMPARE_PERIODS,
            heard: now,
            silent: false,
            much: false,
            inform: Vec::new(),
            apart_until: 0,
            confirmed: 0,
            health: 0,
            changed: now,
            changes: VecDeque::new(),
            watching: now,
            confirming: BTreeMap::new(),
            superseded: false,
            superseded_told: false,
            left: false,
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

    /// Takes over another roster. What is held of names that stay is kept; names that go are forgotten, and what
    /// comes from them revives nobody; names that come are held for alive until they do not answer.
    ///
    /// # Errors
    /// As [`View::new`]; the roster stays as it was.
    pub fn set_roster(&mut self, now: Micros, mut names: Vec<String>) -> Result<(), String> {
        let Tables { places, ring, roster, me } = Tables::of(&mut names, &self.names[self.me])?;
        if names == self.names {
            return Ok(());
        }
        let held = |id: Id| self.places.get(&id).map(|place| self.members[*place].clone());
        let members = names.iter().map(|name| held(id_of(name)).unwrap_or(Member::unknown(id_of(name))));
        self.members = members.collect();
        (self.names, self.places, self.ring, self.roster, self.me) = (names, places, ring, roster, me);
        // These go by places of the old roster.
        (self.probes, self.relays, self.confirming) = Default::default();
        (self.round, self.calls, self.inform) = Default::default();
        self.changed = now;
        Ok(())
    }

    /// Tells others that this door goes, and says nothing more from then on.
    pub fn leave(&mut self, now: Micros, sends: &mut Vec<Send>) {
        self.members[self.me].left = true;
        self.members[self.me].dead = true;
        let mut told: Vec<Place> = self.sound().collect();
        told.shuffle(&mut self.rng);
        for place in told.into_iter().take(TOLD_OF_LEAVING) {
            self.put(now, place, Kind::Entries, vec![self.me], Class::Answer, sends);
        }
        self.left = true;
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

    /// Equal at two doors exactly when roster and states are.
    pub fn digest(&self) -> u64 {
        let sum = self.members.iter().filter(|member| member.state() != State::Alive);
        let of = |member: &Member| u64::from(member.id) << 1 | u64::from(member.dead);
        sum.fold(u64::from(self.roster), |sum, member| mix(sum, of(member)))
    }

    /// For how long no state has changed.
    pub fn settled(&self, now: Micros) -> Micros {
        now.saturating_sub(self.changed)
    }

    /// A later life has this door's name.
    pub fn is_superseded(&self) -> bool {
        self.superseded
    }

    /// True once, after a later life was heard of.
    pub fn take_superseded(&mut self) -> bool {
        self.superseded && !std::mem::replace(&mut self.superseded_told, true)
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
        self.look_for_silence(now);
        self.confirm_doubts(now, sends);
        self.end_doubts(now);
        for place in std::mem::take(&mut self.inform) {
            if self.members[place].doubt.is_some() {
                self.number = self.number.wrapping_add(1);
                self.put(now, place, Kind::Ping(self.number), vec![place], Class::Question, sends);
            }
        }
        if self.step % SUCCESSOR_STEPS == 0 {
            let successor = self.sound().next();
            if let Some(place) = successor {
                self.begin_probe(now, place, sends);
            }
        }
        if self.step % AGAIN_STEPS == 0 {
            // Where the budget did not allow it at once, one that is doubted is asked again now.
            let weak = |member: &Member| member.state() == State::Suspect && member.told() == State::Alive;
            let asked = |place: &Place| self.probes.values().any(|probe| probe.target == *place);
            let place = (0..self.members.len()).find(|place| weak(&self.members[*place]) && !asked(place));
            if let Some(place) = place {
                self.begin_probe(now, place, sends);
            }
        }
        if self.step % ANYBODY_STEPS == SUCCESSOR_STEPS / 2 {
            if let Some(place) = self.next_of_round() {
                self.begin_probe(now, place, sends);
            }
        }
        if self.step % HEAL_STEPS == 0 && (self.step < self.healing_until || self.is_its_turn()) {
            self.call_a_dead_one(now, sends);
        }
        let pressing = self.members.iter().filter(|member| member.presses()).count();
        self.much = pressing > FEW;
        if self.much && now >= self.compared + self.part(self.compare_gap) {
            // What two differ in is told once; many claims sent to anybody would mostly be known there.
            if let Some(place) = self.anybody() {
                self.compare(now, place, sends);
            }
        } else if (1..=FEW).contains(&pressing) {
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
        let Some(from) = from.filter(|from| *from != self.me) else {
            self.dropped.unknown += 1;
            return;
        };
        if self.left {
            return;
        }
        let same_roster = datagram.roster == self.roster;
        let own = self.incarnation();
        if let Kind::Claimed(_, incarnation) = datagram.kind {
            self.hear_of_self(now, incarnation, Claim::Dead);
        }
        self.end_silence(now);
        self.members[from].heard = Some(now);
        self.members[from].roster = Some(datagram.roster);
        self.members[from].behind = !self.hear(now, from, from, datagram.incarnation, Claim::Alive, sends);
        if datagram.incarnation >> 16 < self.members[from].incarnation >> 16 {
            self.dropped.stale += 1;
        }
        self.clear_own_doubt(now, from);
        let mut behind = Vec::new();
        for Update { who, incarnation, claim } in &datagram.updates {
            let place = match datagram.by_place {
                true if same_roster => Some(*who as Place).filter(|place| *place < self.members.len()),
                true => None,
                false => self.places.get(who).copied(),
            };
            // Of names that this roster does not have nothing is kept.
            let Some(place) = place else { continue };
            if !self.hear(now, from, place, *incarnation, *claim, sends) {
                behind.push(place);
            }
        }
        if self.incarnation() > own && !matches!(datagram.kind, Kind::Ping(_) | Kind::Claimed(..)) {
            // Who holds it for doubted or dead is the first to hear that it is not.
            self.send(now, from, Kind::Gossip, CLAIMS_BESIDE, Class::Answer, sends);
        }
        let theirs = datagram.marks.filter(|_| same_roster);
        let differs = theirs.as_ref().map(|theirs| self.what_differs(now, from, theirs));
        match datagram.kind {
            Kind::Ping(number) | Kind::Claimed(number, _) => match &differs {
                Some(differs) => self.tell(now, from, Kind::Ack(number), differs, false, sends),
                None => {
                    self.send(now, from, Kind::Ack(number), CLAIMS_BESIDE, Class::Answer, sends);
                }
            },
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
            Kind::Compare => {
                let differs = match differs {
                    Some(differs) if !differs.tells.is_empty() || differs.lacks => differs,
                    _ => self.all_gone(),
                };
                self.tell(now, from, Kind::Entries, &differs, true, sends);
                return;
            }
            // Where the sender is behind it is told so, in turn.
            Kind::Entries => {
                self.tell_newer(now, from, behind, Kind::Gossip, sends);
                if let Some(differs) = differs {
                    self.tell(now, from, Kind::Entries, &differs, false, sends);
                }
                return;
            }
            Kind::Confirm(number) => self.tell_newer(now, from, behind, Kind::Confirmed(number), sends),
            Kind::Confirmed(number) => {
                for place in self.confirming.remove(&number).unwrap_or_default() {
                    if let Some(doubt) = &mut self.members[place].doubt {
                        doubt.confirmed = true;
                    }
                }
            }
            Kind::Gossip => {}
        }
        let periods = if same_roster { self.compare_gap } else { COMPARE_ROSTERS };
        let apart = datagram.digest != self.inner_digest() || !same_roster;
        if apart && same_roster {
            self.apart_until = now + self.part(APART);
        }
        if apart && !self.much && now >= self.compared + self.part(periods) {
            self.compare(now, from, sends);
        }
    }

    /// A doubt that was told to nobody ends with anything that comes from the door itself.
    fn clear_own_doubt(&mut self, now: Micros, place: Place) {
        let member = &mut self.members[place];
        if member.doubt.as_ref().is_some_and(|doubt| doubt.weight < STRONG) {
            member.doubt = None;
            self.note(now, place, State::Suspect, Cause::Returned);
        }
    }

    /// Tells a door what it is behind in, with an answer that is owed.
    fn tell_newer(&mut self, now: Micros, to: Place, behind: Vec<Place>, kind: Kind, sends: &mut Vec<Send>) {
        let newer: Vec<Place> = behind.into_iter().take(CLAIMS_ALONE).collect();
        let owed = matches!(kind, Kind::Confirmed(_));
        if owed || !newer.is_empty() {
            let class = if owed { Class::Answer } else { Class::Question };
            self.put(now, to, kind, newer, class, sends);
        }
    }

    /// A door that was stopped has missed what others answered: it takes no verdict from that time, and asks anew.
    fn look_at_clock(&mut self, now: Micros) {
        if now <= self.next + self.part(STALL) {
            return;
        }
        self.probes.clear();
        self.relays.clear();
        self.confirming.clear();
        self.watching = now;
        self.end_silence(now);
        self.health = (self.health + 1).min(WORST_HEALTH);
        let wait = self.part(DOUBT[0]);
        for member in &mut self.members {
            if member.doubt.is_some() {
                member.doubt = Some(Doubt::new(now, wait, 1));
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
            // While there is much to tell, one that is doubted already is asked again plainly.
            let help = !self.much || self.members[target].doubt.is_none();
            self.probes.insert(
                self.number,
                Probe { target, began: now, pinged: 1, asked: 0, missed: 0, help, claimed: false },
            );
        }
    }

    /// Tells a door that it is held for dead somewhere. No answer makes the claim good.
    fn ask_whether_dead(&mut self, now: Micros, target: Place, claimed: Incarnation, sends: &mut Vec<Send>) {
        if self.probes.values().any(|probe| probe.target == target) {
            return;
        }
        self.number = self.number.wrapping_add(1);
        let kind = Kind::Claimed(self.number, claimed);
        if self.put(now, target, kind, Vec::new(), Class::News, sends) {
            let probe =
                Probe { target, began: now, pinged: 1, asked: 0, missed: 0, help: false, claimed: true };
            self.probes.insert(self.number, probe);
        }
    }

    fn go_on_with_probes(&mut self, now: Micros, sends: &mut Vec<Send>) {
        let numbers: Vec<u32> = self.probes.keys().copied().collect();
        for number in numbers {
            let Some(Probe { target, began, pinged, asked, missed, help, claimed }) =
                self.probes.get(&number).cloned()
            else {
                continue;
            };
            let age = now - began;
            let stage = match age {
                age if age >= self.part(HELP) && help => 4,
                age if age >= self.part(THIRD_PING) => 3,
                age if age >= self.part(SECOND_PING) => 2,
                _ => 1,
            };
            if let Some(probe) = self.probes.get_mut(&number) {
                probe.pinged = stage;
            }
            if age >= self.part(VERDICT) {
                self.probes.remove(&number);
                let found = match missed {
                    _ if claimed => 2,
                    missed if asked > 0 && missed >= asked => STRONG,
                    missed => missed as u8,
                };
                let strong = |view: &View| {
                    view.members[target].doubt.as_ref().is_some_and(|doubt| doubt.weight >= STRONG)
                };
                let before = strong(self);
                self.doubt(now, target, found);
                // It is told that it is doubted, and asked again.
                if !before {
                    self.begin_probe(now, target, sends);
                }
            } else if stage == 4 && pinged < 4 {
                let id = self.members[target].id;
                let helpers = self.helpers(target);
                if let Some(probe) = self.probes.get_mut(&number) {
                    probe.asked = helpers.len();
                }
                // Where the budget is spent fewer are asked, and the doubt is a weak one.
                for helper in helpers {
                    self.send(now, helper, Kind::PingFor(number, id), CLAIMS_BESIDE, Class::Question, sends);
                }
            } else if matches!(stage, 2 | 3) && pinged < stage && !self.much {
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
            } else if now - began >= self.part(HELPER_SECOND) && pinged < 2 && !self.much {
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

    /// A probe had no answer. What it weighs is how many helpers missed the door too, if any was heard.
    fn doubt(&mut self, now: Micros, target: Place, found: u8) {
        let member = &self.members[target];
        if member.dead {
            return;
        }
        let alone = self.living() <= 2;
        if found == 0 && !alone && member.doubt.is_none() {
            // Not even the helpers were heard: the fault may be here.
            self.health = (self.health + 1).min(WORST_HEALTH);
        }
        let held = member.doubt.as_ref().map_or(0, |doubt| doubt.weight);
        self.weigh(now, target, now, found.max(held + 1).min(STRONG), Cause::NoAnswer);
    }

    /// A doubt of this weight is held of a door since then, or has grown.
    fn weigh(&mut self, now: Micros, place: Place, since: Micros, weight: u8, cause: Cause) {
        let wait = |weight: u8| DOUBT[usize::from(weight.clamp(1, 3)) - 1] * f64::from(1 + self.health);
        let (wait, least) = (self.part(wait(weight)), self.part(CONFIRM_TIME));
        let before = self.members[place].state();
        let member = &mut self.members[place];
        match &mut member.doubt {
            Some(doubt) if doubt.weight >= weight => return,
            Some(doubt) => {
                (doubt.weight, doubt.until) = (weight, doubt.until.min(doubt.since + wait).max(now));
            }
            none => {
                // Who hears of it late still has the time to ask another whether it was refuted.
                let until = (since + wait).max(now + least);
                *none = Some(Doubt { since, until, ..Doubt::new(now, wait, weight) });
            }
        }
        if weight >= STRONG {
            // A weak doubt is this door's own until it is a strong one, or refuted.
            (member.sent, member.pressing) = (Some(0), true);
            if matches!(cause, Cause::ToldBy(_)) {
                self.tell_some(place);
            }
        }
        self.note(now, place, before, cause);
    }

    /// Where nobody is heard at all this door is cut off, and does not ask for each in turn: it doubts all at once. These
    /// doubts are its own, and end with the first thing that it hears.
    fn look_for_silence(&mut self, now: Micros) {
        if self.silent || now < self.heard + self.part(SILENCE) {
            return;
        }
        self.silent = true;
        let wait = self.part(DOUBT[2]);
        for place in (0..self.members.len()).filter(|place| *place != self.me).collect::<Vec<_>>() {
            let member = &mut self.members[place];
            let before = member.state();
            if member.dead {
                continue;
            }
            let doubt = member.doubt.get_or_insert(Doubt::new(now, wait, 1));
            (doubt.until, doubt.confirmed) = (doubt.until.min(now + wait), true);
            self.note(now, place, before, Cause::NoAnswer);
        }
    }

    fn end_silence(&mut self, now: Micros) {
        self.heard = now;
        if std::mem::take(&mut self.silent) {
            (0..self.members.len()).for_each(|place| self.clear_own_doubt(now, place));
        }
    }

    /// Asks others about the doubts that are to end soon: a refutation may have passed this door by.
    fn confirm_doubts(&mut self, now: Micros, sends: &mut Vec<Send>) {
        if self.members.iter().filter(|member| member.told() == State::Suspect).count() > FEW {
            // Marks that are exchanged anyway confirm so many.
            return;
        }
        let (ahead, again) = (self.part(CONFIRM), self.part(CONFIRM_AGAIN));
        if now < self.confirmed + self.part(CONFIRM_EVERY) {
            return;
        }
        let soon = |doubt: &Doubt| {
            !doubt.confirmed && doubt.asked < CONFIRMS && doubt.until <= now + ahead && doubt.ask_at <= now
        };
        let of = |place: &Place| self.members[*place].doubt.as_ref().is_some_and(soon);
        let places: Vec<Place> = (0..self.members.len()).filter(of).take(CONFIRM_MOST).collect();
        if places.is_empty() {
            return;
        }
        let Some(to) = self.helpers(self.me).first().copied() else {
            // There is nobody to know better.
            for place in places {
                if let Some(doubt) = &mut self.members[place].doubt {
                    doubt.confirmed = true;
                }
            }
            return;
        };
        self.confirmed = now;
        self.number = self.number.wrapping_add(1);
        let number = self.number;
        let went = self.put(now, to, Kind::Confirm(number), places.clone(), Class::News, sends);
        for place in &places {
            if let Some(doubt) = &mut self.members[*place].doubt {
                (doubt.asked, doubt.ask_at) = (doubt.asked + 1, now + again);
            }
        }
        if went {
            self.confirming.insert(number, places);
            while self.confirming.len() > usize::from(CONFIRMS) {
                self.confirming.pop_first();
            }
        }
    }

    /// Some of those that are told of a doubt tell the doubted one, which cannot refute what it never hears.
    fn tell_some(&mut self, place: Place) {
        let chance = (INFORM / self.living().max(1) as f64).min(1.0);
        if self.rng.random_bool(chance) {
            self.inform.push(place);
        }
    }

    fn end_doubts(&mut self, now: Micros) {
        let patience = self.part(CONFIRM_AGAIN * f64::from(CONFIRMS));
        for place in 0..self.members.len() {
            let member = &mut self.members[place];
            let over =
                |doubt: &Doubt| doubt.until <= now && (doubt.confirmed || doubt.until + patience <= now);
            if member.doubt.as_ref().is_some_and(over) {
                let before = member.state();
                member.bury(1);
                // Who holds the doubt comes to the verdict by itself.
                member.pressing = false;
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
        self.compare_gap = COMPARE_PERIODS;
        if self.changes.len() < MOST_CHANGES {
            let name = self.names[place].clone();
            let why = match cause {
                Cause::NoAnswer => Why::NoAnswer,
                Cause::ToldBy(place) => Why::ToldBy(self.names[place].clone()),
                Cause::NotRefuted => Why::NotRefuted,
                Cause::Returned => Why::Returned,
                Cause::Left => Why::Left,
            };
            self.changes.push_back(Change { name, from: before, to: after, why });
        }
    }

    /// Takes a claim in; false if it is behind what is held.
    fn hear(
        &mut self,
        now: Micros,
        from: Place,
        place: Place,
        incarnation: Incarnation,
        claim: Claim,
        sends: &mut Vec<Send>,
    ) -> bool {
        if place == self.me {
            self.hear_of_self(now, incarnation, claim);
            return true;
        }
        let before = self.members[place].state();
        let member = &mut self.members[place];
        let held = Held { incarnation: member.incarnation, dead: member.dead };
        let weight = rules::weigh(held, incarnation);
        if weight == Weight::Behind {
            return false;
        }
        let cause = if from == place { Cause::Returned } else { Cause::ToldBy(from) };
        if let Weight::Later { same_life } = weight {
            let returned = member.dead;
            // Only what refutes something is worth telling: that it lives is held of each from the beginning.
            let sent = match before {
                State::Alive if self.much || incarnation as u16 == 0 => member.sent,
                // Who has not heard of the doubt yet is not to take it for news.
                State::Alive => Some(member.sent.unwrap_or(TIMES_FEW).min(TIMES_FEW - TIMES_KNOWN)),
                _ => Some(0),
            };
            let pressing = returned || member.doubt.as_ref().is_some_and(|doubt| doubt.weight >= STRONG);
            let dead = rules::take(held, incarnation, claim).dead;
            *member = Member {
                incarnation,
                dead,
                left: dead && claim == Claim::Left,
                doubt: None,
                raised: Some(now),
                returned: if returned && !dead { Some(now) } else { member.returned },
                rejoined: if returned && !dead && same_life { Some(now) } else { member.rejoined },
                sent,
                pressing,
                ..*member
            };
            self.note(now, place, before, cause);
            if returned && !dead {
                self.healing_until = self.step + HEALING;
            }
        }
        let member = &mut self.members[place];
        match claim {
            Claim::Alive => !member.dead,
            Claim::Suspect(_) if member.dead => false,
            Claim::Suspect(tenths) => {
                let age = self.part(f64::from(tenths) / 10.0);
                if age <= self.part(DOUBT_OVER) {
                    self.weigh(now, place, now.saturating_sub(age), STRONG, cause);
                }
                true
            }
            Claim::Dead | Claim::Left if member.dead => true,
            Claim::Left => {
                // Its own word: nobody else makes this claim of an incarnation.
                member.bury(0);
                member.left = true;
                self.note(now, place, before, Cause::Left);
                true
            }
            Claim::Dead if member.doubt.as_ref().is_some_and(|doubt| doubt.weight >= STRONG) => {
                member.bury(0);
                self.note(now, place, before, cause);
                true
            }
            Claim::Dead if self.was_apart(now, from) => {
                // This may be the verdict of another part of the fleet: it is asked.
                if self.probes.values().filter(|probe| probe.claimed).count() < CLAIMED {
                    self.ask_whether_dead(now, place, incarnation, sends);
                }
                true
            }
            Claim::Dead => {
                // The doubt has passed this door by; a refutation may yet come.
                let since = now.saturating_sub(self.part(DOUBT_LATE));
                self.weigh(now, place, since, STRONG, cause);
                if !self.much {
                    self.inform.push(place);
                }
                true
            }
        }
    }

    /// Whether a door was out of reach until not long ago, or is.
    fn was_apart(&self, now: Micros, place: Place) -> bool {
        let member = &self.members[place];
        member.dead || member.returned.is_some_and(|at| now < at + self.part(YOUNG_PERIODS))
    }

    fn hear_of_self(&mut self, now: Micros, incarnation: Incarnation, claim: Claim) {
        let young = now < self.born + self.part(YOUNG_PERIODS);
        let own = &mut self.members[self.me];
        match rules::of_self(own.incarnation, young, self.superseded, incarnation, claim) {
            Own::Keep => {}
            Own::Resume => (self.superseded, self.superseded_told) = (false, false),
            Own::Adopt(incarnation) => own.incarnation = incarnation,
            Own::Superseded => self.superseded = true,
            Own::Outbid(incarnation) => {
                own.incarnation = incarnation;
                (own.sent, own.pressing) = (Some(0), true);
                (self.superseded, self.superseded_told) = (false, false);
            }
        }
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
        // Those that were heard last can be reached most surely, also where a part of the fleet is cut off just now.
        able.sort_by_key(|place| std::cmp::Reverse(self.members[*place].heard));
        able.truncate(HEARD_LAST);
        let most = if self.much { HELPERS_MUCH } else { HELPERS };
        let (some, _) = able.partial_shuffle(&mut self.rng, most);
        some.to_vec()
    }

    /// Of what others are told: who is gone, in which incarnation.
    fn inner_digest(&self) -> u32 {
        // Those who live are told by nobody, and by themselves with all that they send.
        let dead = self.members.iter().filter(|member| member.dead);
        dead.fold(0, |sum, member| sum ^ mix(u64::from(member.id), member.incarnation)) as u32
    }

    /// Whether this life has seen the fleet for long enough to speak of who lives.
    fn vouches(&self, now: Micros) -> bool {
        now >= self.watching + self.part(YOUNG_PERIODS)
    }

    fn marks(&self, now: Micros) -> Marks {
        let mut marks = Marks::none(self.members.len());
        marks.vouches = self.vouches(now);
        for (place, member) in self.members.iter().enumerate() {
            marks.set(place, self.mark(now, member));
        }
        marks
    }

    fn mark(&self, now: Micros, member: &Member) -> Mark {
        let recent = self.part(YOUNG_PERIODS);
        match member.told() {
            State::Dead => Mark::Dead,
            State::Suspect => Mark::Doubted,
            State::Alive if member.raised.is_some_and(|raised| now < raised + recent) => Mark::Raised,
            State::Alive => Mark::Alive,
        }
    }

    fn compare(&mut self, now: Micros, with: Place, sends: &mut Vec<Send>) {
        if self.send(now, with, Kind::Compare, 0, Class::News, sends) {
            self.compared = now;
            // Where exchanges change nothing the next one waits longer.
            self.compare_gap = (COMPARE_MORE * self.compare_gap).min(COMPARE_ROSTERS);
        }
    }

    /// Takes the word of a door that was out of reach for those that live on its side. Had each of them to refute its
    /// death by itself, healing would take as long as telling all of that to all. The incarnation is raised in their
    /// stead, so that the verdicts from before are over everywhere; they take it over once they hear of it. Only one
    /// that has watched its side for long, in the life that it had before, speaks for others.
    fn believe(&mut self, now: Micros, from: Place, theirs: &Marks) {
        let member = &self.members[from];
        let rejoined = member.rejoined.is_some_and(|at| now < at + self.part(YOUNG_PERIODS));
        if !theirs.vouches || !(member.dead || rejoined) {
            return;
        }
        for place in 0..self.members.len() {
            let member = &mut self.members[place];
            let lives = matches!(theirs.get(place), Mark::Alive | Mark::Raised);
            let before = member.state();
            if member.told() != State::Alive && !member.left && lives {
                member.incarnation = rules::raised(member.incarnation);
                (member.dead, member.doubt, member.sent, member.pressing) = (false, None, None, false);
                (member.raised, member.returned, member.rejoined) = (Some(now), Some(now), Some(now));
                self.note(now, place, before, Cause::ToldBy(from));
            }
        }
    }

    /// What another view lacks of this one, from a place drawn at random on, and whether this one lacks something.
    fn what_differs(&mut self, now: Micros, from: Place, theirs: &Marks) -> Differs {
        self.believe(now, from, theirs);
        let names = self.members.len();
        let first = self.rng.random_range(0..names);
        let mut differs = Differs::default();
        for place in (0..names).map(|n| (first + n) % names) {
            let held = match self.mark(now, &self.members[place]) {
                Mark::Alive if place == self.me => Mark::Raised,
                held => held,
            };
            let theirs = theirs.get(place);
            let gone = matches!(theirs, Mark::Doubted | Mark::Dead);
            if let Some(doubt) = self.members[place].doubt.as_mut().filter(|_| gone) {
                // Another that doubts it has no refutation either.
                doubt.confirmed |= doubt.weight >= STRONG;
            }
            match (held, theirs) {
                _ if place == from || held == theirs => {}
                (Mark::Alive, Mark::Raised) | (Mark::Raised, Mark::Alive) => {}
                (Mark::Alive, _) | (Mark::Doubted | Mark::Dead, Mark::Raised) => differs.lacks = true,
                (Mark::Doubted, Mark::Dead) => differs.lacks = true,
                // What lives goes before what is gone: a refutation has to outrun the doubt.
                (Mark::Raised, _) => differs.tells.insert(0, place),
                _ => differs.tells.push(place),
            }
        }
        differs
    }

    /// All that are gone, from one drawn at random on: for a view with another roster, or one that agrees on who is
    /// gone and not on the incarnation.
    fn all_gone(&mut self) -> Differs {
        let mut tells: Vec<Place> =
            (0..self.members.len()).filter(|place| self.members[*place].dead).collect();
        if !tells.is_empty() {
            let first = self.rng.random_range(0..tells.len());
            tells.rotate_left(first);
            tells.truncate(GONE_MOST);
        }
        Differs { tells, lacks: false }
    }

    /// Tells what differs, as much as an answer holds, with marks where the other can tell something in turn. An
    /// answer to a ping goes in any case.
    fn tell(
        &mut self,
        now: Micros,
        to: Place,
        kind: Kind,
        differs: &Differs,
        may_ask: bool,
        sends: &mut Vec<Send>,
    ) {
        let mut tells: Vec<Place> = Vec::new();
        if self.members[to].told() != State::Alive || self.members[to].behind {
            // What is held of itself comes first: it can refute that.
            tells.push(to);
        }
        tells.extend(differs.tells.iter().filter(|place| **place != to));
        let owed = matches!(kind, Kind::Ack(_));
        let most = if owed { CLAIMS_ANSWERED } else { CLAIMS_ALONE };
        let asks = may_ask && differs.lacks || owed && self.was_apart(now, to);
        // A part of it is better than nothing where the budget is nearly spent.
        self.fill(now);
        let room = (self.bytes.level - TELL_BESIDE) / CLAIM_BYTES;
        tells.truncate(most.min(room.max(0.0) as usize));
        if tells.is_empty() && !asks && !owed {
            return;
        }
        let marks = asks.then(|| self.marks(now));
        let went = self.put_marked(now, to, kind.clone(), marks, tells.clone(), Class::Answer, sends);
        if went {
            for place in tells {
                let member = &mut self.members[place];
                member.sent = member.sent.map(|sent| sent.saturating_add(1));
            }
        } else if owed {
            self.put(now, to, kind, Vec::new(), Class::Answer, sends);
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
        let mut claims = Vec::new();
        if self.members[to].told() != State::Alive || self.members[to].behind {
            claims.push(to);
        }
        let mut fresh: Vec<(u8, Place)> = Vec::new();
        for (place, member) in self.members.iter().enumerate() {
            if let Some(sent) = member.sent.filter(|_| place != to) {
                // This door's own claim goes first.
                fresh.push((if place == self.me { 0 } else { sent }, place));
            }
        }
        let apart = self.much || now < self.apart_until;
        let marked = apart && most > 0 || self.was_apart(now, to);
        let asks = kind == Kind::Compare || marked && matches!(kind, Kind::Ping(_) | Kind::Ack(_));
        let marks = asks.then(|| self.marks(now));
        if self.much && asks {
            // The answer tells what differs; many claims of which most are known would only take its room.
            fresh.clear();
        }
        if class < Class::News && self.bytes.level < KEPT_FOR_QUESTIONS * self.bytes.most {
            // Claims wait before answers do.
            fresh.clear();
        }
        let times = if fresh.len() <= FEW { TIMES_FEW } else { TIMES_MANY };
        fresh.sort_unstable();
        fresh.truncate(most);
        claims.extend(fresh.iter().map(|(_, place)| *place));
        let went = self.put_marked(now, to, kind, marks, claims, class, sends);
        if went {
            for (_, place) in fresh {
                let member = &mut self.members[place];
                member.sent = member.sent.map(|sent| sent + 1).filter(|sent| *sent < times);
            }
        }
        went
    }

    fn put(
        &mut self,
        now: Micros,
        to: Place,
        kind: Kind,
        claims: Vec<Place>,
        class: Class,
        sends: &mut Vec<Send>,
    ) -> bool {
        self.put_marked(now, to, kind, None, claims, class, sends)
    }

    fn fill(&mut self, now: Micros) {
        let seconds = now.saturating_sub(self.filled) as f64 / 1e6;
        self.filled = self.filled.max(now);
        self.messages.fill(seconds);
        self.bytes.fill(seconds);
    }

    /// Sends if the budget allows it. What is not owed leaves some of it.
    #[allow(clippy::too_many_arguments)]
    fn put_marked(
        &mut self,
        now: Micros,
        to: Place,
        kind: Kind,
        marks: Option<Marks>,
        claims: Vec<Place>,
        class: Class,
        sends: &mut Vec<Send>,
    ) -> bool {
        self.fill(now);
        let kept = match class {
            Class::Answer => 0.0,
            Class::Question => KEPT_FOR_ANSWERS,
            Class::News => KEPT_FOR_QUESTIONS,
            Class::Call => KEPT_FOR_NEWS,
        };
        if self.superseded || self.left || self.messages.level < 1.0 + kept * self.messages.most {
            return false;
        }
        let by_place = self.members[to].roster.is_none_or(|roster| roster == self.roster);
        let updates = claims.iter().map(|place| {
            let Member { id, incarnation, .. } = self.members[*place];
            let who = if by_place { *place as u32 } else { id };
            Update { who, incarnation, claim: self.members[*place].claim(now, self.probe) }
        });
        let (bytes, _) = Datagram {
            roster: self.roster,
            from: self.members[self.me].id,
            incarnation: self.incarnation(),
            digest: self.inner_digest(),
            kind,
            marks,
            by_place,
            updates: updates.collect(),
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

/// What two views differ in.
#[derive(Debug, Default)]
struct Differs {
    /// What one can tell the other.
    tells: Vec<Place>,
    /// The other can tell this one something.
    lacks: bool,
}

impl Doubt {
    fn new(now: Micros, wait: Micros, weight: u8) -> Doubt {
        Doubt { since: now, until: now + wait, weight, asked: 0, ask_at: now, confirmed: false }
    }
}

impl Member {
    /// One that is in the roster, and of which nothing is known.
    fn unknown(id: Id) -> Member {
        Member {
            id,
            incarnation: 0,
            dead: false,
            left: false,
            doubt: None,
            heard: None,
            returned: None,
            rejoined: None,
            raised: None,
            sent: None,
            roster: None,
            behind: false,
            pressing: false,
        }
    }

    /// The state that is told to others: a weak doubt is this door's own.
    fn told(&self) -> State {
        match &self.doubt {
            Some(doubt) if doubt.weight < STRONG && !self.dead => State::Alive,
            _ => self.state(),
        }
    }

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

    fn claim(&self, now: Micros, probe: Micros) -> Claim {
        match (&self.doubt, self.dead) {
            (_, true) if self.left => Claim::Left,
            (_, true) => Claim::Dead,
            (Some(doubt), false) => {
                let tenths = 10 * now.saturating_sub(doubt.since) / probe.max(1);
                Claim::Suspect(tenths.min(u64::from(OLDEST)) as u8)
            }
            (None, false) => Claim::Alive,
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_name_takes_the_memory_that_the_page_states() {
        // With its place among the ids, on the ring and in the round, and its own text.
        assert!(std::mem::size_of::<Member>() <= 128, "{} bytes", std::mem::size_of::<Member>());
    }
}
