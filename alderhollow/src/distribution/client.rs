//! Poll loop of one process: finds the primary, long-polls it, and applies its updates to the process's tables.

use super::directory::Directory;
use super::link::{PeerLink, RequestError};
use super::message::{Answer, Poll, Request, Update};
use super::primary_discovery::PrimaryDiscovery;
use super::server::Distributor;
use super::signal::ChangeSignal;
use super::tables::Tables;
use super::validation_gap::ValidationGap;
use crate::clock::SteadyClock;
use crate::metrics;
use crate::metrics::distribution::PollEnd;
use alderhollow_model::identity::NodeInfo;
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::Instant;

/// Time for which the primary may delay an answer while it has nothing newer, in ms.
const POLL_WAIT_MS: u32 = 400;
/// Time, including [`POLL_WAIT_MS`], after which a primary that has not answered is no longer considered primary. Other
/// processes are polled then, while its answer may still arrive. Two such time-outs and a successful poll fit into half of
/// the shortest `config-apply-ms`.
const PRIMARY_TIMEOUT: Duration = Duration::from_millis(650);
/// Time-out after which the next process is polled while no primary is known.
const SEARCH_TIMEOUT: Duration = Duration::from_millis(200);
/// Maximum number of concurrent polls.
const MAX_POLLS: usize = 4;
/// Time-out of one poll. Complete tables may take long over a slow link.
const POLL_TIMEOUT: Duration = Duration::from_millis(2_000);
/// Delay before the next attempt when there is no candidate to poll.
const NO_CANDIDATE_RETRY_DELAY: Duration = Duration::from_millis(200);

/// State that a process reports with each poll besides its table versions, and the time of the newest validated poll.
/// Clones share the state.
#[derive(Debug, Clone, Default)]
pub struct PollState {
    shared: Rc<PollShared>,
}

#[derive(Debug, Default)]
struct PollShared {
    leaving: Cell<bool>,
    batch_status: RefCell<Vec<u8>>,
    changed: ChangeSignal,
    validated_since_ms: Cell<Option<u64>>,
}

impl PollState {
    /// Reports to the primary, at once, that this process is shutting down.
    pub fn leave(&self) {
        self.shared.leaving.set(true);
        self.shared.changed.notify();
    }

    /// Replaces the store's report on its batch groups; a change is sent at once.
    pub fn report(&self, batch_status: Vec<u8>) {
        if *self.shared.batch_status.borrow() != batch_status {
            self.shared.batch_status.replace(batch_status);
            self.shared.changed.notify();
        }
    }

    /// Records that a primary with a lease answered a poll that was sent at this time of the process's clock. Answers may
    /// arrive out of order.
    pub fn record_validation(&self, sent_at_ms: u64) {
        let newest = self
            .shared
            .validated_since_ms
            .get()
            .unwrap_or(0)
            .max(sent_at_ms);
        self.shared.validated_since_ms.set(Some(newest));
    }

    /// Send time of the newest poll that a primary with a lease answered, in ms of the process's clock.
    pub fn validated_since_ms(&self) -> Option<u64> {
        self.shared.validated_since_ms.get()
    }
}

/// The poll client of one process.
pub struct PollClient {
    /// Identity of this process.
    pub node: NodeInfo,
    /// Connections to the other processes.
    pub link: Rc<dyn PeerLink>,
    /// What this process knows of the core's members.
    pub directory: Directory,
    /// This process's distributor, which is polled without the network when this process may be the primary.
    pub distributor: Rc<Distributor>,
    /// State reported with each poll.
    pub state: PollState,
    /// The process's clock.
    pub clock: SteadyClock,
}

impl PollClient {
    /// Polls until the future is dropped.
    ///
    /// A change of the reported state cancels a pending long-poll. The poll that replaces it requests an immediate answer and
    /// is not cancelled by further changes, so frequent changes can't prevent the primary from validating the tables.
    pub async fn run(self, tables: Tables, seed: u64) {
        let changes = self.state.shared.changed.subscribe();
        let client = Rc::new(self);
        let polls = JoinSet::new();
        let due = Due {
            at: Instant::now(),
            step: Step::ChooseProcess,
        };
        PollLoop {
            client,
            tables,
            discovery: PrimaryDiscovery::new(seed),
            changes,
            polls,
            due,
            is_long_poll: false,
            gap: ValidationGap::default(),
            needs_complete_tables: false,
        }
        .run()
        .await;
    }

