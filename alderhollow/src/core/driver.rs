//! Driver of the core's replica: executes its outputs (writes, messages, results of proposals) and passes it completed
//! writes, received messages and timer ticks.
//!
//! Invariant: writes complete in the order in which they were submitted, and each completion is reported to the replica
//! exactly once.

use super::contact::{self, Contact};
use crate::clock::SteadyClock;
use crate::distribution::message::CoreView;
use crate::distribution::signal::ChangeSignal;
use crate::internal::server::HandlerFuture;
use crate::internal::{Handler, Network, Refusal, ServiceId};
use crate::metrics;
use alderhollow_coordination::replica::interface::{
    Input, Member, Outcome, Output, ProposeError, Recovered, RecoveryError, Role, StateMachine,
    Token,
};
use alderhollow_coordination::replica::message::{Envelope, Message};
use alderhollow_coordination::replica::settings::Settings;
use alderhollow_coordination::replica::Replica;
use alderhollow_storage::{StorageError, Write, Writer};
use minicbor::{Decode, Encode};
use std::cell::{Cell, Ref, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::{Rc, Weak};
use std::time::Duration;
use tokio::sync::{mpsc, oneshot, Notify};

/// Maximum time for a planned handover of the primary role.
const HANDOVER_TIMEOUT: Duration = Duration::from_millis(700);
/// Interval between ticks while the replica has requested no wake-up.
const MAX_TICK_INTERVAL_MS: u64 = 1_000;

/// A one-way message between members.
#[derive(Debug, Clone, PartialEq, Encode, Decode)]
pub enum CoreNotice {
    /// A message of the replica.
    #[n(0)]
    Message(#[n(0)] Box<Envelope>),
    /// A request to the primary to add a disk as a member.
    #[n(1)]
    Join(#[n(0)] Member),
}

/// A submitted write, queued in the order of submission.
struct PendingWrite {
    token: Token,
    result: oneshot::Receiver<Result<(), StorageError>>,
}

/// The core's member in this process.
pub struct Core<S: StateMachine> {
    replica: RefCell<Replica<S>>,
    writer: Writer,
    pending_writes: mpsc::UnboundedSender<PendingWrite>,
    network: Network,
    clock: SteadyClock,
    changes: ChangeSignal,
    proposals: RefCell<BTreeMap<Token, oneshot::Sender<Result<Outcome, ProposeError>>>>,
    last_token: Cell<Token>,
    logged_epoch: Cell<u64>,
    scheduled_ms: Cell<Option<u64>>,
    rescheduled: Notify,
    handover_confirmed: Notify,
    /// The last logged role other than candidate, with its epoch.
    logged_role: Cell<Option<(Role, u64)>>,
}

impl<S: StateMachine + 'static> Core<S> {
    /// Opens the member with the state recovered from its disk and starts the tasks that drive it. Must be called in a
    /// `LocalSet`.
    ///
    /// # Errors
    /// The recovered state is invalid.
    pub fn start(
        settings: Settings,
        recovered: Recovered,
        state: S,
        writer: Writer,
        network: Network,
        clock: SteadyClock,
        changes: ChangeSignal,
    ) -> Result<Rc<Core<S>>, RecoveryError> {
        let replica = Replica::open(settings, recovered, state, clock.now_ms())?;
        let (pending_writes, submitted_writes) = mpsc::unbounded_channel();
        let core = Rc::new(Core {
            replica: RefCell::new(replica),
            writer,
            pending_writes,
            network,
            clock,
            changes,
            proposals: RefCell::default(),
            last_token: Cell::new(0),
            logged_epoch: Cell::new(0),
            scheduled_ms: Cell::new(None),
            rescheduled: Notify::new(),
            handover_confirmed: Notify::new(),
            logged_role: Cell::new(None),
        });
        tokio::task::spawn_local(report_completed_writes(
            Rc::downgrade(&core),
            submitted_writes,
        ));
        tokio::task::spawn_local(core.clone().tick());
        core.handle_input(Input::Tick);
        Ok(core)
    }

    /// This member.
    pub fn member(&self) -> Member {
        self.replica.borrow().member().clone()
    }

    /// The committed state. It is certainly the newest only while this member has the lease.
    pub fn state(&self) -> Ref<'_, S> {
        Ref::map(self.replica.borrow(), Replica::state)
    }

    /// Version of the committed state.
    pub fn version(&self) -> u64 {
        self.replica.borrow().version()
    }

    /// The epoch of which this member is the primary, if it has the lease now. Query it at the moment of use.
    pub fn leased_epoch(&self) -> Option<u64> {
        let replica = self.replica.borrow();
        replica
            .holds_lease(self.clock.now_ms())
            .then(|| replica.epoch())
    }

    /// The epoch in which this member became primary, without an interruption since, if it has the lease now.
    pub fn primary_since(&self) -> Option<u64> {
        let replica = self.replica.borrow();
        replica
            .primary_since()
            .filter(|_| replica.holds_lease(self.clock.now_ms()))
    }

    /// This member's role.
    pub fn role(&self) -> Role {
        self.replica.borrow().role()
    }

    /// The newest epoch known to this member.
    pub fn epoch(&self) -> u64 {
        self.replica.borrow().epoch()
    }

    /// End of the lease on the process's clock, in ms; 0 without a lease.
    pub fn lease_until_ms(&self) -> u64 {
        self.replica.borrow().lease_until()
    }

    /// Whether this disk is not a member and should request to join.
    pub fn wants_to_join(&self) -> bool {
        self.replica.borrow().wants_to_join()
    }

    /// The core's members and primary, as known to this member.
    pub fn core_view(&self) -> CoreView {
        let replica = self.replica.borrow();
        contact::core_view(replica.epoch(), replica.primary(), replica.members())
    }

    /// Founds the core, at the first start of the whole system.
    pub fn found(&self, witnesses: Vec<Member>) {
        self.handle_input(Input::Found { witnesses });
    }

    /// Sends a request to join to the primary at this address.
    pub fn send_join_request(&self, primary: SocketAddr) {
        self.send(primary, &CoreNotice::Join(self.member()));
    }

    /// Submits a request to the state machine and, if it changes the state, waits until it is committed.
    ///
    /// # Errors
    /// This member is not the primary, or the outcome is unknown.
    pub async fn propose(&self, request: Vec<u8>) -> Result<Outcome, ProposeError> {
        let token = self.last_token.get() + 1;
        self.last_token.set(token);
        let (sender, result) = oneshot::channel();
        self.proposals.borrow_mut().insert(token, sender);
        self.handle_input(Input::Propose { token, request });
        result.await.unwrap_or(Err(ProposeError::Unknown))
    }

    /// Hands over the primary role before the process shuts down. Returns after `HANDOVER_TIMEOUT` at the latest.
    pub async fn leave(&self) {
        self.handle_input(Input::Leave);
        if tokio::time::timeout(HANDOVER_TIMEOUT, self.handover_confirmed.notified())
            .await
            .is_err()
        {
            log::warn!(
                "no member confirmed the handover of the core's primary role within {} ms",
                HANDOVER_TIMEOUT.as_millis()
            );
        }
    }

    /// Passes an input to the replica and executes the resulting outputs in order.
    fn handle_input(&self, input: Input) {
        let mut outputs = Vec::new();
        self.replica
            .borrow_mut()
            .handle(self.clock.now_ms(), input, &mut outputs);
        for output in outputs {
            self.execute_output(output);
        }
        metrics::get()
            .core
            .role(self.role() == Role::Primary, self.epoch());
        self.log_members();
        if self.next_wakeup_ms() != self.scheduled_ms.get() {
            self.rescheduled.notify_one();
        }
    }

    fn execute_output(&self, output: Output) {
        match output {
            Output::Persist {
                token,
                writes,
                replace_all,
            } => self.persist(token, writes, replace_all),
            Output::Send { to, message } => self.send_message(&to, message),
            Output::Committed { .. } => {
                metrics::get().core.committed();
                self.changes.notify();
            }
            Output::Proposed { token, result } => {
                if let Some(proposer) = self.proposals.borrow_mut().remove(&token) {
                    let _ = proposer.send(result);
                }
            }
            Output::RoleChanged(role) => {
                self.log_role(role);
                self.changes.notify();
            }
            Output::HandedOver => self.handover_confirmed.notify_one(),
        }
    }

    fn persist(&self, token: Token, writes: Vec<Vec<u8>>, replace_all: Option<Vec<u8>>) {
        let writes = match replace_all {
            Some(snapshot) => vec![Write::Compact(snapshot)],
            None => writes.into_iter().map(Write::Append).collect(),
        };
        let result = self.writer.submit(writes);
        let _ = self.pending_writes.send(PendingWrite { token, result });
    }

    fn send_message(&self, to: &Member, message: Message) {
        let Some(contact) = Contact::of(to) else {
            log::warn!("the addresses of core member {} can't be decoded", to.node);
            return;
        };
        let envelope = Envelope {
            from: self.member(),
            to: to.id,
            message,
        };
        self.send(contact.internal.0, &CoreNotice::Message(Box::new(envelope)));
    }

    fn send(&self, to: SocketAddr, notice: &CoreNotice) {
        if let Ok(payload) = minicbor::to_vec(notice) {
            self.network.notify(to, ServiceId::Core, payload);
        }
    }

    fn log_role(&self, role: Role) {
        let replica = self.replica.borrow();
        // A member that is cut off becomes candidate and follower repeatedly; only a new role or epoch is logged at info.
        let is_changed = role == Role::Candidate
            || self.logged_role.replace(Some((role, replica.epoch())))
                != Some((role, replica.epoch()));
        match role {
            Role::Primary => log::info!("core: primary of epoch {}", replica.epoch()),
            Role::Follower if is_changed => {
                log::info!("core: follows in epoch {}", replica.epoch());
            }
            Role::Follower => log::debug!("core: follows in epoch {} again", replica.epoch()),
            Role::Candidate => {
                log::debug!("core: candidate, epoch {} is the newest", replica.epoch());
            }
            Role::Outside => log::info!("core: not a member"),
        }
    }

    /// Logs the members once for each epoch.
    fn log_members(&self) {
        let replica = self.replica.borrow();
        if self.logged_epoch.replace(replica.epoch()) != replica.epoch() {
            let nodes: Vec<&str> = replica
                .members()
                .iter()
                .map(|member| member.node.as_str())
                .collect();
            let stage = if replica.is_changing_members() {
                " (joint with the former members)"
            } else {
                ""
            };
            log::info!(
                "core: members of epoch {}: {}{stage}",
                replica.epoch(),
                nodes.join(", ")
            );
        }
    }

    fn next_wakeup_ms(&self) -> Option<u64> {
        self.replica.borrow().next_wakeup()
    }

    async fn tick(self: Rc<Self>) {
        loop {
            let next = self.next_wakeup_ms();
            self.scheduled_ms.set(next);
            let due_ms =
                next.unwrap_or_else(|| self.clock.now_ms().saturating_add(MAX_TICK_INTERVAL_MS));
            tokio::select! {
                () = tokio::time::sleep_until(self.clock.instant(due_ms)) => self.handle_input(Input::Tick),
                () = self.rescheduled.notified() => (),
            }
        }
    }
}

async fn report_completed_writes<S: StateMachine + 'static>(
    core: Weak<Core<S>>,
    mut writes: mpsc::UnboundedReceiver<PendingWrite>,
) {
    while let Some(PendingWrite { token, result }) = writes.recv().await {
        let result = result.await.unwrap_or(Err(StorageError::WriterEnded));
        let Some(core) = core.upgrade() else { return };
        match result {
            Ok(()) => core.handle_input(Input::Persisted(token)),
            Err(error) => {
                log::error!("failed to write the core's state to disk: {error}");
                core.handle_input(Input::PersistFailed(token));
            }
        }
    }
}

/// Serves [`ServiceId::Core`] on the internal port.
pub struct CoreHandler<S: StateMachine>(pub Rc<Core<S>>);

impl<S: StateMachine + 'static> Handler for CoreHandler<S> {
    fn request(&self, _: Vec<u8>) -> HandlerFuture {
        Box::pin(async { Err(Refusal::NoService) })
    }

    fn notice(&self, payload: Vec<u8>) {
        match minicbor::decode(&payload) {
            Ok(CoreNotice::Message(envelope)) => {
                let Envelope { from, to, message } = *envelope;
                if to == self.0.replica.borrow().member().id {
                    self.0.handle_input(Input::Message { from, message });
                }
            }
            Ok(CoreNotice::Join(member)) => self.0.handle_input(Input::Join(member)),
            Err(error) => {
                log::debug!(
                    "dropped a message between core members that can't be decoded: {error}"
                );
            }
        }
    }
}
