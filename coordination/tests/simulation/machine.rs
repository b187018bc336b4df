//! A simulated machine: its disk, and the process on it.

use crate::cluster::Spending;
use crate::command_log::Ledger;
use alderhollow_coordination::replica::interface::{
    Member, MemberId, Millis, Recovered, Token, Version,
};
use alderhollow_coordination::replica::settings::{Settings, Timings};
use alderhollow_coordination::replica::Replica;
use oorandom::Rand64;
use std::collections::VecDeque;

/// The steady clock of a machine: it runs at so many hundredths of the world's time.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Clock {
    pub percent: u64,
}

impl Clock {
    /// What it shows at a moment of the world.
    pub(crate) fn shows(self, moment: Millis) -> Millis {
        moment * self.percent / 100
    }

    /// The first moment of the world at which it shows this.
    pub(crate) fn moment_of(self, shown: Millis) -> Millis {
        (shown.saturating_mul(100)).div_ceil(self.percent)
    }
}

/// A machine, at its number as address.
pub(crate) struct Machine {
    pub number: usize,
    pub clock: Clock,
    pub node: String,
    /// Its next process starts with `first-start`.
    pub first_start: bool,
    pub disk: Disk,
    pub process: Option<Process>,
    pub frozen_until: Millis,
    pub spending: Spending,
    /// Removed for good.
    pub gone: bool,
    /// When the next process starts.
    pub starts_at: Option<Millis>,
}

/// A process.
pub(crate) struct Process {
    pub replica: Replica<Ledger>,
    /// Tells it from others on the same machine.
    pub generation: u64,
    pub tick_at: Millis,
    /// Its committed state was compared up to here.
    pub checked: Version,
    /// It was told to leave: it is to end soon.
    pub leaving: bool,
    /// It left, and is ready to end.
    pub handed_over: bool,
}

/// A disk, with writes under way.
#[derive(Default)]
pub(crate) struct Disk {
    content: Recovered,
    under_way: VecDeque<DiskWrite>,
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
            spending: Spending::default(),
            gone: false,
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
            Ledger::default(),
            self.clock.shows(now),
        )
        .expect("the disk is whole");
        self.disk.busy_until = now;
        self.process = Some(Process {
            replica,
            generation: seed,
            tick_at: Millis::MAX,
            checked: 0,
            leaving: false,
            handed_over: false,
        });
    }

    /// Its process is the primary, as far as it knows by its own clock.
    pub(crate) fn holds_lease(&self, now: Millis) -> bool {
        let shown = self.clock.shows(now);
        self.process
            .as_ref()
            .is_some_and(|process| process.replica.holds_lease(shown))
    }

    /// The identity of the running process's disk.
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
    /// Begins a write; says when it ends.
    pub(crate) fn begin(
        &mut self,
        now: Millis,
        chance: &mut Rand64,
        token: Token,
        writes: Vec<Vec<u8>>,
        replace_all: Option<Vec<u8>>,
    ) -> Millis {
        self.under_way.push_back(DiskWrite {
            token,
            writes,
            replace_all,
        });
        let factor = if now < self.slow_until { 30 } else { 1 };
        let took = chance.rand_range(1..3) * factor;
        self.busy_until = self.busy_until.max(now).max(self.stalled_until) + took;
        self.busy_until
    }

    /// A write's time has come. False: it failed.
    pub(crate) fn finish(&mut self, now: Millis, chance: &mut Rand64, token: Token) -> bool {
        let Some(write) = self.under_way.pop_front() else {
            return true;
        };
        assert_eq!(write.token, token, "writes end in order");
        if now < self.full_until {
            if chance.rand_range(0..2) == 0 {
                self.take(write);
            }
            return false;
        }
        self.take(write);
        true
    }

    pub(crate) fn has(&self, token: Token) -> bool {
        self.under_way.iter().any(|write| write.token == token)
    }

    pub(crate) fn is_next(&self, token: Token) -> bool {
        self.under_way
            .front()
            .is_some_and(|write| write.token == token)
    }

    /// After a failed write nothing is certain of those that waited.
    pub(crate) fn drop_waiting(&mut self) -> Vec<Token> {
        self.under_way.drain(..).map(|write| write.token).collect()
    }

    /// The process ended: of what was not synced, some is there, in order.
    pub(crate) fn crash(&mut self, chance: &mut Rand64) {
        let kept = chance.rand_range(0..self.under_way.len() as u64 + 1);
        for _ in 0..kept {
            if let Some(write) = self.under_way.pop_front() {
                self.take(write);
            }
        }
        self.under_way.clear();
    }

    fn take(&mut self, write: DiskWrite) {
        if write.replace_all.is_some() {
            self.content.snapshot = write.replace_all;
            self.content.records.clear();
        }
        self.content.records.extend(write.writes);
    }
}
