//! Inputs and outputs of the stores' processes.

use crate::backends;
use crate::harness::{Event, PollStatus, Simulation, POLL_MS, RUNS, TICK_MS, VALIDATED_MS};
use crate::stores::{read_answer, Answer, Call, Caller, ToProcess, ROUTE};
use alderhollow_batch::api::{BodyOutcome, EndOutcome, Outcome, Output, RunEnd, SubmitOutcome};
use alderhollow_batch::message::Message;
use alderhollow_model::identity::DiskId;

impl Simulation {
    /// Delivers an input to a process; if `incarnation` is set, only to that one.
    pub(crate) fn reach(
        &mut self,
        slot: usize,
        disk: DiskId,
        incarnation: Option<u64>,
        what: ToProcess,
    ) {
        let machine = &mut self.slots[slot];
        let Some(process) = &machine.process else {
            return;
        };
        if machine.disk.id != disk
            || incarnation.is_some_and(|incarnation| incarnation != process.incarnation)
        {
            return;
        }
        if machine.frozen {
            machine.pending_inputs.push((incarnation, what));
            return;
        }
        self.process_takes(slot, what);
        self.pump(slot);
    }

    pub(crate) fn process_takes(&mut self, slot: usize, what: ToProcess) {
        let machine = &mut self.slots[slot];
        let Some(process) = &mut machine.process else {
            return;
        };
        let clock = self.now_ms + process.clock_ahead_ms;
        let (disk, incarnation) = (machine.disk.id, Some(process.incarnation));
        match what {
            ToProcess::Message { from, bytes } => {
                let message = Message::from_bytes(&bytes).expect("a message of a store");
                process.engine.on_message(clock, from, message);
            }
            ToProcess::Written { ticket, length } => {
                machine.disk.sync(length);
                process.engine.on_written(clock, ticket);
                if machine.disk.is_synced() && self.random.rand_float() < 0.02 {
                    machine.disk.compact(process.engine.snapshot(clock));
                }
            }
            ToProcess::Tick => {
                process.engine.on_timer(clock);
                self.after(
                    TICK_MS,
                    Event::ToSlot {
                        slot,
                        disk,
                        incarnation,
                        what: ToProcess::Tick,
                    },
                );
            }
            ToProcess::Poll => {
                let status = Box::new(process.engine.status(clock));
                let incarnation = process.incarnation;
                self.after(
                    POLL_MS,
                    Event::ToSlot {
                        slot,
                        disk,
                        incarnation: Some(incarnation),
                        what: ToProcess::Poll,
                    },
                );
                if !self.slots[slot].partitioned_from_core
                    && self.random.rand_float() >= self.faults.loss
                {
                    let delay_ms = self.delay();
                    self.after(
                        delay_ms,
                        Event::CorePolled {
                            slot,
                            incarnation,
                            disk,
                            sent_local_ms: clock,
                            status,
                        },
                    );
                }
            }
            ToProcess::PollAnswered {
                sent_local_ms,
                group,
                validated,
            } => {
                if let Some(group) = group {
                    process.engine.set_group(clock, group);
                }
                if validated {
                    process
                        .engine
                        .set_validated_until(sent_local_ms + VALIDATED_MS);
                }
            }
            ToProcess::Call { caller, call } => self.process_called(slot, caller, call),
            ToProcess::RunEnded { run, end } => {
                process.runs.remove(&run);
                process.engine.run_ended(clock, run, end);
            }
        }
    }

    pub(crate) fn process_called(&mut self, slot: usize, caller: Caller, call: Call) {
        let Some(process) = &mut self.slots[slot].process else {
            return;
        };
        let clock = self.now_ms + process.clock_ahead_ms;
        let answer = match call {
            Call::Submit { attempt_id, job } => match process.engine.submit(clock, attempt_id, job)
            {
                SubmitOutcome::Pending(token) => {
                    process.waiting.entry(token).or_default().push(caller);
                    return;
                }
                SubmitOutcome::AlreadyAccepted => Answer::Done,
                SubmitOutcome::OverQuota => Answer::OverQuota,
                SubmitOutcome::NotPrimary | SubmitOutcome::NotSure => Answer::NotHere,
                SubmitOutcome::Invalid => panic!("the job is valid"),
            },
            Call::Read { job, after, known } => {
                let answer =
                    read_answer(process.engine.read(clock, &job, after, 300), after, known);
                assert!(!matches!(answer, Answer::NotFound), "LOST: 404 for {job}");
                answer
            }
            Call::Body { job, item_id } => match process.engine.body(clock, &job, &item_id) {
                BodyOutcome::Body(body) => Answer::Body(body.to_vec()),
                BodyOutcome::NotFound => {
                    let listed = read_answer(process.engine.read(clock, &job, 0, usize::MAX), 0, 0);
                    let is_listed = match listed {
                        Answer::Results { results, .. } => {
                            results.iter().any(|result| result.id == item_id)
                        }
                        _ => false,
                    };
                    assert!(
                        is_listed || self.oracle.job(&job).end_requested,
                        "LOST: the body of {item_id}"
                    );
                    Answer::NotFound
                }
                BodyOutcome::NotPrimary | BodyOutcome::NotSure => Answer::NotHere,
            },
            Call::End { job } => match process.engine.end(clock, &job) {
                EndOutcome::Pending(token) => {
                    process.waiting.entry(token).or_default().push(caller);
                    return;
                }
                EndOutcome::AlreadyEnded => Answer::Done,
                EndOutcome::NotFound => panic!("LOST: 404 at the end of {job}"),
                EndOutcome::NotPrimary | EndOutcome::NotSure => Answer::NotHere,
            },
        };
        self.answer(caller, answer);
    }

