//! How a gateway asks for leadership and renews its lease: first promises, then grants.

use super::timing::AGAIN;
use super::{ElectionEvent, LeaderElection, Stage};
use crate::leadership::voter::MAX_EPOCH;
use crate::leadership::votes::CollectedVotes;
use crate::leadership::wire::Kind;
use crate::peers::PeerId;
use crate::protocol::{Micros, Transmit};
use rand::seq::SliceRandom;
use std::collections::BTreeMap;

/// Asked once more so often at the most while a round goes on.
const TRIES: u8 = 4;
/// How long gateways that all have just begun wait for names that none has heard, in leases: those may be the cluster that is
/// in service, to which this peer set was not told yet.
const BEGIN: u64 = 20;
/// Questions to one gateway that may still be answered.
const OUTSTANDING: usize = 4;

impl LeaderElection {
    /// Asks for leadership, unless something speaks against that.
    pub(super) fn begin(&mut self, now: Micros, sends: &mut Vec<Transmit>) {
        let own = self
            .granter
            .granted(now)
            .filter(|granted| granted.holder != self.me);
        let quiet = self.granter.quiet(now);
        let lost = !self
            .peer_sets
            .are_won_by(|name| name == self.me.name || self.living.contains(&name));
        let wait = if quiet > 0 {
            quiet
        } else if let Some(granted) = own {
            granted.until - now
        } else if now < self.elsewhere_until && !self.peer_sets.is_seasoned() {
            self.elsewhere_until - now
        } else if self.told_before(now).is_some() {
            self.lease / 2
        } else if lost && self.tried.is_some_and(|tried| now < tried + 2 * self.lease) {
            // The view sees no majority. It may be wrong: now and then it is tried all the same.
            self.lease / 2
        } else if !self.peer_sets.are_won_by(|_| true) {
            self.lease
        } else {
            0
        };
        if wait > 0 {
            self.at = now + wait + self.some(AGAIN);
            return;
        }
        self.tried = Some(now);
        let clock = self.unix_ms.saturating_add((now - self.born) / 1000);
        let epoch = (self.hint.max(self.fence.0).max(self.granter.highest()) + 1)
            .max(clock)
            .min(MAX_EPOCH);
        let over = now + self.patience();
        (self.held, self.until) = (CollectedVotes::default(), 0);
        let (promised, free) = Default::default();
        self.stage = Stage::Preparing {
            epoch,
            over,
            promised,
            free,
        };
        self.ask_all(now);
        if self.promise(now, &self.question(epoch)).is_ok() {
            self.take_promise(now, self.me.name);
        }
        self.ask(now, sends);
    }

    /// Everybody is to be asked from now on, those first that live.
    pub(super) fn ask_all(&mut self, now: Micros) {
        let mut names = self.others();
        names.shuffle(&mut self.rng);
        names.sort_by_key(|name| !self.living.contains(name));
        for (n, name) in names.into_iter().enumerate() {
            if let Some(peer) = self.peers.get_mut(&name) {
                peer.asked.clear();
                peer.behind = false;
                // The order in which they are asked, where not all can be at once.
                (peer.tries, peer.ask_at) = (0, now - now.min(1000) + n as Micros * 1000 / 1024);
            }
        }
    }

