//! One door's part in the shard map: as an acceptor it helps to decide maps, as a keeper it keeps what it has a lease
//! for, and as the owner it decides the next map and gives the leases.
//!
//! An owner that begins asks what there is ([`super::decide`]), and gives no lease before it knows: what a majority may have
//! accepted it finishes first. From then on each door is told the map in force with a keep lease ([`super::keep`]), again and
//! again; by taking a map over a door lets go of what that map gives to others. The next map is proposed once every
//! range of the last one is where it belongs.

mod acceptance;
mod deciding;
mod fetching;
mod leases;
mod planning;
mod proposals;
mod sending;
mod standing;
mod term;

pub use sending::{least_lease, period};
pub use standing::{Next, Proposal, Standing};

use super::decide::{Acceptor, Named};
use super::keep::{Hand, Ledger, KEEP_LEASES};
use super::map::{Hash, Key, Map, Range};
use super::wire::{Datagram, Kind, State};
use super::{Door, FleetState, Limits};
use crate::budget::Bucket;
use crate::engine::Micros;
use crate::names::{id_of, Id};
use crate::ownership::office::{Office, Send, Stamp};
use crate::ownership::{longer, Fence};
use fetching::Pull;
use proposals::Offer;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use sending::{BURST, BURST_BYTES, BYTES_PER_SECOND, LOOK, MOST_NOTES, PER_SECOND};
use std::collections::{BTreeMap, VecDeque};
use term::{Stage, Term};

/// How long an owner waits for more changes of the view.
const TOGETHER: Micros = 300_000;

/// What a door's part begins with.
#[derive(Debug, Clone, Default)]
pub struct Settings {
    /// Ranges of a first map.
    pub count: usize,
    /// What staff propose by this door's file: to replace the map of this version by one of these ranges.
    pub proposal: Option<(u64, Vec<Range>)>,
}

/// Something that staff should know.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Note {
    /// A map is in force here: its version and its hash.
    InForce(u64, Hash),
    /// This door had a map of another history: the version that it had, and the one that it takes over.
    OtherHistory(u64, u64),
    /// A map that was proposed is refused, at first because of this.
    Refused(String),
    /// All ranges of the map of this version are with their keepers.
    Moved(u64),
}

/// One door's part.
#[derive(Debug)]
pub struct Keeping {
    me: Id,
    name: String,
    life: u64,
    born: Micros,
    keep: Micros,
    count: usize,
    limits: Limits,
    fleet: FleetState,
    acceptor: Acceptor,
    hand: Hand,
    hushed: bool,
    map: Option<Map>,
    previous: Option<Map>,
    shelf: VecDeque<Map>,
    pulls: Vec<Pull>,
    stash: VecDeque<Datagram>,
    offer: Option<Offer>,
    /// Lives that have kept, and said that they go, with when that came.
    departed: BTreeMap<Id, (u64, Micros)>,
    term: Option<Term>,
    budget: Bucket,
    bytes: Bucket,
    next: Micros,
    rng: Pcg64Mcg,
    notes: VecDeque<Note>,
    /// Datagrams that make no sense, and those of names that no roster here has.
    pub dropped: (u64, u64),
    /// Datagrams sent, and their bytes without headers.
    pub sent: (u64, u64),
}

impl Keeping {
    /// A new life that knows nothing. `lease` is the office's.
    pub fn new(now: Micros, name: &str, lease: Micros, settings: Settings, seed: u64) -> Keeping {
        let mut keeping = Keeping {
            me: id_of(name),
            name: name.to_string(),
            life: 0,
            born: now,
            keep: KEEP_LEASES * lease,
            count: settings.count,
            limits: Limits::default(),
            fleet: FleetState::default(),
            acceptor: Acceptor::default(),
            hand: Hand::default(),
            hushed: false,
            map: None,
            previous: None,
            shelf: VecDeque::new(),
            pulls: Vec::new(),
            stash: VecDeque::new(),
            offer: None,
            departed: BTreeMap::new(),
            term: None,
            budget: Bucket::full(now, BURST, PER_SECOND),
            bytes: Bucket::full(now, BURST_BYTES, BYTES_PER_SECOND),
            next: now,
            rng: Pcg64Mcg::seed_from_u64(seed),
            notes: VecDeque::new(),
            dropped: (0, 0),
            sent: (0, 0),
        };
        if let Some((expect, ranges)) = settings.proposal {
            keeping.propose(now, expect, ranges);
        }
        keeping
    }

