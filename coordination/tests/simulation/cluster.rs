//! The simulated cluster: machines, links, clients and time. A run depends on its seed only.

mod clients;
mod cpu_quota;
mod hosts;
mod machines;

pub(crate) use cpu_quota::{QuotaUsage, PERIOD_MS};

use crate::machine::Machine;
use crate::oracle::Oracle;
use alderhollow_coordination::replica::interface::{
    EpochRecord, Input, Member, Millis, Token, Version,
};
use alderhollow_coordination::replica::message::Message;
use oorandom::Rand64;
use std::collections::{BTreeMap, BTreeSet};

/// Number of machines that are seeds.
const SEEDS: usize = 3;

/// A scheduled event.
enum Event {
    Deliver {
        to: usize,
        from: Member,
        message: Box<Message>,
    },
    Join {
        to: usize,
        member: Member,
    },
    DiskDone {
        machine: usize,
        generation: u64,
        token: Token,
    },
    Tick {
        machine: usize,
        generation: u64,
    },
    Start {
        machine: usize,
    },
    HostCheck,
    ClientRequest,
}

/// A fault injected right after a machine acknowledged a command.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum AfterAcknowledgement {
    /// The machine loses power.
    PowerLoss,
    /// The machine and others, `count` in total, lose their disks; all others lose power.
    Wipe { count: usize },
}

/// A client request in flight.
#[derive(Debug, Clone, Copy)]
struct Invocation {
    request: u32,
    /// The newest version acknowledged to any client when the request was sent.
    newest_acknowledged: Version,
}

/// Faults of all links, each as a percentage of the messages.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct LinkFaults {
    /// Messages that are lost.
    pub loss_percent: u64,
    /// Messages that are delivered twice.
    pub duplicated_percent: u64,
    /// Messages that are delayed by up to half a second.
    pub delayed_percent: u64,
}

pub(crate) struct Cluster {
    pub now: Millis,
    pub rng: Rand64,
    pub machines: Vec<Machine>,
    pub tolerate: usize,
    pub link_faults: LinkFaults,
    /// Links that deliver no messages: sender and recipient.
    pub blocked_links: BTreeSet<(usize, usize)>,
    pub oracle: Oracle,
    pub after_acknowledgement: Option<AfterAcknowledgement>,
    /// Times at which commands were acknowledged.
    pub acknowledged_at: Vec<Millis>,
    /// Interval at which awaited conditions are checked.
    pub check_interval_ms: Millis,
    /// Average interval between client requests.
    pub request_interval_ms: Millis,
    /// Number of inputs that a machine handles in each period of its CPU quota; `None`: no quota.
    inputs_per_period: Option<u64>,
    events: BTreeMap<(Millis, u64), Event>,
    event_count: u64,
    next_token: Token,
    next_request: u32,
    requests: BTreeMap<(u64, Token), Invocation>,
    /// Requests whose outcome is unknown. Clients may retry them.
    unknown_outcome: Vec<u32>,
    /// Requests that were retried: a rejection says nothing about the first attempt.
    retried: BTreeSet<u32>,
    seeds: usize,
    trace: bool,
}

impl Cluster {
    /// A cluster at the first start of the system. The first three machines are seeds.
    pub(crate) fn new(seed: u64, machines: usize, tolerate: usize) -> Self {
        let mut cluster = Cluster {
            now: 1,
            rng: Rand64::new(u128::from(seed)),
            machines: Vec::new(),
            tolerate,
            link_faults: LinkFaults::default(),
            blocked_links: BTreeSet::new(),
            oracle: Oracle::default(),
            after_acknowledgement: None,
            acknowledged_at: Vec::new(),
            check_interval_ms: 10,
            request_interval_ms: 90,
            inputs_per_period: None,
            events: BTreeMap::new(),
            event_count: 0,
            next_token: 0,
            next_request: 0,
            requests: BTreeMap::new(),
            unknown_outcome: Vec::new(),
            retried: BTreeSet::new(),
            seeds: SEEDS.min(machines),
            trace: std::env::var_os("CORE_TRACE").is_some(),
        };
        for number in 0..machines {
            cluster
                .machines
                .push(Machine::new(number, format!("node-{number}"), true));
            let at = cluster.now + cluster.random(300);
            cluster.start_at(number, at);
        }
        cluster.schedule(1, Event::HostCheck);
        cluster.schedule(1, Event::ClientRequest);
        cluster
    }

    /// Lets each machine's clock run faster or slower than simulated time by this percentage.
    pub(crate) fn set_clock_drift(&mut self, percent: u64) {
        for number in 0..self.machines.len() {
            let is_fast = self.random(2) == 0;
            let clock = &mut self.machines[number].clock;
            clock.percent = if is_fast {
                100 + percent
            } else {
                100 - percent
            };
        }
    }

    pub(crate) fn random(&mut self, below: u64) -> u64 {
        self.rng.rand_range(0..below)
    }

