//! The decision, as a function of counts.
//!
//! # Rule
//!
//! Two questions are asked of a customer, each with its own windows: do requests fail that changed the connection
//! *within a run*, and do those that changed it *between runs*? Each is Wald's sequential probability ratio test (A. Wald,
//! "Sequential Tests of Statistical Hypotheses", 1945) between two failure rates of changed requests, as parts of 1:
//!
//! ```text
//!     c  = (control failures + 1/2) / (control requests + 50)
//!     k  = (kept failures + 8 c) / (kept requests + 8)               the customer's own rate, drawn towards the control's
//!     o  = others' changed failures / (others' changed requests + 20), at most 1/2
//!     hi = max(c, o, k + 2 sqrt(k (1 - k) / (kept requests + 8)))    what is no fault of the change, generously
//!     lo = min(c, k)                                                 the same, meanly
//!     p0 = b + 0.15 (1 - b),  p1 = b + 0.60 (1 - b)                  b = hi to convict, b = lo to acquit
//!     L  = f ln(p1 / p0) + (n - f) ln((1 - p1) / (1 - p0))           f failures in n changed requests
//!
//!     bound   when L(hi) >= ln(20 / 1e-4)  = 12.2                    in the newest 1 to 4 windows, of all gateways or of one
//!     doubt   when L(hi) >= 2                                        in any of the same sums
//!     free    when L(lo) <= -ln(4 / 1e-6) = -15.2 and n >= 20        in the newest 1 to 4 windows of all gateways, without doubt
//! ```
//!
//! The likelihood ratio is a martingale with mean 1 under the hypothesis in its denominator, so it ever exceeds `1/e` with
//! probability `e` at most, however often one looks (Wald 1945; Ville 1939); 20 and 4 are the sums that are looked at.
//! So, from any one beginning of a window:
//!
//! * a customer whose changed requests fail at `p1` or more is found free with probability 1e-6 at most;
//! * one whose changed requests fail at `p0` or less is found bound with probability 1e-4 at most; at `b` itself, which
//!   is what a stateless customer's do, the bound falls as `exp(-12.2 h)` with `b exp(h u) + (1 - b) exp(-h d) = 1`
//!   for the steps `u` and `d` of one failure and one success: at `b` = 0.01 (with `hi` = 0.08) below 1e-9.
//!
//! Wald's bounds are for rates that are known; `c` and `k` are estimates. For the control that is little, for `k` it is not: a
//! customer that fails 30% by its own requests, and has a dozen kept ones, may show a `k` far below. Such ones are held for bound
//! wrongly for a while in one case of seven (see [`super`]).
//!
//! Both are per beginning. Windows begin after 32 changed requests or 30 minutes. A customer held for bound changes its
//! connection 12 times an hour and gateway on purpose (see [`super::verdicts::hold`]), and where others take its connection within a
//! run: some 7% of requests in the simulation. Four gateways so begin 320 windows an hour for 10 requests a second, and the test
//! allows 3e-4 false verdicts an hour to a customer of which just 60% of breaks fail; the bound of 1 in 1,000 customer-hours
//! holds up to some 30 requests a second there. Where breaks fail more often it holds with room, as `L` has to fall by 15.2
//! in steps of 0.75 without a failure between. What may break that is the assumption under it: outcomes of the
//! seconds counted are independent given `c` and `k`.
//!
//! As the newest windows are looked at alone as well, this is Page's cumulative sum (1954) in steps of a window: a customer
//! that turns is seen from its newest windows, and what was before weighs at most 32 requests against it. Gateways' windows
//! begin at different times, so fresh breaks at one can be added to old successes at another; doubt keeps such a sum from
//! taking back a verdict that the breaks have just brought.
//!
//! `o` is there for what fails whoever changes a connection. It has the breaks of bound customers in it that are not
//! found yet, so the first ones to be found take some 25 breaks in a cluster of which a third is bound, and later ones 8; the half
//! keeps a cluster of bound customers from hiding each other.
//!
//! A customer that fails everything has a high `k`: `p0` and `p1` meet, and it stays unknown.

use super::evidence::{Window, WINDOW_REQUESTS};
use super::Pooling;
use serde::{Deserialize, Serialize};

/// Excess, of what would not have failed anyway, that convicts nobody, and that which a bound customer shows.
pub const NO_EFFECT: f64 = 0.15;
/// See [`NO_EFFECT`].
pub const EFFECT: f64 = 0.60;
/// Chance of `bound` from one beginning, for a customer without effect.
pub const FALSE_BOUND: f64 = 1e-4;
/// Chance of `free` from one beginning, for a customer with effect.
pub const FALSE_FREE: f64 = 1e-6;
/// Sums looked at for each verdict.
const SUMS_BOUND: f64 = 20.0;
const SUMS_FREE: f64 = 4.0;
/// Changed requests without which nobody is free.
pub const MIN_REQUESTS_TO_SHARE: u32 = 20;
/// What others' changed requests excuse at most.
const MAX_OTHERS_RATE: f64 = 0.5;
/// Nats towards bound, in any sum, with which nobody is free.
const MIN_SUSPICION: f64 = 2.0;
/// Where even the customer's kept requests fail this often, nothing is said about changes.
const MAX_BASE_RATE: f64 = 0.7;

