//! Primary-backup replication of a small state, with witnesses that elect the primary (`docs/serving-tier.md`, *Core*).
//!
//! [`Replica`] is one member, a state machine without I/O: [`Replica::handle`] takes an [`Input`] and returns the
//! [`Output`]s that the host carries out in order. Start reading with [`interface`] and [`message`].
//!
//! The protocol resembles vertical Paxos (Lamport, Malkhi, Zhou 2009) with leases: the replicas of an epoch replicate
//! commands, the witnesses elect the next epoch. Safety rests on these invariants:
//!
//! * An epoch has at most one primary: a record of epoch *e* is installed only by the candidate to which a quorum of the
//!   witnesses promised *e* (`campaign`).
//! * A command is committed once all replicas of the active record have it on disk; each of them rejects it if it has
//!   promised a higher epoch (`witness`).
//! * A new epoch starts from a state that contains every committed command (`base`, `epoch_rules`).
//! * A witness that granted a lease promises nothing to other candidates before the grant expires. The grant
//!   (`grant_ms`) is longer than the lease (`lease_ms`), so that clocks may drift apart (`witness`, `primary`).
//! * A message that depends on a disk write is sent only after the write is synced (`write_queue`).
//!
//! | module | job |
//! | --- | --- |
//! | `durable`, `write_queue` | the durable state; disk writes in flight and the messages that wait for them |
//! | `witness` | answers of a member to candidates and to the primary: promises, lease grants, installs, writes |
//! | `campaign`, `base` | starting a new epoch (pre-vote, prepare, install), and the state from which it starts |
//! | `epoch_rules` | which record may follow another, who receives it first, when it is active |
//! | `primary`, `proposals` | heartbeats, the lease, replication of commands |
//! | `membership` | choice of the members and replicas of the next epoch |
//! | `handover` | planned change of the primary: shutdown, stalled disk, lost quorum |
//! | `record`, `vocabulary` | quorums of an epoch record; basic types |
//! | `inspection` | reads a member's disk for operators |

mod base;
mod campaign;
mod durable;
mod epoch_rules;
mod handover;
pub mod inspection;
pub mod interface;
mod membership;
pub mod message;
mod primary;
mod proposals;
mod record;
pub mod settings;
mod vocabulary;
mod witness;
mod write_queue;

use campaign::Campaign;
use durable::{encode, Durable, Entry};
use interface::{
    Epoch, EpochRecord, Input, Member, MemberId, Millis, Output, Recovered, RecoveryError, Role,
    StateMachine, Token, Version,
};
use message::Message;
use oorandom::Rand64;
use primary::Primary;
use settings::Settings;
use std::collections::VecDeque;
use witness::Grant;
use write_queue::{AddressedMessage, WriteQueue};

/// Maximum delay, in milliseconds, before the first election of a founder or of a restarted primary: the witnesses of a
/// restarted primary vote for it without waiting for its lease to expire.
const FAST_ELECTION_DELAY_MS: Millis = 20;

/// One member of the core.
pub struct Replica<S: StateMachine> {
    me: Member,
    settings: Settings,
    rng: Rand64,
    now: Millis,
    durable: Durable<S>,
    writes: WriteQueue,
    /// Whether the identity is synced to disk.
    identity_on_disk: bool,
    /// Number of the newest epoch record that is synced to disk.
    record_on_disk: Option<Epoch>,
    /// The lease that it granted: until it expires, nothing is promised to another candidate.
    grant: Option<Grant>,
    /// Until then pre-votes of candidates to which it has not promised are rejected.
    reject_pre_votes_until: Millis,
    /// The highest epoch number seen in any message.
    highest_seen: Epoch,
    /// Attempts to start an epoch that timed out since this member last started one.
    attempts_timed_out: u32,
    /// A newer record than its own does not name it as a witness.
    excluded: bool,
    /// Its process is shutting down.
    leaving: bool,
    /// Deadline for a successor to take over before the process exits.
    leave_deadline: Option<Millis>,
    /// Epoch of the primary that handed over to this member.
    predecessor_epoch: Option<Epoch>,
    /// When it starts an election.
    election_at: Millis,
    campaign: Option<Campaign>,
    primary: Option<Primary>,
    /// Messages to itself, not yet handled.
    loopback: VecDeque<Message>,
    outputs: Vec<Output>,
    last_role: Role,
    last_version: Version,
}

