//! The door: the single owner of the decision module. It keeps the module's clock and timers and the
//! requests in flight, hands events in, and carries actions out in order. It decides nothing.

use crate::backends::attempts::{Backends, End, Message, Order};
use crate::backends::catalog::Catalog;
use crate::backends::discovery::{List, State, Target};
use crate::life::alarms::Alarms;
use crate::operators::bans::{BanError, Bans, Standing, NAME_LIMIT};
use alderhollow_dataplane::flow::{whole, Flow, Outgoing};
use http_body_util::Either;
use hyper::Response;
use quota_gateway::{
    Action, AttemptEnd, CustomerId, Event, Gateway, HandoverState, InvalidSetting, Lifecycle,
    ListKind, Millis,
};
use quota_gateway::{Request, RequestId, ServerEntry, ServerId, Settings};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::sync::{oneshot, Notify};
use tokio::time::{sleep_until, Instant};
use tracing::{info, warn};

/// The final answer to a client.
pub(crate) enum Answer {
    Served(Response<Outgoing>),
    /// Trying again is harmless; after so long, if that is not nought.
    Refused(Millis),
    Failed,
}

/// The module's clock: milliseconds since the start, never running backwards.
struct Clock {
    start: Instant,
    /// Unix time at the start. It is read once, so that a moment told twice is the same moment both times.
    start_unix: Millis,
}

impl Clock {
    /// One that began at `epoch`, in Unix time, or begins now.
    fn new(epoch: Option<Millis>) -> Clock {
        let unix = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default()
            .as_secs_f64()
            * 1000.0;
        let start = epoch.and_then(|epoch| {
            let ago = Duration::try_from_secs_f64((unix - epoch) / 1000.0).ok()?;
            Some((Instant::now().checked_sub(ago)?, epoch))
        });
        let (start, start_unix) = start.unwrap_or((Instant::now(), unix));
        Clock { start, start_unix }
    }
    fn now(&self) -> Millis {
        self.start.elapsed().as_secs_f64() * 1000.0
    }
    fn instant(&self, at: Millis) -> Instant {
        let since = Duration::try_from_secs_f64(at / 1000.0).unwrap_or_default();
        self.start.checked_add(since).unwrap_or_else(Instant::now)
    }
    fn of_unix(&self, unix: Millis) -> Millis {
        unix - self.start_unix
    }
}

/// A request that awaits its answer or the ends of its attempts.
struct InFlight {
    message: Rc<Message>,
    came: Instant,
    /// When its client gives up.
    deadline: Instant,
    /// `None` once it is answered or its client has gone.
    answer: Option<oneshot::Sender<Answer>>,
    /// To call each attempt off; `None` once it has ended.
    attempts: Vec<Option<oneshot::Sender<()>>>,
}

struct Inner {
    gateway: Gateway,
    requests: BTreeMap<RequestId, InFlight>,
    last: RequestId,
    alarms: Alarms,
    /// Names of the backends by the number that stands for each.
    uids: BTreeMap<ServerId, String>,
    /// The list as it was last told.
    catalog: Catalog,
    /// What staff took out and gave back, as last carried out.
    standing: Standing,
    /// Empty between two events, kept for its room.
    actions: Vec<Action>,
}

pub(crate) struct Door {
    clock: Clock,
    zones: Vec<String>,
    backends: Rc<Backends>,
    bans: Bans,
    inner: RefCell<Inner>,
    sooner: Notify,
}

impl Door {
    pub(crate) fn new(
        settings: Settings,
        seed: u64,
        zones: Vec<String>,
        backends: Rc<Backends>,
        bans: Bans,
        epoch: Option<Millis>,
    ) -> Result<Rc<Door>, InvalidSetting> {
        let clock = Clock::new(epoch);
        let inner = Inner {
            gateway: Gateway::new(settings, seed, clock.now())?,
            requests: BTreeMap::new(),
            last: 0,
            alarms: Alarms::new(),
            uids: BTreeMap::new(),
            catalog: Catalog::default(),
            standing: Standing::default(),
            actions: Vec::new(),
        };
        Ok(Rc::new(Door {
            clock,
            zones,
            backends,
            bans,
            inner: RefCell::new(inner),
            sooner: Notify::new(),
        }))
    }

