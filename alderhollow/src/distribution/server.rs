//! Answers polls: with the newer tables while this process is the primary and has the lease, otherwise with a redirect.

use super::directory::Directory;
use super::history::TableHistory;
use super::message::{
    Answer, CoreView, Differences, EncodedControl, Notice, Poll, Request, Stamp, Update,
};
use super::pollers::PollerTracker;
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

/// Maximum time for which an answer is delayed, whatever the poll requests.
const MAX_POLL_WAIT: Duration = Duration::from_millis(1_000);

/// The core member of this process, as the distribution uses it. Query it at the moment of use: the lease may end any time.
pub trait Authority {
    /// The epoch of which this process is the primary, if it has the lease now.
    fn leased_epoch(&self) -> Option<u64>;
    /// The epoch in which this process became primary, without an interruption since, if it has the lease now. Tables that
    /// the primary makes itself are stamped with it, as no other primary can have made newer ones since: a change of its
    /// replicas, which begins an epoch, leaves them valid.
    fn primary_since(&self) -> Option<u64> {
        self.leased_epoch()
    }
    /// The encoded view of the committed control state.
    fn control(&self) -> EncodedControl;
    /// Version of that view.
    fn control_version(&self) -> u64;
    /// The core's members and its primary, as known to this member.
    fn core_view(&self) -> CoreView;
    /// Handles a poll that this process answers as primary.
    fn on_poll(&self, poll: &Poll);
}

/// A backend list as published by the primary's reader.
#[derive(Debug, Clone)]
pub struct PublishedBackends {
    /// The list.
    pub list: Rc<BackendList>,
    /// When it was read, in ms of the process's clock.
    pub read_at_ms: u64,
}

impl PublishedBackends {
    /// The list with the remaining warm-up times counted from now instead of from the time of reading.
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
    /// Identity of this process.
    pub node: NodeInfo,
    /// What this process knows of the core's members.
    pub directory: Directory,
    /// The core member of this process; `None` without one.
    pub authority: Option<Rc<dyn Authority>>,
    /// The newest backend list of this process's reader.
    pub backends: watch::Receiver<Option<PublishedBackends>>,
    /// This process's tables. A new primary starts with their senders.
    pub snapshots: SnapshotReceiver,
    /// Signals changes of the tables.
    pub changes: ChangeSignal,
    /// The process's clock.
    pub clock: SteadyClock,
    /// Senders and placers, stamped with the epoch in which this process became primary.
    pub senders: RefCell<SenderTracker>,
    /// Addresses that polled this process.
    pub pollers: RefCell<PollerTracker>,
    /// Tables that this process distributed as the primary.
    pub history: RefCell<TableHistory>,
}

impl Distributor {
    /// The core's members and primary, as known to this process.
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

    /// Whether this process is the primary and has the lease.
    pub fn is_primary(&self) -> bool {
        self.leased_authority().is_some()
    }

    /// Records the addresses that poll the primary, in case this process becomes its successor.
    pub fn replace_pollers(&self, addresses: &[Address]) {
        if !self.is_primary() {
            let addresses = addresses.iter().map(|address| address.0);
            self.pollers
                .borrow_mut()
                .replace_all(addresses, self.clock.now_ms());
        }
    }

    /// Processes that should poll this primary and have not done so for a time-out: they may not know it.
    pub fn overdue_processes(&self) -> BTreeSet<SocketAddr> {
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
            .overdue(expected, self.clock.now_ms())
    }

