//! The simulation: time, network and scheduled faults.

use crate::clients::{Client, Step, CALL_MS};
use crate::core::Core;
use crate::oracle::Oracle;
use crate::stores::{Answer, Caller, Slot, ToProcess};
use alderhollow_batch::api::RunEnd;
use alderhollow_batch::job::JobId;
use alderhollow_model::identity::DiskId;
use oorandom::Rand64;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};

pub(crate) const STORES: usize = 4;
pub(crate) const CLIENTS: usize = 14;
/// Time at which faults and new jobs stop.
pub(crate) const FAULTS_END_MS: u64 = 10_000;
/// Time by which every job must be complete.
pub(crate) const END_MS: u64 = 22_000;
pub(crate) const TICK_MS: u64 = 50;
pub(crate) const POLL_MS: u64 = 200;
pub(crate) const VALIDATED_MS: u64 = 1_000;
/// Duration of the partition of a store from all others.
pub(crate) const LONG_PARTITION_MS: std::ops::Range<u64> = 2_000..7_000;
/// Maximum uptime and downtime of a flapping store.
pub(crate) const FLICKER_MS: u64 = 150;
/// Maximum downtime before a restart.
pub(crate) const RESTART_MS: u64 = 2_500;
/// Time after a recovery during which a store still counts as failed.
pub(crate) const CATCH_UP_MS: u64 = 3_000;
/// Maximum number of concurrent runs of a store.
pub(crate) const RUNS: usize = 4;

/// Number of faults of each kind, and the fraction of messages that are lost, duplicated and late.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Faults {
    pub kills: u32,
    pub freezes: u32,
    pub partitions: u32,
    pub wipes: u32,
    /// Planned changes of the group.
    pub exchanges: u32,
    /// Partitions of one store from all others for seconds.
    pub long_partitions: u32,
    /// Flapping: a store is killed repeatedly, each time while it synchronizes.
    pub flickers: u32,
    /// Partitions into two halves for seconds; the core is in one of them, or reaches both.
    pub halves: u32,
    /// Whether one disk is lost during a partition into halves.
    pub wipe_in_halves: bool,
    pub loss: f64,
}

/// Totals of simulation runs.
#[derive(Debug, Default)]
pub(crate) struct Totals {
    pub accepted: u64,
    pub refused: u64,
    pub listed: u64,
    pub ended: u64,
    pub epochs: u64,
    pub wiped: u64,
    pub exchanged: u64,
}

impl Totals {
    pub(crate) fn add(&mut self, other: &Totals) {
        self.accepted += other.accepted;
        self.refused += other.refused;
        self.listed += other.listed;
        self.ended += other.ended;
        self.epochs += other.epochs;
        self.wiped += other.wiped;
        self.exchanged += other.exchanged;
    }
}

