//! All decisions. The types, events and actions that this module speaks in are in `src/interface.rs`.
//!
//! Admission follows the random refusal of "Stochastic breakdown model for an unreliable web server
//! system": each gateway refuses a customer's requests with chance 1 - quota / offered, where the offered
//! rate of all gateways is taken from the meter, and the class of the lowest worth goes first.

use crate::balance::{Errand, Fleet};
use crate::interface::{
    Account, Action, AttemptEnd, CustomerId, Effect, Event, HandoverState, InvalidSetting,
    ListKind, LoadEstimates, Millis, Outcome, Request, RequestId, ServerEntry, ServerId, Settings,
};
use crate::quota::{Customer, CHANCE_FLOOR, METER_LAG, NEVER};
use oorandom::Rand64;
use std::collections::BTreeMap;

// ---- Constants. All are dimensionless; times and rates come from the settings. ----

/// A customer idle for so many times its burst's filling time is forgotten.
const IDLE_FILLS: f64 = 20.0;
/// Weight of a new sample in averages over requests and answers: about the last 20 of them.
const SAMPLE: f64 = 0.1;
/// Room of a new gateway: slow start, as hundreds may be born at once and none knows of the others.
const START_ROOM: f64 = 0.5;
/// Most that one answer counts for, in wanted times: where few come, one late one is still only one.
const MOST_WEIGHT: f64 = 0.2;
/// Least room: retries may come at a hundred times what the servers can do.
const LEAST_ROOM: f64 = 0.01;
/// An answer that took more than this part of the wanted time, or is out for longer, is late: work queues.
const LATE: f64 = 0.35;
/// Part of the room that a wanted time full of late answers takes away ...
const CUT: f64 = 0.7;
/// ... and that one of answers that come at once gives, with `PROBE` more; nearly late ones give nothing.
const GROWTH: f64 = 1.2;
const PROBE: f64 = 0.1;
/// Attempts a server, of all gateways, that make no queue whatever the answers take: up to an own part of
/// that the room is not asked, for idle servers tell nothing and a door once shut would stay shut.
const IDLE: f64 = 2.0;
/// Shrinks the limit on work in flight at each late answer; a timely one grows it by `STEP` attempts, doubled
/// at a limit of `CREW`: a fair share for each gateway while it is small, one late in five at any size.
const SHRINK: f64 = 0.95;
const STEP: f64 = 0.05;
const CREW: f64 = 5.0;
/// Most that a request's size, against the mean one, bears on the time that it is given.
const MOST_SIZE: f64 = 4.0;
/// An attempt out for so many mean answer times may get a further one.
const PATIENCE: f64 = 3.0;
/// Further attempts for each first one: the retry budget.
const RETRY_SHARE: f64 = 0.15;
/// The part of the wanted time within which a further attempt or a held request must start to be of use.
const USEFUL: f64 = 0.5;
const DEADLINE: u64 = 0;
const REVIEW: u64 = 1;
const LIST: u64 = 2;

#[derive(Debug)]
struct Attempt {
    to: ServerEntry,
    sent: Millis,
    out: bool,
    /// Whether its answer has begun, by which it was judged.
    begun: bool,
    may_have_run: bool,
}

#[derive(Debug)]
struct Open {
    request: Request,
    arrived: Millis,
    attempts: Vec<Attempt>,
    held: bool,
    done: bool,
}

/// The decisions of one gateway.
#[derive(Debug)]
pub struct Gateway {
    settings: Settings,
    rng: Rand64,
    born: Millis,
    now: Millis,
    customers: BTreeMap<Account, Customer>,
    /// Whether another has taken this one's place: its stores fill no more.
    succeeded: bool,
    /// A moment at which the meter told of a new period, as near as answers show.
    tick: Option<Millis>,
    swept: Millis,
    /// Refusals since then for want of room, and for want of a server.
    no_room: u32,
    pressed_before: bool,
    no_server: u32,
    requests: BTreeMap<RequestId, Open>,
    fleet: Fleet,
    /// The classes from the highest worth down.
    class_order: Vec<usize>,
    load: LoadEstimates,
    room_at: Millis,
    /// Own part of what leaves the servers idle, and when one was last turned away.
    idle_part: f64,
    full_at: Millis,
    retry_budget: f64,
}

