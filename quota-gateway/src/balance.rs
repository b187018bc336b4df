//! What one gateway knows of the servers, and which it picks: the list and the orders of staff, own attempts
//! in hand, the pace and the failures that answers show, and the warmth of those that started lately.

use crate::control::blend;
use crate::interface::{
    Effect, Lifecycle, ListKind, Millis, Outcome, Scope, ServerEntry, ServerId, Settings,
};
use crate::quota::{Bucket, Pace, NEVER};
use oorandom::Rand64;
use std::collections::BTreeMap;

/// Weight of a new sample in a server's pace: about its last ten.
const SAMPLE: f64 = 0.1;
/// A server silent for so many mean answer times, with work of ours in hand, is taken to hang.
const SILENCE: f64 = 4.0;
/// Mean answer times after which what was learned of a server's pace has faded to a third.
const FADE: f64 = 20.0;
/// Failures in a row that eject a server.
const STRIKES: u32 = 3;
/// Mean answer times that it is ejected for at first.
const EJECTED: f64 = 3.0;
/// Part of the allowance for a cold server that is used: the rest covers unlike requests and gateways; the
/// windows for which it is saved up and good answers are remembered; and the part of one core taken for sure.
const COLD_MARGIN: f64 = 0.7;
const SAVED: f64 = 0.4;
const REMEMBERED: f64 = 4.0;
const LEAST_BORNE: f64 = 0.5;
/// Cost of a server in another zone, as a factor: breaks near ties only.
const FAR: f64 = 1.1;
/// Pace of a server below which being faster counts no more: a lucky run must not draw all the work.
const LEAST_PACE: f64 = 0.2;
/// Spread of the random part of a cost: enough to part equals, too little to overrule a difference.
const TIE: f64 = 0.1;
/// Gateways that have a server in their part, and servers in a part, at the least.
const DOORS: u32 = 20;
const LEAST_PART: u32 = 12;

#[derive(Debug)]
struct Server {
    entry: ServerEntry,
    /// When own attempts in hand were sent, the oldest first.
    out: Vec<Millis>,
    /// Time taken against the fleet's mean.
    slowness: f64,
    judged: Millis,
    answered: Millis,
    strikes: u32,
    ejected_until: Millis,
    /// Whether it is in the part of the fleet that this gateway keeps to.
    near: bool,
}

impl Server {
    /// Whether it has failed so often that it is passed over for now.
    fn ejected(&self, now: Millis) -> bool {
        now < self.ejected_until || (self.strikes >= STRIKES && !self.out.is_empty())
    }

    /// Time taken against the fleet's mean; it fades to the others', so that one passed over is tried again.
    fn slowness(&self, now: Millis, mean: Millis) -> f64 {
        let age = (now - self.judged).max(0.0) / mean.max(1.0);
        1.0 + (self.slowness - 1.0) * (-age / FADE).exp()
    }

    /// Whether it holds work of ours and has said nothing for long. Hung, paused, slow, cut off or lying:
    /// from here it looks the same, and the answer is the same.
    fn silence(&self, now: Millis, mean: Millis) -> f64 {
        let Some(oldest) = self.out.first() else {
            return 0.0;
        };
        (now - oldest.max(self.answered)) / mean.max(1.0)
    }
}

/// What a successor is left of each server: its slowness, when that was judged, its strikes and its
/// ejection's end.
pub(crate) type Learned = (ServerId, f64, Millis, u32, Millis);

/// What a server is picked for.
pub(crate) struct Errand<'a> {
    pub(crate) settings: &'a Settings,
    pub(crate) now: Millis,
    /// Mean time of an answer.
    pub(crate) mean: Millis,
    pub(crate) effect: Effect,
    /// Where an attempt of the request may have run.
    pub(crate) home: Option<ServerEntry>,
    /// Where attempts of it have been.
    pub(crate) tried: Vec<ServerId>,
}

/// The servers as one gateway knows them.
#[derive(Debug, Default)]
pub(crate) struct Fleet {
    servers: BTreeMap<ServerId, Server>,
    /// Servers that staff have taken out, whatever the list says, and when they gave them back. Such a one is
    /// cold from then on, for it is restarted meanwhile, and the list may not tell.
    taken_out: BTreeMap<ServerId, Option<Millis>>,
    /// Gateways that have a server in their part.
    doors: f64,
    /// Capacity of this gateway's part, in warm servers, the good answers for each of these, and the requests
    /// that a cold server may get for each unit of its capacity.
    capacity: f64,
    borne: Pace,
    due: Bucket,
}