    /// Takes a request in; `expires_in` and the id are filled in here.
    pub(crate) fn admit(
        self: &Rc<Self>,
        mut request: Request,
        message: Message,
        deadline: Instant,
    ) -> RequestHandle {
        let (answer, receiver) = oneshot::channel();
        let mut inner = self.inner.borrow_mut();
        inner.last += 1;
        request.id = inner.last;
        let came = Instant::now();
        request.expires_in = deadline.saturating_duration_since(came).as_secs_f64() * 1000.0;
        let message = Rc::new(message);
        let entry = InFlight {
            message,
            came,
            deadline,
            answer: Some(answer),
            attempts: Vec::new(),
        };
        inner.requests.insert(request.id, entry);
        drop(inner);
        self.handle(Event::Request(request));
        RequestHandle {
            door: self.clone(),
            id: request.id,
            answer: receiver,
        }
    }

    /// Fails all that is still in flight, as the program has to end.
    pub(crate) fn fail_all(self: &Rc<Self>) {
        let answers: Vec<_> = self
            .inner
            .borrow_mut()
            .requests
            .values_mut()
            .filter_map(|entry| entry.answer.take())
            .collect();
        for answer in answers {
            let _ = answer.send(Answer::Failed);
        }
    }

    /// Takes in the list of backends or a change to it, for itself and for the module.
    pub(crate) fn servers(self: &Rc<Self>, kind: ListKind, list: List) {
        let now = self.clock.start_unix + self.clock.now();
        let (kind, list) = self.inner.borrow_mut().catalog.take_in(kind, list, now);
        let mut entries = Vec::with_capacity(list.targets.len());
        for target in &list.targets {
            let id = self.id(&target.uid);
            let address = target.endpoint.parse().ok();
            let entry = self.entry(id, target, address);
            match address {
                Some(at) if entry.lifecycle != Lifecycle::Gone => {
                    self.backends.pool.put(
                        id,
                        at,
                        target.boot_ms,
                        entry.lifecycle == Lifecycle::Ready,
                    );
                }
                _ => self.backends.pool.retain(|other| other != id),
            }
            entries.push(entry);
        }
        if kind != ListKind::Delta {
            let listed = |id| entries.iter().any(|entry| entry.id == id);
            self.backends.pool.retain(listed);
            let inner = &mut *self.inner.borrow_mut();
            inner
                .uids
                .retain(|id, uid| listed(*id) || inner.standing.out.contains(uid));
        }
        self.handle(Event::Servers { kind, entries });
    }

    fn entry(&self, id: ServerId, target: &Target, address: Option<SocketAddr>) -> ServerEntry {
        let zone = self.zones.iter().position(|zone| *zone == target.az);
        ServerEntry {
            id,
            zone: zone.map_or(u16::MAX, |zone| zone as u16),
            cell: target.pod_group,
            share: target.capacity_hint,
            lifecycle: match target.state {
                State::Ready if address.is_some() => Lifecycle::Ready,
                State::Ready | State::Draining | State::Unknown => Lifecycle::Draining,
                State::Gone => Lifecycle::Gone,
            },
            launched: (target.boot_ms > 0.0).then(|| self.clock.of_unix(target.boot_ms)),
        }
    }

    /// The number that stands for a backend: the one its name holds, so that every front door finds the
    /// same. Another name is hashed, and moves on if its number stands for a different one.
    fn id(&self, uid: &str) -> ServerId {
        let digits = uid.strip_prefix("s-").filter(|digits| digits.len() == 8);
        let hash = || {
            let mix = |hash: u32, byte: u8| (hash ^ u32::from(byte)).wrapping_mul(0x0100_0193);
            uid.bytes().fold(0x811c_9dc5, mix)
        };
        let mut id = digits
            .and_then(|digits| u32::from_str_radix(digits, 16).ok())
            .unwrap_or_else(hash);
        let uids = &mut self.inner.borrow_mut().uids;
        while uids.get(&id).is_some_and(|other| other != uid) {
            id = id.wrapping_add(1);
        }
        uids.entry(id).or_insert_with(|| uid.to_string());
        id
    }