    /// Processes that may know the primary: the members of the newest known view, the members according to this process's own
    /// disk, and the seeds.
    fn candidates(&self) -> Vec<SocketAddr> {
        let known = self.directory.core_view();
        let own = self.distributor.core_view();
        let mut candidates: Vec<SocketAddr> = Vec::new();
        for address in known
            .internal_addresses()
            .chain(own.internal_addresses())
            .chain(self.directory.seeds())
        {
            if !candidates.contains(&address) {
                candidates.push(address);
            }
        }
        candidates
    }

    async fn poll(&self, to: SocketAddr, poll: Poll) -> Result<Answer, RequestError> {
        if to == self.node.internal.0 {
            let answer = tokio::time::timeout(POLL_TIMEOUT, self.distributor.poll(poll)).await;
            return answer.map_err(|_| RequestError::TimedOut);
        }
        self.link
            .request(to, Request::Poll(Box::new(poll)), POLL_TIMEOUT)
            .await
    }
}

/// Result of one poll.
struct PollResult {
    from: SocketAddr,
    sent_at_ms: u64,
    result: Result<Answer, RequestError>,
}

/// The next step of the loop, and its time.
#[derive(Debug, Clone, Copy)]
struct Due {
    at: Instant,
    step: Step,
}

/// A step of the poll loop.
#[derive(Debug, Clone, Copy)]
enum Step {
    /// Choose the next process to poll.
    ChooseProcess,
    /// Poll this process.
    SendPoll(SocketAddr),
    /// This process has not answered in time: poll another one as well.
    TimeOut(SocketAddr),
}

/// State of the poll loop.
struct PollLoop {
    client: Rc<PollClient>,
    tables: Tables,
    discovery: PrimaryDiscovery,
    changes: watch::Receiver<u64>,
    polls: JoinSet<PollResult>,
    due: Due,
    /// Whether the newest poll is a long-poll, which a change of the reported state cancels.
    is_long_poll: bool,
    gap: ValidationGap,
    /// Whether an update could not be applied: the next one must not build on the current tables.
    needs_complete_tables: bool,
}

impl PollLoop {
    async fn run(mut self) {
        loop {
            tokio::select! {
                () = tokio::time::sleep_until(self.due.at) => self.on_timer(),
                Some(Ok(result)) = self.polls.join_next(), if !self.polls.is_empty() => self.on_poll_result(result),
                _ = self.changes.changed(), if self.is_long_poll => self.send_changed_state(),
            }
        }
    }

    fn on_timer(&mut self) {
        match self.due.step {
            Step::ChooseProcess => self.schedule_next_poll(),
            Step::SendPoll(to) => self.send_poll(to, POLL_WAIT_MS),
            Step::TimeOut(overdue) => {
                self.gap.on_unvalidated(PollEnd::Overdue);
                self.client.directory.forget_primary(overdue);
                self.discovery
                    .on_failure(overdue, self.client.directory.core_view().epoch);
                self.schedule_next_poll();
            }
        }
    }

    /// Chooses the next process to poll and schedules the poll.
    fn schedule_next_poll(&mut self) {
        let now = Instant::now();
        self.is_long_poll = false;
        if let Some(primary) = self.client.directory.take_announced_primary() {
            self.discovery.on_announcement(primary);
        }
        self.due = match self.discovery.next_poll(&self.client.candidates()) {
            Some(next) => Due {
                at: now + next.delay,
                step: Step::SendPoll(next.to),
            },
            None => Due {
                at: now + NO_CANDIDATE_RETRY_DELAY,
                step: Step::ChooseProcess,
            },
        };
    }

