//! The coin before the hand-over: refuses a batch job that a fresh reading of the tenant's waiting tokens shows not to
//! fit (`quota_gateway::batch_admission`). The primary's count decides about all others.

use crate::batch_protocol::TenantReading;
use crate::clock::SteadyClock;
use alderhollow_model::config::Route;
use oorandom::Rand64;
use quota_gateway::batch_admission::{BatchAdmission, BatchDecision, MeterReading};
use std::cell::RefCell;

/// The coin of one gateway.
pub struct Admission {
    clock: SteadyClock,
    coin: RefCell<BatchAdmission>,
    random: RefCell<Rand64>,
}

impl Admission {
    /// A coin without readings.
    pub fn new(clock: SteadyClock, seed: u64) -> Admission {
        Admission {
            clock,
            coin: RefCell::default(),
            random: RefCell::new(Rand64::new(u128::from(seed))),
        }
    }

    /// Whether a batch job of so many tokens is handed over.
    pub fn passes(&self, route: &Route, tokens: u64) -> bool {
        let draw = self.random.borrow_mut().rand_float();
        let now = self.clock.now_ms() as f64;
        let mut coin = self.coin.borrow_mut();
        coin.decide(now, &route.name, tokens, route.max_queued_tokens, draw)
            == BatchDecision::Forward
    }

    /// Takes in what the primary read.
    pub fn read(&self, route: &Route, reading: TenantReading) {
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
        self.coin.borrow_mut().read(now, &route.name, reading);
    }
}
