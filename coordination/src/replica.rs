//! Primary-backup replication of a small state, with witnesses that decide failover (`docs/serving-tier.md`, *Core*).
//!
//! [`Replica`] is one member, without I/O: it takes in [`Input`]s and gives [`Output`]s, to be done in order.
//!
//! | module | job |
//! | --- | --- |
//! | `durable`, `write_queue` | what is on disk; writes under way and the messages that wait for them |
//! | `witness` | promises, grants, and everything else that a member does for a primary |
//! | `campaign`, `base` | how a new epoch begins: pre-vote, prepare, install; from which state |
//! | `epoch_rules` | which record may follow, who gets it first, when it is in force |
//! | `primary`, `proposals`, `lease` | heartbeats, commands, the lease |
//! | `membership` | which members and replicas the next epoch should have |
//! | `handover` | planned ends, and a primary whose disk stalls |
//! | `vocabulary` | members, epochs, records |
//! | `inspection` | what a disk holds, for operators |

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
use write_queue::WriteQueue;

/// A restarted primary (whom the witnesses would vote for at once) and founders begin within so long.
const FAST_ELECTION_DELAY_MS: Millis = 20;

/// A member of the core.
pub struct Replica<S: StateMachine> {
    me: Member,
    settings: Settings,
    rng: Rand64,
    now: Millis,
    durable: Durable<S>,
    writes: WriteQueue,
    /// The disk has its identity.
    identity_on_disk: bool,
    /// Number of the record that is on disk, synced.
    record_on_disk: Option<Epoch>,
    /// It promises nothing to others than this one for now.
    grant: Option<Grant>,
    /// It asked for votes or promised lately: others should wait.
    reject_pre_votes_until: Millis,
    /// The highest epoch number that it heard of.
    highest_seen: Epoch,
    /// Attempts to begin an epoch whose time ran out, since the last epoch that this member began.
    attempts_timed_out: u32,
    /// A newer record than its own does not name it.
    excluded: bool,
    /// Its process is about to end.
    leaving: bool,
    /// Until when it waits for a successor before its process ends.
    leave_deadline: Option<Millis>,
    /// The primary of this epoch stopped and named it as the successor.
    predecessor_epoch: Option<Epoch>,
    /// When it becomes a candidate.
    election_at: Millis,
    campaign: Option<Campaign>,
    primary: Option<Primary>,
    /// Messages to itself.
    loopback: VecDeque<Message>,
    outputs: Vec<Output>,
    last_role: Role,
    last_version: Version,
}

impl<S: StateMachine> Replica<S> {
    /// A member with what its disk holds. `state` is the empty state.
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

