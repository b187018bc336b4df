//! The simulated world: time, network, troubles.

use crate::backends;
use crate::clients::{Client, Step, CALL_MS};
use crate::core::Core;
use crate::disk::SimDisk;
use crate::oracle::Oracle;
use crate::stores::{read_answer, Answer, Call, Caller, Slot, ToProcess, ROUTE};
use alderhollow_batch::api::{BodyAnswer, EndAnswer, Outcome, Output, RunEnd, Submitted};
use alderhollow_batch::job::JobId;
use alderhollow_batch::message::Message;
use alderhollow_model::identity::DiskId;
use oorandom::Rand64;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};

const STORES: usize = 4;
const CLIENTS: usize = 14;
/// Troubles and new jobs come until then.
const TROUBLE_MS: u64 = 10_000;
/// Everything must be whole by then.
const END_MS: u64 = 22_000;
const TICK_MS: u64 = 50;
const POLL_MS: u64 = 200;
const VOUCHED_MS: u64 = 1_000;
/// Longest pause before a process starts again.
const RESTART_MS: u64 = 2_500;
/// A store counts as lost so long after it is back.
const CATCH_UP_MS: u64 = 3_000;
/// Runs that one store has under way at most.
const RUNS: usize = 4;

/// How many troubles of each kind, and the share of messages that are lost, doubled and late.
#[derive(Debug, Clone, Copy)]
pub struct Faults {
    pub kills: u32,
    pub freezes: u32,
    pub cuts: u32,
    pub wipes: u32,
    pub loss: f64,
}

/// What was played.
#[derive(Debug, Default)]
pub struct Totals {
    pub accepted: u64,
    pub refused: u64,
    pub listed: u64,
    pub ended: u64,
    pub epochs: u64,
    pub wiped: u64,
}

impl Totals {
    pub fn add(&mut self, other: &Totals) {
        self.accepted += other.accepted;
        self.refused += other.refused;
        self.listed += other.listed;
        self.ended += other.ended;
        self.epochs += other.epochs;
        self.wiped += other.wiped;
    }
}

/// Something that happens.
enum Event {
    ToSlot {
        slot: usize,
        disk: DiskId,
        life: Option<u64>,
        what: ToProcess,
    },
    CorePolled {
        slot: usize,
        life: u64,
        disk: DiskId,
        sent_local_ms: u64,
        status: Box<PollStatus>,
    },
    CoreDecides,
    ClientTurn {
        client: usize,
    },
    ClientAnswered {
        caller: Caller,
        answer: Answer,
    },
    ClientTimedOut {
        caller: Caller,
    },
    RunArrives {
        slot: usize,
        life: u64,
        start: Box<alderhollow_batch::api::ItemStart>,
    },
    RunEnds {
        slot: usize,
        life: u64,
        run: alderhollow_batch::api::RunId,
        job: JobId,
        item: String,
        end: RunEnd,
    },
    Kill {
        power: bool,
    },
    KillAll {
        power: bool,
    },
    Restart {
        slot: usize,
    },
    Freeze,
    Thaw {
        slot: usize,
    },
    Cut,
    Join {
        pair: (usize, usize),
    },
    CutCore,
    JoinCore {
        slot: usize,
    },
    Wipe,
    SlowDisk,
    Heal,
}

type PollStatus = alderhollow_batch::api::GroupStatus;

pub struct World {
    seed: u64,
    now_ms: u64,
    random: Rand64,
    faults: Faults,
    events: BinaryHeap<Reverse<(u64, u64)>>,
    bodies: BTreeMap<u64, Event>,
    newest_event: u64,
    newest_life: u64,
    slots: Vec<Slot>,
    cuts: BTreeSet<(usize, usize)>,
    core: Core,
    clients: Vec<Client>,
    oracle: Oracle,
    wiped: u64,
    /// Something is in trouble, or catches up, until then.
    trouble_until_ms: u64,
    /// A disk was lost: the tolerance is used up until then.
    no_trouble_until_ms: u64,
}

