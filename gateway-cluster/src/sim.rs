//! A network of front doors in one thread: all that happens follows from the seed.
//!
//! Datagrams are lost, doubled, delayed and so overtaken; links are cut one way; doors are killed, stopped and started
//! anew. A stopped door receives what its socket's buffer holds once it goes on, and its timers are late.

use crate::engine::{Birth, Engine, Micros, Place, Send, State};
use crate::names::{id_of, Id};
use crate::sessions::part;
use crate::shards::keeping;
use crate::shards::Range;
use crate::stack::{self, Packet, Stack};
use crate::view::{Settings, View};
use crate::wire::HEADERS;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};

/// Datagrams that a stopped door's socket holds. More are lost.
const BUFFERED: usize = 256;

/// What the network does to every datagram.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Weather {
    /// Least time on the way, and by how much it varies at most.
    pub delay: Micros,
    /// Up to so much more.
    pub jitter: Micros,
    /// The chance that a datagram is lost.
    pub loss: f64,
    /// The chance that it comes twice.
    pub double: f64,
}

impl Default for Weather {
    fn default() -> Weather {
        Weather {
            delay: 500,
            jitter: 500,
            loss: 0.0,
            double: 0.0,
        }
    }
}

/// What a door has sent.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Sent {
    /// Datagrams.
    pub messages: u64,
    /// Bytes, with the headers of IP and UDP.
    pub bytes: u64,
    /// The largest payload.
    pub largest: usize,
}

#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrive {
        to: Place,
        bytes: Vec<u8>,
    },
    /// Of the life with this number.
    Wake {
        door: Place,
        life: u32,
    },
}

struct Door<E> {
    engine: Option<E>,
    life: u32,
    stopped: bool,
    buffer: VecDeque<Vec<u8>>,
    sent: Sent,
    /// When the engine is woken next.
    wakes: Option<Micros>,
}

/// The simulated fleet.
pub struct Sim<E> {
    now: Micros,
    doors: Vec<Door<E>>,
    queue: BinaryHeap<Reverse<(Micros, u64, Event)>>,
    count: u64,
    rng: Pcg64Mcg,
    /// Whether nothing passes from one door to another, by `from * doors + to`.
    cut: Vec<bool>,
    probe: Micros,
    /// What happens to datagrams that are sent from now on.
    pub weather: Weather,
    sends: Vec<Send>,
}

impl<E: Engine> Sim<E> {
    /// A fleet of which nobody runs yet.
    pub fn new(doors: usize, probe: Micros, seed: u64) -> Sim<E> {
        let door = || Door {
            engine: None,
            life: 0,
            stopped: false,
            buffer: VecDeque::new(),
            sent: Sent::default(),
            wakes: None,
        };
        Sim {
            now: 0,
            doors: (0..doors).map(|_| door()).collect(),
            queue: BinaryHeap::new(),
            count: 0,
            rng: Pcg64Mcg::seed_from_u64(seed),
            cut: vec![false; doors * doors],
            probe,
            weather: Weather::default(),
            sends: Vec::new(),
        }
    }

    /// The time.
    pub fn now(&self) -> Micros {
        self.now
    }

    /// Names in the roster.
    pub fn roster(&self) -> usize {
        self.doors.len()
    }

    /// Whether a process of this door runs, stopped or not.
    pub fn runs(&self, door: Place) -> bool {
        self.doors[door].engine.is_some()
    }

    /// Starts a door from nothing. Its wall clock says `unix`.
    pub fn start(&mut self, door: Place, unix: Micros) {
        let seed = self.rng.random();
        let birth = Birth {
            me: door,
            roster: self.doors.len(),
            unix,
            probe: self.probe,
            seed,
        };
        let engine = E::born(self.now, birth, &mut self.sends);
        let place = &mut self.doors[door];
        (place.engine, place.stopped, place.wakes) = (Some(engine), false, None);
        place.life += 1;
        place.buffer.clear();
        self.after(door);
    }

