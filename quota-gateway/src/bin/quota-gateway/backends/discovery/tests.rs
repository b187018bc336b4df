//! Every sequence of calls that fail, under a clock that the test moves on: no connection is opened, no time is spent.

use super::*;
use std::cell::{Cell, RefCell};
use tokio::sync::Notify;
use tokio::time::timeout;

/// What becomes of a call.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Fate {
    Answered,
    /// Turned away after so long.
    Refused(Duration),
    /// The connection is refused, or breaks after so long.
    Broken(Duration),
    /// Nothing comes.
    Silent,
    /// The answer begins after so long, and never ends.
    Dripping(Duration),
    /// The answer comes after so long, and makes no sense.
    Garbled(Duration),
}

/// How long an answer takes that does not wait for news.
const ANSWER: Duration = Duration::from_millis(5);

/// Discovery, or an agent: version 1 of the list, and version 2 from `change` on.
struct World {
    change: Instant,
    /// What becomes of the call that begins at a moment, the one before it having ended at another.
    fate: RefCell<Box<dyn FnMut(Instant, Instant) -> Fate>>,
    /// When each call began, and when the last one ended.
    calls: RefCell<Vec<Instant>>,
    ended: Cell<Instant>,
    told: Cell<Option<Instant>>,
    is_told: Notify,
}

impl World {
    fn new(change: Instant, fate: impl FnMut(Instant, Instant) -> Fate + 'static) -> Rc<World> {
        let (calls, ended) = (RefCell::default(), Cell::new(Instant::now()));
        let (fate, told, is_told) = (
            RefCell::new(Box::new(fate) as _),
            Cell::new(None),
            Notify::new(),
        );
        Rc::new(World {
            change,
            fate,
            calls,
            ended,
            told,
            is_told,
        })
    }
    fn take_in(&self, list: &List) {
        if list.rev == 2 && self.told.get().is_none() {
            self.told.set(Some(Instant::now()));
            self.is_told.notify_one();
        }
    }
    /// Runs one front door in it until it is told of the change.
    async fn run(self: &Rc<Self>, addresses: watch::Receiver<SocketAddr>, schedule: CallSchedule) {
        let told = self.clone();
        let door = follow(
            addresses,
            move |_, list| told.take_in(&list),
            Some(1),
            schedule,
            Asked::of(self),
        );
        tokio::select! {
            () = door => {}
            () = self.is_told.notified() => {}
        }
    }
}

struct Asked {
    world: Rc<World>,
    fate: Fate,
    after: Option<u64>,
    began: Instant,
    wait: Duration,
}

impl Asked {
    fn of(world: &Rc<World>) -> Asked {
        let (began, wait) = (Instant::now(), Duration::ZERO);
        Asked {
            world: world.clone(),
            fate: Fate::Silent,
            after: None,
            began,
            wait,
        }
    }
}

impl Source for Asked {
    async fn ask(
        &mut self,
        _: SocketAddr,
        after: Option<u64>,
        wait: Duration,
    ) -> Result<(), Problem> {
        self.began = Instant::now();
        (self.after, self.wait) = (after, wait);
        self.world.calls.borrow_mut().push(self.began);
        self.fate = (self.world.fate.borrow_mut())(self.began, self.world.ended.get());
        match self.fate {
            Fate::Answered => {
                let is_news = after.is_none_or(|after| after < 2);
                let until = if after.is_none() {
                    self.began
                } else {
                    self.began + wait
                };
                let until = if is_news {
                    until.min(self.world.change.max(self.began))
                } else {
                    until
                };
                tokio::time::sleep_until(until + ANSWER).await;
                Ok(())
            }
            Fate::Silent => std::future::pending().await,
            Fate::Refused(time) => {
                sleep(time).await;
                Err(Problem::TurnedAway)
            }
            Fate::Broken(time) => {
                sleep(time).await;
                Err(Problem::Unanswered)
            }
            Fate::Dripping(time) | Fate::Garbled(time) => {
                sleep(time).await;
                Ok(())
            }
        }
    }
    async fn list(&mut self) -> Result<List, Problem> {
        match self.fate {
            Fate::Dripping(_) => std::future::pending().await,
            Fate::Garbled(_) => Err(Problem::Unreadable),
            _ => {
                self.world.ended.set(Instant::now());
                let rev = if Instant::now() >= self.world.change {
                    2
                } else {
                    1
                };
                Ok(List {
                    rev,
                    all: self.after.is_none(),
                    targets: Vec::new(),
                })
            }
        }
    }
    fn hang_up(&mut self) {
        self.world.ended.set(Instant::now());
    }
}

