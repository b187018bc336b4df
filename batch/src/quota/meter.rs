//! Meter of the queued and rejected tokens of each tenant, with one reading per period, which the gateways use for their
//! probabilistic admission of batch jobs. A tenant is a batch route. Owned by the quota coordinator.

use super::message::QuotaReading;
use std::collections::BTreeMap;

/// Minimum length of a period.
const PERIOD_MS: u64 = 500;
/// Low bits of a period's number that are counted within one epoch; the epoch is above them.
const PERIOD_BITS: u32 = 32;

/// The meters of all tenants.
#[derive(Debug, Default)]
pub struct Meter {
    epoch: u64,
    tenants: BTreeMap<String, Tenant>,
}

#[derive(Debug, Default)]
struct Tenant {
    period: u64,
    began_ms: u64,
    beyond: u64,
    last: Option<Reading>,
}

#[derive(Debug, Clone, Copy)]
struct Reading {
    period: u64,
    began_ms: u64,
    ended_ms: u64,
    waiting: u64,
    beyond: u64,
}

impl Meter {
    /// Records the queued tokens of a route and the tokens that were rejected since the last record. Returns the
    /// newest reading, if there is one.
    pub fn record(
        &mut self,
        now_ms: u64,
        epoch: u64,
        route: &str,
        waiting: u64,
        beyond: u64,
    ) -> Option<QuotaReading> {
        if self.epoch != epoch {
            *self = Meter {
                epoch,
                tenants: BTreeMap::new(),
            };
        }
        let tenant = self
            .tenants
            .entry(route.to_string())
            .or_insert_with(|| Tenant {
                began_ms: now_ms,
                ..Tenant::default()
            });
        tenant.beyond = tenant.beyond.saturating_add(beyond);
        if now_ms.saturating_sub(tenant.began_ms) >= PERIOD_MS {
            tenant.end_period(now_ms, waiting);
        }
        tenant.last.map(|reading| QuotaReading {
            period: (epoch << PERIOD_BITS) | reading.period,
            age_ms: now_ms.saturating_sub(reading.ended_ms),
            length_ms: reading.ended_ms.saturating_sub(reading.began_ms),
            waiting: reading.waiting,
            beyond: reading.beyond,
        })
    }
}

impl Tenant {
    fn end_period(&mut self, now_ms: u64, waiting: u64) {
        self.period += 1;
        self.last = Some(Reading {
            period: self.period,
            began_ms: self.began_ms,
            ended_ms: now_ms,
            waiting,
            beyond: self.beyond,
        });
        self.began_ms = now_ms;
        self.beyond = 0;
    }
}
