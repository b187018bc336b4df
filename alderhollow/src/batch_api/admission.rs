//! Probabilistic admission check at the gateway: may refuse a batch job that exceeds the quota according to a fresh
//! reading of the tenant's queued tokens (`quota_gateway::batch_admission`). The primary decides about all others.

use crate::batch_protocol::TenantReading;
use crate::clock::SteadyClock;
use alderhollow_model::config::Route;
use oorandom::Rand64;
use quota_gateway::batch_admission::{BatchAdmission, BatchDecision, MeterReading};
use std::cell::RefCell;

/// The admission check of one gateway.
pub struct Admission {
    clock: SteadyClock,
    admission: RefCell<BatchAdmission>,
    random: RefCell<Rand64>,
}

impl Admission {
    /// Creates an admission check without readings.
    pub fn new(clock: SteadyClock, seed: u64) -> Admission {
        Admission {
            clock,
            admission: RefCell::default(),
            random: RefCell::new(Rand64::new(u128::from(seed))),
        }
    }

    /// Whether to submit a batch job of this many tokens to the primary.
    pub fn admits(&self, route: &Route, tokens: u64) -> bool {
        let draw = self.random.borrow_mut().rand_float();
        let now = self.clock.now_ms() as f64;
        let mut admission = self.admission.borrow_mut();
        admission.decide(now, &route.name, tokens, route.max_queued_tokens, draw)
            == BatchDecision::Forward
    }

    /// Records a reading of the primary.
    pub fn record_reading(&self, route: &Route, reading: TenantReading) {
        let now = self.clock.now_ms() as f64;
        let ended = now - reading.age_ms as f64;
        let reading = MeterReading {
            period: reading.period,
            began: ended - reading.length_ms as f64,
            ended,
            waiting: reading.waiting,
            beyond: reading.beyond,
            quota: route.max_queued_tokens,
        };
        self.admission.borrow_mut().read(now, &route.name, reading);
    }
}
