//! The simulated tier: its processes, the network between them, and the faults.

use alderhollow::clock::SteadyClock;
use alderhollow::distribution::client::{PollClient, PollState};
use alderhollow::distribution::directory::Directory;
use alderhollow::distribution::link::{AnswerFuture, PeerLink, RequestError};
use alderhollow::distribution::message::{
    CoreMember, CoreView, EncodedControl, Notice, Poll, Request,
};
use alderhollow::distribution::primary_announcement::PrimaryAnnouncer;
use alderhollow::distribution::server::{Authority, Distributor};
use alderhollow::distribution::signal::ChangeSignal;
use alderhollow::distribution::tables::Tables;
use alderhollow::internal::CallError;
use alderhollow::settings::reload;
use alderhollow::SnapshotReceiver;
use alderhollow_model::identity::{Address, DiskId, Incarnation, NodeInfo, Role};
use alderhollow_model::snapshot::ControlView;
use oorandom::Rand32;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::watch;
use tokio::task::{JoinHandle, LocalSet};
use tokio::time::{sleep, Instant};

/// One-way delay between two processes.
const DELAY: Duration = Duration::from_millis(2);
/// A process whose newest validation is older than this is uninformed.
const STALE_MS: u64 = 1_100;
/// Time over which the restarts of a tier are spread.
const RESTARTS_MS: u32 = 900;
/// Maximum time until a new primary has its lease.
const ELECTION_MS: u32 = 1_200;

/// Index of a process in the order of the machines. The first ones have disks.
pub(crate) type Process = u8;

/// Runs a test in simulated time.
pub(crate) fn block_on_paused<T>(future: impl std::future::Future<Output = T>) -> T {
    let mut builder = tokio::runtime::Builder::new_current_thread();
    let runtime = builder
        .enable_time()
        .start_paused(true)
        .build()
        .expect("a runtime");
    LocalSet::new().block_on(&runtime, future)
}

/// The state on the members' disks, and the primary.
struct Core {
    members: Vec<Process>,
    epoch: Cell<u64>,
    /// The primary of the newest record, which all members have on disk.
    primary: Cell<Process>,
    leads: Cell<bool>,
}

/// The network, and all state that survives a process.
struct Shared {
    core: Core,
    running: RefCell<BTreeMap<Process, Running>>,
    /// The seeds in each process's settings file.
    settings: RefCell<BTreeMap<Process, Vec<Process>>>,
    /// Processes that are isolated in both directions.
    isolated: RefCell<BTreeSet<Process>>,
    /// The minority side of a partitioned core, with the core as it was at the partition. Diskless processes reach both
    /// sides.
    minority: RefCell<Option<Minority>>,
}

/// The side of a partitioned core without a quorum.
struct Minority {
    members: BTreeSet<Process>,
    epoch: u64,
    primary: Process,
    /// Whether its primary still has the lease from before the partition.
    leads: bool,
}

/// A running process.
struct Running {
    distributor: Rc<Distributor>,
    directory: Directory,
    polls: PollState,
    snapshots: SnapshotReceiver,
    clock: SteadyClock,
    tasks: Vec<JoinHandle<()>>,
}

/// The simulated tier.
pub(crate) struct World {
    shared: Rc<Shared>,
    processes: Process,
    random: Rand32,
}

fn address(process: Process) -> SocketAddr {
    SocketAddr::from(([10, 1, 0, process], 7660))
}

fn process_at(address: SocketAddr) -> Process {
    match address {
        SocketAddr::V4(address) => address.ip().octets()[3],
        SocketAddr::V6(_) => 0,
    }
}

fn core_member(process: Process) -> CoreMember {
    CoreMember {
        disk: DiskId(u64::from(process)),
        internal: Address(address(process)),
        control: Some(Address(address(process))),
        is_dedicated: false,
    }
}

/// The simulation's control state consists of its version.
fn decode_control(bytes: &[u8]) -> Option<ControlView> {
    let version = u64::from_be_bytes(bytes.try_into().ok()?);
    Some(ControlView {
        version,
        ..ControlView::default()
    })
}