/// A scheduled event.
pub(crate) enum Event {
    ToSlot {
        slot: usize,
        disk: DiskId,
        incarnation: Option<u64>,
        what: ToProcess,
    },
    CorePolled {
        slot: usize,
        incarnation: u64,
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
        incarnation: u64,
        start: Box<alderhollow_batch::api::ItemStart>,
    },
    RunEnds {
        slot: usize,
        incarnation: u64,
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
    Partition,
    Rejoin {
        pair: (usize, usize),
    },
    PartitionCore,
    RejoinCore {
        slot: usize,
    },
    Wipe,
    WipeAndPowerLoss,
    ExchangeMember,
    Isolate,
    RejoinAll {
        slot: usize,
    },
    Flicker {
        slot: usize,
        times: u32,
    },
    Halves,
    RejoinHalves {
        half: [usize; STORES / 2],
    },
    WipeInHalves,
    SlowDisk,
    Heal,
}

/// Status that a store reports at a poll.
pub(crate) type PollStatus = alderhollow_batch::api::GroupStatus;

pub(crate) struct Simulation {
    pub seed: u64,
    pub now_ms: u64,
    pub random: Rand64,
    pub faults: Faults,
    pub events: BinaryHeap<Reverse<(u64, u64)>>,
    pub bodies: BTreeMap<u64, Event>,
    pub newest_event: u64,
    pub newest_incarnation: u64,
    pub slots: Vec<Slot>,
    pub partitions: BTreeSet<(usize, usize)>,
    pub core: Core,
    pub clients: Vec<Client>,
    pub oracle: Oracle,
    pub wiped: u64,
    pub exchanged: u64,
    /// Time until which a fault or the recovery from it lasts.
    pub fault_until_ms: u64,
    /// Time until which a lost disk uses up the tolerance.
    pub no_fault_until_ms: u64,
}

impl Simulation {
    pub(crate) fn new(seed: u64, faults: Faults) -> Simulation {
        let mut random = Rand64::new(u128::from(seed) * 7_919 + 1);
        let slots = (0..STORES as u64)
            .map(|slot| Slot::new(DiskId(slot + 1)))
            .collect();
        let clients = (0..CLIENTS)
            .map(|number| Client::new(number, &mut random))
            .collect();
        Simulation {
            seed,
            now_ms: 0,
            random,
            faults,
            events: BinaryHeap::new(),
            bodies: BTreeMap::new(),
            newest_event: 0,
            newest_incarnation: 0,
            slots,
            partitions: BTreeSet::new(),
            core: Core::new(),
            clients,
            oracle: Oracle::default(),
            wiped: 0,
            exchanged: 0,
            fault_until_ms: 0,
            no_fault_until_ms: 0,
        }
    }

