//! Discovery: follows the list of backends and hands each change on.

use crate::operators::cost::{Gauge, Held};
use alderhollow_dataplane::flow::Upload;
use alderhollow_dataplane::link::Link;
use hyper::body::{Bytes, Incoming};
use hyper::header::HOST;
use hyper::{Request, StatusCode};
use oorandom::Rand32;
use quota_gateway::ListKind;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::{sleep, timeout_at, Instant};

/// How long a watch may wait for news, and how long its answer may take beyond that; a shorter `ANSWER_ALLOWANCE` would
/// give up answers that stand in a queue.
const WATCH_WAIT: Duration = Duration::from_millis(4000);
const ANSWER_ALLOWANCE: Duration = Duration::from_millis(1000);
/// What there is to tell binds 6 s after discovery had it and could be reached, and 4 s after SIGHUP: calls go out
/// `CALL_WITHIN` and `CALL_WITHIN_AFTER_MOVE` after that at the latest, which leaves their answers 0.3 s. So the worst
/// case is
///
/// - `CALL_WITHIN` + the answer's time from the beginning of any call, watch or pause on, as well if the call after the
///   pause falls silent: a pause lasts `CALL_WITHIN - SHORT_CALL_LIMIT - LEAST_PAUSE` at the most, the silent call
///   `SHORT_CALL_LIMIT`, and `LEAST_PAUSE` is left for the pause before the one that is answered;
/// - the same from the process's start on, as the first calls are spread over less than the longest pause;
/// - `CALL_WITHIN_AFTER_MOVE` + the answer's time after SIGHUP, with one silent call as well;
/// - `LOCAL_CALL_LIMIT` + 1.5 x `BACK_OFF` + the answer's time where no call is work for discovery, once one has
///   failed.
///
/// After a watch that fell silent, `CALL_WITHIN - WATCH_WAIT - ANSWER_ALLOWANCE` = 0.7 s is what the next calls are
/// spread over.
const CALL_WITHIN: Duration = Duration::from_millis(5700);
const CALL_WITHIN_AFTER_MOVE: Duration = Duration::from_millis(3700);
/// Who has no answer to go by asks with a wait that is short, so that silence is found out soon, and there is time for
/// a second call. Such a call takes so long at the most.
const SHORT_WAIT: Duration = Duration::from_millis(200);
const SHORT_CALL_LIMIT: Duration = SHORT_WAIT.saturating_add(ANSWER_ALLOWANCE);
/// The least that is left for the pause after a call that fell silent after a pause.
const LEAST_PAUSE: Duration = Duration::from_millis(200);
/// An agent on the door's own machine answers at no cost, and what it has binds whether or not a watch is open: after
/// a failure its answer has to begin so soon, and half a second at the most passes from one call to the next. What
/// cannot be so quick has `SHORT_CALL_LIMIT`: an answer that has begun, a whole list, and a process's start.
const LOCAL_CALL_LIMIT: Duration = Duration::from_millis(350);
/// Between an answer and the next call: a watch goes on if the call comes within 200 ms, and an agent that
/// answers at once, whatever it is asked, must not keep the door busy.
const CALL_GAP: Duration = Duration::from_millis(20);
/// Back-off after a call that failed, at the first, and how many times that it grows to.
const BACK_OFF: Duration = Duration::from_millis(100);
const GROWTH: u32 = 4;
/// Where each call is work for a discovery that serves all front doors, their calls are spread over so much for
/// each of them: those that start or are turned away together must not come together.
const SPREAD_PER_CALLER: Duration = Duration::from_millis(40);
/// The most that the first calls are spread over: until then the list held may be old. No more come in a second
/// than of watches that wait.
const START_SPREAD: Duration = WATCH_WAIT;
/// Most bytes of a list.
const LIST_LIMIT: usize = 1 << 20;

/// The list of backends, or what changed in it.
#[derive(Deserialize)]
pub(crate) struct List {
    pub rev: u64,
    pub all: bool,
    pub targets: Vec<Target>,
}

#[derive(Clone, Deserialize, Serialize)]
pub(crate) struct Target {
    pub uid: String,
    pub endpoint: String,
    #[serde(default)]
    pub az: String,
    #[serde(default)]
    pub pod_group: u16,
    pub state: State,
    /// 0, as where it is missing, says nothing of the size.
    #[serde(default)]
    pub capacity_hint: f64,
    #[serde(default)]
    pub boot_ms: f64,
}

#[derive(Deserialize, Serialize, Clone, Copy, PartialEq, Eq)]
#[serde(rename_all = "snake_case")]
pub(crate) enum State {
    Ready,
    Draining,
    Gone,
    /// A word that is not in the protocol: nothing is sent there.
    #[serde(other)]
    Unknown,
}

