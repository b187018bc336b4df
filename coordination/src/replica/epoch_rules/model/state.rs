//! The states of the model: disks, records, attempts to begin an epoch, primaries.

use crate::replica::base::{choose_base, Base};
use crate::replica::interface::{Ancestor, EpochRecord, Member, MemberId};
use crate::replica::message::Promise;
use std::collections::BTreeMap;

/// Members are numbered from 1.
pub(super) type ModelId = u8;
/// A set of members: one bit each.
pub(super) type MemberSet = u8;

/// Most members, joining ones included.
pub(super) const MAX_MEMBERS: usize = 8;
/// Most records that one can descend from.
pub(super) const MAX_RECORDS: usize = 8;
/// Most commands.
pub(super) const MAX_COMMANDS: usize = 2;
/// Most attempts to begin an epoch that are under way at once.
pub(super) const MAX_CAMPAIGNS: usize = 2;

/// The commands of a state: the epoch in which each was written.
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

/// What a member's disk holds.
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

/// An epoch's record. Its number is its place in the list of all records.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(super) struct Record {
    pub(super) number: u8,
    pub(super) primary: ModelId,
    pub(super) replicas: MemberSet,
    pub(super) witnesses: MemberSet,
    pub(super) former: MemberSet,
    pub(super) follows: u8,
    /// The records that it names as its ancestors; 0 ends them.
    pub(super) lineage: [u8; MAX_RECORDS],
    /// The state with which it begins.
    pub(super) log: Log,
}

/// An attempt to begin an epoch.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(super) struct Campaign {
    pub(super) number: u8,
    pub(super) candidate: ModelId,
    /// By the primary of this active record, to change it.
    pub(super) reconfigures: Option<u8>,
    pub(super) stage: Stage,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(super) enum Stage {
    Preparing { promises: Vec<(ModelId, Disk)> },
    Installing { installed: MemberSet },
}

/// A primary of an active record.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(super) struct Primary {
    pub(super) id: ModelId,
    pub(super) record: u8,
    /// The command under way, and who has it on disk.
    pub(super) write: Option<(Log, MemberSet)>,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(super) struct State {
    pub(super) disks: [Option<Disk>; MAX_MEMBERS],
    pub(super) records: Vec<Record>,
    pub(super) last_number: u8,
    pub(super) campaigns: Vec<Campaign>,
    pub(super) primaries: Vec<Primary>,
    /// The newest committed state, and the epoch in which it was.
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

    /// A record as the replica has it.
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

    /// All disks that are left.
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

    /// The member takes part in another's epoch: its own part is over.
    pub(super) fn step_down(&mut self, id: ModelId) {
        self.campaigns.retain(|campaign| campaign.candidate != id);
        self.primaries.retain(|primary| primary.id != id);
    }

    /// Whom a candidate asks: all members that its disk and the promises so far name.
    pub(super) fn voters(&self, candidate: ModelId, promises: &[(ModelId, Disk)]) -> MemberSet {
        let own = self.disk(candidate).and_then(|disk| disk.record);
        let promised_disk = promises.iter().filter_map(|(_, disk)| disk.record);
        own.into_iter()
            .chain(promised_disk)
            .fold(0, |voters, number| {
                voters | set_of(self.epoch_record(number).everyone())
            })
    }

    /// A record began with the state of another, perhaps over some in between.
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
