//! The simulation: all processes, the group configuration of the core, the clients, and fault injection.

use super::jobs::Jobs;
use super::network::{Envelope, Network, Packet, Quality};
use super::oracle::{Oracle, Tally};
use super::process::{due, Client, Process, ROUTE};
use alderhollow_batch::quota::{home_group, QuotaOutcome, ResolvedSubmission, SubmissionId};
use oorandom::Rand32;
use std::collections::BTreeSet;

const STEP_MS: u64 = 5;
/// With split partitions enabled, one starts on average every so many steps.
const STEPS_BETWEEN_PARTITIONS: u32 = 300;
/// Duration of a split partition.
const PARTITION_MS: std::ops::Range<u32> = 500..4_000;

/// Settings of a simulation run.
#[derive(Debug, Clone, Copy)]
pub(super) struct Settings {
    pub groups: usize,
    pub max: u64,
    pub end_ms: u64,
    pub quality: Quality,
    pub is_calm: bool,
    /// Whether partitions into two halves occur.
    pub has_halves: bool,
    /// Probability of a fault in a step, in 1/10,000.
    pub fault: u32,
    /// Probability of a submission in a step, in 1/1,000.
    pub submissions: u32,
    /// Probability that an accepted job ends in a step, in 1/1,000.
    pub ends: u32,
    /// Exclusive maximum of the tokens of a job.
    pub tokens: u32,
}

impl Settings {
    pub(super) fn troubled(seed: u64) -> Settings {
        let mut random = Rand32::new(seed ^ 0x5e77);
        let quality = Quality {
            lost: random.rand_range(0..20),
            doubled: random.rand_range(0..20),
            late: random.rand_range(0..20),
            delay_ms: random.rand_range(1..40),
            late_ms: random.rand_range(100..1_500),
        };
        Settings {
            quality,
            is_calm: false,
            fault: random.rand_range(1..150),
            ..Settings::load(&mut random)
        }
    }

    /// All faults, and partitions into two halves.
    pub(super) fn with_halves(seed: u64) -> Settings {
        Settings {
            has_halves: true,
            ..Settings::troubled(seed)
        }
    }

    pub(super) fn calm(seed: u64) -> Settings {
        let mut random = Rand32::new(seed ^ 0xca14);
        let delay_ms = random.rand_range(1..10);
        let quality = Quality {
            lost: 0,
            doubled: 0,
            late: 0,
            delay_ms,
            late_ms: delay_ms,
        };
        Settings {
            quality,
            is_calm: true,
            fault: 0,
            ..Settings::load(&mut random)
        }
    }

    fn load(random: &mut Rand32) -> Settings {
        let quality = Quality {
            lost: 0,
            doubled: 0,
            late: 0,
            delay_ms: 1,
            late_ms: 1,
        };
        Settings {
            groups: random.rand_range(1..17) as usize,
            max: 10_000,
            end_ms: 6_000,
            quality,
            is_calm: true,
            has_halves: false,
            fault: 0,
            submissions: random.rand_range(50..1_000),
            ends: random.rand_range(2..40),
            tokens: [100, 500, 2_000, 8_000][random.rand_range(0..4) as usize],
        }
    }
}

/// A partition into two halves. Processes that start during it are in the half of the core.
struct Halves {
    until_ms: u64,
    /// Processes of the half without the core.
    without_core: BTreeSet<usize>,
}

/// A simulation run.
pub(super) struct Simulation {
    settings: Settings,
    random: Rand32,
    now_ms: u64,
    home: usize,
    /// Epoch of each group, as decided by the core.
    epochs: Vec<u64>,
    /// The newest process of each group.
    newest: Vec<usize>,
    processes: Vec<Process>,
    network: Network,
    halves: Option<Halves>,
    jobs: Jobs,
    oracle: Oracle,
    submissions: u64,
}