    /// A door says that it goes, and ends.
    pub fn leave(&mut self, door: Place) {
        let now = self.now;
        if let Some(engine) = &mut self.doors[door].engine {
            engine.leave(now, &mut self.sends);
        }
        self.after(door);
        self.kill(door);
    }

    /// What a door does by itself, with what it sends.
    pub fn act<T>(
        &mut self,
        door: Place,
        act: impl FnOnce(&mut E, Micros, &mut Vec<Send>) -> T,
    ) -> Option<T> {
        let now = self.now;
        let done = self.doors[door]
            .engine
            .as_mut()
            .map(|engine| act(engine, now, &mut self.sends));
        self.after(door);
        done
    }

    /// Whether a door's process is stopped.
    pub fn is_stopped(&self, door: Place) -> bool {
        self.doors[door].stopped
    }

    /// Kills a door.
    pub fn kill(&mut self, door: Place) {
        self.doors[door].engine = None;
    }

    /// Stops a door's process, or lets it go on.
    pub fn stop(&mut self, door: Place, stopped: bool) {
        self.doors[door].stopped = stopped;
        if !stopped {
            // What was due goes first, as a program's timers may: the harder order.
            self.wake(door);
            while let Some(bytes) = self.doors[door].buffer.pop_front() {
                self.deliver(door, bytes);
            }
        }
    }

    /// Cuts the link from one door to another, or makes it whole.
    pub fn cut(&mut self, from: Place, to: Place, cut: bool) {
        let at = from * self.doors.len() + to;
        self.cut[at] = cut;
    }

    /// Cuts all links between doors for which this differs, in both directions.
    pub fn partition(&mut self, side: impl Fn(Place) -> usize) {
        for from in 0..self.doors.len() {
            for to in 0..self.doors.len() {
                self.cut(from, to, side(from) != side(to));
            }
        }
    }

    /// Goes on to this time.
    pub fn run_until(&mut self, until: Micros) {
        while let Some(Reverse((at, ..))) = self.queue.peek() {
            if *at > until {
                break;
            }
            let Some(Reverse((at, _, event))) = self.queue.pop() else {
                break;
            };
            self.now = at;
            match event {
                Event::Arrive { to, bytes } => self.deliver(to, bytes),
                Event::Wake { door, life } => {
                    let place = &self.doors[door];
                    if place.life == life && place.wakes == Some(at) && !place.stopped {
                        self.wake(door);
                    }
                }
            }
        }
        self.now = until;
    }

    /// What a door holds of the others; `None` while it does not run.
    pub fn view(&self, door: Place) -> Option<Vec<State>> {
        self.doors[door].engine.as_ref().map(E::view)
    }

    /// The engine of a door that runs.
    pub fn engine(&mut self, door: Place) -> Option<&mut E> {
        self.doors[door].engine.as_mut()
    }

    /// Whether each door that runs holds exactly those for alive that run.
    pub fn is_settled(&self) -> bool {
        let truth: Vec<bool> = (0..self.doors.len()).map(|door| self.runs(door)).collect();
        let right = |view: Vec<State>| {
            view.iter()
                .zip(&truth)
                .all(|(state, runs)| *state == if *runs { State::Alive } else { State::Dead })
        };
        (0..self.doors.len())
            .filter_map(|door| self.view(door))
            .all(right)
    }

    /// Goes on in steps of 50 ms until `done`, at most until this time. Returns when that was.
    pub fn run_until_true(
        &mut self,
        until: Micros,
        done: impl Fn(&Sim<E>) -> bool,
    ) -> Option<Micros> {
        while self.now < until {
            if done(self) {
                return Some(self.now);
            }
            self.run_until((self.now + 50_000).min(until));
        }
        done(self).then_some(self.now)
    }

    /// What a door has sent since this was last asked.
    pub fn take_sent(&mut self, door: Place) -> Sent {
        std::mem::take(&mut self.doors[door].sent)
    }

    fn deliver(&mut self, to: Place, bytes: Vec<u8>) {
        let door = &mut self.doors[to];
        if door.stopped {
            if door.buffer.len() < BUFFERED {
                door.buffer.push_back(bytes);
            }
            return;
        }
        if let Some(engine) = &mut door.engine {
            engine.receive(self.now, &bytes, &mut self.sends);
            self.after(to);
        }
    }