/// The core member of one process.
struct MemberAuthority {
    shared: Rc<Shared>,
    process: Process,
}

impl MemberAuthority {
    /// The epoch and the primary known to this member, and whether the primary has its lease.
    fn known(&self) -> (u64, Process, bool) {
        let core = &self.shared.core;
        match &*self.shared.minority.borrow() {
            Some(minority) if minority.members.contains(&self.process) => {
                (minority.epoch, minority.primary, minority.leads)
            }
            _ => (core.epoch.get(), core.primary.get(), core.leads.get()),
        }
    }
}

impl Authority for MemberAuthority {
    fn leased_epoch(&self) -> Option<u64> {
        let (epoch, primary, leads) = self.known();
        (leads && primary == self.process).then_some(epoch)
    }
    fn control(&self) -> EncodedControl {
        let version = self.control_version();
        EncodedControl {
            version,
            bytes: version.to_be_bytes().to_vec().into(),
        }
    }
    /// Each epoch has a new version.
    fn control_version(&self) -> u64 {
        self.known().0
    }
    fn core_view(&self) -> CoreView {
        let (epoch, primary, _) = self.known();
        let members = self
            .shared
            .core
            .members
            .iter()
            .copied()
            .map(core_member)
            .collect();
        CoreView {
            primary: Some(core_member(primary)),
            members,
            epoch,
        }
    }
    fn on_poll(&self, _: &Poll) {}
}

/// The network from the perspective of one process.
struct Link {
    shared: Rc<Shared>,
    from: Process,
}

impl Link {
    fn is_isolated_from(&self, to: Process) -> bool {
        let isolated = self.shared.isolated.borrow();
        let is_isolated = isolated.contains(&to) || isolated.contains(&self.from);
        to != self.from && (is_isolated || self.are_partitioned(to))
    }

    /// Whether this process and another one are members on different sides of a partition.
    fn are_partitioned(&self, to: Process) -> bool {
        let is_member = |process: &Process| self.shared.core.members.contains(process);
        let minority = self.shared.minority.borrow();
        let are_partitioned = |minority: &Minority| {
            minority.members.contains(&to) != minority.members.contains(&self.from)
        };
        is_member(&to) && is_member(&self.from) && minority.as_ref().is_some_and(are_partitioned)
    }

    fn distributor(&self, to: Process) -> Option<Rc<Distributor>> {
        self.shared
            .running
            .borrow()
            .get(&to)
            .map(|running| running.distributor.clone())
    }
}

impl PeerLink for Link {
    fn request(&self, to: SocketAddr, request: Request, timeout: Duration) -> AnswerFuture {
        let link = Link {
            shared: self.shared.clone(),
            from: self.from,
        };
        let to = process_at(to);
        Box::pin(async move {
            let until = Instant::now() + timeout;
            sleep(DELAY).await;
            let answer = match link.distributor(to).filter(|_| !link.is_isolated_from(to)) {
                Some(distributor) => {
                    tokio::time::timeout_at(until, distributor.on_request(request)).await
                }
                None if link.is_isolated_from(to) => {
                    tokio::time::sleep_until(until).await;
                    return Err(RequestError::TimedOut);
                }
                None => return Err(RequestError::Call(CallError::Unreachable)),
            };
            sleep(DELAY).await;
            if link.is_isolated_from(to) || link.distributor(to).is_none() {
                tokio::time::sleep_until(until).await;
                return Err(RequestError::TimedOut);
            }
            answer.map_err(|_| RequestError::TimedOut)
        })
    }

    fn notify(&self, to: SocketAddr, notice: &Notice) {
        let link = Link {
            shared: self.shared.clone(),
            from: self.from,
        };
        let notice = notice.clone();
        let to = process_at(to);
        tokio::task::spawn_local(async move {
            sleep(DELAY).await;
            let Some(distributor) = link.distributor(to).filter(|_| !link.is_isolated_from(to))
            else {
                return;
            };
            distributor.on_notice(&notice);
        });
    }
}

