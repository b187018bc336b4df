//! Admission control, retries and load balancing of one gateway. The types, events and actions are defined
//! in `src/interface.rs`.
//!
//! Admission follows the random refusal of "Stochastic breakdown model for an unreliable web server
//! system": each gateway refuses a customer's requests with probability 1 - quota / offered. The offered
//! rate over all gateways is taken from the meter, and classes of the lowest worth are refused first.

use crate::balance::{Fleet, Selection};
use crate::interface::{
    Account, Action, AttemptEnd, CustomerId, Effect, Event, HandoverState, InvalidSetting,
    ListKind, LoadEstimates, Millis, Outcome, Request, RequestId, ServerEntry, ServerId, Settings,
};
use crate::quota::{Customer, DISTANT_PAST, METER_LAG_PERIODS, MIN_ADMISSION_PROBABILITY};
use oorandom::Rand64;
use std::collections::BTreeMap;

// ---- Constants. All are dimensionless; times and rates come from the settings. ----

/// A customer is forgotten after being idle for this many times the fill time of its buckets.
const IDLE_FILL_TIMES: f64 = 20.0;
/// Weight of a new sample in moving averages over requests and answers: about the last 20 of them.
const SAMPLE_WEIGHT: f64 = 0.1;
/// Admitted fraction of a new gateway. It starts low because hundreds of gateways may start at once
/// without knowing of each other.
const INITIAL_ADMITTED_FRACTION: f64 = 0.5;
/// Upper bound on the weight of one answer, in latency targets, so that a single late answer at low traffic
/// does not dominate.
const MAX_ANSWER_WEIGHT: f64 = 0.2;
/// Lower bound of the admitted fraction: retries may arrive at a hundred times the servers' capacity.
const MIN_ADMITTED_FRACTION: f64 = 0.01;
/// Fraction of the latency target after which an answer, or an attempt in flight, counts as late: a sign
/// that requests queue.
const LATE_FRACTION: f64 = 0.35;
/// Fraction by which late answers over one latency target reduce the admitted fraction ...
const FRACTION_DECREASE: f64 = 0.7;
/// ... and the growth factor for immediate answers over the same time, applied to the admitted fraction
/// plus `FRACTION_INCREASE_OFFSET`. Answers that are nearly late add nothing.
const FRACTION_INCREASE: f64 = 1.2;
const FRACTION_INCREASE_OFFSET: f64 = 0.1;
/// Attempts in flight per server, over all gateways, that cause no queueing whatever the answer times. Up to
/// its own part of these a gateway admits regardless of the admitted fraction: idle servers give no
/// feedback, so a gateway that refused everything would never recover.
const UNQUEUED_PER_SERVER: f64 = 2.0;
/// Factor on the limit on attempts in flight at each late answer. A timely answer raises the limit by
/// `LIMIT_INCREASE`, and by twice that at a limit of `LIMIT_DOUBLING`: small limits converge to a fair share
/// for each gateway, and one late answer in five is tolerated at any size.
const LIMIT_DECREASE: f64 = 0.95;
const LIMIT_INCREASE: f64 = 0.05;
const LIMIT_DOUBLING: f64 = 5.0;
/// Bound on the size of a request relative to the mean when its expected answer time is scaled.
const MAX_RELATIVE_SIZE: f64 = 4.0;
/// Mean answer times after which an attempt in flight may be followed by a retry.
const RETRY_AFTER_MEANS: f64 = 3.0;
/// Retry budget earned by each first attempt.
const RETRY_RATIO: f64 = 0.15;
/// Fraction of the latency target within which a retry or a queued request must start to be useful.
const USEFUL_FRACTION: f64 = 0.5;
// Kinds of timers, in the two lowest bits of a timer token.
const DEADLINE_TIMER: u64 = 0;
const REVIEW_TIMER: u64 = 1;
const SERVER_LIST_TIMER: u64 = 2;

#[derive(Debug)]
struct Attempt {
    to: ServerEntry,
    sent: Millis,
    in_flight: bool,
    /// Whether its response has started. The attempt has then already been recorded as a success or failure.
    response_started: bool,
    may_have_run: bool,
}

#[derive(Debug)]
struct PendingRequest {
    request: Request,
    arrived: Millis,
    attempts: Vec<Attempt>,
    /// Whether it is queued because its customer has reached its concurrency limit.
    queued: bool,
    answered: bool,
}