    /// What the view holds of the roster's names.
    pub fn advise(&mut self, now: Micros, doors: BTreeMap<String, Door>) {
        self.fleet.doors = doors;
        if let Some(term) = self.term.as_mut().filter(|term| term.look_at <= now) {
            // Where one falls others may fall with it: they go in one map.
            term.look_at = now + TOGETHER;
        }
        self.next = self.next.min(now);
    }

    /// The keys that this door keeps at this moment, from and up to.
    pub fn mine(&self, now: Micros) -> Vec<(Key, Key)> {
        let Some(map) = self.map.as_ref().filter(|_| !self.hushed) else {
            return Vec::new();
        };
        self.hand.mine(now, &self.name, map, self.previous.as_ref())
    }

    /// Whether this door keeps a key at this moment.
    pub fn keeps(&self, now: Micros, key: Key) -> bool {
        self.fence_of(now, key).is_some()
    }

    /// The fencing token that goes with what this door does as a keeper of a key at this moment; none if it does not
    /// keep it.
    pub fn fence_of(&self, now: Micros, key: Key) -> Option<Fence> {
        let map = self
            .map
            .as_ref()
            .filter(|map| map.keeper_of(key) == Some(&self.name))?;
        let mine = self.mine(now);
        let place = mine.partition_point(|(_, to)| *to <= key);
        let keeps = mine.get(place).is_some_and(|(from, _)| *from <= key);
        keeps.then_some(Fence {
            epoch: map.epoch,
            version: map.version,
        })
    }

    /// The map in force, as far as this door knows.
    pub fn map(&self) -> Option<&Map> {
        self.map.as_ref()
    }

    /// Its version and its hash.
    pub fn in_force(&self) -> Option<(u64, Hash)> {
        self.acceptor.in_force().map(|map| (map.version, map.hash))
    }

    /// The oldest thing to tell that was not taken yet.
    pub fn take_note(&mut self) -> Option<Note> {
        self.notes.pop_front()
    }

    /// When [`Keeping::wake`] is wanted.
    pub fn due(&self) -> Micros {
        self.next
    }

    /// The term in which this door rules.
    pub fn term(&self) -> Option<u64> {
        self.term.as_ref().map(|term| term.epoch)
    }

    /// This door lets go of all that it keeps, tells so, and takes no part any more. To be called before the office
    /// leaves.
    pub fn leave(&mut self, now: Micros, office: &Office, sends: &mut Vec<Send>) {
        self.life = office.life();
        let held = self.hand.has_held() && !self.hushed;
        self.hush();
        if held {
            let owner = office.standing(now).owner;
            // Whoever owns next has to know as well.
            let mut told = office.names();
            told.extend(owner);
            told.retain(|name| *name != self.me);
            for to in told {
                self.put(office, to, None, Kind::Left, sends);
            }
        }
    }

    fn hush(&mut self) {
        self.hand.drop_all();
        (self.hushed, self.term, self.next) = (true, None, Micros::MAX);
        self.pulls.clear();
        self.stash.clear();
    }

    /// It takes part again. Another process had its name: what that one accepted is not known here.
    pub fn resume(&mut self, now: Micros) {
        self.acceptor = Acceptor::default();
        (self.hushed, self.born, self.next) = (false, now, now);
        (self.map, self.previous) = (None, None);
    }

    /// Something is due, or past that.
    pub fn wake(&mut self, now: Micros, office: &mut Office, sends: &mut Vec<Send>) {
        self.follow(now, office);
        if self.hushed {
            return;
        }
        self.fill(now);
        self.pull_on(now, office, sends);
        self.offer_on(now, office, sends);
        if let Some(mut term) = self.term.take() {
            self.rule(now, &mut term, office, sends);
            self.term = Some(term);
        }
        self.set_next(now);
    }

