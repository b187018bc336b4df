//! Clients with one job each, and the gateways that they use.

use crate::oracle::Oracle;
use crate::stores::{Answer, Call, ROUTE};
use alderhollow_batch::api::SubmissionAttemptId;
use alderhollow_batch::job::{Header, Item, ItemRequest, JobId, NewJob};
use oorandom::Rand64;

/// Time-out of a gateway for a final outcome of one attempt.
const RETRY_DELAY_MS: u64 = 2_500;
/// Time-out of a gateway for a store's answer.
pub(crate) const CALL_MS: u64 = 700;
/// Maximum number of attempts of a client.
const MAX_ATTEMPTS: u32 = 6;
/// Delay between two attempts, and between two reads.
const PAUSE_MS: u64 = 400;

/// Stage of a client.
#[derive(Debug, Clone, PartialEq, Eq)]
enum Stage {
    /// Submitting.
    Submitting {
        attempt_id: SubmissionAttemptId,
        until_ms: u64,
        unknown: bool,
    },
    /// Between two attempts.
    Pausing,
    /// Reading.
    Reading,
    /// No attempt was accepted.
    GaveUp,
}

/// A client and its gateway.
pub(crate) struct Client {
    pub job: NewJob,
    stage: Stage,
    attempts_left: u32,
    all_refused: bool,
    newest_call: u64,
    ends_at_ms: Option<u64>,
}

/// What a client does next.
pub(crate) enum Step {
    /// Call a store; the call's number.
    Call(u64, Call),
    /// Continue later.
    Wait(u64),
    Nothing,
}

impl Client {
    pub(crate) fn new(number: usize, random: &mut Rand64) -> Client {
        let count = random.rand_range(1..6);
        let items = (0..count)
            .map(|item| new_item(number, item, random))
            .collect();
        let job = NewJob {
            id: JobId(format!("job{number}")),
            route: ROUTE.to_owned(),
            host: "host.example".to_owned(),
            config_version: 0,
            age_ms: 0,
            items,
        };
        let ends_at_ms = (random.rand_float() < 0.25).then(|| random.rand_range(1_000..12_000));
        let attempts_left = MAX_ATTEMPTS;
        Client {
            job,
            stage: Stage::Pausing,
            attempts_left,
            all_refused: true,
            newest_call: 0,
            ends_at_ms,
        }
    }

    /// Whether it reads.
    pub(crate) fn is_reading(&self) -> bool {
        self.stage == Stage::Reading
    }

    /// Takes the next step.
    pub(crate) fn step(&mut self, now_ms: u64, oracle: &mut Oracle, random: &mut Rand64) -> Step {
        match &self.stage {
            Stage::Submitting { .. } => self.submit(),
            Stage::Pausing => {
                if self.attempts_left == MAX_ATTEMPTS {
                    oracle.sent(now_ms, &self.job);
                }
                self.attempts_left -= 1;
                let attempt_id = SubmissionAttemptId(random.rand_u64());
                self.stage = Stage::Submitting {
                    attempt_id,
                    until_ms: now_ms + RETRY_DELAY_MS,
                    unknown: false,
                };
                self.submit()
            }
            Stage::Reading => self.look(now_ms, oracle, random),
            Stage::GaveUp => Step::Nothing,
        }
    }

    /// Submits the job.
    fn submit(&mut self) -> Step {
        let Stage::Submitting { attempt_id, .. } = self.stage else {
            return Step::Nothing;
        };
        self.call(Call::Submit {
            attempt_id,
            job: self.job.clone(),
        })
    }

    /// Reads, asks for a body, or ends the job.
    fn look(&mut self, now_ms: u64, oracle: &mut Oracle, random: &mut Rand64) -> Step {
        let truth = oracle.job(&self.job.id);
        let id = self.job.id.clone();
        if truth.end_acknowledged_ms.is_none()
            && self.ends_at_ms.is_some_and(|at_ms| now_ms >= at_ms)
        {
            truth.end_requested = true;
            return self.call(Call::End { job: id });
        }
        let known = truth.seen.len();
        if random.rand_float() < 0.2 {
            let index = random.rand_range(0..self.job.items.len() as u64) as usize;
            return self.call(Call::Body {
                job: id,
                item_id: self.job.items[index].id.clone(),
            });
        }
        let earlier = random.rand_float() < 0.4;
        let after = if earlier {
            random.rand_range(0..known as u64 + 1) as u32
        } else {
            known as u32
        };
        self.call(Call::Read {
            job: id,
            after,
            known,
        })
    }

