//! A simulated disk in memory with fault injection: loss of power at a chosen operation, failed syncs, a full disk.
//!
//! A file durably contains what its last sync covered. After a loss of power each later write is present, missing or
//! torn, independently of the others. A new file becomes durable with its own sync. A failed sync leaves any part of
//! the writes before it, and no later sync covers them.

use crate::disk::{Disk, DiskFile};
use std::collections::BTreeMap;
use std::io;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// Long writes are torn at multiples of this size; shorter ones at any byte.
const SECTOR_BYTES: usize = 512;

/// A simulated disk. Clones are handles to the same disk.
#[derive(Clone)]
pub struct FaultDisk {
    state: Arc<Mutex<State>>,
}

struct State {
    files: BTreeMap<&'static str, Contents>,
    capacity: u64,
    /// Number of modifying operations (writes, truncations, syncs) so far.
    operations: u64,
    power_fails_at: Option<u64>,
    sync_fails_at: Option<u64>,
    process_stops_at: Option<u64>,
    /// Number of power losses so far. Files opened before the last one are unusable.
    power_cycle: u64,
    is_powered: bool,
    random: random::Random,
}

#[derive(Default)]
struct Contents {
    /// The contents that survive a loss of power.
    durable: Vec<u8>,
    current: Vec<u8>,
    unsynced: Vec<Change>,
}

enum Change {
    Write { offset: usize, bytes: Vec<u8> },
    SetLength(usize),
}

impl Change {
    fn apply(&self, bytes: &mut Vec<u8>) {
        match self {
            Change::Write {
                offset,
                bytes: written,
            } => write_into(bytes, *offset, written),
            Change::SetLength(length) => bytes.resize(*length, 0),
        }
    }
}

fn write_into(bytes: &mut Vec<u8>, offset: usize, written: &[u8]) {
    let end = offset + written.len();
    if bytes.len() < end {
        bytes.resize(end, 0);
    }
    if let Some(target) = bytes.get_mut(offset..end) {
        target.copy_from_slice(written);
    }
}

/// A small random generator: the same seed gives the same faults.
mod random {
    /// State of `SplitMix64`.
    pub(super) struct Random(pub u64);

    impl Random {
        /// A random number below `bound`, which must not be 0.
        pub(super) fn below(&mut self, bound: usize) -> usize {
            self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
            let mut mixed = self.0;
            mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
            mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
            ((mixed ^ (mixed >> 31)) % bound.max(1) as u64) as usize
        }
    }
}

impl FaultDisk {
    /// An empty disk of `capacity` bytes. `seed` determines what a loss of power leaves.
    pub fn new(capacity: u64, seed: u64) -> FaultDisk {
        let state = State {
            files: BTreeMap::new(),
            capacity,
            operations: 0,
            power_fails_at: None,
            sync_fails_at: None,
            process_stops_at: None,
            power_cycle: 0,
            is_powered: true,
            random: random::Random(seed),
        };
        FaultDisk {
            state: Arc::new(Mutex::new(state)),
        }
    }

    /// Cuts power at the modifying operation (write, truncation, sync) that comes this many after now, 0 being the next
    /// one. All operations fail from then on, until [`FaultDisk::restore_power`].
    pub fn fail_power_after(&self, operations: u64) {
        let mut state = self.lock();
        state.power_fails_at = Some(state.operations + operations);
    }

    /// Fails the first sync that is at least this many modifying operations after now.
    pub fn fail_sync_after(&self, operations: u64) {
        let mut state = self.lock();
        state.sync_fails_at = Some(state.operations + operations);
    }

    /// Stops the process that uses the disk before the modifying operation that comes this many after now: further
    /// operations fail, and what it wrote stays unchanged. [`FaultDisk::restart_process`] ends this.
    pub fn end_process_after(&self, operations: u64) {
        let mut state = self.lock();
        state.process_stops_at = Some(state.operations + operations);
    }

    /// Lets another process use the disk.
    pub fn restart_process(&self) {
        self.lock().process_stops_at = None;
    }

    /// Changes the capacity, in bytes.
    pub fn set_capacity(&self, capacity: u64) {
        self.lock().capacity = capacity;
    }

    /// Number of modifying operations so far.
    pub fn operations(&self) -> u64 {
        self.lock().operations
    }

    /// Total size of all files, in bytes.
    pub fn used(&self) -> u64 {
        self.lock().used()
    }

    /// Cuts power unless it is off already, and restores it: unsynced writes are present, missing or torn. Files opened
    /// before stay unusable.
    pub fn restore_power(&self) {
        let mut state = self.lock();
        state.lose_unsynced();
        state.power_fails_at = None;
        state.sync_fails_at = None;
        state.process_stops_at = None;
        state.power_cycle += 1;
        state.is_powered = true;
    }