/// Admission control, retries and load balancing of one gateway.
#[derive(Debug)]
pub struct Gateway {
    settings: Settings,
    rng: Rand64,
    started: Millis,
    now: Millis,
    customers: BTreeMap<Account, Customer>,
    /// Whether a successor has taken over. Concurrency and ceiling limits then admit nothing more here.
    handed_over: bool,
    /// A time at which the meter published a new period, as closely as readings show.
    meter_update: Option<Millis>,
    last_sweep: Millis,
    /// Refusals since the last sweep for lack of server capacity.
    capacity_refusals: u32,
    was_overloaded: bool,
    /// Refusals since the last sweep because no server was available.
    no_server_refusals: u32,
    requests: BTreeMap<RequestId, PendingRequest>,
    fleet: Fleet,
    /// Class indexes in order of descending worth.
    class_order: Vec<usize>,
    load: LoadEstimates,
    admitted_fraction_updated: Millis,
    /// This gateway's part of the attempts in flight that cause no queueing at the servers.
    unqueued_limit: f64,
    /// When a server last refused a request as overloaded.
    last_overload: Millis,
    retry_budget: f64,
}

/// Updates an exponential moving average.
pub(crate) fn blend(average: &mut f64, sample: f64, weight: f64) {
    *average += weight * (sample - *average);
}

/// Admission probability of one class when a share of all requests is admitted, in the priority `order`.
fn class_probability(share: f64, mix: &[f64], order: &[usize], class: usize) -> f64 {
    let total: f64 = mix.iter().sum();
    let mut left = share * total;
    for &other in order {
        if other == class {
            return if mix[class] > 0.0 {
                (left / mix[class]).clamp(0.0, 1.0)
            } else {
                share
            };
        }
        left = (left - mix[other]).max(0.0);
    }
    share
}

impl Gateway {
    /// A gateway that starts at `now` with an empty server list.
    ///
    /// # Errors
    /// Names the first invalid setting.
    pub fn new(settings: Settings, seed: u64, now: Millis) -> Result<Gateway, InvalidSetting> {
        settings.validate()?;
        let classes = settings.classes.len();
        let mut class_order: Vec<usize> = (0..classes).collect();
        class_order.sort_by(|&a, &b| {
            settings.classes[b]
                .worth
                .total_cmp(&settings.classes[a].worth)
        });
        Ok(Gateway {
            rng: Rand64::new(u128::from(seed)),
            started: now,
            now,
            customers: BTreeMap::new(),
            handed_over: false,
            meter_update: None,
            last_sweep: now,
            capacity_refusals: 0,
            was_overloaded: false,
            no_server_refusals: 0,
            requests: BTreeMap::new(),
            fleet: Fleet::new(&settings, now),
            class_order,
            load: LoadEstimates {
                class_mix: vec![1.0 / classes.max(1) as f64; classes],
                answer_time: settings
                    .classes
                    .iter()
                    .map(|class| class.aim / (2.0 * RETRY_AFTER_MEANS))
                    .collect(),
                mean_units: vec![1.0; classes],
                first_try_timeout: vec![0.0; classes],
                admitted_fraction: INITIAL_ADMITTED_FRACTION,
                in_flight_limit: 1.0,
                slow_start: true,
            },
            admitted_fraction_updated: now,
            unqueued_limit: 0.0,
            last_overload: f64::NEG_INFINITY,
            retry_budget: 1.0,
            settings,
        })
    }

    /// The request that a timer belongs to. Its timers need not fire once the request is finished.
    pub fn timer_request(token: u64) -> Option<RequestId> {
        (token % 4 != SERVER_LIST_TIMER).then_some(token / 4)
    }

    /// Handles one event and appends the resulting actions in order.
    pub fn handle(&mut self, now: Millis, event: Event, actions: &mut Vec<Action>) {
        self.now = self.now.max(now);
        match event {
            Event::Request(request) => self.handle_request(request, actions),
            Event::AttemptEnd(end) => self.attempt_ended(end, false, actions),
            Event::ResponseStarted(end) => self.attempt_ended(end, true, actions),
            Event::StreamStarted(request) | Event::ClientGone(request) => self.complete(request),
            Event::Timer(token) => match (token % 4, token / 4) {
                (DEADLINE_TIMER, request) => self.finish_unserved(request, actions),
                (REVIEW_TIMER, request) => self.review(request, actions),
                _ => actions.push(Action::FollowServers),
            },
            Event::Servers { kind, entries } => self.update_servers(kind, entries, actions),
            Event::ServerDisabled(id) => self.set_enabled(id, None),
            Event::PredecessorInFlight(in_flight) => self.release_queued(&in_flight, actions),
            Event::HandoverAborted => self.handed_over = false,
            Event::ServerEnabled { server, at } => self.set_enabled(server, Some(at.min(self.now))),
        }
    }

    // ---- Admission. ----