impl Simulation {
    pub(super) fn new(seed: u64, settings: Settings) -> Simulation {
        let home = home_group(ROUTE, settings.groups as u32) as usize;
        let mut harness = Simulation {
            settings,
            random: Rand32::new(seed),
            now_ms: 0,
            home,
            epochs: vec![1; settings.groups],
            newest: Vec::new(),
            processes: Vec::new(),
            network: Network::default(),
            halves: None,
            jobs: Jobs::default(),
            oracle: Oracle::new(seed, settings.max, settings.is_calm),
            submissions: 0,
        };
        for group in 0..settings.groups {
            harness.newest.push(group);
            harness.start_process(group, 1, 0);
        }
        harness
    }

    /// Runs to the end and returns the tally.
    pub(super) fn run(mut self) -> Tally {
        while self.now_ms < self.settings.end_ms {
            self.now_ms += STEP_MS;
            self.step();
        }
        self.check_counters();
        self.oracle.tally
    }

    fn step(&mut self) {
        if self.random.rand_range(0..10_000) < self.settings.fault {
            self.inject_fault();
        }
        if self.settings.has_halves {
            self.split_or_rejoin();
        }
        for index in 0..self.processes.len() {
            self.processes[index].read_core_update(self.now_ms, self.home);
            self.activate_if_due(index);
        }
        self.deliver();
        if self.random.rand_range(0..1_000) < self.settings.submissions {
            self.submit();
        }
        for index in 0..self.processes.len() {
            if self.serves(index) {
                self.run_process(index);
            }
        }
        self.jobs.forget_finished();
        let serving = (0..self.processes.len()).filter(|index| self.serves(*index));
        let counted = serving.map(|index| self.processes[index].used()).sum();
        self.oracle.count(self.now_ms, counted);
    }

    fn serves(&self, index: usize) -> bool {
        let process = &self.processes[index];
        process.is_active && process.is_alive(self.now_ms)
    }

    /// Starts a group's primary with the current state of the core.
    fn start_process(&mut self, group: usize, session: u64, recovery_ms: u64) {
        let active_from_ms = self.now_ms + recovery_ms;
        let mut process = Process::new(
            group,
            session,
            self.epochs.clone(),
            self.home,
            active_from_ms,
        );
        process.account.set_max(self.now_ms, self.settings.max);
        self.newest[group] = self.processes.len();
        self.processes.push(process);
    }

    fn activate_if_due(&mut self, index: usize) {
        let process = &self.processes[index];
        let is_due = !process.is_active && self.now_ms >= process.active_from_ms;
        if !is_due || !process.is_alive(self.now_ms) || process.is_fenced {
            return;
        }
        let group = process.group;
        let earlier = self.processes[..index]
            .iter_mut()
            .filter(|process| process.group == group);
        earlier.for_each(|process| process.is_fenced = true);
        let counted = self.jobs.take_over(&mut self.random, group);
        self.processes[index].activate(counted, group == self.home);
        self.oracle.check_sum(self.now_ms, self.jobs.waiting());
    }

    /// Sometimes partitions half of the processes from the others and the core for a while.
    fn split_or_rejoin(&mut self) {
        self.halves = self
            .halves
            .take()
            .filter(|halves| self.now_ms < halves.until_ms);
        if self.halves.is_some() || self.random.rand_range(0..STEPS_BETWEEN_PARTITIONS) > 0 {
            return;
        }
        let until_ms = self.now_ms + u64::from(self.random.rand_range(PARTITION_MS));
        let without_core = (0..self.processes.len())
            .filter(|_| self.random.rand_range(0..2) == 0)
            .collect();
        self.halves = Some(Halves {
            until_ms,
            without_core,
        });
    }

    fn are_apart(&self, first: usize, second: usize) -> bool {
        let is_partitioned = |halves: &Halves| {
            halves.without_core.contains(&first) != halves.without_core.contains(&second)
        };
        self.halves.as_ref().is_some_and(is_partitioned)
    }