    /// How many backends the list holds, and how many of them get nothing.
    pub(crate) fn backends(&self) -> (usize, usize) {
        (
            self.backends.pool.count(),
            self.inner.borrow().gateway.excluded(self.clock.now()),
        )
    }

    /// Takes a backend out at the word of staff, whatever the list will say of it.
    ///
    /// # Errors
    /// What is to be told to the caller: nobody has that name, or another process could not learn of it.
    pub(crate) fn take_out(self: &Rc<Self>, uid: &str) -> Result<(), BanError> {
        if !self.knows(uid) {
            return Err(BanError::NoBackend);
        }
        let kept = self.bans.take_out(uid);
        let mut standing = self.inner.borrow().standing.clone();
        standing.out.insert(uid.to_string());
        self.follow(standing);
        kept.map_err(BanError::OutHereOnly)
    }

    /// Gives a backend back, however often it was taken out.
    ///
    /// # Errors
    /// As for [`Door::take_out`].
    pub(crate) fn give_back(self: &Rc<Self>, uid: &str) -> Result<(), BanError> {
        if !self.knows(uid) {
            return Err(BanError::NoBackend);
        }
        let mut standing = self.inner.borrow().standing.clone();
        if !standing.out.remove(uid) {
            return Ok(());
        }
        let kept = self.bans.give_back(uid);
        standing.back.insert(uid.to_string(), SystemTime::now());
        self.follow(standing);
        kept.map_err(BanError::BackHereOnly)
    }

    fn knows(&self, uid: &str) -> bool {
        let inner = self.inner.borrow();
        let listed = inner
            .uids
            .iter()
            .any(|(id, known)| known == uid && self.backends.pool.lists(*id));
        uid.len() <= NAME_LIMIT && (listed || inner.standing.out.contains(uid))
    }

    /// Follows what the other process of this front door was told.
    pub(crate) async fn follow_bans(self: Rc<Self>) {
        let (mut read, mut changes) = (Standing::default(), self.bans.changes());
        loop {
            if let Ok(now) = self.bans.read() {
                // What this process could not write to the folder holds for it all the same: only what
                // changed there is taken over.
                if now != read {
                    let mut standing = self.inner.borrow().standing.clone();
                    standing.out.extend(now.out.iter().cloned());
                    standing
                        .out
                        .retain(|uid| now.out.contains(uid) || !read.out.contains(uid));
                    standing
                        .back
                        .extend(now.back.iter().map(|(uid, at)| (uid.clone(), *at)));
                    read = now;
                    self.follow(standing);
                }
            }
            changes.next().await;
        }
    }

    /// Carries out what differs from what stands.
    fn follow(self: &Rc<Self>, standing: Standing) {
        let before = std::mem::replace(&mut self.inner.borrow_mut().standing, standing.clone());
        for uid in standing.out.difference(&before.out) {
            let id = self.id(uid);
            info!(event = "backend_out", backend = %uid, "backend {uid} is taken out");
            self.backends.pool.take_out(id, true);
            self.handle(Event::ServerDisabled(id));
        }
        for uid in before.out.union(&standing.back.keys().cloned().collect()) {
            let new = before.out.contains(uid) || !before.back.contains_key(uid);
            if standing.out.contains(uid) || !new {
                continue;
            }
            let server = self.id(uid);
            let at = standing
                .back
                .get(uid)
                .copied()
                .unwrap_or_else(SystemTime::now);
            let at = at
                .duration_since(UNIX_EPOCH)
                .unwrap_or_default()
                .as_secs_f64()
                * 1000.0;
            info!(event = "backend_back", backend = %uid, "backend {uid} is back");
            self.backends.pool.take_out(server, false);
            self.handle(Event::ServerEnabled {
                server,
                at: self.clock.of_unix(at),
            });
        }
    }

