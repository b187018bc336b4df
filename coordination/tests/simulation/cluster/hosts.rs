//! The hosts of the replicas: they carry out outputs, found the core and request to join.

use super::{Cluster, Event};
use crate::machine::{address_of, Machine};
use alderhollow_coordination::replica::interface::{Input, Member, Millis, Output, Role, Token};
use alderhollow_coordination::replica::message::Message;

/// Interval at which a host checks whether its member can found the core or wants to join.
const HOST_CHECK_MS: Millis = 40;
/// Interval at which the completion of a write on a stalled disk is checked.
const STALL_CHECK_MS: Millis = 20;

impl Cluster {
    /// Passes an input to the replica of a machine and carries out its outputs.
    pub(crate) fn handle_input(&mut self, machine: usize, input: Input) {
        let mut outputs = Vec::new();
        let now = self.machines[machine].clock.reading_at(self.now);
        if let Some(process) = &mut self.machines[machine].process {
            process.leaving |= input == Input::Leave;
            process.replica.handle(now, input, &mut outputs);
        }
        self.check_invariants(machine);
        self.charge_input(machine);
        for output in outputs {
            self.execute_output(machine, output);
        }
        self.schedule_tick(machine);
    }

    pub(super) fn on_start(&mut self, number: usize) {
        let machine = &mut self.machines[number];
        if machine.process.is_some() || machine.removed || machine.starts_at != Some(self.now) {
            return;
        }
        machine.starts_at = None;
        let seed = self.rng.rand_u64();
        machine.start(self.now, self.tolerate, seed);
        self.trace(|| format!("start {number}"));
        self.handle_input(number, Input::Tick);
    }

    pub(super) fn on_tick(&mut self, number: usize, generation: u64) {
        let machine = &mut self.machines[number];
        let frozen_until = machine.frozen_until;
        let Some(process) = &mut machine.process else {
            return;
        };
        if process.generation != generation || process.tick_at != self.now {
            return;
        }
        if frozen_until > self.now {
            process.tick_at = frozen_until;
            return self.schedule(
                frozen_until,
                Event::Tick {
                    machine: number,
                    generation,
                },
            );
        }
        self.handle_input(number, Input::Tick);
    }

    fn schedule_tick(&mut self, number: usize) {
        let (now, clock) = (self.now, self.machines[number].clock);
        let Some(process) = &mut self.machines[number].process else {
            return;
        };
        let Some(at) = process.replica.next_wakeup() else {
            return;
        };
        let at = clock.time_of_reading(at);
        assert!(
            at > now,
            "a member that has done what was due wants to be woken at {at}, and it is {now}"
        );
        if at < process.tick_at || process.tick_at <= now {
            process.tick_at = at;
            let generation = process.generation;
            self.schedule(
                at,
                Event::Tick {
                    machine: number,
                    generation,
                },
            );
        }
    }

    pub(super) fn on_disk_write_done(&mut self, number: usize, generation: u64, token: Token) {
        let machine = &mut self.machines[number];
        if machine
            .process
            .as_ref()
            .is_none_or(|process| process.generation != generation)
        {
            return;
        }
        if machine.frozen_until > self.now {
            let later = machine.frozen_until;
            return self.schedule(
                later,
                Event::DiskDone {
                    machine: number,
                    generation,
                    token,
                },
            );
        }
        if machine.disk.stalled_until > self.now {
            let later = (self.now + STALL_CHECK_MS).min(machine.disk.stalled_until);
            return self.schedule(
                later,
                Event::DiskDone {
                    machine: number,
                    generation,
                    token,
                },
            );
        }
        if !machine.disk.contains(token) {
            return;
        }
        if !machine.disk.is_next(token) {
            return self.schedule(
                self.now + 1,
                Event::DiskDone {
                    machine: number,
                    generation,
                    token,
                },
            );
        }
        if machine.disk.finish(self.now, &mut self.rng, token) {
            self.handle_input(number, Input::Persisted(token));
        } else {
            machine.disk.drop_in_flight();
            self.handle_input(number, Input::PersistFailed(token));
        }
    }