    fn call(&mut self, call: Call) -> Step {
        self.newest_call += 1;
        Step::Call(self.newest_call, call)
    }

    /// Handles a time-out of a call.
    pub(crate) fn timed_out(&mut self, now_ms: u64, call: u64, oracle: &mut Oracle) -> Step {
        if call != self.newest_call {
            return Step::Nothing;
        }
        self.newest_call += 1;
        if let Stage::Submitting { .. } = self.stage {
            return self.submitted(now_ms, Answer::Unknown, oracle);
        }
        Step::Wait(PAUSE_MS)
    }

    /// Handles the answer of a store.
    pub(crate) fn answered(
        &mut self,
        now_ms: u64,
        call: u64,
        answer: Answer,
        oracle: &mut Oracle,
    ) -> Step {
        if call != self.newest_call {
            return Step::Nothing;
        }
        self.newest_call += 1;
        if let Stage::Submitting { .. } = self.stage {
            return self.submitted(now_ms, answer, oracle);
        }
        let id = &self.job.id;
        match answer {
            Answer::Done => oracle.job(id).end_acknowledged_ms = Some(now_ms),
            Answer::Results {
                after,
                known,
                total,
                results,
            } => {
                assert_eq!(total as usize, self.job.items.len(), "MIXED: total of {id}");
                oracle.read(now_ms, id, after, known, &results);
            }
            Answer::Body(body) => {
                let known = |item: &Item| {
                    item.request
                        .as_ref()
                        .is_some_and(|request| request.body == body)
                };
                assert!(
                    self.job.items.iter().any(known),
                    "MIXED: other bytes than those of {id}"
                );
            }
            // The item may have a result or its job may have ended; a missing body is checked where it is answered.
            Answer::NotFound | Answer::NotHere | Answer::Unknown => {}
            Answer::OverQuota => panic!("no answer to a read"),
        }
        Step::Wait(PAUSE_MS)
    }

    /// Handles a store's answer to the submission.
    fn submitted(&mut self, now_ms: u64, answer: Answer, oracle: &mut Oracle) -> Step {
        let Stage::Submitting {
            until_ms, unknown, ..
        } = &mut self.stage
        else {
            return Step::Nothing;
        };
        match answer {
            Answer::Done => {
                oracle.accepted(now_ms, &self.job.id);
                self.stage = Stage::Reading;
                return Step::Wait(PAUSE_MS);
            }
            Answer::OverQuota => return self.refused(oracle),
            Answer::NotHere if !*unknown && now_ms >= *until_ms => return self.refused(oracle),
            Answer::NotHere => {}
            Answer::Unknown => *unknown = true,
            other => panic!("unexpected answer to a submission: {other:?}"),
        }
        if now_ms < *until_ms {
            return Step::Wait(100);
        }
        // 504: the outcome is unknown.
        self.all_refused = false;
        self.next_attempt(oracle)
    }

    /// Handles a rejection: the gateway answers 429 or 503.
    fn refused(&mut self, oracle: &mut Oracle) -> Step {
        self.next_attempt(oracle)
    }

    fn next_attempt(&mut self, oracle: &mut Oracle) -> Step {
        if self.attempts_left > 0 {
            self.stage = Stage::Pausing;
            return Step::Wait(PAUSE_MS);
        }
        self.stage = Stage::GaveUp;
        if self.all_refused {
            oracle.refused(&self.job.id);
        }
        Step::Nothing
    }
}

/// An item with ids that differ by job.
fn new_item(client: usize, item: u64, random: &mut Rand64) -> Item {
    let id = format!("item{client}-{item}-{}", random.rand_range(0..1_000));
    let body = id.as_bytes().repeat(3);
    let headers = vec![Header {
        name: "Model".to_owned(),
        value: "m".to_owned(),
    }];
    let request = Some(ItemRequest {
        path: "/path/1".to_owned(),
        headers,
        body,
    });
    Item {
        id,
        tokens: random.rand_range(20..120),
        request,
    }
}
