//! The long-polls of one process: finds the primary, keeps asking it, and swaps the process's tables.

use super::directory::Directory;
use super::link::{AskError, PeerLink};
use super::message::{Answer, Poll, Request, Update};
use super::primary_discovery::Finder;
use super::server::Distributor;
use super::signal::ChangeSignal;
use super::tables::Tables;
use crate::clock::SteadyClock;
use alderhollow_model::identity::NodeInfo;
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::Instant;

/// How long the primary may hold an answer when it has nothing newer.
const POLL_WAIT_MS: u32 = 400;
/// A primary that is silent for so long (its hold included) is no longer taken for one: others are asked, while its answer
/// may still come. Half of the shortest `config-apply-ms` leaves room for it and one more member that is silent.
const PRIMARY_SILENCE: Duration = Duration::from_millis(650);
/// While there is no primary, the next process is asked after so long without an answer.
const SEARCH_STAGGER: Duration = Duration::from_millis(200);
/// Most polls under way at once.
const MAX_POLLS: usize = 4;
/// An answer that takes longer is not waited for. Whole tables may take a while over a thin link.
const POLL_TIMEOUT: Duration = Duration::from_millis(2_000);
/// Pause when there is nobody to ask.
const NOBODY_PAUSE: Duration = Duration::from_millis(200);

/// What a process tells the primary with each poll besides its versions, and what others of the process learn of the polls.
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
    /// Tells the primary at once that this process is about to end.
    pub fn leave(&self) {
        self.shared.leaving.set(true);
        self.shared.changed.notify();
    }

    /// Replaces what a store reports of its batch group; a change is told at once.
    pub fn report(&self, batch_status: Vec<u8>) {
        if *self.shared.batch_status.borrow() != batch_status {
            self.shared.batch_status.replace(batch_status);
            self.shared.changed.notify();
        }
    }

    /// Notes that a primary with a lease answered a poll that was sent at this moment of the process's clock. Answers may
    /// come out of order.
    pub fn note_validated(&self, sent_at_ms: u64) {
        let newest = self
            .shared
            .validated_since_ms
            .get()
            .unwrap_or(0)
            .max(sent_at_ms);
        self.shared.validated_since_ms.set(Some(newest));
    }

    /// When the newest poll that a primary with a lease answered was sent, on the process's clock.
    pub fn validated_since_ms(&self) -> Option<u64> {
        self.shared.validated_since_ms.get()
    }
}

/// Polls for one process.
pub struct PollClient {
    /// This process.
    pub node: NodeInfo,
    /// Connections to the others.
    pub link: Rc<dyn PeerLink>,
    /// What it knows of the core.
    pub directory: Directory,
    /// The process's own answers to polls, for when it is the primary itself.
    pub distributor: Rc<Distributor>,
    /// What goes along with polls.
    pub state: PollState,
    /// The process's clock.
    pub clock: SteadyClock,
}

impl PollClient {
    /// Polls until the future is dropped.
    ///
    /// A change of what polls tell ends a poll that hangs. The poll after it asks for an answer at once and isn't ended by
    /// further changes: however often they come, the primary goes on validating this process's tables.
    pub async fn run(self, tables: Tables, seed: u64) {
        let changes = self.state.shared.changed.subscribe();
        let client = Rc::new(self);
        let polls = JoinSet::new();
        let due = Due {
            at: Instant::now(),
            step: Step::Plan,
        };
        Polling {
            client,
            tables,
            finder: Finder::new(seed),
            changes,
            polls,
            due,
            holds: false,
        }
        .run()
        .await;
    }

    /// All who may know the primary: the members of the newest view, those that this process's own disk names, the seeds.
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

    async fn poll(&self, to: SocketAddr, poll: Poll) -> Result<Answer, AskError> {
        if to == self.node.internal.0 {
            let answer = tokio::time::timeout(POLL_TIMEOUT, self.distributor.poll(poll)).await;
            return answer.map_err(|_| AskError::TimedOut);
        }
        self.link
            .ask(to, Request::Poll(Box::new(poll)), POLL_TIMEOUT)
            .await
    }
}

/// The end of one poll.
struct PollEnd {
    from: SocketAddr,
    sent_at_ms: u64,
    result: Result<Answer, AskError>,
}

/// What is to be done next, and when.
#[derive(Debug, Clone, Copy)]
struct Due {
    at: Instant,
    step: Step,
}

#[derive(Debug, Clone, Copy)]
enum Step {
    /// Choose whom to ask.
    Plan,
    /// Ask this process.
    Begin(SocketAddr),
    /// This process did not answer in time: others are asked as well.
    GiveUp(SocketAddr),
}

