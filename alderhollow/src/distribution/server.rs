//! Answers polls: with what is newer while this process is the primary and holds its lease, else with its view of the core.

use super::directory::Directory;
use super::message::{
    Answer, CoreView, EncodedControl, HeldVersions, Notice, Poll, Request, Stamp, StampedSenders,
    Update,
};
use super::pollers::PollerWatch;
use super::senders::SenderTracker;
use super::signal::ChangeSignal;
use crate::clock::SteadyClock;
use crate::internal::server::HandlerFuture;
use crate::internal::{Handler, Refusal};
use crate::metrics;
use crate::SnapshotReceiver;
use alderhollow_model::backend::BackendList;
use alderhollow_model::identity::{Address, NodeInfo};
use std::cell::RefCell;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::watch;

/// Longest time that an answer is held, whatever the asker says.
const LONGEST_WAIT: Duration = Duration::from_millis(1_000);

/// The core's member in this process, as the distribution sees it. All is to be asked at the moment of use.
pub trait Authority {
    /// The epoch of which this process is the primary, if it holds the lease now.
    fn leased_epoch(&self) -> Option<u64>;
    /// The committed control state.
    fn control(&self) -> EncodedControl;
    /// Version of the committed control state.
    fn control_version(&self) -> u64;
    /// The core's members and its primary, as far as known.
    fn core_view(&self) -> CoreView;
    /// Takes note of a poll.
    fn on_poll(&self, poll: &Poll);
}

/// Backends as the primary's reader publishes them.
#[derive(Debug, Clone)]
pub struct PublishedBackends {
    /// The list.
    pub list: Rc<BackendList>,
    /// When it was read, on the process's clock.
    pub read_at_ms: u64,
}

impl PublishedBackends {
    /// The list with cold times counted from now instead of from the reading.
    fn aged(&self, now_ms: u64) -> BackendList {
        let age = now_ms.saturating_sub(self.read_at_ms);
        let mut list = BackendList::clone(&self.list);
        for backend in &mut list.backends {
            backend.cold_remaining_ms = backend.cold_remaining_ms.saturating_sub(age);
        }
        list
    }
}

/// Serves [`ServiceId::Distribution`](crate::internal::ServiceId) in every process.
pub struct Distributor {
    /// This process.
    pub node: NodeInfo,
    /// What it knows of the core.
    pub directory: Directory,
    /// The core's member in this process; `None` where it has no disk.
    pub authority: Option<Rc<dyn Authority>>,
    /// What the reader of the platform's list publishes.
    pub backends: watch::Receiver<Option<PublishedBackends>>,
    /// The process's own tables: a new primary takes the senders over from them.
    pub snapshots: SnapshotReceiver,
    /// Tells of changes of all that answers rest on.
    pub changes: ChangeSignal,
    /// The process's clock.
    pub clock: SteadyClock,
    /// Who polled, in the epoch of which this process is the primary.
    pub senders: RefCell<SenderTracker>,
    /// Which addresses polled.
    pub pollers: RefCell<PollerWatch>,
}

impl Distributor {
    /// What is known of the core's place.
    pub fn core_view(&self) -> CoreView {
        match &self.authority {
            Some(authority) => {
                let mut core_view = authority.core_view();
                if core_view.primary.is_none() {
                    core_view.primary = self.directory.core_view().primary;
                }
                core_view
            }
            None => self.directory.core_view(),
        }
    }

    /// Whether this process is the primary and holds its lease.
    pub fn leads(&self) -> bool {
        self.leased_authority().is_some()
    }

    /// Takes over who polls the primary, for the time in which this process may be the primary itself.
    pub fn take_over_pollers(&self, addresses: &[Address]) {
        if !self.leads() {
            let addresses = addresses.iter().map(|address| address.0);
            self.pollers
                .borrow_mut()
                .take_over(addresses, self.clock.now_ms());
        }
    }

    /// Processes that should poll this one, the primary, and do not: they may not know where it is.
    pub fn silent_processes(&self) -> BTreeSet<SocketAddr> {
        let mut expected = self.directory.seeds();
        expected.extend(self.core_view().internal_addresses());
        let control = self.snapshots.borrow().control.clone();
        let stores = control
            .groups
            .iter()
            .flat_map(|group| group.members.iter().chain(&group.learners));
        expected.extend(stores.map(|store| store.node.internal.0));
        expected.retain(|address| *address != self.node.internal.0);
        self.pollers
            .borrow_mut()
            .silent(expected, self.clock.now_ms())
    }