impl<S: StateMachine> Replica<S> {
    /// Starts a member from the contents of its disk. `state` is the empty state.
    ///
    /// # Errors
    /// The snapshot or a record of the disk can't be decoded.
    pub fn open(
        settings: Settings,
        recovered: Recovered,
        state: S,
        now: Millis,
    ) -> Result<Self, RecoveryError> {
        let durable = Durable::recover(&recovered, state)?;
        let log_bytes = recovered.records.iter().map(Vec::len).sum();
        let snapshot_bytes = recovered.snapshot.as_ref().map_or(0, Vec::len);
        let mut rng = Rand64::new(u128::from(settings.seed));
        let id = durable
            .id
            .unwrap_or_else(|| rng.rand_range(1..MemberId::MAX));
        let me = Member {
            id,
            node: settings.node.clone(),
            zone: settings.zone.clone(),
            contact: settings.contact.clone(),
        };
        let record_on_disk = durable.record.as_ref().map(|record| record.number);
        let last_version = durable.version();
        let mut replica = Replica {
            me,
            rng,
            now,
            writes: WriteQueue::new(snapshot_bytes, log_bytes),
            identity_on_disk: durable.id.is_some(),
            record_on_disk,
            grant: None,
            reject_pre_votes_until: 0,
            highest_seen: durable.promised,
            attempts_timed_out: 0,
            excluded: false,
            leaving: false,
            leave_deadline: None,
            predecessor_epoch: None,
            election_at: Millis::MAX,
            campaign: None,
            primary: None,
            loopback: VecDeque::new(),
            outputs: Vec::new(),
            last_role: Role::Outside,
            last_version,
            durable,
            settings,
        };
        replica.maybe_draw_identity(id);
        replica.resume_as_witness();
        replica.last_role = replica.role();
        Ok(replica)
    }

    /// Handles an input and appends the resulting outputs to `outputs`. `now` should not decrease; an earlier time is treated
    /// as the latest one.
    pub fn handle(&mut self, now: Millis, input: Input, outputs: &mut Vec<Output>) {
        self.now = self.now.max(now);
        match input {
            Input::Tick => {}
            Input::Message { from, message } => self.on_message(&from, message),
            Input::Persisted(token) => self.on_persisted(token),
            Input::PersistFailed(token) => self.writes.on_write_failed(self.now, token),
            Input::Propose { token, request } => self.on_propose(token, request),
            Input::Found { witnesses } => self.on_found(witnesses),
            Input::Join(member) => self.on_join(member),
            Input::Leave => self.on_leave(),
        }
        self.run_until_idle();
        self.emit_changes();
        outputs.append(&mut self.outputs);
    }

    /// This member, as its peers reach it.
    pub fn member(&self) -> &Member {
        &self.me
    }

    /// Whether the identity is synced to disk. Before that, the host must not report to other seeds that this one has a disk.
    pub fn identity_is_on_disk(&self) -> bool {
        self.identity_on_disk
    }

    /// The committed state that this member knows. It is the newest one only on the primary while it holds the lease.
    pub fn state(&self) -> &S {
        self.durable.state()
    }

    /// Version of [`Replica::state`].
    pub fn version(&self) -> Version {
        self.durable.version()
    }

    /// On the primary: the active epoch. Otherwise the newest epoch whose record this member has accepted.
    pub fn epoch(&self) -> Epoch {
        let known = self
            .durable
            .record
            .as_ref()
            .map_or(0, |record| record.number);
        self.primary
            .as_ref()
            .map_or(known, |primary| primary.record.number)
    }