impl World {
    pub fn new(seed: u64, faults: Faults) -> World {
        let mut random = Rand64::new(u128::from(seed) * 7_919 + 1);
        let slots = (0..STORES as u64).map(|slot| Slot::new(DiskId(slot + 1))).collect();
        let clients = (0..CLIENTS).map(|number| Client::new(number, &mut random)).collect();
        World {
            seed,
            now_ms: 0,
            random,
            faults,
            events: BinaryHeap::new(),
            bodies: BTreeMap::new(),
            newest_event: 0,
            newest_life: 0,
            slots,
            cuts: BTreeSet::new(),
            core: Core::new(),
            clients,
            oracle: Oracle::default(),
            wiped: 0,
            trouble_until_ms: 0,
            no_trouble_until_ms: 0,
        }
    }

    /// Plays it all.
    pub fn play(mut self) -> Totals {
        let seed = self.seed;
        let played = std::panic::catch_unwind(std::panic::AssertUnwindSafe(|| self.run()));
        match played {
            Ok(totals) => totals,
            Err(cause) => {
                eprintln!("seed {seed} broke a rule");
                std::panic::resume_unwind(cause)
            }
        }
    }

    fn run(&mut self) -> Totals {
        self.schedule();
        while let Some(Reverse((at_ms, number))) = self.events.pop() {
            if at_ms > END_MS {
                break;
            }
            self.now_ms = at_ms;
            let event = self.bodies.remove(&number).expect("each event has its content");
            self.happen(event);
        }
        self.check_end();
        Totals {
            accepted: self.oracle.jobs.values().filter(|job| job.accepted).count() as u64,
            refused: self.oracle.jobs.values().filter(|job| job.refused).count() as u64,
            listed: self.oracle.jobs.values().map(|job| job.seen.len() as u64).sum(),
            ended: self.oracle.jobs.values().filter(|job| job.end_acknowledged_ms.is_some()).count() as u64,
            epochs: self.core.group.as_ref().map_or(0, |group| group.epoch),
            wiped: self.wiped,
        }
    }

    fn at(&mut self, at_ms: u64, event: Event) {
        self.newest_event += 1;
        self.events.push(Reverse((at_ms, self.newest_event)));
        self.bodies.insert(self.newest_event, event);
    }

    fn after(&mut self, delay_ms: u64, event: Event) {
        self.at(self.now_ms + delay_ms, event);
    }

    /// Starts and troubles.
    fn schedule(&mut self) {
        for slot in 0..STORES {
            let at_ms = self.random.rand_range(0..300);
            self.at(at_ms, Event::Restart { slot });
        }
        self.at(400, Event::CoreDecides);
        for client in 0..CLIENTS {
            let at_ms = self.random.rand_range(1_000..TROUBLE_MS);
            self.at(at_ms, Event::ClientTurn { client });
        }
        let faults = self.faults;
        for _ in 0..faults.kills {
            let power = self.random.rand_float() < 0.5;
            let all = self.random.rand_float() < 0.15;
            self.trouble(if all { Event::KillAll { power } } else { Event::Kill { power } });
        }
        for _ in 0..faults.freezes {
            self.trouble(Event::Freeze);
            self.trouble(Event::SlowDisk);
        }
        for _ in 0..faults.cuts {
            self.trouble(Event::Cut);
            self.trouble(Event::CutCore);
        }
        for _ in 0..faults.wipes {
            self.trouble(Event::Wipe);
        }
        self.at(TROUBLE_MS + 1_000, Event::Heal);
    }

    fn trouble(&mut self, event: Event) {
        let at_ms = self.random.rand_range(1_000..TROUBLE_MS);
        self.at(at_ms, event);
    }