impl Fleet {
    /// One that knows of no server yet.
    pub(crate) fn new(settings: &Settings, now: Millis) -> Fleet {
        let borne = Pace {
            units: 0.0,
            seconds: settings.tip_after / 4000.0,
            at: now,
        };
        Fleet {
            borne,
            due: Bucket {
                units: 0.0,
                at: now,
            },
            ..Fleet::default()
        }
    }

    // ---- The list. ----

    /// Follows the server list. A server that drains or is gone gets nothing from this moment on.
    pub(crate) fn list(&mut self, kind: ListKind, entries: Vec<ServerEntry>, now: Millis) {
        if kind != ListKind::Delta {
            for server in self.servers.values_mut() {
                server.entry.lifecycle = Lifecycle::Gone;
            }
        }
        for mut entry in entries {
            entry.share = if entry.share > 0.0 { entry.share } else { 1.0 };
            let fresh = Server {
                entry,
                out: Vec::new(),
                slowness: 1.0,
                judged: now,
                answered: now,
                strikes: 0,
                ejected_until: 0.0,
                near: true,
            };
            let server = self.servers.entry(entry.id).or_insert(fresh);
            if entry.launched.is_some() && entry.launched != server.entry.launched {
                server.strikes = 0;
                server.ejected_until = 0.0;
                server.slowness = 1.0;
            }
            server.entry = entry;
        }
        self.servers.retain(|_, server| {
            server.entry.lifecycle != Lifecycle::Gone || !server.out.is_empty()
        });
    }

    /// Takes a server out by order of staff, or back in from a moment on.
    pub(crate) fn take_out(
        &mut self,
        id: ServerId,
        back: Option<Millis>,
        now: Millis,
        cold_for: Millis,
    ) {
        self.taken_out.insert(id, back);
        self.taken_out
            .retain(|_, back| back.is_none_or(|back| now < back + cold_for));
        if let Some(server) = self.servers.get_mut(&id).filter(|_| back.is_some()) {
            (server.strikes, server.ejected_until, server.slowness) = (0, 0.0, 1.0);
        }
    }

    /// Whether a server takes new requests, as far as the list and staff say.
    fn serves(&self, server: &Server) -> bool {
        server.entry.lifecycle == Lifecycle::Ready
            && self.taken_out.get(&server.entry.id) != Some(&None)
    }

    /// Sets which servers this gateway keeps to. Of hundreds of gateways each meets a server so seldom that
    /// it learns nothing and connects anew each time, so they part the servers of each zone among them: as
    /// many in a row as there are parts have one each, cut from one order, and the next ones from another, so
    /// that all servers are in as many parts. Half as many parts are twice as large and hold what they held.
    pub(crate) fn part(&mut self, settings: &Settings) {
        let power = |least: u32| 1 << least.max(1).ilog2();
        let most: u32 = power(settings.gateways / DOORS);
        let parts = power(self.ready() as u32 / LEAST_PART).min(most);
        self.doors = f64::from(settings.gateways) / f64::from(parts);
        let (order, own) = (
            u64::from(settings.ordinal / most),
            settings.ordinal % most * parts / most,
        );
        let mut zones: BTreeMap<u16, Vec<(u64, ServerId)>> = BTreeMap::new();
        for server in self.servers.values().filter(|server| self.serves(server)) {
            let place =
                Rand64::new(u128::from(server.entry.id) << 64 | u128::from(order)).rand_u64();
            zones
                .entry(server.entry.zone)
                .or_default()
                .push((place, server.entry.id));
        }
        for zone in zones.values_mut() {
            zone.sort_unstable();
            for (place, (_, id)) in zone.iter().enumerate() {
                if let Some(server) = self.servers.get_mut(id) {
                    server.near = place * parts as usize / zone.len() == own as usize;
                }
            }
        }
    }

    /// How many take new requests.
    pub(crate) fn ready(&self) -> usize {
        self.servers
            .values()
            .filter(|server| self.serves(server))
            .count()
    }

    /// How many are known, in the list or with work in hand.
    pub(crate) fn known(&self) -> usize {
        self.servers.len()
    }

    /// How many servers of the list get nothing, by order of staff or for their failures.
    pub(crate) fn excluded(&self, now: Millis) -> usize {
        let listed = self
            .servers
            .values()
            .filter(|server| server.entry.lifecycle != Lifecycle::Gone);
        let by_hand = |server: &Server| self.taken_out.get(&server.entry.id) == Some(&None);
        listed
            .filter(|server| by_hand(server) || server.ejected(now))
            .count()
    }