    /// Asks those whose turn it is, as far as the budget goes.
    pub(super) fn ask(&mut self, now: Micros, sends: &mut Vec<Transmit>) {
        let mut turns: Vec<(Micros, PeerId)> = self
            .peers
            .iter()
            .filter(|(_, peer)| peer.ask_at <= now)
            .map(|(name, peer)| (peer.ask_at, *name))
            .collect();
        turns.sort_unstable();
        for (_, name) in turns {
            if !self.budget.has(1.0, 0.0) {
                return;
            }
            let holding = matches!(self.stage, Stage::Holding { .. });
            let renewal = self.renewal();
            let Some(peer) = self.peers.get_mut(&name) else {
                continue;
            };
            if !holding && peer.tries >= TRIES {
                peer.ask_at = Micros::MAX;
                continue;
            }
            // What is asked once more is the same question: the grant counts from when it was first asked.
            let last = peer
                .asked
                .back()
                .copied()
                .filter(|(_, at)| now < at + renewal / 2);
            let (number, at) = last.unwrap_or((self.number, now));
            if last.is_none() {
                self.number = self.number.wrapping_add(1);
                peer.asked.push_back((number, at));
                peer.tries = 0;
                if peer.asked.len() > OUTSTANDING {
                    peer.asked.pop_front();
                }
            }
            peer.tries += 1;
            // Without an answer it is asked twice more soon, and then at its next turn.
            let soon = !holding || peer.tries < 3;
            peer.ask_at = if soon {
                now + AGAIN.min(renewal)
            } else {
                at + renewal
            };
            let lease_ms = (self.lease / 1000) as u32;
            let kind = match self.stage {
                Stage::Preparing { epoch, .. } => Kind::Prepare {
                    number,
                    epoch,
                    lease_ms,
                },
                Stage::Asking { epoch, .. } => Kind::Ask {
                    number,
                    epoch,
                    lease_ms,
                    until: None,
                },
                Stage::Holding { epoch } => {
                    let until = self.stamp(now, name).map(|stamp| stamp.until);
                    Kind::Ask {
                        number,
                        epoch,
                        lease_ms,
                        until,
                    }
                }
                Stage::Idle | Stage::Hushed => return,
            };
            self.put(now, name, kind, sends);
        }
    }

    pub(super) fn promised(
        &mut self,
        now: Micros,
        from: PeerId,
        number: u32,
        sends: &mut Vec<Transmit>,
    ) {
        if matches!(self.stage, Stage::Preparing { .. }) && self.asked(from, number).is_some() {
            self.take_promise(now, from);
            self.ask(now, sends);
        }
    }

    fn take_promise(&mut self, now: Micros, from: PeerId) {
        if let Some(peer) = self.peers.get_mut(&from) {
            peer.ask_at = Micros::MAX;
        }
        let Stage::Preparing {
            epoch, promised, ..
        } = &mut self.stage
        else {
            return;
        };
        promised.insert(from);
        let epoch = *epoch;
        let peers = &self.peers;
        let in_use = self.peer_sets.is_seasoned()
            || promised
                .iter()
                .any(|name| peers.get(name).is_some_and(|peer| peer.seasoned));
        let begins = now >= self.born + BEGIN * self.lease
            || peers.values().all(|peer| peer.incarnation != 0);
        if (in_use || begins) && self.peer_sets.are_won_by(|name| promised.contains(&name)) {
            let promised = std::mem::take(promised);
            self.stage = Stage::Asking {
                epoch,
                over: now + self.patience(),
                free: BTreeMap::new(),
            };
            self.ask_all(now);
            for (name, peer) in &mut self.peers {
                // Those that have promised first.
                if !promised.contains(name) {
                    peer.ask_at += 1;
                }
            }
            self.grant_itself(now, epoch);
            self.look_at_lease(now);
        }
    }

    pub(super) fn granted(
        &mut self,
        now: Micros,
        from: PeerId,
        number: u32,
        sends: &mut Vec<Transmit>,
    ) {
        if !matches!(self.stage, Stage::Asking { .. } | Stage::Holding { .. }) {
            return;
        }
        let Some(asked) = self.asked(from, number) else {
            return;
        };
        self.held.granted(from, asked, self.lease);
        let renewal = self.renewal();
        let held = match self.stage {
            Stage::Holding { epoch } => Some(epoch),
            _ => None,
        };
        if let Some(peer) = self.peers.get_mut(&from) {
            peer.ask_at = if held.is_some() {
                asked + renewal
            } else {
                Micros::MAX
            };
        }
        if let Some(epoch) = held {
            // Its own grant is renewed with each of the others.
            self.grant_itself(now, epoch);
        }
        self.look_at_lease(now);
        self.ask(now, sends);
    }

    /// Whether a majority of each peer set has granted, and for how long.
    fn look_at_lease(&mut self, now: Micros) {
        let (epoch, new) = match self.stage {
            Stage::Asking { epoch, .. } => (epoch, true),
            Stage::Holding { epoch } => (epoch, false),
            _ => return,
        };
        let until = self.held.until(&self.peer_sets);
        if now >= until {
            return;
        }
        self.until = self.until.max(until);
        self.peer_sets.won();
        self.know_peers();
        if new {
            self.stage = Stage::Holding { epoch };
            (self.fence, self.claim) = ((epoch, Some(self.me.name)), None);
            self.note(ElectionEvent::Won(epoch));
            // All are to know it at once.
            self.ask_all(now);
        }
    }
}