    /// Restarts or replaces the primary of a group, preferably of the home group.
    fn inject_fault(&mut self) {
        let group = match self.random.rand_range(0..3) {
            0 => self.home,
            _ => self.random.rand_range(0..self.settings.groups as u32) as usize,
        };
        match self.random.rand_range(0..3) {
            0 => self.restart(group),
            1 => self.replace(group, 0),
            _ => {
                let goes_on_ms = u64::from(self.random.rand_range(0..2_500));
                self.replace(group, goes_on_ms);
            }
        }
    }

    /// Restarts the same process within its epoch.
    fn restart(&mut self, group: usize) {
        let index = self.newest[group];
        let session = self.processes[index].session + 1;
        self.processes[index].ends_ms = Some(self.now_ms);
        let recovery_ms = u64::from(self.random.rand_range(20..500));
        self.start_process(group, session, recovery_ms);
    }

    /// The core appoints another primary; the replaced one continues for a while without knowing.
    fn replace(&mut self, group: usize, goes_on_ms: u64) {
        let index = self.newest[group];
        self.processes[index].ends_ms = Some(self.now_ms + goes_on_ms);
        self.epochs[group] += 1;
        for (index, process) in self.processes.iter_mut().enumerate() {
            let cut = self
                .halves
                .as_ref()
                .filter(|halves| halves.without_core.contains(&index));
            let from_ms = cut.map_or(self.now_ms, |halves| halves.until_ms);
            let delay_ms = u64::from(self.random.rand_range(0..1_500));
            process
                .core_update
                .insert(from_ms + delay_ms, self.epochs.clone());
        }
        let recovery_ms = u64::from(self.random.rand_range(20..500));
        self.start_process(group, 1, recovery_ms);
    }

    fn deliver(&mut self) {
        while let Some(envelope) = self.network.next(self.now_ms) {
            if self.serves(envelope.to) {
                self.receive(envelope);
            }
        }
    }

    fn receive(&mut self, envelope: Envelope) {
        let Envelope { from, to, packet } = envelope;
        let process = &mut self.processes[to];
        match packet {
            Packet::Report(report) => {
                let Some(coordinator) = &mut process.coordinator else {
                    return;
                };
                let grant = coordinator.report(self.now_ms, self.settings.max, &report);
                self.send(to, from, Packet::Grant(grant));
            }
            Packet::Grant(grant) => {
                let used = process.used();
                let resolved = process.account.on_grant(self.now_ms, used, &grant);
                self.on_resolved(to, resolved);
            }
        }
    }

    fn send(&mut self, from: usize, to: usize, packet: Packet) {
        if self.are_apart(from, to) {
            return;
        }
        let envelope = Envelope { from, to, packet };
        self.network.send(
            self.now_ms,
            self.settings.quality,
            &mut self.random,
            envelope,
        );
    }

    /// A client submits a job, mostly at the newest primary of its group.
    fn submit(&mut self) {
        let group = self.random.rand_range(0..self.settings.groups as u32) as usize;
        let stray = self.random.rand_range(0..self.processes.len() as u32) as usize;
        let index = if self.random.rand_range(0..4) == 0 {
            stray
        } else {
            self.newest[group]
        };
        if !self.serves(index) {
            return;
        }
        let client = Client {
            tokens: u64::from(self.random.rand_range(1..self.settings.tokens)),
            since_ms: self.now_ms,
        };
        self.submissions += 1;
        let submission = SubmissionId(self.submissions);
        let process = &mut self.processes[index];
        process.clients.insert(submission, client);
        if process.account.fits(process.used(), client.tokens) {
            self.on_resolved(
                index,
                vec![ResolvedSubmission {
                    submission,
                    outcome: QuotaOutcome::Fits,
                }],
            );
        } else {
            process
                .account
                .request(self.now_ms, submission, client.tokens);
        }
    }

    fn on_resolved(&mut self, index: usize, resolved: Vec<ResolvedSubmission>) {
        for ResolvedSubmission {
            submission,
            outcome,
        } in resolved
        {
            let process = &mut self.processes[index];
            let client = process
                .clients
                .remove(&submission)
                .expect("a client that waits");
            self.oracle.resolved(self.now_ms, STEP_MS, client, outcome);
            if outcome == QuotaOutcome::Fits {
                self.accept(index, client.tokens);
            }
        }
    }