    /// On the primary: the epoch in which it became primary. It stays the same while the primary replaces its own record, and
    /// no other member was primary since: a record follows only the newest active one (`campaign`), and a reconfiguration only
    /// one of its own.
    pub fn primary_since(&self) -> Option<Epoch> {
        self.primary.as_ref().map(|primary| primary.first_epoch)
    }

    /// The role of this member.
    pub fn role(&self) -> Role {
        if self.primary.is_some() {
            return Role::Primary;
        }
        if self.campaign.is_some() {
            return Role::Candidate;
        }
        match self.durable.record.as_ref() {
            Some(record) if record.is_witness(self.me.id) && !self.excluded => Role::Follower,
            _ => Role::Outside,
        }
    }

    /// Whether this member is the primary and holds an unexpired lease, so that no other member acts as primary at `now`.
    /// Check it at the time of use.
    pub fn holds_lease(&self, now: Millis) -> bool {
        now < self.lease_until()
    }

    /// Expiry time of the lease; 0 if there is none.
    pub fn lease_until(&self) -> Millis {
        self.primary.as_ref().map_or(0, |primary| {
            primary.lease_until(self.settings.timings.lease_ms)
        })
    }

    /// The primary of the newest accepted record: a hint that may be out of date.
    pub fn primary(&self) -> Option<&Member> {
        let record = self.durable.record.as_ref()?;
        record.member(record.primary)
    }

    /// All members of the newest accepted record.
    pub fn members(&self) -> &[Member] {
        self.durable
            .record
            .as_ref()
            .map_or(&[], |record| &record.witnesses)
    }

    /// Whether a membership change is in progress, which needs a majority of the former members too.
    pub fn is_changing_members(&self) -> bool {
        self.durable
            .record
            .as_ref()
            .is_some_and(|record| !record.former_witnesses.is_empty())
    }

    /// Whether this is not a member: its host should then repeat the join request to the primary ([`Input::Join`] there).
    pub fn wants_to_join(&self) -> bool {
        self.role() == Role::Outside && !self.leaving
    }

    /// Whether [`Input::Found`] is accepted: the disk was initialised at the first start of the system and belongs to no
    /// core yet.
    ///
    /// A seed answers the queries of other seeds with its identity (once [`Replica::identity_is_on_disk`]) and
    /// [`Replica::is_founder`].
    pub fn may_found(&self) -> bool {
        self.durable.founder && self.durable.record.is_none()
    }

    /// On the primary: the active record. Otherwise the newest accepted record. For inspection.
    pub fn record(&self) -> Option<&EpochRecord> {
        self.primary
            .as_ref()
            .map(|primary| &primary.record)
            .or(self.accepted_record())
    }

    /// Whether the disk was initialised at the first start of the system.
    pub fn is_founder(&self) -> bool {
        self.durable.founder
    }

    /// When [`Input::Tick`] is due; `None` if nothing is scheduled.
    pub fn next_wakeup(&self) -> Option<Millis> {
        let election = self.may_campaign().then_some(self.election_at);
        let campaign = self
            .campaign
            .as_ref()
            .map(|campaign| campaign.next_wakeup(&self.settings.timings));
        let primary = self
            .primary
            .as_ref()
            .map(|primary| self.primary_wakeup(primary));
        [
            election,
            campaign,
            primary,
            self.leave_deadline,
            self.writes.next_wakeup(),
        ]
        .into_iter()
        .flatten()
        .min()
    }

    /// Writes a random identity to an empty disk.
    fn maybe_draw_identity(&mut self, id: MemberId) {
        if self.durable.id.is_none() {
            self.log(Entry::Identity {
                id,
                founder: self.settings.first_start,
            });
        }
    }

