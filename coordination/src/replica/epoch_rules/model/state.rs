//! The state of the model: disks, records, campaigns, primaries.

use crate::replica::base::{choose_base, Base};
use crate::replica::interface::{Ancestor, EpochRecord, Member, MemberId};
use crate::replica::message::Promise;
use std::collections::BTreeMap;

/// Identity of a member, from 1.
pub(super) type ModelId = u8;
/// A set of members, one bit each.
pub(super) type MemberSet = u8;

/// Maximum number of members, including those that join.
pub(super) const MAX_MEMBERS: usize = 8;
/// Maximum number of ancestors of a record.
pub(super) const MAX_RECORDS: usize = 8;
/// Maximum number of commands.
pub(super) const MAX_COMMANDS: usize = 2;
/// Maximum number of campaigns at the same time.
pub(super) const MAX_CAMPAIGNS: usize = 2;

/// The replicated state: for each command the epoch in which it was written.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Default)]
pub(super) struct Log {
    pub(super) epochs: [u8; MAX_COMMANDS],
    pub(super) length: u8,
}

impl Log {
    pub(super) fn with(mut self, epoch: u8) -> Log {
        self.epochs[usize::from(self.length)] = epoch;
        self.length += 1;
        self
    }

    pub(super) fn extends(&self, other: &Log) -> bool {
        let shared = usize::from(other.length);
        self.length >= other.length && self.epochs[..shared] == other.epochs[..shared]
    }
}

/// The disk of a member.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(super) struct Disk {
    pub(super) promised: u8,
    pub(super) record: Option<u8>,
    pub(super) state_record: Option<u8>,
    pub(super) log: Log,
}

pub(super) const EMPTY_DISK: Disk = Disk {
    promised: 0,
    record: None,
    state_record: None,
    log: Log {
        epochs: [0; MAX_COMMANDS],
        length: 0,
    },
};

/// An epoch record.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(super) struct Record {
    pub(super) number: u8,
    pub(super) primary: ModelId,
    pub(super) replicas: MemberSet,
    pub(super) witnesses: MemberSet,
    pub(super) former: MemberSet,
    pub(super) follows: u8,
    /// Numbers of its ancestors, terminated by 0.
    pub(super) lineage: [u8; MAX_RECORDS],
    /// The initial state of the epoch.
    pub(super) log: Log,
}

/// An attempt to start an epoch.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(super) struct Campaign {
    pub(super) number: u8,
    pub(super) candidate: ModelId,
    /// The active record, if its primary runs this campaign to change it.
    pub(super) reconfigures: Option<u8>,
    pub(super) stage: Stage,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(super) enum Stage {
    Preparing { promises: Vec<(ModelId, Disk)> },
    Installing { installed: MemberSet },
}

/// The primary of an active record.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(super) struct Primary {
    pub(super) id: ModelId,
    pub(super) record: u8,
    /// The command in flight, and the members that have it on disk.
    pub(super) write: Option<(Log, MemberSet)>,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(super) struct State {
    pub(super) disks: [Option<Disk>; MAX_MEMBERS],
    pub(super) records: Vec<Record>,
    pub(super) last_number: u8,
    pub(super) campaigns: Vec<Campaign>,
    pub(super) primaries: Vec<Primary>,
    /// The newest committed state.
    pub(super) committed: Log,
    /// The newest record that was active.
    pub(super) newest_active: u8,
    pub(super) losses: u8,
    pub(super) joins: u8,
    pub(super) commit_was_lost: bool,
}

pub(super) fn bit(id: ModelId) -> MemberSet {
    1 << (id - 1)
}

pub(super) fn ids(members: MemberSet) -> impl Iterator<Item = ModelId> {
    (1..=MAX_MEMBERS as ModelId).filter(move |id| members & bit(*id) != 0)
}

pub(super) fn member(id: ModelId) -> Member {
    Member {
        id: id.into(),
        node: String::new(),
        zone: String::new(),
        contact: Vec::new(),
    }
}

pub(super) fn id_of(member: MemberId) -> ModelId {
    ModelId::try_from(member).expect("a small number")
}