/// Moves an average towards a sample.
pub(crate) fn blend(average: &mut f64, sample: f64, weight: f64) {
    *average += weight * (sample - *average);
}

/// The chance of one kind when a share of the whole is admitted, the kinds in `order` first.
fn ordered_chance(share: f64, mix: &[f64], order: &[usize], kind: usize) -> f64 {
    let total: f64 = mix.iter().sum();
    let mut left = share * total;
    for &other in order {
        if other == kind {
            return if mix[kind] > 0.0 {
                (left / mix[kind]).clamp(0.0, 1.0)
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
    /// Names the first setting that makes no sense.
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
            born: now,
            now,
            customers: BTreeMap::new(),
            succeeded: false,
            tick: None,
            swept: now,
            no_room: 0,
            pressed_before: false,
            no_server: 0,
            requests: BTreeMap::new(),
            fleet: Fleet::new(&settings, now),
            class_order,
            load: LoadEstimates {
                class_mix: vec![1.0 / classes.max(1) as f64; classes],
                answer_time: settings
                    .classes
                    .iter()
                    .map(|class| class.aim / (2.0 * PATIENCE))
                    .collect(),
                mean_units: vec![1.0; classes],
                first_wait: vec![0.0; classes],
                room: START_ROOM,
                limit: 1.0,
                slow_start: true,
            },
            room_at: now,
            idle_part: 0.0,
            full_at: f64::NEG_INFINITY,
            retry_budget: 1.0,
            settings,
        })
    }

    /// The request that a timer is for: once that is over, its timers need not come back.
    pub fn timer_request(token: u64) -> Option<RequestId> {
        (token % 4 != LIST).then_some(token / 4)
    }

    /// Takes one event and appends what is to be done, in order.
    pub fn handle(&mut self, now: Millis, event: Event, actions: &mut Vec<Action>) {
        self.now = self.now.max(now);
        match event {
            Event::Request(request) => self.arrive(request, actions),
            Event::AttemptEnd(end) => self.attempt_ended(end, false, actions),
            Event::ResponseStarted(end) => self.attempt_ended(end, true, actions),
            Event::StreamStarted(request) | Event::ClientGone(request) => self.close(request),
            Event::Timer(token) => match (token % 4, token / 4) {
                (DEADLINE, request) => self.give_up(request, actions),
                (REVIEW, request) => self.review(request, actions),
                _ => actions.push(Action::FollowServers),
            },
            Event::Servers { kind, entries } => self.roster(kind, entries, actions),
            Event::ServerDisabled(id) => self.take_out(id, None),
            Event::PredecessorInFlight(open) => self.count_elsewhere(&open, actions),
            Event::HandoverAborted => self.succeeded = false,
            Event::ServerEnabled { server, at } => self.take_out(server, Some(at.min(self.now))),
        }
    }

    // ---- Admission. ----

    fn arrive(&mut self, request: Request, actions: &mut Vec<Action>) {
        let expires_in = if request.expires_in.is_finite() {
            request.expires_in.max(0.0)
        } else {
            0.0
        };
        if self.requests.contains_key(&request.id) {
            return;
        }
        let open = Open {
            request,
            arrived: self.now,
            attempts: Vec::new(),
            held: false,
            done: false,
        };
        self.requests.insert(request.id, open);
        // Answer before the client gives up; two calls of the host are the margin for the way back.
        let at = self.now + (expires_in - 2.0 * self.settings.tick).max(0.0);
        actions.push(Action::Timer {
            at,
            token: (request.id << 2) + DEADLINE,
        });
        let known =
            request.class < self.settings.classes.len() && request.plan < self.settings.plans.len();
        if !known || !request.units.is_finite() || request.units < 0.0 {
            self.refuse(request.id, 0.0, actions);
            return;
        }
        self.sweep(actions);
        let waited = self.waited(&request, expires_in);
        if let Some(open) = self.requests.get_mut(&request.id) {
            open.arrived -= waited;
        }
        for (class, share) in self.load.class_mix.iter_mut().enumerate() {
            blend(
                share,
                f64::from(u8::from(class == request.class)),
                SAMPLE / 2.0,
            );
        }
        let share = self.within_quota(&request);
        blend(
            &mut self.load.mean_units[request.class],
            request.units,
            SAMPLE / 5.0,
        );
        let (class, answer) = (
            self.settings.classes[request.class],
            self.usual_time(&request),
        );
        let full = self.now < self.full_at + class.aim;
        let flight = self.young(class.aim);
        let idle = !full && self.rng.rand_float() < self.idle_part - self.young(f64::INFINITY);
        // Guards against a surge that is in before its late answers are: beyond the limit on work in flight
        // the chance falls, to nothing at two deviations more, so that few in hand are not refused by chance.
        let slack = 2.0 * self.load.limit.sqrt() + 1.0;
        let open = if idle {
            1.0
        } else {
            ((self.load.limit + slack - flight) / slack).clamp(0.0, self.load.room)
        };
        // Of what there is room for the dearer plans get more, though none goes empty.
        let prices: f64 = self.settings.plans.iter().map(|plan| plan.price).sum();
        let price = self.settings.plans[request.plan].price * self.settings.plans.len() as f64;
        let open = if price > 0.0 {
            open.powf(prices / price)
        } else {
            open
        };
        let (mix, order) = (&self.load.class_mix, &self.class_order);
        // The floor shrinks with the room: of thousands of retries a second, a fixed part would feed a jam.
        let chance = |open: f64| {
            ordered_chance(share * open, mix, order, request.class).max(CHANCE_FLOOR * open)
        };
        let (quota, room, coin) = (chance(1.0), chance(open), self.rng.rand_float());
        // Guards against a further try past its aim that takes quota for the worth of a late answer. A long
        // answer time alone is no ground: with nothing sent none would shorten it again.
        let late = if waited > 0.0 && waited + answer > class.aim {
            class.late_share.min(1.0)
        } else {
            1.0
        };
        if share <= 0.0 || coin >= quota * late {
            self.refuse(request.id, 0.0, actions);
        } else if coin >= room * late {
            self.no_room += 1;
            self.refuse(request.id, self.settings.max_retry_after, actions);
        } else {
            self.dispatch(request.id, actions);
        }
    }

    /// How long a client has been trying before this try, where it shows: a further try with less time left
    /// than first tries get is bounded by what remains of the class's deadline.
    fn waited(&mut self, request: &Request, expires_in: Millis) -> Millis {
        let most = &mut self.load.first_wait[request.class];
        if !request.repeat {
            *most = most.max(expires_in);
        } else if expires_in < *most - self.settings.tick {
            return (self.settings.classes[request.class].deadline - expires_in).max(0.0);
        }
        0.0
    }

    /// The coin: once per meter period its chance is set to what the quota and the estimated store allow over
    /// the offered rate.
    fn within_quota(&mut self, request: &Request) -> f64 {
        let (now, born, period) = (self.now, self.born, self.settings.meter_period);
        let plan = self.settings.plans[request.plan];
        let customer = self.customers.entry(request.account());
        let customer = customer.or_insert_with(|| Customer::new(&plan, request, born, now, period));
        customer.seen = now;
        customer.spread = f64::from(request.spread.max(1));
        if plan.rate <= 0.0 {
            return 1.0;
        }
        customer.fade(&plan, now, period);
        let most = customer.refill(&plan, self.settings.max_units, now);
        if now >= customer.chance_set + period {
            customer.set_chance(&plan, self.settings.max_units, now, period);
        }
        // Counted after the chance is set: that a request came says nothing of how many others did.
        customer.own.units += request.units;
        // Guards against a burst within a period, which would only cost; the last half is for high worth.
        let rank = self
            .class_order
            .iter()
            .position(|class| *class == request.class)
            .unwrap_or(0) as f64;
        let kept = (most / 2.0 * rank / (self.class_order.len() - 1).max(1) as f64)
            .min(most - request.units);
        let spent = customer.share.units < request.units + kept && plan.over_cost > plan.over_worth;
        // What lack of room leaves unused is not to be lent.
        customer.short |= spent && !self.pressed_before && self.no_room == 0;
        customer.chance * f64::from(u8::from(!spent))
    }

    /// Takes a reading of the meter. Periods are told apart by when figures change, all customers' at once.
    fn read_meter(&mut self, account: Account, used: f64) {
        let (now, period) = (self.now, self.settings.meter_period);
        let Some(customer) = self.customers.get_mut(&account) else {
            return;
        };
        let plan = self.settings.plans[customer.plan];
        if plan.rate <= 0.0 || period <= 0.0 || !used.is_finite() {
            return;
        }
        let mut tick = self
            .tick
            .map_or(now, |tick| now - (now - tick).rem_euclid(period));
        let changed = used != customer.reading && customer.read_at > NEVER;
        if changed && (self.tick.is_none() || tick <= customer.read_at) {
            tick = now;
            self.tick = Some(now);
        }
        customer.read_at = now;
        let end = tick - METER_LAG * period;
        if end < customer.told_to + period / 2.0 {
            return;
        }
        customer.read(&plan, used, end, period, self.settings.max_units);
        customer.set_chance(&plan, self.settings.max_units, now, period);
    }

    /// Adapts the room to one answer, or one overdue: additive growth, multiplicative cut, in proportion to
    /// the time since the last, so that few gateways and many move alike; and growth by the answer's ease, so
    /// that idle servers are found out soon. Guards against overload within the quotas, from a surge or from
    /// lost or slow servers: the paper's coin, with the servers' limit for the quota's, ends it in early
    /// refusals of the cheap. Hurts if answers are slow without a queue.
    fn adapt(&mut self, class: usize, elapsed: Millis) {
        let aim = self.settings.classes[class].aim;
        let weight = ((self.now - self.room_at) / aim).min(MOST_WEIGHT);
        self.room_at = self.now;
        let ease = 1.0 - elapsed / (LATE * aim);
        if ease >= 0.0 {
            self.load.room =
                (self.load.room + GROWTH * ease * (self.load.room + PROBE) * weight).min(1.0);
            if 2.0 * (self.young(aim) + 1.0) >= self.load.limit {
                self.load.limit += if self.load.slow_start {
                    1.0
                } else {
                    STEP * (1.0 + self.load.limit / CREW)
                };
            }
        } else {
            self.load.slow_start = false;
            self.load.limit = (self.load.limit * SHRINK).max(self.idle_part).max(1.0);
            self.load.room = (self.load.room * (1.0 - CUT * weight)).max(LEAST_ROOM);
        }
    }

    /// Own attempts in hand that can still be in time: hung servers must not close the door.
    fn young(&self, aim: Millis) -> f64 {
        self.fleet.out_since(self.now - aim) as f64
    }

    /// Once a second: reports refusals that are not the coin's, and forgets customers whose stores are full.
    fn sweep(&mut self, actions: &mut Vec<Action>) {
        let now = self.now;
        if now < self.swept + 1000.0 {
            return;
        }
        self.swept = now;
        if (self.no_room > 0) != self.pressed_before {
            self.pressed_before = self.no_room > 0;
            let text = if self.pressed_before {
                "pressed"
            } else {
                "pressed no more"
            };
            let room = self.load.room;
            actions.push(Action::Log(format!(
                "{text}: room for {room:.2} of what the quotas admit"
            )));
        }
        if self.no_server > 0 {
            actions.push(Action::Log(format!(
                "no server to send to: {} refused",
                self.no_server
            )));
        }
        (self.no_room, self.no_server) = (0, 0);
        self.customers.retain(|_, customer| {
            let fills = Customer::filled_within(&self.settings.plans[customer.plan]);
            customer.open > 0
                || !customer.held.is_empty()
                || now < customer.seen + IDLE_FILLS * fills
        });
    }

    // ---- Ceiling guard. ----

    /// Takes a first attempt's units from this gateway's share of the ceiling. The share holds with no word
    /// from others. It fills from the gateway's birth, for what an earlier life spent is not known.
    fn under_ceiling(&mut self, request: &Request) -> bool {
        let plan = &self.settings.plans[request.plan];
        if plan.ceiling_rate <= 0.0 {
            return true;
        }
        let customer = self
            .customers
            .get_mut(&request.account())
            .filter(|_| !self.succeeded);
        customer.is_some_and(|customer| customer.take_from_ceiling(plan, request.units, self.now))
    }

    // ---- Balancing and health. ----

    /// Mean time of an answer over the classes, by their recent mix.
    fn mean_answer(&self) -> f64 {
        self.load
            .answer_time
            .iter()
            .zip(&self.load.class_mix)
            .map(|(time, share)| time * share)
            .sum()
    }

    /// Size of a request against the mean one of its class: work goes by the units, and so does its time.
    fn size(&self, request: &Request, billed: Option<f64>) -> f64 {
        let units = billed
            .filter(|units| units.is_finite())
            .unwrap_or(request.units);
        (units / self.load.mean_units[request.class].max(f64::MIN_POSITIVE))
            .clamp(1.0 / MOST_SIZE, MOST_SIZE)
    }

    /// Usual time of an answer to a request of this class and size.
    fn usual_time(&self, request: &Request) -> Millis {
        self.load.answer_time[request.class] * self.size(request, None)
    }

    /// How many servers of the list get nothing, by order of staff or for their failures.
    pub fn excluded(&self, now: Millis) -> usize {
        self.fleet.excluded(now)
    }

    fn choose(&mut self, request: RequestId) -> Option<ServerId> {
        let open = &self.requests[&request];
        let errand = Errand {
            settings: &self.settings,
            now: self.now,
            mean: self.mean_answer(),
            effect: self.settings.classes[open.request.class].effect,
            home: open
                .attempts
                .iter()
                .find(|attempt| attempt.may_have_run)
                .map(|attempt| attempt.to),
            tried: open.attempts.iter().map(|attempt| attempt.to.id).collect(),
        };
        self.fleet.choose(&errand, &mut self.rng)
    }

    /// Learns from the end of an attempt.
    fn judge(
        &mut self,
        request: &Request,
        id: ServerId,
        end: &AttemptEnd,
        actions: &mut Vec<Action>,
    ) {
        let (now, class, outcome) = (self.now, request.class, end.outcome);
        // As if it had been a request of the mean size.
        let elapsed = if end.elapsed.is_finite() {
            end.elapsed.max(0.0)
        } else {
            0.0
        };
        let warmth = self.fleet.warmth(id, &self.settings, now);
        let elapsed = elapsed * warmth.unwrap_or(1.0) / self.size(request, end.billed);
        match outcome {
            Outcome::Ok => self.adapt(class, elapsed),
            Outcome::Overloaded | Outcome::TimedOut => {
                self.full_at = if outcome == Outcome::Overloaded {
                    now
                } else {
                    self.full_at
                };
                self.adapt(class, f64::INFINITY);
            }
            _ => {}
        }
        let (mean, mean_of_class) = (self.mean_answer(), self.load.answer_time[class].max(1.0));
        if outcome == Outcome::Ok && warmth.is_some() {
            blend(&mut self.load.answer_time[class], elapsed, SAMPLE / 5.0);
        }
        let told = self.fleet.judge(
            id,
            now,
            outcome,
            elapsed / mean_of_class,
            mean_of_class,
            mean,
        );
        actions.extend(told.map(Action::Log));
    }

    // ---- Attempts. ----

    /// Sends a first attempt, or holds the request while its customer has all attempts out that it may have.
    fn dispatch(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let request = self.requests[&id].request;
        let plan = self.settings.plans[request.plan];
        let aim = self.settings.classes[request.class].aim;
        let Some(customer) = self.customers.get_mut(&request.account()) else {
            return;
        };
        // Guards the cap over all gateways: each keeps to its part of it, with no word from the others. The
        // first of the customer's set take what does not go even, and each has one at the least.
        let place = (self.settings.ordinal + self.settings.gateways).wrapping_sub(request.first);
        let (even, odd) = (
            plan.open / request.spread.max(1),
            plan.open % request.spread.max(1),
        );
        let part = (even + u32::from(place % self.settings.gateways < odd)).max(1);
        if plan.open > 0 && self.succeeded {
            self.refuse(id, self.settings.max_retry_after, actions);
            return;
        }
        if plan.open > 0 && customer.open + customer.elsewhere >= part {
            customer.held.push_back(id);
            if let Some(open) = self.requests.get_mut(&id) {
                open.held = true;
            }
            actions.push(Action::Timer {
                at: self.now + USEFUL * aim,
                token: (id << 2) + REVIEW,
            });
            return;
        }
        match self.choose(id) {
            None => {
                self.no_server += 1;
                self.refuse(id, self.settings.max_retry_after, actions);
            }
            Some(_) if !self.under_ceiling(&request) => {
                self.refuse(id, self.settings.max_retry_after, actions);
            }
            Some(server) => {
                // Without a rate nothing reads these, and nothing would take them off again.
                if let Some(customer) = self
                    .customers
                    .get_mut(&request.account())
                    .filter(|_| plan.rate > 0.0)
                {
                    customer.sends.push_back((self.now, request.units));
                    customer.share.units -= request.units;
                }
                self.retry_budget =
                    (self.retry_budget + RETRY_SHARE).min(self.fleet.known() as f64);
                self.send(id, server, actions);
            }
        }
    }

    fn send(&mut self, id: RequestId, to: ServerId, actions: &mut Vec<Action>) {
        let start_by = self
            .requests
            .get(&id)
            .and_then(|open| self.forbidden_from(open));
        let Some(open) = self.requests.get_mut(&id) else {
            return;
        };
        let Some(to) = self.fleet.sent(to, self.now) else {
            return;
        };
        open.held = false;
        open.attempts.push(Attempt {
            to,
            sent: self.now,
            out: true,
            begun: false,
            may_have_run: true,
        });
        if let Some(customer) = self.customers.get_mut(&open.request.account()) {
            customer.open += 1;
        }
        let capped = self.settings.plans[open.request.plan].open > 0;
        actions.push(Action::Send {
            request: id,
            server: to.id,
            start_by,
            expire_at: None,
            capped,
        });
        let request = open.request;
        let patience = PATIENCE * self.usual_time(&request);
        let patience = patience.min(USEFUL * self.settings.classes[request.class].aim);
        actions.push(Action::Timer {
            at: self.now + patience,
            token: (id << 2) + REVIEW,
        });
    }

    /// From when on the class forbids that a further attempt begins.
    fn forbidden_from(&self, open: &Open) -> Option<Millis> {
        let ran = open.attempts.iter().find(|attempt| attempt.may_have_run)?;
        match self.settings.classes[open.request.class].effect {
            Effect::Idempotent => None,
            Effect::NonIdempotent => Some(NEVER),
            Effect::Deduplicated { window, .. } => {
                Some(ran.sent + window - 2.0 * self.settings.tick)
            }
        }
    }

    /// Whether a further attempt is allowed by the class, the settings and the retry budget, and of use.
    fn may_try_again(&self, open: &Open) -> bool {
        let class = &self.settings.classes[open.request.class];
        let out = open.attempts.iter().any(|attempt| attempt.out);
        self.forbidden_from(open).is_none_or(|from| self.now < from)
            && (self.settings.may_duplicate || !out)
            && open.attempts.len() < self.settings.max_attempts as usize
            && self.retry_budget >= 1.0
            && self.now < open.arrived + class.aim
    }

    /// An attempt has been out for long, or a request held: tries another server, or gives up in time.
    fn review(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(open) = self.requests.get(&id).filter(|open| !open.done) else {
            return;
        };
        let class = open.request.class;
        let due = self.now - LATE * self.settings.classes[class].aim;
        if open
            .attempts
            .last()
            .is_some_and(|last| last.out && last.sent <= due)
        {
            self.adapt(class, f64::INFINITY);
        }
        let open = &self.requests[&id];
        if open.held {
            if self.now >= open.arrived + USEFUL * self.settings.classes[open.request.class].aim {
                self.refuse(id, self.settings.max_retry_after, actions);
            }
            return;
        }
        let Some(last) = open.attempts.last().filter(|last| last.out) else {
            return;
        };
        let useful = self.now < open.arrived + self.settings.classes[class].aim;
        let more =
            open.attempts.len() < self.settings.max_attempts as usize && self.retry_budget >= 1.0;
        let free = self.settings.classes[class].effect == Effect::Idempotent;
        // An attempt is left alone while its server says something: a copy is work for one that is no
        // less pressed, and rarely the first. Then it is given up first, and its end brings the next one.
        if !useful || !more {
        } else if !self.fleet.hangs(last.to.id, self.now, self.mean_answer()) {
            let again = self.now + PATIENCE * self.mean_answer() / 2.0;
            actions.push(Action::Timer {
                at: again,
                token: (id << 2) + REVIEW,
            });
        } else if free && self.settings.may_cancel {
            actions.push(Action::Cancel {
                request: id,
                attempt: (open.attempts.len() - 1) as u8,
            });
        } else if self.may_try_again(open) {
            self.further(id, actions);
        }
    }

    fn further(&mut self, id: RequestId, actions: &mut Vec<Action>) -> bool {
        let Some(server) = self.choose(id) else {
            return false;
        };
        self.retry_budget -= 1.0;
        self.send(id, server, actions);
        true
    }

    /// An attempt has ended, or its answer has begun and there is `more` to come.
    fn attempt_ended(&mut self, end: AttemptEnd, more: bool, actions: &mut Vec<Action>) {
        let Some(open) = self.requests.get_mut(&end.request) else {
            return;
        };
        let Some(attempt) = open.attempts.get_mut(usize::from(end.attempt)) else {
            return;
        };
        if !attempt.out {
            return;
        }
        attempt.out = more;
        let judged = std::mem::replace(&mut attempt.begun, more);
        attempt.may_have_run = !end.outcome.never_ran();
        let (server, sent, request) = (attempt.to.id, attempt.sent, open.request);
        open.done |= end.finished;
        if !judged {
            self.fleet.ended(server, sent);
            self.judge(&request, server, &end, actions);
        }
        let next = self
            .customers
            .get_mut(&request.account())
            .filter(|_| !more)
            .and_then(|customer| {
                customer.open = customer.open.saturating_sub(1);
                customer.held.pop_front()
            });
        if let Some(used) = end.used {
            self.read_meter(request.account(), used);
        }
        // A connection that broke says nothing of load: what replaces the attempt is not charged.
        if !judged && matches!(end.outcome, Outcome::Reset | Outcome::NoConnection) {
            self.retry_budget += 1.0;
        }
        let open = &self.requests[&end.request];
        let out = open.attempts.iter().any(|attempt| attempt.out);
        if open.done {
            if self.settings.may_cancel && end.outcome == Outcome::Ok {
                let losers = open
                    .attempts
                    .iter()
                    .enumerate()
                    .filter(|(_, other)| other.out && !other.begun);
                actions.extend(losers.map(|(n, _)| Action::Cancel {
                    request: end.request,
                    attempt: n as u8,
                }));
            }
        } else if !(out || self.may_try_again(open) && self.further(end.request, actions)) {
            self.give_up(end.request, actions);
        }
        self.forget_if_over(end.request);
        if let Some(next) = next.filter(|next| self.requests.contains_key(next)) {
            self.dispatch(next, actions);
        }
    }

    /// Final answer without an answer of a server: a refusal where nothing can have run, else a failure.
    fn give_up(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(open) = self.requests.get(&id).filter(|open| !open.done) else {
            return;
        };
        if open.attempts.iter().all(|attempt| !attempt.may_have_run) {
            self.refuse(id, 0.0, actions);
        } else {
            actions.push(Action::Fail(id));
            let out = open
                .attempts
                .iter()
                .enumerate()
                .filter(|(_, attempt)| attempt.out);
            if self.settings.may_cancel {
                actions.extend(out.map(|(n, _)| Action::Cancel {
                    request: id,
                    attempt: n as u8,
                }));
            }
            self.close(id);
        }
    }

    fn refuse(&mut self, id: RequestId, wait: Millis, actions: &mut Vec<Action>) {
        let retry_after = wait.clamp(0.0, self.settings.max_retry_after);
        actions.push(Action::Refuse {
            request: id,
            retry_after,
        });
        self.close(id);
    }

    fn close(&mut self, id: RequestId) {
        let Some(open) = self.requests.get_mut(&id) else {
            return;
        };
        open.done = true;
        if open.held {
            if let Some(customer) = self.customers.get_mut(&open.request.account()) {
                customer.held.retain(|other| *other != id);
            }
        }
        self.forget_if_over(id);
    }

    fn forget_if_over(&mut self, id: RequestId) {
        if self
            .requests
            .get(&id)
            .is_some_and(|open| open.done && open.attempts.iter().all(|a| !a.out))
        {
            self.requests.remove(&id);
        }
    }

    // ---- Taking over from another gateway. ----

    /// Leaves all but a rest of the stores to the gateway that takes this one's place.
    pub fn hand_over(&mut self) -> HandoverState {
        self.succeeded = true;
        HandoverState {
            born: self.born,
            tick: self.tick,
            customers: self
                .customers
                .iter_mut()
                .map(|((id, _), customer)| (*id, customer.hand_over()))
                .collect(),
            load: self.load.clone(),
            servers: self.fleet.learned(),
        }
    }

    /// Takes the place of the gateway that left this. A state of other plans or classes is left alone.
    pub fn take_over(&mut self, now: Millis, handover: HandoverState) {
        if !handover.fits(&self.settings) {
            return;
        }
        (self.now, self.born, self.tick) = (self.now.max(now), handover.born, handover.tick);
        self.customers = handover
            .customers
            .into_iter()
            .map(|(id, own)| ((id, own.plan), own))
            .collect();
        (self.load, self.room_at) = (handover.load, self.now);
        self.fleet.take_over(handover.servers);
    }

    /// Own attempts out, by customer.
    pub fn in_flight(&self) -> BTreeMap<CustomerId, u32> {
        let mut open = BTreeMap::new();
        for ((id, _), customer) in self
            .customers
            .iter()
            .filter(|(_, customer)| customer.open > 0)
        {
            *open.entry(*id).or_default() += customer.open;
        }
        open
    }

    /// Takes in what the predecessor still has out. What that leaves room for goes on.
    fn count_elsewhere(&mut self, open: &BTreeMap<CustomerId, u32>, actions: &mut Vec<Action>) {
        let mut next = Vec::new();
        for ((id, _), customer) in &mut self.customers {
            next.extend(customer.free(open.get(id).copied().unwrap_or(0)));
        }
        for id in next {
            self.dispatch(id, actions);
        }
    }

    // ---- Roster. ----

    /// Follows the server list. A server that drains or is gone gets nothing from this moment on.
    fn roster(&mut self, kind: ListKind, entries: Vec<ServerEntry>, actions: &mut Vec<Action>) {
        if self.settings.list_on_request {
            match kind {
                ListKind::Cached => actions.push(Action::FollowServers),
                ListKind::Failed => actions.push(Action::Timer {
                    at: self.now + 1000.0,
                    token: LIST,
                }),
                _ => {}
            }
        }
        if kind == ListKind::Failed {
            return;
        }
        self.fleet.list(kind, entries, self.now);
        self.count_ready();
    }

    /// Takes a server out by order of staff, or back in from a moment on.
    fn take_out(&mut self, id: ServerId, back: Option<Millis>) {
        self.fleet
            .take_out(id, back, self.now, self.settings.cold_for);
        self.count_ready();
    }

    /// Sets what follows from the number of servers that take requests.
    fn count_ready(&mut self) {
        self.fleet.part(&self.settings);
        self.idle_part = IDLE * self.fleet.ready() as f64 / f64::from(self.settings.gateways);
        self.load.limit = self.load.limit.max(self.idle_part);
    }
}
