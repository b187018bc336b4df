//! Which orders were taken, so that one that comes again is acknowledged again however much came between.

use super::request::ConfigOrder;
use minicbor::{Decode, Encode};
use serde_json::{json, Value};
use std::collections::{BTreeSet, VecDeque};

/// How many orders are remembered, the newest ones.
pub const TAKEN_ORDERS: usize = 20_000;

/// The method of an order that concerns the configuration.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Method {
    /// A whole configuration.
    Put,
    /// A change of named items.
    Patch,
}

impl Method {
    fn name(self) -> &'static str {
        match self {
            Method::Put => "PUT",
            Method::Patch => "PATCH",
        }
    }
}

/// A digest of all that an order says: its method, what it builds on, and what its document holds. Two orders that
/// pick the same number for different changes have different ones.
pub fn order_digest(method: Method, order: &ConfigOrder, document: &Value) -> u64 {
    let if_match = order.if_match.as_deref().map(str::trim);
    let parts = json!([method.name(), if_match]);
    let said = crate::configuration::digest(&parts);
    let held = crate::configuration::digest(document);
    crate::configuration::digest(&json!([said, held]))
}

/// The digests of the orders that were taken.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct TakenOrders {
    in_order: VecDeque<u64>,
    known: BTreeSet<u64>,
}

impl TakenOrders {
    /// Whether an order was taken.
    pub fn contains(&self, order: u64) -> bool {
        self.known.contains(&order)
    }

    /// Notes that an order was taken.
    pub fn add(&mut self, order: u64) {
        if !self.known.insert(order) {
            return;
        }
        self.in_order.push_back(order);
        if self.in_order.len() > TAKEN_ORDERS {
            if let Some(oldest) = self.in_order.pop_front() {
                self.known.remove(&oldest);
            }
        }
    }

    /// How many are remembered.
    pub fn len(&self) -> usize {
        self.in_order.len()
    }

    /// Whether none is.
    pub fn is_empty(&self) -> bool {
        self.in_order.is_empty()
    }
}

impl<C> Encode<C> for TakenOrders {
    fn encode<W: minicbor::encode::Write>(
        &self,
        encoder: &mut minicbor::Encoder<W>,
        context: &mut C,
    ) -> Result<(), minicbor::encode::Error<W::Error>> {
        self.in_order.encode(encoder, context)
    }
}

impl<'b, C> Decode<'b, C> for TakenOrders {
    fn decode(
        decoder: &mut minicbor::Decoder<'b>,
        context: &mut C,
    ) -> Result<Self, minicbor::decode::Error> {
        let in_order: VecDeque<u64> = VecDeque::decode(decoder, context)?;
        let mut taken = TakenOrders::default();
        for order in in_order {
            taken.add(order);
        }
        Ok(taken)
    }
}