    /// Goes by what the office says at this moment.
    fn follow(&mut self, now: Micros, office: &Office) {
        match (office.is_hushed(), self.hushed) {
            (true, false) => self.hush(),
            (false, true) => self.resume(now),
            _ => {}
        }
        self.life = office.life();
        let epoch = office.epoch(now);
        if epoch == self.term() {
            return;
        }
        self.term = epoch.map(|epoch| {
            let mut ledger = Ledger::new(now, self.keep);
            for (name, (life, at)) in &self.departed {
                if now < at + self.keep {
                    ledger.left(now, *name, *life);
                }
            }
            Term {
                epoch,
                elected: now,
                attempt: 0,
                ledger,
                stage: Stage::Learning(BTreeMap::new()),
                ruling: false,
                anew: false,
                current: None,
                previous: None,
                waits: Default::default(),
                turns: BTreeMap::new(),
                offers: VecDeque::new(),
                look_at: now,
            }
        });
    }

    /// A datagram has come.
    pub fn receive(
        &mut self,
        now: Micros,
        bytes: &[u8],
        office: &mut Office,
        sends: &mut Vec<Send>,
    ) {
        let Some(datagram) = Datagram::decode(bytes) else {
            self.dropped.0 += 1;
            return;
        };
        if datagram.from == self.me || !office.names().contains(&datagram.from) {
            self.dropped.1 += 1;
            return;
        }
        self.follow(now, office);
        if self.hushed {
            return;
        }
        self.fill(now);
        self.handle(now, datagram, office, sends);
        if let Some(mut term) = self.term.take() {
            self.rule(now, &mut term, office, sends);
            self.term = Some(term);
        }
        self.set_next(now);
    }

    fn handle(
        &mut self,
        now: Micros,
        datagram: Datagram,
        office: &mut Office,
        sends: &mut Vec<Send>,
    ) {
        let Datagram {
            from,
            life,
            to_life,
            stamp,
            ref kind,
        } = datagram;
        match kind {
            Kind::Learn(_) | Kind::Propose { .. } | Kind::Keep { .. } => {
                let Some((epoch, until)) = stamp else {
                    self.dropped.0 += 1;
                    return;
                };
                if office
                    .admit(
                        now,
                        from,
                        Stamp {
                            epoch,
                            to_life,
                            until,
                        },
                    )
                    .is_ok()
                {
                    self.act(now, epoch, datagram, office, sends);
                }
                return;
            }
            Kind::Fetch(hash, part) => return self.send_part((from, life), *hash, *part, sends),
            Kind::Left => {
                // It is true of that life, whoever is told.
                self.departed.insert(from, (life, now));
                if let Some(term) = &mut self.term {
                    term.ledger.left(now, from, life);
                }
                return;
            }
            _ if to_life != self.life => return,
            Kind::Part { .. } => return self.take_part(now, datagram, office, sends),
            Kind::Answer {
                hash,
                state,
                findings,
            } => return self.answered(*hash, *state, findings.clone()),
            Kind::Offer(hash) if self.term.is_some() && self.find(*hash).is_none() => {
                return self.pull(now, *hash, datagram, office, sends);
            }
            _ => {}
        }
        let Some(mut term) = self.term.take() else {
            return;
        };
        self.hear(now, &mut term, datagram, office, sends);
        self.term = Some(term);
    }

    fn note(&mut self, note: Note) {
        if self.notes.len() < MOST_NOTES && self.notes.back() != Some(&note) {
            self.notes.push_back(note);
        }
    }

    fn set_next(&mut self, now: Micros) {
        let mut next = now + LOOK;
        next = self
            .pulls
            .iter()
            .map(|pull| pull.at)
            .fold(next, Micros::min);
        if let Some(offer) = self
            .offer
            .as_ref()
            .filter(|offer| offer.state == State::Waiting)
        {
            next = next.min(offer.at);
        }
        if let Some(term) = &self.term {
            let turns = term
                .turns
                .values()
                .map(|turn| turn.ask_at.min(turn.keep_at));
            next = turns.fold(next, Micros::min);
            let ends = term
                .waits
                .1
                .iter()
                .map(|name| now + term.ledger.left_of(now, id_of(name)));
            next = ends.fold(next, Micros::min);
            let mut other = vec![term.ledger.unknown_until(), self.born + longer(self.keep)];
            if let Stage::Learning(answers) = &term.stage {
                other.extend(answers.values().map(|heard| heard.old_at));
            }
            next = other
                .into_iter()
                .filter(|at| *at > now)
                .fold(next, Micros::min);
        }
        // Without a budget, or where a door was not heard of yet, it is looked at again soon.
        self.next = next.max(now + 10_000);
    }
}

fn named(map: &Map) -> Named {
    Named {
        epoch: map.epoch,
        version: map.version,
        hash: map.hash(),
    }
}