impl World {
    /// A tier with the given numbers of core members and diskless processes. The seeds are the first members.
    pub(crate) fn start(members: usize, diskless: usize, seed: u64) -> World {
        let members = Process::try_from(members).expect("few members");
        let processes = members + Process::try_from(diskless).expect("few processes");
        let core = Core {
            members: (1..=members).collect(),
            epoch: Cell::new(1),
            primary: Cell::new(1),
            leads: Cell::new(true),
        };
        let shared = Shared {
            core,
            running: RefCell::default(),
            settings: RefCell::new(
                (1..=processes)
                    .map(|process| (process, vec![1, 2, 3]))
                    .collect(),
            ),
            isolated: RefCell::default(),
            minority: RefCell::default(),
        };
        let mut world = World {
            shared: Rc::new(shared),
            processes,
            random: Rand32::new(seed),
        };
        for process in 1..=processes {
            world.start_process(process);
        }
        world
    }

    pub(crate) fn now(&self) -> Instant {
        Instant::now()
    }

    pub(crate) async fn pass(&self, time: Duration) {
        sleep(time).await;
    }

    /// Waits until all processes have found the primary.
    pub(crate) async fn wait_until_connected(&self) {
        sleep(Duration::from_secs(2)).await;
    }

    pub(crate) fn diskless_processes(&self) -> Vec<Process> {
        (1..=self.processes)
            .filter(|process| !self.shared.core.members.contains(process))
            .collect()
    }

    pub(crate) fn primary(&self) -> Process {
        self.shared.core.primary.get()
    }

    pub(crate) fn running_except(&self, one: Process) -> Vec<Process> {
        self.shared
            .running
            .borrow()
            .keys()
            .copied()
            .filter(|process| *process != one)
            .collect()
    }

    pub(crate) fn considers_primary(&self, process: Process, primary: Process) -> bool {
        let running = self.shared.running.borrow();
        let view = running[&process].directory.core_view();
        view.primary
            .is_some_and(|member| member.internal.0 == address(primary))
    }

    /// Replaces the seeds in all settings files.
    pub(crate) fn replace_seeds(&mut self, seeds: &[Process]) {
        let all: Vec<Process> = (1..=self.processes).collect();
        self.set_seeds_of(&all, seeds);
    }

    /// Replaces the seeds in the settings files of some processes.
    pub(crate) fn set_seeds_of(&mut self, of: &[Process], seeds: &[Process]) {
        let mut settings = self.shared.settings.borrow_mut();
        for process in of {
            settings.insert(*process, seeds.to_vec());
        }
    }

    pub(crate) fn isolate(&mut self, process: Process) {
        self.shared.isolated.borrow_mut().insert(process);
        if self.primary() == process {
            self.shared.core.leads.set(false);
        }
    }

    /// Partitions the core: half of the members, rounded down, are separated from the others. A primary among them retains
    /// its role until its lease ends. Returns the minority.
    pub(crate) fn partition_core(&mut self) -> Vec<Process> {
        let mut majority = self.shared.core.members.clone();
        let mut members = BTreeSet::new();
        while members.len() < self.shared.core.members.len() / 2 {
            let at = self
                .random
                .rand_range(0..u32::try_from(majority.len()).expect("few"))
                as usize;
            members.insert(majority.swap_remove(at));
        }
        let core = &self.shared.core;
        let leads = members.contains(&core.primary.get());
        let (epoch, primary) = (core.epoch.get(), core.primary.get());
        let cut: Vec<Process> = members.iter().copied().collect();
        self.shared.minority.replace(Some(Minority {
            members,
            epoch,
            primary,
            leads,
        }));
        if leads {
            core.leads.set(false);
        }
        cut
    }

    /// Ends the lease of a primary in the minority and elects one in the majority, if it has none.
    pub(crate) fn elect_in_majority(&mut self) {
        let members = self.shared.core.members.clone();
        let mut minority = self.shared.minority.borrow_mut();
        let cut = minority.as_mut().map(|minority| {
            minority.leads = false;
            minority.members.clone()
        });
        drop(minority);
        let cut = cut.unwrap_or_default();
        let majority: Vec<Process> = members
            .into_iter()
            .filter(|member| !cut.contains(member))
            .collect();
        self.elect_among(&majority);
    }