    // ---- Attempts in hand. ----

    /// Notes an attempt; `None` if the server is not known any more.
    pub(crate) fn sent(&mut self, id: ServerId, now: Millis) -> Option<ServerEntry> {
        let server = self.servers.get_mut(&id)?;
        server.out.push(now);
        Some(server.entry)
    }

    /// Notes the end of an attempt that was sent at `sent`.
    pub(crate) fn ended(&mut self, id: ServerId, sent: Millis) {
        let Some(server) = self.servers.get_mut(&id) else {
            return;
        };
        if let Some(place) = server.out.iter().position(|at| *at == sent) {
            server.out.remove(place);
        }
        if server.out.is_empty() && server.entry.lifecycle == Lifecycle::Gone {
            self.servers.remove(&id);
        }
    }

    /// Own attempts in hand that were sent after `since`.
    pub(crate) fn out_since(&self, since: Millis) -> usize {
        let young = |server: &Server| server.out.iter().filter(|at| **at > since).count();
        self.servers.values().map(young).sum()
    }

    /// Whether a server is gone or has said nothing for so long that it seems to hang.
    pub(crate) fn hangs(&self, id: ServerId, now: Millis, mean: Millis) -> bool {
        self.servers
            .get(&id)
            .is_none_or(|server| server.silence(now, mean) > SILENCE)
    }

    // ---- Choice. ----

    /// Share of its full capacity that a server has at least.
    fn warmth_of(&self, server: &Server, settings: &Settings, now: Millis) -> f64 {
        let back = self
            .taken_out
            .get(&server.entry.id)
            .copied()
            .flatten()
            .unwrap_or(NEVER);
        match server.entry.launched.unwrap_or(NEVER).max(back) {
            at if settings.cold_for > 0.0 && now < at + settings.cold_for => {
                let ramp = ((now - at) / settings.cold_for).clamp(0.0, 1.0);
                settings.cold_from + (1.0 - settings.cold_from) * ramp
            }
            _ => 1.0,
        }
    }

    pub(crate) fn warmth(&self, id: ServerId, settings: &Settings, now: Millis) -> Option<f64> {
        self.servers
            .get(&id)
            .map(|server| self.warmth_of(server, settings, now))
    }

    /// Picks the server with the least expected wait, as far as own work and answers tell.
    pub(crate) fn choose(&mut self, errand: &Errand, rng: &mut Rand64) -> Option<ServerId> {
        let Errand {
            settings,
            now,
            mean,
            ..
        } = *errand;
        // Guards against tipping a cold server over: by one lot all gateways, however many, send it no more
        // for its capacity than a warm one, nor than servers were seen to do; with few left, the rest is
        // refused. A size in the list may be one of the moment: it only makes a part smaller.
        let near = || {
            self.servers
                .values()
                .filter(|server| self.serves(server) && server.near)
        };
        let ready = near().count().max(1) as f64;
        let mean_size = near().map(|server| server.entry.share).sum::<f64>() / ready;
        self.capacity = near()
            .map(|server| self.warmth_of(server, settings, now))
            .sum();
        self.capacity = self
            .capacity
            .max(ready / (COLD_MARGIN * settings.tip_multiple).max(1.0));
        let saved = (now - self.due.at).max(SAVED * settings.tip_after) / 1000.0;
        self.borne.fade(REMEMBERED * settings.tip_after, now);
        let least = 1000.0 * LEAST_BORNE / (self.doors * mean).max(1.0);
        let rate =
            COLD_MARGIN * settings.tip_multiple * least.max(self.borne.units / self.borne.seconds);
        self.due.fill(rate, rate * saved, now);
        let part = self.due.units.min(1.0 / self.capacity);
        self.due.units -= part;
        let mut lot = rng.rand_float();
        let mut best: [Option<(f64, ServerId)>; 3] = [None; 3];
        for (&id, server) in &self.servers {
            let same_group = match (errand.effect, errand.home) {
                (
                    Effect::Deduplicated {
                        scope: Scope::Zone, ..
                    },
                    Some(home),
                ) => home.zone == server.entry.zone,
                (
                    Effect::Deduplicated {
                        scope: Scope::Cell, ..
                    },
                    Some(home),
                ) => home.cell == server.entry.cell,
                _ => true,
            };
            if !same_group || !self.serves(server) {
                continue;
            }
            let (warmth, slowness) = (
                self.warmth_of(server, settings, now),
                server.slowness(now, mean),
            );
            if warmth < 1.0 && !server.near {
                continue;
            }
            let size = server.entry.share;
            let able = warmth * (size / mean_size).min(1.0);
            let drawn = warmth < 1.0 && (0.0..able * part).contains(&lot);
            lot -= if warmth < 1.0 { able * part } else { 0.0 };
            // Whether a cold server may have one more: with one out of each gateway it is sent no more than
            // it does, and what comes at once, even if it had one core, stays below what it bears beyond. Not
            // so where most is refused, or where it failed last or may hold what was given up.
            let beyond = (settings.tip_multiple - 1.0) * able * settings.tip_after;
            let bears_one = server.out.is_empty()
                && 2.0 * part * self.capacity > 1.0
                && server.strikes == 0
                && server.answered >= server.judged
                && f64::from(settings.gateways) * mean * slowness.max(1.0) < beyond;
            if warmth < 1.0 && !drawn && !bears_one {
                continue;
            }
            let far = if server.entry.zone == settings.zone {
                1.0
            } else {
                FAR
            };
            let pace = slowness
                .max(server.silence(now, mean) / 2.0)
                .max(LEAST_PACE);
            let wait = (server.out.len() as f64 + 1.0) * pace / warmth;
            let cost = if drawn { 0.0 } else { wait } * far / size * (1.0 + TIE * rng.rand_float());
            let failed = server.ejected(now) || errand.tried.contains(&id);
            let rank = &mut best[if failed { 2 } else { usize::from(!server.near) }];
            if rank.is_none_or(|(least, _)| cost < least) {
                *rank = Some((cost, id));
            }
        }
        best[0].or(best[1]).or(best[2]).map(|(_, id)| id)
    }