    fn wake(&mut self, door: Place) {
        let now = self.now;
        let Some(engine) = &mut self.doors[door].engine else {
            return;
        };
        if engine.due().is_some_and(|due| due <= now) {
            engine.wake(now, &mut self.sends);
        }
        self.doors[door].wakes = None;
        self.after(door);
    }

    /// Puts what a door sent on its way, and notes when it is to be woken.
    fn after(&mut self, from: Place) {
        let doors = self.doors.len();
        for Send { to, bytes } in std::mem::take(&mut self.sends) {
            let sent = &mut self.doors[from].sent;
            sent.messages += 1;
            sent.bytes += (bytes.len() + HEADERS) as u64;
            sent.largest = sent.largest.max(bytes.len());
            if to >= doors || self.cut[from * doors + to] || self.rng.random_bool(self.weather.loss)
            {
                continue;
            }
            let copies = 1 + usize::from(self.rng.random_bool(self.weather.double));
            for _ in 0..copies {
                let late = self.rng.random_range(0..=self.weather.jitter);
                let at = self.now + self.weather.delay + late;
                self.put(
                    at,
                    Event::Arrive {
                        to,
                        bytes: bytes.clone(),
                    },
                );
            }
        }
        let door = &mut self.doors[from];
        let due = door
            .engine
            .as_ref()
            .and_then(E::due)
            .map(|due| due.max(self.now));
        if due != door.wakes {
            door.wakes = due;
            let life = door.life;
            if let Some(at) = due {
                self.put(at, Event::Wake { door: from, life });
            }
        }
    }

    fn put(&mut self, at: Micros, event: Event) {
        self.count += 1;
        self.queue.push(Reverse((at, self.count, event)));
    }
}