    pub(crate) fn heal_partition(&mut self) {
        self.shared.minority.replace(None);
    }

    pub(crate) fn epoch(&self) -> u64 {
        self.shared.core.epoch.get()
    }

    /// Version of the control state in each process's tables.
    pub(crate) fn table_versions(&self) -> BTreeMap<Process, u64> {
        let running = self.shared.running.borrow();
        let version = |running: &Running| running.snapshots.borrow().control.version;
        running
            .iter()
            .map(|(process, running)| (*process, version(running)))
            .collect()
    }

    pub(crate) fn end(&mut self, process: Process) {
        if let Some(running) = self.shared.running.borrow_mut().remove(&process) {
            running.tasks.iter().for_each(JoinHandle::abort);
        }
        if self.primary() == process {
            self.shared.core.leads.set(false);
        }
    }

    pub(crate) fn end_all(&mut self) {
        for process in 1..=self.processes {
            self.end(process);
        }
    }

    /// Starts all stopped processes, spread over time, and heals all links.
    pub(crate) async fn start_all(&mut self) {
        self.shared.isolated.borrow_mut().clear();
        let mut starts: Vec<(u32, Process)> = Vec::new();
        for process in 1..=self.processes {
            if !self.shared.running.borrow().contains_key(&process) {
                starts.push((self.random.rand_range(0..RESTARTS_MS), process));
            }
        }
        starts.sort_unstable();
        let begin = Instant::now();
        for (after_ms, process) in starts {
            tokio::time::sleep_until(begin + Duration::from_millis(u64::from(after_ms))).await;
            self.start_process(process);
        }
    }

    /// Elects a running member after a delay, if there is no primary.
    pub(crate) fn elect_any(&mut self) {
        let all: Vec<Process> = (1..=self.processes).collect();
        self.elect_among(&all);
    }

    pub(crate) fn elect_among(&mut self, candidates: &[Process]) {
        if self.shared.core.leads.get() {
            return;
        }
        let running = self.shared.running.borrow();
        let members = self.shared.core.members.iter().copied();
        let fit: Vec<Process> = members
            .filter(|member| running.contains_key(member) && candidates.contains(member))
            .filter(|member| !self.shared.isolated.borrow().contains(member))
            .collect();
        let Some(count) = u32::try_from(fit.len()).ok().filter(|count| *count > 0) else {
            return;
        };
        let chosen = fit[self.random.rand_range(0..count) as usize];
        let core = &self.shared.core;
        core.epoch.set(core.epoch.get() + 1);
        core.primary.set(chosen);
        core.leads.set(true);
    }

    /// Injects a random fault.
    pub(crate) async fn inject_fault(&mut self) {
        match self.random.rand_range(0..6) {
            0 => {
                let seeds: Vec<Process> = (0..3).map(|_| self.random_process()).collect();
                self.replace_seeds(&seeds);
            }
            1 => {
                let diskless = self.diskless_processes();
                let first = self
                    .random
                    .rand_range(0..u32::try_from(diskless.len() - 2).expect("few"))
                    as usize;
                self.replace_seeds(&diskless[first..first + 3]);
            }
            2 => self.end_all(),
            3 => {
                for process in 1..=self.processes {
                    if self.random.rand_range(0..2) == 0 {
                        self.end(process);
                    }
                }
            }
            4 => {
                let process = self.random_process();
                self.isolate(process);
            }
            _ => {
                let process = self.random_process();
                self.end(process);
                self.start_process(process);
            }
        }
        let pause = self.random.rand_range(0..ELECTION_MS);
        sleep(Duration::from_millis(u64::from(pause))).await;
        if self.random.rand_range(0..2) == 0 {
            self.start_all().await;
        }
        self.elect_any();
    }

    fn random_process(&mut self) -> Process {
        let number = self.random.rand_range(1..u32::from(self.processes) + 1);
        Process::try_from(number).expect("few processes")
    }