    /// Overwrites bytes of a file, durable contents included.
    pub fn corrupt(&self, name: &'static str, offset: usize, bytes: &[u8]) {
        let mut state = self.lock();
        let contents = state.files.entry(name).or_default();
        write_into(&mut contents.durable, offset, bytes);
        write_into(&mut contents.current, offset, bytes);
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn used(&self) -> u64 {
        self.files
            .values()
            .map(|contents| contents.current.len() as u64)
            .sum()
    }

    fn lose_unsynced(&mut self) {
        let loses_all = self.random.below(8) == 0;
        for contents in self.files.values_mut() {
            let changes = std::mem::take(&mut contents.unsynced);
            if !loses_all {
                apply_some(&changes, &mut contents.durable, &mut self.random);
            }
            contents.current = contents.durable.clone();
        }
    }

    /// Counts a modifying operation; fails if power is off or is cut now, or the process is stopped.
    fn begin(&mut self) -> io::Result<()> {
        self.check_power()?;
        if self
            .process_stops_at
            .is_some_and(|at| self.operations >= at)
        {
            return Err(io::Error::other("the process has ended"));
        }
        if self.power_fails_at.is_some_and(|at| self.operations >= at) {
            self.is_powered = false;
        }
        self.operations += 1;
        Ok(())
    }

    fn check_power(&self) -> io::Result<()> {
        match self.is_powered {
            true => Ok(()),
            false => Err(io::Error::other("no power")),
        }
    }

    fn contents(&mut self, name: &'static str) -> &mut Contents {
        self.files.entry(name).or_default()
    }

    fn change(&mut self, name: &'static str, change: Change) {
        let contents = self.contents(name);
        change.apply(&mut contents.current);
        contents.unsynced.push(change);
    }

    fn write(&mut self, name: &'static str, offset: u64, bytes: &[u8]) -> io::Result<()> {
        self.begin()?;
        let offset = offset as usize;
        let length = self.contents(name).current.len();
        let others = self.used() - length as u64;
        let free_bytes = self.capacity.saturating_sub(others) as usize;
        let fitting = free_bytes
            .max(length)
            .saturating_sub(offset)
            .min(bytes.len());
        let written = bytes.get(..fitting).unwrap_or_default().to_vec();
        if !written.is_empty() {
            self.change(
                name,
                Change::Write {
                    offset,
                    bytes: written,
                },
            );
        }
        self.check_power()?;
        match fitting == bytes.len() {
            true => Ok(()),
            false => Err(io::ErrorKind::StorageFull.into()),
        }
    }

    fn set_length(&mut self, name: &'static str, length: u64) -> io::Result<()> {
        self.begin()?;
        self.change(name, Change::SetLength(length as usize));
        self.check_power()
    }

    fn sync(&mut self, name: &'static str) -> io::Result<()> {
        self.begin()?;
        self.check_power()?;
        let fails = self.sync_fails_at.is_some_and(|at| self.operations > at);
        let State { files, random, .. } = self;
        let contents = files.entry(name).or_default();
        let changes = std::mem::take(&mut contents.unsynced);
        if fails {
            apply_some(&changes, &mut contents.durable, random);
            self.sync_fails_at = None;
            return Err(io::Error::other("the sync failed"));
        }
        changes
            .iter()
            .for_each(|change| change.apply(&mut contents.durable));
        Ok(())
    }
}

/// Applies each change completely, not at all, or in part.
fn apply_some(changes: &[Change], durable: &mut Vec<u8>, random: &mut random::Random) {
    for change in changes {
        match (random.below(3), change) {
            (0, _) => {}
            (1, Change::Write { offset, bytes }) => apply_torn(*offset, bytes, durable, random),
            _ => change.apply(durable),
        }
    }
}

/// Applies a random subset of the chunks of a write.
fn apply_torn(offset: usize, bytes: &[u8], durable: &mut Vec<u8>, random: &mut random::Random) {
    let chunk_bytes = if bytes.len() > 2 * SECTOR_BYTES {
        SECTOR_BYTES
    } else {
        1 + random.below(bytes.len())
    };
    for (index, chunk) in bytes.chunks(chunk_bytes).enumerate() {
        if random.below(2) == 0 {
            write_into(durable, offset + index * chunk_bytes, chunk);
        }
    }
}

impl Disk for FaultDisk {
    fn open(&mut self, name: &'static str) -> io::Result<Box<dyn DiskFile>> {
        let mut state = self.lock();
        state.check_power()?;
        state.contents(name);
        let power_cycle = state.power_cycle;
        drop(state);
        Ok(Box::new(FaultFile {
            disk: self.clone(),
            name,
            power_cycle,
        }))
    }
}

/// A file of a [`FaultDisk`].
struct FaultFile {
    disk: FaultDisk,
    name: &'static str,
    /// Value of [`State::power_cycle`] at which it was opened.
    power_cycle: u64,
}

impl FaultFile {
    fn with<T>(&self, operate: impl FnOnce(&mut State) -> io::Result<T>) -> io::Result<T> {
        let mut state = self.disk.lock();
        match state.power_cycle == self.power_cycle {
            true => operate(&mut state),
            false => Err(io::Error::other("power was lost since the file was opened")),
        }
    }
}

impl DiskFile for FaultFile {
    fn length(&mut self) -> io::Result<u64> {
        self.with(|state| {
            state.check_power()?;
            Ok(state.contents(self.name).current.len() as u64)
        })
    }

    fn read_at(&mut self, offset: u64, buffer: &mut [u8]) -> io::Result<usize> {
        self.with(|state| {
            state.check_power()?;
            let bytes = state
                .contents(self.name)
                .current
                .get(offset as usize..)
                .unwrap_or_default();
            let count = bytes.len().min(buffer.len());
            if let (Some(to), Some(from)) = (buffer.get_mut(..count), bytes.get(..count)) {
                to.copy_from_slice(from);
            }
            Ok(count)
        })
    }

    fn write_at(&mut self, offset: u64, bytes: &[u8]) -> io::Result<()> {
        self.with(|state| state.write(self.name, offset, bytes))
    }

    fn set_length(&mut self, length: u64) -> io::Result<()> {
        self.with(|state| state.set_length(self.name, length))
    }

    fn sync(&mut self) -> io::Result<()> {
        self.with(|state| state.sync(self.name))
    }
}
