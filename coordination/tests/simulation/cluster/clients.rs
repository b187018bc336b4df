//! Clients: they send requests, retry those whose outcome is unknown, and check the results.

use super::{AfterAcknowledgement, Cluster, Event, Invocation};
use crate::command_log::encode_request;
use crate::machine::Machine;
use alderhollow_coordination::replica::interface::{Input, Outcome, ProposeError, Role, Token};

impl Cluster {
    /// Sends a client request to a machine: a new one, or a retry of one whose outcome is unknown.
    pub(crate) fn propose_at(&mut self, machine: usize) {
        let Some(process) = &self.machines[machine].process else {
            return;
        };
        let generation = process.generation;
        let again = !self.unknown_outcome.is_empty() && self.random(3) == 0;
        let number = match again {
            true => {
                let number = self.unknown_outcome.swap_remove(0);
                self.retried.insert(number);
                number
            }
            false => {
                self.next_request += 1;
                self.next_request
            }
        };
        self.next_token += 1;
        let token = self.next_token;
        let invocation = Invocation {
            request: number,
            newest_acknowledged: self.oracle.newest_acknowledged(),
        };
        self.requests.insert((generation, token), invocation);
        self.handle_input(
            machine,
            Input::Propose {
                token,
                request: encode_request(number),
            },
        );
    }

    pub(super) fn on_proposed(
        &mut self,
        number: usize,
        generation: u64,
        token: Token,
        result: &Result<Outcome, ProposeError>,
    ) {
        let Invocation {
            request,
            newest_acknowledged,
        } = self
            .requests
            .remove(&(generation, token))
            .expect("a proposal ends once");
        self.trace(|| format!("{number}: request {request}: {result:?}"));
        match result {
            Ok(Outcome::Committed(version)) => {
                self.oracle.check_acknowledged(request, *version);
                self.oracle
                    .check_linearizable(request, *version, newest_acknowledged);
                self.acknowledged_at.push(self.now);
                self.inject_after_acknowledgement(number);
            }
            Ok(Outcome::Answered(_)) => self.oracle.check_answered(request),
            Err(ProposeError::Unknown) => self.unknown_outcome.push(request),
            Err(ProposeError::NotPrimary | ProposeError::Overloaded) => {
                if !self.retried.contains(&request) {
                    self.oracle.check_rejected(request);
                }
            }
        }
    }

    fn inject_after_acknowledgement(&mut self, number: usize) {
        match self.after_acknowledgement.take() {
            None => {}
            Some(AfterAcknowledgement::PowerLoss) => {
                let span = 50 + self.random(900);
                self.kill_for(number, span);
            }
            Some(AfterAcknowledgement::Wipe { count }) if count <= self.disks_to_spare() => {
                let others = (number + 1..number + self.machines.len())
                    .map(|other| other % self.machines.len());
                let running = |other: &usize| self.machines[*other].process.is_some();
                let others: Vec<usize> = others.filter(running).collect();
                let span = 50 + self.random(900);
                self.wipe_for(number, span);
                for (position, other) in others.into_iter().enumerate() {
                    match position + 1 < count {
                        true => self.wipe_for(other, span),
                        false => self.kill_for(other, span),
                    }
                }
            }
            Some(AfterAcknowledgement::Wipe { .. }) => {}
        }
    }

    pub(super) fn client_request(&mut self) {
        let pause = 1 + self.random(2 * self.request_interval_ms);
        self.schedule(self.now + pause, Event::ClientRequest);
        let targets_primary = self.random(10) > 0;
        let is_target = |machine: &&Machine| {
            let running = machine.frozen_until <= self.now;
            let is_primary =
                |process: &crate::machine::Process| process.replica.role() == Role::Primary;
            running
                && machine
                    .process
                    .as_ref()
                    .is_some_and(|process| !targets_primary || is_primary(process))
        };
        let targets: Vec<usize> = self
            .machines
            .iter()
            .filter(is_target)
            .map(|one| one.number)
            .collect();
        if !targets.is_empty() {
            let machine = targets[self.random(targets.len() as u64) as usize];
            self.propose_at(machine);
        }
    }
}
