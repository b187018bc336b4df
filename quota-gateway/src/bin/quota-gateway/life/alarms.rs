//! The timers that the decision module has asked for.

use quota_gateway::{Gateway, RequestId};
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use tokio::time::Instant;

/// So many are kept before those of requests that are over are looked for.
const FEW: usize = 64;

/// Timers in the order in which they are due. Nearly all are for requests that are over by then: those wake
/// nobody, and take no room for long.
pub(crate) struct Alarms {
    due: BinaryHeap<Reverse<(Instant, u64)>>,
    /// How many there may be before they are looked through.
    most: usize,
}

impl Alarms {
    pub(crate) fn new() -> Alarms {
        Alarms {
            due: BinaryHeap::new(),
            most: FEW,
        }
    }

    /// Sets one, and tells whether it is due before all others.
    pub(crate) fn set(
        &mut self,
        at: Instant,
        token: u64,
        is_open: impl Fn(RequestId) -> bool,
    ) -> bool {
        if self.due.len() >= self.most {
            self.due
                .retain(|Reverse((_, token))| is_of_use(*token, &is_open));
            self.most = (2 * self.due.len()).max(FEW);
            self.due.shrink_to(self.most);
        }
        let is_first = self
            .due
            .peek()
            .is_none_or(|Reverse((first, _))| at < *first);
        self.due.push(Reverse((at, token)));
        is_first
    }

    /// When the next one is due that is still of use. Those before it are forgotten.
    pub(crate) fn next(&mut self, is_open: impl Fn(RequestId) -> bool) -> Option<Instant> {
        loop {
            let Reverse((at, token)) = *self.due.peek()?;
            if is_of_use(token, &is_open) {
                return Some(at);
            }
            self.due.pop();
        }
    }

    /// Takes the one that is due next.
    pub(crate) fn take(&mut self) -> Option<u64> {
        self.due.pop().map(|Reverse((_, token))| token)
    }
}

fn is_of_use(token: u64, is_open: impl Fn(RequestId) -> bool) -> bool {
    Gateway::timer_request(token).is_none_or(is_open)
}

#[cfg(test)]
mod tests;
