//! The control group: how the requests of other customers ended at the same backend at the same time.

use super::requests::Tally;
use super::windows::ControlSample;
use crate::sessions::{Backend, Customer};
use indexmap::IndexMap;
use std::collections::{BTreeMap, VecDeque};

/// Seconds before a request that its control group is taken from.
const CONTROL_BACK_S: u64 = 3;
/// Seconds after a request that its control group is taken from: a second is evaluated when the next one is over.
pub(super) const CONTROL_AHEAD_S: u64 = 1;
/// How far back, in seconds, the control group reaches if the seconds nearby hold too few requests.
pub(super) const CONTROL_MAX_BACK_S: u64 = 30;
/// Minimum number of requests of a control group.
const MIN_CONTROL_REQUESTS: u32 = 6;
/// Failure rate above which a backend is unhealthy.
const MAX_CONTROL_FAILURE_RATE: f64 = 0.1;
/// Failure rate on changed connections above which a backend is unhealthy even if reused ones work, as a backend that
/// takes no new connections.
const MAX_CHANGED_FAILURE_RATE: f64 = 0.8;

/// Requests of one customer at one backend in one second.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct RequestCounts {
    pub(super) in_run: Tally,
    pub(super) between_runs: Tally,
    pub(super) reused: Tally,
    /// Its contribution to the control group of others.
    pub(super) contribution: ControlCounts,
}

/// Requests that count for the control group, as pairs of all requests and failed ones.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct ControlCounts {
    pub(super) reused: [u32; 2],
    pub(super) changed: [u32; 2],
}

impl ControlCounts {
    pub(super) fn add(&mut self, other: &ControlCounts) {
        for at in 0..2 {
            self.reused[at] += other.reused[at];
            self.changed[at] += other.changed[at];
        }
    }

    pub(super) fn subtract(&mut self, other: &ControlCounts) {
        for at in 0..2 {
            self.reused[at] = self.reused[at].saturating_sub(other.reused[at]);
            self.changed[at] = self.changed[at].saturating_sub(other.changed[at]);
        }
    }

    pub(super) fn all(&self) -> [u32; 2] {
        [
            self.reused[0] + self.changed[0],
            self.reused[1] + self.changed[1],
        ]
    }
}

/// Failure rate of a pair of all requests and failed ones.
fn failure_rate(counts: [u32; 2]) -> f64 {
    f64::from(counts[1]) / f64::from(counts[0].max(1))
}

/// Requests of one second at this gateway.
#[derive(Debug, Default)]
pub(super) struct Second {
    pub(super) at: u64,
    pub(super) control: BTreeMap<Backend, ControlCounts>,
    pub(super) entries: IndexMap<(Backend, Customer), RequestCounts>,
}

/// Result of the comparison with others.
pub(super) enum ControlGroup {
    /// The backend served others.
    Healthy(ControlSample),
    /// Others failed as well: the second is excluded.
    Unhealthy,
    /// Too few requests of others: the second is excluded.
    TooFew,
}

/// The control group for a customer at a backend in a second, taken from further back if there are few requests.
pub(super) fn control_group(
    seconds: &VecDeque<Second>,
    index: usize,
    at: u64,
    backend: Backend,
    customer: Customer,
) -> ControlGroup {
    let others = |second: &Second| {
        let mut counts = second.control.get(&backend).copied().unwrap_or_default();
        if let Some(own) = second.entries.get(&(backend, customer)) {
            counts.subtract(&own.contribution);
        }
        counts
    };
    let mut sum = ControlCounts::default();
    for second in seconds
        .iter()
        .skip(index)
        .take_while(|second| second.at <= at + CONTROL_AHEAD_S)
    {
        sum.add(&others(second));
    }
    let mut is_far = false;
    for second in seconds.iter().take(index).rev() {
        let back = at - second.at;
        if back > CONTROL_MAX_BACK_S
            || (back > CONTROL_BACK_S && sum.all()[0] >= MIN_CONTROL_REQUESTS)
        {
            break;
        }
        is_far |= back > CONTROL_BACK_S;
        sum.add(&others(second));
    }
    if !is_far && sum.reused[0] >= MIN_CONTROL_REQUESTS {
        let refused = sum.changed[0] >= MIN_CONTROL_REQUESTS
            && failure_rate(sum.changed) > MAX_CHANGED_FAILURE_RATE;
        return if refused || failure_rate(sum.reused) > MAX_CONTROL_FAILURE_RATE {
            ControlGroup::Unhealthy
        } else {
            ControlGroup::Healthy(ControlSample {
                control: sum.reused,
                changed: sum.changed,
            })
        };
    }
    match sum.all() {
        few if few[0] < MIN_CONTROL_REQUESTS => ControlGroup::TooFew,
        all if failure_rate(all) > MAX_CONTROL_FAILURE_RATE => ControlGroup::Unhealthy,
        all => ControlGroup::Healthy(ControlSample {
            control: all,
            changed: sum.changed,
        }),
    }
}
