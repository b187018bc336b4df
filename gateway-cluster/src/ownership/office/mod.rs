//! The office at one door: it grants, asks for grants when nobody owns, renews them, and knows who owns.

mod campaign;
mod granting;
mod owner;
mod peers;
mod receiving;
mod refusals;
mod schedule;
mod sending;

pub use schedule::{least_lease, renewal};

use super::grants::Granter;
use super::lease::Lease;
use super::rosters::{Rosters, Told};
use super::{shorter, Holder, Refused};
use crate::budget::Bucket;
use crate::engine::Micros;
use crate::names::Id;
use owner::Claim;
use peers::Peer;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use schedule::{BURST, PER_SECOND};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Things to tell the log that may wait.
const MOST_NOTES: usize = 256;

/// A datagram that is to be sent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Send {
    /// To whom.
    pub to: Id,
    /// Its payload.
    pub bytes: Vec<u8>,
}

/// What an office begins with.
#[derive(Debug, Clone)]
pub struct Settings {
    /// All names of the roster, this door's too.
    pub names: Vec<Id>,
    /// This door's.
    pub name: Id,
    /// The lease, the same at all doors, in microseconds.
    pub lease: Micros,
    /// The wall clock in milliseconds since 1970. Terms begin there, so that they go on growing when all doors restart;
    /// nothing rests on it.
    pub unix_ms: u64,
}

/// Something that staff should know.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Note {
    /// This door owns, in this term.
    Won(u64),
    /// It does not any more: its lease was over before a majority renewed it.
    Lost(u64),
    /// It gave the office back.
    Released(u64),
    /// Another door owns, in this term.
    Owner(Id, u64),
    /// An act on behalf of the fleet was refused.
    Refused(Id, Refused),
    /// Another door goes by another lease, in milliseconds: the two grant each other nothing.
    LeaseDiffers(Id, u32),
    /// Another door has other rosters.
    RostersDiffer(Id),
}

/// What staff are told.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Standing {
    /// The owner, if this door knows one now.
    pub owner: Option<Id>,
    /// The highest term of any owner that it knows.
    pub epoch: u64,
    /// It is this door.
    pub mine: bool,
    /// For how long yet that is known; 0 where nobody is known.
    pub left: Micros,
    /// How long this door still grants nothing.
    pub quiet: Micros,
    /// Acts that were refused.
    pub refused: u64,
}

/// What goes with an act on behalf of the fleet to one door: it is of use there only before the owner's lease is over,
/// by that door's own clock, whatever held the act up.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Stamp {
    /// The owner's term.
    pub epoch: u64,
    /// The life of the receiver.
    pub to_life: u64,
    /// On the receiver's clock.
    pub until: u64,
}

#[derive(Debug)]
enum Stage {
    /// Somebody else owns, or nobody does and this door asks for the office then.
    Idle,
    /// Asks who would grant.
    Preparing {
        epoch: u64,
        over: Micros,
        promised: BTreeSet<Id>,
        free: BTreeMap<Id, Micros>,
    },
    /// Asks for grants.
    Asking {
        epoch: u64,
        over: Micros,
        free: BTreeMap<Id, Micros>,
    },
    /// Owns, for as long as the lease lasts.
    Holding { epoch: u64 },
    /// Takes no part: another process has this door's name, or it goes.
    Hushed,
}

/// One door's part in ownership.
#[derive(Debug)]
pub struct Office {
    me: Holder,
    lease: Micros,
    unix_ms: u64,
    born: Micros,
    rosters: Rosters,
    granter: Granter,
    held: Lease,
    /// The end of the lease: what was won stays won until then, also when the roster changes.
    until: Micros,
    stage: Stage,
    /// When this door asks for the office, if nobody owns then.
    at: Micros,
    peers: BTreeMap<Id, Peer>,
    claim: Option<Claim>,
    /// The highest term of an owner that is known, and whose it was, if that is known too.
    fence: (u64, Option<Id>),
    /// The highest term that anybody was heard to speak of.
    hint: u64,
    refused: u64,
    /// Those who live, by the view.
    living: Vec<Id>,
    elsewhere_until: Micros,
    tried: Option<Micros>,
    /// Who gave the office back not long ago, and in which term; others may not have heard of it until then.
    freed: Option<(Holder, u64, Micros)>,
    who: (u32, Micros),
    /// Who told it last.
    teller: Option<Id>,
    who_at: Micros,
    number: u32,
    budget: Bucket,
    next: Micros,
    rng: Pcg64Mcg,
    notes: VecDeque<Note>,
    /// Datagrams that make no sense, and those of names that no roster here has.
    pub dropped: (u64, u64),
    /// Datagrams sent, and their bytes without headers.
    pub sent: (u64, u64),
}