/// The polls of a process as they run.
struct Polling {
    client: Rc<PollClient>,
    tables: Tables,
    finder: Finder,
    changes: watch::Receiver<u64>,
    polls: JoinSet<PollEnd>,
    due: Due,
    /// The newest poll may be held by the primary, so that a change of what polls tell ends it.
    holds: bool,
}

impl Polling {
    async fn run(mut self) {
        loop {
            tokio::select! {
                () = tokio::time::sleep_until(self.due.at) => self.take_step(),
                Some(Ok(end)) = self.polls.join_next(), if !self.polls.is_empty() => self.take(end),
                _ = self.changes.changed(), if self.holds => self.tell_change(),
            }
        }
    }

    fn take_step(&mut self) {
        match self.due.step {
            Step::Plan => self.plan(),
            Step::Begin(to) => self.begin(to, POLL_WAIT_MS),
            Step::GiveUp(silent) => {
                self.client.directory.forget_primary(silent);
                self.finder
                    .fail(silent, self.client.directory.core_view().epoch);
                self.plan();
            }
        }
    }

    /// Chooses whom to ask next.
    fn plan(&mut self) {
        let now = Instant::now();
        self.holds = false;
        if let Some(primary) = self.client.directory.take_introduced() {
            self.finder.suggest(primary);
        }
        self.due = match self.finder.next(&self.client.candidates()) {
            Some(next) => Due {
                at: now + next.pause,
                step: Step::Begin(next.to),
            },
            None => Due {
                at: now + NOBODY_PAUSE,
                step: Step::Plan,
            },
        };
    }

    /// Sends a poll. Only a primary that answered before may hold the answer.
    fn begin(&mut self, to: SocketAddr, wait_ms: u32) {
        let is_search = !self.finder.has_primary();
        let patience = if is_search {
            SEARCH_STAGGER
        } else {
            PRIMARY_SILENCE
        };
        self.due = Due {
            at: Instant::now() + patience,
            step: Step::GiveUp(to),
        };
        if self.polls.len() >= MAX_POLLS {
            return;
        }
        self.changes.borrow_and_update();
        let wait_ms = if is_search { 0 } else { wait_ms };
        self.holds = wait_ms > 0;
        let client = self.client.clone();
        let sent_at_ms = client.clock.now_ms();
        let poll = Poll {
            node: client.node.clone(),
            held: self.tables.held(),
            wait_ms,
            leaving: client.state.shared.leaving.get(),
            batch_status: client.state.shared.batch_status.borrow().clone().into(),
        };
        self.polls.spawn_local(async move {
            let result = client.poll(to, poll).await;
            PollEnd {
                from: to,
                sent_at_ms,
                result,
            }
        });
    }

    /// Tells the primary at once what has changed, in place of the poll that it holds.
    fn tell_change(&mut self) {
        if let Step::GiveUp(primary) = self.due.step {
            self.polls.abort_all();
            self.polls.detach_all();
            self.begin(primary, 0);
        }
    }

    fn take(&mut self, end: PollEnd) {
        let PollEnd {
            from,
            sent_at_ms,
            result,
        } = end;
        match result {
            Ok(Answer::Update(update)) => self.take_update(from, sent_at_ms, update),
            Ok(Answer::NotPrimary(view)) => {
                self.client.directory.forget_primary(from);
                self.client.directory.learn(&view);
                self.finder.redirect(
                    from,
                    view.primary.map(|primary| primary.internal.0),
                    view.epoch,
                );
                self.plan();
            }
            Ok(Answer::Identity(..)) => self.fail(from),
            Err(error) => {
                log::debug!("a poll of {from}: {error}");
                self.client.directory.forget_primary(from);
                self.fail(from);
            }
        }
    }

    fn take_update(&mut self, from: SocketAddr, sent_at_ms: u64, update: Update) {
        self.client.directory.confirm(from, update.core.as_ref());
        if let Some(pollers) = &update.pollers {
            self.client.distributor.take_over_pollers(pollers);
        }
        match self.tables.apply(update) {
            Ok(_) => {
                if self.client.state.validated_since_ms().is_none() {
                    log::info!(
                        "tables of the core's primary, {} ms after the start",
                        self.client.clock.now_ms()
                    );
                }
                self.client.state.note_validated(sent_at_ms);
                self.finder.confirm(from);
                self.polls.abort_all();
                self.polls.detach_all();
                self.plan();
            }
            Err(error) => {
                log::error!("{error}: is this process older than the core's primary?");
                self.fail(from);
            }
        }
    }

    /// A poll brought nothing. Where another one was begun since, that goes on.
    fn fail(&mut self, from: SocketAddr) {
        let is_newest = matches!(self.due.step, Step::GiveUp(asked) if asked == from);
        if is_newest {
            self.finder
                .fail(from, self.client.directory.core_view().epoch);
            self.plan();
        }
    }
}
