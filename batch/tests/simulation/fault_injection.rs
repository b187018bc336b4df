//! Faults and recoveries.

use crate::disk::SimDisk;
use crate::harness::{
    Event, Simulation, CATCH_UP_MS, FLICKER_MS, LONG_PARTITION_MS, RESTART_MS, STORES,
};
use crate::stores::{Slot, ToProcess};
use alderhollow_model::identity::DiskId;

/// Fraction of the planned group changes after which a disk is lost, and the maximum delay.
const WIPED_AFTER_EXCHANGE: f64 = 0.4;
const AFTER_EXCHANGE_MS: u64 = 500;

impl Simulation {
    /// Applies a fault or a recovery.
    pub(crate) fn on_fault(&mut self, event: Event) {
        let slot = self.random.rand_range(0..STORES as u64) as usize;
        let span_ms = match event {
            Event::Isolate | Event::Halves => self.random.rand_range(LONG_PARTITION_MS),
            _ => self.random.rand_range(100..4_000),
        };
        let is_fault = matches!(
            event,
            Event::Kill { .. }
                | Event::KillAll { .. }
                | Event::Freeze
                | Event::Partition
                | Event::PartitionCore
                | Event::Isolate
                | Event::Flicker { .. }
                | Event::Halves
        );
        if is_fault && self.now_ms < self.no_fault_until_ms {
            return;
        }
        if is_fault {
            self.fault_until_ms = self
                .fault_until_ms
                .max(self.now_ms + span_ms.max(RESTART_MS) + CATCH_UP_MS);
        }
        match event {
            Event::Kill { power } => self.kill(slot, power),
            Event::KillAll { power } => (0..STORES).for_each(|slot| self.kill(slot, power)),
            Event::Restart { slot } => self.restart(slot),
            Event::Freeze => {
                self.slots[slot].frozen = true;
                self.after(span_ms, Event::Thaw { slot });
            }
            Event::Thaw { slot } => self.thaw(slot),
            Event::Partition => {
                let pair = (slot, (slot + 1 + span_ms as usize % (STORES - 1)) % STORES);
                self.partitions.insert(pair);
                self.after(span_ms, Event::Rejoin { pair });
            }
            Event::Rejoin { pair } => drop(self.partitions.remove(&pair)),
            Event::PartitionCore => {
                self.slots[slot].partitioned_from_core = true;
                self.after(span_ms, Event::RejoinCore { slot });
            }
            Event::RejoinCore { slot } => self.slots[slot].partitioned_from_core = false,
            Event::Wipe => self.wipe(slot, false),
            Event::WipeAndPowerLoss => self.wipe(slot, true),
            Event::ExchangeMember => self.exchange_member(),
            Event::Isolate => self.isolate(slot, span_ms),
            Event::RejoinAll { slot } => self.rejoin_all(slot),
            Event::Flicker { slot, times } => self.flicker(slot, times),
            Event::Halves => self.split_into_halves(span_ms),
            Event::WipeInHalves => self.wipe_in_halves(slot),
            Event::RejoinHalves { half } => self.rejoin_halves(half),
            Event::SlowDisk => self.slots[slot].sync_ms = 600,
            Event::Heal => self.heal(),
            _ => unreachable!("not a fault"),
        }
    }

    /// Partitions a store from the others and from the core.
    fn isolate(&mut self, slot: usize, span_ms: u64) {
        for other in (0..STORES).filter(|other| *other != slot) {
            self.partitions.insert((slot, other));
            self.partitions.insert((other, slot));
        }
        self.slots[slot].partitioned_from_core = true;
        self.after(span_ms, Event::RejoinAll { slot });
    }

    fn rejoin_all(&mut self, slot: usize) {
        self.partitions
            .retain(|(from, to)| *from != slot && *to != slot);
        self.slots[slot].partitioned_from_core = false;
    }

    /// Partitions two stores from the two others. Clients reach all of them; the core reaches all, or only one half.
    fn split_into_halves(&mut self, span_ms: u64) {
        let first = self.random.rand_range(0..STORES as u64) as usize;
        let second = (first + 1 + self.random.rand_range(0..STORES as u64 - 1) as usize) % STORES;
        let half = [first, second];
        for one in half {
            for other in (0..STORES).filter(|other| !half.contains(other)) {
                self.partitions.insert((one, other));
                self.partitions.insert((other, one));
            }
        }
        if self.random.rand_float() < 0.5 {
            half.into_iter()
                .for_each(|slot| self.slots[slot].partitioned_from_core = true);
        }
        self.after(span_ms, Event::RejoinHalves { half });
        if self.faults.wipe_in_halves {
            let delay_ms = self.random.rand_range(0..span_ms);
            self.after(delay_ms, Event::WipeInHalves);
        }
    }

    fn rejoin_halves(&mut self, half: [usize; STORES / 2]) {
        self.partitions
            .retain(|(from, to)| half.contains(from) == half.contains(to));
        half.into_iter()
            .for_each(|slot| self.slots[slot].partitioned_from_core = false);
    }