    fn handle_request(&mut self, request: Request, actions: &mut Vec<Action>) {
        let expires_in = if request.expires_in.is_finite() {
            request.expires_in.max(0.0)
        } else {
            0.0
        };
        if self.requests.contains_key(&request.id) {
            return;
        }
        let pending = PendingRequest {
            request,
            arrived: self.now,
            attempts: Vec::new(),
            queued: false,
            answered: false,
        };
        self.requests.insert(request.id, pending);
        // Answer before the client times out. Two ticks of the host are the margin for the response's way back.
        let at = self.now + (expires_in - 2.0 * self.settings.tick).max(0.0);
        actions.push(Action::Timer {
            at,
            token: (request.id << 2) + DEADLINE_TIMER,
        });
        let known =
            request.class < self.settings.classes.len() && request.plan < self.settings.plans.len();
        if !known || !request.units.is_finite() || request.units < 0.0 {
            self.refuse(request.id, 0.0, actions);
            return;
        }
        self.sweep(actions);
        let waited = self.already_waited(&request, expires_in);
        if let Some(pending) = self.requests.get_mut(&request.id) {
            pending.arrived -= waited;
        }
        for (class, share) in self.load.class_mix.iter_mut().enumerate() {
            blend(
                share,
                f64::from(u8::from(class == request.class)),
                SAMPLE_WEIGHT / 2.0,
            );
        }
        let share = self.quota_probability(&request);
        blend(
            &mut self.load.mean_units[request.class],
            request.units,
            SAMPLE_WEIGHT / 5.0,
        );
        let (class, answer) = (
            self.settings.classes[request.class],
            self.expected_time(&request),
        );
        let overloaded = self.now < self.last_overload + class.aim;
        let in_flight = self.recent_in_flight(class.aim);
        let unqueued = !overloaded
            && self.rng.rand_float() < self.unqueued_limit - self.recent_in_flight(f64::INFINITY);
        // Guards against a surge that is admitted before its late answers return: above the limit on attempts in
        // flight the probability falls, reaching zero two standard deviations above it. The slack keeps normal
        // variation at low concurrency from causing refusals.
        let slack = 2.0 * self.load.in_flight_limit.sqrt() + 1.0;
        let fraction = if unqueued {
            1.0
        } else {
            ((self.load.in_flight_limit + slack - in_flight) / slack)
                .clamp(0.0, self.load.admitted_fraction)
        };
        // Higher-priced plans get more of the available capacity, but no plan is starved.
        let prices: f64 = self.settings.plans.iter().map(|plan| plan.price).sum();
        let price = self.settings.plans[request.plan].price * self.settings.plans.len() as f64;
        let fraction = if price > 0.0 {
            fraction.powf(prices / price)
        } else {
            fraction
        };
        let (mix, order) = (&self.load.class_mix, &self.class_order);
        // The minimum scales with the admitted fraction: with thousands of retries a second, a fixed minimum
        // would sustain the overload.
        let probability = |fraction: f64| {
            class_probability(share * fraction, mix, order, request.class)
                .max(MIN_ADMISSION_PROBABILITY * fraction)
        };
        let (quota, capacity, draw) = (
            probability(1.0),
            probability(fraction),
            self.rng.rand_float(),
        );
        // Guards against a client's retry that would miss its latency target and spend quota on an answer of
        // reduced worth. A long answer time alone is no reason to refuse: with nothing sent, the estimate would
        // never fall again.
        let late = if waited > 0.0 && waited + answer > class.aim {
            class.late_share.min(1.0)
        } else {
            1.0
        };
        if share <= 0.0 || draw >= quota * late {
            self.refuse(request.id, 0.0, actions);
        } else if draw >= capacity * late {
            self.capacity_refusals += 1;
            self.refuse(request.id, self.settings.max_retry_after, actions);
        } else {
            self.dispatch(request.id, actions);
        }
    }

    /// Estimates how long the client has already waited in earlier tries. A retry with less time left than
    /// first tries get is taken to have used up the rest of the class's deadline.
    fn already_waited(&mut self, request: &Request, expires_in: Millis) -> Millis {
        let max_wait = &mut self.load.first_try_timeout[request.class];
        if !request.repeat {
            *max_wait = max_wait.max(expires_in);
        } else if expires_in < *max_wait - self.settings.tick {
            return (self.settings.classes[request.class].deadline - expires_in).max(0.0);
        }
        0.0
    }