fn somewhere(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

fn millis(ms: u32) -> Duration {
    Duration::from_millis(u64::from(ms))
}

/// Troubles by chance, of one kind or several by the seed; `answered` of a hundred calls are none.
fn troubles(seed: u64, answered: u32) -> impl FnMut() -> Fate {
    let mut rng = Rand32::new(seed);
    let kind = rng.rand_range(0..7);
    move || {
        // At once, or within a watch.
        let after = millis(if rng.rand_range(0..2) == 0 {
            0
        } else {
            rng.rand_range(0..5000)
        });
        let one = if kind < 5 { kind } else { rng.rand_range(0..5) };
        match one {
            _ if rng.rand_range(0..100) < answered => Fate::Answered,
            0 => Fate::Refused(after),
            1 => Fate::Broken(after),
            2 => Fate::Silent,
            3 => Fate::Dripping(after),
            _ => Fate::Garbled(after),
        }
    }
}

/// The longest that the news took from when discovery had it and could be reached, over many seeds; with calls that
/// fail up to then, and one more that is silent if a pause had begun by then.
async fn longest(callers: u32, is_next_silent: bool) -> Duration {
    let mut longest = Duration::ZERO;
    for seed in 0..400 {
        let now = Instant::now();
        let change = now + millis(Rand32::new(seed ^ 0x5eed).rand_range(0..20_000));
        let mut before = troubles(seed, [0, 0, 30, 60][seed as usize % 4]);
        let mut is_first = true;
        let world = World::new(change, move |at, ended| match at < change {
            true => before(),
            false if std::mem::take(&mut is_first) && is_next_silent && ended <= change => {
                Fate::Silent
            }
            false => Fate::Answered,
        });
        let (_agent, agents) = watch::channel(somewhere(1));
        let run = world.run(agents, CallSchedule::new(callers, seed, now));
        timeout(Duration::from_secs(60), run)
            .await
            .expect("the news is told");
        longest = longest.max(
            world
                .told
                .get()
                .expect("told")
                .saturating_duration_since(change),
        );
    }
    longest
}

#[tokio::test(start_paused = true)]
async fn news_is_told_in_time_whatever_calls_failed_before() {
    for callers in [1, 6, 60, 300] {
        for is_next_silent in [false, true] {
            let longest = longest(callers, is_next_silent).await;
            assert!(
                longest <= CALL_WITHIN + 2 * ANSWER,
                "{callers} doors, {is_next_silent}: {longest:?}"
            );
        }
    }
}

#[tokio::test(start_paused = true)]
async fn news_of_the_own_machines_agent_is_told_in_time_whatever_calls_failed_before() {
    // A watch that falls silent, or what has begun to come and never ends, and a silent call after that.
    let pause = BACK_OFF.mul_f32(1.5);
    let longest = [longest(0, false).await, longest(0, true).await];
    assert!(
        longest[0] <= WATCH_WAIT + ANSWER_ALLOWANCE + pause + 2 * ANSWER,
        "{longest:?}"
    );
    assert!(
        longest[1] <= WATCH_WAIT + ANSWER_ALLOWANCE + pause + 2 * ANSWER + SHORT_CALL_LIMIT,
        "{longest:?}"
    );
}

#[tokio::test(start_paused = true)]
async fn after_sighup_the_list_is_told_in_time_whatever_the_first_calls_meet() {
    for callers in [0, 6, 300] {
        for seed in 0..400 {
            let signal = Instant::now() + millis(Rand32::new(seed ^ 0x5eed).rand_range(0..20_000));
            let (mut before, mut first) = (troubles(seed, 30), troubles(seed + 1, 0));
            let mut made = 0;
            let world = World::new(signal, move |at, _| {
                made += usize::from(at >= signal);
                match made {
                    0 => before(),
                    1 => match first() {
                        Fate::Refused(_) => Fate::Refused(Duration::ZERO),
                        Fate::Broken(_) => Fate::Broken(Duration::ZERO),
                        other => other,
                    },
                    2 => Fate::Silent,
                    _ => Fate::Answered,
                }
            });
            let (agent, agents) = watch::channel(somewhere(1));
            let moves = async {
                tokio::time::sleep_until(signal).await;
                agent.send_replace(somewhere(2));
                std::future::pending::<()>().await;
            };
            let run = world.run(agents, CallSchedule::new(callers, seed, Instant::now()));
            tokio::select! {
                () = run => {}
                () = moves => {}
            }
            let took = world
                .told
                .get()
                .expect("told")
                .saturating_duration_since(signal);
            assert!(
                took <= CALL_WITHIN_AFTER_MOVE + 2 * ANSWER,
                "{callers} doors, seed {seed}: {took:?}"
            );
        }
    }
}

/// The most calls of 300 doors within `time`, over 40 s in which each call meets `fate`, after a watch each.
fn most_calls(time: Duration, fate: Fate) -> usize {
    let mut calls = Vec::new();
    let start = Instant::now();
    for door in 0..300 {
        let mut rng = Rand32::new(door);
        let mut schedule = CallSchedule::new(300, door + 300, start);
        // Where it is in its watch when the trouble begins, told as the moment at which that began.
        let mut now = start + millis(rng.rand_range(0..4000));
        schedule.answered(now);
        let mut began = now;
        now = start + WATCH_WAIT;
        let refused = matches!(fate, Fate::Refused(_));
        if fate == Fate::Silent {
            now = began + WATCH_WAIT + ANSWER_ALLOWANCE;
        }
        while now < start + Duration::from_secs(40) {
            now += schedule.failed(began, now, refused);
            calls.push(now);
            began = now;
            now += if fate == Fate::Silent {
                schedule.call(true).1
            } else {
                Duration::ZERO
            };
        }
    }
    calls.sort_unstable();
    let within = |from: usize| {
        calls[from..]
            .iter()
            .take_while(|at| **at - calls[from] < time)
            .count()
    };
    (0..calls.len()).map(within).max().unwrap_or(0)
}

#[test]
fn three_hundred_doors_do_not_call_together_while_discovery_fails() {
    // Watches that wait come 75 times a second. Who is turned away costs discovery work, the others next to none.
    for (fate, together, calls) in [
        (Fate::Refused(Duration::ZERO), 75, 460),
        (Fate::Silent, 100, 600),
        (Fate::Broken(Duration::ZERO), 125, 800),
    ] {
        let most = [500, 4000].map(|time| most_calls(millis(time), fate));
        assert!(
            most[0] <= together && most[1] <= calls,
            "{fate:?}: {most:?} within 0.5 s and 4 s"
        );
    }
}

/// When each of a hundred calls, the first one or the first after a failure.
fn calls(wait: impl Fn(&mut CallSchedule, Instant) -> Duration) -> Vec<u128> {
    let now = Instant::now();
    let mut calls: Vec<_> = (0..100)
        .map(|seed| wait(&mut CallSchedule::new(100, seed, now), now).as_millis())
        .collect();
    calls.sort_unstable();
    calls
}

#[test]
fn those_that_start_or_are_turned_away_together_do_not_call_together() {
    for calls in [
        calls(|schedule, _| schedule.start()),
        calls(|schedule, now| schedule.failed(now, now, true)),
    ] {
        let most = calls.windows(25).map(|some| some[24] - some[0]).min();
        assert!(
            most >= Some(500),
            "a quarter of a hundred calls within {most:?} ms"
        );
    }
}

#[test]
fn waits_grow_until_a_call_is_answered() {
    let now = Instant::now();
    let mut schedule = CallSchedule::new(2, 7, now);
    assert_eq!(
        CallSchedule::new(0, 7, now).start(),
        Duration::ZERO,
        "an agent that is told all by itself is asked at once"
    );
    let waits: Vec<_> = (0..6)
        .map(|_| schedule.failed(now, now, true).as_millis())
        .collect();
    assert!(
        waits[0] <= 150 && (200..=600).contains(&waits[4]) && waits[5] <= 600,
        "{waits:?}"
    );
    schedule.answered(now);
    assert!(schedule.failed(now, now, true).as_millis() <= 150);
}

#[test]
fn a_large_fleet_asks_again_before_what_it_missed_binds() {
    let start = Instant::now();
    for seed in 0..1000 {
        let mut schedule = CallSchedule::new(300, seed, start);
        assert!(schedule.start() <= START_SPREAD);
        for elapsed in [
            Duration::ZERO,
            WATCH_WAIT / 2,
            WATCH_WAIT + ANSWER_ALLOWANCE,
        ] {
            schedule.answered(start);
            let wait = schedule.failed(start, start + elapsed, false);
            assert!(
                elapsed + wait <= CALL_WITHIN,
                "silent for {elapsed:?}, asked {wait:?} later"
            );
            // From then on it is a discovery that turns them away, and the doors' calls are not to come together.
            let mut now = start + elapsed + wait;
            for _ in 0..5 {
                let wait = schedule.failed(now, now, true);
                assert!(wait >= CALL_WITHIN / 4 && wait <= CALL_WITHIN, "{wait:?}");
                now += wait;
            }
        }
    }
}

#[test]
fn an_agent_that_is_told_all_by_itself_is_asked_again_within_half_a_second() {
    let mut now = Instant::now();
    let mut schedule = CallSchedule::new(0, 7, now);
    assert_eq!(schedule.start(), Duration::ZERO, "it is asked at once");
    assert_eq!(
        schedule.call(true).0,
        SHORT_WAIT,
        "nothing says that it speaks"
    );
    for _ in 0..100 {
        let began = now;
        now += LOCAL_CALL_LIMIT;
        let pause = schedule.failed(began, now, false);
        assert!(
            pause >= BACK_OFF / 2 && schedule.call(true).1 + pause <= Duration::from_millis(500)
        );
        now += pause;
    }
    schedule.answered(now);
    assert_eq!(schedule.call(true).0, WATCH_WAIT);
}
