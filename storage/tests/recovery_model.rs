//! Property test of the journal against an oracle: appends, syncs, compactions, crashes, power losses, failed syncs and
//! a full disk in random order. Acknowledged entries are always recovered, and recovered entries are a prefix of a
//! history that was written.

use alderhollow_storage::{FaultDisk, Journal, Recovered, StorageError};
use proptest::prelude::*;

/// One step of a run.
#[derive(Debug, Clone)]
enum Step {
    Append { padding: usize },
    Sync,
    Compact { padding: usize },
    Kill,
    LosePower,
    LosePowerAfter(u64),
    FailSyncAfter(u64),
    SetCapacity(u64),
}

const LARGE_CAPACITY: u64 = 1 << 30;

fn step() -> impl Strategy<Value = Step> {
    let padding = prop_oneof![6 => 0usize..40, 2 => 400usize..1_500, 1 => 100_000usize..300_000];
    prop_oneof![
        12 => padding.clone().prop_map(|padding| Step::Append { padding }),
        6 => Just(Step::Sync),
        3 => padding.prop_map(|padding| Step::Compact { padding }),
        1 => Just(Step::Kill),
        1 => Just(Step::LosePower),
        2 => (0u64..9).prop_map(Step::LosePowerAfter),
        2 => (0u64..9).prop_map(Step::FailSyncAfter),
        1 => (0u64..3_000).prop_map(Step::SetCapacity),
        1 => Just(Step::SetCapacity(LARGE_CAPACITY)),
    ]
}

/// Encodes a record or snapshot: entry numbers, then padding.
fn encode(entries: &[u32], padding: usize) -> Vec<u8> {
    let mut bytes = (entries.len() as u32).to_le_bytes().to_vec();
    bytes.extend(entries.iter().flat_map(|entry| entry.to_le_bytes()));
    bytes.resize(
        bytes.len() + padding,
        entries.last().map_or(7, |entry| *entry as u8),
    );
    bytes
}

fn decode(bytes: &[u8]) -> Vec<u32> {
    let words: Vec<u32> = bytes
        .chunks_exact(4)
        .map(|word| u32::from_le_bytes(word.try_into().unwrap()))
        .collect();
    words[1..=words[0] as usize].to_vec()
}

fn entries_of(recovered: &Recovered) -> Vec<u32> {
    let snapshot = recovered
        .snapshot
        .as_deref()
        .map(decode)
        .unwrap_or_default();
    snapshot
        .into_iter()
        .chain(recovered.records.iter().flat_map(|record| decode(record)))
        .collect()
}

/// The possible contents of the disk.
struct Oracle {
    /// Acknowledged entries.
    synced: Vec<u32>,
    /// Possible histories: the acknowledged entries and those written after them. A failed write starts a new one.
    histories: Vec<Vec<u32>>,
    next_entry: u32,
}

impl Oracle {
    fn new() -> Oracle {
        Oracle {
            synced: Vec::new(),
            histories: vec![Vec::new()],
            next_entry: 0,
        }
    }

    fn current(&mut self) -> &mut Vec<u32> {
        self.histories.last_mut().unwrap()
    }

    fn next(&mut self) -> u32 {
        self.next_entry += 1;
        self.next_entry
    }

    fn acknowledge(&mut self) {
        self.synced = self.current().clone();
        self.histories = vec![self.synced.clone()];
    }

    fn roll_back(&mut self) {
        self.histories.push(self.synced.clone());
    }

    fn check_recovered(&mut self, entries: Vec<u32>) -> Result<(), TestCaseError> {
        prop_assert!(
            entries.starts_with(&self.synced),
            "lost: {:?} of {:?}",
            entries,
            self.synced
        );
        let is_known = self
            .histories
            .iter()
            .any(|history| history.starts_with(&entries));
        prop_assert!(
            is_known,
            "never written: {:?}, attempts {:?}",
            entries,
            self.histories
        );
        self.synced = entries.clone();
        self.histories = vec![entries];
        Ok(())
    }
}

struct Run {
    disk: FaultDisk,
    journal: Journal,
    identity: u64,
    oracle: Oracle,
}

impl Run {
    fn reopen(&mut self) -> Result<(), TestCaseError> {
        for fresh_identity in 1_000.. {
            match Journal::open(&mut self.disk, fresh_identity) {
                Ok((journal, recovered)) => {
                    self.journal = journal;
                    prop_assert_eq!(recovered.identity, self.identity);
                    return self.oracle.check_recovered(entries_of(&recovered));
                }
                Err(StorageError::Io { .. }) => self.disk.restore_power(),
                Err(other) => return Err(TestCaseError::fail(format!("open: {other}"))),
            }
        }
        unreachable!()
    }

    fn lose_power(&mut self) -> Result<(), TestCaseError> {
        self.disk.restore_power();
        self.reopen()
    }

    /// Handles a failed write: after a power loss the process restarts, otherwise it continues.
    fn on_error(&mut self, error: &StorageError) -> Result<(), TestCaseError> {
        match error.to_string().contains("no power") {
            true => self.lose_power(),
            false => Ok(()),
        }
    }

    fn append(&mut self, padding: usize) -> Result<(), TestCaseError> {
        let entry = self.oracle.next();
        self.oracle.current().push(entry);
        if let Err(error) = self.journal.append(&encode(&[entry], padding)) {
            self.oracle.roll_back();
            self.on_error(&error)?;
        }
        Ok(())
    }

    fn sync(&mut self) -> Result<(), TestCaseError> {
        match self.journal.sync() {
            Ok(()) => self.oracle.acknowledge(),
            Err(error) => {
                self.oracle.roll_back();
                self.on_error(&error)?;
            }
        }
        Ok(())
    }

    fn compact(&mut self, padding: usize) -> Result<(), TestCaseError> {
        let snapshot = encode(self.oracle.current(), padding);
        match self.journal.compact(&snapshot) {
            Ok(()) => self.oracle.acknowledge(),
            Err(error) => self.on_error(&error)?,
        }
        Ok(())
    }

    fn apply(&mut self, step: &Step) -> Result<(), TestCaseError> {
        match step {
            Step::Append { padding } => self.append(*padding),
            Step::Sync => self.sync(),
            Step::Compact { padding } => self.compact(*padding),
            Step::Kill => self.reopen(),
            Step::LosePower => self.lose_power(),
            Step::LosePowerAfter(operations) => {
                self.disk.fail_power_after(*operations);
                Ok(())
            }
            Step::FailSyncAfter(operations) => {
                self.disk.fail_sync_after(*operations);
                Ok(())
            }
            Step::SetCapacity(capacity) => {
                self.disk.set_capacity(*capacity);
                Ok(())
            }
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 1_500, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn acknowledged_entries_are_recovered_and_no_unwritten_ones(
        steps in prop::collection::vec(step(), 1..60),
        seed in any::<u64>(),
    ) {
        let mut disk = FaultDisk::new(LARGE_CAPACITY, seed);
        let (journal, recovered) = Journal::open(&mut disk, 77).unwrap();
        let mut run = Run { disk, journal, identity: recovered.identity, oracle: Oracle::new() };
        for step in steps {
            run.apply(&step)?;
        }
        run.lose_power()?;
        // The disk must work again after any sequence of faults.
        run.disk.set_capacity(LARGE_CAPACITY);
        run.append(10)?;
        run.sync()?;
        run.compact(10)?;
        run.append(10)?;
        run.sync()?;
        let expected = run.oracle.synced.clone();
        run.lose_power()?;
        prop_assert_eq!(run.oracle.synced, expected);
    }
}