    /// Dispatches a message of a peer or of this member itself.
    fn on_message(&mut self, from: &Member, message: Message) {
        match message {
            Message::PreVote(pre_vote) => self.on_pre_vote(from, &pre_vote),
            Message::PreVoteAnswer(answer) => self.on_pre_vote_answer(from, answer),
            Message::Prepare(prepare) => self.on_prepare(from, &prepare),
            Message::Promise(promise) => self.on_promise(from, *promise),
            Message::Rejection(rejection) => self.on_rejection(&rejection),
            Message::Install(install) => self.on_install(from, *install),
            Message::Installed(installed) => self.on_installed(from, &installed),
            Message::Write(write) => self.on_write(from, write),
            Message::Written(written) => self.on_written(from, &written),
            Message::Heartbeat(heartbeat) => self.on_heartbeat(from, &heartbeat),
            Message::HeartbeatAnswer(answer) => self.on_heartbeat_answer(from, &answer),
            Message::HandOver(hand_over) => self.on_hand_over(from, &hand_over),
            Message::Leaving => self.on_member_leaving(from),
        }
    }

    /// Releases the messages that waited for a completed disk write.
    fn on_persisted(&mut self, token: Token) {
        let Some(finished) = self.writes.on_write_finished(token) else {
            return;
        };
        self.identity_on_disk = true;
        self.record_on_disk = finished.record_number;
        for AddressedMessage { to, message } in finished.sends {
            self.send(to, message);
        }
    }

    /// Handles messages to itself and due timers, and flushes disk writes, until nothing is left to do.
    fn run_until_idle(&mut self) {
        loop {
            while let Some(message) = self.loopback.pop_front() {
                self.on_message(&self.me.clone(), message);
            }
            self.check_timers();
            let record_number = self.durable.record.as_ref().map(|record| record.number);
            let durable = &self.durable;
            let sends = self.writes.flush(
                self.now,
                record_number,
                || durable.snapshot(),
                &mut self.outputs,
            );
            for AddressedMessage { to, message } in sends {
                self.send(to, message);
            }
            if self.loopback.is_empty() {
                return;
            }
        }
    }

    /// Runs all periodic checks.
    fn check_timers(&mut self) {
        self.check_leave_deadline();
        self.check_campaign();
        self.check_primary();
        if self.may_campaign() && self.now >= self.election_at {
            self.start_pre_vote();
        }
    }

    /// Emits outputs for changes of the committed version and of the role.
    fn emit_changes(&mut self) {
        let version = self.durable.version();
        if version != self.last_version {
            self.last_version = version;
            self.outputs.push(Output::Committed { version });
        }
        let role = self.role();
        if role != self.last_role {
            self.last_role = role;
            self.outputs.push(Output::RoleChanged(role));
        }
    }

    /// Applies a change of the durable state in memory and queues its write to disk with the next flush.
    fn log(&mut self, entry: Entry) {
        self.writes.append(encode(&entry));
        self.durable.apply(entry);
    }

    /// Sends a message at once; a message to this member itself is queued.
    fn send(&mut self, to: Member, message: Message) {
        if to.id == self.me.id {
            self.loopback.push_back(message);
        } else {
            self.outputs.push(Output::Send { to, message });
        }
    }

    /// Sends a message once all changes so far are synced to disk.
    fn send_when_durable(&mut self, to: &Member, message: Message) {
        self.writes.send_after_writes(to.clone(), message);
    }

    /// A random time between now and `span` milliseconds from now.
    fn random_moment_within(&mut self, span: Millis) -> Millis {
        self.now + self.rng.rand_range(0..span + 1)
    }

    /// Remembers the highest epoch seen: the next campaign uses a higher one.
    fn observe_epoch(&mut self, number: Epoch) {
        self.highest_seen = self.highest_seen.max(number);
    }

    /// The newest epoch record that this member has accepted.
    fn accepted_record(&self) -> Option<&EpochRecord> {
        self.durable.record.as_ref()
    }

    /// Whether the own disk fails or has not completed a write in time.
    fn disk_is_stalled(&self) -> bool {
        self.writes
            .is_stalled(self.now, self.settings.timings.disk_stall_timeout_ms)
    }
}
