//! Faults of machines: crashes, lost disks, freezes, blocked links.

use super::{Cluster, Event};
use crate::machine::Machine;
use alderhollow_coordination::replica::interface::Millis;

impl Cluster {
    pub(crate) fn start_at(&mut self, machine: usize, at: Millis) {
        self.machines[machine].starts_at = Some(at);
        self.schedule(at, Event::Start { machine });
    }

    /// Kills a process. A prefix of its unsynced writes is on disk.
    pub(crate) fn kill(&mut self, machine: usize) {
        self.trace(|| format!("kill {machine}"));
        let rng = &mut self.rng;
        let machine = &mut self.machines[machine];
        machine.process = None;
        machine.frozen_until = 0;
        machine.disk.crash(rng);
    }

    pub(crate) fn kill_for(&mut self, machine: usize, span: Millis) {
        self.kill(machine);
        self.start_at(machine, self.now + span);
    }

    /// Kills a process. Its machine returns with an empty disk.
    pub(crate) fn wipe_for(&mut self, machine: usize, span: Millis) {
        self.trace(|| format!("wipe {machine}"));
        self.kill_for(machine, span);
        self.machines[machine].disk = Default::default();
    }

    /// Kills a process. Its machine never returns.
    pub(crate) fn remove(&mut self, machine: usize) {
        self.kill(machine);
        self.machines[machine].removed = true;
        self.machines[machine].starts_at = None;
    }

    /// Adds a machine with an empty disk that starts after `span`.
    pub(crate) fn add(&mut self, span: Millis) -> usize {
        let number = self.machines.len();
        self.trace(|| format!("add {number}"));
        self.machines
            .push(Machine::new(number, format!("node-{number}"), false));
        self.start_at(number, self.now + span);
        number
    }

    /// Freezes a machine; its disk keeps working.
    pub(crate) fn freeze(&mut self, machine: usize, span: Millis) {
        self.trace(|| format!("freeze {machine} for {span}"));
        let until = self.now + span;
        self.machines[machine].frozen_until = self.machines[machine].frozen_until.max(until);
    }

    pub(crate) fn block_link(&mut self, from: usize, to: usize) {
        self.trace(|| format!("cut {from} -> {to}"));
        self.blocked_links.insert((from, to));
    }
}