    fn happen(&mut self, event: Event) {
        match event {
            Event::ToSlot { slot, disk, life, what } => self.to_slot(slot, disk, life, what),
            Event::CorePolled { slot, life, disk, sent_local_ms, status } => {
                self.core_polled(slot, life, disk, sent_local_ms, *status)
            }
            Event::CoreDecides => {
                self.core.decide(self.now_ms);
                self.after(100, Event::CoreDecides);
            }
            Event::ClientTurn { client } => {
                let step = self.clients[client].step(self.now_ms, &mut self.oracle, &mut self.random);
                self.client_steps(client, step);
            }
            Event::ClientAnswered { caller, answer } => {
                let client = &mut self.clients[caller.client];
                let step = client.answered(self.now_ms, caller.call, answer, &mut self.oracle);
                self.client_steps(caller.client, step);
            }
            Event::ClientTimedOut { caller } => {
                let client = &mut self.clients[caller.client];
                let step = client.timed_out(self.now_ms, caller.call, &mut self.oracle);
                self.client_steps(caller.client, step);
            }
            Event::RunArrives { slot, life, start } => self.run_arrives(slot, life, *start),
            Event::RunEnds { slot, life, run, job, item, end } => {
                self.oracle.run_ends(&job, &item, &end);
                let delay_ms = self.delay();
                let disk = self.slots[slot].disk.id;
                let what = ToProcess::RunEnded { run, end };
                self.after(delay_ms, Event::ToSlot { slot, disk, life: Some(life), what });
            }
            trouble => self.strike(trouble),
        }
    }

    /// Troubles and their ends.
    fn strike(&mut self, event: Event) {
        let slot = self.random.rand_range(0..STORES as u64) as usize;
        let span_ms = self.random.rand_range(100..4_000);
        let is_trouble = matches!(
            event,
            Event::Kill { .. } | Event::KillAll { .. } | Event::Freeze | Event::Cut | Event::CutCore
        );
        if is_trouble && self.now_ms < self.no_trouble_until_ms {
            return;
        }
        if is_trouble {
            self.trouble_until_ms =
                self.trouble_until_ms.max(self.now_ms + span_ms.max(RESTART_MS) + CATCH_UP_MS);
        }
        match event {
            Event::Kill { power } => self.kill(slot, power),
            Event::KillAll { power } => (0..STORES).for_each(|slot| self.kill(slot, power)),
            Event::Restart { slot } => self.restart(slot),
            Event::Freeze => {
                self.slots[slot].frozen = true;
                self.after(span_ms, Event::Thaw { slot });
            }
            Event::Thaw { slot } => self.thaw(slot),
            Event::Cut => {
                let pair = (slot, (slot + 1 + span_ms as usize % (STORES - 1)) % STORES);
                self.cuts.insert(pair);
                self.after(span_ms, Event::Join { pair });
            }
            Event::Join { pair } => drop(self.cuts.remove(&pair)),
            Event::CutCore => {
                self.slots[slot].cut_from_core = true;
                self.after(span_ms, Event::JoinCore { slot });
            }
            Event::JoinCore { slot } => self.slots[slot].cut_from_core = false,
            Event::Wipe => self.wipe(slot),
            Event::SlowDisk => self.slots[slot].sync_ms = 600,
            Event::Heal => self.heal(),
            _ => unreachable!("not a trouble"),
        }
    }

    fn kill(&mut self, slot: usize, power: bool) {
        if self.slots[slot].process.take().is_none() {
            return;
        }
        match power {
            true => self.slots[slot].disk.lose_power(&mut self.random),
            false => self.slots[slot].disk.lose_unsynced(&mut self.random),
        }
        let delay_ms = self.random.rand_range(50..RESTART_MS);
        self.after(delay_ms, Event::Restart { slot });
    }