/// Why a call brought no list.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Problem {
    /// The answer is a refusal: who asks again soon makes it worse.
    TurnedAway,
    /// It broke, or took too long: what is held is as good as before.
    Unanswered,
    /// The answer makes no sense after what is held.
    Unreadable,
}

/// What became of the last call.
#[derive(Clone, Copy, PartialEq, Eq)]
enum LastCall {
    None,
    Answered,
    Failed,
}

/// When discovery is called, and how long it may take. It is told the time.
pub(crate) struct CallSchedule {
    rng: Rand32,
    spread: Duration,
    first: Duration,
    back_off: Duration,
    last_call: LastCall,
    /// By when a call has to have begun that is not silent, and how many may still be made by then, of two.
    due: Instant,
    left: u8,
    /// Whether that holds even if the calls are turned away: since a start or a move.
    is_firm: bool,
    /// When the last pause began.
    paused: Instant,
}

impl CallSchedule {
    /// `callers` is how many front doors there are whose calls are work for discovery.
    pub(crate) fn new(callers: u32, seed: u64, now: Instant) -> CallSchedule {
        let spread = SPREAD_PER_CALLER * callers;
        let first = spread.max(BACK_OFF);
        CallSchedule {
            rng: Rand32::new(seed),
            spread,
            first,
            back_off: first,
            last_call: LastCall::None,
            due: now + CALL_WITHIN,
            left: 2,
            is_firm: true,
            paused: now,
        }
    }
    /// Whether calls are work for discovery, and not for an agent that is told all by itself.
    fn is_shared(&self) -> bool {
        !self.spread.is_zero()
    }
    /// How long the next call may wait for news, until its answer has to have begun, and until it has to be whole, where
    /// a version is held or not.
    fn call(&self, holds: bool) -> (Duration, Duration, Duration) {
        match self.last_call {
            LastCall::Answered if holds => (
                WATCH_WAIT,
                WATCH_WAIT + ANSWER_ALLOWANCE,
                WATCH_WAIT + ANSWER_ALLOWANCE,
            ),
            LastCall::Failed if holds && !self.is_shared() => {
                (SHORT_WAIT, LOCAL_CALL_LIMIT, SHORT_CALL_LIMIT)
            }
            _ => (SHORT_WAIT, SHORT_CALL_LIMIT, SHORT_CALL_LIMIT),
        }
    }
    /// How long to wait before the first call.
    fn start(&mut self) -> Duration {
        self.spread.min(START_SPREAD).mul_f32(self.rng.rand_float())
    }
    /// Another address is asked from now on.
    fn moved(&mut self, now: Instant) {
        self.answered(now);
        (self.last_call, self.due, self.is_firm) =
            (LastCall::None, now + CALL_WITHIN_AFTER_MOVE, true);
    }
    /// How long to wait after a call that began at `began` and failed at `now`: longer each time, as far as what is due
    /// allows. The first pause leaves time for a second call should the next one be silent. Who is turned away has not
    /// reached discovery: what it had before its call is due anew.
    fn failed(&mut self, began: Instant, now: Instant, turned_away: bool) -> Duration {
        if self.left == 0 {
            (self.due, self.left, self.is_firm) = (self.paused + CALL_WITHIN, 2, false);
        }
        if turned_away && !self.is_firm {
            (self.due, self.left) = (self.due.max(began + CALL_WITHIN), 2);
        }
        let early = self.due - SHORT_CALL_LIMIT - LEAST_PAUSE;
        let leaves_time = self.left == 2 && now < early;
        let until = if leaves_time { early } else { self.due };
        self.left = u8::from(leaves_time);
        let longest = self
            .back_off
            .mul_f32(1.5)
            .min(CALL_WITHIN - SHORT_CALL_LIMIT - LEAST_PAUSE);
        let longest = longest.min(until.saturating_duration_since(now));
        if self.is_shared() {
            self.back_off = (2 * self.back_off).min(GROWTH * self.first);
        }
        (self.last_call, self.paused) = (LastCall::Failed, now);
        longest.mul_f32((1.0 + 2.0 * self.rng.rand_float()) / 3.0)
    }
    fn answered(&mut self, now: Instant) {
        self.back_off = self.first;
        (self.due, self.left, self.is_firm) = (now + CALL_WITHIN, 2, false);
        (self.last_call, self.paused) = (LastCall::Answered, now);
    }
}

/// Waits, unless the address changes before.
async fn rest(addresses: &mut watch::Receiver<SocketAddr>, time: Duration) {
    tokio::select! {
        biased;
        Ok(()) = addresses.changed() => addresses.mark_changed(),
        () = sleep(time) => {}
    }
}

/// Who is asked for the list.
trait Source {
    /// Asks for the whole list, or for what is newer than the version `after`, which may wait for it, and waits until
    /// the answer begins.
    async fn ask(
        &mut self,
        at: SocketAddr,
        after: Option<u64>,
        wait: Duration,
    ) -> Result<(), Problem>;
    /// The rest of the answer that has begun.
    async fn list(&mut self) -> Result<List, Problem>;
    /// What is still out is given up.
    fn hang_up(&mut self);
}

