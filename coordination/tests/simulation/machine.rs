//! A simulated machine: its clock, its disk, and the process that runs on it.

use crate::cluster::QuotaUsage;
use crate::command_log::CommandLog;
use alderhollow_coordination::replica::interface::{
    Member, MemberId, Millis, Recovered, Token, Version,
};
use alderhollow_coordination::replica::settings::{Settings, Timings};
use alderhollow_coordination::replica::Replica;
use oorandom::Rand64;
use std::collections::VecDeque;

/// The monotonic clock of a machine. It runs at `percent` of the speed of simulated time.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Clock {
    pub percent: u64,
}

impl Clock {
    /// The reading of the clock at a simulated time.
    pub(crate) fn reading_at(self, moment: Millis) -> Millis {
        moment * self.percent / 100
    }

    /// The first simulated time at which the clock has this reading.
    pub(crate) fn time_of_reading(self, shown: Millis) -> Millis {
        (shown.saturating_mul(100)).div_ceil(self.percent)
    }
}

/// A machine. Its address is its number.
pub(crate) struct Machine {
    pub number: usize,
    pub clock: Clock,
    pub node: String,
    /// Whether its next process is started with `first-start`.
    pub first_start: bool,
    pub disk: Disk,
    pub process: Option<Process>,
    pub frozen_until: Millis,
    pub quota_usage: QuotaUsage,
    /// Whether it was removed permanently.
    pub removed: bool,
    /// When its next process starts.
    pub starts_at: Option<Millis>,
}

/// A running process.
pub(crate) struct Process {
    pub replica: Replica<CommandLog>,
    /// Distinguishes the processes of a machine.
    pub generation: u64,
    pub tick_at: Millis,
    /// Version up to which its committed state was checked.
    pub checked: Version,
    /// Whether it was asked to leave, so that it exits soon.
    pub leaving: bool,
    /// Whether its replica has reported the end of the hand-over.
    pub leave_completed: bool,
}

/// A disk with writes in flight.
#[derive(Default)]
pub(crate) struct Disk {
    content: Recovered,
    in_flight: VecDeque<DiskWrite>,
    busy_until: Millis,
    pub stalled_until: Millis,
    pub slow_until: Millis,
    pub full_until: Millis,
}

struct DiskWrite {
    token: Token,
    writes: Vec<Vec<u8>>,
    replace_all: Option<Vec<u8>>,
}

impl Machine {
    pub(crate) fn new(number: usize, node: String, first_start: bool) -> Self {
        Machine {
            number,
            clock: Clock { percent: 100 },
            node,
            first_start,
            disk: Disk::default(),
            process: None,
            frozen_until: 0,
            quota_usage: QuotaUsage::default(),
            removed: false,
            starts_at: None,
        }
    }

    pub(crate) fn start(&mut self, now: Millis, tolerate_machines: usize, seed: u64) {
        let settings = Settings {
            node: self.node.clone(),
            zone: String::new(),
            contact: self.number.to_be_bytes().to_vec(),
            first_start: self.first_start,
            tolerate_machines,
            timings: Timings::default(),
            seed,
        };
        self.first_start = false;
        let recovered = self.disk.content.clone();
        let replica = Replica::open(
            settings,
            recovered,
            CommandLog::default(),
            self.clock.reading_at(now),
        )
        .expect("the disk is valid");
        self.disk.busy_until = now;
        self.process = Some(Process {
            replica,
            generation: seed,
            tick_at: Millis::MAX,
            checked: 0,
            leaving: false,
            leave_completed: false,
        });
    }

    /// Whether its process considers itself the lease holder, by its own clock.
    pub(crate) fn holds_lease(&self, now: Millis) -> bool {
        let shown = self.clock.reading_at(now);
        self.process
            .as_ref()
            .is_some_and(|process| process.replica.holds_lease(shown))
    }

    /// Identity of the running process's disk.
    pub(crate) fn member_id(&self) -> Option<MemberId> {
        self.process
            .as_ref()
            .map(|process| process.replica.member().id)
    }

    pub(crate) fn member(&self) -> Option<Member> {
        self.process
            .as_ref()
            .map(|process| process.replica.member().clone())
    }
}

/// The machine number in a member's contact.
pub(crate) fn address_of(member: &Member) -> usize {
    usize::from_be_bytes(
        member
            .contact
            .as_slice()
            .try_into()
            .expect("a machine number"),
    )
}

impl Disk {
    /// Starts a write and returns the time at which it completes.
    pub(crate) fn begin_write(
        &mut self,
        now: Millis,
        rng: &mut Rand64,
        token: Token,
        writes: Vec<Vec<u8>>,
        replace_all: Option<Vec<u8>>,
    ) -> Millis {
        self.in_flight.push_back(DiskWrite {
            token,
            writes,
            replace_all,
        });
        let factor = if now < self.slow_until { 30 } else { 1 };
        let took = rng.rand_range(1..3) * factor;
        self.busy_until = self.busy_until.max(now).max(self.stalled_until) + took;
        self.busy_until
    }

    /// Completes a write; `false` if it failed.
    pub(crate) fn finish(&mut self, now: Millis, rng: &mut Rand64, token: Token) -> bool {
        let Some(write) = self.in_flight.pop_front() else {
            return true;
        };
        assert_eq!(write.token, token, "writes end in order");
        if now < self.full_until {
            if rng.rand_range(0..2) == 0 {
                self.apply(write);
            }
            return false;
        }
        self.apply(write);
        true
    }

    pub(crate) fn contains(&self, token: Token) -> bool {
        self.in_flight.iter().any(|write| write.token == token)
    }

    pub(crate) fn is_next(&self, token: Token) -> bool {
        self.in_flight
            .front()
            .is_some_and(|write| write.token == token)
    }

    /// Drops the writes in flight after a failed one.
    pub(crate) fn drop_in_flight(&mut self) -> Vec<Token> {
        self.in_flight.drain(..).map(|write| write.token).collect()
    }

    /// Ends the process: a prefix of the writes in flight is on disk.
    pub(crate) fn crash(&mut self, rng: &mut Rand64) {
        let synced_count = rng.rand_range(0..self.in_flight.len() as u64 + 1);
        for _ in 0..synced_count {
            if let Some(write) = self.in_flight.pop_front() {
                self.apply(write);
            }
        }
        self.in_flight.clear();
    }

    fn apply(&mut self, write: DiskWrite) {
        if write.replace_all.is_some() {
            self.content.snapshot = write.replace_all;
            self.content.records.clear();
        }
        self.content.records.extend(write.writes);
    }
}