    /// Takes in what happened and gives what is to be done, in order.
    pub fn handle(&mut self, now: Millis, input: Input, outputs: &mut Vec<Output>) {
        self.now = self.now.max(now);
        match input {
            Input::Tick => {}
            Input::Message { from, message } => self.on_message(from, message),
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

    /// This member, as others are to reach it.
    pub fn member(&self) -> &Member {
        &self.me
    }

    /// Its identity outlives its process. Before that, the host tells no other seed that this one has a disk.
    pub fn identity_is_on_disk(&self) -> bool {
        self.identity_on_disk
    }

    /// The committed state as this member knows it: the newest one only on the primary under its lease.
    pub fn state(&self) -> &S {
        self.durable.state()
    }

    /// Version of [`Replica::state`].
    pub fn version(&self) -> Version {
        self.durable.version()
    }

    /// On the primary: its epoch, once active. Else the newest epoch that this member knows.
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

    /// This member's part.
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

    /// It is the primary, and nobody else is at this moment. To be asked at the moment of use.
    pub fn holds_lease(&self, now: Millis) -> bool {
        now < self.lease_until()
    }

    /// End of the lease; 0: none.
    pub fn lease_until(&self) -> Millis {
        self.primary.as_ref().map_or(0, |primary| {
            primary.lease_until(self.settings.timings.lease_ms)
        })
    }

    /// The primary, as far as known: a hint for those who look for it.
    pub fn primary(&self) -> Option<&Member> {
        let record = self.durable.record.as_ref()?;
        record.member(record.primary)
    }

    /// All members, as far as known.
    pub fn members(&self) -> &[Member] {
        self.durable
            .record
            .as_ref()
            .map_or(&[], |record| &record.witnesses)
    }

    /// The members are being changed: a majority of the former ones is needed too.
    pub fn is_changing_members(&self) -> bool {
        self.durable
            .record
            .as_ref()
            .is_some_and(|record| !record.former_witnesses.is_empty())
    }

    /// It is no member: the host is to ask the primary again and again ([`Input::Join`] there).
    pub fn wants_to_join(&self) -> bool {
        self.role() == Role::Outside && !self.leaving
    }

    /// It takes [`Input::Found`]: its disk was made at the first start of the system and belongs to no core yet.
    ///
    /// A seed answers others who ask with its disk's identity (once [`Replica::identity_is_on_disk`]) and with
    /// [`Replica::is_founder`].
    pub fn may_found(&self) -> bool {
        self.durable.founder && self.durable.record.is_none()
    }

    /// The newest record that this member has; on the primary of an active epoch, that one. For inspection.
    pub fn record(&self) -> Option<&EpochRecord> {
        self.primary
            .as_ref()
            .map(|primary| &primary.record)
            .or(self.accepted_record())
    }

    /// Its disk was made at the first start of the system.
    pub fn is_founder(&self) -> bool {
        self.durable.founder
    }

    /// When [`Input::Tick`] is due.
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

    /// An identity for an empty disk.
    fn maybe_draw_identity(&mut self, id: MemberId) {
        if self.durable.id.is_none() {
            self.log(Entry::Identity {
                id,
                founder: self.settings.first_start,
            });
        }
    }

    fn on_message(&mut self, from: Member, message: Message) {
        match message {
            Message::PreVote(pre_vote) => self.on_pre_vote(&from, pre_vote),
            Message::PreVoteAnswer(answer) => self.on_pre_vote_answer(&from, answer),
            Message::Prepare(prepare) => self.on_prepare(&from, prepare),
            Message::Promise(promise) => self.on_promise(&from, *promise),
            Message::Rejection(rejection) => self.on_rejection(&from, rejection),
            Message::Install(install) => self.on_install(&from, *install),
            Message::Installed(installed) => self.on_installed(&from, installed),
            Message::Write(write) => self.on_write(&from, write),
            Message::Written(written) => self.on_written(&from, written),
            Message::Heartbeat(heartbeat) => self.on_heartbeat(&from, heartbeat),
            Message::HeartbeatAnswer(answer) => self.on_heartbeat_answer(&from, answer),
            Message::HandOver(hand_over) => self.on_hand_over(&from, hand_over),
            Message::Leaving => self.on_member_leaving(&from),
        }
    }

    fn on_persisted(&mut self, token: Token) {
        let Some(finished) = self.writes.on_write_finished(token) else {
            return;
        };
        self.identity_on_disk = true;
        self.record_on_disk = finished.record_number;
        for (to, message) in finished.sends {
            self.send(to, message);
        }
    }

    /// Does what is due and takes in messages to itself, until nothing is left.
    fn run_until_idle(&mut self) {
        loop {
            while let Some(message) = self.loopback.pop_front() {
                self.on_message(self.me.clone(), message);
            }
            self.on_time();
            let record_number = self.durable.record.as_ref().map(|record| record.number);
            let durable = &self.durable;
            let sends = self.writes.flush(
                self.now,
                record_number,
                || durable.image(),
                &mut self.outputs,
            );
            for (to, message) in sends {
                self.send(to, message);
            }
            if self.loopback.is_empty() {
                return;
            }
        }
    }

    fn on_time(&mut self) {
        self.check_leave_deadline();
        self.check_campaign();
        self.check_primary();
        if self.may_campaign() && self.now >= self.election_at {
            self.start_pre_vote();
        }
    }

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

    /// Changes what is on disk: at once in memory, with the next flush on the disk itself.
    fn log(&mut self, entry: Entry) {
        self.writes.append(encode(&entry));
        self.durable.apply(entry);
    }

    fn send(&mut self, to: Member, message: Message) {
        if to.id == self.me.id {
            self.loopback.push_back(message);
        } else {
            self.outputs.push(Output::Send { to, message });
        }
    }

    /// Sends once everything is on disk that was changed so far.
    fn send_when_durable(&mut self, to: &Member, message: Message) {
        self.writes.send_after_writes(to.clone(), message);
    }

    /// A moment by chance within so long from now.
    fn random_moment_within(&mut self, span: Millis) -> Millis {
        self.now + self.rng.rand_range(0..span + 1)
    }

    fn observe_epoch(&mut self, number: Epoch) {
        self.highest_seen = self.highest_seen.max(number);
    }

    fn accepted_record(&self) -> Option<&EpochRecord> {
        self.durable.record.as_ref()
    }

    fn disk_is_stalled(&self) -> bool {
        self.writes
            .is_stalled(self.now, self.settings.timings.disk_stall_timeout_ms)
    }
}