/// Watches for ever, at the latest of `addresses`, from the version `last` on if one is held, and hands what it is
/// told to `told`. Whatever the agent does, the list held stays in force.
pub(crate) async fn watch(
    addresses: watch::Receiver<SocketAddr>,
    told: impl Fn(ListKind, List),
    last: Option<u64>,
    schedule: CallSchedule,
    open: Gauge,
) {
    follow(
        addresses,
        told,
        last,
        schedule,
        Caller {
            gauge: open,
            link: None,
            answer: None,
        },
    )
    .await;
}

async fn follow(
    mut addresses: watch::Receiver<SocketAddr>,
    told: impl Fn(ListKind, List),
    mut last: Option<u64>,
    mut schedule: CallSchedule,
    mut source: impl Source,
) {
    // Who holds nothing cannot wait.
    if last.is_some() {
        rest(&mut addresses, schedule.start()).await;
    }
    loop {
        // What came meanwhile from an agent that has been replaced counts no more: the list is asked anew.
        if addresses.has_changed().unwrap_or(false) {
            source.hang_up();
            last = None;
            schedule.moved(Instant::now());
        }
        let address = *addresses.borrow_and_update();
        let began = Instant::now();
        let (wait, begins, lasts) = schedule.call(last.is_some());
        // Guards against an agent that is silent: a call is given up and its connection closed.
        let call = async {
            timeout_at(began + begins, source.ask(address, last, wait))
                .await
                .unwrap_or(Err(Problem::Unanswered))?;
            timeout_at(began + lasts, source.list())
                .await
                .unwrap_or(Err(Problem::Unanswered))
        };
        let answer = tokio::select! {
            biased;
            Ok(()) = addresses.changed() => {
                addresses.mark_changed();
                continue;
            }
            answer = call => answer,
        };
        let answer = answer.and_then(|list| {
            (list.all || last.is_some())
                .then_some(list)
                .ok_or(Problem::Unreadable)
        });
        match answer {
            Ok(list) => {
                last = Some(list.rev);
                schedule.answered(Instant::now());
                told(
                    if list.all {
                        ListKind::Full
                    } else {
                        ListKind::Delta
                    },
                    list,
                );
                sleep(CALL_GAP).await;
            }
            Err(problem) => {
                source.hang_up();
                // The version is kept where it can be: a whole list is the dearest of calls, and after a failure all
                // would ask for it at once.
                if problem == Problem::Unreadable {
                    last = None;
                }
                let pause = schedule.failed(began, Instant::now(), problem == Problem::TurnedAway);
                rest(&mut addresses, pause).await;
            }
        }
    }
}

/// Asks discovery over one connection, as long as that stands.
struct Caller {
    gauge: Gauge,
    link: Option<(Link, Held)>,
    answer: Option<Incoming>,
}

impl Source for Caller {
    async fn ask(
        &mut self,
        at: SocketAddr,
        after: Option<u64>,
        wait: Duration,
    ) -> Result<(), Problem> {
        let path = match after {
            None => "/v1/servers".to_string(),
            Some(rev) => format!("/v1/servers?after={rev}&wait_ms={}", wait.as_millis()),
        };
        let request = Request::get(path)
            .header(HOST, at.to_string())
            .body(Upload::new(Bytes::new(), None));
        let request = request.map_err(|_| Problem::Unanswered)?;
        if let Some((open, _)) = &mut self.link {
            if !open.is_silent().await {
                self.link = None;
            }
        }
        let (open, _) = match &mut self.link {
            Some(open) => open,
            None => {
                let held = self.gauge.hold();
                let open = Link::open(at, Rc::default())
                    .await
                    .map_err(|_| Problem::Unanswered)?;
                self.link.insert((open, held))
            }
        };
        let (head, body) = open
            .send(request)
            .await
            .map_err(|_| Problem::Unanswered)?
            .into_parts();
        self.answer = Some(body);
        (head.status == StatusCode::OK)
            .then_some(())
            .ok_or(Problem::TurnedAway)
    }

    async fn list(&mut self) -> Result<List, Problem> {
        let (Some((open, _)), Some(mut body)) = (&mut self.link, self.answer.take()) else {
            return Err(Problem::Unanswered);
        };
        let mut bytes = Vec::new();
        while let Some(piece) = open.next_chunk(&mut body).await {
            bytes.extend_from_slice(&piece.map_err(|_| Problem::Unanswered)?);
            if bytes.len() > LIST_LIMIT {
                return Err(Problem::Unanswered);
            }
        }
        serde_json::from_slice(&bytes).map_err(|_| Problem::Unreadable)
    }

    fn hang_up(&mut self) {
        (self.link, self.answer) = (None, None);
    }
}

#[cfg(test)]
mod tests;