    /// Returns the admission probability under the customer's quota, 0 if the local token bucket is exhausted.
    /// Once per meter period the probability is set to the rate that the quota and the estimated bucket level
    /// allow, divided by the offered rate.
    fn quota_probability(&mut self, request: &Request) -> f64 {
        let (now, started, period) = (self.now, self.started, self.settings.meter_period);
        let plan = self.settings.plans[request.plan];
        let customer = self.customers.entry(request.account());
        let customer =
            customer.or_insert_with(|| Customer::new(&plan, request, started, now, period));
        customer.last_request = now;
        customer.gateways = f64::from(request.spread.max(1));
        if plan.rate <= 0.0 {
            return 1.0;
        }
        customer.decay(&plan, now, period);
        let capacity = customer.refill(&plan, self.settings.max_units, now);
        if now >= customer.probability_set + period {
            customer.set_probability(&plan, self.settings.max_units, now, period);
        }
        // Counted after the probability is set, because conditioning on an arrival would bias the offered rate.
        customer.own_offered.units += request.units;
        // Guards against a burst within a period, which would only incur the cost of exceeding the quota. The last
        // half of the bucket is reserved for classes of higher worth.
        let rank = self
            .class_order
            .iter()
            .position(|class| *class == request.class)
            .unwrap_or(0) as f64;
        let reserved = (capacity / 2.0 * rank / (self.class_order.len() - 1).max(1) as f64)
            .min(capacity - request.units);
        let exhausted = customer.quota_bucket.units < request.units + reserved
            && plan.over_cost > plan.over_worth;
        // Quota left unused because of overload is not available for lending.
        customer.ran_short |= exhausted && !self.was_overloaded && self.capacity_refusals == 0;
        customer.probability * f64::from(u8::from(!exhausted))
    }

    /// Processes a meter reading. A new period is recognized by a changed reading; the readings of all customers
    /// change at the same time.
    fn read_meter(&mut self, account: Account, used: f64) {
        let (now, period) = (self.now, self.settings.meter_period);
        let Some(customer) = self.customers.get_mut(&account) else {
            return;
        };
        let plan = self.settings.plans[customer.plan];
        if plan.rate <= 0.0 || period <= 0.0 || !used.is_finite() {
            return;
        }
        let mut updated = self
            .meter_update
            .map_or(now, |updated| now - (now - updated).rem_euclid(period));
        let changed = used != customer.reading && customer.reading_time > DISTANT_PAST;
        if changed && (self.meter_update.is_none() || updated <= customer.reading_time) {
            updated = now;
            self.meter_update = Some(now);
        }
        customer.reading_time = now;
        let end = updated - METER_LAG_PERIODS * period;
        if end < customer.metered_until + period / 2.0 {
            return;
        }
        customer.apply_reading(&plan, used, end, period, self.settings.max_units);
        customer.set_probability(&plan, self.settings.max_units, now, period);
    }

    /// Updates the admitted fraction and the limit on attempts in flight after one answer, or one overdue.
    /// It follows additive increase and multiplicative decrease, weighted by the time since the last update so
    /// that few and many gateways react alike. The increase is larger the faster the answer, so that idle
    /// servers are found quickly. This guards against overload within the quotas, from a surge or from lost or
    /// slow servers: random refusal as in the paper, with the servers' capacity in place of the quota, gives
    /// early refusals of the classes of lowest worth. It refuses needlessly if answers are slow without a queue.
    fn update_capacity(&mut self, class: usize, elapsed: Millis) {
        let aim = self.settings.classes[class].aim;
        let weight = ((self.now - self.admitted_fraction_updated) / aim).min(MAX_ANSWER_WEIGHT);
        self.admitted_fraction_updated = self.now;
        let earliness = 1.0 - elapsed / (LATE_FRACTION * aim);
        if earliness >= 0.0 {
            self.load.admitted_fraction = (self.load.admitted_fraction
                + FRACTION_INCREASE
                    * earliness
                    * (self.load.admitted_fraction + FRACTION_INCREASE_OFFSET)
                    * weight)
                .min(1.0);
            if 2.0 * (self.recent_in_flight(aim) + 1.0) >= self.load.in_flight_limit {
                self.load.in_flight_limit += if self.load.slow_start {
                    1.0
                } else {
                    LIMIT_INCREASE * (1.0 + self.load.in_flight_limit / LIMIT_DOUBLING)
                };
            }
        } else {
            self.load.slow_start = false;
            self.load.in_flight_limit = (self.load.in_flight_limit * LIMIT_DECREASE)
                .max(self.unqueued_limit)
                .max(1.0);
            self.load.admitted_fraction = (self.load.admitted_fraction
                * (1.0 - FRACTION_DECREASE * weight))
                .max(MIN_ADMITTED_FRACTION);
        }
    }

    /// Attempts in flight that can still meet the target. Older ones are left out so that hung servers do not
    /// block admission.
    fn recent_in_flight(&self, aim: Millis) -> f64 {
        self.fleet.in_flight_since(self.now - aim) as f64
    }