impl Office {
    /// A new life that knows the roster and nothing else.
    pub fn new(now: Micros, settings: Settings, seed: u64) -> Office {
        let Settings {
            names,
            name,
            lease,
            unix_ms,
        } = settings;
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let me = Holder {
            name,
            life: rng.random_range(1..=u64::MAX),
        };
        let number = rng.random();
        let mut office = Office {
            me,
            lease,
            unix_ms,
            born: now,
            granter: Granter::new(now, lease),
            held: Lease::default(),
            until: 0,
            stage: Stage::Idle,
            at: 0,
            peers: BTreeMap::new(),
            claim: None,
            fence: (0, None),
            hint: 0,
            refused: 0,
            living: names.clone(),
            rosters: Rosters::new(names),
            elsewhere_until: 0,
            tried: None,
            freed: None,
            who: (0, 0),
            teller: None,
            who_at: now,
            number,
            budget: Bucket::full(now, BURST, PER_SECOND),
            next: now,
            rng,
            notes: VecDeque::new(),
            dropped: (0, 0),
            sent: (0, 0),
        };
        office.know_peers();
        office.plan(now);
        office
    }

    /// This door's life.
    pub fn life(&self) -> u64 {
        self.me.life
    }

    /// Everybody who has a say in any roster that this door is bound by, this door too.
    pub fn names(&self) -> Vec<Id> {
        self.rosters.names()
    }

    /// The file names another roster.
    pub fn set_roster(&mut self, now: Micros, names: Vec<Id>, sends: &mut Vec<Send>) {
        let before = self.rosters.told();
        self.rosters.set(names);
        self.know_peers();
        self.rebind(now, before, sends);
    }

    /// What was granted to one that counted other rosters says nothing for these: it is asked anew. A lease that was won
    /// stays won until its end.
    fn rebind(&mut self, now: Micros, before: Told, sends: &mut Vec<Send>) {
        let after = self.rosters.told();
        if (before.now, before.base) == (after.now, after.base) {
            return;
        }
        self.know_peers();
        if before.now == after.now && after.base.is_none() {
            // One less has to be won: what was granted for both counts for one.
            return;
        }
        match self.stage {
            Stage::Preparing { .. } | Stage::Asking { .. } => self.give_up(now, sends),
            Stage::Holding { .. } => {
                self.held = Lease::default();
                self.ask_all(now);
            }
            Stage::Idle | Stage::Hushed => self.plan(now),
        }
        self.set_next(now);
    }

    /// The view holds these for living: they are asked first.
    pub fn advise(&mut self, living: Vec<Id>) {
        self.living = living;
    }

    /// What staff are told. True at this moment, however long ago this door was woken.
    pub fn standing(&self, now: Micros) -> Standing {
        let known = self.known(now);
        Standing {
            owner: known.map(|claim| claim.owner),
            epoch: self.fence.0,
            mine: known.is_some_and(|claim| claim.owner == self.me.name),
            left: known.map_or(0, |claim| claim.until - now),
            quiet: self.granter.quiet(now),
            refused: self.refused,
        }
    }

    /// The term in which this door may act on behalf of the fleet at this moment. To be asked at the moment of each act.
    pub fn epoch(&self, now: Micros) -> Option<u64> {
        match self.stage {
            Stage::Holding { epoch } if now < self.until => Some(epoch),
            _ => None,
        }
    }

    /// What has to go with an act to another door; none if this door does not own now, or has not heard from the other.
    pub fn stamp(&self, now: Micros, to: Id) -> Option<Stamp> {
        let epoch = self.epoch(now)?;
        let peer = self.peers.get(&to).filter(|peer| peer.life != 0)?;
        let until = peer.tick + shorter(self.until.saturating_sub(peer.heard));
        Some(Stamp {
            epoch,
            to_life: peer.life,
            until,
        })
    }

