//! The durable state of a member, and the log entries that change it.
//!
//! A running member and one that recovers apply the same entries with the same code, so that memory and disk agree. The
//! indexes in `#[n(..)]` are the disk format and never change.

use super::interface::{
    Epoch, EpochRecord, MemberId, Recovered, RecoveryError, StateMachine, Version,
};
use super::message::StateCopy;
use minicbor::{Decode, Encode};

/// A log entry: one change of the durable state.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub(super) enum Entry {
    /// The identity, drawn at random for an empty disk.
    #[n(0)]
    Identity {
        /// The identity.
        #[n(0)]
        id: MemberId,
        /// Whether the disk was initialised at the first start of the whole system, so that it may found the core.
        #[n(1)]
        founder: bool,
    },
    /// A promise to take part in no lower epoch.
    #[n(1)]
    Promised {
        /// The promised epoch.
        #[n(0)]
        number: Epoch,
        /// The candidate.
        #[n(1)]
        to: MemberId,
    },
    /// An accepted epoch record and, where this member is a replica that lacks it, the initial state.
    #[n(2)]
    Installed {
        /// The record.
        #[n(0)]
        record: EpochRecord,
        /// The state; `None` for a replica that has it already and for a member that is no replica.
        #[n(1)]
        state: Option<StateCopy>,
    },
    /// A command that is not known to be committed. All earlier ones are.
    #[n(3)]
    Command {
        /// Version of the state after the command.
        #[n(0)]
        version: Version,
        /// The command, for [`StateMachine::apply`].
        #[cbor(n(1), with = "minicbor::bytes")]
        command: Vec<u8>,
    },
}

/// A snapshot of the complete durable state.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
struct DurableSnapshot {
    #[n(0)]
    id: MemberId,
    #[n(1)]
    founder: bool,
    #[n(2)]
    promised: Epoch,
    #[n(3)]
    promised_to: MemberId,
    #[n(4)]
    record: Option<EpochRecord>,
    #[n(5)]
    state_record: Option<EpochRecord>,
    #[n(6)]
    state: StateCopy,
}

/// How recent a state is: first by the epoch to which it belongs, then by its version.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct StatePosition {
    /// Number of the record to which the state belongs; `None` without a state.
    pub(super) epoch: Option<Epoch>,
    /// Version of the state, including a command that is not known to be committed.
    pub(super) version: Version,
}

/// A command that is on disk but not known to be committed.
#[derive(Debug, Clone, PartialEq, Eq)]
struct PendingCommand {
    version: Version,
    command: Vec<u8>,
}

/// The durable state of a member, including changes whose write is still in flight.
#[derive(Debug, Clone)]
pub(super) struct Durable<S> {
    /// Identity of the disk; `None` before it is drawn.
    pub id: Option<MemberId>,
    /// Whether the disk was initialised at the first start of the whole system.
    pub founder: bool,
    /// The promised epoch: the member takes part in no lower one.
    pub promised: Epoch,
    /// The candidate to which it promised.
    pub promised_to: MemberId,
    /// The newest epoch record that it has accepted.
    pub record: Option<EpochRecord>,
    /// The newest accepted record that names it as a replica: its state belongs to this record.
    pub state_record: Option<EpochRecord>,
    state: S,
    version: Version,
    pending: Option<PendingCommand>,
}

impl<S: StateMachine> Durable<S> {
    /// Restores the state from the contents of a disk. `state` is the empty state.
    pub(super) fn recover(recovered: &Recovered, state: S) -> Result<Self, RecoveryError> {
        let mut durable = Durable {
            id: None,
            founder: false,
            promised: 0,
            promised_to: 0,
            record: None,
            state_record: None,
            state,
            version: 0,
            pending: None,
        };
        if let Some(snapshot) = &recovered.snapshot {
            let snapshot: DurableSnapshot =
                minicbor::decode(snapshot).map_err(|_| RecoveryError::Snapshot)?;
            durable.load(snapshot);
        }
        for (position, record) in recovered.records.iter().enumerate() {
            let entry: Entry =
                minicbor::decode(record).map_err(|_| RecoveryError::Record(position))?;
            durable.apply(entry);
        }
        Ok(durable)
    }