    /// Answers a poll; waits up to the requested time for something newer.
    pub async fn poll(&self, poll: Poll) -> Answer {
        let wait = Duration::from_millis(u64::from(poll.wait_ms)).min(MAX_POLL_WAIT);
        let until = tokio::time::Instant::now() + wait;
        let mut changes = self.changes.subscribe();
        let mut is_recorded = false;
        loop {
            let Some((authority, since_epoch)) = self.leased_authority() else {
                return Answer::NotPrimary(self.core_view());
            };
            if !std::mem::replace(&mut is_recorded, true) {
                self.record_poll(&poll, since_epoch);
                authority.on_poll(&poll);
            }
            let mut update = self.newer_than(&poll, authority.as_ref(), since_epoch);
            if poll.node.disk.is_some() && poll.node.role.may_join_core() && update.has_senders() {
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
        let since_epoch = authority.primary_since()?;
        Some((authority, since_epoch))
    }

    fn record_poll(&self, poll: &Poll, since_epoch: u64) {
        let now_ms = self.clock.now_ms();
        self.pollers
            .borrow_mut()
            .on_poll(poll.node.internal.0, now_ms);
        let mut senders = self.senders.borrow_mut();
        if senders.epoch() != since_epoch {
            // Processes that followed the former primary hold the list that this one held.
            let list = BackendList::clone(&self.snapshots.borrow().backends);
            self.history.borrow_mut().record_backends(&Rc::new(list));
            let known = self.snapshots.borrow().senders.clone();
            *senders = SenderTracker::for_epoch(since_epoch, &known, now_ms);
        }
        let changed = senders.on_poll(&self.node.node, poll, now_ms);
        drop(senders);
        if changed {
            self.changes.notify();
        }
    }

    /// What is newer than the tables of a process that polls. A process that takes differences gets them wherever this
    /// primary knows the table that it holds.
    fn newer_than(&self, poll: &Poll, authority: &dyn Authority, since_epoch: u64) -> Update {
        let mut update = Update::default();
        let mut differences = Differences::default();
        self.add_control(poll, authority, &mut update, &mut differences);
        self.add_backends(poll, since_epoch, &mut update, &mut differences);
        self.add_senders(poll, since_epoch, &mut update, &mut differences);
        if differences != Differences::default() {
            update.differences = Some(Box::new(differences));
        }
        if !update.is_empty() {
            update.core = Some(authority.core_view());
        }
        update
    }

    fn add_control(
        &self,
        poll: &Poll,
        authority: &dyn Authority,
        update: &mut Update,
        differences: &mut Differences,
    ) {
        let version = authority.control_version();
        let mut history = self.history.borrow_mut();
        if history.control_version() != version {
            history.record_control(authority.control());
        }
        let known = poll.versions.control;
        if version <= known {
            return;
        }
        differences.control = poll
            .held
            .and_then(|held| history.control_difference(known, held));
        if differences.control.is_none() {
            update.control = Some(authority.control());
        }
    }

    /// Adds the backend list, if it is newer and was read since this process became primary. One that it read before may be
    /// outdated, as there may have been another primary in between.
    fn add_backends(
        &self,
        poll: &Poll,
        since_epoch: u64,
        update: &mut Update,
        differences: &mut Differences,
    ) {
        let published = self.backends.borrow();
        let Some(published) = published
            .as_ref()
            .filter(|published| published.list.epoch == since_epoch)
        else {
            return;
        };
        let mut history = self.history.borrow_mut();
        history.record_backends(&published.list);
        let known = poll.versions.backends;
        if Stamp::of(&published.list) <= known {
            return;
        }
        let list = published.aged(self.clock.now_ms());
        differences.backends = poll
            .held
            .and_then(|_| history.backends_difference(known, &list));
        if differences.backends.is_none() {
            update.backends = Some(list);
        }
    }

    fn add_senders(
        &self,
        poll: &Poll,
        since_epoch: u64,
        update: &mut Update,
        differences: &mut Differences,
    ) {
        let senders = self.senders.borrow();
        let current = senders.current();
        if senders.epoch() != since_epoch {
            return;
        }
        let mut history = self.history.borrow_mut();
        history.record_senders(current);
        let known = poll.versions.senders;
        if current.stamp <= known {
            return;
        }
        differences.senders = poll
            .held
            .and_then(|_| history.senders_difference(known, current));
        if differences.senders.is_none() {
            update.senders = Some(current.clone());
        }
    }

    /// Handles a notice of another process.
    pub fn on_notice(&self, notice: &Notice) {
        match notice {
            Notice::PrimaryAnnouncement(view) => self.directory.on_announcement(view),
        }
    }

    /// Handles a request of another process.
    pub async fn on_request(&self, request: Request) -> Answer {
        match request {
            Request::Identify => Answer::Identity(self.node.clone(), self.core_view()),
            Request::Poll(poll) => self.poll(*poll).await,
        }
    }
}

/// Serves [`ServiceId::Distribution`](crate::internal::ServiceId) on the internal port.
pub struct DistributionHandler(pub Rc<Distributor>);

impl Handler for DistributionHandler {
    fn notice(&self, payload: Vec<u8>) {
        match minicbor::decode(&payload) {
            Ok(notice) => self.0.on_notice(&notice),
            Err(error) => {
                log::debug!("dropped a notice of the distribution that can't be decoded: {error}");
            }
        }
    }

    fn request(&self, payload: Vec<u8>) -> HandlerFuture {
        let distributor = self.0.clone();
        Box::pin(async move {
            let request: Request = minicbor::decode(&payload).map_err(|_| Refusal::Malformed)?;
            let is_poll = matches!(request, Request::Poll(_));
            let answer = distributor.on_request(request).await;
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