/// Sums of windows.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// Changed requests and those that failed.
    pub changed: [u32; 2],
    /// Kept ones.
    pub reused: [u32; 2],
    /// Others'.
    pub control: [u32; 2],
    /// Others' changed ones.
    pub control_changed: [u32; 2],
}

impl Counts {
    /// Adds a window.
    pub fn add(&mut self, window: &Window) {
        let add_to = |sum: &mut [u32; 2], more: [u32; 2]| {
            for (mine, more) in sum.iter_mut().zip(more) {
                *mine = mine.saturating_add(more);
            }
        };
        add_to(
            &mut self.changed,
            [
                u32::from(window.changed.requests),
                window.changed.failures(),
            ],
        );
        add_to(
            &mut self.reused,
            [u32::from(window.reused.requests), window.reused.failures()],
        );
        add_to(&mut self.control, window.control);
        add_to(&mut self.control_changed, window.control_changed);
    }

    /// The lower and the upper of what is no fault of a change.
    fn base(&self) -> (f64, f64) {
        let [requests, failures] = self.control.map(f64::from);
        let control = ((failures + 0.5) / (requests + 50.0)).min(1.0);
        let [requests, failures] = self.reused.map(f64::from);
        let reused = ((failures + 8.0 * control) / (requests + 8.0)).min(1.0);
        let margin = 2.0 * (reused * (1.0 - reused) / (requests + 8.0)).sqrt();
        let [requests, failures] = self.control_changed.map(f64::from);
        let others = (failures / (requests + 20.0)).min(MAX_OTHERS_RATE);
        (
            control.min(reused),
            control.max(reused + margin).max(others),
        )
    }

    /// The log likelihood ratio of [`EFFECT`] against [`NO_EFFECT`] over a base rate, in nats.
    fn ratio(&self, base: f64) -> f64 {
        let base = base.clamp(1e-4, MAX_BASE_RATE);
        let (p0, p1) = (
            base + NO_EFFECT * (1.0 - base),
            base + EFFECT * (1.0 - base),
        );
        let failed = f64::from(self.changed[1].min(self.changed[0]));
        let fine = f64::from(self.changed[0]) - failed;
        failed * (p1 / p0).ln() + fine * ((1.0 - p1) / (1.0 - p0)).ln()
    }

    /// Nats towards bound, with the generous base.
    pub fn towards_bound(&self) -> f64 {
        let (_, high) = self.base();
        if high >= MAX_BASE_RATE {
            return 0.0;
        }
        self.ratio(high)
    }

    /// Nats towards free, with the mean base.
    pub fn towards_free(&self) -> f64 {
        -self.ratio(self.base().0)
    }
}

/// What is known of one kind of change.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Found {
    /// Not enough.
    Undecided,
    /// It breaks the customer's requests.
    Bound,
    /// It does not.
    Free,
}

/// The test, on the windows of each gateway, newest first. Its answer rests on their order at a gateway alone, not on that of gateways.
pub fn test(gateways: &[Vec<Window>]) -> Found {
    let max_windows = gateways.iter().map(Vec::len).max().unwrap_or(0);
    let sum = |gateways: &[Vec<Window>], newest: usize| {
        let mut counts = Counts::default();
        for window in gateways
            .iter()
            .flat_map(|windows| windows.iter().take(newest))
        {
            counts.add(window);
        }
        counts
    };
    let bound = (SUMS_BOUND / FALSE_BOUND).ln();
    let free = (SUMS_FREE / FALSE_FREE).ln();
    let (mut acquitted, mut is_suspicious) = (false, false);
    for newest in 1..=max_windows {
        let all = sum(gateways, newest);
        // A gateway alone is looked at as well: what another saw before a turn must not hide it.
        let each_alone = gateways
            .iter()
            .map(|gateway| sum(std::slice::from_ref(gateway), newest).towards_bound());
        let highest = each_alone.fold(all.towards_bound(), f64::max);
        if highest >= bound {
            return Found::Bound;
        }
        is_suspicious |= highest >= MIN_SUSPICION;
        acquitted |= all.changed[0] >= MIN_REQUESTS_TO_SHARE && all.towards_free() >= free;
    }
    if acquitted && !is_suspicious {
        Found::Free
    } else {
        Found::Undecided
    }
}

/// The next verdict. Towards caution at once; towards sharing one step at a time, and only where `may_share`.
pub fn decide(before: Pooling, in_run: Found, between: Found, may_share: bool) -> Pooling {
    match (before, between, in_run) {
        (_, Found::Bound, _) => Pooling::Session,
        (Pooling::Session, Found::Free, _) if may_share => Pooling::Transaction,
        (Pooling::Session, _, _) => Pooling::Session,
        (_, _, Found::Bound) => Pooling::Transaction,
        (_, Found::Free, Found::Free) if may_share => Pooling::Statement,
        _ => before,
    }
}

/// Changed requests that all go well until a customer without failures is found free, for a control that never fails.
pub fn requests_to_share() -> u32 {
    let step = ((1.0 - NO_EFFECT) / (1.0 - EFFECT)).ln();
    ((SUMS_FREE / FALSE_FREE).ln() / step).ceil() as u32
}

const _: () = assert!(MIN_REQUESTS_TO_SHARE <= WINDOW_REQUESTS as u32);