pub(super) fn set_of<'a>(members: impl IntoIterator<Item = &'a Member>) -> MemberSet {
    members
        .into_iter()
        .fold(0, |set, member| set | bit(id_of(member.id)))
}

impl State {
    pub(super) fn disk(&self, id: ModelId) -> Option<&Disk> {
        self.disks[usize::from(id) - 1].as_ref()
    }

    pub(super) fn disk_mut(&mut self, id: ModelId) -> Option<&mut Disk> {
        self.disks[usize::from(id) - 1].as_mut()
    }

    pub(super) fn record(&self, number: u8) -> &Record {
        self.records
            .iter()
            .find(|record| record.number == number)
            .expect("a record that was made")
    }

    /// The record as the replica represents it.
    pub(super) fn epoch_record(&self, number: u8) -> EpochRecord {
        let record = self.record(number);
        let ancestors = record.lineage.iter().take_while(|ancestor| **ancestor > 0);
        EpochRecord {
            number: record.number.into(),
            primary: record.primary.into(),
            replicas: ids(record.replicas).map(MemberId::from).collect(),
            witnesses: ids(record.witnesses).map(member).collect(),
            former_witnesses: ids(record.former).map(member).collect(),
            follows: record.follows.into(),
            lineage: ancestors.map(|ancestor| self.ancestor(*ancestor)).collect(),
        }
    }

    pub(super) fn ancestor(&self, number: u8) -> Ancestor {
        let record = self.record(number);
        Ancestor {
            number: number.into(),
            replicas: ids(record.replicas).map(MemberId::from).collect(),
            follows: record.follows.into(),
        }
    }

    pub(super) fn promise(&self, disk: &Disk) -> Promise {
        Promise {
            number: 0,
            record: disk.record.map(|number| self.epoch_record(number)),
            state_record: disk.state_record.map(|number| self.epoch_record(number)),
            version: disk.log.length.into(),
            state: None,
        }
    }

    pub(super) fn base(&self, promises: &[(ModelId, Disk)]) -> Option<Base> {
        let promises: BTreeMap<MemberId, Promise> = promises
            .iter()
            .map(|(id, disk)| ((*id).into(), self.promise(disk)))
            .collect();
        choose_base(&promises)
    }

    /// The disks that are not lost.
    pub(super) fn surviving_disks(&self) -> Vec<(ModelId, Disk)> {
        (1..=MAX_MEMBERS as ModelId)
            .filter_map(|id| Some((id, *self.disk(id)?)))
            .collect()
    }

    pub(super) fn primary_of(&self, id: ModelId) -> Option<&Primary> {
        self.primaries.iter().find(|primary| primary.id == id)
    }

    pub(super) fn campaign_of(&self, id: ModelId) -> Option<&Campaign> {
        self.campaigns
            .iter()
            .find(|campaign| campaign.candidate == id)
    }

    /// Ends the campaign and the primary role of a member that takes part in another's epoch.
    pub(super) fn step_down(&mut self, id: ModelId) {
        self.campaigns.retain(|campaign| campaign.candidate != id);
        self.primaries.retain(|primary| primary.id != id);
    }

    /// The members that a candidate asks: those named by its own record and by the promises so far.
    pub(super) fn voters(&self, candidate: ModelId, promises: &[(ModelId, Disk)]) -> MemberSet {
        let own = self.disk(candidate).and_then(|disk| disk.record);
        let promised_disk = promises.iter().filter_map(|(_, disk)| disk.record);
        own.into_iter()
            .chain(promised_disk)
            .fold(0, |voters, number| {
                voters | set_of(self.epoch_record(number).voters())
            })
    }

    /// Whether a record descends from another one, directly or not.
    pub(super) fn descends(&self, number: u8, from: u8) -> bool {
        let mut ancestor = number;
        while ancestor > from {
            ancestor = self.record(ancestor).follows;
        }
        ancestor == from
    }

    pub(super) fn commit(&mut self, log: Log) {
        if !log.extends(&self.committed) && !self.committed.extends(&log) {
            self.commit_was_lost = true;
        }
        if log.length > self.committed.length {
            self.committed = log;
        }
    }
}