    /// Runs until this time.
    pub(crate) fn run_until(&mut self, end: Millis) {
        while let Some(((at, _), event)) = self.events.pop_first() {
            if at > end {
                self.schedule(at, event);
                break;
            }
            self.now = self.now.max(at);
            self.handle_event(event);
        }
        self.now = self.now.max(end);
    }

    pub(crate) fn run_for(&mut self, span: Millis) {
        self.run_until(self.now + span);
    }

    /// Runs until a condition holds and returns the time that this took. Panics if it takes longer than `limit`.
    pub(crate) fn run_until_holds(
        &mut self,
        limit: Millis,
        what: &str,
        holds: impl Fn(&Cluster) -> bool,
    ) -> Millis {
        let started_at = self.now;
        while !holds(self) {
            assert!(
                self.now < started_at + limit,
                "not within {limit} ms: {what}"
            );
            self.run_for(self.check_interval_ms);
        }
        self.now - started_at
    }

    /// The machine that holds the lease now.
    pub(crate) fn lease_holder(&self) -> Option<usize> {
        let holds = |machine: &&Machine| machine.holds_lease(self.now);
        self.machines
            .iter()
            .find(holds)
            .map(|machine| machine.number)
    }

    /// The record of the lease holder.
    pub(crate) fn record(&self) -> Option<&EpochRecord> {
        let process = self.machines[self.lease_holder()?].process.as_ref()?;
        process.replica.record()
    }

    /// Whether the identities of all seeds are synced.
    pub(crate) fn seeds_have_identities(&self) -> bool {
        let has_identity = |machine: &Machine| {
            machine
                .process
                .as_ref()
                .is_some_and(|process| process.replica.identity_is_on_disk())
        };
        self.machines[..self.seeds].iter().all(has_identity)
    }

    /// Whether all running disks are replicas, and no others are members.
    pub(crate) fn is_fully_replicated(&self) -> bool {
        let mut disks: Vec<_> = self
            .machines
            .iter()
            .filter_map(Machine::member_id)
            .collect();
        disks.sort_unstable();
        self.record().is_some_and(|record| {
            let members: Vec<_> = record.witnesses.iter().map(|member| member.id).collect();
            record.former_witnesses.is_empty() && members == disks && record.replicas == disks
        })
    }

    /// Number of further disks that may be lost now without loss of data.
    pub(crate) fn disks_to_spare(&self) -> usize {
        let Some(record) = self.record() else {
            return 0;
        };
        let disks: BTreeSet<_> = self
            .machines
            .iter()
            .filter_map(Machine::member_id)
            .collect();
        let is_stable =
            record.former_witnesses.is_empty() && disks.iter().all(|id| record.is_witness(*id));
        let down = self
            .machines
            .iter()
            .filter(|machine| !machine.removed && machine.process.is_none())
            .count();
        if !is_stable || down > 0 {
            return 0;
        }
        let members = record.witnesses.len();
        let lost = record
            .witnesses
            .iter()
            .filter(|member| !disks.contains(&member.id))
            .count();
        let by_majority = members - (members / 2 + 1);
        by_majority.min(self.tolerate).saturating_sub(lost)
    }

    fn schedule(&mut self, at: Millis, event: Event) {
        self.event_count += 1;
        self.events.insert((at, self.event_count), event);
    }

    fn handle_event(&mut self, event: Event) {
        match event {
            Event::Deliver { to, from, message } => {
                let frozen_until = self.machines[to].frozen_until;
                if frozen_until > self.now {
                    return self.schedule(frozen_until, Event::Deliver { to, from, message });
                }
                self.handle_input(
                    to,
                    Input::Message {
                        from,
                        message: *message,
                    },
                );
            }
            Event::Join { to, member } => self.handle_input(to, Input::Join(member)),
            Event::DiskDone {
                machine,
                generation,
                token,
            } => self.on_disk_write_done(machine, generation, token),
            Event::Tick {
                machine,
                generation,
            } => self.on_tick(machine, generation),
            Event::Start { machine } => self.on_start(machine),
            Event::HostCheck => self.check_hosts(),
            Event::ClientRequest => self.client_request(),
        }
    }

    fn check_invariants(&mut self, number: usize) {
        let now = self.now;
        if let Some(process) = &mut self.machines[number].process {
            let version = process.replica.version();
            self.oracle
                .check_state(process.replica.state(), version, process.checked);
            process.checked = version;
        }
        let holders = self
            .machines
            .iter()
            .filter(|machine| machine.holds_lease(now));
        let holders = holders.filter_map(|machine| machine.process.as_ref());
        let holders: Vec<_> = holders.map(|process| &process.replica).collect();
        for replica in &holders {
            let since = replica.primary_since().expect("the holder is primary");
            self.oracle
                .check_uninterrupted(since, replica.epoch(), replica.member().id);
        }
        let versions: Vec<_> = holders.iter().map(|replica| replica.version()).collect();
        self.oracle.check_lease_holders(&versions);
    }

    pub(crate) fn trace(&self, line: impl FnOnce() -> String) {
        if self.trace {
            eprintln!("{:>6} {}", self.now, line());
        }
    }
}