    /// Answers a poll, perhaps after waiting for something newer.
    pub async fn poll(&self, poll: Poll) -> Answer {
        let wait = Duration::from_millis(u64::from(poll.wait_ms)).min(LONGEST_WAIT);
        let until = tokio::time::Instant::now() + wait;
        let mut changes = self.changes.subscribe();
        let mut noted = false;
        loop {
            let Some((authority, epoch)) = self.leased_authority() else {
                return Answer::NotPrimary(self.core_view());
            };
            if !std::mem::replace(&mut noted, true) {
                self.note(&poll, epoch);
                authority.on_poll(&poll);
            }
            let mut update = self.newer_than(&poll.held, authority.as_ref(), epoch);
            if poll.node.disk.is_some()
                && poll.node.role.may_join_core()
                && update.senders.is_some()
            {
                let pollers = self.pollers.borrow().addresses();
                update.pollers = Some(pollers.into_iter().map(Address).collect());
            }
            if !update.is_empty() || tokio::time::Instant::now() >= until {
                return Answer::Update(update);
            }
            let _ = tokio::time::timeout_at(until, changes.changed()).await;
        }
    }

    fn leased_authority(&self) -> Option<(&Rc<dyn Authority>, u64)> {
        let authority = self.authority.as_ref()?;
        let epoch = authority.leased_epoch()?;
        Some((authority, epoch))
    }

    fn note(&self, poll: &Poll, epoch: u64) {
        let now_ms = self.clock.now_ms();
        self.pollers
            .borrow_mut()
            .heard(poll.node.internal.0, now_ms);
        let mut senders = self.senders.borrow_mut();
        if senders.epoch() != epoch {
            let known = self.snapshots.borrow().senders.clone();
            *senders = SenderTracker::begin(epoch, &known, now_ms);
        }
        let changed = senders.polled(&self.node.node, poll, now_ms);
        drop(senders);
        if changed {
            self.changes.notify();
        }
    }

    fn newer_than(&self, held: &HeldVersions, authority: &dyn Authority, epoch: u64) -> Update {
        let mut update = Update {
            control: (authority.control_version() > held.control).then(|| authority.control()),
            backends: self.newer_backends(held.backends, epoch),
            senders: self.newer_senders(held.senders, epoch),
            core: None,
            pollers: None,
        };
        if !update.is_empty() {
            update.core = Some(authority.core_view());
        }
        update
    }

    /// The list, if it was read in this epoch: one that this process read in an earlier part as primary may be old.
    fn newer_backends(&self, held: Stamp, epoch: u64) -> Option<BackendList> {
        let published = self.backends.borrow();
        let published = published
            .as_ref()
            .filter(|published| published.list.epoch == epoch)?;
        let sequence = published.list.sequence;
        (Stamp { epoch, sequence } > held).then(|| published.aged(self.clock.now_ms()))
    }

    fn newer_senders(&self, held: Stamp, epoch: u64) -> Option<StampedSenders> {
        let senders = self.senders.borrow();
        let current = senders.current();
        (senders.epoch() == epoch && current.stamp > held).then(|| current.clone())
    }

    /// Takes a notice of another process.
    pub fn take_notice(&self, notice: &Notice) {
        match notice {
            Notice::Introduction(view) => self.directory.introduce(view),
        }
    }

    /// Answers a question of another process.
    pub async fn serve(&self, request: Request) -> Answer {
        match request {
            Request::Identify => Answer::Identity(self.node.clone(), self.core_view()),
            Request::Poll(poll) => self.poll(*poll).await,
        }
    }
}

/// Puts a [`Distributor`] on the internal port.
pub struct DistributionHandler(pub Rc<Distributor>);

impl Handler for DistributionHandler {
    fn notice(&self, payload: Vec<u8>) {
        match minicbor::decode(&payload) {
            Ok(notice) => self.0.take_notice(&notice),
            Err(error) => log::debug!("a notice of the distribution can't be read: {error}"),
        }
    }

    fn request(&self, payload: Vec<u8>) -> HandlerFuture {
        let distributor = self.0.clone();
        Box::pin(async move {
            let request: Request = minicbor::decode(&payload).map_err(|_| Refusal::Malformed)?;
            let is_poll = matches!(request, Request::Poll(_));
            let answer = distributor.serve(request).await;
            let payload = minicbor::to_vec(&answer).map_err(|_| Refusal::Busy)?;
            if is_poll {
                let is_update = matches!(&answer, Answer::Update(update) if !update.is_empty());
                metrics::get()
                    .core
                    .poll_answered(is_update.then_some(payload.len()));
            }
            Ok(payload)
        })
    }
}
