//! The verdicts that a gateway applies: their order by fencing token and sequence, and their expiry.

use super::{Verdict, CONFIRMATION_TTL, SECOND};
use crate::protocol::Micros;
use crate::sessions::{Customer, FencingToken, Pooling};
use std::collections::BTreeMap;
use thiserror::Error;

/// Time for which a gateway applies a verdict after the customer's owner was last seen alive.
pub const VERDICT_TTL: Micros = 30 * SECOND;

/// The same for `session`, which has private connections.
pub const SESSION_VERDICT_TTL: Micros = 600 * SECOND;

/// Why a gateway rejected a verdict.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum VerdictRejection {
    /// The fencing token is outdated.
    #[error("a verdict of epoch {} and version {} was received after one of epoch {} and version {}: its owner was \
             replaced; if this continues, look at `owner` and `shards` of the gateway that sent it", received.epoch,
             received.version, known.epoch, known.version)]
    Superseded {
        /// Token of the verdict.
        received: FencingToken,
        /// The highest token known.
        known: FencingToken,
    },
    /// A later verdict is known.
    #[error("a verdict was received after a later one of the same owner: datagrams were late or duplicated; no action is needed")]
    Outdated,
    /// The verdict would be relaxed on a minority side.
    #[error("a relaxed verdict was received while this gateway reaches no majority: it waits; look at `fleet` for unreachable gateways")]
    Minority,
    /// The table is full.
    #[error(
        "the table of {0} verdicts is full: customers without a verdict are handled as `unknown`"
    )]
    Full(usize),
}

/// Verdicts that a gateway applies.
#[derive(Debug, Default)]
pub struct VerdictTable {
    verdicts: BTreeMap<Customer, (Verdict, Micros)>,
    highest: FencingToken,
    max_customers: usize,
}

impl VerdictTable {
    /// An empty table with a limit of verdicts.
    pub fn new(max_customers: usize) -> Self {
        VerdictTable {
            max_customers,
            ..VerdictTable::default()
        }
    }

    /// Records a fencing token from any source: verdicts with a lower one are rejected.
    pub fn observe_token(&mut self, token: FencingToken) {
        self.highest = self.highest.max(token);
    }

    /// Takes a verdict from the customer's owner.
    ///
    /// # Errors
    /// If the verdict is outdated, would be relaxed on a minority side, or exceeds the limit.
    pub fn on_verdict(
        &mut self,
        now: Micros,
        verdict: Verdict,
        may_relax: bool,
    ) -> Result<(), VerdictRejection> {
        if verdict.token < self.highest {
            return Err(VerdictRejection::Superseded {
                received: verdict.token,
                known: self.highest,
            });
        }
        self.highest = verdict.token;
        let in_force = self.in_force(now, verdict.customer, now, may_relax);
        if let Some((known, _)) = self.verdicts.get(&verdict.customer) {
            if known.token == verdict.token && known.sequence >= verdict.sequence {
                return Err(VerdictRejection::Outdated);
            }
        } else if self.verdicts.len() >= self.max_customers {
            // `unknown` is the default without a verdict; of the others, old ones may be of customers that have left.
            let old = |at: &Micros| now.saturating_sub(*at) >= CONFIRMATION_TTL;
            self.verdicts
                .retain(|_, (known, at)| known.pooling != Pooling::Unknown && !old(at));
            if self.verdicts.len() >= self.max_customers {
                return Err(VerdictRejection::Full(self.max_customers));
            }
        }
        if !may_relax && verdict.pooling < in_force {
            return Err(VerdictRejection::Minority);
        }
        self.verdicts.insert(verdict.customer, (verdict, now));
        Ok(())
    }

    /// The last verdict for a customer, and when it was received.
    pub fn verdict(&self, customer: Customer) -> Option<(&Verdict, Micros)> {
        self.verdicts
            .get(&customer)
            .map(|(verdict, at)| (verdict, *at))
    }

    /// The classification that applies now. `owner` is the time at which the customer's owner was last seen alive.
    pub fn in_force(
        &self,
        now: Micros,
        customer: Customer,
        owner: Micros,
        may_relax: bool,
    ) -> Pooling {
        let Some((verdict, at)) = self.verdicts.get(&customer) else {
            return Pooling::Unknown;
        };
        let fresh = now.saturating_sub(owner.max(*at)) < ttl(verdict.pooling);
        if fresh || (!may_relax && verdict.pooling > Pooling::Unknown) {
            verdict.pooling
        } else {
            Pooling::Unknown
        }
    }
}

fn ttl(pooling: Pooling) -> Micros {
    if pooling == Pooling::Session {
        SESSION_VERDICT_TTL
    } else {
        VERDICT_TTL
    }
}
