//! Clients: they send requests, send those of unknown end again, and check the ends.

use super::{AfterAcknowledgement, Event, Invocation, World};
use crate::command_log::request;
use crate::machine::Machine;
use alderhollow_coordination::replica::interface::{Input, Outcome, ProposeError, Role, Token};

impl World {
    /// A client's request at a machine; a new one, or one whose end is unknown again.
    pub(crate) fn propose_at(&mut self, machine: usize) {
        let Some(process) = &self.machines[machine].process else {
            return;
        };
        let generation = process.generation;
        let again = !self.unknown.is_empty() && self.random(3) == 0;
        let number = match again {
            true => {
                let number = self.unknown.swap_remove(0);
                self.sent_again.insert(number);
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
            newest_told: self.oracle.newest_told(),
        };
        self.requests.insert((generation, token), invocation);
        self.tell(
            machine,
            Input::Propose {
                token,
                request: request(number),
            },
        );
    }

    pub(super) fn proposed(
        &mut self,
        number: usize,
        generation: u64,
        token: Token,
        result: Result<Outcome, ProposeError>,
    ) {
        let Invocation {
            request,
            newest_told,
        } = self
            .requests
            .remove(&(generation, token))
            .expect("a proposal ends once");
        self.trace(|| format!("{number}: request {request}: {result:?}"));
        match result {
            Ok(Outcome::Committed(version)) => {
                self.oracle.saw_acknowledged(request, version);
                self.oracle.saw_in_order(request, version, newest_told);
                self.acknowledged_at.push(self.now);
                self.trouble_after_acknowledgement(number);
            }
            Ok(Outcome::Answered(_)) => self.oracle.saw_answered(request),
            Err(ProposeError::Unknown) => self.unknown.push(request),
            Err(ProposeError::NotPrimary | ProposeError::Overloaded) => {
                if !self.sent_again.contains(&request) {
                    self.oracle.saw_refused(request);
                }
            }
        }
    }

    fn trouble_after_acknowledgement(&mut self, number: usize) {
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
        let pause = 1 + self.random(2 * self.request_every);
        self.schedule(self.now + pause, Event::ClientRequest);
        let asks_primary = self.random(10) > 0;
        let may_be_asked = |machine: &&Machine| {
            let running = machine.frozen_until <= self.now;
            let is_primary =
                |process: &crate::machine::Process| process.replica.role() == Role::Primary;
            running
                && machine
                    .process
                    .as_ref()
                    .is_some_and(|process| !asks_primary || is_primary(process))
        };
        let asked: Vec<usize> = self
            .machines
            .iter()
            .filter(may_be_asked)
            .map(|one| one.number)
            .collect();
        if !asked.is_empty() {
            let machine = asked[self.random(asked.len() as u64) as usize];
            self.propose_at(machine);
        }
    }
}