    /// A disk is lost, where the tolerance of one machine allows it: nothing else is in trouble, nor soon will be. In the
    /// same moment all others may lose power.
    fn wipe(&mut self, slot: usize) {
        let disk = self.slots[slot].disk.id;
        let calm = self.now_ms >= self.trouble_until_ms && self.cuts.is_empty();
        let is_well = |slot: &Slot| slot.process.is_some() && !slot.frozen && !slot.cut_from_core;
        let others = self.core.complete.iter().filter(|other| **other != disk);
        let held = others.filter(|other| self.slots.iter().any(|slot| slot.disk.id == **other)).count() > 0;
        if self.core.group.is_none() || !held || !calm || !self.slots.iter().all(is_well) {
            return;
        }
        self.no_trouble_until_ms = self.now_ms + CATCH_UP_MS;
        if self.random.rand_float() < 0.5 {
            (0..STORES).filter(|other| *other != slot).for_each(|other| self.kill(other, true));
        }
        self.wiped += 1;
        self.slots[slot].process = None;
        self.slots[slot].disk = SimDisk::new(DiskId(100 + self.wiped));
        let delay_ms = self.random.rand_range(50..1_000);
        self.after(delay_ms, Event::Restart { slot });
    }

    fn restart(&mut self, slot: usize) {
        if self.slots[slot].process.is_some() {
            return;
        }
        self.newest_life += 1;
        let clock_ahead_ms = self.random.rand_range(0..100_000);
        self.slots[slot].start(self.newest_life, self.now_ms, clock_ahead_ms);
        let (disk, life) = (self.slots[slot].disk.id, Some(self.newest_life));
        self.after(1, Event::ToSlot { slot, disk, life, what: ToProcess::Tick });
        self.after(1, Event::ToSlot { slot, disk, life, what: ToProcess::Poll });
    }

    fn thaw(&mut self, slot: usize) {
        if !std::mem::take(&mut self.slots[slot].frozen) {
            return;
        }
        let disk = self.slots[slot].disk.id;
        for (life, what) in std::mem::take(&mut self.slots[slot].mailbox) {
            self.to_slot(slot, disk, life, what);
        }
    }

    fn heal(&mut self) {
        self.faults.loss = 0.0;
        self.cuts.clear();
        for slot in 0..STORES {
            self.slots[slot].cut_from_core = false;
            self.slots[slot].sync_ms = 5;
            self.thaw(slot);
            self.restart(slot);
        }
    }

    fn delay(&mut self) -> u64 {
        let late = self.random.rand_float() < self.faults.loss / 2.0;
        self.random.rand_range(1..if late { 800 } else { 15 })
    }

    /// Sends something to a store, unless it gets lost; perhaps twice.
    fn send(&mut self, slot: usize, disk: DiskId, what: ToProcess, may_double: bool) {
        if self.random.rand_float() < self.faults.loss {
            return;
        }
        if may_double && self.random.rand_float() < self.faults.loss {
            let delay_ms = self.delay();
            self.after(delay_ms, Event::ToSlot { slot, disk, life: None, what: what.clone() });
        }
        let delay_ms = self.delay();
        self.after(delay_ms, Event::ToSlot { slot, disk, life: None, what });
    }

    /// Something happens to a process; `life`: only to that one.
    fn to_slot(&mut self, slot: usize, disk: DiskId, life: Option<u64>, what: ToProcess) {
        let machine = &mut self.slots[slot];
        let Some(process) = &machine.process else { return };
        if machine.disk.id != disk || life.is_some_and(|life| life != process.life) {
            return;
        }
        if machine.frozen {
            machine.mailbox.push((life, what));
            return;
        }
        self.process_takes(slot, what);
        self.pump(slot);
    }