    /// What a successor is told: the list, and when the clock began.
    pub(crate) fn targets(&self) -> Vec<Target> {
        self.inner.borrow().catalog.targets()
    }
    pub(crate) fn epoch(&self) -> Millis {
        self.clock.start_unix
    }
    /// What it is left, and what this process still has out.
    pub(crate) fn hand_over(&self) -> HandoverState {
        self.backends.keep_no_more(true);
        self.inner.borrow_mut().gateway.hand_over()
    }
    pub(crate) fn open(&self) -> BTreeMap<CustomerId, u32> {
        self.inner.borrow().gateway.in_flight()
    }
    /// The successor is gone.
    pub(crate) fn alone(self: &Rc<Self>) {
        self.backends.keep_no_more(false);
        self.handle(Event::HandoverAborted);
    }
    /// What the predecessor leaves, and what it still has out.
    pub(crate) fn take_over(&self, state: HandoverState) {
        self.inner
            .borrow_mut()
            .gateway
            .take_over(self.clock.now(), state);
    }
    pub(crate) fn elsewhere(self: &Rc<Self>, open: BTreeMap<CustomerId, u32>) {
        self.handle(Event::PredecessorInFlight(open));
    }

    /// Wakes the module when its timers are due.
    pub(crate) async fn keep_time(self: Rc<Self>) {
        loop {
            let next = {
                let Inner {
                    alarms, requests, ..
                } = &mut *self.inner.borrow_mut();
                alarms.next(|request| requests.contains_key(&request))
            };
            match next {
                None => self.sooner.notified().await,
                Some(at) if at > Instant::now() => tokio::select! {
                    () = sleep_until(at) => {}
                    () = self.sooner.notified() => {}
                },
                Some(_) => {
                    let due = self.inner.borrow_mut().alarms.take();
                    if let Some(token) = due {
                        self.handle(Event::Timer(token));
                    }
                }
            }
        }
    }

    fn handle(self: &Rc<Self>, event: Event) {
        let inner = &mut *self.inner.borrow_mut();
        let mut actions = std::mem::take(&mut inner.actions);
        inner.gateway.handle(self.clock.now(), event, &mut actions);
        for action in actions.drain(..) {
            self.carry_out(inner, action);
        }
        inner.actions = actions;
    }

    /// What an action names and is no longer in flight was answered meanwhile: it is passed over.
    fn carry_out(self: &Rc<Self>, inner: &mut Inner, action: Action) {
        match action {
            Action::Send {
                request,
                server,
                start_by,
                expire_at,
                capped,
            } => {
                let Some(entry) = inner.requests.get_mut(&request) else {
                    return;
                };
                let until = |at: Option<Millis>, most| {
                    at.map_or(most, |at| self.clock.instant(at).min(most))
                };
                let expire_at = until(expire_at, entry.deadline);
                let start_by = until(start_by, expire_at);
                let (cancel, cancelled) = oneshot::channel();
                let number = entry.attempts.len() as u8;
                entry.attempts.push(Some(cancel));
                let (message, came) = (entry.message.clone(), entry.came);
                let order = Order {
                    server,
                    message,
                    came,
                    start_by,
                    expire_at,
                    capped,
                };
                tokio::task::spawn_local(self.clone().attempt(request, number, order, cancelled));
            }
            Action::Refuse {
                request,
                retry_after,
            } => inner.answer(request, Answer::Refused(retry_after)),
            Action::Fail(request) => inner.answer(request, Answer::Failed),
            Action::Cancel { request, attempt } => {
                let entry = inner.requests.get_mut(&request);
                let attempt =
                    entry.and_then(|entry| entry.attempts.get_mut(usize::from(attempt))?.take());
                if let Some(cancel) = attempt {
                    let _ = cancel.send(());
                }
            }
            Action::Timer { at, token } => {
                let at = self.clock.instant(at);
                let Inner {
                    alarms, requests, ..
                } = inner;
                if alarms.set(at, token, |request| requests.contains_key(&request)) {
                    self.sooner.notify_one();
                }
            }
            // The program follows the list from its start, whoever asks.
            Action::FollowServers => {}
            Action::Log(text) => warn!(event = "decisions", "{text}"),
        }
    }