    /// Learns from the end of an attempt: `pace` is its time against `mean_of_class`, as if of the mean size.
    /// Returns a line for staff if the server is ejected or answers again.
    pub(crate) fn judge(
        &mut self,
        id: ServerId,
        now: Millis,
        outcome: Outcome,
        pace: f64,
        mean_of_class: Millis,
        mean: Millis,
    ) -> Option<String> {
        let server = self.servers.get_mut(&id)?;
        server.slowness = server.slowness(now, mean);
        server.judged = now;
        let worst = 2.0 * SILENCE;
        let pace = pace.min(worst);
        let mut told = None;
        match outcome {
            Outcome::Ok => {
                self.borne.units += 1.0 / self.capacity;
                if server.strikes >= STRIKES {
                    told = Some(format!("server {id} answers again"));
                }
                server.strikes = 0;
                server.ejected_until = 0.0;
                server.answered = now;
                blend(&mut server.slowness, pace, SAMPLE);
            }
            Outcome::Cancelled => blend(&mut server.slowness, pace, SAMPLE),
            Outcome::NotSent => {}
            // Guards against a server that fails some or all of what it gets, at once or late: each failure
            // weighs as a very slow answer, and some in a row eject it. Hurts if the fault is the request's.
            _ => {
                // A process that answers nothing at all is not one that fails now and then.
                let gone = outcome == Outcome::NoConnection;
                server.strikes = (server.strikes + 1).max(if gone { STRIKES } else { 0 });
                blend(&mut server.slowness, worst, SAMPLE);
                if matches!(outcome, Outcome::Overloaded | Outcome::Error) {
                    server.answered = now;
                }
            }
        }
        if server.strikes >= STRIKES {
            if server.strikes == STRIKES {
                told = Some(format!("server {id} ejected: {STRIKES} failures in a row"));
            }
            let doublings = (server.strikes - STRIKES).min(4);
            // All gateways together try it as often as two do.
            let trial = EJECTED * mean_of_class * (self.doors / 2.0).max(1.0);
            server.ejected_until = now + trial * f64::from(1u32 << doublings);
        }
        told
    }

    // ---- Taking over from another gateway. ----

    pub(crate) fn learned(&self) -> Vec<Learned> {
        let learned = |(id, server): (&ServerId, &Server)| {
            (
                *id,
                server.slowness,
                server.judged,
                server.strikes,
                server.ejected_until,
            )
        };
        self.servers.iter().map(learned).collect()
    }

    pub(crate) fn take_over(&mut self, learned: Vec<Learned>) {
        for (id, slowness, judged, strikes, ejected_until) in learned {
            if let Some(server) = self.servers.get_mut(&id) {
                (server.slowness, server.judged) = (slowness, judged);
                (server.strikes, server.ejected_until) = (strikes, ejected_until);
            }
        }
    }
}