    /// Once a second, logs refusals for lack of capacity or servers and forgets idle customers with full buckets.
    fn sweep(&mut self, actions: &mut Vec<Action>) {
        let now = self.now;
        if now < self.last_sweep + 1000.0 {
            return;
        }
        self.last_sweep = now;
        if (self.capacity_refusals > 0) != self.was_overloaded {
            self.was_overloaded = self.capacity_refusals > 0;
            let text = if self.was_overloaded {
                "pressed"
            } else {
                "pressed no more"
            };
            let fraction = self.load.admitted_fraction;
            actions.push(Action::Log(format!(
                "{text}: the servers have capacity for {fraction:.2} of the load that the quotas admit"
            )));
        }
        if self.no_server_refusals > 0 {
            actions.push(Action::Log(format!(
                "no server available: {} requests refused",
                self.no_server_refusals
            )));
        }
        (self.capacity_refusals, self.no_server_refusals) = (0, 0);
        self.customers.retain(|_, customer| {
            let fill_time = Customer::fill_time(&self.settings.plans[customer.plan]);
            customer.in_flight > 0
                || !customer.queued.is_empty()
                || now < customer.last_request + IDLE_FILL_TIMES * fill_time
        });
    }

    // ---- Hard ceiling. ----

    /// Takes a first attempt's units from this gateway's share of the ceiling. The share is enforced without
    /// coordination. Its bucket fills from the gateway's start, because what an earlier process spent is unknown.
    fn take_ceiling_units(&mut self, request: &Request) -> bool {
        let plan = &self.settings.plans[request.plan];
        if plan.ceiling_rate <= 0.0 {
            return true;
        }
        let customer = self
            .customers
            .get_mut(&request.account())
            .filter(|_| !self.handed_over);
        customer.is_some_and(|customer| customer.take_from_ceiling(plan, request.units, self.now))
    }

    // ---- Load balancing and health. ----

    /// Mean answer time over the classes, weighted by their recent mix.
    fn mean_answer_time(&self) -> f64 {
        self.load
            .answer_time
            .iter()
            .zip(&self.load.class_mix)
            .map(|(time, share)| time * share)
            .sum()
    }

    /// Size of a request relative to the mean of its class. Answer time is taken to be proportional to units.
    fn relative_size(&self, request: &Request, billed: Option<f64>) -> f64 {
        let units = billed
            .filter(|units| units.is_finite())
            .unwrap_or(request.units);
        (units / self.load.mean_units[request.class].max(f64::MIN_POSITIVE))
            .clamp(1.0 / MAX_RELATIVE_SIZE, MAX_RELATIVE_SIZE)
    }

    /// Expected answer time of a request of this class and size.
    fn expected_time(&self, request: &Request) -> Millis {
        self.load.answer_time[request.class] * self.relative_size(request, None)
    }

    /// Number of listed servers that get no requests because an operator disabled them or they failed.
    pub fn excluded(&self, now: Millis) -> usize {
        self.fleet.excluded(now)
    }

    fn choose_server(&mut self, request: RequestId) -> Option<ServerId> {
        let pending = &self.requests[&request];
        let selection = Selection {
            settings: &self.settings,
            now: self.now,
            mean: self.mean_answer_time(),
            effect: self.settings.classes[pending.request.class].effect,
            first_run_on: pending
                .attempts
                .iter()
                .find(|attempt| attempt.may_have_run)
                .map(|attempt| attempt.to),
            tried: pending
                .attempts
                .iter()
                .map(|attempt| attempt.to.id)
                .collect(),
        };
        self.fleet.choose(&selection, &mut self.rng)
    }

    /// Updates the load estimates and the server's health from the outcome of an attempt.
    fn record_outcome(
        &mut self,
        request: &Request,
        id: ServerId,
        end: &AttemptEnd,
        actions: &mut Vec<Action>,
    ) {
        let (now, class, outcome) = (self.now, request.class, end.outcome);
        // Normalized to a warm server and a request of the mean size.
        let elapsed = if end.elapsed.is_finite() {
            end.elapsed.max(0.0)
        } else {
            0.0
        };
        let warmth = self.fleet.warmth(id, &self.settings, now);
        let elapsed = elapsed * warmth.unwrap_or(1.0) / self.relative_size(request, end.billed);
        match outcome {
            Outcome::Ok => self.update_capacity(class, elapsed),
            Outcome::Overloaded | Outcome::TimedOut => {
                self.last_overload = if outcome == Outcome::Overloaded {
                    now
                } else {
                    self.last_overload
                };
                self.update_capacity(class, f64::INFINITY);
            }
            _ => {}
        }
        let (mean, mean_of_class) = (
            self.mean_answer_time(),
            self.load.answer_time[class].max(1.0),
        );
        if outcome == Outcome::Ok && warmth.is_some() {
            blend(
                &mut self.load.answer_time[class],
                elapsed,
                SAMPLE_WEIGHT / 5.0,
            );
        }
        let log_line = self.fleet.record_outcome(
            id,
            now,
            outcome,
            elapsed / mean_of_class,
            mean_of_class,
            mean,
        );
        actions.extend(log_line.map(Action::Log));
    }