    /// Encodes the complete state for a snapshot.
    pub(super) fn snapshot(&self) -> Vec<u8> {
        encode(&DurableSnapshot {
            id: self.id.unwrap_or_default(),
            founder: self.founder,
            promised: self.promised,
            promised_to: self.promised_to,
            record: self.record.clone(),
            state_record: self.state_record.clone(),
            state: self.clone_state(),
        })
    }

    /// Applies a log entry.
    pub(super) fn apply(&mut self, entry: Entry) {
        match entry {
            Entry::Identity { id, founder } => {
                self.id = Some(id);
                self.founder = founder;
            }
            Entry::Promised { number, to } => {
                self.promised = number;
                self.promised_to = to;
            }
            Entry::Installed { record, state } => self.install(record, state),
            Entry::Command { version, command } => {
                self.commit_up_to(version.saturating_sub(1));
                self.pending = Some(PendingCommand { version, command });
            }
        }
    }

    /// The committed state.
    pub(super) fn state(&self) -> &S {
        &self.state
    }

    /// Version of the committed state.
    pub(super) fn version(&self) -> Version {
        self.version
    }

    /// Number of the record to which the state belongs.
    pub(super) fn state_epoch(&self) -> Option<Epoch> {
        self.state_record.as_ref().map(|record| record.number)
    }

    /// Position of the state, including the pending command.
    pub(super) fn position(&self) -> StatePosition {
        StatePosition {
            epoch: self.state_epoch(),
            version: self.accepted_version(),
        }
    }

    /// Version of the state including the pending command, if there is one.
    pub(super) fn accepted_version(&self) -> Version {
        self.pending
            .as_ref()
            .map_or(self.version, |pending| pending.version)
    }

    /// Marks all versions up to this one as committed.
    pub(super) fn commit_up_to(&mut self, version: Version) {
        if self
            .pending
            .as_ref()
            .is_none_or(|pending| pending.version > version)
        {
            return;
        }
        if let Some(pending) = self.pending.take() {
            self.state.apply(&pending.command);
            self.version = pending.version;
        }
    }

    /// A copy of the state, with the pending command.
    pub(super) fn clone_state(&self) -> StateCopy {
        StateCopy {
            version: self.version,
            snapshot: self.state.snapshot().into(),
            pending: self
                .pending
                .as_ref()
                .map(|pending| pending.command.clone().into()),
        }
    }

    /// Replaces everything by a snapshot from disk.
    fn load(&mut self, snapshot: DurableSnapshot) {
        self.id = Some(snapshot.id);
        self.founder = snapshot.founder;
        self.promised = snapshot.promised;
        self.promised_to = snapshot.promised_to;
        self.record = snapshot.record;
        self.state_record = snapshot.state_record;
        self.load_state(snapshot.state);
    }

    /// Accepts an epoch record, which implies the promise of its epoch.
    fn install(&mut self, record: EpochRecord, state: Option<StateCopy>) {
        if record.number >= self.promised {
            self.promised = record.number;
            self.promised_to = record.primary;
        }
        if self.id.is_some_and(|id| record.is_replica(id)) {
            self.state_record = Some(record.clone());
            if let Some(copy) = state {
                self.load_state(copy);
            }
        }
        self.record = Some(record);
    }

    /// Replaces the state. What this member knew to be committed stays committed.
    fn load_state(&mut self, copy: StateCopy) {
        let committed = self.version;
        self.state.restore(&copy.snapshot);
        self.version = copy.version;
        self.pending = copy.pending.map(|command| PendingCommand {
            version: copy.version.saturating_add(1),
            command: command.into(),
        });
        self.commit_up_to(committed);
    }
}

/// Encodes a value. Encoding into memory can't fail.
pub(super) fn encode<T: Encode<()>>(value: &T) -> Vec<u8> {
    minicbor::to_vec(value).unwrap_or_default()
}