    /// Whether an act on behalf of the fleet may be carried out here at this moment.
    ///
    /// # Errors
    /// Why not. It is counted.
    pub fn admit(&mut self, now: Micros, from: Id, stamp: Stamp) -> Result<(), Refused> {
        let Stamp {
            epoch,
            to_life,
            until,
        } = stamp;
        let (known, of) = self.fence;
        let refused = if to_life != self.me.life {
            Refused::OtherLife
        } else if epoch < known || epoch == known && of.is_some_and(|of| of != from) {
            Refused::Old { epoch, known }
        } else if now >= until {
            Refused::Late {
                late_ms: (now - until) / 1000,
            }
        } else {
            self.fence = (epoch, Some(from));
            return Ok(());
        };
        self.refused += 1;
        self.note(Note::Refused(from, refused));
        Err(refused)
    }

    /// Whether these names are a majority of each roster that this door is bound by.
    pub fn is_majority(&self, has: impl Fn(Id) -> bool) -> bool {
        self.rosters.are_won_by(has)
    }

    /// Another door's life, its clock when it sent what came last, and this door's clock when that came; none if nothing
    /// has come.
    pub fn clock_of(&self, name: Id) -> Option<(u64, u64, Micros)> {
        let peer = self.peers.get(&name).filter(|peer| peer.life != 0)?;
        Some((peer.life, peer.tick, peer.heard))
    }

    /// The lease.
    pub fn lease(&self) -> Micros {
        self.lease
    }

    /// The oldest thing to tell that was not taken yet.
    pub fn take_note(&mut self) -> Option<Note> {
        self.notes.pop_front()
    }

    /// When [`Office::wake`] is wanted.
    pub fn due(&self) -> Micros {
        self.next
    }

    /// Gives the office back, if this door has it, and takes no part any more.
    pub fn leave(&mut self, now: Micros, sends: &mut Vec<Send>) {
        let next = self
            .ranked(self.fence.0)
            .first()
            .copied()
            .unwrap_or(self.me.name);
        self.give_back(now, next, sends);
        self.stage = Stage::Hushed;
        self.next = Micros::MAX;
    }

    /// It takes part again, after another process had its name: that one may have granted.
    pub fn resume(&mut self, now: Micros) {
        self.me.life = self.rng.random_range(1..=u64::MAX);
        self.granter.begin_anew(now);
        (self.held, self.until, self.stage, self.claim) = (Lease::default(), 0, Stage::Idle, None);
        self.plan(now);
    }

    /// Whether it takes no part.
    pub fn is_hushed(&self) -> bool {
        matches!(self.stage, Stage::Hushed)
    }

    /// Something is due, or past that.
    pub fn wake(&mut self, now: Micros, sends: &mut Vec<Send>) {
        self.budget.fill(now);
        match self.stage {
            Stage::Hushed => return,
            Stage::Holding { epoch } if now >= self.until => {
                self.note(Note::Lost(epoch));
                self.step_down(now);
            }
            Stage::Holding { .. } => self.ask(now, sends),
            Stage::Preparing { over, .. } | Stage::Asking { over, .. } if now >= over => {
                self.give_up(now, sends)
            }
            Stage::Preparing { .. } | Stage::Asking { .. } => self.ask(now, sends),
            Stage::Idle if self.known(now).is_none() && now >= self.at => self.begin(now, sends),
            Stage::Idle => {}
        }
        if matches!(self.stage, Stage::Idle) && now >= self.who_at {
            self.ask_who(now, sends);
        }
        self.set_next(now);
    }

    fn note(&mut self, note: Note) {
        if self.notes.len() < MOST_NOTES && self.notes.back() != Some(&note) {
            self.notes.push_back(note);
        }
    }

    fn set_next(&mut self, now: Micros) {
        let asks = || {
            self.peers
                .values()
                .map(|peer| peer.ask_at)
                .min()
                .unwrap_or(Micros::MAX)
        };
        let next = match self.stage {
            Stage::Hushed => Micros::MAX,
            Stage::Idle => {
                let at = if self.known(now).is_some() {
                    Micros::MAX
                } else {
                    self.at
                };
                at.min(self.who_at)
            }
            Stage::Preparing { over, .. } | Stage::Asking { over, .. } => asks().min(over),
            Stage::Holding { .. } => asks().min(self.until),
        };
        // Where the budget is spent the next question waits for it.
        let least = if !self.budget.has(1.0, 0.0) {
            now + (1e6 / PER_SECOND) as Micros
        } else {
            now
        };
        self.next = next.max(least);
    }
}