    /// A primary accepts a job, which is committed later.
    fn accept(&mut self, index: usize, tokens: u64) {
        let process = &mut self.processes[index];
        assert!(
            process.account.fits(process.used(), tokens),
            "what was settled as fitting does not fit"
        );
        let job = self.jobs.add(process.group, tokens, process.is_fenced);
        process.counted.insert(job, tokens);
        process.account.record_accepted(process.used());
        let commit_ms = self.now_ms + u64::from(self.random.rand_range(1..60));
        process.accepting.entry(commit_ms).or_default().push(job);
    }

    /// Runs the periodic work of a primary.
    fn run_process(&mut self, index: usize) {
        self.commit(index);
        self.end_jobs(index);
        let now_ms = self.now_ms;
        let process = &mut self.processes[index];
        let used = process.used();
        let due_ms = process.account.next_due_ms(used);
        let resolved = process.account.resolve_waiting(now_ms, used);
        self.on_resolved(index, resolved);
        self.report(index, due_ms);
        let clients = self.processes[index].clients.values();
        clients.for_each(|client| self.oracle.still_waits(now_ms, STEP_MS, *client));
    }

    fn report(&mut self, index: usize, due_ms: Option<u64>) {
        let process = &mut self.processes[index];
        let used = process.used();
        let Some(report) = process.account.next_report(self.now_ms, used) else {
            return;
        };
        let is_due = due_ms.is_some_and(|due_ms| due_ms <= self.now_ms);
        assert!(is_due || report.used != 0, "a report before it is due");
        let home_epoch = report.coordinator.epoch;
        let is_addressee =
            |process: &Process| process.group == self.home && process.epoch == home_epoch;
        let addressee = self.processes.iter().rposition(is_addressee);
        match addressee.filter(|addressee| self.serves(*addressee)) {
            Some(addressee) => self.send(index, addressee, Packet::Report(report)),
            None => self.processes[index]
                .account
                .on_answer_lost(self.now_ms, report.id),
        }
    }

    /// Commits what has reached every member's disk.
    fn commit(&mut self, index: usize) {
        let process = &mut self.processes[index];
        let accepted = due(&mut process.accepting, self.now_ms);
        let finished = due(&mut process.finishing, self.now_ms);
        if process.is_fenced {
            return;
        }
        for job in accepted {
            let job = self.jobs.all.get_mut(&job).expect("a pending job");
            job.is_accepted = true;
            self.oracle.tally.accepted += 1;
            self.oracle.check_sum(self.now_ms, self.jobs.waiting());
        }
        for job in finished {
            if let Some(job) = self.jobs.all.get_mut(&job) {
                job.is_finish_committed = true;
            }
        }
    }

    /// Backends finish accepted jobs.
    fn end_jobs(&mut self, index: usize) {
        let process = &mut self.processes[index];
        let mut finished = Vec::new();
        for number in process.counted.keys() {
            let Some(job) = self.jobs.all.get_mut(number).filter(|job| job.is_accepted) else {
                continue;
            };
            if self.random.rand_range(0..1_000) < self.settings.ends {
                job.is_finished = true;
                finished.push(*number);
            }
        }
        let commit_ms = self.now_ms + u64::from(self.random.rand_range(1..60));
        process
            .counted
            .retain(|number, _| !finished.contains(number));
        process
            .finishing
            .entry(commit_ms)
            .or_default()
            .extend(finished);
    }

    fn check_counters(&self) {
        for process in &self.processes {
            assert_eq!(process.account.counters().violations, 0);
            let counters = process
                .coordinator
                .as_ref()
                .map(alderhollow_batch::quota::Coordinator::counters);
            assert_eq!(counters.map_or(0, |counters| counters.violations), 0);
        }
    }
}
