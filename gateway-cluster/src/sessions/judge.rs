//! The decision about a customer, as a function of counts alone: a sequential test for each kind of change, and the
//! order in which verdicts may follow each other. Pure functions; used by [`super::verdicts`].
//!
//! # Rule
//!
//! Two questions are tested for each customer, each with its own windows: do requests fail that changed the connection
//! *within a run*, and do those that changed it *between runs*? Each test is Wald's sequential probability ratio test
//! (A. Wald, "Sequential Tests of Statistical Hypotheses", 1945) between two failure rates of requests on changed
//! connections, as fractions of 1:
//!
//! ```text
//!     c  = (control failures + 1/2) / (control requests + 50)
//!     k  = (reused failures + 8 c) / (reused requests + 8)           the customer's own rate, shrunk towards the control's
//!     o  = others' changed failures / (others' changed requests + 20), at most 1/2
//!     hi = max(c, o, k + 2 sqrt(k (1 - k) / (reused requests + 8)))  base rate without a change, upper estimate
//!     lo = min(c, k)                                                 base rate without a change, lower estimate
//!     p0 = b + 0.15 (1 - b),  p1 = b + 0.60 (1 - b)                  b = hi to convict, b = lo to acquit
//!     L  = f ln(p1 / p0) + (n - f) ln((1 - p1) / (1 - p0))           f failures in n requests on changed connections
//!
//!     bound       when L(hi) >= ln(20 / 1e-4)  = 12.2                in the newest 1 to 4 windows, of all gateways or of one
//!     suspicious  when L(hi) >= 2                                    in any of the same sums
//!     free        when L(lo) <= -ln(4 / 1e-6) = -15.2 and n >= 20    in the newest 1 to 4 windows of all gateways, if not suspicious
//! ```
//!
//! The likelihood ratio is a martingale with mean 1 under the hypothesis in its denominator, so it ever exceeds `1/e`
//! with probability `e` at most, however often it is tested (Wald 1945; Ville 1939); 20 and 4 are the numbers of sums
//! that are tested. So, for any one start of a window:
//!
//! * a customer whose requests on changed connections fail at rate `p1` or more is found free with probability 1e-6 at
//!   most;
//! * one whose requests on changed connections fail at rate `p0` or less is found bound with probability 1e-4 at most;
//!   at `b` itself, the rate of a stateless customer, the bound falls as `exp(-12.2 h)` with
//!   `b exp(h u) + (1 - b) exp(-h d) = 1` for the steps `u` and `d` of one failure and one success: at `b` = 0.01 (with
//!   `hi` = 0.08) below 1e-9.
//!
//! Wald's bounds are for known rates; `c` and `k` are estimates. For the control group that matters little, for `k` it
//! does: a customer of which 30% of requests fail for reasons of its own, and that has a dozen requests on reused
//! connections, may show a `k` far below. Such customers are found bound wrongly for a while in one case of seven (see
//! [`super`]).
//!
//! Both probabilities are per start of a window. Windows start after 32 requests on changed connections or 30 minutes. A
//! bound customer changes its connection 12 times an hour at each gateway on purpose (see
//! [`super::verdicts::connection_policy`]), and where others take its connection within a run: some 7% of requests in
//! the simulation. So at 10 requests a second four gateways start 320 windows an hour, and the test allows 3e-4 false
//! verdicts an hour for a customer of which just 60% of breaks fail; the bound of 1 in 1,000 customer-hours holds up to
//! some 30 requests a second there. Where breaks fail more often it holds with a margin, as `L` has to fall by 15.2 in
//! steps of 0.75 without a failure between. The assumption behind it may fail: that outcomes of the seconds counted are
//! independent given `c` and `k`.
//!
//! As the newest windows are tested alone as well, this is Page's cumulative sum (1954) in steps of a window: a change
//! of a customer shows in its newest windows, and older ones contribute at most 32 requests against it. The windows of
//! several gateways start at different times, so that new breaks at one may be added to old successes at another; the
//! suspicion threshold keeps such a sum from taking back a verdict that the breaks have just caused.
//!
//! `o` accounts for what fails after any change of connection. It includes the breaks of bound customers that are not
//! found yet, so the first ones take some 25 breaks to be found in a cluster of which a third is bound, and later ones
//! 8; the maximum of 1/2 keeps the customers of a cluster in which all are bound from hiding each other.
//!
//! A customer of which all requests fail has a high `k`: `p0` and `p1` converge, and it stays unknown.

use super::evidence::{Window, WINDOW_REQUESTS};
use super::Pooling;
use serde::{Deserialize, Serialize};

/// Failure rate caused by a change of connection, among requests that would not have failed anyway: at most this for a
/// stateless customer, and at least [`EFFECT`] for a bound one.
pub const NO_EFFECT: f64 = 0.15;
/// See [`NO_EFFECT`].
pub const EFFECT: f64 = 0.60;
/// Probability of `Bound` from one start of a window, for a customer without effect.
pub const FALSE_BOUND: f64 = 1e-4;
/// Probability of `Free` from one start of a window, for a customer with effect.
pub const FALSE_FREE: f64 = 1e-6;
/// Number of sums that are tested for each verdict.
const SUMS_BOUND: f64 = 20.0;
const SUMS_FREE: f64 = 4.0;
/// Minimum number of requests on changed connections for `Free`.
pub const MIN_REQUESTS_TO_SHARE: u32 = 20;
/// Maximum base rate that the failures of others on changed connections can give.
const MAX_OTHERS_RATE: f64 = 0.5;
/// Log likelihood ratio towards bound, in nats, that in any sum prevents `Free`.
const MIN_SUSPICION: f64 = 2.0;
/// Failure rate on reused connections above which nothing is decided about changes.
const MAX_BASE_RATE: f64 = 0.7;

/// Sums over windows.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// Requests on changed connections, and those that failed.
    pub changed: [u32; 2],
    /// Requests on reused connections, and those that failed.
    pub reused: [u32; 2],
    /// Requests of others, and those that failed.
    pub control: [u32; 2],
    /// Requests of others on changed connections, and those that failed.
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

    /// Lower and upper estimate of the failure rate without a change of connection.
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

    /// Log likelihood ratio of [`EFFECT`] against [`NO_EFFECT`] over a base rate, in nats.
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

    /// Log likelihood ratio towards bound, in nats, with the upper base rate.
    pub fn towards_bound(&self) -> f64 {
        let (_, high) = self.base();
        if high >= MAX_BASE_RATE {
            return 0.0;
        }
        self.ratio(high)
    }

    /// Log likelihood ratio towards free, in nats, with the lower base rate.
    pub fn towards_free(&self) -> f64 {
        -self.ratio(self.base().0)
    }
}

/// Result of the test for one kind of change.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Found {
    /// Not enough evidence.
    Undecided,
    /// A change of connection breaks the customer's requests.
    Bound,
    /// A change of connection does not matter.
    Free,
}

/// The test, on the windows of each gateway, newest first. The result does not depend on the order of the gateways.
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
        // Each gateway is also tested alone, so that older windows of another gateway cannot hide a change.
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

/// The next verdict. It is restricted at once, and relaxed one step at a time, only if `may_share`.
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

/// Number of successful requests on changed connections until a customer without failures is found free, with a control
/// group without failures.
pub fn requests_to_share() -> u32 {
    let step = ((1.0 - NO_EFFECT) / (1.0 - EFFECT)).ln();
    ((SUMS_FREE / FALSE_FREE).ln() / step).ceil() as u32
}

const _: () = assert!(MIN_REQUESTS_TO_SHARE <= WINDOW_REQUESTS as u32);