    /// Runs the simulation to the end and names the seed if a rule is violated.
    pub(crate) fn run_to_end(mut self) -> Totals {
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

    pub(crate) fn run(&mut self) -> Totals {
        self.schedule();
        while let Some(Reverse((at_ms, number))) = self.events.pop() {
            if at_ms > END_MS {
                break;
            }
            self.now_ms = at_ms;
            let event = self
                .bodies
                .remove(&number)
                .expect("each event has its content");
            self.happen(event);
        }
        self.check_end();
        Totals {
            accepted: self.oracle.jobs.values().filter(|job| job.accepted).count() as u64,
            refused: self.oracle.jobs.values().filter(|job| job.refused).count() as u64,
            listed: self
                .oracle
                .jobs
                .values()
                .map(|job| job.seen.len() as u64)
                .sum(),
            ended: self
                .oracle
                .jobs
                .values()
                .filter(|job| job.end_acknowledged_ms.is_some())
                .count() as u64,
            epochs: self.core.group.as_ref().map_or(0, |group| group.epoch),
            wiped: self.wiped,
            exchanged: self.exchanged,
        }
    }

    pub(crate) fn at(&mut self, at_ms: u64, event: Event) {
        self.newest_event += 1;
        self.events.push(Reverse((at_ms, self.newest_event)));
        self.bodies.insert(self.newest_event, event);
    }

    pub(crate) fn after(&mut self, delay_ms: u64, event: Event) {
        self.at(self.now_ms + delay_ms, event);
    }

    /// Schedules the starts and the faults.
    pub(crate) fn schedule(&mut self) {
        for slot in 0..STORES {
            let at_ms = self.random.rand_range(0..300);
            self.at(at_ms, Event::Restart { slot });
        }
        self.at(400, Event::CoreDecides);
        for client in 0..CLIENTS {
            let at_ms = self.random.rand_range(1_000..FAULTS_END_MS);
            self.at(at_ms, Event::ClientTurn { client });
        }
        let faults = self.faults;
        for _ in 0..faults.kills {
            let power = self.random.rand_float() < 0.5;
            let all = self.random.rand_float() < 0.15;
            self.fault(if all {
                Event::KillAll { power }
            } else {
                Event::Kill { power }
            });
        }
        for _ in 0..faults.freezes {
            self.fault(Event::Freeze);
            self.fault(Event::SlowDisk);
        }
        for _ in 0..faults.partitions {
            self.fault(Event::Partition);
            self.fault(Event::PartitionCore);
        }
        for _ in 0..faults.wipes {
            self.fault(Event::Wipe);
        }
        for _ in 0..faults.exchanges {
            self.fault(Event::ExchangeMember);
        }
        for _ in 0..faults.long_partitions {
            self.fault(Event::Isolate);
        }
        for _ in 0..faults.flickers {
            let slot = self.random.rand_range(0..STORES as u64) as usize;
            let times = 2 + self.random.rand_range(0..5) as u32;
            self.fault(Event::Flicker { slot, times });
        }
        for _ in 0..faults.halves {
            self.fault(Event::Halves);
        }
        self.at(FAULTS_END_MS + 1_000, Event::Heal);
    }

    pub(crate) fn fault(&mut self, event: Event) {
        let at_ms = self.random.rand_range(1_000..FAULTS_END_MS);
        self.at(at_ms, event);
    }

    pub(crate) fn happen(&mut self, event: Event) {
        match event {
            Event::ToSlot {
                slot,
                disk,
                incarnation,
                what,
            } => self.reach(slot, disk, incarnation, what),
            Event::CorePolled {
                slot,
                incarnation,
                disk,
                sent_local_ms,
                status,
            } => self.core_polled(slot, incarnation, disk, sent_local_ms, *status),
            Event::CoreDecides => {
                self.core.decide(self.now_ms);
                self.after(100, Event::CoreDecides);
            }
            Event::ClientTurn { client } => {
                let step =
                    self.clients[client].step(self.now_ms, &mut self.oracle, &mut self.random);
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
            Event::RunArrives {
                slot,
                incarnation,
                start,
            } => self.run_arrives(slot, incarnation, *start),
            Event::RunEnds {
                slot,
                incarnation,
                run,
                job,
                item,
                end,
            } => {
                self.oracle.run_ends(&job, &item, &end);
                let delay_ms = self.delay();
                let disk = self.slots[slot].disk.id;
                let what = ToProcess::RunEnded { run, end };
                self.after(
                    delay_ms,
                    Event::ToSlot {
                        slot,
                        disk,
                        incarnation: Some(incarnation),
                        what,
                    },
                );
            }
            fault => self.on_fault(fault),
        }
    }

    pub(crate) fn delay(&mut self) -> u64 {
        let late = self.random.rand_float() < self.faults.loss / 2.0;
        self.random.rand_range(1..if late { 800 } else { 15 })
    }

    /// Sends an input to a store; it may be lost or duplicated.
    pub(crate) fn send(&mut self, slot: usize, disk: DiskId, what: ToProcess, may_double: bool) {
        if self.random.rand_float() < self.faults.loss {
            return;
        }
        if may_double && self.random.rand_float() < self.faults.loss {
            let delay_ms = self.delay();
            self.after(
                delay_ms,
                Event::ToSlot {
                    slot,
                    disk,
                    incarnation: None,
                    what: what.clone(),
                },
            );
        }
        let delay_ms = self.delay();
        self.after(
            delay_ms,
            Event::ToSlot {
                slot,
                disk,
                incarnation: None,
                what,
            },
        );
    }

    /// Carries out the next step of a client.
    pub(crate) fn client_steps(&mut self, client: usize, step: Step) {
        match step {
            Step::Nothing => {}
            Step::Wait(delay_ms) => self.after(delay_ms, Event::ClientTurn { client }),
            Step::Call(number, call) => {
                let caller = Caller {
                    client,
                    call: number,
                };
                self.after(CALL_MS, Event::ClientTimedOut { caller });
                let late = self.random.rand_float() < 0.25;
                let group = if late {
                    &self.core.previous
                } else {
                    &self.core.group
                };
                let Some(primary) = group.as_ref().map(|group| group.primary) else {
                    return;
                };
                let Some(slot) = self.slots.iter().position(|slot| slot.disk.id == primary) else {
                    return;
                };
                self.send(slot, primary, ToProcess::Call { caller, call }, false);
            }
        }
    }

    /// Checks that all acknowledged jobs are complete and were read.
    pub(crate) fn check_end(&self) {
        for job in self.oracle.jobs.values().filter(|job| job.accepted) {
            job.check_complete();
        }
        let unread = self.clients.iter().filter(|client| client.is_reading());
        for client in unread {
            assert!(self.oracle.jobs[&client.job.id].accepted);
        }
    }
}
