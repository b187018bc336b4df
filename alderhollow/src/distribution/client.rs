//! The long-polls of one process: finds the primary, keeps asking it, and swaps the process's tables.

use super::directory::Directory;
use super::finder::Finder;
use super::message::{Answer, CoreMember, Directions, Poll, Request, Update};
use super::server::{internal_addresses, Distributor};
use super::signal::ChangeSignal;
use super::tables::Tables;
use crate::clock::SteadyClock;
use crate::internal::{CallError, Network, ServiceId};
use alderhollow_model::identity::NodeInfo;
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use thiserror::Error;

/// How long the primary may hold an answer when it has nothing newer.
const POLL_WAIT_MS: u32 = 400;
/// An answer that takes longer means that another member is asked.
const POLL_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Pause when there is nobody to ask.
const NOBODY_PAUSE: Duration = Duration::from_millis(200);

/// What a process tells the primary with each poll besides its versions, and what others of the process learn of the polls.
#[derive(Clone, Default)]
pub struct PollState {
    shared: Rc<PollShared>,
}

#[derive(Default)]
struct PollShared {
    leaving: Cell<bool>,
    batch_status: RefCell<Vec<u8>>,
    changed: ChangeSignal,
    vouched_since_ms: Cell<Option<u64>>,
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

    /// Notes that a primary with a lease answered a poll that was sent at this moment of the process's clock.
    pub fn note_vouched(&self, sent_at_ms: u64) {
        self.shared.vouched_since_ms.set(Some(sent_at_ms));
    }

    /// When the newest poll that a primary with a lease answered was sent, on the process's clock.
    pub fn vouched_since_ms(&self) -> Option<u64> {
        self.shared.vouched_since_ms.get()
    }
}

/// Why a poll brought nothing.
#[derive(Debug, Error)]
enum PollError {
    #[error(transparent)]
    Call(#[from] CallError),
    #[error("the answer can't be read")]
    Unreadable,
    #[error("no answer came in time")]
    TimedOut,
}

/// Polls for one process.
pub struct PollClient {
    /// This process.
    pub node: NodeInfo,
    /// Connections to the others.
    pub network: Network,
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
    /// further changes: however often they come, the primary goes on vouching for this process's tables.
    pub async fn run(self, mut tables: Tables, seed: u64) {
        let mut finder = Finder::new(seed);
        let mut changes = self.state.shared.changed.subscribe();
        let mut wait_ms = POLL_WAIT_MS;
        loop {
            let Some(next) = finder.next(&self.candidates()) else {
                tokio::time::sleep(NOBODY_PAUSE).await;
                continue;
            };
            if !next.pause.is_zero() {
                tokio::time::sleep(next.pause).await;
            }
            changes.borrow_and_update();
            let sent_at_ms = self.clock.now_ms();
            tokio::select! {
                result = self.poll(next.to, &tables, wait_ms) => {
                    self.take(next.to, sent_at_ms, result, &mut finder, &mut tables);
                    wait_ms = POLL_WAIT_MS;
                }
                _ = changes.changed(), if wait_ms > 0 => wait_ms = 0,
            }
        }
    }

    fn candidates(&self) -> Vec<SocketAddr> {
        let mut candidates = internal_addresses(&self.directory.directions().members);
        for seed in self.directory.seeds() {
            if !candidates.contains(&seed) {
                candidates.push(seed);
            }
        }
        candidates
    }

    async fn poll(&self, to: SocketAddr, tables: &Tables, wait_ms: u32) -> Result<Answer, PollError> {
        let poll = Poll {
            node: self.node.clone(),
            held: tables.held(),
            wait_ms,
            leaving: self.state.shared.leaving.get(),
            batch_status: self.state.shared.batch_status.borrow().clone().into(),
        };
        if to == self.node.internal.0 {
            let answer = tokio::time::timeout(POLL_TIMEOUT, self.distributor.poll(poll)).await;
            return answer.map_err(|_| PollError::TimedOut);
        }
        let request = minicbor::to_vec(Request::Poll(Box::new(poll))).map_err(|_| PollError::Unreadable)?;
        let answer = self.network.call(to, ServiceId::Distribution, request, POLL_TIMEOUT).await?;
        minicbor::decode(&answer).map_err(|_| PollError::Unreadable)
    }

    fn take(
        &self,
        from: SocketAddr,
        sent_at_ms: u64,
        result: Result<Answer, PollError>,
        finder: &mut Finder,
        tables: &mut Tables,
    ) {
        match result {
            Ok(Answer::Update(update)) => {
                self.note_primary(from, &update);
                match tables.apply(update) {
                    Ok(_) => {
                        self.state.note_vouched(sent_at_ms);
                        finder.confirm(from);
                    }
                    Err(error) => {
                        log::error!("{error}: is this process older than the core's primary?");
                        finder.fail(from);
                    }
                }
            }
            Ok(Answer::NotPrimary(directions)) => {
                self.note_directions(from, &directions);
                finder.redirect(from, directions.primary.map(|primary| primary.internal.0));
            }
            Ok(Answer::Hello(..)) => finder.fail(from),
            Err(error) => {
                log::debug!("a poll of {from}: {error}");
                self.directory.forget_primary(from);
                finder.fail(from);
            }
        }
    }

    fn note_primary(&self, primary: SocketAddr, update: &Update) {
        if let Some(members) = &update.members {
            self.directory.set_members(members.clone());
        }
        let known: Option<CoreMember> = self.directory.member_at(primary);
        if known.is_some() {
            self.directory.set_primary(known);
        }
    }

    fn note_directions(&self, from: SocketAddr, directions: &Directions) {
        self.directory.forget_primary(from);
        if self.directory.directions().members.is_empty() {
            self.directory.set_members(directions.members.clone());
        }
    }
}