    /// Waits until all running processes are informed. Returns the time that it took, or slightly more than the limit.
    pub(crate) async fn until_informed(&self, limit: Duration) -> Duration {
        let all: Vec<Process> = (1..=self.processes).collect();
        self.until_informed_among(&all, limit).await
    }

    pub(crate) async fn until_informed_among(
        &self,
        processes: &[Process],
        limit: Duration,
    ) -> Duration {
        let begin = Instant::now();
        loop {
            sleep(Duration::from_millis(10)).await;
            let uninformed = self.uninformed();
            if begin.elapsed() > limit
                || !uninformed.iter().any(|process| processes.contains(process))
            {
                return begin.elapsed();
            }
        }
    }

    /// The running processes whose tables were not validated recently.
    pub(crate) fn uninformed(&self) -> Vec<Process> {
        let running = self.shared.running.borrow();
        let is_stale = |running: &Running| {
            let validated = running.polls.validated_since_ms();
            validated.is_none_or(|at| running.clock.now_ms().saturating_sub(at) > STALE_MS)
        };
        running
            .iter()
            .filter(|(_, running)| is_stale(running))
            .map(|(process, _)| *process)
            .collect()
    }

    /// Starts a process with only its settings file and its disk.
    pub(crate) fn start_process(&mut self, process: Process) {
        let shared = &self.shared;
        let has_disk = shared.core.members.contains(&process);
        let clock = SteadyClock::start();
        let tables = Tables::new(clock, decode_control);
        let snapshots = tables.subscribe();
        let directory = Directory::default();
        read_seeds(shared, process, &directory);
        let node = NodeInfo {
            node: format!("edge-{process}"),
            role: Role::Gateway,
            zone: "zone-1".into(),
            incarnation: Incarnation(self.random.rand_u32().into()),
            disk: has_disk.then(|| DiskId(u64::from(process))),
            internal: Address(address(process)),
            control: None,
        };
        let authority = MemberAuthority {
            shared: shared.clone(),
            process,
        };
        let (_, backends) = watch::channel(None);
        let distributor = Rc::new(Distributor {
            node: node.clone(),
            directory: directory.clone(),
            authority: has_disk.then(|| Rc::new(authority) as Rc<dyn Authority>),
            backends,
            snapshots: snapshots.clone(),
            changes: ChangeSignal::new(),
            clock,
            senders: RefCell::default(),
            pollers: RefCell::default(),
            history: RefCell::default(),
        });
        let link = Rc::new(Link {
            shared: shared.clone(),
            from: process,
        });
        let polls = PollState::default();
        let client = PollClient {
            node,
            link: link.clone(),
            directory: directory.clone(),
            distributor: distributor.clone(),
            state: polls.clone(),
            clock,
        };
        let mut tasks = vec![tokio::task::spawn_local(
            client.run(tables, self.random.rand_u32().into()),
        )];
        if has_disk {
            let announcer = PrimaryAnnouncer {
                distributor: distributor.clone(),
                link,
                read_seeds: Box::new(shared_settings(&self.shared, process, &directory)),
            };
            tasks.push(tokio::task::spawn_local(announcer.run()));
        }
        let read = (
            shared_settings(&self.shared, process, &directory),
            polls.clone(),
        );
        tasks.push(tokio::task::spawn_local(async move {
            reload::read_without_primary(&read.1, clock, read.0).await;
        }));
        let running = Running {
            distributor,
            directory,
            polls,
            snapshots,
            clock,
            tasks,
        };
        self.shared.running.borrow_mut().insert(process, running);
    }
}

/// A function that reads the seeds of a process's settings file.
fn shared_settings(
    shared: &Rc<Shared>,
    process: Process,
    directory: &Directory,
) -> impl Fn() + 'static {
    let (shared, directory) = (shared.clone(), directory.clone());
    move || read_seeds(&shared, process, &directory)
}

fn read_seeds(shared: &Shared, process: Process, directory: &Directory) {
    let seeds = shared.settings.borrow()[&process]
        .iter()
        .copied()
        .map(address)
        .collect();
    directory.set_seeds(seeds);
}