    /// Kills a store repeatedly, each time soon after it has restarted.
    fn flicker(&mut self, slot: usize, times: u32) {
        let power = self.random.rand_float() < 0.5;
        let pause_ms = self.random.rand_range(1..FLICKER_MS);
        self.kill_for(slot, power, pause_ms);
        if times > 0 {
            let uptime_ms = self.random.rand_range(1..FLICKER_MS);
            self.after(
                pause_ms + uptime_ms,
                Event::Flicker {
                    slot,
                    times: times - 1,
                },
            );
        }
    }

    pub(crate) fn kill(&mut self, slot: usize, power: bool) {
        let pause_ms = self.random.rand_range(50..RESTART_MS);
        self.kill_for(slot, power, pause_ms);
    }

    fn kill_for(&mut self, slot: usize, power: bool, pause_ms: u64) {
        if self.slots[slot].process.take().is_none() {
            return;
        }
        match power {
            true => self.slots[slot].disk.lose_power(&mut self.random),
            false => self.slots[slot].disk.lose_unsynced(&mut self.random),
        }
        self.after(pause_ms, Event::Restart { slot });
    }

    /// Loses a disk if the tolerance of one machine allows it: there is no other fault, nor soon will be. At the same
    /// time all others may lose power, or do so if `others_lose_power`.
    pub(crate) fn wipe(&mut self, slot: usize, others_lose_power: bool) {
        let disk = self.slots[slot].disk.id;
        let calm = self.now_ms >= self.fault_until_ms && self.partitions.is_empty();
        let is_well =
            |slot: &Slot| slot.process.is_some() && !slot.frozen && !slot.partitioned_from_core;
        let others = self.core.complete.iter().filter(|other| **other != disk);
        let held = others
            .filter(|other| self.slots.iter().any(|slot| slot.disk.id == **other))
            .count()
            > 0;
        if self.core.group.is_none() || !held || !calm || !self.slots.iter().all(is_well) {
            return;
        }
        self.no_fault_until_ms = self.now_ms + CATCH_UP_MS;
        self.replace_disk(slot, others_lose_power);
    }

    /// Loses one disk per run, possibly during a split partition and regardless of other faults.
    fn wipe_in_halves(&mut self, slot: usize) {
        if self.wiped == 0 && self.core.group.is_some() {
            self.replace_disk(slot, false);
        }
    }

    /// Replaces a disk by an empty one; all others may lose power at the same time.
    fn replace_disk(&mut self, slot: usize, others_lose_power: bool) {
        if others_lose_power || self.random.rand_float() < 0.5 {
            (0..STORES)
                .filter(|other| *other != slot)
                .for_each(|other| self.kill(other, true));
        }
        self.wiped += 1;
        self.slots[slot].process = None;
        self.slots[slot].disk = SimDisk::new(DiskId(100 + self.wiped));
        let delay_ms = self.random.rand_range(50..1_000);
        self.after(delay_ms, Event::Restart { slot });
    }

    /// The core makes a planned change of the group; shortly after, a disk may be lost while all others lose power.
    fn exchange_member(&mut self) {
        if !self.core.exchange_member() {
            return;
        }
        self.exchanged += 1;
        if self.random.rand_float() < WIPED_AFTER_EXCHANGE {
            let delay_ms = self.random.rand_range(0..AFTER_EXCHANGE_MS);
            self.after(delay_ms, Event::WipeAndPowerLoss);
        }
    }

    pub(crate) fn restart(&mut self, slot: usize) {
        if self.slots[slot].process.is_some() {
            return;
        }
        self.newest_incarnation += 1;
        let clock_ahead_ms = self.random.rand_range(0..100_000);
        self.slots[slot].start(self.newest_incarnation, self.now_ms, clock_ahead_ms);
        let (disk, incarnation) = (self.slots[slot].disk.id, Some(self.newest_incarnation));
        self.after(
            1,
            Event::ToSlot {
                slot,
                disk,
                incarnation,
                what: ToProcess::Tick,
            },
        );
        self.after(
            1,
            Event::ToSlot {
                slot,
                disk,
                incarnation,
                what: ToProcess::Poll,
            },
        );
    }

    pub(crate) fn thaw(&mut self, slot: usize) {
        if !std::mem::take(&mut self.slots[slot].frozen) {
            return;
        }
        let disk = self.slots[slot].disk.id;
        for (incarnation, what) in std::mem::take(&mut self.slots[slot].pending_inputs) {
            self.reach(slot, disk, incarnation, what);
        }
    }

    pub(crate) fn heal(&mut self) {
        self.faults.loss = 0.0;
        self.partitions.clear();
        for slot in 0..STORES {
            self.slots[slot].partitioned_from_core = false;
            self.slots[slot].sync_ms = 5;
            self.thaw(slot);
            self.restart(slot);
        }
    }
}