    // ---- Attempts. ----

    /// Sends a first attempt, or queues the request while its customer is at its concurrency limit.
    fn dispatch(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let request = self.requests[&id].request;
        let plan = self.settings.plans[request.plan];
        let aim = self.settings.classes[request.class].aim;
        let Some(customer) = self.customers.get_mut(&request.account()) else {
            return;
        };
        // Enforces the concurrency limit over all gateways: each keeps to its part without coordination. The
        // first gateways of the customer's set take the remainder, and each has at least one.
        let position = (self.settings.ordinal + self.settings.gateways).wrapping_sub(request.first);
        let (even, remainder) = (
            plan.open / request.spread.max(1),
            plan.open % request.spread.max(1),
        );
        let part = (even + u32::from(position % self.settings.gateways < remainder)).max(1);
        if plan.open > 0 && self.handed_over {
            self.refuse(id, self.settings.max_retry_after, actions);
            return;
        }
        if plan.open > 0 && customer.in_flight + customer.predecessor_in_flight >= part {
            customer.queued.push_back(id);
            if let Some(pending) = self.requests.get_mut(&id) {
                pending.queued = true;
            }
            actions.push(Action::Timer {
                at: self.now + USEFUL_FRACTION * aim,
                token: (id << 2) + REVIEW_TIMER,
            });
            return;
        }
        match self.choose_server(id) {
            None => {
                self.no_server_refusals += 1;
                self.refuse(id, self.settings.max_retry_after, actions);
            }
            Some(_) if !self.take_ceiling_units(&request) => {
                self.refuse(id, self.settings.max_retry_after, actions);
            }
            Some(server) => {
                // Without a rate these are never read, and would never be removed.
                if let Some(customer) = self
                    .customers
                    .get_mut(&request.account())
                    .filter(|_| plan.rate > 0.0)
                {
                    customer.sends.push_back((self.now, request.units));
                    customer.quota_bucket.units -= request.units;
                }
                self.retry_budget =
                    (self.retry_budget + RETRY_RATIO).min(self.fleet.known() as f64);
                self.send(id, server, actions);
            }
        }
    }

    fn send(&mut self, id: RequestId, to: ServerId, actions: &mut Vec<Action>) {
        let start_by = self
            .requests
            .get(&id)
            .and_then(|pending| self.retry_forbidden_from(pending));
        let Some(pending) = self.requests.get_mut(&id) else {
            return;
        };
        let Some(to) = self.fleet.record_sent(to, self.now) else {
            return;
        };
        pending.queued = false;
        pending.attempts.push(Attempt {
            to,
            sent: self.now,
            in_flight: true,
            response_started: false,
            may_have_run: true,
        });
        if let Some(customer) = self.customers.get_mut(&pending.request.account()) {
            customer.in_flight += 1;
        }
        let capped = self.settings.plans[pending.request.plan].open > 0;
        actions.push(Action::Send {
            request: id,
            server: to.id,
            start_by,
            expire_at: None,
            capped,
        });
        let request = pending.request;
        let delay = RETRY_AFTER_MEANS * self.expected_time(&request);
        let delay = delay.min(USEFUL_FRACTION * self.settings.classes[request.class].aim);
        actions.push(Action::Timer {
            at: self.now + delay,
            token: (id << 2) + REVIEW_TIMER,
        });
    }

    /// The time from which the class forbids a retry to start.
    fn retry_forbidden_from(&self, pending: &PendingRequest) -> Option<Millis> {
        let ran = pending
            .attempts
            .iter()
            .find(|attempt| attempt.may_have_run)?;
        match self.settings.classes[pending.request.class].effect {
            Effect::Idempotent => None,
            Effect::NonIdempotent => Some(DISTANT_PAST),
            Effect::Deduplicated { window, .. } => {
                Some(ran.sent + window - 2.0 * self.settings.tick)
            }
        }
    }

    /// Whether a retry is useful and allowed by the class, the settings and the retry budget.
    fn may_retry(&self, pending: &PendingRequest) -> bool {
        let class = &self.settings.classes[pending.request.class];
        let any_in_flight = pending.attempts.iter().any(|attempt| attempt.in_flight);
        self.retry_forbidden_from(pending)
            .is_none_or(|from| self.now < from)
            && (self.settings.may_duplicate || !any_in_flight)
            && pending.attempts.len() < self.settings.max_attempts as usize
            && self.retry_budget >= 1.0
            && self.now < pending.arrived + class.aim
    }