    /// Sends an answer to a client's gateway.
    pub(crate) fn answer(&mut self, caller: Caller, answer: Answer) {
        if self.random.rand_float() >= self.faults.loss {
            let delay_ms = self.delay();
            self.after(delay_ms, Event::ClientAnswered { caller, answer });
        }
    }

    /// Applies the outputs of a process.
    pub(crate) fn pump(&mut self, slot: usize) {
        let Some(process) = &mut self.slots[slot].process else {
            return;
        };
        let clock = self.now_ms + process.clock_ahead_ms;
        let (incarnation, capacity) =
            (process.incarnation, RUNS.saturating_sub(process.runs.len()));
        let starts = process.engine.take_work(clock, ROUTE, capacity);
        for start in &starts {
            process
                .runs
                .insert(start.run, (start.job.clone(), start.item_id.clone()));
        }
        let outputs = process.engine.take_outputs();
        for start in starts {
            let delay_ms = self.delay();
            self.after(
                delay_ms,
                Event::RunArrives {
                    slot,
                    incarnation,
                    start: Box::new(start),
                },
            );
        }
        for output in outputs {
            self.apply_outputs(slot, incarnation, output);
        }
    }

    pub(crate) fn apply_outputs(&mut self, slot: usize, incarnation: u64, output: Output) {
        let disk = self.slots[slot].disk.id;
        match output {
            Output::Send { to, message } => {
                let Some(target) = self.slots.iter().position(|other| other.disk.id == to) else {
                    return;
                };
                if self.partitions.contains(&(slot, target))
                    || self.partitions.contains(&(target, slot))
                {
                    return;
                }
                let what = ToProcess::Message {
                    from: disk,
                    bytes: message.to_bytes(),
                };
                self.send(target, to, what, true);
            }
            Output::Write { ticket, records } => {
                let length = self.slots[slot].disk.append(records);
                let slowest_ms = self.slots[slot].sync_ms;
                let delay_ms = self.random.rand_range(1..slowest_ms + 1);
                let what = ToProcess::Written { ticket, length };
                self.after(
                    delay_ms,
                    Event::ToSlot {
                        slot,
                        disk,
                        incarnation: Some(incarnation),
                        what,
                    },
                );
            }
            Output::Resolved { token, outcome } => {
                let Some(process) = &mut self.slots[slot].process else {
                    return;
                };
                let callers = process.waiting.remove(&token).unwrap_or_default();
                let answer = match outcome {
                    Outcome::Committed => Answer::Done,
                    Outcome::Unknown => Answer::Unknown,
                };
                callers
                    .into_iter()
                    .for_each(|caller| self.answer(caller, answer.clone()));
            }
            Output::Readable(_) => {}
            Output::CancelRun(run) => {
                if let Some(process) = &mut self.slots[slot].process {
                    process.runs.remove(&run);
                }
            }
        }
    }

    pub(crate) fn core_polled(
        &mut self,
        slot: usize,
        incarnation: u64,
        disk: DiskId,
        sent_local_ms: u64,
        status: PollStatus,
    ) {
        self.core.poll(self.now_ms, disk, status);
        let validated = self.core.validates(disk);
        let what = ToProcess::PollAnswered {
            sent_local_ms,
            group: self.core.group.clone(),
            validated,
        };
        let delay_ms = self.delay();
        self.after(
            delay_ms,
            Event::ToSlot {
                slot,
                disk,
                incarnation: Some(incarnation),
                what,
            },
        );
    }

    /// Delivers an item to a backend, unless its run was cancelled before.
    pub(crate) fn run_arrives(
        &mut self,
        slot: usize,
        incarnation: u64,
        start: alderhollow_batch::api::ItemStart,
    ) {
        let process = self.slots[slot]
            .process
            .as_ref()
            .filter(|process| process.incarnation == incarnation);
        if process.is_some_and(|process| !process.runs.contains_key(&start.run)) {
            return;
        }
        let end = backends::run(&start, &mut self.random);
        if !matches!(end, RunEnd::NotRun { .. } | RunEnd::Postponed { .. }) {
            self.oracle.run_begins(self.now_ms, &start.job);
        }
        let took_ms = self.random.rand_range(20..600);
        let (run, job, item) = (start.run, start.job, start.item_id);
        self.after(
            took_ms,
            Event::RunEnds {
                slot,
                incarnation,
                run,
                job,
                item,
                end,
            },
        );
    }
}