    async fn attempt(
        self: Rc<Self>,
        request: RequestId,
        attempt: u8,
        order: Order,
        cancelled: oneshot::Receiver<()>,
    ) {
        let sent = self.clock.now();
        let wanted = || {
            self.inner
                .borrow()
                .requests
                .get(&request)
                .is_some_and(|entry| entry.answer.is_some())
        };
        // A sender that is dropped without a word cancels nothing.
        let cancel = async {
            if cancelled.await.is_err() {
                std::future::pending::<()>().await;
            }
        };
        let begin = |answer: Response<Flow>, end: &End| {
            self.inner
                .borrow_mut()
                .answer(request, Answer::Served(answer.map(Either::Right)));
            let (outcome, used, billed) = (end.outcome, end.used, end.billed);
            let elapsed = self.clock.now() - sent;
            let end = AttemptEnd {
                request,
                attempt,
                outcome,
                elapsed,
                finished: true,
                used,
                billed,
            };
            self.handle(Event::ResponseStarted(end));
        };
        let End {
            outcome,
            used,
            billed,
            answer,
            ..
        } = self.backends.attempt(&order, cancel, wanted, begin).await;
        let mut inner = self.inner.borrow_mut();
        if let Some(answer) = answer {
            inner.answer(request, Answer::Served(answer.map(whole)));
        }
        let mut finished = true;
        if let Some(entry) = inner.requests.get_mut(&request) {
            entry.attempts[usize::from(attempt)] = None;
            finished = entry.answer.is_none();
        }
        inner.forget_if_over(request);
        drop(inner);
        let elapsed = self.clock.now() - sent;
        let end = AttemptEnd {
            request,
            attempt,
            outcome,
            elapsed,
            finished,
            used,
            billed,
        };
        self.handle(Event::AttemptEnd(end));
    }
}

impl Inner {
    /// Passes the final answer on, unless there was one before.
    fn answer(&mut self, request: RequestId, answer: Answer) {
        let Some(entry) = self.requests.get_mut(&request) else {
            return;
        };
        if let Some(client) = entry.answer.take() {
            let _ = client.send(answer);
        }
        self.forget_if_over(request);
    }

    fn forget_if_over(&mut self, request: RequestId) {
        let over =
            |entry: &InFlight| entry.answer.is_none() && entry.attempts.iter().all(Option::is_none);
        if self.requests.get(&request).is_some_and(over) {
            self.requests.remove(&request);
        }
    }
}

/// A client's handle on its request. Dropped before that has come, it tells the module that the client left.
pub(crate) struct RequestHandle {
    door: Rc<Door>,
    id: RequestId,
    answer: oneshot::Receiver<Answer>,
}

impl RequestHandle {
    /// The final answer. Guards against a request that nothing answers: it fails at `deadline`.
    pub(crate) async fn answer(mut self, deadline: Instant) -> Answer {
        tokio::select! {
            biased;
            answer = &mut self.answer => answer.unwrap_or(Answer::Failed),
            () = sleep_until(deadline) => Answer::Failed,
        }
    }
}

impl Drop for RequestHandle {
    fn drop(&mut self) {
        let mut inner = self.door.inner.borrow_mut();
        let Some(entry) = inner.requests.get_mut(&self.id) else {
            return;
        };
        if entry.answer.take().is_none() {
            return;
        }
        inner.forget_if_over(self.id);
        drop(inner);
        self.door.handle(Event::ClientGone(self.id));
    }
}
