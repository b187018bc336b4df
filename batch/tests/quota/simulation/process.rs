//! The primary of one group, in one incarnation of its process and one epoch.

use alderhollow_batch::quota::{Account, Coordinator, CoordinatorId, SubmissionId};
use std::collections::BTreeMap;

pub(super) const ROUTE: &str = "route";

/// A waiting client.
#[derive(Debug, Clone, Copy)]
pub(super) struct Client {
    pub tokens: u64,
    pub since_ms: u64,
}

/// A primary.
#[derive(Debug)]
pub(super) struct Process {
    pub group: usize,
    pub epoch: u64,
    pub session: u64,
    /// Epochs of all groups as last read from the core.
    pub epochs: Vec<u64>,
    /// States of the core in flight, by time of arrival.
    pub core_update: BTreeMap<u64, Vec<u64>>,
    pub active_from_ms: u64,
    pub is_active: bool,
    /// Time at which it stops.
    pub ends_ms: Option<u64>,
    /// Whether a successor is active, so that it cannot commit anything.
    pub is_fenced: bool,
    pub account: Account,
    pub coordinator: Option<Coordinator>,
    /// Jobs that it counts, with their tokens.
    pub counted: BTreeMap<u64, u64>,
    /// Jobs whose commit is pending.
    pub accepting: BTreeMap<u64, Vec<u64>>,
    /// Jobs whose end is pending.
    pub finishing: BTreeMap<u64, Vec<u64>>,
    pub clients: BTreeMap<SubmissionId, Client>,
}

impl Process {
    pub(super) fn new(
        group: usize,
        session: u64,
        epochs: Vec<u64>,
        home: usize,
        active_from_ms: u64,
    ) -> Process {
        let epoch = epochs[group];
        let account = Account::new(group as u32, epoch, session, ROUTE.to_owned(), epochs[home]);
        Process {
            group,
            epoch,
            session,
            epochs,
            core_update: BTreeMap::new(),
            active_from_ms,
            is_active: false,
            ends_ms: None,
            is_fenced: false,
            account,
            coordinator: None,
            counted: BTreeMap::new(),
            accepting: BTreeMap::new(),
            finishing: BTreeMap::new(),
            clients: BTreeMap::new(),
        }
    }

    pub(super) fn is_alive(&self, now_ms: u64) -> bool {
        self.ends_ms.is_none_or(|ends_ms| now_ms < ends_ms)
    }

    pub(super) fn used(&self) -> u64 {
        self.counted.values().sum()
    }

    /// Starts to serve, after all jobs of its group were read.
    pub(super) fn activate(&mut self, counted: BTreeMap<u64, u64>, is_home: bool) {
        self.is_active = true;
        self.counted = counted;
        let id = CoordinatorId {
            epoch: self.epoch,
            session: self.session,
        };
        self.coordinator = is_home.then(|| Coordinator::new(id, self.epochs.clone()));
    }

    /// Applies the states of the core that have arrived.
    pub(super) fn read_core_update(&mut self, now_ms: u64, home: usize) {
        while let Some(entry) = self
            .core_update
            .first_entry()
            .filter(|entry| *entry.key() <= now_ms)
        {
            for (known, new) in self.epochs.iter_mut().zip(entry.remove()) {
                *known = new.max(*known);
            }
        }
        self.account
            .set_coordinator_epoch(now_ms, self.epochs[home]);
    }
}

/// Takes the due entries out of a schedule.
pub(super) fn due(schedule: &mut BTreeMap<u64, Vec<u64>>, now_ms: u64) -> Vec<u64> {
    let later = schedule.split_off(&(now_ms + 1));
    std::mem::replace(schedule, later)
        .into_values()
        .flatten()
        .collect()
}