    /// Sends a poll. Only a primary that answered before may delay its answer.
    fn send_poll(&mut self, to: SocketAddr, wait_ms: u32) {
        let is_search = !self.discovery.has_primary();
        let timeout = if is_search {
            SEARCH_TIMEOUT
        } else {
            PRIMARY_TIMEOUT
        };
        self.due = Due {
            at: Instant::now() + timeout,
            step: Step::TimeOut(to),
        };
        if self.polls.len() >= MAX_POLLS {
            return;
        }
        self.changes.borrow_and_update();
        let wait_ms = if is_search { 0 } else { wait_ms };
        self.is_long_poll = wait_ms > 0;
        let client = self.client.clone();
        let sent_at_ms = client.clock.now_ms();
        let poll = Poll {
            node: client.node.clone(),
            versions: self.tables.versions(),
            wait_ms,
            leaving: client.state.shared.leaving.get(),
            batch_status: client.state.shared.batch_status.borrow().clone().into(),
            held: (!self.needs_complete_tables).then(|| self.tables.held()),
        };
        self.polls.spawn_local(async move {
            let result = client.poll(to, poll).await;
            PollResult {
                from: to,
                sent_at_ms,
                result,
            }
        });
    }

    /// Sends the changed state to the primary at once, in place of the pending long-poll.
    fn send_changed_state(&mut self) {
        if let Step::TimeOut(primary) = self.due.step {
            self.polls.abort_all();
            self.polls.detach_all();
            self.send_poll(primary, 0);
        }
    }

    fn on_poll_result(&mut self, poll: PollResult) {
        let PollResult {
            from,
            sent_at_ms,
            result,
        } = poll;
        match result {
            Ok(Answer::Update(update)) => self.on_update(from, sent_at_ms, update),
            Ok(Answer::NotPrimary(view)) => {
                self.gap.on_unvalidated(PollEnd::Redirected);
                self.client.directory.forget_primary(from);
                self.client.directory.update_members(&view);
                self.discovery.on_redirect(
                    from,
                    view.primary.map(|primary| primary.internal.0),
                    view.epoch,
                );
                self.schedule_next_poll();
            }
            Ok(Answer::Identity(..)) => self.on_failure(from),
            Err(error) => {
                log::debug!("a poll of {from}: {error}");
                self.gap.on_unvalidated(PollEnd::Failed);
                self.client.directory.forget_primary(from);
                self.on_failure(from);
            }
        }
    }

    fn on_update(&mut self, from: SocketAddr, sent_at_ms: u64, update: Update) {
        self.client
            .directory
            .confirm_primary(from, update.core.as_ref());
        if let Some(pollers) = &update.pollers {
            self.client.distributor.replace_pollers(pollers);
        }
        let has_tables = !update.is_empty();
        let result = self.tables.apply(update);
        self.needs_complete_tables = result.is_err();
        match result {
            Ok(_) => {
                self.note_validation(sent_at_ms, has_tables);
                if self.client.state.validated_since_ms().is_none() {
                    log::info!(
                        "received the first tables from the core's primary, {} ms after the start",
                        self.client.clock.now_ms()
                    );
                }
                self.client.state.record_validation(sent_at_ms);
                self.discovery.on_update(from);
                self.polls.abort_all();
                self.polls.detach_all();
                self.schedule_next_poll();
            }
            Err(error) => {
                log::error!("failed to apply an update of the core's primary {from}, which may run a later version: {error}");
                self.on_failure(from);
            }
        }
    }

    fn note_validation(&mut self, sent_at_ms: u64, has_tables: bool) {
        let now_ms = self.client.clock.now_ms();
        if has_tables {
            let after = Duration::from_millis(now_ms.saturating_sub(sent_at_ms));
            metrics::get().distribution.tables_received(after);
            log::debug!(
                "tables came after {} ms: {:?}",
                after.as_millis(),
                self.tables.versions()
            );
        }
        if let Some(gap) = self.gap.on_validated(sent_at_ms, now_ms) {
            let backends = self.tables.versions().backends;
            log::info!(
                "no primary validated the tables for {} ms ({}); now list {} of epoch {}",
                gap.duration_ms,
                gap.ends,
                backends.sequence,
                backends.epoch
            );
        }
    }

    /// Handles a poll without an update. If another poll was sent since, that one continues.
    fn on_failure(&mut self, from: SocketAddr) {
        let is_newest = matches!(self.due.step, Step::TimeOut(polled) if polled == from);
        if is_newest {
            self.discovery
                .on_failure(from, self.client.directory.core_view().epoch);
            self.schedule_next_poll();
        }
    }
}