    /// Handles a review timer: retries an attempt that has been in flight for long, or refuses a request that
    /// has been queued too long.
    fn review(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(pending) = self.requests.get(&id).filter(|pending| !pending.answered) else {
            return;
        };
        let class = pending.request.class;
        let late_if_sent_by = self.now - LATE_FRACTION * self.settings.classes[class].aim;
        if pending
            .attempts
            .last()
            .is_some_and(|last| last.in_flight && last.sent <= late_if_sent_by)
        {
            self.update_capacity(class, f64::INFINITY);
        }
        let pending = &self.requests[&id];
        if pending.queued {
            if self.now
                >= pending.arrived
                    + USEFUL_FRACTION * self.settings.classes[pending.request.class].aim
            {
                self.refuse(id, self.settings.max_retry_after, actions);
            }
            return;
        }
        let Some(last) = pending.attempts.last().filter(|last| last.in_flight) else {
            return;
        };
        let useful = self.now < pending.arrived + self.settings.classes[class].aim;
        let more = pending.attempts.len() < self.settings.max_attempts as usize
            && self.retry_budget >= 1.0;
        let free = self.settings.classes[class].effect == Effect::Idempotent;
        // An attempt is not duplicated while its server answers other requests: the copy would load a server that
        // is just as busy and would rarely finish first. If the server hangs, an idempotent attempt is cancelled
        // first, and its end triggers the retry.
        if !useful || !more {
        } else if !self
            .fleet
            .hangs(last.to.id, self.now, self.mean_answer_time())
        {
            let next_review = self.now + RETRY_AFTER_MEANS * self.mean_answer_time() / 2.0;
            actions.push(Action::Timer {
                at: next_review,
                token: (id << 2) + REVIEW_TIMER,
            });
        } else if free && self.settings.may_cancel {
            actions.push(Action::Cancel {
                request: id,
                attempt: (pending.attempts.len() - 1) as u8,
            });
        } else if self.may_retry(pending) {
            self.retry(id, actions);
        }
    }

    fn retry(&mut self, id: RequestId, actions: &mut Vec<Action>) -> bool {
        let Some(server) = self.choose_server(id) else {
            return false;
        };
        self.retry_budget -= 1.0;
        self.send(id, server, actions);
        true
    }

    /// Handles the end of an attempt, or the start of its response if `more` is to come.
    fn attempt_ended(&mut self, end: AttemptEnd, more: bool, actions: &mut Vec<Action>) {
        let Some(pending) = self.requests.get_mut(&end.request) else {
            return;
        };
        let Some(attempt) = pending.attempts.get_mut(usize::from(end.attempt)) else {
            return;
        };
        if !attempt.in_flight {
            return;
        }
        attempt.in_flight = more;
        let already_recorded = std::mem::replace(&mut attempt.response_started, more);
        attempt.may_have_run = !end.outcome.never_ran();
        let (server, sent, request) = (attempt.to.id, attempt.sent, pending.request);
        pending.answered |= end.finished;
        if !already_recorded {
            self.fleet.record_ended(server, sent);
            self.record_outcome(&request, server, &end, actions);
        }
        let next = self
            .customers
            .get_mut(&request.account())
            .filter(|_| !more)
            .and_then(|customer| {
                customer.in_flight = customer.in_flight.saturating_sub(1);
                customer.queued.pop_front()
            });
        if let Some(used) = end.used {
            self.read_meter(request.account(), used);
        }
        // A broken connection is no sign of load, so its replacement is not charged to the retry budget.
        if !already_recorded && matches!(end.outcome, Outcome::Reset | Outcome::NoConnection) {
            self.retry_budget += 1.0;
        }
        let pending = &self.requests[&end.request];
        let any_in_flight = pending.attempts.iter().any(|attempt| attempt.in_flight);
        if pending.answered {
            if self.settings.may_cancel && end.outcome == Outcome::Ok {
                let cancelled = pending
                    .attempts
                    .iter()
                    .enumerate()
                    .filter(|(_, other)| other.in_flight && !other.response_started);
                actions.extend(cancelled.map(|(n, _)| Action::Cancel {
                    request: end.request,
                    attempt: n as u8,
                }));
            }
        } else if !(any_in_flight || self.may_retry(pending) && self.retry(end.request, actions)) {
            self.finish_unserved(end.request, actions);
        }
        self.remove_if_finished(end.request);
        if let Some(next) = next.filter(|next| self.requests.contains_key(next)) {
            self.dispatch(next, actions);
        }
    }