    fn execute_output(&mut self, number: usize, output: Output) {
        // An earlier output may have ended the process.
        let Some(process) = &mut self.machines[number].process else {
            return;
        };
        let generation = process.generation;
        match output {
            Output::Persist {
                token,
                writes,
                replace_all,
            } => {
                let disk = &mut self.machines[number].disk;
                let at = disk.begin_write(self.now, &mut self.rng, token, writes, replace_all);
                self.schedule(
                    at,
                    Event::DiskDone {
                        machine: number,
                        generation,
                        token,
                    },
                );
            }
            Output::Send { to, message } => self.transmit(number, &to, &message),
            Output::Proposed { token, result } => {
                self.on_proposed(number, generation, token, &result);
            }
            Output::HandedOver => process.leave_completed = true,
            Output::RoleChanged(role) => {
                if role == Role::Primary {
                    let id = process.replica.member().id;
                    self.oracle.check_primary(process.replica.epoch(), id);
                }
                self.trace(|| format!("{number} becomes {role:?}"));
            }
            Output::Committed { .. } => {}
        }
    }

    fn transmit(&mut self, from: usize, to: &Member, message: &Message) {
        let address = address_of(to);
        self.trace(|| format!("{from} -> {address} {message:?}"));
        let link_faults = self.link_faults;
        if self.blocked_links.contains(&(from, address))
            || self.random(100) < link_faults.loss_percent
        {
            return;
        }
        let count = if self.random(100) < link_faults.duplicated_percent {
            2
        } else {
            1
        };
        let Some(sender) = self.machines[from].member() else {
            return;
        };
        for _ in 0..count {
            let is_delayed = self.random(100) < link_faults.delayed_percent;
            let delay = 1 + if is_delayed {
                self.random(500)
            } else {
                self.random(3)
            };
            let deliver = Event::Deliver {
                to: address,
                from: sender.clone(),
                message: Box::new(message.clone()),
            };
            self.schedule(self.now + delay, deliver);
        }
    }

    pub(super) fn check_hosts(&mut self) {
        self.schedule(self.now + HOST_CHECK_MS, Event::HostCheck);
        self.maybe_found_core();
        for number in 0..self.machines.len() {
            let frozen = self.machines[number].frozen_until > self.now;
            let Some(process) = &self.machines[number].process else {
                continue;
            };
            if process.replica.wants_to_join() && !frozen {
                let member = process.replica.member().clone();
                self.request_join(number, member);
            }
        }
    }

    /// Founds the core once all seeds have identities and a majority of them are founders.
    fn maybe_found_core(&mut self) {
        let may_found = |machine: &Machine| {
            machine
                .process
                .as_ref()
                .is_some_and(|process| process.replica.may_found())
        };
        let ready = |machine: &&Machine| {
            machine
                .process
                .as_ref()
                .is_some_and(|process| process.replica.identity_is_on_disk())
        };
        let is_founder = |machine: &&Machine| {
            machine
                .process
                .as_ref()
                .is_some_and(|process| process.replica.is_founder())
        };
        let seeds = &self.machines[..self.seeds];
        let founders: Vec<&Machine> = seeds.iter().filter(ready).filter(is_founder).collect();
        if seeds.iter().filter(ready).count() < seeds.len() || founders.len() < seeds.len() / 2 + 1
        {
            return;
        }
        let witnesses: Vec<Member> = founders
            .iter()
            .filter_map(|machine| machine.member())
            .collect();
        let founders = founders.into_iter().filter(|machine| may_found(machine));
        let founders: Vec<usize> = founders.map(|machine| machine.number).collect();
        for number in founders {
            if self.random(3) > 0 {
                self.handle_input(
                    number,
                    Input::Found {
                        witnesses: witnesses.clone(),
                    },
                );
            }
        }
    }

    /// Sends a join request to a member that considers itself primary.
    fn request_join(&mut self, number: usize, member: Member) {
        let is_primary = |machine: &&Machine| {
            let primary = machine
                .process
                .as_ref()
                .is_some_and(|process| process.replica.role() == Role::Primary);
            primary && !self.blocked_links.contains(&(number, machine.number))
        };
        let primaries: Vec<usize> = self
            .machines
            .iter()
            .filter(is_primary)
            .map(|one| one.number)
            .collect();
        if primaries.is_empty() {
            return;
        }
        let to = primaries[self.random(primaries.len() as u64) as usize];
        let at = self.now + 1 + self.random(40);
        self.schedule(at, Event::Join { to, member });
    }
}