    fn process_takes(&mut self, slot: usize, what: ToProcess) {
        let machine = &mut self.slots[slot];
        let Some(process) = &mut machine.process else { return };
        let clock = self.now_ms + process.clock_ahead_ms;
        let (disk, life) = (machine.disk.id, Some(process.life));
        match what {
            ToProcess::Message { from, bytes } => {
                let message = Message::from_bytes(&bytes).expect("a message of a store");
                process.engine.receive(clock, from, message);
            }
            ToProcess::Written { ticket, length } => {
                machine.disk.sync(length);
                process.engine.written(clock, ticket);
                if machine.disk.is_synced() && self.random.rand_float() < 0.02 {
                    machine.disk.compact(process.engine.snapshot(clock));
                }
            }
            ToProcess::Tick => {
                process.engine.tick(clock);
                self.after(TICK_MS, Event::ToSlot { slot, disk, life, what: ToProcess::Tick });
            }
            ToProcess::Poll => {
                let status = Box::new(process.engine.status(clock));
                let life = process.life;
                self.after(POLL_MS, Event::ToSlot { slot, disk, life: Some(life), what: ToProcess::Poll });
                if !self.slots[slot].cut_from_core && self.random.rand_float() >= self.faults.loss {
                    let delay_ms = self.delay();
                    self.after(
                        delay_ms,
                        Event::CorePolled { slot, life, disk, sent_local_ms: clock, status },
                    );
                }
            }
            ToProcess::PollAnswered { sent_local_ms, group, vouched } => {
                if let Some(group) = group {
                    process.engine.set_group(clock, group);
                }
                if vouched {
                    process.engine.set_vouched_until(sent_local_ms + VOUCHED_MS);
                }
            }
            ToProcess::Call { caller, call } => self.process_called(slot, caller, call),
            ToProcess::RunEnded { run, end } => {
                process.runs.remove(&run);
                process.engine.run_ended(clock, run, end);
            }
        }
    }

    fn process_called(&mut self, slot: usize, caller: Caller, call: Call) {
        let Some(process) = &mut self.slots[slot].process else { return };
        let clock = self.now_ms + process.clock_ahead_ms;
        let answer = match call {
            Call::Submit { try_id, job } => match process.engine.submit(clock, try_id, job) {
                Submitted::Pending(token) => {
                    process.waiting.entry(token).or_default().push(caller);
                    return;
                }
                Submitted::AlreadyAccepted => Answer::Done,
                Submitted::OverQuota => Answer::OverQuota,
                Submitted::NotPrimary | Submitted::NotSure => Answer::NotHere,
                Submitted::Invalid => panic!("the job is valid"),
            },
            Call::Read { job, after, known } => {
                let answer = read_answer(process.engine.read(clock, &job, after, 300), after, known);
                assert!(!matches!(answer, Answer::NotFound), "LOST: 404 for {job}");
                answer
            }
            Call::Body { job, item_id } => match process.engine.body(clock, &job, &item_id) {
                BodyAnswer::Body(body) => Answer::Body(body.to_vec()),
                BodyAnswer::NotFound => {
                    let listed = read_answer(process.engine.read(clock, &job, 0, usize::MAX), 0, 0);
                    let is_listed = match listed {
                        Answer::Results { results, .. } => results.iter().any(|result| result.id == item_id),
                        _ => false,
                    };
                    assert!(is_listed || self.oracle.job(&job).end_asked, "LOST: the body of {item_id}");
                    Answer::NotFound
                }
                BodyAnswer::NotPrimary | BodyAnswer::NotSure => Answer::NotHere,
            },
            Call::End { job } => match process.engine.end(clock, &job) {
                EndAnswer::Pending(token) => {
                    process.waiting.entry(token).or_default().push(caller);
                    return;
                }
                EndAnswer::AlreadyEnded => Answer::Done,
                EndAnswer::NotFound => panic!("LOST: 404 at the end of {job}"),
                EndAnswer::NotPrimary | EndAnswer::NotSure => Answer::NotHere,
            },
        };
        self.answer(caller, answer);
    }

    /// An answer goes back to a client's door.
    fn answer(&mut self, caller: Caller, answer: Answer) {
        if self.random.rand_float() >= self.faults.loss {
            let delay_ms = self.delay();
            self.after(delay_ms, Event::ClientAnswered { caller, answer });
        }
    }

    /// Carries out what a process wants.
    fn pump(&mut self, slot: usize) {
        let Some(process) = &mut self.slots[slot].process else { return };
        let clock = self.now_ms + process.clock_ahead_ms;
        let (life, room) = (process.life, RUNS.saturating_sub(process.runs.len()));
        let starts = process.engine.take_work(clock, ROUTE, room);
        for start in &starts {
            process.runs.insert(start.run, (start.job.clone(), start.item_id.clone()));
        }
        let outputs = process.engine.take_outputs();
        for start in starts {
            let delay_ms = self.delay();
            self.after(delay_ms, Event::RunArrives { slot, life, start: Box::new(start) });
        }
        for output in outputs {
            self.carry_out(slot, life, output);
        }
    }