/// The view in the simulation, with names that are made here.
impl Engine for View {
    fn born(now: Micros, birth: Birth, sends: &mut Vec<Send>) -> View {
        let roster: Vec<String> = (0..birth.roster).map(name_of).collect();
        let name = name_of(birth.me);
        let settings = Settings {
            roster,
            name,
            unix_ms: birth.unix / 1000,
            probe: birth.probe,
        };
        // Names that are made here are good ones.
        View::new(now, settings, birth.seed, sends)
            .unwrap_or_else(|problem| unreachable!("{problem}"))
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
    fn leave(&mut self, now: Micros, sends: &mut Vec<Send>) {
        View::leave(self, now, sends);
    }
}

/// A view with an office on it, whose lease is so many milliseconds, in the simulation; and on that a shard map, whose
/// first one has so many ranges, if any; and on that the sessions, if wanted.
pub struct Owned<const LEASE_MS: u64, const RANGES: usize = 0, const SESSIONS: bool = false> {
    /// The part.
    pub stack: Stack,
    /// All names that there may be, as ids by place.
    all: Vec<Id>,
    packets: Vec<Packet>,
    /// What the office sent, with the headers of IP and UDP.
    pub sent: Sent,
    /// What went for the shard map, with the headers of IP and UDP.
    pub kept: Sent,
    /// What went for the sessions, with the headers of IP and UDP.
    pub told: Sent,
}

impl<const LEASE_MS: u64, const RANGES: usize, const SESSIONS: bool>
    Owned<LEASE_MS, RANGES, SESSIONS>
{
    fn settings(view: Settings) -> stack::Settings {
        let shards = (RANGES > 0).then_some(keeping::Settings {
            count: RANGES,
            proposal: None,
        });
        let sessions = SESSIONS.then(part::Settings::default);
        stack::Settings {
            view,
            lease: Some(LEASE_MS * 1000),
            shards,
            sessions,
        }
    }

    /// Staff propose a map at this door.
    pub fn propose(&mut self, now: Micros, expect: u64, ranges: Vec<Range>, sends: &mut Vec<Send>) {
        if let Some(keeping) = self.stack.keeping_mut() {
            keeping.propose(now, expect, ranges);
        }
        self.stack.wake(now, &mut self.packets);
        self.hand_on(sends);
    }

    /// Takes another roster over.
    pub fn set_roster(
        &mut self,
        now: Micros,
        places: impl Iterator<Item = Place>,
        sends: &mut Vec<Send>,
    ) {
        let taken = self
            .stack
            .set_roster(now, places.map(name_of).collect(), &mut self.packets);
        taken.unwrap_or_else(|problem| unreachable!("{problem}"));
        self.hand_on(sends);
    }

    /// Begins once more, from nothing, with these names alone.
    pub fn begin(
        &mut self,
        now: Micros,
        birth: Birth,
        places: impl Iterator<Item = Place>,
        sends: &mut Vec<Send>,
    ) {
        let view = Settings {
            roster: places.map(name_of).collect(),
            name: name_of(birth.me),
            unix_ms: birth.unix / 1000,
            probe: birth.probe,
        };
        let stack = Stack::new(now, Self::settings(view), birth.seed, &mut self.packets);
        self.stack = stack.unwrap_or_else(|problem| unreachable!("{problem}"));
        self.hand_on(sends);
    }

    /// Another process takes its name over.
    pub fn hand_over(&mut self, now: Micros, sends: &mut Vec<Send>) {
        self.stack.hand_over(now, &mut self.packets);
        self.hand_on(sends);
    }

    fn hand_on(&mut self, sends: &mut Vec<Send>) {
        for Packet { to, bytes } in self.packets.drain(..) {
            let sent = match bytes.first() {
                Some(&crate::ownership::wire::VERSION) => Some(&mut self.sent),
                Some(&crate::shards::wire::VERSION) => Some(&mut self.kept),
                Some(&crate::sessions::wire::VERSION) => Some(&mut self.told),
                _ => None,
            };
            if let Some(sent) = sent {
                sent.messages += 1;
                sent.bytes += bytes.len() as u64 + HEADERS as u64;
                sent.largest = sent.largest.max(bytes.len());
            }
            let place = self.all.iter().position(|id| *id == to);
            sends.extend(place.map(|to| Send { to, bytes }));
        }
    }
}

fn name_of(place: Place) -> String {
    format!("n{place:03}")
}

impl<const LEASE_MS: u64, const RANGES: usize, const SESSIONS: bool> Engine
    for Owned<LEASE_MS, RANGES, SESSIONS>
{
    fn born(now: Micros, birth: Birth, sends: &mut Vec<Send>) -> Self {
        let roster: Vec<String> = (0..birth.roster).map(name_of).collect();
        let all = roster.iter().map(|name| id_of(name)).collect();
        let name = name_of(birth.me);
        let view = Settings {
            roster,
            name,
            unix_ms: birth.unix / 1000,
            probe: birth.probe,
        };
        let mut packets = Vec::new();
        let stack = Stack::new(now, Self::settings(view), birth.seed, &mut packets);
        let stack = stack.unwrap_or_else(|problem| unreachable!("{problem}"));
        let (sent, kept, told) = Default::default();
        let mut owned = Owned {
            stack,
            all,
            packets,
            sent,
            kept,
            told,
        };
        owned.hand_on(sends);
        owned
    }
    fn receive(&mut self, now: Micros, bytes: &[u8], sends: &mut Vec<Send>) {
        self.stack.receive(now, bytes, &mut self.packets);
        self.hand_on(sends);
    }
    fn due(&self) -> Option<Micros> {
        Some(self.stack.due())
    }
    fn wake(&mut self, now: Micros, sends: &mut Vec<Send>) {
        self.stack.wake(now, &mut self.packets);
        self.hand_on(sends);
    }
    fn view(&self) -> Vec<State> {
        self.stack.view().states()
    }
    fn leave(&mut self, now: Micros, sends: &mut Vec<Send>) {
        self.stack.leave(now, &mut self.packets);
        self.hand_on(sends);
    }
}

#[cfg(test)]
mod tests;