    /// Sends a final answer without a server's response: a refusal if no attempt can have run, else a failure.
    fn finish_unserved(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(pending) = self.requests.get(&id).filter(|pending| !pending.answered) else {
            return;
        };
        if pending.attempts.iter().all(|attempt| !attempt.may_have_run) {
            self.refuse(id, 0.0, actions);
        } else {
            actions.push(Action::Fail(id));
            let in_flight = pending
                .attempts
                .iter()
                .enumerate()
                .filter(|(_, attempt)| attempt.in_flight);
            if self.settings.may_cancel {
                actions.extend(in_flight.map(|(n, _)| Action::Cancel {
                    request: id,
                    attempt: n as u8,
                }));
            }
            self.complete(id);
        }
    }

    fn refuse(&mut self, id: RequestId, wait: Millis, actions: &mut Vec<Action>) {
        let retry_after = wait.clamp(0.0, self.settings.max_retry_after);
        actions.push(Action::Refuse {
            request: id,
            retry_after,
        });
        self.complete(id);
    }

    fn complete(&mut self, id: RequestId) {
        let Some(pending) = self.requests.get_mut(&id) else {
            return;
        };
        pending.answered = true;
        if pending.queued {
            if let Some(customer) = self.customers.get_mut(&pending.request.account()) {
                customer.queued.retain(|other| *other != id);
            }
        }
        self.remove_if_finished(id);
    }

    fn remove_if_finished(&mut self, id: RequestId) {
        if self.requests.get(&id).is_some_and(|pending| {
            pending.answered && pending.attempts.iter().all(|a| !a.in_flight)
        }) {
            self.requests.remove(&id);
        }
    }

    // ---- Handover. ----

    /// Exports the state for a successor and keeps only a small reserve of each bucket.
    pub fn hand_over(&mut self) -> HandoverState {
        self.handed_over = true;
        HandoverState {
            started: self.started,
            meter_update: self.meter_update,
            customers: self
                .customers
                .iter_mut()
                .map(|((id, _), customer)| (*id, customer.hand_over()))
                .collect(),
            load: self.load.clone(),
            servers: self.fleet.health(),
        }
    }

    /// Continues from the state of a predecessor. State for other plans or classes is ignored.
    pub fn take_over(&mut self, now: Millis, handover: HandoverState) {
        if !handover.fits(&self.settings) {
            return;
        }
        (self.now, self.started, self.meter_update) =
            (self.now.max(now), handover.started, handover.meter_update);
        self.customers = handover
            .customers
            .into_iter()
            .map(|(id, own)| ((id, own.plan), own))
            .collect();
        (self.load, self.admitted_fraction_updated) = (handover.load, self.now);
        self.fleet.take_over(handover.servers);
    }

    /// Attempts of this gateway in flight, by customer.
    pub fn in_flight(&self) -> BTreeMap<CustomerId, u32> {
        let mut in_flight = BTreeMap::new();
        for ((id, _), customer) in self
            .customers
            .iter()
            .filter(|(_, customer)| customer.in_flight > 0)
        {
            *in_flight.entry(*id).or_default() += customer.in_flight;
        }
        in_flight
    }

    /// Updates the predecessor's attempts in flight and dispatches the queued requests that now fit.
    fn release_queued(&mut self, in_flight: &BTreeMap<CustomerId, u32>, actions: &mut Vec<Action>) {
        let mut next = Vec::new();
        for ((id, _), customer) in &mut self.customers {
            next.extend(customer.release_queued(in_flight.get(id).copied().unwrap_or(0)));
        }
        for id in next {
            self.dispatch(id, actions);
        }
    }

    // ---- Server list. ----

    /// Applies a server list update. Draining and removed servers get no new attempts from now on.
    fn update_servers(
        &mut self,
        kind: ListKind,
        entries: Vec<ServerEntry>,
        actions: &mut Vec<Action>,
    ) {
        if self.settings.list_on_request {
            match kind {
                ListKind::Cached => actions.push(Action::FollowServers),
                ListKind::Failed => actions.push(Action::Timer {
                    at: self.now + 1000.0,
                    token: SERVER_LIST_TIMER,
                }),
                _ => {}
            }
        }
        if kind == ListKind::Failed {
            return;
        }
        self.fleet.update(kind, entries, self.now);
        self.update_server_count();
    }

    /// Records since when an operator has enabled a server again; `None` disables it.
    fn set_enabled(&mut self, id: ServerId, enabled_at: Option<Millis>) {
        self.fleet
            .set_enabled(id, enabled_at, self.now, self.settings.cold_for);
        self.update_server_count();
    }

    /// Updates the limits that depend on the number of ready servers.
    fn update_server_count(&mut self) {
        self.fleet.assign_subset(&self.settings);
        self.unqueued_limit =
            UNQUEUED_PER_SERVER * self.fleet.ready() as f64 / f64::from(self.settings.gateways);
        self.load.in_flight_limit = self.load.in_flight_limit.max(self.unqueued_limit);
    }
}