    fn carry_out(&mut self, slot: usize, life: u64, output: Output) {
        let disk = self.slots[slot].disk.id;
        match output {
            Output::Send { to, message } => {
                let Some(target) = self.slots.iter().position(|other| other.disk.id == to) else { return };
                if self.cuts.contains(&(slot, target)) || self.cuts.contains(&(target, slot)) {
                    return;
                }
                let what = ToProcess::Message { from: disk, bytes: message.to_bytes() };
                self.send(target, to, what, true);
            }
            Output::Write { ticket, records } => {
                let length = self.slots[slot].disk.append(records);
                let slowest_ms = self.slots[slot].sync_ms;
                let delay_ms = self.random.rand_range(1..slowest_ms + 1);
                let what = ToProcess::Written { ticket, length };
                self.after(delay_ms, Event::ToSlot { slot, disk, life: Some(life), what });
            }
            Output::Resolved { token, outcome } => {
                let Some(process) = &mut self.slots[slot].process else { return };
                let callers = process.waiting.remove(&token).unwrap_or_default();
                let answer = match outcome {
                    Outcome::Committed => Answer::Done,
                    Outcome::Unknown => Answer::Unknown,
                };
                callers.into_iter().for_each(|caller| self.answer(caller, answer.clone()));
            }
            Output::Readable(_) => {}
            Output::CancelRun(run) => {
                if let Some(process) = &mut self.slots[slot].process {
                    process.runs.remove(&run);
                }
            }
        }
    }

    fn core_polled(&mut self, slot: usize, life: u64, disk: DiskId, sent_local_ms: u64, status: PollStatus) {
        self.core.poll(self.now_ms, disk, status);
        let vouched = self.core.vouches_for(disk);
        let what = ToProcess::PollAnswered { sent_local_ms, group: self.core.group.clone(), vouched };
        let delay_ms = self.delay();
        self.after(delay_ms, Event::ToSlot { slot, disk, life: Some(life), what });
    }

    /// An item reaches a backend, unless its run was cancelled on the way.
    fn run_arrives(&mut self, slot: usize, life: u64, start: alderhollow_batch::api::ItemStart) {
        let process = self.slots[slot].process.as_ref().filter(|process| process.life == life);
        if process.is_some_and(|process| !process.runs.contains_key(&start.run)) {
            return;
        }
        let end = backends::run(&start, &mut self.random);
        if !matches!(end, RunEnd::NotRun { .. }) {
            self.oracle.run_begins(self.now_ms, &start.job);
        }
        let took_ms = self.random.rand_range(20..600);
        let (run, job, item) = (start.run, start.job, start.item_id);
        self.after(took_ms, Event::RunEnds { slot, life, run, job, item, end });
    }

    /// Does what a client wants.
    fn client_steps(&mut self, client: usize, step: Step) {
        match step {
            Step::Nothing => {}
            Step::Wait(delay_ms) => self.after(delay_ms, Event::ClientTurn { client }),
            Step::Call(number, call) => {
                let caller = Caller { client, call: number };
                self.after(CALL_MS, Event::ClientTimedOut { caller });
                let late = self.random.rand_float() < 0.1;
                let group = if late { &self.core.previous } else { &self.core.group };
                let Some(primary) = group.as_ref().map(|group| group.primary) else { return };
                let Some(slot) = self.slots.iter().position(|slot| slot.disk.id == primary) else { return };
                self.send(slot, primary, ToProcess::Call { caller, call }, false);
            }
        }
    }

    /// All acknowledged jobs are whole, and read.
    fn check_end(&self) {
        for job in self.oracle.jobs.values().filter(|job| job.accepted) {
            job.check_whole();
        }
        let unread = self.clients.iter().filter(|client| client.is_reading());
        for client in unread {
            assert!(self.oracle.jobs[&client.job.id].accepted);
        }
    }
}
